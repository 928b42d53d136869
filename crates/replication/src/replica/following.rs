//! This machine as a follower.
use super::{Record, Replica, Role, SESSION_MS, Then};
use crate::follower::{Following, Taken};
use crate::keyspace::Keyspace;
use crate::message::Message;
use crate::view::{Ballot, Member, MemberId, View};
use crate::witness::Vote;

impl Replica {
    pub(super) fn heartbeat(
        &mut self,
        now: u64,
        from: MemberId,
        ballot: Ballot,
        view: View,
        sent_at: u64,
        sequence: u64,
    ) {
        let Some(primary) = view.member(from).cloned() else { return };
        match self.witness.grant(now, ballot) {
            Vote::Refused(retry_ms) => {
                let message = Message::Refuse { ballot, promised: self.witness.record.promised, retry_ms };
                return self.send(primary.peer, Some(from), message);
            }
            Vote::Given => self.grant(primary.clone(), ballot, &view, sent_at),
        }
        if !matches!(self.role, Role::Follower) {
            self.deactivate(now);
        }
        self.primary_heard_at = now;
        let term = view.term;
        self.learn_chosen(view);
        let stale = match &self.following {
            None => true,
            Some(f) => {
                let behind = f.taken.is_none_or(|taken| taken < sequence);
                f.term != term || f.primary != from || behind && now > f.progress_at + SESSION_MS
            }
        };
        if stale {
            self.begin_session(now, primary, term);
        }
    }

    pub(super) fn begin_session(&mut self, now: u64, primary: Member, term: u64) {
        self.sessions += 1;
        let session = self.sessions;
        let address = primary.peer.clone();
        self.following = Some(Following {
            primary: primary.id,
            address: address.clone(),
            term,
            session,
            taken: None,
            progress_at: now,
        });
        let roots = self.keyspace.roots();
        self.send(address, Some(primary.id), Message::Follow { term, session, roots });
    }

    pub(super) fn resigned(&mut self, now: u64, ballot: Ballot, successor: Option<MemberId>) {
        self.witness.release(ballot.candidate);
        let mine = successor == Some(self.me.id);
        if matches!(self.role, Role::Follower) && mine {
            self.stand(now);
        }
    }

    pub(super) fn compare(&mut self, session: u64, ranges: &[u16]) {
        let Some(following) = self.following.as_ref().filter(|f| f.session == session) else { return };
        let digests = |range: &u16| (*range, self.keyspace.leaf_digests(*range).to_vec());
        let leaves = ranges.iter().map(digests).collect();
        let (address, primary) = (following.address.clone(), following.primary);
        self.send(address, Some(primary), Message::Leaves { session, leaves });
    }

    pub(super) fn replicate(
        &mut self,
        now: u64,
        session: u64,
        take: impl FnOnce(&mut Following, u64, &mut Keyspace) -> Taken,
    ) {
        let Some(following) = self.following.as_mut().filter(|f| f.session == session) else { return };
        let (to, primary) = (following.address.clone(), following.primary);
        match take(following, now, &mut self.keyspace) {
            Taken::Nothing => {}
            Taken::Broken => self.following = None,
            Taken::Write(position, changes) => {
                self.position = position;
                let sequence = position.sequence;
                let then = Then::Acked { to, primary, session, sequence };
                self.write(Record::Batch { position, changes }, then);
            }
        }
    }
}
