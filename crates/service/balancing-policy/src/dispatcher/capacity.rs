//! What a warm worker can do, as the measure for workers in slow start.

use crate::api::{MILLISECOND, NANOS_PER_SECOND, Nanos, Settings};
use crate::state::{Fleet, Rate, Worker};

/// How often the fleet's workers are counted.
const COUNT_INTERVAL: Nanos = 500 * MILLISECOND;

/// The weight of a new sample in the mean running time.
const RUN_TIME_SAMPLE_WEIGHT: f64 = 0.02;

/// Keeps a division by a mean weight of 0 finite.
const MIN_MEAN_WEIGHT: f64 = 1e-3;

/// What a warm worker can do.
pub(super) struct CapacityEstimate {
    /// Slots of this dispatcher that warm workers serve.
    serve_rate: Rate,
    /// Workers that this dispatcher looks at.
    pub(super) looks: Rate,
    /// How long served attempts run in the mean, in nanoseconds; infinite while unknown.
    mean_run_time: f64,
    /// The slots of a worker, by those that reported; 0 while unknown.
    slots_per_worker: f64,
    /// Slots a second that this dispatcher's traffic brought a warm worker of weight 1; 0 while
    /// unknown.
    own_rate_per_weight: f64,
    /// When the workers were last counted; 0 asks for a count.
    counted_at: Nanos,
}

impl Default for CapacityEstimate {
    fn default() -> Self {
        CapacityEstimate {
            serve_rate: Rate::default(),
            looks: Rate::default(),
            mean_run_time: f64::INFINITY,
            slots_per_worker: 0.0,
            own_rate_per_weight: 0.0,
            counted_at: 0,
        }
    }
}

impl CapacityEstimate {
    /// Asks for a new count, the endpoint list having changed.
    pub(super) fn invalidate(&mut self) {
        self.counted_at = 0;
    }

    /// Counts slots that a warm worker served. Workers in slow start do not count: what they get
    /// goes by this estimate, and it would sink with them.
    pub(super) fn record_served(&mut self, now: Nanos, slots: f64) {
        self.serve_rate.add(now, slots);
    }

    /// Takes the running time of a served attempt.
    pub(super) fn record_run_time(&mut self, run_time: Nanos) {
        let mean = self.mean_run_time;
        let sample = run_time as f64;
        self.mean_run_time = if mean.is_finite() {
            (1.0 - RUN_TIME_SAMPLE_WEIGHT) * mean + RUN_TIME_SAMPLE_WEIGHT * sample
        } else {
            sample
        };
    }

    /// Counts the fleet's workers if that was not done recently.
    pub(super) fn count_workers(&mut self, now: Nanos, fleet: &Fleet, settings: &Settings) {
        if now < self.counted_at + COUNT_INTERVAL {
            return;
        }
        self.count_warm_weight(now, fleet, settings);
        self.count_slots(fleet);
        self.counted_at = now;
    }

    fn count_warm_weight(&mut self, now: Nanos, fleet: &Fleet, settings: &Settings) {
        let is_warm = |worker: &&Worker| worker.is_warm(&settings.rules, now);
        let warm_weight: f64 = fleet.ready_workers().filter(is_warm).map(|worker| worker.weight).sum();
        if warm_weight > 0.0 {
            self.own_rate_per_weight = self.serve_rate.per_second(now) / warm_weight;
        }
    }

    fn count_slots(&mut self, fleet: &Fleet) {
        let mut workers = 0.0;
        let mut slots = 0.0;
        for worker in fleet.ready_workers() {
            if worker.reported.max_free_slots > 0.0 {
                workers += 1.0;
                slots += worker.reported.max_free_slots;
            }
        }
        // Workers that just started have not reported yet.
        if workers > 0.0 {
            self.slots_per_worker = slots / workers;
        }
    }

    /// The slots that a warm worker of weight 1 serves in a budget window, as far as that is known.
    ///
    /// It goes by the slots of a worker. Where they are unknown, it is what the worker would serve
    /// if all dispatchers had the traffic of this one; with one slot while there was no warm
    /// worker.
    pub(super) fn slots_per_window(&self, window_seconds: f64, mean_weight: f64, instances: f64) -> f64 {
        let uses_slots = self.slots_per_worker > 0.0 || self.own_rate_per_weight == 0.0;
        let slots_per_second = if uses_slots {
            self.slots_per_worker.max(1.0) * NANOS_PER_SECOND
                / self.mean_run_time.max(1.0)
                / mean_weight.max(MIN_MEAN_WEIGHT)
        } else {
            self.own_rate_per_weight * instances
        };
        window_seconds * slots_per_second
    }
}
