//! The attributes of one worker: those of the endpoint list take precedence, and inventories supply
//! the missing ones.
use super::{
    FIRST_NAMED_POD, NamedPods, ReportedWorker, UNKNOWN_NUMBER, Worker, WorkerTable, normalized_name,
};
use crate::Engine;
use crate::timers::Timer;
use spanlead_balancing_policy::Nanos;
use spanlead_deployment_settings::{Names, index_of};
use spanlead_worker_attributes::MergedInventory;
use std::sync::Arc;

/// The weight of a worker for which neither the list nor an inventory states one.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The attributes of a worker; zone and kind are numbered as in the settings. `None` is unknown.
#[derive(Clone, Copy)]
struct WorkerAttributes {
    zone: Option<u32>,
    kind: Option<u32>,
    pod: Option<u32>,
    weight: Option<f64>,
}

/// Returns the number unless it stands for an unknown name.
fn known_number(number: Option<u32>) -> Option<u32> {
    number.filter(|number| *number != UNKNOWN_NUMBER)
}

impl Worker {
    /// Returns the worker's attributes according to the list and the inventories.
    fn attributes(
        &mut self,
        names: &Names,
        merged_inventory: Option<&MergedInventory>,
        named_pods: &mut NamedPods,
    ) -> WorkerAttributes {
        let listed = WorkerAttributes {
            zone: known_number(self.host.zone),
            kind: known_number(self.host.kind),
            pod: self.host.cell.filter(|cell| *cell < FIRST_NAMED_POD),
            weight: self.host.weight,
        };
        match merged_inventory {
            Some(merged_inventory) => self.merge_inventory(names, listed, merged_inventory, named_pods),
            None => listed,
        }
    }

    /// Completes the attributes of the list with those of the inventories, and notes whether an
    /// inventory contains the worker.
    fn merge_inventory(
        &mut self,
        names: &Names,
        listed: WorkerAttributes,
        merged_inventory: &MergedInventory,
        named_pods: &mut NamedPods,
    ) -> WorkerAttributes {
        let normal = &**self.normalized_name.get_or_insert_with(|| normalized_name(&self.host.name));
        self.is_in_inventory = merged_inventory.names(normal);
        let number =
            |names: &[String], stated: Option<&Arc<str>>| stated.and_then(|name| index_of(names, name));
        let zone = listed.zone.or_else(|| number(&names.zones, merged_inventory.zone(normal)?.value));
        let default_kind = || number(&names.kinds, merged_inventory.defaults.kind.as_ref());
        let stated_kind = || number(&names.kinds, merged_inventory.kind(normal)?.value);
        let kind = listed.kind.or_else(stated_kind).or_else(default_kind);
        let pod = listed.pod.or_else(|| Some(named_pods.number(merged_inventory.pod(normal)?.value?)));
        let weight = merged_weight(listed.weight, normal, merged_inventory);
        WorkerAttributes { zone, kind, pod, weight }
    }
}

/// Returns the weight of the list, or that of an inventory if the list has none or the inventory is
/// configured to take precedence.
fn merged_weight(
    listed: Option<f64>,
    normalized_name: &str,
    merged_inventory: &MergedInventory,
) -> Option<f64> {
    let stated = merged_inventory.weight(normalized_name);
    let inventory_has_precedence =
        stated.as_ref().is_some_and(|resolved| merged_inventory.sources[resolved.source].weight_first);
    let stated = stated.and_then(|resolved| resolved.value.copied());
    let merged = if inventory_has_precedence { stated.or(listed) } else { listed.or(stated) };
    merged.or(merged_inventory.defaults.weight)
}

impl Engine {
    /// Re-evaluates a worker's attributes and returns what is to be reported to the policy; `None`
    /// if it has not changed or the worker is unknown.
    pub(super) fn update_reported(&mut self, now: Nanos, name: &Arc<str>) -> Option<ReportedWorker> {
        let window = self.classes.longest_deduplication_window();
        let WorkerTable { workers, merged_inventory, named_pods, .. } = &mut self.workers;
        let worker = workers.get_mut(name)?;
        let attributes = worker.attributes(&self.classes.names, merged_inventory.as_deref(), named_pods);
        let isolated_before = (worker.pod.isolated_until, worker.zone.isolated_until);
        let reported = ReportedWorker {
            state: worker.host.state,
            started: worker.host.started,
            kind: attributes.kind.unwrap_or(UNKNOWN_NUMBER),
            zone: worker.zone.update(now, attributes.zone, worker.own_number, window),
            cell: worker.pod.update(now, attributes.pod, worker.own_number, window),
            weight: attributes.weight.unwrap_or(DEFAULT_WEIGHT),
        };
        let isolated = (worker.pod.isolated_until, worker.zone.isolated_until);
        let has_changed = worker.reported != Some(reported);
        worker.reported = Some(reported);
        if isolated != isolated_before {
            let until = isolated.0.max(isolated.1);
            self.timers.set(until, Timer::EndIsolation(name.clone()));
        }
        has_changed.then_some(reported)
    }
}
