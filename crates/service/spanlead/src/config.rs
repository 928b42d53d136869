//! The one place where the configuration is read, checked and given defaults.
//!
//! - `environment`: what the environment says;
//! - `capacity`: how descriptors and memory are shared out;
//! - `keys`: which keys a later file may not lack;
//! - `membership`: how this scheduler takes part in the membership;
//! - `error`: what is wrong with the configuration.
mod capacity;
mod environment;
mod error;
mod keys;
mod membership;

pub(crate) use capacity::Capacity;
pub(crate) use error::{ConfigError, MembershipError};
pub(crate) use keys::KeyPaths;
pub(crate) use membership::MembershipParams;

use capacity::Limits;
use environment::{address, descriptor, optional_address, variable};
use keys::key_paths;
use serde::Deserialize;
use serde_json::Value;
use spanlead_balancing_policy::Dispatcher;
use spanlead_deployment_settings::{Deployment, DeploymentOptions, InvalidField};
use spanlead_engine::WorkerEndpoint;
use spanlead_net::SOCKET_SLACK;
use spanlead_net::peers::PeerAddresses;
use spanlead_net::wire::EndpointList;
use spanlead_net::workers::PoolConfig;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::time::Duration;

/// How long a connection may take where the deployment does not say, nanoseconds.
const DEFAULT_CONNECT_TIMEOUT: u64 = 250_000_000;
/// How long an idle connection is kept where the deployment does not say, nanoseconds.
const DEFAULT_KEEP: u64 = 5_000_000_000;
/// Connections that jobs go out on are kept for this part of the time after which workers close
/// them.
const REUSED_KEEP_DIVISOR: u64 = 2;
/// Connections for health checks only are kept for this part of it.
const HEALTH_CHECK_KEEP_DIVISOR: u64 = 20;

/// All that the scheduler is configured with at its start.
pub(crate) struct Config {
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) discovery: SocketAddr,
    /// Where operators call, if they may.
    pub(crate) operator: Option<SocketAddr>,
    pub(crate) seed: u64,
    /// The listening socket that this process inherits, in place of one of its own at `listen`.
    pub(crate) listen_fd: Option<RawFd>,
    /// The capacity of a process alone.
    pub(crate) capacity: Capacity,
    /// The capacity of each process while another process of this scheduler runs.
    pub(crate) shared_capacity: Capacity,
    pub(crate) peers: Option<PeerAddresses>,
    /// Version of the last known endpoint list.
    pub(crate) known_version: u64,
    /// The last known endpoint list.
    pub(crate) known: Vec<WorkerEndpoint>,
    pub(crate) deployment: Deployment,
    /// The keys of the file, which a later one may not lack.
    pub(crate) keys: KeyPaths,
}

/// The configuration file, as JSON.
#[derive(Deserialize)]
struct ConfigFile {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    operator: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    #[serde(default)]
    known: EndpointList,
    settings: DeploymentOptions,
}

/// A configuration file that was read, with its keys.
struct ReadConfigFile {
    file: ConfigFile,
    keys: KeyPaths,
}

impl ReadConfigFile {
    fn read() -> Result<Self, ConfigError> {
        let file_error = |reason: String| ConfigError::new(environment::CONFIG_FILE, reason);
        let path = variable(environment::CONFIG_FILE).ok_or_else(|| file_error("is not set".to_owned()))?;
        let text = std::fs::read(&path).map_err(|error| file_error(format!("{path}: {error}")))?;
        let file = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(&text))
            .map_err(|error| ConfigError::new(faulty_key(error.path()), error.inner()))?;
        let value: Value = serde_json::from_slice(&text).map_err(|error| file_error(error.to_string()))?;
        Ok(ReadConfigFile { file, keys: key_paths(&value) })
    }
}

impl Config {
    /// Reads the file that `$ROUTER_CONFIG` names; `$ROUTER_NAME`, `$ROUTER_LISTEN`,
    /// `$ROUTER_DISCOVERY` and `$ROUTER_OPERATOR` go before what it says.
    pub(crate) fn from_environment() -> Result<Self, ConfigError> {
        ReadConfigFile::read()?.check()
    }

    /// The endpoint list in that file, as it stands there.
    pub(crate) fn known_endpoints() -> Result<EndpointList, ConfigError> {
        Ok(ReadConfigFile::read()?.file.known)
    }

