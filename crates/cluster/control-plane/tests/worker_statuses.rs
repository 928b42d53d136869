//! What the status of a worker's response tells about the call.
mod common;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use async_std::task;
use common::{call, renew_lease};
use spanlead_control_plane::worker_client::WorkerClient;
use spanlead_job_scheduler::{JobId, TaskId, WorkerRequest, WorkerResponse};

const CALL_TIMEOUT_MS: u64 = 5_000;
const MAX_CONNECTIONS: usize = 4;

/// Serves a worker that responds to every request with one status, and returns its address.
async fn start_worker(status: u16) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = vec![0; 4_096];
            while let Ok(1..) = stream.read(&mut buffer).await {
                let response = format!("HTTP/1.1 {status} Any\r\nContent-Length: 2\r\n\r\n{{}}");
                if stream.write_all(response.as_bytes()).await.is_err() {
                    break;
                }
            }
        }
    });
    address
}

/// The result of a call to a worker that responds with this status.
async fn result_of(request: WorkerRequest, status: u16) -> WorkerResponse {
    let address = start_worker(status).await;
    let (sender, responses) = async_std::channel::bounded(1);
    let client = WorkerClient::new(MAX_CONNECTIONS);
    client.spawn(call("i-1", &address, request, CALL_TIMEOUT_MS), move |_, response| {
        let _ = sender.try_send(response);
    });
    responses.recv().await.expect("a response")
}

fn start() -> WorkerRequest {
    WorkerRequest::Start {
        task: TaskId { job: JobId(1), occurrence: 0, stage: 0, index: 0 },
        run: 1,
        payload: "".into(),
        lease_expires_at_ms: 1,
        checkpoint: "".into(),
    }
}

/// Guards against a start that counts as not carried out although nothing says so.
#[async_std::test]
async fn status_that_does_not_exclude_that_a_call_was_carried_out_is_no_rejection() {
    for status in [201, 302, 500, 502, 504] {
        for request in [start(), renew_lease()] {
            let result = result_of(request, status).await;
            assert_eq!(result, WorkerResponse::NoResponse, "status {status}");
        }
    }
}

#[async_std::test]
async fn status_of_a_call_that_was_not_carried_out_is_a_rejection() {
    for status in [400, 409, 429, 503] {
        let result = result_of(start(), status).await;
        assert!(
            matches!(result, WorkerResponse::Rejected { status: seen, .. } if seen == status),
            "{result:?}"
        );
    }
}
