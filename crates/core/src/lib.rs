//! The reducer: every change of state goes through [`Core::step`]. It owns the dispatcher, the requests, their
//! attempts and the timers, knows no socket and no protocol, and is told the time. What is to be read or written it
//! asks for as [`Effect`]s.
#![allow(missing_docs, reason = "fields and variants that say what they are need no second saying")]
mod durable;
mod gate;

use bytes::Bytes;
pub use durable::{Durability, LedgerFigures};
use durable::{Durable, Known};
pub use gate::{Gate, Passage};
use oatdock::{
    Action, Dispatcher, Entry, Event, ListScope, Nanos, Note, Outcome, Report, RequestId, Settings,
    SettingsError, Tried, WorkerId, WorkerState,
};
use serde::{Deserialize, Serialize};
use settings::Names;
use spanlead_ledger::{JobNo, Record, Token};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

const MS: Nanos = 1_000_000;
/// How long the front may need to notice the order to stop or to drain: clients go on using the connections they have,
/// and new requests are still taken. Then idle connections may close.
const TURN_AWAY: Nanos = 500 * MS;
/// How long a worker may take to acknowledge that an attempt is called off when the request is over anyway.
const ABANDON_WAIT: Nanos = 1_000 * MS;
/// How long a worker may take to say that it has a job: it answers at once, so one that doesn't by then has lost it.
const TAKE_WAIT: Nanos = 1_000 * MS;
/// How long a worker's notice may wait for its record: its call is given up then, and it comes again.
const ACKNOWLEDGE_WAIT: Nanos = 1_000 * MS;
/// How long a probe may take.
const PROBE_WAIT: Nanos = 500 * MS;

/// A request as it came in. `due` is when the client gives up; it travels with the request.
#[derive(Debug)]
pub struct Job {
    pub id: Arc<str>,
    pub class: u32,
    pub tenant: u32,
    pub slots: f64,
    pub memory: f64,
    pub key: Option<u64>,
    pub due: Nanos,
    /// What the ledger needs of it, where there is one.
    pub mark: Option<Mark>,
}

/// What makes a request known again, and lets another process send it.
#[derive(Clone, Debug)]
pub struct Mark {
    /// Its `Idempotency-Key`.
    pub key: Option<Arc<str>>,
    /// A digest of what is asked for.
    pub fingerprint: [u8; 16],
    /// The request as it goes to a worker.
    pub text: Bytes,
}

/// What another process must know of an open request to go on with it.
#[derive(Debug, Deserialize, Serialize)]
pub struct Tale {
    pub id: Arc<str>,
    pub due: Nanos,
    pub tries: Vec<Chapter>,
    /// The ledger holds it, and says what became of it.
    #[serde(default)]
    pub durable: bool,
}

/// An attempt in such a tale; `ran` tells whether it may have run, once it is over.
#[derive(Debug, Deserialize, Serialize)]
pub struct Chapter {
    worker: Arc<str>,
    sent: Nanos,
    ran: Option<bool>,
}

/// An attempt: its request and its number, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId(pub RequestId, pub u32);

/// A worker as the list names it.
#[derive(Clone, Debug)]
pub struct Host {
    pub name: Arc<str>,
    pub addr: SocketAddr,
    pub state: WorkerState,
    pub started: Option<Nanos>,
    pub kind: u32,
    pub zone: u32,
    pub cell: u32,
    pub weight: f64,
}

/// How the exchange that hands an attempt to its worker ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Handover {
    /// The worker has the job and will tell what becomes of it; whether it has understood its lease.
    Taken { aware: bool },
    /// The worker can't use the request, nor could another.
    Unusable,
    /// The attempt is over.
    Ended(Outcome, Option<Report>),
}

/// What a worker tells of a job that it has taken.
#[derive(Debug)]
pub enum News {
    Started,
    Running(f64),
    Done(String),
    Failed,
    Returned,
    Lost,
}

