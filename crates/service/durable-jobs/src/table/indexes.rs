//! Insertion, update and removal of jobs. The indexes and sums of [`JobTable`] are changed only
//! here, together with the jobs.
use super::JobTable;
use crate::error::RejectReason;
use crate::ids::{JobNumber, Lsn};
use crate::job::Job;
use spanlead_balancing_policy::Nanos;

/// A job with the position of its base record and the end of its retention.
#[derive(Clone, Debug)]
pub(super) struct JobEntry {
    pub(super) job: Job,
    /// The LSN of the job's base record, from which it can be replayed.
    base_lsn: Lsn,
    /// When the job's retention ends: `None` while the job is open, 0 if nothing depends on it.
    retained_until: Option<Nanos>,
    /// The job's current share of the table's `live_bytes`.
    size_bytes: usize,
}

impl JobEntry {
    /// Returns whether the job has finished and nothing depends on it.
    fn needs_no_retention(&self) -> bool {
        self.retained_until == Some(0)
    }
}

impl JobTable {
    /// Adds a job that can be replayed from the record `base_lsn`.
    pub(super) fn insert(&mut self, job: Job, base_lsn: Lsn) {
        let number = job.accepted.number;
        let retained_until = job.retained_until(self.limits.retention);
        let entry = JobEntry { base_lsn, retained_until, size_bytes: job.size_bytes(), job };
        self.by_id.insert(entry.job.accepted.id.clone(), number);
        if let Some(key) = entry.job.key() {
            self.by_key.insert(key, number);
        }
        self.by_base_lsn.insert(base_lsn, number);
        self.expirations.extend(retained_until.map(|until| (until, number)));
        self.open_count += usize::from(retained_until.is_none());
        self.live_bytes += entry.size_bytes;
        self.entries.insert(number, entry);
    }

    /// Removes a job if the table contains it. This is the only place where jobs are removed.
    pub(super) fn remove(&mut self, number: JobNumber) {
        let Some(entry) = self.entries.remove(&number) else { return };
        let id = &entry.job.accepted.id;
        if self.by_id.get(id) == Some(&number) {
            self.by_id.remove(id);
        }
        if let Some(key) = entry.job.key().filter(|key| self.by_key.get(key) == Some(&number)) {
            self.by_key.remove(&key);
        }
        self.by_base_lsn.remove(&entry.base_lsn);
        if let Some(until) = entry.retained_until {
            self.expirations.remove(&(until, number));
        }
        self.open_count -= usize::from(entry.retained_until.is_none());
        self.live_bytes -= entry.size_bytes;
    }

    /// Removes a job that has just finished if nothing depends on it.
    pub(super) fn remove_if_unneeded(&mut self, number: JobNumber) {
        if self.entries.get(&number).is_some_and(JobEntry::needs_no_retention) {
            self.remove(number);
        }
    }

    /// Changes a job in place, and updates the indexes if the change finishes the job. `change`
    /// must leave the job unmodified if it fails.
    ///
    /// # Errors
    /// If the job is unknown or `change` fails.
    pub(super) fn update(
        &mut self,
        number: JobNumber,
        change: impl FnOnce(&mut Job) -> Result<(), RejectReason>,
    ) -> Result<(), RejectReason> {
        let entry = self.entries.get_mut(&number).ok_or(RejectReason::UnknownJob)?;
        let was_open = entry.job.is_open();
        change(&mut entry.job)?;
        if was_open && let Some(until) = entry.job.retained_until(self.limits.retention) {
            self.open_count -= 1;
            entry.retained_until = Some(until);
            self.expirations.insert((until, number));
            let size_bytes = entry.job.size_bytes();
            self.live_bytes += size_bytes;
            self.live_bytes -= std::mem::replace(&mut entry.size_bytes, size_bytes);
        }
        Ok(())
    }

    /// Adds `shift` nanoseconds to all times, which converts them to another process's clock.
    pub(super) fn shift_times(&mut self, shift: i128) {
        self.expirations.clear();
        for (number, entry) in &mut self.entries {
            entry.job.shift_times(shift);
            entry.retained_until = entry.job.retained_until(self.limits.retention);
            self.expirations.extend(entry.retained_until.map(|until| (until, *number)));
        }
    }
}
