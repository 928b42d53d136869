//! Upper bounds of free capacity: a demand that fits nowhere is found without a look at each worker.
use crate::resources::Resources;
use crate::workers::{ListingState, Worker, WorkerRegistry};
use compact_str::CompactString;
use rustc_hash::FxHashMap;

/// The bounds of one service.
#[derive(Debug, Default)]
struct ServiceBounds {
    any_worker: Resources,
    by_label: FxHashMap<CompactString, Resources>,
}

/// By service and label, at least as much of each resource as any worker has free.
///
/// Invariant: while the bounds are known, no ready worker has more free than those of its service and
/// labels. They are computed by [`CapacityBounds::refresh`], raised when a worker frees capacity, and
/// forgotten when workers are listed or change.
#[derive(Debug, Default)]
pub(super) struct CapacityBounds {
    /// `None` while they are not known: then anything may fit.
    services: Option<FxHashMap<CompactString, ServiceBounds>>,
}

impl CapacityBounds {
    /// Computes the bounds anew.
    pub(super) fn refresh(&mut self, workers: &WorkerRegistry) {
        self.services = Some(FxHashMap::default());
        for worker in workers.iter() {
            self.raise(worker);
        }
    }

    /// A worker has freed capacity.
    pub(super) fn raise(&mut self, worker: &Worker) {
        let Some(services) = &mut self.services else { return };
        if worker.listing() != ListingState::Ready {
            return;
        }
        let free = worker.free_capacity();
        let service = services.entry(worker.service().clone()).or_default();
        service.any_worker = service.any_worker.max(free);
        for label in worker.labels() {
            match service.by_label.get_mut(label) {
                Some(bound) => *bound = bound.max(free),
                None => {
                    service.by_label.insert(label.clone(), free);
                }
            }
        }
    }

    /// Workers were listed, or changed.
    pub(super) fn forget(&mut self) {
        self.services = None;
    }

    /// Whether a demand may fit on a worker of that service with all of these labels.
    pub(super) fn may_fit<'a>(
        &self,
        service: &CompactString,
        mut labels: impl Iterator<Item = &'a str>,
        demand: Resources,
    ) -> bool {
        let Some(services) = &self.services else { return true };
        let Some(bounds) = services.get(service) else { return false };
        let fits_label = |label: &str| bounds.by_label.get(label).is_some_and(|bound| demand.fits_in(*bound));
        demand.fits_in(bounds.any_worker) && labels.all(fits_label)
    }
}
