//! The first start: the round that begins the system.
//!
//! Machines whose folders date from the first start ("founders") vote. There are 2f + 1 of them; if the seeds name as many,
//! only machines at the seeds' addresses are founders. A candidate gathers promises from f + 1 founders, then brings the
//! first view, and it is in force when f + 1 have it on disk. Any two such sets share a founder, and a founder keeps its
//! promise on disk, so at most one first view is ever in force, whoever answers first and whoever is cut off. A folder that
//! was lost comes back as one that is no founder and has no vote.
use super::{Replica, Role, STAGGER_MS};
use crate::election::Election;
use crate::view::{Ballot, Member, View};

/// How long a candidate waits for all founders before it makes do with f + 1, milliseconds since its start.
const GATHER_MS: u64 = 400;
/// How often founders show themselves to the seeds, milliseconds.
const FOUNDER_ASK_MS: u64 = 60;
/// A founder that has not shown itself for so long is not counted on, milliseconds.
const FOUNDER_SILENT_MS: u64 = 1_500;

impl Replica {
    pub(super) fn wait_for_first_view(&mut self, now: u64) {
        if now >= self.asked_at + FOUNDER_ASK_MS {
            self.ask(now);
        }
        if self.founder && now >= self.candidate_at {
            self.found(now);
        }
    }

    /// Whether a machine's vote counts at the first start. Where the seeds name enough machines, only theirs do.
    pub(super) fn may_found(&self, member: &Member) -> bool {
        let wanted = 2 * self.options.losses + 1;
        self.options.seeds.len() < wanted || self.options.seeds.contains(&member.peer)
    }

    fn found(&mut self, now: u64) {
        let Some(rank) = self.options.seeds.iter().position(|seed| *seed == self.me.peer) else { return };
        self.founders.retain(|_, (_, heard_at)| now <= *heard_at + FOUNDER_SILENT_MS);
        let wanted = 2 * self.options.losses + 1;
        let known = self.founders.len() + 1;
        let patience = if known >= wanted { 0 } else { GATHER_MS };
        let due = self.started_at + patience + rank as u64 * STAGGER_MS;
        if known < self.quorum() || now < due {
            return;
        }
        let mut members = vec![self.me.clone()];
        members.extend(self.founders.values().take(wanted - 1).map(|(member, _)| member.clone()));
        let in_sync = members.iter().map(|m| m.id).collect();
        let view =
            View { epoch: 1, term: 1, primary: self.me.id, in_sync, previous: members.clone(), members };
        let ballot = Ballot { round: self.witness.next_round(), candidate: self.me.id };
        let (election, step) = Election::start(self.me.id, self.quorum(), ballot, &view, now);
        self.role = Role::Candidate(Box::new(election.founding(view)));
        self.step(now, ballot, step);
    }
}
