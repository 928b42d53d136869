//! A worker to which no connection can be established: it does not respond, and a start that was
//! never sent can be placed elsewhere at once.
mod common;

use async_std::channel::{Receiver, unbounded};
use common::{call, renew_lease};
use spanlead_control_plane::worker_client::WorkerClient;
use spanlead_job_scheduler::{JobId, TaskId, WorkerRequest, WorkerResponse};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

const CALL_TIMEOUT_MS: u64 = 200;

fn start_task() -> WorkerRequest {
    WorkerRequest::Start {
        task: TaskId { job: JobId(1), occurrence: 0, stage: 0, index: 0 },
        run: 1,
        payload: "x".into(),
        lease_expires_at_ms: 1,
        checkpoint: Default::default(),
    }
}

fn spawn_call(address: SocketAddr, request: WorkerRequest) -> Receiver<WorkerResponse> {
    let (responses, response) = unbounded();
    let call = call("w", &address.to_string(), request, CALL_TIMEOUT_MS);
    WorkerClient::new(4).spawn(call, move |_, response| {
        let _ = responses.try_send(response);
    });
    response
}

async fn assert_unreachable(address: SocketAddr) {
    let lease = spawn_call(address, renew_lease());
    let start = spawn_call(address, start_task());
    assert_eq!(lease.recv().await.expect("a result"), WorkerResponse::NoResponse);
    let start = start.recv().await.expect("a result");
    assert!(matches!(start, WorkerResponse::Rejected { status: 503, .. }), "{start:?}");
}

#[async_std::test]
async fn a_refused_connection_sends_nothing() {
    let address = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    assert_unreachable(address).await;
}

/// As behind a network partition: the connection is neither established nor refused.
#[async_std::test]
async fn a_connection_that_is_not_accepted_sends_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    rustix::net::listen(&listener, 0).expect("a short queue");
    let address = listener.local_addr().expect("bound");
    let connect_timeout = Duration::from_millis(100);
    let full: Vec<TcpStream> =
        (0..8).filter_map(|_| TcpStream::connect_timeout(&address, connect_timeout).ok()).collect();
    assert!(full.len() < 8, "the queue is not full");
    assert_unreachable(address).await;
}
