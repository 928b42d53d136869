//! What goes into the reducer and what comes out of it.
use crate::Durability;
use crate::durable::LedgerFigures;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use spanlead_balancing_policy::{ListScope, Nanos, Outcome, Report, RequestId, Settings, WorkerState};
use spanlead_deployment_settings::Names;
use spanlead_durable_jobs::{JobNo, Record};
use spanlead_worker_attributes::{Known, Sheet};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// A request as it came in. `due` is when the client gives up; it travels with the request.
#[derive(Debug)]
pub struct Job {
    pub id: Arc<str>,
    pub class: u32,
    pub tenant: u32,
    pub slots: f64,
    pub memory: f64,
    pub key: Option<u64>,
    pub due: Nanos,
    /// What the ledger needs of it, where there is one.
    pub mark: Option<Mark>,
}

/// What makes a request known again, and lets another process send it.
#[derive(Clone, Debug)]
pub struct Mark {
    /// Its `Idempotency-Key`.
    pub key: Option<Arc<str>>,
    /// A digest of what is asked for.
    pub fingerprint: [u8; 16],
    /// The request as it goes to a worker.
    pub text: Bytes,
}

/// What another process must know of an open request to go on with it.
#[derive(Debug, Deserialize, Serialize)]
pub struct Tale {
    pub id: Arc<str>,
    pub due: Nanos,
    pub tries: Vec<Chapter>,
    /// The ledger holds it, and says what became of it.
    #[serde(default)]
    pub durable: bool,
}

/// An attempt in such a tale; `ran` tells whether it may have run, once it is over.
#[derive(Debug, Deserialize, Serialize)]
pub struct Chapter {
    pub(crate) worker: Arc<str>,
    pub(crate) sent: Nanos,
    pub(crate) ran: Option<bool>,
}

/// An attempt: its request and its number, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId(pub RequestId, pub u32);

/// A worker as the list names it; `None` is what the list doesn't say.
#[derive(Clone, Debug)]
pub struct Host {
    pub name: Arc<str>,
    pub addr: SocketAddr,
    pub state: WorkerState,
    pub started: Option<Nanos>,
    pub kind: Option<u32>,
    pub zone: Option<u32>,
    pub cell: Option<u32>,
    pub weight: Option<f64>,
}

/// What files say of workers, from now on.
#[derive(Debug)]
pub struct Offered {
    pub sheet: Arc<Sheet>,
    /// The inventory, and its version, by which this came.
    pub by: Option<(Arc<str>, u64)>,
    /// An operator wants it, whatever it does.
    pub forced: bool,
}

/// How the exchange that hands an attempt to its worker ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Handover {
    /// The worker has the job and will tell what becomes of it; whether it has understood its lease.
    Taken { aware: bool },
    /// The worker can't use the request, nor could another.
    Unusable,
    /// The attempt is over.
    Ended(Outcome, Option<Report>),
}

/// What a worker tells of a job that it has taken.
#[derive(Debug)]
pub enum News {
    Started,
    Running(f64),
    Done(String),
    Failed,
    Returned,
    Lost,
}

/// All that can happen.
#[derive(Debug)]
pub enum Input {
    Request {
        ticket: RequestId,
        job: Job,
        /// What another process of this scheduler did for it before.
        tries: Option<Vec<Chapter>>,
        /// It was handed over, and the ledger holds it.
        durable: bool,
    },
    ClientLeft {
        ticket: RequestId,
    },
    Handover {
        attempt: AttemptId,
        how: Handover,
    },
    /// A worker's notice, which is owed an [`Effect::Acknowledge`].
    News {
        note: u64,
        id: String,
        from: String,
        /// The fencing token, from a worker that knows leases.
        token: Option<u64>,
        news: News,
        report: Option<Report>,
    },
    Abandoned {
        attempt: AttemptId,
    },
    /// Discovery's news, at its version of the list.
    List {
        scope: ListScope,
        version: u64,
        hosts: Vec<Host>,
    },
    /// The configuration's file was read again: where discovery is from now on, and the settings if they are new, with
    /// the earlier class that each class continues.
    Reloaded {
        discovery: SocketAddr,
        settings: Option<(Box<Settings>, Vec<Option<u32>>)>,
        names: Arc<Names>,
    },
    Probed {
        worker: Arc<str>,
        sent: Nanos,
        outcome: Outcome,
        report: Option<Report>,
    },
    Peer {
        from: u32,
        data: Vec<u8>,
    },
    /// The other schedulers are members from now on; a heartbeat goes out so often.
    Join {
        settings: Box<spanlead_membership::Settings>,
        every: Nanos,
    },
    /// These duties are held by one of the schedulers at a time.
    Duties {
        settings: spanlead_singleton_roles::Settings,
        tasks: Vec<crate::Task>,
    },
    /// An operator wants another scheduler to hold this duty.
    ReleaseDuty {
        name: String,
    },
    /// A duty's call has ended.
    Called {
        duty: usize,
        how: crate::Called,
    },
    /// This process ends, nothing is owed: the last word to the other schedulers.
    Leave,
    /// A timer may be due.
    Tick,
    /// The order to stop: finish what is owed.
    Stop,
    /// Operators want the clients sent away, or want them back.
    Drain(bool),
    /// At most so many requests may be open from now on, and whether another process is there to take over.
    Share {
        open: usize,
        successor: bool,
    },
    /// The successor takes over what is open, as far as its attempts stand still.
    HandOver,
    /// A request of this class was turned away before it could be taken.
    TurnedAway {
        class: u32,
    },
    /// Something came in that can't be used, and why: from a client, a worker or discovery. It was refused or dropped.
    BadInput {
        why: &'static str,
    },
    /// The last byte of an attempt has been written to its worker.
    Written,
    /// The configuration's file could not be used.
    Unreadable,
    /// The ledger was read: what it holds is open here from now on.
    Opened(Box<Durability>),
    /// The ledger's records are durable so far, and it has this size on disk, bytes.
    Stored {
        bytes: u64,
    },
    /// The ledger can't be written to any more.
    StoreFailed,
    /// The ledger is another process's from now on.
    Released,
    /// A client was handed this job's answer.
    Answered {
        job: JobNo,
    },
    /// Files say something else of workers.
    Offered(Offered),
}

