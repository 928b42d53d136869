//! The data plane: takes clients' requests, and hands each to the primary of the control plane.
pub mod core_links;
mod front;

use async_std::task;
use core_links::CoreLinks;
use quick_error::quick_error;
use spanlead_cluster_runtime::metrics;
use spanlead_cluster_runtime::settings::Settings;
use spanlead_cluster_runtime::signals;
use spanlead_cluster_runtime::time::Clock;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

quick_error! {
    /// Why a data plane can't run.
    #[derive(Debug)]
    pub enum DataError {
        /// Its settings lack something.
        Settings(what: &'static str) {
            display("settings: {}", what)
        }
    }
}

/// How long a process that is told to end goes on taking requests at the least: until the platform has seen that it is
/// not ready any more.
const LEAVE: Duration = Duration::from_millis(2_500);
/// Descriptors that clients' connections leave free: for files, the control plane and other data planes.
const KEPT_DESCRIPTORS: usize = 512;
/// How much of the time it has is left unused.
const MARGIN: Duration = Duration::from_millis(1_000);
/// How long nothing may have come in before it ends.
const QUIET_MS: u64 = 500;

/// Runs a data plane until it is told to end.
///
/// # Errors
/// If it can't start.
pub fn run(settings: &Settings) -> Result<(), DataError> {
    let front = settings.listen.front.clone().ok_or(DataError::Settings("listenAddrs.front: missing"))?;
    let ready = settings.listen.readiness.clone();
    let ending = Arc::new(AtomicBool::new(false));
    let told = ending.clone();
    signals::on_terminate(move || told.store(true, Ordering::Relaxed));
    let clock = Clock::start();
    let grace = Duration::from_millis(settings.grace_ms());
    let connections = settings.max_descriptors().saturating_sub(KEPT_DESCRIPTORS).max(KEPT_DESCRIPTORS);
    task::block_on(async {
        let core = CoreLinks::start(settings, clock);
        if let Some(endpoint) = settings.metrics_endpoint() {
            metrics::start(endpoint, || async { metrics::traffic() });
        }
        let state = front::State::new(core, ending.clone(), clock);
        task::spawn(front::serve(front, state.clone(), connections));
        if let Some(ready) = ready {
            task::spawn(front::serve_readiness(ready, state.clone()));
        }
        while !ending.load(Ordering::Relaxed) {
            task::sleep(Duration::from_millis(50)).await;
        }
        log::info!("told to end");
        task::sleep(LEAVE.min(grace.saturating_sub(MARGIN))).await;
        let until = std::time::Instant::now() + grace.saturating_sub(LEAVE + MARGIN);
        while !state.quiet(QUIET_MS) && std::time::Instant::now() < until {
            task::sleep(Duration::from_millis(50)).await;
        }
    });
    Ok(())
}
