//! The expander graph and the walkers on it.

use crate::random::uniform_below;
use crate::vertex::{CYCLE_COUNT, Vertex, VertexIndex};
use crate::walker::Walker;
use rand_pcg::Pcg64Mcg;

/// The number of edges of each server: one to its successor and one to its predecessor in each
/// cycle.
const DEGREE: usize = 2 * CYCLE_COUNT;

/// A server's entry in a cycle. The derived order, by position and then by index, is the order of
/// the cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CycleEntry {
    position: u64,
    vertex: VertexIndex,
}

/// An expander graph of servers, with the walkers on it.
///
/// The graph stores only the order of its servers. The caller owns the servers and passes the same
/// slice of vertices to each call. Every cycle contains the same servers, each of them once.
#[derive(Clone, Debug, Default)]
pub struct Expander {
    /// The servers in the order of each cycle.
    cycles: [Vec<CycleEntry>; CYCLE_COUNT],
    /// The walkers. A walker may be at a server that has since left the graph.
    pub walkers: Vec<Walker>,
}

impl Expander {
    /// The number of edges of each server, two for each cycle.
    pub const DEGREE: usize = DEGREE;

    /// Returns the number of servers in the graph.
    #[must_use]
    pub fn len(&self) -> usize {
        self.cycles[0].len()
    }

    /// Whether the graph contains no servers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cycles[0].is_empty()
    }

    /// Adds those of the `changed` servers for which `is_member` holds, and removes the others of
    /// them. Other servers stay as they are.
    ///
    /// All changes are made in one pass: made one by one, the changes of a long list would take
    /// quadratic time.
    pub fn update<V: Vertex>(
        &mut self,
        vertices: &[V],
        changed: &[VertexIndex],
        is_member: impl Fn(&V) -> bool,
    ) {
        let mut is_changed = vec![false; vertices.len()];
        for vertex in changed {
            is_changed[vertex.as_usize()] = true;
        }
        let members: Vec<VertexIndex> =
            changed.iter().copied().filter(|vertex| is_member(&vertices[vertex.as_usize()])).collect();
        for (cycle_number, cycle) in self.cycles.iter_mut().enumerate() {
            cycle.retain(|entry| !is_changed[entry.vertex.as_usize()]);
            cycle.extend(members.iter().map(|&vertex| {
                let position = vertices[vertex.as_usize()].cycle_positions()[cycle_number];
                CycleEntry { position, vertex }
            }));
            cycle.sort_unstable();
            cycle.dedup();
        }
    }

    /// Whether the graph contains a server.
    pub fn contains<V: Vertex>(&self, vertices: &[V], vertex: VertexIndex) -> bool {
        let position = vertices[vertex.as_usize()].cycle_positions()[0];
        self.cycles[0].binary_search(&CycleEntry { position, vertex }).is_ok()
    }

    /// Returns the server at the other end of an edge of `vertex`. Edges are numbered from 0 to
    /// [`Expander::DEGREE`] - 1.
    ///
    /// A server that has left the graph still has the neighbours next to its former positions, so
    /// that a walker at it can continue from there. The graph must not be empty.
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

    /// Returns a walker after one step. The edge is chosen uniformly among those that do not lead
    /// back to the server from which the walker came. If there is none, as in a graph of two
    /// servers, the walker goes back.
    pub fn step<V: Vertex>(&self, vertices: &[V], walker: Walker, rng: &mut Pcg64Mcg) -> Walker {
        let mut candidates = [walker.current; DEGREE];
        let mut candidate_count = 0;
        for edge in 0..DEGREE {
            let neighbour = self.neighbour(vertices, walker.current, edge);
            if Some(neighbour) != walker.previous && neighbour != walker.current {
                candidates[candidate_count] = neighbour;
                candidate_count += 1;
            }
        }
        if candidate_count == 0 {
            return walker.moved_to(self.neighbour(vertices, walker.current, 0));
        }
        walker.moved_to(candidates[uniform_below(rng, candidate_count)])
    }

    /// Adds walkers at uniformly chosen servers until there are `count`. An empty graph gets none.
    pub fn start_walkers(&mut self, count: usize, rng: &mut Pcg64Mcg) {
        let length = self.len();
        while length > 0 && self.walkers.len() < count {
            let start = self.cycles[0][uniform_below(rng, length)].vertex;
            self.walkers.push(Walker::new(start));
        }
    }

    /// Returns the first server at or after a position in the first cycle, which wraps around at
    /// its end. Returns `None` if the graph is empty.
    #[must_use]
    pub fn first_at_or_after(&self, position: u64) -> Option<VertexIndex> {
        let cycle = &self.cycles[0];
        let index = cycle.partition_point(|entry| entry.position < position);
        cycle.get(index).or(cycle.first()).map(|entry| entry.vertex)
    }

    /// Returns the server at `index`, counted from 0, in the order of the first cycle, which wraps
    /// around at its end.
    ///
    /// The graph must not be empty.
    #[must_use]
    pub fn nth_wrapping(&self, index: usize) -> VertexIndex {
        let cycle = &self.cycles[0];
        cycle[index % cycle.len()].vertex
    }

    /// Iterates over all servers once, in the order of the first cycle, beginning with the one at
    /// `start`.
    pub fn iter_from(&self, start: usize) -> impl Iterator<Item = VertexIndex> + '_ {
        (start..start + self.len()).map(|index| self.nth_wrapping(index))
    }
}
