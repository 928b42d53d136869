//! The reducer: every change of state goes through [`Engine::step`]. It owns the dispatcher, the requests, their
//! attempts and the timers, knows no socket and no protocol, and is told the time. What is to be read or written it
//! asks for as [`Effect`]s.
#![allow(missing_docs, reason = "fields and variants that say what they are need no second saying")]
mod attempts;
mod durability_barrier;
mod durable;
mod duties;
mod effect;
mod input;
mod members;
mod membership;
mod requests;
mod snapshot;
mod stats;

pub use durability_barrier::{DurabilityBarrier, ReleasedEffect};
use durable::Durable;
pub use durable::DurableSetup;
pub use duties::{RoleCallResult, RoleTask, RoleView};
pub use effect::{Answer, Effect, LeaseGrant, NoticeReply};
pub use input::{
    AttemptId, DispatchResult, DurableRequest, Input, InventoryUpdate, InventoryVersion, Job, JobUpdate,
    SettingsChange, WorkerEndpoint, WorkerNotice,
};
use members::{Facts, Member};
use membership::Membership;
pub use membership::{MemberView, MembersView};
use rustc_hash::FxHashMap;
pub use snapshot::{AttemptSnapshot, RequestSnapshot};
use spanlead_balancing_policy::{
    Action, Dispatcher, Event, Idempotency, Nanos, Outcome, RequestId, Settings, SettingsError, WorkerState,
};
use spanlead_deployment_settings::Names;
use spanlead_durable_jobs::{FencingToken, JobNumber, Record};
pub use stats::{DurableJobStats, EngineStats, HostView, InventoryStats, RequestCounts};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

const MS: Nanos = 1_000_000;
/// How long the front may need to notice the order to stop or to drain: clients go on using the connections they have,
/// and new requests are still taken. Then idle connections may close.
const REDIRECT_GRACE: Nanos = 500 * MS;
/// How long a worker may take to acknowledge that an attempt is called off when the request is over anyway.
const CANCEL_TIMEOUT: Nanos = 1_000 * MS;
/// How long a worker may take to say that it has a job: it answers at once, so one that doesn't by then has lost it.
const ACCEPT_TIMEOUT: Nanos = 1_000 * MS;
/// How long a worker's notice may wait for its record: its call is given up then, and it comes again.
const ACKNOWLEDGE_TIMEOUT: Nanos = 1_000 * MS;
/// How long a probe may take.
const HEALTH_CHECK_TIMEOUT: Nanos = 500 * MS;

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// Sent; the worker has not said that it has the job.
    Dispatched,
    /// The worker has the job.
    Accepted,
    /// Being cancelled; this outcome stands once the worker knows.
    Cancelling(Outcome),
    /// Over.
    Ended,
}

struct Attempt {
    worker: Arc<str>,
    addr: SocketAddr,
    sent: Nanos,
    stage: Stage,
    /// Known once it is over.
    may_have_run: bool,
    /// Its lease, if the job is durable.
    token: Option<FencingToken>,
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
    durable: Option<JobNumber>,
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
    /// More of a large list may be taken.
    Slice,
    /// A worker's pod and zone may count again.
    Unbar(Arc<str>),
    /// The agent that lists are pushed to may be heard again.
    Watch,
    /// A heartbeat is due.
    Beat,
    /// The leases of duties are looked after.
    Duties,
    /// It is time for what a duty does.
    Duty(usize),
}

/// The scheduler's whole state.
pub struct Engine {
    dispatcher: Dispatcher,
    tick: Nanos,
    max_open: usize,
    requests: HashMap<RequestId, Request>,
    /// The serial of each open request by the id that the clients and workers know.
    by_id: HashMap<Arc<str>, RequestId>,
    workers: FxHashMap<Arc<str>, Member>,
    facts: Facts,
    /// The classes that need a kind of machine, and which.
    kinds: Vec<(u32, u32)>,
    names: Arc<Names>,
    /// What repeats of each class do, by its number.
    effects: Vec<Idempotency>,
    /// The ledger is wanted; and what there is of it, while it is open here.
    wants_ledger: bool,
    durable: Option<Durable>,
    /// The request that a joined client waits for.
    joined: HashMap<RequestId, RequestId>,
    /// Where discovery is, the version of its list that is held, and whether its news was asked for.
    discovery: SocketAddr,
    version: u64,
    watching: bool,
    /// Lists come unasked, to an agent beside this process.
    pushed: bool,
    /// The other schedulers, where that is on.
    membership: Option<Membership>,
    /// The duties that one scheduler holds at a time.
    duties: Option<duties::Held>,
    timers: BTreeMap<(Nanos, u64), Timer>,
    timer_serial: u64,
    stopping: Option<Nanos>,
    /// Another process takes new connections in place of this one when it stops.
    successor: bool,
    /// Clients are to go elsewhere, since then.
    draining: Option<Nanos>,
    /// How requests ended, by the number of their class.
    ends: Vec<RequestCounts>,
    pending: usize,
    written: u64,
    reloads: u64,
    reload_errors: u64,
    /// What could not be used, by reason; the reasons are a fixed few.
    bad_input: BTreeMap<&'static str, u64>,
}

