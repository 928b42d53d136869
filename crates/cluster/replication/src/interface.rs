//! The interface between a replica and its embedder: what goes in, what comes out, what is on disk.
use crate::keyspace::{Change, Keyspace};
use crate::message::Envelope;
use crate::view::{Member, MemberId, Position, Term, View};
use crate::witness::WitnessRecord;

/// What was read back from the data folder.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// The folder's identity; `None` if it is empty.
    pub identity: Option<MemberId>,
    /// Whether the folder was first used at the first start of the whole system, and so may vote
    /// for the first view.
    pub bootstrap_voter: bool,
    /// Whether a repair of the key space was begun and not finished: it is then no state that any
    /// primary ever had.
    pub repair_incomplete: bool,
    /// The witness's record.
    pub witness: WitnessRecord,
    /// How far the key space is.
    pub position: Position,
    /// The key space.
    pub keyspace: Keyspace,
}

/// A record to write to disk. Records are written in order, and each replaces or extends what the
/// folder holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The folder's identity.
    Identity {
        /// The identity.
        id: MemberId,
        /// Whether this is the first start of the whole system.
        bootstrap_voter: bool,
    },
    /// The witness's record, which replaces the one before.
    Witness(WitnessRecord),
    /// Changes of the key space, and the position that they lead to. Completes a repair.
    Batch {
        /// The position after the changes.
        position: Position,
        /// The changes.
        changes: Vec<Change>,
    },
    /// Changes of a repair. The key space is incomplete from here to the next batch.
    Repair {
        /// The changes.
        changes: Vec<Change>,
    },
}

/// A member as the primary sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// The member.
    pub member: Member,
    /// The sequence number of the last batch on its disk; `None` while it does not replicate.
    pub durable_sequence: Option<u64>,
    /// Whether it holds records that it can't read, and so must not become primary.
    pub ineligible: bool,
}

/// An input to the state machine.
#[derive(Debug)]
pub enum Input {
    /// A message from another machine.
    Message(Envelope),
    /// All records up to the one with this token are on disk.
    Written(u64),
    /// The connection to this peer address was lost.
    PeerDisconnected(String),
    /// Time has passed.
    Tick,
}

/// A change of the replica's state that the embedder reacts to.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaEvent {
    /// This machine is primary from now on and may act.
    Activated {
        /// Its term.
        term: Term,
    },
    /// This machine is no longer primary; what it proposed and was not committed may be lost or
    /// kept.
    Deactivated,
    /// All batches up to this one are committed: no later primary lacks them.
    Committed {
        /// The batch's sequence number.
        sequence: u64,
    },
    /// A newer view is known.
    ViewChanged(View),
    /// A member that was told to leave may terminate: no view needs it any more, or no standby can
    /// replace it.
    LeaveAllowed,
}

/// What the embedder must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a peer address. It may get lost.
    Send {
        /// The address.
        to: String,
        /// The message.
        envelope: Envelope,
    },
    /// Write a record to disk, in the order of the tokens, and confirm it with [`Input::Written`].
    Write {
        /// The record's token. Tokens rise by one.
        token: u64,
        /// The record.
        record: Record,
    },
    /// React to a change of state.
    Event(ReplicaEvent),
}
