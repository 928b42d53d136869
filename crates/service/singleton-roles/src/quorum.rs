//! Whose grants make a majority.
use serde::{Deserialize, Serialize};

/// The number of a scheduler in its tier: its position among the configured schedulers, from 0.
pub type SchedulerNumber = u16;

/// The schedulers whose majorities grant leases: those with the first numbers. While the set is
/// changed, majorities of both sets (joint consensus: Ongaro, "Consensus: Bridging Theory and
/// Practice", 2014, 4.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Deserialize, Serialize)]
pub struct QuorumConfig {
    /// How many schedulers are configured.
    pub schedulers: u16,
    /// While the set is changed: the size of the set that it is changed from, or to. Else 0.
    pub joint_schedulers: u16,
}

impl QuorumConfig {
    /// One set of this size.
    pub fn of(schedulers: u16) -> Self {
        QuorumConfig { schedulers, joint_schedulers: 0 }
    }

    /// The sizes of the set, or of both sets while it is changed.
    fn set_sizes(self) -> impl Iterator<Item = u16> {
        [self.schedulers, self.joint_schedulers].into_iter().filter(|size| *size > 0)
    }

    /// Whether the schedulers that granted are a majority of each set.
    pub fn has_majority(self, granted_by: &[SchedulerNumber]) -> bool {
        self.set_sizes().all(|size| {
            let granted = granted_by.iter().filter(|number| **number < size).count();
            granted > usize::from(size / 2)
        })
    }

    /// Whether each majority by this configuration has a scheduler in common with each majority by
    /// the other. They do if a set is in both.
    pub fn intersects(self, other: QuorumConfig) -> bool {
        self.set_sizes().any(|size| other.set_sizes().any(|other_size| size == other_size))
    }
}
