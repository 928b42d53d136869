//! An occurrence of a job: the progress of its stages.
use super::task::Task;
use crate::record::TaskRecord;
use crate::spec::Stage;

/// The progress of a stage.
///
/// Invariant: `remaining` is the number of tasks that are not done. It holds since tasks are marked
/// as done only by this type.
#[derive(Clone, Debug, Default)]
pub(crate) struct StageProgress {
    tasks: Vec<Task>,
    remaining: u32,
    /// Whether the stages that it depends on were found done, so that its tasks were queued.
    is_open: bool,
}

impl StageProgress {
    fn new(stage: &Stage) -> Self {
        StageProgress {
            tasks: vec![Task::default(); stage.count as usize],
            remaining: stage.count,
            is_open: false,
        }
    }

    pub(crate) fn tasks(&self) -> &[Task] {
        &self.tasks
    }

    pub(super) fn task_mut(&mut self, index: u32) -> Option<&mut Task> {
        self.tasks.get_mut(index as usize)
    }

    pub(crate) fn is_done(&self) -> bool {
        self.remaining == 0
    }

    /// The indexes of the units to be queued: tasks that are not done and have no active run. A gang
    /// is one unit, with the index of its first task, and has an active run if any member has one.
    pub(super) fn pending_units(&self, is_gang: bool) -> Vec<u32> {
        let is_pending = |task: &Task| !task.is_done() && !task.has_active_runs();
        if is_gang {
            return if self.tasks.iter().all(is_pending) { vec![0] } else { Vec::new() };
        }
        let pending = (0..).zip(&self.tasks).filter(|(_, task)| is_pending(task));
        pending.map(|(index, _)| index).collect()
    }

    /// Marks a task as done; `false` if it was done already or there is no such task.
    pub(super) fn mark_task_done(&mut self, index: u32) -> bool {
        let newly_done = self.tasks.get_mut(index as usize).is_some_and(Task::mark_done);
        self.remaining -= u32::from(newly_done);
        newly_done
    }

    /// Restores a task from its record, without its runs; `None` if there is no such task.
    pub(super) fn restore_task(&mut self, index: u32, record: &TaskRecord) -> Option<&mut Task> {
        let task = self.tasks.get_mut(index as usize)?;
        task.restore(record);
        self.remaining -= u32::from(record.done);
        Some(task)
    }
}

/// An occurrence of a job.
#[derive(Clone, Debug)]
pub(crate) struct Occurrence {
    stages: Vec<StageProgress>,
}

impl Occurrence {
    pub(super) fn new(stages: &[Stage]) -> Self {
        Occurrence { stages: stages.iter().map(StageProgress::new).collect() }
    }

    pub(crate) fn stages(&self) -> &[StageProgress] {
        &self.stages
    }

    pub(super) fn stage_mut(&mut self, number: u16) -> Option<&mut StageProgress> {
        self.stages.get_mut(usize::from(number))
    }

    pub(crate) fn is_done(&self) -> bool {
        self.stages.iter().all(StageProgress::is_done)
    }

    /// Opens the stages whose dependencies are done, and returns their numbers.
    pub(super) fn open_ready_stages(&mut self, stages: &[Stage]) -> Vec<u16> {
        let mut opened = Vec::new();
        for (number, stage) in stages.iter().enumerate() {
            let is_done = |dependency: &u16| {
                self.stages.get(usize::from(*dependency)).is_some_and(StageProgress::is_done)
            };
            if !self.stages[number].is_open && stage.depends_on.iter().all(is_done) {
                self.stages[number].is_open = true;
                opened.push(number as u16);
            }
        }
        opened
    }
}
