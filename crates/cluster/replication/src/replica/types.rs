//! What a replica is given, and what it asks of its embedder.
use crate::keyspace::{Change, Keyspace};
use crate::message::Envelope;
use crate::view::{Member, MemberId, Position, View};
use crate::witness::WitnessRecord;

/// How a replica is set up.
#[derive(Clone, Debug)]
pub struct Options {
    /// The machine's name.
    pub node: String,
    /// Where other schedulers reach it.
    pub peer: String,
    /// Where operators reach it.
    pub control: String,
    /// Peer addresses that are known from the start.
    pub seeds: Vec<String>,
    /// Whether this is the first start of the whole system.
    pub bootstrap: bool,
    /// Machines that may be lost at once; there are twice as many members and one more.
    pub losses: usize,
    /// How long a lease lasts, milliseconds.
    pub lease_ms: u64,
    /// How often a primary asks for it, milliseconds.
    pub heartbeat_ms: u64,
    /// A random number, for the identity and for sessions.
    pub random: u64,
}

/// What was read back from the data folder.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// The folder's identity; `None` if it is empty.
    pub identity: Option<MemberId>,
    /// Whether the folder was first used at the first start of the whole system.
    pub founder: bool,
    /// Whether a repair of the key space was begun and not finished: it is no state that any primary ever had.
    pub incomplete: bool,
    /// What the witness knows.
    pub witness: WitnessRecord,
    /// How far the key space is.
    pub position: Position,
    /// The key space.
    pub keyspace: Keyspace,
}

/// What goes to disk, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The folder's identity.
    Identity {
        /// It.
        id: MemberId,
        /// Whether this is the first start of the whole system.
        founder: bool,
    },
    /// The witness's record, in place of the one before.
    Witness(WitnessRecord),
    /// Changes of the key space, and the position that they lead to.
    Batch {
        /// That position.
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

/// A member as the primary knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// The member.
    pub member: Member,
    /// The last batch that is on its disk; `None` while it does not follow.
    pub on_disk: Option<u64>,
    /// Whether it holds records that it can't read, and may not lead.
    pub unfit: bool,
}

/// What comes in.
#[derive(Debug)]
pub enum Input {
    /// A message from another machine.
    Message(Envelope),
    /// All records up to this number are on disk.
    Written(u64),
    /// The connection to this peer address was lost.
    PeerDown(String),
    /// Time has passed.
    Tick,
}

/// What the embedder must know.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// This machine is primary from now on and may act.
    Activated {
        /// Its term.
        term: u64,
    },
    /// It no longer is; what it proposed may be lost or may last.
    Deactivated,
    /// All batches up to this one last.
    Committed {
        /// The batch's number.
        sequence: u64,
    },
    /// A newer view is known.
    View(View),
    /// A member that was told to leave may end now: it is no member any more, or nobody stands by to take its place.
    MayLeave,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A message to a peer address. It may get lost.
    Send {
        /// The address.
        to: String,
        /// The message.
        envelope: Envelope,
    },
    /// A record to bring to disk, in the order of the tokens.
    Write {
        /// Its number.
        token: u64,
        /// The record.
        record: Record,
    },
    /// News.
    Notice(Notice),
}
