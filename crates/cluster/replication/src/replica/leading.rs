//! This machine as primary.
use super::{
    ASK_EVERY_MS, DISK_STALL_MS, LEARNER_FORGOTTEN_MS, Notice, Output, PATIENCE, RESIGNED_MS, Record,
    Replica, Role, Then,
};
use crate::keyspace::Change;
use crate::message::{Contact, Message};
use crate::primary::{Granted, Primary, Proposal};
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
        let position = self.position;
        self.stream(position, &changes);
        self.write(Record::Batch { position, changes }, Then::Synced(position.term, sequence));
        Some(sequence)
    }

    /// Gives the primary's role away, if this machine has it.
    pub fn resign(&mut self, now: u64) {
        let Role::Primary(primary) = &self.role else { return };
        let ballot = primary.ballot;
        let ready =
            |id: &&MemberId| primary.sessions.get(id).is_some_and(|s| s.acked == Some(primary.sequence));
        let successor = primary.view.in_sync.iter().find(ready).copied();
        self.give_back(now, ballot, successor);
        self.candidate_at = now + RESIGNED_MS;
    }

    /// Ends this machine's part as primary and gives its lease back, so that nobody has to wait for the lease's end.
    fn give_back(&mut self, now: u64, ballot: Ballot, successor: Option<MemberId>) {
        let Role::Primary(primary) = &self.role else { return };
        let members = primary.view.members.clone();
        self.witness.release(ballot);
        self.deactivate(now);
        let me = self.me.id;
        for member in members.iter().filter(|m| m.id != me) {
            self.send(member.peer.clone(), Some(member.id), Message::Resign { ballot, successor });
        }
    }

    pub(super) fn win(&mut self, now: u64, ballot: Ballot, view: View) {
        log::info!("primary of term {} with {} in sync", view.term, view.in_sync.len());
        let sequence = self.position.sequence;
        let mut primary = Primary::new(self.me.id, ballot, view.clone(), self.quorum(), sequence, now);
        primary.synced = self.synced;
        let silent_since = self.primary_heard_at.min(now);
        if let Role::Candidate(election) = &self.role {
            // Who did not answer the round has not been heard since before it.
            let silent = view.members.iter().filter(|m| !election.has_promised(m.id));
            primary.heard.extend(silent.map(|m| (m.id, silent_since)));
        }
        self.role = Role::Primary(Box::new(primary));
        self.learn_chosen(view);
        // What an earlier primary left unfinished lasts once this batch does.
        self.propose(now, Vec::new());
        self.lead(now);
    }

    /// A change of view is in force.
    pub(super) fn adopt(&mut self, now: u64, view: View) {
        let Role::Primary(primary) = &mut self.role else { return };
        primary.note_exchange(&view, &PATIENCE, now);
        log::info!("view {}: {} members, {} in sync", view.epoch, view.members.len(), view.in_sync.len());
        primary.learners.retain(|id, _| !view.has(*id));
        primary.view = view.clone();
        primary.proposal = None;
        self.learn_chosen(view);
        self.commit();
    }

    pub(super) fn granted(&mut self, from: MemberId, ballot: Ballot, granted: Granted) {
        let Role::Primary(primary) = &mut self.role else { return };
        let newer = primary.granted.get(&from).is_none_or(|held| held.sent_at < granted.sent_at);
        if primary.ballot == ballot && newer {
            primary.granted.insert(from, granted);
        }
    }

    pub(super) fn commit(&mut self) {
        let me = self.me.id;
        let Role::Primary(primary) = &mut self.role else { return };
        let point = primary.commit_point(me);
        if point > primary.committed {
            primary.committed = point;
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
            // Nobody hears this machine, or it hears nobody. In the second case the others need not wait.
            let ballot = primary.ballot;
            return self.give_back(now, ballot, None);
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
        primary.learners.retain(|_, learner| now < learner.heard_at + LEARNER_FORGOTTEN_MS);
        let ballot = primary.ballot;
        let learners = primary.learners.values().map(|l| l.member.clone());
        let targets: Vec<Member> = primary.view.members.iter().cloned().chain(learners).collect();
        if self.witness.grant(now, ballot) == Vote::Given {
            self.granted(self.me.id, ballot, Granted { sent_at: now, clock: now, unfit: false });
        }
        let me = self.me.id;
        for member in targets.into_iter().filter(|m| m.id != me) {
            self.send_heartbeat(now, &member);
        }
    }

    pub(super) fn send_heartbeat(&mut self, now: u64, member: &Member) {
        let Role::Primary(primary) = &self.role else { return };
        let asked_at = primary.majority_at();
        let holds = primary.active && now < primary.lease_until(self.options.lease_ms);
        let granted = primary.granted.get(&member.id).filter(|_| holds);
        let message = Message::Heartbeat {
            ballot: primary.ballot,
            view: primary.view.clone(),
            sent_at: now,
            sequence: primary.sequence,
            session: primary.sessions.get(&member.id).map(|session| session.number),
            contact: granted.map(|g| Contact { clock: g.clock, age_ms: now.saturating_sub(asked_at) }),
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
        primary.forget_sent(now);
        if let Some(view) = primary.review(me, self.options.losses, &PATIENCE, now) {
            primary.proposal = Some(Proposal { view: view.clone(), voters: Vec::new(), sent_at: now });
            self.bring(ballot, &view);
        }
    }
}
