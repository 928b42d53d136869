//! Calls to workers.
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

/// The header with the incarnation of the worker for which a request is meant.
const TARGET_HEADER: &str = "Spanlead-Target-Instance";

const OK_STATUS: u16 = 200;
const MISDIRECTED_STATUS: u16 = 421;
const UNAVAILABLE_STATUS: u16 = 503;

/// How far a call has come.
#[derive(Clone, Copy, Debug)]
enum CallProgress {
    /// It waits for the right to a connection.
    WaitingForSlot,
    /// A connection is being established.
    Connecting,
    /// It may have reached the worker.
    Sent,
}

/// Calls workers over kept connections, of which there is a bounded number. Clones share them.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    pool: ConnectionPool,
}

impl WorkerClient {
    /// A client with up to `max_connections` open at a time.
    #[must_use]
    pub fn new(max_connections: usize) -> Self {
        WorkerClient { pool: ConnectionPool::new(max_connections) }
    }

    /// Makes a call in a task of its own, and passes it on with what it came to.
    pub fn spawn(&self, call: WorkerCall, on_done: impl FnOnce(WorkerCall, WorkerResponse) + Send + 'static) {
        let client = self.clone();
        task::spawn(async move {
            let call_timeout = Duration::from_millis(call.timeout_ms);
            let mut progress = CallProgress::WaitingForSlot;
            let response = timeout(call_timeout, client.call(&call, &mut progress)).await;
            let response = response.unwrap_or_else(|_| unanswered(&call.request, progress));
            on_done(call, response);
        });
    }

    async fn call(&self, call: &WorkerCall, progress: &mut CallProgress) -> WorkerResponse {
        let Some(request) = http_request(call) else { return not_sent() };
        let Ok(bytes) = client::encode(request).await else { return not_sent() };
        let slot = self.pool.acquire(&call.address).await;
        *progress = CallProgress::Connecting;
        let Some(mut stream) = slot.connect().await else {
            return unanswered(&call.request, CallProgress::Connecting);
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

    /// How many connections there are.
    #[must_use]
    pub fn connections(&self) -> ConnectionCount {
        self.pool.connections()
    }
}

/// What a call comes to that was not answered in time.
///
/// A worker to which no connection can be established is unreachable, as it may have left. Only for a
/// start it matters more that it was not sent: it can be placed elsewhere at once.
fn unanswered(request: &WorkerRequest, progress: CallProgress) -> WorkerResponse {
    match (progress, request) {
        (CallProgress::WaitingForSlot, _) | (CallProgress::Connecting, WorkerRequest::Start { .. }) => {
            not_sent()
        }
        (CallProgress::Connecting | CallProgress::Sent, _) => WorkerResponse::NoResponse,
    }
}

/// What a call comes to that was not sent: as one that the worker rejected, it can be made again.
fn not_sent() -> WorkerResponse {
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
        _ => WorkerResponse::Rejected { status, reason: body.reason },
    }
}
