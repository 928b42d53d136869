//! When worker leases are renewed, and for how long workers may delay the response.
//!
//! Where something runs, a renewal is always in flight: it waits at the worker for an end. Where
//! nothing does, a renewal waits too while there are few workers; many are asked one after the
//! other, so that neither connections nor processor time grow with workers that do nothing.
use crate::ids::WorkerIndex;
use crate::smoothing::moving_average;
use crate::workers::Worker;

/// How long a renewal waits for an end where something runs, milliseconds.
const BUSY_WAIT_MS: u64 = 600;
/// The same while many renewals have no response: what ends is then learned late, by a whole
/// renewal, unless that is short.
const LOSSY_BUSY_WAIT_MS: u64 = 100;
/// The share of renewals without response from which on they count as many.
const LOSSY_RATE: f64 = 0.015;
/// The weight of one renewal in that share.
const LOSS_WEIGHT: f64 = 0.005;
/// The longest time that workers wait, milliseconds (the platform's bound).
const MAX_WAIT_MS: u64 = 2_000;
/// How long a renewal waits where nothing runs, milliseconds.
const IDLE_WAIT_MS: u64 = 1_500;
/// The longest time that a worker where nothing runs is not asked, milliseconds.
const MAX_IDLE_PAUSE_MS: u64 = 20_000;
/// Renewals a second without an end to report, where something runs: beyond that they wait for
/// longer.
const MAX_BUSY_RENEWALS_PER_S: u64 = 500;
/// The same while many renewals have no response: a worker with many runs answers for an end sooner
/// in any case, so that few of these are made beside.
const MAX_LOSSY_RENEWALS_PER_S: u64 = 2_000;
/// The same where nothing runs.
const MAX_IDLE_RENEWALS_PER_S: u64 = 120;
/// Of the calls that may be in flight, the share that renewals of busy workers may take: the rest
/// is for starts and stops.
const BUSY_CALL_SHARE: f64 = 0.75;
/// The same for workers that have not responded, in this term or of late: what may run there
/// expires if they wait long.
const UNRESPONSIVE_CALL_SHARE: f64 = 0.5;
/// The same for workers where nothing runs: these can wait.
const IDLE_CALL_SHARE: f64 = 0.1;
/// Calls that renewals of any class may take in any case.
const MIN_RENEWAL_CALLS: usize = 64;
/// With many workers, due renewals are looked for more rarely: a millisecond for each so many
/// workers.
const WORKERS_PER_CHECK_MS: u64 = 500;
/// How often the pace is computed anew, milliseconds: that looks at every worker.
const PACE_INTERVAL_MS: u64 = 100;
/// The due time of a worker to which a renewal is in flight.
const NEVER_MS: u64 = u64::MAX;

/// What decides how often a worker is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RenewalClass {
    /// It has not responded, in this term or of late.
    Unresponsive,
    /// Something runs there.
    Busy,
    Idle,
}

impl RenewalClass {
    pub(crate) fn of(worker: &Worker) -> Self {
        if !worker.has_seen_term() || !worker.is_responsive() {
            RenewalClass::Unresponsive
        } else if worker.allocation.is_empty() {
            RenewalClass::Idle
        } else {
            RenewalClass::Busy
        }
    }
}

/// How long renewals wait at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RenewalPace {
    /// How long a renewal waits where something runs, milliseconds.
    busy_wait_ms: u64,
    /// How long one waits where nothing runs, milliseconds.
    idle_wait_ms: u64,
    /// How long after its response the next is sent there, milliseconds.
    idle_pause_ms: u64,
}

impl RenewalPace {
    /// The pace for so many workers where something runs, and where nothing does. `is_lossy`: many
    /// renewals have no response.
    pub(crate) fn new(busy_workers: u64, idle_workers: u64, is_lossy: bool) -> Self {
        let interval_ms = |workers: u64, per_second: u64| workers * 1_000 / per_second;
        let (max_per_s, min_wait_ms) = if is_lossy {
            (MAX_LOSSY_RENEWALS_PER_S, LOSSY_BUSY_WAIT_MS)
        } else {
            (MAX_BUSY_RENEWALS_PER_S, BUSY_WAIT_MS)
        };
        let busy_wait_ms = interval_ms(busy_workers, max_per_s).clamp(min_wait_ms, MAX_WAIT_MS);
        let idle_interval_ms = interval_ms(idle_workers, MAX_IDLE_RENEWALS_PER_S);
        if idle_interval_ms <= IDLE_WAIT_MS {
            return RenewalPace { busy_wait_ms, idle_wait_ms: IDLE_WAIT_MS, idle_pause_ms: 0 };
        }
        RenewalPace { busy_wait_ms, idle_wait_ms: 0, idle_pause_ms: idle_interval_ms.min(MAX_IDLE_PAUSE_MS) }
    }

