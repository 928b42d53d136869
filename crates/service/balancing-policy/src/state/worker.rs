//! What is known of a worker: from the endpoint list, from its reports, from this dispatcher's own
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

/// This dispatcher's own attempts in flight at a worker.
#[derive(Default)]
pub(crate) struct OwnLoad {
    /// Slots in flight.
    pub(crate) slots: f64,
    /// Slots in flight as a report of typical age may have seen them, and when that was computed.
    smoothed_slots: f64,
    smoothed_at: Nanos,
    /// Attempts sent that have not started yet.
    pub(crate) queued: u32,
    /// Those of them that had the top priority.
    pub(crate) queued_top_priority: u32,
}

impl OwnLoad {
    /// Own slots that a report of this age (in nanoseconds) does not show yet; negative for slots
    /// that it still shows though they are free again.
    pub(crate) fn unreported_slots(&self, now: Nanos, report_age: f64) -> f64 {
        (self.slots - self.smoothed_slots) * (-((now - self.smoothed_at) as f64) / report_age).exp()
    }

    /// Counts slots as taken, or as free again if they are negative.
    pub(crate) fn add_slots(&mut self, now: Nanos, slots: f64, report_age: f64) {
        self.smoothed_slots = self.slots - self.unreported_slots(now, report_age);
        self.smoothed_at = now;
        self.slots = (self.slots + slots).max(0.0);
    }

    /// Counts an attempt into the worker's queue.
    pub(crate) fn enqueue(&mut self, is_top_priority: bool) {
        self.queued += 1;
        self.queued_top_priority += u32::from(is_top_priority);
    }

    /// Counts an attempt out of the worker's queue.
    pub(crate) fn dequeue(&mut self, is_top_priority: bool) {
        self.queued = self.queued.saturating_sub(1);
        self.queued_top_priority = self.queued_top_priority.saturating_sub(u32::from(is_top_priority));
    }
}

/// This dispatcher's connections to a worker.
#[derive(Default)]
pub(crate) struct Connections {
    /// Connections that finished their attempt and may still be open.
    idle: u32,
    /// When one was last used.
    pub(crate) last_used_at: Nanos,
}

impl Connections {
    /// Whether a connection is open and free.
    pub(crate) fn has_idle(&self, limits: &Limits, now: Nanos) -> bool {
        self.idle > 0 && now <= self.last_used_at + limits.idle_connection_timeout
    }

    /// An attempt takes a connection: an idle one if there is one, else a new one.
    pub(crate) fn take(&mut self, limits: &Limits, now: Nanos) {
        if now > self.last_used_at + limits.idle_connection_timeout {
            self.idle = 0;
        }
        self.idle = self.idle.saturating_sub(1);
        self.last_used_at = now;
    }

    /// An attempt ended and left its connection open.
    pub(crate) fn release(&mut self, now: Nanos) {
        self.idle += 1;
        self.last_used_at = now;
    }

    /// All connections are closed.
    fn reset(&mut self) {
        self.idle = 0;
    }
}

/// What a worker reported of its load.
#[derive(Default)]
pub(crate) struct ReportedLoad {
    /// The last report.
    pub(crate) last: LoadReport,
    /// When it came; `None` if the worker has not reported since it started.
    pub(crate) received_at: Option<Nanos>,
    /// The most free slots reported since the worker started: all that it has, once it was idle.
    pub(crate) max_free_slots: f64,
    /// The most free memory reported since the worker started; `None` if it was not reported.
    pub(crate) max_free_memory: Option<f64>,
    /// When the report last changed, and how often it has come again since.
    changed_at: Nanos,
    repeats: u32,
}

impl ReportedLoad {
    /// Takes a report. Returns for how long the one before it was repeated, in nanoseconds, if it
    /// was: that tells how long the worker keeps a report.
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

    /// Forgets what does not hold for a new process of the worker.
    fn reset(&mut self) {
        self.received_at = None;
        self.max_free_memory = None;
        self.max_free_slots = 0.0;
    }
}

/// Probes of a worker.
#[derive(Default)]
pub(crate) struct ProbeState {
    pub(crate) is_in_flight: bool,
    pub(crate) succeeded_at: Option<Nanos>,
}

/// Whether a worker is left alone, and why.
#[derive(Default)]
pub(crate) struct Health {
    /// It rejected an attempt and counts as full until then.
    pub(crate) full_until: Nanos,
    /// Rejections in a row.
    pub(crate) rejections: u32,
    /// How much slower than the others it runs: the logarithm of its running time relative to its
    /// class.
    pub(crate) slowness: f64,
    /// The number of samples that it is based on.
    pub(crate) slowness_samples: f64,
    /// Recent failures.
    pub(crate) failures: u32,
    pub(crate) last_failure_at: Nanos,
    /// It is ejected until then.
    pub(crate) ejected_until: Nanos,
}

impl Health {
    /// Whether it is ejected.
    pub(crate) fn is_ejected(&self, now: Nanos) -> bool {
        self.ejected_until > now
    }

    /// Whether it rejected an attempt or was ejected a short while ago.
    pub(crate) fn is_avoided(&self, now: Nanos) -> bool {
        self.full_until > now || self.is_ejected(now)
    }

    /// Forgets what does not hold for a new process of the worker.
    fn reset(&mut self) {
        self.ejected_until = 0;
        self.failures = 0;
    }
}

/// What may be sent to a worker in slow start.
#[derive(Default)]
pub(crate) struct SlowStartBudget {
    /// The end of the present budget window.
    pub(crate) window_end: Nanos,
    /// Slots that may still be sent in it; negative for a debt.
    pub(crate) slots_left: f64,
}

impl SlowStartBudget {
    fn has_room(&self, now: Nanos) -> bool {
        now < self.window_end && self.slots_left > 0.0
    }
}

impl Worker {
    /// A worker that was just named; its state and start are still to be taken from the endpoint
    /// list.
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

    /// Whether the endpoint list has it as ready.
    pub(crate) fn is_ready(&self) -> bool {
        self.state == WorkerState::Ready
    }

    /// Takes a restart under the same id: what was learned was of the process before.
    pub(crate) fn restart(&mut self, started_at: Option<Nanos>) {
        self.started_at = started_at;
        self.health.reset();
        self.connections.reset();
        self.reported.reset();
        self.budget = SlowStartBudget::default();
    }

    /// The fraction of its capacity that it surely has by now: it grows linearly over the slow
    /// start.
    pub(crate) fn capacity_fraction(&self, rules: &SafetyRules, now: Nanos) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let elapsed = (now - started_at.min(now)) as f64 / rules.slow_start_duration.max(1) as f64;
        let initial = rules.slow_start_initial_fraction;
        (initial + (1.0 - initial) * elapsed).min(1.0)
    }

    /// Whether it has its full capacity.
    pub(crate) fn is_warm(&self, rules: &SafetyRules, now: Nanos) -> bool {
        self.capacity_fraction(rules, now) >= 1.0
    }

    /// Whether the budget of its slow start allows another attempt now.
    pub(crate) fn is_within_budget(&self, rules: &SafetyRules, now: Nanos) -> bool {
        self.is_warm(rules, now) || self.budget.has_room(now)
    }
}
