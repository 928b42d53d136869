//! The settings of a replica.

/// The settings of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// The machine's name.
    pub node_name: String,
    /// The address at which other schedulers reach the machine.
    pub peer_address: String,
    /// The address at which operators reach the machine.
    pub operator_address: String,
    /// The peer addresses that are known at start.
    pub seeds: Vec<String>,
    /// Whether this is the first start of the whole system.
    pub bootstrap: bool,
    /// The number of machines that may be lost at once (f); a full view has 2f + 1 members.
    pub max_failures: usize,
    /// The duration of a lease, milliseconds.
    pub lease_ms: u64,
    /// The interval at which a primary sends heartbeats and so renews its lease, milliseconds.
    pub heartbeat_ms: u64,
    /// A random number from which the identity of a new data folder and the first session number
    /// are derived.
    pub random: u64,
}

impl ReplicaConfig {
    /// The lower bound on the size of every quorum and of the in-sync set: f + 1.
    ///
    /// With it, any two quorums share a member even if the first views have few members.
    pub(crate) fn min_quorum(&self) -> usize {
        self.max_failures + 1
    }

    /// The number of members that a view should have: 2f + 1.
    pub(crate) fn full_member_count(&self) -> usize {
        2 * self.max_failures + 1
    }
}
