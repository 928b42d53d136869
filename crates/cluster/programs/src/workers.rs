//! Calls to workers.
use crate::http::client;
use crate::pool::Pool;
use async_std::future::timeout;
use async_std::task;
use compact_str::CompactString;
use http_types::{Body, Method, Request, Url, mime};
use serde::{Deserialize, Serialize};
use spanlead_job_scheduler::{Call, FinishedTask, Order, Reply, RunningTask, TaskKey, WorkerReport};
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
    pub fn spawn(&self, call: Call, done: impl FnOnce(Call, Reply) + Send + 'static) {
        let calls = self.clone();
        task::spawn(async move {
            let limit = Duration::from_millis(call.timeout_ms);
            let mut progress = Progress::Waiting;
            let answer = timeout(limit, calls.call(&call, &mut progress)).await;
            let reply = answer.unwrap_or_else(|_| unanswered(&call.order, progress));
            done(call, reply);
        });
    }

    async fn call(&self, call: &Call, progress: &mut Progress) -> Reply {
        let Some(request) = request(call) else { return not_sent() };
        let Ok(bytes) = client::encode(request).await else { return not_sent() };
        let place = self.pool.place(&call.address).await;
        *progress = Progress::Connecting;
        let mut stream = match place.stream().await {
            Some(stream) => stream,
            // The worker may be gone.
            None => return unanswered(&call.order, Progress::Connecting),
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
                Reply::Silence
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
fn unanswered(order: &Order, progress: Progress) -> Reply {
    match (progress, order) {
        (Progress::Waiting, _) | (Progress::Connecting, Order::Start { .. }) => not_sent(),
        (Progress::Connecting | Progress::Sent, _) => Reply::Silence,
    }
}

/// The answer to a call that was never sent: as one that the worker turned away, it can be made again.
fn not_sent() -> Reply {
    Reply::Refused { status: 503, reason: CompactString::default() }
}

fn request(call: &Call) -> Option<Request> {
    let (path, body) = match &call.order {
        Order::Start { task, run, spec, until_ms, checkpointed } => {
            let body = StartBody {
                task: task.to_string(),
                run: *run,
                spec,
                until_ms: *until_ms,
                fence_token: call.fence,
                checkpointed,
            };
            ("run-start", serde_json::to_vec(&body))
        }
        Order::Stop { task, run } => {
            let body = StopBody { task: task.to_string(), run: *run, fence_token: call.fence };
            ("run-stop", serde_json::to_vec(&body))
        }
        Order::Hold { until_ms, last_seen, wait_ms, .. } => {
            let body = HoldBody {
                until_ms: *until_ms,
                fence_token: call.fence,
                last_seen: *last_seen,
                wait_ms: *wait_ms,
            };
            ("hold", serde_json::to_vec(&body))
        }
    };
    let url = Url::parse(&format!("http://{}/{path}", call.address)).ok()?;
    let mut request = Request::new(Method::Post, url);
    request.set_body(Body::from_bytes(body.ok()?));
    request.set_content_type(mime::JSON);
    request.insert_header(TARGET, &*call.worker);
    Some(request)
}

fn reply(call: &Call, status: u16, bytes: &[u8]) -> Reply {
    if status == 421 {
        return Reply::Misdirected;
    }
    let body: AnswerBody = match serde_json::from_slice(bytes) {
        Ok(body) => body,
        Err(_) if status != 200 => AnswerBody::default(),
        Err(error) => {
            log::warn!("{}: answer can't be read: {error}", call.address);
            return Reply::Silence;
        }
    };
    match (status, &call.order) {
        (200, Order::Hold { .. }) => Reply::Report(report(body)),
        (200, _) => Reply::Done { clock_ms: body.clock_ms },
        _ => Reply::Refused { status, reason: body.reason },
    }
}

fn report(body: AnswerBody) -> WorkerReport {
    let running = body.running.into_iter().filter_map(|(task, run, saved, percent)| {
        Some(RunningTask { task: TaskKey::read(&task)?, run, saved, percent })
    });
    let finished = body.finished.into_iter().filter_map(|(number, task, run, how, saved)| {
        Some(FinishedTask { number, task: TaskKey::read(&task)?, run, how, saved })
    });
    WorkerReport {
        clock_ms: body.clock_ms,
        running: running.collect(),
        finished: finished.collect(),
        remaining_ms: body.remaining_ms,
    }
}
