//! The node: the replica of one machine and, while it is primary, the scheduler and the
//! configuration. It connects them with peers, data planes, operators, workers and the disk.
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
use crate::unreadable_records::{log_unreadable_keys, unreadable_keys};
use crate::worker_client::WorkerClient;
use crate::write_latency::WriteLatency;
use async_std::channel::Sender;
use data_planes::DataPlanes;
use primary::{PrimaryState, UnreadableKeys};
use shutdown::Shutdown;
use spanlead_cluster_runtime::clock::Clock;
use spanlead_cluster_runtime::frame::Frame;
use spanlead_cluster_runtime::freshness::TokenIssuer;
use spanlead_cluster_runtime::peer_links::PeerLinks;
use spanlead_cluster_runtime::settings::Settings;
use spanlead_job_scheduler::{RecordChange, Scheduler, SchedulerConfig, WorkerCall, WorkerResponse};
use spanlead_replication::{
    self as replication, Change, Member, Output, RecoveredState, Replica, ReplicaConfig, ReplicaEvent, Term,
    View,
};
use std::sync::Arc;

/// The duration of the primary's lease, milliseconds.
const LEASE_MS: u64 = 500;
/// The interval between heartbeats, which renew the primary's lease, milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 100;

/// The services that a node uses.
#[derive(Debug)]
pub struct NodeServices {
    /// The clocks of this process.
    pub clock: Clock,
    /// The links to other members of the control plane.
    pub peer_links: PeerLinks,
    /// The writer of records to disk.
    pub store_writer: StoreWriter,
    /// The client for calls to workers.
    pub worker_client: WorkerClient,
    /// The queue that receives worker responses and worker lists as inputs of the node.
    pub inputs: InputSender,
}

/// One node of the control plane.
#[derive(Debug)]
pub struct Node {
    clock: Clock,
    peer_links: PeerLinks,
    store_writer: StoreWriter,
    worker_client: WorkerClient,
    inputs: InputSender,
    scheduler_config: SchedulerConfig,
    worker_list_address: Option<Arc<str>>,
    replica: Replica,
    /// Present from the activation of the replica as primary to its deactivation.
    primary: Option<PrimaryState>,
    data_planes: DataPlanes,
    token_issuer: TokenIssuer,
    /// The number of requests that were not carried out because they had waited for too long.
    stale_requests: u64,
    write_latency: WriteLatency,
    shutdown: Shutdown,
}

impl Node {
    /// Starts a node with the state recovered from its data folder.
    #[must_use]
    pub fn start(settings: &Settings, recovered: RecoveredState, services: NodeServices) -> Self {
        let NodeServices { clock, peer_links, store_writer, worker_client, inputs } = services;
        let config = ReplicaConfig {
            node_name: settings.node.clone(),
            peer_address: settings.peer_address(),
            operator_address: settings.listen.operators.clone().unwrap_or_default(),
            seeds: settings.seed_peer_addresses(),
            bootstrap: settings.bootstrap.unwrap_or(false),
            max_failures: settings.tolerated_failures(),
            lease_ms: LEASE_MS,
            heartbeat_ms: HEARTBEAT_INTERVAL_MS,
            random: clock.random_seed(&settings.node),
        };
        let unreadable = unreadable_keys(&recovered.keyspace);
        let mut replica = Replica::start(config, recovered, clock.monotonic_ms());
        if !unreadable.is_empty() {
            log_unreadable_keys(&unreadable);
            replica.mark_ineligible(clock.monotonic_ms());
        }
        log::info!("node started member={:?} position={:?}", replica.local_member().id, replica.position());
        Node {
            clock,
            peer_links,
            store_writer,
            worker_client,
            inputs,
            scheduler_config: settings.scheduler_config(),
            worker_list_address: settings.cloud_api.as_ref().map(|cloud| cloud.address.as_str().into()),
            replica,
            primary: None,
            data_planes: DataPlanes::default(),
            token_issuer: TokenIssuer::new(clock.random_seed("token issuer")),
            stale_requests: 0,
            write_latency: WriteLatency::default(),
            shutdown: Shutdown::new(settings.shutdown_grace_ms()),
        }
    }

    /// Returns whether the shutdown is complete and the process may end.
    #[must_use]
    pub fn is_shut_down(&self) -> bool {
        self.shutdown.is_complete(self.clock.monotonic_ms())
    }

