//! The graph and the walkers that move on it.

use crate::random::uniform_below;
use crate::vertex::{CYCLE_COUNT, Vertex, VertexIndex};
use crate::walker::Walker;
use rand_pcg::Pcg64Mcg;

/// The edges of a server: one to its successor and one to its predecessor in each cycle.
const DEGREE: usize = 2 * CYCLE_COUNT;

/// A server's entry in a cycle. The derived order, by position and then by index, is the order of
/// the cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CycleEntry {
    position: u64,
    vertex: VertexIndex,
}

/// The graph and the walkers that move on it.
///
/// The graph keeps only the order of its servers; the servers themselves stay with the caller, who
/// passes the same slice of vertices to each call. All cycles hold the same servers, each of them
/// once.
#[derive(Clone, Debug, Default)]
pub struct Expander {
    /// The servers in the order of each cycle.
    cycles: [Vec<CycleEntry>; CYCLE_COUNT],
    /// The walks. They may be on servers that have left the graph meanwhile.
    pub walkers: Vec<Walker>,
}

impl Expander {
    /// The number of edges that each server has.
    pub const DEGREE: usize = DEGREE;

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

    /// Adds the `changed` servers that `belongs` accepts and removes the others of them.
    ///
    /// All changes are made in one pass: one by one, a large list would cost the square of its
    /// length.
    pub fn update<V: Vertex>(
        &mut self,
        vertices: &[V],
        changed: &[VertexIndex],
        belongs: impl Fn(&V) -> bool,
    ) {
        let mut is_changed = vec![false; vertices.len()];
        for vertex in changed {
            is_changed[vertex.as_usize()] = true;
        }
        let joining: Vec<VertexIndex> =
            changed.iter().copied().filter(|vertex| belongs(&vertices[vertex.as_usize()])).collect();
        for (cycle_number, cycle) in self.cycles.iter_mut().enumerate() {
            cycle.retain(|entry| !is_changed[entry.vertex.as_usize()]);
            cycle.extend(joining.iter().map(|&vertex| {
                let position = vertices[vertex.as_usize()].cycle_positions()[cycle_number];
                CycleEntry { position, vertex }
            }));
            cycle.sort_unstable();
            cycle.dedup();
        }
    }

    /// Whether the graph holds a server.
    pub fn contains<V: Vertex>(&self, vertices: &[V], vertex: VertexIndex) -> bool {
        let position = vertices[vertex.as_usize()].cycle_positions()[0];
        self.cycles[0].binary_search(&CycleEntry { position, vertex }).is_ok()
    }

    /// The server across an edge, numbered below [`Expander::DEGREE`].
    ///
    /// For a server that has left the graph these are its former neighbours, so walkers keep their
    /// position. The graph must not be empty.
    pub fn neighbour<V: Vertex>(&self, vertices: &[V], vertex: VertexIndex, edge: usize) -> VertexIndex {
        let cycle_number = edge / 2;
        let cycle = &self.cycles[cycle_number];
        let length = cycle.len();
        let position = vertices[vertex.as_usize()].cycle_positions()[cycle_number];
        let (successor, predecessor) = match cycle.binary_search(&CycleEntry { position, vertex }) {
            Ok(index) => (index + 1, index + length - 1),
            Err(index) => (index, index + length - 1),
        };
        let neighbour = if edge.is_multiple_of(2) { successor } else { predecessor };
        cycle[neighbour % length].vertex
    }

    /// One step to a uniformly chosen neighbour, never back along the edge by which the walker
    /// came, except in a graph of two servers.
    pub fn step<V: Vertex>(&self, vertices: &[V], walker: Walker, rng: &mut Pcg64Mcg) -> Walker {
        let mut options = [walker.current; DEGREE];
        let mut option_count = 0;
        for edge in 0..DEGREE {
            let neighbour = self.neighbour(vertices, walker.current, edge);
            if Some(neighbour) != walker.previous && neighbour != walker.current {
                options[option_count] = neighbour;
                option_count += 1;
            }
        }
        if option_count == 0 {
            return walker.moved_to(self.neighbour(vertices, walker.current, 0));
        }
        walker.moved_to(options[uniform_below(rng, option_count)])
    }

    /// Starts walkers on uniformly chosen servers until there are `count`.
    pub fn start_walkers(&mut self, count: usize, rng: &mut Pcg64Mcg) {
        let length = self.len();
        while length > 0 && self.walkers.len() < count {
            let start = self.cycles[0][uniform_below(rng, length)].vertex;
            self.walkers.push(Walker::new(start));
        }
    }

    /// The first server at or after a position of the first cycle; `None` if the graph is empty.
    #[must_use]
    pub fn first_at_or_after(&self, position: u64) -> Option<VertexIndex> {
        let cycle = &self.cycles[0];
        let index = cycle.partition_point(|entry| entry.position < position);
        cycle.get(index).or(cycle.first()).map(|entry| entry.vertex)
    }

    /// The `index`-th server in the order of the first cycle, counted on from its start after its
    /// end.
    ///
    /// The graph must not be empty.
    #[must_use]
    pub fn nth_wrapping(&self, index: usize) -> VertexIndex {
        let cycle = &self.cycles[0];
        cycle[index % cycle.len()].vertex
    }

    /// All servers once, in the order of the first cycle, starting with the `start`-th of them.
    pub fn iter_from(&self, start: usize) -> impl Iterator<Item = VertexIndex> + '_ {
        (start..start + self.len()).map(|index| self.nth_wrapping(index))
    }
}
