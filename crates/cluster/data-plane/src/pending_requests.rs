//! Requests that were sent to the control plane and not answered yet.
use async_std::channel::{Receiver, Sender, bounded};
use spanlead_cluster_runtime::frame::ClientResponse;
use std::collections::HashMap;

/// A request that was sent.
#[derive(Debug)]
struct PendingRequest {
    /// The peer address of the node that has it.
    node: String,
    response: Sender<ClientResponse>,
}

/// A request that is to be sent under a new ID.
#[derive(Debug)]
pub(crate) struct RegisteredRequest {
    pub(crate) id: u64,
    /// Receives the response; is closed once it can't be received any more.
    pub(crate) response: Receiver<ClientResponse>,
}

/// The requests by their ID, which is never used again.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    by_id: HashMap<u64, PendingRequest>,
    last_id: u64,
}

impl PendingRequests {
    /// Adds a request to a node.
    pub(crate) fn register(&mut self, node: &str) -> RegisteredRequest {
        let (sender, response) = bounded(1);
        self.last_id += 1;
        let id = self.last_id;
        self.by_id.insert(id, PendingRequest { node: node.to_owned(), response: sender });
        RegisteredRequest { id, response }
    }

    pub(crate) fn remove(&mut self, id: u64) {
        self.by_id.remove(&id);
    }

    /// Passes a response on to whoever waits for it.
    pub(crate) fn complete(&mut self, response: ClientResponse) {
        if let Some(request) = self.by_id.remove(&response.request_id) {
            let _ = request.response.try_send(response);
        }
    }

    /// The connection to a node was lost: its responses will not be received on it any more.
    pub(crate) fn cancel_at(&mut self, node: &str) {
        self.by_id.retain(|_, request| request.node != node);
    }

    /// Another node is primary: only its responses are still of use.
    pub(crate) fn cancel_elsewhere(&mut self, primary: &str) {
        self.by_id.retain(|_, request| request.node == primary);
    }
}
