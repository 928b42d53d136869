//! What a node has to take, the urgent first.
//!
//! Leases, votes, batches and acknowledgements must not wait behind the answers of workers: a primary that is behind with
//! those would lose its lease to its own queue.
use super::Input;
use async_std::channel::{Receiver, Sender, unbounded};
use futures_lite::future::or;
use spanlead_cluster_runtime::frame::Frame;

/// Where inputs of a node are put.
#[derive(Clone, Debug)]
pub struct Inputs {
    urgent: Sender<Input>,
    other: Sender<Input>,
}

/// Where a node takes its inputs from.
#[derive(Debug)]
pub struct Inbox {
    urgent: Receiver<Input>,
    other: Receiver<Input>,
}

/// An empty inbox, and where its inputs are put.
#[must_use]
pub fn inbox() -> (Inputs, Inbox) {
    let (urgent, urgent_inbox) = unbounded();
    let (other, other_inbox) = unbounded();
    (Inputs { urgent, other }, Inbox { urgent: urgent_inbox, other: other_inbox })
}

/// Whether an input belongs to the replication. Those stay in order among themselves.
fn is_urgent(input: &Input) -> bool {
    matches!(input, Input::Frame(Frame::Replication(_), _) | Input::Written(_) | Input::PeerDown(_))
}

impl Inputs {
    /// Puts an input in. A node that has ended takes none any more.
    pub fn put(&self, input: Input) {
        let queue = if is_urgent(&input) { &self.urgent } else { &self.other };
        let _ = queue.try_send(input);
    }
}

impl Inbox {
    /// The next input; `None` once nothing can come any more.
    pub async fn next(&self) -> Option<Input> {
        or(self.urgent.recv(), self.other.recv()).await.ok()
    }

    /// The next input if one is there.
    #[must_use]
    pub fn try_next(&self) -> Option<Input> {
        self.urgent.try_recv().or_else(|_| self.other.try_recv()).ok()
    }
}
