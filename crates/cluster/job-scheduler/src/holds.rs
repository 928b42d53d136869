//! When workers are asked what runs there, and told how long it may go on.
//!
//! Where something runs, one call is always out: it waits at the worker for an end. Where nothing does, a call waits too
//! while there are few workers; many are looked at one after the other, so that neither connections nor processor time grow
//! with workers that do nothing.
use crate::config::Now;
use crate::protocol::{WorkerRequest, WorkerResponse};
use crate::scheduler::Scheduler;
use crate::worker::{HoldState, Standing, Worker};

/// How long a hold waits for an end where something runs, milliseconds.
const HOLD_WAIT_MS: u64 = 600;
/// The most that workers wait, milliseconds (the platform's bound).
const MOST_WAIT_MS: u64 = 2_000;
/// How long a hold waits where nothing runs, milliseconds.
const IDLE_WAIT_MS: u64 = 1_500;
/// The longest that a worker where nothing runs is not looked at, milliseconds.
const MOST_IDLE_MS: u64 = 20_000;
/// Holds a second without an end to tell, where something runs: beyond that they wait for longer.
const BUSY_HOLDS_PER_S: u64 = 500;
/// The same where nothing runs.
const IDLE_HOLDS_PER_S: u64 = 120;
/// How long a call may take beyond the time that it waits, milliseconds.
pub(crate) const HOLD_TIMEOUT_MS: u64 = 400;
/// How long everything on a worker is held at a time, milliseconds: what is cut off is known to be over after this.
const HOLD_MS: u64 = 4_000;
/// Between two tries to reach a worker that does not answer, milliseconds.
const RETRY_MS: u64 = 400;
/// Of the calls that may be out at once, the share that holds may take: the rest is for starts and stops.
const HOLD_SHARE: f64 = 0.75;
/// The same for workers that have not answered, in this term or of late: what may run there lapses if they wait for long.
const UNKNOWN_SHARE: f64 = 0.5;
/// The same for workers where nothing runs: these can wait.
const IDLE_SHARE: f64 = 0.1;
/// Calls that holds of either kind may take in any case.
const LEAST_CALLS: usize = 64;

/// With many workers, due holds are looked for this much more rarely: one millisecond for so many workers.
const WORKERS_PER_MS: u64 = 500;

/// How long holds wait at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HoldPace {
    /// Where something runs, milliseconds.
    pub busy_wait_ms: u64,
    /// Where nothing does: how long the call waits, and how long after its answer the next goes out, milliseconds.
    pub idle_wait_ms: u64,
    pub idle_pause_ms: u64,
}

impl HoldPace {
    /// The pace for so many workers.
    pub fn of(busy: u64, idle: u64) -> Self {
        let spread = |workers: u64, per_s: u64| workers * 1_000 / per_s;
        let busy_wait_ms = spread(busy, BUSY_HOLDS_PER_S).clamp(HOLD_WAIT_MS, MOST_WAIT_MS);
        let idle_every = spread(idle, IDLE_HOLDS_PER_S);
        if idle_every <= IDLE_WAIT_MS {
            return HoldPace { busy_wait_ms, idle_wait_ms: IDLE_WAIT_MS, idle_pause_ms: 0 };
        }
        HoldPace { busy_wait_ms, idle_wait_ms: 0, idle_pause_ms: idle_every.min(MOST_IDLE_MS) }
    }
}

fn is_busy(worker: &Worker) -> bool {
    !worker.runs.is_empty() || !worker.strays.is_empty()
}

impl Scheduler {
    /// The pace for the workers as they are.
    fn hold_pace(&self) -> HoldPace {
        let listed = self.workers.iter().filter(|w| w.standing != Standing::Gone && !w.address.is_empty());
        let (mut busy, mut idle) = (0, 0);
        for worker in listed {
            if is_busy(worker) { busy += 1 } else { idle += 1 }
        }
        HoldPace::of(busy, idle)
    }

