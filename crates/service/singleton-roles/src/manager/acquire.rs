//! Requests and renewals of leases, and the cancellation of requests that fail.
use super::RoleManager;
use crate::acceptor::GrantRequest;
use crate::message::MessageBody;
use crate::outbox::{Action, Outbox};
use crate::quorum::SchedulerNumber;
use crate::role::{PendingRequest, RoleIndex};
use crate::time::{ClockReading, Millis};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The renewal window is this fraction of the lease duration: a lease is renewed once its remaining
/// time is within the window, which leaves time to repeat lost requests.
const RENEWAL_WINDOW_NUMERATOR: u64 = 2;
/// See [`RENEWAL_WINDOW_NUMERATOR`].
const RENEWAL_WINDOW_DENOMINATOR: u64 = 3;

impl RoleManager {
    /// Whether this scheduler should send a request now: to renew a lease that it holds, or to
    /// acquire a vacant role once all schedulers that are preferred to it have had time to do so.
    pub(super) fn should_request(
        &self,
        now: Millis,
        role: RoleIndex,
        is_alive: &impl Fn(SchedulerNumber) -> bool,
    ) -> bool {
        let (config, role_state) = (&self.config, &self.roles[role.0]);
        let awaits_reply =
            role_state.pending.as_ref().is_some_and(|pending| now < pending.sent_at + config.reply_timeout);
        if self.is_passive
            || awaits_reply
            || now < role_state.earliest_request_at
            || role_state.acceptor.in_startup_wait(now)
        {
            return false;
        }
        if let Some(held) = role_state.held {
            let renewal_window =
                config.lease_duration * RENEWAL_WINDOW_NUMERATOR / RENEWAL_WINDOW_DENOMINATOR;
            return now + renewal_window >= held.expires_at;
        }
        // The most preferred scheduler may be unable to request the role: it may have just started,
        // or may be dead and not yet detected. So each scheduler requests the role one reply
        // timeout after the scheduler that is preferred directly before it.
        let vacant_since = role_state.vacant_since.unwrap_or(now);
        let request_at = vacant_since + self.rank(now, role, is_alive) * config.reply_timeout;
        role_state.acceptor.grant(now).is_none() && now >= request_at
    }

    /// The number of live schedulers that are preferred to this one as holder of the role. The
    /// preference is by rendezvous hashing, so that roles are spread over the schedulers and few
    /// roles move when a scheduler leaves.
    fn rank(&self, now: Millis, role: RoleIndex, is_alive: &impl Fn(SchedulerNumber) -> bool) -> u64 {
        let role_state = &self.roles[role.0];
        let own_number = self.config.own_number;
        let previous_holder = role_state.previous_holder(now);
        let weight = |number: SchedulerNumber| {
            (xxh3_64_with_seed(&number.to_le_bytes(), role_state.name_hash.into()), number)
        };
        let is_candidate = |number: &SchedulerNumber| {
            (*number == own_number || is_alive(*number)) && previous_holder != Some(*number)
        };
        let candidates = (0..self.config.quorum.schedulers).filter(is_candidate);
        candidates.filter(|number| weight(*number) > weight(own_number)).count() as u64
    }

    /// The random delay before another request, one to three reply timeouts. Schedulers that
    /// requested at the same time get different delays.
    pub(super) fn backoff(&self) -> Millis {
        let reply_timeout = self.config.reply_timeout;
        let random = xxh3_64_with_seed(&self.requests_sent.to_le_bytes(), self.config.seed);
        reply_timeout + random % (2 * reply_timeout + 1)
    }

    /// Cancels a request that did not get a majority within the reply timeout, and releases the
    /// grants that it got. Otherwise two schedulers with some of the grants each would block each
    /// other, and all others, from the role for the duration of a lease.
    pub(super) fn cancel_timed_out_request(&mut self, now: Millis, role: RoleIndex, outbox: &mut Outbox) {
        let (backoff, reply_timeout) = (self.backoff(), self.config.reply_timeout);
        let role_state = &mut self.roles[role.0];
        let is_held = role_state.held.is_some();
        let timed_out = |pending: &mut PendingRequest| !is_held && now >= pending.sent_at + reply_timeout;
        let Some(PendingRequest { term, .. }) = role_state.pending.take_if(timed_out) else { return };
        role_state.delay_requests(now + backoff);
        self.send_to_others(role, MessageBody::Cancel { term }, outbox);
        self.release_grant(now, role, self.config.own_number, term, outbox);
    }

    /// Sends a request for the role to all other schedulers and to this scheduler's own acceptor.
    pub(super) fn request(
        &mut self,
        now: ClockReading,
        role: RoleIndex,
        outbox: &mut Outbox,
        actions: &mut Vec<Action>,
    ) {
        self.requests_sent += 1;
        let request = self.requests_sent;
        let (from, grant_duration) = (self.config.own_number, self.config.grant_duration());
        let role_state = &mut self.roles[role.0];
        let next_term = role_state.acceptor.highest_term() + 1;
        let term = match role_state.held {
            // A renewal keeps the term, unless an acceptor has learned of a higher term that was
            // never granted: that acceptor would not grant the present term again.
            Some(held) if next_term <= held.term + 1 => held.term,
            Some(_) => next_term,
            None => next_term.max(now.wall),
        };
        role_state.pending =
            Some(PendingRequest { number: request, term, sent_at: now.monotonic, granted_by: Vec::new() });
        let own_reply = role_state.acceptor.handle_request(
            now.monotonic,
            GrantRequest { from, request, term },
            grant_duration,
        );
        self.send_to_others(role, MessageBody::Request { request, term }, outbox);
        if let Some(reply) = own_reply {
            self.receive_reply(now.monotonic, role, from, reply, actions);
        }
    }
}
