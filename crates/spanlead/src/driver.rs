//! Runs the reducer: one input at a time, then the effects that it asks for, whose results come back as inputs.
use crate::config::{Config, Keys, Shares};
use crate::ledger;
use bytes::Bytes;
use oatdock::Nanos;
use oatdock::Outcome;
use oatdock::{ListScope, RequestId};
use settings::{Deployment, Names, Reports};
use spanlead_conf as conf;
use spanlead_core::{
    Answer, AttemptId, Core, Durability, Effect, Gate, Handover, Input, Offered, Passage, Reply, Tale,
};
use spanlead_facts::{Report, Vocabulary, reconcile};
use spanlead_inventory::desk::{Desk, News, Status};
use spanlead_ledger::Record;
use spanlead_net::clients::{self, Arrival, Front, Line};
use spanlead_net::discovery::Discovery;
use spanlead_net::operator::{self, Asked};
use spanlead_net::peers::{PeerLink, Peers};
use spanlead_net::relay::{self, Kin, Link, Passed};
use spanlead_net::wire::{self, Notice, OperatorCall, OperatorReply, Parcel};
use spanlead_net::workers::Pool;
use spanlead_net::{Clock, Message};
use spanlead_store::{Progress, Writer};
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
type Heard = (Notice, Option<oneshot::Sender<Reply>>);

struct Open {
    line: Arc<Line>,
    reply: oneshot::Sender<Answer>,
    parcel: Arc<Parcel>,
}

struct Driver {
    core: Core,
    clock: Clock,
    reports: Reports,
    /// Requests that wait for their answer.
    open: HashMap<RequestId, Open>,
    /// Attempts that are being handed to their workers.
    handovers: HashMap<AttemptId, JoinHandle<()>>,
    pool: Arc<Pool>,
    front: Arc<Front>,
    /// The names in use, for whoever reads messages; and the settings and keys of the file in use.
    names: watch::Sender<Arc<Names>>,
    deployment: Deployment,
    keys: Keys,
    /// The watch of discovery, if one has been begun.
    watch: Option<JoinHandle<()>>,
    peers: Option<PeerLink>,
    /// The peers whose address another process still holds.
    peers_wanted: Option<Peers>,
    /// The other processes of this scheduler, while one takes over from another.
    predecessor: Option<Link>,
    successor: Option<Link>,
    /// Requests that the predecessor has handed over and that are still to be read here, with the notices for them.
    adopted: HashMap<Arc<str>, (Tale, Vec<Heard>)>,
    /// Requests that the successor has, and what would answer them here, which must not be heard of again.
    released: HashMap<Arc<str>, oneshot::Sender<Answer>>,
    /// Those of them that may still be on their way.
    leaving: Vec<oneshot::Receiver<Reply>>,
    /// The ledger, if one is wanted.
    ledger: Option<Ledger>,
    /// The inventories, if there are any.
    desk: Option<Desk>,
    /// Who waits for the answers to workers' notices.
    notes: HashMap<u64, oneshot::Sender<Reply>>,
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
    store: Option<Writer>,
    gate: Gate,
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
    let tuning = config.tuning();
    let deployment = config.deployment;
    let names = watch::Sender::new(Arc::new(deployment.names.clone()));