    /// Handles an input. [`Node::flush`] then proposes the resulting changes and sends the
    /// resulting replies and calls to workers.
    pub fn handle(&mut self, input: Input) {
        match input {
            Input::Frame(frame, replies) => self.handle_frame(frame, replies),
            Input::Written(token) => {
                self.write_latency.record_written(token, self.clock.monotonic_ms());
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

    /// Performs the periodic work. `late_ms` is the delay of this tick, milliseconds.
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
        self.update_data_planes();
    }

    /// Places pending tasks, proposes the scheduler's changes, and sends the replies and calls to
    /// workers that depend on no uncommitted change.
    pub fn flush(&mut self) {
        let now = self.clock.now();
        if let Some(primary) = &mut self.primary {
            primary.scheduler.place_ready_tasks(now);
        }
        self.propose_scheduler_changes();
        self.send_replies();
        self.call_workers();
        // While handling commits, the scheduler may drop a start instead of sending it. Ending that
        // run changes records again.
        self.propose_scheduler_changes();
        self.call_workers();
    }

    fn handle_frame(&mut self, frame: Frame, replies: Option<Sender<Frame>>) {
        match (frame, replies) {
            (Frame::Replication(envelope), _) => self.feed_replica(replication::Input::Message(envelope)),
            (Frame::Hello { node, peer, version }, Some(replies)) => {
                log::debug!("data plane connected node={node} peer={peer}");
                self.subscribe_data_plane(peer, version, replies);
            }
            (Frame::FreshClientRequest { token, request }, Some(replies)) => {
                self.handle_fresh_client_request(token, request, replies);
            }
            // Of a data plane of the previous version.
            (Frame::ClientRequest(request), Some(replies)) => self.handle_client_request(request, replies),
            _ => {}
        }
    }

    fn handle_worker_response(&mut self, call: &WorkerCall, response: WorkerResponse) {
        // Responses to calls of an earlier term are dropped: this term's scheduler did not make
        // them.
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
                    self.peer_links.send(&to, class, &Frame::Replication(envelope));
                }
                Output::Write { token, record } => {
                    self.write_latency.record_request(token, self.clock.monotonic_ms());
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
            ReplicaEvent::LeaveAllowed => self.shutdown.allow_leave(),
        }
    }

    fn activate(&mut self, term: Term) {
        let now = self.clock.now();
        let seed = self.clock.random_seed("scheduler");
        let scheduler = Scheduler::new(self.scheduler_config, term.0, seed, now);
        let keyspace = self.replica.keyspace();
        match PrimaryState::recover(term, scheduler, now, keyspace, self.replica.position()) {
            Ok(primary) => {
                log::info!("primary activated term={term} keys={}", keyspace.len());
                self.primary = Some(primary);
                self.data_planes.mark_gossip_peers_outdated();
                self.data_planes.mark_tokens_outdated();
                self.update_data_planes();
            }
            Err(UnreadableKeys(keys)) => {
                log_unreadable_keys(&keys);
                self.replica.mark_ineligible(now.monotonic_ms);
            }
        }
    }

    fn deactivate(&mut self) {
        let Some(primary) = self.primary.take() else { return };
        log::info!("primary deactivated term={}", primary.term);
        primary.replies.abandon();
        self.worker_client.close_idle();
        self.update_data_planes();
    }

    fn handle_commit(&mut self, sequence: u64) {
        let now = self.clock.now();
        let Some(primary) = &mut self.primary else { return };
        primary.commit_latency.record_commit(sequence, now.monotonic_ms);
        primary.scheduler.handle_committed(now, sequence);
        primary.replies.handle_commit(sequence);
    }

    /// Proposes the changes of the scheduler as a batch, and tells the scheduler the batch that its
    /// deferred actions depend on.
    fn propose_scheduler_changes(&mut self) {
        let Some(primary) = &mut self.primary else { return };
        let changes = primary.scheduler.take_changes();
        if !changes.is_empty() {
            let to_change = |record: RecordChange| Change { key: record.key, value: record.value };
            self.propose(changes.into_iter().map(to_change).collect());
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
            primary.commit_latency.record_proposal(sequence, now_ms, bytes);
        }
    }

    /// Sends the replies that depend on no uncommitted batch, and holds back the others.
    fn send_replies(&mut self) {
        let committed = self.replica.committed_sequence();
        if let Some(primary) = &mut self.primary {
            primary.replies.assign_batch(primary.proposed_sequence, committed);
        }
    }

    /// Makes the calls that the scheduler has queued.
    fn call_workers(&mut self) {
        let committed = self.replica.committed_sequence();
        let is_active = self.replica.active_term(self.clock.monotonic_ms()).is_some();
        let Some(primary) = &mut self.primary else { return };
        // Also releases the actions of a flush that changed no record: the replica reports no
        // commit for them.
        primary.scheduler.handle_committed(self.clock.now(), committed);
        for call in primary.scheduler.take_calls() {
            let inputs = self.inputs.clone();
            let on_done = move |call, response| inputs.send(Input::WorkerResponse(call, response));
            if is_active {
                self.worker_client.spawn(call, on_done);
            } else {
                // Without a valid lease the call is not sent. If the lease is renewed, the
                // scheduler treats the call as unanswered.
                on_done(call, WorkerResponse::NoResponse);
            }
        }
    }
}

/// Returns the names of a view's members for the log. The primary is marked with `*`.
fn member_names(view: &View) -> String {
    let name = |member: &Member| {
        let primary_mark = if member.id == view.primary { "*" } else { "" };
        let sync_mark = if view.in_sync.contains(&member.id) { "" } else { " (not in sync)" };
        format!("{}{primary_mark}{sync_mark}", member.node_name)
    };
    view.members.iter().map(name).collect::<Vec<_>>().join(", ")
}
