//! Infeasible jobs: a stage of theirs does not fit the workers of their service, even if all workers
//! that were ever listed were there and empty.
use super::Scheduler;
use crate::config::Now;
use crate::ids::TaskId;
use crate::jobs::Job;
use crate::record::JobOutcome;
use crate::resources::Resources;
use crate::spec::Stage;

/// The time since a job was first found infeasible after which it fails if it still is,
/// milliseconds.
const MAX_INFEASIBLE_MS: u64 = 1_500;
/// The age of the term from which on feasibility is checked, milliseconds: worker lists may be
/// incomplete at first.
const MIN_TERM_AGE_MS: u64 = 3_000;

impl Scheduler {
    /// Fails jobs with a stage that no workers ever listed could run.
    pub(super) fn fail_infeasible_jobs(&mut self, now: Now) {
        if !self.has_worker_list || now.monotonic_ms < self.term_started_at_ms + MIN_TERM_AGE_MS {
            return;
        }
        let infeasible: Vec<TaskId> = self.pending.tasks().filter(|task| self.is_infeasible(*task)).collect();
        for task in infeasible {
            let Some(job) = self.jobs.get_mut(task.job) else { continue };
            let since_ms = job.infeasible_since_ms(now.monotonic_ms);
            if job.is_open() && now.monotonic_ms >= since_ms + MAX_INFEASIBLE_MS {
                log::info!("job failed: a stage does not fit the workers of its service job={}", task.job);
                self.close_job(now, task.job, JobOutcome::Failed);
            }
        }
    }

    /// Whether a stage of the task's job can never fit.
    fn is_infeasible(&self, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(task.job) else { return false };
        job.spec().stages.iter().any(|stage| !self.could_ever_fit(job, stage))
    }

    /// Whether a task of the stage, or all tasks of its gang, would fit the workers of the job's
    /// service if these were empty. Of each class, as many workers count as were ever listed at
    /// once, in this term or an earlier one: workers that are down may return.
    fn could_ever_fit(&self, job: &Job, stage: &Stage) -> bool {
        let needed = if stage.gang { u64::from(stage.count) } else { 1 };
        let mut fitting = 0u64;
        for seen in self.worker_classes.iter() {
            if seen.class.service() != job.service() || !seen.class.has_labels(&stage.constraints) {
                continue;
            }
            let fitting_one = Resources::tasks_that_fit(stage, seen.class.capacity());
            fitting = fitting.saturating_add(fitting_one.saturating_mul(seen.max_workers.into()));
            if fitting >= needed {
                return true;
            }
        }
        false
    }
}
