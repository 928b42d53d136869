//! What is known of a worker: from the list, from its reports, from this dispatcher's own jobs. Nothing is decided here.
use crate::api::{Entry, Limits, Nanos, Report, Rules, WorkerId, WorkerState};
use spanlead_expander_walk::Places;
use std::sync::Arc;

/// A worker that the list has named.
pub(crate) struct Worker {
    pub id: WorkerId,
    pub hash: Places,
    pub state: WorkerState,
    pub started: Option<Nanos>,
    pub kind: u32,
    pub zone: u32,
    pub cell: u32,
    pub weight: f64,
    /// Own slots and memory units in flight.
    pub own: f64,
    /// Connections that finished their attempt and may still be open, and when one was last used.
    pub idle_conns: u32,
    pub used_at: Nanos,
    /// The last report with its time.
    pub report: Report,
    pub report_at: Option<Nanos>,
    /// The most slots that it has been seen with free since it started: all that it has, once it was idle.
    pub most_slots: f64,
    /// The most memory that it has been seen with free since it started; `None` if it was not heard of.
    pub most_memory: Option<f64>,
    /// When the report last changed, and how often it has come again since.
    pub changed_at: Nanos,
    pub repeats: u32,
    /// Own slots in flight as an old report may have seen them: a smoothed count and its time.
    pub smooth: f64,
    pub smooth_at: Nanos,
    /// Own attempts sent that have not started yet: all, and those of the top priority.
    pub waiting: u32,
    pub waiting_top: u32,
    /// A probe is out since.
    pub probe_out: Option<Nanos>,
    pub probe_ok_at: Option<Nanos>,
    /// It turned a job away; it counts as full until then.
    pub full_until: Nanos,
    /// Times in a row that it did so.
    pub fulls: u32,
    /// Log of its lag relative to its class, and how many samples stand behind that.
    pub slow: f64,
    pub samples: f64,
    pub strikes: u32,
    pub ejected_until: Nanos,
    pub struck_at: Nanos,
    /// While it is cold: the end of the present budget window and the slots that may still be sent in it.
    pub window_end: Nanos,
    pub window_left: f64,
}

impl Worker {
    /// One that was just named; its state and start are still to be taken from the list.
    pub fn new(id: Arc<str>, entry: &Entry<'_>) -> Self {
        Worker {
            hash: spanlead_expander_walk::places(id.as_bytes()),
            id: WorkerId(id),
            state: WorkerState::Gone,
            started: None,
            kind: entry.kind,
            zone: entry.zone,
            cell: entry.cell,
            weight: 1.0,
            own: 0.0,
            idle_conns: 0,
            used_at: 0,
            report: Report::default(),
            report_at: None,
            most_memory: None,
            most_slots: 0.0,
            changed_at: 0,
            repeats: 0,
            smooth: 0.0,
            smooth_at: 0,
            waiting: 0,
            waiting_top: 0,
            probe_out: None,
            probe_ok_at: None,
            full_until: 0,
            fulls: 0,
            slow: 0.0,
            samples: 0.0,
            strikes: 0,
            ejected_until: 0,
            struck_at: 0,
            window_end: 0,
            window_left: 0.0,
        }
    }

    /// A connection is open and free.
    pub fn connected(&self, limits: &Limits, now: Nanos) -> bool {
        self.idle_conns > 0 && now <= self.used_at + limits.conn_idle
    }

    /// It turned a job away a while ago, or failed at one.
    pub fn avoided(&self, now: Nanos) -> bool {
        self.full_until > now || self.ejected_until > now
    }

    /// The part of its capacity that it surely has by now.
    pub fn ramp(&self, rules: &Rules, now: Nanos) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let part = (now - started.min(now)) as f64 / rules.cold.max(1) as f64;
        (rules.cold_from + (1.0 - rules.cold_from) * part).min(1.0)
    }

    /// Whether the budget of its slow start lets it have another job now.
    pub fn within_budget(&self, rules: &Rules, now: Nanos) -> bool {
        self.ramp(rules, now) >= 1.0 || now < self.window_end && self.window_left > 0.0
    }

    /// Own slots that a report does not show yet, or still shows though they are back.
    pub fn recent(&self, now: Nanos, span: f64) -> f64 {
        (self.own - self.smooth) * (-((now - self.smooth_at) as f64) / span).exp()
    }

    pub fn add_own(&mut self, now: Nanos, slots: f64, span: f64) {
        self.smooth = self.own - self.recent(now, span);
        self.smooth_at = now;
        self.own = (self.own + slots).max(0.0);
    }
}
