//! Effects that may be seen only when the records before them are durable.
use crate::{Answer, AttemptId, Effect, NoticeReply};
use spanlead_balancing_policy::Nanos;
use std::collections::{HashSet, VecDeque};

/// Holds effects back until their records are durable, and releases them when that comes too late
/// or never.
#[derive(Debug, Default)]
pub struct DurabilityBarrier {
    /// The last record that was appended.
    last_appended: u64,
    /// The last record that is durable.
    last_durable: u64,
    failed: bool,
    /// In the order in which they were submitted, so by their records too.
    waiting: VecDeque<WaitingEffect>,
    /// Attempts among them that were not cancelled.
    unsent: HashSet<AttemptId>,
}

/// An effect that waits for a record.
#[derive(Debug)]
struct WaitingEffect {
    record: u64,
    until: Nanos,
    effect: Effect,
}

/// What becomes of an effect that has waited.
#[derive(Debug)]
pub enum ReleasedEffect {
    /// It is to be performed now.
    Perform(Effect),
    /// This attempt was never sent, and will not be.
    NeverSent(AttemptId),
    /// The worker of this notice gets no answer, and sends it again.
    Unacknowledged(u64),
}

impl DurabilityBarrier {
    /// The log is open, and durable up to this record.
    pub fn open(&mut self, last: u64) {
        (self.last_appended, self.last_durable) = (last, last);
    }

    /// A record was appended under this number.
    pub fn record_appended(&mut self, record: u64) {
        self.last_appended = record;
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes an effect that must not be seen before all records so far are durable. Returns what
    /// can be done at once.
    pub fn submit(&mut self, effect: Effect, until: Nanos) -> Option<ReleasedEffect> {
        if self.failed {
            return release_after_failure(effect, true);
        }
        if self.last_durable >= self.last_appended {
            return Some(ReleasedEffect::Perform(effect));
        }
        if let Effect::SendAttempt { attempt, .. } = &effect {
            self.unsent.insert(*attempt);
        }
        self.waiting.push_back(WaitingEffect { record: self.last_appended, until, effect });
        None
    }

    /// Records are durable up to this one.
    pub fn records_durable(&mut self, last: u64) -> Vec<ReleasedEffect> {
        self.last_durable = last;
        let mut released = Vec::new();
        while let Some(waiting) = self.waiting.pop_front_if(|waiting| waiting.record <= last) {
            if self.is_wanted(&waiting.effect) {
                released.push(ReleasedEffect::Perform(waiting.effect));
            }
        }
        released
    }

    /// Whether an effect is still to be performed: an attempt may have been cancelled meanwhile.
    fn is_wanted(&mut self, effect: &Effect) -> bool {
        match effect {
            Effect::SendAttempt { attempt, .. } => self.unsent.remove(attempt),
            _ => true,
        }
    }

    /// Cancels an attempt that still waits here; whether there was one.
    pub fn cancel(&mut self, attempt: AttemptId) -> bool {
        self.unsent.remove(&attempt)
    }

    /// No record will become durable any more. What was not sent must not be, since its lease may
    /// not be on disk, and none is renewed. Ends and notices are released all the same: the leases
    /// behind them are on disk, so no other process runs these jobs anew.
    pub fn fail(&mut self) -> Vec<ReleasedEffect> {
        self.failed = true;
        let mut released = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let is_wanted = self.is_wanted(&waiting.effect);
            released.extend(release_after_failure(waiting.effect, is_wanted));
        }
        released
    }

    /// Releases what has waited too long: a client is answered that its request failed while it
    /// still waits, which claims nothing; an attempt is not worth sending any more.
    pub fn expire(&mut self, now: Nanos) -> Vec<ReleasedEffect> {
        let all = std::mem::take(&mut self.waiting).into_iter();
        let (expired, waiting): (VecDeque<_>, VecDeque<_>) = all.partition(|waiting| waiting.until <= now);
        self.waiting = waiting;
        expired.into_iter().filter_map(|expired| self.release_expired(expired.effect)).collect()
    }

    fn release_expired(&mut self, effect: Effect) -> Option<ReleasedEffect> {
        match effect {
            Effect::Answer { request_id, .. } => {
                let failed = Effect::Answer { request_id, answer: Answer::Failed, job: None };
                Some(ReleasedEffect::Perform(failed))
            }
            Effect::SendAttempt { attempt, .. } => {
                self.unsent.remove(&attempt).then_some(ReleasedEffect::NeverSent(attempt))
            }
            Effect::Acknowledge { notice_id, .. } => Some(ReleasedEffect::Unacknowledged(notice_id)),
            other => Some(ReleasedEffect::Perform(other)),
        }
    }
}

/// What becomes of an effect when the log has failed.
fn release_after_failure(effect: Effect, is_wanted: bool) -> Option<ReleasedEffect> {
    match effect {
        Effect::SendAttempt { attempt, .. } => is_wanted.then_some(ReleasedEffect::NeverSent(attempt)),
        Effect::Acknowledge { notice_id, reply: NoticeReply::Acknowledged { .. } } => {
            let reply = NoticeReply::Acknowledged { lease: None };
            Some(ReleasedEffect::Perform(Effect::Acknowledge { notice_id, reply }))
        }
        other => Some(ReleasedEffect::Perform(other)),
    }
}
