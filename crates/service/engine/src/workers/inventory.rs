//! Updates of the inventories.
use super::{UNKNOWN_NUMBER, Worker, normalized_name};
use crate::{Effect, Engine, InventoryUpdate, InventoryVersion};
use spanlead_balancing_policy::{EndpointUpdate, Nanos, WorkerState};
use spanlead_deployment_settings::index_of;
use spanlead_worker_attributes::MergedInventory;
use std::sync::Arc;

impl Engine {
    /// Replaces the merged inventory and re-evaluates all workers. An update that would leave a
    /// class without any worker of the kind it needs is rejected, unless an operator has forced it.
    pub(crate) fn inventory_updated(&mut self, now: Nanos, update: InventoryUpdate, out: &mut Vec<Effect>) {
        let InventoryUpdate { merged_inventory, cause, forced } = update;
        if !forced && let Some(reason) = self.class_without_worker(&merged_inventory) {
            if let Some(InventoryVersion { name, number }) = cause {
                out.push(Effect::InventoryRejected { name, version: number, reason });
            }
            return;
        }
        self.workers.merged_inventory =
            Some(merged_inventory).filter(|merged_inventory| !merged_inventory.is_empty());
        self.workers.to_recheck = self.workers.workers.keys().cloned().collect();
        self.process_slice(now, EndpointUpdate::Delta, out);
    }

    /// Returns why these inventories cannot be used: a class has a ready worker of the kind it
    /// needs now and would have none with them. Returns `None` if they can be used.
    fn class_without_worker(&self, merged_inventory: &MergedInventory) -> Option<String> {
        let ready = || self.workers.iter().filter(|worker| worker.host.state == WorkerState::Ready);
        for needed in self.classes.machine_kinds() {
            let has_now =
                ready().any(|worker| worker.reported.is_some_and(|reported| reported.kind == needed.kind));
            if has_now && !ready().any(|worker| self.kind_with(worker, merged_inventory) == Some(needed.kind))
            {
                let names = &self.classes.names;
                let class = &names.classes[needed.class as usize];
                let kind = &names.kinds[needed.kind as usize];
                return Some(format!("class {class} would be left without a worker of kind {kind}"));
            }
        }
        None
    }

    /// Returns the kind that a worker would have with these inventories.
    fn kind_with(&self, worker: &Worker, merged_inventory: &MergedInventory) -> Option<u32> {
        let listed = worker.host.kind.filter(|kind| *kind != UNKNOWN_NUMBER);
        let name = normalized_name(&worker.host.name);
        let stated: Option<Arc<str>> = merged_inventory
            .kind(&name)
            .and_then(|resolved| resolved.value.or(merged_inventory.defaults.kind.as_ref()).cloned());
        listed.or_else(|| index_of(&self.classes.names.kinds, &stated?))
    }
}
