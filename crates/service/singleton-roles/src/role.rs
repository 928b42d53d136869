//! One role, as one scheduler sees it.
use crate::acceptor::Acceptor;
use crate::message::Term;
use crate::quorum::SchedulerNumber;
use crate::time::Millis;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// The position of a role among this scheduler's roles, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RoleIndex(pub usize);

/// Why a lease was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LossReason {
    /// No majority renewed it in time.
    Expired,
    /// Its holder released it.
    Released,
    /// What its holder acted on knows a later term.
    Fenced,
}

/// The lease of a role has begun or ended on this scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// This scheduler holds the role from now on.
    Acquired(Term),
    /// This scheduler does not hold the role any more.
    Lost(Term, LossReason),
}

/// A lease that this scheduler holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    /// The term.
    pub term: Term,
    /// Until when by this scheduler's clock, if it isn't renewed.
    pub expires_at: Millis,
}

/// A request for a lease that this scheduler has sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingRequest {
    pub(crate) number: u32,
    pub(crate) term: Term,
    /// When it was sent. The lease counts from then, not from when the grants arrive, so that it
    /// ends before they do.
    pub(crate) sent_at: Millis,
    pub(crate) granted_by: Vec<SchedulerNumber>,
}

/// A scheduler has just released the role: until this time the others come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Handover {
    pub(crate) previous_holder: SchedulerNumber,
    pub(crate) until: Millis,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct RoleStats {
    /// Terms that began on this scheduler.
    pub terms: u64,
    /// How often a lease was renewed.
    pub renewals: u64,
    /// How often what this scheduler acted on rejected its term.
    pub fenced: u64,
    /// Milliseconds in which this scheduler knew of no lease holder.
    pub vacant_ms: u64,
}

/// One role.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Role {
    /// Its name.
    pub name: String,
    pub(crate) name_hash: u32,
    pub(crate) acceptor: Acceptor,
    pub(crate) held: Option<HeldLease>,
    pub(crate) pending: Option<PendingRequest>,
    /// The role is not requested before.
    pub(crate) not_before: Millis,
    /// Since when no scheduler has held the role, as far as this one knows.
    pub(crate) vacant_since: Option<Millis>,
    pub(crate) handover: Option<Handover>,
}

impl Role {
    /// A role that no scheduler is known to hold.
    pub(crate) fn new(name: &str, now: Millis, grant_duration: Millis) -> Self {
        Role {
            name: name.to_owned(),
            name_hash: xxh3_64(name.as_bytes()) as u32,
            acceptor: Acceptor::new(now, grant_duration),
            held: None,
            pending: None,
            not_before: 0,
            vacant_since: Some(now),
            handover: None,
        }
    }

    /// Whether this scheduler has a lease of the role, expired or not.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    pub(crate) fn delay_requests(&mut self, until: Millis) {
        self.not_before = self.not_before.max(until);
    }

    pub(crate) fn allow_requests(&mut self, from: Millis) {
        self.not_before = self.not_before.min(from);
    }

    /// The scheduler that released the role so recently that others come first.
    pub(crate) fn previous_holder(&self, now: Millis) -> Option<SchedulerNumber> {
        self.handover.filter(|handover| now < handover.until).map(|handover| handover.previous_holder)
    }
}
