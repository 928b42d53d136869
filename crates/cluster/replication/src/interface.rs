//! The interface between a replica and its embedder: inputs, outputs, and the records on disk.
use crate::keyspace::{Change, Keyspace};
use crate::message::Envelope;
use crate::view::{Member, MemberId, Position, Term, View};
use crate::witness::WitnessRecord;

/// The state that the embedder read from the data folder at start.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// The folder's identity; `None` if the folder is empty.
    pub identity: Option<MemberId>,
    /// Whether the folder was first used at the first start of the whole system, so that the
    /// machine may vote for the first view.
    pub bootstrap_voter: bool,
    /// Whether a repair of the key space was started and not completed. The key space is then not a
    /// state that any primary ever had.
    pub repair_incomplete: bool,
    /// The witness's record.
    pub witness: WitnessRecord,
    /// The last batch that the key space contains.
    pub position: Position,
    /// The key space.
    pub keyspace: Keyspace,
}

/// A record to write to disk. Records are written in order; each replaces or extends the state in
/// the data folder.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The folder's identity.
    Identity {
        /// The identity.
        id: MemberId,
        /// Whether this is the first start of the whole system.
        bootstrap_voter: bool,
    },
    /// The witness's record, which replaces the previous one.
    Witness(WitnessRecord),
    /// Changes of the key space and the position after them. Completes a repair.
    Batch {
        /// The position after the changes.
        position: Position,
        /// The changes.
        changes: Vec<Change>,
    },
    /// Changes of a repair. The key space is incomplete from this record until the next batch.
    Repair {
        /// The changes.
        changes: Vec<Change>,
    },
}

/// The status of a member as the primary knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// The member.
    pub member: Member,
    /// The sequence number of the last batch on its disk; `None` while it has no session, or one
    /// that is still under repair.
    pub durable_sequence: Option<u64>,
    /// Whether the member holds records that it can't read and so must not become primary.
    pub ineligible: bool,
}

/// An input to the state machine.
#[derive(Debug)]
pub enum Input {
    /// A message from another machine.
    Message(Envelope),
    /// All records with tokens up to this one are on disk.
    Written(u64),
    /// The connection to this peer address was lost.
    PeerDisconnected(String),
    /// Time has passed: due timers are to be run.
    Tick,
}

/// A change of the replica's state to which the embedder reacts.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaEvent {
    /// This machine holds the lease of a primary and may act from now on.
    Activated {
        /// The primary's term.
        term: Term,
    },
    /// This machine is no longer primary. Its proposed but uncommitted batches may or may not
    /// survive.
    Deactivated,
    /// All batches up to this one are committed: every later primary has them.
    Committed {
        /// The sequence number of the last committed batch.
        sequence: u64,
    },
    /// A newer view is known.
    ViewChanged(View),
    /// A member that was told to leave may terminate: no view needs its vote any more, or there is
    /// no standby to replace it.
    LeaveAllowed,
}

/// An action that the replica requests from the embedder.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a peer address. The message may be lost.
    Send {
        /// The address.
        to: String,
        /// The message.
        envelope: Envelope,
    },
    /// Write a record to disk in the order of the tokens, and confirm it with [`Input::Written`].
    Write {
        /// The record's token. Each token is one higher than the previous one.
        token: u64,
        /// The record.
        record: Record,
    },
    /// React to a change of state.
    Event(ReplicaEvent),
}
