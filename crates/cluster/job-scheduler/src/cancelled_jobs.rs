//! The identifiers of jobs that were cancelled and are not in the job table.
//!
//! A cancellation may overtake the submission of its job: the submission waits in the socket of a
//! stopped process or on a link while the client, which got no response, cancels the job elsewhere.
//! The identifier is remembered, so that the submission is refused when it arrives.
//!
//! Invariant: from the acknowledgement of a cancellation on, its identifier is in the job table or
//! here for at least [`MIN_RETENTION_MS`]. That is longer than [`MAX_SUBMISSION_AGE_MS`], the age
//! up to which the embedder passes on a submission. So no submission that was sent before the
//! acknowledgement is accepted after it.
//!
//! The number of identifiers is bounded. Where there is no room, a cancellation is refused instead
//! of acknowledged.
use crate::ids::JobId;
use crate::record::ClosedRecord;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// The maximum age of a submission when it is passed to [`crate::Scheduler::submit`], from the
/// moment at which its client sent it, milliseconds. The embedder must not pass on older ones.
pub const MAX_SUBMISSION_AGE_MS: u64 = 100_000;
/// The minimum time for which the identifier of a cancelled job is remembered, milliseconds. A
/// tenth longer than a submission may wait, as the clocks of two machines differ in speed.
pub(crate) const MIN_RETENTION_MS: u64 = MAX_SUBMISSION_AGE_MS + MAX_SUBMISSION_AGE_MS / 10;

/// The maximum number of identifiers.
const MAX_IDENTIFIERS: usize = 50_000;
/// The number of identifiers above which those that have been remembered for [`MIN_RETENTION_MS`]
/// are forgotten. After a failover, when the time of all begins again, the rest of the room is free.
const TARGET_IDENTIFIERS: usize = MAX_IDENTIFIERS / 2;

/// An identifier, and the record that holds it.
#[derive(Clone, Copy, Debug)]
struct Entry {
    record: ClosedRecord,
    /// The last cancellation in this term, or the start of the term, monotonic milliseconds.
    cancelled_at_ms: u64,
}

/// The place of an identifier in the order in which they are forgotten.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OrderKey {
    cancelled_at_ms: u64,
    job: JobId,
}

/// The remembered identifiers.
///
/// `order` holds each key of `entries` once, with the time of its entry.
#[derive(Debug, Default)]
pub(crate) struct CancelledJobs {
    entries: FxHashMap<JobId, Entry>,
    order: BTreeSet<OrderKey>,
}

impl CancelledJobs {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn contains(&self, job: JobId) -> bool {
        self.entries.contains_key(&job)
    }

    /// Whether another identifier may be added.
    pub(crate) fn has_room(&self) -> bool {
        self.entries.len() < MAX_IDENTIFIERS
    }

    /// The record of a remembered identifier.
    pub(crate) fn record(&self, job: JobId) -> Option<ClosedRecord> {
        self.entries.get(&job).map(|entry| entry.record)
    }

    /// Remembers an identifier from `now_ms` on, monotonic milliseconds.
    pub(crate) fn add(&mut self, now_ms: u64, job: JobId, record: ClosedRecord) {
        self.remove(job);
        self.entries.insert(job, Entry { record, cancelled_at_ms: now_ms });
        self.order.insert(OrderKey { cancelled_at_ms: now_ms, job });
    }

    /// Remembers an identifier anew from `now_ms` on, monotonic milliseconds, since it was cancelled
    /// once more. Returns `false` if it is not remembered. No record changes: after a failover the
    /// time of every identifier begins again.
    pub(crate) fn renew(&mut self, now_ms: u64, job: JobId) -> bool {
        let Some(record) = self.record(job) else { return false };
        self.add(now_ms, job, record);
        true
    }

    /// The identifier to be forgotten next; `None` while there are few, or while the oldest one has
    /// to be remembered.
    pub(crate) fn next_expired(&self, now_ms: u64) -> Option<JobId> {
        let oldest = self.order.first().filter(|_| self.order.len() > TARGET_IDENTIFIERS)?;
        (now_ms >= oldest.cancelled_at_ms + MIN_RETENTION_MS).then_some(oldest.job)
    }

    /// Forgets an identifier.
    pub(crate) fn remove(&mut self, job: JobId) {
        if let Some(Entry { cancelled_at_ms, .. }) = self.entries.remove(&job) {
            self.order.remove(&OrderKey { cancelled_at_ms, job });
        }
    }
}
