//! The one place where configuration is read, checked and given defaults.
use serde::Deserialize;
use serde_json::Value;
use spanlead_balancing_policy::{Dispatcher, Nanos};
use spanlead_deployment_settings::{Deployment, DeploymentOptions, InvalidField};
use spanlead_engine::WorkerEndpoint;
use spanlead_net::SOCKET_SLACK;
use spanlead_net::clients::MAX_HEAD;
use spanlead_net::operator::MAX_CALLS;
use spanlead_net::peers::PeerAddresses;
use spanlead_net::wire;
use spanlead_net::workers::PoolConfig;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use xxhash_rust::xxh3::xxh3_64;

/// The start of 2026 in tenths of a second since 1970: incarnations are counted from there, so that they fit for 13 years.
const EPOCH: u128 = 17_672_256_000;
/// Fewer descriptors, or less memory, than this leave nothing to serve with.
const MIN_SOCKETS: usize = 64;
const MIN_MEMORY_MB: usize = 16;
/// Descriptors that are left for clients and workers whatever else is wanted.
const MIN_SHARED: usize = 12;
/// Descriptors that are neither a client's nor a worker's connection: the listener, the runtime's, standard input and
/// output, discovery, peers, and some to spare.
const OTHER_SOCKETS: usize = 32;
/// What a client's connection may hold at the most: its buffer, a body, and what is kept beside them.
const CLIENT_MEMORY: usize = MAX_HEAD + wire::MAX_BODY + 16 * 1024;

/// All that the scheduler is told at its start.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call, if they may.
    pub operator: Option<SocketAddr>,
    pub seed: u64,
    /// The listening socket that this process was given, in place of one of its own at `listen`.
    pub listen_fd: Option<RawFd>,
    pub shares: Shares,
    /// While another process of this scheduler runs, each keeps to these.
    pub half: Shares,
    pub peers: Option<PeerAddresses>,
    pub known_seq: u64,
    pub known: Vec<WorkerEndpoint>,
    pub deployment: Deployment,
    /// The keys of the file, which a later one may not lack.
    pub keys: Keys,
}

/// The paths of a file's keys. In a list of objects a key counts that all of them have, under `[]`.
pub type Keys = BTreeSet<String>;

fn keys(value: &Value) -> Keys {
    let mut all = Keys::new();
    match value {
        Value::Object(object) => {
            for (key, value) in object {
                all.insert(key.clone());
                // What was last known of the workers is no setting: its parts come and go.
                if key != "known" {
                    let below = |path: String| if path.starts_with('[') { path } else { format!(".{path}") };
                    all.extend(keys(value).into_iter().map(|path| format!("{key}{}", below(path))));
                }
            }
        }
        Value::Array(list) => {
            let each = list.iter().filter(|v| v.is_object()).map(keys);
            let common = each.reduce(|a, b| a.intersection(&b).cloned().collect()).unwrap_or_default();
            all.extend(common.into_iter().map(|path| format!("[].{path}")));
        }
        _ => {}
    }
    all
}

/// How the machine's descriptors and memory are shared out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shares {
    /// Connections from clients, and for workers' notices.
    pub clients: usize,
    /// Requests that are open at a time; the other client connections are left for notices.
    pub open: usize,
    /// Connections to workers.
    pub workers: usize,
}

