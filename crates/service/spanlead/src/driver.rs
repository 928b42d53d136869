//! Runs the reducer: one input at a time, then the effects that it asks for, whose results come back as inputs.
mod durable;
mod effects;
mod operate;
mod peer_process;

use crate::config::{Config, Keys, Shares};
use crate::ledger;
use bytes::Bytes;
use spanlead_balancing_policy::Nanos;
use spanlead_balancing_policy::Outcome;
use spanlead_balancing_policy::{EndpointUpdate, RequestId};
use spanlead_conf_file as conf;
use spanlead_deployment_settings::{Deployment, Names, ReportMapping};
use spanlead_durable_jobs::Record;
use spanlead_engine::{
    Answer, AttemptId, DispatchResult, DurabilityBarrier, DurableSetup, Effect, Engine, Input,
    InventoryUpdate, InventoryVersion, NoticeReply, ReleasedEffect, RequestSnapshot, RoleTask,
    SettingsChange, WorkerNotice,
};
use spanlead_inventory::desk::{Desk, News, Status};
use spanlead_net::clients::{self, ClientConnection, ClientListener, ReceivedRequest};
use spanlead_net::discovery::DiscoveryClient;
use spanlead_net::handover::{self, Forwarded, PeerProcessEvent, ProcessLink};
use spanlead_net::operator::{self, OperatorRequest};
use spanlead_net::peers::{PeerAddresses, PeerSocket};
use spanlead_net::wire::{self, ClientRequest, NoticeBody, OperatorCall, OperatorReply};
use spanlead_net::workers::WorkerPool;
use spanlead_net::{Clock, Message};
use spanlead_wal::{CommitProgress, LogWriter};
use spanlead_worker_attributes::{Report, Vocabulary, reconcile};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot::error::TryRecvError;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, sleep_until};

/// How often idle connections to workers are looked through.
const SWEEP_EVERY: Duration = Duration::from_millis(500);
/// How often what waits for the disk is looked through for what it is too late for.
const STALL_CHECK: Duration = Duration::from_millis(50);
/// How long the last connections may take to close at the end.
const LAST_CLOSE: Duration = Duration::from_secs(1);

/// Findings that one answer to an operator shows; the others are counted.
const MAX_FINDINGS: usize = 1000;

/// How the inventories stand.
#[derive(serde::Serialize)]
struct Overview {
    inventories: Vec<Status>,
    report: Report,
}

fn vocabulary(names: &Names) -> Vocabulary {
    Vocabulary { zones: Some(names.zones.clone()), kinds: Some(names.kinds.clone()) }
}

/// A notice, and who waits for what it is answered.
type Heard = (NoticeBody, Option<oneshot::Sender<NoticeReply>>);

struct Open {
    connection: Arc<ClientConnection>,
    reply: oneshot::Sender<Answer>,
    parcel: Arc<ClientRequest>,
}

struct Driver {
    engine: Engine,
    clock: Clock,
    report_mapping: ReportMapping,
    /// Requests that wait for their answer.
    open: HashMap<RequestId, Open>,
    /// Attempts that are being handed to their workers.
    handovers: HashMap<AttemptId, JoinHandle<()>>,
    pool: Arc<WorkerPool>,
    client_listener: Arc<ClientListener>,
    /// The names in use, for whoever reads messages; and the settings and keys of the file in use.
    names: watch::Sender<Arc<Names>>,
    deployment: Deployment,
    keys: Keys,
    /// The watch of discovery, if one has been begun.
    watch: Option<JoinHandle<()>>,
    peers: Option<PeerSocket>,
    /// The peers whose address another process still holds.
    peers_wanted: Option<PeerAddresses>,
    /// The other processes of this scheduler, while one takes over from another.
    predecessor: Option<ProcessLink>,
    successor: Option<ProcessLink>,
    /// Requests that the predecessor has handed over and that are still to be read here, with the notices for them.
    adopted: HashMap<Arc<str>, (RequestSnapshot, Vec<Heard>)>,
    /// Requests that the successor has, and what would answer them here, which must not be heard of again.
    released: HashMap<Arc<str>, oneshot::Sender<Answer>>,
    /// Those of them that may still be on their way.
    leaving: Vec<oneshot::Receiver<NoticeReply>>,
    /// The ledger, if one is wanted.
    ledger: Option<Ledger>,
    /// The inventories, if there are any.
    desk: Option<Desk>,
    /// Who waits for the answers to workers' notices.
    notes: HashMap<u64, oneshot::Sender<NoticeReply>>,
    note: u64,
    /// Why this process can't go on.
    broken: Option<String>,
    /// What this process may hold alone, and beside another.
    shares: [Shares; 2],
    /// The listening socket, until this process can serve where another still does.
    listener: Option<TcpListener>,
    accepting: Option<JoinHandle<()>>,
    to: UnboundedSender<Message>,
    effects: Vec<Effect>,
}