    /// Asks a worker what runs there without waiting.
    pub(crate) fn look(&mut self, now: u64, at: u32) {
        let order = self.hold_order(now, at, 0);
        let timeout_ms = self.deadline(at);
        self.call(at, order, timeout_ms);
    }

    fn hold_order(&mut self, now: u64, at: u32, wait_ms: u64) -> WorkerRequest {
        self.serial += 1;
        let hold_ms = self.bounds.max_lease_ms.min(HOLD_MS);
        let worker = &mut self.workers[at as usize];
        // A worker that is not heard is allowed nothing more: what runs there could go on for as long as it is asked.
        let heard = worker.reachable && worker.misses == 0;
        let lease_expires_at_ms = if heard { worker.clock.allow(now, hold_ms) } else { None };
        WorkerRequest::RenewLease {
            serial: self.serial,
            lease_expires_at_ms,
            acknowledged_end: worker.last_seen,
            wait_ms,
        }
    }

    /// Sends the holds that are due, as far as calls may be out.
    pub(crate) fn send_holds(&mut self, now: u64) {
        let count = self.workers.len() as u32;
        if now < self.holds_looked_at + u64::from(count) / WORKERS_PER_MS {
            return;
        }
        self.holds_looked_at = now;
        let pace = self.hold_pace();
        self.idle_pause_ms = pace.idle_pause_ms;
        let room = |share: f64| ((self.bounds.max_concurrent_calls as f64 * share) as usize).max(LEAST_CALLS);
        let (busy_room, unknown_room, idle_room) = (room(HOLD_SHARE), room(UNKNOWN_SHARE), room(IDLE_SHARE));
        let first = self.holds_from;
        let mut skipped = None;
        for step in 0..count {
            let at = (first + step) % count;
            let worker = &self.workers[at as usize];
            let due = worker.hold != HoldState::Out && now >= worker.hold_at;
            if !due || worker.standing == Standing::Gone || worker.address.is_empty() {
                continue;
            }
            let known = worker.fenced && worker.reachable && worker.misses == 0;
            let busy = is_busy(worker);
            let room = match (known, busy) {
                (false, _) => unknown_room,
                (true, true) => busy_room,
                (true, false) => idle_room,
            };
            if self.calls_out >= room {
                skipped = skipped.or(Some(at));
                continue;
            }
            let wait_ms = match known {
                false => 0,
                true if busy => pace.busy_wait_ms,
                true => pace.idle_wait_ms,
            };
            let order = self.hold_order(now, at, wait_ms);
            let worker = &mut self.workers[at as usize];
            worker.hold = HoldState::Out;
            worker.hold_serial = self.serial;
            self.call(at, order, wait_ms + HOLD_TIMEOUT_MS);
        }
        // The next look begins with the first that found no room, so that all have their turn.
        self.holds_from = skipped.unwrap_or(first);
    }

    /// Has a worker that something was started on asked now rather than when its idle time is over.
    pub(crate) fn hold_soon(&mut self, now: u64, at: u32) {
        let worker = &mut self.workers[at as usize];
        if worker.hold == HoldState::Idle {
            worker.hold_at = worker.hold_at.min(now);
        }
    }

    pub(crate) fn hold_answered(&mut self, now: Now, at: u32, serial: u64, reply: WorkerResponse) {
        let worker = &mut self.workers[at as usize];
        if serial == worker.hold_serial {
            worker.hold = HoldState::Idle;
            let idle_pause_ms = if is_busy(worker) { 0 } else { self.idle_pause_ms };
            worker.hold_at = now.monotonic_ms
                + match &reply {
                    WorkerResponse::Report(_) => idle_pause_ms,
                    WorkerResponse::NoResponse if worker.reachable => 0,
                    _ => RETRY_MS,
                };
        }
        if let WorkerResponse::Report(report) = reply {
            self.take_report(now, at, serial, &report);
        }
    }
}
