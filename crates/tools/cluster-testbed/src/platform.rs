//! The platform and its workers over HTTP.
use crate::rules::Rules;
use crate::worker::Worker;
use async_std::task;
use compact_str::CompactString;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use spanlead_job_scheduler::{TaskId, WorkerCall, WorkerRequest, WorkerResponse};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tide::{Request, Response, StatusCode};

/// How often time passes for the workers.
const STEP: Duration = Duration::from_millis(10);
/// Where the clock starts, milliseconds.
const BASE_MS: u64 = 1_000_000;
/// How long the list is behind when a worker is new, milliseconds.
const LIST_LAG_MS: u64 = 800;
/// The header that names the incarnation that is meant.
const TARGET: &str = "Spanlead-Target-Instance";

/// All workers, and the rules that watch them.
#[derive(Debug)]
pub struct Fleet {
    /// The workers.
    pub workers: Vec<Worker>,
    /// The checker.
    pub rules: Rules,
    /// The share of orders that go unanswered and are carried out late.
    pub late_share: f64,
    rng: ChaCha8Rng,
}

/// The fleet as its servers share it.
#[derive(Clone, Debug)]
pub struct Platform {
    fleet: Arc<Mutex<Fleet>>,
    started: Instant,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct OrderBody {
    task: Option<String>,
    run: Option<u32>,
    until_ms: Option<u64>,
    #[serde(default)]
    fence_token: u64,
    #[serde(default)]
    last_seen: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Serialize)]
struct Instance {
    id: String,
    service: String,
    address: String,
    zone: String,
    version: &'static str,
    slots: u32,
    state: &'static str,
    capacity: Value,
    labels: Vec<CompactString>,
}

impl Platform {
    /// A fleet whose workers are reached at these addresses.
    #[must_use]
    pub fn new(addresses: &[String], seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let worker = |(i, address): (usize, &String)| {
            let mut worker = Worker::new(i, 0, BASE_MS, &mut rng);
            worker.address.clone_from(address);
            worker
        };
        let workers = addresses.iter().enumerate().map(worker).collect();
        let fleet = Fleet { workers, rules: Rules::default(), late_share: 0.0, rng };
        Platform { fleet: Arc::new(Mutex::new(fleet)), started: Instant::now() }
    }

    /// The fleet.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Milliseconds of the fleet's clock.
    #[must_use]
    pub fn now(&self) -> u64 {
        BASE_MS + self.started.elapsed().as_millis() as u64
    }

    /// Replaces a worker by a new incarnation at the same address.
    pub fn crash(&self, i: usize) {
        let now = self.now();
        let mut fleet = self.fleet();
        let fleet = &mut *fleet;
        let (generation, address) = (fleet.workers[i].generation + 1, fleet.workers[i].address.clone());
        fleet.rules.crashed(&fleet.workers[i].id);
        fleet.workers[i] = Worker::new(i, generation, now, &mut fleet.rng);
        fleet.workers[i].address = address;
    }

    /// Lets the workers' time pass for ever.
    pub async fn pass(self) {
        loop {
            task::sleep(STEP).await;
            let now = self.now();
            let mut fleet = self.fleet();
            let Fleet { workers, rules, rng, .. } = &mut *fleet;
            for worker in workers.iter_mut() {
                worker.pass(now, rng, rules);
            }
            rules.finish_gangs(workers, now);
        }
    }

    /// Serves the list.
    ///
    /// # Errors
    /// If the address can't be listened at.
    pub async fn serve_list(self, address: String) -> std::io::Result<()> {
        let mut app = tide::with_state(self);
        app.at("/instances").get(|request: Request<Platform>| async move {
            let platform = request.state();
            let now = platform.now();
            let fleet = platform.fleet();
            let known = |w: &&Worker| w.generation == 0 || now >= w.born + LIST_LAG_MS;
            let instances: Vec<Instance> = fleet.workers.iter().filter(known).map(instance).collect();
            json_response(200, &json!({ "instances": instances, "nextToken": null }))
        });
        app.listen(address).await
    }

    /// Serves one worker.
    ///
    /// # Errors
    /// If the address can't be listened at.
    pub async fn serve_worker(self, i: usize, address: String) -> std::io::Result<()> {
        let mut app = tide::with_state((self, i));
        app.at("/run-start").post(|request| order(request, "run-start"));
        app.at("/run-stop").post(|request| order(request, "run-stop"));
        app.at("/hold").post(|request| order(request, "hold"));
        app.listen(address).await
    }

    /// Lets an order reach a worker: `None` if its answer is lost.
    async fn reach(&self, i: usize, call: WorkerCall) -> Option<WorkerResponse> {
        let late = {
            let mut fleet = self.fleet();
            let share = fleet.late_share;
            fleet.rng.random_bool(share)
        };
        if late {
            let platform = self.clone();
            let after = Duration::from_millis(self.fleet().rng.random_range(2_000..12_000));
            task::spawn(async move {
                task::sleep(after).await;
                platform.carry_out(i, &call);
            });
            return None;
        }
        match self.carry_out(i, &call) {
            Some(reply) => Some(reply),
            None => Some(self.wait(i, &call).await),
        }
    }

