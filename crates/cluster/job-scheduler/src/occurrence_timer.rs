//! The timer for the next occurrences of repeated and delayed jobs.
use crate::ids::JobId;
use std::collections::BTreeSet;

/// An occurrence that is not due yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimedOccurrence {
    /// Milliseconds since the Unix epoch.
    due_at_ms: u64,
    job: JobId,
    occurrence: u32,
}

/// The occurrences that are not due yet: at most the next one of each job.
#[derive(Debug, Default)]
pub(crate) struct OccurrenceTimer {
    occurrences: BTreeSet<TimedOccurrence>,
}

impl OccurrenceTimer {
    /// Schedules the next occurrence of a job for `due_at_ms`, milliseconds since the Unix epoch.
    pub(crate) fn schedule(&mut self, due_at_ms: u64, job: JobId, occurrence: u32) {
        self.occurrences.insert(TimedOccurrence { due_at_ms, job, occurrence });
    }

    /// Removes the earliest occurrence if it is due, and returns its job.
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
