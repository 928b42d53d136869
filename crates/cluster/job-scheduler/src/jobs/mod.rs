//! The job table: all known jobs, open or closed, with their tasks and runs.
mod job;
mod occurrence;
mod run;
mod task;

pub(crate) use job::Job;
pub use job::JobState;
pub(crate) use run::{Run, RunPhase};
pub(crate) use task::Task;

use crate::ids::{JobId, QueueId, RunId, TaskId, WorkerIndex};
use crate::record::{ClosedRecord, JobRecord, RecordKey, TaskRecord};
use crate::resources::Resources;
use crate::spec::Stage;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// A closed job and the start of its retention time.
#[derive(Clone, Copy, Debug)]
struct ClosedEntry {
    /// Milliseconds since the Unix epoch.
    closed_at_ms: u64,
    job: JobId,
}

/// All jobs, with counts and an order that are derived from them.
///
/// - `open_count` is the number of jobs that are not closed.
/// - `pending_counts` is, by queue, the number of open jobs of which no task is known to have
///   begun.
/// - `closed` holds every closed job once, in the order of removal.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    jobs: FxHashMap<JobId, Job>,
    open_count: usize,
    pending_counts: FxHashMap<QueueId, u64>,
    closed: VecDeque<ClosedEntry>,
}

impl JobTable {
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(crate) fn open_count(&self) -> usize {
        self.open_count
    }

    /// The number of open jobs of a queue of which no task is known to have begun.
    pub(crate) fn pending_count(&self, queue: &QueueId) -> u64 {
        self.pending_counts.get(queue).copied().unwrap_or(0)
    }

