//! Candidates for a placement: the positions of random walks on the expander graph of the workers
//! of a kind.
use crate::ids::WorkerIndex;
use crate::workers::{ListingState, Worker};
use compact_str::CompactString;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use spanlead_expander_walk::{Expander, VertexIndex, uniform_below};

/// Walkers of a graph, and so candidates for a placement: the `d` of "power of d choices".
const WALKERS: usize = 4;
/// Steps that a walker goes on from a worker that is not eligible.
const MAX_EXTRA_STEPS: usize = 4;

/// The workers of a service that have certain labels.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct WorkerKind {
    pub(super) service: CompactString,
    pub(super) labels: Vec<String>,
}

impl WorkerKind {
    fn contains(&self, worker: &Worker) -> bool {
        worker.listing() == ListingState::Ready
            && *worker.service() == self.service
            && worker.has_labels(&self.labels)
    }
}

/// A graph with its walkers for each kind that was ever asked for.
#[derive(Debug, Default)]
pub(super) struct CandidateGraphs {
    graphs: FxHashMap<WorkerKind, Expander>,
}

impl CandidateGraphs {
    /// Adds the changed workers to all graphs that they belong to, and removes them from all
    /// others.
    pub(super) fn update(&mut self, workers: &[Worker], changed: &[WorkerIndex]) {
        let changed: Vec<VertexIndex> = changed.iter().map(|index| VertexIndex(index.0)).collect();
        for (kind, graph) in &mut self.graphs {
            graph.update(workers, &changed, |worker| kind.contains(worker));
        }
    }

    /// The graph of a kind, made when it is first asked for.
    pub(super) fn graph(&mut self, workers: &[Worker], kind: WorkerKind) -> &mut Expander {
        self.graphs.entry(kind).or_insert_with_key(|kind| {
            let mut graph = Expander::default();
            let all: Vec<VertexIndex> = (0..workers.len() as u32).map(VertexIndex).collect();
            graph.update(workers, &all, |worker| kind.contains(worker));
            graph
        })
    }
}

/// The eligible workers at the walkers' positions, each walker having gone on past ineligible ones.
/// If there is none, the first eligible worker from a random position of the graph on. All walkers
/// take a step after it.
pub(super) fn draw_candidates(
    graph: &mut Expander,
    workers: &[Worker],
    rng: &mut Pcg64Mcg,
    is_eligible: &dyn Fn(WorkerIndex) -> bool,
) -> Vec<WorkerIndex> {
    let mut candidates = Vec::with_capacity(WALKERS);
    if graph.is_empty() {
        return candidates;
    }
    graph.start_walkers(WALKERS, rng);
    let mut walkers = std::mem::take(&mut graph.walkers);
    for walker in &mut walkers {
        for _ in 0..=MAX_EXTRA_STEPS {
            let position = WorkerIndex(walker.current.0);
            if is_eligible(position) {
                if !candidates.contains(&position) {
                    candidates.push(position);
                }
                break;
            }
            *walker = graph.step(workers, *walker, rng);
        }
    }
    for walker in &mut walkers {
        *walker = graph.step(workers, *walker, rng);
    }
    graph.walkers = walkers;
    if candidates.is_empty() {
        let start = uniform_below(rng, graph.len());
        let mut from_start = graph.iter_from(start).map(|vertex| WorkerIndex(vertex.0));
        candidates.extend(from_start.find(|position| is_eligible(*position)));
    }
    candidates
}
