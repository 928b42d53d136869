//! Members, ballots, epochs and views: who serves the key space, and which sets of votes decide
//! that.
use rkyv::{Archive, Deserialize, Serialize};
use std::fmt;

/// The identity of a data folder: random, chosen when the folder is first used.
///
/// A machine that lost its disk comes back with another identity, so it can't be taken for the
/// witness that it was before.
#[derive(
    Archive, Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
pub struct MemberId(pub u64);

/// The number of a [`View`]. Every change of view takes the next one.
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

/// The epoch at which a primary took over. It identifies one primary's time of service and is its
/// fencing token.
#[derive(
    Archive, Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
pub struct Term(pub u64);

impl From<Epoch> for Term {
    /// The term of a primary that takes over with this epoch.
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
    /// The address at which other schedulers reach it.
    pub peer_address: String,
    /// The address at which operators reach it.
    pub operator_address: String,
}

/// A proposal number. Two candidates never use the same one.
///
/// Ballots are ordered by round, then by candidate: the order of the fields.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ballot {
    /// Rises with each election.
    pub round: u64,
    /// The candidate.
    pub candidate: MemberId,
}

/// Who serves the key space.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// The number of this view.
    pub epoch: Epoch,
    /// The term of the primary.
    pub term: Term,
    /// The replica that orders changes.
    pub primary: MemberId,
    /// The in-sync set: the replicas that hold all that was committed.
    pub in_sync: Vec<MemberId>,
    /// All witnesses and replicas.
    pub members: Vec<Member>,
    /// The members of the view before this one. A majority of these too must accept a change of
    /// members.
    pub previous_members: Vec<Member>,
}

impl View {
    /// Whether `id` is a member.
    #[must_use]
    pub fn has_member(&self, id: MemberId) -> bool {
        self.member(id).is_some()
    }

    /// The member of that identity.
    #[must_use]
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Whether a replica belongs to the in-sync set.
    #[must_use]
    pub fn is_in_sync(&self, id: MemberId) -> bool {
        self.in_sync.contains(&id)
    }

    /// Whether the members differ from those of the view before, whose votes are then needed too.
    #[must_use]
    pub fn changes_members(&self) -> bool {
        self.previous_members != self.members
    }

    /// How many votes of the members decide: a majority of them, and never fewer than `min_quorum`.
    pub(crate) fn quorum_size(&self, min_quorum: usize) -> usize {
        quorum_size(&self.members, min_quorum)
    }

    /// Whether `voters` can put this view in force.
    ///
    /// `min_quorum` is the smallest number of votes that decides anything (one more than the
    /// machines that may be lost), so that two views with few members can't both be decided. A
    /// change of members needs a quorum of the members before as well: any two successive views
    /// then share a voter.
    pub(crate) fn is_decided_by(&self, voters: &[MemberId], min_quorum: usize) -> bool {
        let is_quorum_of =
            |members: &[Member]| count_votes(members, voters) >= quorum_size(members, min_quorum);
        is_quorum_of(&self.members) && (!self.changes_members() || is_quorum_of(&self.previous_members))
    }

    /// Whether `id` may be asked for a vote for this view.
    #[must_use]
    pub fn has_voter(&self, id: MemberId) -> bool {
        self.has_member(id) || self.previous_members.iter().any(|member| member.id == id)
    }

    /// All members whose vote may be needed for this view, each once.
    pub(crate) fn voters(&self) -> Vec<&Member> {
        let mut voters: Vec<&Member> = self.members.iter().collect();
        voters.extend(self.previous_members.iter().filter(|member| !self.has_member(member.id)));
        voters
    }

    /// The view that follows this one with the same members, primary and in-sync set.
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

/// A view as a witness accepted it, with the ballot under which it was proposed.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct AcceptedView {
    /// The ballot.
    pub ballot: Ballot,
    /// The view.
    pub view: View,
}

impl AcceptedView {
    /// Whether this view supersedes the other one: by ballot, and under one ballot by epoch.
    pub(crate) fn is_newer_than(&self, other: &AcceptedView) -> bool {
        (self.ballot, self.view.epoch) > (other.ballot, other.view.epoch)
    }
}

/// How far a replica has applied the changes of the key space. Two replicas at one position are
/// equal.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The term of the primary that it last followed.
    pub term: Term,
    /// The sequence number of the last batch of changes.
    pub sequence: u64,
}
