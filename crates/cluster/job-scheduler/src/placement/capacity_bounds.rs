//! Upper bounds of free capacity, which detect a demand that fits nowhere without iterating over
//! all workers.
use crate::resources::Resources;
use crate::workers::{ListingState, Worker, WorkerRegistry};
use compact_str::CompactString;
use rustc_hash::FxHashMap;

/// The upper bounds of the workers of one service.
#[derive(Debug, Default)]
struct ServiceBounds {
    any_worker: Resources,
    by_label: FxHashMap<CompactString, Resources>,
}

/// Upper bounds, by service and label, of the free capacity of any single worker for each resource.
///
/// Invariant: while the bounds are known, no ready worker has more free capacity than the bounds of
/// its service and of its labels. [`CapacityBounds::refresh`] computes them. They are raised when a
/// worker frees capacity, and invalidated when workers are listed or change.
#[derive(Debug, Default)]
pub(super) struct CapacityBounds {
    /// `None` while the bounds are not known, in which case any demand may fit.
    services: Option<FxHashMap<CompactString, ServiceBounds>>,
}

impl CapacityBounds {
    /// Recomputes the bounds from the current free capacity of all workers.
    pub(super) fn refresh(&mut self, workers: &WorkerRegistry) {
        self.services = Some(FxHashMap::default());
        for worker in workers.iter() {
            self.raise(worker);
        }
    }

    /// Raises the bounds to the free capacity of a worker that has freed some.
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

    /// Invalidates the bounds, since workers were listed or changed.
    pub(super) fn invalidate(&mut self) {
        self.services = None;
    }

    /// Whether a demand may fit on a worker of the service that has all of the labels.
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