/// The ledger's way to the disk. What must be durable before it is seen waits here.
struct Ledger {
    stage: Stage,
    store: Option<LogWriter>,
    barrier: DurabilityBarrier,
    /// Something that is seen waits for what was written down last.
    urgent: bool,
    /// What came before the ledger was open.
    held_back: Vec<Message>,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// It is being read, or another process has it.
    Opening,
    Open,
    /// It can't be written to any more; what is open ends.
    Failed,
    /// It is another process's.
    Released,
}

/// Serves until told to stop, then until nothing is owed.
pub async fn serve(config: Config, conf: conf::Conf) -> Result<(), Box<dyn std::error::Error>> {
    let pool_config = config.pool_config();
    let members = match &conf.membership {
        None => None,
        Some(wanted) => {
            let (members, every) = config.members(wanted)?;
            let sets = Config::sets(&conf.leases, members.member_count)?;
            Some((members, every, sets))
        }
    };
    let deployment = config.deployment;
    let names = watch::Sender::new(Arc::new(deployment.names.clone()));

    // Before anything is promised: until then these signals end the process.
    let signals = Signals::new()?;
    let clock = Clock::new();
    let (to, inbox) = unbounded_channel();
    let mut predecessor = None;
    let listener = match config.listen_fd {
        Some(fd) => {
            let path = handover::path(&config.name);
            predecessor = handover::predecessor(&path, &to).await;
            tokio::spawn(handover::listen(path, to.clone()));
            clients::inherited(fd).map_err(|e| format!("cannot listen on descriptor {fd}: {e}"))?
        }
        None => {
            let listener = TcpListener::bind(config.listen).await;
            listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?
        }
    };
    let bound = listener.local_addr()?;
    let (ask, asked) = unbounded_channel();
    if let Some(address) = config.operator {
        let door = TcpListener::bind(address).await;
        let door = door.map_err(|e| format!("cannot listen on {address} for operators: {e}"))?;
        tracing::info!(operator = %door.local_addr()?, "open to operators");
        tokio::spawn(operator::listen(door, ask));
    }
    let shares = [config.shares, config.half];
    let share = shares[usize::from(predecessor.is_some())];
    let marks = conf.ledger.is_some();
    let client_listener =
        Arc::new(ClientListener::new(names.subscribe(), clock, to.clone(), share.clients, marks));
    if let Some(settings) = conf.ledger {
        ledger::open(settings, clock, predecessor.is_some(), to.clone());
    }
    let desk = (!conf.inventories.is_empty()).then(|| {
        let to = to.clone();
        let tell = move |News { sheet, by, forced }| {
            let by = by.map(|(name, number)| InventoryVersion { name, number });
            let _ = to.send(Message::Input(Input::InventoryUpdated(InventoryUpdate { sheet, by, forced })));
        };
        Desk::start(conf.inventories, vocabulary(&deployment.names), tell)
    });
    let ledger = marks.then(|| Ledger {
        stage: Stage::Opening,
        store: None,
        barrier: DurabilityBarrier::default(),
        urgent: false,
        held_back: Vec::new(),
    });
    let mut driver = Driver {
        engine: Engine::new(
            deployment.settings.clone(),
            Arc::new(deployment.names.clone()),
            config.seed,
            share.open,
            config.discovery,
            marks,
        )?,
        clock,
        report_mapping: deployment.report_mapping,
        open: HashMap::new(),
        handovers: HashMap::new(),
        pool: Arc::new(WorkerPool::new(share.workers, pool_config, to.clone())),
        client_listener: client_listener.clone(),
        names,
        deployment,
        keys: config.keys,
        watch: None,
        peers: None,
        peers_wanted: config.peers,
        predecessor,
        successor: None,
        adopted: HashMap::new(),
        released: HashMap::new(),
        leaving: Vec::new(),
        ledger,
        desk,
        notes: HashMap::new(),
        note: 0,
        broken: None,
        shares,
        listener: Some(listener),
        accepting: None,
        to,
        effects: Vec::new(),
    };
    let known = Input::EndpointList {
        scope: EndpointUpdate::CachedSnapshot,
        version: config.known_seq,
        hosts: config.known,
    };
    driver.open_peers()?;
    if let Some((settings, every, sets)) = members {
        let (me, seed) = (settings.own_number, settings.seed);
        driver.step(Input::JoinMembership { settings: Box::new(settings), heartbeat_interval: every });
        if !conf.duties.is_empty() {
            let ms = |d: Duration| d.as_millis() as u64;
            let conf::Leases { lease, clock_bound, patience, .. } = conf.leases;
            let settings = spanlead_singleton_roles::RoleConfig {
                own_number: me,
                quorum: sets,
                lease_duration: ms(lease),
                clock_drift_bound: ms(clock_bound),
                reply_timeout: ms(patience),
                seed,
            };
            let tasks = conf.duties.into_iter().map(|d| RoleTask {
                name: d.name,
                addr: d.call.0,
                path: d.call.1.into(),
                every: d.every.as_nanos() as Nanos,
            });
            driver.step(Input::SingletonRoles { settings, tasks: tasks.collect() });
        }
    }
    driver.step(known);
    tracing::info!(name = config.name, address = %bound, "listening");
    driver.run(inbox, asked, signals).await;
    driver.step(Input::LeaveMembership);
    if let Some(why) = driver.broken {
        return Err(why.into());
    }
    tracing::info!("nothing is owed any more");
    Ok(())
}

