//! The client for calls to workers.
mod messages;

use crate::connection_pool::{ConnectionCount, ConnectionPool};
use async_std::task;
use compact_str::CompactString;
use http_types::{Body, Method, Request, Url, mime};
use messages::{RequestContent, ResponseBody};
use spanlead_cluster_runtime::http::client;
use spanlead_cluster_runtime::timeout::timeout;
use spanlead_job_scheduler::{WorkerCall, WorkerRequest, WorkerResponse};
use std::time::Duration;

/// The header with the ID of the worker incarnation that a request is addressed to.
const TARGET_HEADER: &str = "Spanlead-Target-Instance";

const OK_STATUS: u16 = 200;
/// The status of a request that reached another incarnation of the worker.
const MISDIRECTED_STATUS: u16 = 421;
const UNAVAILABLE_STATUS: u16 = 503;
/// The statuses of requests that were not carried out because of what they ask.
const CLIENT_ERROR_MIN_STATUS: u16 = 400;
const CLIENT_ERROR_MAX_STATUS: u16 = 499;

/// The progress of a call.
#[derive(Clone, Copy, Debug)]
enum CallProgress {
    /// The call waits for a connection slot.
    WaitingForSlot,
    /// The connection is being established.
    Connecting,
    /// The request may have reached the worker.
    Sent,
}

/// A client for calls to workers over a bounded pool of persistent connections. Clones share the
/// pool.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    pool: ConnectionPool,
}

impl WorkerClient {
    /// Creates a client with at most `max_connections` open connections.
    #[must_use]
    pub fn new(max_connections: usize) -> Self {
        WorkerClient { pool: ConnectionPool::new(max_connections) }
    }

    /// Makes a call in a separate task, and passes the call and its result to `on_done`.
    pub fn spawn(&self, call: WorkerCall, on_done: impl FnOnce(WorkerCall, WorkerResponse) + Send + 'static) {
        let client = self.clone();
        task::spawn(async move {
            let call_timeout = Duration::from_millis(call.timeout_ms);
            let mut progress = CallProgress::WaitingForSlot;
            let response = timeout(call_timeout, client.call(&call, &mut progress)).await;
            let response = response.unwrap_or_else(|_| result_without_response(&call.request, progress));
            on_done(call, response);
        });
    }

    async fn call(&self, call: &WorkerCall, progress: &mut CallProgress) -> WorkerResponse {
        let Some(request) = http_request(call) else { return result_of_unsent_call() };
        let Ok(bytes) = client::encode(request).await else { return result_of_unsent_call() };
        let slot = self.pool.acquire(&call.address).await;
        *progress = CallProgress::Connecting;
        let Some(mut stream) = slot.connect().await else {
            return result_without_response(&call.request, CallProgress::Connecting);
        };
        *progress = CallProgress::Sent;
        match client::call(&mut stream, &bytes).await {
            Ok(response) => {
                if response.reusable {
                    slot.keep(stream);
                }
                worker_response(call, response.status, &response.body)
            }
            Err(error) => {
                log::debug!("worker call failed address={} error={error}", call.address);
                WorkerResponse::NoResponse
            }
        }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.pool.close_idle();
    }

    /// Returns the numbers of open and of idle connections.
    #[must_use]
    pub fn connections(&self) -> ConnectionCount {
        self.pool.connections()
    }
}

/// Returns the result of a call that timed out or for which no connection could be established.
///
/// A worker to which no connection can be established is reported as not responding, since it may
/// have left. Only a start is reported as not sent, so that its task can be placed elsewhere at
/// once.
fn result_without_response(request: &WorkerRequest, progress: CallProgress) -> WorkerResponse {
    match (progress, request) {
        (CallProgress::WaitingForSlot, _) | (CallProgress::Connecting, WorkerRequest::Start { .. }) => {
            result_of_unsent_call()
        }
        (CallProgress::Connecting | CallProgress::Sent, _) => WorkerResponse::NoResponse,
    }
}

/// Returns the result of a call that was not sent. Like a call that the worker rejected, it can be
/// made again.
fn result_of_unsent_call() -> WorkerResponse {
    WorkerResponse::Rejected { status: UNAVAILABLE_STATUS, reason: CompactString::default() }
}

fn http_request(call: &WorkerCall) -> Option<Request> {
    let content = RequestContent::new(call)?;
    let url = Url::parse(&format!("http://{}/{}", call.address, content.path)).ok()?;
    let mut request = Request::new(Method::Post, url);
    request.set_body(Body::from_bytes(content.body));
    request.set_content_type(mime::JSON);
    request.insert_header(TARGET_HEADER, &*call.worker_id);
    Some(request)
}

fn worker_response(call: &WorkerCall, status: u16, body: &[u8]) -> WorkerResponse {
    if status == MISDIRECTED_STATUS {
        return WorkerResponse::WrongIncarnation;
    }
    let body: ResponseBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(_) if status != OK_STATUS => ResponseBody::default(),
        Err(error) => {
            log::warn!("worker response can't be read address={} error={error}", call.address);
            return WorkerResponse::NoResponse;
        }
    };
    match (status, &call.request) {
        (OK_STATUS, WorkerRequest::RenewLease { .. }) => WorkerResponse::Report(body.into_report()),
        (OK_STATUS, _) => WorkerResponse::Acknowledged { clock_ms: body.clock_ms },
        (CLIENT_ERROR_MIN_STATUS..=CLIENT_ERROR_MAX_STATUS | UNAVAILABLE_STATUS, _) => {
            WorkerResponse::Rejected { status, reason: body.reason }
        }
        // Any other status does not exclude that the worker has carried the call out.
        _ => WorkerResponse::NoResponse,
    }
}
