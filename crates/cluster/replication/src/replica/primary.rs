//! The primary role: takeover, batch proposals, lease renewal, view changes and stepping down.
use super::outbox::WriteCompletion;
use super::state::{Replica, Role};
use crate::interface::{Record, ReplicaEvent};
use crate::keyspace::Change;
use crate::message::{Heartbeat, LeaseGrant, MajorityContact, Message};
use crate::primary::{BatchTracker, Grant, PrimarySession, PrimaryState, ViewChangeContext};
use crate::timing::{ACTIVATION_TIMEOUT_LEASES, DISK_STALL_TIMEOUT_MS, STEP_DOWN_COOLDOWN_MS};
use crate::view::{Ballot, Member, MemberId, Position, Term, View};
use crate::witness::Vote;

impl Replica {
    /// Proposes a batch of changes and returns its sequence number; `None` if this machine is not
    /// primary.
    ///
    /// The changes are applied to the local replica immediately. They are durable once
    /// [`ReplicaEvent::Committed`] reports this sequence number or a higher one.
    pub fn propose(&mut self, now_ms: u64, changes: Vec<Change>) -> Option<u64> {
        let Role::Primary(primary) = &mut self.role else { return None };
        self.local_state.keyspace.apply_all(&changes);
        let sequence = primary.batches.append(now_ms);
        let position = Position { term: primary.view().term, sequence };
        self.local_state.position = position;
        self.stream_batch(position, &changes);
        let completion = WriteCompletion::RecordOwnBatch { term: position.term, sequence };
        self.outbox.write(Record::Batch { position, changes }, completion);
        Some(sequence)
    }

    /// Steps down, if this machine is primary, and names an in-sync replica that has acknowledged
    /// all batches as successor, if there is one.
    pub fn resign(&mut self, now_ms: u64) {
        let Some(primary) = self.as_primary() else { return };
        let ballot = primary.ballot();
        let last = primary.batches.last_sequence();
        let is_current = |id: &&MemberId| primary.acknowledged_sequence(**id) == Some(last);
        let successor = primary.view().in_sync.iter().find(is_current).copied();
        self.step_down(now_ms, ballot, successor);
        self.timers.not_candidate_before_ms = now_ms + STEP_DOWN_COOLDOWN_MS;
    }

    /// Marks this machine's replica as ineligible because it holds records that the embedder cannot
    /// read. The machine steps down, and does not become primary until another primary has repaired
    /// its replica.
    pub fn mark_ineligible(&mut self, now_ms: u64) {
        self.local_state.ineligible = true;
        self.resign(now_ms);
    }

    /// Stops acting as primary and releases the lease, so that other candidates need not wait until
    /// it expires.
    fn step_down(&mut self, now_ms: u64, ballot: Ballot, successor: Option<MemberId>) {
        let Some(primary) = self.as_primary() else { return };
        let members = primary.view().members.clone();
        self.witness.release_lease(ballot);
        self.become_backup(now_ms);
        self.send_to_others(&members, &Message::Resign { ballot, successor });
    }

    /// Takes over as primary after an election was won.
    pub(super) fn become_primary(&mut self, now_ms: u64, ballot: Ballot, view: View) {
        log::info!("primary elected term={} in_sync={}", view.term, view.in_sync.len());
        let batches = BatchTracker::new(self.local_state.position.sequence);
        let local_id = self.local_member.id;
        let mut primary =
            PrimaryState::new(local_id, ballot, view.clone(), self.min_quorum(), batches, now_ms);
        let last_contact_ms = self.timers.last_primary_contact_ms.min(now_ms);
        if let Role::Candidate(election) = &self.role {
            // A member that sent no promise was last in contact before the election: it counts as
            // silent since this machine's own last contact with a primary.
            for member in view.members.iter().filter(|member| !election.has_promised(member.id)) {
                primary.failure_detector.set_last_contact(member.id, last_contact_ms);
            }
        }
        self.role = Role::Primary(Box::new(primary));
        self.learn_decided_view(view);
        // The commit of this empty batch includes the batches that an earlier primary left
        // uncommitted.
        self.propose(now_ms, Vec::new());
        self.run_primary(now_ms);
    }

    /// Returns this machine to the backup role.
    pub(super) fn become_backup(&mut self, now_ms: u64) {
        let previous_role = std::mem::replace(&mut self.role, Role::Backup);
        self.timers.last_primary_contact_ms = now_ms;
        if let Role::Primary(primary) = previous_role {
            log::info!("primary stepped down term={}", primary.view().term);
            if primary.is_active() {
                self.outbox.emit(ReplicaEvent::Deactivated);
            }
        }
    }

    /// Adopts a view that this primary proposed and that is now decided.
    pub(super) fn adopt_view(&mut self, now_ms: u64, view: View) {
        let Role::Primary(primary) = &mut self.role else { return };
        log::info!(
            "view adopted epoch={} members={} in_sync={}",
            view.epoch,
            view.members.len(),
            view.in_sync.len()
        );
        primary.adopt_view(view.clone(), now_ms);
        self.learn_decided_view(view);
        self.advance_commit();
    }

