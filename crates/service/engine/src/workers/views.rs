//! The workers as shown to operators.
use super::{Worker, normalized_name};
use crate::{Engine, HostView, InventoryStats, MS};
use rustc_hash::FxHashMap;
use spanlead_balancing_policy::{Nanos, WorkerState};
use spanlead_worker_attributes::{LiveHost, MergedInventory, normalize_host_name, provenance};
use std::sync::Arc;

impl Engine {
    /// Returns the merged inventory, if there is one.
    pub fn merged_inventory(&self) -> Option<&Arc<MergedInventory>> {
        self.workers.merged_inventory.as_ref()
    }

    /// Returns the endpoint list with names in place of numbers, to compare it with the
    /// inventories.
    pub fn live_hosts(&self) -> Vec<LiveHost> {
        // There are few zones and kinds, so each name is allocated only once.
        let shared_names = |names: &[String]| -> Vec<Arc<str>> {
            names.iter().map(|name| Arc::from(name.as_str())).collect()
        };
        let names = &self.classes.names;
        let (zones, kinds) = (shared_names(&names.zones), shared_names(&names.kinds));
        let mut pods: FxHashMap<u32, Arc<str>> = FxHashMap::default();
        let name_of = |names: &[Arc<str>], number: Option<u32>| names.get(number? as usize).cloned();
        let live_host = |worker: &Worker| {
            let host = &worker.host;
            let pod = |cell| pods.entry(cell).or_insert_with(|| cell.to_string().into()).clone();
            LiveHost {
                name: host.name.clone(),
                normalized_name: worker
                    .normalized_name
                    .clone()
                    .unwrap_or_else(|| normalized_name(&host.name)),
                zone: name_of(&zones, host.zone),
                pod: host.cell.map(pod),
                kind: name_of(&kinds, host.kind),
                weight: host.weight,
                since_ms: worker.since / MS,
                gone_ms: worker.removed_at.map(|time| time / MS),
            }
        };
        self.workers.iter().map(live_host).collect()
    }

    /// Returns the state and the attributes, with their sources, of a worker that the list has
    /// named.
    pub fn worker_view(&self, now: Nanos, name: &str) -> Option<HostView> {
        let worker = self.worker_by_any_name(name)?;
        let host = &worker.host;
        let empty = MergedInventory::default();
        let merged_inventory = self.workers.merged_inventory.as_deref().unwrap_or(&empty);
        let state = match host.state {
            WorkerState::Ready => "ready",
            WorkerState::Draining => "draining",
            WorkerState::Removed => "gone",
        };
        let isolated = [("pod", worker.pod), ("zone", worker.zone)];
        let isolated = isolated.into_iter().filter(|(_, attribute)| attribute.is_isolated(now));
        Some(HostView {
            host: host.name.clone(),
            state,
            attributes: provenance(&self.listed_attributes(worker), merged_inventory),
            isolated: isolated.map(|(name, _)| name).collect(),
        })
    }

    /// Returns the worker with this name, or with another spelling of it.
    fn worker_by_any_name(&self, name: &str) -> Option<&Worker> {
        let wanted = normalize_host_name(name).ok()?;
        let is_wanted =
            |worker: &&Worker| normalize_host_name(&worker.host.name).is_ok_and(|name| name == wanted);
        self.workers.get(name).or_else(|| self.workers.iter().find(is_wanted))
    }

    /// Returns the attributes of a worker according to the list.
    fn listed_attributes(&self, worker: &Worker) -> LiveHost {
        let host = &worker.host;
        let names = &self.classes.names;
        let name_of = |names: &[String], number: Option<u32>| {
            names.get(number? as usize).map(|name| Arc::from(name.as_str()))
        };
        LiveHost {
            name: host.name.clone(),
            normalized_name: normalized_name(&host.name),
            zone: name_of(&names.zones, host.zone),
            pod: host.cell.map(|cell| cell.to_string().into()),
            kind: name_of(&names.kinds, host.kind),
            weight: host.weight,
            since_ms: worker.since / MS,
            gone_ms: worker.removed_at.map(|time| time / MS),
        }
    }

    /// Returns the statistics of the inventories; `None` if there are none.
    pub(crate) fn inventory_stats(&self, now: Nanos) -> Option<InventoryStats> {
        let merged_inventory = self.workers.merged_inventory.as_ref()?;
        let is_isolated = |worker: &&Worker| worker.pod.is_isolated(now) || worker.zone.is_isolated(now);
        Some(InventoryStats {
            inventories: merged_inventory.sources.len(),
            hosts: merged_inventory.sources.iter().map(|source| source.version.hosts.len()).sum(),
            matched: self.workers.listed().filter(|worker| worker.is_in_inventory).count(),
            isolated: self.workers.listed().filter(is_isolated).count(),
            pending: self.workers.incoming.len() + self.workers.to_recheck.len(),
        })
    }
}
