//! Processing of messages from other schedulers.
use super::RoleManager;
use crate::acceptor::GrantRequest;
use crate::message::{MessageBody, RoleMessage, Term};
use crate::outbox::{Action, Outbox};
use crate::quorum::SchedulerNumber;
use crate::role::{Handover, HeldLease, LeaseChange, RoleIndex};
use crate::time::{ClockReading, Millis};

impl RoleManager {
    /// Processes messages from scheduler `from`. `is_alive` is used as in [`RoleManager::tick`].
    pub fn receive(
        &mut self,
        now: ClockReading,
        from: SchedulerNumber,
        messages: &[RoleMessage],
        is_alive: impl Fn(SchedulerNumber) -> bool,
        actions: &mut Vec<Action>,
    ) {
        let mut outbox = Outbox::default();
        for message in messages {
            if !self.is_from_compatible_scheduler(from, message) {
                continue;
            }
            let Some(role) = self.role_by_hash(message.role_hash) else { continue };
            self.receive_message(now.monotonic, role, from, message.body, &mut outbox, actions);
            // Requests a released role immediately instead of at the next tick.
            let is_released = matches!(message.body, MessageBody::Release { .. });
            if is_released && self.should_request(now.monotonic, role, &is_alive) {
                self.request(now, role, &mut outbox, actions);
            }
        }
        outbox.flush(actions);
    }

    /// Whether the sender is another configured scheduler whose quorum configuration intersects
    /// this scheduler's. Otherwise it may have a majority that shares no acceptor with a majority
    /// of this scheduler's configuration, and two schedulers could hold the role.
    fn is_from_compatible_scheduler(&self, from: SchedulerNumber, message: &RoleMessage) -> bool {
        let quorum = self.config.quorum;
        message.quorum.intersects(quorum) && from < quorum.schedulers && from != self.config.own_number
    }

    fn role_by_hash(&self, role_hash: u32) -> Option<RoleIndex> {
        self.roles.iter().position(|role| role.name_hash == role_hash).map(RoleIndex)
    }

    fn receive_message(
        &mut self,
        now: Millis,
        role: RoleIndex,
        from: SchedulerNumber,
        body: MessageBody,
        outbox: &mut Outbox,
        actions: &mut Vec<Action>,
    ) {
        match body {
            MessageBody::Request { request, term } => {
                let request = GrantRequest { from, request, term };
                let grant_duration = self.config.grant_duration();
                if let Some(reply) = self.roles[role.0].acceptor.handle_request(now, request, grant_duration)
                {
                    self.send(role, from, reply, outbox);
                }
            }
            MessageBody::Cancel { term } => {
                self.release_grant(now, role, from, term, outbox);
                let backoff = self.backoff();
                let role_state = &mut self.roles[role.0];
                role_state.acceptor.forget_rejected(from);
                role_state.allow_requests(now + backoff);
            }
            MessageBody::Release { term } => {
                self.release_grant(now, role, from, term, outbox);
                let until = now + self.config.lease_duration;
                let role_state = &mut self.roles[role.0];
                role_state.allow_requests(now);
                role_state.handover = Some(Handover { previous_holder: from, until });
                role_state.vacant_since = Some(now);
            }
            MessageBody::Grant { .. } | MessageBody::Reject { .. } => {
                self.receive_reply(now, role, from, body, actions);
            }
        }
    }

    /// Processes a reply to a request of this scheduler.
    pub(super) fn receive_reply(
        &mut self,
        now: Millis,
        role: RoleIndex,
        from: SchedulerNumber,
        reply: MessageBody,
        actions: &mut Vec<Action>,
    ) {
        match reply {
            MessageBody::Grant { request, term } => {
                let expires_at = self.add_grant(role, from, request, term);
                // Grants that arrive after the end of the lease are ignored: they may have expired.
                if let Some(expires_at) = expires_at.filter(|expires_at| now < *expires_at) {
                    self.record_lease(role, HeldLease { term, expires_at }, actions);
                }
            }
            MessageBody::Reject { request, highest_term, remaining } => {
                let lease_duration = self.config.lease_duration;
                let role_state = &mut self.roles[role.0];
                role_state.acceptor.observe_term(highest_term);
                let is_current = role_state.pending.as_ref().is_some_and(|pending| pending.number == request);
                if is_current && role_state.held.is_none() {
                    // If another scheduler has the grant, `remaining` is the time until the grant
                    // expires. An earlier release message allows requests again. If the term was
                    // too low, `remaining` is 0.
                    role_state.delay_requests(now + remaining.min(lease_duration));
                }
            }
            MessageBody::Request { .. } | MessageBody::Cancel { .. } | MessageBody::Release { .. } => {}
        }
    }

    /// Adds a grant to the pending request. Once a majority has granted it, completes the request
    /// and returns the time at which the lease expires.
    fn add_grant(
        &mut self,
        role: RoleIndex,
        from: SchedulerNumber,
        request: u32,
        term: Term,
    ) -> Option<Millis> {
        let role_state = &mut self.roles[role.0];
        let pending = role_state
            .pending
            .as_mut()
            .filter(|pending| pending.number == request && pending.term == term)?;
        if !pending.granted_by.contains(&from) {
            pending.granted_by.push(from);
        }
        if !self.config.quorum.has_majority(&pending.granted_by) {
            return None;
        }
        let expires_at = pending.sent_at + self.config.lease_duration;
        role_state.pending = None;
        Some(expires_at)
    }

    /// Records a lease that a majority has granted, and reports it unless it is a renewal.
    fn record_lease(&mut self, role: RoleIndex, lease: HeldLease, actions: &mut Vec<Action>) {
        let before = self.roles[role.0].held.replace(lease);
        let stats = &mut self.stats[role.0];
        if before.is_some_and(|before| before.term == lease.term) {
            stats.renewals += 1;
        } else {
            stats.terms += 1;
            let change = LeaseChange::Acquired(lease.term);
            actions.push(Action::LeaseChanged { role, change });
        }
    }
}
