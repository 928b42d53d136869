//! This machine as primary.
use super::{
    ASK_EVERY_MS, DISK_STALL_MS, Notice, Output, PATIENCE, RESIGNED_MS, Record, Replica, Role, Then,
};
use crate::keyspace::Change;
use crate::message::Message;
use crate::primary::{Comparison, Primary, Proposal};
use crate::view::{Ballot, Member, MemberId, Position, View};
use crate::witness::Vote;

impl Replica {
    /// Makes changes, as primary, and tells their batch's number; `None` if this machine is not primary.
    pub fn propose(&mut self, now: u64, changes: Vec<Change>) -> Option<u64> {
        let Role::Primary(primary) = &mut self.role else { return None };
        changes.iter().for_each(|change| self.keyspace.apply(change));
        primary.sequence += 1;
        let sequence = primary.sequence;
        primary.sent.push_back((sequence, now));
        self.position = Position { term: primary.view.term, sequence };
        let mut sends = Vec::new();
        for (id, address) in listeners(primary, self.me.id) {
            if let Some(session) = primary.streams_to(id) {
                sends.push((address, id, Message::Append { session, sequence, changes: changes.clone() }));
            }
        }
        let term = primary.view.term;
        self.write(Record::Batch { position: self.position, changes }, Then::Synced(term, sequence));
        sends.into_iter().for_each(|(to, id, message)| self.send(to, Some(id), message));
        Some(sequence)
    }

    /// Gives the primary's role away, if this machine has it.
    pub fn resign(&mut self, now: u64) {
        let Role::Primary(primary) = &self.role else { return };
        let ballot = primary.ballot;
        let ready =
            |id: &&MemberId| primary.sessions.get(id).is_some_and(|s| s.acked == Some(primary.sequence));
        let successor = primary.view.in_sync.iter().find(ready).copied();
        let members = primary.view.members.clone();
        self.witness.release(self.me.id);
        self.deactivate(now);
        self.candidate_at = now + RESIGNED_MS;
        let me = self.me.id;
        for member in members.iter().filter(|m| m.id != me) {
            self.send(member.peer.clone(), Some(member.id), Message::Resign { ballot, successor });
        }
    }

    pub(super) fn win(&mut self, now: u64, ballot: Ballot, view: View) {
        log::info!("primary of term {} with {} in sync", view.term, view.in_sync.len());
        let primary =
            Primary::new(self.me.id, ballot, view.clone(), self.position.sequence, self.synced, now);
        self.role = Role::Primary(Box::new(primary));
        self.learn(view);
        // What an earlier primary left unfinished lasts once this batch does.
        self.propose(now, Vec::new());
        self.lead(now);
    }

    /// A change of view is in force.
    pub(super) fn adopt(&mut self, view: View) {
        let Role::Primary(primary) = &mut self.role else { return };
        log::info!("view {}: {} members, {} in sync", view.epoch, view.members.len(), view.in_sync.len());
        primary.learners.retain(|id, _| !view.has(*id));
        primary.view = view.clone();
        primary.proposal = None;
        self.learn(view);
        self.commit();
    }

    pub(super) fn granted(&mut self, from: MemberId, ballot: Ballot, sent_at: u64) {
        let Role::Primary(primary) = &mut self.role else { return };
        if primary.ballot == ballot {
            let held = primary.granted.entry(from).or_default();
            *held = sent_at.max(*held);
        }
    }

    pub(super) fn follow(&mut self, from: MemberId, term: u64, session: u64, roots: Vec<u64>) {
        let Role::Primary(primary) = &mut self.role else { return };
        if primary.view.term != term {
            return;
        }
        let Some(address) = address_of(primary, from) else { return };
        let sequence = primary.sequence;
        let message = match primary.follow(from, session, roots, &self.keyspace) {
            Comparison::Ranges(ranges) => Message::Compare { session, ranges },
            Comparison::Parts(parts) => Message::Repair { session, sequence, parts },
        };
        self.send(address, Some(from), message);
    }

    pub(super) fn leaves(&mut self, from: MemberId, session: u64, leaves: &[(u16, Vec<u64>)]) {
        let Role::Primary(primary) = &mut self.role else { return };
        let Some(parts) = primary.compare(from, session, leaves, &self.keyspace) else { return };
        let sequence = primary.sequence;
        let Some(address) = address_of(primary, from) else { return };
        self.send(address, Some(from), Message::Repair { session, sequence, parts });
    }

