//! The settings file of a process.
use crate::metrics::Endpoint;
use miniserde::{Deserialize, json};
use quick_error::quick_error;
use std::net::SocketAddr;
use std::path::PathBuf;

quick_error! {
    /// Why settings can't be used.
    #[derive(Debug)]
    pub enum SettingsError {
        /// No variable names the file.
        Unnamed {
            display("SPANLEAD_CONFIG names no settings file")
        }
        /// The file can't be read.
        File(path: String, error: std::io::Error) {
            display("{}: {}", path, error)
        }
        /// It is not of this form.
        Form(path: String) {
            display("{}: no settings: a field is missing or of another type", path)
        }
        /// A value that makes no sense.
        Value(path: String, what: &'static str) {
            display("{}: {}", path, what)
        }
    }
}

/// Descriptors that are kept for everything but workers.
const KEPT_DESCRIPTORS: usize = 1_100;
/// Descriptors of a process that is told no limit.
const USUAL_DESCRIPTORS: usize = 1_024;

/// The variable that names the file.
pub const VARIABLE: &str = "SPANLEAD_CONFIG";

/// Where a process listens.
#[derive(Deserialize, Clone, Debug)]
pub struct ListenAddresses {
    /// For clients.
    pub front: Option<String>,
    /// For the platform's questions whether it is ready.
    pub readiness: Option<String>,
    /// For operators.
    pub control: Option<String>,
}

/// What a process may use.
#[derive(Deserialize, Clone, Debug)]
pub struct Limits {
    /// Memory, MB.
    #[serde(rename = "memoryMb")]
    pub memory_mb: Option<u64>,
    /// Descriptors.
    #[serde(rename = "maxFds")]
    pub max_fds: Option<u64>,
}

/// What may be lost at once.
#[derive(Deserialize, Clone, Debug)]
pub struct FaultTolerance {
    /// Machines that count.
    pub machines: Option<u32>,
}

/// Figures of the rules.
#[derive(Deserialize, Clone, Debug)]
pub struct Bounds {
    /// How long a process has to end, seconds.
    #[serde(rename = "graceS")]
    pub grace_s: Option<f64>,
    /// The longest that a worker holds what runs there, milliseconds.
    #[serde(rename = "maxHoldMs")]
    pub max_hold_ms: Option<f64>,
    /// How long a gang's members wait for one another, milliseconds.
    pub gang_ms: Option<f64>,
    /// How long a stop takes, milliseconds.
    pub stop_ms: Option<f64>,
    /// How long a task needs to go on from a checkpoint, milliseconds.
    pub restore_ms: Option<f64>,
    /// How long a job's end is told, seconds.
    pub status_s: Option<f64>,
    /// How many times as long a task takes far from its data.
    pub far_x: Option<f64>,
}

/// The platform's list of workers.
#[derive(Deserialize, Clone, Debug)]
pub struct CloudApi {
    /// Where it is asked.
    pub address: String,
    /// Calls a second that it takes from all schedulers together.
    #[serde(rename = "ratePerS")]
    pub rate_per_s: Option<f64>,
}

/// The settings of a process.
#[derive(Deserialize, Clone, Debug)]
pub struct Settings {
    /// The machine's name.
    pub node: String,
    /// Its address.
    pub ip: String,
    /// Its zone.
    pub zone: Option<String>,
    /// Where to listen.
    #[serde(rename = "listenAddrs")]
    pub listen: ListenAddresses,
    /// First and last port left for what schedulers say to each other.
    #[serde(rename = "portRange")]
    pub ports: Vec<u16>,
    /// Control addresses of other machines.
    pub seeds: Vec<String>,
    /// Whether this is the first start of the whole system.
    pub bootstrap: Option<bool>,
    /// Whether this machine's loss counts.
    #[serde(rename = "countsForQuorum")]
    pub counts_for_quorum: Option<bool>,
    /// What it may use.
    pub limits: Option<Limits>,
    /// Where its files live; none without a disk.
    #[serde(rename = "dataDir")]
    pub data_folder: Option<String>,
    /// What may be lost at once.
    #[serde(rename = "faultTolerance")]
    pub fault_tolerance: Option<FaultTolerance>,
    /// Figures of the rules.
    pub bounds: Option<Bounds>,
    /// Where the process tells its figures: port and path, as `9100/metrics`.
    pub metrics: Option<String>,
    /// The platform's list.
    #[serde(rename = "cloudApi")]
    pub cloud: Option<CloudApi>,
}

