//! Checks the scheduler's safety properties against what workers and clients observe.
use crate::run_id::{RunEnd, RunId, RunOutcome};
use spanlead_job_scheduler::{JobId, JobSpec, Stage, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How long after the acknowledgement of a task's end a hedged run of it may still start,
/// milliseconds.
const HEDGED_START_SLACK_MS: u64 = 1_000;
/// Failed runs after which a task may not start again: that of the testbed's queue.
const MAX_ATTEMPTS: u32 = 3;
/// How long after the acknowledgement of its cancellation a known job may still start a task
/// unless a deployment sets another bound, milliseconds (`cancel_ms`).
const DEFAULT_CANCELLATION_TIMEOUT_MS: u64 = 3_000;

/// A successful end that the worker still has to report.
#[derive(Clone, Debug)]
struct UnacknowledgedSuccess {
    worker_id: String,
    number: u64,
    task: TaskId,
    ended_at_ms: u64,
}

/// A failed run that the worker still has to report.
#[derive(Clone, Debug)]
struct UnacknowledgedFailure {
    worker_id: String,
    number: u64,
    task: TaskId,
}

/// An acknowledged cancellation.
#[derive(Clone, Copy, Debug)]
struct AcknowledgedCancellation {
    acknowledged_at_ms: u64,
    /// Whether the scheduler knew the job.
    was_known: bool,
}

/// Where a task runs.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RunOnWorker {
    worker_id: String,
    run: u32,
}

impl fmt::Debug for RunOnWorker {
    /// As a pair: the violations that are printed show it so.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        (&self.worker_id, self.run).fmt(f)
    }
}

/// The bounds of the deployment that is judged.
#[derive(Clone, Copy, Debug)]
struct CheckerBounds {
    /// How long after the acknowledgement of its cancellation a known job may still start a task,
    /// milliseconds: an order may have been under way. Nothing of an unknown job was.
    cancellation_timeout_ms: u64,
}

impl Default for CheckerBounds {
    fn default() -> Self {
        CheckerBounds { cancellation_timeout_ms: DEFAULT_CANCELLATION_TIMEOUT_MS }
    }
}

/// Records what happens in a simulation, and keeps the violations that it finds.
///
/// Times are in milliseconds of the simulation's clock.
#[derive(Debug, Default)]
pub struct SafetyChecker {
    /// The violations, each with its kind and its task or job.
    pub violations: Vec<String>,
    /// The number of starts.
    pub starts: u64,
    /// Failed runs after which a task may not start again. 0 until a job was submitted.
    pub max_attempts: u32,
    bounds: CheckerBounds,
    specs: BTreeMap<JobId, JobSpec>,
    running: BTreeMap<TaskId, BTreeSet<RunOnWorker>>,
    /// Tasks that have succeeded on any worker.
    done: BTreeSet<TaskId>,
    /// When the success of a task was acknowledged to its worker.
    acknowledged_at_ms: BTreeMap<TaskId, u64>,
    unacknowledged_successes: Vec<UnacknowledgedSuccess>,
    unacknowledged_failures: Vec<UnacknowledgedFailure>,
    /// How many runs of a task have failed.
    failed_runs: BTreeMap<TaskId, u32>,
    /// How many failed runs of a task were acknowledged.
    acknowledged_failures: BTreeMap<TaskId, u32>,
    last_start_ms: BTreeMap<TaskId, u64>,
    /// The first acknowledged cancellation of each job.
    cancellations: BTreeMap<JobId, AcknowledgedCancellation>,
}

impl SafetyChecker {
    /// Sets how long after the acknowledgement of its cancellation a known job may still start a
    /// task, milliseconds.
    pub fn set_cancellation_timeout_ms(&mut self, timeout_ms: u64) {
        self.bounds.cancellation_timeout_ms = timeout_ms;
    }

    /// Records that a client submits a job.
    pub fn record_submission(&mut self, job: JobId, spec: &JobSpec) {
        self.specs.insert(job, spec.clone());
        self.max_attempts = MAX_ATTEMPTS;
    }

