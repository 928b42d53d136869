//! The table of all jobs, open and retained: the state that the records add up to.
//!
//! - `apply`: a record changes the state of its job, or is rejected; replay of the log.
//! - `indexes`: how jobs enter, change and leave the table, and the indexes that follow.
//! - `compaction`: which part of the log is still needed, and how old records are made unneeded.
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

/// Bounds of a job table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobTableLimits {
    /// How long a finished job is retained at least, for clients that retry.
    pub retention: Nanos,
    /// The most jobs, open and retained together.
    pub max_jobs: usize,
}

/// What a client's request is, by its idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyLookup {
    /// Nothing is known of the key.
    New,
    /// The request retries a job that is open.
    InProgress(JobNumber),
    /// The request retries a job that has this outcome.
    Finished(JobNumber, JobOutcome),
    /// An earlier job of this key failed, and these attempts of it may have run; the class's rules
    /// say where a retry may go, given these.
    Retryable(Vec<PastAttempt>),
    /// The key was used for another request.
    RequestMismatch,
}

/// Gauges of a job table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct JobTableStats {
    /// Jobs without an outcome.
    pub open: usize,
    /// Finished jobs, retained for clients that retry.
    #[serde(rename = "kept")]
    pub retained: usize,
    /// What both take, bytes: a high estimate.
    pub live_bytes: usize,
}

/// All jobs, open and retained.
///
/// Invariants, kept by `indexes`: every job is in `by_id` and, if it has a key, in `by_key` unless
/// a later job took its place there; `by_base_lsn` and `expirations` have exactly the jobs'
/// entries; `open_count` and `live_bytes` are the sums over `entries`.
#[derive(Clone, Debug)]
pub struct JobTable {
    limits: JobTableLimits,
    entries: HashMap<JobNumber, JobEntry>,
    by_key: HashMap<IdempotencyKey, JobNumber>,
    by_id: HashMap<Arc<str>, JobNumber>,
    /// Jobs by their oldest record that is needed: the log may drop what precedes the first of
    /// these.
    by_base_lsn: BTreeMap<Lsn, JobNumber>,
    /// Finished jobs by the time when their retention ends.
    expirations: BTreeSet<(Nanos, JobNumber)>,
    session: Option<Session>,
    /// The records of sessions that are needed: the times in a record can be read only with its
    /// session.
    session_lsns: BTreeSet<Lsn>,
    last_lsn: Lsn,
    /// The log that this was replayed from lacks its beginning.
    log_truncated: bool,
    next_job: JobNumber,
    next_token: FencingToken,
    open_count: usize,
    live_bytes: usize,
}

impl JobTable {
    /// An empty table.
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

    /// Sets other limits, for what comes from now on.
    pub fn set_limits(&mut self, limits: JobTableLimits) {
        self.limits = limits;
    }

    /// Whether one more job can be accepted. No job is forgotten before its retention ends to free
    /// capacity.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.entries.len() < self.limits.max_jobs
    }

    /// The number of the next job.
    #[must_use]
    pub fn next_job(&self) -> JobNumber {
        self.next_job
    }

    /// The fencing token of the next lease.
    #[must_use]
    pub fn next_token(&self) -> FencingToken {
        self.next_token
    }

    /// A job by its number, unless it is unknown or expired.
    #[must_use]
    pub fn job(&self, number: JobNumber) -> Option<&Job> {
        self.entries.get(&number).map(|entry| &entry.job)
    }

    /// A job by its id.
    #[must_use]
    pub fn job_by_id(&self, id: &str) -> Option<&Job> {
        self.job(*self.by_id.get(id)?)
    }

    /// All jobs, in the order of their numbers.
    #[must_use]
    pub fn jobs(&self) -> Vec<&Job> {
        let mut jobs: Vec<&Job> = self.entries.values().map(|entry| &entry.job).collect();
        jobs.sort_by_key(|job| job.accepted.number);
        jobs
    }

    /// The open jobs, in the order of their numbers.
    #[must_use]
    pub fn open_jobs(&self) -> Vec<JobNumber> {
        let open = self.entries.iter().filter(|(_, entry)| entry.job.is_open());
        let mut numbers: Vec<JobNumber> = open.map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        numbers
    }

    /// The gauges that operators are shown.
    #[must_use]
    pub fn stats(&self) -> JobTableStats {
        let retained = self.entries.len() - self.open_count;
        JobTableStats { open: self.open_count, retained, live_bytes: self.live_bytes }
    }

    /// The LSN of the last record that was applied or passed over.
    #[must_use]
    pub fn last_lsn(&self) -> Lsn {
        self.last_lsn
    }

    /// The record with which a process begins its session; `anchor` is a reading of its clocks.
    #[must_use]
    pub fn session_record(&self, anchor: ClockAnchor) -> Record {
        Record::Session(Session { anchor, next_job: self.next_job, next_token: self.next_token })
    }

    /// What a request with this key and fingerprint is.
    ///
    /// A failed job that may have run is not final for a class whose second runs some workers drop:
    /// the retry continues from its attempts. For a class that must not run twice it is final, and
    /// each retry gets the same outcome.
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
            Some(outcome @ (JobOutcome::Succeeded(_) | JobOutcome::Unschedulable)) => {
                KeyLookup::Finished(number, outcome.clone())
            }
            Some(outcome @ (JobOutcome::Failed | JobOutcome::Rejected)) => lookup_unsuccessful(job, outcome),
        }
    }

    /// Forgets the jobs whose retention has ended by `now`; returns how many.
    pub fn expire(&mut self, now: Nanos) -> usize {
        let mut expired = 0;
        while let Some((_, number)) = self.expirations.first().filter(|(until, _)| *until <= now).copied() {
            self.remove(number);
            expired += 1;
        }
        expired
    }

    /// When the next job expires.
    #[must_use]
    pub fn next_expiration(&self) -> Option<Nanos> {
        self.expirations.first().map(|(until, _)| *until)
    }
}

/// What a retry of a failed or rejected job is.
fn lookup_unsuccessful(job: &Job, outcome: &JobOutcome) -> KeyLookup {
    let mut possibly_executed = job.possibly_executed_attempts();
    match job.accepted.retry_safety {
        RetrySafety::Idempotent => KeyLookup::Retryable(Vec::new()),
        RetrySafety::Deduplicated(_) => KeyLookup::Retryable(possibly_executed.cloned().collect()),
        RetrySafety::NonIdempotent if possibly_executed.next().is_none() => KeyLookup::Retryable(Vec::new()),
        RetrySafety::NonIdempotent => KeyLookup::Finished(job.accepted.number, outcome.clone()),
    }
}
