//! The events that a dispatcher handles.

use super::endpoint::{Endpoint, EndpointUpdate};
use super::load_report::LoadReport;
use super::request::{AttemptProgress, Outcome, PriorAttempt, Request, RequestId};
use super::settings::Settings;
use super::time::Nanos;

/// An event that the embedder passes to the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// Service discovery sent an update.
    EndpointsChanged {
        /// The kind of update.
        update: EndpointUpdate,
        /// The entries of the update.
        endpoints: &'a [Endpoint<'a>],
    },
    /// A request arrived. It must get exactly one final answer.
    RequestArrived(Request),
    /// This process took over a request that another process of the same dispatcher accepted; it
    /// must now give the request's only final answer.
    RequestAdopted {
        /// The request.
        request: Request,
        /// The request's attempts so far. The endpoint list must have named their workers before,
        /// because attempts at unknown workers are ignored.
        attempts: &'a [PriorAttempt],
    },
    /// The response to an attempt began to stream to the client.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The attempt's number, counted from 0 in the order of sends.
        attempt: u32,
    },
    /// A worker reported the progress of an attempt.
    AttemptProgressed {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// The reported progress.
        progress: AttemptProgress,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// The attempt's outcome.
        outcome: Outcome,
        /// Whether the request is finished and needs no further answer.
        request_closed: bool,
        /// The time since the attempt was sent, in nanoseconds.
        elapsed: Nanos,
        /// The worker's load report, if the response carried one.
        report: Option<LoadReport>,
    },
    /// The client disconnected; the request needs no answer any more.
    ClientGone(RequestId),
    /// A timer started by [`Action::Timer`](crate::Action::Timer) fired; carries its token.
    TimerFired(u64),
    /// A load probe ended.
    ProbeEnded {
        /// The worker.
        worker: &'a str,
        /// The probe's outcome.
        outcome: Outcome,
        /// The time since the probe was sent, in nanoseconds.
        elapsed: Nanos,
        /// The worker's load report, if the response carried one.
        report: Option<LoadReport>,
    },
    /// Operators changed the settings. The learned statistics are kept; open requests keep their
    /// class and their attempts.
    SettingsChanged {
        /// The new settings. The indexes of their classes follow those of all earlier classes.
        settings: Box<Settings>,
        /// For each new class, the earlier class whose statistics it takes over, if any.
        predecessors: Vec<Option<u32>>,
    },
    /// A message from a peer arrived.
    PeerMessage {
        /// The sender's instance number.
        from: u32,
        /// The payload.
        data: &'a [u8],
    },
}
