//! The settings file of a process, JSON, which the variable [`SETTINGS_PATH_VARIABLE`] names.
//!
//! The names of its keys belong to the platform; see `docs/cluster.md`.
use miniserde::{Deserialize, json};
use quick_error::quick_error;
use spanlead_job_scheduler::SchedulerConfig;
use std::net::SocketAddr;
use std::path::PathBuf;

quick_error! {
    /// Why settings can't be used.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The variable is not set.
        VariableNotSet {
            display("SPANLEAD_CONFIG names no settings file")
        }
        /// The file can't be read.
        Io(path: String, error: std::io::Error) {
            display("{}: {}", path, error)
        }
        /// It is no JSON of this form.
        Malformed(path: String) {
            display("{}: no settings: a field is missing or of another type", path)
        }
        /// A value is invalid.
        InvalidValue(path: String, reason: &'static str) {
            display("{}: {}", path, reason)
        }
    }
}

/// File descriptors of a control plane that are reserved for everything but workers: files, the
/// control plane's members, data planes, operators and the platform.
const RESERVED_DESCRIPTORS: usize = 1_100;
/// File descriptors of a process whose settings give no limit.
const DEFAULT_MAX_DESCRIPTORS: usize = 1_024;
const DEFAULT_GRACE_S: f64 = 6.0;
const DEFAULT_MAX_LEASE_MS: f64 = 6_000.0;
const DEFAULT_GANG_MS: f64 = 3_000.0;
const DEFAULT_STOP_MS: f64 = 400.0;
const DEFAULT_RESTORE_MS: f64 = 600.0;
const DEFAULT_STATUS_S: f64 = 120.0;
const DEFAULT_FAR_FACTOR: f64 = 1.0;
const MS_PER_S: f64 = 1_000.0;

/// The environment variable that names the settings file.
pub const SETTINGS_PATH_VARIABLE: &str = "SPANLEAD_CONFIG";

/// Where a process listens, each `ip:port`.
#[derive(Deserialize, Clone, Debug)]
pub struct ListenAddresses {
    /// For clients.
    #[serde(rename = "front")]
    pub clients: Option<String>,
    /// For the platform's readiness checks.
    pub readiness: Option<String>,
    /// For operators.
    #[serde(rename = "control")]
    pub operators: Option<String>,
}

/// What a process may use.
#[derive(Deserialize, Clone, Debug)]
pub struct Limits {
    /// Memory, MB.
    #[serde(rename = "memoryMb")]
    pub memory_mb: Option<u64>,
    /// File descriptors.
    #[serde(rename = "maxFds")]
    pub max_descriptors: Option<u64>,
}

/// What may be lost at once.
#[derive(Deserialize, Clone, Debug)]
pub struct FaultTolerance {
    /// Machines of the control plane.
    pub machines: Option<u32>,
}

/// Bounds of the system's rules.
#[derive(Deserialize, Clone, Debug)]
pub struct Bounds {
    /// How long a process has to shut down, seconds.
    #[serde(rename = "graceS")]
    pub grace_s: Option<f64>,
    /// The longest lease on the runs of a worker, milliseconds.
    #[serde(rename = "maxHoldMs")]
    pub max_lease_ms: Option<f64>,
    /// How long a gang's members wait for one another, milliseconds.
    pub gang_ms: Option<f64>,
    /// How long a stop takes, milliseconds.
    pub stop_ms: Option<f64>,
    /// How long a task needs to resume from a checkpoint, milliseconds.
    pub restore_ms: Option<f64>,
    /// How long the outcome of a job can be queried, seconds.
    pub status_s: Option<f64>,
    /// How many times as long a task takes far from its data.
    #[serde(rename = "far_x")]
    pub far_factor: Option<f64>,
}

/// The platform's list of workers.
#[derive(Deserialize, Clone, Debug)]
pub struct CloudApi {
    /// Its address, `ip:port`.
    pub address: String,
    /// Calls a second that it takes from all schedulers together.
    #[serde(rename = "ratePerS")]
    pub rate_per_s: Option<f64>,
}

/// Where a process exposes its metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsEndpoint {
    /// Address and port.
    pub address: String,
    /// The path, with its first `/`.
    pub path: String,
}

/// The settings of a process.
#[derive(Deserialize, Clone, Debug)]
pub struct Settings {
    /// The machine's name.
    pub node: String,
    /// Its IP address.
    pub ip: String,
    /// Its zone.
    pub zone: Option<String>,
    /// Where to listen.
    #[serde(rename = "listenAddrs")]
    pub listen: ListenAddresses,
    /// First and last port for traffic between schedulers; the first one is used.
    #[serde(rename = "portRange")]
    pub ports: Vec<u16>,
    /// Operators' addresses of other machines of the control plane.
    pub seeds: Vec<String>,
    /// Whether this is the first start of the whole system.
    pub bootstrap: Option<bool>,
    /// Whether this machine's loss counts.
    #[serde(rename = "countsForQuorum")]
    pub counts_for_quorum: Option<bool>,
    /// What it may use.
    pub limits: Option<Limits>,
    /// The folder of its files; none without a disk.
    #[serde(rename = "dataDir")]
    pub data_folder: Option<String>,
    /// What may be lost at once.
    #[serde(rename = "faultTolerance")]
    pub fault_tolerance: Option<FaultTolerance>,
    /// Bounds of the system's rules.
    pub bounds: Option<Bounds>,
    /// Port and path of the metrics, as `9100/metrics`.
    pub metrics: Option<String>,
    /// The platform's list of workers.
    #[serde(rename = "cloudApi")]
    pub cloud_api: Option<CloudApi>,
}

