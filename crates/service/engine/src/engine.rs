//! The engine's state and the dispatch of inputs.
use crate::classes::ClassTable;
use crate::discovery::DiscoveryState;
use crate::durable::DurableJobs;
use crate::lifecycle::Lifecycle;
use crate::membership::Membership;
use crate::request_table::RequestTable;
use crate::roles::SingletonRoles;
use crate::timers::{Timer, TimerQueue};
use crate::workers::WorkerTable;
use crate::{Answer, AttemptId, Effect, EngineStats, Input, MS, RequestCounts, SettingsChange};
use spanlead_balancing_policy::{
    Action, Dispatcher, Event, Nanos, Outcome, RequestId, Settings, SettingsError, WorkerId, WorkerState,
};
use spanlead_deployment_settings::Names;
use spanlead_durable_jobs::Record;
use spanlead_membership::LifecyclePhase;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Timeout of a health check.
const HEALTH_CHECK_TIMEOUT: Nanos = 500 * MS;

/// Counters other than those of requests. They start from 0 when the process starts.
#[derive(Default)]
struct Counters {
    /// Attempts whose request was written completely to a worker.
    written_attempts: u64,
    reloads: u64,
    failed_reloads: u64,
    /// Number of invalid inputs, by reason; there is a small fixed set of reasons.
    invalid_input: BTreeMap<&'static str, u64>,
}

impl Counters {
    fn count_invalid_input(&mut self, reason: &'static str) {
        *self.invalid_input.entry(reason).or_default() += 1;
    }
}

/// The whole state of a scheduler. Each field keeps its own invariants. Operations that involve
/// several fields are methods of the engine, defined in the module of their subject.
pub struct Engine {
    policy: Dispatcher,
    pub(crate) classes: ClassTable,
    pub(crate) requests: RequestTable,
    pub(crate) workers: WorkerTable,
    pub(crate) discovery: DiscoveryState,
    /// Whether this scheduler keeps durable jobs; it accepts none before their log is open.
    pub(crate) keeps_durable_jobs: bool,
    /// The durable jobs, while this process has their log open.
    pub(crate) durable: Option<DurableJobs>,
    /// The membership of schedulers, if it is enabled.
    pub(crate) membership: Option<Membership>,
    /// The singleton roles, if any are configured.
    pub(crate) roles: Option<SingletonRoles>,
    pub(crate) timers: TimerQueue,
    pub(crate) lifecycle: Lifecycle,
    counters: Counters,
}

impl Engine {
    /// Creates an engine that knows no workers yet and holds at most `max_open_requests` open
    /// requests. `seed` seeds the balancing policy and `discovery` is the address of discovery.
    /// With `keeps_durable_jobs`, no durable job is accepted before [`Input::DurableJobsOpened`].
    ///
    /// # Errors
    /// If the balancing policy rejects the settings.
    pub fn new(
        settings: Settings,
        names: Arc<Names>,
        seed: u64,
        max_open_requests: usize,
        discovery: SocketAddr,
        keeps_durable_jobs: bool,
    ) -> Result<Self, SettingsError> {
        let classes = ClassTable::new(&settings, names);
        let discovery = DiscoveryState {
            addr: discovery,
            version: 0,
            is_watched: false,
            is_pushed: !settings.must_request_endpoints,
        };
        Ok(Engine {
            requests: RequestTable::new(max_open_requests, classes.len()),
            classes,
            policy: Dispatcher::new(settings, seed)?,
            workers: WorkerTable::default(),
            discovery,
            keeps_durable_jobs,
            durable: None,
            membership: None,
            roles: None,
            timers: TimerQueue::default(),
            lifecycle: Lifecycle::default(),
            counters: Counters::default(),
        })
    }

    /// Whether this job is open in this process, or is a durable job that has finished and is
    /// retained.
    pub fn knows_job(&self, job_id: &str) -> bool {
        let is_retained = || self.durable.as_ref().is_some_and(|jobs| jobs.has_finished_job(job_id));
        self.requests.id_of_job(job_id).is_some() || is_retained()
    }

    /// The job id under which workers know this open request.
    pub fn job_id(&self, request_id: RequestId) -> Option<Arc<str>> {
        self.requests.get(request_id).map(|request| request.job_id.clone())
    }

