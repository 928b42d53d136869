//! The table of all jobs, open and retained: the state that results from applying the log's
//! records.
//!
//! - `apply`: applies records to jobs or rejects them, and replays the log;
//! - `indexes`: inserts, updates and removes jobs together with their index entries;
//! - `compaction`: the part of the log that is still needed, and snapshots that shorten it.
mod apply;
mod compaction;
mod indexes;

use crate::ids::{FencingToken, JobNumber, Lsn};
use crate::job::{IdempotencyKey, Job, JobOutcome, RetrySafety};
use crate::lease::PastAttempt;
use crate::record::Record;
use crate::session::{ClockAnchor, Session};
use indexes::JobEntry;
use serde::Serialize;
use spanlead_balancing_policy::Nanos;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// The limits of a job table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobTableLimits {
    /// The minimum time for which a finished job is retained, for clients that retry.
    pub retention: Nanos,
    /// The maximum number of jobs, open and retained together.
    pub max_jobs: usize,
}

/// The result of looking up a client's request by its idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyLookup {
    /// The key is unknown.
    New,
    /// The request is a retry of this open job.
    InProgress(JobNumber),
    /// The request is a retry of this job, which has this outcome.
    Finished(JobNumber, JobOutcome),
    /// An earlier job with this key was rejected or failed, and the request may be run as a new
    /// job. These attempts of the earlier job may have run; the class determines which workers a
    /// retry may use after them.
    Retryable(Vec<PastAttempt>),
    /// The key was used for a different request.
    RequestMismatch,
}

/// Gauges of a job table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct JobTableStats {
    /// The number of jobs without an outcome.
    pub open: usize,
    /// The number of finished jobs that are retained for clients that retry.
    #[serde(rename = "kept")]
    pub retained: usize,
    /// An upper estimate of the bytes that open and retained jobs take together.
    pub live_bytes: usize,
}

/// All jobs, open and retained.
///
/// Invariants, maintained by `indexes`: every job is in `by_id` and, if it has a key, in `by_key`,
/// unless a later job replaced it there; `by_base_lsn` has one entry for each job and `expirations`
/// one for each finished job; `open_count` and `live_bytes` are the sums over `entries`.
#[derive(Clone, Debug)]
pub struct JobTable {
    limits: JobTableLimits,
    entries: HashMap<JobNumber, JobEntry>,
    by_key: HashMap<IdempotencyKey, JobNumber>,
    by_id: HashMap<Arc<str>, JobNumber>,
    /// Jobs by the oldest record needed to replay them: the log may drop the records before the
    /// first of these.
    by_base_lsn: BTreeMap<Lsn, JobNumber>,
    /// Finished jobs by the end of their retention.
    expirations: BTreeSet<(Nanos, JobNumber)>,
    /// The current session.
    session: Option<Session>,
    /// The session records that are still needed: the times in a record can be converted only with
    /// the record of its session.
    session_lsns: BTreeSet<Lsn>,
    last_lsn: Lsn,
    /// Whether records of the replayed log are missing because they were dropped.
    log_truncated: bool,
    next_job: JobNumber,
    next_token: FencingToken,
    open_count: usize,
    live_bytes: usize,
}

