//! Stops of runs, repeated until the run has ended.
use super::Scheduler;
use crate::calls::MAX_TIMEOUT_MS;
use crate::config::Now;
use crate::ids::{JobId, RunId, TaskId, WorkerIndex};
use crate::jobs::RunPhase;
use crate::protocol::{WorkerRequest, WorkerResponse};

impl Scheduler {
    /// Stops all runs of a job.
    pub(super) fn stop_job(&mut self, now_ms: u64, id: JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let mut runs = Vec::new();
        for (task_id, task) in job.tasks(id) {
            runs.extend(task.active_runs().iter().map(|run| RunId { task: task_id, run: run.number() }));
        }
        for run in runs {
            self.stop_run(now_ms, run);
        }
    }

    /// Stops all runs of a task.
    pub(super) fn stop_task(&mut self, now_ms: u64, id: TaskId) {
        let Some(task) = self.jobs.task(id) else { return };
        let runs = task.active_runs().iter().map(|run| RunId { task: id, run: run.number() });
        let runs: Vec<RunId> = runs.collect();
        for run in runs {
            self.stop_run(now_ms, run);
        }
    }

    /// Stops a run if it is active. A run whose start has not been sent yet ends once its record is
    /// durable.
    pub(super) fn stop_run(&mut self, now_ms: u64, id: RunId) {
        let Some(run) = self.jobs.run_mut(id) else { return };
        if !run.begin_stop() {
            return;
        }
        self.metrics.stops += 1;
        if run.phase() == RunPhase::Recorded {
            return;
        }
        run.mark_stop_sent(now_ms);
        let worker = run.worker();
        self.stopping.insert(id);
        self.send_stop(worker, id);
    }

    /// Sends the due stop requests of runs that have not ended again, if their workers are
    /// reachable.
    pub(super) fn retry_stops(&mut self, now_ms: u64) {
        let stopping: Vec<RunId> = self.stopping.iter().copied().collect();
        for id in stopping {
            let Some(run) = self.jobs.run(id) else {
                self.stopping.remove(&id);
                continue;
            };
            let worker = run.worker();
            if !run.is_stop_retry_due(now_ms, self.call_timeout_ms(worker)) {
                continue;
            }
            if let Some(run) = self.jobs.run_mut(id) {
                run.mark_stop_retried(now_ms);
            }
            if self.workers[worker].is_reachable() {
                self.send_stop(worker, id);
            }
        }
    }

    fn send_stop(&mut self, worker: WorkerIndex, id: RunId) {
        let request = WorkerRequest::Stop { task: id.task, run: id.run };
        self.calls.enqueue(&self.workers[worker], request, MAX_TIMEOUT_MS);
    }

    /// Handles the response to a stop. After an acknowledged stop the run can't begin any more, so
    /// the worker is queried whether the run is still active.
    pub(super) fn handle_stop_response(
        &mut self,
        now: Now,
        worker: WorkerIndex,
        id: RunId,
        response: &WorkerResponse,
    ) {
        if !matches!(response, WorkerResponse::Acknowledged { .. }) {
            return;
        }
        let serial = self.renewals.next_serial();
        let Some(run) = self.jobs.run_on_mut(id, worker) else { return };
        if run.acknowledge_at(serial) {
            self.query_runs(now.monotonic_ms, worker);
        }
    }
}
