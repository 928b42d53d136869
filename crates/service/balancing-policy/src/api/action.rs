//! What a dispatcher wants done.

use super::endpoint::WorkerId;
use super::request::RequestId;
use super::time::Nanos;

/// What a dispatcher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The worker.
        worker: WorkerId,
        /// The attempt's time-out in nanoseconds; `None` means until the client gives up.
        timeout: Option<Nanos>,
    },
    /// Final answer: rejected, harmless to retry.
    Reject {
        /// The request.
        id: RequestId,
        /// When to retry, in nanoseconds from now.
        retry_after: Option<Nanos>,
    },
    /// Final answer: failed.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Ask for an [`Event::TimerFired`](crate::Event::TimerFired).
    Timer {
        /// How far from now, in nanoseconds.
        after: Nanos,
        /// Handed back with the event.
        token: u64,
    },
    /// Probe a worker for its load.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Close idle connections to a worker.
    CloseIdleConnections {
        /// The worker.
        worker: WorkerId,
    },
    /// Message a peer, or all of them.
    SendToPeer {
        /// The peer; `None` means all.
        peer: Option<u32>,
        /// At most 256 bytes.
        data: Vec<u8>,
    },
    /// Ask service discovery to push changes.
    Subscribe,
    /// Ask service discovery for the complete list once.
    FetchEndpoints,
    /// A line for on-call staff.
    Log(String),
}
