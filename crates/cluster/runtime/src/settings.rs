//! The settings file of a process: JSON, at the path in the environment variable
//! [`SETTINGS_PATH_VARIABLE`].
//!
//! The platform defines the names of its keys; see `docs/cluster.md`.
use miniserde::{Deserialize, json};
use quick_error::quick_error;
use spanlead_job_scheduler::SchedulerConfig;
use std::net::SocketAddr;
use std::path::PathBuf;

quick_error! {
    /// An error in loading the settings.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The environment variable with the file's path is not set.
        VariableNotSet {
            display("environment variable SPANLEAD_CONFIG is not set")
        }
        /// The file can't be read.
        Io(path: String, error: std::io::Error) {
            display("{}: {}", path, error)
        }
        /// The file is not JSON, or a field is missing or has the wrong type.
        Malformed(path: String) {
            display("{}: no settings: a field is missing or of another type", path)
        }
        /// A field has an invalid value: the path of the file, and what was expected.
        InvalidValue(path: String, reason: &'static str) {
            display("{}: {}", path, reason)
        }
    }
}

/// File descriptors that a control plane process reserves for everything other than connections to
/// workers: files, members of the control plane, data planes, operators and the platform.
const RESERVED_DESCRIPTORS: usize = 1_100;
/// Limit on file descriptors if the settings give none.
const DEFAULT_MAX_DESCRIPTORS: usize = 1_024;
const DEFAULT_SHUTDOWN_GRACE_S: f64 = 6.0;
const DEFAULT_MAX_LEASE_MS: f64 = 6_000.0;
const DEFAULT_GANG_ASSEMBLY_TIMEOUT_MS: f64 = 3_000.0;
const DEFAULT_STOP_TIMEOUT_MS: f64 = 400.0;
const DEFAULT_CHECKPOINT_RESTORE_MS: f64 = 600.0;
const DEFAULT_CLOSED_JOB_RETENTION_S: f64 = 120.0;
const DEFAULT_REMOTE_DATA_SLOWDOWN: f64 = 1.0;
const MS_PER_S: f64 = 1_000.0;

/// Environment variable with the path of the settings file.
pub const SETTINGS_PATH_VARIABLE: &str = "SPANLEAD_CONFIG";

/// Addresses on which a process listens, each `ip:port`.
#[derive(Deserialize, Clone, Debug)]
pub struct ListenAddresses {
    /// Address of the API for clients.
    #[serde(rename = "front")]
    pub clients: Option<String>,
    /// Address of the platform's readiness checks.
    pub readiness: Option<String>,
    /// Address of the API for operators.
    #[serde(rename = "control")]
    pub operators: Option<String>,
    /// Address for other processes of the system, if it is not the one at which they reach this
    /// process, as behind a port forwarding.
    pub peer: Option<String>,
}

/// Resource limits of a process.
#[derive(Deserialize, Clone, Debug)]
pub struct ResourceLimits {
    /// Memory, in megabytes.
    #[serde(rename = "memoryMb")]
    pub memory_mb: Option<u64>,
    /// Number of open file descriptors.
    #[serde(rename = "maxFds")]
    pub max_descriptors: Option<u64>,
}

/// Failures that the system tolerates at the same time.
#[derive(Deserialize, Clone, Debug)]
pub struct FaultTolerance {
    /// Number of control plane machines that may fail at the same time.
    pub machines: Option<u32>,
}

/// Time limits and factors of the scheduling rules, and the time limit of a shutdown.
#[derive(Deserialize, Clone, Debug)]
pub struct Bounds {
    /// Time that a process has to shut down, in seconds.
    #[serde(rename = "graceS")]
    pub shutdown_grace_s: Option<f64>,
    /// Maximum duration of a lease on the runs of a worker, in milliseconds.
    #[serde(rename = "maxHoldMs")]
    pub max_lease_ms: Option<f64>,
    /// Maximum time that started members of a gang wait for the others, in milliseconds.
    #[serde(rename = "gang_ms")]
    pub gang_assembly_timeout_ms: Option<f64>,
    /// Maximum time that a worker takes to stop a run, in milliseconds.
    #[serde(rename = "stop_ms")]
    pub stop_timeout_ms: Option<f64>,
    /// Time that a task needs to resume from a checkpoint, in milliseconds.
    #[serde(rename = "restore_ms")]
    pub checkpoint_restore_ms: Option<f64>,
    /// Time for which the outcome of a closed job can be queried, in seconds.
    #[serde(rename = "status_s")]
    pub closed_job_retention_s: Option<f64>,
    /// Factor by which a task takes longer on a worker that is remote from its data.
    #[serde(rename = "far_x")]
    pub remote_data_slowdown: Option<f64>,
}