/// What a worker's notice is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It has been heard; the worker may believe in its lease for so long from when it sent this.
    Heard { lease: Option<Nanos> },
    /// Its lease is over: it must stop, and its result is not wanted.
    Fenced,
}

/// A lease as a worker is told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    pub token: u64,
    pub length: Nanos,
}

/// A request's one final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(String),
    Refused {
        retry_after: Option<Nanos>,
    },
    Failed,
    /// A worker says that it can't use the request.
    Unusable,
    /// The id is that of a request still open.
    Duplicate,
    /// Its key was used for another request.
    Mismatch,
}

/// How a class's requests ended.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Ends {
    /// Served.
    pub completed: u64,
    /// Refused: trying again is harmless.
    pub rejected: u64,
    pub failed: u64,
}

/// What operators are shown, as it is at one moment. All counts begin with the process.
#[derive(Debug, Serialize)]
pub struct Figures {
    pub downstream_requests: BTreeMap<String, Ends>,
    /// Attempts written whole to workers.
    pub upstream_requests: u64,
    /// Requests taken and not yet ended.
    pub pending: usize,
    /// Workers in the list, and those of them that get nothing now.
    pub members: usize,
    pub members_unavailable: usize,
    /// Configuration files taken, and turned down, at SIGHUP.
    pub config_reloads: u64,
    pub config_reload_errors: u64,
    /// What came in and could not be used, by reason.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub bad_input: BTreeMap<&'static str, u64>,
    /// The ledger, where there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ledger: Option<LedgerFigures>,
    /// What files say of workers, where there are any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub facts: Option<FactFigures>,
    /// The other schedulers, where that is on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub membership: Option<spanlead_membership::Figures>,
}

/// What operators are shown of the facts that come from files.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct FactFigures {
    /// Inventories in use, and hosts that they name.
    pub inventories: usize,
    pub hosts: usize,
    /// Workers in the list that a file names too.
    pub matched: usize,
    /// Workers whose pod or zone has changed, and which are in none of them until no repeat can go wrong.
    pub apart: usize,
    /// Workers of which news is still to be taken in.
    pub pending: usize,
}

/// What is known of one worker.
#[derive(Clone, Debug, Serialize)]
pub struct HostView {
    pub host: Arc<str>,
    pub state: &'static str,
    pub facts: Vec<Known>,
    /// What of it has changed and counts as its own alone, until no repeat can go wrong.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub apart: Vec<&'static str>,
}

/// What the reducer wants done.
#[derive(Debug)]
pub enum Effect {
    /// The request is another process's from now on.
    HandOver {
        ticket: RequestId,
        tale: Tale,
    },
    Answer {
        ticket: RequestId,
        answer: Answer,
        /// The durable job whose answer it is, if that should know.
        job: Option<JobNo>,
    },
    Send {
        attempt: AttemptId,
        addr: SocketAddr,
        until: Nanos,
        lease: Option<Offer>,
        /// The request, where no client's is at hand.
        text: Option<Bytes>,
    },
    /// Writes this down.
    Record(Record),
    /// Does this when all that was written down so far is durable. If that takes until `until`, it is too late for it.
    Durably {
        effect: Box<Effect>,
        until: Nanos,
    },
    Acknowledge {
        note: u64,
        reply: Reply,
    },
    /// The ledger's records before this one are not needed.
    Trim {
        oldest: u64,
    },
    Abandon {
        attempt: AttemptId,
        addr: SocketAddr,
        id: Arc<str>,
        taken: bool,
        until: Nanos,
    },
    Probe {
        worker: Arc<str>,
        addr: SocketAddr,
        until: Nanos,
    },
    CloseIdle {
        addr: SocketAddr,
    },
    Tell {
        peer: Option<u32>,
        data: Vec<u8>,
    },
    /// What the holder of a duty does: a call that carries its term.
    Call {
        duty: usize,
        term: u64,
        addr: SocketAddr,
        path: Arc<str>,
        until: Nanos,
    },
    /// A duty was taken or lost here.
    DutyChanged {
        name: String,
        change: spanlead_singleton_roles::Change,
    },
    /// Another scheduler is taken for something else.
    MemberChanged(spanlead_membership::Change),
    /// Watch discovery at `addr` for what is newer than `version`, in place of any watch under way.
    Watch {
        addr: SocketAddr,
        version: u64,
    },
    FetchList {
        addr: SocketAddr,
    },
    Log(String),
    /// This version of an inventory can't be used, and why.
    FactsRefused {
        name: Arc<str>,
        number: u64,
        why: String,
    },
}
