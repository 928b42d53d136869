//! A candidate's round: promises, the newest view finished, then the view in which it is primary.
use crate::view::{Accepted, Ballot, Member, MemberId, View};
use std::collections::BTreeMap;

/// Where a round stands.
#[derive(Debug)]
enum Phase {
    /// Promises are gathered.
    Preparing,
    /// A view that may be in force is brought to everybody under the own ballot.
    Finishing(View, Vec<MemberId>),
    /// The own view is brought.
    Proposing(View, Vec<MemberId>),
}

/// What the candidate does next.
#[derive(Debug, PartialEq)]
pub(crate) enum Step {
    /// Waits.
    Wait,
    /// Asks these for promises too.
    Prepare(Vec<Member>),
    /// Brings this view to its voters.
    Accept(View),
    /// Ends: it can't take over; the newest view is this.
    Lost(View),
    /// Its view is in force.
    Won(View),
}

/// A candidate's round.
#[derive(Debug)]
pub(crate) struct Election {
    pub ballot: Ballot,
    pub started_at: u64,
    me: MemberId,
    /// Machines that may be lost at once.
    losses: usize,
    promises: BTreeMap<MemberId, Option<Accepted>>,
    asked: Vec<MemberId>,
    phase: Phase,
}

impl Election {
    /// Begins a round; [`Step::Prepare`] names whom to ask.
    pub fn start(me: MemberId, losses: usize, ballot: Ballot, known: &View, now: u64) -> (Self, Step) {
        let targets: Vec<Member> = known.voters().into_iter().cloned().collect();
        let asked = targets.iter().map(|m| m.id).collect();
        let promises = BTreeMap::new();
        let phase = Phase::Preparing;
        let election = Election { ballot, started_at: now, me, losses, promises, asked, phase };
        (election, Step::Prepare(targets))
    }

    /// The round of the first start: its view is brought without asking for promises.
    pub fn founding(mut self, view: View) -> Self {
        self.phase = Phase::Proposing(view, Vec::new());
        self
    }

    /// A promise came.
    pub fn promised(&mut self, from: MemberId, accepted: Option<Accepted>) -> Step {
        self.promises.insert(from, accepted);
        if !matches!(self.phase, Phase::Preparing) {
            return Step::Wait;
        }
        let newest = self.promises.values().flatten().reduce(|a, b| if b.newer_than(a) { b } else { a });
        let Some(newest) = newest.cloned() else { return Step::Wait };
        let view = newest.view.clone();
        let more: Vec<Member> =
            view.voters().into_iter().filter(|m| !self.asked.contains(&m.id)).cloned().collect();
        if !more.is_empty() {
            self.asked.extend(more.iter().map(|m| m.id));
            return Step::Prepare(more);
        }
        let voters: Vec<MemberId> = self.promises.keys().copied().collect();
        if !view.decided_by(&voters) {
            return Step::Wait;
        }
        if !view.in_sync.contains(&self.me) {
            return Step::Lost(view);
        }
        let holders = self.promises.iter().filter(|(_, a)| a.as_ref() == Some(&newest));
        let holders: Vec<MemberId> = holders.map(|(id, _)| *id).collect();
        if view.decided_by(&holders) {
            return self.propose(&view);
        }
        self.phase = Phase::Finishing(view.clone(), Vec::new());
        Step::Accept(view)
    }

    /// A view was accepted by a witness.
    pub fn accepted(&mut self, from: MemberId, epoch: u64) -> Step {
        match &mut self.phase {
            Phase::Preparing => Step::Wait,
            Phase::Finishing(view, voters) => {
                if view.epoch == epoch && !voters.contains(&from) {
                    voters.push(from);
                }
                let view = view.clone();
                if view.decided_by(voters) { self.propose(&view) } else { Step::Wait }
            }
            Phase::Proposing(view, voters) => {
                if view.epoch == epoch && !voters.contains(&from) {
                    voters.push(from);
                }
                if view.decided_by(voters) { Step::Won(view.clone()) } else { Step::Wait }
            }
        }
    }

    /// The view that makes this candidate primary. In sync stay those that answered, if they are enough.
    fn propose(&mut self, view: &View) -> Step {
        let mut next = view.next();
        next.term = next.epoch;
        next.primary = self.me;
        let answered = |id: &MemberId| *id == self.me || self.promises.contains_key(id);
        let alive: Vec<MemberId> = view.in_sync.iter().copied().filter(answered).collect();
        if alive.len() > self.losses {
            next.in_sync = alive;
        }
        self.phase = Phase::Proposing(next.clone(), Vec::new());
        Step::Accept(next)
    }
}
