//! What waits for the disk: effects that may be seen only when the records before them are durable.
use crate::{Answer, AttemptId, Effect, NoticeReply};
use spanlead_balancing_policy::Nanos;
use std::collections::{HashSet, VecDeque};

/// Holds effects back until their records are durable, and lets go of them when that comes too late or never.
#[derive(Debug, Default)]
pub struct DurabilityBarrier {
    /// The last record that was last_appended to the store, and the last that is durable.
    last_appended: u64,
    last_durable: u64,
    failed: bool,
    /// Effects that wait for the record of that number, until that time at the latest.
    waiting: VecDeque<(u64, Nanos, Effect)>,
    /// Attempts among them that are still wanted.
    unsent: HashSet<AttemptId>,
}

/// What has come through.
#[derive(Debug)]
pub enum ReleasedEffect {
    /// It is to be done now.
    Perform(Effect),
    /// This attempt was never sent, and won't be.
    NeverSent(AttemptId),
    /// The worker of this notice has no answer, and asks again.
    Unacknowledged(u64),
}

impl DurabilityBarrier {
    /// The ledger is open, and durable up to this record.
    pub fn open(&mut self, last: u64) {
        (self.last_appended, self.last_durable) = (last, last);
    }

    /// A record was last_appended to the store under this number.
    pub fn record_appended(&mut self, lsn: u64) {
        self.last_appended = lsn;
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// An effect that must not be seen before all records so far are durable; what can be done at once.
    pub fn submit(&mut self, effect: Effect, until: Nanos) -> Option<ReleasedEffect> {
        if self.failed {
            return after_failure(effect, true);
        }
        if self.last_durable >= self.last_appended {
            return Some(ReleasedEffect::Perform(effect));
        }
        if let Effect::SendAttempt { attempt, .. } = &effect {
            self.unsent.insert(*attempt);
        }
        self.waiting.push_back((self.last_appended, until, effect));
        None
    }

    /// Records are durable up to this one.
    pub fn records_durable(&mut self, upto: u64) -> Vec<ReleasedEffect> {
        self.last_durable = upto;
        let mut released = Vec::new();
        while let Some((_, _, effect)) = self.waiting.pop_front_if(|(lsn, ..)| *lsn <= upto) {
            if let Effect::SendAttempt { attempt, .. } = &effect
                && !self.unsent.remove(attempt)
            {
                continue;
            }
            released.push(ReleasedEffect::Perform(effect));
        }
        released
    }

    /// Whether this attempt still waited here: it is not sent then.
    pub fn cancel(&mut self, attempt: AttemptId) -> bool {
        self.unsent.remove(&attempt)
    }

    /// No record will become durable any more. What was not sent must not be, since its lease may not be on disk, and none is
    /// renewed. RequestCounts and notices are last_appended all the same: the leases behind them are on disk, so no other process runs these
    /// jobs anew.
    pub fn fail(&mut self) -> Vec<ReleasedEffect> {
        self.failed = true;
        let mut released = Vec::new();
        for (_, _, effect) in std::mem::take(&mut self.waiting) {
            let wanted = match &effect {
                Effect::SendAttempt { attempt, .. } => self.unsent.remove(attempt),
                _ => true,
            };
            released.extend(after_failure(effect, wanted));
        }
        released
    }

    /// What has waited too long: a client is told of a failure while it still waits, which claims nothing; an attempt is
    /// not worth sending any more.
    pub fn expire(&mut self, now: Nanos) -> Vec<ReleasedEffect> {
        let (late, waiting): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.waiting).into_iter().partition(|(_, until, _)| *until <= now);
        self.waiting = waiting;
        let mut released = Vec::new();
        for (_, _, effect) in late {
            released.extend(match effect {
                Effect::Answer { request_id, .. } => Some(ReleasedEffect::Perform(Effect::Answer {
                    request_id,
                    answer: Answer::Failed,
                    job: None,
                })),
                Effect::SendAttempt { attempt, .. } => {
                    self.unsent.remove(&attempt).then_some(ReleasedEffect::NeverSent(attempt))
                }
                Effect::Acknowledge { notice, .. } => Some(ReleasedEffect::Unacknowledged(notice)),
                other => Some(ReleasedEffect::Perform(other)),
            });
        }
        released
    }
}

/// An effect of a ledger that has failed.
fn after_failure(effect: Effect, wanted: bool) -> Option<ReleasedEffect> {
    match effect {
        Effect::SendAttempt { attempt, .. } => wanted.then_some(ReleasedEffect::NeverSent(attempt)),
        Effect::Acknowledge { notice, reply: NoticeReply::Acknowledged { .. } } => {
            Some(ReleasedEffect::Perform(Effect::Acknowledge {
                notice,
                reply: NoticeReply::Acknowledged { lease: None },
            }))
        }
        other => Some(ReleasedEffect::Perform(other)),
    }
}
