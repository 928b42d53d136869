//! The walkers on the graphs of workers: one graph for each kind that tasks have asked for.
use crate::worker::{Standing, Worker};
use compact_str::CompactString;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use spanlead_expander_walk::{Expander, VertexIndex, uniform_below};

/// Walkers of a graph: the `d` of the scheme.
const WALKERS: usize = 4;
/// Steps that a walker goes on when it stands on a worker that can't take the task.
const STEPS_ON: usize = 4;

/// Workers of a service, or those of them that have certain labels.
pub(crate) type Kind = (CompactString, Vec<String>);

/// A graph with its walkers for each kind that tasks have asked for.
#[derive(Debug, Default)]
pub(crate) struct Graphs {
    graphs: FxHashMap<Kind, Expander>,
}

impl Graphs {
    /// Takes the workers at `moved` in or out of all graphs.
    pub fn settle(&mut self, workers: &[Worker], moved: &[u32]) {
        let changed: Vec<VertexIndex> = moved.iter().map(|index| VertexIndex(*index)).collect();
        for (kind, graph) in &mut self.graphs {
            graph.update(workers, &changed, |worker| belongs(worker, kind));
        }
    }

    /// The graph of a kind, made when it is first asked for.
    pub fn of(&mut self, workers: &[Worker], kind: &Kind) -> &mut Expander {
        if !self.graphs.contains_key(kind) {
            let mut graph = Expander::default();
            let all: Vec<VertexIndex> = (0..workers.len() as u32).map(VertexIndex).collect();
            graph.update(workers, &all, |worker| belongs(worker, kind));
            self.graphs.insert(kind.clone(), graph);
        }
        self.graphs.get_mut(kind).expect("was just made")
    }
}

fn belongs(worker: &Worker, (service, labels): &Kind) -> bool {
    worker.standing == Standing::Ready && worker.service == *service && worker.has_labels(labels)
}

/// Positions of the walkers, each stepped on past ineligible workers; then every walker steps.
pub(crate) fn draw(
    graph: &mut Expander,
    workers: &[Worker],
    rng: &mut Pcg64Mcg,
    eligible: &dyn Fn(u32) -> bool,
) -> Vec<u32> {
    let mut drawn = Vec::with_capacity(WALKERS);
    if graph.is_empty() {
        return drawn;
    }
    graph.start_walkers(WALKERS, rng);
    let mut walkers = std::mem::take(&mut graph.walkers);
    for walker in &mut walkers {
        for _ in 0..=STEPS_ON {
            if eligible(walker.current.0) {
                if !drawn.contains(&walker.current.0) {
                    drawn.push(walker.current.0);
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
    if drawn.is_empty() {
        let start = uniform_below(rng, graph.len());
        drawn.extend(graph.iter_from(start).map(|worker| worker.0).find(|worker| eligible(*worker)));
    }
    drawn
}
