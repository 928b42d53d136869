//! Calls to workers.
use crate::pool::Pool;
use async_std::future::timeout;
use async_std::task;
use compact_str::CompactString;
use http_types::{Body, Method, Request, Url, mime};
use serde::{Deserialize, Serialize};
use spanlead_cluster_runtime::http::client;
use spanlead_job_scheduler::{
    FinishedTask, RunningTask, TaskId, WorkerCall, WorkerReport, WorkerRequest, WorkerResponse,
};
use std::time::Duration;

/// The header that names the incarnation that is meant.
const TARGET: &str = "Spanlead-Target-Instance";

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct StartBody<'a> {
    task: String,
    run: u32,
    spec: &'a str,
    until_ms: u64,
    fence_token: u64,
    #[serde(skip_serializing_if = "str::is_empty")]
    checkpointed: &'a str,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct StopBody {
    task: String,
    run: u32,
    fence_token: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct HoldBody {
    #[serde(skip_serializing_if = "Option::is_none")]
    until_ms: Option<u64>,
    fence_token: u64,
    last_seen: u64,
    #[serde(skip_serializing_if = "is_zero")]
    wait_ms: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
struct AnswerBody {
    clock_ms: u64,
    reason: CompactString,
    running: Vec<(CompactString, u32, CompactString, f64)>,
    finished: Vec<(u64, CompactString, u32, CompactString, CompactString)>,
    remaining_ms: Option<u64>,
}

/// How far a call is.
#[derive(Clone, Copy, Debug)]
enum Progress {
    /// It waits for the right to a connection.
    Waiting,
    /// A connection is being made.
    Connecting,
    /// It may have reached the worker.
    Sent,
}

/// Makes calls to workers, over connections that are kept and of which there is a bounded number.
#[derive(Clone, Debug)]
pub struct WorkerCalls {
    pool: Pool,
}

impl WorkerCalls {
    /// Calls over at most so many connections at a time.
    #[must_use]
    pub fn new(connections: usize) -> Self {
        WorkerCalls { pool: Pool::new(connections) }
    }

    /// Makes a call and tells what came of it.
    pub fn spawn(&self, call: WorkerCall, done: impl FnOnce(WorkerCall, WorkerResponse) + Send + 'static) {
        let calls = self.clone();
        task::spawn(async move {
            let limit = Duration::from_millis(call.timeout_ms);
            let mut progress = Progress::Waiting;
            let answer = timeout(limit, calls.call(&call, &mut progress)).await;
            let reply = answer.unwrap_or_else(|_| unanswered(&call.request, progress));
            done(call, reply);
        });
    }

    async fn call(&self, call: &WorkerCall, progress: &mut Progress) -> WorkerResponse {
        let Some(request) = request(call) else { return not_sent() };
        let Ok(bytes) = client::encode(request).await else { return not_sent() };
        let place = self.pool.place(&call.address).await;
        *progress = Progress::Connecting;
        let mut stream = match place.stream().await {
            Some(stream) => stream,
            // The worker may be gone.
            None => return unanswered(&call.request, Progress::Connecting),
        };
        *progress = Progress::Sent;
        match client::call(&mut stream, &bytes).await {
            Ok(answer) => {
                if answer.reusable {
                    place.keep(stream);
                }
                reply(call, answer.status, &answer.body)
            }
            Err(error) => {
                log::debug!("{}: {error}", call.address);
                WorkerResponse::NoResponse
            }
        }
    }

    /// Closes all kept connections.
    pub fn forget(&self) {
        self.pool.forget();
    }

    /// Connections that are open or being made, and those of them that are idle.
    #[must_use]
    pub fn connections(&self) -> (usize, usize) {
        self.pool.connections()
    }
}

/// What a call that was not answered in time comes to. A worker to which no connection can be made is silent; only of a
/// start it matters more that it was never sent.
fn unanswered(order: &WorkerRequest, progress: Progress) -> WorkerResponse {
    match (progress, order) {
        (Progress::Waiting, _) | (Progress::Connecting, WorkerRequest::Start { .. }) => not_sent(),
        (Progress::Connecting | Progress::Sent, _) => WorkerResponse::NoResponse,
    }
}

/// The answer to a call that was never sent: as one that the worker turned away, it can be made again.
fn not_sent() -> WorkerResponse {
    WorkerResponse::Rejected { status: 503, reason: CompactString::default() }
}

fn request(call: &WorkerCall) -> Option<Request> {
    let (path, body) = match &call.request {
        WorkerRequest::Start { task, run, payload, lease_expires_at_ms, checkpoint } => {
            let body = StartBody {
                task: task.to_string(),
                run: *run,
                spec: payload,
                until_ms: *lease_expires_at_ms,
                fence_token: call.fencing_token,
                checkpointed: checkpoint,
            };
            ("run-start", serde_json::to_vec(&body))
        }
        WorkerRequest::Stop { task, run } => {
            let body = StopBody { task: task.to_string(), run: *run, fence_token: call.fencing_token };
            ("run-stop", serde_json::to_vec(&body))
        }
        WorkerRequest::RenewLease { lease_expires_at_ms, acknowledged_end, wait_ms, .. } => {
            let body = HoldBody {
                until_ms: *lease_expires_at_ms,
                fence_token: call.fencing_token,
                last_seen: *acknowledged_end,
                wait_ms: *wait_ms,
            };
            ("hold", serde_json::to_vec(&body))
        }
    };
    let url = Url::parse(&format!("http://{}/{path}", call.address)).ok()?;
    let mut request = Request::new(Method::Post, url);
    request.set_body(Body::from_bytes(body.ok()?));
    request.set_content_type(mime::JSON);
    request.insert_header(TARGET, &*call.worker_id);
    Some(request)
}

fn reply(call: &WorkerCall, status: u16, bytes: &[u8]) -> WorkerResponse {
    if status == 421 {
        return WorkerResponse::WrongIncarnation;
    }
    let body: AnswerBody = match serde_json::from_slice(bytes) {
        Ok(body) => body,
        Err(_) if status != 200 => AnswerBody::default(),
        Err(error) => {
            log::warn!("{}: answer can't be read: {error}", call.address);
            return WorkerResponse::NoResponse;
        }
    };
    match (status, &call.request) {
        (200, WorkerRequest::RenewLease { .. }) => WorkerResponse::Report(report(body)),
        (200, _) => WorkerResponse::Acknowledged { clock_ms: body.clock_ms },
        _ => WorkerResponse::Rejected { status, reason: body.reason },
    }
}

fn report(body: AnswerBody) -> WorkerReport {
    let running = body.running.into_iter().filter_map(|(task, run, checkpoint, progress_percent)| {
        Some(RunningTask { task: TaskId::parse(&task)?, run, checkpoint, progress_percent })
    });
    let finished = body.finished.into_iter().filter_map(|(number, task, run, outcome, checkpoint)| {
        Some(FinishedTask { number, task: TaskId::parse(&task)?, run, outcome, checkpoint })
    });
    WorkerReport {
        clock_ms: body.clock_ms,
        running: running.collect(),
        finished: finished.collect(),
        drain_remaining_ms: body.remaining_ms,
    }
}
