//! The backup's end of a replication session.
//!
//! A session's stream contains repair chunks and batches of changes, in the primary's order. Items
//! that arrive out of order wait in a bounded buffer.
//!
//! A backup in the in-sync set must always hold a state that some primary had, since it may have to
//! become primary. It buffers the repair in memory and writes it as one batch; the repair is small,
//! because two in-sync replicas differ only by uncommitted batches. A backup that is not in sync
//! may lack nearly everything. It writes each chunk on arrival and marks its replica incomplete
//! until the repair completes. After an interruption, the next session continues with what was
//! written.
use crate::keyspace::{Change, Keyspace};
use crate::message::StreamItem;
use crate::view::{Member, MemberId, Position, Term};
use std::collections::BTreeMap;

/// The maximum number of items that wait for an earlier one. With more, the backup ends the
/// session.
const MAX_REORDERED_ITEMS: usize = 256;

/// The action of a backup after an item of the stream.
#[derive(Debug, PartialEq)]
pub(crate) enum StreamAction {
    /// Acknowledge a repair chunk that is buffered in memory.
    AcknowledgeChunk {
        /// The chunk's index.
        index: u64,
    },
    /// Write changes of a repair, which leave the replica incomplete.
    WriteRepair {
        /// The changes.
        changes: Vec<Change>,
        /// The index of the chunk to acknowledge once the changes are on disk; `None` for a batch.
        ack_index: Option<u64>,
    },
    /// Write the changes of a batch or of a whole repair.
    WriteBatch {
        /// The position after the changes.
        position: Position,
        /// The changes.
        changes: Vec<Change>,
    },
    /// End the session: an item is missing or unexpected.
    EndSession,
}

/// The backup's state of a session.
///
/// Invariant: exactly the items with indexes below `next_index` have been processed, in order;
/// `reordered` holds only later ones.
#[derive(Clone, Debug)]
pub(crate) struct BackupSession {
    pub(crate) primary: MemberId,
    pub(crate) primary_address: String,
    pub(crate) term: Term,
    pub(crate) number: u64,
    pub(crate) started_at_ms: u64,
    /// Since when the backup has known that the primary is ahead, milliseconds; `None` if it has
    /// received everything or made progress since.
    pub(crate) behind_since_ms: Option<u64>,
    /// Whether this backup is in sync, so that the repair is buffered and written as one batch.
    pub(crate) in_sync: bool,
    /// The sequence number of the last received batch; `None` until the repair is complete.
    last_received_sequence: Option<u64>,
    /// When the session last made progress, milliseconds.
    last_progress_at_ms: u64,
    buffered_repair: Vec<Change>,
    /// The index of the next item to process.
    next_index: u64,
    /// Items that arrived out of order, by index.
    reordered: BTreeMap<u64, StreamItem>,
}

impl BackupSession {
    /// Creates a session in which nothing has been received.
    pub(crate) fn begin(primary: &Member, term: Term, number: u64, now_ms: u64) -> Self {
        BackupSession {
            primary: primary.id,
            primary_address: primary.peer_address.clone(),
            term,
            number,
            started_at_ms: now_ms,
            behind_since_ms: None,
            in_sync: true,
            last_received_sequence: None,
            last_progress_at_ms: now_ms,
            buffered_repair: Vec::new(),
            next_index: 1,
            reordered: BTreeMap::new(),
        }
    }

    /// Whether items wait for an earlier one that has not arrived.
    pub(crate) fn has_gap(&self) -> bool {
        !self.reordered.is_empty()
    }

    /// Whether the repair is not complete yet.
    pub(crate) fn is_repairing(&self) -> bool {
        self.last_received_sequence.is_none()
    }

    /// Whether the repair and all batches up to this one have been received, and no items wait.
    pub(crate) fn has_received_all(&self, sequence: u64) -> bool {
        self.last_received_sequence.is_some_and(|received| received >= sequence) && !self.has_gap()
    }

    /// Returns the time without progress since the primary is known to be ahead, milliseconds.
    /// Marks the primary as ahead from `now_ms` if it was not.
    pub(crate) fn ms_without_progress(&mut self, now_ms: u64) -> u64 {
        let behind_since_ms = *self.behind_since_ms.get_or_insert(now_ms);
        now_ms.saturating_sub(behind_since_ms.max(self.last_progress_at_ms))
    }

    /// Processes an item of the stream and the items that waited for it.
    pub(crate) fn receive(
        &mut self,
        now_ms: u64,
        keyspace: &mut Keyspace,
        index: u64,
        item: StreamItem,
    ) -> Vec<StreamAction> {
        if index < self.next_index {
            return Vec::new();
        }
        self.reordered.insert(index, item);
        if self.reordered.len() > MAX_REORDERED_ITEMS {
            return vec![StreamAction::EndSession];
        }
        let mut actions = Vec::new();
        while let Some(item) = self.reordered.remove(&self.next_index) {
            let index = self.next_index;
            self.next_index += 1;
            self.last_progress_at_ms = now_ms;
            self.behind_since_ms = None;
            actions.push(self.process(keyspace, index, item));
        }
        actions
    }

    fn process(&mut self, keyspace: &mut Keyspace, index: u64, item: StreamItem) -> StreamAction {
        match (item, self.last_received_sequence) {
            (StreamItem::RepairChunk(chunks), None) => {
                let changes = chunks.iter().flat_map(|chunk| keyspace.changes_to_match(chunk)).collect();
                if self.in_sync {
                    self.buffered_repair.extend::<Vec<Change>>(changes);
                    return StreamAction::AcknowledgeChunk { index };
                }
                apply_repair(keyspace, changes, Some(index))
            }
            (StreamItem::Batch { changes, .. }, None) => {
                if self.in_sync {
                    self.buffered_repair.extend(changes);
                    return StreamAction::WriteRepair { changes: Vec::new(), ack_index: None };
                }
                apply_repair(keyspace, changes, None)
            }
            (StreamItem::RepairComplete { sequence }, None) => {
                let changes = std::mem::take(&mut self.buffered_repair);
                self.apply_batch(keyspace, sequence, changes)
            }
            (StreamItem::Batch { sequence, changes }, Some(received)) if sequence == received + 1 => {
                self.apply_batch(keyspace, sequence, changes)
            }
            _ => StreamAction::EndSession,
        }
    }

    fn apply_batch(&mut self, keyspace: &mut Keyspace, sequence: u64, changes: Vec<Change>) -> StreamAction {
        keyspace.apply_all(&changes);
        self.last_received_sequence = Some(sequence);
        StreamAction::WriteBatch { position: Position { term: self.term, sequence }, changes }
    }
}

fn apply_repair(keyspace: &mut Keyspace, changes: Vec<Change>, ack_index: Option<u64>) -> StreamAction {
    keyspace.apply_all(&changes);
    StreamAction::WriteRepair { changes, ack_index }
}
