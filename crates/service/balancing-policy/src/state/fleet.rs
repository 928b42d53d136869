//! All workers, their graphs, and the workers whose attempts ended most recently.

use super::worker::Worker;
use super::worker_graph::{WorkerGraph, WorkerIndex};
use crate::api::{Endpoint, LoadReport, MILLISECOND, Nanos, RequestClass, WorkerState};
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// The initial estimate of the age that load reports reach. Reports that may be this old do not
/// show recent sends yet.
const INITIAL_REPORT_AGE: Nanos = 500 * MILLISECOND;

/// The weight of a new sample in the mean report age.
const REPORT_AGE_GAIN: f64 = 0.05;

/// The maximum number of recently used workers that are remembered.
const MAX_RECENTLY_USED: usize = 16;

/// All workers that the endpoint list has ever named.
///
/// Invariants: workers are never removed, so a [`WorkerIndex`] stays valid; `index` contains every
/// worker; the first graph covers all machine kinds; each graph contains the ready workers of its
/// machine kind.
pub(crate) struct Fleet {
    workers: Vec<Worker>,
    index: FxHashMap<Arc<str>, WorkerIndex>,
    graphs: Vec<WorkerGraph>,
    /// The workers whose attempts ended most recently, the latest one last.
    recently_used: Vec<WorkerIndex>,
    /// The sum of the ready workers' weights.
    weight_sum: f64,
    /// The mean age that load reports reach before the worker renews them, in nanoseconds.
    report_age: f64,
    /// The number of ejected ready workers, counted at the last ejection.
    ejected_count: usize,
}

/// A graph's index in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GraphIndex(usize);

/// The parts of a fleet that a search for candidates borrows.
pub(crate) struct FleetParts<'a> {
    pub(crate) workers: &'a mut [Worker],
    pub(crate) graph: &'a mut WorkerGraph,
    pub(crate) recently_used: &'a [WorkerIndex],
}

impl Fleet {
    /// Creates a fleet without workers, with a graph for all machine kinds and one for each machine
    /// kind that the classes need.
    pub(crate) fn new(classes: &[RequestClass]) -> Self {
        let mut kinds: Vec<u32> = classes.iter().filter_map(|class| class.machine_kind).collect();
        kinds.sort_unstable();
        kinds.dedup();
        let graph_kinds = std::iter::once(None).chain(kinds.into_iter().map(Some));
        Fleet {
            workers: Vec::new(),
            index: FxHashMap::default(),
            graphs: graph_kinds.map(WorkerGraph::new).collect(),
            recently_used: Vec::new(),
            weight_sum: 0.0,
            report_age: INITIAL_REPORT_AGE as f64,
            ejected_count: 0,
        }
    }

    /// Returns the index of a worker, if the endpoint list has ever named it.
    pub(crate) fn find(&self, worker: &str) -> Option<WorkerIndex> {
        self.index.get(worker).copied()
    }

    /// Returns a worker by its index.
    pub(crate) fn worker(&self, worker: WorkerIndex) -> &Worker {
        &self.workers[worker.as_usize()]
    }

    /// Returns a mutable reference to a worker by its index.
    pub(crate) fn worker_mut(&mut self, worker: WorkerIndex) -> &mut Worker {
        &mut self.workers[worker.as_usize()]
    }

