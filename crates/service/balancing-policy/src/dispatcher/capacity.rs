//! Estimate of the capacity of a warm worker, on which the budgets of workers in slow start are
//! based.

use crate::api::{MILLISECOND, NANOS_PER_SECOND, Nanos, Settings};
use crate::state::{Fleet, Rate, Worker};

/// The interval at which the workers' weights and slots are summed up anew.
const UPDATE_INTERVAL: Nanos = 500 * MILLISECOND;

/// The weight of a new sample in the mean running time.
const RUN_TIME_SAMPLE_WEIGHT: f64 = 0.02;

/// The lower bound of the mean weight, which prevents a division by 0.
const MIN_MEAN_WEIGHT: f64 = 1e-3;

/// Estimate of the capacity of a warm worker.
pub(super) struct CapacityEstimate {
    /// The rate of this dispatcher's slots that warm workers serve.
    serve_rate: Rate,
    /// The rate at which this dispatcher examines workers in the search for candidates.
    pub(super) examined_rate: Rate,
    /// The mean running time of served attempts, in nanoseconds; infinite while unknown.
    mean_run_time: f64,
    /// The mean number of slots of the workers that reported free slots; 0 while unknown.
    slots_per_worker: f64,
    /// The rate of this dispatcher's slots that a warm worker of weight 1 serves, per second; 0
    /// while unknown.
    own_rate_per_weight: f64,
    /// The time of the last update from the fleet; 0 if an update is due.
    updated_at: Nanos,
}

impl Default for CapacityEstimate {
    fn default() -> Self {
        CapacityEstimate {
            serve_rate: Rate::default(),
            examined_rate: Rate::default(),
            mean_run_time: f64::INFINITY,
            slots_per_worker: 0.0,
            own_rate_per_weight: 0.0,
            updated_at: 0,
        }
    }
}

impl CapacityEstimate {
    /// Makes the next [`Self::update_from_fleet`] update the estimate, because the endpoint list
    /// changed.
    pub(super) fn invalidate(&mut self) {
        self.updated_at = 0;
    }

    /// Counts slots that a warm worker served. Those of workers in slow start must not be counted:
    /// their budgets depend on this estimate, so it would fall with them.
    pub(super) fn record_served(&mut self, now: Nanos, slots: f64) {
        self.serve_rate.add(now, slots);
    }

    /// Records the running time of a served attempt, in nanoseconds.
    pub(super) fn record_run_time(&mut self, run_time: Nanos) {
        let mean = self.mean_run_time;
        let sample = run_time as f64;
        self.mean_run_time = if mean.is_finite() {
            (1.0 - RUN_TIME_SAMPLE_WEIGHT) * mean + RUN_TIME_SAMPLE_WEIGHT * sample
        } else {
            sample
        };
    }

    /// Updates the estimate from the fleet unless that was done within `UPDATE_INTERVAL`.
    pub(super) fn update_from_fleet(&mut self, now: Nanos, fleet: &Fleet, settings: &Settings) {
        if now < self.updated_at + UPDATE_INTERVAL {
            return;
        }
        self.update_own_rate(now, fleet, settings);
        self.update_slots_per_worker(fleet);
        self.updated_at = now;
    }

    fn update_own_rate(&mut self, now: Nanos, fleet: &Fleet, settings: &Settings) {
        let is_warm = |worker: &&Worker| worker.is_warm(&settings.rules, now);
        let warm_weight: f64 = fleet.ready_workers().filter(is_warm).map(|worker| worker.weight).sum();
        if warm_weight > 0.0 {
            self.own_rate_per_weight = self.serve_rate.per_second(now) / warm_weight;
        }
    }

    fn update_slots_per_worker(&mut self, fleet: &Fleet) {
        let mut workers = 0.0;
        let mut slots = 0.0;
        for worker in fleet.ready_workers() {
            if worker.reported.max_free_slots > 0.0 {
                workers += 1.0;
                slots += worker.reported.max_free_slots;
            }
        }
        // Keeps the last estimate if no worker has reported since its start.
        if workers > 0.0 {
            self.slots_per_worker = slots / workers;
        }
    }

    /// Estimates the slots that a warm worker of weight 1 serves in a budget window; 0 while no
    /// running time is known and the estimate depends on it.
    ///
    /// The estimate is based on the mean number of slots of a worker. While that is unknown, it is
    /// based on the rate at which warm workers serve this dispatcher's slots, as if all dispatchers
    /// had the same traffic. While that is unknown too, a worker is assumed to have one slot.
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
