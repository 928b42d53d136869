//! Workers as service discovery describes them.

use super::time::Nanos;
use std::sync::Arc;

/// A worker's id, the same at all dispatchers. It is never parsed, only hashed and compared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub Arc<str>);

/// The state of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// It runs and takes work.
    Ready,
    /// It finishes its work and must get nothing new.
    Draining,
    /// It is removed from the list.
    Removed,
}

/// A worker's entry in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint<'a> {
    /// Its id.
    pub worker: &'a str,
    /// Its state.
    pub state: WorkerState,
    /// When it last started; `None` means long ago.
    pub started_at: Option<Nanos>,
    /// Its machine kind.
    pub machine_kind: u32,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Its capacity relative to other workers.
    pub weight: f64,
}

impl<'a> Endpoint<'a> {
    /// An entry in zone, cell and machine kind 0 that started long ago.
    pub fn new(worker: &'a str, state: WorkerState) -> Self {
        Endpoint { worker, state, started_at: None, machine_kind: 0, zone: 0, cell: 0, weight: 1.0 }
    }
}

/// What an [`Event::EndpointsChanged`](crate::Event::EndpointsChanged) covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The entries that changed.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as last seen, possibly stale.
    CachedSnapshot,
    /// A request for the list failed or the subscription dropped; the old list stays valid.
    Unavailable,
}