/// The platform's API that lists the workers.
#[derive(Deserialize, Clone, Debug)]
pub struct CloudApi {
    /// Address, `ip:port`.
    pub address: String,
    /// Rate limit for all callers together, in calls per second.
    #[serde(rename = "ratePerS")]
    pub rate_per_s: Option<f64>,
}

/// The HTTP endpoint at which a process exposes its metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsEndpoint {
    /// Address, `ip:port`.
    pub address: String,
    /// Path, with its leading `/`.
    pub path: String,
}

/// The settings of a process.
#[derive(Deserialize, Clone, Debug)]
pub struct Settings {
    /// Name of the machine.
    pub node: String,
    /// IP address of the machine.
    pub ip: String,
    /// Zone of the machine.
    pub zone: Option<String>,
    /// Addresses on which the process listens.
    #[serde(rename = "listenAddrs")]
    pub listen: ListenAddresses,
    /// First and last port of the range for traffic between processes of the system; the first one
    /// is used.
    #[serde(rename = "portRange")]
    pub ports: Vec<u16>,
    /// Operator API addresses, `ip:port`, of control plane machines, possibly including this one.
    pub seeds: Vec<String>,
    /// Whether this is the first start of the whole system.
    pub bootstrap: Option<bool>,
    /// Whether the loss of this machine counts toward the tolerated failures.
    #[serde(rename = "countsForQuorum")]
    pub counts_for_quorum: Option<bool>,
    /// Resource limits of the process.
    pub limits: Option<ResourceLimits>,
    /// Folder of the process's files; `None` without a disk.
    #[serde(rename = "dataDir")]
    pub data_folder: Option<String>,
    /// Failures that the system tolerates at the same time.
    #[serde(rename = "faultTolerance")]
    pub fault_tolerance: Option<FaultTolerance>,
    /// Time limits and factors of the scheduling rules, and the time limit of a shutdown.
    pub bounds: Option<Bounds>,
    /// Port and path of the metrics endpoint, for example `9100/metrics`.
    pub metrics: Option<String>,
    /// The platform's API that lists the workers.
    #[serde(rename = "cloudApi")]
    pub cloud_api: Option<CloudApi>,
}

impl Settings {
    /// Reads the settings file at the path in [`SETTINGS_PATH_VARIABLE`].
    ///
    /// # Errors
    /// If the variable is not set, and in the cases of [`Settings::read`].
    pub fn load() -> Result<Self, SettingsError> {
        let path = std::env::var(SETTINGS_PATH_VARIABLE).map_err(|_| SettingsError::VariableNotSet)?;
        Settings::read(&path)
    }

    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    /// If the file can't be read, is malformed, or holds an invalid value.
    pub fn read(path: &str) -> Result<Self, SettingsError> {
        let text =
            std::fs::read_to_string(path).map_err(|error| SettingsError::Io(path.to_owned(), error))?;
        let settings: Settings =
            json::from_str(&text).map_err(|_| SettingsError::Malformed(path.to_owned()))?;
        match settings.validation_error() {
            Some(reason) => Err(SettingsError::InvalidValue(path.to_owned(), reason)),
            None => Ok(settings),
        }
    }

