//! The state of a worker, from the endpoint list, its load reports and this dispatcher's own
//! attempts.

use crate::api::{Endpoint, Limits, LoadReport, Nanos, SafetyRules, WorkerId, WorkerState};
use spanlead_expander_walk::{CyclePositions, cycle_positions};
use std::sync::Arc;

/// A worker that the endpoint list has named.
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) cycle_positions: CyclePositions,
    pub(crate) state: WorkerState,
    pub(crate) started_at: Option<Nanos>,
    pub(crate) machine_kind: u32,
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    pub(crate) weight: f64,
    pub(crate) own_load: OwnLoad,
    pub(crate) connections: Connections,
    pub(crate) reported: ReportedLoad,
    pub(crate) probe: ProbeState,
    pub(crate) health: Health,
    pub(crate) budget: SlowStartBudget,
}

/// The load of this dispatcher's own attempts in flight at a worker.
#[derive(Default)]
pub(crate) struct OwnLoad {
    /// Slots occupied by attempts in flight.
    pub(crate) slots: f64,
    /// The own slots that a report of typical age shows at the time `smoothed_at`.
    smoothed_slots: f64,
    smoothed_at: Nanos,
    /// Attempts that were sent and have not started yet.
    pub(crate) queued: u32,
    /// The queued attempts that had the top priority.
    pub(crate) queued_top_priority: u32,
}

impl OwnLoad {
    /// Returns the own slots that a report of this age (in nanoseconds) does not show yet; negative
    /// if it still shows slots that are already free again.
    pub(crate) fn unreported_slots(&self, now: Nanos, report_age: f64) -> f64 {
        (self.slots - self.smoothed_slots) * (-((now - self.smoothed_at) as f64) / report_age).exp()
    }

    /// Adds occupied slots; a negative number frees slots. `report_age` is in nanoseconds.
    pub(crate) fn add_slots(&mut self, now: Nanos, slots: f64, report_age: f64) {
        self.smoothed_slots = self.slots - self.unreported_slots(now, report_age);
        self.smoothed_at = now;
        self.slots = (self.slots + slots).max(0.0);
    }

    /// Adds an attempt to the count of queued attempts.
    pub(crate) fn enqueue(&mut self, is_top_priority: bool) {
        self.queued += 1;
        self.queued_top_priority += u32::from(is_top_priority);
    }

    /// Removes an attempt from the count of queued attempts.
    pub(crate) fn dequeue(&mut self, is_top_priority: bool) {
        self.queued = self.queued.saturating_sub(1);
        self.queued_top_priority = self.queued_top_priority.saturating_sub(u32::from(is_top_priority));
    }
}

/// This dispatcher's connections to a worker.
#[derive(Default)]
pub(crate) struct Connections {
    /// Connections whose attempt has ended and that may still be open.
    idle: u32,
    /// The time at which a connection was last used.
    pub(crate) last_used_at: Nanos,
}

impl Connections {
    /// Returns whether an idle connection is open.
    pub(crate) fn has_idle(&self, limits: &Limits, now: Nanos) -> bool {
        self.idle > 0 && now <= self.last_used_at + limits.idle_connection_timeout
    }

    /// Records that an attempt takes a connection: an idle one if there is one, else a new one.
    pub(crate) fn take(&mut self, limits: &Limits, now: Nanos) {
        if now > self.last_used_at + limits.idle_connection_timeout {
            self.idle = 0;
        }
        self.idle = self.idle.saturating_sub(1);
        self.last_used_at = now;
    }

    /// Records that an attempt ended and left its connection open.
    pub(crate) fn release(&mut self, now: Nanos) {
        self.idle += 1;
        self.last_used_at = now;
    }

    /// Records that all connections are closed.
    fn reset(&mut self) {
        self.idle = 0;
    }
}

/// The load that a worker reported.
#[derive(Default)]
pub(crate) struct ReportedLoad {
    /// The last report.
    pub(crate) last: LoadReport,
    /// The time of the last report; `None` if the worker has not reported since it started.
    pub(crate) received_at: Option<Nanos>,
    /// The most free slots reported since the worker started: the worker's total number of slots if
    /// it has been idle in that time.
    pub(crate) max_free_slots: f64,
    /// The most free memory reported since the worker started; `None` if it was not reported.
    pub(crate) max_free_memory: Option<f64>,
    /// The time at which the report last changed.
    changed_at: Nanos,
    /// The number of identical reports since `changed_at`.
    repeats: u32,
}

