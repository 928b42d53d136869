//! The control plane: a replica of the control state that, while it is primary, keeps jobs and configuration and orders
//! the workers.
//!
//! One task owns the [`node::Node`] and feeds it one input at a time; everything else hands it inputs over a channel.
mod configurations;
pub mod disk;
mod inbox;
mod node;
mod operator;
pub mod platform;
pub mod pool;
mod status;
pub mod workers;

pub use configurations::{Configurations, Taken};
pub use inbox::{Inbox, Inputs, inbox};
pub use node::unreadable;
pub use node::{Input, Node, Reply};
pub use status::Question;

use crate::disk::{DiskError, Store, Writer};
use crate::workers::WorkerCalls;
use async_std::channel::{Receiver, Sender, unbounded};
use async_std::future::timeout;
use async_std::task;
use quick_error::quick_error;
use spanlead_cluster_runtime::accept;
use spanlead_cluster_runtime::frame::Frame;
use spanlead_cluster_runtime::link::{LinkEvent, Links};
use spanlead_cluster_runtime::metrics;
use spanlead_cluster_runtime::settings::Settings;
use spanlead_cluster_runtime::signals;
use spanlead_cluster_runtime::time::Clock;
use std::sync::Arc;
use std::time::Duration;

quick_error! {
    /// Why a control plane can't run.
    #[derive(Debug)]
    pub enum ControlError {
        /// Its settings lack something.
        Settings(what: &'static str) {
            display("settings: {}", what)
        }
        /// Its folder.
        Disk(error: DiskError) {
            from()
            display("data folder: {}", error)
        }
        /// A socket.
        Io(error: std::io::Error) {
            from()
            display("{}", error)
        }
    }
}

/// How often time passes for the node without an input.
const TICK: Duration = Duration::from_millis(20);
/// How long inputs are taken before what follows from them goes out, milliseconds, and how many of them are taken between
/// two looks at the clock.
const SLICE_MS: u64 = 20;
const LOOK_EVERY: usize = 8;
/// Inputs that are taken at most before what follows from them goes out.
const BATCH: usize = 256;

/// Runs a control plane until it is told to end.
///
/// # Errors
/// If it can't start.
pub fn run(settings: &Settings) -> Result<(), ControlError> {
    let folder = settings.folder().ok_or(ControlError::Settings("dataDir: missing"))?;
    let control =
        settings.listen.control.clone().ok_or(ControlError::Settings("listenAddrs.control: missing"))?;
    let store = Store::open(&folder)?;
    let restored = store.restore()?;
    let clock = Clock::start();
    let (inputs, inbox) = inbox();
    let written = inputs.clone();
    let writer = Writer::start(store, folder, move |token| {
        written.put(Input::Written(token));
    });
    let (link_events, link_inbox) = unbounded();
    let links = Links::new(link_events);
    let node = Node::start(
        settings,
        restored,
        clock,
        links,
        writer,
        WorkerCalls::new(settings.worker_connections()),
        inputs.clone(),
    );
    let terminating = inputs.clone();
    signals::on_terminate(move || terminating.put(Input::Terminate));
    let endpoint = settings.metrics_endpoint();
    task::block_on(async move {
        let taker = inputs.clone();
        let take = move |frame, answers: &Sender<Frame>| {
            taker.put(Input::Frame(frame, Some(answers.clone())));
        };
        task::spawn(accept::serve(settings.peer(), Arc::new(take)));
        if let Some(endpoint) = endpoint {
            let inputs = inputs.clone();
            metrics::start(endpoint, move || operator::figures(inputs.clone()));
        }
        task::spawn(operator::serve(control, inputs.clone()));
        task::spawn(forward(link_inbox, inputs));
        drive(node, inbox, clock).await;
    });
    Ok(())
}

async fn forward(events: Receiver<LinkEvent>, inputs: Inputs) {
    while let Ok(event) = events.recv().await {
        let input = match event {
            LinkEvent::Up(_) => continue,
            LinkEvent::Down(address) => Input::PeerDown(address),
            LinkEvent::Frame(_, frame) => Input::Frame(frame, None),
        };
        inputs.put(input);
    }
}

async fn drive(mut node: Node, inbox: Inbox, clock: Clock) {
    let tick_ms = TICK.as_millis() as u64;
    let mut ticked = clock.steady();
    while !node.ended() {
        if let Ok(Some(input)) = timeout(TICK, inbox.next()).await {
            let began = clock.steady();
            node.handle(input);
            for taken in 1..BATCH {
                if taken.is_multiple_of(LOOK_EVERY) && clock.steady() >= began + SLICE_MS {
                    break;
                }
                let Some(input) = inbox.try_next() else { break };
                node.handle(input);
            }
        }
        let now = clock.steady();
        if now >= ticked + tick_ms {
            node.tick(now - ticked - tick_ms);
            ticked = now;
        }
        node.flush();
    }
}
