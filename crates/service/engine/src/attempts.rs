//! Attempts to run requests at workers, from the dispatch to the end.
use crate::durable::after_durable;
use crate::request_table::{Attempt, AttemptStage};
use crate::timers::Timer;
use crate::{Answer, AttemptId, DispatchResult, Effect, Engine, MS};
use spanlead_balancing_policy::{Event, LoadReport, Nanos, Outcome, RequestId, WorkerId};
use spanlead_durable_jobs::JobNumber;
use std::net::{Ipv4Addr, SocketAddr};

/// How long a worker may take to confirm a cancellation when the request is over anyway.
pub(crate) const CANCEL_TIMEOUT: Nanos = 1_000 * MS;
/// How long a worker may take to accept a job. Workers answer a dispatch at once, so one that has
/// not answered by then has lost the job.
pub(crate) const ACCEPT_TIMEOUT: Nanos = 1_000 * MS;

/// The address recorded for an attempt that was not sent.
const NO_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// The parameters of a dispatch.
struct AttemptPlan {
    addr: SocketAddr,
    /// The time at which the attempt times out.
    until: Nanos,
    durable: Option<JobNumber>,
    /// Whether the client that sent the request waits in this process, which then holds the
    /// request.
    client_waits: bool,
}

impl Engine {
    /// Dispatches a request to a worker on behalf of the policy; `timeout` limits the attempt,
    /// which otherwise lasts until the request's deadline.
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
            return self.report_not_sent(now, attempt, worker, out);
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

    /// The parameters of a dispatch; `None` if the attempt must not be sent: the request is
    /// answered, no time is left, its records cannot be written, or the worker is not known.
    fn plan_attempt(
        &self,
        now: Nanos,
        request_id: RequestId,
        worker: &WorkerId,
        timeout: Option<Nanos>,
    ) -> Option<AttemptPlan> {
        let request = self.requests.get(request_id)?;
        let until = timeout.map_or(request.deadline, |span| request.deadline.min(now + span));
        // An attempt of a durable job whose lease cannot be recorded must not be sent.
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

    /// Records an attempt that was not sent and reports it to the policy.
    fn report_not_sent(&mut self, now: Nanos, attempt: AttemptId, worker: &WorkerId, out: &mut Vec<Effect>) {
        self.add_attempt(now, attempt, worker, NO_ADDRESS, AttemptStage::Ended);
        let closed = self.requests.get(attempt.request).is_some_and(|request| request.answered);
        let event = Event::AttemptEnded {
            id: attempt.request,
            attempt: attempt.number,
            outcome: Outcome::NotSent,
            request_closed: closed,
            elapsed: 0,
            report: None,
        };
        self.run_policy(now, event, out);
    }

    /// Processes the result of the exchange that dispatches an attempt.
    pub(crate) fn dispatch_finished(
        &mut self,
        now: Nanos,
        attempt: AttemptId,
        result: DispatchResult,
        out: &mut Vec<Effect>,
    ) {
        let is_open = match self.requests.stage(attempt) {
            Some(AttemptStage::Dispatched | AttemptStage::Cancelling(_)) => true,
            // A worker's notice was processed before the answer to the dispatch arrived, or the
            // attempt has ended since, for example by cancellation.
            Some(AttemptStage::Accepted | AttemptStage::Ended) | None => false,
        };
        match result {
            DispatchResult::Accepted { lease_aware } => {
                if self.requests.stage(attempt) == Some(AttemptStage::Dispatched) {
                    self.requests.set_stage(attempt, AttemptStage::Accepted);
                    self.record_acknowledged(attempt, lease_aware, out);
                }
            }
            DispatchResult::Ended(outcome, report) if is_open => {
                self.end_attempt(now, attempt, outcome, report, out);
            }
            // The request is at fault: the worker must not be avoided for it, and a retry would
            // only fail at another worker.
            DispatchResult::Unprocessable if is_open => {
                self.answer(now, attempt.request, Answer::Unprocessable, out);
                self.end_attempt(now, attempt, Outcome::Cancelled, None, out);
            }
            DispatchResult::Ended(..) | DispatchResult::Unprocessable => {}
        }
    }

    /// Ends an attempt whose cancellation the worker has confirmed.
    pub(crate) fn attempt_cancelled(&mut self, now: Nanos, attempt: AttemptId, out: &mut Vec<Effect>) {
        if let Some(AttemptStage::Cancelling(outcome)) = self.requests.stage(attempt) {
            self.end_attempt(now, attempt, outcome, None, out);
        }
    }

    /// Cancels an attempt. As long as another attempt may follow, this one ends only when the
    /// worker has confirmed or the call to it was given up, so that two attempts are never pending
    /// at once. When the request is over, the attempt ends immediately.
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

    /// Ends an attempt and reports its outcome to the policy. Attempts that were sent end nowhere
    /// else.
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
        let event = Event::AttemptEnded {
            id,
            attempt: attempt_number,
            outcome,
            request_closed: closed,
            elapsed,
            report,
        };
        self.run_policy(now, event, out);
        self.remove_if_done(attempt.request);
    }
}
