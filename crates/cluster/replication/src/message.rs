//! The messages between machines.
//!
//! The wire format is given by the order and the types of fields and variants, which must not
//! change. Their names are not part of it.
use crate::keyspace::{Change, LeafChunk};
use crate::view::{AcceptedView, Ballot, Epoch, Member, MemberId, Term, View};
use rkyv::{Archive, Deserialize, Serialize};

/// A message with its sender and receiver.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Envelope {
    /// The sender.
    pub from: MemberId,
    /// The receiver; every other machine drops the message. `None` if the sender knows only the
    /// receiver's address.
    pub to: Option<MemberId>,
    /// The message.
    pub message: Message,
}

/// A message between machines, members or not.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum Message {
    /// An announcement by a machine that is not a member or has no contact with a primary.
    Announce {
        /// The sender.
        member: Member,
        /// Whether the sender may vote for the first view: its data folder was first used at the
        /// first start of the whole system and contains no view.
        bootstrap_voter: bool,
        /// The epoch of the newest view that the sender knows.
        known_epoch: Epoch,
    },
    /// The response to [`Message::Announce`]: the newest view that the sender knows.
    CurrentView {
        /// The view.
        view: View,
    },
    /// A candidate's question whether the witness would promise a ballot.
    ///
    /// The response makes no promise, so a candidate that can't win does not disturb a primary.
    PreVoteRequest {
        /// The ballot that the candidate would use.
        ballot: Ballot,
        /// The sender.
        candidate: Member,
    },
    /// The response to [`Message::PreVoteRequest`] of a witness that would promise.
    PreVoteGrant {
        /// The ballot of the request.
        ballot: Ballot,
    },
    /// A candidate's request for a promise.
    Prepare {
        /// The candidate's ballot.
        ballot: Ballot,
        /// The sender.
        candidate: Member,
    },
    /// A witness's promise to reject lower ballots. Sent once the promise is on disk.
    Promise {
        /// The ballot of the request.
        ballot: Ballot,
        /// The newest view that the witness has accepted.
        accepted: Option<AcceptedView>,
    },
    /// A witness's rejection of a ballot.
    Reject {
        /// The rejected ballot.
        ballot: Ballot,
        /// The highest ballot that the witness has promised.
        promised: Ballot,
        /// The time until a retry may succeed, milliseconds; 0 if a higher ballot is needed.
        retry_after_ms: u64,
    },
    /// A candidate's or a primary's proposal of a view.
    Accept {
        /// The proposer's ballot.
        ballot: Ballot,
        /// The proposed view.
        view: View,
    },
    /// A witness's acceptance of a view. Sent once the view is on disk.
    Accepted {
        /// The ballot of the proposal.
        ballot: Ballot,
        /// The view's epoch.
        epoch: Epoch,
    },
    /// A primary's heartbeat, which also requests a lease.
    Heartbeat(Heartbeat),
    /// A witness's grant of a lease.
    LeaseGrant(LeaseGrant),
    /// A backup's request to the primary for a new replication session.
    SessionRequest {
        /// The term of the primary that the backup follows.
        term: Term,
        /// The session's number, chosen by the backup.
        session: u64,
        /// The digest of each range of the backup's key space.
        range_digests: Vec<u64>,
    },
    /// A primary's request for the leaf digests of the ranges that differ.
    LeafDigestRequest {
        /// The session.
        session: u64,
        /// Whether the backup is in the in-sync set of the decided or the proposed view, and so
        /// must stay able to become primary during the repair.
        in_sync: bool,
        /// The numbers of the ranges.
        ranges: Vec<u16>,
    },
    /// The response to [`Message::LeafDigestRequest`].
    LeafDigests {
        /// The session.
        session: u64,
        /// One entry for each requested range.
        ranges: Vec<RangeLeafDigests>,
    },
    /// The next item of a session's stream.
    Stream {
        /// The session.
        session: u64,
        /// The item's index in the stream, numbered from 1 without gaps.
        index: u64,
        /// The item.
        item: StreamItem,
    },
    /// A backup's acknowledgement of a repair chunk, after which another one may be sent.
    ChunkAck {
        /// The session.
        session: u64,
        /// The chunk's index in the stream.
        index: u64,
    },
    /// A backup's acknowledgement that all batches up to this one are on its disk.
    BatchAck {
        /// The session.
        session: u64,
        /// The sequence number of the last batch on disk.
        sequence: u64,
    },
    /// A primary's notice that it has stepped down and releases its lease.
    Resign {
        /// The primary's ballot.
        ballot: Ballot,
        /// The replica that should take over; `None` if the primary names none.
        successor: Option<MemberId>,
    },
    /// A request of a member that is to leave permanently to be replaced by a standby.
    LeaveRequest {
        /// The sender.
        member: Member,
    },
    /// A primary's response to [`Message::LeaveRequest`].
    LeaveResponse {
        /// Whether the member must wait because a replacement is possible or pending; if not, it
        /// may terminate.
        must_wait: bool,
    },
}

/// The content of a primary's heartbeat to a member or a standby; see [`Message::Heartbeat`].
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The ballot under which the primary was elected.
    pub ballot: Ballot,
    /// The newest decided view.
    pub view: View,
    /// The primary's clock when it sent the heartbeat, milliseconds; the grant returns it.
    pub sent_at_ms: u64,
    /// The sequence number of the last proposed batch.
    pub sequence: u64,
    /// The session in which the primary replicates to the receiver; `None` if there is none.
    pub session: Option<u64>,
    /// The primary's proof of contact with a majority; `None` if the primary holds no lease or has
    /// no grant of the receiver.
    pub majority_contact: Option<MajorityContact>,
}

/// A witness's grant of a lease; see [`Message::LeaseGrant`].
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct LeaseGrant {
    /// The ballot of the heartbeat.
    pub ballot: Ballot,
    /// The primary's clock from the heartbeat, milliseconds.
    pub sent_at_ms: u64,
    /// The witness's own clock, milliseconds; a later heartbeat returns it.
    pub witness_clock_ms: u64,
    /// Whether the witness's replica holds records that it can't read, and so must not become
    /// primary.
    pub ineligible: bool,
}

/// Proof that a primary was in contact with a majority.
///
/// Each value comes from a single clock, so a delayed message can only make the contact look older
/// than it is.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub struct MajorityContact {
    /// The receiver's own clock from its last grant, milliseconds.
    pub receiver_clock_ms: u64,
    /// The time from the primary's request for the majority's grants until this heartbeat,
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
    /// A repair chunk: key ranges with their state at this index of the stream.
    RepairChunk(Vec<LeafChunk>),
    /// A batch of changes.
    Batch {
        /// The batch's sequence number.
        sequence: u64,
        /// The changes.
        changes: Vec<Change>,
    },
    /// The end of the repair: the backup now has the primary's state after this batch.
    RepairComplete {
        /// The batch's sequence number.
        sequence: u64,
    },
}

/// The class of a message, each of which has its own connection: messages of one class stay in
/// order, and the classes don't delay each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TrafficClass {
    /// Small, urgent messages: leases, votes, acknowledgements.
    Control,
    /// Bulk data: repairs and batches.
    Data,
}

impl Message {
    /// The traffic class of this message.
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
