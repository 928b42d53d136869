//! The settings of a replica.

/// How a replica is set up.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// The machine's name.
    pub node_name: String,
    /// The address at which other schedulers reach it.
    pub peer_address: String,
    /// The address at which operators reach it.
    pub operator_address: String,
    /// Peer addresses that are known from the start.
    pub seeds: Vec<String>,
    /// Whether this is the first start of the whole system.
    pub bootstrap: bool,
    /// The number of machines that may be lost at once (f); there are 2f + 1 members.
    pub max_failures: usize,
    /// How long a lease lasts, milliseconds.
    pub lease_ms: u64,
    /// How often a primary renews its lease, milliseconds.
    pub heartbeat_ms: u64,
    /// A random number, for the identity of a new folder and the numbers of sessions.
    pub random: u64,
}

impl ReplicaConfig {
    /// The fewest votes that decide anything, and the fewest replicas that a primary needs in sync:
    /// f + 1.
    ///
    /// Any two quorums then share a member, however few members the first views have.
    pub(crate) fn min_quorum(&self) -> usize {
        self.max_failures + 1
    }

    /// The number of members that a view should have: 2f + 1.
    pub(crate) fn full_member_count(&self) -> usize {
        2 * self.max_failures + 1
    }
}
