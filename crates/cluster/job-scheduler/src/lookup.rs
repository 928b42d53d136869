//! From a task's key to its task, step and needs.
use crate::ids::TaskId;
use crate::job::{Run, Task};
use crate::scheduler::Scheduler;
use crate::spec::Stage;
use crate::worker::Resources;

impl Scheduler {
    pub(crate) fn stage(&self, key: TaskId) -> Option<&Stage> {
        self.jobs.get(&key.job)?.record.spec.stages.get(usize::from(key.stage))
    }

    pub(crate) fn need(&self, key: TaskId) -> Resources {
        self.stage(key).map(Resources::of).unwrap_or_default()
    }

    pub(crate) fn task(&self, key: TaskId) -> Option<&Task> {
        let steps = self.jobs.get(&key.job)?.occurrences.get(&key.occurrence)?;
        steps.stages.get(usize::from(key.stage))?.tasks.get(key.index as usize)
    }

    pub(crate) fn task_mut(&mut self, key: TaskId) -> Option<&mut Task> {
        let steps = self.jobs.get_mut(&key.job)?.occurrences.get_mut(&key.occurrence)?;
        steps.stages.get_mut(usize::from(key.stage))?.tasks.get_mut(key.index as usize)
    }

    pub(crate) fn run_mut(&mut self, key: TaskId, run: u32) -> Option<&mut Run> {
        self.task_mut(key)?.active.iter_mut().find(|r| r.run == run)
    }

    pub(crate) fn run(&self, key: TaskId, run: u32) -> Option<&Run> {
        self.task(key)?.active.iter().find(|r| r.run == run)
    }

    /// The tasks of a step of one time.
    pub(crate) fn siblings(&self, key: TaskId) -> impl Iterator<Item = TaskId> + use<> {
        let count = self.stage(key).map_or(0, |stage| stage.count);
        (0..count).map(move |index| TaskId { index, ..key })
    }

    /// Whether a task's job goes on.
    pub(crate) fn lives(&self, key: TaskId) -> bool {
        self.jobs.get(&key.job).is_some_and(|job| job.closed.is_none())
    }
}
