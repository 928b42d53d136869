//! The candidate role: when an election starts, and the actions of each election step.
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

/// Multiplier that spreads successive election rounds over the jitter range: 2^32 divided by the
/// golden ratio.
const JITTER_MULTIPLIER: u64 = 0x9E37_79B9;

impl Replica {
    /// Performs the periodic work of a backup: announces the machine while the primary is silent,
    /// and starts an election once the lease and the delay of its election rank have passed.
    pub(super) fn run_backup(&mut self, now_ms: u64) {
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

    /// Whether this machine's own witness has granted another primary a lease that has not expired.
    fn has_granted_lease_to_other(&self, now_ms: u64) -> bool {
        let primary = self.view.as_ref().map(|view| view.primary);
        self.witness.lease_until_ms() > now_ms && primary != Some(self.local_member.id)
    }

    /// This machine's rank, from 0, in the order in which in-sync replicas start elections; the
    /// last primary ranks after the others. `None` if this machine must not start an election: it
    /// is not a member, it is not in sync, or its replica is incomplete or ineligible.
    pub(super) fn election_rank(&self) -> Option<u64> {
        let local_id = self.local_member.id;
        let view = self.view.as_ref()?;
        if !view.has_member(local_id) || !self.local_state.may_become_primary() {
            return None;
        }
        let others = view.in_sync.iter().filter(|id| **id != view.primary);
        let last_primary = view.in_sync.iter().filter(|id| **id == view.primary);
        others.chain(last_primary).position(|id| *id == local_id).map(|rank| rank as u64)
    }

    /// Starts an election among the voters of the newest known view.
    pub(super) fn start_election(&mut self, now_ms: u64) {
        let Some(view) = self.view.clone() else { return };
        let ballot = self.next_ballot();
        let (election, step) =
            Election::start(self.local_member.id, self.min_quorum(), ballot, &view, now_ms);
        self.role = Role::Candidate(Box::new(election));
        self.execute_election_step(now_ms, ballot, step);
    }

    /// The ballot of this machine's next election.
    pub(super) fn next_ballot(&self) -> Ballot {
        Ballot { round: self.witness.next_round(), candidate: self.local_member.id }
    }

    /// Applies a response to the election of this ballot, if it is still running, and executes the
    /// resulting step.
    pub(super) fn advance_election(
        &mut self,
        now_ms: u64,
        ballot: Ballot,
        advance: impl FnOnce(&mut Election) -> ElectionStep,
    ) {
        if let Role::Candidate(election) = &mut self.role
            && election.ballot() == ballot
        {
            let step = advance(election);
            self.execute_election_step(now_ms, ballot, step);
        }
    }

    pub(super) fn execute_election_step(&mut self, now_ms: u64, ballot: Ballot, step: ElectionStep) {
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
            self.advance_election(now_ms, ballot, |election| election.handle_pre_vote_grant(local_id));
        }
    }

    fn request_promises(&mut self, now_ms: u64, ballot: Ballot, members: &[Member]) {
        let message = Message::Prepare { ballot, candidate: self.local_member.clone() };
        self.send_to_others(members, &message);
        let is_voter = members.iter().any(|member| member.id == self.local_member.id);
        if is_voter && self.witness.prepare(now_ms, ballot) == Vote::Granted {
            // As at any witness that promises, no batch of an older term may be applied from here
            // on.
            self.backup.end_session();
            self.write_witness_record(WriteCompletion::CountPromise(ballot));
        }
    }

    /// Counts the candidate's own promise, which is now on disk.
    pub(super) fn count_own_promise(&mut self, now_ms: u64, ballot: Ballot) {
        let local_id = self.local_member.id;
        let accepted = self.witness.record.accepted.clone();
        self.advance_election(now_ms, ballot, |election| election.handle_promise(local_id, accepted));
    }

    fn abandon_election(&mut self, now_ms: u64, retry_after_ms: u64) {
        let Role::Candidate(election) = &self.role else { return };
        let is_pre_vote = election.pre_vote_at_ms().is_some();
        self.role = Role::Backup;
        // A pre-vote binds no witness, so it may be repeated after a short delay.
        let delay_ms = if is_pre_vote {
            retry_after_ms.min(PRE_VOTE_INTERVAL_MS)
        } else {
            retry_after_ms + self.election_jitter_ms()
        };
        self.timers.not_candidate_before_ms = now_ms + delay_ms;
    }

    /// Handles a witness's rejection of a ballot of this machine.
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
                    self.advance_election(now_ms, ballot, |election| {
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

    /// The delay before the next election, milliseconds. It differs between machines and rounds.
    pub(super) fn election_jitter_ms(&self) -> u64 {
        let round = self.witness.record.promised.round.wrapping_mul(JITTER_MULTIPLIER);
        MIN_ELECTION_JITTER_MS + (self.local_member.id.0 ^ round) % ELECTION_JITTER_RANGE_MS
    }
}
