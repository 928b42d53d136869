//! The messages that members send to each other.
//!
//! The order and the types of fields and variants are the wire format: names may change, these may
//! not.
use crate::keyspace::{Change, LeafChunk};
use crate::view::{AcceptedView, Ballot, Epoch, Member, MemberId, Term, View};
use rkyv::{Archive, Deserialize, Serialize};

/// A message with its sender and receiver.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Envelope {
    /// The sender.
    pub from: MemberId,
    /// The receiver; any other member drops the message. `None` where the sender knows only an
    /// address.
    pub to: Option<MemberId>,
    /// The message.
    pub message: Message,
}

/// A message between members.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum Message {
    /// A machine that is no member, or receives nothing from a primary, announces itself.
    Announce {
        /// The sender.
        member: Member,
        /// Whether the sender's folder dates from the first start of the whole system and has no
        /// view: it may vote in the election that starts the system.
        bootstrap_voter: bool,
        /// The epoch of the newest view that the sender knows.
        known_epoch: Epoch,
    },
    /// The answer to [`Message::Announce`]: the newest view that the sender knows.
    CurrentView {
        /// That view.
        view: View,
    },
    /// A machine that would start an election asks whether it would get a promise.
    ///
    /// The answer promises nothing, so a machine that can't win does not disturb a primary.
    PreVoteRequest {
        /// The ballot that it would use.
        ballot: Ballot,
        /// The sender.
        candidate: Member,
    },
    /// The witness would promise.
    PreVoteGrant {
        /// The ballot of the request.
        ballot: Ballot,
    },
    /// A candidate asks for a promise.
    Prepare {
        /// Its ballot.
        ballot: Ballot,
        /// The sender.
        candidate: Member,
    },
    /// The witness promises to ignore lower ballots. Sent once the promise is on disk.
    Promise {
        /// The ballot of the request.
        ballot: Ballot,
        /// The newest view that the witness has accepted.
        accepted: Option<AcceptedView>,
    },
    /// The witness rejects a ballot.
    Reject {
        /// The rejected ballot.
        ballot: Ballot,
        /// The highest ballot that the witness has promised.
        promised: Ballot,
        /// Milliseconds until a retry makes sense; 0 if a higher ballot is needed.
        retry_after_ms: u64,
    },
    /// A candidate or primary proposes a view.
    Accept {
        /// Its ballot.
        ballot: Ballot,
        /// The view.
        view: View,
    },
    /// The witness has accepted the view. Sent once it is on disk.
    Accepted {
        /// The ballot of the proposal.
        ballot: Ballot,
        /// The view's epoch.
        epoch: Epoch,
    },
    /// The primary is alive and asks for its lease.
    Heartbeat(Heartbeat),
    /// The witness grants the lease.
    LeaseGrant(LeaseGrant),
    /// A backup asks the primary for a new replication session.
    SessionRequest {
        /// The term of the primary that it follows.
        term: Term,
        /// The session's number, chosen by the backup.
        session: u64,
        /// The digest of each range of the backup's key space.
        range_digests: Vec<u64>,
    },
    /// The primary asks for the leaf digests of the ranges that differ.
    LeafDigestRequest {
        /// The session.
        session: u64,
        /// Whether the backup counts as in sync, and so must stay able to become primary while it
        /// is repaired.
        in_sync: bool,
        /// The numbers of the ranges.
        ranges: Vec<u16>,
    },
    /// The answer: the digests of the leaves of these ranges.
    LeafDigests {
        /// The session.
        session: u64,
        /// One entry for each range that was asked for.
        ranges: Vec<RangeLeafDigests>,
    },
    /// The next item of a session's stream.
    Stream {
        /// The session.
        session: u64,
        /// The item's index in the stream, from 1 without gaps.
        index: u64,
        /// The item.
        item: StreamItem,
    },
    /// The backup holds a chunk of the repair; the next one may be sent.
    ChunkAck {
        /// The session.
        session: u64,
        /// The chunk's index in the stream.
        index: u64,
    },
    /// All batches up to this one are on the backup's disk.
    BatchAck {
        /// The session.
        session: u64,
        /// The sequence number of the last batch on disk.
        sequence: u64,
    },
    /// The primary steps down and releases its lease.
    Resign {
        /// Its ballot.
        ballot: Ballot,
        /// The replica that should take over.
        successor: Option<MemberId>,
    },
    /// A member is to leave for good and asks to be replaced by a standby.
    LeaveRequest {
        /// The sender.
        member: Member,
    },
    /// The primary's answer to [`Message::LeaveRequest`].
    LeaveResponse {
        /// Whether a replacement is pending; if not, the member may terminate.
        must_wait: bool,
    },
}

/// What a primary tells a member with each heartbeat; see [`Message::Heartbeat`].
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The ballot under which the primary's view was accepted.
    pub ballot: Ballot,
    /// The view in force.
    pub view: View,
    /// The primary's clock, milliseconds; returned with the grant.
    pub sent_at_ms: u64,
    /// The sequence number of the last batch that was sent.
    pub sequence: u64,
    /// The session in which the primary replicates to the receiver; `None` if there is none.
    pub session: Option<u64>,
    /// The primary's proof that a majority granted its lease, if it has one.
    pub majority_contact: Option<MajorityContact>,
}

/// A witness's grant of a lease; see [`Message::LeaseGrant`].
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct LeaseGrant {
    /// The ballot of the heartbeat.
    pub ballot: Ballot,
    /// The primary's clock as the heartbeat gave it, milliseconds.
    pub sent_at_ms: u64,
    /// The witness's own clock, milliseconds; returned with a later heartbeat.
    pub witness_clock_ms: u64,
    /// Whether the witness's replica holds records that it can't read, and so must not become
    /// primary.
    pub ineligible: bool,
}

/// Proof that a primary was in contact with a majority.
///
/// Both values are of one clock each, so a delayed message can only make the contact look older
/// than it is.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub struct MajorityContact {
    /// The receiver's own clock as its last grant told the primary, milliseconds.
    pub receiver_clock_ms: u64,
    /// How long before this heartbeat the primary asked for the grants of the majority,
    /// milliseconds.
    pub age_ms: u64,
}

/// The digests of the leaves of one range.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct RangeLeafDigests {
    /// The range's number.
    pub range: u16,
    /// The digest of each leaf, in order.
    pub digests: Vec<u64>,
}

/// An item of a session's stream.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum StreamItem {
    /// A chunk of the repair: these key ranges as they are at this index of the stream.
    RepairChunk(Vec<LeafChunk>),
    /// A batch of changes.
    Batch {
        /// Its sequence number.
        sequence: u64,
        /// The changes.
        changes: Vec<Change>,
    },
    /// The repair is complete: the backup now equals the primary after this batch.
    RepairComplete {
        /// The batch's sequence number.
        sequence: u64,
    },
}

/// The connection on which a message travels. Messages of one class keep their order; the classes
/// don't delay each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TrafficClass {
    /// Small and urgent: leases, votes, acknowledgements.
    Control,
    /// Bulk data: repair and batches.
    Data,
}

impl Message {
    /// The class of this message.
    #[must_use]
    pub fn traffic_class(&self) -> TrafficClass {
        match self {
            Message::Stream { .. } | Message::LeafDigestRequest { .. } | Message::LeafDigests { .. } => {
                TrafficClass::Data
            }
            _ => TrafficClass::Control,
        }
    }
}