/// All that can happen.
#[derive(Debug)]
pub enum Input {
    Request {
        ticket: RequestId,
        job: Job,
        /// What another process of this scheduler did for it before.
        tries: Option<Vec<Chapter>>,
        /// It was handed over, and the ledger holds it.
        durable: bool,
    },
    ClientLeft {
        ticket: RequestId,
    },
    Handover {
        attempt: AttemptId,
        how: Handover,
    },
    /// A worker's notice, which is owed an [`Effect::Acknowledge`].
    News {
        note: u64,
        id: String,
        from: String,
        /// The fencing token, from a worker that knows leases.
        token: Option<u64>,
        news: News,
        report: Option<Report>,
    },
    Abandoned {
        attempt: AttemptId,
    },
    /// Discovery's news, at its version of the list.
    List {
        scope: ListScope,
        version: u64,
        hosts: Vec<Host>,
    },
    /// The configuration's file was read again: where discovery is from now on, and the settings if they are new, with
    /// the earlier class that each class continues.
    Reloaded {
        discovery: SocketAddr,
        settings: Option<(Box<Settings>, Vec<Option<u32>>)>,
        names: Arc<Names>,
    },
    Probed {
        worker: Arc<str>,
        sent: Nanos,
        outcome: Outcome,
        report: Option<Report>,
    },
    Peer {
        from: u32,
        data: Vec<u8>,
    },
    /// A timer may be due.
    Tick,
    /// The order to stop: finish what is owed.
    Stop,
    /// Operators want the clients sent away, or want them back.
    Drain(bool),
    /// At most so many requests may be open from now on, and whether another process is there to take over.
    Share {
        open: usize,
        successor: bool,
    },
    /// The successor takes over what is open, as far as its attempts stand still.
    HandOver,
    /// A request of this class was turned away before it could be taken.
    TurnedAway {
        class: u32,
    },
    /// The last byte of an attempt has been written to its worker.
    Written,
    /// The configuration's file could not be used.
    Unreadable,
    /// The ledger was read: what it holds is open here from now on.
    Opened(Box<Durability>),
    /// The ledger's records are durable so far, and it has this size on disk, bytes.
    Stored {
        bytes: u64,
    },
    /// The ledger can't be written to any more.
    StoreFailed,
    /// The ledger is another process's from now on.
    Released,
    /// A client was handed this job's answer.
    Answered {
        job: JobNo,
    },
}

/// What a worker's notice is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It has been heard; the worker may believe in its lease for so long from when it sent this.
    Heard { lease: Option<Nanos> },
    /// Its lease is over: it must stop, and its result is not wanted.
    Fenced,
}

/// A lease as a worker is told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    pub token: u64,
    pub length: Nanos,
}

/// A request's one final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(String),
    Refused {
        retry_after: Option<Nanos>,
    },
    Failed,
    /// A worker says that it can't use the request.
    Unusable,
    /// The id is that of a request still open.
    Duplicate,
    /// Its key was used for another request.
    Mismatch,
}

/// How a class's requests ended.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Ends {
    /// Served.
    pub completed: u64,
    /// Refused: trying again is harmless.
    pub rejected: u64,
    pub failed: u64,
}

/// What operators are shown, as it is at one moment. All counts begin with the process.
#[derive(Debug, Serialize)]
pub struct Figures {
    pub downstream_requests: BTreeMap<String, Ends>,
    /// Attempts written whole to workers.
    pub upstream_requests: u64,
    /// Requests taken and not yet ended.
    pub pending: usize,
    /// Workers in the list, and those of them that get nothing now.
    pub members: usize,
    pub members_unavailable: usize,
    /// Configuration files taken, and turned down, at SIGHUP.
    pub config_reloads: u64,
    pub config_reload_errors: u64,
    /// The ledger, where there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ledger: Option<LedgerFigures>,
}

/// What the reducer wants done.
#[derive(Debug)]
pub enum Effect {
    /// The request is another process's from now on.
    HandOver {
        ticket: RequestId,
        tale: Tale,
    },
    Answer {
        ticket: RequestId,
        answer: Answer,
        /// The durable job whose answer it is, if that should know.
        job: Option<JobNo>,
    },
    Send {
        attempt: AttemptId,
        addr: SocketAddr,
        until: Nanos,
        lease: Option<Offer>,
        /// The request, where no client's is at hand.
        text: Option<Bytes>,
    },
    /// Writes this down.
    Record(Record),
    /// Does this when all that was written down so far is durable. If that takes until `until`, it is too late for it.
    Durably {
        effect: Box<Effect>,
        until: Nanos,
    },
    Acknowledge {
        note: u64,
        reply: Reply,
    },
    /// The ledger's records before this one are not needed.
    Trim {
        oldest: u64,
    },
    Abandon {
        attempt: AttemptId,
        addr: SocketAddr,
        id: Arc<str>,
        taken: bool,
        until: Nanos,
    },
    Probe {
        worker: Arc<str>,
        addr: SocketAddr,
        until: Nanos,
    },
    CloseIdle {
        addr: SocketAddr,
    },
    Tell {
        peer: Option<u32>,
        data: Vec<u8>,
    },
    /// Watch discovery at `addr` for what is newer than `version`, in place of any watch under way.
    Watch {
        addr: SocketAddr,
        version: u64,
    },
    FetchList {
        addr: SocketAddr,
    },
    Log(String),
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// Sent; the worker has not said that it has the job.
    Offered,
    Taken,
    /// Being called off; this outcome stands once the worker knows.
    Leaving(Outcome),
    Over,
}

struct Attempt {
    worker: Arc<str>,
    addr: SocketAddr,
    sent: Nanos,
    stage: Stage,
    /// Known once it is over.
    may_have_run: bool,
    /// Its lease, if the job is durable.
    token: Option<Token>,
    /// The worker goes by the lease, and may believe in it until then at the latest.
    leased: Option<Nanos>,
}