    pub(super) fn handle_lease_grant(&mut self, from: MemberId, grant: &LeaseGrant) {
        let Some(primary) = self.as_primary_mut() else { return };
        if primary.ballot() == grant.ballot {
            let LeaseGrant { sent_at_ms, witness_clock_ms, ineligible, .. } = *grant;
            primary.grants.record(from, Grant { requested_at_ms: sent_at_ms, witness_clock_ms, ineligible });
        }
    }

    /// Records that a batch that this machine proposed as primary of `term` is on its own disk.
    pub(super) fn handle_own_batch_written(&mut self, term: Term, sequence: u64) {
        if let Some(primary) = self.as_primary_mut()
            && primary.view().term == term
        {
            primary.batches.record_local_write(sequence);
        }
    }

    /// Commits all batches that are on disk at every replica whose acknowledgement is needed.
    pub(super) fn advance_commit(&mut self) {
        let local_id = self.local_member.id;
        let Some(primary) = self.as_primary_mut() else { return };
        let sequence = primary.commit_point(local_id);
        if primary.batches.commit_up_to(sequence) {
            self.outbox.emit(ReplicaEvent::Committed { sequence });
        }
    }

    /// Performs the periodic work of a primary: checks the lease and the local disk, sends
    /// heartbeats, and proposes the view change that is due.
    pub(super) fn run_primary(&mut self, now_ms: u64) {
        let lease_ms = self.config.lease_ms;
        let Some(primary) = self.as_primary_mut() else { return };
        let holds_majority = now_ms < primary.lease_until_ms(lease_ms);
        let activation_deadline_ms = primary.elected_at_ms() + ACTIVATION_TIMEOUT_LEASES * lease_ms;
        if !holds_majority && (primary.is_active() || now_ms >= activation_deadline_ms) {
            // This machine has no contact with a majority of the witnesses. Those that still
            // receive its messages need not wait until the lease expires.
            let ballot = primary.ballot();
            return self.step_down(now_ms, ballot, None);
        }
        if holds_majority && !primary.is_active() {
            primary.activate();
            let term = primary.view().term;
            self.outbox.emit(ReplicaEvent::Activated { term });
        }
        if self.as_primary().is_some_and(|primary| primary.batches.is_own_disk_stalled(now_ms)) {
            log::warn!(
                "a batch is not on the local disk after {DISK_STALL_TIMEOUT_MS} ms; stepping down as primary"
            );
            return self.resign(now_ms);
        }
        self.send_heartbeats(now_ms);
        self.propose_due_view(now_ms);
        self.advance_commit();
    }

    fn send_heartbeats(&mut self, now_ms: u64) {
        let heartbeat_ms = self.config.heartbeat_ms;
        let Some(primary) = self.as_primary_mut() else { return };
        if now_ms < primary.heartbeat_at_ms + heartbeat_ms {
            return;
        }
        primary.heartbeat_at_ms = now_ms;
        primary.membership.expire_standbys(now_ms);
        let standbys = primary.membership.standbys().map(|standby| &standby.member);
        let receivers: Vec<Member> = primary.view().members.iter().chain(standbys).cloned().collect();
        let ballot = primary.ballot();
        if self.witness.grant_lease(now_ms, ballot) == Vote::Granted {
            let local_id = self.local_member.id;
            let (sent_at_ms, witness_clock_ms) = (now_ms, now_ms);
            let grant = LeaseGrant { ballot, sent_at_ms, witness_clock_ms, ineligible: false };
            self.handle_lease_grant(local_id, &grant);
        }
        let local_id = self.local_member.id;
        for member in receivers.iter().filter(|member| member.id != local_id) {
            self.send_heartbeat(now_ms, member);
        }
    }

    pub(super) fn send_heartbeat(&mut self, now_ms: u64, member: &Member) {
        let Some(primary) = self.as_primary() else { return };
        let age_ms = now_ms.saturating_sub(primary.majority_requested_at_ms());
        let holds_lease = primary.holds_lease(self.config.lease_ms, now_ms);
        let grant = primary.grants.get(member.id).filter(|_| holds_lease);
        let contact = |grant: &Grant| MajorityContact { receiver_clock_ms: grant.witness_clock_ms, age_ms };
        let heartbeat = Heartbeat {
            ballot: primary.ballot(),
            view: primary.view().clone(),
            sent_at_ms: now_ms,
            sequence: primary.batches.last_sequence(),
            session: primary.session(member.id).map(PrimarySession::number),
            majority_contact: grant.map(contact),
        };
        self.send_to(member, Message::Heartbeat(heartbeat));
    }

    /// Proposes the view change that is due, or repeats the pending proposal.
    fn propose_due_view(&mut self, now_ms: u64) {
        let local_id = self.local_member.id;
        let max_failures = self.config.max_failures;
        let Some(primary) = self.as_primary_mut() else { return };
        let ballot = primary.ballot();
        let context = ViewChangeContext { local_id, max_failures, now_ms };
        if let Some(view) = primary.next_proposal(&context) {
            self.propose_view(ballot, &view);
        }
    }
}
