//! A candidate's round: it asks whether it could win, gathers promises, finishes the newest view that it finds, and then
//! brings the view in which it is primary.
use crate::view::{Accepted, Ballot, Member, MemberId, View};
use std::collections::BTreeMap;

/// Where a round stands.
#[derive(Clone, Debug)]
enum Phase {
    /// The voters of this view are asked whether they would promise.
    Canvassing(View, Vec<MemberId>),
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
    /// Asks these whether they would promise.
    Canvass(Vec<Member>),
    /// Asks these for promises too.
    Prepare(Vec<Member>),
    /// Brings this view to its voters.
    Accept(View),
    /// Ends: too many refuse. Another try makes sense in so many milliseconds.
    Refused(u64),
    /// Ends: it can't take over; the newest view is this.
    Lost(View),
    /// Its view is in force.
    Won(View),
}

/// A candidate's round.
#[derive(Clone, Debug)]
pub(crate) struct Election {
    pub ballot: Ballot,
    pub started_at: u64,
    asked_at: u64,
    me: MemberId,
    /// Votes that any decision needs at least; as many replicas stay in sync.
    quorum: usize,
    /// The first view, if this round is to begin the system.
    founding: Option<View>,
    promises: BTreeMap<MemberId, Option<Accepted>>,
    asked: Vec<MemberId>,
    refusals: BTreeMap<MemberId, u64>,
    phase: Phase,
}

impl Election {
    /// Begins a round among the voters of the newest view known; [`Step::Canvass`] names whom to ask.
    pub fn start(me: MemberId, quorum: usize, ballot: Ballot, known: &View, now: u64) -> (Self, Step) {
        let targets: Vec<Member> = known.voters().into_iter().cloned().collect();
        let election = Election {
            ballot,
            started_at: now,
            asked_at: now,
            me,
            quorum,
            founding: None,
            promises: BTreeMap::new(),
            asked: targets.iter().map(|m| m.id).collect(),
            refusals: BTreeMap::new(),
            phase: Phase::Canvassing(known.clone(), Vec::new()),
        };
        (election, Step::Canvass(targets))
    }

    /// A machine would promise.
    pub fn supported(&mut self, from: MemberId) -> Step {
        let Phase::Canvassing(view, supporters) = &mut self.phase else { return Step::Wait };
        if !supporters.contains(&from) {
            supporters.push(from);
        }
        if !view.decided_by(supporters, self.quorum) {
            return Step::Wait;
        }
        let targets = view.voters().into_iter().cloned().collect();
        self.phase = Phase::Preparing;
        self.refusals.clear();
        Step::Prepare(targets)
    }

    /// Whether it is still only asked who would promise, and how long ago that was asked last.
    pub fn canvassing_since(&self) -> Option<u64> {
        matches!(self.phase, Phase::Canvassing(..)).then_some(self.asked_at)
    }

    /// Asks those again that have not answered, or refused.
    pub fn canvass_again(&mut self, now: u64) -> Step {
        let Phase::Canvassing(view, supporters) = &self.phase else { return Step::Wait };
        self.asked_at = now;
        self.refusals.clear();
        let others = view.voters().into_iter().filter(|m| !supporters.contains(&m.id));
        Step::Canvass(others.cloned().collect())
    }

    /// A machine refuses, and would do so for so many milliseconds. The round ends when too few are left.
    pub fn refused(&mut self, from: MemberId, retry_ms: u64) -> Step {
        self.refusals.insert(from, retry_ms);
        let left = self.asked.iter().filter(|id| !self.refusals.contains_key(id)).count();
        let needed = self.quorum.max(self.asked.len() / 2 + 1);
        match left < needed {
            true => Step::Refused(self.refusals.values().copied().min().unwrap_or(0)),
            false => Step::Wait,
        }
    }

    /// The round that begins the system, with this view if nobody has accepted another. See [`crate::replica`].
    pub fn founding(mut self, view: View) -> Self {
        self.founding = Some(view);
        self
    }

    /// Whether a machine has promised.
    pub fn has_promised(&self, id: MemberId) -> bool {
        self.promises.contains_key(&id)
    }

    /// A promise came.
    pub fn promised(&mut self, from: MemberId, accepted: Option<Accepted>) -> Step {
        self.promises.insert(from, accepted);
        if !matches!(self.phase, Phase::Preparing) {
            return Step::Wait;
        }
        let newest = self.promises.values().flatten().reduce(|a, b| if b.newer_than(a) { b } else { a });
        let Some(newest) = newest.cloned() else { return self.found() };
        let view = newest.view.clone();
        let more: Vec<Member> =
            view.voters().into_iter().filter(|m| !self.asked.contains(&m.id)).cloned().collect();
        if !more.is_empty() {
            self.asked.extend(more.iter().map(|m| m.id));
            return Step::Prepare(more);
        }
        let voters: Vec<MemberId> = self.promises.keys().copied().collect();
        if !view.decided_by(&voters, self.quorum) {
            return Step::Wait;
        }
        if !view.in_sync.contains(&self.me) {
            return Step::Lost(view);
        }
        let holders = self.promises.iter().filter(|(_, a)| a.as_ref() == Some(&newest));
        let holders: Vec<MemberId> = holders.map(|(id, _)| *id).collect();
        if view.decided_by(&holders, self.quorum) {
            return self.propose(&view);
        }
        self.phase = Phase::Finishing(view.clone(), Vec::new());
        Step::Accept(view)
    }

    /// A view was accepted by a witness.
    pub fn accepted(&mut self, from: MemberId, epoch: u64) -> Step {
        let quorum = self.quorum;
        match &mut self.phase {
            Phase::Canvassing(..) | Phase::Preparing => Step::Wait,
            Phase::Finishing(view, voters) => {
                if view.epoch == epoch && !voters.contains(&from) {
                    voters.push(from);
                }
                let view = view.clone();
                if view.decided_by(voters, quorum) { self.propose(&view) } else { Step::Wait }
            }
            Phase::Proposing(view, voters) => {
                if view.epoch == epoch && !voters.contains(&from) {
                    voters.push(from);
                }
                if view.decided_by(voters, quorum) { Step::Won(view.clone()) } else { Step::Wait }
            }
        }
    }

    /// Brings the first view once enough machines have promised that none will accept another of a lower ballot.
    fn found(&mut self) -> Step {
        let Some(view) = self.founding.clone().filter(|_| self.promises.len() >= self.quorum) else {
            return Step::Wait;
        };
        self.phase = Phase::Proposing(view.clone(), Vec::new());
        Step::Accept(view)
    }

    /// The view that makes this candidate primary. In sync stay those that answered, if they are enough.
    fn propose(&mut self, view: &View) -> Step {
        let mut next = view.next();
        next.term = next.epoch;
        next.primary = self.me;
        let answered = |id: &MemberId| *id == self.me || self.promises.contains_key(id);
        let alive: Vec<MemberId> = view.in_sync.iter().copied().filter(answered).collect();
        if alive.len() >= self.quorum {
            next.in_sync = alive;
        }
        self.phase = Phase::Proposing(next.clone(), Vec::new());
        Step::Accept(next)
    }
}
