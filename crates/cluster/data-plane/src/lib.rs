//! The data plane: accepts client requests and forwards each to the primary of the control plane.
//!
//! - [`client_api`]: the HTTP API for clients and the endpoint for readiness checks.
//! - [`control_plane_client`]: tracks the primary, receives the configuration and forwards
//!   requests.
//! - [`outcome_counts`]: metrics of requests whose outcome is unknown.
//! - [`shutdown`]: how the process ends without cutting requests.
//!
//! It stores no state: a request that a data plane loses was not acknowledged, and its client sends
//! it again.
#![warn(missing_docs, unreachable_pub)]
#![warn(clippy::wildcard_imports, clippy::match_bool, clippy::too_many_lines)]
pub mod client_api;
pub mod control_plane_client;
pub mod outcome_counts;
mod pending_requests;
pub mod shutdown;

use async_std::task;
use client_api::ClientApi;
use control_plane_client::ControlPlaneClient;
use quick_error::quick_error;
use spanlead_cluster_runtime::clock::Clock;
use spanlead_cluster_runtime::settings::Settings;
use spanlead_cluster_runtime::{metrics, program, signals, traffic};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

quick_error! {
    /// An error that prevents a data plane from starting.
    #[derive(Debug)]
    pub enum DataPlaneError {
        /// A required setting, with this key, is missing.
        MissingSetting(key: &'static str) {
            display("settings: {}: missing", key)
        }
    }
}

/// Interval between checks whether a shutdown was requested.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The number of file descriptors that are reserved for files and for connections to the control
/// plane and to other data planes.
const RESERVED_DESCRIPTORS: usize = 512;

/// Runs a data plane until a shutdown was requested and its drain is complete.
///
/// # Errors
/// If a required setting is missing.
pub fn run(settings: &Settings) -> Result<(), DataPlaneError> {
    let clients = settings.listen.clients.clone();
    let clients = clients.ok_or(DataPlaneError::MissingSetting("listenAddrs.front"))?;
    let is_shutting_down = Arc::new(AtomicBool::new(false));
    let terminated = is_shutting_down.clone();
    signals::on_terminate(move || terminated.store(true, Ordering::Relaxed));
    let clock = Clock::start();
    let control_plane = ControlPlaneClient::start(settings, clock);
    if let Some(endpoint) = settings.metrics_endpoint() {
        let counts = control_plane.outcome_counts();
        metrics::spawn_server(endpoint, move || {
            let text = traffic::metrics_text() + &counts.metrics_text();
            async { text }
        });
    }
    let api = ClientApi::new(control_plane, is_shutting_down.clone(), clock);
    task::spawn(client_api::serve(clients, api.clone(), max_client_connections(settings)));
    if let Some(readiness) = settings.listen.readiness.clone() {
        task::spawn(client_api::serve_readiness(readiness, api.clone()));
    }
    let grace = Duration::from_millis(settings.shutdown_grace_ms());
    program::run_to_completion(async move {
        while !is_shutting_down.load(Ordering::Relaxed) {
            task::sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
        log::info!("shutdown requested");
        shutdown::drain(&api, grace).await;
    });
    Ok(())
}

/// Returns the number of client connections that the limit on file descriptors allows, at least
/// [`RESERVED_DESCRIPTORS`].
fn max_client_connections(settings: &Settings) -> usize {
    settings.max_descriptors().saturating_sub(RESERVED_DESCRIPTORS).max(RESERVED_DESCRIPTORS)
}