struct Request {
    id: Arc<str>,
    class: u32,
    due: Nanos,
    answered: bool,
    attempts: Vec<Attempt>,
    /// Its number in the ledger.
    durable: Option<JobNo>,
    /// The client that brought it still waits.
    first: bool,
    /// Clients whose repeats of it wait too, and the ids of these.
    joined: Vec<(RequestId, Arc<str>)>,
}

enum Timer {
    Module(u64),
    AttemptEnds(AttemptId),
    /// The worker should have said by now that it has the job.
    Untaken(AttemptId),
    Overdue(RequestId),
    /// The time of a client that waits for another's job is up.
    JoinedOverdue(RequestId),
    /// A worker's lease may be over.
    LeaseEnds(AttemptId),
}

/// The scheduler's whole state.
pub struct Core {
    dispatcher: Dispatcher,
    tick: Nanos,
    max_open: usize,
    requests: HashMap<RequestId, Request>,
    /// The serial of each open request by the id that the clients and workers know.
    by_id: HashMap<Arc<str>, RequestId>,
    workers: HashMap<Arc<str>, Host>,
    names: Arc<Names>,
    /// What repeats of each class do, by its number.
    effects: Vec<oatdock::Effect>,
    /// The ledger is wanted; and what there is of it, while it is open here.
    wants_ledger: bool,
    durable: Option<Durable>,
    /// The request that a joined client waits for.
    joined: HashMap<RequestId, RequestId>,
    /// Where discovery is, the version of its list that is held, and whether its news was asked for.
    discovery: SocketAddr,
    version: u64,
    watching: bool,
    timers: BTreeMap<(Nanos, u64), Timer>,
    timer_serial: u64,
    stopping: Option<Nanos>,
    /// Another process takes new connections in place of this one when it stops.
    successor: bool,
    /// Clients are to go elsewhere, since then.
    draining: Option<Nanos>,
    /// How requests ended, by the number of their class.
    ends: Vec<Ends>,
    pending: usize,
    written: u64,
    reloads: u64,
    reload_errors: u64,
}

impl Core {
    /// A scheduler that knows no workers yet and holds at most `max_open` requests. With `wants_ledger` nothing that
    /// belongs there is taken before [`Input::Opened`].
    ///
    /// # Errors
    /// If the module turns the settings down.
    pub fn new(
        settings: Settings,
        names: Arc<Names>,
        seed: u64,
        max_open: usize,
        discovery: SocketAddr,
        wants_ledger: bool,
    ) -> Result<Self, SettingsError> {
        let (tick, classes) = (settings.tick, settings.classes.len());
        let effects = settings.classes.iter().map(|c| c.effect).collect();
        Ok(Core {
            dispatcher: Dispatcher::new(settings, seed)?,
            tick,
            max_open,
            requests: HashMap::new(),
            by_id: HashMap::new(),
            workers: HashMap::new(),
            names,
            effects,
            wants_ledger,
            durable: None,
            joined: HashMap::new(),
            discovery,
            version: 0,
            watching: false,
            timers: BTreeMap::new(),
            timer_serial: 0,
            stopping: None,
            successor: false,
            draining: None,
            ends: vec![Ends::default(); classes],
            pending: 0,
            written: 0,
            reloads: 0,
            reload_errors: 0,
        })
    }

    /// Whether this process can serve.
    pub fn serves(&self) -> bool {
        let durable = !self.wants_ledger || self.durable.as_ref().is_some_and(|d| !d.failed);
        self.stopping.is_none() && durable && self.workers.values().any(|w| w.state == WorkerState::Ready)
    }

    /// Whether new requests should come here.
    pub fn ready(&self) -> bool {
        self.serves() && self.draining.is_none()
    }

    /// Whether connections are to end with the answers that they wait for.
    pub fn closing(&self) -> bool {
        self.stopping.is_some() || self.draining.is_some()
    }

    /// Whether the front has had its time to send clients elsewhere: those with nothing under way may be cut off.
    pub fn turned_away(&self, now: Nanos) -> bool {
        [self.stopping, self.draining].into_iter().flatten().any(|t| now >= t + TURN_AWAY)
    }

    /// What operators are shown, with the classes under their names.
    pub fn figures(&self, now: Nanos, classes: &[String]) -> Figures {
        let mut downstream_requests: BTreeMap<String, Ends> = BTreeMap::new();
        for (name, ends) in classes.iter().zip(&self.ends) {
            let sum = downstream_requests.entry(name.clone()).or_default();
            sum.completed += ends.completed;
            sum.rejected += ends.rejected;
            sum.failed += ends.failed;
        }
        let members = || self.workers.values().filter(|w| w.state != WorkerState::Gone);
        let avoided = |w: &&Host| w.state == WorkerState::Draining || self.dispatcher.avoids(now, &w.name);
        Figures {
            downstream_requests,
            upstream_requests: self.written,
            pending: self.pending,
            members: members().count(),
            members_unavailable: members().filter(avoided).count(),
            config_reloads: self.reloads,
            config_reload_errors: self.reload_errors,
            ledger: self.durable.as_ref().map(Durable::figures),
        }
    }

