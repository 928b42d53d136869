//! The workers that have cached the program or data of an affinity key.

use crate::api::{Nanos, SECOND};
use crate::state::WorkerIndex;
use rustc_hash::FxHashMap;

/// A worker counts as having cached a key for this time after a request with the key was sent to
/// it.
const CACHE_DURATION: Nanos = 20 * SECOND;

/// The cost of a fetch until it is measured; see [`AffinityTable::fetch_cost`].
const DEFAULT_FETCH_COST: f64 = 2.0;

/// The upper bound of the cost of a fetch; see [`AffinityTable::fetch_cost`].
const MAX_FETCH_COST: f64 = 8.0;

/// The number of entries beyond which expired ones are removed.
const MAX_ENTRIES: usize = 20_000;

/// The weight of a new sample in the mean response times.
const SAMPLE_WEIGHT: f64 = 0.02;

/// A key at a worker.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Placement {
    key: u64,
    worker: WorkerIndex,
}

/// The times at which keys were last sent to workers, and the cost of moving a key to another
/// worker.
#[derive(Default)]
pub(super) struct AffinityTable {
    sent_at: FxHashMap<Placement, Nanos>,
    /// The mean response time of attempts at workers that had cached their key, in nanoseconds; 0
    /// while unknown.
    mean_time_cached: f64,
    /// The mean response time of attempts at workers that had to fetch their key, in nanoseconds; 0
    /// while unknown.
    mean_time_fetched: f64,
}

impl AffinityTable {
    /// Returns whether a worker counts as having cached a key.
    pub(super) fn is_cached(&self, key: u64, worker: WorkerIndex, now: Nanos) -> bool {
        self.sent_at.get(&Placement { key, worker }).is_some_and(|sent_at| now < sent_at + CACHE_DURATION)
    }

    /// Records that a request with this key was sent to a worker.
    pub(super) fn record_send(&mut self, key: u64, worker: WorkerIndex, now: Nanos) {
        if self.sent_at.len() > MAX_ENTRIES {
            self.sent_at.retain(|_, sent_at| now < *sent_at + CACHE_DURATION);
        }
        self.sent_at.insert(Placement { key, worker }, now);
    }

    /// Records the response time, in nanoseconds, of a served attempt with a key.
    pub(super) fn record_time(&mut self, elapsed: Nanos, was_fetched: bool) {
        let mean = if was_fetched { &mut self.mean_time_fetched } else { &mut self.mean_time_cached };
        let sample_weight = if *mean == 0.0 { 1.0 } else { SAMPLE_WEIGHT };
        *mean += (elapsed as f64 - *mean) * sample_weight;
    }

    /// Returns the delay of fetching a key, as a multiple of the response time with a cached key. A
    /// fetch that costs 2 counts like two own slots in flight. The cost is measured, so that keys
    /// that are cheap to fetch are not bound to their workers.
    pub(super) fn fetch_cost(&self) -> f64 {
        if self.mean_time_cached == 0.0 || self.mean_time_fetched == 0.0 {
            return DEFAULT_FETCH_COST;
        }
        (self.mean_time_fetched / self.mean_time_cached - 1.0).clamp(0.0, MAX_FETCH_COST)
    }
}
