//! Candidates for a placement: the positions of random walks on an expander graph of the workers
//! that match a selector.
use crate::ids::WorkerIndex;
use crate::workers::{ListingState, Worker};
use compact_str::CompactString;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use spanlead_expander_walk::{Expander, VertexIndex, uniform_below};

/// The number of walkers on a graph, and so of candidates for a placement: the `d` of "power of d
/// choices".
const WALKERS: usize = 4;
/// The largest number of extra steps that a walker takes to get past ineligible workers.
const MAX_EXTRA_STEPS: usize = 4;

/// A selector that matches the workers of a service that have all of the labels.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct WorkerSelector {
    pub(super) service: CompactString,
    pub(super) labels: Vec<String>,
}

impl WorkerSelector {
    fn matches(&self, worker: &Worker) -> bool {
        worker.listing() == ListingState::Ready
            && *worker.service() == self.service
            && worker.has_labels(&self.labels)
    }
}

/// The graphs, each with its walkers, of all selectors used so far.
#[derive(Debug, Default)]
pub(super) struct CandidateGraphs {
    graphs: FxHashMap<WorkerSelector, Expander>,
}

impl CandidateGraphs {
    /// Adds the changed workers to the graphs whose selectors match them, and removes them from all
    /// others.
    pub(super) fn update(&mut self, workers: &[Worker], changed: &[WorkerIndex]) {
        let changed: Vec<VertexIndex> = changed.iter().map(|index| VertexIndex(index.0)).collect();
        for (selector, graph) in &mut self.graphs {
            graph.update(workers, &changed, |worker| selector.matches(worker));
        }
    }

    /// The graph of a selector, built on first use.
    pub(super) fn graph(&mut self, workers: &[Worker], selector: WorkerSelector) -> &mut Expander {
        self.graphs.entry(selector).or_insert_with_key(|selector| {
            let mut graph = Expander::default();
            let all: Vec<VertexIndex> = (0..workers.len() as u32).map(VertexIndex).collect();
            graph.update(workers, &all, |worker| selector.matches(worker));
            graph
        })
    }
}

/// Draws candidates: the eligible workers at the walkers' positions, after each walker has moved
/// past ineligible ones. If there is none, the only candidate is the first eligible worker in the
/// graph's order from a random position on. Afterwards all walkers take a step.
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
