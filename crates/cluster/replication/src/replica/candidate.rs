//! This machine as a candidate: when it starts an election, and what it does at each step of it.
use super::outbox::WriteCompletion;
use super::state::{Replica, Role};
use crate::election::{Election, ElectionStep};
use crate::message::Message;
use crate::timing::{
    ANNOUNCE_INTERVAL_MS, ELECTION_JITTER_RANGE_MS, ELECTION_STAGGER_MS, MIN_ELECTION_JITTER_MS,
    PRE_VOTE_INTERVAL_MS, PRIMARY_CONTACT_TIMEOUT_MS, STANDBY_ANNOUNCE_INTERVAL_MS,
};
use crate::view::{Ballot, Member, MemberId};
use crate::witness::Vote;

/// A multiplier that spreads the rounds of elections over the range of the jitter.
const JITTER_MULTIPLIER: u64 = 0x9E37_79B9;

impl Replica {
    /// Announces this machine while the primary is silent, and starts an election when its turn has
    /// come.
    pub(super) fn watch_primary(&mut self, now_ms: u64) {
        let Some(view) = &self.view else { return };
        let is_member = view.has_member(self.local_member.id);
        let ms_since_contact = now_ms.saturating_sub(self.timers.last_primary_contact_ms);
        let (timeout_ms, interval_ms) = if is_member {
            (PRIMARY_CONTACT_TIMEOUT_MS, ANNOUNCE_INTERVAL_MS)
        } else {
            let timeout_ms = STANDBY_ANNOUNCE_INTERVAL_MS + self.config.heartbeat_ms;
            (timeout_ms, STANDBY_ANNOUNCE_INTERVAL_MS)
        };
        if ms_since_contact > timeout_ms && now_ms >= self.timers.announced_at_ms + interval_ms {
            self.announce(now_ms);
        }
        let Some(rank) = self.election_rank() else { return };
        let election_timeout_ms = self.config.lease_ms + rank * ELECTION_STAGGER_MS;
        let is_due = ms_since_contact >= election_timeout_ms && now_ms >= self.timers.not_candidate_before_ms;
        if is_due && !self.has_granted_lease_to_other(now_ms) {
            self.start_election(now_ms);
        }
    }

    /// Whether this machine's own witness has granted a lease that still runs to another primary.
    fn has_granted_lease_to_other(&self, now_ms: u64) -> bool {
        let primary = self.view.as_ref().map(|view| view.primary);
        self.witness.lease_until_ms() > now_ms && primary != Some(self.local_member.id)
    }

    /// This machine's rank among those that may start an election, from 0: replicas in sync, the
    /// last primary after the others. `None` if it may not: it is no member, not in sync, or its
    /// replica may not lead.
    pub(super) fn election_rank(&self) -> Option<u64> {
        let local_id = self.local_member.id;
        let view = self.view.as_ref()?;
        if !view.has_member(local_id) || !self.local_state.may_lead() {
            return None;
        }
        let others = view.in_sync.iter().filter(|id| **id != view.primary);
        let last_primary = view.in_sync.iter().filter(|id| **id == view.primary);
        others.chain(last_primary).position(|id| *id == local_id).map(|rank| rank as u64)
    }

    /// Starts an election among the voters of the newest view known.
    pub(super) fn start_election(&mut self, now_ms: u64) {
        let Some(view) = self.view.clone() else { return };
        let ballot = self.next_ballot();
        let (election, step) =
            Election::start(self.local_member.id, self.min_quorum(), ballot, &view, now_ms);
        self.role = Role::Candidate(Box::new(election));
        self.take_election_step(now_ms, ballot, step);
    }

    pub(super) fn next_ballot(&self) -> Ballot {
        Ballot { round: self.witness.next_round(), candidate: self.local_member.id }
    }

    /// Passes an answer to the election of that ballot, if it still runs.
    pub(super) fn with_election(
        &mut self,
        now_ms: u64,
        ballot: Ballot,
        advance: impl FnOnce(&mut Election) -> ElectionStep,
    ) {
        if let Role::Candidate(election) = &mut self.role
            && election.ballot() == ballot
        {
            let step = advance(election);
            self.take_election_step(now_ms, ballot, step);
        }
    }

