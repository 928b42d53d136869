//! Updates of the endpoint list.

use super::Dispatcher;
use crate::api::{Action, Endpoint, EndpointUpdate, Nanos, WorkerState};
use crate::state::WorkerIndex;

impl Dispatcher {
    /// Applies an update of the endpoint list and schedules the next call to service discovery.
    ///
    /// Workers that are missing from a complete list are marked as removed.
    pub(super) fn change_endpoints(
        &mut self,
        now: Nanos,
        update: EndpointUpdate,
        endpoints: &[Endpoint<'_>],
        actions: &mut Vec<Action>,
    ) {
        let mut is_listed = vec![false; self.fleet.workers().len()];
        let mut changed = Vec::new();
        for endpoint in endpoints {
            let worker = self.update_endpoint(now, endpoint, &mut changed);
            if let Some(listed) = is_listed.get_mut(worker.as_usize()) {
                *listed = true;
            }
        }
        if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::CachedSnapshot) {
            self.remove_unlisted(&is_listed, &mut changed);
        }
        self.fleet.update_graphs(&changed);
        self.capacity.invalidate();
        self.schedule_discovery(update, actions);
    }

    fn update_endpoint(
        &mut self,
        now: Nanos,
        endpoint: &Endpoint<'_>,
        changed: &mut Vec<WorkerIndex>,
    ) -> WorkerIndex {
        let index = self.fleet.find_or_add(endpoint);
        self.fleet.set_attributes(index, endpoint);
        let worker = self.fleet.worker_mut(index);
        if endpoint.started_at != worker.started_at {
            worker.restart(endpoint.started_at.map(|started_at| started_at.min(now)));
        }
        if self.fleet.set_state(index, endpoint.state, endpoint.machine_kind) {
            changed.push(index);
        }
        index
    }

    fn remove_unlisted(&mut self, is_listed: &[bool], changed: &mut Vec<WorkerIndex>) {
        for (number, listed) in is_listed.iter().enumerate() {
            if *listed {
                continue;
            }
            let index = WorkerIndex(number as u32);
            let machine_kind = self.fleet.worker(index).machine_kind;
            if self.fleet.set_state(index, WorkerState::Removed, machine_kind) {
                changed.push(index);
            }
        }
    }
}
