//! The records of the log. They are stored in the postcard format (a published, compact serde
//! format): new record kinds are appended to the end of [`Record`], and any other change of the
//! encoding requires a new version of the log. Postcard does not store names; the serde names are
//! those in the JSON written by `spanlead ledger export`.
use crate::error::RecordCodecError;
use crate::ids::{FencingToken, JobNumber};
use crate::job::{AcceptedJob, Job, JobOutcome};
use crate::lease::WorkerLocation;
use crate::session::Session;
use serde::{Deserialize, Serialize};
use spanlead_balancing_policy::Nanos;

/// A record of the log: one state change of one job, or the start of a process's session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A process started to write the log.
    Session(Session),
    /// A job was accepted.
    #[serde(rename = "Taken")]
    Accepted(AcceptedJob),
    /// An attempt is about to be sent under a new lease.
    Leased {
        /// The job.
        job: JobNumber,
        /// The lease's fencing token.
        token: FencingToken,
        /// The worker that holds the lease.
        #[serde(rename = "place")]
        location: WorkerLocation,
        /// When the attempt is sent.
        #[serde(rename = "sent")]
        sent_at: Nanos,
        /// The latest time, on this scheduler's clock, until which the worker may consider its
        /// lease valid.
        #[serde(rename = "until")]
        expires_at: Nanos,
    },
    /// The worker acknowledged the job.
    #[serde(rename = "Held")]
    Acknowledged {
        /// The job.
        job: JobNumber,
        /// The lease's fencing token.
        token: FencingToken,
        /// Whether the worker honours the lease.
        #[serde(rename = "aware")]
        lease_aware: bool,
    },
    /// The lease was renewed.
    Renewed {
        /// The job.
        job: JobNumber,
        /// The lease's fencing token.
        token: FencingToken,
        /// The new latest time, on this scheduler's clock, until which the worker may consider its
        /// lease valid.
        #[serde(rename = "until")]
        expires_at: Nanos,
    },
    /// The worker reported that the job runs.
    Started {
        /// The job.
        job: JobNumber,
        /// The lease's fencing token.
        token: FencingToken,
    },
    /// The attempt ended without a result, and with it its lease.
    Released {
        /// The job.
        job: JobNumber,
        /// The lease's fencing token.
        token: FencingToken,
        /// Whether the worker may have run the job.
        #[serde(rename = "ran")]
        may_have_run: bool,
    },
    /// The job finished.
    #[serde(rename = "Ended")]
    Finished {
        /// The job.
        job: JobNumber,
        /// When the job finished.
        #[serde(rename = "at")]
        finished_at: Nanos,
        /// The outcome.
        #[serde(rename = "end")]
        outcome: JobOutcome,
    },
    /// A client received the outcome of the job.
    #[serde(rename = "Answered")]
    Delivered {
        /// The job.
        job: JobNumber,
    },
    /// The whole state of a job, written so that log segments with its older records can be
    /// removed.
    #[serde(rename = "Carried")]
    Snapshot(Box<Job>),
}

impl Record {
    /// Returns the name of the record kind in operator output.
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

    /// Returns whether no effect has to wait until the record is durable. A crash that loses such a
    /// record only delays a recovered job or makes a counter inaccurate.
    #[must_use]
    pub fn is_deferrable(&self) -> bool {
        matches!(self, Record::Acknowledged { .. } | Record::Delivered { .. })
    }

    /// Returns the job of the record; `None` for a session record.
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

    /// Returns whether the record can be applied without any earlier record.
    pub(crate) fn is_self_contained(&self) -> bool {
        matches!(self, Record::Session(_) | Record::Accepted(_) | Record::Snapshot(_))
    }
}

/// Encodes a record.
///
/// # Errors
/// The error that postcard reports. Records created by this crate can always be encoded.
pub fn encode(record: &Record) -> Result<Vec<u8>, RecordCodecError> {
    Ok(postcard::to_stdvec(record)?)
}

/// Decodes a record from exactly `bytes`.
///
/// # Errors
/// If the bytes are not a record, or if bytes follow after it.
pub fn decode(bytes: &[u8]) -> Result<Record, RecordCodecError> {
    match postcard::take_from_bytes(bytes)? {
        (record, []) => Ok(record),
        _ => Err(postcard::Error::DeserializeBadEncoding.into()),
    }
}