    pub(crate) fn contains(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    pub(crate) fn ids(&self) -> Vec<JobId> {
        self.jobs.keys().copied().collect()
    }

    // Look-ups.

    pub(crate) fn get(&self, job: JobId) -> Option<&Job> {
        self.jobs.get(&job)
    }

    pub(crate) fn get_mut(&mut self, job: JobId) -> Option<&mut Job> {
        self.jobs.get_mut(&job)
    }

    pub(crate) fn is_open(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(Job::is_open)
    }

    pub(crate) fn stage(&self, task: TaskId) -> Option<&Stage> {
        self.jobs.get(&task.job)?.stage(task.stage)
    }

    /// The resource demand of a task; zero for an unknown task.
    pub(crate) fn demand(&self, task: TaskId) -> Resources {
        self.stage(task).map(Resources::demand_of).unwrap_or_default()
    }

    pub(crate) fn task(&self, task: TaskId) -> Option<&Task> {
        let occurrence = self.jobs.get(&task.job)?.occurrence(task.occurrence)?;
        occurrence.stages().get(usize::from(task.stage))?.tasks().get(task.index as usize)
    }

    pub(crate) fn task_mut(&mut self, task: TaskId) -> Option<&mut Task> {
        self.jobs.get_mut(&task.job)?.stage_progress_mut(task)?.task_mut(task.index)
    }

    pub(crate) fn run(&self, run: RunId) -> Option<&Run> {
        self.task(run.task)?.run(run.run)
    }

    pub(crate) fn run_mut(&mut self, run: RunId) -> Option<&mut Run> {
        self.task_mut(run.task)?.run_mut(run.run)
    }

    /// The run, if it is known and assigned to that worker.
    pub(crate) fn run_on_mut(&mut self, run: RunId, worker: WorkerIndex) -> Option<&mut Run> {
        self.run_mut(run).filter(|run| run.worker() == worker)
    }

    /// Whether the run is known and assigned to that worker.
    pub(crate) fn is_run_on(&self, run: RunId, worker: WorkerIndex) -> bool {
        self.run(run).is_some_and(|run| run.worker() == worker)
    }

    pub(crate) fn is_gang(&self, task: TaskId) -> bool {
        self.stage(task).is_some_and(|stage| stage.gang)
    }

    /// The unit that is placed as a whole: the first task of a gang, or the task itself.
    pub(crate) fn placement_unit(&self, task: TaskId) -> TaskId {
        if self.is_gang(task) { task.first_of_stage() } else { task }
    }

    /// All tasks of the stage and occurrence that a task belongs to.
    pub(crate) fn tasks_of_stage(&self, task: TaskId) -> impl Iterator<Item = TaskId> + use<> {
        let count = self.stage(task).map_or(0, |stage| stage.count);
        (0..count).map(move |index| TaskId { index, ..task })
    }

    // Changes, each caused by an event.

    /// Adds a newly accepted job.
    pub(crate) fn accept(&mut self, job: JobId, record: JobRecord) {
        self.jobs.insert(job, Job::new(record));
        self.count_open(job);
    }

    /// Closes a job; `false` if there is no such job.
    pub(crate) fn close(&mut self, job: JobId, closed: ClosedRecord) -> bool {
        self.mark_begun(job);
        let Some(entry) = self.jobs.get_mut(&job) else { return false };
        entry.close(closed);
        self.open_count = self.open_count.saturating_sub(1);
        true
    }

    /// Begins the retention time of a closed job again; `false` if there is no such job.
    pub(crate) fn renew_retention(&mut self, job: JobId, closed_at_ms: u64) -> bool {
        self.jobs.get_mut(&job).is_some_and(|entry| entry.renew_retention(closed_at_ms))
    }

    pub(crate) fn remove(&mut self, job: JobId) {
        self.jobs.remove(&job);
    }

    /// Marks a job as no longer pending: a worker has begun one of its tasks, or none ever will
    /// since the job is closed.
    pub(crate) fn mark_begun(&mut self, job: JobId) {
        let Some(job) = self.jobs.get_mut(&job) else { return };
        if !job.mark_begun() {
            return;
        }
        if let Some(count) = self.pending_counts.get_mut(job.queue()) {
            *count = count.saturating_sub(1);
        }
    }

    /// Adds a run that was assigned to a worker; `false` if there is no such task.
    pub(crate) fn add_run(&mut self, task: TaskId, run: Run) -> bool {
        let Some(job) = self.jobs.get_mut(&task.job) else { return false };
        job.mark_assigned();
        let Some(entry) = job.stage_progress_mut(task).and_then(|stage| stage.task_mut(task.index)) else {
            return false;
        };
        entry.add_run(run);
        true
    }

    /// Marks a task as done; `false` if it was done already or there is no such task.
    pub(crate) fn mark_task_done(&mut self, task: TaskId) -> bool {
        let stage = self.jobs.get_mut(&task.job).and_then(|job| job.stage_progress_mut(task));
        stage.is_some_and(|stage| stage.mark_task_done(task.index))
    }

    // Recovery.

    /// Adds a job from its record. The caller counts it with [`JobTable::count_open`] once its
    /// tasks are restored.
    pub(crate) fn restore(&mut self, job: JobId, record: JobRecord) {
        self.jobs.insert(job, Job::new(record));
    }

    /// Closes a job according to its stored end, and schedules its removal; `false` if there is no
    /// such job.
    pub(crate) fn restore_closed(&mut self, job: JobId, closed: ClosedRecord) -> bool {
        let Some(entry) = self.jobs.get_mut(&job) else { return false };
        entry.close(closed);
        self.schedule_removal(closed.closed_at_ms, job);
        true
    }

    /// Restores a task from its record, without its runs; `false` if there is no such task.
    pub(crate) fn restore_task(&mut self, task: TaskId, record: &TaskRecord) -> bool {
        self.jobs.get_mut(&task.job).and_then(|job| job.restore_task(task, record)).is_some()
    }

    /// Counts a job as open, and as pending unless one of its tasks has begun.
    pub(crate) fn count_open(&mut self, job: JobId) {
        let Some(job) = self.jobs.get(&job) else { return };
        self.open_count += 1;
        if !job.has_begun() {
            *self.pending_counts.entry(job.queue().clone()).or_default() += 1;
        }
    }

    // Closed jobs.

    /// Schedules the removal of a closed job for the end of its retention time, which begins at
    /// `closed_at_ms`, milliseconds since the Unix epoch.
    pub(crate) fn schedule_removal(&mut self, closed_at_ms: u64, job: JobId) {
        self.closed.push_back(ClosedEntry { closed_at_ms, job });
    }

    /// Removes and returns the next scheduled job whose retention time is over.
    pub(crate) fn pop_expired(&mut self, now_unix_ms: u64, retention_ms: u64) -> Option<JobId> {
        let is_expired = |entry: &mut ClosedEntry| now_unix_ms >= entry.closed_at_ms + retention_ms;
        self.closed.pop_front_if(is_expired).map(|entry| entry.job)
    }

    // Records.

    /// Encodes the current value of a job's or task's record; `None` if it is to be deleted.
    pub(crate) fn encode_record(
        &self,
        key: RecordKey,
        worker_id: impl Fn(WorkerIndex) -> String,
    ) -> Option<Vec<u8>> {
        match key {
            RecordKey::Job(job) => Some(self.jobs.get(&job)?.record().encode()),
            RecordKey::Closed(job) => Some(self.jobs.get(&job)?.closed()?.encode()),
            // Not a record of this table.
            RecordKey::WorkerClass(_) => None,
            RecordKey::Task(id) => {
                let job = self.jobs.get(&id.job)?;
                let task = self.task(id)?;
                // For a closed job, only the tasks with runs that must still be stopped are stored.
                let is_stored = if job.is_open() { task.has_history() } else { task.has_active_runs() };
                is_stored.then(|| task.to_record(worker_id).encode())
            }
        }
    }
}
