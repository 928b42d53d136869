//! Retries of a request: they join one that is open, or are answered as the first was.
use super::recording::recorded_answer;
use super::{DURABLE_RETRY_AFTER, after_durable};
use crate::request_table::JoinedClient;
use crate::timers::Timer;
use crate::{Answer, Effect, Engine, Job};
use spanlead_balancing_policy::{Nanos, RequestId};
use spanlead_durable_jobs::{JobNumber, KeyLookup, PastAttempt};

/// The time before a joined client gives up at which it is answered, in ticks.
const JOINED_ANSWER_TICKS: Nanos = 2;

/// What is known of a request.
pub(crate) enum KnownRequest {
    /// It is new, and goes on from these attempts of an earlier one, whose outcome is not known.
    New(Vec<PastAttempt>),
    /// It repeats one that is open.
    Open(RequestId),
    /// It has its answer.
    Ended {
        /// The answer.
        answer: Answer,
        /// The job whose answer it is.
        job: Option<JobNumber>,
    },
}

impl Engine {
    /// A client of the process before comes back with its durable request. That is open here since
    /// the log was read, or has had its end since; it is not accepted anew.
    pub(crate) fn adopt_durable_request(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        job: Job,
        out: &mut Vec<Effect>,
    ) {
        let open = self.durable.as_ref().and_then(|jobs| jobs.open_request(&job.id));
        if let Some(first) = open {
            return self.join(request_id, first, job, out);
        }
        match self.recognise(now, &job) {
            KnownRequest::Open(first) => self.join(request_id, first, job, out),
            KnownRequest::Ended { answer, job: number } => {
                self.requests.count(job.class, &answer);
                out.push(after_durable(Effect::Answer { request_id, answer, job: number }, job.deadline));
            }
            KnownRequest::New(_) => self.fail_client(request_id, job.class, out),
        }
    }

    fn fail_client(&mut self, request_id: RequestId, class: u32, out: &mut Vec<Effect>) {
        self.requests.count(class, &Answer::Failed);
        out.push(Effect::Answer { request_id, answer: Answer::Failed, job: None });
    }

    /// What is known of a request, by its idempotency key.
    pub(crate) fn recognise(&mut self, now: Nanos, job: &Job) -> KnownRequest {
        let key = self.idempotency_key(job);
        let Some(jobs) = &mut self.durable else { return KnownRequest::New(Vec::new()) };
        jobs.job_table.expire(now);
        let (Some(key), Some(request)) = (key, &job.durable_request) else {
            return KnownRequest::New(Vec::new());
        };
        match jobs.job_table.lookup(&key, &request.fingerprint) {
            KeyLookup::New => KnownRequest::New(Vec::new()),
            KeyLookup::Retryable(unresolved) => KnownRequest::New(unresolved),
            KeyLookup::RequestMismatch => {
                jobs.counters.mismatched += 1;
                KnownRequest::Ended { answer: Answer::KeyMismatch, job: None }
            }
            KeyLookup::Finished(number, end) => {
                jobs.counters.replayed += 1;
                KnownRequest::Ended { answer: recorded_answer(&end), job: Some(number) }
            }
            KeyLookup::InProgress(number) => match jobs.open_requests.get(&number) {
                Some(first) => KnownRequest::Open(*first),
                // It is on its way to another process.
                None => {
                    let answer = Answer::Rejected { retry_after: Some(DURABLE_RETRY_AFTER) };
                    KnownRequest::Ended { answer, job: None }
                }
            },
        }
    }

    /// Lets a client wait for the answer to another's request, until its own time is up.
    pub(crate) fn join(&mut self, request_id: RequestId, first: RequestId, job: Job, out: &mut Vec<Effect>) {
        let client = JoinedClient { request_id, job_id: job.id };
        if !self.requests.join(first, client) {
            // Its end waits only for a worker to know of it.
            return self.fail_client(request_id, job.class, out);
        }
        if let Some(jobs) = &mut self.durable {
            jobs.counters.joined += 1;
        }
        let answer_by = job.deadline.saturating_sub(JOINED_ANSWER_TICKS * self.classes.tick);
        self.timers.set(answer_by, Timer::JoinedOverdue(request_id));
    }

    /// The time of a client that waits for another's request is up; that request goes on.
    pub(crate) fn joined_overdue(&mut self, request_id: RequestId, out: &mut Vec<Effect>) {
        if self.requests.remove_joined(request_id) {
            out.push(Effect::Answer { request_id, answer: Answer::Failed, job: None });
        }
    }

    /// Whether the request goes on although this client has disconnected: others wait for it, or it
    /// may come back by its key.
    pub(crate) fn outlives_client(&mut self, request_id: RequestId) -> bool {
        if self.requests.remove_joined(request_id) {
            return true;
        }
        let Some(request) = self.requests.get(request_id).filter(|request| !request.answered) else {
            return false;
        };
        let job = request.durable.and_then(|number| self.durable.as_ref()?.job_table.job(number));
        let has_key = job.is_some_and(|job| job.accepted.key.is_some());
        let goes_on = !request.joined.is_empty() || has_key;
        if goes_on {
            self.requests.detach_client(request_id);
        }
        goes_on
    }
}
