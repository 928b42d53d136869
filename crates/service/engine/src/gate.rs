//! What waits for the disk: effects that may be seen only when the records before them are durable.
use crate::{Answer, AttemptId, Effect, Reply};
use spanlead_balancing_policy::Nanos;
use std::collections::{HashSet, VecDeque};

/// Holds effects back until their records are durable, and lets go of them when that comes too late or never.
#[derive(Debug, Default)]
pub struct Gate {
    /// The last record that was given to the store, and the last that is durable.
    given: u64,
    durable: u64,
    failed: bool,
    /// Effects that wait for the record of that number, until that time at the latest.
    waiting: VecDeque<(u64, Nanos, Effect)>,
    /// Attempts among them that are still wanted.
    unsent: HashSet<AttemptId>,
}

/// What has come through.
#[derive(Debug)]
pub enum Passage {
    /// It is to be done now.
    Do(Effect),
    /// This attempt was never sent, and won't be.
    Unsent(AttemptId),
    /// The worker of this note has no answer, and asks again.
    Unheard(u64),
}

impl Gate {
    /// The ledger is open, and durable up to this record.
    pub fn open(&mut self, last: u64) {
        (self.given, self.durable) = (last, last);
    }

    /// A record was given to the store under this number.
    pub fn record(&mut self, lsn: u64) {
        self.given = lsn;
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// An effect that must not be seen before all records so far are durable; what can be done at once.
    pub fn pass(&mut self, effect: Effect, until: Nanos) -> Option<Passage> {
        if self.failed {
            return through(effect, true);
        }
        if self.durable >= self.given {
            return Some(Passage::Do(effect));
        }
        if let Effect::Send { attempt, .. } = &effect {
            self.unsent.insert(*attempt);
        }
        self.waiting.push_back((self.given, until, effect));
        None
    }

    /// Records are durable up to this one.
    pub fn durable(&mut self, upto: u64) -> Vec<Passage> {
        self.durable = upto;
        let mut passed = Vec::new();
        while let Some((_, _, effect)) = self.waiting.pop_front_if(|(lsn, ..)| *lsn <= upto) {
            if let Effect::Send { attempt, .. } = &effect
                && !self.unsent.remove(attempt)
            {
                continue;
            }
            passed.push(Passage::Do(effect));
        }
        passed
    }

    /// Whether this attempt still waited here: it is not sent then.
    pub fn call_off(&mut self, attempt: AttemptId) -> bool {
        self.unsent.remove(&attempt)
    }

    /// No record will become durable any more. What was not sent must not be, since its lease may not be on disk, and none is
    /// renewed. Ends and notices are given all the same: the leases behind them are on disk, so no other process runs these
    /// jobs anew.
    pub fn fail(&mut self) -> Vec<Passage> {
        self.failed = true;
        let mut passed = Vec::new();
        for (_, _, effect) in std::mem::take(&mut self.waiting) {
            let wanted = match &effect {
                Effect::Send { attempt, .. } => self.unsent.remove(attempt),
                _ => true,
            };
            passed.extend(through(effect, wanted));
        }
        passed
    }

    /// What has waited too long: a client is told of a failure while it still waits, which claims nothing; an attempt is
    /// not worth sending any more.
    pub fn late(&mut self, now: Nanos) -> Vec<Passage> {
        let (late, waiting): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.waiting).into_iter().partition(|(_, until, _)| *until <= now);
        self.waiting = waiting;
        let mut passed = Vec::new();
        for (_, _, effect) in late {
            passed.extend(match effect {
                Effect::Answer { ticket, .. } => {
                    Some(Passage::Do(Effect::Answer { ticket, answer: Answer::Failed, job: None }))
                }
                Effect::Send { attempt, .. } => {
                    self.unsent.remove(&attempt).then_some(Passage::Unsent(attempt))
                }
                Effect::Acknowledge { note, .. } => Some(Passage::Unheard(note)),
                other => Some(Passage::Do(other)),
            });
        }
        passed
    }
}

/// An effect of a ledger that has failed.
fn through(effect: Effect, wanted: bool) -> Option<Passage> {
    match effect {
        Effect::Send { attempt, .. } => wanted.then_some(Passage::Unsent(attempt)),
        Effect::Acknowledge { note, reply: Reply::Heard { .. } } => {
            Some(Passage::Do(Effect::Acknowledge { note, reply: Reply::Heard { lease: None } }))
        }
        other => Some(Passage::Do(other)),
    }
}
