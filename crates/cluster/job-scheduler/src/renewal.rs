//! The schedule of lease renewals, and how long workers may delay their responses (long polling).
//!
//! To a busy worker, one with runs, a renewal is always in flight: the worker delays its response
//! until a run ends. Idle workers, those without runs, delay it too while there are few of them. If
//! there are many, they are polled in turn, so that neither connections nor processor time grow
//! with the number of idle workers.
use crate::ids::WorkerIndex;
use crate::smoothing::moving_average;
use crate::workers::Worker;

/// The response delay for busy workers while the renewal rate is within its limit, milliseconds.
const BUSY_WAIT_MS: u64 = 600;
/// The response delay for busy workers while many renewals get no response, milliseconds. A lost
/// renewal delays the notice of a run's end by a whole renewal, so renewals must be short.
const LOSSY_BUSY_WAIT_MS: u64 = 100;
/// The smoothed share of renewals without response above which the network counts as lossy.
const LOSSY_RATE: f64 = 0.015;
/// The weight of one renewal in that smoothed share.
const LOSS_WEIGHT: f64 = 0.005;
/// The longest response delay that the platform allows, milliseconds.
const MAX_WAIT_MS: u64 = 2_000;
/// The response delay for idle workers while the renewal rate is within its limit, milliseconds.
const IDLE_WAIT_MS: u64 = 1_500;
/// The longest pause between a response and the next renewal of an idle worker, milliseconds.
const MAX_IDLE_PAUSE_MS: u64 = 20_000;
/// The largest number of renewals of busy workers per second that have no run end to report. The
/// response delay grows with the number of workers to stay below it, up to [`MAX_WAIT_MS`].
const MAX_BUSY_RENEWALS_PER_S: u64 = 500;
/// The same limit while many renewals get no response. A worker with many runs responds early in
/// any case because a run ends, so the higher limit adds few renewals.
const MAX_LOSSY_RENEWALS_PER_S: u64 = 2_000;
/// The largest number of renewals of idle workers per second. The pause between the renewals of one
/// worker grows with the number of workers to stay below it, up to [`MAX_IDLE_PAUSE_MS`].
const MAX_IDLE_RENEWALS_PER_S: u64 = 120;
/// The share of [`crate::SchedulerConfig::max_concurrent_calls`] in flight up to which renewals of
/// busy workers are sent. The rest is left for starts and stops.
const BUSY_CALL_SHARE: f64 = 0.75;
/// The same share for unresponsive workers. If these renewals are delayed for long, the leases of
/// the workers' runs expire.
const UNRESPONSIVE_CALL_SHARE: f64 = 0.5;
/// The same share for idle workers, whose renewals can be delayed.
const IDLE_CALL_SHARE: f64 = 0.1;
/// The smallest number of calls in flight up to which renewals of each class are sent, whatever the
/// shares.
const MIN_RENEWAL_CALLS: usize = 64;
/// The number of workers for which the interval between two checks for due renewals grows by one
/// millisecond.
const WORKERS_PER_CHECK_MS: u64 = 500;
/// The interval between two updates of the pace, each of which iterates over all workers,
/// milliseconds.
const PACE_INTERVAL_MS: u64 = 100;
/// The due time of a worker to which a renewal is in flight or that can't be called, milliseconds.
const NEVER_MS: u64 = u64::MAX;

/// The class of a worker, which determines the rate and the priority of its renewals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RenewalClass {
    /// It has not responded in this term, or not recently.
    Unresponsive,
    /// It has runs.
    Busy,
    /// It has no runs.
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

/// The current response delays and pauses of renewals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RenewalPace {
    /// The response delay for busy workers, milliseconds.
    busy_wait_ms: u64,
    /// The response delay for idle workers, milliseconds.
    idle_wait_ms: u64,
    /// The time from the response of an idle worker to its next renewal, milliseconds.
    idle_pause_ms: u64,
}

impl RenewalPace {
    /// Computes the pace from the numbers of busy and of idle workers, and from whether many
    /// renewals get no response (`is_lossy`).
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

