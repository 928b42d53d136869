//! The budgets of workers in slow start.
//!
//! A worker that just started looks idle to all dispatchers at the same time, and together they
//! would overload it. Each dispatcher therefore limits itself to its share of what such a worker
//! can serve, granted as a budget for each window of time.

use crate::api::{Nanos, SafetyRules};
use crate::state::Worker;
use rand_pcg::Pcg64Mcg;
use spanlead_expander_walk::uniform_unit;

/// As a worker warms up, its budget rises to the work that overloads it divided by this margin:
/// with few jobs, random variation can double their number.
const OVERLOAD_MARGIN: f64 = 2.0;

/// The least number of slots that all dispatchers together grant a worker in a window. Without it,
/// no dispatcher would ever learn the running time of jobs in a fleet whose workers have all just
/// started.
const MIN_SLOTS_PER_WINDOW: f64 = 1.0;

/// A dispatcher's share of the workers in slow start.
#[derive(Clone, Copy)]
pub(super) struct SlowStartShare {
    /// The slots that a warm worker of weight 1 serves in a budget window; 0 while unknown.
    pub(super) slots_per_window: f64,
    /// The fraction of those slots that this dispatcher may use. It is based on equal fractions for
    /// all dispatchers, so that their sum is right however the traffic is divided among them.
    pub(super) own_fraction: f64,
    /// The sum of all ready workers' weights divided by the number of workers in the job's graph:
    /// the mean weight of the ready workers, if the graph is that of all machine kinds.
    pub(super) mean_weight: f64,
}

impl SlowStartShare {
    /// Grants the worker a budget for a new window if the last window has ended.
    ///
    /// A fraction of a slot is granted as a whole slot with that probability. A job of several
    /// slots can overspend the budget; the debt is deducted from the following windows.
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

    /// Returns the slots in a window that are this dispatcher's share.
    ///
    /// The worker's weight is limited to the mean weight: if weights fall with load, that of an
    /// idle worker would overstate its capacity.
    fn fair_slots(&self, worker: &Worker, rules: &SafetyRules, now: Nanos) -> f64 {
        let capacity = worker.capacity_fraction(rules, now);
        let headroom = 1.0 + (rules.overload_multiple / OVERLOAD_MARGIN - 1.0).max(0.0) * capacity;
        let weight = worker.weight.min(self.mean_weight);
        let slots = headroom * capacity * self.slots_per_window * weight;
        self.own_fraction * slots.max(MIN_SLOTS_PER_WINDOW)
    }
}
