//! Requests and their attempts.

use super::endpoint::WorkerId;
use super::time::Nanos;

/// A request's id, unique for the life of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request that a client handed to this dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class, an index into [`Settings::classes`](crate::Settings::classes).
    pub class: u32,
    /// The slots it takes.
    pub slots: f64,
    /// The memory units it takes.
    pub memory: f64,
    /// Its tenant, an index into [`Settings::tenants`](crate::Settings::tenants).
    pub tenant: u32,
    /// What it concerns; requests that share a key profit from the same worker.
    pub affinity_key: Option<u64>,
    /// The expected work, as nanoseconds on a standard core.
    pub expected_work: Option<Nanos>,
    /// How long until the client gives up, in nanoseconds.
    pub time_left: Nanos,
}

impl Request {
    /// A request of one slot without affinity key, tenant or expected work.
    pub fn new(id: RequestId, class: u32, time_left: Nanos) -> Self {
        Request {
            id,
            class,
            slots: 1.0,
            memory: 0.0,
            tenant: 0,
            affinity_key: None,
            expected_work: None,
            time_left,
        }
    }
}

/// An attempt that another process of this dispatcher made.
#[derive(Clone, Debug, PartialEq)]
pub struct PriorAttempt {
    /// Its worker.
    pub worker: WorkerId,
    /// When it was sent.
    pub sent_at: Nanos,
    /// Whether it may have run; `None` while it is in flight.
    pub may_have_run: Option<bool>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served.
    Ok,
    /// The worker answered with an error; it may have run.
    Error,
    /// The worker rejected it, being full, before it ran.
    Rejected,
    /// No answer came in time; it may have run.
    Timeout,
    /// No connection came up in time.
    ConnectFailed,
    /// The connection dropped; it may have run.
    Reset,
    /// It was cancelled; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// What a worker reports of an attempt that is still in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptProgress {
    /// It has started to run.
    Started,
    /// This fraction of it is done.
    Completed(f64),
}