    /// Returns all workers, which are the vertices of the graphs.
    pub(crate) fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Returns the ready workers, in the order in which the endpoint list first named them.
    pub(crate) fn ready_workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter().filter(|worker| worker.is_ready())
    }

    /// Returns the graph of all machine kinds.
    pub(crate) fn main_graph(&self) -> &WorkerGraph {
        &self.graphs[0]
    }

    /// Returns the graph of a class's machine kind; that of all machine kinds for `None`.
    pub(crate) fn graph_for(&self, machine_kind: Option<u32>) -> GraphIndex {
        let position = self.graphs.iter().position(|graph| graph.machine_kind == machine_kind);
        GraphIndex(position.unwrap_or(0))
    }

    /// Returns the number of workers in a graph.
    pub(crate) fn graph_len(&self, graph: GraphIndex) -> usize {
        self.graphs[graph.0].len()
    }

    /// Borrows the parts that a search on one graph needs.
    pub(crate) fn parts(&mut self, graph: GraphIndex) -> FleetParts<'_> {
        FleetParts {
            workers: &mut self.workers,
            graph: &mut self.graphs[graph.0],
            recently_used: &self.recently_used,
        }
    }

    /// Adds the graphs that new classes need.
    pub(crate) fn add_graphs(&mut self, classes: &[RequestClass]) {
        for kind in classes.iter().filter_map(|class| class.machine_kind) {
            if self.graphs.iter().any(|graph| graph.machine_kind == Some(kind)) {
                continue;
            }
            let all: Vec<WorkerIndex> = (0..self.workers.len() as u32).map(WorkerIndex).collect();
            let mut graph = WorkerGraph::new(Some(kind));
            graph.update_members(&self.workers, &all);
            self.graphs.push(graph);
        }
    }

    /// Updates the membership of workers whose state or machine kind changed, in one pass over each
    /// graph.
    pub(crate) fn update_graphs(&mut self, changed: &[WorkerIndex]) {
        if changed.is_empty() {
            return;
        }
        for graph in &mut self.graphs {
            graph.update_members(&self.workers, changed);
        }
    }

    /// Returns the worker of an endpoint entry; adds it if it is new.
    pub(crate) fn find_or_add(&mut self, endpoint: &Endpoint<'_>) -> WorkerIndex {
        if let Some(known) = self.find(endpoint.worker) {
            return known;
        }
        let id: Arc<str> = Arc::from(endpoint.worker);
        let added = WorkerIndex(self.workers.len() as u32);
        self.index.insert(id.clone(), added);
        self.workers.push(Worker::new(id, endpoint));
        added
    }

    /// Sets a worker's weight, zone and cell from its endpoint entry.
    pub(crate) fn set_attributes(&mut self, index: WorkerIndex, endpoint: &Endpoint<'_>) {
        let worker = &mut self.workers[index.as_usize()];
        if worker.is_ready() {
            self.weight_sum += endpoint.weight - worker.weight;
        }
        worker.weight = endpoint.weight;
        worker.zone = endpoint.zone;
        worker.cell = endpoint.cell;
    }

    /// Sets a worker's state and machine kind; returns whether either of them changed.
    pub(crate) fn set_state(&mut self, index: WorkerIndex, state: WorkerState, machine_kind: u32) -> bool {
        let worker = &mut self.workers[index.as_usize()];
        let counted_weight =
            |state: WorkerState| f64::from(u8::from(state == WorkerState::Ready)) * worker.weight;
        self.weight_sum += counted_weight(state) - counted_weight(worker.state);
        let is_changed = worker.state != state || worker.machine_kind != machine_kind;
        worker.state = state;
        worker.machine_kind = machine_kind;
        is_changed
    }

    /// Returns the sum of the ready workers' weights divided by `count`.
    pub(crate) fn mean_weight(&self, count: usize) -> f64 {
        self.weight_sum / count as f64
    }

    /// Returns the mean age that load reports reach, in nanoseconds.
    pub(crate) fn report_age(&self) -> f64 {
        self.report_age
    }

    /// Records a worker's load report, if there is one.
    pub(crate) fn record_report(&mut self, worker: WorkerIndex, now: Nanos, report: Option<LoadReport>) {
        let Some(report) = report else { return };
        if let Some(repeated_for) = self.worker_mut(worker).reported.record(now, report) {
            self.report_age += REPORT_AGE_GAIN * (repeated_for - self.report_age);
        }
    }

    /// Adds to the slots that this dispatcher's attempts occupy at a worker; a negative number
    /// frees slots.
    pub(crate) fn add_own_slots(&mut self, worker: WorkerIndex, now: Nanos, slots: f64) {
        let report_age = self.report_age;
        self.worker_mut(worker).own_load.add_slots(now, slots, report_age);
    }

    /// Records that an attempt at a worker ended and left its connection open.
    pub(crate) fn release_connection(&mut self, worker: WorkerIndex, now: Nanos) {
        self.worker_mut(worker).connections.release(now);
        self.recently_used.retain(|used| *used != worker);
        self.recently_used.push(worker);
        if self.recently_used.len() > MAX_RECENTLY_USED {
            self.recently_used.remove(0);
        }
    }

    /// Returns whether a worker is among those whose attempts ended most recently.
    pub(crate) fn is_recently_used(&self, worker: WorkerIndex) -> bool {
        self.recently_used.contains(&worker)
    }

    /// Ejects a worker for at least `duration` nanoseconds.
    pub(crate) fn eject(&mut self, worker: WorkerIndex, now: Nanos, duration: Nanos) {
        let health = &mut self.worker_mut(worker).health;
        health.ejected_until = health.ejected_until.max(now + duration);
        self.ejected_count = self.ready_workers().filter(|worker| worker.health.is_ejected(now)).count();
    }

    /// Returns whether more than half of the ready workers are ejected, by the count at the last
    /// ejection. Ejection is then ignored, since it no longer distinguishes failing workers from
    /// healthy ones.
    pub(crate) fn is_in_panic_mode(&self) -> bool {
        self.ejected_count * 2 > self.main_graph().len()
    }
}
