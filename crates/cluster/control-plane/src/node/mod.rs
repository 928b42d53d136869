//! The node: the replica of one machine and, while it is primary, the scheduler and the
//! configuration, and what passes between them and the outside.
mod client_requests;
mod data_planes;
mod operator_requests;
mod pending_replies;
mod primary;
mod shutdown;
mod worker_list_polling;

use crate::input::Input;
use crate::input_queue::InputSender;
use crate::store_writer::StoreWriter;
use crate::unreadable_records::{log_unreadable, unreadable_keys};
use crate::worker_client::WorkerClient;
use crate::write_latency::WriteLatency;
use async_std::channel::Sender;
use data_planes::DataPlanes;
use primary::{PrimaryServices, UnreadableKeys};
use shutdown::Shutdown;
use spanlead_cluster_runtime::clock::Clock;
use spanlead_cluster_runtime::frame::Frame;
use spanlead_cluster_runtime::peer_links::PeerLinks;
use spanlead_cluster_runtime::settings::Settings;
use spanlead_job_scheduler::{RecordChange, Scheduler, SchedulerConfig, WorkerCall, WorkerResponse};
use spanlead_replication::{
    self as replication, Change, Member, Output, RecoveredState, Replica, ReplicaConfig, ReplicaEvent, Term,
    View,
};
use std::sync::Arc;

/// How long a lease is valid, milliseconds.
const LEASE_MS: u64 = 500;
/// How often a lease is renewed, milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 100;

/// What a node uses to act on the outside.
#[derive(Debug)]
pub struct NodeServices {
    /// The clocks.
    pub clock: Clock,
    /// Links to other members.
    pub links: PeerLinks,
    /// Writes records to disk.
    pub store_writer: StoreWriter,
    /// Calls workers.
    pub worker_client: WorkerClient,
    /// Where responses and lists come back as inputs.
    pub inputs: InputSender,
}

/// One machine of the control plane.
#[derive(Debug)]
pub struct Node {
    clock: Clock,
    links: PeerLinks,
    store_writer: StoreWriter,
    worker_client: WorkerClient,
    inputs: InputSender,
    scheduler_config: SchedulerConfig,
    worker_list_address: Option<Arc<str>>,
    replica: Replica,
    /// Present exactly from the replica's activation to its deactivation.
    primary: Option<PrimaryServices>,
    data_planes: DataPlanes,
    own_disk: WriteLatency,
    shutdown: Shutdown,
}

impl Node {
    /// Starts a node with what its data folder holds.
    #[must_use]
    pub fn start(settings: &Settings, recovered: RecoveredState, services: NodeServices) -> Self {
        let NodeServices { clock, links, store_writer, worker_client, inputs } = services;
        let config = ReplicaConfig {
            node_name: settings.node.clone(),
            peer_address: settings.peer_address(),
            operator_address: settings.listen.operators.clone().unwrap_or_default(),
            seeds: settings.seed_peer_addresses(),
            bootstrap: settings.bootstrap.unwrap_or(false),
            max_failures: settings.tolerated_losses(),
            lease_ms: LEASE_MS,
            heartbeat_ms: HEARTBEAT_INTERVAL_MS,
            random: clock.random_seed(&settings.node),
        };
        let unreadable = unreadable_keys(&recovered.keyspace);
        let mut replica = Replica::start(config, recovered, clock.monotonic_ms());
        if !unreadable.is_empty() {
            log_unreadable(&unreadable);
            replica.mark_ineligible(clock.monotonic_ms());
        }
        log::info!("node started member={:?} position={:?}", replica.local_member().id, replica.position());
        Node {
            clock,
            links,
            store_writer,
            worker_client,
            inputs,
            scheduler_config: settings.scheduler_config(),
            worker_list_address: settings.cloud_api.as_ref().map(|cloud| cloud.address.as_str().into()),
            replica,
            primary: None,
            data_planes: DataPlanes::default(),
            own_disk: WriteLatency::default(),
            shutdown: Shutdown::new(settings.grace_ms()),
        }
    }

