//! Where tasks go: which workers are eligible, which of them are candidates, and which is chosen.
mod candidates;
mod capacity_bounds;
mod gang;
mod misses;
mod placer;
mod request;

pub(crate) use misses::PlacementMisses;
pub(crate) use placer::{Placement, Placer};
pub(crate) use request::PlacementRequest;
