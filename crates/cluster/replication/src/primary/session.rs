//! The primary's end of a replication session: what differs, the repair in chunks, then the
//! batches.
use crate::digest::{RANGE_COUNT, first_leaf_of, range_digest};
use crate::keyspace::{Change, Keyspace, LeafChunk};
use crate::message::{RangeLeafDigests, StreamItem};
use std::collections::VecDeque;

/// The size of a repair chunk, bytes.
const MAX_CHUNK_BYTES: usize = 64 * 1024;
/// Chunks that may be in flight to a backup.
const MAX_CHUNKS_IN_FLIGHT: usize = 4;
/// Bytes of batches that a backup may leave unacknowledged; beyond that the session ends. The
/// backup starts another, which goes on where this one was.
const MAX_UNACKNOWLEDGED_BYTES: usize = 4 << 20;
/// The same limit in batches.
const MAX_UNACKNOWLEDGED_BATCHES: usize = 2_048;

/// An item of the stream with its index.
#[derive(Clone, Debug)]
pub(crate) struct IndexedItem {
    pub(crate) index: u64,
    pub(crate) item: StreamItem,
}

/// How far a session is.
#[derive(Clone, Debug)]
enum Phase {
    /// The backup is asked for the digests of its leaves; these are the digests of its ranges.
    Comparing { range_digests: Vec<u64> },
    /// Leaves that differ are sent in chunks, the first of them from the key after this one on.
    Repairing { leaves: VecDeque<u16>, after: Option<Vec<u8>> },
    /// Batches follow as they are proposed.
    Streaming,
}

/// The size of a batch that is not acknowledged.
#[derive(Clone, Copy, Debug)]
struct UnacknowledgedBatch {
    sequence: u64,
    size_bytes: usize,
}

/// A backup's session as the primary sees it.
///
/// Invariant: items are numbered from 1 without gaps in the order in which they are made, chunks
/// and batches alike. A chunk shows its keys as they are at its index, so whatever order the
/// network keeps, the backup ends with the primary's state.
#[derive(Clone, Debug)]
pub(crate) struct PrimarySession {
    number: u64,
    acknowledged: Option<u64>,
    phase: Phase,
    last_index: u64,
    /// Indexes of the chunks in flight.
    chunks_in_flight: VecDeque<u64>,
    unacknowledged: VecDeque<UnacknowledgedBatch>,
    unacknowledged_bytes: usize,
}

impl PrimarySession {
    /// A session that begins, with the ranges that differ.
    pub(crate) fn begin(number: u64, range_digests: Vec<u64>, keyspace: &Keyspace) -> (Self, Vec<u16>) {
        let own_digests = keyspace.range_digests();
        let differs = |range: &u16| range_digests.get(*range as usize) != own_digests.get(*range as usize);
        let different_ranges: Vec<u16> = (0..RANGE_COUNT as u16).filter(differs).collect();
        let phase = if different_ranges.is_empty() {
            Phase::Repairing { leaves: VecDeque::new(), after: None }
        } else {
            Phase::Comparing { range_digests }
        };
        let session = PrimarySession {
            number,
            acknowledged: None,
            phase,
            last_index: 0,
            chunks_in_flight: VecDeque::new(),
            unacknowledged: VecDeque::new(),
            unacknowledged_bytes: 0,
        };
        (session, different_ranges)
    }

    /// The session's number, chosen by the backup.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// The last batch on the backup's disk; `None` before its repair is complete.
    pub(crate) fn acknowledged_sequence(&self) -> Option<u64> {
        self.acknowledged
    }

    /// The backup reports the digests of its leaves. What differs now by these, or by the digests
    /// of ranges that it did not report, is to be repaired.
    pub(crate) fn compare_leaves(&mut self, reported: &[RangeLeafDigests], keyspace: &Keyspace) {
        let Phase::Comparing { range_digests } = &self.phase else { return };
        let mut leaves: VecDeque<u16> = VecDeque::new();
        for range in 0..RANGE_COUNT as u16 {
            let own = keyspace.leaf_digests(range);
            let first = first_leaf_of(range);
            match reported.iter().find(|report| report.range == range) {
                Some(report) => {
                    let differs = |leaf: &usize| report.digests.get(*leaf) != own.get(*leaf);
                    leaves.extend((0..RANGE_COUNT).filter(differs).map(|leaf| first + leaf as u16));
                }
                None if range_digests.get(range as usize) != Some(&range_digest(own)) => {
                    leaves.extend(first..first + RANGE_COUNT as u16);
                }
                None => {}
            }
        }
        self.phase = Phase::Repairing { leaves, after: None };
    }

