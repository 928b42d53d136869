//! What the progress and the end of an attempt teach, and whether a job is retried.

use super::Dispatcher;
use super::outlier_detection::{CONNECTION_EJECTION, ERROR_EJECTION};
use super::probes::FREE_SLOT_TARGET;
use crate::api::{Action, Idempotency, LoadReport, Nanos, Outcome, RequestId};
use crate::state::{AttemptState, JobNumber, Phase, RunTimeSample, WorkerIndex};

/// The share of attempts that start within half of their latency target at which the admitted
/// fraction stays as it is.
const TIMELY_START_TARGET: f64 = 0.5;

/// A rejection counts as this many signals of no free capacity.
const SIGNALS_PER_REJECTION: usize = 4;

/// The end of an attempt, as it was reported.
pub(super) struct EndedAttempt {
    pub(super) id: RequestId,
    /// The attempt's number among those of its request.
    pub(super) number: usize,
    pub(super) outcome: Outcome,
    /// The request is finished.
    pub(super) request_closed: bool,
    /// The time since the attempt was sent, in nanoseconds.
    pub(super) elapsed: Nanos,
    pub(super) report: Option<LoadReport>,
}

/// What this dispatcher knows of an attempt that ended.
struct AttemptFacts {
    worker: WorkerIndex,
    class: usize,
    slots: f64,
    has_key: bool,
    fetches_key: bool,
    expected_work: Option<Nanos>,
    first_progress_at: Option<Nanos>,
}

impl Dispatcher {
    /// A streamed answer has begun: the job cannot be sent again.
    pub(super) fn start_response(&mut self, id: RequestId) {
        let number = self.jobs.find(id);
        if let Some(job) = number.and_then(|number| self.jobs.get_mut(number)) {
            job.is_streaming = true;
        }
    }

    /// Takes a report of an attempt's progress: it runs.
    pub(super) fn record_progress(&mut self, now: Nanos, id: RequestId, attempt: usize) {
        let Some(number) = self.jobs.find(id) else { return };
        if let Some(sent_at) = self.leave_queue(number, attempt) {
            self.observe_start(now, number, sent_at);
        }
        let Some(job) = self.jobs.get_mut(number) else { return };
        if let Some(attempt) = job.attempts.get_mut(attempt) {
            attempt.first_progress_at.get_or_insert(now);
        }
    }

    /// An attempt has left its worker's queue, by starting or by ending unstarted. Returns when it
    /// was sent, unless it had left the queue before.
    fn leave_queue(&mut self, number: JobNumber, attempt: usize) -> Option<Nanos> {
        let job = self.jobs.get_mut(number)?;
        let attempt = job.attempts.get_mut(attempt).filter(|attempt| !attempt.has_started)?;
        attempt.has_started = true;
        let (worker, sent_at, is_top_priority) = (attempt.worker, attempt.sent_at, attempt.is_top_priority);
        self.fleet.worker_mut(worker).own_load.dequeue(is_top_priority);
        Some(sent_at)
    }

    /// Takes the start of an attempt as a signal of whether the fleet has free capacity.
    fn observe_start(&mut self, now: Nanos, number: JobNumber, sent_at: Nanos) {
        let Some(job) = self.jobs.get(number) else { return };
        let latency_target = self.settings.classes[job.request.class as usize].latency_target;
        let is_timely = now - sent_at < latency_target / 2;
        self.limiter.record_capacity_signal(is_timely, TIMELY_START_TARGET);
    }

    /// Takes the end of an attempt; then the job is closed, retried or given up.
    pub(super) fn end_attempt(&mut self, now: Nanos, ended: &EndedAttempt, actions: &mut Vec<Action>) {
        let Some(number) = self.jobs.find(ended.id) else { return };
        let Some(facts) = self.mark_ended(number, ended) else { return };
        self.release(now, &facts, ended.outcome);
        self.leave_queue(number, ended.number);
        self.fleet.record_report(facts.worker, now, ended.report);
        self.learn(now, &facts, ended);
        self.retry_or_close(now, number, ended, actions);
    }

