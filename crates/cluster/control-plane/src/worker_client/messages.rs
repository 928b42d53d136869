//! The JSON bodies of requests to workers and of their responses.
//!
//! The names of the fields in JSON are part of the workers' protocol.
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use spanlead_job_scheduler::{FinishedTask, RunningTask, TaskId, WorkerCall, WorkerReport, WorkerRequest};

/// The number of run ends that a worker lists in one report at most.
const MAX_REPORTED_ENDS: usize = 500;

/// The path and the body of a request.
pub(super) struct RequestContent {
    pub(super) path: &'static str,
    pub(super) body: Vec<u8>,
}

/// The body of a [`WorkerRequest::Start`].
#[derive(Serialize)]
struct StartBody<'a> {
    task: String,
    run: u32,
    #[serde(rename = "spec")]
    payload: &'a str,
    #[serde(rename = "untilMs")]
    lease_expires_at_ms: u64,
    #[serde(rename = "fenceToken")]
    fencing_token: u64,
    #[serde(rename = "checkpointed", skip_serializing_if = "str::is_empty")]
    checkpoint: &'a str,
}

/// The body of a [`WorkerRequest::Stop`].
#[derive(Serialize)]
struct StopBody {
    task: String,
    run: u32,
    #[serde(rename = "fenceToken")]
    fencing_token: u64,
}

/// The body of a [`WorkerRequest::RenewLease`].
#[derive(Serialize)]
struct RenewLeaseBody {
    #[serde(rename = "untilMs", skip_serializing_if = "Option::is_none")]
    lease_expires_at_ms: Option<u64>,
    #[serde(rename = "fenceToken")]
    fencing_token: u64,
    #[serde(rename = "lastSeen")]
    acknowledged_end: u64,
    #[serde(rename = "waitMs", skip_serializing_if = "is_zero")]
    wait_ms: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// The body of any response. Fields that a response lacks have their default values.
#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
pub(super) struct ResponseBody {
    pub(super) clock_ms: u64,
    pub(super) reason: CompactString,
    running: Vec<RunningEntry>,
    finished: Vec<FinishedEntry>,
    #[serde(rename = "remainingMs")]
    drain_remaining_ms: Option<u64>,
}

/// A running task: the task ID, the number of the run, the checkpoint and the progress in percent.
#[derive(Deserialize)]
struct RunningEntry(CompactString, u32, CompactString, f64);

/// A finished run: the number of the run end, the task ID, the number of the run, the outcome and
/// the checkpoint.
#[derive(Deserialize)]
struct FinishedEntry(u64, CompactString, u32, CompactString, CompactString);

impl RequestContent {
    /// Creates the content of a call; returns `None` if it can't be serialised.
    pub(super) fn new(call: &WorkerCall) -> Option<Self> {
        let fencing_token = call.fencing_token;
        let (path, body) = match &call.request {
            WorkerRequest::Start { task, run, payload, lease_expires_at_ms, checkpoint } => {
                let body = StartBody {
                    task: task.to_string(),
                    run: *run,
                    payload,
                    lease_expires_at_ms: *lease_expires_at_ms,
                    fencing_token,
                    checkpoint,
                };
                ("run-start", serde_json::to_vec(&body))
            }
            WorkerRequest::Stop { task, run } => (
                "run-stop",
                serde_json::to_vec(&StopBody { task: task.to_string(), run: *run, fencing_token }),
            ),
            WorkerRequest::RenewLease { lease_expires_at_ms, acknowledged_end, wait_ms, .. } => {
                let body = RenewLeaseBody {
                    lease_expires_at_ms: *lease_expires_at_ms,
                    fencing_token,
                    acknowledged_end: *acknowledged_end,
                    wait_ms: *wait_ms,
                };
                ("hold", serde_json::to_vec(&body))
            }
        };
        Some(RequestContent { path, body: body.ok()? })
    }
}

impl ResponseBody {
    /// Converts the response to a lease renewal into a report. Tasks whose IDs can't be parsed are
    /// omitted: they do not belong to this scheduler.
    pub(super) fn into_report(self) -> WorkerReport {
        // The limit applies to all listed ends, including those that are omitted below.
        let lists_all_ends = self.finished.len() < MAX_REPORTED_ENDS;
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
            lists_all_ends,
            drain_remaining_ms: self.drain_remaining_ms,
        }
    }
}
