//! What happens to a dispatcher.

use super::endpoint::{Endpoint, EndpointUpdate};
use super::load_report::LoadReport;
use super::request::{AttemptProgress, Outcome, PriorAttempt, Request, RequestId};
use super::settings::Settings;
use super::time::Nanos;

/// What happens to a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// Service discovery sent an update.
    EndpointsChanged {
        /// What the entries cover.
        update: EndpointUpdate,
        /// The entries.
        endpoints: &'a [Endpoint<'a>],
    },
    /// A request arrived and must get exactly one final answer.
    RequestArrived(Request),
    /// A request that another process of this dispatcher accepted; its one final answer is now due
    /// here.
    RequestAdopted {
        /// The request.
        request: Request,
        /// Its attempts so far, at workers that the endpoint list has named.
        attempts: &'a [PriorAttempt],
    },
    /// A streamed answer has begun.
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
        /// What was reported.
        progress: AttemptProgress,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// The request is finished; no answer is due any more.
        request_closed: bool,
        /// The time since the attempt was sent, in nanoseconds.
        elapsed: Nanos,
        /// The worker's load, if it came along.
        report: Option<LoadReport>,
    },
    /// The client left; no answer is due any more.
    ClientGone(RequestId),
    /// A timer fired that [`Action::Timer`](crate::Action::Timer) asked for; this is its token.
    TimerFired(u64),
    /// A load probe ended.
    ProbeEnded {
        /// The worker.
        worker: &'a str,
        /// How it ended.
        outcome: Outcome,
        /// The time since the probe was sent, in nanoseconds.
        elapsed: Nanos,
        /// The worker's load, if it came along.
        report: Option<LoadReport>,
    },
    /// Operators have changed the settings. What was learned stays; requests that are open keep
    /// their class and their attempts.
    SettingsChanged {
        /// The new settings. Their classes are numbered after all earlier ones.
        settings: Box<Settings>,
        /// For each new class, the earlier class whose statistics it takes over, if any.
        predecessors: Vec<Option<u32>>,
    },
    /// A peer's message.
    PeerMessage {
        /// The sender's number.
        from: u32,
        /// The payload.
        data: &'a [u8],
    },
}
