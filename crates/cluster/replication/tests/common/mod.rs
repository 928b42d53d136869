//! A simulated cluster: machines, disks and a network in memory, driven by a seed, one millisecond
//! a step. The rules of [`rules`] are checked after every step.
#![allow(dead_code, reason = "each test file uses a part of it")]
pub mod cluster;
pub mod machine;
pub mod network;
pub mod rules;

#[allow(unused_imports, reason = "each test file uses a part of it")]
pub use cluster::SimulatedCluster;

/// How long a lease lasts in these runs, milliseconds.
pub const LEASE_MS: u64 = 500;
/// How often it is renewed, milliseconds.
pub const HEARTBEAT_MS: u64 = 100;

/// A number from the environment, for longer runs of a test.
pub fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}
