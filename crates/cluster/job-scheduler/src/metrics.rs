//! Gauges and counters of a scheduler for the metrics of its process.
use crate::latency::StartLatencies;

/// The current sizes of a scheduler's tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerCounts {
    /// Jobs in the job table, open or closed.
    pub jobs: usize,
    /// Remembered identifiers of cancelled jobs that are not in the job table.
    pub cancelled_jobs: usize,
    /// Tasks and gangs that are waiting to be placed.
    pub pending_units: usize,
    /// Runs whose end is not known.
    pub active_runs: usize,
    /// Events recorded in this term.
    pub events: u64,
}

/// The range of the call time-outs over all zones, milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TimeoutRange {
    /// The shortest time-out of any zone, milliseconds.
    pub shortest_ms: u64,
    /// The longest time-out of any zone, milliseconds.
    pub longest_ms: u64,
}

/// The limit that prevents a scheduler from starting more tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartLimit {
    /// The number of starts that wait for their commit or response is at its limit.
    InFlight,
    /// The throttle, which reduces starts when ticks are late, allows no more before the next tick.
    Throttle,
    /// The number of calls in flight is at its limit.
    Calls,
}

/// Counters of the current term, with some current values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerMetrics {
    /// Starts that were sent.
    pub starts: u64,
    /// Starts whose response did not arrive before the time-out.
    pub start_timeouts: u64,
    /// Timed-out starts that were acknowledged after all: the time-out was too short.
    pub premature_start_timeouts: u64,
    /// Runs that were stopped.
    pub stops: u64,
    /// Hedged runs: starts of a task while another run of it was in doubt.
    pub hedged_runs: u64,
    /// The number of starts that are currently allowed between two ticks.
    pub max_starts_per_tick: u64,
    /// The current time-outs of calls; `None` before the first response.
    pub call_timeouts: Option<TimeoutRange>,
    /// Attempts to place a task or gang.
    pub placement_attempts: u64,
    /// Latencies of the steps of starts.
    pub start_latencies: StartLatencies,
    /// Checks that found the first task or gang in the queue held back for too long by a limit on
    /// starts.
    pub held_back_checks: u64,
    /// Submissions that were refused because their job had been cancelled before.
    pub cancelled_submissions: u64,
    /// Cancellations of unknown jobs that were refused because too many are remembered.
    pub refused_cancellations: u64,
    /// Workers that a list of the platform did not name although the one before did.
    pub workers_missing_in_list: u64,
    /// Workers at whose address another incarnation responded.
    pub replaced_workers: u64,
    /// Runs that ended because the leases of their worker had expired.
    pub expired_runs: u64,
    /// The limit that the last such check found.
    pub held_back_by: Option<StartLimit>,
}