    /// Reads and checks the same file again, after it was replaced; `keys` are those of the one in
    /// use, none of which it may lack. Its `discovery` goes before `$ROUTER_DISCOVERY` here, which
    /// is as old as the process.
    pub(crate) fn reload(keys: &KeyPaths) -> Result<Self, ConfigError> {
        let read = ReadConfigFile::read()?;
        if let Some(key) = keys.difference(&read.keys).next() {
            return Err(ConfigError::new(key, "is missing"));
        }
        let discovery = read.file.discovery;
        let mut config = read.check()?;
        config.discovery = discovery.unwrap_or(config.discovery);
        Ok(config)
    }

    /// What the connections to workers go by.
    ///
    /// Where a handshake has a price, jobs go out on kept connections, and these are kept for half
    /// of the time after which the workers close them. Where it has none, an idle one is kept for
    /// the next health check only, and not for long: workers may close one long before the limit
    /// that they state, and what is written to it from then on ends in a reset.
    pub(crate) fn pool_config(&self) -> PoolConfig {
        let settings = &self.deployment.settings;
        let reuse = settings.prices.new_connection > 0.0;
        let keep = match (settings.limits.idle_connection_timeout, reuse) {
            (0, _) => DEFAULT_KEEP,
            (idle, true) => idle / REUSED_KEEP_DIVISOR,
            (idle, false) => idle / HEALTH_CHECK_KEEP_DIVISOR,
        };
        // What is decided now is sent when its connection is up, and its worker may start draining
        // in between.
        let drain_grace = Duration::from_nanos(settings.rules.drain_grace);
        let connect_timeout = Duration::from_nanos(settings.limits.connect_timeout);
        PoolConfig {
            keep: Duration::from_nanos(keep),
            reuse,
            connect_timeout: connect_timeout.min(drain_grace.max(SOCKET_SLACK)),
            report_mapping: self.deployment.report_mapping,
        }
    }
}

impl ReadConfigFile {
    fn check(self) -> Result<Config, ConfigError> {
        let ReadConfigFile { file, keys } = self;
        let deployment = check_deployment(file.settings)?;
        let seed = parse_seed(&file.seed)?;
        file.limits.check()?;
        let operator = optional_address(environment::OPERATOR, file.operator)?;
        let peers = file.peer_listen.filter(|_| deployment.settings.limits.can_message_peers);
        Ok(Config {
            name: variable(environment::NAME).or(file.name).unwrap_or_else(|| "scheduler".to_owned()),
            listen: address(environment::LISTEN, "listen", file.listen)?,
            discovery: address(environment::DISCOVERY, "discovery", file.discovery)?,
            operator,
            seed,
            listen_fd: descriptor(environment::LISTEN_FD)?,
            capacity: Capacity::new(&file.limits, operator.is_some()),
            shared_capacity: Capacity::new(&file.limits.half(), operator.is_some()),
            peers: peers.map(|listen| PeerAddresses { listen, each: file.peers, all: file.peers_all }),
            known_version: file.known.version,
            known: file.known.endpoints(&deployment.names),
            deployment,
            keys,
        })
    }
}

fn check_deployment(options: DeploymentOptions) -> Result<Deployment, ConfigError> {
    let invalid = |error: InvalidField| ConfigError::new(format!("settings.{}", error.field), error.problem);
    let mut deployment = Deployment::from_options(options).map_err(invalid)?;
    // The policy refuses what makes no sense; ask it now, so that `check` finds it too.
    Dispatcher::new(deployment.settings.clone(), 0).map_err(|error| invalid(error.into()))?;
    if deployment.settings.limits.connect_timeout == 0 {
        deployment.settings.limits.connect_timeout = DEFAULT_CONNECT_TIMEOUT;
    }
    Ok(deployment)
}

fn parse_seed(seed: &str) -> Result<u64, ConfigError> {
    if seed.is_empty() {
        return Ok(0);
    }
    u64::from_str_radix(seed, 16).map_err(|error| ConfigError::new("seed", error))
}

/// A faulty key's path; what is wrong with the file as a whole is put down to the variable that
/// names it.
fn faulty_key(path: &serde_path_to_error::Path) -> String {
    let text = path.to_string();
    if text == "." || text == "?" { environment::CONFIG_FILE.to_owned() } else { text }
}
