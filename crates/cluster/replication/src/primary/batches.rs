//! The batches that a primary has proposed: when each was sent, and which are on disk and
//! committed.
use crate::timing::{ACKNOWLEDGEMENT_TIMEOUT_MS, DISK_STALL_TIMEOUT_MS, MAX_BATCH_TRANSIT_MS};
use std::collections::VecDeque;

/// A batch that was sent to the backups.
#[derive(Clone, Copy, Debug)]
struct SentBatch {
    sequence: u64,
    sent_at_ms: u64,
}

/// The progress of a primary's batches, as sequence numbers.
///
/// Invariant: `committed` and `local_durable` are at most `last`, and none of the three ever
/// decreases.
#[derive(Clone, Debug)]
pub(crate) struct BatchTracker {
    /// The last proposed batch.
    last: u64,
    /// The last batch of this primary on its own disk; 0 if there is none yet.
    local_durable: u64,
    /// The last committed batch.
    committed: u64,
    /// Batches that are not committed or may still be in transit.
    sent: VecDeque<SentBatch>,
}

impl BatchTracker {
    /// Creates the tracker of a primary that takes over after batch `last`. What an earlier term
    /// left on its disk does not count: batches of two terms may have the same sequence numbers.
    pub(crate) fn new(last: u64) -> Self {
        BatchTracker { last, local_durable: 0, committed: 0, sent: VecDeque::new() }
    }

    /// The sequence number of the last proposed batch.
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last
    }

    /// The sequence number of this primary's last batch on its own disk; 0 if there is none yet.
    pub(crate) fn local_durable_sequence(&self) -> u64 {
        self.local_durable
    }

    /// The sequence number of the last committed batch; 0 if this primary has committed none.
    pub(crate) fn committed_sequence(&self) -> u64 {
        self.committed
    }

    /// Records that this batch and all earlier ones are on the primary's own disk.
    pub(crate) fn record_local_write(&mut self, sequence: u64) {
        self.local_durable = sequence;
    }

    /// Commits all batches up to this one. Returns whether any of them was uncommitted.
    pub(crate) fn commit_up_to(&mut self, sequence: u64) -> bool {
        let advances = sequence > self.committed;
        self.committed = self.committed.max(sequence);
        advances
    }

    /// Adds a batch that is sent at `now_ms` and returns its sequence number.
    pub(crate) fn append(&mut self, now_ms: u64) -> u64 {
        self.last += 1;
        self.sent.push_back(SentBatch { sequence: self.last, sent_at_ms: now_ms });
        self.last
    }

    /// The first tracked batch after `acknowledged`.
    fn first_unacknowledged(&self, acknowledged: u64) -> Option<&SentBatch> {
        self.sent.iter().find(|batch| batch.sequence > acknowledged)
    }

    /// Whether a backup whose last acknowledged batch is `acknowledged` lacks only batches that may
    /// still be in transit.
    pub(crate) fn is_caught_up(&self, acknowledged: u64, now_ms: u64) -> bool {
        // Batches before the first in `sent` were sent too long ago to be in transit.
        let last_not_in_transit = self.sent.front().map_or(self.committed, |first| first.sequence - 1);
        let missing = self.first_unacknowledged(acknowledged);
        acknowledged >= last_not_in_transit
            && missing.is_none_or(|batch| now_ms < batch.sent_at_ms + MAX_BATCH_TRANSIT_MS)
    }

    /// Whether a backup whose last acknowledged batch is `acknowledged` has exceeded
    /// [`ACKNOWLEDGEMENT_TIMEOUT_MS`] for a later one.
    pub(crate) fn is_overdue(&self, acknowledged: u64, now_ms: u64) -> bool {
        let missing = self.first_unacknowledged(acknowledged);
        missing.is_some_and(|batch| now_ms > batch.sent_at_ms + ACKNOWLEDGEMENT_TIMEOUT_MS)
    }

    /// Whether a write to the primary's own disk has exceeded [`DISK_STALL_TIMEOUT_MS`], so that
    /// another machine should take over.
    pub(crate) fn is_own_disk_stalled(&self, now_ms: u64) -> bool {
        let missing = self.first_unacknowledged(self.local_durable);
        missing.is_some_and(|batch| now_ms > batch.sent_at_ms + DISK_STALL_TIMEOUT_MS)
    }

    /// Removes batches that are committed and no longer in transit.
    pub(crate) fn prune(&mut self, now_ms: u64) {
        let committed = self.committed;
        let is_obsolete = |batch: &SentBatch| {
            batch.sequence <= committed && now_ms > batch.sent_at_ms + MAX_BATCH_TRANSIT_MS
        };
        while self.sent.front().is_some_and(is_obsolete) {
            self.sent.pop_front();
        }
    }
}
