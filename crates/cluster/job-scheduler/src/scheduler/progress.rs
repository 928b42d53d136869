//! Runs that stall, or are far slower than elsewhere: they are moved to other workers.
use super::Scheduler;
use crate::config::Now;
use crate::ids::{RunId, WorkerIndex};
use crate::jobs::{Run, RunPhase};
use crate::spec::Stage;
use crate::workers::Worker;

/// How long a run may be reported without progress before it counts as stalled, milliseconds.
const STALL_TIMEOUT_MS: u64 = 900;
/// What a run may take beside that, as a share of its estimate: progress is reported in whole
/// percents.
const STALL_TIMEOUT_SHARE: f64 = 0.1;
/// How long a worker with such a run is ejected, milliseconds.
const STALL_EJECTION_MS: u64 = 3_000;
/// How many times longer than elsewhere the rest of a run must take before it is moved.
const MIN_SLOW_FACTOR: f64 = 1.3;
/// What a move costs beside, milliseconds.
const MOVE_COST_MS: f64 = 400.0;
/// How long a run must have lasted before it is moved for its worker's slowness, milliseconds.
const MIN_RUNTIME_BEFORE_MOVE_MS: u64 = 400;
/// The progress from which on a run says something of its worker's speed.
const MIN_SAMPLE_PERCENT: f64 = 20.0;

/// A run that is to be moved.
#[derive(Clone, Copy, Debug)]
struct LaggingRun {
    run: RunId,
    worker: WorkerIndex,
    is_stalled: bool,
}

impl Scheduler {
    /// Moves runs that have stalled, or are far slower than they would be elsewhere.
    pub(super) fn watch_progress(&mut self, now: Now) {
        for worker in self.workers.iter_mut() {
            worker.speed.decay();
        }
        for lagging in self.lagging_runs(now.monotonic_ms) {
            self.move_run(now.monotonic_ms, lagging);
        }
    }

    fn lagging_runs(&self, now_ms: u64) -> Vec<LaggingRun> {
        let mut lagging = Vec::new();
        for (index, worker) in self.workers.iter_indexed() {
            if !worker.is_reachable() || !worker.is_fenced() {
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

    fn move_run(&mut self, now_ms: u64, lagging: LaggingRun) {
        let LaggingRun { run: id, worker, is_stalled } = lagging;
        log::debug!("run lagging {id} worker={} stalled={is_stalled}", self.workers[worker].id());
        self.workers[worker].health.eject_for(now_ms, STALL_EJECTION_MS);
        if let Some(task) = self.jobs.task_mut(id.task) {
            task.avoid_worker(worker);
            if let Some(run) = task.run_mut(id.run) {
                run.mark_slow();
            }
        }
        self.hedge(now_ms, id.task);
        // A slow run goes on beside its hedged run; it may still be the first to end.
        if is_stalled || !self.allows_hedged_run(id.task) {
            self.stop_run(now_ms, id);
        }
    }

    /// How long a run may be reported without progress, milliseconds.
    fn stall_timeout_ms(&self, run: &Run, stage: &Stage) -> u64 {
        let assembly_ms = if stage.gang { self.config.gang_assembly_timeout_ms } else { 0 };
        let restore_ms = if run.checkpoint().is_empty() { 0 } else { self.config.checkpoint_restore_ms };
        let share_ms = (stage.estimated_runtime_ms as f64 * STALL_TIMEOUT_SHARE) as u64;
        STALL_TIMEOUT_MS + assembly_ms + restore_ms + share_ms
    }

    /// Whether the rest of a run takes far longer on its slow worker than all of the task would
    /// elsewhere.
    fn is_far_slower(&self, id: RunId, run: &Run, stage: &Stage, worker: &Worker) -> bool {
        let runtime_ms = run.reported_runtime_ms();
        let percent = run.progress_percent();
        let is_judged = worker.speed.is_slow() && !stage.gang && runtime_ms >= MIN_RUNTIME_BEFORE_MOVE_MS;
        if !is_judged || percent <= 0.0 {
            return false;
        }
        let Some(job) = self.jobs.get(id.task.job) else { return false };
        let remaining_ms = runtime_ms as f64 * (100.0 - percent).max(0.0) / percent;
        let elsewhere_ms = self.estimates.expected_runtime_ms(job.queue(), stage.estimated_runtime_ms as f64);
        remaining_ms > MIN_SLOW_FACTOR * elsewhere_ms + MOVE_COST_MS
    }

    /// Counts a run for its worker's speed: by its progress once that says something, or by its
    /// end.
    pub(super) fn sample_speed(&mut self, now_ms: u64, id: RunId, done: bool) {
        let Some(stage) = self.jobs.stage(id.task) else { return };
        if stage.gang || stage.long_running {
            return;
        }
        let estimated_ms = stage.estimated_runtime_ms as f64;
        let Some(run) = self.jobs.run_mut(id) else { return };
        let worker = run.worker();
        let Some(real_ms) = run.take_runtime_sample(now_ms, done, MIN_SAMPLE_PERCENT) else { return };
        let Some(job) = self.jobs.get(id.task.job) else { return };
        if let Some(deviation) = self.estimates.add_sample(job.queue(), real_ms, estimated_ms) {
            self.workers[worker].speed.add_sample(deviation);
        }
    }
}
