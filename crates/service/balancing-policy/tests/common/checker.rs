//! Checks a dispatcher's actions against the rules, from the outside.

use spanlead_balancing_policy::{
    Action, DeduplicationScope, Idempotency, Nanos, Outcome, RequestId, Settings, WorkerId, WorkerState,
};
use std::collections::BTreeMap;

/// An attempt that the dispatcher has sent.
pub struct SentAttempt {
    pub worker: String,
    pub sent_at: Nanos,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl SentAttempt {
    fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// A request that the dispatcher was given.
pub struct OpenRequest {
    pub class: usize,
    pub deadline: Nanos,
    pub closed: bool,
    pub attempts: Vec<SentAttempt>,
}

/// A worker that the endpoint list has named.
pub struct KnownWorker {
    pub state: WorkerState,
    pub zone: u32,
    pub cell: u32,
    pub started_at: Option<Nanos>,
}

/// What the checker knows, apart from the dispatcher.
pub struct Checker {
    pub settings: Settings,
    pub requests: BTreeMap<u64, OpenRequest>,
    pub workers: BTreeMap<String, KnownWorker>,
}

impl Checker {
    /// A checker that knows nothing yet.
    pub fn new(settings: Settings) -> Self {
        Checker { settings, requests: BTreeMap::new(), workers: BTreeMap::new() }
    }

    /// Whether an action keeps the rules; the error names the one it breaks.
    pub fn check(&mut self, now: Nanos, action: &Action) -> Result<(), String> {
        let limits = &self.settings.limits;
        match action {
            Action::Send { id, worker, .. } => self.check_send(now, *id, worker),
            Action::Reject { id, .. } => {
                self.close(*id)?;
                self.check_rejection(*id)
            }
            Action::Fail { id } => self.close(*id),
            Action::Cancel { .. } if !limits.can_cancel => Err("cancel is not permitted".into()),
            Action::Probe { .. } if !limits.can_probe => Err("probes are not permitted".into()),
            Action::SendToPeer { .. } if !limits.can_message_peers => {
                Err("messages are not permitted".into())
            }
            _ => Ok(()),
        }
    }

    fn check_send(&mut self, now: Nanos, id: RequestId, worker: &WorkerId) -> Result<(), String> {
        let target = self.workers.get(&*worker.0).ok_or("sent to a worker that no list named")?;
        if target.state != WorkerState::Ready {
            return Err(format!("rule 3: {} is {:?}", worker.0, target.state));
        }
        let request = self.requests.get(&id.0).ok_or("sent an unknown request")?;
        if request.closed {
            return Err("rule 1: sent after its end".into());
        }
        if request.attempts.len() >= self.settings.limits.max_attempts as usize {
            return Err("more attempts than permitted".into());
        }
        let is_in_flight = request.attempts.iter().any(|attempt| attempt.outcome.is_none());
        if !self.settings.limits.can_hedge && is_in_flight {
            return Err("two attempts in flight together".into());
        }
        for attempt in request.attempts.iter().filter(|attempt| attempt.may_have_run()) {
            self.check_repeat(now, request, attempt, target)?;
        }
        let attempt = SentAttempt { worker: worker.0.to_string(), sent_at: now, outcome: None };
        self.requests.get_mut(&id.0).expect("just found").attempts.push(attempt);
        Ok(())
    }

    /// Whether a request may be sent to `target` after an attempt that may have run.
    fn check_repeat(
        &self,
        now: Nanos,
        request: &OpenRequest,
        attempt: &SentAttempt,
        target: &KnownWorker,
    ) -> Result<(), String> {
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => Ok(()),
            Idempotency::AtMostOnce => Err("rule 2: an at-most-once request sent twice".into()),
            Idempotency::Deduplicated { scope, window } => {
                let first = &self.workers[&attempt.worker];
                let is_same_group = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => first.zone == target.zone,
                    DeduplicationScope::Cell => first.cell == target.cell,
                };
                // The connection may take its whole time to come up before the send.
                let latest_send = now + self.settings.limits.connect_timeout;
                if !is_same_group || latest_send > attempt.sent_at + window {
                    return Err("rule 2: a deduplicated request left its group or window".into());
                }
                Ok(())
            }
        }
    }

    fn check_rejection(&self, id: RequestId) -> Result<(), String> {
        let request = &self.requests[&id.0];
        let is_allowed = match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated { scope: DeduplicationScope::All, .. } => true,
            _ => request.attempts.iter().all(|attempt| !attempt.may_have_run()),
        };
        if is_allowed { Ok(()) } else { Err("rule 2: rejected what may have run".into()) }
    }

    fn close(&mut self, id: RequestId) -> Result<(), String> {
        let request = self.requests.get_mut(&id.0).ok_or("answered an unknown request")?;
        if std::mem::replace(&mut request.closed, true) {
            return Err("rule 1: a second final answer".into());
        }
        Ok(())
    }

    /// Rule 1 at a point in time: nothing is open past its deadline.
    pub fn overdue(&self, now: Nanos) -> Option<u64> {
        let is_overdue = |request: &OpenRequest| !request.closed && now > request.deadline;
        self.requests.iter().find(|(_, request)| is_overdue(request)).map(|(id, _)| *id)
    }
}
