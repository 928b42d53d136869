//! Updates of the endpoint list. **Large updates are passed to the policy in slices**, so that they
//! delay no job: at most [`MAX_SLICE_HOSTS`] hosts are processed at once, the rest in further
//! slices [`SLICE_INTERVAL`] apart, with other inputs handled in between. Hosts that are draining,
//! removed or have just started are processed first.
use super::isolation::TopologyAttribute;
use super::{ReportedWorker, Worker, WorkerTable};
use crate::timers::Timer;
use crate::{Effect, Engine, MS, WorkerEndpoint};
use rustc_hash::FxHashSet;
use spanlead_balancing_policy::{Endpoint, EndpointUpdate, Event, Nanos, WorkerState};
use std::cmp::Reverse;
use std::sync::Arc;

/// The maximum number of hosts processed at once. Such a slice takes well under a millisecond.
const MAX_SLICE_HOSTS: usize = 512;
/// The pause between slices.
const SLICE_INTERVAL: Nanos = MS;

impl WorkerTable {
    /// Queues the hosts of an update ahead of the unprocessed rest of earlier updates.
    fn queue(&mut self, scope: EndpointUpdate, mut hosts: Vec<WorkerEndpoint>) {
        if matches!(scope, EndpointUpdate::Snapshot | EndpointUpdate::CachedSnapshot) {
            self.incoming.clear();
            hosts.extend(self.removed_by_snapshot(&hosts));
            self.workers.reserve(hosts.len().saturating_sub(self.workers.len()));
        } else if !self.incoming.is_empty() {
            // The update supersedes queued entries of the same hosts.
            let named: FxHashSet<&str> = hosts.iter().map(|host| &*host.name).collect();
            self.incoming.retain(|host| !named.contains(&*host.name));
        }
        if hosts.len() > MAX_SLICE_HOSTS {
            // The sort is stable: if the list names a host twice with the same state and start
            // time, its last entry stays last.
            hosts.sort_by_key(|host| (host.state == WorkerState::Ready, Reverse(host.started)));
        }
        let older = std::mem::replace(&mut self.incoming, hosts.into());
        self.incoming.extend(older);
    }

    /// Returns the known workers that a full list does not contain, marked as removed.
    fn removed_by_snapshot(&self, hosts: &[WorkerEndpoint]) -> Vec<WorkerEndpoint> {
        if self.workers.is_empty() {
            return Vec::new();
        }
        let named: FxHashSet<&str> = hosts.iter().map(|host| &*host.name).collect();
        let missing = self.listed().filter(|worker| !named.contains(&*worker.host.name));
        let removed = |worker: &Worker| WorkerEndpoint { state: WorkerState::Removed, ..worker.host.clone() };
        missing.map(removed).collect()
    }

    /// Returns whether hosts or workers are still to be processed.
    fn has_queued(&self) -> bool {
        !self.incoming.is_empty() || !self.to_recheck.is_empty()
    }

    /// Stores a host's entry of the list and returns the worker's name.
    fn update_host(&mut self, now: Nanos, host: WorkerEndpoint, out: &mut Vec<Effect>) -> Arc<str> {
        let name = host.name.clone();
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.update_host(now, host, out);
        } else {
            let own_number = self.next_own_number();
            self.workers.insert(name.clone(), Worker::new(now, host, own_number));
        }
        name
    }
}

impl Worker {
    fn new(now: Nanos, host: WorkerEndpoint, own_number: u32) -> Self {
        let removed_at = (host.state == WorkerState::Removed).then_some(now);
        Worker {
            host,
            reported: None,
            normalized_name: None,
            is_in_inventory: false,
            own_number,
            pod: TopologyAttribute::default(),
            zone: TopologyAttribute::default(),
            since: now,
            removed_at,
        }
    }