impl ReportedLoad {
    /// Records a report. If it differs from the previous one and that one was repeated, returns the
    /// time for which the previous one was current, in nanoseconds: the interval at which the
    /// worker renews its report.
    pub(crate) fn record(&mut self, now: Nanos, report: LoadReport) -> Option<f64> {
        let mut repeated_for = None;
        if report == self.last {
            self.repeats += 1;
        } else {
            if self.repeats > 0 {
                repeated_for = Some((now - self.changed_at) as f64);
            }
            self.repeats = 0;
            self.changed_at = now;
        }
        self.last = report;
        self.max_free_slots = self.max_free_slots.max(report.free_slots.unwrap_or(0.0));
        if let Some(free) = report.free_memory {
            self.max_free_memory = Some(self.max_free_memory.map_or(free, |max| max.max(free)));
        }
        self.received_at = Some(now);
        repeated_for
    }

    /// Clears the values that are not valid for a restarted worker.
    fn reset(&mut self) {
        self.received_at = None;
        self.max_free_memory = None;
        self.max_free_slots = 0.0;
    }
}

/// The state of the probes of a worker.
#[derive(Default)]
pub(crate) struct ProbeState {
    pub(crate) is_in_flight: bool,
    pub(crate) succeeded_at: Option<Nanos>,
}

/// The health of a worker, which decides whether it is avoided.
#[derive(Default)]
pub(crate) struct Health {
    /// The time until which the worker counts as full, because it rejected an attempt.
    pub(crate) full_until: Nanos,
    /// The number of consecutive rejections.
    pub(crate) rejections: u32,
    /// The running mean of the logarithm of the worker's running times relative to the typical ones
    /// of their classes; positive for a worker that is slower than the others.
    pub(crate) slowness: f64,
    /// The number of samples in `slowness`.
    pub(crate) slowness_samples: f64,
    /// The number of recent failures.
    pub(crate) failures: u32,
    pub(crate) last_failure_at: Nanos,
    /// The time until which the worker is ejected.
    pub(crate) ejected_until: Nanos,
}

impl Health {
    /// Returns whether the worker is ejected.
    pub(crate) fn is_ejected(&self, now: Nanos) -> bool {
        self.ejected_until > now
    }

    /// Returns whether the worker counts as full or is ejected.
    pub(crate) fn is_avoided(&self, now: Nanos) -> bool {
        self.full_until > now || self.is_ejected(now)
    }

    /// Clears the values that are not valid for a restarted worker.
    fn reset(&mut self) {
        self.ejected_until = 0;
        self.failures = 0;
    }
}

/// The budget of what this dispatcher may send to a worker in slow start.
#[derive(Default)]
pub(crate) struct SlowStartBudget {
    /// The end of the current budget window.
    pub(crate) window_end: Nanos,
    /// The slots that may still be sent in the window; negative after overspending.
    pub(crate) slots_left: f64,
}

impl SlowStartBudget {
    fn has_room(&self, now: Nanos) -> bool {
        now < self.window_end && self.slots_left > 0.0
    }
}

impl Worker {
    /// Creates a removed worker of weight 1; the caller then sets its state, start time and weight
    /// from the endpoint entry.
    pub(crate) fn new(id: Arc<str>, endpoint: &Endpoint<'_>) -> Self {
        Worker {
            cycle_positions: cycle_positions(id.as_bytes()),
            id: WorkerId(id),
            state: WorkerState::Removed,
            started_at: None,
            machine_kind: endpoint.machine_kind,
            zone: endpoint.zone,
            cell: endpoint.cell,
            weight: 1.0,
            own_load: OwnLoad::default(),
            connections: Connections::default(),
            reported: ReportedLoad::default(),
            probe: ProbeState::default(),
            health: Health::default(),
            budget: SlowStartBudget::default(),
        }
    }

    /// Returns whether the worker is ready according to the endpoint list.
    pub(crate) fn is_ready(&self) -> bool {
        self.state == WorkerState::Ready
    }

    /// Handles a restart under the same id. Clears the ejection, the failures, the connections, the
    /// maximum free slots and memory, and the budget, which do not hold for the new process. Keeps
    /// the last report, the slowness and the state after rejections.
    pub(crate) fn restart(&mut self, started_at: Option<Nanos>) {
        self.started_at = started_at;
        self.health.reset();
        self.connections.reset();
        self.reported.reset();
        self.budget = SlowStartBudget::default();
    }

    /// Returns the fraction of its capacity that the worker has reached at least. It grows linearly
    /// over the slow start.
    pub(crate) fn capacity_fraction(&self, rules: &SafetyRules, now: Nanos) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let elapsed = (now - started_at.min(now)) as f64 / rules.slow_start_duration.max(1) as f64;
        let initial = rules.slow_start_initial_fraction;
        (initial + (1.0 - initial) * elapsed).min(1.0)
    }

    /// Returns whether the worker has its full capacity.
    pub(crate) fn is_warm(&self, rules: &SafetyRules, now: Nanos) -> bool {
        self.capacity_fraction(rules, now) >= 1.0
    }

    /// Returns whether the worker is warm or its slow-start budget allows another attempt now.
    pub(crate) fn is_within_budget(&self, rules: &SafetyRules, now: Nanos) -> bool {
        self.is_warm(rules, now) || self.budget.has_room(now)
    }
}
