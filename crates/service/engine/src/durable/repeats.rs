//! Client retries, identified by their idempotency key: a retry joins the request that is still
//! open, or gets the answer to the request that has finished.
use super::recording::answer_of;
use super::{DURABLE_RETRY_AFTER, after_durable};
use crate::request_table::JoinedClient;
use crate::timers::Timer;
use crate::{Answer, Effect, Engine, JobRequest};
use spanlead_balancing_policy::{Nanos, RequestId};
use spanlead_durable_jobs::{JobNumber, KeyLookup, PastAttempt};

/// How long before its deadline a joined client is answered at the latest, in ticks.
const JOINED_ANSWER_MARGIN_TICKS: Nanos = 2;

/// The result of looking up a request by its idempotency key.
pub(crate) enum RequestLookup {
    /// The request is new. It continues from these attempts of an earlier request with its key,
    /// which may have run; there are none if the key is new.
    New(Vec<PastAttempt>),
    /// The request is a retry of this open request.
    InProgress(RequestId),
    /// The request can be answered at once.
    Finished {
        /// The answer.
        answer: Answer,
        /// The job whose outcome the answer is, if there is one.
        job: Option<JobNumber>,
    },
}

impl Engine {
    /// Handles a durable request that a previous process accepted and whose client has been handed
    /// over to this process. The request was recovered from the log, so it is open here or has
    /// finished since; it is not accepted again.
    pub(crate) fn adopt_durable_request(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        job: JobRequest,
        out: &mut Vec<Effect>,
    ) {
        let open = self.durable.as_ref().and_then(|jobs| jobs.open_request(&job.id));
        if let Some(first) = open {
            return self.join(request_id, first, job, out);
        }
        match self.look_up_request(now, &job) {
            RequestLookup::InProgress(first) => self.join(request_id, first, job, out),
            RequestLookup::Finished { answer, job: number } => {
                self.requests.count(job.class, &answer);
                out.push(after_durable(Effect::Answer { request_id, answer, job: number }, job.deadline));
            }
            RequestLookup::New(_) => self.fail_client(request_id, job.class, out),
        }
    }

    /// Counts and answers a client's request as failed.
    fn fail_client(&mut self, request_id: RequestId, class: u32, out: &mut Vec<Effect>) {
        self.requests.count(class, &Answer::Failed);
        out.push(Effect::Answer { request_id, answer: Answer::Failed, job: None });
    }

    /// Looks up a request by its idempotency key; a request without a key is new.
    pub(crate) fn look_up_request(&mut self, now: Nanos, job: &JobRequest) -> RequestLookup {
        let key = self.idempotency_key(job);
        let Some(jobs) = &mut self.durable else { return RequestLookup::New(Vec::new()) };
        jobs.job_table.expire(now);
        let (Some(key), Some(request)) = (key, &job.durable_request) else {
            return RequestLookup::New(Vec::new());
        };
        match jobs.job_table.lookup(&key, &request.fingerprint) {
            KeyLookup::New => RequestLookup::New(Vec::new()),
            KeyLookup::Retryable(unresolved) => RequestLookup::New(unresolved),
            KeyLookup::RequestMismatch => {
                jobs.counters.mismatched += 1;
                RequestLookup::Finished { answer: Answer::KeyMismatch, job: None }
            }
            KeyLookup::Finished(number, outcome) => {
                jobs.counters.replayed += 1;
                RequestLookup::Finished { answer: answer_of(&outcome), job: Some(number) }
            }
            KeyLookup::InProgress(number) => match jobs.open_requests.get(&number) {
                Some(first) => RequestLookup::InProgress(*first),
                // The request is being handed over to another process.
                None => {
                    let answer = Answer::Rejected { retry_after: Some(DURABLE_RETRY_AFTER) };
                    RequestLookup::Finished { answer, job: None }
                }
            },
        }
    }

    /// Lets a client wait for the answer to an open request of another client, until shortly before
    /// its own deadline.
    pub(crate) fn join(
        &mut self,
        request_id: RequestId,
        first: RequestId,
        job: JobRequest,
        out: &mut Vec<Effect>,
    ) {
        let client = JoinedClient { request_id, job_id: job.id };
        if !self.requests.join(first, client) {
            // The request is already answered and only waits for workers to confirm that its
            // attempts are cancelled.
            return self.fail_client(request_id, job.class, out);
        }
        if let Some(jobs) = &mut self.durable {
            jobs.counters.joined += 1;
        }
        let answer_by = job.deadline.saturating_sub(JOINED_ANSWER_MARGIN_TICKS * self.classes.tick);
        self.timers.set(answer_by, Timer::JoinedOverdue(request_id));
    }

    /// Answers a joined client whose deadline has come as failed; the request that it joined
    /// continues.
    pub(crate) fn joined_overdue(&mut self, request_id: RequestId, out: &mut Vec<Effect>) {
        if self.requests.remove_joined(request_id) {
            out.push(Effect::Answer { request_id, answer: Answer::Failed, job: None });
        }
    }

    /// Detaches a client that has disconnected from its request, if the request continues without
    /// it: other clients wait for the answer, or this client may retry with its key. Returns
    /// whether the request continues.
    pub(crate) fn continue_without_client(&mut self, request_id: RequestId) -> bool {
        if self.requests.remove_joined(request_id) {
            return true;
        }
        let Some(request) = self.requests.get(request_id).filter(|request| !request.answered) else {
            return false;
        };
        let job = request.durable.and_then(|number| self.durable.as_ref()?.job_table.job(number));
        let has_key = job.is_some_and(|job| job.accepted.key.is_some());
        let continues = !request.joined.is_empty() || has_key;
        if continues {
            self.requests.detach_client(request_id);
        }
        continues
    }
}