/// What operations say by signals.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }
}

impl Driver {
    async fn run(
        &mut self,
        mut inbox: UnboundedReceiver<Message>,
        mut asked: UnboundedReceiver<OperatorRequest>,
        mut signals: Signals,
    ) {
        let mut sweep = tokio::time::interval(SWEEP_EVERY);
        let mut stall = tokio::time::interval(STALL_CHECK);
        // It is looked at only while something waits: what was missed till then must not come all at once.
        stall.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let client_listener = self.client_listener.clone();
        // The last connections close while this goes on: what they still bring is answered.
        let mut closing: Option<Instant> = None;
        loop {
            let one_ended = client_listener.one_ended();
            closing = self.finished().then(|| closing.unwrap_or(Instant::now() + LAST_CLOSE));
            if let Some(until) = closing {
                client_listener.close();
                if client_listener.empty() || Instant::now() >= until {
                    return;
                }
            }
            let timer = self.engine.next_timer(self.clock.now()).map(|at| self.clock.instant(at));
            let far = Instant::now() + SWEEP_EVERY;
            tokio::select! {
                biased;
                Some(asked) = asked.recv() => self.operate(asked),
                _ = signals.terminate.recv() => self.stop(),
                _ = signals.interrupt.recv() => self.stop(),
                _ = signals.hang_up.recv() => self.reload(),
                _ = sweep.tick() => self.sweep(),
                _ = stall.tick(), if self.ledger.as_ref().is_some_and(|l| !l.barrier.is_empty()) => self.too_late(),
                () = sleep_until(timer.unwrap_or(far)) => self.step(Input::Tick),
                message = inbox.recv() => if let Some(message) = message { self.receive(message) },
                () = one_ended, if closing.is_some() => {}
                () = sleep_until(closing.unwrap_or(far)), if closing.is_some() => {}
            }
        }
    }

    /// The configuration's file was replaced. A faulty one must not stop a scheduler that serves.
    fn reload(&mut self) {
        match Config::again(&self.keys) {
            Ok(config) => {
                let (discovery, pool_config, mut settings) = (config.discovery, config.pool_config(), None);
                let mut names = self.names.borrow().clone();
                self.keys = config.keys;
                if config.deployment != self.deployment {
                    self.deployment = config.deployment.clone();
                    let successor = config.deployment.succeed(&self.names.borrow());
                    let (new, continued_classes) = (successor.deployment, successor.continues);
                    settings = Some(SettingsChange { settings: Box::new(new.settings), continued_classes });
                    self.report_mapping = new.report_mapping;
                    self.pool.tune(pool_config);
                    // Who reads by them is heard only after the reducer knows the new numbers.
                    names = Arc::new(new.names);
                    self.names.send_replace(names.clone());
                }
                tracing::info!(%discovery, settings = settings.is_some(), "configuration read again");
                self.step(Input::ConfigurationReloaded { discovery, settings, names });
                if let Some(desk) = &self.desk {
                    desk.vocabulary(vocabulary(&self.names.borrow()));
                }
            }
            Err(error) => {
                tracing::error!("the new configuration is not used: {error}");
                self.step(Input::ReloadFailed);
                self.desk.iter().for_each(Desk::look);
            }
        }
    }

    fn sweep(&mut self) {
        self.pool.sweep();
        self.ledger.iter_mut().filter_map(|l| l.store.as_mut()).for_each(LogWriter::flush);
        if let Err(error) = self.open_peers() {
            tracing::warn!("{error}");
        }
        if self.engine.is_finishing(self.clock.now()) && self.successor.is_some() {
            self.step(Input::StartHandover);
            self.release_ledger();
        }
        // An idle client would only find out from its next request that nothing new should come here.
        if self.engine.is_redirect_grace_over(self.clock.now()) {
            self.client_listener.close_idle();
        }
    }

    /// With a successor this process must also be done with every connection that it accepted: what they still bring is
    /// served here.
    fn finished(&mut self) -> bool {
        if self.broken.is_some() {
            return true;
        }
        self.leaving.retain_mut(|arrived| matches!(arrived.try_recv(), Err(TryRecvError::Empty)));
        let alone = self.successor.is_none() || self.client_listener.empty() && self.leaving.is_empty();
        self.engine.is_finished(self.clock.now()) && alone
    }