    /// Carries an order out: `None` for a hold that is obeyed and may wait for its answer.
    fn carry_out(&self, i: usize, call: &WorkerCall) -> Option<WorkerResponse> {
        let now = self.now();
        let mut fleet = self.fleet();
        let Fleet { workers, rules, .. } = &mut *fleet;
        let worker = &mut workers[i];
        if *worker.id != *call.worker_id {
            return Some(WorkerResponse::WrongIncarnation);
        }
        match call.request {
            WorkerRequest::RenewLease { .. } => worker.hold(now, call, rules),
            _ => Some(worker.obey(now, call, rules)),
        }
    }

    async fn wait(&self, i: usize, call: &WorkerCall) -> WorkerResponse {
        let WorkerRequest::RenewLease { acknowledged_end: last_seen, wait_ms, .. } = call.request else {
            return WorkerResponse::NoResponse;
        };
        let due = self.now() + wait_ms;
        loop {
            {
                let now = self.now();
                let fleet = self.fleet();
                let worker = &fleet.workers[i];
                if *worker.id != *call.worker_id {
                    return WorkerResponse::WrongIncarnation;
                }
                if now >= due || worker.finished.iter().any(|end| end.number > last_seen) {
                    return WorkerResponse::Report(worker.report(now, last_seen));
                }
            }
            task::sleep(STEP).await;
        }
    }
}

fn instance(worker: &Worker) -> Instance {
    let listed = worker.listed();
    Instance {
        id: listed.id.to_string(),
        service: listed.service.to_string(),
        address: listed.address.to_string(),
        zone: listed.zone.to_string(),
        version: "v1",
        slots: 8,
        state: "ready",
        capacity: json!({ "cpu": listed.cpu_millicores, "memMb": listed.memory_mb, "gpus": listed.gpus }),
        labels: listed.labels,
    }
}

async fn order(mut request: Request<(Platform, usize)>, path: &'static str) -> tide::Result {
    let (platform, i) = request.state().clone();
    let target = request.header(TARGET).map(|value| value.as_str().to_owned()).unwrap_or_default();
    let body: OrderBody = match serde_json::from_slice(&request.body_bytes().await?) {
        Ok(body) => body,
        Err(error) => return json_response(400, &json!({ "reason": error.to_string() })),
    };
    let task = body.task.as_deref().and_then(TaskId::parse);
    let request = match (path, task, body.run) {
        ("run-start", Some(task), Some(run)) => WorkerRequest::Start {
            task,
            run,
            payload: "".into(),
            lease_expires_at_ms: body.until_ms.unwrap_or(0),
            checkpoint: CompactString::default(),
        },
        ("run-stop", Some(task), Some(run)) => WorkerRequest::Stop { task, run },
        ("hold", ..) => WorkerRequest::RenewLease {
            serial: 0,
            lease_expires_at_ms: body.until_ms,
            acknowledged_end: body.last_seen,
            wait_ms: body.wait_ms.min(2_000),
        },
        _ => return json_response(400, &json!({ "reason": "no such order" })),
    };
    let call = WorkerCall {
        worker_id: target.into(),
        address: "".into(),
        request,
        timeout_ms: 0,
        fencing_token: body.fence_token,
    };
    match platform.reach(i, call).await {
        Some(reply) => answer(reply),
        None => {
            task::sleep(Duration::from_secs(15)).await;
            Ok(Response::new(StatusCode::ServiceUnavailable))
        }
    }
}

fn answer(reply: WorkerResponse) -> tide::Result {
    match reply {
        WorkerResponse::Acknowledged { clock_ms } => json_response(200, &json!({ "clockMs": clock_ms })),
        WorkerResponse::Rejected { status, reason } => {
            json_response(status, &json!({ "clockMs": 0, "reason": reason }))
        }
        WorkerResponse::WrongIncarnation => json_response(421, &json!({})),
        WorkerResponse::NoResponse => json_response(503, &json!({})),
        WorkerResponse::Report(report) => {
            let running: Vec<Value> = report
                .running
                .iter()
                .map(|r| json!([r.task.to_string(), r.run, r.checkpoint, r.progress_percent]))
                .collect();
            let finished: Vec<Value> = report
                .finished
                .iter()
                .map(|f| json!([f.number, f.task.to_string(), f.run, f.outcome, f.checkpoint]))
                .collect();
            let body = json!({ "clockMs": report.clock_ms, "running": running, "finished": finished });
            json_response(200, &body)
        }
    }
}

fn json_response(status: u16, body: &Value) -> tide::Result {
    let mut response = Response::new(StatusCode::try_from(status)?);
    response.set_body(body.to_string());
    response.set_content_type(tide::http::mime::JSON);
    Ok(response)
}
