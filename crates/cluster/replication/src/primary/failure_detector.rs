//! How long other machines have been silent.
use crate::timing::{IN_SYNC_SILENCE_TIMEOUT_MS, RECONNECT_TIMEOUT_MS};
use crate::view::MemberId;
use std::collections::BTreeMap;

/// When each machine was heard last, by the primary's clock, milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct FailureDetector {
    heard_at_ms: BTreeMap<MemberId, u64>,
}

impl FailureDetector {
    /// Takes all these machines as heard now.
    pub(crate) fn new(members: impl Iterator<Item = MemberId>, now_ms: u64) -> Self {
        FailureDetector { heard_at_ms: members.map(|id| (id, now_ms)).collect() }
    }

    /// Notes that a machine was heard.
    pub(crate) fn heard_from(&mut self, id: MemberId, now_ms: u64) {
        self.heard_at_ms.insert(id, now_ms);
    }

    /// Takes a machine as silent since a time that is already past.
    pub(crate) fn silent_since(&mut self, id: MemberId, since_ms: u64) {
        self.heard_at_ms.insert(id, since_ms);
    }

    /// Notes that the connection to a machine broke: it counts as silent soon unless it is heard again.
    pub(crate) fn connection_lost(&mut self, id: MemberId, now_ms: u64) {
        let latest_ms = now_ms.saturating_sub(IN_SYNC_SILENCE_TIMEOUT_MS - RECONNECT_TIMEOUT_MS);
        let heard_at_ms = self.heard_at_ms.entry(id).or_default();
        *heard_at_ms = (*heard_at_ms).min(latest_ms);
    }

    /// How long a machine has been silent, milliseconds.
    pub(crate) fn silence_ms(&self, id: MemberId, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.heard_at_ms.get(&id).copied().unwrap_or(0))
    }
}
