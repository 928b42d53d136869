//! The errors of this crate.
use crate::ids::JobNumber;

/// The error for a record that is invalid in the current state of its job. The fault lies with the
/// process that wrote the record, or with the disk.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a record `{record_kind}` of job {} does not fit: {reason}", .job.0)]
pub struct ApplyError {
    /// The kind of the record, as [`Record::kind`](crate::Record::kind) names it.
    pub record_kind: &'static str,
    /// The job of the record; number 0 if the record belongs to no job.
    pub job: JobNumber,
    /// The rule that the record breaks.
    pub reason: RejectReason,
}

/// The rule that a rejected record breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum RejectReason {
    /// A job number is assigned only once.
    #[error("its job number was already assigned")]
    JobNumberReused,
    /// A fencing token is issued only once.
    #[error("its fencing token was already issued")]
    TokenReused,
    /// The job is unknown or has expired.
    #[error("there is no such job")]
    UnknownJob,
    /// At most one open job may use an idempotency key.
    #[error("another open job uses its idempotency key")]
    KeyInUse,
    /// A key must not be reused while a job with that key and a final outcome is retained.
    #[error("a retained job with its idempotency key has a final outcome")]
    KeyHasFinalOutcome,
    /// A snapshot must not take over the idempotency key of another job.
    #[error("its idempotency key belongs to another job")]
    KeyOfAnotherJob,
    /// At most one open job may use a job id.
    #[error("another open job uses its job id")]
    IdInUse,
    /// A job that continues a failed one must inherit that job's attempts that may have run;
    /// otherwise a second run would not be recognised as such.
    #[error("it does not inherit all attempts of the previous job with its key that may have run")]
    InheritedAttemptsMissing,
    /// A job has at most one lease at a time.
    #[error("the job already has a lease")]
    AttemptInFlight,
    /// The record carries a fencing token other than that of the current lease.
    #[error("its fencing token is not that of the job's current lease")]
    StaleToken,
    /// The job has no lease.
    #[error("the job has no lease")]
    NotLeased,
    /// The outcome of a finished job cannot change.
    #[error("the job has already finished")]
    AlreadyFinished,
    /// Only the outcome of a finished job can be delivered.
    #[error("the job has not finished")]
    NotFinished,
}

/// The error for a record that cannot be encoded, or for bytes that cannot be decoded as a record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(transparent)]
pub struct RecordCodecError(#[from] postcard::Error);
