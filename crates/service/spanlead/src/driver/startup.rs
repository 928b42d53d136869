//! The start of a process: settings, sockets, tasks and the first inputs.
use super::durable_log::DurableLog;
use super::peer_processes::PeerProcesses;
use super::signals::Signals;
use super::{Accepting, Capacities, Driver, Peers, PendingNotices};
use crate::config::{Config, MembershipError, MembershipParams};
use crate::durable_log::open_log;
use spanlead_balancing_policy::{EndpointUpdate, Nanos, SettingsError};
use spanlead_conf_file as conf;
use spanlead_deployment_settings::Names;
use spanlead_engine::{Engine, Input, InventoryUpdate, InventoryVersion, RoleTask};
use spanlead_inventory::service::{InventoryChange, InventoryService};
use spanlead_net::clients::{ClientListener, ListenerParams, inherited_listener};
use spanlead_net::handover::{connect_to_predecessor, listen_for_successors, socket_path};
use spanlead_net::operator::{self, OperatorRequest};
use spanlead_net::workers::WorkerPool;
use spanlead_net::{Clock, DurableJobsError, Message, ProcessLink};
use spanlead_singleton_roles::QuorumConfig;
use spanlead_worker_attributes::Vocabulary;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;

/// Why a scheduler cannot serve.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ServeError {
    /// The operators' settings do not fit the configuration.
    #[error(transparent)]
    Membership(#[from] MembershipError),
    /// The policy refuses the deployment's settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The inherited descriptor is no listening socket.
    #[error("cannot listen on descriptor {fd}: {source}")]
    InheritedListener {
        /// The descriptor.
        fd: RawFd,
        /// What is wrong with it.
        source: io::Error,
    },
    /// The clients' address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What is wrong with it.
        source: io::Error,
    },
    /// The operators' address cannot be bound.
    #[error("cannot listen on {address} for operators: {source}")]
    OperatorListen {
        /// The address.
        address: SocketAddr,
        /// What is wrong with it.
        source: io::Error,
    },
    /// The address for datagrams cannot be bound.
    #[error("cannot listen on {address} for peers: {source}")]
    PeerListen {
        /// The address.
        address: SocketAddr,
        /// What is wrong with it.
        source: io::Error,
    },
    /// The log of durable jobs cannot be used.
    #[error(transparent)]
    DurableJobs(#[from] DurableJobsError),
    /// The system refuses something else.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// How this scheduler takes part in a tier.
struct TierParams {
    membership: MembershipParams,
    quorum_sets: QuorumConfig,
}

/// Where clients connect.
struct ClientSocket {
    socket: TcpListener,
    /// The process that this one takes over from.
    predecessor: Option<ProcessLink>,
}

/// Serves until told to shut down, then until nothing is open.
pub(crate) async fn serve(config: Config, conf: conf::ConfFile) -> Result<(), ServeError> {
    let tier = tier_params(&config, &conf)?;
    // Before anything is accepted: until then these signals end the process.
    let signals = Signals::new()?;
    let clock = Clock::new();
    let (messages, inbox) = unbounded_channel();
    let ClientSocket { socket, predecessor } = open_client_socket(&config, &messages).await?;
    let listen_address = socket.local_addr()?;
    let operators = open_operator_socket(config.operator).await?;
    if let Some(settings) = conf.durable_log.clone() {
        open_log(settings, clock, predecessor.is_some(), messages.clone());
    }
    let known = Input::EndpointList {
        scope: EndpointUpdate::CachedSnapshot,
        version: config.known_version,
        hosts: config.known.clone(),
    };
    let name = config.name.clone();
    let resources = Resources { clock, messages, socket, predecessor };
    let mut driver = Driver::new(config, &conf, resources)?;
    driver.open_peer_socket()?;
    if let Some(tier) = tier {
        driver.join_tier(tier, conf.role_leases, conf.roles);
    }
    driver.step(known);
    tracing::info!(name, address = %listen_address, "listening");
    driver.run(inbox, operators, signals).await;
    driver.step(Input::LeaveMembership);
    if let Some(failure) = driver.failure {
        return Err(failure.into());
    }
    tracing::info!("shutdown complete");
    Ok(())
}

fn tier_params(config: &Config, conf: &conf::ConfFile) -> Result<Option<TierParams>, MembershipError> {
    let Some(wanted) = &conf.membership else { return Ok(None) };
    let membership = config.membership(wanted)?;
    let quorum_sets = Config::quorum_sets(&conf.role_leases, membership.settings.member_count)?;
    Ok(Some(TierParams { membership, quorum_sets }))
}

/// The clients' listening socket: an inherited one, with the predecessor that may serve it too, or
/// one of its own.
async fn open_client_socket(
    config: &Config,
    messages: &UnboundedSender<Message>,
) -> Result<ClientSocket, ServeError> {
    let Some(fd) = config.listen_fd else {
        let address = config.listen;
        let socket = TcpListener::bind(address).await;
        let socket = socket.map_err(|source| ServeError::Listen { address, source })?;
        return Ok(ClientSocket { socket, predecessor: None });
    };
    let path = socket_path(&config.name);
    let predecessor = connect_to_predecessor(&path, messages).await;
    tokio::spawn(listen_for_successors(path, messages.clone()));
    let socket = inherited_listener(fd).map_err(|source| ServeError::InheritedListener { fd, source })?;
    Ok(ClientSocket { socket, predecessor })
}

/// The operators' calls; none come if there is no address for them.
async fn open_operator_socket(
    address: Option<SocketAddr>,
) -> Result<UnboundedReceiver<OperatorRequest>, ServeError> {
    let (requests, operators) = unbounded_channel();
    if let Some(address) = address {
        let socket = TcpListener::bind(address).await;
        let socket = socket.map_err(|source| ServeError::OperatorListen { address, source })?;
        tracing::info!(operator = %socket.local_addr()?, "open to operators");
        tokio::spawn(operator::listen(socket, requests));
    }
    Ok(operators)
}

/// The names that inventories may use.
pub(super) fn vocabulary(names: &Names) -> Vocabulary {
    Vocabulary { zones: Some(names.zones.clone()), kinds: Some(names.kinds.clone()) }
}

/// Watches the inventories, if there are any; their versions come as inputs.
fn start_inventories(
    inventories: Vec<conf::InventorySettings>,
    names: &Names,
    messages: &UnboundedSender<Message>,
) -> Option<InventoryService> {
    if inventories.is_empty() {
        return None;
    }
    let messages = messages.clone();
    let notify = move |InventoryChange { merged_inventory, version, forced }| {
        let cause =
            version.map(|version| InventoryVersion { name: version.inventory, number: version.number });
        let update = InventoryUpdate { merged_inventory, cause, forced };
        let _ = messages.send(Message::Input(Input::InventoryUpdated(update)));
    };
    Some(InventoryService::start(inventories, vocabulary(names), notify))
}

/// What the driver owns from the start.
struct Resources {
    clock: Clock,
    messages: UnboundedSender<Message>,
    socket: TcpListener,
    predecessor: Option<ProcessLink>,
}

impl Driver {
    fn new(config: Config, conf: &conf::ConfFile, resources: Resources) -> Result<Self, ServeError> {
        let Resources { clock, messages, socket, predecessor } = resources;
        let keeps_durable_jobs = conf.durable_log.is_some();
        let capacities = Capacities { alone: config.capacity, shared: config.shared_capacity };
        let capacity = if predecessor.is_some() { capacities.shared } else { capacities.alone };
        let pool_config = config.pool_config();
        let deployment = config.deployment;
        let shared_names = Arc::new(deployment.names.clone());
        let names = watch::Sender::new(shared_names.clone());
        let client_listener = ClientListener::new(ListenerParams {
            names: names.subscribe(),
            clock,
            messages: messages.clone(),
            max_connections: capacity.client_connections,
            keeps_durable_jobs,
        });
        let engine = Engine::new(
            deployment.settings.clone(),
            shared_names,
            config.seed,
            capacity.open_requests,
            config.discovery,
            keeps_durable_jobs,
        )?;
        Ok(Driver {
            engine,
            clock,
            report_mapping: deployment.report_mapping,
            pending: HashMap::new(),
            dispatches: HashMap::new(),
            pool: Arc::new(WorkerPool::new(capacity.worker_connections, pool_config, messages.clone())),
            client_listener: Arc::new(client_listener),
            inventories: start_inventories(conf.inventories.clone(), &deployment.names, &messages),
            names,
            deployment,
            keys: config.keys,
            watch: None,
            peers: Peers { socket: None, wanted: config.peers },
            peer_processes: PeerProcesses::new(predecessor),
            durable_log: keeps_durable_jobs.then(DurableLog::opening),
            notices: PendingNotices::default(),
            failure: None,
            capacities,
            accepting: Accepting { socket: Some(socket), task: None },
            messages,
            effects: Vec::new(),
        })
    }

    /// Joins the membership, and takes part in the singleton roles if there are any.
    fn join_tier(
        &mut self,
        tier: TierParams,
        leases: conf::RoleLeaseSettings,
        roles: Vec<conf::RoleSettings>,
    ) {
        let MembershipParams { settings, heartbeat_interval } = tier.membership;
        let (me, seed) = (settings.own_number, settings.seed);
        self.step(Input::JoinMembership { settings: Box::new(settings), heartbeat_interval });
        if roles.is_empty() {
            return;
        }
        let ms = |span: Duration| span.as_millis() as u64;
        let settings = spanlead_singleton_roles::RoleConfig {
            own_number: me,
            quorum: tier.quorum_sets,
            lease_duration: ms(leases.lease_duration),
            clock_drift_bound: ms(leases.clock_drift_bound),
            reply_timeout: ms(leases.reply_timeout),
            seed,
        };
        let tasks = roles.into_iter().map(role_task).collect();
        self.step(Input::ConfigureRoles { settings, tasks });
    }
}

fn role_task(role: conf::RoleSettings) -> RoleTask {
    let conf::RoleCallTarget { address, path } = role.call;
    RoleTask {
        name: role.name,
        addr: address,
        path: path.into(),
        interval: role.call_interval.as_nanos() as Nanos,
    }
}
