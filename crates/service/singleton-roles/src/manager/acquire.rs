//! When a lease is requested or renewed, and when a request is given up.
use super::RoleManager;
use crate::acceptor::GrantRequest;
use crate::message::MessageBody;
use crate::outbox::{Action, Outbox};
use crate::quorum::SchedulerNumber;
use crate::role::{PendingRequest, RoleIndex};
use crate::time::{ClockReading, Millis};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A lease is renewed when less than this part of it is left, which leaves time for requests that
/// get lost.
const RENEW_WHEN_LEFT_NUMERATOR: u64 = 2;
/// See [`RENEW_WHEN_LEFT_NUMERATOR`].
const RENEW_WHEN_LEFT_DENOMINATOR: u64 = 3;

impl RoleManager {
    /// Whether it is time to request: the renewal of a lease that is held, or in this scheduler's
    /// turn a role that nobody holds.
    pub(super) fn should_request(
        &self,
        now: Millis,
        role: RoleIndex,
        is_alive: &impl Fn(SchedulerNumber) -> bool,
    ) -> bool {
        let (config, this) = (&self.config, &self.roles[role.0]);
        let awaits_reply =
            this.pending.as_ref().is_some_and(|pending| now < pending.sent_at + config.reply_timeout);
        if self.passive || awaits_reply || now < this.not_before || this.acceptor.is_quiet(now) {
            return false;
        }
        if let Some(held) = this.held {
            let renew_before =
                config.lease_duration * RENEW_WHEN_LEFT_NUMERATOR / RENEW_WHEN_LEFT_DENOMINATOR;
            return now + renew_before >= held.expires_at;
        }
        // The first choice may be a scheduler that can't request: it has just started, or is gone
        // and not known to be. So the others follow, each after one more reply time-out.
        let vacant_since = this.vacant_since.unwrap_or(now);
        let turn = vacant_since + self.rank(now, role, is_alive) * config.reply_timeout;
        this.acceptor.grant(now).is_none() && now >= turn
    }

    /// How many of the live schedulers should hold the role rather than this one: by rendezvous
    /// hashing, so that roles are spread and few move when a scheduler goes.
    fn rank(&self, now: Millis, role: RoleIndex, is_alive: &impl Fn(SchedulerNumber) -> bool) -> u64 {
        let this = &self.roles[role.0];
        let own_number = self.config.own_number;
        let previous_holder = this.previous_holder(now);
        let weight = |number: SchedulerNumber| {
            (xxh3_64_with_seed(&number.to_le_bytes(), this.name_hash.into()), number)
        };
        let is_candidate = |number: &SchedulerNumber| {
            (*number == own_number || is_alive(*number)) && previous_holder != Some(*number)
        };
        let candidates = (0..self.config.quorum.schedulers).filter(is_candidate);
        candidates.filter(|number| weight(*number) > weight(own_number)).count() as u64
    }

    /// How long to wait before another request: other than schedulers that requested at the same
    /// time.
    pub(super) fn backoff(&self) -> Millis {
        let reply_timeout = self.config.reply_timeout;
        let random = xxh3_64_with_seed(&self.requests_sent.to_le_bytes(), self.config.seed);
        reply_timeout + random % (2 * reply_timeout + 1)
    }

    /// Gives up a request that found no majority in time, and the grants of it. Two schedulers with
    /// a part of the grants each would keep the role from each other, and from all others, for a
    /// lease.
    pub(super) fn cancel_unanswered(&mut self, now: Millis, role: RoleIndex, outbox: &mut Outbox) {
        let (backoff, reply_timeout) = (self.backoff(), self.config.reply_timeout);
        let this = &mut self.roles[role.0];
        let is_held = this.held.is_some();
        let timed_out = |pending: &mut PendingRequest| !is_held && now >= pending.sent_at + reply_timeout;
        let Some(PendingRequest { term, .. }) = this.pending.take_if(timed_out) else { return };
        this.delay_requests(now + backoff);
        self.send_to_others(role, MessageBody::Cancel { term }, outbox);
        self.release_grant(now, role, self.config.own_number, term, outbox);
    }

    /// Requests the role of all schedulers, this one included.
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
        let this = &mut self.roles[role.0];
        let next_term = this.acceptor.highest_term() + 1;
        let term = match this.held {
            // A renewal keeps the term, unless an acceptor has learned of a higher one that was
            // never granted: it would never grant this one again.
            Some(held) if next_term <= held.term + 1 => held.term,
            Some(_) => next_term,
            None => next_term.max(now.wall),
        };
        this.pending =
            Some(PendingRequest { number: request, term, sent_at: now.monotonic, granted_by: Vec::new() });
        let own_reply =
            this.acceptor.request(now.monotonic, GrantRequest { from, request, term }, grant_duration);
        self.send_to_others(role, MessageBody::Request { request, term }, outbox);
        if let Some(reply) = own_reply {
            self.receive_reply(now.monotonic, role, from, reply, actions);
        }
    }
}
