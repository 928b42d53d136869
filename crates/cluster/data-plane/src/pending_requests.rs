//! Requests that were sent to the control plane and are not answered yet.
use async_std::channel::{Receiver, Sender, bounded};
use spanlead_cluster_runtime::frame::ClientResponse;
use std::collections::HashMap;

/// A request that awaits its response.
#[derive(Debug)]
struct PendingRequest {
    /// The peer address of the node to which it was sent.
    node: String,
    response: Sender<ClientResponse>,
}

/// The ID under which a request is to be sent, and the channel of its response.
#[derive(Debug)]
pub(crate) struct RegisteredRequest {
    pub(crate) id: u64,
    /// Receives the response. The channel is closed when the request is cancelled.
    pub(crate) response: Receiver<ClientResponse>,
}

/// The pending requests by ID. An ID is never used again.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    by_id: HashMap<u64, PendingRequest>,
    last_id: u64,
}

impl PendingRequests {
    /// Adds a request to the node of this peer address, under a new ID.
    pub(crate) fn register(&mut self, node: &str) -> RegisteredRequest {
        let (sender, response) = bounded(1);
        self.last_id += 1;
        let id = self.last_id;
        self.by_id.insert(id, PendingRequest { node: node.to_owned(), response: sender });
        RegisteredRequest { id, response }
    }

    /// Removes a request. A later response to it is dropped.
    pub(crate) fn remove(&mut self, id: u64) {
        self.by_id.remove(&id);
    }

    /// Delivers a response to the waiting request. It is dropped if the request is not pending.
    pub(crate) fn complete(&mut self, response: ClientResponse) {
        if let Some(request) = self.by_id.remove(&response.request_id) {
            let _ = request.response.try_send(response);
        }
    }

    /// Cancels the requests to a node whose connection was lost: no responses can arrive on it any
    /// more.
    pub(crate) fn cancel_sent_to(&mut self, node: &str) {
        self.by_id.retain(|_, request| request.node != node);
    }

    /// Cancels the requests to all nodes other than the new primary: responses of the others
    /// are of no use any more.
    pub(crate) fn cancel_not_sent_to(&mut self, primary: &str) {
        self.by_id.retain(|_, request| request.node == primary);
    }
}