    /// Whether the process may end.
    #[must_use]
    pub fn is_shut_down(&self) -> bool {
        self.shutdown.is_complete(self.clock.monotonic_ms())
    }

    /// Handles an input. What follows from it is written and sent by [`Node::flush`].
    pub fn handle(&mut self, input: Input) {
        match input {
            Input::Frame(frame, replies) => self.handle_frame(frame, replies),
            Input::Written(token) => {
                self.own_disk.record_written(token, self.clock.monotonic_ms());
                self.feed_replica(replication::Input::Written(token));
            }
            Input::PeerDisconnected(address) => {
                self.feed_replica(replication::Input::PeerDisconnected(address));
            }
            Input::WorkerResponse(call, response) => self.handle_worker_response(&call, response),
            Input::WorkerList(list) => self.handle_worker_list(list),
            Input::ReplaceConfiguration(request, replies) => self.replace_configuration(&request, replies),
            Input::ReadConfiguration(replies) => self.read_configuration(replies),
            Input::QueryStatus(query, replies) => self.query_status(&query, &replies),
            Input::Terminate => {
                log::info!("shutdown requested");
                self.shutdown.request(self.clock.monotonic_ms());
            }
        }
    }

    /// Does what is due, `late_ms` later than it should.
    pub fn tick(&mut self, late_ms: u64) {
        self.feed_replica(replication::Input::Tick);
        let now = self.clock.now();
        if let Some(primary) = &mut self.primary {
            primary.scheduler.record_tick_lateness(late_ms);
            primary.scheduler.tick(now);
        }
        self.poll_worker_list(now.monotonic_ms);
        if self.shutdown.should_leave(now.monotonic_ms, self.primary.is_some()) {
            self.replica.request_leave(now.monotonic_ms);
            self.apply_replica_outputs();
        }
        self.announce();
    }

    /// Writes what was decided, and sends what waits for nothing any more.
    pub fn flush(&mut self) {
        let now = self.clock.now();
        if let Some(primary) = &mut self.primary {
            primary.scheduler.place_ready_tasks(now);
        }
        self.propose_scheduler_changes();
        self.send_replies();
        self.call_workers();
        // A call that is not sent may bring new records.
        self.propose_scheduler_changes();
        self.call_workers();
    }

    fn handle_frame(&mut self, frame: Frame, replies: Option<Sender<Frame>>) {
        match (frame, replies) {
            (Frame::Replication(envelope), _) => self.feed_replica(replication::Input::Message(envelope)),
            (Frame::Hello { node, peer, version }, Some(replies)) => {
                log::debug!("data plane connected node={node} peer={peer}");
                self.subscribe(peer, version, replies);
            }
            (Frame::ClientRequest(request), Some(replies)) => self.handle_client_request(request, replies),
            _ => {}
        }
    }

    fn handle_worker_response(&mut self, call: &WorkerCall, response: WorkerResponse) {
        // Responses to calls of an earlier term are of no use to this term's scheduler.
        let primary = self.primary.as_mut().filter(|primary| primary.term.0 == call.fencing_token);
        if let Some(primary) = primary {
            let now = self.clock.now();
            primary.scheduler.handle_response(now, &call.worker_id, &call.request, response);
        }
    }

    fn feed_replica(&mut self, input: replication::Input) {
        self.replica.handle(self.clock.monotonic_ms(), input);
        self.apply_replica_outputs();
    }

    fn apply_replica_outputs(&mut self) {
        for output in self.replica.take_outputs() {
            match output {
                Output::Send { to, envelope } => {
                    let class = envelope.message.traffic_class();
                    self.links.send(&to, class, &Frame::Replication(envelope));
                }
                Output::Write { token, record } => {
                    self.own_disk.record_request(token, self.clock.monotonic_ms());
                    self.store_writer.write(token, record);
                }
                Output::Event(event) => self.handle_replica_event(event),
            }
        }
    }

