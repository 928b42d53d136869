//! Changes of the endpoint list. **Large changes go to the policy in slices**, so that no job waits
//! for a list: of more than [`MAX_SLICE_HOSTS`] hosts the rest is processed a slice at a time,
//! [`SLICE_INTERVAL`] apart, and other inputs pass between. What is draining, removed or has just
//! started goes first.
use super::isolation::IsolatedAttribute;
use super::{ReportedWorker, Worker, WorkerTable};
use crate::timers::Timer;
use crate::{Effect, Engine, MS, WorkerEndpoint};
use rustc_hash::FxHashSet;
use spanlead_balancing_policy::{Endpoint, EndpointUpdate, Event, Nanos, WorkerState};
use std::cmp::Reverse;
use std::sync::Arc;

/// Hosts that are processed at once. A slice of them takes well under a millisecond.
const MAX_SLICE_HOSTS: usize = 512;
/// The pause between slices.
const SLICE_INTERVAL: Nanos = MS;

impl WorkerTable {
    /// Queues changes of the list before what is left of older ones.
    fn queue(&mut self, scope: EndpointUpdate, mut hosts: Vec<WorkerEndpoint>) {
        if matches!(scope, EndpointUpdate::Snapshot | EndpointUpdate::CachedSnapshot) {
            self.incoming.clear();
            hosts.extend(self.missing(&hosts));
            self.workers.reserve(hosts.len().saturating_sub(self.workers.len()));
        } else if !self.incoming.is_empty() {
            // What is still to be processed of these hosts is old.
            let named: FxHashSet<&str> = hosts.iter().map(|host| &*host.name).collect();
            self.incoming.retain(|host| !named.contains(&*host.name));
        }
        if hosts.len() > MAX_SLICE_HOSTS {
            // Stable: of what the list names twice, the last entry stays the last.
            hosts.sort_by_key(|host| (host.state == WorkerState::Ready, Reverse(host.started)));
        }
        let older = std::mem::replace(&mut self.incoming, hosts.into());
        self.incoming.extend(older);
    }

    /// The workers that a full list leaves out, as removed.
    fn missing(&self, hosts: &[WorkerEndpoint]) -> Vec<WorkerEndpoint> {
        if self.workers.is_empty() {
            return Vec::new();
        }
        let named: FxHashSet<&str> = hosts.iter().map(|host| &*host.name).collect();
        let missing = self.listed().filter(|worker| !named.contains(&*worker.host.name));
        let removed = |worker: &Worker| WorkerEndpoint { state: WorkerState::Removed, ..worker.host.clone() };
        missing.map(removed).collect()
    }

    fn has_queued(&self) -> bool {
        !self.incoming.is_empty() || !self.to_recheck.is_empty()
    }

    /// Notes what the list says of a host.
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
            pod: IsolatedAttribute::default(),
            zone: IsolatedAttribute::default(),
            since: now,
            removed_at,
        }
    }

    fn update_host(&mut self, now: Nanos, host: WorkerEndpoint, out: &mut Vec<Effect>) {
        let is_removed = host.state == WorkerState::Removed;
        // A connection to a process that was replaced or removed only waits to be reset under a
        // request.
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
    /// Processes changes of the list, at once or, if there are many, their first slice.
    pub(crate) fn endpoint_list(
        &mut self,
        now: Nanos,
        scope: EndpointUpdate,
        hosts: Vec<WorkerEndpoint>,
        out: &mut Vec<Effect>,
    ) {
        self.workers.queue(scope, hosts);
        // Who is not in a full list is among what is processed; the policy need not look for them.
        let scope = if scope == EndpointUpdate::Snapshot { EndpointUpdate::Delta } else { scope };
        self.process_slice(now, scope, out);
    }

    /// Processes the next hosts and tells the policy what is new of them.
    pub(super) fn process_slice(&mut self, now: Nanos, scope: EndpointUpdate, out: &mut Vec<Effect>) {
        let mut changed: Vec<(Arc<str>, ReportedWorker)> = Vec::new();
        for _ in 0..MAX_SLICE_HOSTS {
            let Some(name) = self.next_to_process(now, out) else { break };
            if let Some(reported) = self.recheck(now, &name) {
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

    /// The next worker of the queue: changes of the list go before those of inventories.
    fn next_to_process(&mut self, now: Nanos, out: &mut Vec<Effect>) -> Option<Arc<str>> {
        match self.workers.incoming.pop_front() {
            Some(host) => Some(self.workers.update_host(now, host, out)),
            None => self.workers.to_recheck.pop_front(),
        }
    }

    /// The pause between two slices is over.
    pub(crate) fn process_next_slice(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        self.workers.is_slice_due = false;
        self.process_slice(now, EndpointUpdate::Delta, out);
    }

    /// Tells the policy of a worker, if anything is new.
    pub(crate) fn update_worker(&mut self, now: Nanos, name: Arc<str>, out: &mut Vec<Effect>) {
        if let Some(reported) = self.recheck(now, &name) {
            let endpoints = [reported.endpoint(&name)];
            let update = EndpointUpdate::Delta;
            self.run_policy(now, Event::EndpointsChanged { update, endpoints: &endpoints }, out);
        }
    }

    /// A worker that the list does not name, as one that is removed: where an attempt of an earlier
    /// process was.
    pub(crate) fn introduce_removed(&mut self, now: Nanos, host: WorkerEndpoint, out: &mut Vec<Effect>) {
        let name = self.workers.update_host(now, host, out);
        self.update_worker(now, name, out);
    }

    /// Whether slices of a large change are still to come.
    pub fn has_pending_list_changes(&self) -> bool {
        self.workers.is_slice_due
    }
}
