//! The choice of a worker: random walks over the workers that match a selector give the candidates,
//! and the candidate with the least cost is chosen.
use super::candidates::{CandidateGraphs, WorkerSelector, draw_candidates};
use super::capacity_bounds::CapacityBounds;
use super::request::{Eligibility, PlacementRequest};
use crate::ids::WorkerIndex;
use crate::jobs::JobTable;
use crate::resources::Resources;
use crate::workers::{ListingState, Worker, WorkerRegistry};
use compact_str::CompactString;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustc_hash::{FxHashMap, FxHashSet};

/// The time that a task waits for a worker on the rack of its data, as a share of the time that
/// running elsewhere would cost it.
const RACK_WAIT_SHARE: f64 = 0.5;
/// The number of units that did not fit from which on a full pass computes the bounds of free
/// capacity, which iterates over all workers.
const MIN_MISSES_FOR_BOUNDS: usize = 16;

/// The result of a placement request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Placement<T> {
    /// The worker, or for a gang the workers, to run on.
    On(T),
    /// No eligible worker has capacity.
    NoCapacity,
    /// No worker on the rack of the task's data has capacity, or no rack has capacity for all of a
    /// gang, and waiting for that costs less than running elsewhere.
    WaitForRack,
}

/// Chooses workers for tasks and gangs. It keeps the positions of the random walks from one
/// placement to the next. The job table and the worker registry are passed in by the caller.
#[derive(Debug)]
pub(crate) struct Placer {
    remote_data_slowdown: f64,
    graphs: CandidateGraphs,
    bounds: CapacityBounds,
    rng: Pcg64Mcg,
    /// Services in panic mode: most of their workers are ejected, so ejection is no evidence
    /// against a single worker.
    panic_mode_services: FxHashSet<CompactString>,
}

impl Placer {
    /// Creates a placer. `seed` seeds its random walks; for `remote_data_slowdown` see
    /// [`crate::SchedulerConfig::remote_data_slowdown`].
    pub(crate) fn new(remote_data_slowdown: f64, seed: u64) -> Self {
        Placer {
            remote_data_slowdown,
            graphs: CandidateGraphs::default(),
            bounds: CapacityBounds::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            panic_mode_services: FxHashSet::default(),
        }
    }

    /// Updates the candidate graphs for workers that were newly listed, changed, or are no longer
    /// ready, and invalidates the bounds of free capacity.
    pub(crate) fn update_workers(&mut self, workers: &WorkerRegistry, changed: &[WorkerIndex]) {
        if !changed.is_empty() {
            self.graphs.update(workers.as_slice(), changed);
            self.bounds.invalidate();
        }
    }

    /// Prepares a full pass. `misses` is the number of units that did not fit since the last full
    /// pass began.
    pub(crate) fn begin_full_pass(&mut self, workers: &WorkerRegistry, misses: usize) {
        if misses >= MIN_MISSES_FOR_BOUNDS {
            self.bounds.refresh(workers);
        } else {
            self.bounds.invalidate();
        }
    }

    /// Updates the bounds of free capacity after a worker has freed some.
    pub(crate) fn capacity_freed(&mut self, worker: &Worker) {
        self.bounds.raise(worker);
    }

    /// Determines the services in panic mode: those with more than half of their workers ejected,
    /// counting only workers that accept tasks.
    pub(crate) fn update_panic_mode(&mut self, workers: &WorkerRegistry, now_ms: u64) {
        #[derive(Default)]
        struct Counts {
            all: usize,
            ejected: usize,
        }
        let mut services: FxHashMap<&CompactString, Counts> = FxHashMap::default();
        for worker in workers.iter().filter(|worker| worker.accepts_tasks()) {
            let counts = services.entry(worker.service()).or_default();
            counts.all += 1;
            counts.ejected += usize::from(worker.health.is_ejected(now_ms));
        }
        let in_panic_mode = services.into_iter().filter(|(_, counts)| counts.ejected * 2 > counts.all);
        self.panic_mode_services = in_panic_mode.map(|(service, _)| service.clone()).collect();
    }

    /// Chooses a worker for a task, preferably on the rack of its data; see
    /// [`Placement::WaitForRack`].
    pub(crate) fn place_task(
        &mut self,
        jobs: &JobTable,
        workers: &WorkerRegistry,
        request: &PlacementRequest<'_>,
    ) -> Placement<WorkerIndex> {
        self.choose(jobs, workers, request, None)
    }

