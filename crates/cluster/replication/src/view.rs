//! Members, ballots, epochs and views, and the quorums that decide a view.
use rkyv::{Archive, Deserialize, Serialize};
use std::fmt;

/// The identity of a data folder: random, chosen when the folder is first used.
///
/// A machine that lost its disk returns with another identity, so that it can't be mistaken for the
/// witness that it was before.
#[derive(
    Archive, Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
pub struct MemberId(pub u64);

/// The number of a [`View`]. Every view change uses the next number.
#[derive(
    Archive, Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch of the first view of a system.
    pub const FIRST: Epoch = Epoch(1);

    /// The epoch that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Epoch(self.0 + 1)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The epoch at which a primary took over. It identifies the tenure of one primary and is its
/// fencing token.
#[derive(
    Archive, Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
pub struct Term(pub u64);

impl From<Epoch> for Term {
    /// Returns the term of a primary that takes over with this epoch.
    fn from(epoch: Epoch) -> Self {
        Term(epoch.0)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A machine that may be a witness and a replica.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The identity of its data folder.
    pub id: MemberId,
    /// The machine's name.
    pub node_name: String,
    /// The address at which other schedulers reach the machine.
    pub peer_address: String,
    /// The address at which operators reach the machine.
    pub operator_address: String,
}

/// A proposal number. No two candidates use the same one.
///
/// Ballots are ordered by round, then by candidate: the order of the fields.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ballot {
    /// The round, which increases with each election.
    pub round: u64,
    /// The candidate.
    pub candidate: MemberId,
}

/// A configuration of the system: the primary, the in-sync set and the members.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// The number of this view.
    pub epoch: Epoch,
    /// The term of the primary.
    pub term: Term,
    /// The replica that orders all changes of the key space.
    pub primary: MemberId,
    /// The in-sync set: the replicas that hold all committed batches.
    pub in_sync: Vec<MemberId>,
    /// All witnesses and replicas.
    pub members: Vec<Member>,
    /// The members of the previous view. If they differ from `members`, a majority of them must
    /// accept this view too.
    pub previous_members: Vec<Member>,
}

impl View {
    /// Whether `id` is a member.
    #[must_use]
    pub fn has_member(&self, id: MemberId) -> bool {
        self.member(id).is_some()
    }

    /// The member with this identity.
    #[must_use]
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Whether `id` belongs to the in-sync set.
    #[must_use]
    pub fn is_in_sync(&self, id: MemberId) -> bool {
        self.in_sync.contains(&id)
    }

    /// Whether the members differ from those of the previous view, whose votes are then needed too.
    #[must_use]
    pub fn changes_members(&self) -> bool {
        self.previous_members != self.members
    }

    /// The number of members' votes that decide a view: a majority, but at least `min_quorum`.
    pub(crate) fn quorum_size(&self, min_quorum: usize) -> usize {
        quorum_size(&self.members, min_quorum)
    }

    /// Whether the votes of `voters` decide this view.
    ///
    /// `min_quorum` is the lower bound on every quorum, f + 1 where f machines may be lost, so that
    /// two views with few members can't both be decided. A change of members needs a quorum of the
    /// previous members as well, so that any two successive views share a voter.
    pub(crate) fn is_decided_by(&self, voters: &[MemberId], min_quorum: usize) -> bool {
        let is_quorum_of =
            |members: &[Member]| count_votes(members, voters) >= quorum_size(members, min_quorum);
        is_quorum_of(&self.members) && (!self.changes_members() || is_quorum_of(&self.previous_members))
    }

    /// Whether `id` is a voter of this view: a member or a previous member.
    #[must_use]
    pub fn has_voter(&self, id: MemberId) -> bool {
        self.has_member(id) || self.previous_members.iter().any(|member| member.id == id)
    }

    /// All members and previous members, each once: their votes may be needed for this view.
    pub(crate) fn voters(&self) -> Vec<&Member> {
        let mut voters: Vec<&Member> = self.members.iter().collect();
        voters.extend(self.previous_members.iter().filter(|member| !self.has_member(member.id)));
        voters
    }

    /// Returns the next view with the same members, primary and in-sync set.
    pub(crate) fn successor(&self) -> View {
        View { epoch: self.epoch.next(), previous_members: self.members.clone(), ..self.clone() }
    }
}

fn count_votes(members: &[Member], voters: &[MemberId]) -> usize {
    members.iter().filter(|member| voters.contains(&member.id)).count()
}

fn quorum_size(members: &[Member], min_quorum: usize) -> usize {
    min_quorum.max(members.len() / 2 + 1)
}

/// A view that a witness accepted, with the ballot under which it was proposed.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct AcceptedView {
    /// The ballot.
    pub ballot: Ballot,
    /// The view.
    pub view: View,
}

impl AcceptedView {
    /// Whether this view supersedes `other`: ordered by ballot, then by epoch.
    pub(crate) fn is_newer_than(&self, other: &AcceptedView) -> bool {
        (self.ballot, self.view.epoch) > (other.ballot, other.view.epoch)
    }
}

/// The last batch of changes that a replica has applied. Two replicas at the same position are
/// equal unless a repair of one is incomplete.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The term of the primary that the replica last followed.
    pub term: Term,
    /// The sequence number of the last batch of changes.
    pub sequence: u64,
}
