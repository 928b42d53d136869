//! How a scheduler takes part.
use crate::quorum::{QuorumConfig, SchedulerNumber};
use crate::time::Millis;

/// How a scheduler takes part in holding and granting roles.
#[derive(Clone, Debug)]
pub struct RoleConfig {
    /// This scheduler's number.
    pub own_number: SchedulerNumber,
    /// Whose majorities grant leases.
    pub quorum: QuorumConfig,
    /// How long a lease lasts, from when it was requested.
    pub lease_duration: Millis,
    /// By how much a grant outlasts the lease: the most by which two clocks drift apart within a
    /// lease.
    pub clock_drift_bound: Millis,
    /// How long a reply may take.
    pub reply_timeout: Millis,
    /// Seed of the choice of when to request again.
    pub seed: u64,
}

impl RoleConfig {
    /// How long an acceptor's grant lasts. It must outlast the lease by the holder's clock, or two
    /// could hold a role.
    pub(crate) fn grant_duration(&self) -> Millis {
        self.lease_duration + self.clock_drift_bound
    }

    /// All other schedulers.
    pub(crate) fn others(&self) -> impl Iterator<Item = SchedulerNumber> + use<> {
        let own_number = self.own_number;
        (0..self.quorum.schedulers).filter(move |number| *number != own_number)
    }
}