impl Shares {
    /// Clients hold up to a third of the descriptors for requests and notices come beside them, so two thirds are
    /// theirs, if half of the memory allows that; an exchange with a worker is short.
    fn of(limits: &Limits, door: bool) -> Self {
        let door = if door { MAX_CALLS + 1 } else { 0 };
        let descriptors = limits.sockets.saturating_sub(OTHER_SOCKETS + door).max(MIN_SHARED);
        let clients = (descriptors * 2 / 3).min(limits.memory_mb * (1 << 20) / 2 / CLIENT_MEMORY);
        Shares { clients, open: clients - clients / 4, workers: descriptors / 3 }
    }
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
    known: wire::List,
    settings: DeploymentOptions,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

impl Limits {
    fn half(&self) -> Self {
        Limits { sockets: self.sockets / 2, memory_mb: self.memory_mb / 2 }
    }
}

impl File {
    fn read() -> Result<(Self, Keys), ConfigError> {
        let path =
            variable("ROUTER_CONFIG").ok_or_else(|| ConfigError::new("ROUTER_CONFIG", "is not set"))?;
        let text =
            std::fs::read(&path).map_err(|e| ConfigError::new("ROUTER_CONFIG", format!("{path}: {e}")))?;
        let file = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(&text))
            .map_err(|e| ConfigError::new(faulty_key(e.path()), e.inner()))?;
        let value: Value = serde_json::from_slice(&text).map_err(|e| ConfigError::new("ROUTER_CONFIG", e))?;
        Ok((file, keys(&value)))
    }
}

impl Config {
    /// Reads the file that `$ROUTER_CONFIG` names; `$ROUTER_NAME`, `$ROUTER_LISTEN`, `$ROUTER_DISCOVERY` and
    /// `$ROUTER_OPERATOR` go before what it says.
    pub fn from_environment() -> Result<Self, ConfigError> {
        let (file, keys) = File::read()?;
        Self::checked(file, keys)
    }

    /// The list of workers in that file, as it stands there.
    pub fn known_list() -> Result<wire::List, ConfigError> {
        Ok(File::read()?.0.known)
    }

    /// Reads and checks the same file again, after it was replaced; `keys` are those of the one in use, none of which it
    /// may lack. Its `discovery` goes before `$ROUTER_DISCOVERY` here, which is as old as the process.
    pub fn again(keys: &Keys) -> Result<Self, ConfigError> {
        let (file, new) = File::read()?;
        if let Some(key) = keys.difference(&new).next() {
            return Err(ConfigError::new(key, "is missing"));
        }
        let named = file.discovery;
        let mut config = Self::checked(file, new)?;
        config.discovery = named.unwrap_or(config.discovery);
        Ok(config)
    }

    fn checked(file: File, keys: Keys) -> Result<Self, ConfigError> {
        let bad = |e: InvalidField| ConfigError::new(format!("settings.{}", e.field), e.problem);
        let mut deployment = Deployment::from_options(file.settings).map_err(bad)?;
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
        if file.limits.memory_mb < MIN_MEMORY_MB {
            return Err(ConfigError::new("limits.memory_mb", format!("must be at least {MIN_MEMORY_MB}")));
        }
        let operator = optional_address("ROUTER_OPERATOR", file.operator)?;
        let peers = file.peer_listen.filter(|_| deployment.settings.limits.can_message_peers);
        Ok(Config {
            name: variable("ROUTER_NAME").or(file.name).unwrap_or_else(|| "scheduler".to_owned()),
            listen: address("ROUTER_LISTEN", "listen", file.listen)?,
            discovery: address("ROUTER_DISCOVERY", "discovery", file.discovery)?,
            operator,
            seed,
            listen_fd: descriptor("ROUTER_LISTEN_FD")?,
            shares: Shares::of(&file.limits, operator.is_some()),
            half: Shares::of(&file.limits.half(), operator.is_some()),
            peers: peers.map(|listen| PeerAddresses { listen, each: file.peers, all: file.peers_all }),
            known_seq: file.known.seq,
            known: file.known.hosts(&deployment.names),
            deployment,
            keys,
        })
    }

