//! The witness role: responses to candidates and primaries.
use super::outbox::{Destination, WriteCompletion};
use super::state::Replica;
use crate::message::{Heartbeat, LeaseGrant, Message};
use crate::view::{Ballot, Member, MemberId, View};
use crate::witness::Vote;

impl Replica {
    pub(super) fn handle_pre_vote_request(&mut self, now_ms: u64, ballot: Ballot, candidate: &Member) {
        let message = match self.witness.pre_vote(now_ms, ballot) {
            Vote::Granted => Message::PreVoteGrant { ballot },
            Vote::Rejected { retry_after_ms } => self.reject_message(ballot, retry_after_ms),
        };
        self.send_to(candidate, message);
    }

    pub(super) fn handle_prepare(&mut self, now_ms: u64, ballot: Ballot, candidate: &Member) {
        match self.witness.prepare(now_ms, ballot) {
            Vote::Granted => {
                // Postpones this machine's own election, so that the candidate has time to win.
                self.timers.last_primary_contact_ms = now_ms;
                // After the promise no batch of an older term may be applied: the candidate relies
                // on what the promise reports.
                self.backup.end_session();
                let accepted = self.witness.record.accepted.clone();
                let message = Message::Promise { ballot, accepted };
                self.write_witness_record(WriteCompletion::Send(Destination::from(candidate), message));
            }
            Vote::Rejected { retry_after_ms } => {
                let message = self.reject_message(ballot, retry_after_ms);
                self.send_to(candidate, message);
            }
        }
    }

    pub(super) fn handle_accept(&mut self, now_ms: u64, ballot: Ballot, view: View, from: MemberId) {
        let Some(sender) = view.member(from).map(Destination::from) else { return };
        match self.witness.accept(ballot, &view) {
            Vote::Granted => {
                let epoch = view.epoch;
                self.timers.last_primary_contact_ms = now_ms;
                self.learn_view(view);
                self.write_witness_record(WriteCompletion::Send(sender, Message::Accepted { ballot, epoch }));
            }
            Vote::Rejected { retry_after_ms } => {
                let message = self.reject_message(ballot, retry_after_ms);
                self.send(sender, message);
            }
        }
    }

    /// Answers a heartbeat with the lease grant. A witness that has not accepted the heartbeat's
    /// view accepts it first, and sends the grant once the view is on disk: after a restart it must
    /// know to which primary it may have granted a lease. Until then further heartbeats get none.
    pub(super) fn send_lease_grant(&mut self, now_ms: u64, primary: &Member, heartbeat: &Heartbeat) {
        let (ballot, view) = (heartbeat.ballot, &heartbeat.view);
        let message = Message::LeaseGrant(LeaseGrant {
            ballot,
            sent_at_ms: heartbeat.sent_at_ms,
            witness_clock_ms: now_ms,
            ineligible: self.local_state.ineligible,
        });
        if self.witness.has_accepted(ballot, view) {
            if !self.outbox.has_pending_witness_record() {
                self.send_to(primary, message);
            }
        } else if self.witness.accept(ballot, view) == Vote::Granted {
            self.write_witness_record(WriteCompletion::Send(Destination::from(primary), message));
        }
    }

    /// The rejection of a ballot, with the highest ballot that was promised.
    pub(super) fn reject_message(&self, ballot: Ballot, retry_after_ms: u64) -> Message {
        Message::Reject { ballot, promised: self.witness.record.promised, retry_after_ms }
    }
}
