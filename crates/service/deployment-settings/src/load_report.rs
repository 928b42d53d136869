//! Load reports as workers send them.

use serde::Deserialize;
use spanlead_balancing_policy::LoadReport;

/// What the report's value `x0` means when it counts free slots.
const FREE_SLOTS: &str = "free slots";

/// What the report's value `x1` means when it counts free memory units.
const FREE_MEMORY: &str = "free memory";

/// What the unnamed values of a load report mean in a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportMapping {
    x0_is_free_slots: bool,
    x1_is_free_memory: bool,
}

impl ReportMapping {
    /// The mapping for the deployment's own names of the values `x0` and `x1`.
    pub(crate) fn of(x0_name: Option<&str>, x1_name: Option<&str>) -> Self {
        ReportMapping {
            x0_is_free_slots: x0_name == Some(FREE_SLOTS),
            x1_is_free_memory: x1_name == Some(FREE_MEMORY),
        }
    }

    /// A report as the policy takes it.
    #[must_use]
    pub fn to_load_report(self, figures: ReportedFigures) -> LoadReport {
        LoadReport {
            free_slots: figures.x0.filter(|_| self.x0_is_free_slots),
            free_memory: figures.x1.filter(|_| self.x1_is_free_memory),
            utilization: figures.utilization,
            in_flight: figures.in_flight,
            queue_depth: figures.queue_depth,
            service_time_ms: figures.service_time_ms,
            errors_per_second: figures.errors_per_second,
        }
    }
}

/// The figures of a load report. On sockets most have a shorter name than in the simulator.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, expecting = "struct Figures")]
pub struct ReportedFigures {
    /// The busy fraction of the worker's CPU.
    #[serde(alias = "util")]
    pub utilization: Option<f64>,
    /// Errors a second.
    #[serde(rename = "errors_per_s", alias = "eps")]
    pub errors_per_second: Option<f64>,
    /// Requests running or queued.
    #[serde(rename = "outstanding", alias = "inflight")]
    pub in_flight: Option<f64>,
    /// Requests queued.
    #[serde(rename = "backlog", alias = "queue")]
    pub queue_depth: Option<f64>,
    /// Recent service time, in milliseconds.
    #[serde(rename = "recent_ms", alias = "latency_ms")]
    pub service_time_ms: Option<f64>,
    /// Requests served a second.
    #[serde(rename = "throughput", alias = "qps")]
    pub requests_per_second: Option<f64>,
    /// The first value that the deployment gives a meaning of its own.
    pub x0: Option<f64>,
    /// The second such value.
    pub x1: Option<f64>,
}
