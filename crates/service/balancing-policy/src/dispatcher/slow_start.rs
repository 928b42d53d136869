//! How much a worker in slow start may get.
//!
//! A worker that just started looks idle to every dispatcher at once, and together they would
//! overload it. So each dispatcher keeps to its own share of what such a worker can do, granted
//! window by window.

use crate::api::{Nanos, SafetyRules};
use crate::state::Worker;
use rand_pcg::Pcg64Mcg;
use spanlead_expander_walk::uniform_unit;

/// As a worker warms up, it is given up to this fraction of the work that overloads it: when jobs
/// are few, chance brings twice as many.
const OVERLOAD_MARGIN: f64 = 2.0;

/// All dispatchers together grant a worker at least this many slots in a window: of a fleet that
/// has just started whole, nobody would ever learn how long jobs run.
const MIN_SLOTS_PER_WINDOW: f64 = 1.0;

/// What a dispatcher grants to workers in slow start.
#[derive(Clone, Copy)]
pub(super) struct SlowStartShare {
    /// Slots that a warm worker of weight 1 serves in a budget window, 0 while unknown.
    pub(super) slots_per_window: f64,
    /// The fraction of them that this dispatcher may grant: one of equal fractions, so that all add
    /// up whatever each dispatcher sees of the traffic.
    pub(super) own_fraction: f64,
    /// The mean weight of the ready workers.
    pub(super) mean_weight: f64,
}

impl SlowStartShare {
    /// Grants the worker a budget for a new window, if the last one is over.
    ///
    /// A fraction of a slot is granted by chance. A job of several slots goes into debt with
    /// windows to come.
    pub(super) fn renew_budget(
        &self,
        worker: &mut Worker,
        rules: &SafetyRules,
        rng: &mut Pcg64Mcg,
        now: Nanos,
    ) {
        if now < worker.budget.window_end {
            return;
        }
        let fair_slots = self.fair_slots(worker, rules, now);
        let extra_slot = uniform_unit(rng) < fair_slots.fract();
        let granted = fair_slots.floor() + f64::from(u8::from(extra_slot));
        worker.budget.slots_left = worker.budget.slots_left.min(0.0) + granted;
        worker.budget.window_end = now + rules.overload_window;
    }

    /// The slots in a window that are this dispatcher's share.
    ///
    /// A weight that falls with load would make the worker look large, so it counts for the mean at
    /// most.
    fn fair_slots(&self, worker: &Worker, rules: &SafetyRules, now: Nanos) -> f64 {
        let capacity = worker.capacity_fraction(rules, now);
        let headroom = 1.0 + (rules.overload_multiple / OVERLOAD_MARGIN - 1.0).max(0.0) * capacity;
        let weight = worker.weight.min(self.mean_weight);
        let slots = headroom * capacity * self.slots_per_window * weight;
        self.own_fraction * slots.max(MIN_SLOTS_PER_WINDOW)
    }
}
