//! The node: replica, scheduler and configuration of one machine, and what goes between them and the outside.
use crate::control::configurations::{Configurations, Taken};
use crate::control::status::{self, Question};
use crate::disk::Writer;
use crate::frame::{Ask, ClientCall, ClientReply, ConfigurationText, Directory, Frame};
use crate::link::Links;
use crate::platform::{self, ListError};
use crate::settings::Settings;
use crate::time::Clock;
use crate::workers::WorkerCalls;
use async_std::channel::Sender;
use async_std::task;
use spanlead_dissemination::{PEERS, pick};
use spanlead_jobs::{Admission, Bounds, Call, Effect, Listed, Outcome, Queue, Scheduler, State, Terms};
use spanlead_replication::{self as replication, Change, Notice, Options, Output, Replica, Restored, View};
use std::collections::VecDeque;
use std::sync::Arc;

/// How long a lease lasts, milliseconds.
const LEASE_MS: u64 = 500;
/// How often it is asked for, milliseconds.
const HEARTBEAT_MS: u64 = 100;
/// How often the platform's list is read, milliseconds.
const LIST_EVERY_MS: u64 = 1_000;
/// How soon after a failed read it is tried again, milliseconds.
const LIST_AGAIN_MS: u64 = 400;
/// How long a process that gave its role away stays to answer, milliseconds.
const LINGER_MS: u64 = 500;
/// How long a primary that is told to end waits for what it began, milliseconds.
const FINISH_MS: u64 = 400;

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
    Answered(Call, spanlead_jobs::Reply),
    /// What came of reading the platform's list.
    Listed(Result<Vec<Listed>, ListError>),
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
    bounds: Bounds,
    cloud: Option<Arc<str>>,
    replica: Replica,
    links: Links,
    writer: Writer,
    workers: WorkerCalls,
    inputs: Sender<Input>,
    serving: Option<Serving>,
    /// Data planes that are connected here.
    listeners: Vec<Listener>,
    listeners_changed: bool,
    announced: Directory,
    announced_version: u64,
    terminate_at: Option<u64>,
    resigned: bool,
}

