//! The follower's half of a replication session.
//!
//! A session's stream holds pieces of the repair and batches of changes, in the primary's order. Items that overtook
//! others wait in a bounded buffer.
//!
//! A follower that counts as in sync must hold a state that some primary once had, whole, at every moment: it may have
//! to lead. It gathers the repair in memory (two copies in sync differ only by what is not committed yet) and takes it
//! as one batch. A follower that is not in sync may be without nearly everything: it writes each piece as it comes,
//! marks its copy incomplete until the last, and goes on from there if it is interrupted.
use crate::keyspace::{Change, Keyspace};
use crate::message::StreamItem;
use crate::view::{MemberId, Position};
use std::collections::BTreeMap;

/// Items that may wait for one that they overtook; beyond that the session begins anew.
const BUFFER: usize = 256;

/// What a follower must do after an item of the stream.
#[derive(Debug, PartialEq)]
pub(crate) enum Taken {
    /// A piece is gathered: the primary is told at once.
    Gathered(u64),
    /// These changes of a repair go to disk, which leaves the copy incomplete; `Some` place is told to the primary then.
    Repair(Vec<Change>, Option<u64>),
    /// These changes go to disk, which brings the copy to that position.
    Write(Position, Vec<Change>),
    /// Something is missing: the session must begin anew.
    Broken,
}

/// A session as its follower sees it.
#[derive(Clone, Debug)]
pub(crate) struct Following {
    pub primary: MemberId,
    pub address: String,
    pub term: u64,
    pub session: u64,
    /// The last batch taken; `None` until the repair is complete.
    pub taken: Option<u64>,
    pub began_at: u64,
    /// When the session last made progress.
    pub progress_at: u64,
    /// Since when the primary has been known to be ahead.
    pub behind_since: Option<u64>,
    /// Whether the repair is gathered and taken whole.
    pub in_sync: bool,
    gathered: Vec<Change>,
    next_index: u64,
    early: BTreeMap<u64, StreamItem>,
}

impl Following {
    /// A session that begins.
    pub fn begin(primary: MemberId, address: String, term: u64, session: u64, now: u64) -> Self {
        Following {
            primary,
            address,
            term,
            session,
            taken: None,
            began_at: now,
            progress_at: now,
            behind_since: None,
            in_sync: true,
            gathered: Vec::new(),
            next_index: 1,
            early: BTreeMap::new(),
        }
    }

    /// Whether items wait for one that has not come.
    pub fn has_gap(&self) -> bool {
        !self.early.is_empty()
    }

    /// Takes an item of the stream, and those that waited for it.
    pub fn take(&mut self, now: u64, keyspace: &mut Keyspace, index: u64, item: StreamItem) -> Vec<Taken> {
        if index < self.next_index {
            return Vec::new();
        }
        self.early.insert(index, item);
        if self.early.len() > BUFFER {
            return vec![Taken::Broken];
        }
        let mut all = Vec::new();
        while let Some(item) = self.early.remove(&self.next_index) {
            let index = self.next_index;
            self.next_index += 1;
            self.progress_at = now;
            self.behind_since = None;
            all.push(self.apply(keyspace, index, item));
        }
        all
    }

    fn apply(&mut self, keyspace: &mut Keyspace, index: u64, item: StreamItem) -> Taken {
        match (item, self.taken) {
            (StreamItem::Piece(parts), None) => {
                let changes: Vec<Change> = parts.iter().flat_map(|part| keyspace.difference(part)).collect();
                if self.in_sync {
                    self.gathered.extend(changes);
                    return Taken::Gathered(index);
                }
                apply_all(keyspace, &changes);
                Taken::Repair(changes, Some(index))
            }
            (StreamItem::Batch { changes, .. }, None) => {
                if self.in_sync {
                    self.gathered.extend(changes);
                    return Taken::Repair(Vec::new(), None);
                }
                apply_all(keyspace, &changes);
                Taken::Repair(changes, None)
            }
            (StreamItem::Whole { sequence }, None) => {
                let changes = std::mem::take(&mut self.gathered);
                self.reach(keyspace, sequence, changes)
            }
            (StreamItem::Batch { sequence, changes }, Some(taken)) if sequence == taken + 1 => {
                self.reach(keyspace, sequence, changes)
            }
            _ => Taken::Broken,
        }
    }

    fn reach(&mut self, keyspace: &mut Keyspace, sequence: u64, changes: Vec<Change>) -> Taken {
        apply_all(keyspace, &changes);
        self.taken = Some(sequence);
        Taken::Write(Position { term: self.term, sequence }, changes)
    }
}

fn apply_all(keyspace: &mut Keyspace, changes: &[Change]) {
    changes.iter().for_each(|change| keyspace.apply(change));
}