    fn handle_replica_event(&mut self, event: ReplicaEvent) {
        match event {
            ReplicaEvent::Activated { term } => self.activate(term),
            ReplicaEvent::Deactivated => self.deactivate(),
            ReplicaEvent::Committed { sequence } => self.handle_commit(sequence),
            ReplicaEvent::ViewChanged(view) => {
                log::info!("view changed epoch={} members={}", view.epoch, member_names(&view));
            }
            ReplicaEvent::LeaveAllowed => self.shutdown.set_replaced(),
        }
    }

    fn activate(&mut self, term: Term) {
        let now = self.clock.now();
        let seed = self.clock.random_seed("scheduler");
        let scheduler = Scheduler::new(self.scheduler_config, term.0, seed, now);
        let keyspace = self.replica.keyspace();
        match PrimaryServices::recover(term, scheduler, now, keyspace, self.replica.position()) {
            Ok(primary) => {
                log::info!("primary activated term={term} keys={}", keyspace.len());
                self.primary = Some(primary);
                self.data_planes.renew_gossip_peers();
                self.announce();
            }
            Err(UnreadableKeys(keys)) => {
                log_unreadable(&keys);
                self.replica.mark_ineligible(now.monotonic_ms);
            }
        }
    }

    fn deactivate(&mut self) {
        let Some(primary) = self.primary.take() else { return };
        log::info!("primary deactivated term={}", primary.term);
        primary.replies.abandon();
        self.worker_client.close_idle();
        self.announce();
    }

    fn handle_commit(&mut self, sequence: u64) {
        let now = self.clock.now();
        let Some(primary) = &mut self.primary else { return };
        primary.commits.record_commit(sequence, now.monotonic_ms);
        primary.scheduler.handle_committed(now, sequence);
        primary.replies.commit(sequence);
    }

    fn propose_scheduler_changes(&mut self) {
        let Some(primary) = &mut self.primary else { return };
        let changes = primary.scheduler.take_changes();
        if !changes.is_empty() {
            let change = |record: RecordChange| Change { key: record.key, value: record.value };
            self.propose(changes.into_iter().map(change).collect());
        }
        if let Some(primary) = &mut self.primary {
            primary.scheduler.assign_batch(primary.proposed_sequence);
        }
        self.apply_replica_outputs();
    }

    fn propose(&mut self, changes: Vec<Change>) {
        let now_ms = self.clock.monotonic_ms();
        let bytes = changes.iter().map(Change::size_bytes).sum();
        let sequence = self.replica.propose(now_ms, changes);
        if let (Some(sequence), Some(primary)) = (sequence, &mut self.primary) {
            primary.proposed_sequence = sequence;
            primary.commits.record_proposal(sequence, now_ms, bytes);
        }
    }

    fn send_replies(&mut self) {
        let committed = self.replica.committed_sequence();
        if let Some(primary) = &mut self.primary {
            primary.replies.assign(primary.proposed_sequence, committed);
        }
    }

    fn call_workers(&mut self) {
        let committed = self.replica.committed_sequence();
        let is_active = self.replica.active_term(self.clock.monotonic_ms()).is_some();
        let Some(primary) = &mut self.primary else { return };
        // Also calls of a pass that changed nothing which must be written.
        primary.scheduler.handle_committed(self.clock.now(), committed);
        for call in primary.scheduler.take_calls() {
            let inputs = self.inputs.clone();
            let on_done = move |call, response| inputs.send(Input::WorkerResponse(call, response));
            if is_active {
                self.worker_client.spawn(call, on_done);
            } else {
                // Not sent without a valid lease. Should the lease be renewed, the scheduler takes
                // it for unanswered.
                on_done(call, WorkerResponse::NoResponse);
            }
        }
    }
}

/// The members of a view for the log, the primary with a `*`.
fn member_names(view: &View) -> String {
    let name = |member: &Member| {
        let primary = if member.id == view.primary { "*" } else { "" };
        let lag = if view.in_sync.contains(&member.id) { "" } else { " (behind)" };
        format!("{}{primary}{lag}", member.node_name)
    };
    view.members.iter().map(name).collect::<Vec<_>>().join(", ")
}
