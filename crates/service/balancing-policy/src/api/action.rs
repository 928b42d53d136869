//! The actions that a dispatcher returns.

use super::endpoint::WorkerId;
use super::request::RequestId;
use super::time::Nanos;

/// An action that the embedder must carry out for the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The worker that gets the attempt.
        worker: WorkerId,
        /// The attempt's timeout in nanoseconds; `None` means the time until the client gives up.
        timeout: Option<Nanos>,
    },
    /// Give the request its final answer: a rejection, after which the client may retry safely.
    Reject {
        /// The request.
        id: RequestId,
        /// The delay before the client should retry, in nanoseconds; `None` gives no advice.
        retry_after: Option<Nanos>,
    },
    /// Give the request its final answer: a failure.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number, counted from 0 in the order of sends.
        attempt: u32,
    },
    /// Start a timer that ends with an [`Event::TimerFired`](crate::Event::TimerFired).
    Timer {
        /// The delay in nanoseconds.
        after: Nanos,
        /// The token to return with the event.
        token: u64,
    },
    /// Probe a worker for its load.
    Probe {
        /// The worker to probe.
        worker: WorkerId,
    },
    /// Close idle connections to a worker.
    CloseIdleConnections {
        /// The worker at the other end.
        worker: WorkerId,
    },
    /// Send a message to one peer or to all of them.
    SendToPeer {
        /// The receiving peer's instance number; `None` means all peers.
        peer: Option<u32>,
        /// The payload, at most 256 bytes.
        data: Vec<u8>,
    },
    /// Subscribe to the changes of the endpoint list at service discovery.
    Subscribe,
    /// Request the complete endpoint list from service discovery once.
    FetchEndpoints,
    /// Write a log line for operators.
    Log(String),
}
