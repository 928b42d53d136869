//! Servers as the graph sees them.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hamiltonian cycles whose union is the graph: its degree is twice this number.
pub const CYCLE_COUNT: usize = 3;

/// A server's position in each cycle: a hash of its identifier, seeded with the number of the
/// cycle.
pub type CyclePositions = [u64; CYCLE_COUNT];

/// A server's index in the slice of vertices that the caller keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VertexIndex(pub u32);

impl VertexIndex {
    /// The index as slices take it.
    #[must_use]
    pub fn as_usize(self) -> usize {
        self.0 as usize
    }
}

/// A server of the graph.
pub trait Vertex {
    /// Its position in each cycle, see [`cycle_positions`].
    fn cycle_positions(&self) -> &CyclePositions;
}

/// The position of an identifier in one cycle.
///
/// `cycle` may be [`CYCLE_COUNT`] or more: such a hash is independent of the positions in the
/// graph's own cycles.
#[must_use]
pub fn cycle_position(identifier: &[u8], cycle: usize) -> u64 {
    xxh3_64_with_seed(identifier, cycle as u64)
}

/// The positions of a server in all cycles, from its identifier.
#[must_use]
pub fn cycle_positions(identifier: &[u8]) -> CyclePositions {
    std::array::from_fn(|cycle| cycle_position(identifier, cycle))
}
