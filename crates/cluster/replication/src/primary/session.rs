//! The primary's end of a replication session: the comparison of digests, the repair in chunks,
//! then the stream of batches.
use crate::digest::{RANGE_COUNT, first_leaf_of, range_digest};
use crate::keyspace::{Change, Keyspace, LeafChunk};
use crate::message::{RangeLeafDigests, StreamItem};
use std::collections::VecDeque;

/// The maximum total size of the chunks in one repair message, bytes. A single larger entry is sent
/// alone.
const MAX_CHUNK_BYTES: usize = 64 * 1024;
/// The maximum number of unacknowledged repair messages to a backup.
const MAX_CHUNKS_IN_FLIGHT: usize = 4;
/// The maximum size of the unacknowledged batches of a session, bytes. Beyond it the session ends,
/// and the backup starts another, which continues from the state that the backup has reached.
const MAX_UNACKNOWLEDGED_BYTES: usize = 4 << 20;
/// The same limit as a number of batches.
const MAX_UNACKNOWLEDGED_BATCHES: usize = 2_048;

/// An item of the stream with its index.
#[derive(Clone, Debug)]
pub(crate) struct IndexedItem {
    pub(crate) index: u64,
    pub(crate) item: StreamItem,
}

/// The phase of a session.
#[derive(Clone, Debug)]
enum Phase {
    /// The primary has requested the digests of the backup's leaves; `range_digests` are the
    /// digests of the backup's ranges.
    Comparing { range_digests: Vec<u64> },
    /// The primary is sending the leaves that differ in chunks, the first leaf from the key after
    /// `after` on. Batches are sent between the chunks.
    Repairing { leaves: VecDeque<u16>, after: Option<Vec<u8>> },
    /// The repair is complete; batches are sent as they are proposed.
    Streaming,
}

/// A batch that the backup has not acknowledged.
#[derive(Clone, Copy, Debug)]
struct UnacknowledgedBatch {
    sequence: u64,
    size_bytes: usize,
}

/// The primary's state of a session.
///
/// Invariant: items, chunks and batches alike, are numbered from 1 without gaps in the order in
/// which they are created. A chunk contains the state of its keys at its index, so the backup
/// reaches the primary's state in whatever order the network delivers the items.
#[derive(Clone, Debug)]
pub(crate) struct PrimarySession {
    number: u64,
    /// The sequence number of the last batch on the backup's disk; `None` before its repair is
    /// complete.
    acknowledged: Option<u64>,
    phase: Phase,
    /// The index of the last created item.
    last_index: u64,
    /// The indexes of the unacknowledged repair items.
    chunks_in_flight: VecDeque<u64>,
    unacknowledged: VecDeque<UnacknowledgedBatch>,
    unacknowledged_bytes: usize,
}

impl PrimarySession {
    /// Creates a session and returns it with the numbers of the ranges that differ.
    pub(crate) fn begin(number: u64, range_digests: Vec<u64>, keyspace: &Keyspace) -> (Self, Vec<u16>) {
        let local_digests = keyspace.range_digests();
        let differs = |range: &u16| range_digests.get(*range as usize) != local_digests.get(*range as usize);
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

    /// The sequence number of the last batch on the backup's disk; `None` before its repair is
    /// complete.
    pub(crate) fn acknowledged_sequence(&self) -> Option<u64> {
        self.acknowledged
    }

    /// Determines the leaves to repair from the digests of leaves that the backup reports. In
    /// ranges that it does not report, all leaves are repaired if the range's digest differs now.
    pub(crate) fn compare_leaves(&mut self, reported: &[RangeLeafDigests], keyspace: &Keyspace) {
        let Phase::Comparing { range_digests } = &self.phase else { return };
        let mut leaves: VecDeque<u16> = VecDeque::new();
        for range in 0..RANGE_COUNT as u16 {
            let local = keyspace.leaf_digests(range);
            let first = first_leaf_of(range);
            match reported.iter().find(|report| report.range == range) {
                Some(report) => {
                    let differs = |leaf: &usize| report.digests.get(*leaf) != local.get(*leaf);
                    leaves.extend((0..RANGE_COUNT).filter(differs).map(|leaf| first + leaf as u16));
                }
                None if range_digests.get(range as usize) != Some(&range_digest(local)) => {
                    leaves.extend(first..first + RANGE_COUNT as u16);
                }
                None => {}
            }
        }
        self.phase = Phase::Repairing { leaves, after: None };
    }

    /// Records that the backup has the chunk of this index and all earlier ones.
    pub(crate) fn record_chunk_ack(&mut self, index: u64) {
        while self.chunks_in_flight.front().is_some_and(|sent| *sent <= index) {
            self.chunks_in_flight.pop_front();
        }
    }

    /// Returns the repair items that may be sent now. `sequence` is the primary's last batch: if
    /// the repair completes, the backup has the state after it.
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

    /// Adds a batch to the stream and returns its item; `None` while the backup has not reported
    /// its digests.
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

    /// Records that all batches up to this one are on the backup's disk.
    pub(crate) fn record_batch_ack(&mut self, sequence: u64) {
        self.acknowledged = self.acknowledged.max(Some(sequence));
        while let Some(oldest) = self.unacknowledged.front()
            && oldest.sequence <= sequence
        {
            self.unacknowledged_bytes -= oldest.size_bytes;
            self.unacknowledged.pop_front();
        }
    }

    /// Whether the unacknowledged batches exceed a limit, so that the session must end.
    pub(crate) fn is_over_limit(&self) -> bool {
        self.unacknowledged.len() > MAX_UNACKNOWLEDGED_BATCHES
            || self.unacknowledged_bytes > MAX_UNACKNOWLEDGED_BYTES
    }

    fn next_index(&mut self) -> u64 {
        self.last_index += 1;
        self.last_index
    }
}

/// Removes the chunks of the next repair message from the leaves to repair and returns them; empty
/// if no leaf remains.
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
