//! Work that gets nowhere: tasks that stand still, and jobs that can never be done.
use crate::config::Now;
use crate::ids::TaskId;
use crate::job::{JobOutcome, Phase, Run};
use crate::scheduler::Scheduler;
use crate::spec::Stage;
use crate::worker::{Resources, Worker};

/// How long a task may make no progress before it counts as standing still, milliseconds.
const STILL_MS: u64 = 900;
/// Of its estimate, the share that it may make none for beside that: progress is told in whole percents.
const STILL_SHARE: f64 = 0.1;
/// How long a worker with such a task is left alone, milliseconds.
const STILL_AVOIDED_MS: u64 = 3_000;
/// How much longer than elsewhere a task must need where it runs before it is moved.
const SLOW_FACTOR: f64 = 1.3;
/// What a move costs beside, milliseconds.
const MOVE_MS: f64 = 400.0;
/// How long a task must have run before it is moved for its worker's pace, milliseconds.
const PACE_AFTER_MS: u64 = 400;
/// Progress from which a run tells something of its worker's pace.
const PACE_PERCENT: f64 = 20.0;
/// How long a job must seem impossible before it is given up, milliseconds.
const IMPOSSIBLE_MS: u64 = 1_500;
/// How long the list of workers must be known for that, milliseconds.
const LISTED_FOR_MS: u64 = 3_000;

impl Scheduler {
    /// Stops tasks that stand still or are far slower than they would be elsewhere; they start anew there.
    pub(crate) fn watch_progress(&mut self, now: Now) {
        self.workers.iter_mut().for_each(|worker| worker.pace.fade());
        let mut moved = Vec::new();
        for (at, worker) in self.workers.iter().enumerate().filter(|(_, w)| w.reachable && w.fenced) {
            for (key, run) in &worker.runs {
                let Some(held) = self.run(*key, *run) else { continue };
                let Some(stage) = self.stage(*key) else { continue };
                if held.phase != Phase::Started || held.stopping || stage.long_running {
                    continue;
                }
                let stands = self.stands(now.monotonic_ms, held, stage);
                if stands || !held.slow && self.crawls(*key, held, stage, worker) {
                    moved.push((*key, *run, at, stands));
                }
            }
        }
        for (key, run, at, stands) in moved {
            log::debug!("run {key} {run} gets nowhere on {}", self.workers[at].id);
            let worker = &mut self.workers[at];
            worker.avoided_until = now.monotonic_ms + STILL_AVOIDED_MS;
            if let Some(task) = self.task_mut(key) {
                task.avoid.push(at as u32);
            }
            if let Some(held) = self.run_mut(key, run) {
                held.slow = true;
            }
            self.copy_elsewhere(now.monotonic_ms, key);
            // A slow run goes on beside its copy; it may still be the first to end.
            if stands || !self.wants_copy(key) {
                self.stop_run(now.monotonic_ms, key, run);
            }
        }
    }

    fn stands(&self, now: u64, held: &Run, stage: &Stage) -> bool {
        let waits = if stage.gang { self.bounds.gang_assembly_timeout_ms } else { 0 };
        let restores = if held.saved.is_empty() { 0 } else { self.bounds.checkpoint_restore_ms };
        let patience = STILL_MS + waits + restores + (stage.estimated_runtime_ms as f64 * STILL_SHARE) as u64;
        // Only what the worker has told since counts: silence of its own is another matter.
        now > held.progress_at + patience && held.told_at > held.progress_at + patience / 2
    }

    /// Whether the rest of a task takes far longer on its slow worker than all of it would elsewhere.
    fn crawls(&self, key: TaskId, held: &Run, stage: &Stage, worker: &Worker) -> bool {
        let ran = held.told_at.saturating_sub(held.started_at);
        if !worker.pace.slow() || stage.gang || ran < PACE_AFTER_MS || held.percent <= 0.0 {
            return false;
        }
        let left = ran as f64 * (100.0 - held.percent).max(0.0) / held.percent;
        let guesses = self.jobs.get(&key.job).and_then(|job| self.guesses.get(&job.record.queue));
        let elsewhere = guesses.map_or(f64::MAX, |g| g.expected_ms(stage.estimated_runtime_ms as f64));
        left > SLOW_FACTOR * elsewhere + MOVE_MS
    }

    /// Counts a run for its worker's pace: by its progress once that tells something, or by its end.
    pub(crate) fn judge_pace(&mut self, now: u64, key: TaskId, run: u32, done: bool) {
        let Some(guessed) =
            self.stage(key).filter(|s| !s.gang && !s.long_running).map(|s| s.estimated_runtime_ms)
        else {
            return;
        };
        let Some(queue) = self.jobs.get(&key.job).map(|job| job.record.queue.clone()) else { return };
        let Some(held) = self.run_mut(key, run) else { return };
        let progress = if done { 100.0 } else { held.percent };
        // What went on from a checkpoint, or was taken over, has run for longer than is known here.
        let fresh = held.run == 1 && held.phase == Phase::Started && held.ordered_at < held.started_at;
        if held.judged || !fresh || progress < PACE_PERCENT {
            return;
        }
        held.judged = true;
        let took = now.saturating_sub(held.started_at) as f64 * 100.0 / progress;
        let worker = held.worker;
        if let Some(off) = self.guesses.entry(queue).or_default().sample(took, guessed as f64) {
            self.workers[worker as usize].pace.take(off);
        }
    }

    /// Gives up jobs of which a step fits no worker that was ever seen.
    pub(crate) fn fail_impossible(&mut self, now: Now) {
        if !self.knows_workers(now.monotonic_ms, LISTED_FOR_MS) {
            return;
        }
        let hopeless: Vec<TaskId> =
            self.ready.keys().map(|(_, _, key)| *key).filter(|key| self.impossible(*key)).collect();
        for key in hopeless {
            let Some(job) = self.jobs.get_mut(&key.job) else { continue };
            let since = *job.impossible_since.get_or_insert(now.monotonic_ms);
            if job.closed.is_none() && now.monotonic_ms >= since + IMPOSSIBLE_MS {
                log::info!("job {} can never be done", key.job);
                self.close(now, key.job, JobOutcome::Failed);
            }
        }
    }

    fn impossible(&self, key: TaskId) -> bool {
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
