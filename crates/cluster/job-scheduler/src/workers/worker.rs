//! A worker: what the platform lists, what runs there, and whether it responds.
use super::allocation::Allocation;
use super::clock::WorkerClock;
use super::health::{WorkerHealth, WorkerSpeed};
use super::lease::WorkerLease;
use crate::protocol::{ListedWorker, ListedWorkerState};
use crate::resources::Resources;
use compact_str::CompactString;
use spanlead_expander_walk::{CyclePositions, Vertex, cycle_positions};
use std::sync::Arc;

/// Calls in a row without response after which a worker is unreachable.
const MAX_MISSED_CALLS: u32 = 3;

/// Whether the platform lists a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListingState {
    /// Only records name it; the list was not read yet.
    Unlisted,
    Ready,
    Draining,
    /// No longer listed, or another incarnation responds: nothing runs there.
    Gone,
}

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    id: Arc<str>,
    /// Empty until the list was read.
    address: Arc<str>,
    service: CompactString,
    zone: CompactString,
    /// Kind, then rack.
    labels: Vec<CompactString>,
    capacity: Resources,
    /// Its positions on the cycles of the expander graphs.
    cycle_positions: CyclePositions,
    listing: ListingState,
    /// It has responded to a lease renewal of this term, so that calls of earlier terms have no
    /// effect there.
    is_fenced: bool,
    is_reachable: bool,
    /// Calls in a row without response.
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
    /// A worker of which only the identifier is known.
    pub(crate) fn new(id: &str, clock: WorkerClock, now_ms: u64) -> Self {
        Worker {
            id: id.into(),
            address: "".into(),
            service: CompactString::default(),
            zone: CompactString::default(),
            labels: Vec::new(),
            capacity: Resources::default(),
            cycle_positions: cycle_positions(id.as_bytes()),
            listing: ListingState::Unlisted,
            is_fenced: false,
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

    /// The rack, which is its second label.
    pub(crate) fn rack(&self) -> Option<&str> {
        self.labels.get(1).map(CompactString::as_str)
    }

    pub(crate) fn has_labels(&self, wanted: &[String]) -> bool {
        wanted.iter().all(|wanted| self.labels.iter().any(|label| label == wanted.as_str()))
    }

    // The platform's list.

    pub(crate) fn listing(&self) -> ListingState {
        self.listing
    }

    pub(crate) fn is_gone(&self) -> bool {
        self.listing == ListingState::Gone
    }

    /// Whether it can be called.
    pub(crate) fn is_callable(&self) -> bool {
        !self.is_gone() && !self.address.is_empty()
    }

    /// Takes what the platform lists; whether that changes where tasks may go. Draining ends only
    /// with the worker.
    pub(crate) fn update_listing(&mut self, entry: &ListedWorker) -> bool {
        let listing = match entry.state {
            ListedWorkerState::Ready => ListingState::Ready,
            ListedWorkerState::Draining => ListingState::Draining,
        };
        let capacity =
            Resources { cpu_millicores: entry.cpu_millicores, memory_mb: entry.memory_mb, gpus: entry.gpus };
        // One that was replaced by another incarnation may stay listed for a while.
        let is_replaced = self.is_gone() && self.is_fenced;
        if is_replaced || self.listing == listing && self.capacity == capacity {
            return false;
        }
        self.address = entry.address.as_str().into();
        self.service.clone_from(&entry.service);
        self.labels.clone_from(&entry.labels);
        self.zone.clone_from(&entry.zone);
        self.capacity = capacity;
        if self.listing != ListingState::Draining {
            self.listing = listing;
        }
        true
    }

    /// The worker reports that it drains; `false` if that was known, or it takes no tasks anyway.
    pub(crate) fn begin_draining(&mut self) -> bool {
        if self.listing != ListingState::Ready {
            return false;
        }
        self.listing = ListingState::Draining;
        true
    }

    /// This incarnation no longer exists.
    pub(crate) fn mark_gone(&mut self) {
        self.listing = ListingState::Gone;
        self.is_fenced = true;
        let _ = self.allocation.clear_orphans();
    }

    // Whether it responds.

    pub(crate) fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// The worker responded to a lease renewal of this term; whether that was the first.
    pub(crate) fn mark_fenced(&mut self) -> bool {
        !std::mem::replace(&mut self.is_fenced, true)
    }

    pub(crate) fn is_reachable(&self) -> bool {
        self.is_reachable
    }

    /// Whether it is reachable and responded to the last call.
    pub(crate) fn is_responsive(&self) -> bool {
        self.is_reachable && self.missed_calls == 0
    }

    /// It responded; whether calls had gone unanswered before.
    pub(crate) fn record_response(&mut self) -> bool {
        let had_missed_calls = self.missed_calls > 0;
        if had_missed_calls {
            self.missed_calls = 0;
            self.is_reachable = true;
        }
        had_missed_calls
    }

    /// A call had no response; whether the worker is unreachable now.
    pub(crate) fn record_missed_call(&mut self) -> bool {
        self.missed_calls += 1;
        if self.missed_calls < MAX_MISSED_CALLS {
            return false;
        }
        if self.is_reachable {
            log::debug!("worker unreachable worker={}", self.id);
        }
        self.is_reachable = false;
        true
    }

    // Placement.

    /// Whether it may start tasks, leaving its health aside.
    pub(crate) fn accepts_tasks(&self) -> bool {
        self.listing == ListingState::Ready && self.is_fenced && self.is_responsive()
    }

    pub(crate) fn capacity(&self) -> Resources {
        self.capacity
    }

    pub(crate) fn free(&self) -> Resources {
        self.allocation.free(self.capacity)
    }

    /// The cost of a placement here: the share in use of its scarcest resource, and its slowness.
    pub(crate) fn placement_cost(&self) -> f64 {
        let slowdown = if self.speed.is_slow() { self.speed.slowdown() } else { 0.0 };
        self.allocation.used().dominant_share_of(self.capacity) + slowdown
    }
}
