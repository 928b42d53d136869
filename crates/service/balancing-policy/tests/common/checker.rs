//! Checks a dispatcher's actions against the safety rules, independently of the dispatcher's code.
//!
//! - Rule 1: each request gets exactly one final answer, no later than its deadline.
//! - Rule 2: a request that may have run is sent again, or rejected (which invites its client to
//!   retry), only as far as the idempotency of its class permits.
//! - Rule 3: requests are sent only to workers that are ready by the endpoint list.
//!
//! The checker also verifies the configured limits: attempts per request, hedging, cancellation,
//! probes and peer messages.

use spanlead_balancing_policy::{
    Action, DeduplicationScope, Idempotency, Nanos, Outcome, RequestId, Settings, WorkerId, WorkerState,
};
use std::collections::BTreeMap;

/// An attempt that the dispatcher sent.
pub struct SentAttempt {
    pub worker: String,
    pub sent_at: Nanos,
    /// The outcome of the attempt; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl SentAttempt {
    fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// A request that was submitted to the dispatcher; `closed` once it has its final answer or its
/// client has left.
pub struct SubmittedRequest {
    pub class: usize,
    pub deadline: Nanos,
    pub closed: bool,
    pub attempts: Vec<SentAttempt>,
}

/// A worker that appeared in an update of the endpoint list.
pub struct KnownWorker {
    pub state: WorkerState,
    pub zone: u32,
    pub cell: u32,
    pub started_at: Option<Nanos>,
}

/// The requests, attempts and workers as seen from outside of the dispatcher, with the settings
/// that the rules depend on.
pub struct Checker {
    pub settings: Settings,
    pub requests: BTreeMap<u64, SubmittedRequest>,
    pub workers: BTreeMap<String, KnownWorker>,
}

impl Checker {
    /// Creates a checker without requests or workers.
    pub fn new(settings: Settings) -> Self {
        Checker { settings, requests: BTreeMap::new(), workers: BTreeMap::new() }
    }

    /// Checks an action of the dispatcher and records its effect.
    ///
    /// # Errors
    /// A description of the rule or limit that the action violates.
    pub fn check(&mut self, now: Nanos, action: &Action) -> Result<(), String> {
        let limits = &self.settings.limits;
        match action {
            Action::Send { id, worker, .. } => self.check_send(now, *id, worker),
            Action::Reject { id, .. } => {
                self.close(*id)?;
                self.check_rejection(*id)
            }
            Action::Fail { id } => self.close(*id),
            Action::Cancel { .. } if !limits.can_cancel => {
                Err("cancelled an attempt although `can_cancel` is false".into())
            }
            Action::Probe { .. } if !limits.can_probe => {
                Err("probed a worker although `can_probe` is false".into())
            }
            Action::SendToPeer { .. } if !limits.can_message_peers => {
                Err("sent a peer message although `can_message_peers` is false".into())
            }
            _ => Ok(()),
        }
    }

    fn check_send(&mut self, now: Nanos, id: RequestId, worker: &WorkerId) -> Result<(), String> {
        let target =
            self.workers.get(&*worker.0).ok_or("sent to a worker that no endpoint list contained")?;
        if target.state != WorkerState::Ready {
            return Err(format!(
                "rule 3: sent to worker {}, which is {:?}, not Ready",
                worker.0, target.state
            ));
        }
        let request = self.requests.get(&id.0).ok_or("sent a request that was never submitted")?;
        if request.closed {
            return Err("rule 1: sent a request that is already closed".into());
        }
        if request.attempts.len() >= self.settings.limits.max_attempts as usize {
            return Err("sent more attempts of a request than `max_attempts`".into());
        }
        let is_in_flight = request.attempts.iter().any(|attempt| attempt.outcome.is_none());
        if !self.settings.limits.can_hedge && is_in_flight {
            return Err("sent a second attempt while one is in flight although `can_hedge` is false".into());
        }
        for attempt in request.attempts.iter().filter(|attempt| attempt.may_have_run()) {
            self.check_repeat(now, request, attempt, target)?;
        }
        let attempt = SentAttempt { worker: worker.0.to_string(), sent_at: now, outcome: None };
        self.requests.get_mut(&id.0).expect("just found").attempts.push(attempt);
        Ok(())
    }

    /// Checks by rule 2 that a request may be sent to `target` at `now`, given one of its earlier
    /// attempts that may have run.
    fn check_repeat(
        &self,
        now: Nanos,
        request: &SubmittedRequest,
        attempt: &SentAttempt,
        target: &KnownWorker,
    ) -> Result<(), String> {
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => Ok(()),
            Idempotency::AtMostOnce => {
                Err("rule 2: sent an at-most-once request again although it may have run".into())
            }
            Idempotency::Deduplicated { scope, window } => {
                let first = &self.workers[&attempt.worker];
                let is_in_scope = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => first.zone == target.zone,
                    DeduplicationScope::Cell => first.cell == target.cell,
                };
                // Opening the connection may take up to the connect timeout before the request is
                // sent.
                let latest_send = now + self.settings.limits.connect_timeout;
                if !is_in_scope || latest_send > attempt.sent_at + window {
                    return Err("rule 2: sent a deduplicated request outside of its scope or window".into());
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
        if is_allowed { Ok(()) } else { Err("rule 2: rejected a request that may have run".into()) }
    }

    fn close(&mut self, id: RequestId) -> Result<(), String> {
        let request = self.requests.get_mut(&id.0).ok_or("answered a request that was never submitted")?;
        if std::mem::replace(&mut request.closed, true) {
            return Err("rule 1: answered a request that is already closed".into());
        }
        Ok(())
    }

    /// Returns the id of a request that is still open after its deadline, which violates rule 1.
    pub fn overdue_request(&self, now: Nanos) -> Option<u64> {
        let is_overdue = |request: &SubmittedRequest| !request.closed && now > request.deadline;
        self.requests.iter().find(|(_, request)| is_overdue(request)).map(|(id, _)| *id)
    }
}
