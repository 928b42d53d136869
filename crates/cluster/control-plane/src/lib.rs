//! The control plane: a replica of the control state that, while it is primary, keeps the jobs and
//! the configuration and calls the workers.
//!
//! One task owns the [`node::Node`] and feeds it one [`input::Input`] at a time, from
//! [`mod@input_queue`]. Everything else runs beside it and hands it inputs:
//!
//! - [`store`] and [`store_writer`]: the data folder, written by a thread of its own.
//! - [`worker_client`] over [`connection_pool`]: calls to workers; [`worker_list`]: the platform's
//!   list.
//! - [`operator_api`]: the operators' interface, answered from [`status`] and [`metrics_text`].
//!
//! The control state itself: [`configuration_state`], the jobs of `spanlead-job-scheduler`, and
//! [`unreadable_records`], which keep a node from being primary.
#![warn(missing_docs, unreachable_pub)]
#![warn(clippy::wildcard_imports, clippy::match_bool, clippy::too_many_lines)]
mod client_api;
pub mod commit_latency;
pub mod configuration_state;
pub mod connection_pool;
pub mod input;
pub mod input_queue;
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
    /// Why a control plane can't run.
    #[derive(Debug)]
    pub enum ControlPlaneError {
        /// A setting that it needs is missing.
        MissingSetting(key: &'static str) {
            display("settings: {}: missing", key)
        }
        /// Its data folder can't be used.
        Store(error: StoreError) {
            from()
            display("data folder: {}", error)
        }
    }
}

/// How often the node's time passes without an input.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How long inputs are handled before what follows from them is flushed, milliseconds.
const MAX_SLICE_MS: u64 = 20;
/// Inputs that are handled between two readings of the clock.
const INPUTS_PER_CLOCK_READING: usize = 8;
/// Inputs that are handled at most before what follows from them is flushed.
const MAX_INPUTS_PER_FLUSH: usize = 256;

/// Runs a control plane until a shutdown is requested and complete.
///
/// # Errors
/// If it can't start.
pub fn run(settings: &Settings) -> Result<(), ControlPlaneError> {
    let folder = settings.data_folder().ok_or(ControlPlaneError::MissingSetting("dataDir"))?;
    let operators = settings.listen.operators.clone();
    let operators = operators.ok_or(ControlPlaneError::MissingSetting("listenAddrs.control"))?;
    let store = Store::open(&folder)?;
    let recovered = store.recover()?;
    let clock = Clock::start();
    let (inputs, input_receiver) = input_queue();
    let written = inputs.clone();
    let store_writer = StoreWriter::start(store, folder, move |token| written.send(Input::Written(token)));
    let (events, link_events) = unbounded();
    let services = NodeServices {
        clock,
        links: PeerLinks::new(events),
        store_writer,
        worker_client: WorkerClient::new(settings.max_worker_connections()),
        inputs: inputs.clone(),
    };
    let node = Node::start(settings, recovered, services);
    let terminating = inputs.clone();
    signals::on_terminate(move || terminating.send(Input::Terminate));
    spawn_servers(settings, operators, &inputs);
    task::spawn(forward_link_events(link_events, inputs));
    program::run_to_end(drive(node, input_receiver, clock));
    Ok(())
}

/// Starts to accept peers, operators and readers of the metrics.
fn spawn_servers(settings: &Settings, operators: String, inputs: &InputSender) {
    let received = inputs.clone();
    let handler = move |frame, replies: &Sender<Frame>| {
        received.send(Input::Frame(frame, Some(replies.clone())));
    };
    task::spawn(peer_server::serve(settings.peer_address(), Arc::new(handler)));
    if let Some(endpoint) = settings.metrics_endpoint() {
        let inputs = inputs.clone();
        metrics::spawn(endpoint, move || operator_api::metrics(inputs.clone()));
    }
    task::spawn(operator_api::serve(operators, inputs.clone()));
}

async fn forward_link_events(events: Receiver<LinkEvent>, inputs: InputSender) {
    while let Ok(event) = events.recv().await {
        match event {
            LinkEvent::Connected(_) => {}
            LinkEvent::Disconnected(address) => inputs.send(Input::PeerDisconnected(address)),
            LinkEvent::Received(_, frame) => inputs.send(Input::Frame(frame, None)),
        }
    }
}

/// Feeds the node until it has shut down: inputs in slices, each followed by a flush, and ticks.
async fn drive(mut node: Node, inputs: InputReceiver, clock: Clock) {
    let tick_interval_ms = TICK_INTERVAL.as_millis() as u64;
    let mut ticked_at_ms = clock.monotonic_ms();
    while !node.is_shut_down() {
        if let Ok(Some(input)) = timeout(TICK_INTERVAL, inputs.next()).await {
            handle_slice(&mut node, input, &inputs, clock);
        }
        let now_ms = clock.monotonic_ms();
        if now_ms >= ticked_at_ms + tick_interval_ms {
            node.tick(now_ms - ticked_at_ms - tick_interval_ms);
            ticked_at_ms = now_ms;
        }
        node.flush();
    }
}

/// Handles inputs until none is queued or the slice is over, so that a backlog delays neither ticks
/// nor flushes.
fn handle_slice(node: &mut Node, first: Input, inputs: &InputReceiver, clock: Clock) {
    let slice_ends_ms = clock.monotonic_ms() + MAX_SLICE_MS;
    node.handle(first);
    for handled in 1..MAX_INPUTS_PER_FLUSH {
        if handled.is_multiple_of(INPUTS_PER_CLOCK_READING) && clock.monotonic_ms() >= slice_ends_ms {
            break;
        }
        let Some(input) = inputs.try_next() else { break };
        node.handle(input);
    }
}
