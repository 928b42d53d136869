//! Copies of tasks whose runs are in doubt, in steps that allow several runs at once.
//!
//! Where a step carries `speculative`, nothing has to be known of a doubtful run before the task starts elsewhere: the run
//! that ends first counts, and the other is stopped.
use crate::ids::TaskId;
use crate::job::{Phase, Run};
use crate::scheduler::Scheduler;

/// Runs of a task at a time, at most.
const MOST_RUNS: usize = 2;

impl Scheduler {
    /// Has a task start elsewhere too, if its step allows that and all its runs are in doubt.
    pub(crate) fn copy_elsewhere(&mut self, now: u64, key: TaskId) {
        if self.wants_copy(key) {
            self.make_ready(now, key);
        }
    }

    /// The same for all that runs on a worker.
    pub(crate) fn copy_all_elsewhere(&mut self, now: u64, at: u32) {
        let runs: Vec<_> = self.workers[at as usize].runs.iter().copied().collect();
        for (key, _) in runs {
            self.copy_elsewhere(now, key);
        }
    }

    /// Whether a task that has runs may start once more.
    pub(crate) fn wants_copy(&self, key: TaskId) -> bool {
        let allowed = self.stage(key).is_some_and(|s| s.speculative && !s.gang && !s.long_running);
        let Some(task) = self.task(key).filter(|task| allowed && !task.done) else { return false };
        (1..MOST_RUNS).contains(&task.active.len()) && task.active.iter().all(|run| self.is_doubtful(run))
    }

    fn is_doubtful(&self, run: &Run) -> bool {
        run.phase == Phase::Unknown
            || run.slow
            || run.stopping
            || !self.workers[run.worker as usize].reachable
    }
}
