//! The form of a configuration on the wire.
use miniserde::{Deserialize, Serialize};

/// All of it.
#[derive(Deserialize)]
pub(crate) struct Form {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    pub limits: Option<Limits>,
}

/// A queue.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host of its requests.
    pub host: String,
    /// How their paths begin.
    #[serde(rename = "pathPrefix")]
    pub path_prefix: String,
    /// What kind of requests they are.
    #[serde(rename = "routeType")]
    pub route_type: Option<String>,
    /// How long a request may take, milliseconds.
    #[serde(rename = "timeoutMs")]
    pub timeout_ms: u64,
    /// What is added to the chain of a job's work for its objective, milliseconds.
    #[serde(rename = "targetLatencyMs")]
    pub target_latency_ms: Option<f64>,
    /// 0 comes first.
    pub priority: Option<u8>,
    /// Who runs its tasks.
    pub service: String,
    /// Failed runs after which a task is given up.
    #[serde(rename = "maxAttempts")]
    pub max_attempts: Option<u32>,
    /// The objective in multiples of a job's chain of work.
    pub extension: Option<f64>,
}

/// Who runs tasks.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name, as the platform's list has it.
    pub name: String,
    /// Where a worker tells its health.
    #[serde(rename = "healthPath")]
    pub health_path: Option<String>,
    /// Connections that a worker takes.
    #[serde(rename = "maxConns")]
    pub max_connections: Option<u32>,
    /// Whether its workers turn away what does not fit.
    pub guards: Option<bool>,
}

/// What requests may be like.
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
    /// The head's size, bytes.
    #[serde(rename = "maxHeaderBytes")]
    pub max_header_bytes: Option<u64>,
    /// The body's size, bytes.
    #[serde(rename = "maxBodyBytes")]
    pub max_body_bytes: Option<u64>,
    /// How long a head may take to come, milliseconds.
    #[serde(rename = "headerTimeoutMs")]
    pub header_timeout_ms: Option<u64>,
    /// How long a connection may rest, milliseconds.
    #[serde(rename = "idleTimeoutMs")]
    pub idle_timeout_ms: Option<u64>,
}
