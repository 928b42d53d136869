//! The sets of schedulers whose majorities grant leases.
use serde::{Deserialize, Serialize};

/// The number of a scheduler in its tier: its position among the configured schedulers, from 0.
pub type SchedulerNumber = u16;

/// The set of schedulers whose majorities grant leases: those with the lowest numbers. While the
/// set is being changed, a lease takes a majority of the old set and of the new one (joint
/// consensus: Ongaro, "Consensus: Bridging Theory and Practice", 2014, 4.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Deserialize, Serialize)]
pub struct QuorumConfig {
    /// The number of configured schedulers.
    pub schedulers: u16,
    /// The size of the other set, old or new, while the set is being changed; otherwise 0.
    pub joint_schedulers: u16,
}

impl QuorumConfig {
    /// A configuration with a single set of this size.
    pub fn single(schedulers: u16) -> Self {
        QuorumConfig { schedulers, joint_schedulers: 0 }
    }

    /// The size of the set, or the sizes of both sets during a change.
    fn set_sizes(self) -> impl Iterator<Item = u16> {
        [self.schedulers, self.joint_schedulers].into_iter().filter(|size| *size > 0)
    }

    /// Whether the schedulers `granted_by` contain a majority of each set.
    pub fn has_majority(self, granted_by: &[SchedulerNumber]) -> bool {
        self.set_sizes().all(|size| {
            let granted = granted_by.iter().filter(|number| **number < size).count();
            granted > usize::from(size / 2)
        })
    }

    /// Whether each majority of this configuration shares a scheduler with each majority of the
    /// other. This is the case if the configurations have a set in common.
    pub fn intersects(self, other: QuorumConfig) -> bool {
        self.set_sizes().any(|size| other.set_sizes().any(|other_size| size == other_size))
    }
}
