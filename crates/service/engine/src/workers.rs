//! The workers: their entries in the endpoint list, the attributes that inventories add, and the
//! attributes last reported to the balancing policy.
//!
//! The endpoint list is the only authority on which workers exist: state, start time and address
//! come from nowhere else, and a host that the list has not named gets no jobs. Inventories
//! ([`MergedInventory`]) only supply attributes that the list does not state, and override the
//! weight where an inventory is configured so.
//!
//! - `endpoint_list`: changes of the list, processed in slices if there are many;
//! - `attributes`: the attributes of a worker, merged from the list and the inventories;
//! - `isolation`: workers whose pod or zone has changed;
//! - `inventory`: new versions of the inventories;
//! - `views`: workers, for operators.
mod attributes;
mod endpoint_list;
mod inventory;
mod isolation;
mod views;

use crate::WorkerEndpoint;
use isolation::TopologyAttribute;
use rustc_hash::FxHashMap;
use spanlead_balancing_policy::{Endpoint, Nanos, WorkerState};
use spanlead_worker_attributes::{MergedInventory, normalize_host_name};
use std::collections::VecDeque;
use std::sync::Arc;

/// The first number assigned to a pod that inventories identify by a name. Lower numbers are pod
/// numbers of the endpoint list.
const FIRST_NAMED_POD: u32 = 1 << 30;
/// The first number that stands for the pod or zone of a single worker: one that is unknown or
/// isolated.
const FIRST_OWN_NUMBER: u32 = 1 << 31;
/// The number of a zone or kind that the settings do not name, and of a pod whose number another
/// process would not know.
const UNKNOWN_NUMBER: u32 = u32::MAX;

/// A worker.
pub(crate) struct Worker {
    /// Its last entry in the endpoint list.
    pub(crate) host: WorkerEndpoint,
    /// The attributes last reported to the policy.
    pub(crate) reported: Option<ReportedWorker>,
    /// The normalized name, under which inventories list it.
    normalized_name: Option<Arc<str>>,
    /// Whether an inventory names it.
    is_in_inventory: bool,
    /// The number, shared with no other worker, that is reported for its pod or zone while that is
    /// unknown or the worker is isolated in it.
    own_number: u32,
    pod: TopologyAttribute,
    zone: TopologyAttribute,
    /// When the attributes in its list entry last changed, or it was listed again.
    since: Nanos,
    /// When it was removed from the list; `None` while it is listed.
    removed_at: Option<Nanos>,
}

/// The attributes of a worker as reported to the policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ReportedWorker {
    state: WorkerState,
    started: Option<Nanos>,
    kind: u32,
    pub(crate) zone: u32,
    cell: u32,
    weight: f64,
}

impl ReportedWorker {
    fn endpoint(self, worker: &str) -> Endpoint<'_> {
        let ReportedWorker { state, started, kind, zone, cell, weight } = self;
        Endpoint { worker, state, started_at: started, machine_kind: kind, zone, cell, weight }
    }

    /// The pod number if it means the same to another process, else [`UNKNOWN_NUMBER`].
    pub(crate) fn portable_cell(self) -> u32 {
        if self.cell < FIRST_NAMED_POD { self.cell } else { UNKNOWN_NUMBER }
    }
}

/// All workers that the endpoint list has named, and the queue of unprocessed changes.
#[derive(Default)]
pub(crate) struct WorkerTable {
    workers: FxHashMap<Arc<str>, Worker>,
    /// Entries of the list that were not processed yet.
    incoming: VecDeque<WorkerEndpoint>,
    /// Workers whose attributes may have changed with the inventories.
    to_recheck: VecDeque<Arc<str>>,
    /// Whether the timer of the next slice is set.
    is_slice_due: bool,
    /// The merged inventories; `None` if there are none.
    merged_inventory: Option<Arc<MergedInventory>>,
    named_pods: NamedPods,
    /// Own numbers assigned so far, modulo the size of their range.
    assigned_own_numbers: u32,
}

impl WorkerTable {
    pub(crate) fn get(&self, name: &str) -> Option<&Worker> {
        self.workers.get(name)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// The workers currently in the list.
    fn listed(&self) -> impl Iterator<Item = &Worker> {
        self.iter().filter(|worker| worker.host.state != WorkerState::Removed)
    }

    /// Assigns the next own number (see [`Worker::own_number`]).
    fn next_own_number(&mut self) -> u32 {
        let number = FIRST_OWN_NUMBER + self.assigned_own_numbers;
        self.assigned_own_numbers = (self.assigned_own_numbers + 1) % (UNKNOWN_NUMBER - FIRST_OWN_NUMBER);
        number
    }
}

/// The numbers assigned to pods that inventories identify by a name.
#[derive(Default)]
struct NamedPods {
    numbers: FxHashMap<Arc<str>, u32>,
}

impl NamedPods {
    /// The number of a pod that an inventory names. A name that is a number below
    /// [`FIRST_NAMED_POD`] stands for that pod number of the endpoint list.
    fn number(&mut self, name: &Arc<str>) -> u32 {
        match name.parse::<u32>() {
            Ok(number) if number < FIRST_NAMED_POD => number,
            _ => {
                let next = self.numbers.len() as u32 % (FIRST_OWN_NUMBER - FIRST_NAMED_POD);
                *self.numbers.entry(name.clone()).or_insert(FIRST_NAMED_POD + next)
            }
        }
    }
}

/// Normalizes a host name for lookups in inventories; a name that is not a valid DNS name is
/// returned unchanged.
fn normalized_name(name: &Arc<str>) -> Arc<str> {
    match normalize_host_name(name) {
        Ok(same) if same.len() == name.len() && *same == **name => name.clone(),
        Ok(normal) => Arc::from(&*normal),
        Err(_) => name.clone(),
    }
}
