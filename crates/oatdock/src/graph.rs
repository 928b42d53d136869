//! The shared expander that walkers move over. It holds who is next to whom and steps at random; where a job goes is decided in
//! `choice.rs`.
use crate::api::WorkerState;
use crate::worker::Worker;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

/// Hamiltonian cycles whose union is the graph: degree k = 2 * CYCLES.
pub(crate) const CYCLES: usize = 3;

/// A union of cycles over the ready workers of a kind. Every cycle orders them by a fixed hash of its own,
/// so all dispatchers hold the same graph, and a join or leave touches only the worker's 2 * CYCLES
/// neighbours.
pub(crate) struct Graph {
    pub kind: Option<u32>,
    pub cycles: [Vec<(u64, u32)>; CYCLES],
    pub walkers: Vec<Walker>,
}

#[derive(Clone, Copy)]
pub(crate) struct Walker {
    pub at: u32,
    pub from: u32,
}

impl Graph {
    pub fn new(kind: Option<u32>) -> Self {
        Graph { kind, cycles: std::array::from_fn(|_| Vec::new()), walkers: Vec::new() }
    }

    pub fn len(&self) -> usize {
        self.cycles[0].len()
    }

    /// Takes the workers at `moved` in or out in one pass: one by one, a large list would cost its square.
    pub fn settle(&mut self, workers: &[Worker], moved: &[u32]) {
        let (mut out, kind) = (vec![false; workers.len()], self.kind);
        moved.iter().for_each(|i| out[*i as usize] = true);
        let ready = |w: &Worker| w.state == WorkerState::Ready && kind.is_none_or(|k| k == w.kind);
        for (c, cycle) in self.cycles.iter_mut().enumerate() {
            cycle.retain(|(_, i)| !out[*i as usize]);
            let joined = moved.iter().map(|i| (&workers[*i as usize], *i)).filter(|(w, _)| ready(w));
            cycle.extend(joined.map(|(w, i)| (w.hash[c], i)));
            cycle.sort();
            cycle.dedup();
        }
    }

    pub fn holds(&self, workers: &[Worker], w: u32) -> bool {
        self.cycles[0].binary_search(&(workers[w as usize].hash[0], w)).is_ok()
    }

    /// The worker across edge `edge`; for a worker that left, its former neighbour, so walkers keep their
    /// place.
    pub fn neighbour(&self, workers: &[Worker], at: u32, edge: usize) -> u32 {
        let (c, n) = (edge / 2, self.len());
        let cycle = &self.cycles[c];
        let (next, prev) = match cycle.binary_search(&(workers[at as usize].hash[c], at)) {
            Ok(p) => (p + 1, p + n - 1),
            Err(p) => (p, p + n - 1),
        };
        cycle[if edge.is_multiple_of(2) { next } else { prev } % n].1
    }

    /// One step to a uniform neighbour, never back along the edge the walker came by (a graph of two aside).
    pub fn step(&self, workers: &[Worker], walker: Walker, rng: &mut Pcg64Mcg) -> Walker {
        let mut options = [0u32; 2 * CYCLES];
        let mut n = 0;
        for edge in 0..2 * CYCLES {
            let to = self.neighbour(workers, walker.at, edge);
            if to != walker.from && to != walker.at {
                options[n] = to;
                n += 1;
            }
        }
        if n == 0 {
            return Walker { at: self.neighbour(workers, walker.at, 0), from: walker.at };
        }
        Walker { at: options[below(rng, n)], from: walker.at }
    }
}

pub(crate) fn below(rng: &mut Pcg64Mcg, n: usize) -> usize {
    ((u64::from(rng.next_u32()) * n as u64) >> 32) as usize
}

pub(crate) fn unit(rng: &mut Pcg64Mcg) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}
