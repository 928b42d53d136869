//! What a replica asks of its embedder, and what follows once a record is on disk.
use crate::interface::{Output, Record, ReplicaEvent};
use crate::message::{Envelope, Message};
use crate::view::{Ballot, Epoch, Member, MemberId, Term};
use std::collections::VecDeque;

/// The receiver of a message.
#[derive(Clone, Debug)]
pub(super) struct Destination {
    pub(super) address: String,
    /// `None` where only the address is known.
    pub(super) id: Option<MemberId>,
}

impl From<&Member> for Destination {
    fn from(member: &Member) -> Self {
        Destination { address: member.peer_address.clone(), id: Some(member.id) }
    }
}

/// What follows once a record is on disk.
#[derive(Clone, Debug)]
pub(super) enum WriteCompletion {
    /// Nothing.
    Nothing,
    /// Send an answer that rests on the record.
    Send(Destination, Message),
    /// Count the candidate's own promise.
    Promised(Ballot),
    /// Count the own acceptance of a proposed view.
    Accepted(Ballot, Epoch),
    /// Count a batch that this machine proposed as primary.
    BatchProposed { term: Term, sequence: u64 },
    /// Acknowledge a batch to the primary.
    AcknowledgeBatch { primary: Destination, session: u64, sequence: u64 },
    /// Acknowledge a chunk of a repair to the primary.
    AcknowledgeChunk { primary: Destination, session: u64, index: u64 },
}

#[derive(Clone, Debug)]
struct PendingWrite {
    token: u64,
    completion: WriteCompletion,
}

/// The outputs that the embedder has not taken yet, and the writes that it has not confirmed.
///
/// Invariant: tokens rise by one, and writes complete in their order, since the embedder writes
/// records in order.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    outputs: Vec<Output>,
    last_token: u64,
    pending_writes: VecDeque<PendingWrite>,
}

impl Outbox {
    /// Sends a message.
    pub(super) fn send(&mut self, from: MemberId, to: Destination, message: Message) {
        let envelope = Envelope { from, to: to.id, message };
        self.outputs.push(Output::Send { to: to.address, envelope });
    }

    /// Writes a record.
    pub(super) fn write(&mut self, record: Record, completion: WriteCompletion) {
        self.last_token += 1;
        let token = self.last_token;
        self.pending_writes.push_back(PendingWrite { token, completion });
        self.outputs.push(Output::Write { token, record });
    }

    /// Tells the embedder of an event.
    pub(super) fn emit(&mut self, event: ReplicaEvent) {
        self.outputs.push(Output::Event(event));
    }

    /// All records up to this token are on disk: what follows, in order.
    pub(super) fn complete_up_to(&mut self, token: u64) -> Vec<WriteCompletion> {
        let count = self.pending_writes.iter().take_while(|write| write.token <= token).count();
        self.pending_writes.drain(..count).map(|write| write.completion).collect()
    }

    /// The outputs since this was last called.
    pub(super) fn take(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }
}
