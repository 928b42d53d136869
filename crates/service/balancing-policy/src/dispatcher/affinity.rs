//! Which workers keep what a key's requests need.

use crate::api::{Nanos, SECOND};
use crate::state::WorkerIndex;
use rustc_hash::FxHashMap;

/// A key counts as kept by a worker to which it was sent within this time.
const KEPT_FOR: Nanos = 20 * SECOND;

/// What a fetch costs before it is measured, in jobs.
const DEFAULT_FETCH_COST: f64 = 2.0;

/// The most that a fetch is taken to cost, in jobs.
const MAX_FETCH_COST: f64 = 8.0;

/// Entries beyond this number are cleared of old ones.
const MAX_ENTRIES: usize = 20_000;

/// The weight of a new sample in the mean times.
const SAMPLE_WEIGHT: f64 = 0.02;

/// A key at a worker.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Placement {
    key: u64,
    worker: WorkerIndex,
}

/// When keys were last sent to workers, and what it costs to move a key.
#[derive(Default)]
pub(super) struct AffinityTable {
    sent_at: FxHashMap<Placement, Nanos>,
    /// The mean time of attempts sent where their key was kept, in nanoseconds; 0 while unknown.
    mean_time_kept: f64,
    /// The same for attempts sent where it was not.
    mean_time_fetched: f64,
}

impl AffinityTable {
    /// Whether a worker keeps a key.
    pub(super) fn is_kept(&self, key: u64, worker: WorkerIndex, now: Nanos) -> bool {
        self.sent_at.get(&Placement { key, worker }).is_some_and(|sent_at| now < sent_at + KEPT_FOR)
    }

    /// Records that a key was sent to a worker.
    pub(super) fn record_send(&mut self, key: u64, worker: WorkerIndex, now: Nanos) {
        if self.sent_at.len() > MAX_ENTRIES {
            self.sent_at.retain(|_, sent_at| now < *sent_at + KEPT_FOR);
        }
        self.sent_at.insert(Placement { key, worker }, now);
    }

    /// Takes the time from send to answer of a served attempt with a key.
    pub(super) fn record_time(&mut self, elapsed: Nanos, was_fetched: bool) {
        let mean = if was_fetched { &mut self.mean_time_fetched } else { &mut self.mean_time_kept };
        let sample_weight = if *mean == 0.0 { 1.0 } else { SAMPLE_WEIGHT };
        *mean += (elapsed as f64 - *mean) * sample_weight;
    }

    /// What fetching a key delays, in jobs. It is measured, so keys that cost nothing to move, move
    /// freely.
    pub(super) fn fetch_cost(&self) -> f64 {
        if self.mean_time_kept == 0.0 || self.mean_time_fetched == 0.0 {
            return DEFAULT_FETCH_COST;
        }
        (self.mean_time_fetched / self.mean_time_kept - 1.0).clamp(0.0, MAX_FETCH_COST)
    }
}
