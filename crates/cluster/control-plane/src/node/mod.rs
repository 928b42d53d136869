//! The node: replica, scheduler and configuration of one machine, and what goes between them and the outside.
pub(super) mod clients;
mod data_planes;
mod listing;
mod operators;
mod timing;

use crate::configurations::{self, Configurations};
use crate::disk::Writer;
use crate::inbox::Inputs;
use crate::platform::ListError;
use crate::status::Question;
use crate::workers::WorkerCalls;
use async_std::channel::Sender;
use clients::unable;
use spanlead_cluster_runtime::frame::{ClientReply, Directory, Frame};
use spanlead_cluster_runtime::link::Links;
use spanlead_cluster_runtime::settings::Settings;
use spanlead_cluster_runtime::time::Clock;
use spanlead_job_scheduler::{Effect, ListedWorker, Scheduler, SchedulerConfig, WorkerCall, WorkerResponse};
use spanlead_replication::{
    self as replication, Change, Keyspace, Output, RecoveredState, Replica, ReplicaConfig, ReplicaEvent, View,
};
use std::collections::VecDeque;
use std::sync::Arc;
pub(crate) use timing::CommitTimes;

/// How long a lease lasts, milliseconds.
const LEASE_MS: u64 = 500;
/// How often it is asked for, milliseconds.
const HEARTBEAT_MS: u64 = 100;
/// How long a process that gave its role away stays to answer, milliseconds.
const LINGER_MS: u64 = 500;
/// How long a primary that is told to end waits for what it began, milliseconds.
const FINISH_MS: u64 = 400;
/// Of the time that a process has to end, what is left unused while it waits to be exchanged, milliseconds.
const GRACE_MARGIN_MS: u64 = 2_000;
/// Records that can't be read of which the log names this many.
const NAMED: usize = 8;

/// The keys of records that this version can't read.
#[must_use]
pub fn unreadable(keyspace: &Keyspace) -> Vec<Vec<u8>> {
    let readable = |key: &[u8], value: &[u8]| {
        configurations::is_readable(key, value)
            .unwrap_or_else(|| spanlead_job_scheduler::is_readable_record(key, value))
    };
    keyspace.iter().filter(|(key, value)| !readable(key, value)).map(|(key, _)| key.to_vec()).collect()
}

fn log_unreadable(keys: &[Vec<u8>]) {
    for key in keys.iter().take(NAMED) {
        let name: String = key.iter().map(|byte| format!("{byte:02x}")).collect();
        log::error!("record {name} can't be read: damaged, or of a newer version");
    }
    log::error!("{} records can't be read; this machine does not lead until it is repaired", keys.len());
}

/// An answer to an operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: String,
    /// Where to go instead, for a 307.
    pub location: Option<String>,
}

/// What the node is fed.
#[derive(Debug)]
pub enum Input {
    /// A frame, and where answers to it go.
    Frame(Frame, Option<Sender<Frame>>),
    /// Records up to this number are on disk.
    Written(u64),
    /// The connection to a peer was lost.
    PeerDown(String),
    /// What came of a call to a worker.
    Answered(WorkerCall, WorkerResponse),
    /// What came of reading the platform's list.
    Listed(Result<Vec<ListedWorker>, ListError>),
    /// An operator's configuration, with the version that it builds on.
    Replace(u64, String, Sender<Reply>),
    /// An operator asks for the configuration.
    Read(Sender<Reply>),
    /// An operator looks into this node.
    Status(Question, Sender<Reply>),
    /// The process is to end.
    Terminate,
}

/// Where an answer goes once what it rests on lasts.
#[derive(Debug)]
enum Waiting {
    Client(Sender<Frame>, ClientReply),
    Operator(Sender<Reply>, Reply),
}

/// The part of a node that it has only as primary.
#[derive(Debug)]
struct Serving {
    term: u64,
    scheduler: Scheduler,
    configurations: Configurations,
    sequence: u64,
    commits: CommitTimes,
    /// Answers whose batch has not been made yet, and those that wait for their batch to last.
    decided: Vec<Waiting>,
    waiting: VecDeque<(u64, Waiting)>,
    list_at: u64,
    listing: bool,
}

/// A data plane that is connected.
#[derive(Debug)]
struct Listener {
    peer: String,
    frames: Sender<Frame>,
}

/// One machine of the control plane.
#[derive(Debug)]
pub struct Node {
    clock: Clock,
    bounds: SchedulerConfig,
    cloud: Option<Arc<str>>,
    replica: Replica,
    links: Links,
    writer: Writer,
    workers: WorkerCalls,
    inputs: Inputs,
    serving: Option<Serving>,
    /// Data planes that are connected here.
    listeners: Vec<Listener>,
    listeners_changed: bool,
    announced: Directory,
    announced_version: u64,
    /// When the process was told to end, and whether it may.
    terminate_at: Option<u64>,
    may_leave: bool,
    grace_ms: u64,
}

