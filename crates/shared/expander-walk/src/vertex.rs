//! The vertices of the graph, which are servers, and their positions in its cycles.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of Hamiltonian cycles whose union is the graph. Its degree is twice this number.
pub const CYCLE_COUNT: usize = 3;

/// A server's position in each cycle: a hash of its identifier, with the number of the cycle as
/// the seed.
pub type CyclePositions = [u64; CYCLE_COUNT];

/// A server's index in the slice of vertices that the caller keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VertexIndex(pub u32);

impl VertexIndex {
    /// Converts the index for use with slices.
    #[must_use]
    pub fn as_usize(self) -> usize {
        self.0 as usize
    }
}

/// A server of the graph.
pub trait Vertex {
    /// Returns the server's position in each cycle, as computed by [`cycle_positions`].
    fn cycle_positions(&self) -> &CyclePositions;
}

/// Returns the position of an identifier in one cycle.
///
/// `cycle` may be [`CYCLE_COUNT`] or more: the result is then a hash that is independent of the
/// positions in the cycles of the graph.
#[must_use]
pub fn cycle_position(identifier: &[u8], cycle: usize) -> u64 {
    xxh3_64_with_seed(identifier, cycle as u64)
}

/// Returns the positions of a server in all cycles, computed from its identifier.
#[must_use]
pub fn cycle_positions(identifier: &[u8]) -> CyclePositions {
    std::array::from_fn(|cycle| cycle_position(identifier, cycle))
}
