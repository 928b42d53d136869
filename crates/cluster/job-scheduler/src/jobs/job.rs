//! A job: its specification and its progress.
use super::occurrence::{Occurrence, StageProgress};
use super::task::Task;
use crate::ids::{JobId, QueueId, TaskId};
use crate::pending::PendingKey;
use crate::record::{ClosedRecord, JobOutcome, JobRecord, TaskRecord};
use crate::spec::{JobSpec, Stage};
use compact_str::CompactString;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A job's state as clients see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// None of its tasks has ever been assigned to a worker.
    Queued,
    /// At least one of its tasks has been assigned to a worker.
    Running,
    /// It has ended.
    Closed(JobOutcome),
}

/// The next occurrence of a job, which begins when it is due.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NextOccurrence {
    pub(crate) number: u32,
    /// Milliseconds since the Unix epoch; 0 for at once.
    pub(crate) due_at_ms: u64,
}

/// A job. Its occurrences are created one by one when they are due.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    record: JobRecord,
    /// The payload of the spec, shared by all start requests.
    payload: Arc<str>,
    /// The service of the record, as the string type that workers use for it.
    service: CompactString,
    closed: Option<ClosedRecord>,
    occurrences: BTreeMap<u32, Occurrence>,
    next_occurrence: u32,
    /// Whether a run was ever assigned to a worker.
    has_runs: bool,
    /// Whether the job no longer counts as pending: a worker is known to have begun one of its
    /// tasks, or the job was closed.
    has_begun: bool,
    /// When it was first found that no worker could run one of its stages, monotonic milliseconds.
    infeasible_since_ms: Option<u64>,
}

impl Job {
    pub(super) fn new(record: JobRecord) -> Self {
        Job {
            payload: record.spec.payload.as_str().into(),
            service: record.service.as_str().into(),
            record,
            closed: None,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            has_runs: false,
            has_begun: false,
            infeasible_since_ms: None,
        }
    }

    // The specification.

    pub(crate) fn record(&self) -> &JobRecord {
        &self.record
    }

    pub(crate) fn spec(&self) -> &JobSpec {
        &self.record.spec
    }

    pub(crate) fn queue(&self) -> &QueueId {
        &self.record.queue
    }

    pub(crate) fn payload(&self) -> &Arc<str> {
        &self.payload
    }

    pub(crate) fn service(&self) -> &CompactString {
        &self.service
    }

    pub(crate) fn max_attempts(&self) -> u32 {
        self.record.max_attempts
    }

    pub(crate) fn stage(&self, number: u16) -> Option<&Stage> {
        self.record.spec.stages.get(usize::from(number))
    }

    /// The position in the pending queue of a task of this job.
    pub(crate) fn pending_key(&self, task: TaskId) -> PendingKey {
        let due_at_ms = self.record.spec.due_at_ms(task.occurrence).max(self.record.accepted_at_ms);
        PendingKey { priority: self.record.priority, due_at_ms, task }
    }

    // The state.

    pub(crate) fn state(&self) -> JobState {
        match self.closed {
            Some(closed) => JobState::Closed(closed.outcome),
            None if self.has_runs => JobState::Running,
            None => JobState::Queued,
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.closed.is_none()
    }

    pub(crate) fn closed(&self) -> Option<ClosedRecord> {
        self.closed
    }

    /// Closes the job. A closed job does not count as pending, whether it was counted before or is
    /// being restored.
    pub(super) fn close(&mut self, closed: ClosedRecord) {
        self.closed = Some(closed);
        self.has_begun = true;
    }

    /// Begins the retention time of a closed job again; `false` if the job is open.
    pub(super) fn renew_retention(&mut self, closed_at_ms: u64) -> bool {
        let Some(closed) = &mut self.closed else { return false };
        closed.closed_at_ms = closed_at_ms;
        true
    }

    pub(super) fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Marks the job as begun; `false` if it was already.
    pub(super) fn mark_begun(&mut self) -> bool {
        !std::mem::replace(&mut self.has_begun, true)
    }

    pub(super) fn mark_assigned(&mut self) {
        self.has_runs = true;
    }

    /// The time at which the job was first found infeasible, monotonic milliseconds. The first call
    /// sets it to `now_ms`.
    pub(crate) fn infeasible_since_ms(&mut self, now_ms: u64) -> u64 {
        *self.infeasible_since_ms.get_or_insert(now_ms)
    }

    // The occurrences and their tasks.

    pub(crate) fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        self.occurrences.get(&number)
    }