    /// Records that the cancellation of a job was acknowledged.
    pub fn record_cancellation(&mut self, now_ms: u64, job: JobId, was_known: bool) {
        let cancellation = AcknowledgedCancellation { acknowledged_at_ms: now_ms, was_known };
        self.cancellations.entry(job).or_insert(cancellation);
    }

    /// The stage of a task; `None` if its job was never submitted.
    pub fn stage(&self, task: TaskId) -> Option<&Stage> {
        self.specs.get(&task.job)?.stages.get(usize::from(task.stage))
    }

    /// Records that a worker starts a run, and checks whether it may.
    pub fn record_start(&mut self, now_ms: u64, worker_id: &str, run: RunId) {
        self.starts += 1;
        let task = run.task;
        let Some(spec) = self.specs.get(&task.job) else {
            return self.violations.push(format!("UNASKED: {task} on {worker_id}"));
        };
        let stage = spec.stages[usize::from(task.stage)].clone();
        self.check_single_run(now_ms, worker_id, run, &stage);
        self.check_not_ended(now_ms, run, &stage);
        self.check_not_cancelled(now_ms, task);
        self.check_dependencies(task, &stage);
        self.check_attempts(task, &stage);
        self.last_start_ms.insert(task, now_ms);
    }

    /// A task runs once at a time, unless its stage allows hedged runs.
    fn check_single_run(&mut self, now_ms: u64, worker_id: &str, run: RunId, stage: &Stage) {
        let RunId { task, run } = run;
        let others = self.running.entry(task).or_default();
        if !others.is_empty() && !stage.speculative {
            let violation = format!("TWICE: {task} run {run} on {worker_id} beside {others:?} at {now_ms}");
            self.violations.push(violation);
        }
        others.insert(RunOnWorker { worker_id: worker_id.to_owned(), run });
    }

    /// A task does not start after its success was acknowledged; a hedged run may be in flight
    /// then.
    fn check_not_ended(&mut self, now_ms: u64, run: RunId, stage: &Stage) {
        let RunId { task, run } = run;
        let is_late = self.acknowledged_at_ms.get(&task).is_some_and(|acknowledged_at_ms| {
            !stage.speculative || now_ms > acknowledged_at_ms + HEDGED_START_SLACK_MS
        });
        if is_late {
            self.violations.push(format!("TWICE: {task} run {run} after its end was noted"));
        }
    }

    /// Nothing of a job starts once its cancellation was acknowledged.
    fn check_not_cancelled(&mut self, now_ms: u64, task: TaskId) {
        let Some(cancellation) = self.cancellations.get(&task.job) else { return };
        let AcknowledgedCancellation { acknowledged_at_ms, was_known } = *cancellation;
        let elapsed_ms = now_ms.saturating_sub(acknowledged_at_ms);
        if was_known && elapsed_ms <= self.bounds.cancellation_timeout_ms {
            return;
        }
        let job = if was_known { "known job" } else { "unknown job" };
        self.violations
            .push(format!("UNASKED: {task} starts {elapsed_ms} ms after its cancel was answered: {job}"));
    }

    /// A task starts after all tasks of the stages that its stage depends on.
    fn check_dependencies(&mut self, task: TaskId, stage: &Stage) {
        let Some(spec) = self.specs.get(&task.job) else { return };
        for dependency in &stage.depends_on {
            for index in 0..spec.stages[usize::from(*dependency)].count {
                let needed = TaskId { stage: *dependency, index, ..task };
                if !self.done.contains(&needed) {
                    self.violations.push(format!("ORDER: {task} before {needed}"));
                }
            }
        }
    }

    /// A task starts at most as often as its queue allows.
    fn check_attempts(&mut self, task: TaskId, stage: &Stage) {
        if stage.gang {
            return;
        }
        let failed = self.acknowledged_failures.get(&task).copied().unwrap_or(0);
        if failed >= self.max_attempts {
            self.violations.push(format!("BUDGET: {task} after {failed} failed runs"));
        }
    }

