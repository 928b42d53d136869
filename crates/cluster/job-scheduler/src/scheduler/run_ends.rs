//! The ends of runs and their consequences for tasks, gangs, stages and jobs.
use super::Scheduler;
use crate::config::Now;
use crate::events::{Event, RunEnd};
use crate::ids::{RunId, TaskId};
use crate::jobs::Run;
use crate::record::JobOutcome;

impl Scheduler {
    /// Records the end of a run, and then completes, fails or requeues its task or gang.
    pub(super) fn end_run(&mut self, now: Now, run: RunId, end: RunEnd, checkpoint: &str) {
        let worker = self.jobs.run(run).map(Run::worker);
        if let Some(worker) = worker.filter(|_| end != RunEnd::Interrupted) {
            self.sample_speed(now.monotonic_ms, run, end == RunEnd::Done);
            self.workers[worker].health.record_run_end(now.monotonic_ms, end == RunEnd::Failed);
        }
        self.record_event(now.monotonic_ms, Event::RunEnded { run, end, checkpoint: checkpoint.into() });
        if !self.jobs.is_open(run.task.job) {
            return;
        }
        if self.jobs.is_gang(run.task) {
            self.handle_gang_run_end(now, run, end);
        } else {
            self.handle_task_run_end(now, run.task, end);
        }
    }

    /// Handles the end of a run of a single task.
    fn handle_task_run_end(&mut self, now: Now, id: TaskId, end: RunEnd) {
        let Some(task) = self.jobs.task(id) else { return };
        let is_idle = !task.has_active_runs();
        if task.is_done() {
            self.remove_pending(id);
            self.stop_task(now.monotonic_ms, id);
            if end == RunEnd::Done {
                self.handle_task_done(now, id);
            }
        } else if self.has_exhausted_attempts(id) {
            self.close_job(now, id.job, JobOutcome::Failed);
        } else if is_idle {
            self.requeue(now.monotonic_ms, id);
        }
    }

    /// Handles the end of a gang member's run. Unless the gang is done, the other members are
    /// stopped, and the gang is queued again once none has an active run.
    fn handle_gang_run_end(&mut self, now: Now, ended: RunId, end: RunEnd) {
        let member = ended.task;
        if self.jobs.task(member).is_some_and(|task| task.is_done()) {
            self.remove_pending(member);
            if end == RunEnd::Done {
                self.handle_task_done(now, member);
            }
            return;
        }
        let mut is_running = false;
        for task in self.jobs.tasks_of_stage(member) {
            is_running |= self.jobs.task(task).is_some_and(|task| task.has_active_runs());
            self.stop_run(now.monotonic_ms, RunId { task, run: ended.run });
        }
        if self.has_exhausted_attempts(member) {
            self.close_job(now, member.job, JobOutcome::Failed);
        } else if !is_running {
            self.requeue(now.monotonic_ms, member);
        }
    }

    /// Whether a task or its gang has failed as often as the job's attempts allow.
    fn has_exhausted_attempts(&self, id: TaskId) -> bool {
        let Some(job) = self.jobs.get(id.job) else { return false };
        let Some(stage) = job.stage(id.stage) else { return false };
        let counted = if stage.gang { id.first_of_stage() } else { id };
        let failed_runs = self.jobs.task(counted).map_or(0, |task| task.failed_runs().len());
        !stage.long_running && failed_runs >= job.max_attempts() as usize
    }

    /// Opens the stages that depend on the task's stage, or closes the job, if the task was the
    /// last open one of its stage or of the job.
    fn handle_task_done(&mut self, now: Now, task: TaskId) {
        let Some(job) = self.jobs.get(task.job) else { return };
        let Some(occurrence) = job.occurrence(task.occurrence) else { return };
        if !occurrence.stages()[usize::from(task.stage)].is_done() {
            return;
        }
        if !occurrence.is_done() {
            return self.open_ready_stages(now, task.job, task.occurrence);
        }
        // The first end of a gang's member marks all its tasks done, so that the ends of the others
        // arrive here as well: completion is computed from the occurrences rather than counted
        // down.
        if job.is_done() {
            self.close_job(now, task.job, JobOutcome::Succeeded);
        }
    }
}
