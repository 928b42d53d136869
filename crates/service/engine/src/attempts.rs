//! Attempts of requests at workers, from the dispatch to the one place where they end.
use crate::durable::after_durable;
use crate::request_table::{Attempt, AttemptStage};
use crate::timers::Timer;
use crate::{Answer, AttemptId, DispatchResult, Effect, Engine, MS};
use spanlead_balancing_policy::{Event, LoadReport, Nanos, Outcome, RequestId, WorkerId};
use spanlead_durable_jobs::JobNumber;
use std::net::{Ipv4Addr, SocketAddr};

/// How long a worker may take to acknowledge that an attempt is cancelled when the request is over
/// anyway.
pub(crate) const CANCEL_TIMEOUT: Nanos = 1_000 * MS;
/// How long a worker may take to say that it has a job: it answers at once, so one that does not by
/// then has lost it.
pub(crate) const ACCEPT_TIMEOUT: Nanos = 1_000 * MS;

/// The address of an attempt that goes nowhere.
const NO_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// What an attempt is dispatched with.
struct AttemptPlan {
    addr: SocketAddr,
    /// When the time that it gets is up.
    until: Nanos,
    durable: Option<JobNumber>,
    /// The client that brought the request waits here, with the request.
    client_waits: bool,
}

impl Engine {
    /// The policy sends a request to a worker; `timeout` is what it gives the attempt.
    pub(crate) fn send_attempt(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        worker: &WorkerId,
        timeout: Option<Nanos>,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(request_id) else { return };
        let number = request.attempts.len() as u32;
        let attempt = AttemptId { request: request_id, number };
        let Some(plan) = self.plan_attempt(now, request_id, worker, timeout) else {
            return self.attempt_not_sent(now, attempt, worker, out);
        };
        self.add_attempt(now, attempt, worker, plan.addr, AttemptStage::Dispatched);
        let lease = plan.durable.and_then(|job| self.grant_lease(now, job, attempt, out));
        self.timers.set(plan.until, Timer::AttemptTimeout(attempt));
        self.timers.set(plan.until.min(now + ACCEPT_TIMEOUT), Timer::AcceptTimeout(attempt));
        let encoded_request =
            plan.durable.filter(|_| !plan.client_waits).and_then(|job| self.stored_request(job));
        let (addr, until) = (plan.addr, plan.until);
        let send = Effect::SendAttempt { attempt, addr, until, lease, encoded_request };
        out.push(if plan.durable.is_some() { after_durable(send, until) } else { send });
    }

    /// What an attempt is dispatched with; `None` if it must not go out.
    fn plan_attempt(
        &self,
        now: Nanos,
        request_id: RequestId,
        worker: &WorkerId,
        timeout: Option<Nanos>,
    ) -> Option<AttemptPlan> {
        let request = self.requests.get(request_id)?;
        let until = timeout.map_or(request.deadline, |span| request.deadline.min(now + span));
        // What cannot be recorded must not go out.
        let is_unrecordable =
            request.durable.is_some() && self.durable.as_ref().is_none_or(|jobs| jobs.failed);
        if request.answered || now >= until || is_unrecordable {
            return None;
        }
        let addr = self.workers.get(&worker.0)?.host.addr;
        let (durable, client_waits) = (request.durable, request.client_waits);
        Some(AttemptPlan { addr, until, durable, client_waits })
    }

    fn add_attempt(
        &mut self,
        now: Nanos,
        attempt: AttemptId,
        worker: &WorkerId,
        addr: SocketAddr,
        stage: AttemptStage,
    ) {
        let Some(request) = self.requests.get_mut(attempt.request) else { return };
        request.attempts.push(Attempt {
            worker: worker.0.clone(),
            addr,
            sent: now,
            stage,
            may_have_run: stage != AttemptStage::Ended,
            token: None,
            lease_until: None,
        });
    }

    /// Tells the policy that an attempt has not gone out.
    fn attempt_not_sent(&mut self, now: Nanos, attempt: AttemptId, worker: &WorkerId, out: &mut Vec<Effect>) {
        self.add_attempt(now, attempt, worker, NO_ADDRESS, AttemptStage::Ended);
        let closed = self.requests.get(attempt.request).is_some_and(|request| request.answered);
        let event = Event::AttemptEnded {
            id: attempt.request,
            attempt: attempt.number,
            outcome: Outcome::NotSent,
            closed,
            elapsed: 0,
            report: None,
        };
        self.run_policy(now, event, out);
    }