    /// Records that a run ends on a worker.
    pub fn record_end(&mut self, now_ms: u64, end: RunEnd<'_>) {
        let RunEnd { worker_id, number, run: RunId { task, run }, outcome } = end;
        let worker_id = worker_id.to_owned();
        if let Some(running) = self.running.get_mut(&task) {
            running.remove(&RunOnWorker { worker_id: worker_id.clone(), run });
        }
        match outcome {
            RunOutcome::Done => {
                self.done.insert(task);
                let success = UnacknowledgedSuccess { worker_id, number, task, ended_at_ms: now_ms };
                self.unacknowledged_successes.push(success);
            }
            RunOutcome::Failed => {
                *self.failed_runs.entry(task).or_default() += 1;
                self.unacknowledged_failures.push(UnacknowledgedFailure { worker_id, number, task });
            }
            RunOutcome::Stopped | RunOutcome::LeaseExpired | RunOutcome::GangIncomplete => {}
        }
    }

    /// Records that a worker's lease expired: the scheduler may repeat what the worker had not
    /// reported before.
    pub fn record_lease_expiry(&mut self, worker_id: &str) {
        self.unacknowledged_successes.retain(|success| success.worker_id != worker_id);
    }

    /// Records that a worker crashed, with its runs and the ends that it had to report.
    pub fn record_crash(&mut self, worker_id: &str) {
        self.unacknowledged_successes.retain(|success| success.worker_id != worker_id);
        self.unacknowledged_failures.retain(|failure| failure.worker_id != worker_id);
        for running in self.running.values_mut() {
            running.retain(|run| run.worker_id != worker_id);
        }
    }

    /// Records that the scheduler acknowledges a worker's ends up to a number, and checks that none
    /// of them was started again meanwhile.
    pub fn record_acknowledgement(&mut self, now_ms: u64, worker_id: &str, acknowledged_end: u64) {
        let is_acknowledged = |success: &mut UnacknowledgedSuccess| {
            success.worker_id == worker_id && success.number <= acknowledged_end
        };
        let successes: Vec<UnacknowledgedSuccess> =
            self.unacknowledged_successes.extract_if(.., is_acknowledged).collect();
        for success in successes {
            self.check_not_restarted(&success);
            self.acknowledged_at_ms.entry(success.task).or_insert(now_ms);
        }
        let is_acknowledged = |failure: &mut UnacknowledgedFailure| {
            failure.worker_id == worker_id && failure.number <= acknowledged_end
        };
        for failure in self.unacknowledged_failures.extract_if(.., is_acknowledged) {
            *self.acknowledged_failures.entry(failure.task).or_default() += 1;
        }
    }

    fn check_not_restarted(&mut self, success: &UnacknowledgedSuccess) {
        let UnacknowledgedSuccess { task, ended_at_ms, .. } = success;
        let started_at_ms = self.last_start_ms.get(task).copied().unwrap_or(0);
        let is_hedged = self.stage(*task).is_some_and(|stage| stage.speculative);
        if started_at_ms > *ended_at_ms && !is_hedged {
            self.violations.push(format!(
                "TWICE: {task} was started at {started_at_ms}, after its end at {ended_at_ms}"
            ));
        }
    }

    /// Whether a task of a job has failed as often as its queue allows, so that the job may be shown
    /// as failed.
    #[must_use]
    pub fn has_job_failed(&self, job: JobId) -> bool {
        let mut runs = self.failed_runs.iter().filter(|(task, _)| task.job == job);
        runs.any(|(_, failed)| *failed >= self.max_attempts)
    }

    /// Whether all tasks of a job have succeeded; of a gang, any of its members.
    #[must_use]
    pub fn is_job_done(&self, job: JobId) -> bool {
        let Some(spec) = self.specs.get(&job) else { return false };
        (0..spec.occurrence_count()).all(|occurrence| {
            spec.stages.iter().enumerate().all(|(stage_index, stage)| {
                let task = |index| TaskId { job, occurrence, stage: stage_index as u16, index };
                let is_done = |index: u32| self.done.contains(&task(index));
                if stage.gang { (0..stage.count).any(is_done) } else { (0..stage.count).all(is_done) }
            })
        })
    }
}
