//! Timers, ordered by due time.
use crate::input::AttemptId;
use crate::request_table::AttemptStage;
use crate::{Answer, Effect, Engine};
use spanlead_balancing_policy::{Event, Nanos, Outcome, RequestId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The event that a timer triggers.
pub(crate) enum Timer {
    /// A timer of the balancing policy, with the policy's token.
    Policy(u64),
    /// The attempt has reached the timeout that the policy set.
    AttemptTimeout(AttemptId),
    /// The worker should have accepted the attempt by now.
    AcceptTimeout(AttemptId),
    /// The request is past its deadline.
    RequestOverdue(RequestId),
    /// A client that joined another client's request must be answered before its own deadline.
    JoinedOverdue(RequestId),
    /// A worker's lease may have expired.
    LeaseExpiry(AttemptId),
    /// The next slice of a large change of the endpoint list may be processed.
    ListSlice,
    /// The isolation of a worker's pod or zone may be over.
    EndIsolation(Arc<str>),
    /// The agent that receives the endpoint lists may be watched again.
    WatchAgent,
    /// A heartbeat is due.
    Heartbeat,
    /// The leases on singleton roles must be maintained.
    RoleLeases,
    /// The periodic call of a role is due.
    RoleCall(usize),
}

/// The queue of timers. Timers that are due at the same time fire in the order in which they were
/// set.
#[derive(Default)]
pub(crate) struct TimerQueue {
    timers: BTreeMap<(Nanos, u64), Timer>,
    last_serial: u64,
}

impl TimerQueue {
    /// Sets a timer.
    pub(crate) fn set(&mut self, due: Nanos, timer: Timer) {
        self.last_serial += 1;
        self.timers.insert((due, self.last_serial), timer);
    }

    /// The due time of the earliest timer.
    pub(crate) fn next_due(&self) -> Option<Nanos> {
        self.timers.first_key_value().map(|((due, _), _)| *due)
    }

    /// Removes and returns the earliest timer if it is due.
    fn pop_due(&mut self, now: Nanos) -> Option<Timer> {
        let entry = self.timers.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(entry.remove())
    }
}

impl Engine {
    /// Fires all timers that are due, including those set by the timers fired before, and removes
    /// expired durable jobs.
    pub(crate) fn run_timers(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        while let Some(timer) = self.timers.pop_due(now) {
            self.fire(now, timer, out);
        }
        self.expire_durable_jobs(now, out);
    }

    fn fire(&mut self, now: Nanos, timer: Timer, out: &mut Vec<Effect>) {
        match timer {
            Timer::Policy(token) => self.run_policy(now, Event::TimerFired(token), out),
            Timer::AcceptTimeout(attempt) => {
                if self.requests.stage(attempt) == Some(AttemptStage::Dispatched) {
                    self.cancel_attempt(now, attempt, Outcome::Timeout, out);
                }
            }
            Timer::AttemptTimeout(attempt) => self.cancel_attempt(now, attempt, Outcome::Timeout, out),
            Timer::RequestOverdue(request_id) => self.request_overdue(now, request_id, out),
            Timer::JoinedOverdue(request_id) => self.joined_overdue(request_id, out),
            Timer::LeaseExpiry(attempt) => self.lease_expired(now, attempt, out),
            Timer::ListSlice => self.process_next_slice(now, out),
            Timer::EndIsolation(worker) => self.update_worker(now, worker, out),
            Timer::WatchAgent => self.watch_endpoints(out),
            Timer::Heartbeat => self.heartbeat(now, out),
            Timer::RoleLeases => self.maintain_role_leases(now, out),
            Timer::RoleCall(role) => self.call_role(now, role, out),
        }
    }

    /// Answers a request that is still unanswered past its deadline as failed, so that every
    /// request gets an answer whatever else goes wrong.
    fn request_overdue(&mut self, now: Nanos, request_id: RequestId, out: &mut Vec<Effect>) {
        if self.requests.get(request_id).is_some_and(|request| !request.answered) {
            self.answer(now, request_id, Answer::Failed, out);
            self.run_policy(now, Event::ClientGone(request_id), out);
            self.cancel_attempts(now, request_id, out);
        }
    }
}
