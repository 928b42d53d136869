//! Non-backtracking random walks on a regular graph of servers.
//!
//! The graph is a union of Hamiltonian cycles. Each cycle orders the servers by a seeded hash of their identifiers, so
//! every process that knows the same servers holds the same graph, and a server that joins or leaves changes only its
//! own neighbours. The scheme is NBRW-Pod of "Derandomized Load Balancing using Random Walks on Expander Graphs".
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hamiltonian cycles whose union is the graph: its degree is twice this number.
pub const CYCLES: usize = 3;

/// A server's place in each cycle.
pub type Places = [u64; CYCLES];

/// The places of a server, from its identifier.
#[must_use]
pub fn places(identifier: &[u8]) -> Places {
    std::array::from_fn(|cycle| xxh3_64_with_seed(identifier, cycle as u64))
}

/// A server as the graph sees it. Servers are named by their index in a slice that the caller keeps.
pub trait Vertex {
    /// Its place in each cycle, see [`places`].
    fn places(&self) -> &Places;
}

/// One random walk: where it stands and where it came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Walker {
    /// The server that it stands on.
    pub at: u32,
    /// The server that it just left; `u32::MAX` at its start.
    pub from: u32,
}

/// The graph and the walkers that move on it.
#[derive(Clone, Debug, Default)]
pub struct Expander {
    /// The servers in the order of each cycle: place and index.
    pub cycles: [Vec<(u64, u32)>; CYCLES],
    /// The walks.
    pub walkers: Vec<Walker>,
}

impl Expander {
    /// How many servers the graph holds.
    #[must_use]
    pub fn len(&self) -> usize {
        self.cycles[0].len()
    }

    /// Whether it holds none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cycles[0].is_empty()
    }

    /// Takes the servers at `moved` in if `belongs` says so, else out, in one pass.
    pub fn settle<V: Vertex>(&mut self, vertices: &[V], moved: &[u32], belongs: impl Fn(&V) -> bool) {
        let mut out = vec![false; vertices.len()];
        moved.iter().for_each(|i| out[*i as usize] = true);
        for (c, cycle) in self.cycles.iter_mut().enumerate() {
            cycle.retain(|(_, i)| !out[*i as usize]);
            let joined = moved.iter().map(|i| (&vertices[*i as usize], *i)).filter(|(v, _)| belongs(v));
            cycle.extend(joined.map(|(v, i)| (v.places()[c], i)));
            cycle.sort_unstable();
            cycle.dedup();
        }
    }

    /// Whether the graph holds a server.
    pub fn holds<V: Vertex>(&self, vertices: &[V], at: u32) -> bool {
        self.cycles[0].binary_search(&(vertices[at as usize].places()[0], at)).is_ok()
    }

    /// The server across edge `edge`; for a server that left, its former neighbour, so walkers keep their place.
    pub fn neighbour<V: Vertex>(&self, vertices: &[V], at: u32, edge: usize) -> u32 {
        let (c, n) = (edge / 2, self.len());
        let cycle = &self.cycles[c];
        let (next, previous) = match cycle.binary_search(&(vertices[at as usize].places()[c], at)) {
            Ok(p) => (p + 1, p + n - 1),
            Err(p) => (p, p + n - 1),
        };
        cycle[if edge.is_multiple_of(2) { next } else { previous } % n].1
    }

    /// One step to a uniform neighbour, never back along the edge the walker came by (a graph of two aside).
    pub fn step<V: Vertex>(&self, vertices: &[V], walker: Walker, rng: &mut Pcg64Mcg) -> Walker {
        let mut options = [0u32; 2 * CYCLES];
        let mut n = 0;
        for edge in 0..2 * CYCLES {
            let to = self.neighbour(vertices, walker.at, edge);
            if to != walker.from && to != walker.at {
                options[n] = to;
                n += 1;
            }
        }
        if n == 0 {
            return Walker { at: self.neighbour(vertices, walker.at, 0), from: walker.at };
        }
        Walker { at: options[below(rng, n)], from: walker.at }
    }

    /// Starts walkers uniformly at random until there are `count`.
    pub fn start_walkers(&mut self, count: usize, rng: &mut Pcg64Mcg) {
        let n = self.len();
        while n > 0 && self.walkers.len() < count {
            let at = self.cycles[0][below(rng, n)].1;
            self.walkers.push(Walker { at, from: u32::MAX });
        }
    }
}

/// A uniform number below `n`.
pub fn below(rng: &mut Pcg64Mcg, n: usize) -> usize {
    ((u64::from(rng.next_u32()) * n as u64) >> 32) as usize
}

/// A uniform number from 0 to 1.
pub fn unit(rng: &mut Pcg64Mcg) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}
