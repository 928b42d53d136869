//! A job: what was accepted, its attempts, and its state.
use crate::ids::JobNumber;
use crate::lease::{Lease, PastAttempt};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use spanlead_balancing_policy::Nanos;
use std::sync::Arc;

/// What a job takes beside its request and result, in memory and, once snapshotted, on disk, bytes:
/// a high estimate.
const JOB_OVERHEAD_BYTES: usize = 512;

/// What a second run of a job does, by the job's class when the job was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetrySafety {
    /// The job is idempotent: a second run is harmless.
    #[serde(rename = "Harmless")]
    Idempotent,
    /// Some workers deduplicate: they drop a second run for this long, counted from the first send
    /// that may have run.
    #[serde(rename = "Dropped")]
    Deduplicated(Nanos),
    /// The job must not run twice.
    #[serde(rename = "Never")]
    NonIdempotent,
}

/// What a client's retry is recognised by: the same key of the same owner and class. The key's
/// spelling is the client's.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// The tenant's name.
    pub owner: Arc<str>,
    /// The class's name.
    pub class: Arc<str>,
    /// The value of the header `Idempotency-Key`.
    pub key: Arc<str>,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// A worker returned this result.
    #[serde(rename = "Served")]
    Succeeded(Arc<str>),
    /// The job was rejected; a retry is harmless.
    #[serde(rename = "Refused")]
    Rejected,
    /// The job failed, and may have run.
    Failed,
    /// No worker can run the job.
    #[serde(rename = "Unusable")]
    Unschedulable,
}

/// A job as it was accepted. It does not change afterwards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// The job's number.
    #[serde(rename = "job")]
    pub number: JobNumber,
    /// The id under which workers know the job.
    pub id: Arc<str>,
    /// The client's idempotency key, if it sent one.
    pub key: Option<Arc<str>>,
    /// The class's name.
    pub class: Arc<str>,
    /// The tenant's name.
    pub owner: Arc<str>,
    /// A digest of the client's request: another request under the same key is recognised by it.
    pub fingerprint: [u8; 16],
    /// What a second run does.
    #[serde(rename = "repeats")]
    pub retry_safety: RetrySafety,
    /// When the job was accepted.
    #[serde(rename = "at")]
    pub accepted_at: Nanos,
    /// When the client gives up.
    #[serde(rename = "due")]
    pub deadline: Nanos,
    /// Worker slots that the job takes.
    pub slots: f64,
    /// Memory units that the job takes.
    pub memory: f64,
    /// The subject that the job concerns, for affinity between jobs and workers.
    pub subject: Option<u64>,
    /// The request as it is sent to a worker.
    #[serde(rename = "text")]
    pub request_body: Bytes,
    /// Attempts that may have run of an earlier job with the same key, which this job continues.
    #[serde(rename = "before")]
    pub inherited_attempts: Vec<PastAttempt>,
}

/// The state of a job. The last one, expired, is that the job table does not know the job any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No attempt is in flight.
    #[serde(rename = "Taken")]
    Accepted,
    /// An attempt is in flight; its worker has not reported that the job runs.
    Leased(Lease),
    /// An attempt is in flight and its worker has reported that the job runs.
    #[serde(rename = "Started")]
    Running(Lease),
    /// The job has its outcome, and no client is known to have received it.
    #[serde(rename = "Ended")]
    Finished {
        /// When.
        #[serde(rename = "at")]
        finished_at: Nanos,
        /// How.
        #[serde(rename = "end")]
        outcome: JobOutcome,
    },
    /// The job has its outcome, and a client received it.
    #[serde(rename = "Answered")]
    Delivered {
        /// When the job finished.
        #[serde(rename = "at")]
        finished_at: Nanos,
        /// How.
        #[serde(rename = "end")]
        outcome: JobOutcome,
    },
}

/// A job with its attempts and its state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The job as it was accepted.
    #[serde(rename = "taken")]
    pub accepted: AcceptedJob,
    /// The attempts that are over.
    #[serde(rename = "past")]
    pub past_attempts: Vec<PastAttempt>,
    /// The state.
    #[serde(rename = "stage")]
    pub state: JobState,
}

impl Job {
    /// A job that has just been accepted.
    pub(crate) fn new(accepted: AcceptedJob) -> Self {
        Job { accepted, past_attempts: Vec::new(), state: JobState::Accepted }
    }

