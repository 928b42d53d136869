//! A deterministic simulation of a cluster: machines, disks and a network in memory, driven by a
//! seed in steps of one millisecond. The invariants of [`rules`] are checked after every step.
#![allow(dead_code, reason = "each test file uses only a part of this module")]
pub mod cluster;
pub mod machine;
pub mod network;
pub mod rules;

#[allow(unused_imports, reason = "each test file uses only a part of this module")]
pub use cluster::SimulatedCluster;

/// The duration of a lease in the simulation, milliseconds.
pub const LEASE_MS: u64 = 500;
/// The interval at which a lease is renewed, milliseconds.
pub const HEARTBEAT_MS: u64 = 100;

/// Reads a number from an environment variable, which allows longer runs of a test. Returns
/// `default` if the variable is not set or not a number.
pub fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}
