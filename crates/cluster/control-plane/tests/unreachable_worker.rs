//! Calls to a worker to which no connection can be established: a lease renewal gets no response,
//! and a start is rejected as not sent, so that it can be placed on another worker at once.
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

/// Calls a worker and returns the channel of its response.
fn spawn_call(address: SocketAddr, request: WorkerRequest) -> Receiver<WorkerResponse> {
    let (responses, response) = unbounded();
    let call = call("w", &address.to_string(), request, CALL_TIMEOUT_MS);
    WorkerClient::new(4).spawn(call, move |_, response| {
        let _ = responses.try_send(response);
    });
    response
}

async fn assert_unreachable(address: SocketAddr) {
    let renewal = spawn_call(address, renew_lease());
    let start = spawn_call(address, start_task());
    assert_eq!(renewal.recv().await.expect("a response"), WorkerResponse::NoResponse);
    let start = start.recv().await.expect("a response");
    assert!(matches!(start, WorkerResponse::Rejected { status: 503, .. }), "{start:?}");
}

#[async_std::test]
async fn refused_connection_leaves_a_renewal_unanswered_and_rejects_a_start() {
    let address =
        TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().expect("a bound address");
    assert_unreachable(address).await;
}

/// The connection is neither established nor refused, as behind a network partition.
#[async_std::test]
async fn connection_that_times_out_leaves_a_renewal_unanswered_and_rejects_a_start() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    rustix::net::listen(&listener, 0).expect("a backlog of 0");
    let address = listener.local_addr().expect("a bound address");
    let connect_timeout = Duration::from_millis(100);
    let queued: Vec<TcpStream> =
        (0..8).filter_map(|_| TcpStream::connect_timeout(&address, connect_timeout).ok()).collect();
    assert!(queued.len() < 8, "the listener's backlog is not full after 8 connections");
    assert_unreachable(address).await;
}
