//! Digests of the key space, with which two replicas find their differences cheaply.
//!
//! Keys are hashed into [`LEAF_COUNT`] leaves, and every [`RANGE_COUNT`] successive leaves form a
//! range. The digest of a leaf does not depend on the order of its entries, so a change updates it
//! without reading the leaf's other entries.
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The number of ranges of the hashed key space, the upper level of digests; also the number of
/// leaves in each range.
pub const RANGE_COUNT: usize = 32;
/// The total number of leaves, the lower level of digests. A leaf is the unit of repair.
pub const LEAF_COUNT: usize = RANGE_COUNT * RANGE_COUNT;

/// The seed of the key's hash in an entry's digest, which makes it independent of the hash that
/// selects the key's leaf.
const ENTRY_SEED: u64 = 1;

/// Returns the number of a key's leaf.
pub(crate) fn leaf_of(key: &[u8]) -> u16 {
    (xxh3_64(key) % LEAF_COUNT as u64) as u16
}

/// Returns the digest of an entry. A leaf's digest is the XOR of the digests of its entries.
pub(crate) fn entry_digest(key: &[u8], value: &[u8]) -> u64 {
    xxh3_64_with_seed(value, xxh3_64_with_seed(key, ENTRY_SEED))
}

/// Returns the digest of a range from the digests of its leaves.
pub(crate) fn range_digest(leaves: &[u64]) -> u64 {
    let bytes: Vec<u8> = leaves.iter().flat_map(|digest| digest.to_le_bytes()).collect();
    xxh3_64(&bytes)
}

/// Returns the number of a range's first leaf.
pub(crate) fn first_leaf_of(range: u16) -> u16 {
    range * RANGE_COUNT as u16
}
