//! What was done to the processes, and when: it decides whether an observation may be judged.
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Something that was done to a process or a worker.
#[derive(Clone, Debug)]
struct Disturbance {
    from: Instant,
    until: Instant,
    /// The machine; `None` for a worker.
    machine: Option<usize>,
    is_planned: bool,
}

/// All disturbances so far. Clones share them.
#[derive(Clone, Debug)]
pub(super) struct Disturbances {
    log: Arc<Mutex<Vec<Disturbance>>>,
    /// The time after a disturbance for which a machine does not count as in touch.
    contact_timeout: Duration,
}

impl Disturbances {
    pub(super) fn new(contact_timeout: Duration) -> Self {
        Disturbances { log: Arc::default(), contact_timeout }
    }

    /// Records planned work at a machine: a SIGTERM, and the end and the start that follow it.
    pub(super) fn record_planned(&self, machine: usize) {
        self.record(Some(machine), true, Instant::now());
    }

    /// Records a crash or a pause of a machine or, without one, of a worker.
    pub(super) fn record_unplanned(&self, machine: Option<usize>) {
        self.record(machine, false, Instant::now());
    }

    /// Records a fault that lasts until a moment.
    pub(super) fn record_unplanned_until(&self, machine: Option<usize>, until: Instant) {
        self.record(machine, false, until);
    }

    fn record(&self, machine: Option<usize>, is_planned: bool, until: Instant) {
        let disturbance = Disturbance { from: Instant::now(), until, machine, is_planned };
        self.log.lock().unwrap_or_else(PoisonError::into_inner).push(disturbance);
    }

    /// Whether nothing unplanned happened from the contact time-out before `from` until `until`.
    pub(super) fn is_free_of_crashes(&self, from: Instant, until: Instant) -> bool {
        !self.any(from, until, |disturbance| !disturbance.is_planned)
    }

    /// Whether nothing at all happened to these machines, and nothing unplanned anywhere, from
    /// the contact time-out before `from` until `until`.
    pub(super) fn is_calm(&self, machines: &[usize], from: Instant, until: Instant) -> bool {
        let concerns = |disturbance: &Disturbance| {
            !disturbance.is_planned || disturbance.machine.is_some_and(|machine| machines.contains(&machine))
        };
        !self.any(from, until, concerns)
    }

    fn any(&self, from: Instant, until: Instant, concerns: impl Fn(&Disturbance) -> bool) -> bool {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let is_near = |disturbance: &Disturbance| {
            disturbance.until + self.contact_timeout >= from && disturbance.from <= until
        };
        log.iter().any(|disturbance| is_near(disturbance) && concerns(disturbance))
    }
}
