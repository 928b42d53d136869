//! How a scheduler takes part in the membership.
use crate::member::{Incarnation, MemberNumber};

/// How this scheduler takes part in the membership.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// This scheduler's number.
    pub own_number: MemberNumber,
    /// How many schedulers are configured.
    pub member_count: u16,
    /// Tells tiers apart: datagrams of another tier are dropped.
    pub tier_id: [u8; 4],
    /// This scheduler's name.
    pub name: String,
    /// The version of this scheduler's program.
    pub version: String,
    /// Higher than the incarnations of earlier starts, as far as this scheduler knows.
    pub incarnation: Incarnation,
    /// To how many members heartbeats are sent in each period.
    pub fanout: u16,
    /// The share of datagrams, 0 to 1, whose loss must not make a live member appear dead.
    pub tolerated_loss: f64,
    /// Seed of the random choice of whom to send to.
    pub seed: u64,
}
