//! A worker: its listing by the platform, its allocation, its health and its reachability.
use super::allocation::Allocation;
use super::clock::WorkerClock;
use super::health::{WorkerHealth, WorkerSpeed};
use super::lease::WorkerLease;
use crate::ids::WorkerClassId;
use crate::protocol::{ListedWorker, ListedWorkerState};
use crate::resources::Resources;
use compact_str::CompactString;
use spanlead_expander_walk::{CyclePositions, Vertex, cycle_positions};
use std::sync::Arc;

/// The number of consecutive calls without a response after which a worker counts as unreachable.
const UNREACHABLE_AFTER_MISSED_CALLS: u32 = 3;

/// The state of a worker in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListingState {
    /// The platform's latest list does not name the worker, or has not been read yet. That is no
    /// evidence that the worker has ended: its runs continue, and it is called as before.
    Unlisted,
    Ready,
    Draining,
    /// The worker is not listed and all its leases have expired: it has no runs. It is called again
    /// once it is listed.
    Departed,
    /// Another incarnation responds at the worker's address: it has no runs and never returns.
    Replaced,
}

/// Whether `labels` contains all labels in `wanted`.
pub(super) fn has_all_labels(labels: &[CompactString], wanted: &[String]) -> bool {
    wanted.iter().all(|wanted| labels.iter().any(|label| label == wanted.as_str()))
}

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    id: Arc<str>,
    /// Empty until the platform's list names the worker.
    address: Arc<str>,
    service: CompactString,
    zone: CompactString,
    /// Kind, then rack.
    labels: Vec<CompactString>,
    capacity: Resources,
    class: Option<WorkerClassId>,
    /// The worker's positions on the cycles of the expander graphs.
    cycle_positions: CyclePositions,
    listing: ListingState,
    /// Whether the platform's list or the worker itself has ever reported that it is draining.
    is_draining: bool,
    /// Whether calls of earlier terms have no effect on the worker any more: it has responded to a
    /// lease renewal of this term, and so has seen this term's fencing token, or it was replaced.
    has_seen_term: bool,
    is_reachable: bool,
    /// The number of consecutive calls without a response.
    missed_calls: u32,
    pub(crate) lease: WorkerLease,
    pub(crate) allocation: Allocation,
    pub(crate) health: WorkerHealth,
    pub(crate) speed: WorkerSpeed,
}

impl Vertex for Worker {
    fn cycle_positions(&self) -> &CyclePositions {
        &self.cycle_positions
    }
}

impl Worker {
    /// A worker with only its identifier known.
    pub(crate) fn new(id: &str, clock: WorkerClock, now_ms: u64) -> Self {
        Worker {
            id: id.into(),
            address: "".into(),
            service: CompactString::default(),
            zone: CompactString::default(),
            labels: Vec::new(),
            capacity: Resources::default(),
            class: None,
            cycle_positions: cycle_positions(id.as_bytes()),
            listing: ListingState::Unlisted,
            is_draining: false,
            has_seen_term: false,
            is_reachable: true,
            missed_calls: 0,
            lease: WorkerLease::new(clock, now_ms),
            allocation: Allocation::default(),
            health: WorkerHealth::default(),
            speed: WorkerSpeed::default(),
        }
    }

    pub(crate) fn id(&self) -> &Arc<str> {
        &self.id
    }

    pub(crate) fn address(&self) -> &Arc<str> {
        &self.address
    }

    pub(crate) fn service(&self) -> &CompactString {
        &self.service
    }

    pub(crate) fn zone(&self) -> &CompactString {
        &self.zone
    }

    pub(crate) fn labels(&self) -> &[CompactString] {
        &self.labels
    }

    /// The worker's rack, which is its second label.
    pub(crate) fn rack(&self) -> Option<&str> {
        self.labels.get(1).map(CompactString::as_str)
    }

    /// Whether the worker has all labels in `wanted`.
    pub(crate) fn has_labels(&self, wanted: &[String]) -> bool {
        has_all_labels(&self.labels, wanted)
    }

    /// The class of the worker; `None` until the platform's list names the worker.
    pub(crate) fn class(&self) -> Option<WorkerClassId> {
        self.class
    }

    pub(crate) fn set_class(&mut self, class: WorkerClassId) {
        self.class = Some(class);
    }

    // Listing.

    pub(crate) fn listing(&self) -> ListingState {
        self.listing
    }

    /// Whether the worker is known to have no runs, and is not called.
    pub(crate) fn is_gone(&self) -> bool {
        matches!(self.listing, ListingState::Departed | ListingState::Replaced)
    }

    /// Whether the worker can be called: it is not gone and its address is known.
    pub(crate) fn is_callable(&self) -> bool {
        !self.is_gone() && !self.address.is_empty()
    }

