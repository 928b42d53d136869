//! Hedged runs: a task whose runs are all in doubt starts elsewhere too.
//!
//! Where a stage is `speculative`, nothing has to be known of a doubtful run before the task starts
//! elsewhere: the run that ends first counts, and the other is stopped.
use super::Scheduler;
use crate::ids::{RunId, TaskId, WorkerIndex};
use crate::jobs::Run;
use crate::spec::Stage;

/// The largest number of runs of a task at a time.
const MAX_ACTIVE_RUNS: usize = 2;

impl Scheduler {
    /// Queues a task for a hedged run, if its stage allows that and all its runs are in doubt.
    pub(super) fn hedge(&mut self, now_ms: u64, task: TaskId) {
        if self.allows_hedged_run(task) {
            self.requeue(now_ms, task);
        }
    }

    /// The same for all that runs on a worker.
    pub(super) fn hedge_all_on(&mut self, now_ms: u64, worker: WorkerIndex) {
        let runs: Vec<RunId> = self.workers[worker].allocation.runs().iter().copied().collect();
        for run in runs {
            self.hedge(now_ms, run.task);
        }
    }

    /// Whether a task that has runs may start once more.
    pub(super) fn allows_hedged_run(&self, task: TaskId) -> bool {
        let is_allowed = |stage: &Stage| stage.speculative && !stage.gang && !stage.long_running;
        if !self.jobs.stage(task).is_some_and(is_allowed) {
            return false;
        }
        let Some(task) = self.jobs.task(task).filter(|task| !task.is_done()) else { return false };
        let runs = task.active_runs();
        (1..MAX_ACTIVE_RUNS).contains(&runs.len()) && runs.iter().all(|run| self.is_in_doubt(run))
    }

    fn is_in_doubt(&self, run: &Run) -> bool {
        run.is_in_doubt() || !self.workers[run.worker()].is_reachable()
    }
}
