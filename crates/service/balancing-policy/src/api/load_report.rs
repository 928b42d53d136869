//! The load that workers report.

/// How load reports reach the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// In responses and probe results.
    InResponses,
    /// In probe results only.
    InProbes,
    /// Not at all.
    Disabled,
}

/// A worker's load report. A value that was not reported is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory units.
    pub free_memory: Option<f64>,
    /// The busy fraction of the worker's CPU.
    pub utilization: Option<f64>,
    /// Requests in flight at the worker, running or queued.
    pub in_flight: Option<f64>,
    /// Requests queued at the worker.
    pub queue_depth: Option<f64>,
    /// Recent service time, in milliseconds.
    pub service_time_ms: Option<f64>,
    /// Errors per second.
    pub errors_per_second: Option<f64>,
}
