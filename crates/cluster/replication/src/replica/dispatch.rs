//! Dispatch of inputs, messages and periodic work to the modules that handle them.
use super::outbox::WriteCompletion;
use super::state::{Replica, Role};
use crate::interface::Input;
use crate::message::{Envelope, Message};
use crate::timing::{ELECTION_TIMEOUT_MS, PRE_VOTE_INTERVAL_MS};
use crate::view::MemberId;

impl Replica {
    /// Processes an input at `now_ms` (milliseconds), then the periodic work that is due.
    pub fn handle(&mut self, now_ms: u64, input: Input) {
        match input {
            Input::Message(envelope) => self.handle_envelope(now_ms, envelope),
            Input::Written(token) => self.handle_written(now_ms, token),
            Input::PeerDisconnected(address) => self.handle_peer_disconnected(now_ms, &address),
            Input::Tick => {}
        }
        self.tick(now_ms);
    }

    fn handle_envelope(&mut self, now_ms: u64, envelope: Envelope) {
        let local_id = self.local_member.id;
        let is_for_other = envelope.to.is_some_and(|id| id != local_id);
        if is_for_other || envelope.from == local_id {
            return;
        }
        if let Some(primary) = self.as_primary_mut() {
            primary.record_contact(envelope.from, now_ms);
        }
        self.handle_message(now_ms, envelope.from, envelope.message);
    }

    fn handle_message(&mut self, now_ms: u64, from: MemberId, message: Message) {
        match message {
            Message::Announce { member, bootstrap_voter, known_epoch } => {
                self.handle_announce(now_ms, member, bootstrap_voter, known_epoch);
            }
            Message::CurrentView { view } => self.learn_view(view),
            Message::PreVoteRequest { ballot, candidate } => {
                self.handle_pre_vote_request(now_ms, ballot, &candidate);
            }
            Message::PreVoteGrant { ballot } => {
                self.advance_election(now_ms, ballot, |election| election.handle_pre_vote_grant(from));
            }
            Message::Prepare { ballot, candidate } => self.handle_prepare(now_ms, ballot, &candidate),
            Message::Promise { ballot, accepted } => {
                self.advance_election(now_ms, ballot, |election| election.handle_promise(from, accepted));
            }
            Message::Reject { ballot, promised, retry_after_ms } => {
                self.witness.observe_round(promised.round);
                self.handle_reject(now_ms, from, ballot, promised, retry_after_ms);
            }
            Message::Accept { ballot, view } => self.handle_accept(now_ms, ballot, view, from),
            Message::Accepted { ballot, epoch } => self.handle_accepted(now_ms, from, ballot, epoch),
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(now_ms, from, heartbeat),
            Message::LeaseGrant(grant) => self.handle_lease_grant(from, &grant),
            Message::SessionRequest { term, session, range_digests } => {
                self.handle_session_request(from, term, session, range_digests);
            }
            Message::LeafDigestRequest { session, in_sync, ranges } => {
                self.handle_leaf_digest_request(session, in_sync, &ranges);
            }
            Message::LeafDigests { session, ranges } => self.handle_leaf_digests(from, session, &ranges),
            Message::Stream { session, index, item } => self.handle_stream(now_ms, session, index, item),
            Message::ChunkAck { session, index } => self.handle_chunk_ack(from, session, index),
            Message::BatchAck { session, sequence } => self.handle_batch_ack(from, session, sequence),
            Message::Resign { ballot, successor } => self.handle_resign(now_ms, ballot, successor),
            Message::LeaveRequest { member } => self.handle_leave_request(now_ms, &member),
            Message::LeaveResponse { must_wait } => self.handle_leave_response(must_wait),
        }
    }

    /// Runs the completions of all records up to this token, which are now on disk.
    ///
    /// Acknowledgements are cumulative, so only the last one of each kind is sent.
    fn handle_written(&mut self, now_ms: u64, token: u64) {
        let mut chunk_ack = None;
        let mut batch_ack = None;
        for completion in self.outbox.complete_up_to(token) {
            match completion {
                WriteCompletion::NoAction => {}
                WriteCompletion::Send(to, message) => self.send(to, message),
                WriteCompletion::CountPromise(ballot) => self.count_own_promise(now_ms, ballot),
                WriteCompletion::CountAcceptance(ballot, epoch) => {
                    self.handle_accepted(now_ms, self.local_member.id, ballot, epoch);
                }
                WriteCompletion::RecordOwnBatch { term, sequence } => {
                    self.handle_own_batch_written(term, sequence);
                }
                WriteCompletion::AcknowledgeBatch { primary, session, sequence } => {
                    batch_ack = Some((primary, Message::BatchAck { session, sequence }));
                }
                WriteCompletion::AcknowledgeChunk { primary, session, index } => {
                    chunk_ack = Some((primary, Message::ChunkAck { session, index }));
                }
            }
        }
        for (primary, message) in chunk_ack.into_iter().chain(batch_ack) {
            self.send(primary, message);
        }
        self.advance_commit();
    }

    /// Handles the loss of the connection to a peer address: ends the session with the primary at
    /// this address or, as primary, the sessions of the members at this address.
    fn handle_peer_disconnected(&mut self, now_ms: u64, address: &str) {
        let session = self.backup.session.as_ref();
        if session.is_some_and(|session| session.primary_address == address) {
            self.backup.end_session();
        }
        let Some(primary) = self.as_primary_mut() else { return };
        let members = primary.view().members.iter();
        let disconnected: Vec<MemberId> =
            members.filter(|member| member.peer_address == address).map(|member| member.id).collect();
        for id in disconnected {
            // Items in flight on the connection are lost, so the backup needs a new session.
            primary.end_session(id);
            primary.failure_detector.record_disconnect(id, now_ms);
        }
    }

    /// Performs the periodic work of the current role, and sends a leave request if one is due.
    fn tick(&mut self, now_ms: u64) {
        match &self.role {
            Role::Primary(_) => self.run_primary(now_ms),
            Role::Candidate(_) => self.run_candidate(now_ms),
            Role::Backup if self.view.is_none() => self.run_bootstrap(now_ms),
            Role::Backup => self.run_backup(now_ms),
        }
        self.send_leave_requests(now_ms);
    }

    /// Performs the periodic work of a candidate: ends an election that has timed out, and repeats
    /// the pre-vote.
    fn run_candidate(&mut self, now_ms: u64) {
        let Role::Candidate(election) = &self.role else { return };
        let ballot = election.ballot();
        let pre_vote_at_ms = election.pre_vote_at_ms();
        if now_ms > election.started_at_ms() + ELECTION_TIMEOUT_MS {
            self.role = Role::Backup;
            self.timers.not_candidate_before_ms = now_ms + self.election_jitter_ms();
        } else if pre_vote_at_ms.is_some_and(|at_ms| now_ms >= at_ms + PRE_VOTE_INTERVAL_MS) {
            self.advance_election(now_ms, ballot, |election| election.retry_pre_vote(now_ms));
        }
    }
}