    /// The longest time by which a worker may delay its response to a renewal, milliseconds.
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

/// The schedule of renewals, and the serial numbers that order requests and responses.
///
/// `due_at_ms` copies the due time of each worker's lease, so that a check reads a few bytes per
/// worker instead of the worker itself. Invariant: all changes to the renewal of a lease go through
/// `Scheduler::change_renewal`, which keeps the copy equal. Only the copy of a worker that can't be
/// called is set to [`NEVER_MS`] apart from that.
#[derive(Debug, Default)]
pub(crate) struct RenewalSchedule {
    /// By worker index, monotonic milliseconds; [`NEVER_MS`] while a renewal is in flight or the
    /// worker can't be called.
    due_at_ms: Vec<u64>,
    /// The serial number of the last request, or acknowledgement of a start or stop.
    serial: u64,
    pace: RenewalPace,
    /// The smoothed share of renewals without response among workers that otherwise respond.
    loss_rate: f64,
    /// When the pace was last updated, monotonic milliseconds; 0 for never.
    paced_at_ms: u64,
    last_check_ms: u64,
    /// The worker with which the next check begins.
    first_worker: Option<WorkerIndex>,
}

impl RenewalSchedule {
    pub(crate) fn serial(&self) -> u64 {
        self.serial
    }

    /// Returns a new serial number, higher than all earlier ones.
    pub(crate) fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// Whether a check for due renewals is due. If so, the interval to the next check begins now.
    pub(crate) fn begin_check(&mut self, now_ms: u64, worker_count: usize) -> bool {
        if now_ms < self.last_check_ms + worker_count as u64 / WORKERS_PER_CHECK_MS {
            return false;
        }
        self.last_check_ms = now_ms;
        true
    }

    /// Sets the time at which a worker's renewal is due, monotonic milliseconds; `None` while a
    /// renewal is in flight or the worker can't be called.
    pub(crate) fn set_due(&mut self, worker: WorkerIndex, due_at_ms: Option<u64>) {
        let index = worker.0 as usize;
        if index >= self.due_at_ms.len() {
            self.due_at_ms.resize(index + 1, NEVER_MS);
        }
        self.due_at_ms[index] = due_at_ms.unwrap_or(NEVER_MS);
    }

    /// The workers whose renewal is due, in the order of their indexes, beginning with
    /// [`RenewalSchedule::first_worker`] and wrapping around.
    pub(crate) fn due_workers(&self, now_ms: u64) -> Vec<WorkerIndex> {
        let first = self.first_worker().0 as usize;
        let (before, from_first) = self.due_at_ms.split_at(first.min(self.due_at_ms.len()));
        let in_turn = (first..).zip(from_first).chain((0..).zip(before));
        let due = in_turn.filter(|(_, due_at_ms)| **due_at_ms <= now_ms);
        due.map(|(index, _)| WorkerIndex(index as u32)).collect()
    }

    /// Whether an update of the pace is due. If so, the interval to the next update begins now.
    pub(crate) fn begin_pacing(&mut self, now_ms: u64) -> bool {
        if self.paced_at_ms > 0 && now_ms < self.paced_at_ms + PACE_INTERVAL_MS {
            return false;
        }
        self.paced_at_ms = now_ms;
        true
    }

    /// Records whether a renewal of a worker that otherwise responds got a response.
    pub(crate) fn record_result(&mut self, has_response: bool) {
        let loss = f64::from(u8::from(!has_response));
        self.loss_rate = moving_average(self.loss_rate, loss, LOSS_WEIGHT);
    }

    /// Whether many renewals get no response.
    pub(crate) fn is_lossy(&self) -> bool {
        self.loss_rate > LOSSY_RATE
    }

    pub(crate) fn pace(&self) -> RenewalPace {
        self.pace
    }

    pub(crate) fn set_pace(&mut self, pace: RenewalPace) {
        self.pace = pace;
    }

    /// The time from the response of an idle worker to its next renewal, milliseconds.
    pub(crate) fn idle_pause_ms(&self) -> u64 {
        self.pace.idle_pause_ms
    }

    /// The worker with which the next check begins.
    pub(crate) fn first_worker(&self) -> WorkerIndex {
        self.first_worker.unwrap_or(WorkerIndex(0))
    }

    /// Ends a check. The next one begins with the first worker that was skipped because too many
    /// calls were in flight, so that every worker gets its turn.
    pub(crate) fn finish_check(&mut self, first_skipped: Option<WorkerIndex>) {
        self.first_worker = first_skipped.or(self.first_worker);
    }
}
