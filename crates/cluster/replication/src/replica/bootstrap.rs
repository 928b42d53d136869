//! The first start: the election that starts the system.
//!
//! Machines whose folders date from the first start ("bootstrap voters") vote. There are 2f + 1 of
//! them; if the seeds name as many, only machines at the seeds' addresses vote. A candidate gathers
//! promises from f + 1 voters, then proposes the first view, which is in force when f + 1 have it
//! on disk. Any two such sets share a voter, and a voter keeps its promise on disk, so at most one
//! first view is ever in force, whoever answers first and whatever links are down. A folder that
//! was lost comes back as one that is no bootstrap voter.
use super::state::{Replica, Role};
use crate::election::Election;
use crate::timing::{BOOTSTRAP_ANNOUNCE_INTERVAL_MS, BOOTSTRAP_GATHER_TIMEOUT_MS, ELECTION_STAGGER_MS};
use crate::view::Member;

impl Replica {
    /// Announces this machine, and starts the election that starts the system when its turn has
    /// come.
    pub(super) fn wait_for_first_view(&mut self, now_ms: u64) {
        if now_ms >= self.timers.announced_at_ms + BOOTSTRAP_ANNOUNCE_INTERVAL_MS {
            self.announce(now_ms);
        }
        if self.bootstrap.is_voter() && now_ms >= self.timers.not_candidate_before_ms {
            self.start_bootstrap_election(now_ms);
        }
    }

    /// Whether a machine's vote counts at the first start. Where the seeds name enough machines,
    /// only theirs do.
    pub(super) fn may_vote_at_bootstrap(&self, member: &Member) -> bool {
        let seeds = &self.config.seeds;
        seeds.len() < self.config.full_member_count() || seeds.contains(&member.peer_address)
    }

    fn start_bootstrap_election(&mut self, now_ms: u64) {
        let local_address = &self.local_member.peer_address;
        let Some(rank) = self.config.seeds.iter().position(|seed| seed == local_address) else { return };
        self.bootstrap.expire_voters(now_ms);
        let known_voters = self.bootstrap.voter_count();
        let is_complete = known_voters >= self.config.full_member_count();
        let gather_timeout_ms = if is_complete { 0 } else { BOOTSTRAP_GATHER_TIMEOUT_MS };
        let due_at_ms = self.started_at_ms + gather_timeout_ms + rank as u64 * ELECTION_STAGGER_MS;
        if known_voters < self.min_quorum() || now_ms < due_at_ms {
            return;
        }
        let ballot = self.next_ballot();
        let first_view = self.bootstrap.first_view(&self.local_member, self.config.full_member_count());
        let (election, step) =
            Election::start_bootstrap(self.local_member.id, self.min_quorum(), ballot, first_view, now_ms);
        self.role = Role::Candidate(Box::new(election));
        self.take_election_step(now_ms, ballot, step);
    }
}
