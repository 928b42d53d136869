//! Three thousand simulated workers and few connections: all are called, and calls beyond the
//! connections wait.
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

/// Connections that may be open at once; with both ends in this process that is under 1,024
/// descriptors.
const MAX_CONNECTIONS: usize = 300;
const WORKERS: usize = 3_000;
/// Addresses of the workers: more than there may be connections.
const LISTENERS: usize = 500;
const CALL_TIMEOUT_MS: u64 = 20_000;

#[derive(Default)]
struct Seen {
    open: AtomicUsize,
    max_open: AtomicUsize,
    accepted: AtomicUsize,
    workers: Mutex<BTreeSet<String>>,
}

async fn serve(mut stream: TcpStream, seen: &Seen, answer_after: Duration) {
    let mut buffer = vec![0; 2_048];
    while let Ok(count) = stream.read(&mut buffer).await {
        let text = String::from_utf8_lossy(&buffer[..count]).to_lowercase();
        let Some(line) = text.lines().find(|line| line.starts_with("spanlead-target-instance:")) else {
            return;
        };
        let worker = line.split(':').nth(1).unwrap_or_default().trim().to_owned();
        seen.workers.lock().expect("no panic holds it").insert(worker);
        task::sleep(answer_after).await;
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"clockMs\":5}";
        if stream.write_all(answer).await.is_err() {
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
    let (addresses, seen) = workers(Duration::from_millis(5)).await;
    let calls = WorkerClient::new(MAX_CONNECTIONS);
    let (done, answers) = async_std::channel::unbounded();
    for worker in 0..WORKERS {
        let done = done.clone();
        calls.spawn(call_to(worker, &addresses), move |_, reply| {
            let _ = done.try_send(reply);
        });
    }
    for _ in 0..WORKERS {
        let reply = answers.recv().await.expect("a result");
        assert!(matches!(reply, WorkerResponse::Report(_)), "{reply:?}");
    }
    assert_eq!(seen.workers.lock().expect("no panic holds it").len(), WORKERS, "each was called");
    let most = seen.max_open.load(Ordering::SeqCst);
    // What is closed here is seen as closed there a moment later.
    assert!(most <= MAX_CONNECTIONS + MAX_CONNECTIONS / 4, "{most} connections at once");
    assert!(calls.connections().open <= MAX_CONNECTIONS);
}

#[async_std::test]
async fn a_call_without_a_connection_in_time_is_not_sent() {
    let (addresses, seen) = workers(Duration::from_millis(600)).await;
    let calls = WorkerClient::new(1);
    let (done, answers) = async_std::channel::unbounded();
    for worker in 0..2 {
        let done = done.clone();
        let mut call = call_to(worker, &addresses);
        call.timeout_ms = if worker == 0 { 2_000 } else { 200 };
        calls.spawn(call, move |call, reply| {
            let _ = done.try_send((call.worker_id, reply));
        });
        task::sleep(Duration::from_millis(50)).await;
    }
    let (worker, reply) = answers.recv().await.expect("a result");
    assert!(&*worker == "w-1" && matches!(reply, WorkerResponse::Rejected { status: 503, .. }), "{reply:?}");
    let (worker, reply) = answers.recv().await.expect("a result");
    assert!(&*worker == "w-0" && matches!(reply, WorkerResponse::Report(_)), "{reply:?}");
    assert_eq!(seen.workers.lock().expect("no panic holds it").len(), 1);
}

#[async_std::test]
async fn connections_to_few_workers_are_kept() {
    let (addresses, seen) = workers(Duration::ZERO).await;
    let calls = WorkerClient::new(MAX_CONNECTIONS);
    let (done, answers) = async_std::channel::unbounded();
    for round in 0..50 {
        for worker in 0..10 {
            let done = done.clone();
            calls.spawn(call_to(worker, &addresses), move |_, reply| {
                let _ = done.try_send(reply);
            });
        }
        for _ in 0..10 {
            assert!(
                matches!(answers.recv().await.expect("a result"), WorkerResponse::Report(_)),
                "round {round}"
            );
        }
    }
    let made = seen.accepted.load(Ordering::SeqCst);
    assert!(made <= 20, "{made} connections for 500 calls to 10 workers");
}

/// Listeners that stand for all workers: the header names which one is meant.
async fn workers(answer_after: Duration) -> (Vec<String>, Arc<Seen>) {
    let seen = Arc::new(Seen::default());
    let mut addresses = Vec::new();
    for _ in 0..LISTENERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        addresses.push(listener.local_addr().expect("bound").to_string());
        task::spawn(accept(listener, seen.clone(), answer_after));
    }
    (addresses, seen)
}

async fn accept(listener: TcpListener, all: Arc<Seen>, answer_after: Duration) {
    while let Ok((stream, _)) = listener.accept().await {
        let open = all.open.fetch_add(1, Ordering::SeqCst) + 1;
        all.max_open.fetch_max(open, Ordering::SeqCst);
        all.accepted.fetch_add(1, Ordering::SeqCst);
        let seen = all.clone();
        task::spawn(async move {
            serve(stream, &seen, answer_after).await;
            seen.open.fetch_sub(1, Ordering::SeqCst);
        });
    }
}