    /// How long a renewal may wait at a worker, milliseconds.
    pub(crate) fn wait_ms(self, class: RenewalClass) -> u64 {
        match class {
            RenewalClass::Unresponsive => 0,
            RenewalClass::Busy => self.busy_wait_ms,
            RenewalClass::Idle => self.idle_wait_ms,
        }
    }
}

/// The number of calls in flight up to which renewals of each class are sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RenewalBudget {
    unresponsive: usize,
    busy: usize,
    idle: usize,
}

impl RenewalBudget {
    pub(crate) fn new(max_concurrent_calls: usize) -> Self {
        let calls = |share: f64| ((max_concurrent_calls as f64 * share) as usize).max(MIN_RENEWAL_CALLS);
        RenewalBudget {
            unresponsive: calls(UNRESPONSIVE_CALL_SHARE),
            busy: calls(BUSY_CALL_SHARE),
            idle: calls(IDLE_CALL_SHARE),
        }
    }

    pub(crate) fn max_calls(self, class: RenewalClass) -> usize {
        match class {
            RenewalClass::Unresponsive => self.unresponsive,
            RenewalClass::Busy => self.busy,
            RenewalClass::Idle => self.idle,
        }
    }
}

/// The schedule of renewals, and the serials that order requests and responses.
///
/// `due_at_ms` has by worker what its lease says, so that a check reads these few bytes rather than
/// every worker. Invariant: whatever changes a lease's renewal goes through
/// `Scheduler::change_renewal`, which keeps them equal.
#[derive(Debug, Default)]
pub(crate) struct RenewalSchedule {
    due_at_ms: Vec<u64>,
    /// The serial of the last request, or acknowledgement of a start or stop.
    serial: u64,
    pace: RenewalPace,
    /// The smoothed share of renewals without response, of workers that respond otherwise.
    loss_rate: f64,
    paced_at_ms: u64,
    last_check_ms: u64,
    /// The worker that the next check begins with.
    first_worker: Option<WorkerIndex>,
}

impl RenewalSchedule {
    pub(crate) fn serial(&self) -> u64 {
        self.serial
    }

    /// A serial higher than all before.
    pub(crate) fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// Whether due renewals are to be looked for now; the next time is counted from here.
    pub(crate) fn begin_check(&mut self, now_ms: u64, worker_count: usize) -> bool {
        if now_ms < self.last_check_ms + worker_count as u64 / WORKERS_PER_CHECK_MS {
            return false;
        }
        self.last_check_ms = now_ms;
        true
    }

    /// Sets when a worker's renewal is due; `None` while one is in flight.
    pub(crate) fn set_due(&mut self, worker: WorkerIndex, due_at_ms: Option<u64>) {
        let index = worker.0 as usize;
        if index >= self.due_at_ms.len() {
            self.due_at_ms.resize(index + 1, NEVER_MS);
        }
        self.due_at_ms[index] = due_at_ms.unwrap_or(NEVER_MS);
    }

    /// The workers whose renewal is due, from the one on that the check begins with.
    pub(crate) fn due_workers(&self, now_ms: u64) -> Vec<WorkerIndex> {
        let first = self.first_worker().0 as usize;
        let (before, from_first) = self.due_at_ms.split_at(first.min(self.due_at_ms.len()));
        let in_turn = (first..).zip(from_first).chain((0..).zip(before));
        let due = in_turn.filter(|(_, due_at_ms)| **due_at_ms <= now_ms);
        due.map(|(index, _)| WorkerIndex(index as u32)).collect()
    }

    /// Whether the pace is to be computed anew; the next time is counted from here.
    pub(crate) fn begin_pacing(&mut self, now_ms: u64) -> bool {
        if self.paced_at_ms > 0 && now_ms < self.paced_at_ms + PACE_INTERVAL_MS {
            return false;
        }
        self.paced_at_ms = now_ms;
        true
    }

    /// A renewal of a worker that responds otherwise had a response, or none.
    pub(crate) fn record_result(&mut self, has_response: bool) {
        let loss = f64::from(u8::from(!has_response));
        self.loss_rate = moving_average(self.loss_rate, loss, LOSS_WEIGHT);
    }

    /// Whether many renewals have no response.
    pub(crate) fn is_lossy(&self) -> bool {
        self.loss_rate > LOSSY_RATE
    }

    pub(crate) fn pace(&self) -> RenewalPace {
        self.pace
    }

    pub(crate) fn set_pace(&mut self, pace: RenewalPace) {
        self.pace = pace;
    }

    /// How long after a response a worker where nothing runs is asked again, milliseconds.
    pub(crate) fn idle_pause_ms(&self) -> u64 {
        self.pace.idle_pause_ms
    }

    pub(crate) fn first_worker(&self) -> WorkerIndex {
        self.first_worker.unwrap_or(WorkerIndex(0))
    }

    /// The next check begins with the first worker that was skipped for want of calls, so that all
    /// have their turn.
    pub(crate) fn finish_check(&mut self, first_skipped: Option<WorkerIndex>) {
        self.first_worker = first_skipped.or(self.first_worker);
    }
}
