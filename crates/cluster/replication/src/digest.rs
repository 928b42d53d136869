//! Digests of the key space, by which two replicas find cheaply where they differ.
//!
//! Keys are hashed into [`LEAF_COUNT`] leaves, and every [`RANGE_COUNT`] successive leaves form a
//! range. The digest of a leaf combines its entries in any order, so a change updates it without
//! reading the leaf's other entries.
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The number of ranges of the hashed key space: the upper level of digests. A range has as many
/// leaves.
pub const RANGE_COUNT: usize = 32;
/// The number of leaves in all: the lower level of digests, and the unit of repair.
pub const LEAF_COUNT: usize = RANGE_COUNT * RANGE_COUNT;

/// The seed that keeps the hash of a key as an entry apart from the one that chooses its leaf.
const ENTRY_SEED: u64 = 1;

/// The leaf of a key.
pub(crate) fn leaf_of(key: &[u8]) -> u16 {
    (xxh3_64(key) % LEAF_COUNT as u64) as u16
}

/// The digest of an entry. A leaf's digest is the exclusive or of those of its entries.
pub(crate) fn entry_digest(key: &[u8], value: &[u8]) -> u64 {
    xxh3_64_with_seed(value, xxh3_64_with_seed(key, ENTRY_SEED))
}

/// The digest of a range whose leaves have these digests.
pub(crate) fn range_digest(leaves: &[u64]) -> u64 {
    let bytes: Vec<u8> = leaves.iter().flat_map(|digest| digest.to_le_bytes()).collect();
    xxh3_64(&bytes)
}

/// The number of a range's first leaf.
pub(crate) fn first_leaf_of(range: u16) -> u16 {
    range * RANGE_COUNT as u16
}
