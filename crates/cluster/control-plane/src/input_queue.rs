//! The inputs that wait for a node, the urgent ones first.
//!
//! Leases, votes, batches and acknowledgements must not wait behind the responses of workers: a
//! primary with a backlog of those would lose its lease to its own queue.
use crate::input::Input;
use async_std::channel::{Receiver, Sender, unbounded};
use futures_lite::future::or;

/// Queues inputs for a node.
#[derive(Clone, Debug)]
pub struct InputSender {
    urgent: Sender<Input>,
    normal: Sender<Input>,
}

/// Where a node takes its inputs from.
#[derive(Debug)]
pub struct InputReceiver {
    urgent: Receiver<Input>,
    normal: Receiver<Input>,
}

/// An empty queue.
#[must_use]
pub fn input_queue() -> (InputSender, InputReceiver) {
    let (urgent_sender, urgent) = unbounded();
    let (normal_sender, normal) = unbounded();
    let sender = InputSender { urgent: urgent_sender, normal: normal_sender };
    (sender, InputReceiver { urgent, normal })
}

impl InputSender {
    /// Queues an input. It is dropped if the node has ended.
    pub fn send(&self, input: Input) {
        let queue = if input.is_urgent() { &self.urgent } else { &self.normal };
        let _ = queue.try_send(input);
    }
}

impl InputReceiver {
    /// Waits for the next input; `None` once there can be none any more.
    pub async fn next(&self) -> Option<Input> {
        or(self.urgent.recv(), self.normal.recv()).await.ok()
    }

    /// The next input if one is queued.
    #[must_use]
    pub fn try_next(&self) -> Option<Input> {
        self.urgent.try_recv().or_else(|_| self.normal.try_recv()).ok()
    }
}
