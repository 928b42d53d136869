//! The other processes of this scheduler, while one takes over from another.
use super::{Driver, PendingRequest};
use spanlead_balancing_policy::RequestId;
use spanlead_engine::{Answer, Input, NoticeReply, RequestSnapshot};
use spanlead_net::wire::NoticeBody;
use spanlead_net::{ForwardedMessage, HandedOverRequest, PeerProcessEvent, ProcessLink};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;

/// Who waits for the answer to a notice.
pub(super) type NoticeReplySender = Option<oneshot::Sender<NoticeReply>>;

/// A request that the predecessor has handed over, and that is still to be read here.
pub(super) struct ExpectedRequest {
    pub(super) snapshot: RequestSnapshot,
    /// Notices for it that came meanwhile.
    pub(super) notices: Vec<WaitingNotice>,
}

/// A notice that waits for its request.
pub(super) struct WaitingNotice {
    pub(super) notice: NoticeBody,
    pub(super) reply: NoticeReplySender,
}

/// The links to the other processes, and what is on its way between them and this one.
#[derive(Default)]
pub(super) struct PeerProcesses {
    predecessor: Option<ProcessLink>,
    successor: Option<ProcessLink>,
    /// Requests that the predecessor has handed over, by their id.
    expected: HashMap<Arc<str>, ExpectedRequest>,
    /// Requests that the successor has, and what would answer them here, which must not be used any
    /// more.
    released: HashMap<Arc<str>, oneshot::Sender<Answer>>,
    /// Those of them that may still be on their way.
    in_transit: Vec<oneshot::Receiver<NoticeReply>>,
}

impl PeerProcesses {
    pub(super) fn new(predecessor: Option<ProcessLink>) -> Self {
        PeerProcesses { predecessor, ..PeerProcesses::default() }
    }

    pub(super) fn has_predecessor(&self) -> bool {
        self.predecessor.is_some()
    }

    pub(super) fn has_successor(&self) -> bool {
        self.successor.is_some()
    }

    /// The links to all other processes.
    pub(super) fn links(&self) -> impl Iterator<Item = &ProcessLink> {
        [&self.predecessor, &self.successor].into_iter().flatten()
    }

    /// A request of the predecessor will be read here.
    pub(super) fn expect_handed_over(&mut self, snapshot: RequestSnapshot) {
        let job_id = snapshot.id.clone();
        self.expected.insert(job_id, ExpectedRequest { snapshot, notices: Vec::new() });
    }

    pub(super) fn handed_over_mut(&mut self, job_id: &str) -> Option<&mut ExpectedRequest> {
        self.expected.get_mut(job_id)
    }

    pub(super) fn take_handed_over(&mut self, job_id: &str) -> Option<ExpectedRequest> {
        self.expected.remove(job_id)
    }

    /// Whether this request was handed over to the successor.
    pub(super) fn has_released(&self, job_id: &str) -> bool {
        self.released.contains_key(job_id)
    }

    /// Whether the successor has all that was handed over.
    pub(super) fn is_handover_done(&mut self) -> bool {
        self.in_transit.retain_mut(|arrived| matches!(arrived.try_recv(), Err(TryRecvError::Empty)));
        self.in_transit.is_empty()
    }

    fn apply(&mut self, event: PeerProcessEvent) {
        match event {
            PeerProcessEvent::SuccessorConnected(link) => self.successor = Some(link),
            PeerProcessEvent::Disconnected(link) => {
                for side in [&mut self.predecessor, &mut self.successor] {
                    side.take_if(|side| side.same_channel(&link));
                }
            }
        }
    }
}

impl Driver {
    /// Another process of this scheduler has come or gone.
    pub(super) fn peer_process_changed(&mut self, event: PeerProcessEvent) {
        self.peer_processes.apply(event);
        let predecessor = self.peer_processes.has_predecessor();
        let successor = self.peer_processes.has_successor();
        tracing::info!(predecessor, successor, "peer processes changed");
        let capacity = if predecessor || successor { self.capacities.shared } else { self.capacities.alone };
        self.client_listener.set_max_connections(capacity.client_connections);
        self.pool.set_max_connections(capacity.worker_connections);
        self.step(Input::SetCapacity { max_open_requests: capacity.open_requests, has_successor: successor });
    }

    /// Hands an open request over to the successor, with its client's socket.
    pub(super) fn hand_over_request(&mut self, request_id: RequestId, snapshot: RequestSnapshot) {
        let pending = self.pending.remove(&request_id);
        let (Some(pending), Some(successor)) = (pending, &self.peer_processes.successor) else { return };
        let PendingRequest { connection, reply, request } = pending;
        let job_id = snapshot.id.clone();
        match connection.release() {
            Ok(socket) => {
                let request = HandedOverRequest { snapshot, text: request.to_http().into(), socket };
                let (arrival, arrived) = oneshot::channel();
                tracing::info!(id = %job_id, "request handed over");
                let _ = successor.send(ForwardedMessage::Request { request, reply: arrival });
                self.peer_processes.in_transit.push(arrived);
                self.peer_processes.released.insert(job_id, reply);
            }
            Err(error) => tracing::warn!(%error, "request not handed over"),
        }
    }
}