    /// Whether a request that comes now is still taken. With a successor no new connection comes here, and what those
    /// that were accepted still bring is served.
    fn taking(&self, now: Nanos) -> bool {
        self.successor || self.stopping.is_none_or(|t| now < t + TURN_AWAY)
    }

    /// Whether a stopping scheduler owes nothing any more and the front has had its time.
    pub fn finished(&self, now: Nanos) -> bool {
        self.finishing(now) && self.requests.is_empty()
    }

    /// Whether it was told to stop and the front has had its time.
    pub fn finishing(&self, now: Nanos) -> bool {
        self.stopping.is_some_and(|t| now >= t + TURN_AWAY)
    }

    /// Whether this request is open here, or kept with its end.
    pub fn knows(&self, id: &str) -> bool {
        self.by_id.contains_key(id) || self.durable.as_ref().is_some_and(|d| d.has_end(id))
    }

    /// The id that workers know this open request by.
    pub fn id_of(&self, ticket: RequestId) -> Option<Arc<str>> {
        self.requests.get(&ticket).map(|r| r.id.clone())
    }

    /// Whether there is a ledger that can't be written to any more.
    pub fn durable_failed(&self) -> bool {
        self.durable.as_ref().is_some_and(|d| d.failed)
    }

    /// How many open requests the ledger holds.
    pub fn durable_open(&self) -> usize {
        self.requests.values().filter(|r| r.durable.is_some()).count()
    }

    /// When [`Input::Tick`] is next wanted.
    pub fn next_timer(&self, now: Nanos) -> Option<Nanos> {
        let stop = self.stopping.map(|t| t + TURN_AWAY).filter(|t| *t > now && self.requests.is_empty());
        let expiry = self.durable.as_ref().and_then(|d| d.ledger.next_expiry());
        self.timers.first_key_value().map(|((at, _), _)| *at).into_iter().chain(stop).chain(expiry).min()
    }

