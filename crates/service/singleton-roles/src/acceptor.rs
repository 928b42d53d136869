//! One scheduler's grants of one role.
//!
//! Invariant: an acceptor has at most one unexpired grant, and each new grant has a higher term
//! than all before it that the acceptor knows. Since any two majorities have an acceptor in common,
//! at most one scheduler has unexpired grants of a majority.
use crate::message::{MessageBody, Term};
use crate::quorum::SchedulerNumber;
use crate::time::Millis;

/// What a scheduler has granted of one role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    /// Nothing is granted before: what an earlier process of this scheduler granted, and this one
    /// does not know of, has expired by then.
    quiet_until: Millis,
    /// The highest term that was granted or learned of.
    highest_term: Term,
    granted: Option<StoredGrant>,
    /// The last request that was rejected since another scheduler had the grant. If that one
    /// releases it just then, by a message that was overtaken, the request is granted after all.
    rejected: Option<RejectedRequest>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct StoredGrant {
    holder: SchedulerNumber,
    term: Term,
    /// By this scheduler's clock.
    expires_at: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RejectedRequest {
    request: GrantRequest,
    received_at: Millis,
}

/// An unexpired grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Grant {
    /// The scheduler that has the grant.
    pub holder: SchedulerNumber,
    /// The term.
    pub term: Term,
    /// How long the grant still lasts.
    pub remaining: Millis,
}

/// A request for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GrantRequest {
    /// The scheduler that requests.
    pub from: SchedulerNumber,
    /// The sender's number of the request.
    pub request: u32,
    /// The term.
    pub term: Term,
}

/// A reply to a request that was rejected before, and can be granted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct QueuedGrant {
    /// The scheduler that requested.
    pub to: SchedulerNumber,
    /// The reply.
    pub reply: MessageBody,
}

impl Acceptor {
    /// An acceptor that starts now, and grants nothing for as long as a grant may last that an
    /// earlier process made.
    pub fn new(now: Millis, grant_duration: Millis) -> Self {
        Acceptor { quiet_until: now + grant_duration, highest_term: 0, granted: None, rejected: None }
    }

    /// Whether the acceptor may not grant anything yet.
    pub fn is_quiet(&self, now: Millis) -> bool {
        now < self.quiet_until
    }

    /// The highest term that the acceptor knows.
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// The unexpired grant.
    pub fn grant(&self, now: Millis) -> Option<Grant> {
        let StoredGrant { holder, term, expires_at } =
            self.granted.filter(|granted| now < granted.expires_at)?;
        Some(Grant { holder, term, remaining: expires_at - now })
    }

    /// Learns of a term from elsewhere, for example from what a lease holder acted on.
    pub fn learn(&mut self, term: Term) {
        self.highest_term = self.highest_term.max(term);
    }

    /// A request has arrived; returns the reply, if there is one.
    pub fn request(
        &mut self,
        now: Millis,
        request: GrantRequest,
        grant_duration: Millis,
    ) -> Option<MessageBody> {
        if self.is_quiet(now) {
            return None;
        }
        match self.grant(now) {
            // While one scheduler has the grant no other is granted it, whatever its term.
            Some(grant) if grant.holder != request.from => {
                self.rejected = Some(RejectedRequest { request, received_at: now });
                return Some(self.reject(request, grant.remaining));
            }
            // The request was overtaken by a later one of the same scheduler.
            Some(grant) if request.term < grant.term => return Some(self.reject(request, 0)),
            // A renewal.
            Some(grant) if request.term == grant.term => {}
            // A new term must be higher than all before it, also for the scheduler that had the
            // last one.
            _ if request.term <= self.highest_term => return Some(self.reject(request, 0)),
            _ => {}
        }
        let GrantRequest { from: holder, request, term } = request;
        self.highest_term = term;
        self.granted = Some(StoredGrant { holder, term, expires_at: now + grant_duration });
        Some(MessageBody::Grant { request, term })
    }

    fn reject(&self, request: GrantRequest, remaining: Millis) -> MessageBody {
        MessageBody::Reject { request: request.request, highest_term: self.highest_term, remaining }
    }

    /// A scheduler whose request was rejected has cancelled it.
    pub fn forget_rejected(&mut self, from: SchedulerNumber) {
        self.rejected.take_if(|rejected| rejected.request.from == from);
    }

    /// The scheduler that has the grant releases it up to this term. Returns the reply to a request
    /// that was rejected less than `reply_timeout` ago, if it is granted now.
    pub fn release(
        &mut self,
        now: Millis,
        from: SchedulerNumber,
        term: Term,
        reply_timeout: Millis,
        grant_duration: Millis,
    ) -> Option<QueuedGrant> {
        if !self.granted.is_some_and(|granted| granted.holder == from && granted.term <= term) {
            return None;
        }
        self.granted = None;
        let RejectedRequest { request, received_at } = self.rejected.take()?;
        let still_waits = now < received_at + reply_timeout;
        if !still_waits || request.term <= self.highest_term || request.from == from {
            return None;
        }
        let reply = self.request(now, request, grant_duration)?;
        Some(QueuedGrant { to: request.from, reply })
    }
}
