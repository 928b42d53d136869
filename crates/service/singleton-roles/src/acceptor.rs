//! The acceptor of one scheduler for one role: it grants the lease on the role.
//!
//! Invariant: an acceptor has at most one unexpired grant, and each new grant has a higher term
//! than any earlier term that the acceptor knows. Since any two majorities share an acceptor, at
//! most one scheduler has unexpired grants from a majority.
use crate::message::{MessageBody, Term};
use crate::quorum::SchedulerNumber;
use crate::time::Millis;

/// The acceptor state of one scheduler for one role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    /// The time before which the acceptor grants nothing. Grants that an earlier process of this
    /// scheduler made, which this process does not know of, have expired by then.
    startup_wait_until: Millis,
    /// The highest term that this acceptor has granted or learned of.
    highest_term: Term,
    granted: Option<StoredGrant>,
    /// The last request that was rejected because another scheduler had the grant. The request is
    /// granted after all if it has overtaken that scheduler's release message, and that message
    /// arrives within the reply timeout.
    last_rejected: Option<RejectedRequest>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct StoredGrant {
    holder: SchedulerNumber,
    term: Term,
    /// The end of the grant by this scheduler's clock.
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
    /// The scheduler to which the lease is granted.
    pub holder: SchedulerNumber,
    /// The granted term.
    pub term: Term,
    /// The time until the grant expires, milliseconds.
    pub remaining: Millis,
}

/// A request for a new grant or for the renewal of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GrantRequest {
    /// The requesting scheduler.
    pub from: SchedulerNumber,
    /// The number of the request, counted by the requesting scheduler.
    pub request: u32,
    /// The requested term.
    pub term: Term,
}

/// The reply to a request that was rejected earlier and is granted now, after a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DeferredGrant {
    /// The requesting scheduler.
    pub to: SchedulerNumber,
    /// The reply.
    pub reply: MessageBody,
}

impl Acceptor {
    /// Creates an acceptor that starts at `now`. It grants nothing for `grant_duration`, until any
    /// grant of an earlier process has expired.
    pub fn new(now: Millis, grant_duration: Millis) -> Self {
        Acceptor {
            startup_wait_until: now + grant_duration,
            highest_term: 0,
            granted: None,
            last_rejected: None,
        }
    }

    /// Whether the acceptor still waits after its start and may not grant anything.
    pub fn in_startup_wait(&self, now: Millis) -> bool {
        now < self.startup_wait_until
    }

    /// The highest term that the acceptor has granted or learned of.
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// The unexpired grant, if there is one.
    pub fn grant(&self, now: Millis) -> Option<Grant> {
        let StoredGrant { holder, term, expires_at } =
            self.granted.filter(|granted| now < granted.expires_at)?;
        Some(Grant { holder, term, remaining: expires_at - now })
    }

    /// Records a term that another scheduler or the resource that a lease holder acts on knows.
    pub fn observe_term(&mut self, term: Term) {
        self.highest_term = self.highest_term.max(term);
    }

    /// Processes a request. Returns the reply; `None` during the wait after the start.
    pub fn handle_request(
        &mut self,
        now: Millis,
        request: GrantRequest,
        grant_duration: Millis,
    ) -> Option<MessageBody> {
        if self.in_startup_wait(now) {
            return None;
        }
        match self.grant(now) {
            // While one scheduler has the grant, no other one receives it, whatever its term.
            Some(grant) if grant.holder != request.from => {
                self.last_rejected = Some(RejectedRequest { request, received_at: now });
                return Some(self.reject(request, grant.remaining));
            }
            // A later request of the same scheduler arrived before this one.
            Some(grant) if request.term < grant.term => return Some(self.reject(request, 0)),
            // A renewal.
            Some(grant) if request.term == grant.term => {}
            // A new term must be higher than all earlier terms, also for the scheduler to which
            // the last one was granted.
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

    /// Discards the last rejected request if it is one of `from`, which has cancelled it.
    pub fn forget_rejected(&mut self, from: SchedulerNumber) {
        self.last_rejected.take_if(|rejected| rejected.request.from == from);
    }

    /// Removes the grant if scheduler `from` has it with a term of at most `term`. Returns the
    /// reply to a request that was rejected less than `reply_timeout` ago, if it is granted now.
    pub fn release(
        &mut self,
        now: Millis,
        from: SchedulerNumber,
        term: Term,
        reply_timeout: Millis,
        grant_duration: Millis,
    ) -> Option<DeferredGrant> {
        if !self.granted.is_some_and(|granted| granted.holder == from && granted.term <= term) {
            return None;
        }
        self.granted = None;
        let RejectedRequest { request, received_at } = self.last_rejected.take()?;
        let is_awaited = now < received_at + reply_timeout;
        if !is_awaited || request.term <= self.highest_term || request.from == from {
            return None;
        }
        let reply = self.handle_request(now, request, grant_duration)?;
        Some(DeferredGrant { to: request.from, reply })
    }
}
