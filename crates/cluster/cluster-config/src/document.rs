//! The JSON document of a configuration. Operators write it, so the names of its fields must not
//! change.
use miniserde::{Deserialize, Serialize};

/// The complete document.
#[derive(Deserialize)]
pub(crate) struct Document {
    pub(crate) version: u64,
    pub(crate) routes: Vec<Route>,
    pub(crate) services: Vec<Service>,
    pub(crate) limits: Option<Limits>,
}

/// A route: the requests of one queue of jobs, and the policy of the queue.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Prefix of the requests' paths.
    #[serde(rename = "pathPrefix")]
    pub path_prefix: String,
    /// Kind of the requests.
    #[serde(rename = "routeType")]
    pub route_type: Option<String>,
    /// Time-out of a request, in milliseconds.
    #[serde(rename = "timeoutMs")]
    pub timeout_ms: u64,
    /// Time added to a job's critical path to obtain its latency target, in milliseconds.
    #[serde(rename = "targetLatencyMs")]
    pub latency_target_offset_ms: Option<f64>,
    /// Priority of the jobs; 0 is the highest.
    pub priority: Option<u8>,
    /// Name of the service that runs the jobs' tasks.
    pub service: String,
    /// Number of failed runs after which a task is not retried.
    #[serde(rename = "maxAttempts")]
    pub max_attempts: Option<u32>,
    /// Factor by which a job's critical path is multiplied to obtain its latency target.
    #[serde(rename = "extension")]
    pub latency_target_factor: Option<f64>,
}

/// A service: the workers that run the tasks of its queues.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service, as in the platform's list of workers.
    pub name: String,
    /// Path of the workers' health check.
    #[serde(rename = "healthPath")]
    pub health_path: Option<String>,
    /// Maximum number of connections that a worker accepts.
    #[serde(rename = "maxConns")]
    pub max_connections: Option<u32>,
    /// Whether the workers reject tasks that exceed their capacity.
    #[serde(rename = "guards")]
    pub enforces_capacity: Option<bool>,
}

/// Limits on clients' requests.
///
/// Serialised by `rkyv` as part of [`DataPlaneConfiguration`](crate::DataPlaneConfiguration): the
/// order and the types of the fields must not change.
#[derive(
    Serialize,
    Deserialize,
    Clone,
    Default,
    Debug,
    PartialEq,
    Eq,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    #[serde(rename = "maxHeaderBytes")]
    pub max_header_bytes: Option<u64>,
    /// Maximum size of a request's body, in bytes.
    #[serde(rename = "maxBodyBytes")]
    pub max_body_bytes: Option<u64>,
    /// Time-out for a request's head to arrive, in milliseconds.
    #[serde(rename = "headerTimeoutMs")]
    pub header_timeout_ms: Option<u64>,
    /// Time-out for an idle connection, in milliseconds.
    #[serde(rename = "idleTimeoutMs")]
    pub idle_timeout_ms: Option<u64>,
}
