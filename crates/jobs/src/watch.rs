//! Work that gets nowhere: tasks that stand still, and jobs that can never be done.
use crate::job::{Outcome, Phase, Run};
use crate::record::TaskKey;
use crate::scheduler::{Now, Scheduler};
use crate::spec::Stage;
use crate::worker::Resources;

/// How long a task may make no progress before it counts as standing still, milliseconds.
const STILL_MS: u64 = 900;
/// Of its estimate, the share that it may make none for beside that: progress is told in whole percents.
const STILL_SHARE: f64 = 0.1;
/// How long a worker with such a task is left alone, milliseconds.
const STILL_AVOIDED_MS: u64 = 3_000;
/// How much longer than elsewhere a task must need where it runs before it is moved.
const SLOW_FACTOR: f64 = 2.5;
/// How long a task must have run before its pace is judged, milliseconds.
const PACE_AFTER_MS: u64 = 400;
/// How long a job must seem impossible before it is given up, milliseconds.
const IMPOSSIBLE_MS: u64 = 1_500;
/// How long the list of workers must be known for that, milliseconds.
const LISTED_FOR_MS: u64 = 3_000;

impl Scheduler {
    /// Stops tasks that stand still or are far slower than they would be elsewhere; they start anew there.
    pub(crate) fn watch_progress(&mut self, now: Now) {
        let mut moved = Vec::new();
        for (at, worker) in self.workers.iter().enumerate().filter(|(_, w)| w.reachable && w.fenced) {
            for (key, run) in &worker.runs {
                let Some(held) = self.run(*key, *run) else { continue };
                let Some(stage) = self.stage(*key) else { continue };
                if held.phase != Phase::Started || held.stopping || stage.long_running {
                    continue;
                }
                if self.stands(now.steady, held, stage) || !stage.gang && crawls(held, stage) {
                    moved.push((*key, *run, at));
                }
            }
        }
        for (key, run, at) in moved {
            log::debug!("run {key} {run} gets nowhere on {}", self.workers[at].id);
            let worker = &mut self.workers[at];
            worker.avoided_until = now.steady + STILL_AVOIDED_MS;
            if let Some(task) = self.task_mut(key) {
                task.avoid.push(at as u32);
            }
            self.stop_run(now.steady, key, run);
        }
    }

    fn stands(&self, now: u64, held: &Run, stage: &Stage) -> bool {
        let waits = if stage.gang { self.bounds.gang_ms } else { 0 };
        let restores = if held.saved.is_empty() { 0 } else { self.bounds.restore_ms };
        let patience = STILL_MS + waits + restores + (stage.est_runtime_ms as f64 * STILL_SHARE) as u64;
        // Only what the worker has told since counts: silence of its own is another matter.
        now > held.progress_at + patience && held.told_at > held.progress_at + patience / 2
    }

    /// Gives up jobs of which a step fits no worker that was ever seen.
    pub(crate) fn fail_impossible(&mut self, now: Now) {
        if !self.knows_workers(now.steady, LISTED_FOR_MS) {
            return;
        }
        let hopeless: Vec<TaskKey> =
            self.ready.keys().map(|(_, _, key)| *key).filter(|key| self.impossible(*key)).collect();
        for key in hopeless {
            let Some(job) = self.jobs.get_mut(&key.job) else { continue };
            let since = *job.impossible_since.get_or_insert(now.steady);
            if job.closed.is_none() && now.steady >= since + IMPOSSIBLE_MS {
                log::info!("job {:016x} can never be done", key.job);
                self.close(now, key.job, Outcome::Failed);
            }
        }
    }

    fn impossible(&self, key: TaskKey) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        job.record.spec.stages.iter().any(|stage| !self.could_hold(&job.service, stage))
    }

    fn could_hold(&self, service: &str, stage: &Stage) -> bool {
        let need = Resources::of(stage);
        let mut places = 0u64;
        let wanted = if stage.gang { u64::from(stage.count) } else { 1 };
        for worker in self.workers.iter().filter(|w| w.service == service && w.has_labels(&stage.constraints))
        {
            let times = need.times_in(worker.capacity);
            let most = if stage.anti_affinity == 0 { times } else { times.min(stage.anti_affinity.into()) };
            places = places.saturating_add(most);
            if places >= wanted {
                return true;
            }
        }
        false
    }
}

/// Whether the rest of a task takes far longer here than all of it would elsewhere.
fn crawls(held: &Run, stage: &Stage) -> bool {
    let ran = held.told_at.saturating_sub(held.started_at);
    if ran < PACE_AFTER_MS || held.percent <= 0.0 {
        return false;
    }
    let left = ran as f64 * (100.0 - held.percent).max(0.0) / held.percent;
    left > SLOW_FACTOR * stage.est_runtime_ms as f64 + PACE_AFTER_MS as f64
}
