//! This machine as a follower.
use super::{CALM_MS, MOST_DOUBLINGS, REPAIR_MS, Record, Replica, Role, SESSION_MS, STAGGER_MS, Then};
use crate::follower::{Following, Taken};
use crate::message::{Contact, Message, StreamItem};
use crate::view::{Ballot, Member, MemberId, View};
use crate::witness::Vote;

/// What a heartbeat says; see [`Message::Heartbeat`].
pub(super) struct Beat {
    pub ballot: Ballot,
    pub view: View,
    pub sent_at: u64,
    pub sequence: u64,
    pub session: Option<u64>,
    pub contact: Option<Contact>,
}

impl Replica {
    pub(super) fn heartbeat(&mut self, now: u64, from: MemberId, beat: Beat) {
        let Some(primary) = beat.view.member(from).cloned() else { return };
        match self.witness.grant(now, beat.ballot) {
            Vote::Refused(retry_ms) => {
                let promised = self.witness.record.promised;
                let message = Message::Refuse { ballot: beat.ballot, promised, retry_ms };
                return self.send(primary.peer, Some(from), message);
            }
            Vote::Given => self.grant(now, primary.clone(), &beat),
        }
        if !matches!(self.role, Role::Follower) {
            self.deactivate(now);
        }
        self.primary_heard_at = now;
        let term = beat.view.term;
        if let Some(contact) = beat.contact {
            let at = contact.clock.saturating_sub(contact.age_ms);
            self.contact = self.contact.max(Some((term, at)));
        }
        self.learn_chosen(beat.view);
        if self.needs_session(now, from, term, beat.session, beat.sequence) {
            self.begin_session(now, primary, term);
        }
    }

    /// Whether the session must begin anew: there is none with this primary, the primary has lost it, or it stands still.
    fn needs_session(
        &mut self,
        now: u64,
        from: MemberId,
        term: u64,
        served: Option<u64>,
        sequence: u64,
    ) -> bool {
        let doublings = self.stalled_sessions.min(MOST_DOUBLINGS);
        let Some(f) = &mut self.following else { return true };
        if f.term != term || f.primary != from {
            return true;
        }
        if served != Some(f.session) && now > f.began_at + (SESSION_MS << doublings) {
            return true;
        }
        if f.taken.is_some_and(|taken| taken >= sequence) && !f.has_gap() {
            f.behind_since = None;
            return false;
        }
        let behind_since = *f.behind_since.get_or_insert(now);
        let patience = if f.taken.is_none() && !f.has_gap() { REPAIR_MS } else { SESSION_MS };
        let stalled = now > behind_since.max(f.progress_at) + (patience << doublings);
        if stalled {
            log::debug!("session {} stands still", f.session);
            self.stalled_sessions += 1;
            self.stalled_at = now;
        } else if now > self.stalled_at + CALM_MS {
            self.stalled_sessions = 0;
        }
        stalled
    }

    pub(super) fn begin_session(&mut self, now: u64, primary: Member, term: u64) {
        self.sessions += 1;
        let session = self.sessions;
        let address = primary.peer.clone();
        self.following = Some(Following::begin(primary.id, address.clone(), term, session, now));
        let roots = self.keyspace.roots();
        self.send(address, Some(primary.id), Message::Follow { term, session, roots });
    }

    /// The primary has given its lease back. The one that it names stands for election at once, the others after it; if
    /// it names none, all in their order.
    pub(super) fn resigned(&mut self, now: u64, ballot: Ballot, successor: Option<MemberId>) {
        self.witness.release(ballot);
        let known = self.view.as_ref().is_some_and(|view| view.primary == ballot.candidate);
        if !known || !matches!(self.role, Role::Follower) || self.rank().is_none() {
            return;
        }
        if successor == Some(self.me.id) {
            return self.stand(now);
        }
        let head_start = if successor.is_some() { STAGGER_MS } else { 0 };
        self.primary_heard_at = (now + head_start).saturating_sub(self.options.lease_ms);
    }

    pub(super) fn compare(&mut self, session: u64, in_sync: bool, ranges: &[u16]) {
        let Some(following) = self.following.as_mut().filter(|f| f.session == session) else { return };
        following.in_sync = in_sync;
        let digests = |range: &u16| (*range, self.keyspace.leaf_digests(*range).to_vec());
        let leaves = ranges.iter().map(digests).collect();
        let (address, primary) = (following.address.clone(), following.primary);
        self.send(address, Some(primary), Message::Leaves { session, leaves });
    }

    pub(super) fn replicate(&mut self, now: u64, session: u64, index: u64, item: StreamItem) {
        let Some(following) = self.following.as_mut().filter(|f| f.session == session) else { return };
        let (to, primary) = (following.address.clone(), following.primary);
        for taken in following.take(now, &mut self.keyspace, index, item) {
            let (to, primary) = (to.clone(), primary);
            match taken {
                Taken::Broken => self.following = None,
                Taken::Gathered(index) => {
                    self.send(to, Some(primary), Message::Repaired { session, index });
                }
                Taken::Repair(changes, index) => {
                    let then = match index {
                        Some(index) => Then::Repaired { to, primary, session, index },
                        None => Then::Nothing,
                    };
                    self.write_repair(changes, then);
                }
                Taken::Write(position, changes) => {
                    self.position = position;
                    self.incomplete = false;
                    self.unfit = false;
                    let sequence = position.sequence;
                    let then = Then::Acked { to, primary, session, sequence };
                    self.write(Record::Batch { position, changes }, then);
                }
            }
        }
    }

    fn write_repair(&mut self, changes: Vec<crate::keyspace::Change>, then: Then) {
        if changes.is_empty() && matches!(then, Then::Nothing) {
            return;
        }
        self.incomplete |= !changes.is_empty();
        self.write(Record::Repair { changes }, then);
    }
}
