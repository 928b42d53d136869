//! Hedged runs: a second run of a task whose runs are all in doubt, on another worker.
//!
//! A task of a `speculative` stage may start again while its first run is in doubt. The run that
//! succeeds first counts, and the other is stopped.
use super::Scheduler;
use crate::ids::{RunId, TaskId, WorkerIndex};
use crate::jobs::Run;
use crate::spec::Stage;

/// The maximum number of concurrent runs of a task.
const MAX_ACTIVE_RUNS: usize = 2;

impl Scheduler {
    /// Queues a task for a hedged run, if its stage allows one and all runs of the task are in
    /// doubt.
    pub(super) fn queue_hedged_run(&mut self, now_ms: u64, task: TaskId) {
        if self.allows_hedged_run(task) {
            self.requeue(now_ms, task);
        }
    }

    /// Queues hedged runs for all tasks with a run on a worker, as far as they are allowed.
    pub(super) fn queue_hedged_runs_on(&mut self, now_ms: u64, worker: WorkerIndex) {
        let runs: Vec<RunId> = self.workers[worker].allocation.runs().iter().copied().collect();
        for run in runs {
            self.queue_hedged_run(now_ms, run.task);
        }
    }

    /// Whether a task with active runs may have a hedged run as well.
    pub(super) fn allows_hedged_run(&self, task: TaskId) -> bool {
        let is_allowed = |stage: &Stage| stage.speculative && !stage.gang && !stage.long_running;
        if !self.jobs.stage(task).is_some_and(is_allowed) {
            return false;
        }
        let Some(task) = self.jobs.task(task).filter(|task| !task.is_done()) else { return false };
        let runs = task.active_runs();
        (1..MAX_ACTIVE_RUNS).contains(&runs.len()) && runs.iter().all(|run| self.is_in_doubt(run))
    }

    /// Whether the run may not be running, is expected to end late, or has an unreachable worker.
    fn is_in_doubt(&self, run: &Run) -> bool {
        run.is_in_doubt() || !self.workers[run.worker()].is_reachable()
    }
}
