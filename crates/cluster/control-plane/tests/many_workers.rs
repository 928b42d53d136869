//! Three thousand hollow workers and a small number of connections: all are called, none is left out, and what does not fit
//! waits.
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use spanlead_control_plane::worker_client::WorkerClient;
use spanlead_job_scheduler::{WorkerCall, WorkerRequest, WorkerResponse};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Connections that calls may have open at once; with both ends in this process that is under 1,024 descriptors.
const CONNECTIONS: usize = 300;
const WORKERS: usize = 3_000;
/// Addresses at which they are: more than there may be connections.
const LISTENERS: usize = 500;

#[derive(Default)]
struct Seen {
    open: AtomicUsize,
    most: AtomicUsize,
    made: AtomicUsize,
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
        seen.workers.lock().expect("whole").insert(worker);
        task::sleep(answer_after).await;
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"clockMs\":5}";
        if stream.write_all(answer).await.is_err() {
            return;
        }
    }
}

fn call_to(worker: usize, addresses: &[String]) -> WorkerCall {
    WorkerCall {
        worker_id: format!("w-{worker}").into(),
        address: addresses[worker % addresses.len()].as_str().into(),
        request: WorkerRequest::RenewLease {
            serial: 1,
            lease_expires_at_ms: None,
            acknowledged_end: 0,
            wait_ms: 0,
        },
        timeout_ms: 20_000,
        fencing_token: 1,
    }
}

#[async_std::test]
async fn all_workers_are_called_over_a_bounded_number_of_connections() {
    let (addresses, seen) = workers(Duration::from_millis(5)).await;
    let calls = WorkerClient::new(CONNECTIONS);
    let (done, answers) = async_std::channel::unbounded();
    for worker in 0..WORKERS {
        let done = done.clone();
        calls.spawn(call_to(worker, &addresses), move |_, reply| {
            let _ = done.try_send(reply);
        });
    }
    for _ in 0..WORKERS {
        let reply = answers.recv().await.expect("told");
        assert!(matches!(reply, WorkerResponse::Report(_)), "{reply:?}");
    }
    assert_eq!(seen.workers.lock().expect("whole").len(), WORKERS, "each was called");
    let most = seen.most.load(Ordering::SeqCst);
    // What is closed here is seen as closed there a moment later.
    assert!(most <= CONNECTIONS + CONNECTIONS / 4, "{most} connections at once");
    assert!(calls.connections().open <= CONNECTIONS);
}

#[async_std::test]
async fn a_call_that_finds_no_connection_in_time_was_not_sent() {
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
    let (worker, reply) = answers.recv().await.expect("told");
    assert!(&*worker == "w-1" && matches!(reply, WorkerResponse::Rejected { status: 503, .. }), "{reply:?}");
    let (worker, reply) = answers.recv().await.expect("told");
    assert!(&*worker == "w-0" && matches!(reply, WorkerResponse::Report(_)), "{reply:?}");
    assert_eq!(seen.workers.lock().expect("whole").len(), 1);
}

#[async_std::test]
async fn with_few_workers_connections_are_kept() {
    let (addresses, seen) = workers(Duration::ZERO).await;
    let calls = WorkerClient::new(CONNECTIONS);
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
                matches!(answers.recv().await.expect("told"), WorkerResponse::Report(_)),
                "round {round}"
            );
        }
    }
    let made = seen.made.load(Ordering::SeqCst);
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
        all.most.fetch_max(open, Ordering::SeqCst);
        all.made.fetch_add(1, Ordering::SeqCst);
        let seen = all.clone();
        task::spawn(async move {
            serve(stream, &seen, answer_after).await;
            seen.open.fetch_sub(1, Ordering::SeqCst);
        });
    }
}
