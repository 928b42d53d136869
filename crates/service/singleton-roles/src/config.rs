//! The configuration of a scheduler's part in the lease protocol.
use crate::quorum::{QuorumConfig, SchedulerNumber};
use crate::time::Millis;

/// The configuration with which a scheduler grants and holds leases on roles.
#[derive(Clone, Debug)]
pub struct RoleConfig {
    /// This scheduler's number.
    pub own_number: SchedulerNumber,
    /// The sets of schedulers whose majorities grant leases.
    pub quorum: QuorumConfig,
    /// The duration of a lease, counted from the time of the request.
    pub lease_duration: Millis,
    /// The maximum drift between the clocks of two schedulers during a lease. A grant outlasts the
    /// lease by this time.
    pub clock_drift_bound: Millis,
    /// The time for which a scheduler waits for the replies to a request.
    pub reply_timeout: Millis,
    /// The seed of the random delays before a failed request is repeated.
    pub seed: u64,
}

impl RoleConfig {
    /// The duration of an acceptor's grant. The grant must outlast the lease as measured by the
    /// holder's clock, or two schedulers could hold a role.
    pub(crate) fn grant_duration(&self) -> Millis {
        self.lease_duration + self.clock_drift_bound
    }

    /// The numbers of all other configured schedulers.
    pub(crate) fn other_schedulers(&self) -> impl Iterator<Item = SchedulerNumber> + use<> {
        let own_number = self.own_number;
        (0..self.quorum.schedulers).filter(move |number| *number != own_number)
    }
}