impl Node {
    /// Starts a node with what its folder holds.
    #[must_use]
    pub fn start(
        settings: &Settings,
        restored: RecoveredState,
        clock: Clock,
        links: Links,
        writer: Writer,
        workers: WorkerCalls,
        inputs: Inputs,
    ) -> Self {
        let options = ReplicaConfig {
            node_name: settings.node.clone(),
            peer_address: settings.peer(),
            operator_address: settings.listen.control.clone().unwrap_or_default(),
            seeds: settings.seed_peers(),
            bootstrap: settings.bootstrap.unwrap_or(false),
            max_failures: settings.losses(),
            lease_ms: LEASE_MS,
            heartbeat_ms: HEARTBEAT_MS,
            random: clock.random(&settings.node),
        };
        let unreadable = unreadable(&restored.keyspace);
        let mut replica = Replica::start(options, restored, clock.steady());
        if !unreadable.is_empty() {
            log_unreadable(&unreadable);
            replica.mark_ineligible(clock.steady());
        }
        log::info!("started as {:?} at {:?}", replica.local_member().id, replica.position());
        Node {
            clock,
            bounds: settings.job_bounds(),
            cloud: settings.cloud.as_ref().map(|c| c.address.as_str().into()),
            replica,
            links,
            writer,
            workers,
            inputs,
            serving: None,
            listeners: Vec::new(),
            listeners_changed: false,
            announced: Directory::default(),
            announced_version: 0,
            terminate_at: None,
            may_leave: false,
            grace_ms: settings.grace_ms(),
        }
    }

    /// Whether the process may end: what it began is answered, and it is exchanged if a machine stands by.
    #[must_use]
    pub fn ended(&self) -> bool {
        let now = self.clock.steady();
        self.terminate_at.is_some_and(|at| {
            let finished = now >= at + FINISH_MS + LINGER_MS;
            finished && (self.may_leave || now >= at + self.grace_ms.saturating_sub(GRACE_MARGIN_MS))
        })
    }

