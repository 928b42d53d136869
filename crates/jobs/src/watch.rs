//! Work that gets nowhere: tasks that stand still, and jobs that can never be done.
use crate::job::{Outcome, Phase};
use crate::record::TaskKey;
use crate::scheduler::{Now, Scheduler};
use crate::spec::Stage;
use crate::worker::Resources;

/// How long a task may make no progress before it counts as standing still, milliseconds, beside its estimate.
const STILL_MS: u64 = 3_000;
/// How long a worker with such a task is left alone, milliseconds.
const STILL_AVOIDED_MS: u64 = 4_000;
/// How long a job must seem impossible before it is given up, milliseconds.
const IMPOSSIBLE_MS: u64 = 1_500;
/// How long the list of workers must be known for that, milliseconds.
const LISTED_FOR_MS: u64 = 3_000;

impl Scheduler {
    /// Stops tasks that stand still; they start anew elsewhere.
    pub(crate) fn watch_progress(&mut self, now: Now) {
        let mut still = Vec::new();
        for (at, worker) in self.workers.iter().enumerate().filter(|(_, w)| w.reachable && w.fenced) {
            for (key, run) in &worker.runs {
                let Some(held) = self.run(*key, *run) else { continue };
                let Some(stage) = self.stage(*key) else { continue };
                let patience = STILL_MS + stage.est_runtime_ms;
                let stands = now.steady > held.progress_at + patience;
                if held.phase == Phase::Started && !held.stopping && !stage.long_running && stands {
                    still.push((*key, *run, at));
                }
            }
        }
        for (key, run, at) in still {
            log::debug!("run {key} {run} stands still on {}", self.workers[at].id);
            let worker = &mut self.workers[at];
            worker.avoided_until = now.steady + STILL_AVOIDED_MS;
            if let Some(task) = self.task_mut(key) {
                task.avoid.push(at as u32);
            }
            self.stop_run(now.steady, key, run);
        }
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
