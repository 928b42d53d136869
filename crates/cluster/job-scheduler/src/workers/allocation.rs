//! What is allocated on a worker: its runs, and the orphans that are still being stopped.
use crate::ids::{RunId, TaskId};
use crate::resources::Resources;
use std::collections::BTreeSet;

/// A run on a worker that no record names. It occupies capacity until it has stopped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Orphan {
    pub(crate) run: RunId,
    pub(crate) demand: Resources,
}

/// The runs on a worker. `used` is the sum of what their tasks demand.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allocation {
    runs: BTreeSet<RunId>,
    used: Resources,
    orphans: Vec<Orphan>,
}

impl Allocation {
    pub(crate) fn runs(&self) -> &BTreeSet<RunId> {
        &self.runs
    }

    pub(crate) fn used(&self) -> Resources {
        self.used
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.runs.is_empty() && self.orphans.is_empty()
    }

    /// What is left of a capacity.
    pub(crate) fn free_capacity(&self, capacity: Resources) -> Resources {
        let orphans = self.orphans.iter().fold(Resources::default(), |sum, orphan| sum.plus(orphan.demand));
        capacity.minus(self.used).minus(orphans)
    }

    pub(crate) fn reserve(&mut self, run: RunId, demand: Resources) {
        self.used = self.used.plus(demand);
        self.runs.insert(run);
    }

    /// Releases what a run occupied, if it is here.
    pub(crate) fn release(&mut self, run: RunId, demand: Resources) {
        if self.runs.remove(&run) {
            self.used = self.used.minus(demand);
        }
    }

    /// Replaces the orphans by those that are still there; whether any is gone.
    pub(crate) fn set_orphans(&mut self, orphans: Vec<Orphan>) -> bool {
        let is_there = |gone: &Orphan| orphans.iter().any(|orphan| orphan.run == gone.run);
        let any_gone = !self.orphans.iter().all(is_there);
        self.orphans = orphans;
        any_gone
    }

    /// All orphans are gone; whether there were any.
    pub(crate) fn clear_orphans(&mut self) -> bool {
        self.set_orphans(Vec::new())
    }

    /// How many runs of a task's stage and occurrence are here.
    pub(crate) fn runs_of_stage(&self, task: TaskId) -> usize {
        let first = RunId { task: task.first_of_stage(), run: 0 };
        let last = RunId { task: TaskId { index: u32::MAX, ..task }, run: u32::MAX };
        self.runs.range(first..=last).count()
    }
}
