//! The batches that a primary has proposed: when each was sent, and how far they are on disk and
//! committed.
use crate::timing::{ACKNOWLEDGEMENT_TIMEOUT_MS, DISK_STALL_TIMEOUT_MS, MAX_BATCH_TRANSIT_MS};
use std::collections::VecDeque;

/// A batch that was sent.
#[derive(Clone, Copy, Debug)]
struct SentBatch {
    sequence: u64,
    sent_at_ms: u64,
}

/// The progress of a primary's batches, by sequence number.
///
/// Invariant: `committed` and `durable_locally` are at most `last`, and none of the three ever
/// falls.
#[derive(Clone, Debug)]
pub(crate) struct BatchTracker {
    /// The last batch that was proposed.
    last: u64,
    /// The last batch on the primary's own disk.
    durable_locally: u64,
    /// The last committed batch.
    committed: u64,
    /// Batches that are not committed, or were sent a short time ago.
    sent: VecDeque<SentBatch>,
}

impl BatchTracker {
    /// A primary that takes over after batch `last`.
    pub(crate) fn new(last: u64, durable_locally: u64) -> Self {
        BatchTracker { last, durable_locally, committed: 0, sent: VecDeque::new() }
    }

    /// The last batch that was proposed.
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last
    }

    /// The last batch on the primary's own disk.
    pub(crate) fn local_durable_sequence(&self) -> u64 {
        self.durable_locally
    }

    /// The last committed batch.
    pub(crate) fn committed_sequence(&self) -> u64 {
        self.committed
    }

    /// Notes that the primary's own disk has this batch and all before.
    pub(crate) fn record_local_write(&mut self, sequence: u64) {
        self.durable_locally = sequence;
    }

    /// Commits all batches up to this one. Returns whether any of them was not committed before.
    pub(crate) fn commit_up_to(&mut self, sequence: u64) -> bool {
        let advances = sequence > self.committed;
        self.committed = self.committed.max(sequence);
        advances
    }

    /// Numbers a new batch.
    pub(crate) fn append(&mut self, now_ms: u64) -> u64 {
        self.last += 1;
        self.sent.push_back(SentBatch { sequence: self.last, sent_at_ms: now_ms });
        self.last
    }

    /// When the first batch after `acknowledged` was sent.
    fn first_missing(&self, acknowledged: u64) -> Option<&SentBatch> {
        self.sent.iter().find(|batch| batch.sequence > acknowledged)
    }

    /// Whether a backup that has acknowledged this batch lacks only batches that are in transit.
    pub(crate) fn is_current(&self, acknowledged: u64, now_ms: u64) -> bool {
        // Batches before the first in `sent` were sent too long ago to be in transit.
        let not_in_transit = self.sent.front().map_or(self.committed, |first| first.sequence - 1);
        let missing = self.first_missing(acknowledged);
        acknowledged >= not_in_transit
            && missing.is_none_or(|batch| now_ms < batch.sent_at_ms + MAX_BATCH_TRANSIT_MS)
    }

    /// Whether a backup that has acknowledged this batch lacks one that it should have acknowledged
    /// long ago.
    pub(crate) fn is_overdue(&self, acknowledged: u64, now_ms: u64) -> bool {
        let missing = self.first_missing(acknowledged);
        missing.is_some_and(|batch| now_ms > batch.sent_at_ms + ACKNOWLEDGEMENT_TIMEOUT_MS)
    }

    /// Whether the primary's own disk has made no progress for so long that another machine should
    /// take over.
    pub(crate) fn is_own_disk_stalled(&self, now_ms: u64) -> bool {
        let missing = self.first_missing(self.durable_locally);
        missing.is_some_and(|batch| now_ms > batch.sent_at_ms + DISK_STALL_TIMEOUT_MS)
    }

    /// Forgets batches that are committed and no longer in transit.
    pub(crate) fn forget_old(&mut self, now_ms: u64) {
        let committed = self.committed;
        let is_old = |batch: &SentBatch| {
            batch.sequence <= committed && now_ms > batch.sent_at_ms + MAX_BATCH_TRANSIT_MS
        };
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
    }
}