    /// Updates the worker from its entry in the platform's list. Returns whether that changes which
    /// tasks may be placed on it, or its address. The platform may still list a worker that another
    /// incarnation has replaced.
    pub(crate) fn update_listing(&mut self, entry: &ListedWorker) -> bool {
        if self.listing == ListingState::Replaced {
            return false;
        }
        self.is_draining |= entry.state == ListedWorkerState::Draining;
        let listing = if self.is_draining { ListingState::Draining } else { ListingState::Ready };
        let capacity =
            Resources { cpu_millicores: entry.cpu_millicores, memory_mb: entry.memory_mb, gpus: entry.gpus };
        let is_same_address = *self.address == *entry.address;
        if self.listing == listing && self.capacity == capacity && is_same_address {
            return false;
        }
        self.address = entry.address.as_str().into();
        self.service.clone_from(&entry.service);
        self.labels.clone_from(&entry.labels);
        self.zone.clone_from(&entry.zone);
        self.capacity = capacity;
        self.listing = listing;
        true
    }

    /// Records that the platform's latest list does not name the worker. Returns whether the list
    /// before did.
    pub(crate) fn mark_missing_in_list(&mut self) -> bool {
        let was_listed = matches!(self.listing, ListingState::Ready | ListingState::Draining);
        if was_listed {
            self.listing = ListingState::Unlisted;
        }
        was_listed
    }

    /// Marks the worker as draining, which it has reported itself. Returns `false` if it was not
    /// ready, and so accepted no new tasks anyway.
    pub(crate) fn begin_draining(&mut self) -> bool {
        self.is_draining = true;
        if self.listing != ListingState::Ready {
            return false;
        }
        self.listing = ListingState::Draining;
        true
    }

    /// Marks the worker as departed if it is not listed. All its leases must have expired.
    pub(crate) fn depart_if_unlisted(&mut self) {
        if self.listing == ListingState::Unlisted {
            self.listing = ListingState::Departed;
        }
    }

    /// Marks this incarnation of the worker as replaced and removes its orphans.
    pub(crate) fn mark_replaced(&mut self) {
        self.listing = ListingState::Replaced;
        self.has_seen_term = true;
        let _ = self.allocation.clear_orphans();
    }

    // Reachability.

    /// Whether calls of earlier terms have no effect on the worker any more.
    pub(crate) fn has_seen_term(&self) -> bool {
        self.has_seen_term
    }

    /// Records that the worker responded to a lease renewal of this term. Returns whether it is the
    /// first response.
    pub(crate) fn mark_term_seen(&mut self) -> bool {
        !std::mem::replace(&mut self.has_seen_term, true)
    }

    pub(crate) fn is_reachable(&self) -> bool {
        self.is_reachable
    }

    /// Whether the worker is reachable and no call has gone unanswered since its last response.
    pub(crate) fn is_responsive(&self) -> bool {
        self.is_reachable && self.missed_calls == 0
    }

    /// Records a response, by which a departed worker has not left after all. Returns whether calls
    /// had gone unanswered before it.
    pub(crate) fn record_response(&mut self) -> bool {
        if self.listing == ListingState::Departed {
            self.listing = ListingState::Unlisted;
        }
        let had_missed_calls = self.missed_calls > 0;
        if had_missed_calls {
            self.missed_calls = 0;
            self.is_reachable = true;
        }
        had_missed_calls
    }

    /// Records a call without a response. Returns whether the worker now counts as unreachable.
    pub(crate) fn record_missed_call(&mut self) -> bool {
        self.missed_calls += 1;
        if self.missed_calls < UNREACHABLE_AFTER_MISSED_CALLS {
            return false;
        }
        if self.is_reachable {
            log::debug!("worker unreachable worker={}", self.id);
        }
        self.is_reachable = false;
        true
    }

    // Placement.

    /// Whether the worker may be given tasks, apart from its health.
    pub(crate) fn accepts_tasks(&self) -> bool {
        self.listing == ListingState::Ready && self.has_seen_term && self.is_responsive()
    }

    pub(crate) fn capacity(&self) -> Resources {
        self.capacity
    }

    pub(crate) fn free_capacity(&self) -> Resources {
        self.allocation.free_capacity(self.capacity)
    }

    /// The cost of a placement on this worker: the used share of its scarcest resource, plus its
    /// slowdown if it counts as slow.
    pub(crate) fn placement_cost(&self) -> f64 {
        let slowdown = if self.speed.is_slow() { self.speed.slowdown() } else { 0.0 };
        self.allocation.used().dominant_share_of(self.capacity) + slowdown
    }
}
