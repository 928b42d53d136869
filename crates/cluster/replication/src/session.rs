//! The primary's half of a replication session: what differs, the repair in pieces, then the batches.
use crate::keyspace::{Change, Keyspace, Part, RANGES, root_of};
use crate::message::StreamItem;
use std::collections::VecDeque;

/// The size of a piece of a repair, bytes.
pub(crate) const PIECE_BYTES: usize = 64 * 1024;
/// Pieces that may be on their way to a follower.
pub(crate) const PIECES_IN_FLIGHT: usize = 4;
/// Batches sent to a follower and not on its disk, bytes; beyond that the session ends. The follower begins another,
/// which goes on where this one was.
const UNACKNOWLEDGED_BYTES: usize = 4 << 20;
/// The same by number.
const UNACKNOWLEDGED_BATCHES: usize = 2_048;

/// Where a session stands.
#[derive(Clone, Debug)]
enum Phase {
    /// The follower is asked for the digests of its leaves; these are the digests of its ranges.
    Comparing { roots: Vec<u64> },
    /// Leaves that differ are sent in pieces, the first of them from after this key on.
    Repairing { leaves: VecDeque<u16>, after: Option<Vec<u8>> },
    /// Batches follow as they are made.
    Streaming,
}

/// A follower's session as the primary sees it.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub number: u64,
    /// The last batch that is on the follower's disk.
    pub acked: Option<u64>,
    phase: Phase,
    last_index: u64,
    in_flight: VecDeque<u64>,
    unacknowledged: VecDeque<(u64, usize)>,
    unacknowledged_bytes: usize,
}

impl Session {
    /// A session that begins, with the ranges that differ.
    pub fn begin(number: u64, roots: Vec<u64>, keyspace: &Keyspace) -> (Self, Vec<u16>) {
        let mine = keyspace.roots();
        let differ: Vec<u16> =
            (0..RANGES as u16).filter(|r| roots.get(*r as usize) != mine.get(*r as usize)).collect();
        let phase = match differ.is_empty() {
            true => Phase::Repairing { leaves: VecDeque::new(), after: None },
            false => Phase::Comparing { roots },
        };
        let session = Session {
            number,
            acked: None,
            phase,
            last_index: 0,
            in_flight: VecDeque::new(),
            unacknowledged: VecDeque::new(),
            unacknowledged_bytes: 0,
        };
        (session, differ)
    }

    /// The follower brings the digests of its leaves; what differs now by these, or by the digests of ranges that it
    /// did not bring, is to be repaired.
    pub fn compare(&mut self, leaves: &[(u16, Vec<u64>)], keyspace: &Keyspace) {
        let Phase::Comparing { roots } = &self.phase else { return };
        let mut differ: VecDeque<u16> = VecDeque::new();
        for range in 0..RANGES as u16 {
            let mine = keyspace.leaf_digests(range);
            let first = range * RANGES as u16;
            match leaves.iter().find(|(r, _)| *r == range) {
                Some((_, theirs)) => {
                    let other = (0..RANGES).filter(|i| theirs.get(*i) != mine.get(*i));
                    differ.extend(other.map(|i| first + i as u16));
                }
                None if roots.get(range as usize) != Some(&root_of(mine)) => {
                    differ.extend(first..first + RANGES as u16);
                }
                None => {}
            }
        }
        self.phase = Phase::Repairing { leaves: differ, after: None };
    }

    /// A piece is on the follower's disk, and with it all before.
    pub fn repaired(&mut self, index: u64) {
        while self.in_flight.front().is_some_and(|sent| *sent <= index) {
            self.in_flight.pop_front();
        }
    }

    /// The items that may be sent now. The repair ends with the state after batch `sequence`.
    pub fn pump(&mut self, keyspace: &Keyspace, sequence: u64) -> Vec<(u64, StreamItem)> {
        let mut items = Vec::new();
        while self.in_flight.len() < PIECES_IN_FLIGHT
            && let Phase::Repairing { leaves, after } = &mut self.phase
        {
            let parts = cut(leaves, after, keyspace);
            let last = parts.is_empty();
            if last {
                self.phase = Phase::Streaming;
            }
            let item = if last { StreamItem::Whole { sequence } } else { StreamItem::Piece(parts) };
            let index = self.next_index();
            if !last {
                self.in_flight.push_back(index);
            }
            items.push((index, item));
        }
        items
    }

    /// A batch as an item of the stream; `None` while the follower has not told what it holds.
    pub fn batch(&mut self, sequence: u64, changes: &[Change]) -> Option<(u64, StreamItem)> {
        if matches!(self.phase, Phase::Comparing { .. }) {
            return None;
        }
        let bytes = changes.iter().map(Change::bytes).sum();
        self.unacknowledged.push_back((sequence, bytes));
        self.unacknowledged_bytes += bytes;
        Some((self.next_index(), StreamItem::Batch { sequence, changes: changes.to_vec() }))
    }

    /// All up to this batch is on the follower's disk.
    pub fn acknowledge(&mut self, sequence: u64) {
        self.acked = Some(self.acked.map_or(sequence, |acked| acked.max(sequence)));
        while let Some((batch, bytes)) = self.unacknowledged.front().copied()
            && batch <= sequence
        {
            self.unacknowledged_bytes -= bytes;
            self.unacknowledged.pop_front();
        }
    }

    /// Whether so much is on its way to the follower that the session must end.
    pub fn overflows(&self) -> bool {
        self.unacknowledged.len() > UNACKNOWLEDGED_BATCHES || self.unacknowledged_bytes > UNACKNOWLEDGED_BYTES
    }

    fn next_index(&mut self) -> u64 {
        self.last_index += 1;
        self.last_index
    }
}

/// Cuts the next piece off what is to be repaired; empty if nothing is left.
fn cut(leaves: &mut VecDeque<u16>, after: &mut Option<Vec<u8>>, keyspace: &Keyspace) -> Vec<Part> {
    let mut parts = Vec::new();
    let mut room = PIECE_BYTES;
    while let Some(leaf) = leaves.front().copied() {
        let part = keyspace.part(leaf, after.as_deref(), room);
        let bytes = part.bytes();
        if bytes > room && !parts.is_empty() {
            break;
        }
        room = room.saturating_sub(bytes);
        *after = part.entries.last().filter(|_| !part.last).map(|(key, _)| key.clone());
        if part.last {
            leaves.pop_front();
        }
        let full = !part.last || room == 0;
        parts.push(part);
        if full {
            break;
        }
    }
    parts
}
