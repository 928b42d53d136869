//! A failure detector based on the time since the last message of each machine.
use crate::timing::{IN_SYNC_CONTACT_TIMEOUT_MS, RECONNECT_TIMEOUT_MS};
use crate::view::MemberId;
use std::collections::BTreeMap;

/// The time of the last contact with each machine.
#[derive(Clone, Debug)]
pub(crate) struct FailureDetector {
    /// When the last message from each machine arrived, by the primary's clock, milliseconds.
    last_contact_ms: BTreeMap<MemberId, u64>,
}

impl FailureDetector {
    /// Creates a detector for which all these machines are in contact at `now_ms`.
    pub(crate) fn new(members: impl Iterator<Item = MemberId>, now_ms: u64) -> Self {
        FailureDetector { last_contact_ms: members.map(|id| (id, now_ms)).collect() }
    }

    /// Records the arrival of a message from a machine.
    pub(crate) fn record_contact(&mut self, id: MemberId, now_ms: u64) {
        self.last_contact_ms.insert(id, now_ms);
    }

    /// Sets the time of the last contact with a machine to an earlier time.
    pub(crate) fn set_last_contact(&mut self, id: MemberId, last_contact_ms: u64) {
        self.last_contact_ms.insert(id, last_contact_ms);
    }

    /// Records the loss of the connection to a machine, by moving the last contact back in time:
    /// [`RECONNECT_TIMEOUT_MS`] from now the machine has been out of contact for
    /// [`IN_SYNC_CONTACT_TIMEOUT_MS`], unless it is in contact again before.
    pub(crate) fn record_disconnect(&mut self, id: MemberId, now_ms: u64) {
        let latest_ms = now_ms.saturating_sub(IN_SYNC_CONTACT_TIMEOUT_MS - RECONNECT_TIMEOUT_MS);
        let last_contact_ms = self.last_contact_ms.entry(id).or_default();
        *last_contact_ms = (*last_contact_ms).min(latest_ms);
    }

    /// The time since the last contact with a machine, milliseconds; since 0 if there was none.
    pub(crate) fn ms_since_contact(&self, id: MemberId, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_contact_ms.get(&id).copied().unwrap_or(0))
    }
}