impl Node {
    /// Starts a node with what its folder holds.
    #[must_use]
    pub fn start(
        settings: &Settings,
        restored: Restored,
        clock: Clock,
        links: Links,
        writer: Writer,
        workers: WorkerCalls,
        inputs: Sender<Input>,
    ) -> Self {
        let options = Options {
            node: settings.node.clone(),
            peer: settings.peer(),
            control: settings.listen.control.clone().unwrap_or_default(),
            seeds: settings.seed_peers(),
            bootstrap: settings.bootstrap.unwrap_or(false),
            losses: settings.losses(),
            lease_ms: LEASE_MS,
            heartbeat_ms: HEARTBEAT_MS,
            random: clock.random(&settings.node),
        };
        let replica = Replica::start(options, restored, clock.steady());
        log::info!("started as {:?} at {:?}", replica.me().id, replica.position());
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
            resigned: false,
        }
    }

    /// Whether the process may end.
    #[must_use]
    pub fn ended(&self) -> bool {
        self.terminate_at.is_some_and(|at| self.clock.steady() >= at + FINISH_MS + LINGER_MS)
    }

    /// Takes an input.
    pub fn handle(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Frame(frame, answers) => self.frame(frame, answers),
            Input::Written(token) => self.replicate(replication::Input::Written(token)),
            Input::PeerDown(address) => self.replicate(replication::Input::PeerDown(address)),
            Input::Answered(call, reply) => {
                if let Some(serving) = self.serving.as_mut().filter(|s| s.term == call.fence) {
                    serving.scheduler.answered(now, &call.worker, &call.order, reply);
                }
            }
            Input::Listed(list) => self.listed(list),
            Input::Replace(base, text, answers) => self.replace(base, &text, answers),
            Input::Read(answers) => self.read(answers),
            Input::Status(question, answers) => self.status(&question, &answers),
            Input::Terminate => {
                log::info!("told to end");
                self.terminate_at.get_or_insert(now.steady);
            }
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self) {
        self.replicate(replication::Input::Tick);
        let now = self.clock.now();
        if let Some(serving) = &mut self.serving {
            serving.scheduler.tick(now);
        }
        self.ask_for_list(now.steady);
        if self.terminate_at.is_some_and(|at| now.steady >= at + FINISH_MS) && !self.resigned {
            self.resigned = true;
            self.replica.resign(now.steady);
            self.carry_out();
        }
        self.announce();
    }

    /// Writes what was decided, and does what no longer waits.
    pub fn flush(&mut self) {
        let now = self.clock.now();
        if let Some(serving) = &mut self.serving {
            serving.scheduler.place(now);
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
        let committed = self.replica.committed();
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

    // Replication.

    fn replicate(&mut self, input: replication::Input) {
        self.replica.handle(self.clock.steady(), input);
        self.carry_out();
    }

    fn carry_out(&mut self) {
        for output in self.replica.drain() {
            match output {
                Output::Send { to, envelope } => self.links.send(&to, &Frame::Replication(envelope)),
                Output::Write { token, record } => self.writer.write(token, record),
                Output::Notice(notice) => self.notice(notice),
            }
        }
    }

    fn notice(&mut self, notice: Notice) {
        match notice {
            Notice::Activated { term } => self.activate(term),
            Notice::Deactivated => self.deactivate(),
            Notice::Committed { sequence } => self.committed(sequence),
            Notice::View(view) => log::info!("view {}: {}", view.epoch, names(&view)),
        }
    }

    fn activate(&mut self, term: u64) {
        let now = self.clock.now();
        log::info!("serving term {term} with {} keys", self.replica.keyspace().len());
        let mut scheduler = Scheduler::new(self.bounds, term, self.clock.random("scheduler"), now);
        scheduler.recover(now, self.replica.keyspace().iter());
        self.serving = Some(Serving {
            term,
            scheduler,
            configurations: Configurations::load(self.replica.keyspace()),
            sequence: self.replica.position().sequence,
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
        serving.scheduler.committed(now, sequence);
        while serving.waiting.front().is_some_and(|(at, _)| *at <= sequence) {
            let Some((_, waiting)) = serving.waiting.pop_front() else { break };
            answer(waiting);
        }
    }

    fn write(&mut self) {
        let Some(serving) = &mut self.serving else { return };
        let changes = serving.scheduler.take_write();
        if !changes.is_empty() {
            let changes = changes.into_iter().map(|(key, value)| Change { key, value }).collect();
            self.propose(changes);
        }
        if let Some(serving) = &mut self.serving {
            serving.scheduler.written_as(serving.sequence);
        }
        self.carry_out();
    }

    fn propose(&mut self, changes: Vec<Change>) {
        let sequence = self.replica.propose(self.clock.steady(), changes);
        if let (Some(sequence), Some(serving)) = (sequence, &mut self.serving) {
            serving.sequence = sequence;
        }
    }

    fn act(&mut self) {
        let committed = self.replica.committed();
        let active = self.replica.active(self.clock.steady()).is_some();
        let Some(serving) = &mut self.serving else { return };
        // Staged by a pass that changed nothing that must be written.
        serving.scheduler.committed(self.clock.now(), committed);
        for effect in serving.scheduler.drain() {
            let Effect::Call(call) = effect;
            if active {
                let inputs = self.inputs.clone();
                self.workers.spawn(call, move |call, reply| {
                    let _ = inputs.try_send(Input::Answered(call, reply));
                });
            }
        }
    }

    // Clients.

    fn call(&mut self, call: ClientCall, answers: Sender<Frame>) {
        let now = self.clock.now();
        let active = self.replica.active(now.steady).is_some() && self.terminate_at.is_none();
        let Some(serving) = self.serving.as_mut().filter(|_| active) else {
            let _ = answers.try_send(Frame::Reply(unable(call.serial)));
            return;
        };
        let (status, body) = serving.client(now, call.host, &call.path, call.ask);
        let reply = ClientReply { serial: call.serial, status, body };
        self.answer_when_durable(Waiting::Client(answers, reply));
    }

    /// Answers when everything that the answer may rest on lasts. What came in together shares a batch.
    fn answer_when_durable(&mut self, waiting: Waiting) {
        if let Some(serving) = &mut self.serving {
            serving.decided.push(waiting);
        }
    }

    // Operators.

    fn replace(&mut self, base: u64, text: &str, answers: Sender<Reply>) {
        if let Some(elsewhere) = self.elsewhere("/config/replace") {
            let _ = answers.try_send(elsewhere);
            return;
        }
        let Some(serving) = &mut self.serving else { return };
        let taken = serving.configurations.replace(self.replica.keyspace(), base, text);
        let (status, body) = match taken {
            Taken::New(changes) => {
                log::info!("configuration {} is taken", serving.configurations.version());
                self.propose(changes);
                self.carry_out();
                (200, String::new())
            }
            Taken::Again => (200, String::new()),
            Taken::Conflict => (412, format!("current: {}", serving.configurations.version())),
            Taken::Invalid(why) => (400, why),
        };
        self.answer_when_durable(Waiting::Operator(answers, Reply { status, body, location: None }));
    }

    fn read(&mut self, answers: Sender<Reply>) {
        if let Some(elsewhere) = self.elsewhere("/config/get") {
            let _ = answers.try_send(elsewhere);
            return;
        }
        let Some(serving) = &self.serving else { return };
        let reply = match serving.configurations.text() {
            Some(text) => Reply { status: 200, body: text.to_owned(), location: None },
            None => Reply { status: 404, body: "no configuration".to_owned(), location: None },
        };
        self.answer_when_durable(Waiting::Operator(answers, reply));
    }

    fn status(&self, question: &Question, answers: &Sender<Reply>) {
        let path = match question {
            Question::Members => "/status/members".to_owned(),
            Question::Workers => "/status/workers".to_owned(),
            Question::Jobs => "/status/jobs".to_owned(),
            Question::Job(id) => format!("/status/jobs/{id:016x}"),
        };
        if let Some(elsewhere) = self.elsewhere(&path) {
            let _ = answers.try_send(elsewhere);
            return;
        }
        let Some(serving) = &self.serving else { return };
        let found = match question {
            Question::Members => Some(status::members(&self.replica)),
            Question::Workers => Some(status::workers(&serving.scheduler, self.clock.steady())),
            Question::Jobs => Some(status::jobs(&serving.scheduler)),
            Question::Job(id) => status::job(&serving.scheduler, *id),
        };
        let reply = match found {
            Some(value) => Reply { status: 200, body: value.to_string(), location: None },
            None => Reply { status: 410, body: "no such job".to_owned(), location: None },
        };
        let _ = answers.try_send(reply);
    }

    /// The answer of a node that doesn't serve: who does.
    fn elsewhere(&self, path: &str) -> Option<Reply> {
        if self.serving.is_some() && self.replica.active(self.clock.steady()).is_some() {
            return None;
        }
        let primary = self.replica.view().and_then(|view| view.member(view.primary));
        let other = primary.filter(|p| p.id != self.replica.me().id);
        Some(match other {
            Some(primary) => Reply {
                status: 307,
                body: String::new(),
                location: Some(format!("http://{}{path}", primary.control)),
            },
            None => Reply { status: 503, body: "no primary".to_owned(), location: None },
        })
    }

    // Data planes.

    /// Tells the data planes who serves, and the configuration, when that has changed.
    fn announce(&mut self) {
        let directory = self.directory();
        if directory != self.announced {
            self.announced = directory;
            let frame = Frame::Directory(self.announced.clone());
            self.tell_listeners(&frame);
        }
        let lost = self.listeners.iter().any(|listener| listener.frames.is_closed());
        if self.serving.is_some() && (std::mem::take(&mut self.listeners_changed) || lost) {
            self.introduce();
        }
        let Some((version, text)) = self.configuration() else { return };
        if version != self.announced_version {
            self.announced_version = version;
            let frame = Frame::Configuration(ConfigurationText { version, text });
            self.tell_listeners(&frame);
        }
    }

    fn tell_listeners(&mut self, frame: &Frame) {
        let before = self.listeners.len();
        self.listeners.retain(|listener| listener.frames.try_send(frame.clone()).is_ok());
        self.listeners_changed |= self.listeners.len() != before;
    }

    /// Tells each data plane whom it should tell and watch.
    fn introduce(&mut self) {
        self.listeners.retain(|listener| !listener.frames.is_closed());
        let names: Vec<&str> = self.listeners.iter().map(|listener| listener.peer.as_str()).collect();
        for listener in &self.listeners {
            let picked = pick(&listener.peer, names.iter().copied(), PEERS);
            let picked = picked.into_iter().map(str::to_owned).collect();
            let _ = listener.frames.try_send(Frame::Peers(picked));
        }
    }

    fn directory(&self) -> Directory {
        let Some(view) = self.replica.view() else { return Directory::default() };
        let address = |id| view.member(id).map(|m| m.peer.clone()).unwrap_or_default();
        Directory {
            epoch: view.epoch,
            primary: address(view.primary),
            members: view.members.iter().map(|m| m.peer.clone()).collect(),
        }
    }

    /// The configuration that is in force for certain: a primary's own once it lasts, else the copy.
    fn configuration(&self) -> Option<(u64, String)> {
        let serving = self.serving.as_ref()?;
        if self.replica.committed() < serving.sequence
            && serving.configurations.version() != self.announced_version
        {
            return None;
        }
        Some((serving.configurations.version(), serving.configurations.text()?.to_owned()))
    }

    fn bring_configuration(&self, to: &Sender<Frame>, known: u64) {
        if let Some((version, text)) = self.configuration().filter(|(version, _)| *version > known) {
            let _ = to.try_send(Frame::Configuration(ConfigurationText { version, text }));
        }
    }

    // The platform's list.

    fn ask_for_list(&mut self, now: u64) {
        let (Some(serving), Some(address)) = (&mut self.serving, &self.cloud) else { return };
        if serving.listing || now < serving.list_at {
            return;
        }
        serving.listing = true;
        let (inputs, address) = (self.inputs.clone(), address.clone());
        task::spawn(async move {
            let list = platform::read(&address).await;
            let _ = inputs.try_send(Input::Listed(list));
        });
    }

    fn listed(&mut self, list: Result<Vec<Listed>, ListError>) {
        let now = self.clock.now();
        let Some(serving) = &mut self.serving else { return };
        serving.listing = false;
        match list {
            Ok(list) => {
                serving.list_at = now.steady + LIST_EVERY_MS;
                serving.scheduler.listed(now, &list);
            }
            Err(error) => {
                log::warn!("the platform's list: {error}");
                serving.list_at = now.steady + LIST_AGAIN_MS;
            }
        }
    }
}

impl Serving {
    /// Answers a client's request by the configuration in force.
    fn client(&mut self, now: spanlead_jobs::Now, host: String, path: &str, ask: Ask) -> (u16, String) {
        let Some(configuration) = self.configurations.current() else {
            return (503, "no configuration".to_owned());
        };
        let Some(route) = configuration.route(&host, path) else {
            return (404, "no such queue".to_owned());
        };
        let queue = Queue { host, prefix: route.path_prefix.clone() };
        let name = &path[route.path_prefix.len()..];
        if name.is_empty() {
            return match ask {
                Ask::State => (200, format!("{{\"pending\":{}}}", self.scheduler.pending(&queue))),
                _ => (400, "no job is named".to_owned()),
            };
        }
        let Some(id) = job_id(name) else { return (400, "not 16 hex digits".to_owned()) };
        match ask {
            Ask::Submit(spec) => {
                let terms = Terms {
                    queue,
                    service: route.service.clone(),
                    priority: route.priority.unwrap_or(1),
                    max_attempts: route.max_attempts.unwrap_or(3),
                };
                match self.scheduler.submit(now, id, terms, spec) {
                    Admission::Accepted => (200, "{}".to_owned()),
                    Admission::Full => (429, "too many jobs".to_owned()),
                }
            }
            Ask::State => match self.scheduler.state(id) {
                Some(state) => (200, format!("{{\"state\":\"{}\"}}", word(state))),
                None => (410, "no such job".to_owned()),
            },
            Ask::Cancel => {
                if self.scheduler.cancel(now, id) {
                    (200, "{}".to_owned())
                } else {
                    (410, "no such job".to_owned())
                }
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

/// The reply of a node that can't answer.
fn unable(serial: u64) -> ClientReply {
    ClientReply { serial, status: 0, body: String::new() }
}

pub(super) fn word(state: State) -> &'static str {
    match state {
        State::Queued => "queued",
        State::Running => "running",
        State::Closed(Outcome::Succeeded) => "succeeded",
        State::Closed(Outcome::Failed) => "failed",
        State::Closed(Outcome::Cancelled) => "cancelled",
    }
}

pub(super) fn job_id(name: &str) -> Option<u64> {
    (name.len() == 16).then(|| u64::from_str_radix(name, 16).ok()).flatten()
}

fn names(view: &View) -> String {
    let name = |m: &replication::Member| {
        let role = if m.id == view.primary { "*" } else { "" };
        let sync = if view.in_sync.contains(&m.id) { "" } else { " (behind)" };
        format!("{}{role}{sync}", m.node)
    };
    view.members.iter().map(name).collect::<Vec<_>>().join(", ")
}
