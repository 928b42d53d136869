//! All workers, their graphs, and the order in which they last ended an attempt.

use super::worker::Worker;
use super::worker_graph::{WorkerGraph, WorkerIndex};
use crate::api::{Endpoint, LoadReport, MILLISECOND, Nanos, RequestClass, WorkerState};
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// How long a send counts against a report that may not show it yet, until the reports' age is
/// known.
const INITIAL_REPORT_AGE: Nanos = 500 * MILLISECOND;

/// The weight of a new sample in the mean age of reports.
const REPORT_AGE_GAIN: f64 = 0.05;

/// How many of the workers that last ended an attempt are remembered.
const MAX_RECENTLY_USED: usize = 16;

/// All workers that the endpoint list has ever named.
///
/// Invariants: workers are never removed, so a [`WorkerIndex`] stays valid; `index` names each of
/// them; the first graph is that of all machine kinds; each graph holds the ready workers of its
/// kind.
pub(crate) struct Fleet {
    workers: Vec<Worker>,
    index: FxHashMap<Arc<str>, WorkerIndex>,
    graphs: Vec<WorkerGraph>,
    /// Workers whose attempts ended last, latest at the end.
    recently_used: Vec<WorkerIndex>,
    /// The sum of the ready workers' weights.
    weight_sum: f64,
    /// How old load reports get, in nanoseconds.
    report_age: f64,
    /// Ready workers that were ejected when one last was.
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
    /// A fleet without workers, with a graph for each machine kind that the classes need.
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

    /// The index of a worker that the endpoint list has named.
    pub(crate) fn find(&self, worker: &str) -> Option<WorkerIndex> {
        self.index.get(worker).copied()
    }

    /// A worker by its index.
    pub(crate) fn worker(&self, worker: WorkerIndex) -> &Worker {
        &self.workers[worker.as_usize()]
    }

    /// A worker by its index, to be changed.
    pub(crate) fn worker_mut(&mut self, worker: WorkerIndex) -> &mut Worker {
        &mut self.workers[worker.as_usize()]
    }

    /// All workers, the vertices of the graphs.
    pub(crate) fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// The workers that take work, in the order in which they were first named.
    pub(crate) fn ready_workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter().filter(|worker| worker.is_ready())
    }

    /// The graph of all machine kinds.
    pub(crate) fn main_graph(&self) -> &WorkerGraph {
        &self.graphs[0]
    }

    /// The graph for a class's machine kind.
    pub(crate) fn graph_for(&self, machine_kind: Option<u32>) -> GraphIndex {
        let position = self.graphs.iter().position(|graph| graph.machine_kind == machine_kind);
        GraphIndex(position.unwrap_or(0))
    }

    /// How many workers a graph holds.
    pub(crate) fn graph_len(&self, graph: GraphIndex) -> usize {
        self.graphs[graph.0].len()
    }

    /// What a search on one graph borrows.
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

    /// Takes workers whose state or kind changed into or out of the graphs, all in one pass.
    pub(crate) fn update_graphs(&mut self, changed: &[WorkerIndex]) {
        if changed.is_empty() {
            return;
        }
        for graph in &mut self.graphs {
            graph.update_members(&self.workers, changed);
        }
    }

    /// The worker of an entry, added if it is new.
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

    /// Takes a worker's weight and place from its entry.
    pub(crate) fn set_attributes(&mut self, index: WorkerIndex, endpoint: &Endpoint<'_>) {
        let worker = &mut self.workers[index.as_usize()];
        if worker.is_ready() {
            self.weight_sum += endpoint.weight - worker.weight;
        }
        worker.weight = endpoint.weight;
        worker.zone = endpoint.zone;
        worker.cell = endpoint.cell;
    }

    /// Sets a worker's state and machine kind; returns whether one of them changed.
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

    /// The mean weight of the ready workers if there are `count` of them.
    pub(crate) fn mean_weight(&self, count: usize) -> f64 {
        self.weight_sum / count as f64
    }

    /// How old load reports get, in nanoseconds.
    pub(crate) fn report_age(&self) -> f64 {
        self.report_age
    }

    /// Takes a worker's load report, if there is one.
    pub(crate) fn record_report(&mut self, worker: WorkerIndex, now: Nanos, report: Option<LoadReport>) {
        let Some(report) = report else { return };
        if let Some(repeated_for) = self.worker_mut(worker).reported.record(now, report) {
            self.report_age += REPORT_AGE_GAIN * (repeated_for - self.report_age);
        }
    }

    /// Counts own slots at a worker as taken, or as free again if they are negative.
    pub(crate) fn add_own_slots(&mut self, worker: WorkerIndex, now: Nanos, slots: f64) {
        let report_age = self.report_age;
        self.worker_mut(worker).own_load.add_slots(now, slots, report_age);
    }

    /// An attempt at a worker ended and left its connection open.
    pub(crate) fn release_connection(&mut self, worker: WorkerIndex, now: Nanos) {
        self.worker_mut(worker).connections.release(now);
        self.recently_used.retain(|used| *used != worker);
        self.recently_used.push(worker);
        if self.recently_used.len() > MAX_RECENTLY_USED {
            self.recently_used.remove(0);
        }
    }

    /// Whether a worker is among those that last ended an attempt.
    pub(crate) fn is_recently_used(&self, worker: WorkerIndex) -> bool {
        self.recently_used.contains(&worker)
    }

    /// Ejects a worker for a time.
    pub(crate) fn eject(&mut self, worker: WorkerIndex, now: Nanos, duration: Nanos) {
        let health = &mut self.worker_mut(worker).health;
        health.ejected_until = health.ejected_until.max(now + duration);
        self.ejected_count = self.ready_workers().filter(|worker| worker.health.is_ejected(now)).count();
    }

    /// Whether so many workers are ejected that ejection says nothing any more.
    pub(crate) fn is_panicking(&self) -> bool {
        self.ejected_count * 2 > self.main_graph().len()
    }
}
