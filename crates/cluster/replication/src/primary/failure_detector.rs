//! How long ago other machines were in contact.
use crate::timing::{IN_SYNC_CONTACT_TIMEOUT_MS, RECONNECT_TIMEOUT_MS};
use crate::view::MemberId;
use std::collections::BTreeMap;

/// When the last message from each machine arrived, by the primary's clock, milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct FailureDetector {
    last_contact_ms: BTreeMap<MemberId, u64>,
}

impl FailureDetector {
    /// Counts all these machines as in contact now.
    pub(crate) fn new(members: impl Iterator<Item = MemberId>, now_ms: u64) -> Self {
        FailureDetector { last_contact_ms: members.map(|id| (id, now_ms)).collect() }
    }

    /// Notes that a message from a machine arrived.
    pub(crate) fn record_contact(&mut self, id: MemberId, now_ms: u64) {
        self.last_contact_ms.insert(id, now_ms);
    }

    /// Sets the last contact with a machine to a time that is already past.
    pub(crate) fn set_last_contact(&mut self, id: MemberId, last_contact_ms: u64) {
        self.last_contact_ms.insert(id, last_contact_ms);
    }

    /// Notes that the connection to a machine broke: it counts as silent soon unless it is in
    /// contact again.
    pub(crate) fn record_disconnect(&mut self, id: MemberId, now_ms: u64) {
        let latest_ms = now_ms.saturating_sub(IN_SYNC_CONTACT_TIMEOUT_MS - RECONNECT_TIMEOUT_MS);
        let last_contact_ms = self.last_contact_ms.entry(id).or_default();
        *last_contact_ms = (*last_contact_ms).min(latest_ms);
    }

    /// How long ago the last message from a machine arrived, milliseconds.
    pub(crate) fn ms_since_contact(&self, id: MemberId, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_contact_ms.get(&id).copied().unwrap_or(0))
    }
}