    /// Returns what is wrong with the first invalid value, if there is one.
    fn validation_error(&self) -> Option<&'static str> {
        if self.ports.len() != 2 || self.ports[0] > self.ports[1] {
            return Some("portRange: expected [first, last] with first <= last");
        }
        let has_metrics = self.metrics.as_ref().is_some_and(|metrics| !metrics.is_empty());
        if has_metrics && self.metrics_endpoint().is_none() {
            return Some("metrics: expected PORT/PATH, for example 9100/metrics");
        }
        if self.seeds.iter().any(|seed| seed.parse::<SocketAddr>().is_err()) {
            return Some("seeds: an entry is not an address of the form ip:port");
        }
        None
    }

    /// Returns the peer address of a machine, at which other processes of the system reach it.
    #[must_use]
    pub fn peer_address_of(&self, ip: &str) -> String {
        format!("{ip}:{}", self.ports[0])
    }

    /// Returns the peer address of this machine.
    #[must_use]
    pub fn peer_address(&self) -> String {
        self.peer_address_of(&self.ip)
    }

    /// Returns the address on which this process listens for other processes of the system.
    #[must_use]
    pub fn peer_listen_address(&self) -> String {
        self.listen.peer.clone().unwrap_or_else(|| self.peer_address())
    }

    /// Returns the peer addresses of the seeds.
    #[must_use]
    pub fn seed_peer_addresses(&self) -> Vec<String> {
        let ip = |seed: &String| seed.parse::<SocketAddr>().ok().map(|address| address.ip().to_string());
        self.seeds.iter().filter_map(ip).map(|ip| self.peer_address_of(&ip)).collect()
    }

    /// Returns the metrics endpoint, if one is set and well formed.
    #[must_use]
    pub fn metrics_endpoint(&self) -> Option<MetricsEndpoint> {
        let (port, path) = self.metrics.as_deref()?.split_once('/')?;
        let port: u16 = port.parse().ok()?;
        Some(MetricsEndpoint { address: format!("{}:{port}", self.ip), path: format!("/{path}") })
    }

    /// Returns how many machines of the control plane may fail at the same time.
    #[must_use]
    pub fn tolerated_failures(&self) -> usize {
        let machines = self.fault_tolerance.as_ref().and_then(|tolerance| tolerance.machines);
        machines.unwrap_or(0) as usize
    }

    /// Returns how many file descriptors the process may use.
    #[must_use]
    pub fn max_descriptors(&self) -> usize {
        let given = self.limits.as_ref().and_then(|limits| limits.max_descriptors);
        given.and_then(|given| usize::try_from(given).ok()).unwrap_or(DEFAULT_MAX_DESCRIPTORS)
    }

    /// Returns how many connections to workers may be open at a time: the file descriptors that are
    /// not reserved, but at least a quarter of all.
    #[must_use]
    pub fn max_worker_connections(&self) -> usize {
        let descriptors = self.max_descriptors();
        descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(descriptors / 4)
    }

    /// Returns the time that the process has to shut down, in milliseconds.
    #[must_use]
    pub fn shutdown_grace_ms(&self) -> u64 {
        (self.bound(|bounds| bounds.shutdown_grace_s, DEFAULT_SHUTDOWN_GRACE_S) * MS_PER_S) as u64
    }

    /// Returns the configuration of the job scheduler.
    #[must_use]
    pub fn scheduler_config(&self) -> SchedulerConfig {
        SchedulerConfig {
            max_lease_ms: self.bound(|bounds| bounds.max_lease_ms, DEFAULT_MAX_LEASE_MS) as u64,
            gang_assembly_timeout_ms: self
                .bound(|bounds| bounds.gang_assembly_timeout_ms, DEFAULT_GANG_ASSEMBLY_TIMEOUT_MS)
                as u64,
            stop_timeout_ms: self.bound(|bounds| bounds.stop_timeout_ms, DEFAULT_STOP_TIMEOUT_MS) as u64,
            checkpoint_restore_ms: self
                .bound(|bounds| bounds.checkpoint_restore_ms, DEFAULT_CHECKPOINT_RESTORE_MS)
                as u64,
            closed_job_retention_ms: (self
                .bound(|bounds| bounds.closed_job_retention_s, DEFAULT_CLOSED_JOB_RETENTION_S)
                * MS_PER_S) as u64,
            remote_data_slowdown: self
                .bound(|bounds| bounds.remote_data_slowdown, DEFAULT_REMOTE_DATA_SLOWDOWN),
            max_concurrent_calls: self.max_worker_connections(),
        }
    }

    /// Returns the folder of the process's files, if it has one.
    #[must_use]
    pub fn data_folder(&self) -> Option<PathBuf> {
        self.data_folder.as_ref().map(PathBuf::from)
    }

    /// Returns the value of a field of [`Bounds`], or `default` if it is not set.
    fn bound(&self, field: fn(&Bounds) -> Option<f64>, default: f64) -> f64 {
        self.bounds.as_ref().and_then(field).unwrap_or(default)
    }
}
