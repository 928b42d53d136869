//! The key space: digests depend only on its content, and chunks make a replica equal to another.
use quickcheck::quickcheck;
use spanlead_replication::{Change, Keyspace, LEAF_COUNT, LeafChunk};
use std::collections::BTreeMap;

type Entries = BTreeMap<Vec<u8>, Vec<u8>>;

fn set(key: &[u8], value: &[u8]) -> Change {
    Change { key: key.to_vec(), value: Some(value.to_vec()) }
}

fn keyspace_of<'a>(entries: impl Iterator<Item = (&'a Vec<u8>, &'a Vec<u8>)>) -> Keyspace {
    let mut keyspace = Keyspace::default();
    entries.for_each(|(key, value)| keyspace.apply(&set(key, value)));
    keyspace
}

fn content(keyspace: &Keyspace) -> Vec<(&[u8], &[u8])> {
    keyspace.iter().collect()
}

/// All chunks of a leaf. A chunk with more than one entry has at most `limit_bytes`.
fn chunks_of_leaf(keyspace: &Keyspace, leaf: u16, limit_bytes: usize) -> Vec<LeafChunk> {
    let mut chunks = Vec::new();
    let mut after: Option<Vec<u8>> = None;
    loop {
        let chunk = keyspace.leaf_chunk(leaf, after.as_deref(), limit_bytes);
        let is_last = chunk.is_last;
        after = chunk.entries.last().map(|entry| entry.key.clone());
        chunks.push(chunk);
        if is_last {
            return chunks;
        }
    }
}

/// Makes a replica equal to `source` with the chunks of all leaves of `source`.
fn repair(replica: &mut Keyspace, source: &Keyspace, limit_bytes: usize) {
    for leaf in 0..LEAF_COUNT as u16 {
        for chunk in chunks_of_leaf(source, leaf, limit_bytes) {
            let changes = replica.changes_to_match(&chunk);
            changes.iter().for_each(|change| replica.apply(change));
        }
    }
}

quickcheck! {
    fn digests_do_not_depend_on_the_order_of_changes(entries: Entries) -> bool {
        let forwards = keyspace_of(entries.iter());
        let backwards = keyspace_of(entries.iter().rev());
        forwards.range_digests() == backwards.range_digests()
    }

    fn removing_a_key_restores_the_digests(entries: Entries, key: Vec<u8>, value: Vec<u8>) -> bool {
        let mut entries = entries;
        entries.remove(&key);
        let mut keyspace = keyspace_of(entries.iter());
        let digests = keyspace.range_digests();
        keyspace.apply(&set(&key, &value));
        let is_changed = keyspace.range_digests() != digests;
        keyspace.apply(&Change { key, value: None });
        is_changed && keyspace.range_digests() == digests
    }

    fn all_chunks_of_a_key_space_make_a_replica_equal_to_it(
        source: Entries,
        replica: Entries,
        limit_bytes: u8
    ) -> bool {
        let source = keyspace_of(source.iter());
        let mut replica = keyspace_of(replica.iter());
        repair(&mut replica, &source, usize::from(limit_bytes));
        content(&replica) == content(&source) && replica.range_digests() == source.range_digests()
    }
}

#[test]
fn a_chunk_exceeds_the_size_limit_only_with_a_single_entry() {
    const LIMIT_BYTES: usize = 64;
    let mut keyspace = Keyspace::default();
    for number in 0..20_000_u32 {
        keyspace.apply(&set(&number.to_le_bytes(), &[1; 12]));
    }
    keyspace.apply(&set(b"large", &[1; 1_000]));

    for leaf in 0..LEAF_COUNT as u16 {
        for chunk in chunks_of_leaf(&keyspace, leaf, LIMIT_BYTES) {
            let size_bytes = chunk.size_bytes();
            assert!(
                size_bytes <= LIMIT_BYTES || chunk.entries.len() == 1,
                "chunk of {size_bytes} bytes in leaf {leaf}, expected at most {LIMIT_BYTES}"
            );
        }
    }
}
