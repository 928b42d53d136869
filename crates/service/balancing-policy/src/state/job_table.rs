//! The table of a dispatcher's jobs.

use super::job::{Job, Phase};
use crate::api::RequestId;
use rustc_hash::FxHashMap;

/// A job's number, assigned in the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct JobNumber(pub(crate) u64);

/// The jobs of a dispatcher.
///
/// Invariants: `pending` contains the numbers of the jobs in [`Phase::Pending`] that wait for their
/// next round, in the order in which they became pending. A closed job is kept only while it has
/// attempts in flight, so that their slots are freed when they end.
#[derive(Default)]
pub(crate) struct JobTable {
    numbers: FxHashMap<RequestId, JobNumber>,
    jobs: FxHashMap<JobNumber, Job>,
    pending: Vec<JobNumber>,
    last_number: u64,
}

impl JobTable {
    /// Assigns the next job number to a request.
    pub(crate) fn number_for(&mut self, request: RequestId) -> JobNumber {
        self.last_number += 1;
        let number = JobNumber(self.last_number);
        self.numbers.insert(request, number);
        number
    }

    /// Inserts a job under the number that [`JobTable::number_for`] assigned.
    pub(crate) fn insert(&mut self, number: JobNumber, job: Job) {
        self.jobs.insert(number, job);
    }

    /// Returns the number of a request's job.
    pub(crate) fn find(&self, request: RequestId) -> Option<JobNumber> {
        self.numbers.get(&request).copied()
    }

    /// Returns a job by its number.
    pub(crate) fn get(&self, number: JobNumber) -> Option<&Job> {
        self.jobs.get(&number)
    }

    /// Returns a mutable reference to a job by its number.
    pub(crate) fn get_mut(&mut self, number: JobNumber) -> Option<&mut Job> {
        self.jobs.get_mut(&number)
    }

    /// Returns a job by its number, if it is pending.
    pub(crate) fn get_pending(&self, number: JobNumber) -> Option<&Job> {
        self.get(number).filter(|job| job.phase == Phase::Pending)
    }

    /// Returns the numbers of the pending jobs.
    pub(crate) fn pending(&self) -> &[JobNumber] {
        &self.pending
    }

    /// Marks a job as pending.
    pub(crate) fn mark_pending(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.phase = Phase::Pending;
        if !self.pending.contains(&number) {
            self.pending.push(number);
        }
    }

    /// Marks a job as sent.
    pub(crate) fn mark_sent(&mut self, number: JobNumber) {
        self.pending.retain(|pending| *pending != number);
        if let Some(job) = self.jobs.get_mut(&number) {
            job.phase = Phase::Sent;
        }
    }

    /// Closes a job; removes it unless it has attempts in flight.
    pub(crate) fn close(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if job.phase == Phase::Pending {
            self.pending.retain(|pending| *pending != number);
        }
        job.phase = Phase::Closed;
        if !job.has_attempt_in_flight() {
            self.numbers.remove(&job.request.id);
            self.jobs.remove(&number);
        }
    }
}
