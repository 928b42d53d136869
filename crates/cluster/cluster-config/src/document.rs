//! The JSON document of a configuration. The names of its fields belong to the operators.
use miniserde::{Deserialize, Serialize};

/// The complete document.
#[derive(Deserialize)]
pub(crate) struct Document {
    pub(crate) version: u64,
    pub(crate) routes: Vec<Route>,
    pub(crate) services: Vec<Service>,
    pub(crate) limits: Option<Limits>,
}

/// A route: the requests that belong to one queue, and the policy of the queue.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host of its requests.
    pub host: String,
    /// The prefix of their paths.
    #[serde(rename = "pathPrefix")]
    pub path_prefix: String,
    /// The kind of the requests.
    #[serde(rename = "routeType")]
    pub route_type: Option<String>,
    /// How long a request may take, milliseconds.
    #[serde(rename = "timeoutMs")]
    pub timeout_ms: u64,
    /// Added to a job's critical path for its latency target, milliseconds.
    #[serde(rename = "targetLatencyMs")]
    pub target_latency_ms: Option<f64>,
    /// The priority of its jobs; 0 is the highest.
    pub priority: Option<u8>,
    /// The name of the service that runs its tasks.
    pub service: String,
    /// Failed runs after which a task is not retried any more.
    #[serde(rename = "maxAttempts")]
    pub max_attempts: Option<u32>,
    /// The latency target in multiples of a job's critical path.
    pub extension: Option<f64>,
}

/// A service: the workers that run the tasks of its queues.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name, as in the platform's list of workers.
    pub name: String,
    /// The path of a worker's health check.
    #[serde(rename = "healthPath")]
    pub health_path: Option<String>,
    /// Connections that a worker accepts.
    #[serde(rename = "maxConns")]
    pub max_connections: Option<u32>,
    /// Whether its workers reject tasks that exceed their capacity.
    pub guards: Option<bool>,
}

/// Limits on clients' requests.
///
/// Part of [`DataPlaneConfiguration`](crate::DataPlaneConfiguration): the order and the types of
/// its fields must stay.
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
    /// The size of a head, bytes.
    #[serde(rename = "maxHeaderBytes")]
    pub max_header_bytes: Option<u64>,
    /// The size of a body, bytes.
    #[serde(rename = "maxBodyBytes")]
    pub max_body_bytes: Option<u64>,
    /// How long a head may take to arrive, milliseconds.
    #[serde(rename = "headerTimeoutMs")]
    pub header_timeout_ms: Option<u64>,
    /// How long a connection may be idle, milliseconds.
    #[serde(rename = "idleTimeoutMs")]
    pub idle_timeout_ms: Option<u64>,
}
