//! What is written down. The form on disk is postcard's (a published, compact serde format); new kinds of record go to the
//! end of [`Record`], and any other change of form is a new version of the log.
use crate::state::Job;
use crate::{JobNo, Nanos, Token};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// What a repeat of a job does, as its class said when it was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeats {
    /// It is harmless.
    Harmless,
    /// Some workers drop it for so long, counted from the first send that may have run.
    Dropped(Nanos),
    /// It must not be.
    Never,
}

/// Under what a client's repeat is recognised: the same key of the same owner and class. Its spelling is the client's.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The tenant's name.
    pub owner: Arc<str>,
    /// The class's name.
    pub class: Arc<str>,
    /// The `Idempotency-Key`.
    pub key: Arc<str>,
}

/// A worker as it was when an attempt went to it: by the time of a recovery the list may not name it any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Its name.
    pub worker: Arc<str>,
    /// Where it was reached.
    pub addr: SocketAddr,
    /// The name of its zone.
    pub zone: Arc<str>,
    /// The number of its cell.
    pub cell: u32,
}

/// An attempt that is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// Its worker.
    pub place: Place,
    /// When it was sent.
    pub sent: Nanos,
    /// Whether it may have run.
    pub ran: bool,
    /// The lease that it had.
    pub token: Token,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// With this result.
    Served(Arc<str>),
    /// Turned away; trying again is harmless.
    Refused,
    /// It failed, and may have run.
    Failed,
    /// No worker can use it.
    Unusable,
}

/// One process's hold of the ledger, and how its clock reads against the machine's: jobs' times are in the clock of the
/// session that wrote them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// How its clock reads.
    pub anchor: Anchor,
    /// Numbers below these were given before; they outlive the records that gave them.
    pub next_job: u64,
    /// The same for tokens.
    pub next_token: u64,
}

/// A reading of two clocks at one moment. While the machine is not restarted, the difference of two `up` readings is
/// true whatever was done to the wall clock in between.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Anchor {
    /// The machine's start, as the system names it.
    pub boot: Arc<str>,
    /// Time since the machine's start, sleep included.
    pub up: Nanos,
    /// The process's own clock, which started at the wall clock's reading.
    pub clock: Nanos,
}

/// A job as it was taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Taken {
    /// Its number.
    pub job: JobNo,
    /// The id under which workers know it.
    pub id: Arc<str>,
    /// What a repeat is recognised by, if it has a key.
    pub key: Option<Arc<str>>,
    /// The class's name.
    pub class: Arc<str>,
    /// The tenant's name.
    pub owner: Arc<str>,
    /// A digest of what the client asked for.
    pub fingerprint: [u8; 16],
    /// What repeats do.
    pub repeats: Repeats,
    /// When it was taken.
    pub at: Nanos,
    /// When its client gives up.
    pub due: Nanos,
    /// Slots that it takes.
    pub slots: f64,
    /// Memory units that it takes.
    pub memory: f64,
    /// What it concerns.
    pub subject: Option<u64>,
    /// The request, as it goes to a worker.
    pub text: Bytes,
    /// What an earlier job of this key left open, which this one goes on from.
    pub before: Vec<Past>,
}

/// A line of the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A process has begun.
    Session(Session),
    /// A job was taken.
    Taken(Taken),
    /// An attempt is about to go out.
    Leased {
        /// Its job.
        job: JobNo,
        /// The lease.
        token: Token,
        /// Its worker.
        place: Place,
        /// When.
        sent: Nanos,
        /// The latest moment to which its worker may believe in the lease, by our clock.
        until: Nanos,
    },
    /// The worker has said that it has the job.
    Held {
        /// The job.
        job: JobNo,
        /// The lease.
        token: Token,
        /// Whether it goes by the lease.
        aware: bool,
    },
    /// The worker was told that it may go on.
    Renewed {
        /// The job.
        job: JobNo,
        /// The lease.
        token: Token,
        /// The latest moment to which its worker may believe in the lease.
        until: Nanos,
    },
    /// The worker has begun to run it.
    Started {
        /// The job.
        job: JobNo,
        /// The lease.
        token: Token,
    },
    /// The attempt is over without a result.
    Released {
        /// The job.
        job: JobNo,
        /// The lease.
        token: Token,
        /// Whether it may have run.
        ran: bool,
    },
    /// The job has its end.
    Ended {
        /// The job.
        job: JobNo,
        /// When.
        at: Nanos,
        /// How.
        end: End,
    },
    /// A client was handed the answer.
    Answered {
        /// The job.
        job: JobNo,
    },
    /// A job's whole state, written anew so that older records can go.
    Carried(Box<Job>),
}

impl Record {
    /// What kind it is, for people.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Record::Session(_) => "session",
            Record::Taken(_) => "taken",
            Record::Leased { .. } => "leased",
            Record::Held { .. } => "held",
            Record::Renewed { .. } => "renewed",
            Record::Started { .. } => "started",
            Record::Released { .. } => "released",
            Record::Ended { .. } => "ended",
            Record::Answered { .. } => "answered",
            Record::Carried(_) => "carried",
        }
    }

    /// Whether nothing that is seen waits for it: a crash that loses it costs a recovered job time, or a figure.
    #[must_use]
    pub fn can_wait(&self) -> bool {
        matches!(self, Record::Held { .. } | Record::Answered { .. })
    }

    /// The job that it is about.
    #[must_use]
    pub fn job(&self) -> Option<JobNo> {
        match self {
            Record::Session(_) => None,
            Record::Taken(taken) => Some(taken.job),
            Record::Carried(job) => Some(job.taken.job),
            Record::Leased { job, .. }
            | Record::Held { job, .. }
            | Record::Renewed { job, .. }
            | Record::Started { job, .. }
            | Record::Released { job, .. }
            | Record::Ended { job, .. }
            | Record::Answered { job } => Some(*job),
        }
    }
}

/// A record as bytes.
///
/// # Errors
/// Never for records that this crate makes; the format's own word otherwise.
pub fn encode(record: &Record) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(record)
}

/// A record from its bytes, all of which it must need.
///
/// # Errors
/// If they are no record.
pub fn decode(bytes: &[u8]) -> Result<Record, postcard::Error> {
    match postcard::take_from_bytes(bytes)? {
        (record, []) => Ok(record),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}