    /// Takes an input.
    pub fn handle(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Frame(frame, answers) => self.frame(frame, answers),
            Input::Written(token) => self.replicate(replication::Input::Written(token)),
            Input::PeerDown(address) => self.replicate(replication::Input::PeerDown(address)),
            Input::Answered(call, reply) => {
                if let Some(serving) = self.serving.as_mut().filter(|s| s.term == call.fencing_token) {
                    serving.scheduler.handle_response(now, &call.worker_id, &call.request, reply);
                }
            }
            Input::Listed(list) => self.listed(list),
            Input::Replace(base, text, answers) => self.replace(base, &text, answers),
            Input::Read(answers) => self.read(answers),
            Input::Status(question, answers) => self.status(&question, &answers),
            Input::Terminate => {
                log::info!("told to end");
                self.terminate_at.get_or_insert(now.monotonic_ms);
            }
        }
    }

    /// Lets time pass, `late_ms` later than it should.
    pub fn tick(&mut self, late_ms: u64) {
        self.replicate(replication::Input::Tick);
        let now = self.clock.now();
        if let Some(serving) = &mut self.serving {
            serving.scheduler.record_tick_lateness(late_ms);
            serving.scheduler.tick(now);
        }
        self.ask_for_list(now.monotonic_ms);
        let serves = self.serving.is_some();
        if self.terminate_at.is_some_and(|at| !serves || now.monotonic_ms >= at + FINISH_MS) {
            self.replica.request_leave(now.monotonic_ms);
            self.carry_out();
        }
        self.announce();
    }

    /// Writes what was decided, and does what no longer waits.
    pub fn flush(&mut self) {
        let now = self.clock.now();
        if let Some(serving) = &mut self.serving {
            serving.scheduler.place_ready_tasks(now);
        }
        self.write();
        self.answer();
        self.act();
        // What was done may have brought new records.
        self.write();
        self.act();
    }

    /// Answers what rests on nothing that is still to be written, and lets the rest wait.
    fn answer(&mut self) {
        let committed = self.replica.committed_sequence();
        let Some(serving) = &mut self.serving else { return };
        for waiting in std::mem::take(&mut serving.decided) {
            if committed >= serving.sequence {
                answer(waiting);
            } else {
                serving.waiting.push_back((serving.sequence, waiting));
            }
        }
    }

    fn frame(&mut self, frame: Frame, answers: Option<Sender<Frame>>) {
        match frame {
            Frame::Replication(envelope) => self.replicate(replication::Input::Message(envelope)),
            Frame::Hello { node, peer, version } => {
                if let Some(answers) = answers {
                    log::debug!("{node} is connected");
                    let _ = answers.try_send(Frame::Directory(self.announced.clone()));
                    self.bring_configuration(&answers, version);
                    self.listeners.retain(|listener| listener.peer != peer);
                    self.listeners.push(Listener { peer, frames: answers });
                    self.listeners_changed = true;
                }
            }
            Frame::Call(call) => {
                if let Some(answers) = answers {
                    self.call(call, answers);
                }
            }
            _ => {}
        }
    }

    fn replicate(&mut self, input: replication::Input) {
        self.replica.handle(self.clock.steady(), input);
        self.carry_out();
    }

    fn carry_out(&mut self) {
        for output in self.replica.take_outputs() {
            match output {
                Output::Send { to, envelope } => {
                    let lane = envelope.message.traffic_class();
                    self.links.send(&to, lane, &Frame::Replication(envelope));
                }
                Output::Write { token, record } => self.writer.write(token, record),
                Output::Event(notice) => self.notice(notice),
            }
        }
    }

    fn notice(&mut self, notice: ReplicaEvent) {
        match notice {
            ReplicaEvent::Activated { term } => self.activate(term.0),
            ReplicaEvent::Deactivated => self.deactivate(),
            ReplicaEvent::Committed { sequence } => self.committed(sequence),
            ReplicaEvent::ViewChanged(view) => log::info!("view {}: {}", view.epoch, names(&view)),
            ReplicaEvent::LeaveAllowed => self.may_leave = true,
        }
    }

    fn activate(&mut self, term: u64) {
        let now = self.clock.now();
        let keyspace = self.replica.keyspace();
        let mut scheduler = Scheduler::new(self.bounds, term, self.clock.random("scheduler"), now);
        let mut unreadable = configurations::unreadable(keyspace);
        let of_jobs = keyspace.iter().filter(|(key, _)| !configurations::owns(key));
        unreadable.extend(scheduler.recover(now, of_jobs));
        if !unreadable.is_empty() {
            log_unreadable(&unreadable);
            self.replica.mark_ineligible(now.monotonic_ms);
            return;
        }
        log::info!("serving term {term} with {} keys", keyspace.len());
        self.serving = Some(Serving {
            term,
            scheduler,
            configurations: Configurations::load(self.replica.keyspace()),
            sequence: self.replica.position().sequence,
            commits: CommitTimes::default(),
            decided: Vec::new(),
            waiting: VecDeque::new(),
            list_at: 0,
            listing: false,
        });
        self.listeners_changed = true;
        self.announce();
    }

    fn deactivate(&mut self) {
        let Some(serving) = self.serving.take() else { return };
        log::info!("no longer serving term {}", serving.term);
        let waiting = serving.waiting.into_iter().map(|(_, waiting)| waiting);
        for waiting in waiting.chain(serving.decided) {
            match waiting {
                Waiting::Client(answers, reply) => {
                    let _ = answers.try_send(Frame::Reply(unable(reply.serial)));
                }
                // Whether the order lasts is not known: no answer is the honest one.
                Waiting::Operator(..) => {}
            }
        }
        self.workers.forget();
        self.announce();
    }

    fn committed(&mut self, sequence: u64) {
        let now = self.clock.now();
        let Some(serving) = &mut self.serving else { return };
        serving.commits.committed(sequence, now.monotonic_ms);
        serving.scheduler.handle_committed(now, sequence);
        while serving.waiting.front().is_some_and(|(at, _)| *at <= sequence) {
            let Some((_, waiting)) = serving.waiting.pop_front() else { break };
            answer(waiting);
        }
    }

    fn write(&mut self) {
        let Some(serving) = &mut self.serving else { return };
        let changes = serving.scheduler.take_changes();
        if !changes.is_empty() {
            let changes =
                changes.into_iter().map(|change| Change { key: change.key, value: change.value }).collect();
            self.propose(changes);
        }
        if let Some(serving) = &mut self.serving {
            serving.scheduler.assign_batch(serving.sequence);
        }
        self.carry_out();
    }

    fn propose(&mut self, changes: Vec<Change>) {
        let now = self.clock.steady();
        let bytes = changes.iter().map(Change::size_bytes).sum();
        let sequence = self.replica.propose(now, changes);
        if let (Some(sequence), Some(serving)) = (sequence, &mut self.serving) {
            serving.sequence = sequence;
            serving.commits.proposed(sequence, now, bytes);
        }
    }

    fn act(&mut self) {
        let committed = self.replica.committed_sequence();
        let active = self.replica.active_term(self.clock.steady()).is_some();
        let Some(serving) = &mut self.serving else { return };
        // Staged by a pass that changed nothing that must be written.
        serving.scheduler.handle_committed(self.clock.now(), committed);
        for effect in serving.scheduler.drain_effects() {
            let Effect::CallWorker(call) = effect;
            let inputs = self.inputs.clone();
            let answered = move |call, reply| {
                inputs.put(Input::Answered(call, reply));
            };
            if active {
                self.workers.spawn(call, answered);
            } else {
                // Not sent; to the scheduler as good as unanswered, should the lease be had again.
                answered(call, WorkerResponse::NoResponse);
            }
        }
    }
}

fn answer(waiting: Waiting) {
    match waiting {
        Waiting::Client(answers, reply) => {
            let _ = answers.try_send(Frame::Reply(reply));
        }
        Waiting::Operator(answers, reply) => {
            let _ = answers.try_send(reply);
        }
    }
}

fn names(view: &View) -> String {
    let name = |m: &replication::Member| {
        let role = if m.id == view.primary { "*" } else { "" };
        let sync = if view.in_sync.contains(&m.id) { "" } else { " (behind)" };
        format!("{}{role}{sync}", m.node_name)
    };
    view.members.iter().map(name).collect::<Vec<_>>().join(", ")
}