    /// The backup holds the chunk of this index, and with it all before.
    pub(crate) fn record_chunk_ack(&mut self, index: u64) {
        while self.chunks_in_flight.front().is_some_and(|sent| *sent <= index) {
            self.chunks_in_flight.pop_front();
        }
    }

    /// The items that may be sent now. A repair that ends now ends with the state after batch
    /// `sequence`.
    pub(crate) fn next_items(&mut self, keyspace: &Keyspace, sequence: u64) -> Vec<IndexedItem> {
        let mut items = Vec::new();
        while self.chunks_in_flight.len() < MAX_CHUNKS_IN_FLIGHT
            && let Phase::Repairing { leaves, after } = &mut self.phase
        {
            let chunks = next_chunks(leaves, after, keyspace);
            let index = self.next_index();
            if chunks.is_empty() {
                self.phase = Phase::Streaming;
                items.push(IndexedItem { index, item: StreamItem::RepairComplete { sequence } });
            } else {
                self.chunks_in_flight.push_back(index);
                items.push(IndexedItem { index, item: StreamItem::RepairChunk(chunks) });
            }
        }
        items
    }

    /// A batch as an item of the stream; `None` while the backup has not reported what it holds.
    pub(crate) fn batch_item(&mut self, sequence: u64, changes: &[Change]) -> Option<IndexedItem> {
        if matches!(self.phase, Phase::Comparing { .. }) {
            return None;
        }
        let size_bytes = changes.iter().map(Change::size_bytes).sum();
        self.unacknowledged.push_back(UnacknowledgedBatch { sequence, size_bytes });
        self.unacknowledged_bytes += size_bytes;
        let item = StreamItem::Batch { sequence, changes: changes.to_vec() };
        Some(IndexedItem { index: self.next_index(), item })
    }

    /// All batches up to this one are on the backup's disk.
    pub(crate) fn record_batch_ack(&mut self, sequence: u64) {
        self.acknowledged = self.acknowledged.max(Some(sequence));
        while let Some(oldest) = self.unacknowledged.front()
            && oldest.sequence <= sequence
        {
            self.unacknowledged_bytes -= oldest.size_bytes;
            self.unacknowledged.pop_front();
        }
    }

    /// Whether so much is in flight to the backup that the session must end.
    pub(crate) fn is_over_limit(&self) -> bool {
        self.unacknowledged.len() > MAX_UNACKNOWLEDGED_BATCHES
            || self.unacknowledged_bytes > MAX_UNACKNOWLEDGED_BYTES
    }

    fn next_index(&mut self) -> u64 {
        self.last_index += 1;
        self.last_index
    }
}

/// Takes the next message's chunks off the leaves that are to be repaired; none if nothing is left.
fn next_chunks(
    leaves: &mut VecDeque<u16>,
    after: &mut Option<Vec<u8>>,
    keyspace: &Keyspace,
) -> Vec<LeafChunk> {
    let mut chunks = Vec::new();
    let mut bytes_left = MAX_CHUNK_BYTES;
    while let Some(leaf) = leaves.front().copied() {
        let chunk = keyspace.leaf_chunk(leaf, after.as_deref(), bytes_left);
        let size_bytes = chunk.size_bytes();
        if size_bytes > bytes_left && !chunks.is_empty() {
            break;
        }
        bytes_left = bytes_left.saturating_sub(size_bytes);
        *after = chunk.continuation();
        if chunk.is_last {
            leaves.pop_front();
        }
        let is_full = !chunk.is_last || bytes_left == 0;
        chunks.push(chunk);
        if is_full {
            break;
        }
    }
    chunks
}
