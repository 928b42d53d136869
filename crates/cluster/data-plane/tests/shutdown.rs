//! The graceful shutdown: no request that was received is left without a response.
mod common;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use common::{Endpoints, Primary, ScriptedResponse};
use spanlead_cluster_runtime::clock::Clock;
use spanlead_data_plane::client_api::{self, ClientApi};
use spanlead_data_plane::control_plane_client::ControlPlaneClient;
use spanlead_data_plane::shutdown::drain;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The last octet of the addresses of the data plane and its primary.
const LAST_OCTET: u8 = 40;
const GRACE: Duration = Duration::from_secs(4);
/// The deadline that clients send, milliseconds. The primary does not respond before it.
const DEADLINE_MS: u64 = 900;
const CLIENTS: usize = 4;

/// Starts a data plane whose clients are served at the returned address.
fn start_data_plane() -> (ClientApi, Arc<AtomicBool>, String) {
    let endpoints = Endpoints::new(LAST_OCTET);
    Primary::default().serve(endpoints.primary_address(), |_| ScriptedResponse::NoResponse);
    let clock = Clock::start();
    let is_shutting_down = Arc::new(AtomicBool::new(false));
    let control_plane = ControlPlaneClient::start(&endpoints.settings(), clock);
    let api = ClientApi::new(control_plane, is_shutting_down.clone(), clock);
    task::spawn(client_api::serve(endpoints.client_address(), api.clone(), 100));
    (api, is_shutting_down, endpoints.client_address())
}

/// Sends requests until it is told to stop, each as soon as the one before is answered, and over a
/// new connection whenever the last one was closed.
async fn send_without_pause(address: String, stop: Arc<AtomicBool>) {
    let request = format!(
        "GET /q/00000000000000aa HTTP/1.1\r\nHost: h\r\nSpanlead-Request-Deadline: {DEADLINE_MS}\r\n\r\n"
    );
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(&address).await else {
            task::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let mut buffer = [0; 1_024];
        while !stop.load(Ordering::Relaxed) {
            if stream.write_all(request.as_bytes()).await.is_err() {
                break;
            }
            if !matches!(stream.read(&mut buffer).await, Ok(1..)) {
                break;
            }
        }
    }
}

/// Guards against a fault that a soak found: with clients that never stop sending, the process ended
/// at a fixed time before the end of the grace period, whatever requests it still had.
#[async_std::test]
async fn drain_ends_with_all_requests_answered_although_clients_keep_sending() {
    let (api, is_shutting_down, address) = start_data_plane();
    let stop = Arc::new(AtomicBool::new(false));
    for _ in 0..CLIENTS {
        task::spawn(send_without_pause(address.clone(), stop.clone()));
    }
    while !api.has_open_requests() {
        task::sleep(Duration::from_millis(10)).await;
    }

    is_shutting_down.store(true, Ordering::Relaxed);
    let started_at = Instant::now();
    drain(&api, GRACE).await;
    let elapsed = started_at.elapsed();

    assert!(!api.has_open_requests(), "a request is cut by the end of the process");
    assert!(elapsed < GRACE, "expected the end within {GRACE:?}, took {elapsed:?}");
    stop.store(true, Ordering::Relaxed);
}
