//! The state of one role in the view of one scheduler.
use crate::acceptor::Acceptor;
use crate::message::Term;
use crate::quorum::SchedulerNumber;
use crate::time::Millis;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// The index of a role among this scheduler's roles, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RoleIndex(pub usize);

/// The reason for which a lease ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LossReason {
    /// No majority granted its renewal before it expired.
    Expired,
    /// Its holder released it.
    Released,
    /// The resource that its holder acted on knows a later term.
    Fenced,
}

/// The beginning or the end of a lease of this scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// This scheduler has acquired the role under this term.
    Acquired(Term),
    /// This scheduler no longer holds the role under this term.
    Lost(Term, LossReason),
}

/// A lease that this scheduler holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    /// The term of the lease.
    pub term: Term,
    /// The end of the lease by this scheduler's monotonic clock, unless it is renewed.
    pub expires_at: Millis,
}

/// A request for a lease that this scheduler has sent and that has no majority yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingRequest {
    pub(crate) number: u32,
    pub(crate) term: Term,
    /// The time at which the request was sent. The lease counts from this time and not from the
    /// arrival of the grants, so that it ends before the grants expire.
    pub(crate) sent_at: Millis,
    pub(crate) granted_by: Vec<SchedulerNumber>,
}

/// A recent release of the role. Until the time `until`, all other schedulers are preferred to the
/// previous holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Handover {
    pub(crate) previous_holder: SchedulerNumber,
    pub(crate) until: Millis,
}

/// Counters of a role since the start of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct RoleStats {
    /// Number of terms under which this scheduler acquired the role.
    pub terms: u64,
    /// Number of renewals of this scheduler's leases.
    pub renewals: u64,
    /// Number of acts that their resource rejected because it knew a later term.
    pub fenced: u64,
    /// Total time in which this scheduler knew of no lease holder, milliseconds.
    pub vacant_ms: u64,
}

/// The state of a role.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Role {
    /// Its name.
    pub name: String,
    pub(crate) name_hash: u32,
    pub(crate) acceptor: Acceptor,
    pub(crate) held: Option<HeldLease>,
    pub(crate) pending: Option<PendingRequest>,
    /// The earliest time at which this scheduler may request the role.
    pub(crate) earliest_request_at: Millis,
    /// The time since which this scheduler has known of no holder; `None` while it knows one.
    pub(crate) vacant_since: Option<Millis>,
    pub(crate) handover: Option<Handover>,
}

impl Role {
    /// Creates the state of a role of which no holder is known.
    pub(crate) fn new(name: &str, now: Millis, grant_duration: Millis) -> Self {
        Role {
            name: name.to_owned(),
            name_hash: xxh3_64(name.as_bytes()) as u32,
            acceptor: Acceptor::new(now, grant_duration),
            held: None,
            pending: None,
            earliest_request_at: 0,
            vacant_since: Some(now),
            handover: None,
        }
    }

    /// Whether this scheduler has a lease on the role, including one that has expired but has not
    /// been removed yet.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Prevents requests for the role until a time, or until a later time already set.
    pub(crate) fn delay_requests(&mut self, until: Millis) {
        self.earliest_request_at = self.earliest_request_at.max(until);
    }

    /// Allows requests for the role from a time, or from an earlier time already set.
    pub(crate) fn allow_requests(&mut self, from: Millis) {
        self.earliest_request_at = self.earliest_request_at.min(from);
    }

    /// The scheduler that released the role less than a lease duration ago, to which all others are
    /// preferred.
    pub(crate) fn previous_holder(&self, now: Millis) -> Option<SchedulerNumber> {
        self.handover.filter(|handover| now < handover.until).map(|handover| handover.previous_holder)
    }
}
