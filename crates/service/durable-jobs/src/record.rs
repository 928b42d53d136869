//! Records of the log. Their form on disk is postcard's (a published, compact serde format): new
//! kinds of record go to the end of [`Record`], and any other change of form is a new version of
//! the log. Names are not part of that form; the serde names are those of the JSON that `spanlead
//! ledger export` writes.
use crate::error::RecordCodecError;
use crate::ids::{FencingToken, JobNumber};
use crate::job::{AcceptedJob, Job, JobOutcome};
use crate::lease::WorkerLocation;
use crate::session::Session;
use serde::{Deserialize, Serialize};
use spanlead_balancing_policy::Nanos;

/// A record of the log: one change of one job's state, or the begin of a process's session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A process has begun to write the log.
    Session(Session),
    /// A job was accepted.
    #[serde(rename = "Taken")]
    Accepted(AcceptedJob),
    /// An attempt is about to be sent, under a new lease.
    Leased {
        /// The job.
        job: JobNumber,
        /// The lease's fencing token.
        token: FencingToken,
        /// The worker.
        #[serde(rename = "place")]
        location: WorkerLocation,
        /// When.
        #[serde(rename = "sent")]
        sent_at: Nanos,
        /// The latest moment, by this scheduler's clock, until which the worker may believe that it
        /// has the lease.
        #[serde(rename = "until")]
        expires_at: Nanos,
    },
    /// The worker has acknowledged the job.
    #[serde(rename = "Held")]
    Acknowledged {
        /// The job.
        job: JobNumber,
        /// The lease's fencing token.
        token: FencingToken,
        /// Whether the worker obeys the lease.
        #[serde(rename = "aware")]
        lease_aware: bool,
    },
    /// The lease was renewed.
    Renewed {
        /// The job.
        job: JobNumber,
        /// The lease's fencing token.
        token: FencingToken,
        /// The latest moment until which the worker may believe that it has the lease.
        #[serde(rename = "until")]
        expires_at: Nanos,
    },
    /// The worker has begun to run the job.
    Started {
        /// The job.
        job: JobNumber,
        /// The lease's fencing token.
        token: FencingToken,
    },
    /// The attempt is over without a result.
    Released {
        /// The job.
        job: JobNumber,
        /// The lease's fencing token.
        token: FencingToken,
        /// Whether the worker may have run the job.
        #[serde(rename = "ran")]
        may_have_run: bool,
    },
    /// The job has its outcome.
    #[serde(rename = "Ended")]
    Finished {
        /// The job.
        job: JobNumber,
        /// When.
        #[serde(rename = "at")]
        finished_at: Nanos,
        /// How.
        #[serde(rename = "end")]
        outcome: JobOutcome,
    },
    /// A client received the outcome.
    #[serde(rename = "Answered")]
    Delivered {
        /// The job.
        job: JobNumber,
    },
    /// The whole state of a job, written again so that segments with its older records can be
    /// removed.
    #[serde(rename = "Carried")]
    Snapshot(Box<Job>),
}

impl Record {
    /// The record's kind as operators are shown it.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Record::Session(_) => "session",
            Record::Accepted(_) => "taken",
            Record::Leased { .. } => "leased",
            Record::Acknowledged { .. } => "held",
            Record::Renewed { .. } => "renewed",
            Record::Started { .. } => "started",
            Record::Released { .. } => "released",
            Record::Finished { .. } => "ended",
            Record::Delivered { .. } => "answered",
            Record::Snapshot(_) => "carried",
        }
    }

    /// Whether no effect waits for the record to be durable: a crash that loses it costs a
    /// recovered job time, or a counter its accuracy, and nothing else.
    #[must_use]
    pub fn is_deferrable(&self) -> bool {
        matches!(self, Record::Acknowledged { .. } | Record::Delivered { .. })
    }

    /// The job that the record concerns.
    #[must_use]
    pub fn job(&self) -> Option<JobNumber> {
        match self {
            Record::Session(_) => None,
            Record::Accepted(accepted) => Some(accepted.number),
            Record::Snapshot(job) => Some(job.accepted.number),
            Record::Leased { job, .. }
            | Record::Acknowledged { job, .. }
            | Record::Renewed { job, .. }
            | Record::Started { job, .. }
            | Record::Released { job, .. }
            | Record::Finished { job, .. }
            | Record::Delivered { job } => Some(*job),
        }
    }

    /// Whether the record needs no earlier record to be understood.
    pub(crate) fn is_self_contained(&self) -> bool {
        matches!(self, Record::Session(_) | Record::Accepted(_) | Record::Snapshot(_))
    }
}

/// Writes a record as bytes.
///
/// # Errors
/// Never for records that this crate makes; else what postcard reports.
pub fn encode(record: &Record) -> Result<Vec<u8>, RecordCodecError> {
    Ok(postcard::to_stdvec(record)?)
}

/// Reads a record from bytes, all of which must belong to it.
///
/// # Errors
/// If the bytes are not a record.
pub fn decode(bytes: &[u8]) -> Result<Record, RecordCodecError> {
    match postcard::take_from_bytes(bytes)? {
        (record, []) => Ok(record),
        _ => Err(postcard::Error::DeserializeBadEncoding.into()),
    }
}
