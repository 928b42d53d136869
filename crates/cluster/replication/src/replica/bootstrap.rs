//! The first start: the election that starts the system.
//!
//! Machines whose folders date from the first start ("bootstrap voters") vote. There are 2f + 1 of them; if the seeds name
//! as many, only machines at the seeds' addresses vote. A candidate gathers promises from f + 1 voters, then proposes the
//! first view, which is in force when f + 1 have it on disk. Any two such sets share a voter, and a voter keeps its promise
//! on disk, so at most one first view is ever in force, whoever answers first and whatever links are down. A folder that
//! was lost comes back as one that is no bootstrap voter.
use super::state::{Replica, Role};
use crate::election::Election;
use crate::timing::{
    BOOTSTRAP_ANNOUNCE_INTERVAL_MS, BOOTSTRAP_GATHER_TIMEOUT_MS, BOOTSTRAP_VOTER_EXPIRY_MS,
    ELECTION_STAGGER_MS,
};
use crate::view::{Epoch, Member, MemberId, Term, View};
use std::collections::BTreeMap;

/// Another machine that may vote for the first view.
#[derive(Clone, Debug)]
struct BootstrapVoter {
    member: Member,
    heard_at_ms: u64,
}

/// What a machine knows of the election that starts the system.
#[derive(Clone, Debug)]
pub(super) struct BootstrapState {
    /// Whether this machine's folder dates from the first start of the whole system.
    pub(super) is_voter: bool,
    other_voters: BTreeMap<MemberId, BootstrapVoter>,
}

impl BootstrapState {
    pub(super) fn new(is_voter: bool) -> Self {
        BootstrapState { is_voter, other_voters: BTreeMap::new() }
    }

    pub(super) fn add_voter(&mut self, member: Member, now_ms: u64) {
        self.other_voters.insert(member.id, BootstrapVoter { member, heard_at_ms: now_ms });
    }

    /// Forgets the voters: a view is known.
    pub(super) fn finish(&mut self) {
        self.other_voters.clear();
    }

    fn forget_silent_voters(&mut self, now_ms: u64) {
        self.other_voters.retain(|_, voter| now_ms <= voter.heard_at_ms + BOOTSTRAP_VOTER_EXPIRY_MS);
    }
}

impl Replica {
    /// Announces this machine, and starts the election that starts the system when its turn has come.
    pub(super) fn wait_for_first_view(&mut self, now_ms: u64) {
        if now_ms >= self.timers.announced_at_ms + BOOTSTRAP_ANNOUNCE_INTERVAL_MS {
            self.announce(now_ms);
        }
        if self.bootstrap.is_voter && now_ms >= self.timers.not_candidate_before_ms {
            self.start_bootstrap_election(now_ms);
        }
    }

    /// Whether a machine's vote counts at the first start. Where the seeds name enough machines, only theirs do.
    pub(super) fn may_vote_at_bootstrap(&self, member: &Member) -> bool {
        let seeds = &self.config.seeds;
        seeds.len() < self.config.full_membership() || seeds.contains(&member.peer_address)
    }

    fn start_bootstrap_election(&mut self, now_ms: u64) {
        let local_address = &self.local_member.peer_address;
        let Some(rank) = self.config.seeds.iter().position(|seed| seed == local_address) else { return };
        self.bootstrap.forget_silent_voters(now_ms);
        let known_voters = self.bootstrap.other_voters.len() + 1;
        let is_complete = known_voters >= self.config.full_membership();
        let gather_timeout_ms = if is_complete { 0 } else { BOOTSTRAP_GATHER_TIMEOUT_MS };
        let due_at_ms = self.started_at_ms + gather_timeout_ms + rank as u64 * ELECTION_STAGGER_MS;
        if known_voters < self.min_quorum() || now_ms < due_at_ms {
            return;
        }
        let local_id = self.local_member.id;
        let ballot = self.next_ballot();
        let (election, step) =
            Election::start_bootstrap(local_id, self.min_quorum(), ballot, self.first_view(), now_ms);
        self.role = Role::Candidate(Box::new(election));
        self.take_election_step(now_ms, ballot, step);
    }

    /// The first view: this machine as primary, and all known voters in sync, since nobody holds anything.
    fn first_view(&self) -> View {
        let other_count = self.config.full_membership() - 1;
        let others = self.bootstrap.other_voters.values().take(other_count);
        let mut members = vec![self.local_member.clone()];
        members.extend(others.map(|voter| voter.member.clone()));
        View {
            epoch: Epoch::FIRST,
            term: Term::from(Epoch::FIRST),
            primary: self.local_member.id,
            in_sync: members.iter().map(|member| member.id).collect(),
            previous_members: members.clone(),
            members,
        }
    }
}
