//! The end of leases: by release, by fencing and by expiry.
use super::RoleManager;
use crate::message::{MessageBody, Term};
use crate::outbox::{Action, Outbox};
use crate::quorum::SchedulerNumber;
use crate::role::{Handover, LeaseChange, LossReason, RoleIndex};
use crate::time::Millis;

impl RoleManager {
    /// Releases the role if this scheduler holds it, so that another scheduler can acquire it
    /// without waiting for the lease to expire.
    pub fn release(&mut self, now: Millis, role: RoleIndex, actions: &mut Vec<Action>) {
        self.end_lease(now, role, LossReason::Released, actions);
    }

    /// Processes the rejection of an act by its resource, which knows `highest_term`. If this is
    /// later than the term of the lease that this scheduler holds, the lease ends, even if the
    /// acceptors' grants are unexpired.
    pub fn fence(&mut self, now: Millis, role: RoleIndex, highest_term: Term, actions: &mut Vec<Action>) {
        let Some(role_state) = self.roles.get_mut(role.0) else { return };
        role_state.acceptor.observe_term(highest_term);
        self.stats[role.0].fenced += 1;
        if role_state.held.is_some_and(|lease| lease.term < highest_term) {
            self.end_lease(now, role, LossReason::Fenced, actions);
        }
    }

    /// Ends the lease on the role if it has expired.
    pub(super) fn expire_lease(&mut self, now: Millis, role: RoleIndex, actions: &mut Vec<Action>) {
        if let Some(lease) = self.roles[role.0].held.take_if(|lease| now >= lease.expires_at) {
            let change = LeaseChange::Lost(lease.term, LossReason::Expired);
            actions.push(Action::LeaseChanged { role, change });
        }
    }

    /// Removes the grant of this scheduler's acceptor to `from` if its term is at most `term`, and
    /// grants a request that the acceptor has just rejected, if there is one.
    pub(super) fn release_grant(
        &mut self,
        now: Millis,
        role: RoleIndex,
        from: SchedulerNumber,
        term: Term,
        outbox: &mut Outbox,
    ) {
        let (reply_timeout, grant_duration) = (self.config.reply_timeout, self.config.grant_duration());
        let acceptor = &mut self.roles[role.0].acceptor;
        if let Some(deferred) = acceptor.release(now, from, term, reply_timeout, grant_duration) {
            self.send(role, deferred.to, deferred.reply, outbox);
        }
    }

    /// Ends the lease on the role if this scheduler holds it, and releases its grants.
    fn end_lease(&mut self, now: Millis, role: RoleIndex, reason: LossReason, actions: &mut Vec<Action>) {
        let Some(role_state) = self.roles.get_mut(role.0) else { return };
        let Some(lease) = role_state.held.take() else { return };
        let change = LeaseChange::Lost(lease.term, reason);
        actions.push(Action::LeaseChanged { role, change });
        role_state.pending = None;
        // The scheduler that released the role does not request it for the duration of a lease, so
        // that the others can acquire it.
        let own_number = self.config.own_number;
        let until = now + self.config.lease_duration;
        role_state.earliest_request_at = until;
        role_state.handover = Some(Handover { previous_holder: own_number, until });
        let mut outbox = Outbox::default();
        self.send_to_others(role, MessageBody::Release { term: lease.term }, &mut outbox);
        self.release_grant(now, role, own_number, lease.term, &mut outbox);
        outbox.flush(actions);
    }
}