    // Before anything is promised: until then these signals end the process.
    let signals = Signals::new()?;
    let clock = Clock::new();
    let (to, inbox) = unbounded_channel();
    let mut predecessor = None;
    let listener = match config.listen_fd {
        Some(fd) => {
            let path = relay::path(&config.name);
            predecessor = relay::predecessor(&path, &to).await;
            tokio::spawn(relay::listen(path, to.clone()));
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
    let front = Arc::new(Front::new(names.subscribe(), clock, to.clone(), share.clients, marks));
    if let Some(settings) = conf.ledger {
        ledger::open(settings, clock, predecessor.is_some(), to.clone());
    }
    let desk = (!conf.inventories.is_empty()).then(|| {
        let to = to.clone();
        let tell = move |News { sheet, by, forced }| {
            let _ = to.send(Message::Input(Input::Offered(Offered { sheet, by, forced })));
        };
        Desk::start(conf.inventories, vocabulary(&deployment.names), tell)
    });
    let ledger = marks.then(|| Ledger {
        stage: Stage::Opening,
        store: None,
        gate: Gate::default(),
        urgent: false,
        held_back: Vec::new(),
    });
    let mut driver = Driver {
        core: Core::new(
            deployment.settings.clone(),
            Arc::new(deployment.names.clone()),
            config.seed,
            share.open,
            config.discovery,
            marks,
        )?,
        clock,
        reports: deployment.reports,
        open: HashMap::new(),
        handovers: HashMap::new(),
        pool: Arc::new(Pool::new(share.workers, tuning)),
        front: front.clone(),
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
    let known = Input::List { scope: ListScope::Cached, version: config.known_seq, hosts: config.known };
    driver.open_peers()?;
    driver.step(known);
    tracing::info!(name = config.name, address = %bound, "listening");
    driver.run(inbox, asked, signals).await;
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
        mut asked: UnboundedReceiver<Asked>,
        mut signals: Signals,
    ) {
        let mut sweep = tokio::time::interval(SWEEP_EVERY);
        let mut stall = tokio::time::interval(STALL_CHECK);
        // It is looked at only while something waits: what was missed till then must not come all at once.
        stall.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.finished() {
            let timer = self.core.next_timer(self.clock.now()).map(|at| self.clock.instant(at));
            let far = Instant::now() + SWEEP_EVERY;
            tokio::select! {
                biased;
                Some(asked) = asked.recv() => self.operate(asked),
                _ = signals.terminate.recv() => self.stop(),
                _ = signals.interrupt.recv() => self.stop(),
                _ = signals.hang_up.recv() => self.reload(),
                _ = sweep.tick() => self.sweep(),
                _ = stall.tick(), if self.ledger.as_ref().is_some_and(|l| !l.gate.is_empty()) => self.too_late(),
                () = sleep_until(timer.unwrap_or(far)) => self.step(Input::Tick),
                message = inbox.recv() => if let Some(message) = message { self.receive(message) },
            }
        }
        self.front.close(Instant::now() + LAST_CLOSE).await;
    }

    /// The configuration's file was replaced. A faulty one must not stop a scheduler that serves.
    fn reload(&mut self) {
        match Config::again(&self.keys) {
            Ok(config) => {
                let (discovery, tuning, mut settings) = (config.discovery, config.tuning(), None);
                let mut names = self.names.borrow().clone();
                self.keys = config.keys;
                if config.deployment != self.deployment {
                    self.deployment = config.deployment.clone();
                    let (new, like) = config.deployment.after(&self.names.borrow());
                    settings = Some((Box::new(new.settings), like));
                    self.reports = new.reports;
                    self.pool.tune(tuning);
                    // Who reads by them is heard only after the reducer knows the new numbers.
                    names = Arc::new(new.names);
                    self.names.send_replace(names.clone());
                }
                tracing::info!(%discovery, settings = settings.is_some(), "configuration read again");
                self.step(Input::Reloaded { discovery, settings, names });
                if let Some(desk) = &self.desk {
                    desk.vocabulary(vocabulary(&self.names.borrow()));
                }
            }
            Err(error) => {
                tracing::error!("the new configuration is not used: {error}");
                self.step(Input::Unreadable);
                self.desk.iter().for_each(Desk::look);
            }
        }
    }

    /// Does what an operator asks.
    fn operate(&mut self, Asked { call, reply }: Asked) {
        let call = match (call, &self.desk) {
            (OperatorCall::Inventories | OperatorCall::Accept(..), None) => {
                let _ = reply.send(OperatorReply::Refused("no inventory is set".into()));
                return;
            }
            // What takes its time is not done where jobs are decided.
            (OperatorCall::Inventories, Some(desk)) => {
                let (desk, live) = (desk.clone(), self.core.live_hosts());
                let (sheet, now) = (self.core.sheet().cloned().unwrap_or_default(), self.clock.now());
                tokio::task::spawn_blocking(move || {
                    let report = reconcile(&live, &sheet, now / 1_000_000, MAX_FINDINGS);
                    let text = serde_json::to_vec(&Overview { inventories: desk.status(), report });
                    let _ = reply.send(
                        text.map_or_else(|e| OperatorReply::Refused(e.to_string()), OperatorReply::Json),
                    );
                });
                return;
            }
            (OperatorCall::Accept(name, digest), Some(desk)) => {
                let desk = desk.clone();
                tokio::task::spawn_blocking(move || {
                    let done = desk
                        .accept(&name, &digest)
                        .map(|said| serde_json::json!({ "done": said }).to_string());
                    let done = done.map(String::into_bytes);
                    let _ = reply.send(done.map_or_else(OperatorReply::Refused, OperatorReply::Json));
                });
                return;
            }
            (call, _) => call,
        };
        let answer = match call {
            OperatorCall::Inventories | OperatorCall::Accept(..) => OperatorReply::No("ending\n"),
            OperatorCall::Host(host) => match self.core.known_host(self.clock.now(), &host) {
                Some(view) => OperatorReply::Json(serde_json::to_vec(&view).unwrap_or_default()),
                None => OperatorReply::Refused(format!("the live list has not named {host:?}")),
            },
            OperatorCall::Readiness if self.core.serves() => OperatorReply::Yes,
            OperatorCall::Readiness => {
                OperatorReply::No("no worker is known, the ledger can't be used, or the process is ending\n")
            }
            OperatorCall::Stats => {
                let mut figures = self.core.figures(self.clock.now(), &self.names.borrow().classes);
                let stats = self.ledger.as_ref().and_then(|l| l.store.as_ref()).map(Writer::stats);
                if let (Some(ledger), Some(stats)) = (&mut figures.ledger, stats) {
                    (ledger.commits, ledger.records) = (stats.commits, stats.records);
                    ledger.commit_p50_us = stats.p50.as_micros() as u64;
                    ledger.commit_p99_us = stats.p99.as_micros() as u64;
                    ledger.commit_max_us = stats.max.as_micros() as u64;
                }
                OperatorReply::Figures(Box::new(figures))
            }
            OperatorCall::Drain(on) => {
                tracing::info!(on, "an operator's drain");
                self.step(Input::Drain(on));
                OperatorReply::Yes
            }
        };
        let _ = reply.send(answer);
    }

    fn sweep(&mut self) {
        self.pool.sweep();
        self.ledger.iter_mut().filter_map(|l| l.store.as_mut()).for_each(Writer::flush);
        if let Err(error) = self.open_peers() {
            tracing::warn!("{error}");
        }
        if self.core.finishing(self.clock.now()) && self.successor.is_some() {
            self.step(Input::HandOver);
            self.release_ledger();
        }
        // An idle client would only find out from its next request that nothing new should come here.
        if self.core.turned_away(self.clock.now()) {
            self.front.close_idle();
        }
    }

    /// With a successor this process must also be done with every connection that it accepted: what they still bring is
    /// served here.
    fn finished(&mut self) -> bool {
        if self.broken.is_some() {
            return true;
        }
        self.leaving.retain_mut(|arrived| matches!(arrived.try_recv(), Err(TryRecvError::Empty)));
        let alone = self.successor.is_none() || self.front.empty() && self.leaving.is_empty();
        self.core.finished(self.clock.now()) && alone
    }

    /// Listens for peers. While another process of this scheduler holds the address, that can wait.
    fn open_peers(&mut self) -> Result<(), String> {
        let Some(peers) = &self.peers_wanted else { return Ok(()) };
        match PeerLink::open(peers, self.to.clone()) {
            Ok(link) => (self.peers, self.peers_wanted) = (Some(link), None),
            Err(error) if error.kind() == ErrorKind::AddrInUse && self.predecessor.is_some() => {}
            Err(error) => return Err(format!("cannot listen on {} for peers: {error}", peers.listen)),
        }
        Ok(())
    }

    /// Another process of this scheduler has come or gone.
    fn kin(&mut self, kin: Kin) {
        match kin {
            Kin::Successor(link) => self.successor = Some(link),
            Kin::Gone(link) => {
                for side in [&mut self.predecessor, &mut self.successor] {
                    side.take_if(|l| l.same_channel(&link));
                }
            }
        }
        let (predecessor, successor) = (self.predecessor.is_some(), self.successor.is_some());
        tracing::info!(predecessor, successor, "other processes of this scheduler");
        let share = self.shares[usize::from(predecessor || successor)];
        self.front.set_budget(share.clients);
        self.pool.set_budget(share.workers);
        self.step(Input::Share { open: share.open, successor });
    }

    /// A notice of a job that is not open here is for another process of this scheduler, if there is one.
    fn notice(
        &mut self,
        notice: Notice,
        body: Bytes,
        from: Option<Link>,
        heard: Option<oneshot::Sender<Reply>>,
    ) {
        let mut passed = Vec::new();
        if let Some((_, notices)) = self.adopted.get_mut(&*notice.id) {
            notices.push((notice, heard));
            return;
        }
        if !self.core.knows(&notice.id) {
            // One for a request that was handed over meanwhile goes back, behind it.
            let from = from.filter(|_| !self.released.contains_key(&*notice.id));
            for link in [&self.predecessor, &self.successor].into_iter().flatten() {
                if from.as_ref().is_none_or(|f| !f.same_channel(link)) {
                    let (there, arrived) = oneshot::channel();
                    let _ = link.send(Passed::Notice { body: body.clone(), there });
                    passed.push(arrived);
                }
            }
        }
        if passed.is_empty() {
            return self.heed(notice, heard);
        }
        tokio::spawn(async move {
            let mut all = Vec::new();
            for arrived in passed {
                // One that has gone takes its jobs with it; the worker asks again and is then answered here.
                let Ok(reply) = arrived.await else { return };
                all.push(reply);
            }
            // Whoever holds the lease says so; of one that nobody holds all say the same.
            let held = all.iter().find(|r| matches!(r, Reply::Heard { lease: Some(_) }));
            let reply = held.or(all.first()).copied().unwrap_or(Reply::Heard { lease: None });
            let _ = heard.map(|heard| heard.send(reply));
        });
    }

    fn heed(&mut self, mut notice: Notice, heard: Option<oneshot::Sender<Reply>>) {
        let news = notice.news();
        let report = notice.load.map(|f| self.reports.report(f));
        self.note += 1;
        let note = self.note;
        self.notes.extend(heard.map(|heard| (note, heard)));
        self.step(Input::News { note, id: notice.id, from: notice.from, token: notice.token, news, report });
    }

    /// Hands an open request to the successor, with its client's socket.
    fn hand_over(&mut self, ticket: RequestId, tale: Tale) {
        let (Some(Open { line, reply, parcel }), Some(successor)) =
            (self.open.remove(&ticket), &self.successor)
        else {
            return;
        };
        let id = tale.id.clone();
        match line.release() {
            Ok(socket) => {
                let text = wire::again(&parcel).into();
                let (there, arrived) = oneshot::channel();
                let _ = successor.send(Passed::Request { tale, text, socket, there });
                self.leaving.push(arrived);
                self.released.insert(id, reply);
            }
            Err(error) => tracing::warn!(%error, "a request can't be handed over"),
        }
    }

    fn stop(&mut self) {
        tracing::info!(open = self.open.len(), "stopping");
        // The successor takes what comes from now on, by both addresses.
        if let Some(accepting) = self.accepting.take_if(|_| self.successor.is_some()) {
            accepting.abort();
        }
        (self.peers, self.peers_wanted) = (None, None);
        self.step(Input::Stop);
    }

    fn receive(&mut self, message: Message) {
        // Before the ledger is read nobody can tell what is new and what is a repeat.
        if let Some(ledger) = self.ledger.as_mut().filter(|l| l.stage == Stage::Opening)
            && matches!(message, Message::Arrival(_) | Message::Notice { .. } | Message::Adopted { .. })
        {
            return ledger.held_back.push(message);
        }
        match message {
            Message::Ledger(Ok(opened)) => self.opened(*opened),
            Message::Ledger(Err(why)) => self.broken = Some(why),
            Message::Progress(progress) => self.progress(progress),
            Message::Arrival(Arrival { ticket, mut job, parcel, line, reply }) => {
                self.open.insert(ticket, Open { line, reply, parcel: Arc::new(parcel) });
                let Some((tale, notices)) = self.adopted.remove(&job.id) else {
                    return self.step(Input::Request { ticket, job, tries: None, durable: false });
                };
                let Tale { due, tries, durable, .. } = tale;
                if !durable {
                    job.due = due;
                }
                self.step(Input::Request { ticket, job, tries: Some(tries), durable });
                notices.into_iter().for_each(|(notice, heard)| self.heed(notice, heard));
            }
            Message::Adopted { tale, text, socket } => {
                let id = tale.id.clone();
                self.adopted.insert(id.clone(), (tale, Vec::new()));
                if let Err(error) = self.front.adopt(socket, text) {
                    tracing::warn!(%error, "a request that was handed over is lost");
                    self.adopted.remove(&id);
                }
            }
            Message::Notice { notice, body, from, heard } => self.notice(notice, body, from, heard),
            Message::Kin(kin) => self.kin(kin),
            Message::Input(input) => {
                if let Input::Handover { attempt, .. } = &input {
                    self.handovers.remove(attempt);
                }
                if let Input::ClientLeft { ticket } = &input {
                    self.open.remove(ticket);
                }
                self.step(input);
            }
        }
    }

    fn step(&mut self, input: Input) {
        let mut effects = std::mem::take(&mut self.effects);
        self.core.step(self.clock.now(), input, &mut effects);
        for effect in effects.drain(..) {
            self.perform(effect);
        }
        self.effects = effects;
        if let Some(ledger) = self.ledger.as_mut().filter(|l| l.urgent) {
            ledger.urgent = false;
            ledger.store.iter_mut().for_each(Writer::flush);
        }
        self.front.ready.store(self.core.ready(), Ordering::Relaxed);
        self.front.closing.store(self.core.closing(), Ordering::Relaxed);
        // Beside another that serves, nobody should meet one that can't yet.
        let opening = self.ledger.as_ref().is_some_and(|l| l.stage == Stage::Opening);
        if !opening
            && (self.predecessor.is_none() || self.core.serves())
            && let Some(listener) = self.listener.take()
        {
            self.accepting = Some(tokio::spawn(self.front.clone().listen(listener)));
        }
    }

    fn perform(&mut self, effect: Effect) {
        let (pool, to) = (self.pool.clone(), self.to.clone());
        match effect {
            Effect::Answer { ticket, answer, job } => {
                if let Some(open) = self.open.remove(&ticket) {
                    // A client that has just left needs no answer.
                    let sent = open.reply.send(answer).is_ok();
                    if let Some(job) = job.filter(|_| sent) {
                        let _ = to.send(Message::Input(Input::Answered { job }));
                    }
                }
            }
            Effect::Send { attempt, addr, until, lease, text } => {
                let parcel = match (self.open.get(&attempt.0), text) {
                    (Some(open), _) => open.parcel.clone(),
                    (None, Some(text)) => match wire::restored(&text) {
                        Some(parcel) => Arc::new(parcel),
                        None => return self.never_sent(attempt),
                    },
                    (None, None) => return self.never_sent(attempt),
                };
                let until = self.clock.instant(until);
                let handover = tokio::spawn(async move {
                    let tell = to.clone();
                    let whole = move || drop(tell.send(Message::Input(Input::Written)));
                    let how = pool.hand_over(addr, &parcel, lease, until, whole).await;
                    let _ = to.send(Message::Input(Input::Handover { attempt, how }));
                });
                self.handovers.insert(attempt, handover);
            }
            Effect::Abandon { attempt, addr, id, taken, until } => {
                if self.ledger.as_mut().is_some_and(|l| l.gate.call_off(attempt)) {
                    return self.never_sent(attempt);
                }
                let until = self.clock.instant(until);
                let offering = |h: &JoinHandle<()>| !taken && !h.is_finished();
                match self.handovers.remove(&attempt).filter(offering) {
                    // Its connection closes with it, before the worker has said that it has the job.
                    Some(handover) => {
                        handover.abort();
                        let _ = to.send(Message::Input(Input::Abandoned { attempt }));
                    }
                    // The worker has the job, or its word on that is in the inbox.
                    None => drop(tokio::spawn(async move {
                        pool.abandon(addr, &id, until).await;
                        let _ = to.send(Message::Input(Input::Abandoned { attempt }));
                    })),
                }
            }
            Effect::Probe { worker, addr, until } => {
                let (sent, until) = (self.clock.now(), self.clock.instant(until));
                tokio::spawn(async move {
                    let (outcome, report) = pool.probe(addr, until).await;
                    let _ = to.send(Message::Input(Input::Probed { worker, sent, outcome, report }));
                });
            }
            Effect::HandOver { ticket, tale } => self.hand_over(ticket, tale),
            Effect::CloseIdle { addr } => pool.close_idle(addr),
            Effect::Tell { peer, data } => {
                if let Some(peers) = &self.peers {
                    peers.tell(peer, &data);
                }
            }
            Effect::Watch { addr, version } => {
                let watch = tokio::spawn(self.discovery(addr, version).watch());
                // One at a time: the one before, if it still runs, ends here with its connection and is not heard of.
                self.watch.replace(watch).inspect(JoinHandle::abort);
            }
            Effect::FetchList { addr } => drop(tokio::spawn(self.discovery(addr, 0).fetch())),
            Effect::Log(text) => tracing::info!("{text}"),
            Effect::FactsRefused { name, number, why } => {
                if let Some(desk) = &self.desk {
                    desk.object(name, number, why);
                }
            }
            Effect::Acknowledge { note, reply } => {
                let _ = self.notes.remove(&note).map(|heard| heard.send(reply));
            }
            Effect::Record(record) => self.write_down(&record),
            Effect::Durably { effect, until } => self.durably(*effect, until),
            Effect::Trim { oldest } => {
                if let Some(store) = self.ledger.as_ref().and_then(|l| l.store.as_ref()) {
                    store.trim(oldest);
                }
            }
        }
    }

    /// An attempt that was to go out has not.
    fn never_sent(&self, attempt: AttemptId) {
        let how = Handover::Ended(Outcome::Moot, None);
        let _ = self.to.send(Message::Input(Input::Handover { attempt, how }));
    }

    // ------------------------------------------------------------ the ledger

    fn opened(&mut self, (durability, store): (Durability, Writer)) {
        let Some(ledger) = &mut self.ledger else { return };
        (ledger.stage, ledger.store) = (Stage::Open, Some(store));
        ledger.gate.open(durability.ledger.last());
        let held_back = std::mem::take(&mut ledger.held_back);
        let figures = durability.ledger.figures();
        tracing::info!(open = figures.open, kept = figures.kept, "the ledger is open");
        self.step(Input::Opened(Box::new(durability)));
        for message in held_back {
            self.receive(message);
        }
    }

    fn write_down(&mut self, record: &Record) {
        let Some(ledger) = &mut self.ledger else { return };
        let Some(store) = ledger.store.as_mut().filter(|_| ledger.stage == Stage::Open) else { return };
        match spanlead_ledger::encode(record) {
            Ok(bytes) => {
                ledger.gate.record(store.append(bytes.into()));
                ledger.urgent |= !record.can_wait();
            }
            // Without it what follows would be out of its place.
            Err(error) => {
                tracing::error!(%error, kind = record.kind(), "a record has no form");
                let _ = self.to.send(Message::Progress(Progress::Failed));
            }
        }
    }

    /// Does this now if all that was written down is durable; else when it is.
    fn durably(&mut self, effect: Effect, until: Nanos) {
        let passed = match &mut self.ledger {
            Some(ledger) => {
                let passed = ledger.gate.pass(effect, until);
                ledger.urgent |= passed.is_none();
                passed
            }
            None => Some(Passage::Do(effect)),
        };
        passed.into_iter().for_each(|passage| self.go_through(passage));
    }

    fn go_through(&mut self, passage: Passage) {
        match passage {
            Passage::Do(effect) => self.perform(effect),
            Passage::Unsent(attempt) => self.never_sent(attempt),
            // The worker asks again.
            Passage::Unheard(note) => drop(self.notes.remove(&note)),
        }
    }

    fn progress(&mut self, progress: Progress) {
        let Some(ledger) = self.ledger.as_mut().filter(|l| l.stage == Stage::Open) else { return };
        match progress {
            Progress::Durable { upto, bytes } => {
                let passed = ledger.gate.durable(upto);
                passed.into_iter().for_each(|passage| self.go_through(passage));
                self.step(Input::Stored { bytes });
            }
            Progress::Failed => {
                ledger.stage = Stage::Failed;
                tracing::error!("the ledger has failed: new durable jobs are refused from now on");
                let passed = ledger.gate.fail();
                self.step(Input::StoreFailed);
                passed.into_iter().for_each(|passage| self.go_through(passage));
            }
        }
    }

    /// Gives up what has waited for the disk for too long: clients are answered in time whatever the disk does.
    fn too_late(&mut self) {
        let now = self.clock.now();
        let late = self.ledger.as_mut().map(|l| l.gate.late(now));
        late.into_iter().flatten().for_each(|passage| self.go_through(passage));
    }

    /// Leaves the ledger to the successor, when nothing of it is open here any more.
    fn release_ledger(&mut self) {
        let Some(ledger) = &mut self.ledger else { return };
        if ledger.stage == Stage::Open && ledger.gate.is_empty() && self.core.durable_open() == 0 {
            ledger.stage = Stage::Released;
            // Ends it in order, and lets go of the folder.
            ledger.store = None;
            self.step(Input::Released);
            tracing::info!("the ledger is left to the successor");
        }
    }

    fn discovery(&self, addr: SocketAddr, version: u64) -> Discovery {
        Discovery { addr, version, names: self.names.subscribe(), to: self.to.clone() }
    }
}
