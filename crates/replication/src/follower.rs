//! The follower's half of a replication session.
use crate::keyspace::{Change, Keyspace, Part};
use crate::view::{MemberId, Position};

/// What a follower must do with what it was sent.
#[derive(Debug, PartialEq)]
pub(crate) enum Taken {
    /// Nothing: it is not of this session.
    Nothing,
    /// These changes go to disk, which brings it to that position.
    Write(Position, Vec<Change>),
    /// Something is missing: the session must begin anew.
    Broken,
}

/// A session as its follower sees it.
#[derive(Debug)]
pub(crate) struct Following {
    pub primary: MemberId,
    pub address: String,
    pub term: u64,
    pub session: u64,
    /// The last batch taken; `None` until the repair has come.
    pub taken: Option<u64>,
    /// When the session last made progress.
    pub progress_at: u64,
}

impl Following {
    /// The repair that begins the session.
    pub fn repair(&mut self, now: u64, keyspace: &mut Keyspace, sequence: u64, parts: &[Part]) -> Taken {
        let changes: Vec<Change> = parts.iter().flat_map(|part| keyspace.difference(part)).collect();
        self.take(now, keyspace, sequence, changes)
    }

    /// The next batch.
    pub fn append(
        &mut self,
        now: u64,
        keyspace: &mut Keyspace,
        sequence: u64,
        changes: Vec<Change>,
    ) -> Taken {
        match self.taken {
            Some(taken) if sequence <= taken => Taken::Nothing,
            Some(taken) if sequence == taken + 1 => self.take(now, keyspace, sequence, changes),
            _ => Taken::Broken,
        }
    }

    fn take(&mut self, now: u64, keyspace: &mut Keyspace, sequence: u64, changes: Vec<Change>) -> Taken {
        changes.iter().for_each(|change| keyspace.apply(change));
        self.taken = Some(sequence);
        self.progress_at = now;
        Taken::Write(Position { term: self.term, sequence }, changes)
    }
}
