//! The life of a request: it is accepted once, answered once and removed in one place.
use crate::durable::repeats::RequestLookup;
use crate::durable::{after_durable, answer_effect};
use crate::request_table::{Attempt, AttemptStage, Request};
use crate::timers::Timer;
use crate::{Answer, AttemptId, AttemptSnapshot, Effect, Engine, JobRequest, MS};
use spanlead_balancing_policy::{Event, Nanos, PriorAttempt, RequestId, WorkerId};
use spanlead_durable_jobs::JobNumber;
use std::sync::Arc;

/// Retry delay advised to a client when too many requests are open or the process is shutting down.
const OVERLOAD_RETRY_AFTER: Nanos = 300 * MS;

/// A request to be opened.
pub(crate) struct NewRequest {
    pub(crate) request_id: RequestId,
    pub(crate) job: JobRequest,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) durable: Option<JobNumber>,
    /// Whether a client of this process waits for the answer.
    pub(crate) client_waits: bool,
}

impl Engine {
    /// Processes a client's request, or one that another process hands over with its attempts
    /// (`previous`).
    pub(crate) fn receive_request(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        job: JobRequest,
        previous: Option<Vec<AttemptSnapshot>>,
        out: &mut Vec<Effect>,
    ) {
        let unresolved = match self.look_up_request(now, &job) {
            RequestLookup::New(unresolved) => unresolved,
            RequestLookup::InProgress(first) => return self.join(request_id, first, job, out),
            RequestLookup::Finished { answer, job: job_number } => {
                self.requests.count(job.class, &answer);
                let effect = Effect::Answer { request_id, answer, job: job_number };
                return out.push(after_durable(effect, job.deadline));
            }
        };
        if let Some(answer) = self.rejection(now, &job, previous.is_some()) {
            self.requests.count(job.class, &answer);
            return out.push(Effect::Answer { request_id, answer, job: None });
        }
        let previous = previous.unwrap_or_default();
        // A request that is handed over with attempts was not durable in the process before and
        // does not become durable here.
        let durable = if previous.is_empty() {
            self.record_accepted_job(now, &job, unresolved.clone(), out)
        } else {
            None
        };
        if durable.is_some() && !unresolved.is_empty() {
            // The request continues from the unresolved attempts of an earlier one with its key.
            return self.resume_retry(now, request_id, job, durable, unresolved, out);
        }
        self.open_request(now, request_id, job, durable, previous, out);
    }

    /// The answer to a request that must be rejected. Neither a shutdown nor the limit on open
    /// requests applies to a request that was handed over, since another process has accepted it.
    fn rejection(&mut self, now: Nanos, job: &JobRequest, is_handed_over: bool) -> Option<Answer> {
        // No worker could tell two open requests with the same id apart; it would take them for two
        // attempts of one request.
        if self.requests.id_of_job(&job.id).is_some() {
            return Some(Answer::DuplicateId);
        }
        let is_closed_or_full = !self.lifecycle.accepts_requests(now) || self.requests.is_full();
        if is_closed_or_full && !is_handed_over {
            return Some(Answer::Rejected { retry_after: Some(OVERLOAD_RETRY_AFTER) });
        }
        self.durable_rejection(job)
    }

    fn open_request(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        job: JobRequest,
        durable: Option<JobNumber>,
        previous: Vec<AttemptSnapshot>,
        out: &mut Vec<Effect>,
    ) {
        let deadline = job.deadline;
        let all_known = previous.iter().all(|attempt| self.workers.get(&attempt.worker).is_some());
        let attempts = previous.iter().filter_map(|attempt| self.resumed_attempt(attempt)).collect();
        let request = self.admit(now, NewRequest { request_id, job, attempts, durable, client_waits: true });
        if previous.is_empty() {
            return self.run_policy(now, Event::RequestArrived(request), out);
        }
        if !all_known {
            // The policy cannot be told of an attempt at an unknown worker, so it could dispatch
            // the job again although it may have run there.
            self.answer(now, request_id, Answer::Failed, out);
            return self.cancel_attempts(now, request_id, out);
        }
        for number in 0..previous.len() as u32 {
            let attempt = AttemptId { request: request_id, number };
            self.timers.set(deadline, Timer::AttemptTimeout(attempt));
        }
        let attempts: Vec<PriorAttempt> = previous.into_iter().map(prior_attempt).collect();
        self.run_policy(now, Event::RequestAdopted { request, attempts: &attempts }, out);
    }