impl Engine {
    /// A scheduler that knows no workers yet and holds at most `max_open` requests. With `wants_ledger` nothing that
    /// belongs there is taken before [`Input::DurableJobsOpened`].
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
        let effects = settings.classes.iter().map(|c| c.idempotency).collect();
        let (kinds, pushed) = (kinds(&settings, 0), !settings.must_request_endpoints);
        Ok(Engine {
            dispatcher: Dispatcher::new(settings, seed)?,
            tick,
            max_open,
            requests: HashMap::new(),
            by_id: HashMap::new(),
            workers: FxHashMap::default(),
            facts: Facts::default(),
            kinds,
            names,
            effects,
            wants_ledger,
            durable: None,
            joined: HashMap::new(),
            discovery,
            version: 0,
            watching: false,
            pushed,
            membership: None,
            duties: None,
            timers: BTreeMap::new(),
            timer_serial: 0,
            stopping: None,
            successor: false,
            draining: None,
            ends: vec![RequestCounts::default(); classes],
            pending: 0,
            written: 0,
            reloads: 0,
            reload_errors: 0,
            bad_input: BTreeMap::new(),
        })
    }

    /// Whether this process can serve.
    pub fn is_serving(&self) -> bool {
        let durable = !self.wants_ledger || self.durable.as_ref().is_some_and(|d| !d.failed);
        self.stopping.is_none()
            && durable
            && self.workers.values().any(|w| w.host.state == WorkerState::Ready)
    }

    /// Whether new requests should come here.
    pub fn is_ready(&self) -> bool {
        self.is_serving() && self.draining.is_none()
    }

    /// Whether connections are to end with the answers that they wait for.
    pub fn is_closing(&self) -> bool {
        self.stopping.is_some() || self.draining.is_some()
    }

    /// Whether the front has had its time to send clients elsewhere: those with nothing under way may be cut off.
    pub fn is_redirect_grace_over(&self, now: Nanos) -> bool {
        [self.stopping, self.draining].into_iter().flatten().any(|t| now >= t + REDIRECT_GRACE)
    }

    /// What operators are shown, with the classes under their names.
    pub fn stats(&self, now: Nanos, classes: &[String]) -> EngineStats {
        let mut downstream_requests: BTreeMap<String, RequestCounts> = BTreeMap::new();
        for (name, ends) in classes.iter().zip(&self.ends) {
            let sum = downstream_requests.entry(name.clone()).or_default();
            sum.completed += ends.completed;
            sum.rejected += ends.rejected;
            sum.failed += ends.failed;
        }
        let members = || self.workers.values().map(|m| &m.host).filter(|w| w.state != WorkerState::Removed);
        let avoided = |w: &&WorkerEndpoint| {
            w.state == WorkerState::Draining || self.dispatcher.is_avoided(now, &w.name)
        };
        EngineStats {
            downstream_requests,
            upstream_requests: self.written,
            pending: self.pending,
            members: members().count(),
            members_unavailable: members().filter(avoided).count(),
            config_reloads: self.reloads,
            config_reload_errors: self.reload_errors,
            bad_input: self.bad_input.clone(),
            ledger: self.durable.as_ref().map(Durable::figures),
            facts: self.fact_figures(now),
            membership: self.membership.as_ref().map(|m| m.members.stats()),
        }
    }

    /// Whether a request that comes now is still taken. With a successor no new connection comes here, and what those
    /// that were accepted still bring is served.
    fn taking(&self, now: Nanos) -> bool {
        self.successor || self.stopping.is_none_or(|t| now < t + REDIRECT_GRACE)
    }

    /// Whether a stopping scheduler owes nothing any more and the front has had its time.
    pub fn is_finished(&self, now: Nanos) -> bool {
        self.is_finishing(now) && self.requests.is_empty()
    }

    /// Whether it was told to stop and the front has had its time.
    pub fn is_finishing(&self, now: Nanos) -> bool {
        self.stopping.is_some_and(|t| now >= t + REDIRECT_GRACE)
    }

    /// Whether this request is open here, or kept with its end.
    pub fn knows_job(&self, id: &str) -> bool {
        self.by_id.contains_key(id) || self.durable.as_ref().is_some_and(|d| d.has_end(id))
    }

    /// The id that workers know this open request by.
    pub fn job_id(&self, request_id: RequestId) -> Option<Arc<str>> {
        self.requests.get(&request_id).map(|r| r.id.clone())
    }

    /// Whether there is a ledger that can't be written to any more.
    pub fn has_storage_failed(&self) -> bool {
        self.durable.as_ref().is_some_and(|d| d.failed)
    }

    /// How many open requests the ledger holds.
    pub fn open_durable_jobs(&self) -> usize {
        self.requests.values().filter(|r| r.durable.is_some()).count()
    }

    /// When [`Input::Tick`] is next wanted.
    pub fn next_timer(&self, now: Nanos) -> Option<Nanos> {
        let stop = self.stopping.map(|t| t + REDIRECT_GRACE).filter(|t| *t > now && self.requests.is_empty());
        let expiry = self.durable.as_ref().and_then(|d| d.ledger.next_expiration());
        self.timers.first_key_value().map(|((at, _), _)| *at).into_iter().chain(stop).chain(expiry).min()
    }

    /// Takes one input at time `now` and appends what is to be done.
    pub fn step(&mut self, now: Nanos, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::RequestReceived { request_id, job, previous_attempts: tries, durable: false } => {
                self.request(now, request_id, job, tries, out);
            }
            Input::RequestReceived { request_id, job, .. } => self.take_over(now, request_id, job, out),
            Input::ClientDisconnected { request_id } => self.client_left(now, request_id, out),
            Input::DispatchFinished { attempt, result } => self.dispatch_finished(now, attempt, result, out),
            Input::WorkerNotice(notice) => self.worker_notice(now, notice, out),
            Input::AttemptCancelled { attempt } => {
                if let Some(Stage::Cancelling(outcome)) = self.stage(attempt) {
                    self.end(now, attempt, outcome, None, out);
                }
            }
            Input::EndpointList { scope, version, hosts } => {
                self.version = version;
                self.list(now, scope, hosts, out);
                self.hear_agent(now, scope, out);
            }
            Input::ConfigurationReloaded { discovery, settings, names } => {
                self.reloads += 1;
                self.names = names;
                if let Some(SettingsChange { settings, continued_classes: like }) = settings {
                    self.tick = settings.tick;
                    self.pushed = !settings.must_request_endpoints;
                    self.kinds = kinds(&settings, self.effects.len());
                    self.effects.extend(settings.classes.iter().map(|c| c.idempotency));
                    self.ends.resize(self.ends.len() + settings.classes.len(), RequestCounts::default());
                    self.decide(now, Event::SettingsChanged { settings, continues: like }, out);
                }
                self.move_discovery(discovery, out);
            }
            Input::HealthChecked { worker, sent, outcome, report } => {
                let event =
                    Event::ProbeEnded { worker: &worker, outcome, elapsed: now.saturating_sub(sent), report };
                self.decide(now, event, out);
            }
            Input::PeerMessage { from, data } => {
                if !self.peer(now, from, &data, out) {
                    self.decide(now, Event::PeerMessage { from, data: &data }, out);
                }
            }
            Input::JoinMembership { settings, heartbeat_interval } => {
                self.enter(now, *settings, heartbeat_interval, out)
            }
            Input::SingletonRoles { settings, tasks } => self.take_duties(now, settings, tasks, out),
            Input::ReleaseRole { name } => self.release_duty(now, &name, out),
            Input::RoleCallFinished { role: duty, result: how } => self.called(now, duty, how, out),
            Input::LeaveMembership => self.say_stage(spanlead_membership::LifecyclePhase::Left, out),
            Input::Tick => self.run_timers(now, out),
            Input::Shutdown => {
                self.stopping = self.stopping.or(Some(now));
                self.release_duties(now, out);
                self.say(out);
            }
            Input::SetDraining(on) => {
                self.draining = on.then(|| self.draining.unwrap_or(now));
                if on {
                    self.release_duties(now, out);
                }
                self.say(out);
            }
            Input::SetCapacity { max_open_requests: open, successor } => {
                (self.max_open, self.successor) = (open, successor)
            }
            Input::RequestRejected { class } => self.count(class, &Answer::Failed),
            Input::InvalidInput { reason } => *self.bad_input.entry(reason).or_default() += 1,
            Input::StartHandover => self.hand_over(now, out),
            Input::AttemptWritten => self.written += 1,
            Input::ReloadFailed => self.reload_errors += 1,
            Input::DurableJobsOpened(durability) => self.opened(now, *durability, out),
            Input::RecordsDurable { bytes } => self.stored(bytes, out),
            Input::StorageFailed => self.store_failed(out),
            Input::DurableJobsReleased => self.durable = None,
            Input::InventoryUpdated(offered) => self.offered(now, offered, out),
            Input::AnswerDelivered { job } => self.record(Record::Delivered { job }, out),
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
            Action::Reject { id, retry_after } => self.answer(now, id, Answer::Rejected { retry_after }, out),
            Action::Fail { id } => self.answer(now, id, Answer::Failed, out),
            Action::Cancel { id, attempt } => {
                self.abandon(now, AttemptId { request: id, number: attempt }, Outcome::Cancelled, out);
            }
            // A timer never rings in the round that sets it; what is a round in the simulator is a tick here.
            Action::Timer { after, token } => {
                self.set_timer(now + after.max(self.tick), Timer::Module(token))
            }
            Action::Probe { worker } => {
                if let Some(Member { host, .. }) = self.workers.get(&worker.0) {
                    let (worker, addr, until) = (worker.0, host.addr, now + HEALTH_CHECK_TIMEOUT);
                    out.push(Effect::HealthCheck { worker, addr, until });
                }
            }
            Action::CloseIdleConnections { worker } => {
                out.extend(
                    self.workers.get(&worker.0).map(|m| Effect::CloseIdleConnections { addr: m.host.addr }),
                );
            }
            Action::SendToPeer { peer, data } => out.push(Effect::SendPeerMessage { peer, data }),
            Action::Subscribe => {
                self.watch(out);
            }
            Action::FetchEndpoints => out.push(Effect::FetchEndpoints { addr: self.discovery }),
            Action::Log(text) => out.push(Effect::Log(text)),
        }
    }

    // ------------------------------------------------------------ timers

    fn set_timer(&mut self, at: Nanos, timer: Timer) {
        self.timer_serial += 1;
        self.timers.insert((at, self.timer_serial), timer);
    }

    fn run_timers(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            match entry.remove() {
                Timer::Module(token) => self.decide(now, Event::TimerFired(token), out),
                Timer::Untaken(attempt) => {
                    if self.stage(attempt) == Some(Stage::Dispatched) {
                        self.abandon(now, attempt, Outcome::Timeout, out);
                    }
                }
                Timer::AttemptEnds(attempt) => self.abandon(now, attempt, Outcome::Timeout, out),
                Timer::Overdue(request_id) => {
                    if self.requests.get(&request_id).is_some_and(|r| !r.answered) {
                        self.answer(now, request_id, Answer::Failed, out);
                        self.decide(now, Event::ClientGone(request_id), out);
                        self.abandon_all(now, request_id, out);
                    }
                }
                Timer::JoinedOverdue(request_id) => self.joined_overdue(request_id, out),
                Timer::LeaseEnds(attempt) => self.lease_ends(now, attempt, out),
                Timer::Slice => self.next_slice(now, out),
                Timer::Unbar(worker) => self.unbar(now, worker, out),
                Timer::Watch => self.watch(out),
                Timer::Beat => self.beat(now, out),
                Timer::Duties => self.tend_duties(now, out),
                Timer::Duty(at) => self.do_duty(now, at, out),
            }
        }
        self.expire(now, out);
    }
}

/// The classes that need a kind of machine, numbered from `first`, and which.
fn kinds(settings: &Settings, first: usize) -> Vec<(u32, u32)> {
    let classes = settings.classes.iter().enumerate();
    classes.filter_map(|(i, c)| Some(((first + i) as u32, c.machine_kind?))).collect()
}
