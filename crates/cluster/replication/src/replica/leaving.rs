//! Members that leave for good.
//!
//! A member that is told to end asks the primary to be exchanged for a machine that stands by. It may end once no view
//! that can still be decided asks for its vote, so another loss right after it is borne. If no machine stands by, this is
//! taken for a restart: the member ends at once, and nobody takes its place until it has been gone for long.
use super::{LEAVE_EVERY_MS, Leaving, Notice, Output, PATIENCE, Replica, Role};
use crate::message::Message;
use crate::view::Member;

impl Replica {
    /// Tells this machine to leave for good. [`Notice::MayLeave`] says when it may end.
    pub fn leave(&mut self, now: u64) {
        if self.leaving.is_some() {
            return;
        }
        self.leaving = Some(Leaving { said_at: 0, released: false });
        self.hand_over(now);
        self.say_leaving(now);
    }

    /// A primary that leaves gives its role away first.
    fn hand_over(&mut self, now: u64) {
        if matches!(self.role, Role::Primary(_)) {
            self.resign(now);
        }
    }

    pub(super) fn say_leaving(&mut self, now: u64) {
        let Some(leaving) = &mut self.leaving else { return };
        if leaving.released || now < leaving.said_at + LEAVE_EVERY_MS {
            return;
        }
        leaving.said_at = now;
        let Some(view) = self.view.clone().filter(|view| view.has_voter(self.me.id)) else {
            return self.leave_answered(false);
        };
        self.hand_over(now);
        let me = self.me.id;
        for member in view.members.iter().filter(|m| m.id != me) {
            let message = Message::Leave { member: self.me.clone() };
            self.send(member.peer.clone(), Some(member.id), message);
        }
    }

    /// A member says that it leaves.
    pub(super) fn asked_to_leave(&mut self, now: u64, member: Member) {
        let Role::Primary(primary) = &mut self.role else { return };
        let proposed = primary.proposal.as_ref().is_some_and(|p| p.view.has_voter(member.id));
        let voter = primary.view.has_voter(member.id) || proposed;
        let spare = primary.has_spare(PATIENCE.silent_ms, now);
        let exchanging = primary.view.previous != primary.view.members;
        if voter && primary.active {
            primary.leaving.insert(member.id, now);
        }
        // A primary that has just taken over has not heard yet whether a machine stands by.
        let unsure = now < primary.won_at + super::ASK_EVERY_MS;
        let wait = voter && (spare || exchanging || unsure || !primary.active);
        self.send(member.peer, Some(member.id), Message::LeaveAnswer { wait });
    }

    pub(super) fn leave_answered(&mut self, wait: bool) {
        let Some(leaving) = &mut self.leaving else { return };
        if !wait && !leaving.released {
            leaving.released = true;
            self.outputs.push(Output::Notice(Notice::MayLeave));
        }
    }
}
