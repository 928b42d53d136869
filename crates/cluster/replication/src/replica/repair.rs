//! The primary's side of replication sessions: repair and the stream of batches.
use super::outbox::Destination;
use super::state::{Replica, Role};
use crate::keyspace::Change;
use crate::message::{Message, RangeLeafDigests};
use crate::primary::{PrimarySession, PrimaryState};
use crate::view::{MemberId, Position, Term};

impl Replica {
    pub(super) fn handle_session_request(
        &mut self,
        from: MemberId,
        term: Term,
        session: u64,
        range_digests: Vec<u64>,
    ) {
        let Role::Primary(primary) = &mut self.role else { return };
        if primary.view().term != term {
            return;
        }
        let Some(address) = primary.address_of(from) else { return };
        let in_sync = primary.may_count_in_sync(from);
        let (new_session, ranges) = PrimarySession::begin(session, range_digests, &self.local_state.keyspace);
        primary.start_session(from, new_session);
        if ranges.is_empty() {
            return self.send_next_items(from);
        }
        let destination = Destination { address, id: Some(from) };
        self.send(destination, Message::LeafDigestRequest { session, in_sync, ranges });
    }

    pub(super) fn handle_leaf_digests(&mut self, from: MemberId, session: u64, ranges: &[RangeLeafDigests]) {
        let Role::Primary(primary) = &mut self.role else { return };
        let Some(session) = current_session(primary, from, session) else { return };
        session.compare_leaves(ranges, &self.local_state.keyspace);
        self.send_next_items(from);
    }

    pub(super) fn handle_chunk_ack(&mut self, from: MemberId, session: u64, index: u64) {
        let Role::Primary(primary) = &mut self.role else { return };
        let Some(session) = current_session(primary, from, session) else { return };
        session.record_chunk_ack(index);
        self.send_next_items(from);
    }

    pub(super) fn handle_batch_ack(&mut self, from: MemberId, session: u64, sequence: u64) {
        let Role::Primary(primary) = &mut self.role else { return };
        if let Some(session) = current_session(primary, from, session) {
            session.record_batch_ack(sequence);
        }
        self.advance_commit();
    }

    /// Sends a backup the repair items that its session allows now.
    fn send_next_items(&mut self, to: MemberId) {
        let Role::Primary(primary) = &mut self.role else { return };
        let Some(address) = primary.address_of(to) else { return };
        let sequence = primary.batches.last_sequence();
        let Some(session) = primary.session_mut(to) else { return };
        let number = session.number();
        let destination = Destination { address, id: Some(to) };
        for next in session.next_items(&self.local_state.keyspace, sequence) {
            let message = Message::Stream { session: number, index: next.index, item: next.item };
            self.send(destination.clone(), message);
        }
    }

    /// Sends a batch to every backup that has a session. Ends the sessions whose unacknowledged
    /// batches exceed the limit.
    pub(super) fn stream_batch(&mut self, position: Position, changes: &[Change]) {
        let local_id = self.local_member.id;
        let Role::Primary(primary) = &mut self.role else { return };
        let backups: Vec<MemberId> = primary.backups().filter(|id| *id != local_id).collect();
        let mut messages: Vec<(Destination, Message)> = Vec::new();
        for id in backups {
            let Some(address) = primary.address_of(id) else {
                primary.end_session(id);
                continue;
            };
            let Some(session) = primary.session_mut(id) else { continue };
            if let Some(next) = session.batch_item(position.sequence, changes) {
                let number = session.number();
                let message = Message::Stream { session: number, index: next.index, item: next.item };
                messages.push((Destination { address, id: Some(id) }, message));
            }
            if session.is_over_limit() {
                log::warn!("backup too slow, session ended backup={}", id.0);
                primary.end_session(id);
            }
        }
        for (destination, message) in messages {
            self.send(destination, message);
        }
    }
}

/// Returns a backup's session if it has this number; messages of earlier sessions are dropped.
fn current_session(primary: &mut PrimaryState, from: MemberId, number: u64) -> Option<&mut PrimarySession> {
    primary.session_mut(from).filter(|session| session.number() == number)
}