impl JobTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: JobTableLimits) -> Self {
        JobTable {
            limits,
            entries: HashMap::new(),
            by_key: HashMap::new(),
            by_id: HashMap::new(),
            by_base_lsn: BTreeMap::new(),
            expirations: BTreeSet::new(),
            session: None,
            session_lsns: BTreeSet::new(),
            last_lsn: 0,
            log_truncated: false,
            next_job: JobNumber(1),
            next_token: FencingToken(1),
            open_count: 0,
            live_bytes: 0,
        }
    }

    /// Replaces the limits, with effect from now on.
    pub fn set_limits(&mut self, limits: JobTableLimits) {
        self.limits = limits;
    }

    /// Returns whether one more job can be accepted. No job is removed before the end of its
    /// retention to free capacity.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.entries.len() < self.limits.max_jobs
    }

    /// Returns the number for the next job.
    #[must_use]
    pub fn next_job(&self) -> JobNumber {
        self.next_job
    }

    /// Returns the fencing token for the next lease.
    #[must_use]
    pub fn next_token(&self) -> FencingToken {
        self.next_token
    }

    /// Returns the job with this number, unless it is unknown or has expired.
    #[must_use]
    pub fn job(&self, number: JobNumber) -> Option<&Job> {
        self.entries.get(&number).map(|entry| &entry.job)
    }

    /// Returns the job with this id, unless it is unknown or has expired.
    #[must_use]
    pub fn job_by_id(&self, id: &str) -> Option<&Job> {
        self.job(*self.by_id.get(id)?)
    }

    /// Returns all jobs, ordered by number.
    #[must_use]
    pub fn jobs(&self) -> Vec<&Job> {
        let mut jobs: Vec<&Job> = self.entries.values().map(|entry| &entry.job).collect();
        jobs.sort_by_key(|job| job.accepted.number);
        jobs
    }

    /// Returns the numbers of the open jobs, in ascending order.
    #[must_use]
    pub fn open_jobs(&self) -> Vec<JobNumber> {
        let open = self.entries.iter().filter(|(_, entry)| entry.job.is_open());
        let mut numbers: Vec<JobNumber> = open.map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        numbers
    }

    /// Returns the table's gauges.
    #[must_use]
    pub fn stats(&self) -> JobTableStats {
        let retained = self.entries.len() - self.open_count;
        JobTableStats { open: self.open_count, retained, live_bytes: self.live_bytes }
    }

    /// Returns the LSN of the last record that was applied or skipped.
    #[must_use]
    pub fn last_lsn(&self) -> Lsn {
        self.last_lsn
    }

    /// Returns the record with which a process begins its session; `anchor` is a reading of the
    /// process's clocks.
    #[must_use]
    pub fn session_record(&self, anchor: ClockAnchor) -> Record {
        Record::Session(Session { anchor, next_job: self.next_job, next_token: self.next_token })
    }

    /// Looks up a request by its key and fingerprint.
    ///
    /// The failure of a job that may have run is final only for a non-idempotent class: then each
    /// retry gets the same outcome. If some workers deduplicate the class, a retry continues from
    /// the job's attempts; an idempotent job starts anew.
    #[must_use]
    pub fn lookup(&self, key: &IdempotencyKey, fingerprint: &[u8; 16]) -> KeyLookup {
        let Some(job) = self.by_key.get(key).and_then(|number| self.job(*number)) else {
            return KeyLookup::New;
        };
        if job.accepted.fingerprint != *fingerprint {
            return KeyLookup::RequestMismatch;
        }
        let number = job.accepted.number;
        match job.outcome() {
            None => KeyLookup::InProgress(number),
            Some(outcome @ (JobOutcome::Succeeded(_) | JobOutcome::Unprocessable)) => {
                KeyLookup::Finished(number, outcome.clone())
            }
            Some(outcome @ (JobOutcome::Failed | JobOutcome::Rejected)) => lookup_unsuccessful(job, outcome),
        }
    }

    /// Removes the jobs whose retention has ended by `now` and returns their number.
    pub fn expire(&mut self, now: Nanos) -> usize {
        let mut expired = 0;
        while let Some((_, number)) = self.expirations.first().filter(|(until, _)| *until <= now).copied() {
            self.remove(number);
            expired += 1;
        }
        expired
    }

    /// Returns the earliest end of a job's retention.
    #[must_use]
    pub fn next_expiration(&self) -> Option<Nanos> {
        self.expirations.first().map(|(until, _)| *until)
    }
}

/// Returns the lookup result for a retry of a failed or rejected job.
fn lookup_unsuccessful(job: &Job, outcome: &JobOutcome) -> KeyLookup {
    let mut possibly_executed = job.possibly_executed_attempts();
    match job.accepted.retry_safety {
        RetrySafety::Idempotent => KeyLookup::Retryable(Vec::new()),
        RetrySafety::Deduplicated(_) => KeyLookup::Retryable(possibly_executed.cloned().collect()),
        RetrySafety::NonIdempotent if possibly_executed.next().is_none() => KeyLookup::Retryable(Vec::new()),
        RetrySafety::NonIdempotent => KeyLookup::Finished(job.accepted.number, outcome.clone()),
    }
}
