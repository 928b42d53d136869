//! The worker protocol over HTTP, as the simulated workers serve it.
use crate::http_response::json_response;
use crate::platform::{Fleet, Platform, STEP_INTERVAL};
use crate::simulated_worker::SimulatedWorker;
use async_std::task;
use compact_str::CompactString;
use rand::Rng;
use serde::Deserialize;
use serde_json::{Value, json};
use spanlead_job_scheduler::{TaskId, WorkerCall, WorkerReport, WorkerRequest, WorkerResponse};
use std::ops::Range;
use std::time::Duration;
use tide::{Request, Response, StatusCode};

/// The header with the incarnation that a call is meant for.
const TARGET_HEADER: &str = "Spanlead-Target-Instance";
/// How late a call without response is carried out, milliseconds.
const LATE_CALL_DELAY_MS: Range<u64> = 2_000..12_000;
/// How long a call that gets no response is kept open: longer than any time-out of the scheduler.
const NO_RESPONSE_DELAY: Duration = Duration::from_secs(15);
/// The longest that a renewal waits for an end, milliseconds.
const MAX_RENEWAL_WAIT_MS: u64 = 2_000;

/// The state of one worker's server.
#[derive(Clone, Debug)]
struct WorkerServer {
    platform: Platform,
    worker_index: usize,
}

/// A call of the worker protocol.
#[derive(Clone, Copy)]
enum CallKind {
    Start,
    Stop,
    RenewLease,
}

/// The body of a call.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct CallBody {
    task: Option<String>,
    run: Option<u32>,
    #[serde(rename = "untilMs")]
    lease_expires_at_ms: Option<u64>,
    #[serde(default, rename = "fenceToken")]
    fencing_token: u64,
    #[serde(default, rename = "lastSeen")]
    acknowledged_end: u64,
    #[serde(default)]
    wait_ms: u64,
}

impl Platform {
    /// Serves one worker at an address, `IP:port`.
    ///
    /// # Errors
    /// If the address can't be listened at.
    pub async fn serve_worker(self, worker_index: usize, address: String) -> std::io::Result<()> {
        let mut app = tide::with_state(WorkerServer { platform: self, worker_index });
        app.at("/run-start").post(|request| handle_call(request, CallKind::Start));
        app.at("/run-stop").post(|request| handle_call(request, CallKind::Stop));
        app.at("/hold").post(|request| handle_call(request, CallKind::RenewLease));
        app.listen(address).await
    }
}

impl WorkerServer {
    /// Delivers a call to the worker; `None` if its response is lost. Such a call is not carried
    /// out, or late, or at once.
    async fn deliver(&self, call: WorkerCall) -> Option<WorkerResponse> {
        if self.is_partitioned() {
            return None;
        }
        if let Some(delay) = self.late_call_delay() {
            let server = self.clone();
            task::spawn(async move {
                task::sleep(delay).await;
                server.carry_out(&call);
            });
            return None;
        }
        self.wait_while_frozen().await;
        let response = match self.carry_out(&call) {
            Some(response) => response,
            None => self.wait_for_end(&call).await,
        };
        let now_ms = self.platform.now_ms();
        let loses_response = self.with_worker(|worker| worker.loses_responses(now_ms));
        (!loses_response).then_some(response)
    }

    fn with_worker<R>(&self, read: impl FnOnce(&SimulatedWorker) -> R) -> R {
        read(&self.platform.fleet().workers[self.worker_index])
    }

    fn is_partitioned(&self) -> bool {
        let now_ms = self.platform.now_ms();
        self.with_worker(|worker| now_ms < worker.partitioned_until_ms)
    }

    async fn wait_while_frozen(&self) {
        while self.with_worker(|worker| worker.is_frozen(self.platform.now_ms())) {
            task::sleep(STEP_INTERVAL).await;
        }
    }

    /// How late the next call is carried out, if it is one of the late ones.
    fn late_call_delay(&self) -> Option<Duration> {
        let mut fleet = self.platform.fleet();
        let late_share = fleet.late_share;
        let is_late = fleet.rng.random_bool(late_share);
        is_late.then(|| Duration::from_millis(fleet.rng.random_range(LATE_CALL_DELAY_MS)))
    }

    /// Carries a call out; `None` for a lease that was renewed, whose response may wait for an end.
    fn carry_out(&self, call: &WorkerCall) -> Option<WorkerResponse> {
        let now_ms = self.platform.now_ms();
        let mut fleet = self.platform.fleet();
        let Fleet { workers, checker, rng, .. } = &mut *fleet;
        let worker = &mut workers[self.worker_index];
        worker.advance(now_ms, rng, checker);
        if *worker.id != *call.worker_id {
            return Some(WorkerResponse::WrongIncarnation);
        }
        match call.request {
            WorkerRequest::RenewLease { .. } => worker.renew_lease(now_ms, call, checker),
            _ => Some(worker.handle_order(now_ms, call, checker)),
        }
    }