    /// Takes one input at time `now` and appends what is to be done.
    pub fn step(&mut self, now: Nanos, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::Request { ticket, job, tries, durable: false } => {
                self.request(now, ticket, job, tries, out);
            }
            Input::Request { ticket, job, .. } => self.take_over(now, ticket, job, out),
            Input::ClientLeft { ticket } => self.client_left(now, ticket, out),
            Input::Handover { attempt, how } => self.handover(now, attempt, how, out),
            Input::News { note, id, from, token, news, report } => {
                let before = self.recorded();
                let last = !matches!(news, News::Running(_));
                let reply = self.news(now, &id, &from, token, news, report, out);
                let effect = Effect::Acknowledge { note, reply };
                // A repeat may come before what its first has changed is durable.
                let durably = self.recorded() > before || last && self.durable.is_some();
                out.push(if durably { durable::durably(effect, now + ACKNOWLEDGE_WAIT) } else { effect });
            }
            Input::Abandoned { attempt } => {
                if let Some(Stage::Leaving(outcome)) = self.stage(attempt) {
                    self.end(now, attempt, outcome, None, out);
                }
            }
            Input::List { scope, version, hosts } => {
                self.version = version;
                self.list(now, scope, hosts, out);
            }
            Input::Reloaded { discovery, settings, names } => {
                self.reloads += 1;
                self.names = names;
                if let Some((settings, like)) = settings {
                    self.tick = settings.tick;
                    self.effects.extend(settings.classes.iter().map(|c| c.effect));
                    self.ends.resize(self.ends.len() + settings.classes.len(), Ends::default());
                    self.decide(now, Event::Retuned { settings, like }, out);
                }
                self.move_discovery(discovery, out);
            }
            Input::Probed { worker, sent, outcome, report } => {
                let event = Event::Probed { worker: &worker, outcome, lag: now.saturating_sub(sent), report };
                self.decide(now, event, out);
            }
            Input::Peer { from, data } => self.decide(now, Event::Peer { from, data: &data }, out),
            Input::Tick => self.run_timers(now, out),
            Input::Stop => self.stopping = self.stopping.or(Some(now)),
            Input::Drain(true) => self.draining = self.draining.or(Some(now)),
            Input::Drain(false) => self.draining = None,
            Input::Share { open, successor } => (self.max_open, self.successor) = (open, successor),
            Input::TurnedAway { class } => self.count(class, &Answer::Failed),
            Input::HandOver => self.hand_over(now, out),
            Input::Written => self.written += 1,
            Input::Unreadable => self.reload_errors += 1,
            Input::Opened(durability) => self.opened(now, *durability, out),
            Input::Stored { bytes } => self.stored(bytes, out),
            Input::StoreFailed => self.store_failed(out),
            Input::Released => self.durable = None,
            Input::Answered { job } => self.record(Record::Answered { job }, out),
        }
    }

    fn decide(&mut self, now: Nanos, event: Event<'_>, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        self.dispatcher.handle(now, event, &mut actions);
        for action in actions {
            self.act(now, action, out);
        }
    }

    fn act(&mut self, now: Nanos, action: Action, out: &mut Vec<Effect>) {
        match action {
            Action::Send { id, worker, timeout } => self.send(now, id, &worker, timeout, out),
            Action::Refuse { id, retry_after } => self.answer(now, id, Answer::Refused { retry_after }, out),
            Action::Fail { id } => self.answer(now, id, Answer::Failed, out),
            Action::Cancel { id, attempt } => {
                self.abandon(now, AttemptId(id, attempt), Outcome::Cancelled, out);
            }
            // A timer never rings in the round that sets it; what is a round in the simulator is a tick here.
            Action::Timer { after, token } => {
                self.set_timer(now + after.max(self.tick), Timer::Module(token))
            }
            Action::Probe { worker } => {
                if let Some(host) = self.workers.get(&worker.0) {
                    let (worker, addr, until) = (worker.0, host.addr, now + PROBE_WAIT);
                    out.push(Effect::Probe { worker, addr, until });
                }
            }
            Action::Close { worker } => {
                out.extend(self.workers.get(&worker.0).map(|h| Effect::CloseIdle { addr: h.addr }));
            }
            Action::Tell { peer, data } => out.push(Effect::Tell { peer, data }),
            Action::Subscribe => {
                self.watching = true;
                out.push(Effect::Watch { addr: self.discovery, version: self.version });
            }
            Action::FetchList => out.push(Effect::FetchList { addr: self.discovery }),
            Action::Log(text) => out.push(Effect::Log(text)),
        }
    }

    // ------------------------------------------------------------ requests

    fn request(
        &mut self,
        now: Nanos,
        ticket: RequestId,
        job: Job,
        tries: Option<Vec<Chapter>>,
        out: &mut Vec<Effect>,
    ) {
        let known = self.recognise(now, &job);
        let before = match known {
            Known::No(before) => before,
            Known::Open(first) => return self.join(ticket, first, job, out),
            Known::Over(answer, no) => {
                self.count(job.class, &answer);
                let effect = Effect::Answer { ticket, answer, job: no };
                return out.push(durable::durably(effect, job.due));
            }
        };
        // Two open requests under one id could be told apart by no worker, and would be two attempts of one.
        let full = tries.is_none() && (!self.taking(now) || self.requests.len() >= self.max_open);
        let at_once = match self.by_id.contains_key(&job.id) {
            true => Some(Answer::Duplicate),
            false if full => Some(Answer::Refused { retry_after: Some(300 * MS) }),
            false => self.turned_down(&job),
        };
        if let Some(answer) = at_once {
            self.count(job.class, &answer);
            return out.push(Effect::Answer { ticket, answer, job: None });
        }
        // One that a process without a ledger hands over goes on as it began.
        let durable = match tries.as_ref().is_none_or(Vec::is_empty) {
            true => self.take_down(now, &job, before.clone(), out),
            false => None,
        };
        if durable.is_some() && !before.is_empty() {
            // It goes on from what an earlier one of its key left unsettled.
            return self.resume(now, ticket, job, durable, before, None, out);
        }
        let tries = tries.unwrap_or_default();
        let known = tries.iter().all(|t| self.workers.contains_key(&t.worker));
        let attempts = tries.iter().filter_map(|t| {
            let stage = if t.ran.is_none() { Stage::Taken } else { Stage::Over };
            let addr = self.workers.get(&t.worker)?.addr;
            let (worker, may_have_run) = (t.worker.clone(), t.ran.unwrap_or(true));
            Some(Attempt { worker, addr, sent: t.sent, stage, may_have_run, token: None, leased: None })
        });
        let attempts = attempts.collect();
        let request = self.admit(now, ticket, &job, attempts, durable, true);
        if tries.is_empty() {
            return self.decide(now, Event::Request(request), out);
        }
        if !known {
            // Where it may have run can't be told to the module, which could then send it there or elsewhere again.
            self.answer(now, ticket, Answer::Failed, out);
            return self.abandon_all(now, ticket, out);
        }
        for number in 0..tries.len() as u32 {
            self.set_timer(job.due, Timer::AttemptEnds(AttemptId(ticket, number)));
        }
        let tried = |t: Chapter| Tried { worker: WorkerId(t.worker), sent: t.sent, may_have_run: t.ran };
        let tries: Vec<Tried> = tries.into_iter().map(tried).collect();
        self.decide(now, Event::Adopted { request, tries: &tries }, out);
    }

    /// Opens a request; `first` tells whether its client waits here. Returns it as the module takes it.
    fn admit(
        &mut self,
        now: Nanos,
        ticket: RequestId,
        job: &Job,
        attempts: Vec<Attempt>,
        durable: Option<JobNo>,
        first: bool,
    ) -> oatdock::Request {
        self.by_id.insert(job.id.clone(), ticket);
        let request = Request {
            id: job.id.clone(),
            class: job.class,
            due: job.due,
            answered: false,
            attempts,
            durable,
            first,
            joined: Vec::new(),
        };
        self.requests.insert(ticket, request);
        if let (Some(no), Some(d)) = (durable, &mut self.durable) {
            d.tickets.insert(no, ticket);
        }
        self.pending += usize::from(first);
        // Guards the one rule that nothing may break: should the module ever hold a request past its due time,
        // it still gets its answer.
        self.set_timer(job.due + self.tick, Timer::Overdue(ticket));
        oatdock::Request {
            id: ticket,
            class: job.class,
            slots: job.slots,
            memory: job.memory,
            tenant: job.tenant,
            key: job.key,
            hint: None,
            left: job.due.saturating_sub(now),
        }
    }

    /// Gives up what is open to the successor; a request of which a worker is just being told, one way or the other, must
    /// wait.
    fn hand_over(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        let still = |r: &Request| {
            !r.answered && r.attempts.iter().all(|a| matches!(a.stage, Stage::Taken | Stage::Over))
        };
        let movable = self.requests.iter().filter(|(_, r)| still(r)).map(|(t, _)| *t);
        for ticket in movable.collect::<Vec<_>>() {
            let Some(request) = self.requests.remove(&ticket) else { continue };
            self.by_id.remove(&request.id);
            self.pending -= usize::from(request.first) + request.joined.len();
            let due = request.due;
            for (joined, id) in request.joined {
                self.joined.remove(&joined);
                out.push(Effect::HandOver {
                    ticket: joined,
                    tale: Tale { id, due, tries: Vec::new(), durable: true },
                });
            }
            let chapter = |a: Attempt| {
                let ran = (a.stage == Stage::Over).then_some(a.may_have_run);
                Chapter { worker: a.worker, sent: a.sent, ran }
            };
            // What the ledger holds the successor reads there.
            let durable = request.durable.is_some();
            let attempts = if durable { Vec::new() } else { request.attempts };
            let tries = attempts.into_iter().map(chapter).collect();
            if request.first {
                out.push(Effect::HandOver { ticket, tale: Tale { id: request.id, due, tries, durable } });
            }
            self.decide(now, Event::Gone(ticket), out);
        }
    }

    fn client_left(&mut self, now: Nanos, ticket: RequestId, out: &mut Vec<Effect>) {
        if self.stays(ticket) {
            return;
        }
        let durable = self.requests.get(&ticket).and_then(|r| r.durable);
        if !self.close(ticket, &Answer::Failed) {
            return;
        }
        self.record_end(now, durable, &Answer::Failed, out);
        self.decide(now, Event::Gone(ticket), out);
        self.abandon_all(now, ticket, out);
        self.forget(ticket);
    }

    fn answer(&mut self, now: Nanos, ticket: RequestId, answer: Answer, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let (first, durable, due) = (request.first, request.durable, request.due);
        if !self.close(ticket, &answer) {
            return;
        }
        let joined = self.requests.get_mut(&ticket).map(|r| (std::mem::take(&mut r.joined), r.class));
        self.record_end(now, durable, &answer, out);
        for (joined, class) in
            joined.into_iter().flat_map(|(all, class)| all.into_iter().map(move |j| (j.0, class)))
        {
            self.joined.remove(&joined);
            self.pending -= 1;
            self.count(class, &answer);
            out.push(durable::as_recorded(joined, answer.clone(), durable, due));
        }
        if first {
            out.push(durable::as_recorded(ticket, answer, durable, due));
        }
        self.forget(ticket);
    }

    /// The one end of a request that was taken, if it has not had it yet.
    fn close(&mut self, ticket: RequestId, how: &Answer) -> bool {
        let Some(request) = self.requests.get_mut(&ticket).filter(|r| !r.answered) else { return false };
        request.answered = true;
        let (class, first) = (request.class, request.first);
        if first {
            self.pending -= 1;
            self.count(class, how);
        }
        true
    }

    fn count(&mut self, class: u32, how: &Answer) {
        let Some(ends) = self.ends.get_mut(class as usize) else { return };
        match how {
            Answer::Served(_) => ends.completed += 1,
            Answer::Refused { .. } => ends.rejected += 1,
            Answer::Failed | Answer::Unusable | Answer::Duplicate | Answer::Mismatch => ends.failed += 1,
        }
    }

    /// The one place where a request is given back: it is answered and no attempt is out.
    fn forget(&mut self, ticket: RequestId) {
        let done = |r: &Request| r.answered && r.attempts.iter().all(|a| a.stage == Stage::Over);
        if self.requests.get(&ticket).is_some_and(done)
            && let Some(request) = self.requests.remove(&ticket)
        {
            self.by_id.remove(&request.id);
            if let (Some(no), Some(d)) = (request.durable, &mut self.durable) {
                d.tickets.remove(&no);
            }
        }
    }

    // ------------------------------------------------------------ attempts

    fn send(
        &mut self,
        now: Nanos,
        ticket: RequestId,
        to: &WorkerId,
        wait: Option<Nanos>,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let attempt = AttemptId(ticket, request.attempts.len() as u32);
        let until = wait.map_or(request.due, |span| request.due.min(now + span));
        let (durable, first) = (request.durable, request.first);
        // What can't be written down may not go out.
        let barred = durable.is_some() && self.durable.as_ref().is_none_or(|d| d.failed);
        let Some(host) = self.workers.get(&to.0).filter(|_| !request.answered && now < until && !barred)
        else {
            let event = Event::Ended {
                id: ticket,
                attempt: attempt.1,
                outcome: Outcome::Moot,
                closed: request.answered,
                lag: 0,
                report: None,
            };
            let addr = SocketAddr::from(([0, 0, 0, 0], 0));
            request.attempts.push(Attempt {
                worker: to.0.clone(),
                addr,
                sent: now,
                stage: Stage::Over,
                may_have_run: false,
                token: None,
                leased: None,
            });
            return self.decide(now, event, out);
        };
        let addr = host.addr;
        let (worker, stage) = (to.0.clone(), Stage::Offered);
        request.attempts.push(Attempt {
            worker,
            addr,
            sent: now,
            stage,
            may_have_run: true,
            token: None,
            leased: None,
        });
        let offer = durable.and_then(|no| self.lease(now, no, attempt, out));
        self.set_timer(until, Timer::AttemptEnds(attempt));
        self.set_timer(until.min(now + TAKE_WAIT), Timer::Untaken(attempt));
        let text = durable.filter(|_| !first).and_then(|no| self.text(no));
        let send = Effect::Send { attempt, addr, until, lease: offer, text };
        out.push(if durable.is_some() { durable::durably(send, until) } else { send });
    }

    fn stage(&self, AttemptId(ticket, number): AttemptId) -> Option<Stage> {
        Some(self.requests.get(&ticket)?.attempts.get(number as usize)?.stage)
    }

    fn handover(&mut self, now: Nanos, attempt: AttemptId, how: Handover, out: &mut Vec<Effect>) {
        match (self.stage(attempt), how) {
            (Some(Stage::Offered), Handover::Taken { aware }) => {
                self.set_stage(attempt, Stage::Taken);
                self.held(attempt, aware, out);
            }
            (Some(Stage::Offered | Stage::Leaving(_)), Handover::Ended(outcome, report)) => {
                self.end(now, attempt, outcome, report, out);
            }
            // The fault is the request's, so it is not the worker that must be left alone for it, and a repeat would
            // only take it to the next one.
            (Some(Stage::Offered | Stage::Leaving(_)), Handover::Unusable) => {
                self.answer(now, attempt.0, Answer::Unusable, out);
                self.end(now, attempt, Outcome::Cancelled, None, out);
            }
            // It was called off meanwhile, or a worker's notice has ended it before the answer to the send came.
            _ => {}
        }
    }

    fn set_stage(&mut self, AttemptId(ticket, number): AttemptId, stage: Stage) {
        let request = self.requests.get_mut(&ticket);
        if let Some(attempt) = request.and_then(|r| r.attempts.get_mut(number as usize)) {
            attempt.stage = stage;
        }
    }

    /// Notices repeat, overtake the answer to the send and come late: only one that matches an attempt that is
    /// still out, at the worker that it was sent to, changes anything. (The module never sends a request twice to
    /// one worker, so id and worker name the attempt.)
    #[allow(clippy::too_many_arguments, reason = "a notice's parts")]
    fn news(
        &mut self,
        now: Nanos,
        id: &str,
        from: &str,
        token: Option<u64>,
        news: News,
        report: Option<Report>,
        out: &mut Vec<Effect>,
    ) -> Reply {
        let ticket = self.by_id.get(id).copied();
        let request = ticket.and_then(|t| Some((t, self.requests.get(&t)?)));
        let out_there = |a: &Attempt| {
            let fits = a.token.is_none() || token.is_none() || a.token.map(|t| t.0) == token;
            &*a.worker == from && a.stage != Stage::Over && fits
        };
        let number = request.and_then(|(t, r)| Some((t, r.attempts.iter().rposition(out_there)?)));
        let Some((ticket, number)) = number else { return self.stale(id, token) };
        let attempt = AttemptId(ticket, number as u32);
        if self.stage(attempt) == Some(Stage::Offered) {
            // Whatever became of its answer, it has the job.
            self.set_stage(attempt, Stage::Taken);
            self.held(attempt, token.is_some(), out);
        }
        let mut lease = None;
        let note = |note| Event::Note { id: ticket, attempt: attempt.1, note };
        match news {
            News::Started => {
                lease = self.renew(now, attempt, token, out);
                self.started(attempt, out);
                self.decide(now, note(Note::Started), out);
            }
            News::Running(share) => {
                lease = self.renew(now, attempt, token, out);
                self.decide(now, note(Note::Progress(share)), out);
            }
            News::Done(result) => {
                self.answer(now, ticket, Answer::Served(result), out);
                self.end(now, attempt, Outcome::Ok, report, out);
            }
            News::Failed => self.end(now, attempt, Outcome::Error, report, out),
            News::Returned => self.end(now, attempt, Outcome::Full, report, out),
            News::Lost => self.end(now, attempt, Outcome::Reset, report, out),
        }
        Reply::Heard { lease }
    }

    /// Calls an attempt off. While another may follow, its outcome waits until the worker knows, so that two are
    /// never out at once; when the request is over, nothing waits for it.
    fn abandon(&mut self, now: Nanos, attempt: AttemptId, outcome: Outcome, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&attempt.0) else { return };
        let (over, due) = (request.answered || now >= request.due, request.due);
        let Some(this) = request.attempts.get_mut(attempt.1 as usize) else { return };
        let taken = match this.stage {
            Stage::Offered => false,
            Stage::Taken => true,
            Stage::Leaving(_) | Stage::Over => return,
        };
        this.stage = Stage::Leaving(outcome);
        let until = if over { now + ABANDON_WAIT } else { due.max(now + ABANDON_WAIT) };
        out.push(Effect::Abandon { attempt, addr: this.addr, id: request.id.clone(), taken, until });
        if over {
            self.end(now, attempt, outcome, None, out);
        }
    }

    fn abandon_all(&mut self, now: Nanos, ticket: RequestId, out: &mut Vec<Effect>) {
        let attempts = self.requests.get(&ticket).map_or(0, |r| r.attempts.len());
        for number in 0..attempts {
            self.abandon(now, AttemptId(ticket, number as u32), Outcome::Cancelled, out);
        }
    }

    /// The one place where an attempt ends.
    fn end(
        &mut self,
        now: Nanos,
        attempt: AttemptId,
        outcome: Outcome,
        report: Option<Report>,
        out: &mut Vec<Effect>,
    ) {
        let AttemptId(ticket, number) = attempt;
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let closed = request.answered;
        let Some(this) = request.attempts.get_mut(number as usize).filter(|a| a.stage != Stage::Over) else {
            return;
        };
        this.stage = Stage::Over;
        this.may_have_run = !outcome.never_ran();
        let (ran, token, durable) = (this.may_have_run, this.token, request.durable);
        let lag = now.saturating_sub(this.sent);
        self.released(durable, token, ran, out);
        let event = Event::Ended { id: ticket, attempt: number, outcome, closed, lag, report };
        self.decide(now, event, out);
        self.forget(ticket);
    }

    // ------------------------------------------------------------ timers

    fn set_timer(&mut self, at: Nanos, timer: Timer) {
        self.timer_serial += 1;
        self.timers.insert((at, self.timer_serial), timer);
    }

    fn run_timers(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            match entry.remove() {
                Timer::Module(token) => self.decide(now, Event::Timer(token), out),
                Timer::Untaken(attempt) => {
                    if self.stage(attempt) == Some(Stage::Offered) {
                        self.abandon(now, attempt, Outcome::Timeout, out);
                    }
                }
                Timer::AttemptEnds(attempt) => self.abandon(now, attempt, Outcome::Timeout, out),
                Timer::Overdue(ticket) => {
                    if self.requests.get(&ticket).is_some_and(|r| !r.answered) {
                        self.answer(now, ticket, Answer::Failed, out);
                        self.decide(now, Event::Gone(ticket), out);
                        self.abandon_all(now, ticket, out);
                    }
                }
                Timer::JoinedOverdue(ticket) => self.joined_overdue(ticket, out),
                Timer::LeaseEnds(attempt) => self.lease_ends(now, attempt, out),
            }
        }
        self.expire(now, out);
    }

    // ------------------------------------------------------------ workers

    /// Goes on with the list at another address. For the module the watch just goes on: a call at the old address
    /// that ends with it is no failure of discovery.
    fn move_discovery(&mut self, addr: SocketAddr, out: &mut Vec<Effect>) {
        if addr != self.discovery {
            self.discovery = addr;
            out.extend(self.watching.then_some(Effect::Watch { addr, version: self.version }));
        }
    }

    fn list(&mut self, now: Nanos, scope: ListScope, hosts: Vec<Host>, out: &mut Vec<Effect>) {
        if matches!(scope, ListScope::Full | ListScope::Cached) {
            for host in self.workers.values_mut() {
                if !hosts.iter().any(|h| h.name == host.name) {
                    host.state = WorkerState::Gone;
                }
            }
        }
        for host in &hosts {
            let old = self.workers.insert(host.name.clone(), host.clone());
            // A connection to a process that was replaced or removed only waits to be reset under a request.
            let changed = |o: &Host| o.started != host.started || o.addr != host.addr;
            if let Some(old) = old.filter(|o| changed(o) || host.state == WorkerState::Gone) {
                out.push(Effect::CloseIdle { addr: old.addr });
            }
        }
        let entries: Vec<Entry<'_>> = hosts.iter().map(entry).collect();
        self.decide(now, Event::Members { scope, entries: &entries }, out);
    }
}

fn entry(host: &Host) -> Entry<'_> {
    Entry {
        worker: &host.name,
        state: host.state,
        started: host.started,
        kind: host.kind,
        zone: host.zone,
        cell: host.cell,
        weight: host.weight,
    }
}
