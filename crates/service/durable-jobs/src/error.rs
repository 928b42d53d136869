//! Errors of this crate.
use crate::ids::JobNumber;

/// A record does not fit the state of its job: a fault of the process that made it, or of the disk.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a record `{record_kind}` of job {} does not fit: {reason}", .job.0)]
pub struct ApplyError {
    /// The kind of the record, as [`Record::kind`](crate::Record::kind) names it.
    pub record_kind: &'static str,
    /// The job of the record; number 0 if the record concerns none.
    pub job: JobNumber,
    /// The rule that the record breaks.
    pub reason: RejectReason,
}

/// The rule that a rejected record breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum RejectReason {
    /// Job numbers are given once.
    #[error("its number was given before")]
    JobNumberReused,
    /// Fencing tokens are given once.
    #[error("its token was given before")]
    TokenReused,
    /// The job is unknown, or expired.
    #[error("there is no such job")]
    UnknownJob,
    /// At most one open job has an idempotency key.
    #[error("another job of its key is open")]
    KeyInUse,
    /// A key whose job has a final outcome is not used again while that job is retained.
    #[error("a job of its key has its end")]
    KeyHasFinalOutcome,
    /// A snapshot must not take the key of another job.
    #[error("its key is another job's")]
    KeyOfAnotherJob,
    /// At most one open job has an id.
    #[error("another job of its id is open")]
    IdInUse,
    /// A job that continues a failed one must inherit the attempts that may have run, or a second
    /// run would not be recognised as one.
    #[error("it lacks what the last job of its key left unsettled")]
    InheritedAttemptsMissing,
    /// A job has at most one lease.
    #[error("an attempt is out")]
    AttemptInFlight,
    /// The record carries the token of a lease that is not the present one.
    #[error("another lease is out")]
    StaleToken,
    /// The job has no lease.
    #[error("no lease is out")]
    NotLeased,
    /// A finished job does not change any more.
    #[error("the job has its end")]
    AlreadyFinished,
    /// Only the outcome of a finished job can be delivered.
    #[error("the job has no end")]
    NotFinished,
}

/// A record could not be written as bytes, or bytes are not a record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(transparent)]
pub struct RecordCodecError(#[from] postcard::Error);
