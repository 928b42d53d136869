//! Counts of a scheduler, for the metrics of its process.
use crate::latency::StartLatencies;

/// What a scheduler holds at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerCounts {
    /// Jobs that are known, open or closed.
    pub jobs: usize,
    /// Tasks and gangs that wait to be placed.
    pub pending_units: usize,
    /// Runs whose end is not known.
    pub active_runs: usize,
    /// Events of this term.
    pub events: u64,
}

/// The shortest and the longest time-out of calls in any zone, milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TimeoutRange {
    /// The shortest.
    pub shortest_ms: u64,
    /// The longest.
    pub longest_ms: u64,
}

/// What keeps a scheduler from deciding more starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartBound {
    /// As many starts as allowed wait for their commit or response.
    InFlight,
    /// The throttle, since ticks come late.
    Throttle,
    /// As many calls as allowed are in flight.
    Calls,
}

/// Counts of a term so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerMetrics {
    /// Starts that were sent.
    pub starts: u64,
    /// Starts without a response in time.
    pub start_timeouts: u64,
    /// Those of them that turned out to have been acknowledged: the time-out was too short.
    pub premature_start_timeouts: u64,
    /// Runs that were stopped.
    pub stops: u64,
    /// Starts beside a run of the same task that was in doubt.
    pub hedged_runs: u64,
    /// The number of starts allowed between two ticks at present.
    pub max_starts_per_tick: u64,
    /// The time-outs of calls at present; `None` before the first response.
    pub call_timeouts: Option<TimeoutRange>,
    /// How often a pass tried to place a task or gang.
    pub placement_attempts: u64,
    /// How long the stages of starts took.
    pub start_latencies: StartLatencies,
    /// How often a check found the first task in line held back for long by a bound on starts.
    pub held_back_checks: u64,
    /// The bound that the last such check named.
    pub held_back_by: Option<StartBound>,
}
