//! Non-backtracking random walks on a regular graph of servers, for choosing among them.
//!
//! The graph is a union of [`CYCLE_COUNT`] Hamiltonian cycles. Each cycle orders the servers by a
//! seeded hash of their identifiers, so every process that knows the same servers holds the same
//! graph, and a server that joins or leaves changes only the edges of its own neighbours. Such a
//! union is an expander with high probability: after few steps, a walk is at each server with
//! nearly equal probability.
//!
//! The scheme is NBRW-PoD ("power of d choices" among the positions of non-backtracking random
//! walks) of "Derandomized Load Balancing using Random Walks on Expander Graphs". Instead of
//! drawing `d` servers at random for each job, `d` walkers move over the graph, one step for each
//! job, and the job goes to the best of the servers at their positions.
//!
//! The crate performs no I/O and reads no clock. All random choices come from the generator that
//! the caller passes.
#![warn(missing_docs, unreachable_pub, clippy::wildcard_imports, clippy::match_bool, clippy::too_many_lines)]

mod expander;
mod random;
mod vertex;
mod walker;

pub use expander::Expander;
pub use random::{uniform_below, uniform_unit};
pub use vertex::{CYCLE_COUNT, CyclePositions, Vertex, VertexIndex, cycle_position, cycle_positions};
pub use walker::Walker;
