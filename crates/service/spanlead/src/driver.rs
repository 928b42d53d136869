//! Runs the engine: one input at a time, then the effects that it asks for, whose results come back
//! as inputs.
//!
//! - `startup`: sockets, tasks and the first inputs;
//! - `signals`: what operations say by signals;
//! - `run`: the loop, and the end of the process;
//! - `receive`: messages from the sockets;
//! - `notices`: workers' notices, which may be for another process;
//! - `effects`: the engine's effects, performed;
//! - `durable_log`: effects that wait until their records are durable;
//! - `peer_processes`: the other processes of this scheduler, while one takes over from another;
//! - `reload`: the configuration file, read again;
//! - `operators`: what operators ask for.
mod durable_log;
mod effects;
mod notices;
mod operators;
mod peer_processes;
mod receive;
mod reload;
mod run;
mod signals;
mod startup;

pub(crate) use startup::serve;

use crate::config::{Capacity, KeyPaths};
use durable_log::{DurableLog, DurableLogStage};
use peer_processes::PeerProcesses;
use spanlead_balancing_policy::RequestId;
use spanlead_deployment_settings::{Deployment, Names, ReportMapping};
use spanlead_engine::{Answer, AttemptId, Effect, Engine, Input, NoticeReply};
use spanlead_inventory::service::InventoryService;
use spanlead_net::clients::ClientListener;
use spanlead_net::peers::{PeerAddresses, PeerSocket};
use spanlead_net::wire::ClientRequest;
use spanlead_net::workers::WorkerPool;
use spanlead_net::{ClientConnection, Clock, DurableJobsError, Message};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

/// A request whose client waits here.
struct PendingRequest {
    connection: Arc<ClientConnection>,
    reply: oneshot::Sender<Answer>,
    request: Arc<ClientRequest>,
}

/// The capacity of this process.
struct Capacities {
    alone: Capacity,
    /// While another process of this scheduler runs.
    shared: Capacity,
}

/// Where new connections are accepted.
struct Accepting {
    /// The listening socket, until this process can serve where another still does.
    socket: Option<TcpListener>,
    /// The task that accepts.
    task: Option<JoinHandle<()>>,
}

/// The peers of the tier.
struct Peers {
    socket: Option<PeerSocket>,
    /// The addresses that are still to be listened on; another process of this scheduler may hold
    /// them.
    wanted: Option<PeerAddresses>,
}

/// Workers' notices that wait for their answers.
#[derive(Default)]
struct PendingNotices {
    replies: HashMap<u64, oneshot::Sender<NoticeReply>>,
    last_number: u64,
}

struct Driver {
    engine: Engine,
    clock: Clock,
    report_mapping: ReportMapping,
    /// Requests that wait for their answer.
    pending: HashMap<RequestId, PendingRequest>,
    /// Attempts that are being dispatched to their workers.
    dispatches: HashMap<AttemptId, JoinHandle<()>>,
    pool: Arc<WorkerPool>,
    client_listener: Arc<ClientListener>,
    /// The names in use, for whoever reads messages.
    names: watch::Sender<Arc<Names>>,
    /// The deployment of the file in use.
    deployment: Deployment,
    /// The keys of the file in use.
    keys: KeyPaths,
    /// The watch of discovery, if one has begun.
    watch: Option<JoinHandle<()>>,
    peers: Peers,
    peer_processes: PeerProcesses,
    /// The log of durable jobs, if they are kept.
    durable_log: Option<DurableLog>,
    /// The inventories, if there are any.
    inventories: Option<InventoryService>,
    notices: PendingNotices,
    /// Why this process cannot go on.
    failure: Option<DurableJobsError>,
    capacities: Capacities,
    accepting: Accepting,
    messages: UnboundedSender<Message>,
    /// The effects of the present step; kept for its memory.
    effects: Vec<Effect>,
}

impl Driver {
    /// Gives the engine an input and performs the effects.
    fn step(&mut self, input: Input) {
        let mut effects = std::mem::take(&mut self.effects);
        self.engine.step(self.clock.now(), input, &mut effects);
        for effect in effects.drain(..) {
            self.perform(effect);
        }
        self.effects = effects;
        if let Some(log) = &mut self.durable_log {
            log.flush_urgent();
        }
        self.client_listener.ready.store(self.engine.is_ready(), Ordering::Relaxed);
        self.client_listener.closing.store(self.engine.is_closing(), Ordering::Relaxed);
        self.start_accepting();
    }

    /// Accepts connections from when this process can. Beside another that serves, nobody should
    /// meet one that cannot yet.
    fn start_accepting(&mut self) {
        let is_opening = self.durable_log.as_ref().is_some_and(|log| log.stage() == DurableLogStage::Opening);
        let can_accept = !self.peer_processes.has_predecessor() || self.engine.is_serving();
        if !is_opening
            && can_accept
            && let Some(socket) = self.accepting.socket.take()
        {
            let listener = self.client_listener.clone();
            self.accepting.task = Some(tokio::spawn(listener.listen(socket)));
        }
    }

    /// Has an input given to the engine after all messages that wait.
    fn enqueue(&self, input: Input) {
        let _ = self.messages.send(Message::Input(input));
    }
}
