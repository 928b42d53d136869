//! The capacity allocated on a worker: to its runs, and to orphans that are still being stopped.
use crate::ids::{RunId, TaskId};
use crate::resources::Resources;
use std::collections::BTreeSet;

/// A run that its worker reports although no record assigns it there. It occupies capacity until it
/// has stopped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Orphan {
    pub(crate) run: RunId,
    pub(crate) demand: Resources,
}

/// The runs and orphans on a worker. `used` is the sum of the runs' demands, without orphans.
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

    /// The part of `capacity` that neither runs nor orphans occupy.
    pub(crate) fn free_capacity(&self, capacity: Resources) -> Resources {
        let orphans = self.orphans.iter().fold(Resources::default(), |sum, orphan| sum.plus(orphan.demand));
        capacity.minus(self.used).minus(orphans)
    }

    /// Reserves capacity for a run.
    pub(crate) fn reserve(&mut self, run: RunId, demand: Resources) {
        self.used = self.used.plus(demand);
        self.runs.insert(run);
    }

    /// Releases the capacity of a run, if the run is on this worker.
    pub(crate) fn release(&mut self, run: RunId, demand: Resources) {
        if self.runs.remove(&run) {
            self.used = self.used.minus(demand);
        }
    }

    /// Replaces the orphans by those of the latest report. Returns whether any earlier orphan is
    /// not among them, so that capacity was freed.
    pub(crate) fn set_orphans(&mut self, orphans: Vec<Orphan>) -> bool {
        let is_still_reported = |earlier: &Orphan| orphans.iter().any(|orphan| orphan.run == earlier.run);
        let any_gone = !self.orphans.iter().all(is_still_reported);
        self.orphans = orphans;
        any_gone
    }

    /// Removes all orphans. Returns whether there were any.
    pub(crate) fn clear_orphans(&mut self) -> bool {
        self.set_orphans(Vec::new())
    }

    /// The number of runs on this worker that belong to the stage and occurrence of `task`.
    pub(crate) fn runs_of_stage(&self, task: TaskId) -> usize {
        let first = RunId { task: task.first_of_stage(), run: 0 };
        let last = RunId { task: TaskId { index: u32::MAX, ..task }, run: u32::MAX };
        self.runs.range(first..=last).count()
    }
}
