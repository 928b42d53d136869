//! Rendezvous hashing: who is whose peer, without anybody who decides it.
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How many peers a process selects.
pub const PEERS_PER_PROCESS: usize = 3;

/// The `count` processes among `candidates` with the highest weights for `process`. One that joins
/// or leaves changes few selections.
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