    /// Whether the log of durable jobs is no longer writable.
    pub fn has_storage_failed(&self) -> bool {
        self.durable.as_ref().is_some_and(|jobs| jobs.failed)
    }

    /// The number of open requests whose jobs are durable.
    pub fn open_durable_job_count(&self) -> usize {
        self.requests.iter().filter(|(_, request)| request.durable.is_some()).count()
    }

    /// The time at which [`Input::Tick`] is next due; `None` if nothing is pending.
    pub fn next_timer(&self, now: Nanos) -> Option<Nanos> {
        let timer = self.timers.next_due();
        let shutdown = self.lifecycle.redirect_deadline(now).filter(|_| self.requests.is_empty());
        let expiry = self.durable.as_ref().and_then(|jobs| jobs.job_table.next_expiration());
        [timer, shutdown, expiry].into_iter().flatten().min()
    }

    /// The statistics shown to operators. `classes` are the names of all classes, by number.
    pub fn stats(&self, now: Nanos, classes: &[String]) -> EngineStats {
        let mut downstream_requests: BTreeMap<String, RequestCounts> = BTreeMap::new();
        for (name, counts) in classes.iter().zip(self.requests.counts()) {
            downstream_requests.entry(name.clone()).or_default().add(*counts);
        }
        let listed = || self.workers.iter().filter(|worker| worker.host.state != WorkerState::Removed);
        let unavailable = listed().filter(|worker| {
            let host = &worker.host;
            host.state == WorkerState::Draining || self.policy.is_avoided(now, &host.name)
        });
        EngineStats {
            downstream_requests,
            upstream_requests: self.counters.written_attempts,
            pending: self.requests.pending(),
            members: listed().count(),
            members_unavailable: unavailable.count(),
            config_reloads: self.counters.reloads,
            config_reload_errors: self.counters.failed_reloads,
            invalid_input: self.counters.invalid_input.clone(),
            durable_jobs: self.durable.as_ref().map(DurableJobs::stats),
            inventory: self.inventory_stats(now),
            membership: self.membership.as_ref().map(|membership| membership.members.stats()),
        }
    }

