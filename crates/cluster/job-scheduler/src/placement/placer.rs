//! The choice of a worker: candidates by random walks among the workers of a kind, then the one
//! with the least cost.
use super::candidates::{CandidateGraphs, WorkerKind, draw_candidates};
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

/// How long a task waits for a worker near its data, as a share of what it loses far from them.
const RACK_WAIT_SHARE: f64 = 0.5;
/// Units that did not fit from which on the bounds of free capacity are worth a look at all workers.
const MIN_MISSES_FOR_BOUNDS: usize = 16;

/// The decision about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Placement<T> {
    On(T),
    /// No eligible worker has capacity.
    NoCapacity,
    /// A worker elsewhere may have, but it is worth while to wait for one on the right rack.
    WaitForRack,
}

/// Chooses workers. It keeps the random walks from one placement to the next; jobs and workers
/// belong to others.
#[derive(Debug)]
pub(crate) struct Placer {
    remote_data_slowdown: f64,
    graphs: CandidateGraphs,
    bounds: CapacityBounds,
    rng: Pcg64Mcg,
    /// Services most of whose workers are ejected: there, ejection says nothing about a single
    /// worker (panic mode).
    panicking_services: FxHashSet<CompactString>,
}

impl Placer {
    /// A placer with a seed for its random walks; see
    /// [`crate::SchedulerConfig::remote_data_slowdown`].
    pub(crate) fn new(remote_data_slowdown: f64, seed: u64) -> Self {
        Placer {
            remote_data_slowdown,
            graphs: CandidateGraphs::default(),
            bounds: CapacityBounds::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            panicking_services: FxHashSet::default(),
        }
    }

    /// Some workers were listed anew, changed, or are no longer ready.
    pub(crate) fn update_workers(&mut self, workers: &WorkerRegistry, changed: &[WorkerIndex]) {
        if !changed.is_empty() {
            self.graphs.update(workers.as_slice(), changed);
            self.bounds.forget();
        }
    }

    /// A full pass begins, and so many units did not fit since the last began.
    pub(crate) fn begin_full_pass(&mut self, workers: &WorkerRegistry, misses: usize) {
        if misses >= MIN_MISSES_FOR_BOUNDS {
            self.bounds.refresh(workers);
        } else {
            self.bounds.forget();
        }
    }

    /// A worker has freed capacity.
    pub(crate) fn capacity_freed(&mut self, worker: &Worker) {
        self.bounds.raise(worker);
    }

    /// Finds the services most of whose workers are ejected.
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
        let panicking = services.into_iter().filter(|(_, counts)| counts.ejected * 2 > counts.all);
        self.panicking_services = panicking.map(|(service, _)| service.clone()).collect();
    }

    /// A worker for a task; near its data, if it is worth while to wait for one there.
    pub(crate) fn place_task(
        &mut self,
        jobs: &JobTable,
        workers: &WorkerRegistry,
        request: &PlacementRequest<'_>,
    ) -> Placement<WorkerIndex> {
        self.choose(jobs, workers, request, None)
    }

    /// A worker on `rack` if one is given, else near the task's data if that is worth the wait.
    pub(super) fn choose(
        &mut self,
        jobs: &JobTable,
        workers: &WorkerRegistry,
        request: &PlacementRequest<'_>,
        rack: Option<&str>,
    ) -> Placement<WorkerIndex> {
        if let Some(data_rack) = request.stage.affinity.as_deref().filter(|_| rack.is_none()) {
            let near = self.choose_on_rack(jobs, workers, request, Some(data_rack));
            if let Some(worker) = near {
                return Placement::On(worker);
            }
            let max_wait_ms = self.remote_loss_ms(request) * RACK_WAIT_SHARE;
            let may_wait = (request.waited_ms as f64) < max_wait_ms;
            if may_wait && rack_serves(workers, request.service, data_rack) {
                return Placement::WaitForRack;
            }
        }
        let chosen = self.choose_on_rack(jobs, workers, request, rack);
        chosen.map_or(Placement::NoCapacity, Placement::On)
    }

    /// Whether any worker may have enough free, on `rack` if one is given.
    pub(super) fn may_fit(&self, request: &PlacementRequest<'_>, rack: Option<&str>) -> bool {
        let labels = request.stage.constraints.iter().map(String::as_str).chain(rack);
        self.bounds.may_fit(request.service, labels, Resources::demand_of(request.stage))
    }

    /// Workers that the task avoids are chosen only if there is no other.
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

    /// The time that a task loses far from its data or its gang, milliseconds.
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
            is_panicking: self.panicking_services.contains(request.service),
            excludes_avoided,
        }
    }

    /// Of the candidates that the walks lead to, the one with the least cost.
    fn choose_eligible(
        &mut self,
        workers: &WorkerRegistry,
        eligibility: &Eligibility<'_>,
        rack: Option<&str>,
    ) -> Option<WorkerIndex> {
        let mut labels = eligibility.request.stage.constraints.clone();
        labels.extend(rack.map(str::to_owned));
        let kind = WorkerKind { service: eligibility.request.service.clone(), labels };
        let graph = self.graphs.graph(workers.as_slice(), kind);
        let is_eligible = |index: WorkerIndex| eligibility.admits(index, &workers[index]);
        let candidates = draw_candidates(graph, workers.as_slice(), &mut self.rng, &is_eligible);
        let cost = |index: &WorkerIndex| workers[*index].placement_cost();
        candidates.into_iter().min_by(|one, other| cost(one).total_cmp(&cost(other)))
    }
}

/// Whether any worker of a service on that rack may free capacity.
fn rack_serves(workers: &WorkerRegistry, service: &str, rack: &str) -> bool {
    let serves = |worker: &Worker| {
        worker.listing() == ListingState::Ready
            && worker.is_reachable()
            && worker.service() == service
            && worker.rack() == Some(rack)
    };
    workers.iter().any(serves)
}