    /// Marks an attempt in flight as ended.
    fn mark_ended(&mut self, number: JobNumber, ended: &EndedAttempt) -> Option<AttemptFacts> {
        let job = self.jobs.get_mut(number)?;
        let attempt = job.attempts.get_mut(ended.number)?;
        if attempt.state != AttemptState::InFlight {
            return None;
        }
        attempt.state =
            if ended.outcome.never_ran() { AttemptState::NeverRan } else { AttemptState::MayHaveRan };
        Some(AttemptFacts {
            worker: attempt.worker,
            class: job.request.class as usize,
            slots: job.request.slots,
            has_key: job.request.affinity_key.is_some(),
            fetches_key: attempt.fetches_key,
            expected_work: job.request.expected_work,
            first_progress_at: attempt.first_progress_at,
        })
    }

    /// Frees the slots of an attempt and, if it had one, its connection.
    fn release(&mut self, now: Nanos, facts: &AttemptFacts, outcome: Outcome) {
        self.fleet.add_own_slots(facts.worker, now, -facts.slots);
        if outcome != Outcome::ConnectFailed && outcome != Outcome::NotSent {
            self.fleet.release_connection(facts.worker, now);
        }
    }

    fn learn(&mut self, now: Nanos, facts: &AttemptFacts, ended: &EndedAttempt) {
        match ended.outcome {
            Outcome::Ok => self.learn_from_service(now, facts, ended.elapsed),
            Outcome::Rejected => {
                self.record_rejection(facts.worker, now);
                self.probe_confidence.record_rejection();
                for _ in 0..SIGNALS_PER_REJECTION {
                    self.limiter.record_capacity_signal(false, FREE_SLOT_TARGET);
                }
            }
            Outcome::ConnectFailed | Outcome::Reset => {
                self.record_failure(facts.worker, now, CONNECTION_EJECTION);
            }
            Outcome::Error | Outcome::Timeout => self.record_failure(facts.worker, now, ERROR_EJECTION),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn learn_from_service(&mut self, now: Nanos, facts: &AttemptFacts, elapsed: Nanos) {
        self.probe_confidence.record_served();
        let worker = self.fleet.worker_mut(facts.worker);
        worker.health.rejections = 0;
        worker.health.failures = 0;
        if worker.is_warm(&self.settings.rules, now) {
            self.capacity.record_served(now, facts.slots);
        }
        let started_at = facts.first_progress_at.filter(|_| self.settings.reports_attempt_start);
        let run_time = started_at.map_or(elapsed, |started_at| now - started_at);
        self.capacity.record_run_time(run_time);
        if facts.has_key {
            self.affinity.record_time(elapsed, facts.fetches_key);
        } else {
            // Attempts with a key do not count: an evicted key's fetch would pass for slowness.
            let sample = RunTimeSample { run_time, expected_work: facts.expected_work };
            self.record_run_time(facts.worker, now, facts.class, sample);
        }
    }

    /// Closes a job that is finished; otherwise retries it, or gives it up, unless it waits for
    /// another attempt.
    fn retry_or_close(
        &mut self,
        now: Nanos,
        number: JobNumber,
        ended: &EndedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get(number) else { return };
        if ended.request_closed || job.phase == Phase::Closed {
            return self.jobs.close(number);
        }
        if job.is_in_flight() || job.phase == Phase::Pending {
            return;
        }
        let may_retry = match self.settings.classes[job.request.class as usize].idempotency {
            Idempotency::AtMostOnce => job.never_ran(),
            Idempotency::Idempotent | Idempotency::Deduplicated { .. } => !job.is_streaming,
        };
        if may_retry && self.retry_budget.allows_retry() && ended.outcome != Outcome::NotSent {
            self.retry(now, number, actions);
        } else {
            self.give_up(number, actions);
        }
    }

    fn retry(&mut self, now: Nanos, number: JobNumber, actions: &mut Vec<Action>) {
        self.retry_budget.spend();
        if let Some(job) = self.jobs.get_mut(number) {
            job.candidates.clear();
            job.rounds = 0;
        }
        self.begin_round(now, number, actions);
    }
}
