//! Members, epochs and views.
use rkyv::{Archive, Deserialize, Serialize};

/// The identity of a data folder: random, made when the folder is first used.
#[derive(
    Archive, Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
pub struct MemberId(pub u64);

/// A machine that may be a witness and a replica.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The identity of its data folder.
    pub id: MemberId,
    /// The machine's name.
    pub node: String,
    /// Where other schedulers reach it.
    pub peer: String,
    /// Where operators reach it.
    pub control: String,
}

/// The number of a round of voting; rounds of two candidates never share one.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ballot {
    /// Rises with each round.
    pub round: u64,
    /// The candidate.
    pub candidate: MemberId,
}

/// Who serves the key space.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// The number of this view. Every change makes a higher one.
    pub epoch: u64,
    /// The epoch at which this primary took over: its fencing token.
    pub term: u64,
    /// Who orders changes.
    pub primary: MemberId,
    /// Who holds all that was committed.
    pub in_sync: Vec<MemberId>,
    /// All witnesses and replicas.
    pub members: Vec<Member>,
    /// The members of the view before: a majority of these too must accept a change of members.
    pub previous: Vec<Member>,
}

impl View {
    /// Whether `id` is a member.
    #[must_use]
    pub fn has(&self, id: MemberId) -> bool {
        self.members.iter().any(|m| m.id == id)
    }

    /// The member of that identity.
    #[must_use]
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|m| m.id == id)
    }

    /// How many votes of the members decide: a majority of them, and never fewer than `quorum`.
    pub(crate) fn votes_needed(&self, quorum: usize) -> usize {
        votes_needed(&self.members, quorum)
    }

    /// Whether `voters` can put this view in force. `quorum` is the smallest number of votes that decides anything
    /// (one more than the machines that may be lost), so that two views with few members can't both be decided.
    pub(crate) fn decided_by(&self, voters: &[MemberId], quorum: usize) -> bool {
        let decide = |members: &[Member]| votes(members, voters) >= votes_needed(members, quorum);
        decide(&self.members) && (self.previous == self.members || decide(&self.previous))
    }

    /// Whether `id` may be asked for a vote for this view.
    #[must_use]
    pub fn has_voter(&self, id: MemberId) -> bool {
        self.has(id) || self.previous.iter().any(|m| m.id == id)
    }

    /// Everybody whose vote may be needed for this view, each once.
    pub(crate) fn voters(&self) -> Vec<&Member> {
        let mut all: Vec<&Member> = self.members.iter().collect();
        all.extend(self.previous.iter().filter(|m| !self.has(m.id)));
        all
    }

    /// The view that follows this one, as it is but for its number.
    pub(crate) fn next(&self) -> View {
        View { epoch: self.epoch + 1, previous: self.members.clone(), ..self.clone() }
    }
}

fn votes(members: &[Member], voters: &[MemberId]) -> usize {
    members.iter().filter(|m| voters.contains(&m.id)).count()
}

fn votes_needed(members: &[Member], quorum: usize) -> usize {
    quorum.max(members.len() / 2 + 1)
}

/// A view as a witness took it, with the ballot it came under.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The ballot.
    pub ballot: Ballot,
    /// The view.
    pub view: View,
}

impl Accepted {
    /// Whether this must be taken before the other one: by ballot, and under one ballot by epoch.
    pub(crate) fn newer_than(&self, other: &Accepted) -> bool {
        (self.ballot, self.view.epoch) > (other.ballot, other.view.epoch)
    }
}

/// How far a replica's key space is.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The term of the primary that it last followed.
    pub term: u64,
    /// The number of the last batch of changes.
    pub sequence: u64,
}