impl Settings {
    /// Reads the file that the variable names.
    ///
    /// # Errors
    /// With what is wrong.
    pub fn load() -> Result<Self, SettingsError> {
        let path = std::env::var(VARIABLE).map_err(|_| SettingsError::Unnamed)?;
        Settings::read(&path)
    }

    /// Reads a file.
    ///
    /// # Errors
    /// With what is wrong.
    pub fn read(path: &str) -> Result<Self, SettingsError> {
        let text =
            std::fs::read_to_string(path).map_err(|error| SettingsError::File(path.to_owned(), error))?;
        let settings: Settings = json::from_str(&text).map_err(|_| SettingsError::Form(path.to_owned()))?;
        let value = |what| Err(SettingsError::Value(path.to_owned(), what));
        if settings.ports.len() != 2 || settings.ports[0] > settings.ports[1] {
            return value("portRange: not a first and a last port");
        }
        if settings.metrics.as_ref().is_some_and(|told| !told.is_empty())
            && settings.metrics_endpoint().is_none()
        {
            return value("metrics: not a port and a path");
        }
        if settings.seeds.iter().any(|seed| seed.parse::<SocketAddr>().is_err()) {
            return value("seeds: not all are addresses");
        }
        Ok(settings)
    }

    /// Where other schedulers reach a machine of that address.
    #[must_use]
    pub fn peer_of(&self, ip: &str) -> String {
        format!("{ip}:{}", self.ports[0])
    }

    /// Where this machine's control plane is reached by other schedulers.
    #[must_use]
    pub fn peer(&self) -> String {
        self.peer_of(&self.ip)
    }

    /// The seeds as other schedulers reach them.
    #[must_use]
    pub fn seed_peers(&self) -> Vec<String> {
        let ip = |seed: &String| seed.parse::<SocketAddr>().ok().map(|address| address.ip().to_string());
        self.seeds.iter().filter_map(ip).map(|ip| self.peer_of(&ip)).collect()
    }

    /// Where the process tells its figures, if it is to.
    #[must_use]
    pub fn metrics_endpoint(&self) -> Option<Endpoint> {
        let (port, path) = self.metrics.as_deref()?.split_once('/')?;
        let port: u16 = port.parse().ok()?;
        Some(Endpoint { address: format!("{}:{port}", self.ip), path: format!("/{path}") })
    }

    /// Machines that may be lost at once.
    #[must_use]
    pub fn losses(&self) -> usize {
        self.fault_tolerance.as_ref().and_then(|t| t.machines).unwrap_or(0) as usize
    }

    /// Descriptors that the process may use.
    #[must_use]
    pub fn max_descriptors(&self) -> usize {
        let told = self.limits.as_ref().and_then(|limits| limits.max_fds);
        told.and_then(|told| usize::try_from(told).ok()).unwrap_or(USUAL_DESCRIPTORS)
    }

    /// Connections to workers that may be open at once: what files, the control plane, data planes, operators and the
    /// platform need is left free.
    #[must_use]
    pub fn worker_connections(&self) -> usize {
        let descriptors = self.max_descriptors();
        descriptors.saturating_sub(KEPT_DESCRIPTORS).max(descriptors / 4)
    }

    /// How long the process has to end, milliseconds.
    #[must_use]
    pub fn grace_ms(&self) -> u64 {
        let seconds = self.bounds.as_ref().and_then(|b| b.grace_s).unwrap_or(6.0);
        (seconds * 1_000.0) as u64
    }

    /// The scheduler's bounds.
    #[must_use]
    pub fn job_bounds(&self) -> spanlead_job_scheduler::SchedulerConfig {
        let given = |pick: fn(&Bounds) -> Option<f64>, default: f64| {
            self.bounds.as_ref().and_then(pick).unwrap_or(default)
        };
        spanlead_job_scheduler::SchedulerConfig {
            max_lease_ms: given(|b| b.max_hold_ms, 6_000.0) as u64,
            gang_assembly_timeout_ms: given(|b| b.gang_ms, 3_000.0) as u64,
            stop_timeout_ms: given(|b| b.stop_ms, 400.0) as u64,
            checkpoint_restore_ms: given(|b| b.restore_ms, 600.0) as u64,
            closed_job_retention_ms: (given(|b| b.status_s, 120.0) * 1_000.0) as u64,
            remote_data_slowdown: given(|b| b.far_x, 1.0),
            max_concurrent_calls: self.worker_connections(),
        }
    }

    /// The folder for files.
    #[must_use]
    pub fn folder(&self) -> Option<PathBuf> {
        self.data_folder.as_ref().map(PathBuf::from)
    }
}