    pub(super) fn take_election_step(&mut self, now_ms: u64, ballot: Ballot, step: ElectionStep) {
        match step {
            ElectionStep::Wait => {}
            ElectionStep::RequestPreVotes(members) => self.request_pre_votes(now_ms, ballot, &members),
            ElectionStep::RequestPromises(members) => self.request_promises(now_ms, ballot, &members),
            ElectionStep::Propose(view) => self.propose_view(ballot, &view),
            ElectionStep::Rejected { retry_after_ms } => self.abandon_election(now_ms, retry_after_ms),
            ElectionStep::Lost(view) => {
                self.role = Role::Backup;
                self.timers.last_primary_contact_ms = now_ms;
                self.learn_view(view);
            }
            ElectionStep::Won(view) => self.become_primary(now_ms, ballot, view),
        }
    }

    fn request_pre_votes(&mut self, now_ms: u64, ballot: Ballot, members: &[Member]) {
        let local_id = self.local_member.id;
        let message = Message::PreVoteRequest { ballot, candidate: self.local_member.clone() };
        self.send_to_others(members, &message);
        if self.witness.pre_vote(now_ms, ballot) == Vote::Granted {
            self.with_election(now_ms, ballot, |election| election.handle_pre_vote_grant(local_id));
        }
    }

    fn request_promises(&mut self, now_ms: u64, ballot: Ballot, members: &[Member]) {
        let message = Message::Prepare { ballot, candidate: self.local_member.clone() };
        self.send_to_others(members, &message);
        let is_voter = members.iter().any(|member| member.id == self.local_member.id);
        if is_voter && self.witness.prepare(now_ms, ballot) == Vote::Granted {
            // As for any witness that promises: nothing of an older term may be applied from here
            // on.
            self.backup.end_session();
            self.write_witness(WriteCompletion::Promised(ballot));
        }
    }

    /// The candidate's own promise is on disk.
    pub(super) fn count_own_promise(&mut self, now_ms: u64, ballot: Ballot) {
        let local_id = self.local_member.id;
        let accepted = self.witness.record.accepted.clone();
        self.with_election(now_ms, ballot, |election| election.handle_promise(local_id, accepted));
    }

    fn abandon_election(&mut self, now_ms: u64, retry_after_ms: u64) {
        let Role::Candidate(election) = &self.role else { return };
        let is_pre_vote = election.pre_vote_at_ms().is_some();
        self.role = Role::Backup;
        // A pre-vote promises nothing, so repeating it soon costs nothing.
        let delay_ms = if is_pre_vote {
            retry_after_ms.min(PRE_VOTE_INTERVAL_MS)
        } else {
            retry_after_ms + self.election_jitter_ms()
        };
        self.timers.not_candidate_before_ms = now_ms + delay_ms;
    }

    /// A witness rejects a ballot of this machine.
    pub(super) fn handle_reject(
        &mut self,
        now_ms: u64,
        from: MemberId,
        ballot: Ballot,
        promised: Ballot,
        retry_after_ms: u64,
    ) {
        match &self.role {
            Role::Candidate(election) if election.ballot() == ballot => {
                if promised > ballot {
                    self.abandon_election(now_ms, retry_after_ms);
                } else {
                    self.with_election(now_ms, ballot, |election| {
                        election.handle_rejection(from, retry_after_ms)
                    });
                }
            }
            Role::Primary(primary) if primary.ballot() == ballot && promised > ballot => {
                self.become_backup(now_ms);
            }
            _ => {}
        }
    }

    /// A delay that differs between machines and rounds, milliseconds.
    pub(super) fn election_jitter_ms(&self) -> u64 {
        let round = self.witness.record.promised.round.wrapping_mul(JITTER_MULTIPLIER);
        MIN_ELECTION_JITTER_MS + (self.local_member.id.0 ^ round) % ELECTION_JITTER_RANGE_MS
    }
}