    /// Listens for peers. While another process of this scheduler holds the address, that can wait.
    fn open_peers(&mut self) -> Result<(), String> {
        let Some(peers) = &self.peers_wanted else { return Ok(()) };
        match PeerSocket::open(peers, self.to.clone()) {
            Ok(link) => (self.peers, self.peers_wanted) = (Some(link), None),
            Err(error) if error.kind() == ErrorKind::AddrInUse && self.predecessor.is_some() => {}
            Err(error) => return Err(format!("cannot listen on {} for peers: {error}", peers.listen)),
        }
        Ok(())
    }

    fn stop(&mut self) {
        tracing::info!(open = self.open.len(), "stopping");
        // The successor takes what comes from now on, by both addresses.
        if let Some(accepting) = self.accepting.take_if(|_| self.successor.is_some()) {
            accepting.abort();
        }
        // The successor is this scheduler to its peers from now on. Without one they hear that it drains, and of its end.
        if self.successor.is_some() {
            (self.peers, self.peers_wanted) = (None, None);
        }
        self.step(Input::Shutdown);
    }

    fn receive(&mut self, message: Message) {
        // Before the ledger is read nobody can tell what is new and what is a repeat.
        if let Some(ledger) = self.ledger.as_mut().filter(|l| l.stage == Stage::Opening)
            && matches!(
                message,
                Message::RequestReceived(_) | Message::Notice { .. } | Message::RequestHandedOver { .. }
            )
        {
            return ledger.held_back.push(message);
        }
        match message {
            Message::DurableJobsOpened(Ok(opened)) => self.opened(*opened),
            Message::DurableJobsOpened(Err(why)) => self.broken = Some(why),
            Message::LogProgress(progress) => self.progress(progress),
            Message::RequestReceived(ReceivedRequest { request_id, mut job, parcel, connection, reply }) => {
                let adopted = self.adopted.remove(&job.id);
                // Its client has left while it waited for the ledger to open, and that was told before. What another process had begun
                // must be ended in order: of one that was adopted the departure is told after this.
                if adopted.is_none() && reply.is_closed() {
                    return self.step(Input::RequestRejected { class: job.class });
                }
                self.open.insert(request_id, Open { connection, reply, parcel: Arc::new(parcel) });
                let Some((snapshot, notices)) = adopted else {
                    return self.step(Input::RequestReceived {
                        request_id,
                        job,
                        previous_attempts: None,
                        durable: false,
                    });
                };
                let RequestSnapshot { due, attempts: tries, durable, .. } = snapshot;
                if !durable {
                    job.due = due;
                }
                self.step(Input::RequestReceived {
                    request_id,
                    job,
                    previous_attempts: Some(tries),
                    durable,
                });
                notices.into_iter().for_each(|(notice, heard)| self.heed(notice, heard));
            }
            Message::RequestHandedOver { snapshot, text, socket } => {
                let id = snapshot.id.clone();
                self.adopted.insert(id.clone(), (snapshot, Vec::new()));
                if let Err(error) = self.client_listener.adopt(socket, text) {
                    tracing::warn!(%error, "a request that was handed over is lost");
                    self.adopted.remove(&id);
                }
            }
            Message::Notice { notice, body, from, heard } => self.notice(notice, body, from, heard),
            Message::PeerProcess(kin) => self.kin(kin),
            Message::Input(input) => {
                if let Input::DispatchFinished { attempt, .. } = &input {
                    self.handovers.remove(attempt);
                }
                if let Input::ClientDisconnected { request_id } = &input {
                    self.open.remove(request_id);
                }
                self.step(input);
            }
        }
    }

    fn step(&mut self, input: Input) {
        let mut effects = std::mem::take(&mut self.effects);
        self.engine.step(self.clock.now(), input, &mut effects);
        for effect in effects.drain(..) {
            self.perform(effect);
        }
        self.effects = effects;
        if let Some(ledger) = self.ledger.as_mut().filter(|l| l.urgent) {
            ledger.urgent = false;
            ledger.store.iter_mut().for_each(LogWriter::flush);
        }
        self.client_listener.ready.store(self.engine.is_ready(), Ordering::Relaxed);
        self.client_listener.closing.store(self.engine.is_closing(), Ordering::Relaxed);
        // Beside another that serves, nobody should meet one that can't yet.
        let opening = self.ledger.as_ref().is_some_and(|l| l.stage == Stage::Opening);
        if !opening
            && (self.predecessor.is_none() || self.engine.is_serving())
            && let Some(listener) = self.listener.take()
        {
            self.accepting = Some(tokio::spawn(self.client_listener.clone().listen(listener)));
        }
    }
}
