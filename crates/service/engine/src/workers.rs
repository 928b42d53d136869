//! The workers: what the endpoint list says of them, what inventories add to it, and what the
//! balancing policy was told.
//!
//! The endpoint list is the one authority on who is there: state, start and address come from
//! nowhere else, and a host that it has not named gets no jobs. Inventories
//! ([`MergedInventory`]) only fill what the list leaves open, and the weight where that is set so.
//!
//! - `endpoint_list`: changes of the list, in slices if there are many;
//! - `attributes`: what is known of one worker, from the list and from inventories;
//! - `isolation`: workers whose pod or zone has changed;
//! - `inventory`: new versions of the inventories;
//! - `views`: what operators are shown of workers.
mod attributes;
mod endpoint_list;
mod inventory;
mod isolation;
mod views;

use crate::WorkerEndpoint;
use isolation::IsolatedAttribute;
use rustc_hash::FxHashMap;
use spanlead_balancing_policy::{Endpoint, Nanos, WorkerState};
use spanlead_worker_attributes::{MergedInventory, normalize_host_name};
use std::collections::VecDeque;
use std::sync::Arc;

/// Numbers of pods below are the list's own; from here on they are those that inventories name by
/// words.
const FIRST_NAMED_POD: u32 = 1 << 30;
/// Numbers of pods and zones from here on are those of single workers.
const FIRST_OWN_NUMBER: u32 = 1 << 31;
/// The number of a name that the settings do not have, and of a pod that another process would not
/// know.
const UNKNOWN_NUMBER: u32 = u32::MAX;

/// A worker.
pub(crate) struct Worker {
    /// As the endpoint list has it.
    pub(crate) host: WorkerEndpoint,
    /// What the policy was told of it last.
    pub(crate) reported: Option<ReportedWorker>,
    /// The name by which inventories know it.
    normalized_name: Option<Arc<str>>,
    /// An inventory names it.
    is_in_inventory: bool,
    /// Its number where it must be told apart from all others.
    own_number: u32,
    pod: IsolatedAttribute,
    zone: IsolatedAttribute,
    /// Since when the list says of it what it says.
    since: Nanos,
    /// Since when the list does not name it.
    removed_at: Option<Nanos>,
}

/// What the policy knows of a worker.
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

    /// The pod as another process would know it.
    pub(crate) fn portable_cell(self) -> u32 {
        if self.cell < FIRST_NAMED_POD { self.cell } else { UNKNOWN_NUMBER }
    }
}

/// All workers that the endpoint list has named, and what is still to be processed of its changes.
#[derive(Default)]
pub(crate) struct WorkerTable {
    workers: FxHashMap<Arc<str>, Worker>,
    /// Hosts of the list that were not processed yet.
    incoming: VecDeque<WorkerEndpoint>,
    /// Workers of which inventories may say something else now.
    to_recheck: VecDeque<Arc<str>>,
    /// The timer of the next slice is set.
    is_slice_due: bool,
    /// What inventories say; `None` as long as there are none.
    merged_inventory: Option<Arc<MergedInventory>>,
    named_pods: NamedPods,
    /// How many own numbers were given.
    own_numbers: u32,
}

impl WorkerTable {
    pub(crate) fn get(&self, name: &str) -> Option<&Worker> {
        self.workers.get(name)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// The workers that the list names now.
    fn listed(&self) -> impl Iterator<Item = &Worker> {
        self.iter().filter(|worker| worker.host.state != WorkerState::Removed)
    }

    /// A number for a worker that must be told apart from all others.
    fn next_own_number(&mut self) -> u32 {
        let number = FIRST_OWN_NUMBER + self.own_numbers;
        self.own_numbers = (self.own_numbers + 1) % (UNKNOWN_NUMBER - FIRST_OWN_NUMBER);
        number
    }
}

/// The numbers of pods that inventories name by words.
#[derive(Default)]
struct NamedPods {
    numbers: FxHashMap<Arc<str>, u32>,
}

impl NamedPods {
    /// The number of a pod that an inventory names. Small numbers stand for themselves.
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

/// The name by which inventories know a host; one that is no name in DNS is known as it is.
fn normalized_name(name: &Arc<str>) -> Arc<str> {
    match normalize_host_name(name) {
        Ok(same) if same.len() == name.len() && *same == **name => name.clone(),
        Ok(normal) => Arc::from(&*normal),
        Err(_) => name.clone(),
    }
}