    /// Responds to a renewal once there is an end to report, or after the time that it may wait.
    async fn wait_for_end(&self, call: &WorkerCall) -> WorkerResponse {
        let WorkerRequest::RenewLease { acknowledged_end, wait_ms, .. } = call.request else {
            return WorkerResponse::NoResponse;
        };
        let due_at_ms = self.platform.now_ms() + wait_ms;
        loop {
            if let Some(response) = self.poll_renewal(call, acknowledged_end, due_at_ms) {
                return response;
            }
            task::sleep(STEP_INTERVAL).await;
        }
    }

    /// The response to a renewal that waits, if it is due.
    fn poll_renewal(
        &self,
        call: &WorkerCall,
        acknowledged_end: u64,
        due_at_ms: u64,
    ) -> Option<WorkerResponse> {
        let now_ms = self.platform.now_ms();
        let fleet = self.platform.fleet();
        let worker = &fleet.workers[self.worker_index];
        if *worker.id != *call.worker_id {
            return Some(WorkerResponse::WrongIncarnation);
        }
        if worker.is_frozen(now_ms) {
            return None;
        }
        let is_due = now_ms >= due_at_ms || worker.has_end_after(acknowledged_end);
        is_due.then(|| WorkerResponse::Report(worker.report(now_ms, acknowledged_end)))
    }
}

async fn handle_call(mut request: Request<WorkerServer>, kind: CallKind) -> tide::Result {
    let server = request.state().clone();
    let target = request.header(TARGET_HEADER).map(|value| value.as_str().to_owned()).unwrap_or_default();
    let body: CallBody = match serde_json::from_slice(&request.body_bytes().await?) {
        Ok(body) => body,
        Err(error) => return json_response(400, &json!({ "reason": error.to_string() })),
    };
    let Some(request) = decode_request(kind, &body) else {
        return json_response(400, &json!({ "reason": "no such order" }));
    };
    let call = WorkerCall {
        worker_id: target.into(),
        address: "".into(),
        request,
        timeout_ms: 0,
        fencing_token: body.fencing_token,
    };
    match server.deliver(call).await {
        Some(response) => encode_response(response),
        None => {
            task::sleep(NO_RESPONSE_DELAY).await;
            Ok(Response::new(StatusCode::ServiceUnavailable))
        }
    }
}

/// `None` if the body lacks what the call needs.
fn decode_request(kind: CallKind, body: &CallBody) -> Option<WorkerRequest> {
    let task = body.task.as_deref().and_then(TaskId::parse);
    match kind {
        CallKind::Start => Some(WorkerRequest::Start {
            task: task?,
            run: body.run?,
            payload: "".into(),
            lease_expires_at_ms: body.lease_expires_at_ms.unwrap_or(0),
            checkpoint: CompactString::default(),
        }),
        CallKind::Stop => Some(WorkerRequest::Stop { task: task?, run: body.run? }),
        CallKind::RenewLease => Some(WorkerRequest::RenewLease {
            serial: 0,
            lease_expires_at_ms: body.lease_expires_at_ms,
            acknowledged_end: body.acknowledged_end,
            wait_ms: body.wait_ms.min(MAX_RENEWAL_WAIT_MS),
        }),
    }
}

fn encode_response(response: WorkerResponse) -> tide::Result {
    match response {
        WorkerResponse::Acknowledged { clock_ms } => json_response(200, &json!({ "clockMs": clock_ms })),
        WorkerResponse::Rejected { status, reason } => {
            json_response(status, &json!({ "clockMs": 0, "reason": reason }))
        }
        WorkerResponse::WrongIncarnation => json_response(421, &json!({})),
        WorkerResponse::NoResponse => json_response(503, &json!({})),
        WorkerResponse::Report(report) => json_response(200, &encode_report(&report)),
    }
}

fn encode_report(report: &WorkerReport) -> Value {
    let running = report.running.iter();
    let running: Vec<Value> = running
        .map(|run| json!([run.task.to_string(), run.run, run.checkpoint, run.progress_percent]))
        .collect();
    let finished = report.finished.iter();
    let finished: Vec<Value> = finished
        .map(|end| json!([end.number, end.task.to_string(), end.run, end.outcome, end.checkpoint]))
        .collect();
    json!({ "clockMs": report.clock_ms, "running": running, "finished": finished })
}
