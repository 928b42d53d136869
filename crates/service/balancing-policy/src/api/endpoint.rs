//! Workers and their entries in the endpoint list of service discovery.

use super::time::Nanos;
use std::sync::Arc;

/// A worker's id, the same at all dispatchers. It is opaque: only hashed and compared, never
/// parsed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub Arc<str>);

/// The state of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Running and accepting requests.
    Ready,
    /// Finishing its requests; it must not get new ones.
    Draining,
    /// Removed from the endpoint list.
    Removed,
}

/// A worker's entry in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint<'a> {
    /// The worker's id.
    pub worker: &'a str,
    /// The worker's state.
    pub state: WorkerState,
    /// The time at which the worker last started; `None` if that was so long ago that its slow
    /// start is over.
    pub started_at: Option<Nanos>,
    /// The worker's machine kind, from 0.
    pub machine_kind: u32,
    /// The worker's zone.
    pub zone: u32,
    /// The worker's cell, a group of workers within which requests can be deduplicated.
    pub cell: u32,
    /// The worker's capacity relative to that of other workers.
    pub weight: f64,
}

impl<'a> Endpoint<'a> {
    /// Creates the entry of a worker of weight 1 in zone, cell and machine kind 0 that started long
    /// ago.
    pub fn new(worker: &'a str, state: WorkerState) -> Self {
        Endpoint { worker, state, started_at: None, machine_kind: 0, zone: 0, cell: 0, weight: 1.0 }
    }
}

/// The kind of update that an [`Event::EndpointsChanged`](crate::Event::EndpointsChanged) carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Only the entries that changed.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list from the embedder's cache, possibly stale.
    CachedSnapshot,
    /// No entries: a request for the list failed or the subscription ended. The last known list
    /// stays valid.
    Unavailable,
}
