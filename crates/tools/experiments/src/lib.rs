//! A laboratory for the scheduler: the fleet modelled in virtual time with the real reducer and
//! module in it, experiments read
//! from files, played in parallel, compared and reported with plots; and the same load on real
//! sockets.
//!
//! The same seed gives the same bytes on any number of cores: a run is one thread, its random
//! numbers come in streams, one a
//! concern, and nothing in it asks a clock.
pub mod compare;
mod outcome;
pub mod relay;
pub mod report;
mod rival;
pub mod run;
pub mod sockets;
pub mod spec;
pub mod streams;
mod worker;
mod world;

pub use outcome::{Outcome, ROWS, Recovery, Series};
pub use world::World;

/// Nanoseconds of virtual time.
pub type Nanos = u64;

/// Plays on so many threads from now on.
///
/// # Errors
/// If runs were played already.
pub fn threads(count: usize) -> Result<(), rayon::ThreadPoolBuildError> {
    rayon::ThreadPoolBuilder::new().num_threads(count).build_global()
}
