//! Replies that wait until what they rest on is committed.
use crate::input::OperatorReply;
use async_std::channel::Sender;
use spanlead_cluster_runtime::frame::{ClientResponse, Frame};
use std::collections::VecDeque;

/// A reply that was decided, and where it goes.
#[derive(Debug)]
pub(super) enum PendingReply {
    Client(Sender<Frame>, ClientResponse),
    Operator(Sender<OperatorReply>, OperatorReply),
}

impl PendingReply {
    fn send(self) {
        match self {
            PendingReply::Client(replies, response) => {
                let _ = replies.try_send(Frame::ClientResponse(response));
            }
            PendingReply::Operator(replies, reply) => {
                let _ = replies.try_send(reply);
            }
        }
    }

    /// The node is not primary any more. A client's request is sent to the next primary; an
    /// operator gets no reply, as it is not known whether the change is committed.
    fn abandon(self) {
        if let PendingReply::Client(replies, response) = self {
            let _ = replies.try_send(Frame::ClientResponse(ClientResponse::abandoned(response.request_id)));
        }
    }
}

/// A reply that waits for the batch of a sequence.
#[derive(Debug)]
struct WaitingReply {
    sequence: u64,
    reply: PendingReply,
}

/// The replies of a primary. None is sent before everything that it may rest on is committed.
#[derive(Debug, Default)]
pub(super) struct PendingReplies {
    /// Replies whose batch is not proposed yet.
    decided: Vec<PendingReply>,
    /// Replies whose batch is not committed yet, in the order of the batches.
    waiting: VecDeque<WaitingReply>,
}

impl PendingReplies {
    /// Adds a reply. What arrives together shares a batch.
    pub(super) fn push(&mut self, reply: PendingReply) {
        self.decided.push(reply);
    }

    /// Everything that the decided replies rest on is in the batches up to `proposed`. Sends them
    /// if those are committed.
    pub(super) fn assign(&mut self, proposed: u64, committed: u64) {
        for reply in self.decided.drain(..) {
            if committed >= proposed {
                reply.send();
            } else {
                self.waiting.push_back(WaitingReply { sequence: proposed, reply });
            }
        }
    }

    /// Sends the replies that rest on batches up to `committed`.
    pub(super) fn commit(&mut self, committed: u64) {
        while let Some(waiting) = self.waiting.pop_front_if(|waiting| waiting.sequence <= committed) {
            waiting.reply.send();
        }
    }

    /// The node is not primary any more.
    pub(super) fn abandon(self) {
        let waiting = self.waiting.into_iter().map(|waiting| waiting.reply);
        waiting.chain(self.decided).for_each(PendingReply::abandon);
    }
}
