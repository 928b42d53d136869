//! The ends of runs, and what follows from them.
use crate::config::Now;
use crate::events::{End, Event};
use crate::ids::TaskId;
use crate::job::JobOutcome;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Records the end of a run and does what follows.
    pub(crate) fn end_run(&mut self, now: Now, key: TaskId, run: u32, end: End, saved: &str) {
        let worker = self.run(key, run).map(|r| r.worker);
        if let Some(worker) = worker.filter(|_| end != End::Void) {
            self.judge_pace(now.monotonic_ms, key, run, end == End::Done);
            self.workers[worker as usize].count_end(now.monotonic_ms, end == End::Failed);
        }
        self.record(now.monotonic_ms, Event::Ended { task: key, run, end, saved: saved.into() });
        if !self.lives(key) {
            return;
        }
        if self.stage(key).is_some_and(|stage| stage.gang) {
            self.after_gang_end(now, key, run, end);
        } else {
            self.after_end(now, key, end);
        }
    }

    fn after_end(&mut self, now: Now, key: TaskId, end: End) {
        let Some(task) = self.task(key) else { return };
        let (done, idle) = (task.done, task.active.is_empty());
        if done {
            self.forget_ready(key);
            self.stop_task(now.monotonic_ms, key);
            if end == End::Done {
                self.after_done(now, key);
            }
        } else if self.spent(key) {
            self.close(now, key.job, JobOutcome::Failed);
        } else if idle {
            self.make_ready(now.monotonic_ms, key);
        }
    }

    /// A member's end is its whole gang's: the others are stopped, and when all are gone it may start anew.
    fn after_gang_end(&mut self, now: Now, key: TaskId, run: u32, end: End) {
        if self.task(key).is_some_and(|task| task.done) {
            if end == End::Done {
                self.after_done(now, key);
            }
            return;
        }
        let members: Vec<TaskId> = self.siblings(key).collect();
        let mut out = false;
        for member in members {
            out |= self.task(member).is_some_and(|task| !task.active.is_empty());
            if self.run(member, run).is_some() {
                self.stop_run(now.monotonic_ms, member, run);
            }
        }
        if self.spent(key) {
            self.close(now, key.job, JobOutcome::Failed);
        } else if !out {
            self.make_ready(now.monotonic_ms, key);
        }
    }

    /// Whether a task, or its gang, has failed too often.
    fn spent(&self, key: TaskId) -> bool {
        let Some(stage) = self.stage(key) else { return false };
        let counted = if stage.gang { TaskId { index: 0, ..key } } else { key };
        let failed = self.task(counted).map_or(0, |task| task.failed.len());
        !stage.long_running && failed >= self.jobs[&key.job].record.max_attempts as usize
    }

    /// Steps that wait for this one may begin, and the job may be over.
    pub(crate) fn after_done(&mut self, now: Now, key: TaskId) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(steps) = job.occurrences.get(&key.occurrence) else { return };
        if steps.stages[usize::from(key.stage)].remaining > 0 {
            return;
        }
        if !steps.done() {
            return self.open_stages(now, key.job, key.occurrence);
        }
        // The ends of a gang's members come one by one, and the first counted for all.
        let finished = job.occurrences.values().filter(|steps| steps.done()).count();
        if finished as u32 >= job.record.spec.occurrence_count() {
            self.close(now, key.job, JobOutcome::Succeeded);
        }
    }
}
