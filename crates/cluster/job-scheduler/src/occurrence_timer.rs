//! When the next occurrences of repeated and delayed jobs are due.
use crate::ids::JobId;
use std::collections::BTreeSet;

/// An occurrence that is not due yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimedOccurrence {
    /// Milliseconds since 1970.
    due_at_ms: u64,
    job: JobId,
    occurrence: u32,
}

/// The occurrences that are not due yet: at most one of each job, its next.
#[derive(Debug, Default)]
pub(crate) struct OccurrenceTimer {
    occurrences: BTreeSet<TimedOccurrence>,
}

impl OccurrenceTimer {
    /// Sets the next occurrence of a job, due at `due_at_ms` since 1970.
    pub(crate) fn schedule(&mut self, due_at_ms: u64, job: JobId, occurrence: u32) {
        self.occurrences.insert(TimedOccurrence { due_at_ms, job, occurrence });
    }

    /// Removes the earliest occurrence that is due, and returns its job.
    pub(crate) fn pop_due(&mut self, now_unix_ms: u64) -> Option<JobId> {
        let first = self.occurrences.first()?;
        if first.due_at_ms > now_unix_ms {
            return None;
        }
        self.occurrences.pop_first().map(|occurrence| occurrence.job)
    }

    pub(crate) fn remove_job(&mut self, job: JobId) {
        self.occurrences.retain(|occurrence| occurrence.job != job);
    }
}
