//! A replica of the key space in memory, and the chunks of it that repair transfers.
use crate::digest::{LEAF_COUNT, RANGE_COUNT, entry_digest, first_leaf_of, leaf_of, range_digest};
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Bound;

/// A key's new value.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: Vec<u8>,
    /// Its value; `None` removes the key.
    pub value: Option<Vec<u8>>,
}

impl Change {
    /// The size of key and value, bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

/// A key with its value, as repair transfers it.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct LeafEntry {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
}

/// The entries of one leaf in a range of its keys, in order. Repair transfers such chunks, so that
/// no message is large.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct LeafChunk {
    /// The leaf's number.
    pub leaf: u16,
    /// The range begins after this key; `None` for the leaf's first key.
    pub after: Option<Vec<u8>>,
    /// Whether the range reaches to the leaf's end; if not, it ends with the last entry.
    pub is_last: bool,
    /// The range's keys with their values.
    pub entries: Vec<LeafEntry>,
}

impl LeafChunk {
    /// Whether a key of the same leaf lies in this chunk's range.
    fn covers(&self, key: &[u8]) -> bool {
        let is_before = self.after.as_deref().is_some_and(|after| key <= after);
        let is_behind = !self.is_last && self.entries.last().is_none_or(|last| key > last.key.as_slice());
        !is_before && !is_behind
    }

    /// The size of its entries, bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.entries.iter().map(|entry| entry.key.len() + entry.value.len()).sum()
    }

    /// The last key of a chunk that ends before its leaf does: the next chunk begins after it.
    pub(crate) fn continuation(&self) -> Option<Vec<u8>> {
        let last = self.entries.last().filter(|_| !self.is_last)?;
        Some(last.key.clone())
    }
}

/// The place of an entry: keys are kept by leaf, so that a leaf's entries lie together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EntryKey {
    leaf: u16,
    key: Vec<u8>,
}

impl EntryKey {
    fn new(key: &[u8]) -> Self {
        EntryKey { leaf: leaf_of(key), key: key.to_vec() }
    }

    /// A place before all entries of a leaf, or that of its empty key.
    fn first_of(leaf: u16) -> Self {
        EntryKey { leaf, key: Vec::new() }
    }
}

/// A replica of the key space in memory, with the digests of its leaves.
///
/// Invariant: each leaf's digest is that of its entries, since [`Keyspace::apply`] is the only way
/// to change them.
#[derive(Clone, Debug)]
pub struct Keyspace {
    entries: BTreeMap<EntryKey, Vec<u8>>,
    leaf_digests: Vec<u64>,
}

impl Default for Keyspace {
    fn default() -> Self {
        Keyspace { entries: BTreeMap::new(), leaf_digests: vec![0; LEAF_COUNT] }
    }
}

impl Keyspace {
    /// Applies one change.
    pub fn apply(&mut self, change: &Change) {
        let entry_key = EntryKey::new(&change.key);
        let digest = &mut self.leaf_digests[entry_key.leaf as usize];
        let replaced = match &change.value {
            Some(value) => self.entries.insert(entry_key, value.clone()),
            None => self.entries.remove(&entry_key),
        };
        if let Some(value) = replaced {
            *digest ^= entry_digest(&change.key, &value);
        }
        if let Some(value) = &change.value {
            *digest ^= entry_digest(&change.key, value);
        }
    }

    /// Applies changes in order.
    pub(crate) fn apply_all(&mut self, changes: &[Change]) {
        changes.iter().for_each(|change| self.apply(change));
    }

    /// A key's value.
    #[must_use]
    pub fn get(&self, key: &[u8]) -> Option<&[u8]> {
        self.entries.get(&EntryKey::new(key)).map(Vec::as_slice)
    }

    /// All keys and values, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.entries.iter().map(|(place, value)| (place.key.as_slice(), value.as_slice()))
    }

    /// The number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The digest of each range.
    #[must_use]
    pub fn range_digests(&self) -> Vec<u64> {
        (0..RANGE_COUNT).map(|range| range_digest(self.leaf_digests(range as u16))).collect()
    }

    /// The digests of a range's leaves; none for a range that does not exist.
    #[must_use]
    pub fn leaf_digests(&self, range: u16) -> &[u64] {
        if usize::from(range) >= RANGE_COUNT {
            return &[];
        }
        let first = usize::from(first_leaf_of(range));
        &self.leaf_digests[first..first + RANGE_COUNT]
    }

    /// The entries of a leaf after a key: as many as fit into `limit_bytes`, but at least one.
    #[must_use]
    pub fn leaf_chunk(&self, leaf: u16, after: Option<&[u8]>, limit_bytes: usize) -> LeafChunk {
        let start = match after {
            Some(key) => Bound::Excluded(EntryKey { leaf, key: key.to_vec() }),
            None => Bound::Included(EntryKey::first_of(leaf)),
        };
        let mut chunk =
            LeafChunk { leaf, after: after.map(<[u8]>::to_vec), is_last: true, entries: Vec::new() };
        let mut size_bytes = 0;
        for (place, value) in self.entries.range((start, Bound::Unbounded)) {
            if place.leaf != leaf {
                break;
            }
            size_bytes += place.key.len() + value.len();
            if size_bytes > limit_bytes && !chunk.entries.is_empty() {
                chunk.is_last = false;
                break;
            }
            chunk.entries.push(LeafEntry { key: place.key.clone(), value: value.clone() });
        }
        chunk
    }

    /// The changes that make this replica equal to a chunk in the chunk's range: removals, then new
    /// values.
    #[must_use]
    pub fn changes_to_match(&self, chunk: &LeafChunk) -> Vec<Change> {
        let wanted: BTreeMap<&[u8], &[u8]> =
            chunk.entries.iter().map(|entry| (entry.key.as_slice(), entry.value.as_slice())).collect();
        let present = self.entries.range(EntryKey::first_of(chunk.leaf)..);
        let removed = present
            .take_while(|(place, _)| place.leaf == chunk.leaf)
            .map(|(place, _)| &place.key)
            .filter(|key| chunk.covers(key) && !wanted.contains_key(key.as_slice()))
            .map(|key| Change { key: key.clone(), value: None });
        let changed = wanted
            .iter()
            .filter(|(key, value)| leaf_of(key) == chunk.leaf && self.get(key) != Some(value))
            .map(|(key, value)| Change { key: key.to_vec(), value: Some(value.to_vec()) });
        removed.chain(changed).collect()
    }
}
