//! The backup role: heartbeats, replication sessions and the items of their streams.
use super::outbox::{Destination, WriteCompletion};
use super::state::{Replica, Role, VerifiedContact};
use crate::backup::{PrimaryProgress, StreamAction};
use crate::interface::Record;
use crate::keyspace::Change;
use crate::message::{Heartbeat, MajorityContact, Message, RangeLeafDigests, StreamItem};
use crate::timing::ELECTION_STAGGER_MS;
use crate::view::{Ballot, Member, MemberId, Term};
use crate::witness::Vote;

impl Replica {
    pub(super) fn handle_heartbeat(&mut self, now_ms: u64, from: MemberId, heartbeat: Heartbeat) {
        let Some(primary) = heartbeat.view.member(from).cloned() else { return };
        if let Vote::Rejected { retry_after_ms } = self.witness.grant_lease(now_ms, heartbeat.ballot) {
            let message = self.reject_message(heartbeat.ballot, retry_after_ms);
            return self.send_to(&primary, message);
        }
        self.send_lease_grant(now_ms, &primary, &heartbeat);
        if !matches!(self.role, Role::Backup) {
            self.become_backup(now_ms);
        }
        self.timers.last_primary_contact_ms = now_ms;
        let term = heartbeat.view.term;
        if let Some(contact) = heartbeat.majority_contact {
            self.record_majority_contact(term, contact);
        }
        let Heartbeat { view, session, sequence, .. } = heartbeat;
        self.learn_decided_view(view);
        let progress = PrimaryProgress { primary: from, term, session, sequence };
        if self.backup.needs_session(&progress, now_ms) {
            self.request_session(now_ms, &primary, term);
        }
    }

    fn record_majority_contact(&mut self, term: Term, contact: MajorityContact) {
        let at_ms = contact.receiver_clock_ms.saturating_sub(contact.age_ms);
        self.verified_contact = self.verified_contact.max(Some(VerifiedContact { term, at_ms }));
    }

    fn request_session(&mut self, now_ms: u64, primary: &Member, term: Term) {
        let session = self.backup.start_session(primary, term, now_ms);
        let range_digests = self.local_state.keyspace.range_digests();
        self.send_to(primary, Message::SessionRequest { term, session, range_digests });
    }

    /// Handles the resignation of the primary, which has released its lease. A named successor
    /// starts an election immediately. The other replicas start theirs as after an expired lease,
    /// in the order of their election ranks, but [`ELECTION_STAGGER_MS`] later if there is a
    /// successor.
    pub(super) fn handle_resign(&mut self, now_ms: u64, ballot: Ballot, successor: Option<MemberId>) {
        self.witness.release_lease(ballot);
        let is_known_primary = self.view.as_ref().is_some_and(|view| view.primary == ballot.candidate);
        if !is_known_primary || !matches!(self.role, Role::Backup) || self.election_rank().is_none() {
            return;
        }
        if successor == Some(self.local_member.id) {
            return self.start_election(now_ms);
        }
        let delay_ms = if successor.is_some() { ELECTION_STAGGER_MS } else { 0 };
        self.timers.last_primary_contact_ms = (now_ms + delay_ms).saturating_sub(self.config.lease_ms);
    }

    pub(super) fn handle_leaf_digest_request(&mut self, number: u64, in_sync: bool, ranges: &[u16]) {
        let Some(session) = self.backup.session_mut(number) else { return };
        session.in_sync = in_sync;
        let primary = Destination { address: session.primary_address.clone(), id: Some(session.primary) };
        let digests_of = |range: &u16| RangeLeafDigests {
            range: *range,
            digests: self.local_state.keyspace.leaf_digests(*range).to_vec(),
        };
        let ranges = ranges.iter().map(digests_of).collect();
        self.send(primary, Message::LeafDigests { session: number, ranges });
    }

    pub(super) fn handle_stream(&mut self, now_ms: u64, number: u64, index: u64, item: StreamItem) {
        let Some(session) = self.backup.session_mut(number) else { return };
        let primary = Destination { address: session.primary_address.clone(), id: Some(session.primary) };
        for action in session.receive(now_ms, &mut self.local_state.keyspace, index, item) {
            self.execute_stream_action(&primary, number, action);
        }
    }

    fn execute_stream_action(&mut self, primary: &Destination, session: u64, action: StreamAction) {
        let primary = primary.clone();
        match action {
            StreamAction::EndSession => self.backup.end_session(),
            StreamAction::AcknowledgeChunk { index } => {
                self.send(primary, Message::ChunkAck { session, index });
            }
            StreamAction::WriteRepair { changes, ack_index } => {
                let acknowledgement = |index| WriteCompletion::AcknowledgeChunk { primary, session, index };
                self.write_repair(changes, ack_index.map(acknowledgement));
            }
            StreamAction::WriteBatch { position, changes } => {
                self.local_state.record_applied_batch(position);
                let sequence = position.sequence;
                let completion = WriteCompletion::AcknowledgeBatch { primary, session, sequence };
                self.outbox.write(Record::Batch { position, changes }, completion);
            }
        }
    }

    fn write_repair(&mut self, changes: Vec<Change>, acknowledgement: Option<WriteCompletion>) {
        if changes.is_empty() && acknowledgement.is_none() {
            return;
        }
        self.local_state.repair_incomplete |= !changes.is_empty();
        let completion = acknowledgement.unwrap_or(WriteCompletion::NoAction);
        self.outbox.write(Record::Repair { changes }, completion);
    }
}
