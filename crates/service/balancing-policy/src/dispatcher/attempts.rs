//! The progress and the end of attempts: what is learned from them, and whether a job is retried.

use super::Dispatcher;
use super::outlier_detection::{CONNECTION_EJECTION, ERROR_EJECTION};
use super::probes::FREE_SLOT_TARGET;
use crate::api::{Action, Idempotency, LoadReport, Nanos, Outcome, RequestId};
use crate::state::{AttemptState, JobNumber, Phase, RunTimeSample, WorkerIndex};

/// The share of attempts that start within half of their latency target at which the admitted
/// fraction is stable.
const TIMELY_START_TARGET: f64 = 0.5;

/// The number of negative capacity signals that a rejection counts as.
const SIGNALS_PER_REJECTION: usize = 4;

/// The end of an attempt, from [`Event::AttemptEnded`](crate::Event::AttemptEnded).
pub(super) struct EndedAttempt {
    pub(super) id: RequestId,
    /// The attempt's number, counted from 0 in the order of the request's sends.
    pub(super) number: usize,
    pub(super) outcome: Outcome,
    /// Whether the request is finished and needs no further answer.
    pub(super) request_closed: bool,
    /// The time since the attempt was sent, in nanoseconds.
    pub(super) elapsed: Nanos,
    pub(super) report: Option<LoadReport>,
}

/// The properties of an ended attempt and its request that the statistics need.
struct EndedAttemptSummary {
    worker: WorkerIndex,
    class: usize,
    slots: f64,
    has_key: bool,
    needs_fetch: bool,
    expected_work: Option<Nanos>,
    first_progress_at: Option<Nanos>,
}

impl Dispatcher {
    /// Records that a streamed answer has begun, after which the job cannot be sent again.
    pub(super) fn start_response(&mut self, id: RequestId) {
        let number = self.jobs.find(id);
        if let Some(job) = number.and_then(|number| self.jobs.get_mut(number)) {
            job.is_streaming = true;
        }
    }

    /// Records a progress report of an attempt, which shows that the attempt runs.
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

    /// Records that an attempt left its worker's queue, because it started or ended without a
    /// reported start. Returns the time at which it was sent, or `None` if it had left the queue
    /// before.
    fn leave_queue(&mut self, number: JobNumber, attempt: usize) -> Option<Nanos> {
        let job = self.jobs.get_mut(number)?;
        let attempt = job.attempts.get_mut(attempt).filter(|attempt| !attempt.has_started)?;
        attempt.has_started = true;
        let (worker, sent_at, is_top_priority) = (attempt.worker, attempt.sent_at, attempt.is_top_priority);
        self.fleet.worker_mut(worker).own_load.dequeue(is_top_priority);
        Some(sent_at)
    }

    /// Records the start of an attempt as a capacity signal, which is positive if the attempt
    /// started within half of its latency target.
    fn observe_start(&mut self, now: Nanos, number: JobNumber, sent_at: Nanos) {
        let Some(job) = self.jobs.get(number) else { return };
        let latency_target = self.settings.classes[job.request.class as usize].latency_target;
        let is_timely = now - sent_at < latency_target / 2;
        self.limiter.record_capacity_signal(is_timely, TIMELY_START_TARGET);
    }

    /// Handles the end of an attempt: updates the statistics, then closes, retries or gives up the
    /// job.
    pub(super) fn end_attempt(&mut self, now: Nanos, ended: &EndedAttempt, actions: &mut Vec<Action>) {
        let Some(number) = self.jobs.find(ended.id) else { return };
        let Some(summary) = self.mark_ended(number, ended) else { return };
        self.release(now, &summary, ended.outcome);
        self.leave_queue(number, ended.number);
        self.fleet.record_report(summary.worker, now, ended.report);
        self.update_statistics(now, &summary, ended);
        self.retry_or_close(now, number, ended, actions);
    }

    /// Marks an attempt as ended; returns `None` if it was not in flight.
    fn mark_ended(&mut self, number: JobNumber, ended: &EndedAttempt) -> Option<EndedAttemptSummary> {
        let job = self.jobs.get_mut(number)?;
        let attempt = job.attempts.get_mut(ended.number)?;
        if attempt.state != AttemptState::InFlight {
            return None;
        }
        attempt.state =
            if ended.outcome.never_ran() { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        Some(EndedAttemptSummary {
            worker: attempt.worker,
            class: job.request.class as usize,
            slots: job.request.slots,
            has_key: job.request.affinity_key.is_some(),
            needs_fetch: attempt.needs_fetch,
            expected_work: job.request.expected_work,
            first_progress_at: attempt.first_progress_at,
        })
    }

    /// Frees the slots of an attempt and the connection that it used, if any.
    fn release(&mut self, now: Nanos, summary: &EndedAttemptSummary, outcome: Outcome) {
        self.fleet.add_own_slots(summary.worker, now, -summary.slots);
        if outcome != Outcome::ConnectFailed && outcome != Outcome::NotSent {
            self.fleet.release_connection(summary.worker, now);
        }
    }

    fn update_statistics(&mut self, now: Nanos, summary: &EndedAttemptSummary, ended: &EndedAttempt) {
        match ended.outcome {
            Outcome::Ok => self.record_served_attempt(now, summary, ended.elapsed),
            Outcome::Rejected => {
                self.record_rejection(summary.worker, now);
                self.probe_confidence.record_rejection();
                for _ in 0..SIGNALS_PER_REJECTION {
                    self.limiter.record_capacity_signal(false, FREE_SLOT_TARGET);
                }
            }
            Outcome::ConnectFailed | Outcome::Reset => {
                self.record_failure(summary.worker, now, CONNECTION_EJECTION);
            }
            Outcome::Error | Outcome::Timeout => self.record_failure(summary.worker, now, ERROR_EJECTION),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn record_served_attempt(&mut self, now: Nanos, summary: &EndedAttemptSummary, elapsed: Nanos) {
        self.probe_confidence.record_served();
        let worker = self.fleet.worker_mut(summary.worker);
        worker.health.rejections = 0;
        worker.health.failures = 0;
        if worker.is_warm(&self.settings.rules, now) {
            self.capacity.record_served(now, summary.slots);
        }
        let started_at = summary.first_progress_at.filter(|_| self.settings.reports_attempt_start);
        let run_time = started_at.map_or(elapsed, |started_at| now - started_at);
        self.capacity.record_run_time(run_time);
        if summary.has_key {
            self.affinity.record_time(elapsed, summary.needs_fetch);
        } else {
            // Attempts with a key are not counted, because the fetch of an evicted key would be
            // taken for slowness of the worker.
            let sample = RunTimeSample { run_time, expected_work: summary.expected_work };
            self.record_run_time(summary.worker, now, summary.class, sample);
        }
    }

    /// Closes a job that is finished. Otherwise retries the job or gives it up, unless another
    /// attempt is in flight or the job is pending.
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
        if job.has_attempt_in_flight() || job.phase == Phase::Pending {
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
