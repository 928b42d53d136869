//! Requests and their attempts.

use super::endpoint::WorkerId;
use super::time::Nanos;

/// A request's id, unique over the lifetime of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A client's request to this dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The request's id.
    pub id: RequestId,
    /// The request's class, an index into [`Settings::classes`](crate::Settings::classes).
    pub class: u32,
    /// The slots that the request occupies at a worker. A slot is a unit of a worker's concurrency.
    pub slots: f64,
    /// The memory units that the request occupies at a worker.
    pub memory: f64,
    /// The request's tenant, an index into [`Settings::tenants`](crate::Settings::tenants).
    pub tenant: u32,
    /// The key of the program or data that the request needs. Requests with the same key run faster
    /// at a worker that has cached it.
    pub affinity_key: Option<u64>,
    /// The expected work, in nanoseconds on a standard core, if the client stated it.
    pub expected_work: Option<Nanos>,
    /// The time until the client gives up, in nanoseconds.
    pub time_left: Nanos,
}

impl Request {
    /// Creates a request of tenant 0 that occupies one slot and no memory, without affinity key or
    /// expected work. `time_left` is in nanoseconds.
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
    /// The worker that got the attempt.
    pub worker: WorkerId,
    /// The time at which the attempt was sent.
    pub sent_at: Nanos,
    /// Whether the attempt may have run; `None` while it is in flight.
    pub may_have_run: Option<bool>,
}

/// The outcome of an attempt or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; the attempt may have run.
    Error,
    /// Rejected before it ran because the worker was full.
    Rejected,
    /// Not answered in time; the attempt may have run.
    Timeout,
    /// No connection was established in time.
    ConnectFailed,
    /// The connection was closed or reset before the answer; the attempt may have run.
    Reset,
    /// Cancelled; the attempt may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// The progress that a worker reports for an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptProgress {
    /// The attempt has started to run.
    Started,
    /// This fraction of the attempt's work is done.
    Completed(f64),
}