    /// How this scheduler takes part in the membership, and the span between heartbeats.
    ///
    /// # Errors
    /// If the configuration has no peers for it; with the place of the section that wants them.
    pub fn members(
        &self,
        wanted: &spanlead_conf_file::Membership,
    ) -> Result<(spanlead_membership::MembershipConfig, Nanos), String> {
        let settings = &self.deployment.settings;
        let refused = |why: &str| Err(format!("{}: membership: {why}", wanted.place));
        if !settings.limits.can_message_peers {
            return refused("the settings bar messages between schedulers (`settings.limits.peerMessages`)");
        }
        let Some(peers) = &self.peers else {
            return refused("the configuration has no `peer_listen`");
        };
        if peers.each.is_empty() {
            return refused("the configuration has no `peers`");
        }
        if settings.instance as usize >= peers.each.len()
            || peers.each.len() != settings.instance_count as usize
        {
            return refused(
                "`peers` doesn't name each scheduler, this one included, in the order of their numbers",
            );
        }
        let Ok(count) = u16::try_from(peers.each.len()) else {
            return refused("there are more than 65535 `peers`");
        };
        // Tenths of a second since 2026: later starts have higher ones as long as clocks go on, and where one goes back the
        // others say so (`GossipMembership::renew_incarnation`).
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() / 100);
        let incarnation = now.saturating_sub(EPOCH).try_into().unwrap_or(u32::MAX);
        let settings = spanlead_membership::MembershipConfig {
            own_number: settings.instance as u16,
            member_count: count,
            tier_id: xxh3_64(wanted.tier.as_bytes()).to_le_bytes()[..4].try_into().unwrap_or_default(),
            name: self.name.clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            incarnation,
            fanout: wanted.fanout,
            tolerated_loss: wanted.loss,
            seed: self.seed ^ u64::from(incarnation),
        };
        Ok((settings, wanted.every.as_nanos() as Nanos))
    }

    /// The sets whose majorities grant duties, of so many configured schedulers.
    ///
    /// # Errors
    /// If the other set of a change isn't the smaller one; with the place of the keyword.
    pub fn sets(
        leases: &spanlead_conf_file::Leases,
        count: u16,
    ) -> Result<spanlead_singleton_roles::QuorumConfig, String> {
        match &leases.joint {
            Some((joint, place)) if *joint >= count => Err(format!(
                "{place}: joint-with: is not less than the {count} `peers`; the larger set has its `peers` here"
            )),
            joint => {
                let joint_schedulers = joint.as_ref().map_or(0, |(n, _)| *n);
                Ok(spanlead_singleton_roles::QuorumConfig { schedulers: count, joint_schedulers })
            }
        }
    }

    /// What the connections to workers go by.
    ///
    /// Where a handshake has a price, jobs go out on kept connections, and these are kept for half of the time after which the
    /// workers close them. Where it has none, an idle one is kept for the next probe only, and not for long: workers may close
    /// one long before the limit that they state, and what is written to it from then on ends in a reset.
    pub fn pool_config(&self) -> PoolConfig {
        let settings = &self.deployment.settings;
        let reuse = settings.prices.new_connection > 0.0;
        let keep = match (settings.limits.idle_connection_timeout, reuse) {
            (0, _) => 5_000_000_000,
            (idle, true) => idle / 2,
            (idle, false) => idle / 20,
        };
        PoolConfig {
            keep: Duration::from_nanos(keep),
            reuse,
            // What is decided now is sent when its connection is up, and its worker may be told to drain in between.
            connect_wait: Duration::from_nanos(settings.limits.connect_timeout)
                .min(Duration::from_nanos(settings.rules.drain_grace).max(SOCKET_SLACK)),
            report_mapping: self.deployment.report_mapping,
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
    optional_address(name, from_file)?
        .ok_or_else(|| ConfigError::new(key, format!("is missing, and {name} is not set")))
}

fn descriptor(name: &str) -> Result<Option<RawFd>, ConfigError> {
    let Some(text) = variable(name) else { return Ok(None) };
    let number = text.parse::<u16>().map_err(|e| ConfigError::new(name, format!("{text}: {e}")))?;
    Ok(Some(number.into()))
}

fn optional_address(name: &str, from_file: Option<SocketAddr>) -> Result<Option<SocketAddr>, ConfigError> {
    let Some(text) = variable(name) else { return Ok(from_file) };
    text.parse().map(Some).map_err(|e| ConfigError::new(name, format!("{text}: {e}")))
}
