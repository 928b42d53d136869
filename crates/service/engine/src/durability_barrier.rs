//! The barrier that delays effects until the records that they depend on are durable.
use crate::{Answer, AttemptId, Effect, NoticeReply};
use spanlead_balancing_policy::Nanos;
use std::collections::{HashSet, VecDeque};

/// Holds effects until the records appended before them are durable. Effects that have waited too
/// long, or whose records can no longer become durable, are released in a form that is safe without
/// them.
#[derive(Debug, Default)]
pub struct DurabilityBarrier {
    /// Log sequence number of the last appended record.
    last_appended: u64,
    /// Log sequence number of the last durable record.
    last_durable: u64,
    failed: bool,
    /// In the order of submission, which is also the order of their records.
    waiting: VecDeque<WaitingEffect>,
    /// The attempts among the waiting effects that were not cancelled.
    unsent: HashSet<AttemptId>,
}

/// An effect that waits for a record.
#[derive(Debug)]
struct WaitingEffect {
    record: u64,
    until: Nanos,
    effect: Effect,
}

/// How to proceed with an effect that was submitted to the barrier.
#[derive(Debug)]
pub enum ReleasedEffect {
    /// Perform the effect now.
    Perform(Effect),
    /// The attempt was not sent and must not be sent any more.
    NeverSent(AttemptId),
    /// The notice with this id gets no reply; its worker sends it again.
    Unacknowledged(u64),
}

impl DurabilityBarrier {
    /// Starts from an open log that is durable up to record `last`.
    pub fn open(&mut self, last: u64) {
        (self.last_appended, self.last_durable) = (last, last);
    }

    /// Notes that a record was appended with this log sequence number.
    pub fn record_appended(&mut self, record: u64) {
        self.last_appended = record;
    }

    /// Whether no effect is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Submits an effect that must not be performed before all records appended so far are durable,
    /// and that expires at `until`. Returns what can be released at once.
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

    /// Notes that the records up to `last` are durable, and returns the effects that this releases.
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

    /// Whether an effect is still to be performed: a waiting attempt may have been cancelled.
    fn is_wanted(&mut self, effect: &Effect) -> bool {
        match effect {
            Effect::SendAttempt { attempt, .. } => self.unsent.remove(attempt),
            _ => true,
        }
    }

    /// Cancels an attempt that is still waiting. Returns whether there was one.
    pub fn cancel(&mut self, attempt: AttemptId) -> bool {
        self.unsent.remove(&attempt)
    }

    /// Notes that the log has failed, so that no further record becomes durable, and releases all
    /// effects. Attempts that were not sent must not be, since their leases may not be on disk; no
    /// lease is renewed. Answers and acknowledgements are released all the same: the leases of
    /// their jobs are on disk, so no other process starts these jobs again.
    pub fn fail(&mut self) -> Vec<ReleasedEffect> {
        self.failed = true;
        let mut released = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let is_wanted = self.is_wanted(&waiting.effect);
            released.extend(release_after_failure(waiting.effect, is_wanted));
        }
        released
    }

    /// Releases the effects that have expired by `now`. A waiting client is answered that its
    /// request failed, which claims nothing about the job; an attempt is not sent, since its time
    /// is over.
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

/// The form in which an effect is released after the log has failed.
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
