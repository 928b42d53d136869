//! A task: its active runs and the outcomes of earlier ones.
use super::run::Run;
use crate::ids::WorkerIndex;
use crate::record::TaskRecord;
use compact_str::CompactString;

/// A task. Run numbers only ascend, so that a worker can tell an outdated start from a new one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    last_run: u32,
    /// The numbers of the runs that failed; those of a gang are kept by its first task.
    failed_runs: Vec<u32>,
    done: bool,
    checkpoint: CompactString,
    active_runs: Vec<Run>,
    /// Workers on which it failed or lagged, and which placement avoids.
    avoided_workers: Vec<WorkerIndex>,
}

impl Task {
    /// Restores the task from its record, without its active runs; see [`Task::add_run`].
    pub(super) fn restore(&mut self, record: &TaskRecord) {
        self.last_run = record.last_run;
        self.failed_runs.clone_from(&record.failed_runs);
        self.checkpoint = record.checkpoint.as_str().into();
        self.done |= record.done;
    }

    /// Converts the task to its stored form.
    pub(crate) fn to_record(&self, worker_id: impl Fn(WorkerIndex) -> String) -> TaskRecord {
        TaskRecord {
            last_run: self.last_run,
            failed_runs: self.failed_runs.clone(),
            done: self.done,
            checkpoint: self.checkpoint.to_string(),
            active_runs: self.active_runs.iter().map(|run| (run.number(), worker_id(run.worker()))).collect(),
        }
    }

    /// Whether the task was ever started, so that there is something to store.
    pub(crate) fn has_history(&self) -> bool {
        self.last_run > 0 || self.done || !self.failed_runs.is_empty()
    }

    /// The number of the last run; 0 for none.
    pub(crate) fn last_run(&self) -> u32 {
        self.last_run
    }

    pub(crate) fn failed_runs(&self) -> &[u32] {
        &self.failed_runs
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    pub(crate) fn checkpoint(&self) -> &CompactString {
        &self.checkpoint
    }

    pub(crate) fn active_runs(&self) -> &[Run] {
        &self.active_runs
    }

    pub(crate) fn has_active_runs(&self) -> bool {
        !self.active_runs.is_empty()
    }

    pub(crate) fn run(&self, number: u32) -> Option<&Run> {
        self.active_runs.iter().find(|run| run.number() == number)
    }

    pub(crate) fn run_mut(&mut self, number: u32) -> Option<&mut Run> {
        self.active_runs.iter_mut().find(|run| run.number() == number)
    }

    pub(crate) fn add_run(&mut self, run: Run) {
        self.last_run = self.last_run.max(run.number());
        self.active_runs.push(run);
    }

    /// Removes and returns a run that ended. Its checkpoint, unless empty, becomes the task's.
    pub(crate) fn remove_run(&mut self, number: u32, checkpoint: &CompactString) -> Option<Run> {
        let position = self.active_runs.iter().position(|run| run.number() == number)?;
        if !checkpoint.is_empty() {
            self.checkpoint.clone_from(checkpoint);
        }
        Some(self.active_runs.remove(position))
    }

    pub(crate) fn add_failed_run(&mut self, number: u32) {
        if !self.failed_runs.contains(&number) {
            self.failed_runs.push(number);
        }
    }

    pub(crate) fn has_failed_run(&self, number: u32) -> bool {
        self.failed_runs.contains(&number)
    }

    /// Marks the task as done; `false` if it was already.
    pub(super) fn mark_done(&mut self) -> bool {
        !std::mem::replace(&mut self.done, true)
    }

    /// Makes placement prefer other workers from now on.
    pub(crate) fn avoid_worker(&mut self, worker: WorkerIndex) {
        self.avoided_workers.retain(|avoided| *avoided != worker);
        self.avoided_workers.push(worker);
    }

    pub(crate) fn avoids(&self, worker: WorkerIndex) -> bool {
        self.avoided_workers.contains(&worker)
    }

    pub(crate) fn avoids_any_worker(&self) -> bool {
        !self.avoided_workers.is_empty()
    }

    pub(crate) fn has_run_on(&self, worker: WorkerIndex) -> bool {
        self.active_runs.iter().any(|run| run.worker() == worker)
    }
}
