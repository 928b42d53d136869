//! The outputs to the embedder, and the actions that follow once a record is on disk.
use crate::interface::{Output, Record, ReplicaEvent};
use crate::message::{Envelope, Message};
use crate::view::{Ballot, Epoch, Member, MemberId, Term};
use std::collections::VecDeque;

/// The receiver of a message.
#[derive(Clone, Debug)]
pub(super) struct Destination {
    pub(super) address: String,
    /// `None` if only the address is known.
    pub(super) id: Option<MemberId>,
}

impl From<&Member> for Destination {
    fn from(member: &Member) -> Self {
        Destination { address: member.peer_address.clone(), id: Some(member.id) }
    }
}

/// The action that follows once a record is on disk.
#[derive(Clone, Debug)]
pub(super) enum WriteCompletion {
    /// No action.
    NoAction,
    /// Send a response that may be sent only after the record is on disk.
    Send(Destination, Message),
    /// Count the candidate's own promise.
    CountPromise(Ballot),
    /// Count this machine's own acceptance of the view that it proposed.
    CountAcceptance(Ballot, Epoch),
    /// Record that a batch that this machine proposed as primary is on its own disk.
    RecordOwnBatch { term: Term, sequence: u64 },
    /// Acknowledge a batch to the primary.
    AcknowledgeBatch { primary: Destination, session: u64, sequence: u64 },
    /// Acknowledge a chunk of a repair to the primary.
    AcknowledgeChunk { primary: Destination, session: u64, index: u64 },
}

/// A write that the embedder has not confirmed.
#[derive(Clone, Debug)]
struct PendingWrite {
    token: u64,
    is_witness_record: bool,
    completion: WriteCompletion,
}

/// The outputs that the embedder has not taken yet, and the writes that it has not confirmed.
///
/// Invariant: tokens increase by one, and writes complete in the order of their tokens, since the
/// embedder writes records in that order.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    outputs: Vec<Output>,
    last_token: u64,
    pending_writes: VecDeque<PendingWrite>,
}

impl Outbox {
    /// Adds an output that sends a message.
    pub(super) fn send(&mut self, from: MemberId, to: Destination, message: Message) {
        let envelope = Envelope { from, to: to.id, message };
        self.outputs.push(Output::Send { to: to.address, envelope });
    }

    /// Adds an output that writes a record, and keeps the completion until the write is confirmed.
    pub(super) fn write(&mut self, record: Record, completion: WriteCompletion) {
        self.last_token += 1;
        let token = self.last_token;
        let is_witness_record = matches!(record, Record::Witness(_));
        self.pending_writes.push_back(PendingWrite { token, is_witness_record, completion });
        self.outputs.push(Output::Write { token, record });
    }

    /// Whether a record of the witness is not on disk yet.
    pub(super) fn has_pending_witness_record(&self) -> bool {
        self.pending_writes.iter().any(|write| write.is_witness_record)
    }

    /// Adds an output that reports an event to the embedder.
    pub(super) fn emit(&mut self, event: ReplicaEvent) {
        self.outputs.push(Output::Event(event));
    }

    /// Removes the pending writes up to this token, which are on disk, and returns their
    /// completions in order.
    pub(super) fn complete_up_to(&mut self, token: u64) -> Vec<WriteCompletion> {
        let count = self.pending_writes.iter().take_while(|write| write.token <= token).count();
        self.pending_writes.drain(..count).map(|write| write.completion).collect()
    }

    /// Takes the outputs that were added since the previous call.
    pub(super) fn take(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }
}
