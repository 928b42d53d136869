//! Calls to 3,000 simulated workers over a bounded number of connections: all workers are called,
//! and calls beyond the bound wait for a connection.
mod common;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use common::{call, renew_lease};
use spanlead_control_plane::worker_client::WorkerClient;
use spanlead_job_scheduler::{WorkerCall, WorkerResponse};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The most connections that may be open at a time. Both ends are in this process, and together
/// they stay below 1,024 file descriptors.
const MAX_CONNECTIONS: usize = 300;
const WORKERS: usize = 3_000;
/// The number of the workers' addresses: more than [`MAX_CONNECTIONS`], so that connections must be
/// closed.
const ADDRESSES: usize = 500;
const CALL_TIMEOUT_MS: u64 = 20_000;

/// What the simulated workers have observed.
#[derive(Default)]
struct Observations {
    open_connections: AtomicUsize,
    max_open_connections: AtomicUsize,
    accepted_connections: AtomicUsize,
    /// The IDs of the workers that were called.
    called_workers: Mutex<BTreeSet<String>>,
}

/// Responds to each request on a connection, and records the worker that its header names.
async fn serve(mut stream: TcpStream, observations: &Observations, response_delay: Duration) {
    let mut buffer = vec![0; 2_048];
    while let Ok(count) = stream.read(&mut buffer).await {
        let text = String::from_utf8_lossy(&buffer[..count]).to_lowercase();
        let Some(line) = text.lines().find(|line| line.starts_with("spanlead-target-instance:")) else {
            return;
        };
        let worker = line.split(':').nth(1).unwrap_or_default().trim().to_owned();
        observations.called_workers.lock().expect("the lock is not poisoned").insert(worker);
        task::sleep(response_delay).await;
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"clockMs\":5}";
        if stream.write_all(response).await.is_err() {
            return;
        }
    }
}

fn call_to(worker: usize, addresses: &[String]) -> WorkerCall {
    let address = &addresses[worker % addresses.len()];
    call(&format!("w-{worker}"), address, renew_lease(), CALL_TIMEOUT_MS)
}

#[async_std::test]
async fn all_workers_are_called_over_a_bounded_number_of_connections() {
    let (addresses, observations) = start_workers(Duration::from_millis(5)).await;
    let client = WorkerClient::new(MAX_CONNECTIONS);
    let (response_sender, responses) = async_std::channel::unbounded();
    for worker in 0..WORKERS {
        let response_sender = response_sender.clone();
        client.spawn(call_to(worker, &addresses), move |_, response| {
            let _ = response_sender.try_send(response);
        });
    }
    for _ in 0..WORKERS {
        let response = responses.recv().await.expect("a response");
        assert!(matches!(response, WorkerResponse::Report(_)), "{response:?}");
    }
    assert_eq!(
        observations.called_workers.lock().expect("the lock is not poisoned").len(),
        WORKERS,
        "every worker must be called"
    );
    let max_open = observations.max_open_connections.load(Ordering::SeqCst);
    // A worker observes the closing of a connection a moment after the client has closed it.
    let max_observed = MAX_CONNECTIONS + MAX_CONNECTIONS / 4;
    assert!(
        max_open <= max_observed,
        "expected at most {max_observed} connections open at a time, found {max_open}"
    );
    assert!(client.connections().open <= MAX_CONNECTIONS);
}

#[async_std::test]
async fn call_that_gets_no_connection_before_its_timeout_is_rejected_and_not_sent() {
    let (addresses, observations) = start_workers(Duration::from_millis(600)).await;
    let client = WorkerClient::new(1);
    let (response_sender, responses) = async_std::channel::unbounded();
    for worker in 0..2 {
        let response_sender = response_sender.clone();
        let mut call = call_to(worker, &addresses);
        call.timeout_ms = if worker == 0 { 2_000 } else { 200 };
        client.spawn(call, move |call, response| {
            let _ = response_sender.try_send((call.worker_id, response));
        });
        task::sleep(Duration::from_millis(50)).await;
    }
    let (worker, response) = responses.recv().await.expect("a response");
    assert!(
        &*worker == "w-1" && matches!(response, WorkerResponse::Rejected { status: 503, .. }),
        "{response:?}"
    );
    let (worker, response) = responses.recv().await.expect("a response");
    assert!(&*worker == "w-0" && matches!(response, WorkerResponse::Report(_)), "{response:?}");
    assert_eq!(observations.called_workers.lock().expect("the lock is not poisoned").len(), 1);
}

#[async_std::test]
async fn connections_to_few_workers_are_reused() {
    let (addresses, observations) = start_workers(Duration::ZERO).await;
    let client = WorkerClient::new(MAX_CONNECTIONS);
    let (response_sender, responses) = async_std::channel::unbounded();
    for round in 0..50 {
        for worker in 0..10 {
            let response_sender = response_sender.clone();
            client.spawn(call_to(worker, &addresses), move |_, response| {
                let _ = response_sender.try_send(response);
            });
        }
        for _ in 0..10 {
            assert!(
                matches!(responses.recv().await.expect("a response"), WorkerResponse::Report(_)),
                "round {round}"
            );
        }
    }
    let accepted = observations.accepted_connections.load(Ordering::SeqCst);
    assert!(accepted <= 20, "expected at most 20 connections for 500 calls to 10 workers, found {accepted}");
}

/// Serves all workers at [`ADDRESSES`] addresses. A request's header names the worker that it is
/// for.
async fn start_workers(response_delay: Duration) -> (Vec<String>, Arc<Observations>) {
    let observations = Arc::new(Observations::default());
    let mut addresses = Vec::new();
    for _ in 0..ADDRESSES {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        addresses.push(listener.local_addr().expect("a bound address").to_string());
        task::spawn(accept(listener, observations.clone(), response_delay));
    }
    (addresses, observations)
}

async fn accept(listener: TcpListener, observations: Arc<Observations>, response_delay: Duration) {
    while let Ok((stream, _)) = listener.accept().await {
        let open = observations.open_connections.fetch_add(1, Ordering::SeqCst) + 1;
        observations.max_open_connections.fetch_max(open, Ordering::SeqCst);
        observations.accepted_connections.fetch_add(1, Ordering::SeqCst);
        let connection_observations = observations.clone();
        task::spawn(async move {
            serve(stream, &connection_observations, response_delay).await;
            connection_observations.open_connections.fetch_sub(1, Ordering::SeqCst);
        });
    }
}
