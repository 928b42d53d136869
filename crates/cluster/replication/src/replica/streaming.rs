//! The primary's side of its followers' sessions.
use super::{Replica, Role};
use crate::keyspace::Change;
use crate::message::{Message, StreamItem};
use crate::session::Session;
use crate::view::{MemberId, Position};

impl Replica {
    pub(super) fn follow(&mut self, from: MemberId, term: u64, number: u64, roots: Vec<u64>) {
        let Role::Primary(primary) = &mut self.role else { return };
        if primary.view.term != term {
            return;
        }
        let Some(address) = primary.address_of(from) else { return };
        let in_sync = primary.may_count_in_sync(from);
        let (session, ranges) = Session::begin(number, roots, &self.keyspace);
        primary.sessions.insert(from, session);
        if ranges.is_empty() {
            return self.pump(from);
        }
        self.send(address, Some(from), Message::Compare { session: number, in_sync, ranges });
    }

    pub(super) fn leaves(&mut self, from: MemberId, number: u64, leaves: &[(u16, Vec<u64>)]) {
        let Role::Primary(primary) = &mut self.role else { return };
        let Some(session) = primary.sessions.get_mut(&from).filter(|s| s.number == number) else { return };
        session.compare(leaves, &self.keyspace);
        self.pump(from);
    }

    pub(super) fn repaired(&mut self, from: MemberId, number: u64, index: u64) {
        let Role::Primary(primary) = &mut self.role else { return };
        let Some(session) = primary.sessions.get_mut(&from).filter(|s| s.number == number) else { return };
        session.repaired(index);
        self.pump(from);
    }

    pub(super) fn appended(&mut self, from: MemberId, number: u64, sequence: u64) {
        let Role::Primary(primary) = &mut self.role else { return };
        if let Some(session) = primary.sessions.get_mut(&from).filter(|s| s.number == number) {
            session.acknowledge(sequence);
        }
        self.commit();
    }

    /// Sends a follower what its session allows now.
    fn pump(&mut self, to: MemberId) {
        let Role::Primary(primary) = &mut self.role else { return };
        let Some(address) = primary.address_of(to) else { return };
        let sequence = primary.sequence;
        let Some(session) = primary.sessions.get_mut(&to) else { return };
        let number = session.number;
        for (index, item) in session.pump(&self.keyspace, sequence) {
            self.send(address.clone(), Some(to), Message::Stream { session: number, index, item });
        }
    }

    /// Sends a batch to all that follow.
    pub(super) fn stream(&mut self, position: Position, changes: &[Change]) {
        let me = self.me.id;
        let Role::Primary(primary) = &mut self.role else { return };
        let followers: Vec<MemberId> = primary.sessions.keys().copied().filter(|id| *id != me).collect();
        let mut items: Vec<(MemberId, String, u64, u64, StreamItem)> = Vec::new();
        for id in followers {
            let Some(address) = primary.address_of(id) else {
                primary.sessions.remove(&id);
                continue;
            };
            let Some(session) = primary.sessions.get_mut(&id) else { continue };
            let number = session.number;
            if let Some((index, item)) = session.batch(position.sequence, changes) {
                items.push((id, address, number, index, item));
            }
            if session.overflows() {
                log::warn!("{id:?} does not keep up; its session ends");
                primary.sessions.remove(&id);
            }
        }
        for (id, address, session, index, item) in items {
            self.send(address, Some(id), Message::Stream { session, index, item });
        }
    }
}
