//! Lagging runs, which have stalled or run on a slow worker: their tasks are moved to other
//! workers.
use super::Scheduler;
use crate::config::Now;
use crate::ids::{RunId, WorkerIndex};
use crate::jobs::{Run, RunPhase};
use crate::spec::Stage;
use crate::workers::Worker;

/// The time without reported progress after which a run counts as stalled, milliseconds.
const STALL_TIMEOUT_MS: u64 = 900;
/// The share of the estimated running time that is added to [`STALL_TIMEOUT_MS`]: progress is
/// reported in whole percents.
const STALL_TIMEOUT_SHARE: f64 = 0.1;
/// The duration for which the worker of a lagging run is ejected, milliseconds.
const LAGGING_EJECTION_MS: u64 = 3_000;
/// The factor by which the remaining time of a run must exceed the whole running time on another
/// worker before the run is moved.
const MIN_SLOW_FACTOR: f64 = 1.3;
/// The additional cost of moving a run, milliseconds.
const MOVE_COST_MS: f64 = 400.0;
/// The running time from which on a run may be moved because its worker is slow, milliseconds.
const MIN_RUNTIME_BEFORE_MOVE_MS: u64 = 400;
/// The progress from which on a run is a sample of its worker's speed, percent.
const MIN_SAMPLE_PERCENT: f64 = 20.0;

/// A run that has to be moved to another worker.
#[derive(Clone, Copy, Debug)]
struct LaggingRun {
    run: RunId,
    worker: WorkerIndex,
    is_stalled: bool,
}

impl Scheduler {
    /// Moves runs that have stalled or are far slower than they would be on another worker. Also
    /// decays the workers' slowdowns.
    pub(super) fn move_lagging_runs(&mut self, now: Now) {
        for worker in self.workers.iter_mut() {
            worker.speed.decay();
        }
        for lagging in self.lagging_runs(now.monotonic_ms) {
            self.move_run(now.monotonic_ms, lagging);
        }
    }

    /// The runs that have stalled or are far slower than they would be on another worker.
    fn lagging_runs(&self, now_ms: u64) -> Vec<LaggingRun> {
        let mut lagging = Vec::new();
        for (index, worker) in self.workers.iter_indexed() {
            if !worker.is_reachable() || !worker.has_seen_term() {
                continue;
            }
            for id in worker.allocation.runs() {
                let Some(run) = self.jobs.run(*id) else { continue };
                let Some(stage) = self.jobs.stage(id.task) else { continue };
                if run.phase() != RunPhase::Started || run.is_stopping() || stage.long_running {
                    continue;
                }
                let is_stalled = run.is_stalled(now_ms, self.stall_timeout_ms(run, stage));
                if is_stalled || !run.is_slow() && self.is_far_slower(*id, run, stage, worker) {
                    lagging.push(LaggingRun { run: *id, worker: index, is_stalled });
                }
            }
        }
        lagging
    }

    /// Ejects the worker of a lagging run, has the task avoid that worker, and either hedges the
    /// run or stops it, so that the task starts on another worker.
    fn move_run(&mut self, now_ms: u64, lagging: LaggingRun) {
        let LaggingRun { run: id, worker, is_stalled } = lagging;
        log::debug!("run lagging {id} worker={} stalled={is_stalled}", self.workers[worker].id());
        self.workers[worker].health.eject_for(now_ms, LAGGING_EJECTION_MS);
        if let Some(task) = self.jobs.task_mut(id.task) {
            task.avoid_worker(worker);
            if let Some(run) = task.run_mut(id.run) {
                run.mark_slow();
            }
        }
        self.queue_hedged_run(now_ms, id.task);
        // A slow run with a hedged run continues, as it may still end first.
        if is_stalled || !self.allows_hedged_run(id.task) {
            self.stop_run(now_ms, id);
        }
    }

    /// The time without reported progress after which this run counts as stalled, milliseconds.
    fn stall_timeout_ms(&self, run: &Run, stage: &Stage) -> u64 {
        let assembly_ms = if stage.gang { self.config.gang_assembly_timeout_ms } else { 0 };
        let restore_ms = if run.checkpoint().is_empty() { 0 } else { self.config.checkpoint_restore_ms };
        let share_ms = (stage.estimated_runtime_ms as f64 * STALL_TIMEOUT_SHARE) as u64;
        STALL_TIMEOUT_MS + assembly_ms + restore_ms + share_ms
    }

    /// Whether the rest of a run on a slow worker takes far longer than the whole task would on
    /// another worker.
    fn is_far_slower(&self, id: RunId, run: &Run, stage: &Stage, worker: &Worker) -> bool {
        let runtime_ms = run.reported_runtime_ms();
        let percent = run.progress_percent();
        let may_move = worker.speed.is_slow() && !stage.gang && runtime_ms >= MIN_RUNTIME_BEFORE_MOVE_MS;
        if !may_move || percent <= 0.0 {
            return false;
        }
        let Some(job) = self.jobs.get(id.task.job) else { return false };
        let remaining_ms = runtime_ms as f64 * (100.0 - percent).max(0.0) / percent;
        let elsewhere_ms = self.estimates.expected_runtime_ms(job.queue(), stage.estimated_runtime_ms as f64);
        remaining_ms > MIN_SLOW_FACTOR * elsewhere_ms + MOVE_COST_MS
    }

    /// Adds a sample of the worker's speed from a run that is done, or whose progress has reached
    /// [`MIN_SAMPLE_PERCENT`].
    pub(super) fn sample_speed(&mut self, now_ms: u64, id: RunId, done: bool) {
        let Some(stage) = self.jobs.stage(id.task) else { return };
        if stage.gang || stage.long_running {
            return;
        }
        let estimated_ms = stage.estimated_runtime_ms as f64;
        let Some(run) = self.jobs.run_mut(id) else { return };
        let worker = run.worker();
        let Some(runtime_ms) = run.take_runtime_sample(now_ms, done, MIN_SAMPLE_PERCENT) else { return };
        let Some(job) = self.jobs.get(id.task.job) else { return };
        if let Some(deviation) = self.estimates.add_sample(job.queue(), runtime_ms, estimated_ms) {
            self.workers[worker].speed.add_sample(deviation);
        }
    }
}