    /// Processes one input at time `now` and appends the resulting effects to `out`.
    pub fn step(&mut self, now: Nanos, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::RequestReceived { request_id, job, previous_attempts, durable: false } => {
                self.receive_request(now, request_id, job, previous_attempts, out);
            }
            Input::RequestReceived { request_id, job, .. } => {
                self.adopt_durable_request(now, request_id, job, out);
            }
            Input::ClientDisconnected { request_id } => self.client_disconnected(now, request_id, out),
            Input::DispatchFinished { attempt, result } => {
                self.dispatch_finished(now, attempt, result, out);
            }
            Input::WorkerNotice(notice) => self.worker_notice(now, notice, out),
            Input::AttemptCancelled { attempt } => self.attempt_cancelled(now, attempt, out),
            Input::StartHandover => self.hand_over_requests(now, out),
            Input::Tick => self.run_timers(now, out),
            Input::EndpointList { scope, version, hosts } => {
                self.discovery.version = version;
                self.endpoint_list_updated(now, scope, hosts, out);
                self.keep_watching_agent(now, scope, out);
            }
            Input::HealthChecked { worker, sent, outcome, report } => {
                let elapsed = now.saturating_sub(sent);
                self.run_policy(now, Event::ProbeEnded { worker: &worker, outcome, elapsed, report }, out);
            }
            Input::InventoryUpdated(update) => self.inventory_updated(now, update, out),
            Input::ConfigurationReloaded { discovery, settings, names } => {
                self.configuration_reloaded(now, settings, names, out);
                self.move_discovery(discovery, out);
            }
            Input::ReloadFailed => self.counters.failed_reloads += 1,
            Input::DurableJobsOpened(setup) => self.durable_jobs_opened(now, *setup, out),
            Input::RecordsDurable { bytes } => self.records_durable(bytes, out),
            Input::StorageFailed => self.storage_failed(out),
            Input::DurableJobsReleased => self.durable = None,
            Input::AnswerDelivered { job } => self.record(Record::Delivered { job }, out),
            Input::PeerMessage { from, data } => self.peer_message(now, from, &data, out),
            Input::JoinMembership { settings, heartbeat_interval } => {
                self.join_membership(now, *settings, heartbeat_interval, out);
            }
            Input::LeaveMembership => self.announce(LifecyclePhase::Left, out),
            Input::ConfigureRoles { settings, tasks } => self.configure_roles(now, settings, tasks, out),
            Input::ReleaseRole { name } => self.release_role(now, &name, out),
            Input::RoleCallFinished { role, result } => self.role_call_finished(now, role, result, out),
            Input::Shutdown => self.shut_down(now, out),
            Input::SetDraining(draining) => self.set_draining(now, draining, out),
            Input::SetCapacity { max_open_requests, has_successor } => {
                self.requests.max_open = max_open_requests;
                self.lifecycle.has_successor = has_successor;
            }
            Input::RequestRejected { class } => self.requests.count(class, &Answer::Failed),
            Input::InvalidInput { reason } => self.counters.count_invalid_input(reason),
            Input::AttemptWritten => self.counters.written_attempts += 1,
        }
    }

    fn configuration_reloaded(
        &mut self,
        now: Nanos,
        settings: Option<SettingsChange>,
        names: Arc<Names>,
        out: &mut Vec<Effect>,
    ) {
        self.counters.reloads += 1;
        self.classes.names = names;
        if let Some(settings) = settings {
            self.change_settings(now, settings, out);
        }
    }

    /// Passes a datagram to the membership if that is enabled, else to the balancing policy.
    fn peer_message(&mut self, now: Nanos, from: u32, data: &[u8], out: &mut Vec<Effect>) {
        if self.membership.is_some() {
            self.membership_message(now, from, data, out);
        } else {
            self.run_policy(now, Event::PeerMessage { from, data }, out);
        }
    }

    fn change_settings(&mut self, now: Nanos, change: SettingsChange, out: &mut Vec<Effect>) {
        let SettingsChange { settings, continued_classes } = change;
        self.discovery.is_pushed = !settings.must_request_endpoints;
        self.classes.extend(&settings);
        self.requests.add_classes(settings.classes.len());
        self.run_policy(now, Event::SettingsChanged { settings, predecessors: continued_classes }, out);
    }

    /// Passes an event to the balancing policy and performs the resulting actions.
    pub(crate) fn run_policy(&mut self, now: Nanos, event: Event<'_>, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        self.policy.handle(now, event, &mut actions);
        for action in actions {
            self.perform_action(now, action, out);
        }
    }

    fn perform_action(&mut self, now: Nanos, action: Action, out: &mut Vec<Effect>) {
        match action {
            Action::Send { id, worker, timeout } => self.send_attempt(now, id, &worker, timeout, out),
            Action::Reject { id, retry_after } => {
                self.answer(now, id, Answer::Rejected { retry_after }, out);
            }
            Action::Fail { id } => self.answer(now, id, Answer::Failed, out),
            Action::Cancel { id, attempt } => {
                let attempt = AttemptId { request: id, number: attempt };
                self.cancel_attempt(now, attempt, Outcome::Cancelled, out);
            }
            // A timer never fires in the step that sets it: the delay is at least one tick, which
            // corresponds to one round of the simulator.
            Action::Timer { after, token } => {
                self.timers.set(now + after.max(self.classes.tick), Timer::Policy(token));
            }
            Action::Probe { worker } => self.check_health(now, worker, out),
            Action::CloseIdleConnections { worker } => {
                if let Some(worker) = self.workers.get(&worker.0) {
                    out.push(Effect::CloseIdleConnections { addr: worker.host.addr });
                }
            }
            Action::SendToPeer { peer, data } => out.push(Effect::SendPeerMessage { peer, data }),
            Action::Subscribe => self.watch_endpoints(out),
            Action::FetchEndpoints => out.push(Effect::FetchEndpoints { addr: self.discovery.addr }),
            Action::Log(text) => out.push(Effect::Log(text)),
        }
    }

    fn check_health(&self, now: Nanos, worker: WorkerId, out: &mut Vec<Effect>) {
        if let Some(known) = self.workers.get(&worker.0) {
            let addr = known.host.addr;
            out.push(Effect::HealthCheck { worker: worker.0, addr, until: now + HEALTH_CHECK_TIMEOUT });
        }
    }
}
