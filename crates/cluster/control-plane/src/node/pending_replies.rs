//! Replies that are held back until the changes that they depend on are committed.
use crate::input::OperatorReply;
use async_std::channel::Sender;
use spanlead_cluster_runtime::frame::{ClientResponse, Frame};
use std::collections::VecDeque;

/// A reply that is not sent yet, and the channel to send it to.
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

    /// Discards the reply of a node that is no longer primary. A client request is reported as
    /// abandoned, so that the data plane sends it to the next primary. An operator gets no reply,
    /// as it is not known whether the change is committed.
    fn abandon(self) {
        if let PendingReply::Client(replies, response) = self {
            let _ =
                replies.try_send(Frame::ClientResponse(ClientResponse::outcome_unknown(response.request_id)));
        }
    }
}

/// A reply that waits for the commit of a batch.
#[derive(Debug)]
struct UncommittedReply {
    /// The sequence number of the batch.
    sequence: u64,
    reply: PendingReply,
}

/// The pending replies of a primary. None is sent before all changes that it may depend on are
/// committed.
#[derive(Debug, Default)]
pub(super) struct PendingReplies {
    /// Replies that are not assigned to a batch yet.
    unassigned: Vec<PendingReply>,
    /// Replies whose batch is not committed yet, in the order of the batches.
    uncommitted: VecDeque<UncommittedReply>,
}

impl PendingReplies {
    /// Adds a reply. All replies that are added between two calls of
    /// [`PendingReplies::assign_batch`] share a batch.
    pub(super) fn push(&mut self, reply: PendingReply) {
        self.unassigned.push(reply);
    }

    /// Assigns the unassigned replies to the batch `proposed`: the changes that they depend on are
    /// in it or in earlier ones. Sends them at once if the batches up to `committed` include it.
    pub(super) fn assign_batch(&mut self, proposed: u64, committed: u64) {
        for reply in self.unassigned.drain(..) {
            if committed >= proposed {
                reply.send();
            } else {
                self.uncommitted.push_back(UncommittedReply { sequence: proposed, reply });
            }
        }
    }

    /// Sends the replies that wait for batches up to `committed`.
    pub(super) fn handle_commit(&mut self, committed: u64) {
        while let Some(pending) = self.uncommitted.pop_front_if(|pending| pending.sequence <= committed) {
            pending.reply.send();
        }
    }

    /// Discards all replies of a node that is no longer primary.
    pub(super) fn abandon(self) {
        let uncommitted = self.uncommitted.into_iter().map(|pending| pending.reply);
        uncommitted.chain(self.unassigned).for_each(PendingReply::abandon);
    }
}
