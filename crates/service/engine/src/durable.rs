//! Durable jobs: jobs that go on through a crash of the process.
//!
//! - `recording`: which jobs are durable, and the records of what becomes of them;
//! - `repeats`: repeats of a request, which join it or are answered again;
//! - `leases`: the leases under which workers run durable jobs;
//! - `storage`: the log's size, and its failure;
//! - `recovery`: what comes back after a crash.
//!
//! The order between records and what is seen of them is kept by where [`Effect::AppendRecord`]
//! stands: what must wait for it is wrapped in [`Effect::AfterDurable`] behind it.
mod leases;
mod recording;
mod recovery;
pub(crate) mod repeats;
mod storage;

use crate::stats::DurableJobStats;
use crate::{Answer, Effect, MS};
use spanlead_balancing_policy::{Nanos, RequestId};
use spanlead_durable_jobs::{ClockAnchor, JobNumber, JobTable, Lsn};
use std::collections::HashMap;

/// What a client is told to wait whose job cannot be recorded now.
const DURABLE_RETRY_AFTER: Nanos = 1_000 * MS;

/// The log of durable jobs, read, and how jobs are kept.
#[derive(Debug)]
pub struct DurableSetup {
    /// The jobs that were read.
    pub job_table: JobTable,
    /// How this process's clock reads.
    pub clock_anchor: ClockAnchor,
    /// Whether jobs are kept that nobody can come back for and whose repeats are harmless.
    pub keep_all_jobs: bool,
    /// How long a worker may hold a job without a notice.
    pub lease_duration: Nanos,
    /// The most by which clocks drift apart, or a message waits, within a lease.
    pub clock_bound: Nanos,
    /// The most on disk, bytes.
    pub max_disk_bytes: u64,
    /// The size of a segment, bytes.
    pub segment_bytes: u64,
}

/// The durable jobs of this process.
pub(crate) struct DurableJobs {
    pub(crate) job_table: JobTable,
    /// The log cannot be written to any more.
    pub(crate) failed: bool,
    /// The open request of each job.
    pub(crate) open_requests: HashMap<JobNumber, RequestId>,
    keep_all_jobs: bool,
    lease_duration: Nanos,
    clock_bound: Nanos,
    max_disk_bytes: u64,
    segment_bytes: u64,
    /// The oldest record that the log was told to keep.
    truncated_to: Lsn,
    counters: DurableJobStats,
}

impl DurableJobs {
    fn new(job_table: JobTable, setup: DurableSettings) -> Self {
        DurableJobs {
            job_table,
            failed: false,
            open_requests: HashMap::new(),
            keep_all_jobs: setup.keep_all_jobs,
            lease_duration: setup.lease_duration,
            clock_bound: setup.clock_bound,
            max_disk_bytes: setup.max_disk_bytes,
            segment_bytes: setup.segment_bytes,
            truncated_to: 0,
            counters: DurableJobStats::default(),
        }
    }

    pub(crate) fn stats(&self) -> DurableJobStats {
        let now = self.job_table.stats();
        let (open, retained, live_bytes) = (now.open, now.retained, now.live_bytes);
        DurableJobStats { open, retained, live_bytes, failed: self.failed, ..self.counters }
    }

    /// Whether the job of this id is kept with its end.
    pub(crate) fn has_finished_job(&self, job_id: &str) -> bool {
        self.job_table.job_by_id(job_id).is_some_and(|job| !job.is_open())
    }

    /// The open request of the job of this id.
    fn open_request(&self, job_id: &str) -> Option<RequestId> {
        let job = self.job_table.job_by_id(job_id)?;
        self.open_requests.get(&job.accepted.number).copied()
    }

    fn is_full(&self) -> bool {
        !self.job_table.has_capacity() || self.counters.disk_bytes >= self.max_disk_bytes
    }
}

/// How durable jobs are kept.
struct DurableSettings {
    keep_all_jobs: bool,
    lease_duration: Nanos,
    clock_bound: Nanos,
    max_disk_bytes: u64,
    segment_bytes: u64,
}

/// An effect that waits for all records before it.
pub(crate) fn after_durable(effect: Effect, until: Nanos) -> Effect {
    Effect::AfterDurable { effect: Box::new(effect), until }
}

/// An answer to a client. A result waits until it is durable; whatever else is said of a job claims
/// nothing that a crash could make untrue.
pub(crate) fn answer_effect(
    request_id: RequestId,
    answer: Answer,
    job: Option<JobNumber>,
    deadline: Nanos,
) -> Effect {
    let must_wait = job.is_some() && matches!(answer, Answer::Served(_));
    let effect = Effect::Answer { request_id, answer, job };
    if must_wait { after_durable(effect, deadline) } else { effect }
}
