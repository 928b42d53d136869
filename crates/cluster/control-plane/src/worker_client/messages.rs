//! The bodies of requests to workers and of their responses, JSON.
//!
//! The names of fields belong to the workers' protocol.
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use spanlead_job_scheduler::{FinishedTask, RunningTask, TaskId, WorkerCall, WorkerReport, WorkerRequest};

/// A request's path and body.
pub(super) struct RequestContent {
    pub(super) path: &'static str,
    pub(super) body: Vec<u8>,
}

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
struct RenewLeaseBody {
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

/// The body of any response. Fields that a response does not have are left at their defaults.
#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
pub(super) struct ResponseBody {
    pub(super) clock_ms: u64,
    pub(super) reason: CompactString,
    running: Vec<RunningEntry>,
    finished: Vec<FinishedEntry>,
    remaining_ms: Option<u64>,
}

/// Task, run, checkpoint, progress in percent.
#[derive(Deserialize)]
struct RunningEntry(CompactString, u32, CompactString, f64);

/// Number of the end, task, run, outcome, checkpoint.
#[derive(Deserialize)]
struct FinishedEntry(u64, CompactString, u32, CompactString, CompactString);

impl RequestContent {
    /// The content of a call; `None` if it can't be serialised.
    pub(super) fn new(call: &WorkerCall) -> Option<Self> {
        let fence_token = call.fencing_token;
        let (path, body) = match &call.request {
            WorkerRequest::Start { task, run, payload, lease_expires_at_ms, checkpoint } => {
                let body = StartBody {
                    task: task.to_string(),
                    run: *run,
                    spec: payload,
                    until_ms: *lease_expires_at_ms,
                    fence_token,
                    checkpointed: checkpoint,
                };
                ("run-start", serde_json::to_vec(&body))
            }
            WorkerRequest::Stop { task, run } => {
                ("run-stop", serde_json::to_vec(&StopBody { task: task.to_string(), run: *run, fence_token }))
            }
            WorkerRequest::RenewLease { lease_expires_at_ms, acknowledged_end, wait_ms, .. } => {
                let body = RenewLeaseBody {
                    until_ms: *lease_expires_at_ms,
                    fence_token,
                    last_seen: *acknowledged_end,
                    wait_ms: *wait_ms,
                };
                ("hold", serde_json::to_vec(&body))
            }
        };
        Some(RequestContent { path, body: body.ok()? })
    }
}

impl ResponseBody {
    /// The report in the response to a lease renewal. Tasks whose names can't be parsed are left
    /// out: they are none of this scheduler's.
    pub(super) fn into_report(self) -> WorkerReport {
        let running = self.running.into_iter().filter_map(|RunningEntry(task, run, checkpoint, percent)| {
            Some(RunningTask { task: TaskId::parse(&task)?, run, checkpoint, progress_percent: percent })
        });
        let finished =
            self.finished.into_iter().filter_map(|FinishedEntry(number, task, run, outcome, checkpoint)| {
                Some(FinishedTask { number, task: TaskId::parse(&task)?, run, outcome, checkpoint })
            });
        WorkerReport {
            clock_ms: self.clock_ms,
            running: running.collect(),
            finished: finished.collect(),
            drain_remaining_ms: self.remaining_ms,
        }
    }
}