    /// Chooses a worker on `rack` if one is given. Otherwise it prefers the rack of the task's
    /// data, and decides to wait for a worker there if that costs less than running elsewhere.
    pub(super) fn choose(
        &mut self,
        jobs: &JobTable,
        workers: &WorkerRegistry,
        request: &PlacementRequest<'_>,
        rack: Option<&str>,
    ) -> Placement<WorkerIndex> {
        if let Some(data_rack) = request.stage.affinity.as_deref().filter(|_| rack.is_none()) {
            let on_data_rack = self.choose_on_rack(jobs, workers, request, Some(data_rack));
            if let Some(worker) = on_data_rack {
                return Placement::On(worker);
            }
            let max_wait_ms = self.remote_loss_ms(request) * RACK_WAIT_SHARE;
            let may_wait = (request.waited_ms as f64) < max_wait_ms;
            if may_wait && rack_has_reachable_worker(workers, request.service, data_rack) {
                return Placement::WaitForRack;
            }
        }
        let chosen = self.choose_on_rack(jobs, workers, request, rack);
        chosen.map_or(Placement::NoCapacity, Placement::On)
    }

    /// Whether any worker, on `rack` if one is given, may have enough free capacity.
    pub(super) fn may_fit(&self, request: &PlacementRequest<'_>, rack: Option<&str>) -> bool {
        let labels = request.stage.constraints.iter().map(String::as_str).chain(rack);
        self.bounds.may_fit(request.service, labels, Resources::demand_of(request.stage))
    }

    /// Chooses an eligible worker, on `rack` if one is given. A worker that the task avoids is
    /// chosen only if no other is found.
    fn choose_on_rack(
        &mut self,
        jobs: &JobTable,
        workers: &WorkerRegistry,
        request: &PlacementRequest<'_>,
        rack: Option<&str>,
    ) -> Option<WorkerIndex> {
        if !self.may_fit(request, rack) {
            return None;
        }
        let mut eligibility = self.eligibility(jobs, request, true);
        let preferred = self.choose_eligible(workers, &eligibility, rack);
        if preferred.is_none() && eligibility.task.is_some_and(|task| task.avoids_any_worker()) {
            eligibility.excludes_avoided = false;
            return self.choose_eligible(workers, &eligibility, rack);
        }
        preferred
    }

    /// The additional running time of a task away from its data or its gang, milliseconds.
    pub(super) fn remote_loss_ms(&self, request: &PlacementRequest<'_>) -> f64 {
        request.stage.estimated_runtime_ms as f64 * (self.remote_data_slowdown - 1.0)
    }

    pub(super) fn eligibility<'a>(
        &self,
        jobs: &'a JobTable,
        request: &'a PlacementRequest<'a>,
        excludes_avoided: bool,
    ) -> Eligibility<'a> {
        Eligibility {
            request,
            task: jobs.task(request.task),
            demand: Resources::demand_of(request.stage),
            is_in_panic_mode: self.panic_mode_services.contains(request.service),
            excludes_avoided,
        }
    }

    /// Chooses the candidate with the least cost.
    fn choose_eligible(
        &mut self,
        workers: &WorkerRegistry,
        eligibility: &Eligibility<'_>,
        rack: Option<&str>,
    ) -> Option<WorkerIndex> {
        let mut labels = eligibility.request.stage.constraints.clone();
        labels.extend(rack.map(str::to_owned));
        let selector = WorkerSelector { service: eligibility.request.service.clone(), labels };
        let graph = self.graphs.graph(workers.as_slice(), selector);
        let is_eligible = |index: WorkerIndex| eligibility.admits(index, &workers[index]);
        let candidates = draw_candidates(graph, workers.as_slice(), &mut self.rng, &is_eligible);
        let cost = |index: &WorkerIndex| workers[*index].placement_cost();
        candidates.into_iter().min_by(|one, other| cost(one).total_cmp(&cost(other)))
    }
}

/// Whether the service has a ready and reachable worker on the rack, which may free capacity.
fn rack_has_reachable_worker(workers: &WorkerRegistry, service: &str, rack: &str) -> bool {
    let is_match = |worker: &Worker| {
        worker.listing() == ListingState::Ready
            && worker.is_reachable()
            && worker.service() == service
            && worker.rack() == Some(rack)
    };
    workers.iter().any(is_match)
}
