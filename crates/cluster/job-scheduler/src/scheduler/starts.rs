//! Starts of runs: sent once their record is durable, and timed out without a response.
use super::Scheduler;
use crate::calls::MAX_TIMEOUT_MS;
use crate::config::Now;
use crate::events::RunEnd;
use crate::ids::{RunId, TaskId, WorkerIndex};
use crate::protocol::{WorkerRequest, WorkerResponse};
use crate::spec::Stage;
use compact_str::CompactString;

/// The duration of the lease that a start grants, milliseconds. The worker rejects a start that
/// arrives after its lease has expired.
const START_LEASE_MS: u64 = 1_500;
/// The duration of the ejection of a worker that rejected a start for lack of capacity,
/// milliseconds.
const NO_CAPACITY_EJECTION_MS: u64 = 300;
/// The duration of the ejection of a worker that rejected a start for another reason than a
/// conflict, milliseconds.
const UNHEALTHY_EJECTION_MS: u64 = 1_000;
/// The HTTP status with which a worker rejects a start that conflicts with its state.
const STATUS_CONFLICT: u16 = 409;
/// The reason that a worker gives with [`STATUS_CONFLICT`] for lack of capacity.
const REASON_NO_CAPACITY: &str = "room";

impl Scheduler {
    /// Sends the start of a run whose record is durable. Ends the run instead if it is being
    /// stopped, its job is closed, or the worker's clock is not known.
    pub(super) fn send_start(&mut self, now: Now, id: RunId) {
        let is_open = self.jobs.is_open(id.task.job);
        let Some(run) = self.jobs.run_mut(id) else { return };
        if !is_open || run.is_stopping() {
            return self.end_run(now, id, RunEnd::Interrupted, "");
        }
        self.metrics.start_latencies.commit.record(run.time_since_sent_ms(now.monotonic_ms));
        run.mark_sent(now.monotonic_ms);
        let worker = run.worker();
        let lease = &mut self.workers[worker].lease;
        let Some(lease_expires_at_ms) = lease.clock_mut().grant_lease(now.monotonic_ms, START_LEASE_MS)
        else {
            return self.end_run(now, id, RunEnd::Interrupted, "");
        };
        let Some(payload) = self.jobs.get(id.task.job).map(|job| job.payload().clone()) else { return };
        let checkpoint = self.checkpoint(id.task);
        let RunId { task, run } = id;
        let request = WorkerRequest::Start { task, run, payload, lease_expires_at_ms, checkpoint };
        self.calls.set_start_deadline(now.monotonic_ms + self.call_timeout_ms(worker), id);
        self.metrics.starts += 1;
        self.calls.enqueue(&self.workers[worker], request, MAX_TIMEOUT_MS);
        self.renew_soon(now.monotonic_ms, worker);
    }

    /// The checkpoint from which a task resumes; for a gang that of its first task. Empty if the
    /// stage has no checkpoints.
    fn checkpoint(&self, task: TaskId) -> CompactString {
        let source = match self.jobs.stage(task) {
            Some(stage) if stage.checkpoints && stage.gang => task.first_of_stage(),
            Some(stage) if stage.checkpoints => task,
            _ => return CompactString::default(),
        };
        self.jobs.task(source).map(|task| task.checkpoint().clone()).unwrap_or_default()
    }

    /// The time-out of a call that the worker answers at once, milliseconds.
    pub(super) fn call_timeout_ms(&self, worker: WorkerIndex) -> u64 {
        self.timeouts.timeout_ms(self.workers[worker].zone())
    }

    /// Times out the starts whose deadline has passed. Their calls stay open: a late response still
    /// provides a sample of the round-trip time.
    pub(super) fn time_out_starts(&mut self, now: Now) {
        while let Some(id) = self.calls.pop_start_deadline(now.monotonic_ms) {
            if let Some(worker) = self.jobs.run(id).map(|run| run.worker())
                && self.time_out_start(now, worker, id)
            {
                self.calls.mark_start_in_doubt(id);
            }
        }
    }

    /// Times out a start without a response. Returns `false` if the start no longer waited for one.
    ///
    /// The worker is queried. If the time-out is most likely not premature, the run is stopped at
    /// the same time rather than after the query; otherwise it is stopped only if the report does
    /// not list it. The task starts again when a report that was requested after the acknowledged
    /// stop does not list the run ([proof](../../../../docs/design/unanswered-starts.md)).
    pub(super) fn time_out_start(&mut self, now: Now, worker: WorkerIndex, id: RunId) -> bool {
        let serial = self.renewals.serial();
        let Some(run) = self.jobs.run_on_mut(id, worker) else { return false };
        if !run.mark_start_timed_out(serial) {
            return false;
        }
        log::debug!("start timed out {id} worker={}", self.workers[worker].id());
        self.timeouts.record_timeout();
        self.metrics.start_timeouts += 1;
        self.queue_hedged_run(now.monotonic_ms, id.task);
        self.record_missed_call(now.monotonic_ms, worker);
        let is_timeout_reliable = self.timeouts.are_reliable() && !self.throttle.is_process_slow();
        if is_timeout_reliable && self.jobs.stage(id.task).is_some_and(is_cheap_to_restart) {
            self.stop_run(now.monotonic_ms, id);
        }
        true
    }

    /// Handles the response to a start. The run of a rejected start ends, and its worker may be
    /// ejected.
    pub(super) fn handle_start_response(
        &mut self,
        now: Now,
        worker: WorkerIndex,
        id: RunId,
        response: &WorkerResponse,
    ) {
        let serial = self.renewals.next_serial();
        let Some(run) = self.jobs.run_on_mut(id, worker) else { return };
        match response {
            WorkerResponse::Acknowledged { .. } => {
                let round_trip_ms = run.time_since_sent_ms(now.monotonic_ms);
                self.metrics.start_latencies.response.record(round_trip_ms);
                let had_timed_out = run.acknowledge_start(now.monotonic_ms, serial);
                self.timeouts.record_round_trip(self.workers[worker].zone(), round_trip_ms);
                if had_timed_out {
                    self.timeouts.record_premature_timeout();
                    self.metrics.premature_start_timeouts += 1;
                }
                self.jobs.mark_begun(id.task.job);
            }
            WorkerResponse::Rejected { status, reason } => {
                log::debug!("start rejected {id} status={status} reason={reason}");
                let ejection_ms = ejection_after_rejection_ms(*status, reason);
                self.workers[worker].health.eject_at_least(now.monotonic_ms, ejection_ms);
                self.end_run(now, id, RunEnd::Interrupted, "");
            }
            // A start without a response has been timed out by the caller.
            _ => {}
        }
    }
}

/// Whether a run that has just started can be stopped at little cost. A gang can't, as it would end
/// as a whole, and a speculative task need not be stopped, as it can have a hedged run.
fn is_cheap_to_restart(stage: &Stage) -> bool {
    !stage.gang && !stage.speculative
}

/// The duration of the ejection of a worker that rejected a start, milliseconds. Conflicts other
/// than a lack of capacity concern only that start and cause no ejection.
fn ejection_after_rejection_ms(status: u16, reason: &str) -> u64 {
    match (status, reason) {
        (STATUS_CONFLICT, REASON_NO_CAPACITY) => NO_CAPACITY_EJECTION_MS,
        (STATUS_CONFLICT, _) => 0,
        _ => UNHEALTHY_EJECTION_MS,
    }
}
