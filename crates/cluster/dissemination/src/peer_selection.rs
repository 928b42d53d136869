//! Peer selection by rendezvous hashing, which needs no coordinator.
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of peers that a process selects.
pub const PEERS_PER_PROCESS: usize = 3;

/// Returns the `count` processes among `candidates`, other than `process`, that have the highest
/// weights for `process`. A process that joins or leaves changes few selections.
#[must_use]
pub fn select_peers<'a>(
    process: &str,
    candidates: impl Iterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let seed = xxh3_64_with_seed(process.as_bytes(), 0);
    let weight = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
    let mut peers: Vec<&str> = candidates.filter(|candidate| *candidate != process).collect();
    peers.sort_by_key(|peer| Reverse((weight(peer), *peer)));
    peers.dedup();
    peers.truncate(count);
    peers
}
