//! What members say to one another.
use crate::keyspace::{Change, Part};
use crate::view::{Accepted, Ballot, Member, MemberId, View};
use rkyv::{Archive, Deserialize, Serialize};

/// A message with its sender and the identity it is meant for.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Who sends it.
    pub from: MemberId,
    /// Who is meant; nobody else heeds it. `None` where the sender knows only an address.
    pub to: Option<MemberId>,
    /// What is said.
    pub message: Message,
}

/// What is said.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum Message {
    /// A machine that is no member, or has heard of no primary, shows itself.
    Register {
        /// Itself.
        member: Member,
        /// Whether its folder dates from the first start of the whole system and has no view: it may take part in the
        /// round that begins the system.
        founder: bool,
        /// The epoch of the newest view it knows.
        epoch: u64,
    },
    /// The answer: the newest view known there.
    Directory {
        /// That view.
        view: View,
    },
    /// A machine that would stand for election asks whether it would be given a promise. Nothing is promised by the answer:
    /// one that can't win does not disturb a primary.
    Canvass {
        /// The ballot that it would use.
        ballot: Ballot,
        /// Where it is answered.
        candidate: Member,
    },
    /// It would.
    Support {
        /// The ballot.
        ballot: Ballot,
    },
    /// A candidate asks for a promise.
    Prepare {
        /// Its ballot.
        ballot: Ballot,
        /// Where it is answered.
        candidate: Member,
    },
    /// The promise, with the newest view accepted there.
    Promise {
        /// The ballot.
        ballot: Ballot,
        /// That view.
        accepted: Option<Accepted>,
    },
    /// A ballot is refused.
    Refuse {
        /// The ballot.
        ballot: Ballot,
        /// What was promised instead.
        promised: Ballot,
        /// Milliseconds until another try makes sense; 0 if a higher ballot is needed.
        retry_ms: u64,
    },
    /// A view to accept.
    Accept {
        /// Its ballot.
        ballot: Ballot,
        /// The view.
        view: View,
    },
    /// The view is on disk.
    Accepted {
        /// The ballot.
        ballot: Ballot,
        /// The view's epoch.
        epoch: u64,
    },
    /// The primary lives, and asks for its lease.
    Heartbeat {
        /// The ballot under which its view was accepted.
        ballot: Ballot,
        /// The view in force.
        view: View,
        /// The primary's clock, returned with the grant.
        sent_at: u64,
        /// The number of the last batch sent.
        sequence: u64,
        /// The session in which the primary serves the receiver; `None` if there is none.
        session: Option<u64>,
        /// What the primary can prove of its majority.
        contact: Option<Contact>,
    },
    /// The lease.
    Grant {
        /// The ballot.
        ballot: Ballot,
        /// The primary's clock as it was told.
        sent_at: u64,
        /// The witness's own clock, returned with a later heartbeat.
        clock: u64,
        /// Whether it holds records that it can't read, and may not lead.
        unfit: bool,
    },
    /// A replica asks to be sent the changes.
    Follow {
        /// The term.
        term: u64,
        /// A number of its own for this session.
        session: u64,
        /// The digests of its ranges.
        roots: Vec<u64>,
    },
    /// Ranges that differ.
    Compare {
        /// The session.
        session: u64,
        /// Whether the follower counts as in sync, and must stay able to lead while it is repaired.
        in_sync: bool,
        /// The ranges' numbers.
        ranges: Vec<u16>,
    },
    /// The digests of these ranges' leaves.
    Leaves {
        /// The session.
        session: u64,
        /// Each range with the digests of its leaves.
        leaves: Vec<(u16, Vec<u64>)>,
    },
    /// The next item of a session's stream.
    Stream {
        /// The session.
        session: u64,
        /// The item's place in the stream, from 1 without gaps.
        index: u64,
        /// The item.
        item: StreamItem,
    },
    /// A piece of a repair is taken; the next may be sent.
    Repaired {
        /// The session.
        session: u64,
        /// The piece's place in the stream.
        index: u64,
    },
    /// All up to here is on this replica's disk.
    Appended {
        /// The session.
        session: u64,
        /// The number of the last batch on disk.
        sequence: u64,
    },
    /// The primary gives its lease back.
    Resign {
        /// Its ballot.
        ballot: Ballot,
        /// Who should take over.
        successor: Option<MemberId>,
    },
    /// A member is to leave for good, and asks to be exchanged for a machine that stands by.
    Leave {
        /// Itself.
        member: Member,
    },
    /// The primary's answer.
    LeaveAnswer {
        /// Whether an exchange is under way; if not, the member may end.
        wait: bool,
    },
}

/// Proof that a primary was in touch with a majority.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    /// The receiver's own clock, as the primary last had it with a grant.
    pub clock: u64,
    /// How long before this heartbeat the primary asked for the grants of the majority, milliseconds.
    pub age_ms: u64,
}

/// An item of a session's stream.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum StreamItem {
    /// A piece of the repair: these ranges as they are at this place of the stream.
    Piece(Vec<Part>),
    /// A batch of changes.
    Batch {
        /// Its number.
        sequence: u64,
        /// The changes.
        changes: Vec<Change>,
    },
    /// The repair is complete: the copy is as the primary's after this batch.
    Whole {
        /// The batch's number.
        sequence: u64,
    },
}

/// The connection that a message belongs on. Messages on one lane stay in order; the lanes don't wait for one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lane {
    /// Small and urgent: leases, votes, acknowledgements.
    Control,
    /// Data: repair and batches.
    Data,
}

impl Message {
    /// The lane of this message.
    #[must_use]
    pub fn lane(&self) -> Lane {
        match self {
            Message::Stream { .. } | Message::Compare { .. } | Message::Leaves { .. } => Lane::Data,
            _ => Lane::Control,
        }
    }
}
