//! The configuration of a scheduler's membership.
use crate::member::{Incarnation, MemberNumber};

/// The configuration with which a scheduler takes part in the membership.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// This scheduler's member number.
    pub own_number: MemberNumber,
    /// The number of configured schedulers.
    pub member_count: u16,
    /// The identifier of the tier. Datagrams of another tier are dropped.
    pub tier_id: [u8; 4],
    /// This scheduler's name.
    pub name: String,
    /// The version of this scheduler's program.
    pub version: String,
    /// The incarnation of this process. It should be higher than those of this scheduler's earlier
    /// processes; if it is not, the scheduler takes a higher one when it learns of them.
    pub incarnation: Incarnation,
    /// The number of members to which heartbeats are sent in each period.
    pub fanout: u16,
    /// The share of lost datagrams, 0 to 1, up to which a live member must not be declared dead.
    pub tolerated_loss: f64,
    /// The seed of the random choice of receivers and of the heartbeats in a datagram.
    pub seed: u64,
}
