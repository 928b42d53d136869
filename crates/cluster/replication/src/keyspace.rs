//! An in-memory replica of the key space, and the chunks in which repair transfers it.
use crate::digest::{LEAF_COUNT, RANGE_COUNT, entry_digest, first_leaf_of, leaf_of, range_digest};
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Bound;

/// A write or a removal of one key.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: Vec<u8>,
    /// The new value; `None` removes the key.
    pub value: Option<Vec<u8>>,
}

impl Change {
    /// The size of the key and the value, bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

/// A key and its value in a [`LeafChunk`].
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct LeafEntry {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
}

/// The entries of one leaf within a range of its keys, in key order. Repair transfers leaves in
/// chunks to bound the size of a message.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct LeafChunk {
    /// The leaf's number.
    pub leaf: u16,
    /// The key after which the range starts; `None` if it starts with the leaf's first key.
    pub after: Option<Vec<u8>>,
    /// Whether the range extends to the end of the leaf; otherwise it ends with the last entry.
    pub is_last: bool,
    /// The entries in the range.
    pub entries: Vec<LeafEntry>,
}

impl LeafChunk {
    /// Whether a key of the same leaf is in this chunk's range.
    fn covers(&self, key: &[u8]) -> bool {
        let is_before_start = self.after.as_deref().is_some_and(|after| key <= after);
        let is_past_end = !self.is_last && self.entries.last().is_none_or(|last| key > last.key.as_slice());
        !is_before_start && !is_past_end
    }

    /// The total size of the keys and values, bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.entries.iter().map(|entry| entry.key.len() + entry.value.len()).sum()
    }

    /// The key after which the leaf's next chunk starts; `None` if this chunk is the leaf's last.
    pub(crate) fn continuation(&self) -> Option<Vec<u8>> {
        let last = self.entries.last().filter(|_| !self.is_last)?;
        Some(last.key.clone())
    }
}

/// The sort key of an entry: by leaf first, so that the entries of a leaf are adjacent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EntryKey {
    leaf: u16,
    key: Vec<u8>,
}

impl EntryKey {
    fn new(key: &[u8]) -> Self {
        EntryKey { leaf: leaf_of(key), key: key.to_vec() }
    }

    /// The lower bound of the keys of a leaf: that of the empty key.
    fn start_of(leaf: u16) -> Self {
        EntryKey { leaf, key: Vec::new() }
    }
}

/// An in-memory replica of the key space, with the digests of its leaves.
///
/// Invariant: each leaf's digest matches its entries, since only [`Keyspace::apply`] changes
/// either.
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

    /// Applies changes in the given order.
    pub(crate) fn apply_all(&mut self, changes: &[Change]) {
        changes.iter().for_each(|change| self.apply(change));
    }

    /// The value of a key.
    #[must_use]
    pub fn get(&self, key: &[u8]) -> Option<&[u8]> {
        self.entries.get(&EntryKey::new(key)).map(Vec::as_slice)
    }

    /// Iterates over all keys and values, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.entries.iter().map(|(entry, value)| (entry.key.as_slice(), value.as_slice()))
    }

    /// The number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the key space has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The digest of each range.
    #[must_use]
    pub fn range_digests(&self) -> Vec<u64> {
        (0..RANGE_COUNT).map(|range| range_digest(self.leaf_digests(range as u16))).collect()
    }

    /// The digests of a range's leaves; empty if there is no such range.
    #[must_use]
    pub fn leaf_digests(&self, range: u16) -> &[u64] {
        if usize::from(range) >= RANGE_COUNT {
            return &[];
        }
        let first = usize::from(first_leaf_of(range));
        &self.leaf_digests[first..first + RANGE_COUNT]
    }

    /// Returns the entries of a leaf after a key: as many as fit into `limit_bytes`, but at least
    /// one.
    #[must_use]
    pub fn leaf_chunk(&self, leaf: u16, after: Option<&[u8]>, limit_bytes: usize) -> LeafChunk {
        let start = match after {
            Some(key) => Bound::Excluded(EntryKey { leaf, key: key.to_vec() }),
            None => Bound::Included(EntryKey::start_of(leaf)),
        };
        let mut chunk =
            LeafChunk { leaf, after: after.map(<[u8]>::to_vec), is_last: true, entries: Vec::new() };
        let mut size_bytes = 0;
        for (entry, value) in self.entries.range((start, Bound::Unbounded)) {
            if entry.leaf != leaf {
                break;
            }
            size_bytes += entry.key.len() + value.len();
            if size_bytes > limit_bytes && !chunk.entries.is_empty() {
                chunk.is_last = false;
                break;
            }
            chunk.entries.push(LeafEntry { key: entry.key.clone(), value: value.clone() });
        }
        chunk
    }

    /// Returns the changes that make this replica equal to a chunk within the chunk's range: first
    /// the removals, then the new values.
    #[must_use]
    pub fn changes_to_match(&self, chunk: &LeafChunk) -> Vec<Change> {
        let wanted: BTreeMap<&[u8], &[u8]> =
            chunk.entries.iter().map(|entry| (entry.key.as_slice(), entry.value.as_slice())).collect();
        let present = self.entries.range(EntryKey::start_of(chunk.leaf)..);
        let removed = present
            .take_while(|(entry, _)| entry.leaf == chunk.leaf)
            .map(|(entry, _)| &entry.key)
            .filter(|key| chunk.covers(key) && !wanted.contains_key(key.as_slice()))
            .map(|key| Change { key: key.clone(), value: None });
        let changed = wanted
            .iter()
            .filter(|(key, value)| leaf_of(key) == chunk.leaf && self.get(key) != Some(value))
            .map(|(key, value)| Change { key: key.to_vec(), value: Some(value.to_vec()) });
        removed.chain(changed).collect()
    }
}
