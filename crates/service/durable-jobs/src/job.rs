//! A durable job: its accepted request, its attempts and its state.
use crate::ids::JobNumber;
use crate::lease::{Lease, PastAttempt};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use spanlead_balancing_policy::Nanos;
use std::sync::Arc;

/// Upper estimate of the bytes that a job takes in addition to its request and result, in memory
/// and, once a snapshot of it is written, on disk.
const JOB_OVERHEAD_BYTES: usize = 512;

/// The consequence of running a job a second time, according to its class at acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetrySafety {
    /// A second run is harmless.
    #[serde(rename = "Harmless")]
    Idempotent,
    /// Some workers drop a second run within this deduplication window, which begins when the first
    /// attempt that may have run was sent.
    #[serde(rename = "Dropped")]
    Deduplicated(Nanos),
    /// The job must not run twice.
    #[serde(rename = "Never")]
    NonIdempotent,
}

/// The idempotency key of a client's request, which identifies the client's retries. Keys are
/// scoped by tenant and class and compared verbatim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// The tenant's name.
    #[serde(rename = "owner")]
    pub tenant: Arc<str>,
    /// The class's name.
    pub class: Arc<str>,
    /// The value of the `Idempotency-Key` header.
    pub key: Arc<str>,
}

/// The outcome of a finished job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// A worker completed the job with this result.
    #[serde(rename = "Served")]
    Succeeded(Arc<str>),
    /// The job was rejected; the client may safely retry it.
    #[serde(rename = "Refused")]
    Rejected,
    /// The job failed and may have run.
    Failed,
    /// A worker found the request invalid; no other worker could process it either.
    #[serde(rename = "Unusable")]
    Unprocessable,
}

/// The immutable part of a job, recorded when the job is accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// The job's number.
    #[serde(rename = "job")]
    pub number: JobNumber,
    /// The id that identifies the job to workers.
    pub id: Arc<str>,
    /// The value of the client's `Idempotency-Key` header, if it sent one.
    pub key: Option<Arc<str>>,
    /// The class's name.
    pub class: Arc<str>,
    /// The tenant's name.
    #[serde(rename = "owner")]
    pub tenant: Arc<str>,
    /// A digest of the client's request, which detects the reuse of a key for a different request.
    pub fingerprint: [u8; 16],
    /// The consequence of a second run.
    #[serde(rename = "repeats")]
    pub retry_safety: RetrySafety,
    /// When the job was accepted.
    #[serde(rename = "at")]
    pub accepted_at: Nanos,
    /// When the client stops waiting for the outcome.
    #[serde(rename = "due")]
    pub deadline: Nanos,
    /// The number of worker slots that the job takes.
    pub slots: f64,
    /// The number of memory units that the job takes at a worker.
    pub memory: f64,
    /// A digest of the job's affinity key: jobs with the same digest prefer the same workers.
    #[serde(rename = "subject")]
    pub affinity_key: Option<u64>,
    /// The encoded request, as it is sent to a worker.
    #[serde(rename = "text")]
    pub encoded_request: Bytes,
    /// Attempts that may have run, inherited from an earlier job with the same key that this job
    /// continues.
    #[serde(rename = "before")]
    pub inherited_attempts: Vec<PastAttempt>,
}

/// The state of a job. An expired job has no state: it is removed from the job table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No attempt is in flight.
    #[serde(rename = "Taken")]
    Accepted,
    /// An attempt is in flight and its worker has not yet reported that the job runs.
    Leased(Lease),
    /// An attempt is in flight and its worker has reported that the job runs.
    #[serde(rename = "Started")]
    Running(Lease),
    /// The job has an outcome that no client is known to have received.
    #[serde(rename = "Ended")]
    Finished {
        /// When the job finished.
        #[serde(rename = "at")]
        finished_at: Nanos,
        /// The outcome.
        #[serde(rename = "end")]
        outcome: JobOutcome,
    },
    /// The job has an outcome that a client has received.
    #[serde(rename = "Answered")]
    Delivered {
        /// When the job finished.
        #[serde(rename = "at")]
        finished_at: Nanos,
        /// The outcome.
        #[serde(rename = "end")]
        outcome: JobOutcome,
    },
}

/// A job with its attempts and its state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The immutable part, recorded at acceptance.
    #[serde(rename = "taken")]
    pub accepted: AcceptedJob,
    /// The attempts that have ended, oldest first.
    #[serde(rename = "past")]
    pub past_attempts: Vec<PastAttempt>,
    /// The current state.
    #[serde(rename = "stage")]
    pub state: JobState,
}

impl Job {
    /// Creates a job that has just been accepted.
    pub(crate) fn new(accepted: AcceptedJob) -> Self {
        Job { accepted, past_attempts: Vec::new(), state: JobState::Accepted }
    }

