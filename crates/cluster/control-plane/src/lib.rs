//! The control plane: a replica of the control state that, while it is primary, schedules the jobs,
//! manages the configuration and calls the workers.
//!
//! One task owns the [`node::Node`] and passes it one [`input::Input`] at a time from
//! [`mod@input_queue`]. These components run concurrently with it and send it inputs:
//!
//! - [`store`] and [`store_writer`]: the data folder, written by a dedicated thread.
//! - [`worker_client`], which uses [`connection_pool`]: calls to workers.
//! - [`worker_list`]: reads the platform's list of workers.
//! - [`operator_api`]: the operators' HTTP interface; [`status`] and [`metrics_text`] render the
//!   responses.
//!
//! The control state consists of the [`configuration_state`] and the jobs of
//! `spanlead-job-scheduler`. [`unreadable_records`] finds the records that make a node ineligible
//! as primary.
#![warn(missing_docs, unreachable_pub)]
#![warn(clippy::wildcard_imports, clippy::match_bool, clippy::too_many_lines)]
pub mod commit_latency;
pub mod configuration_state;
pub mod connection_pool;
pub mod input;
pub mod input_queue;
mod job_text;
pub mod metrics_text;
pub mod node;
pub mod operator_api;
pub mod status;
pub mod store;
pub mod store_writer;
pub mod unreadable_records;
pub mod worker_client;
pub mod worker_list;
pub mod write_latency;

use async_std::channel::{Receiver, Sender, unbounded};
use async_std::task;
use input::Input;
use input_queue::{InputReceiver, InputSender, input_queue};
use node::{Node, NodeServices};
use quick_error::quick_error;
use spanlead_cluster_runtime::clock::Clock;
use spanlead_cluster_runtime::frame::Frame;
use spanlead_cluster_runtime::peer_links::{LinkEvent, PeerLinks};
use spanlead_cluster_runtime::settings::Settings;
use spanlead_cluster_runtime::timeout::timeout;
use spanlead_cluster_runtime::{metrics, peer_server, program, signals};
use std::sync::Arc;
use std::time::Duration;
use store::{Store, StoreError};
use store_writer::StoreWriter;
use worker_client::WorkerClient;

quick_error! {
    /// An error that prevents a control plane from starting.
    #[derive(Debug)]
    pub enum ControlPlaneError {
        /// A required setting, with this key, is missing.
        MissingSetting(key: &'static str) {
            display("settings: {}: missing", key)
        }
        /// The data folder can't be used.
        Store(error: StoreError) {
            from()
            display("data folder: {}", error)
        }
    }
}

/// The interval between two ticks of the node, also the longest wait for an input.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// The time after which queued inputs are left for later and the node is flushed, milliseconds.
const MAX_HANDLING_MS_PER_FLUSH: u64 = 20;
/// The number of inputs handled between two readings of the clock.
const INPUTS_PER_CLOCK_READING: usize = 8;
/// The maximum number of inputs handled between two flushes.
const MAX_INPUTS_PER_FLUSH: usize = 256;

/// Runs a control plane until a requested shutdown is complete.
///
/// # Errors
/// If a required setting is missing or the data folder can't be used.
pub fn run(settings: &Settings) -> Result<(), ControlPlaneError> {
    let folder = settings.data_folder().ok_or(ControlPlaneError::MissingSetting("dataDir"))?;
    let operators = settings.listen.operators.clone();
    let operators = operators.ok_or(ControlPlaneError::MissingSetting("listenAddrs.control"))?;
    let store = Store::open(&folder)?;
    let recovered = store.recover()?;
    let clock = Clock::start();
    let (inputs, input_receiver) = input_queue();
    let store_inputs = inputs.clone();
    let store_writer =
        StoreWriter::start(store, folder, move |token| store_inputs.send(Input::Written(token)));
    let (link_event_sender, link_events) = unbounded();
    let services = NodeServices {
        clock,
        peer_links: PeerLinks::new(link_event_sender),
        store_writer,
        worker_client: WorkerClient::new(settings.max_worker_connections()),
        inputs: inputs.clone(),
    };
    let node = Node::start(settings, recovered, services);
    let signal_inputs = inputs.clone();
    signals::on_terminate(move || signal_inputs.send(Input::Terminate));
    spawn_servers(settings, operators, &inputs);
    task::spawn(forward_link_events(link_events, inputs));
    program::run_to_completion(run_event_loop(node, input_receiver, clock));
    Ok(())
}

/// Starts the servers for peers, operators and the metrics.
fn spawn_servers(settings: &Settings, operators: String, inputs: &InputSender) {
    let peer_inputs = inputs.clone();
    let handler = move |frame, replies: &Sender<Frame>| {
        peer_inputs.send(Input::Frame(frame, Some(replies.clone())));
    };
    task::spawn(peer_server::serve(settings.peer_listen_address(), Arc::new(handler)));
    if let Some(endpoint) = settings.metrics_endpoint() {
        let inputs = inputs.clone();
        metrics::spawn_server(endpoint, move || operator_api::metrics(inputs.clone()));
    }
    task::spawn(operator_api::serve(operators, inputs.clone()));
}

/// Forwards the events of the peer links to the node, except for new connections.
async fn forward_link_events(events: Receiver<LinkEvent>, inputs: InputSender) {
    while let Ok(event) = events.recv().await {
        match event {
            LinkEvent::Connected(_) => {}
            LinkEvent::Disconnected(address) => inputs.send(Input::PeerDisconnected(address)),
            LinkEvent::Received(_, frame) => inputs.send(Input::Frame(frame, None)),
        }
    }
}

/// Runs the node's event loop until the node has shut down: handles queued inputs, ticks and
/// flushes.
async fn run_event_loop(mut node: Node, inputs: InputReceiver, clock: Clock) {
    let tick_interval_ms = TICK_INTERVAL.as_millis() as u64;
    let mut last_tick_ms = clock.monotonic_ms();
    while !node.is_shut_down() {
        if let Ok(Some(input)) = timeout(TICK_INTERVAL, inputs.next()).await {
            handle_queued_inputs(&mut node, input, &inputs, clock);
        }
        let now_ms = clock.monotonic_ms();
        if now_ms >= last_tick_ms + tick_interval_ms {
            node.tick(now_ms - last_tick_ms - tick_interval_ms);
            last_tick_ms = now_ms;
        }
        node.flush();
    }
}

/// Handles inputs until none is queued or the limit on time or number is reached, so that a backlog
/// delays neither ticks nor flushes.
fn handle_queued_inputs(node: &mut Node, first: Input, inputs: &InputReceiver, clock: Clock) {
    let ends_at_ms = clock.monotonic_ms() + MAX_HANDLING_MS_PER_FLUSH;
    node.handle(first);
    for handled in 1..MAX_INPUTS_PER_FLUSH {
        if handled.is_multiple_of(INPUTS_PER_CLOCK_READING) && clock.monotonic_ms() >= ends_at_ms {
            break;
        }
        let Some(input) = inputs.try_next() else { break };
        node.handle(input);
    }
}
