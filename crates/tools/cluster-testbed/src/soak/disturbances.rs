//! What was done to the processes, and when: it decides whether an observation may be judged.
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The time after a disturbance for which a machine does not count as in touch (`contactMs`).
const CONTACT_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Something that was done to a process or a worker.
#[derive(Clone, Debug)]
struct Disturbance {
    at: Instant,
    /// The machine; `None` for a worker.
    machine: Option<usize>,
    is_planned: bool,
}

/// All disturbances so far. Clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct Disturbances {
    log: Arc<Mutex<Vec<Disturbance>>>,
}

impl Disturbances {
    /// Records planned work at a machine: a SIGTERM, and the end and the start that follow it.
    pub(super) fn record_planned(&self, machine: usize) {
        self.record(Some(machine), true);
    }

    /// Records a crash or a pause of a machine or, without one, of a worker.
    pub(super) fn record_unplanned(&self, machine: Option<usize>) {
        self.record(machine, false);
    }

    fn record(&self, machine: Option<usize>, is_planned: bool) {
        let disturbance = Disturbance { at: Instant::now(), machine, is_planned };
        self.log.lock().unwrap_or_else(PoisonError::into_inner).push(disturbance);
    }

    /// Whether nothing unplanned happened from [`CONTACT_TIMEOUT`] before `from` until `until`.
    pub(super) fn is_free_of_crashes(&self, from: Instant, until: Instant) -> bool {
        !self.any(from, until, |disturbance| !disturbance.is_planned)
    }

    /// Whether nothing at all happened to these machines, and nothing unplanned anywhere, from
    /// [`CONTACT_TIMEOUT`] before `from` until `until`.
    pub(super) fn is_calm(&self, machines: &[usize], from: Instant, until: Instant) -> bool {
        let concerns = |disturbance: &Disturbance| {
            !disturbance.is_planned || disturbance.machine.is_some_and(|machine| machines.contains(&machine))
        };
        !self.any(from, until, concerns)
    }

    fn any(&self, from: Instant, until: Instant, concerns: impl Fn(&Disturbance) -> bool) -> bool {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let is_near = |at: Instant| at + CONTACT_TIMEOUT >= from && at <= until;
        log.iter().any(|disturbance| is_near(disturbance.at) && concerns(disturbance))
    }
}
