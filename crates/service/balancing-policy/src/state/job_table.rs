//! All jobs of a dispatcher.

use super::job::{Job, Phase};
use crate::api::RequestId;
use rustc_hash::FxHashMap;

/// A job's number, counted up in the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct JobNumber(pub(crate) u64);

/// All jobs of a dispatcher.
///
/// Invariant: `pending` holds the numbers of the jobs in [`Phase::Pending`] that wait for their
/// next round, in the order in which they became pending. A closed job stays only while attempts of
/// it are in flight, for the count of slots.
#[derive(Default)]
pub(crate) struct JobTable {
    numbers: FxHashMap<RequestId, JobNumber>,
    jobs: FxHashMap<JobNumber, Job>,
    pending: Vec<JobNumber>,
    last_number: u64,
}

impl JobTable {
    /// The number of the next job, which serves this request.
    pub(crate) fn number_for(&mut self, request: RequestId) -> JobNumber {
        self.last_number += 1;
        let number = JobNumber(self.last_number);
        self.numbers.insert(request, number);
        number
    }

    /// Adds a job under the number that [`JobTable::number_for`] gave.
    pub(crate) fn insert(&mut self, number: JobNumber, job: Job) {
        self.jobs.insert(number, job);
    }

    /// The number of the job that serves a request.
    pub(crate) fn find(&self, request: RequestId) -> Option<JobNumber> {
        self.numbers.get(&request).copied()
    }

    /// A job by its number, while it is known.
    pub(crate) fn get(&self, number: JobNumber) -> Option<&Job> {
        self.jobs.get(&number)
    }

    /// A job by its number, to be changed.
    pub(crate) fn get_mut(&mut self, number: JobNumber) -> Option<&mut Job> {
        self.jobs.get_mut(&number)
    }

    /// The job, if it is pending.
    pub(crate) fn get_pending(&self, number: JobNumber) -> Option<&Job> {
        self.get(number).filter(|job| job.phase == Phase::Pending)
    }

    /// The numbers of the pending jobs.
    pub(crate) fn pending(&self) -> &[JobNumber] {
        &self.pending
    }

    /// Makes a job pending.
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

    /// Ends a job.
    pub(crate) fn close(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if job.phase == Phase::Pending {
            self.pending.retain(|pending| *pending != number);
        }
        job.phase = Phase::Closed;
        if !job.is_in_flight() {
            self.numbers.remove(&job.request.id);
            self.jobs.remove(&number);
        }
    }
}