impl Settings {
    /// Reads the file that the variable names.
    ///
    /// # Errors
    /// If the variable is not set, or as [`Settings::read`].
    pub fn load() -> Result<Self, SettingsError> {
        let path = std::env::var(SETTINGS_PATH_VARIABLE).map_err(|_| SettingsError::VariableNotSet)?;
        Settings::read(&path)
    }

    /// Reads a file and checks it.
    ///
    /// # Errors
    /// If it can't be read, is not of this form, or holds an invalid value.
    pub fn read(path: &str) -> Result<Self, SettingsError> {
        let text =
            std::fs::read_to_string(path).map_err(|error| SettingsError::Io(path.to_owned(), error))?;
        let settings: Settings =
            json::from_str(&text).map_err(|_| SettingsError::Malformed(path.to_owned()))?;
        match settings.invalid_value() {
            Some(reason) => Err(SettingsError::InvalidValue(path.to_owned(), reason)),
            None => Ok(settings),
        }
    }

    /// The first value that is invalid, with the reason.
    fn invalid_value(&self) -> Option<&'static str> {
        if self.ports.len() != 2 || self.ports[0] > self.ports[1] {
            return Some("portRange: not a first and a last port");
        }
        let has_metrics = self.metrics.as_ref().is_some_and(|metrics| !metrics.is_empty());
        if has_metrics && self.metrics_endpoint().is_none() {
            return Some("metrics: not a port and a path");
        }
        if self.seeds.iter().any(|seed| seed.parse::<SocketAddr>().is_err()) {
            return Some("seeds: not all are addresses");
        }
        None
    }

    /// The peer address of a machine: where other schedulers reach it.
    #[must_use]
    pub fn peer_address_of(&self, ip: &str) -> String {
        format!("{ip}:{}", self.ports[0])
    }

    /// The peer address of this machine.
    #[must_use]
    pub fn peer_address(&self) -> String {
        self.peer_address_of(&self.ip)
    }

    /// The peer addresses of the seeds.
    #[must_use]
    pub fn seed_peer_addresses(&self) -> Vec<String> {
        let ip = |seed: &String| seed.parse::<SocketAddr>().ok().map(|address| address.ip().to_string());
        self.seeds.iter().filter_map(ip).map(|ip| self.peer_address_of(&ip)).collect()
    }

    /// Where the process exposes its metrics, if it does.
    #[must_use]
    pub fn metrics_endpoint(&self) -> Option<MetricsEndpoint> {
        let (port, path) = self.metrics.as_deref()?.split_once('/')?;
        let port: u16 = port.parse().ok()?;
        Some(MetricsEndpoint { address: format!("{}:{port}", self.ip), path: format!("/{path}") })
    }

    /// How many machines of the control plane may be lost at once.
    #[must_use]
    pub fn tolerated_failures(&self) -> usize {
        let machines = self.fault_tolerance.as_ref().and_then(|tolerance| tolerance.machines);
        machines.unwrap_or(0) as usize
    }

    /// File descriptors that the process may use.
    #[must_use]
    pub fn max_descriptors(&self) -> usize {
        let given = self.limits.as_ref().and_then(|limits| limits.max_descriptors);
        given.and_then(|given| usize::try_from(given).ok()).unwrap_or(DEFAULT_MAX_DESCRIPTORS)
    }

    /// Connections to workers that may be open at once: the reserved descriptors are left free.
    #[must_use]
    pub fn max_worker_connections(&self) -> usize {
        let descriptors = self.max_descriptors();
        descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(descriptors / 4)
    }

    /// How long the process has to shut down, milliseconds.
    #[must_use]
    pub fn shutdown_grace_ms(&self) -> u64 {
        (self.bound(|bounds| bounds.grace_s, DEFAULT_GRACE_S) * MS_PER_S) as u64
    }

    /// The configuration of the job scheduler.
    #[must_use]
    pub fn scheduler_config(&self) -> SchedulerConfig {
        SchedulerConfig {
            max_lease_ms: self.bound(|bounds| bounds.max_lease_ms, DEFAULT_MAX_LEASE_MS) as u64,
            gang_assembly_timeout_ms: self.bound(|bounds| bounds.gang_ms, DEFAULT_GANG_MS) as u64,
            stop_timeout_ms: self.bound(|bounds| bounds.stop_ms, DEFAULT_STOP_MS) as u64,
            checkpoint_restore_ms: self.bound(|bounds| bounds.restore_ms, DEFAULT_RESTORE_MS) as u64,
            closed_job_retention_ms: (self.bound(|bounds| bounds.status_s, DEFAULT_STATUS_S) * MS_PER_S)
                as u64,
            remote_data_slowdown: self.bound(|bounds| bounds.far_factor, DEFAULT_FAR_FACTOR),
            max_concurrent_calls: self.max_worker_connections(),
        }
    }

    /// The folder of the process's files.
    #[must_use]
    pub fn data_folder(&self) -> Option<PathBuf> {
        self.data_folder.as_ref().map(PathBuf::from)
    }

    fn bound(&self, field: fn(&Bounds) -> Option<f64>, default: f64) -> f64 {
        self.bounds.as_ref().and_then(field).unwrap_or(default)
    }
}