    /// The exchange that dispatches an attempt has ended.
    pub(crate) fn dispatch_finished(
        &mut self,
        now: Nanos,
        attempt: AttemptId,
        result: DispatchResult,
        out: &mut Vec<Effect>,
    ) {
        let is_open = match self.requests.stage(attempt) {
            Some(AttemptStage::Dispatched | AttemptStage::Cancelling(_)) => true,
            // It was cancelled meanwhile, or a worker's notice has ended it before the answer to
            // the dispatch came.
            Some(AttemptStage::Accepted | AttemptStage::Ended) | None => false,
        };
        match result {
            DispatchResult::Accepted { lease_aware } => {
                if self.requests.stage(attempt) == Some(AttemptStage::Dispatched) {
                    self.requests.set_stage(attempt, AttemptStage::Accepted);
                    self.record_accepted(attempt, lease_aware, out);
                }
            }
            DispatchResult::Ended(outcome, report) if is_open => {
                self.end_attempt(now, attempt, outcome, report, out);
            }
            // The fault is the request's, so the worker must not be avoided for it, and a retry
            // would only take it to the next one.
            DispatchResult::Unprocessable if is_open => {
                self.answer(now, attempt.request, Answer::Unprocessable, out);
                self.end_attempt(now, attempt, Outcome::Cancelled, None, out);
            }
            DispatchResult::Ended(..) | DispatchResult::Unprocessable => {}
        }
    }

    /// The worker knows that an attempt is cancelled.
    pub(crate) fn attempt_cancelled(&mut self, now: Nanos, attempt: AttemptId, out: &mut Vec<Effect>) {
        if let Some(AttemptStage::Cancelling(outcome)) = self.requests.stage(attempt) {
            self.end_attempt(now, attempt, outcome, None, out);
        }
    }

    /// Cancels an attempt. While another may follow, its outcome waits until the worker knows, so
    /// that two are never pending at once; when the request is over, nothing waits for it.
    pub(crate) fn cancel_attempt(
        &mut self,
        now: Nanos,
        attempt: AttemptId,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(attempt.request) else { return };
        let is_over = request.answered || now >= request.deadline;
        let (deadline, job_id) = (request.deadline, request.job_id.clone());
        let Some(this) = request.attempts.get_mut(attempt.number as usize) else { return };
        let accepted = match this.stage {
            AttemptStage::Dispatched => false,
            AttemptStage::Accepted => true,
            AttemptStage::Cancelling(_) | AttemptStage::Ended => return,
        };
        this.stage = AttemptStage::Cancelling(outcome);
        let addr = this.addr;
        let until = if is_over { now + CANCEL_TIMEOUT } else { deadline.max(now + CANCEL_TIMEOUT) };
        out.push(Effect::CancelAttempt { attempt, addr, job_id, accepted, until });
        if is_over {
            self.end_attempt(now, attempt, outcome, None, out);
        }
    }

    /// Cancels all attempts of a request.
    pub(crate) fn cancel_attempts(&mut self, now: Nanos, request_id: RequestId, out: &mut Vec<Effect>) {
        let attempts = self.requests.get(request_id).map_or(0, |request| request.attempts.len());
        for number in 0..attempts as u32 {
            let attempt = AttemptId { request: request_id, number };
            self.cancel_attempt(now, attempt, Outcome::Cancelled, out);
        }
    }

    /// The one place where an attempt ends.
    pub(crate) fn end_attempt(
        &mut self,
        now: Nanos,
        attempt: AttemptId,
        outcome: Outcome,
        report: Option<LoadReport>,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(attempt.request) else { return };
        let (closed, durable) = (request.answered, request.durable);
        let Some(this) = request.attempts.get_mut(attempt.number as usize) else { return };
        if this.stage == AttemptStage::Ended {
            return;
        }
        this.stage = AttemptStage::Ended;
        this.may_have_run = !outcome.never_ran();
        let (may_have_run, token) = (this.may_have_run, this.token);
        let elapsed = now.saturating_sub(this.sent);
        self.record_released(durable, token, may_have_run, out);
        let (id, attempt_number) = (attempt.request, attempt.number);
        let event = Event::AttemptEnded { id, attempt: attempt_number, outcome, closed, elapsed, report };
        self.run_policy(now, event, out);
        self.remove_if_done(attempt.request);
    }
}
