//! View proposals of a candidate or primary, and the votes for them.
use super::outbox::WriteCompletion;
use super::state::{Replica, Role};
use crate::message::Message;
use crate::view::{Ballot, Epoch, MemberId, View};
use crate::witness::Vote;

impl Replica {
    /// Proposes a view to its voters.
    pub(super) fn propose_view(&mut self, ballot: Ballot, view: &View) {
        for member in view.voters() {
            if member.id != self.local_member.id {
                self.send_to(member, Message::Accept { ballot, view: view.clone() });
            } else if self.witness.accept(ballot, view) == Vote::Granted {
                self.write_witness_record(WriteCompletion::CountAcceptance(ballot, view.epoch));
            }
        }
    }

    /// Counts a witness's acceptance of a view that this machine proposed.
    pub(super) fn handle_accepted(&mut self, now_ms: u64, from: MemberId, ballot: Ballot, epoch: Epoch) {
        match &mut self.role {
            Role::Candidate(_) => {
                self.advance_election(now_ms, ballot, |election| election.handle_accepted(from, epoch));
            }
            Role::Primary(primary) if primary.ballot() == ballot => {
                if let Some(view) = primary.record_vote(from, epoch) {
                    self.adopt_view(now_ms, view);
                }
            }
            _ => {}
        }
    }
}
