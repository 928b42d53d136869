//! The results of calls to workers.
use super::Scheduler;
use crate::config::Now;
use crate::ids::{RunId, WorkerIndex};
use crate::protocol::{WorkerRequest, WorkerResponse};
use crate::workers::ListingState;

impl Scheduler {
    /// Handles the result of a call to a worker. The embedder must return exactly one result for
    /// each call from [`Scheduler::take_calls`].
    pub fn handle_response(
        &mut self,
        now: Now,
        worker_id: &str,
        request: &WorkerRequest,
        response: WorkerResponse,
    ) {
        self.calls.complete(request);
        let Some(worker) = self.workers.find(worker_id) else { return };
        if self.workers[worker].listing() == ListingState::Replaced {
            return;
        }
        match &response {
            WorkerResponse::WrongIncarnation => return self.handle_wrong_incarnation(now, worker),
            WorkerResponse::NoResponse => self.handle_no_response(now, worker, request),
            WorkerResponse::Acknowledged { clock_ms } => self.record_contact(now, worker, *clock_ms),
            WorkerResponse::Report(report) => self.record_contact(now, worker, report.clock_ms),
            WorkerResponse::Rejected { .. } => {}
        }
        match request {
            WorkerRequest::Start { task, run, .. } => {
                self.handle_start_response(now, worker, RunId { task: *task, run: *run }, &response);
            }
            WorkerRequest::Stop { task, run } => {
                self.handle_stop_response(now, worker, RunId { task: *task, run: *run }, &response);
            }
            WorkerRequest::RenewLease { serial, .. } => {
                self.handle_renewal_response(now, worker, *serial, &response);
            }
        }
    }

    /// Handles a response that shows that another incarnation has replaced the worker.
    fn handle_wrong_incarnation(&mut self, now: Now, index: WorkerIndex) {
        let worker = &self.workers[index];
        log::info!("worker replaced worker={} runs={}", worker.id(), worker.allocation.runs().len());
        self.metrics.replaced_workers += 1;
        self.mark_worker_replaced(now, index);
    }

    /// Handles a call without a response: times out a start, or counts another call as missed.
    fn handle_no_response(&mut self, now: Now, worker: WorkerIndex, request: &WorkerRequest) {
        if let WorkerRequest::Start { task, run, .. } = request {
            self.time_out_start(now, worker, RunId { task: *task, run: *run });
        } else {
            self.record_missed_call(now.monotonic_ms, worker);
        }
    }

    /// Records that a worker responded, and the worker's clock in the response.
    fn record_contact(&mut self, now: Now, worker: WorkerIndex, worker_clock_ms: u64) {
        let worker = &mut self.workers[worker];
        worker.lease.clock_mut().observe(now.monotonic_ms, worker_clock_ms);
        if worker.record_response() {
            self.pending.capacity_changed();
        }
    }

    /// Records a call without a response. No task is placed on the worker until it responds again.
    /// A worker that is now unreachable has its tasks hedged; any other is queried.
    pub(super) fn record_missed_call(&mut self, now_ms: u64, worker: WorkerIndex) {
        if self.workers[worker].record_missed_call() {
            self.queue_hedged_runs_on(now_ms, worker);
        } else {
            self.query_runs(now_ms, worker);
        }
    }
}