    pub(super) fn stage_progress_mut(&mut self, task: TaskId) -> Option<&mut StageProgress> {
        self.occurrences.get_mut(&task.occurrence)?.stage_mut(task.stage)
    }

    /// The next occurrence that has not begun; `None` if all have begun or the job is closed.
    pub(crate) fn next_occurrence(&self) -> Option<NextOccurrence> {
        let number = self.next_occurrence;
        let exists = self.is_open() && number < self.record.spec.occurrence_count();
        exists.then(|| NextOccurrence { number, due_at_ms: self.record.spec.due_at_ms(number) })
    }

    /// Begins the next occurrence.
    pub(crate) fn begin_next_occurrence(&mut self) {
        let number = self.next_occurrence;
        self.next_occurrence += 1;
        self.ensure_occurrence(number);
    }

    fn ensure_occurrence(&mut self, number: u32) -> &mut Occurrence {
        let stages = &self.record.spec.stages;
        self.occurrences.entry(number).or_insert_with(|| Occurrence::new(stages))
    }

    /// Begins all occurrences up to the last one with a restored task, and returns their number.
    pub(crate) fn restore_occurrences(&mut self) -> u32 {
        let begun = self.occurrences.keys().next_back().map_or(0, |last| last + 1);
        self.next_occurrence = begun;
        for number in 0..begun {
            self.ensure_occurrence(number);
        }
        begun
    }

    /// Restores a task from its record, without its runs; `None` if the job has no such task.
    pub(super) fn restore_task(&mut self, task: TaskId, record: &TaskRecord) -> Option<&mut Task> {
        self.has_runs = true;
        self.has_begun |= record.done || !record.failed_runs.is_empty() || !record.checkpoint.is_empty();
        self.ensure_occurrence(task.occurrence).stage_mut(task.stage)?.restore_task(task.index, record)
    }

    /// Whether all occurrences of the job are done, including those that have not begun.
    pub(crate) fn is_done(&self) -> bool {
        let done = self.occurrences.values().filter(|occurrence| occurrence.is_done()).count();
        done as u32 >= self.record.spec.occurrence_count()
    }

    /// Opens the stages of an occurrence whose dependencies are done, and returns the units to be
    /// queued: the tasks, and the first tasks of gangs, that are not done and have no active run.
    pub(crate) fn open_ready_stages(&mut self, job: JobId, occurrence: u32) -> Vec<TaskId> {
        let stages = &self.record.spec.stages;
        let Some(progress) = self.occurrences.get_mut(&occurrence) else { return Vec::new() };
        let mut units = Vec::new();
        for number in progress.open_ready_stages(stages) {
            let first = TaskId { job, occurrence, stage: number, index: 0 };
            let is_gang = stages[usize::from(number)].gang;
            let pending = progress.stages()[usize::from(number)].pending_units(is_gang);
            units.extend(pending.into_iter().map(|index| TaskId { index, ..first }));
        }
        units
    }

    /// All tasks of the occurrences that have begun, in order.
    pub(crate) fn tasks(&self, job: JobId) -> impl Iterator<Item = (TaskId, &Task)> {
        self.occurrences.iter().flat_map(move |(occurrence, progress)| {
            progress.stages().iter().enumerate().flat_map(move |(stage, progress)| {
                progress.tasks().iter().enumerate().map(move |(index, task)| {
                    let (stage, index) = (stage as u16, index as u32);
                    (TaskId { job, occurrence: *occurrence, stage, index }, task)
                })
            })
        })
    }

    pub(crate) fn has_active_runs(&self) -> bool {
        let mut stages = self.occurrences.values().flat_map(Occurrence::stages);
        stages.any(|stage| stage.tasks().iter().any(Task::has_active_runs))
    }
}
