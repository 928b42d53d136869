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
        /// Whether this is the first start of the whole system.
        bootstrap: bool,
        /// The epoch of the newest view it knows.
        epoch: u64,
    },
    /// The answer: the newest view known there.
    Directory {
        /// That view.
        view: View,
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
    },
    /// The lease, and how far this replica is on disk.
    Grant {
        /// The ballot.
        ballot: Ballot,
        /// The primary's clock as it was told.
        sent_at: u64,
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
    /// Leaves as they are at the primary; batches follow from there.
    Repair {
        /// The session.
        session: u64,
        /// The batch that they include last.
        sequence: u64,
        /// The leaves that differ.
        parts: Vec<Part>,
    },
    /// A batch of changes.
    Append {
        /// The session.
        session: u64,
        /// Its number.
        sequence: u64,
        /// The changes.
        changes: Vec<Change>,
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
}
