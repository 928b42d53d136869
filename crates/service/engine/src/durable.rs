//! Durable jobs: jobs that survive a crash of the process.
//!
//! - `recording`: which jobs are durable, and their records in the log;
//! - `repeats`: client retries, which join the open request or get the recorded answer;
//! - `leases`: the leases under which workers run durable jobs;
//! - `storage`: the log's size and failure;
//! - `recovery`: the continuation of open jobs after a crash.
//!
//! The order of effects keeps a record ahead of what depends on it: an effect that must not be
//! visible before a record is durable follows its [`Effect::AppendRecord`], wrapped in
//! [`Effect::AfterDurable`].
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

/// Retry delay advised to a client whose job cannot be recorded now.
const DURABLE_RETRY_AFTER: Nanos = 1_000 * MS;

/// The jobs read from the log of durable jobs, and the settings for durable jobs.
#[derive(Debug)]
pub struct DurableSetup {
    /// The jobs read from the log.
    pub job_table: JobTable,
    /// Relates the clock of this process to those of other processes.
    pub clock_anchor: ClockAnchor,
    /// Whether all jobs are durable. Otherwise a job is durable if it has an idempotency key or
    /// must run at most once; no client can retry a job without a key.
    pub keep_all_jobs: bool,
    /// How long a worker may keep a job without sending a notice.
    pub lease_duration: Nanos,
    /// Bound on the clock drift, and on the delay of a message, within a lease.
    pub clock_bound: Nanos,
    /// The maximum size of the log on disk, bytes.
    pub max_disk_bytes: u64,
    /// The size of a log segment, bytes.
    pub segment_bytes: u64,
}

/// The durable jobs of this process.
pub(crate) struct DurableJobs {
    pub(crate) job_table: JobTable,
    /// Whether the log is no longer writable.
    pub(crate) failed: bool,
    /// The open request of each open job.
    pub(crate) open_requests: HashMap<JobNumber, RequestId>,
    keep_all_jobs: bool,
    lease_duration: Nanos,
    clock_bound: Nanos,
    max_disk_bytes: u64,
    segment_bytes: u64,
    /// The oldest needed record at the last truncation of the log.
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

    /// Whether the job of this id has finished and is retained.
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

/// The settings for durable jobs.
struct DurableSettings {
    keep_all_jobs: bool,
    lease_duration: Nanos,
    clock_bound: Nanos,
    max_disk_bytes: u64,
    segment_bytes: u64,
}

/// Wraps an effect so that it waits until all earlier records are durable, at most until `until`.
pub(crate) fn after_durable(effect: Effect, until: Nanos) -> Effect {
    Effect::AfterDurable { effect: Box::new(effect), until }
}

/// The effect that answers a client. A job's result is sent only once it is durable. Other answers
/// are sent at once, since they claim nothing that a crash could make untrue.
pub(crate) fn answer_effect(
    request_id: RequestId,
    answer: Answer,
    job: Option<JobNumber>,
    deadline: Nanos,
) -> Effect {
    let must_wait = job.is_some() && matches!(answer, Answer::Succeeded(_));
    let effect = Effect::Answer { request_id, answer, job };
    if must_wait { after_durable(effect, deadline) } else { effect }
}
