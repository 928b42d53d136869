//! Keys and values with digests of ranges, by which two copies find out cheaply where they differ.
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Bound;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Ranges of the hashed key space: the upper level of digests.
pub const RANGES: usize = 32;
/// Leaves in all: the lower level of digests, and the unit of repair.
pub const LEAVES: usize = RANGES * RANGES;

/// A key's new value.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: Vec<u8>,
    /// Its value; `None` takes the key away.
    pub value: Option<Vec<u8>>,
}

impl Change {
    /// The size of key and value, bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

/// The entries of a leaf in a range of its keys, in order. A repair is cut into such pieces, so that none is large.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The leaf's number.
    pub leaf: u16,
    /// The range begins after this key; `None` for the leaf's first key.
    pub after: Option<Vec<u8>>,
    /// Whether the range reaches to the leaf's end; else it ends with the last entry.
    pub last: bool,
    /// The range's keys with their values.
    pub entries: Vec<(Vec<u8>, Vec<u8>)>,
}

impl Part {
    /// Whether a key of the same leaf lies in this range.
    fn covers(&self, key: &[u8]) -> bool {
        let begun = self.after.as_deref().is_none_or(|after| key > after);
        let ended = !self.last && self.entries.last().is_none_or(|(last, _)| key > last.as_slice());
        begun && !ended
    }

    /// The size of its entries, bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.entries.iter().map(|(key, value)| key.len() + value.len()).sum()
    }
}

/// A copy of the key space in memory.
#[derive(Clone, Debug)]
pub struct Keyspace {
    entries: BTreeMap<(u16, Vec<u8>), Vec<u8>>,
    leaves: Vec<u64>,
}

impl Default for Keyspace {
    fn default() -> Self {
        Keyspace { entries: BTreeMap::new(), leaves: vec![0; LEAVES] }
    }
}

impl Keyspace {
    /// Makes one change.
    pub fn apply(&mut self, change: &Change) {
        let leaf = leaf_of(&change.key);
        let place = (leaf, change.key.clone());
        let before = match &change.value {
            Some(value) => self.entries.insert(place, value.clone()),
            None => self.entries.remove(&place),
        };
        let digest = &mut self.leaves[leaf as usize];
        if let Some(value) = before {
            *digest ^= entry_digest(&change.key, &value);
        }
        if let Some(value) = &change.value {
            *digest ^= entry_digest(&change.key, value);
        }
    }

    /// A key's value.
    #[must_use]
    pub fn get(&self, key: &[u8]) -> Option<&[u8]> {
        self.entries.get(&(leaf_of(key), key.to_vec())).map(Vec::as_slice)
    }

    /// All keys and values, in no order of use.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.entries.iter().map(|((_, key), value)| (key.as_slice(), value.as_slice()))
    }

    /// How many keys there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// A digest for each range.
    #[must_use]
    pub fn roots(&self) -> Vec<u64> {
        (0..RANGES).map(|range| root_of(self.leaf_digests(range as u16))).collect()
    }

    /// The digests of a range's leaves.
    #[must_use]
    pub fn leaf_digests(&self, range: u16) -> &[u64] {
        let first = usize::from(range) * RANGES;
        self.leaves.get(first..first + RANGES).unwrap_or(&[])
    }

    /// The entries of a leaf after a key, as many as fit into `limit` bytes but at least one.
    #[must_use]
    pub fn part(&self, leaf: u16, after: Option<&[u8]>, limit: usize) -> Part {
        let from = match after {
            Some(key) => Bound::Excluded((leaf, key.to_vec())),
            None => Bound::Included((leaf, Vec::new())),
        };
        let mut part = Part { leaf, after: after.map(<[u8]>::to_vec), last: true, entries: Vec::new() };
        let mut bytes = 0;
        for ((at, key), value) in self.entries.range((from, Bound::Unbounded)) {
            if *at != leaf {
                break;
            }
            bytes += key.len() + value.len();
            if bytes > limit && !part.entries.is_empty() {
                part.last = false;
                break;
            }
            part.entries.push((key.clone(), value.clone()));
        }
        part
    }

    /// The changes that make this copy equal to the part in the part's range.
    #[must_use]
    pub fn difference(&self, part: &Part) -> Vec<Change> {
        let wanted: BTreeMap<&[u8], &[u8]> =
            part.entries.iter().map(|(key, value)| (key.as_slice(), value.as_slice())).collect();
        let held = self.entries.range((part.leaf, Vec::new())..).take_while(|((at, _), _)| *at == part.leaf);
        let gone = held.filter(|((_, key), _)| part.covers(key) && !wanted.contains_key(key.as_slice()));
        let mut changes: Vec<Change> =
            gone.map(|((_, key), _)| Change { key: key.clone(), value: None }).collect();
        let other =
            wanted.iter().filter(|(key, value)| leaf_of(key) == part.leaf && self.get(key) != Some(value));
        changes.extend(other.map(|(key, value)| Change { key: key.to_vec(), value: Some(value.to_vec()) }));
        changes
    }
}

/// The digest of a range whose leaves have these.
pub(crate) fn root_of(leaves: &[u64]) -> u64 {
    let bytes: Vec<u8> = leaves.iter().flat_map(|digest| digest.to_le_bytes()).collect();
    xxh3_64(&bytes)
}

fn leaf_of(key: &[u8]) -> u16 {
    (xxh3_64(key) % LEAVES as u64) as u16
}

fn entry_digest(key: &[u8], value: &[u8]) -> u64 {
    xxh3_64_with_seed(value, xxh3_64_with_seed(key, 1))
}
