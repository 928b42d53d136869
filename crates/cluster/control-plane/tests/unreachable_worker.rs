//! A worker to which no connection can be made: it is silent, and a start that was never sent can go elsewhere at once.
use async_std::channel::{Receiver, unbounded};
use spanlead_control_plane::worker_client::WorkerClient;
use spanlead_job_scheduler::{JobId, TaskId, WorkerCall, WorkerRequest, WorkerResponse};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

const TIMEOUT_MS: u64 = 200;

fn hold() -> WorkerRequest {
    WorkerRequest::RenewLease { serial: 1, lease_expires_at_ms: None, acknowledged_end: 0, wait_ms: 0 }
}

fn start() -> WorkerRequest {
    let task = TaskId { job: JobId(1), occurrence: 0, stage: 0, index: 0 };
    WorkerRequest::Start {
        task,
        run: 1,
        payload: "x".into(),
        lease_expires_at_ms: 1,
        checkpoint: Default::default(),
    }
}

fn ask(address: SocketAddr, request: WorkerRequest) -> Receiver<WorkerResponse> {
    let (answers, answer) = unbounded();
    let address = address.to_string().as_str().into();
    let call =
        WorkerCall { worker_id: "w".into(), address, request, timeout_ms: TIMEOUT_MS, fencing_token: 1 };
    WorkerClient::new(4).spawn(call, move |_, reply| {
        let _ = answers.try_send(reply);
    });
    answer
}

/// What a hold and a start come to.
async fn replies(address: SocketAddr) -> (WorkerResponse, WorkerResponse) {
    let (hold, start) = (ask(address, hold()), ask(address, start()));
    (hold.recv().await.expect("told"), start.recv().await.expect("told"))
}

fn assert_out_of_reach((hold, start): (WorkerResponse, WorkerResponse)) {
    assert_eq!(hold, WorkerResponse::NoResponse);
    assert!(matches!(start, WorkerResponse::Rejected { status: 503, .. }), "{start:?}");
}

#[async_std::test]
async fn nobody_listens() {
    let address = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    assert_out_of_reach(replies(address).await);
}

/// As behind a cut: the connection is neither made nor refused.
#[async_std::test]
async fn connections_hang() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    rustix::net::listen(&listener, 0).expect("a short queue");
    let address = listener.local_addr().expect("bound");
    let patience = Duration::from_millis(100);
    let full: Vec<TcpStream> =
        (0..8).filter_map(|_| TcpStream::connect_timeout(&address, patience).ok()).collect();
    assert!(full.len() < 8, "the queue is not full");
    assert_out_of_reach(replies(address).await);
}