    /// Returns the lease of the attempt in flight, if there is one.
    #[must_use]
    pub fn lease(&self) -> Option<&Lease> {
        match &self.state {
            JobState::Leased(lease) | JobState::Running(lease) => Some(lease),
            JobState::Accepted | JobState::Finished { .. } | JobState::Delivered { .. } => None,
        }
    }

    /// Returns the outcome of the job if it has finished.
    #[must_use]
    pub fn outcome(&self) -> Option<&JobOutcome> {
        match &self.state {
            JobState::Finished { outcome, .. } | JobState::Delivered { outcome, .. } => Some(outcome),
            JobState::Accepted | JobState::Leased(_) | JobState::Running(_) => None,
        }
    }

    /// Returns when the job finished, if it has.
    #[must_use]
    pub fn finished_at(&self) -> Option<Nanos> {
        match &self.state {
            JobState::Finished { finished_at, .. } | JobState::Delivered { finished_at, .. } => {
                Some(*finished_at)
            }
            JobState::Accepted | JobState::Leased(_) | JobState::Running(_) => None,
        }
    }

    /// Returns whether the job has no outcome yet.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.outcome().is_none()
    }

    /// Returns the key that identifies the client's retries, if the client sent one.
    #[must_use]
    pub fn key(&self) -> Option<IdempotencyKey> {
        let key = self.accepted.key.clone()?;
        Some(IdempotencyKey { tenant: self.accepted.tenant.clone(), class: self.accepted.class.clone(), key })
    }

    /// Returns the name of the state in operator output.
    #[must_use]
    pub fn state_name(&self) -> &'static str {
        match &self.state {
            JobState::Accepted => "taken",
            JobState::Leased(_) => "leased",
            JobState::Running(_) => "started",
            JobState::Finished { .. } => "ended",
            JobState::Delivered { .. } => "answered",
        }
    }

    /// Returns the attempts that may have run, of this job and of the jobs that it continues.
    pub fn possibly_executed_attempts(&self) -> impl Iterator<Item = &PastAttempt> {
        self.accepted
            .inherited_attempts
            .iter()
            .chain(&self.past_attempts)
            .filter(|attempt| attempt.may_have_run)
    }

    /// Returns the time until which a finished job must be retained: as long as its client may
    /// retry it, and as long as its attempts must be known to prevent a duplicate run. Returns
    /// `None` if the job is open, and 0 if it can be removed at once.
    pub(crate) fn retained_until(&self, retention: Nanos) -> Option<Nanos> {
        let finished_at = self.finished_at()?;
        if self.needs_no_retention() {
            return Some(0);
        }
        let client_may_retry_until = self.accepted.deadline.max(finished_at.saturating_add(retention));
        Some(client_may_retry_until.max(self.deduplicated_until()))
    }

    /// Returns whether a finished job can be removed at once: a job without a key cannot be
    /// retried, and a rejected job that never ran, or that is idempotent, needs no guard against a
    /// second run.
    fn needs_no_retention(&self) -> bool {
        let second_run_is_harmless = self.possibly_executed_attempts().next().is_none()
            || self.accepted.retry_safety == RetrySafety::Idempotent;
        let rejected = self.outcome() == Some(&JobOutcome::Rejected);
        self.accepted.key.is_none() || rejected && second_run_is_harmless
    }

    /// Returns the end of the deduplication window of this job; 0 if its class has none or no
    /// attempt may have run.
    fn deduplicated_until(&self) -> Nanos {
        let RetrySafety::Deduplicated(window) = self.accepted.retry_safety else { return 0 };
        let first_sent = self.possibly_executed_attempts().map(|attempt| attempt.sent_at).min();
        first_sent.map_or(0, |sent_at| sent_at.saturating_add(window))
    }

    /// Returns an upper estimate of the bytes that the job takes, in memory or in a snapshot on
    /// disk.
    pub(crate) fn size_bytes(&self) -> usize {
        let result_bytes = match self.outcome() {
            Some(JobOutcome::Succeeded(result)) => result.len(),
            _ => 0,
        };
        JOB_OVERHEAD_BYTES + self.accepted.encoded_request.len() + result_bytes
    }

    /// Adds `shift` nanoseconds to all times, which converts them to another process's clock.
    pub(crate) fn shift_times(&mut self, shift: i128) {
        let shift_time = |time: &mut Nanos| {
            *time = (i128::from(*time) + shift).clamp(0, i128::from(Nanos::MAX)) as Nanos;
        };
        shift_time(&mut self.accepted.accepted_at);
        shift_time(&mut self.accepted.deadline);
        let attempts = self.accepted.inherited_attempts.iter_mut().chain(&mut self.past_attempts);
        attempts.for_each(|attempt| shift_time(&mut attempt.sent_at));
        match &mut self.state {
            JobState::Accepted => {}
            JobState::Leased(lease) | JobState::Running(lease) => {
                shift_time(&mut lease.sent_at);
                shift_time(&mut lease.expires_at);
            }
            JobState::Finished { finished_at, .. } | JobState::Delivered { finished_at, .. } => {
                shift_time(finished_at);
            }
        }
    }
}