    /// Converts an attempt made by another process; `None` if its worker is not known here.
    fn resumed_attempt(&self, attempt: &AttemptSnapshot) -> Option<Attempt> {
        let is_pending = attempt.may_have_run.is_none();
        Some(Attempt {
            worker: attempt.worker.clone(),
            addr: self.workers.get(&attempt.worker)?.host.addr,
            sent: attempt.sent,
            stage: if is_pending { AttemptStage::Accepted } else { AttemptStage::Ended },
            may_have_run: attempt.may_have_run.unwrap_or(true),
            token: None,
            lease_until: None,
        })
    }

    /// Opens a request and returns the policy's view of it.
    pub(crate) fn admit(&mut self, now: Nanos, new: NewRequest) -> spanlead_balancing_policy::Request {
        let NewRequest { request_id, job, attempts, durable, client_waits } = new;
        let request = Request {
            job_id: job.id,
            class: job.class,
            deadline: job.deadline,
            answered: false,
            attempts,
            durable,
            client_waits,
            joined: Vec::new(),
        };
        self.requests.insert(request_id, request);
        if let (Some(job_number), Some(jobs)) = (durable, &mut self.durable) {
            jobs.open_requests.insert(job_number, request_id);
        }
        self.timers.set(job.deadline + self.classes.tick, Timer::RequestOverdue(request_id));
        spanlead_balancing_policy::Request {
            id: request_id,
            class: job.class,
            slots: job.slots,
            memory: job.memory,
            tenant: job.tenant,
            affinity_key: job.affinity_key,
            expected_work: None,
            time_left: job.deadline.saturating_sub(now),
        }
    }

    pub(crate) fn client_disconnected(&mut self, now: Nanos, request_id: RequestId, out: &mut Vec<Effect>) {
        if self.continue_without_client(request_id) {
            return;
        }
        let durable = self.requests.get(request_id).and_then(|request| request.durable);
        if !self.requests.mark_answered(request_id, &Answer::Failed) {
            return;
        }
        self.record_finished(now, durable, &Answer::Failed, out);
        self.run_policy(now, Event::ClientGone(request_id), out);
        self.cancel_attempts(now, request_id, out);
        self.remove_if_done(request_id);
    }

    /// Answers a request, to its own client and to the joined ones, unless it was answered before.
    pub(crate) fn answer(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        answer: Answer,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(request_id) else { return };
        let (client_waits, durable, deadline) = (request.client_waits, request.durable, request.deadline);
        if !self.requests.mark_answered(request_id, &answer) {
            return;
        }
        self.record_finished(now, durable, &answer, out);
        for client in self.requests.take_joined(request_id, &answer) {
            out.push(answer_effect(client.request_id, answer.clone(), durable, deadline));
        }
        if client_waits {
            out.push(answer_effect(request_id, answer, durable, deadline));
        }
        self.remove_if_done(request_id);
    }

    /// Removes a request that is answered and has no pending attempt. Requests that end are removed
    /// nowhere else.
    pub(crate) fn remove_if_done(&mut self, request_id: RequestId) {
        if let Some(request) = self.requests.remove_done(request_id)
            && let (Some(job), Some(jobs)) = (request.durable, &mut self.durable)
        {
            jobs.open_requests.remove(&job);
        }
    }
}

fn prior_attempt(attempt: AttemptSnapshot) -> PriorAttempt {
    let worker: Arc<str> = attempt.worker;
    PriorAttempt { worker: WorkerId(worker), sent_at: attempt.sent, may_have_run: attempt.may_have_run }
}
