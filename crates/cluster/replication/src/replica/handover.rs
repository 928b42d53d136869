//! Planned departure of members.
//!
//! A member that is told to terminate asks the primary to replace it by a standby. It may terminate
//! once no view that can still be decided needs its vote, so that the loss of another machine right
//! afterwards is tolerated. Without a standby the departure is treated as a restart: the member may
//! terminate immediately. It keeps its place unless a standby appears later, which may replace it
//! while the request to leave is valid or once the member has been silent for the replacement
//! timeout.
use super::state::{Replica, Role};
use crate::interface::ReplicaEvent;
use crate::leave::LeaveState;
use crate::message::Message;
use crate::timing::{IN_SYNC_CONTACT_TIMEOUT_MS, STANDBY_DISCOVERY_MS};
use crate::view::Member;

impl Replica {
    /// Starts the permanent departure of this machine, which steps down if it is primary. The
    /// machine may terminate once [`ReplicaEvent::LeaveAllowed`] is emitted.
    pub fn request_leave(&mut self, now_ms: u64) {
        if self.leave.is_some() {
            return;
        }
        self.leave = Some(LeaveState::new());
        self.resign_if_primary(now_ms);
        self.send_leave_requests(now_ms);
    }

    /// Steps down if this machine is primary: a member that leaves must not stay primary.
    fn resign_if_primary(&mut self, now_ms: u64) {
        if matches!(self.role, Role::Primary(_)) {
            self.resign(now_ms);
        }
    }

    /// Sends the leave request to all members if it is due. A machine that is no voter of the
    /// newest known view may terminate without a request.
    pub(super) fn send_leave_requests(&mut self, now_ms: u64) {
        let Some(leave) = &mut self.leave else { return };
        if !leave.take_due_request(now_ms) {
            return;
        }
        let view = self.view.as_ref().filter(|view| view.has_voter(self.local_member.id));
        let Some(members) = view.map(|view| view.members.clone()) else {
            return self.handle_leave_response(false);
        };
        self.resign_if_primary(now_ms);
        let message = Message::LeaveRequest { member: self.local_member.clone() };
        self.send_to_others(&members, &message);
    }

    /// Answers a member's request to leave.
    pub(super) fn handle_leave_request(&mut self, now_ms: u64, member: &Member) {
        let Some(primary) = self.as_primary_mut() else { return };
        let is_voter = primary.may_need_vote_of(member.id);
        if is_voter && primary.is_active() {
            primary.membership.record_leave_request(member.id, now_ms);
        }
        let has_standby = primary.has_standby(IN_SYNC_CONTACT_TIMEOUT_MS, now_ms);
        let is_replacing = primary.view().changes_members();
        // A newly elected primary may not have received the announcements of standbys yet.
        let may_have_standby = now_ms < primary.elected_at_ms() + STANDBY_DISCOVERY_MS;
        let must_wait = is_voter && (has_standby || is_replacing || may_have_standby || !primary.is_active());
        self.send_to(member, Message::LeaveResponse { must_wait });
    }

    pub(super) fn handle_leave_response(&mut self, must_wait: bool) {
        let Some(leave) = &mut self.leave else { return };
        if !must_wait && leave.allow() {
            self.outbox.emit(ReplicaEvent::LeaveAllowed);
        }
    }
}
