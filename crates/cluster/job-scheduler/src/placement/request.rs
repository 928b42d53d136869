//! A placement request, and the rules by which workers are eligible for it.
use crate::ids::{TaskId, WorkerIndex};
use crate::jobs::Task;
use crate::resources::Resources;
use crate::spec::Stage;
use crate::workers::Worker;
use compact_str::CompactString;

/// A request to place a task, or a gang, which is represented by its first task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementRequest<'a> {
    pub(crate) task: TaskId,
    pub(crate) stage: &'a Stage,
    pub(crate) service: &'a CompactString,
    /// The time for which it has been waiting, milliseconds.
    pub(crate) waited_ms: u64,
    /// The current monotonic time, milliseconds.
    pub(crate) now_ms: u64,
}

/// The rules by which a worker is eligible for a request.
#[derive(Debug)]
pub(super) struct Eligibility<'a> {
    pub(super) request: &'a PlacementRequest<'a>,
    pub(super) task: Option<&'a Task>,
    pub(super) demand: Resources,
    /// Whether ejected workers are eligible, since most workers of the service are ejected (panic
    /// mode).
    pub(super) is_in_panic_mode: bool,
    /// Whether workers that the task avoids are ineligible.
    pub(super) excludes_avoided: bool,
}

impl Eligibility<'_> {
    pub(super) fn admits(&self, index: WorkerIndex, worker: &Worker) -> bool {
        let stage = self.request.stage;
        worker.service() == self.request.service
            && worker.accepts_tasks()
            && worker.has_labels(&stage.constraints)
            && (self.is_in_panic_mode || !worker.health.is_ejected(self.request.now_ms))
            && self.demand.fits_in(worker.free_capacity())
            && !self.task.is_some_and(|task| task.has_run_on(index))
            && !(self.excludes_avoided && self.task.is_some_and(|task| task.avoids(index)))
            && self.is_within_anti_affinity(worker)
    }

    fn is_within_anti_affinity(&self, worker: &Worker) -> bool {
        let max_per_worker = self.request.stage.anti_affinity as usize;
        max_per_worker == 0 || worker.allocation.runs_of_stage(self.request.task) < max_per_worker
    }
}
