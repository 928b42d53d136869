//! Bootstrap: the election of the first view.
//!
//! The voters are the machines whose data folders were first used at the first start of the system
//! ("bootstrap voters"). There are 2f + 1 of them; if at least 2f + 1 seeds are configured, only
//! the machines at seed addresses vote. A candidate collects promises from f + 1 voters and then
//! proposes the first view, which is decided once f + 1 voters have it on disk. Any two such sets
//! share a voter, and a voter keeps its promise on disk, so at most one first view is ever decided,
//! whatever the order of messages and whichever links are down. A machine that lost its data folder
//! starts with a new one, which makes it no bootstrap voter.
use super::state::{Replica, Role};
use crate::election::Election;
use crate::timing::{BOOTSTRAP_ANNOUNCE_INTERVAL_MS, BOOTSTRAP_GATHER_TIMEOUT_MS, ELECTION_STAGGER_MS};
use crate::view::Member;

impl Replica {
    /// Performs the periodic work of a machine that knows no view: announces the machine, and
    /// starts the bootstrap election if it is a voter.
    pub(super) fn run_bootstrap(&mut self, now_ms: u64) {
        if now_ms >= self.timers.announced_at_ms + BOOTSTRAP_ANNOUNCE_INTERVAL_MS {
            self.announce(now_ms);
        }
        if self.bootstrap.is_voter() && now_ms >= self.timers.not_candidate_before_ms {
            self.start_bootstrap_election(now_ms);
        }
    }

    /// Whether a machine's vote counts in the bootstrap election. If at least 2f + 1 seeds are
    /// configured, only the votes of machines at seed addresses count.
    pub(super) fn is_eligible_bootstrap_voter(&self, member: &Member) -> bool {
        let seeds = &self.config.seeds;
        seeds.len() < self.config.full_member_count() || seeds.contains(&member.peer_address)
    }

    /// Starts the bootstrap election if this machine is a seed, at least f + 1 voters are known,
    /// and the delay of this machine's rank among the seeds has passed.
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
        self.execute_election_step(now_ms, ballot, step);
    }
}
