//! How a lease ends.
use super::RoleManager;
use crate::message::{MessageBody, Term};
use crate::outbox::{Action, Outbox};
use crate::quorum::SchedulerNumber;
use crate::role::{Handover, LeaseChange, LossReason, RoleIndex};
use crate::time::Millis;

impl RoleManager {
    /// Releases a role, if this scheduler holds it; another scheduler may request it at once.
    pub fn release(&mut self, now: Millis, role: RoleIndex, actions: &mut Vec<Action>) {
        self.lose(now, role, LossReason::Released, actions);
    }

    /// What this scheduler acted on knows the later term `highest_term`: the lease is over,
    /// whatever the acceptors say.
    pub fn fence(&mut self, now: Millis, role: RoleIndex, highest_term: Term, actions: &mut Vec<Action>) {
        let Some(this) = self.roles.get_mut(role.0) else { return };
        this.acceptor.learn(highest_term);
        self.stats[role.0].fenced += 1;
        if this.held.is_some_and(|lease| lease.term < highest_term) {
            self.lose(now, role, LossReason::Fenced, actions);
        }
    }

    /// Ends a lease that was not renewed in time.
    pub(super) fn expire(&mut self, now: Millis, role: RoleIndex, actions: &mut Vec<Action>) {
        if let Some(lease) = self.roles[role.0].held.take_if(|lease| now >= lease.expires_at) {
            let change = LeaseChange::Lost(lease.term, LossReason::Expired);
            actions.push(Action::LeaseChanged { role, change });
        }
    }

    /// Voids what this scheduler's acceptor granted up to this term, and sends the grant to a
    /// request that it has just rejected, if there is one.
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
        if let Some(queued) = acceptor.release(now, from, term, reply_timeout, grant_duration) {
            self.send(role, queued.to, queued.reply, outbox);
        }
    }

    fn lose(&mut self, now: Millis, role: RoleIndex, reason: LossReason, actions: &mut Vec<Action>) {
        let Some(this) = self.roles.get_mut(role.0) else { return };
        let Some(lease) = this.held.take() else { return };
        let change = LeaseChange::Lost(lease.term, reason);
        actions.push(Action::LeaseChanged { role, change });
        this.pending = None;
        // The scheduler that released a role does not take it again before the others had their
        // turn.
        let own_number = self.config.own_number;
        let until = now + self.config.lease_duration;
        this.not_before = until;
        this.handover = Some(Handover { previous_holder: own_number, until });
        let mut outbox = Outbox::default();
        self.send_to_others(role, MessageBody::Release { term: lease.term }, &mut outbox);
        self.release_grant(now, role, own_number, lease.term, &mut outbox);
        outbox.flush(actions);
    }
}
