//! The one place where configuration is read, checked and given defaults.
use crate::core::Host;
use crate::net::wire;
use oatdock::{Dispatcher, Nanos};
use serde::Deserialize;
use settings::{BadField, Deployment, Options};
use std::fmt;
use std::net::SocketAddr;

/// Fewer descriptors than this leave nothing to serve with.
const MIN_SOCKETS: usize = 64;

/// All that the scheduler is told at its start.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    pub peers: Option<Peers>,
    pub known_seq: u64,
    pub known: Vec<Host>,
    pub deployment: Deployment,
}

/// Where the other schedulers are.
pub struct Peers {
    pub listen: SocketAddr,
    pub each: Vec<SocketAddr>,
    pub all: Option<SocketAddr>,
}

/// What is wrong, and with which key.
#[derive(Debug)]
pub struct ConfigError {
    key: String,
    why: String,
}

impl ConfigError {
    fn new(key: impl Into<String>, why: impl fmt::Display) -> Self {
        // One line, whatever the text came from.
        ConfigError { key: key.into(), why: why.to_string().replace('\n', " ") }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration key `{}`: {}", self.key, self.why)
    }
}

impl std::error::Error for ConfigError {}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    #[serde(default)]
    known: wire::List,
    settings: Options,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024 }
    }
}

impl File {
    fn read() -> Result<Self, ConfigError> {
        let path =
            variable("ROUTER_CONFIG").ok_or_else(|| ConfigError::new("ROUTER_CONFIG", "is not set"))?;
        let text =
            std::fs::read(&path).map_err(|e| ConfigError::new("ROUTER_CONFIG", format!("{path}: {e}")))?;
        serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(&text))
            .map_err(|e| ConfigError::new(faulty_key(e.path()), e.inner()))
    }
}

impl Config {
    /// Reads the file that `$ROUTER_CONFIG` names; `$ROUTER_NAME`, `$ROUTER_LISTEN` and `$ROUTER_DISCOVERY` go before
    /// what it says.
    pub fn from_environment() -> Result<Self, ConfigError> {
        Self::checked(File::read()?)
    }

    /// Reads and checks the same file again, after it was replaced, and returns its discovery address: the one key
    /// that is heeded without a restart. The file goes before `$ROUTER_DISCOVERY` here, which is as old as the process.
    pub fn new_discovery() -> Result<SocketAddr, ConfigError> {
        let file = File::read()?;
        let named = file.discovery;
        let config = Self::checked(file)?;
        Ok(named.unwrap_or(config.discovery))
    }

    fn checked(file: File) -> Result<Self, ConfigError> {
        let bad = |e: BadField| ConfigError::new(format!("settings.{}", e.field), e.why);
        let mut deployment = Deployment::read(file.settings).map_err(bad)?;
        // The module turns down what makes no sense; ask it now, so that `check` finds it too.
        Dispatcher::new(deployment.settings.clone(), 0).map_err(|e| bad(e.into()))?;
        if deployment.settings.limits.connect_timeout == 0 {
            deployment.settings.limits.connect_timeout = 250_000_000;
        }
        let seed = match file.seed.as_str() {
            "" => 0,
            hex => u64::from_str_radix(hex, 16).map_err(|e| ConfigError::new("seed", e))?,
        };
        if file.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::new("limits.sockets", format!("must be at least {MIN_SOCKETS}")));
        }
        let peers = file.peer_listen.filter(|_| deployment.settings.limits.peers);
        Ok(Config {
            name: variable("ROUTER_NAME").or(file.name).unwrap_or_else(|| "scheduler".to_owned()),
            listen: address("ROUTER_LISTEN", "listen", file.listen)?,
            discovery: address("ROUTER_DISCOVERY", "discovery", file.discovery)?,
            seed,
            sockets: file.limits.sockets,
            peers: peers.map(|listen| Peers { listen, each: file.peers, all: file.peers_all }),
            known_seq: file.known.seq,
            known: file.known.hosts(&deployment.names),
            deployment,
        })
    }

    /// How long an idle connection to a worker is kept: well under what the worker allows, since a request written
    /// to one that it is just closing ends in a reset.
    pub fn keep_idle(&self) -> Nanos {
        match self.deployment.settings.limits.conn_idle {
            0 => 5_000_000_000,
            limit => limit / 4 * 3,
        }
    }
}

/// A faulty key's path; what is wrong with the file as a whole is put down to the variable that names it.
fn faulty_key(path: &serde_path_to_error::Path) -> String {
    let text = path.to_string();
    if text == "." || text == "?" { "ROUTER_CONFIG".to_owned() } else { text }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

fn address(name: &str, key: &str, from_file: Option<SocketAddr>) -> Result<SocketAddr, ConfigError> {
    match (variable(name), from_file) {
        (Some(text), _) => text.parse().map_err(|e| ConfigError::new(name, format!("{text}: {e}"))),
        (None, Some(address)) => Ok(address),
        (None, None) => Err(ConfigError::new(key, format!("is missing, and {name} is not set"))),
    }
}
