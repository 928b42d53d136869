//! Votes: this machine as a witness, and as a candidate.
use super::following::Beat;
use super::{CANVASS_MS, JITTER_MS, Replica, Role, Then};
use crate::election::{Election, Step};
use crate::message::Message;
use crate::view::{Ballot, Member, MemberId, View};
use crate::witness::Vote;

impl Replica {
    pub(super) fn canvass(&mut self, now: u64, ballot: Ballot, candidate: Member) {
        let message = match self.witness.would_promise(now, ballot) {
            Vote::Given => Message::Support { ballot },
            Vote::Refused(retry_ms) => {
                Message::Refuse { ballot, promised: self.witness.record.promised, retry_ms }
            }
        };
        self.send(candidate.peer, Some(candidate.id), message);
    }

    pub(super) fn prepare(&mut self, now: u64, ballot: Ballot, candidate: Member) {
        match self.witness.prepare(now, ballot) {
            Vote::Given => {
                // It is to have the time to win.
                self.primary_heard_at = now;
                // Guards the candidate's claim: nothing of an older term may be taken after the promise.
                self.following = None;
                let accepted = self.witness.record.accepted.clone();
                let message = Message::Promise { ballot, accepted };
                self.write_witness(Then::Send(candidate.peer, candidate.id, message));
            }
            Vote::Refused(retry_ms) => {
                let message = Message::Refuse { ballot, promised: self.witness.record.promised, retry_ms };
                self.send(candidate.peer, Some(candidate.id), message);
            }
        }
    }

    pub(super) fn accept(&mut self, now: u64, ballot: Ballot, view: View, from: MemberId) {
        let Some(address) = view.member(from).map(|m| m.peer.clone()) else { return };
        match self.witness.accept(ballot, &view) {
            Vote::Given => {
                let epoch = view.epoch;
                self.primary_heard_at = now;
                self.learn(view);
                self.write_witness(Then::Send(address, from, Message::Accepted { ballot, epoch }));
            }
            Vote::Refused(retry_ms) => {
                let message = Message::Refuse { ballot, promised: self.witness.record.promised, retry_ms };
                self.send(address, Some(from), message);
            }
        }
    }

    /// Grants a lease. A witness that doesn't have the view yet takes it first: after a restart it must know
    /// whose lease it may have granted.
    pub(super) fn grant(&mut self, now: u64, primary: Member, beat: &Beat) {
        let (ballot, view) = (beat.ballot, &beat.view);
        let message = Message::Grant { ballot, sent_at: beat.sent_at, clock: now, unfit: self.unfit };
        let held = self.witness.record.accepted.as_ref();
        if held.is_some_and(|a| a.ballot == ballot && a.view.epoch >= view.epoch) {
            return self.send(primary.peer, Some(primary.id), message);
        }
        if self.witness.accept(ballot, view) == Vote::Given {
            self.write_witness(Then::Send(primary.peer, primary.id, message));
        }
    }

    /// Begins a round.
    pub(super) fn stand(&mut self, now: u64) {
        let Some(view) = self.view.clone() else { return };
        let ballot = Ballot { round: self.witness.next_round(), candidate: self.me.id };
        let (election, step) = Election::start(self.me.id, self.quorum(), ballot, &view, now);
        self.role = Role::Candidate(Box::new(election));
        self.step(now, ballot, step);
    }

    pub(super) fn election(&mut self, now: u64, ballot: Ballot, act: impl FnOnce(&mut Election) -> Step) {
        if let Role::Candidate(election) = &mut self.role
            && election.ballot == ballot
        {
            let step = act(election);
            self.step(now, ballot, step);
        }
    }

    pub(super) fn step(&mut self, now: u64, ballot: Ballot, step: Step) {
        match step {
            Step::Wait => {}
            Step::Canvass(members) => {
                let me = self.me.id;
                for member in members.into_iter().filter(|m| m.id != me) {
                    let message = Message::Canvass { ballot, candidate: self.me.clone() };
                    self.send(member.peer, Some(member.id), message);
                }
                if self.witness.would_promise(now, ballot) == Vote::Given {
                    self.election(now, ballot, |election| election.supported(me));
                }
            }
            Step::Prepare(members) => {
                let mut with_me = false;
                for member in members {
                    if member.id == self.me.id {
                        with_me = true;
                    } else {
                        let message = Message::Prepare { ballot, candidate: self.me.clone() };
                        self.send(member.peer, Some(member.id), message);
                    }
                }
                if with_me && self.witness.prepare(now, ballot) == Vote::Given {
                    // As for anybody who promises: nothing of an older term may be taken from here on.
                    self.following = None;
                    self.write_witness(Then::Promised(ballot));
                }
            }
            Step::Refused(retry_ms) => {
                let canvassing =
                    matches!(&self.role, Role::Candidate(election) if election.canvassing_since().is_some());
                self.role = Role::Follower;
                // Without a promise given, asking again soon costs nothing.
                let wait = if canvassing { retry_ms.min(CANVASS_MS) } else { retry_ms + self.jitter() };
                self.candidate_at = now + wait;
            }
            Step::Accept(view) => self.bring(ballot, &view),
            Step::Lost(view) => {
                self.role = Role::Follower;
                self.primary_heard_at = now;
                self.learn(view);
            }
            Step::Won(view) => self.win(now, ballot, view),
        }
    }

    /// Brings a view to its voters.
    pub(super) fn bring(&mut self, ballot: Ballot, view: &View) {
        for member in view.voters() {
            if member.id == self.me.id {
                if self.witness.accept(ballot, view) == Vote::Given {
                    self.write_witness(Then::Accepted(ballot, view.epoch));
                }
            } else {
                let message = Message::Accept { ballot, view: view.clone() };
                self.send(member.peer.clone(), Some(member.id), message);
            }
        }
    }

    pub(super) fn accepted(&mut self, now: u64, from: MemberId, ballot: Ballot, epoch: u64) {
        match &mut self.role {
            Role::Candidate(_) => self.election(now, ballot, |election| election.accepted(from, epoch)),
            Role::Primary(primary) if primary.ballot == ballot => {
                let Some(proposal) = primary.proposal.as_mut().filter(|p| p.view.epoch == epoch) else {
                    return;
                };
                if !proposal.voters.contains(&from) {
                    proposal.voters.push(from);
                }
                if proposal.view.decided_by(&proposal.voters, primary.quorum) {
                    let view = proposal.view.clone();
                    self.adopt(now, view);
                }
            }
            _ => {}
        }
    }

    pub(super) fn refused(
        &mut self,
        now: u64,
        from: MemberId,
        ballot: Ballot,
        promised: Ballot,
        retry_ms: u64,
    ) {
        self.witness.see(promised.round);
        match &self.role {
            Role::Candidate(election) if election.ballot == ballot => {
                if promised > ballot {
                    return self.step(now, ballot, Step::Refused(retry_ms));
                }
                self.election(now, ballot, |election| election.refused(from, retry_ms));
            }
            Role::Primary(primary) if primary.ballot == ballot && promised > ballot => self.deactivate(now),
            _ => {}
        }
    }

    /// A wait that differs from machine to machine, milliseconds.
    pub(super) fn jitter(&self) -> u64 {
        10 + (self.me.id.0 ^ self.witness.record.promised.round.wrapping_mul(0x9E37_79B9)) % JITTER_MS
    }
}