    /// The lease of the attempt in flight.
    #[must_use]
    pub fn lease(&self) -> Option<&Lease> {
        match &self.state {
            JobState::Leased(lease) | JobState::Running(lease) => Some(lease),
            JobState::Accepted | JobState::Finished { .. } | JobState::Delivered { .. } => None,
        }
    }

    /// How the job ended, if it has.
    #[must_use]
    pub fn outcome(&self) -> Option<&JobOutcome> {
        match &self.state {
            JobState::Finished { outcome, .. } | JobState::Delivered { outcome, .. } => Some(outcome),
            JobState::Accepted | JobState::Leased(_) | JobState::Running(_) => None,
        }
    }

    /// When the job ended, if it has.
    #[must_use]
    pub fn finished_at(&self) -> Option<Nanos> {
        match &self.state {
            JobState::Finished { finished_at, .. } | JobState::Delivered { finished_at, .. } => {
                Some(*finished_at)
            }
            JobState::Accepted | JobState::Leased(_) | JobState::Running(_) => None,
        }
    }

    /// Whether the job has no outcome yet.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.outcome().is_none()
    }

    /// The key that a client's retry is recognised by, if the client sent one.
    #[must_use]
    pub fn key(&self) -> Option<IdempotencyKey> {
        let key = self.accepted.key.clone()?;
        Some(IdempotencyKey { owner: self.accepted.owner.clone(), class: self.accepted.class.clone(), key })
    }

    /// The state's name as operators are shown it.
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

    /// Attempts that may have run, of this job and of those that it continues.
    pub fn possibly_executed_attempts(&self) -> impl Iterator<Item = &PastAttempt> {
        self.accepted
            .inherited_attempts
            .iter()
            .chain(&self.past_attempts)
            .filter(|attempt| attempt.may_have_run)
    }

    /// Until when a finished job must be retained: while its client may retry, and while a second
    /// run could be one too many. `None` if the job is open; 0 if it can be forgotten at once.
    pub(crate) fn retained_until(&self, retention: Nanos) -> Option<Nanos> {
        let finished_at = self.finished_at()?;
        if self.can_be_forgotten() {
            return Some(0);
        }
        let client_may_retry_until = self.accepted.deadline.max(finished_at.saturating_add(retention));
        Some(client_may_retry_until.max(self.deduplicated_until()))
    }

    /// Whether nothing depends on the finished job: without a key no client can retry, and a
    /// rejected job that never ran (or may run twice) needs no guard against a second run.
    fn can_be_forgotten(&self) -> bool {
        let second_run_is_harmless = self.possibly_executed_attempts().next().is_none()
            || self.accepted.retry_safety == RetrySafety::Idempotent;
        let rejected = self.outcome() == Some(&JobOutcome::Rejected);
        self.accepted.key.is_none() || rejected && second_run_is_harmless
    }

    /// Until when workers drop a second run of this job; 0 if they don't, or if it never ran.
    fn deduplicated_until(&self) -> Nanos {
        let RetrySafety::Deduplicated(window) = self.accepted.retry_safety else { return 0 };
        let first_sent = self.possibly_executed_attempts().map(|attempt| attempt.sent_at).min();
        first_sent.map_or(0, |sent_at| sent_at.saturating_add(window))
    }

    /// What the job takes in memory and on disk, bytes.
    pub(crate) fn size_bytes(&self) -> usize {
        let result_bytes = match self.outcome() {
            Some(JobOutcome::Succeeded(result)) => result.len(),
            _ => 0,
        };
        JOB_OVERHEAD_BYTES + self.accepted.request_body.len() + result_bytes
    }

    /// Adds `shift` nanoseconds to all times, to read them in another process's clock.
    pub(crate) fn shift_times(&mut self, shift: i128) {
        let move_time = |time: &mut Nanos| {
            *time = (i128::from(*time) + shift).clamp(0, i128::from(Nanos::MAX)) as Nanos;
        };
        move_time(&mut self.accepted.accepted_at);
        move_time(&mut self.accepted.deadline);
        let attempts = self.accepted.inherited_attempts.iter_mut().chain(&mut self.past_attempts);
        attempts.for_each(|attempt| move_time(&mut attempt.sent_at));
        match &mut self.state {
            JobState::Accepted => {}
            JobState::Leased(lease) | JobState::Running(lease) => {
                move_time(&mut lease.sent_at);
                move_time(&mut lease.expires_at);
            }
            JobState::Finished { finished_at, .. } | JobState::Delivered { finished_at, .. } => {
                move_time(finished_at);
            }
        }
    }
}