    fn update_host(&mut self, now: Nanos, host: WorkerEndpoint, out: &mut Vec<Effect>) {
        let is_removed = host.state == WorkerState::Removed;
        // An idle connection to a process that was replaced or removed would be reset while it
        // carries a request.
        let is_replaced = self.host.started != host.started || self.host.addr != host.addr;
        if is_replaced || is_removed {
            out.push(Effect::CloseIdleConnections { addr: self.host.addr });
        }
        let has_new_attributes = (self.host.zone, self.host.cell, self.host.kind, self.host.weight)
            != (host.zone, host.cell, host.kind, host.weight);
        if has_new_attributes || self.removed_at.is_some() {
            self.since = now;
        }
        self.removed_at = is_removed.then(|| self.removed_at.unwrap_or(now));
        self.host = host;
    }
}

impl Engine {
    /// Queues an update of the endpoint list and processes its first slice.
    pub(crate) fn endpoint_list_updated(
        &mut self,
        now: Nanos,
        scope: EndpointUpdate,
        hosts: Vec<WorkerEndpoint>,
        out: &mut Vec<Effect>,
    ) {
        self.workers.queue(scope, hosts);
        // The queue contains the workers that a full list leaves out, marked as removed, so the
        // policy need not determine them.
        let scope = if scope == EndpointUpdate::Snapshot { EndpointUpdate::Delta } else { scope };
        self.process_slice(now, scope, out);
    }

    /// Processes the next slice of the queue and reports the changed workers to the policy. Sets
    /// the timer for the following slice if the queue is not empty.
    pub(super) fn process_slice(&mut self, now: Nanos, scope: EndpointUpdate, out: &mut Vec<Effect>) {
        let mut changed: Vec<(Arc<str>, ReportedWorker)> = Vec::new();
        for _ in 0..MAX_SLICE_HOSTS {
            let Some(name) = self.next_to_process(now, out) else { break };
            if let Some(reported) = self.update_reported(now, &name) {
                changed.push((name, reported));
            }
        }
        if self.workers.has_queued() && !self.workers.is_slice_due {
            self.workers.is_slice_due = true;
            self.timers.set(now + SLICE_INTERVAL, Timer::ListSlice);
        }
        let endpoints = changed.iter().map(|(name, reported)| reported.endpoint(name));
        let endpoints: Vec<Endpoint<'_>> = endpoints.collect();
        self.run_policy(now, Event::EndpointsChanged { update: scope, endpoints: &endpoints }, out);
    }

    /// Takes the next worker from the queues: updates of the list precede those of inventories.
    fn next_to_process(&mut self, now: Nanos, out: &mut Vec<Effect>) -> Option<Arc<str>> {
        match self.workers.incoming.pop_front() {
            Some(host) => Some(self.workers.update_host(now, host, out)),
            None => self.workers.to_recheck.pop_front(),
        }
    }

    /// Processes the next slice after the pause between slices.
    pub(crate) fn process_next_slice(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        self.workers.is_slice_due = false;
        self.process_slice(now, EndpointUpdate::Delta, out);
    }

    /// Reports a worker to the policy if its state or attributes have changed.
    pub(crate) fn update_worker(&mut self, now: Nanos, name: Arc<str>, out: &mut Vec<Effect>) {
        if let Some(reported) = self.update_reported(now, &name) {
            let endpoints = [reported.endpoint(&name)];
            let update = EndpointUpdate::Delta;
            self.run_policy(now, Event::EndpointsChanged { update, endpoints: &endpoints }, out);
        }
    }

    /// Adds a worker that the list has not named but to which a previous process sent an attempt,
    /// and reports it to the policy. `host` states it as removed.
    pub(crate) fn register_removed_worker(
        &mut self,
        now: Nanos,
        host: WorkerEndpoint,
        out: &mut Vec<Effect>,
    ) {
        let name = self.workers.update_host(now, host, out);
        self.update_worker(now, name, out);
    }

    /// Returns whether further slices of a large update are still to be processed.
    pub fn has_pending_list_changes(&self) -> bool {
        self.workers.is_slice_due
    }
}