    pub(super) fn appended(&mut self, from: MemberId, session: u64, sequence: u64) {
        let Role::Primary(primary) = &mut self.role else { return };
        if let Some(held) = primary.sessions.get_mut(&from).filter(|s| s.session == session) {
            held.acknowledge(sequence);
        }
        self.commit();
    }

    pub(super) fn commit(&mut self) {
        let me = self.me.id;
        let Role::Primary(primary) = &mut self.role else { return };
        let point = primary.commit_point(me);
        if point > primary.committed {
            primary.committed = point;
            while primary.sent.front().is_some_and(|(sequence, _)| *sequence <= point) {
                primary.sent.pop_front();
            }
            self.outputs.push(Output::Notice(Notice::Committed { sequence: point }));
        }
    }

    /// Ends this machine's part as candidate or primary.
    pub(super) fn deactivate(&mut self, now: u64) {
        let before = std::mem::replace(&mut self.role, Role::Follower);
        self.primary_heard_at = now;
        if let Role::Primary(primary) = before {
            log::info!("no longer primary of term {}", primary.view.term);
            if primary.active {
                self.outputs.push(Output::Notice(Notice::Deactivated));
            }
        }
    }

    /// A primary's round of duties: lease, followers, view.
    pub(super) fn lead(&mut self, now: u64) {
        let lease_ms = self.options.lease_ms;
        let Role::Primary(primary) = &mut self.role else { return };
        let until = primary.lease_until(lease_ms);
        let patience = if primary.active { 0 } else { primary.won_at + 2 * lease_ms };
        if now >= until && now >= patience {
            return self.deactivate(now);
        }
        if !primary.active && now < until {
            primary.active = true;
            let term = primary.view.term;
            self.outputs.push(Output::Notice(Notice::Activated { term }));
        }
        if primary.own_disk_stalls(DISK_STALL_MS, now) {
            log::warn!("the own disk stands still; another machine is to lead");
            return self.resign(now);
        }
        self.beat(now);
        self.review(now);
        self.commit();
    }

    pub(super) fn beat(&mut self, now: u64) {
        let Role::Primary(primary) = &mut self.role else { return };
        if now < primary.heartbeat_at + self.options.heartbeat_ms {
            return;
        }
        primary.heartbeat_at = now;
        primary.learners.retain(|_, learner| now < learner.heard_at + 4 * PATIENCE.gone_ms);
        let ballot = primary.ballot;
        let learners = primary.learners.values().map(|l| l.member.clone());
        let targets: Vec<Member> = primary.view.members.iter().cloned().chain(learners).collect();
        if self.witness.grant(now, ballot) == Vote::Given {
            self.granted(self.me.id, ballot, now);
        }
        let me = self.me.id;
        for member in targets.into_iter().filter(|m| m.id != me) {
            self.send_heartbeat(now, &member);
        }
    }

    pub(super) fn send_heartbeat(&mut self, now: u64, member: &Member) {
        let Role::Primary(primary) = &self.role else { return };
        let message = Message::Heartbeat {
            ballot: primary.ballot,
            view: primary.view.clone(),
            sent_at: now,
            sequence: primary.sequence,
        };
        self.send(member.peer.clone(), Some(member.id), message);
    }

    pub(super) fn review(&mut self, now: u64) {
        let me = self.me.id;
        let Role::Primary(primary) = &mut self.role else { return };
        let ballot = primary.ballot;
        if let Some(proposal) = &mut primary.proposal {
            if now > proposal.sent_at + ASK_EVERY_MS {
                proposal.sent_at = now;
                let view = proposal.view.clone();
                self.bring(ballot, &view);
            }
            return;
        }
        if let Some(view) = primary.review(me, self.options.losses, &PATIENCE, now) {
            primary.proposal = Some(Proposal { view: view.clone(), voters: Vec::new(), sent_at: now });
            self.bring(ballot, &view);
        }
    }
}

fn address_of(primary: &Primary, id: MemberId) -> Option<String> {
    let learner = primary.learners.get(&id).map(|l| &l.member);
    primary.view.member(id).or(learner).map(|m| m.peer.clone())
}

fn listeners(primary: &Primary, me: MemberId) -> Vec<(MemberId, String)> {
    let members = primary.view.members.iter().chain(primary.learners.values().map(|l| &l.member));
    members.filter(|m| m.id != me).map(|m| (m.id, m.peer.clone())).collect()
}
