//! The queue of inputs to a node, with two priorities: urgent inputs are taken first.
//!
//! Leases, votes, batches and acknowledgements must not wait behind worker responses: a primary
//! with a backlog of responses would lose its lease.
use crate::input::Input;
use async_std::channel::{Receiver, Sender, unbounded};
use futures_lite::future::or;

/// The sending half of an input queue.
#[derive(Clone, Debug)]
pub struct InputSender {
    urgent: Sender<Input>,
    normal: Sender<Input>,
}

/// The receiving half of an input queue.
#[derive(Debug)]
pub struct InputReceiver {
    urgent: Receiver<Input>,
    normal: Receiver<Input>,
}

/// Creates an empty input queue.
#[must_use]
pub fn input_queue() -> (InputSender, InputReceiver) {
    let (urgent_sender, urgent) = unbounded();
    let (normal_sender, normal) = unbounded();
    let sender = InputSender { urgent: urgent_sender, normal: normal_sender };
    (sender, InputReceiver { urgent, normal })
}

impl InputSender {
    /// Queues an input. The input is dropped if the receiver is closed.
    pub fn send(&self, input: Input) {
        let queue = if input.is_urgent() { &self.urgent } else { &self.normal };
        let _ = queue.try_send(input);
    }
}

impl InputReceiver {
    /// Waits for the next input; returns `None` once all senders are dropped.
    pub async fn next(&self) -> Option<Input> {
        or(self.urgent.recv(), self.normal.recv()).await.ok()
    }

    /// Returns the next input if one is queued.
    #[must_use]
    pub fn try_next(&self) -> Option<Input> {
        self.urgent.try_recv().or_else(|_| self.normal.try_recv()).ok()
    }
}
