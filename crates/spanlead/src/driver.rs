//! Runs the reducer: one input at a time, then the effects that it asks for, whose results come back as inputs.
use crate::config::{Config, Keys, Shares};
use bytes::Bytes;
use oatdock::{ListScope, RequestId};
use settings::{Deployment, Names, Reports};
use spanlead_core::{Answer, AttemptId, Core, Effect, Input, Tale};
use spanlead_net::clients::{self, Arrival, Front, Line};
use spanlead_net::discovery::Discovery;
use spanlead_net::operator::{self, Asked};
use spanlead_net::peers::{PeerLink, Peers};
use spanlead_net::relay::{self, Kin, Link, Passed};
use spanlead_net::wire::{self, Notice, OperatorCall, OperatorReply, Parcel};
use spanlead_net::workers::Pool;
use spanlead_net::{Clock, Message};
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
use tokio::time::{Instant, sleep_until};

/// How often idle connections to workers are looked through.
const SWEEP_EVERY: Duration = Duration::from_millis(500);
/// How long the last connections may take to close at the end.
const LAST_CLOSE: Duration = Duration::from_secs(1);

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
    adopted: HashMap<Arc<str>, (Tale, Vec<Notice>)>,
    /// Requests that the successor has, and what would answer them here, which must not be heard of again.
    released: HashMap<Arc<str>, oneshot::Sender<Answer>>,
    /// Those of them that may still be on their way.
    leaving: Vec<oneshot::Receiver<()>>,
    /// What this process may hold alone, and beside another.
    shares: [Shares; 2],
    /// The listening socket, until this process can serve where another still does.
    listener: Option<TcpListener>,
    accepting: Option<JoinHandle<()>>,
    to: UnboundedSender<Message>,
    effects: Vec<Effect>,
}

/// Serves until told to stop, then until nothing is owed.
pub async fn serve(config: Config) -> Result<(), Box<dyn std::error::Error>> {
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
    let front = Arc::new(Front::new(names.subscribe(), clock, to.clone(), share.clients));
    let mut driver = Driver {
        core: Core::new(deployment.settings.clone(), config.seed, share.open, config.discovery)?,
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
                self.keys = config.keys;
                if config.deployment != self.deployment {
                    self.deployment = config.deployment.clone();
                    let (new, like) = config.deployment.after(&self.names.borrow());
                    settings = Some((Box::new(new.settings), like));
                    self.reports = new.reports;
                    self.pool.tune(tuning);
                    // Who reads by them is heard only after the reducer knows the new numbers.
                    self.names.send_replace(Arc::new(new.names));
                }
                tracing::info!(%discovery, settings = settings.is_some(), "configuration read again");
                self.step(Input::Reloaded { discovery, settings });
            }
            Err(error) => {
                tracing::error!("the new configuration is not used: {error}");
                self.step(Input::Unreadable);
            }
        }
    }

    /// Does what an operator asks.
    fn operate(&mut self, Asked { call, reply }: Asked) {
        let answer = match call {
            OperatorCall::Readiness if self.core.serves() => OperatorReply::Yes,
            OperatorCall::Readiness => OperatorReply::No("no worker is known, or the process is ending\n"),
            OperatorCall::Stats => {
                let figures = self.core.figures(self.clock.now(), &self.names.borrow().classes);
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
        if let Err(error) = self.open_peers() {
            tracing::warn!("{error}");
        }
        if self.core.finishing(self.clock.now()) && self.successor.is_some() {
            self.step(Input::HandOver);
        }
        // An idle client would only find out from its next request that nothing new should come here.
        if self.core.turned_away(self.clock.now()) {
            self.front.close_idle();
        }
    }

    /// With a successor this process must also be done with every connection that it accepted: what they still bring is
    /// served here.
    fn finished(&mut self) -> bool {
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
        heard: Option<oneshot::Sender<()>>,
    ) {
        let mut passed = Vec::new();
        if let Some((_, notices)) = self.adopted.get_mut(&*notice.id) {
            notices.push(notice);
            let _ = heard.map(|heard| heard.send(()));
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
            self.heed(notice);
            let _ = heard.map(|heard| heard.send(()));
            return;
        }
        tokio::spawn(async move {
            for arrived in passed {
                // One that has gone takes its jobs with it; the worker asks again and is then answered here.
                if arrived.await.is_err() {
                    return;
                }
            }
            let _ = heard.map(|heard| heard.send(()));
        });
    }

    fn heed(&mut self, mut notice: Notice) {
        let news = notice.news();
        let report = notice.load.map(|f| self.reports.report(f));
        self.step(Input::News { id: notice.id, from: notice.from, news, report });
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
        match message {
            Message::Arrival(Arrival { ticket, mut job, parcel, line, reply }) => {
                self.open.insert(ticket, Open { line, reply, parcel: Arc::new(parcel) });
                let Some((tale, notices)) = self.adopted.remove(&job.id) else {
                    return self.step(Input::Request { ticket, job, tries: None });
                };
                job.due = tale.due;
                self.step(Input::Request { ticket, job, tries: Some(tale.tries) });
                notices.into_iter().for_each(|notice| self.heed(notice));
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
        self.front.ready.store(self.core.ready(), Ordering::Relaxed);
        self.front.closing.store(self.core.closing(), Ordering::Relaxed);
        // Beside another that serves, nobody should meet one that can't yet.
        if (self.predecessor.is_none() || self.core.serves())
            && let Some(listener) = self.listener.take()
        {
            self.accepting = Some(tokio::spawn(self.front.clone().listen(listener)));
        }
    }

    fn perform(&mut self, effect: Effect) {
        let (pool, to) = (self.pool.clone(), self.to.clone());
        match effect {
            Effect::Answer { ticket, answer } => {
                if let Some(open) = self.open.remove(&ticket) {
                    // A client that has just left needs no answer.
                    let _ = open.reply.send(answer);
                }
            }
            Effect::Send { attempt, addr, until } => {
                let Some(open) = self.open.get(&attempt.0) else { return };
                let (parcel, until) = (open.parcel.clone(), self.clock.instant(until));
                let handover = tokio::spawn(async move {
                    let tell = to.clone();
                    let whole = move || drop(tell.send(Message::Input(Input::Written)));
                    let how = pool.hand_over(addr, &parcel, until, whole).await;
                    let _ = to.send(Message::Input(Input::Handover { attempt, how }));
                });
                self.handovers.insert(attempt, handover);
            }
            Effect::Abandon { attempt, addr, id, taken, until } => {
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
        }
    }
    fn discovery(&self, addr: SocketAddr, version: u64) -> Discovery {
        Discovery { addr, version, names: self.names.subscribe(), to: self.to.clone() }
    }
}
