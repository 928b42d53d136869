//! Placement of tasks: which workers are eligible, which of those are candidates, and which
//! candidate is chosen.
mod candidates;
mod capacity_bounds;
mod gang;
mod misses;
mod placer;
mod request;

pub(crate) use misses::PlacementMisses;
pub(crate) use placer::{Placement, Placer};
pub(crate) use request::PlacementRequest;
