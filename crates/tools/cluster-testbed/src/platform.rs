//! The simulated platform: the workers, their clock, and the list of them over HTTP.
use crate::gang::finish_gangs;
use crate::http_response::json_response;
use crate::process_control::Ports;
use crate::safety_checker::SafetyChecker;
use crate::simulated_worker::SimulatedWorker;
use async_std::task;
use compact_str::CompactString;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::{Value, json};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tide::Request;

/// The address at which the list of workers is served.
pub const WORKER_LIST_IP: &str = "127.71.4.1";
/// How often time passes for the workers.
pub(crate) const STEP_INTERVAL: Duration = Duration::from_millis(10);
/// Where the platform's clock starts, milliseconds.
const CLOCK_START_MS: u64 = 1_000_000;
/// How long a new incarnation is missing from the list, milliseconds.
const LIST_LAG_MS: u64 = 800;
/// The requests that a worker serves at once, as the list shows them.
const LISTED_SLOTS: u32 = 8;

/// All workers, and the checker that watches them.
#[derive(Debug)]
pub struct Fleet {
    /// The workers.
    pub workers: Vec<SimulatedWorker>,
    /// The checker.
    pub checker: SafetyChecker,
    /// The share of calls to workers that get no response and are carried out late, 0 to 1.
    pub late_share: f64,
    pub(crate) rng: ChaCha8Rng,
}

/// The fleet, shared by its servers.
#[derive(Clone, Debug)]
pub struct Platform {
    fleet: Arc<Mutex<Fleet>>,
    started_at: Instant,
}

/// A worker in the list.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
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
    /// A fleet of workers with these addresses, `IP:port`.
    #[must_use]
    pub fn new(addresses: &[String], seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let new_worker = |(index, address): (usize, &String)| {
            let mut worker = SimulatedWorker::new(index, 0, CLOCK_START_MS, &mut rng);
            worker.address.clone_from(address);
            worker
        };
        let workers = addresses.iter().enumerate().map(new_worker).collect();
        let fleet = Fleet { workers, checker: SafetyChecker::default(), late_share: 0.0, rng };
        Platform { fleet: Arc::new(Mutex::new(fleet)), started_at: Instant::now() }
    }

    /// Starts the servers of `workers` simulated workers and of their list.
    #[must_use]
    pub fn start(workers: usize, seed: u64, ports: Ports) -> Self {
        let address = |index: usize| format!("127.71.3.{}:{}", index + 1, ports.worker());
        let addresses: Vec<String> = (0..workers).map(address).collect();
        let platform = Platform::new(&addresses, seed);
        task::spawn(platform.clone().advance_workers());
        task::spawn(platform.clone().serve_list(format!("{WORKER_LIST_IP}:{}", ports.list())));
        for (index, address) in addresses.into_iter().enumerate() {
            task::spawn(platform.clone().serve_worker(index, address));
        }
        platform
    }

    /// Locks the fleet.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The platform's clock, milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        CLOCK_START_MS + self.started_at.elapsed().as_millis() as u64
    }

    /// Replaces a worker by a new incarnation at the same address.
    pub fn crash_worker(&self, worker_index: usize) {
        let now_ms = self.now_ms();
        let mut fleet = self.fleet();
        let Fleet { workers, checker, rng, .. } = &mut *fleet;
        let worker = &mut workers[worker_index];
        checker.record_crash(&worker.id);
        let mut successor = SimulatedWorker::new(worker_index, worker.incarnation + 1, now_ms, rng);
        successor.address.clone_from(&worker.address);
        *worker = successor;
    }

    /// Lets time pass for the workers, without end.
    pub async fn advance_workers(self) {
        loop {
            task::sleep(STEP_INTERVAL).await;
            let now_ms = self.now_ms();
            let mut fleet = self.fleet();
            let Fleet { workers, checker, rng, .. } = &mut *fleet;
            for worker in workers.iter_mut() {
                worker.advance(now_ms, rng, checker);
            }
            finish_gangs(workers, now_ms, checker);
        }
    }

    /// Serves the list of workers at an address, `IP:port`.
    ///
    /// # Errors
    /// If the address can't be listened at.
    pub async fn serve_list(self, address: String) -> std::io::Result<()> {
        let mut app = tide::with_state(self);
        app.at("/instances").get(|request: Request<Platform>| async move {
            let instances = request.state().list();
            json_response(200, &json!({ "instances": instances, "nextToken": null }))
        });
        app.listen(address).await
    }

    /// The workers that the list shows now.
    fn list(&self) -> Vec<Instance> {
        let now_ms = self.now_ms();
        let is_listed = |worker: &&SimulatedWorker| {
            worker.incarnation == 0 || now_ms >= worker.started_at_ms + LIST_LAG_MS
        };
        self.fleet().workers.iter().filter(is_listed).map(instance).collect()
    }
}

fn instance(worker: &SimulatedWorker) -> Instance {
    let listed = worker.to_listed();
    Instance {
        id: listed.id.to_string(),
        service: listed.service.to_string(),
        address: listed.address.to_string(),
        zone: listed.zone.to_string(),
        version: "v1",
        slots: LISTED_SLOTS,
        state: "ready",
        capacity: json!({ "cpu": listed.cpu_millicores, "memMb": listed.memory_mb, "gpus": listed.gpus }),
        labels: listed.labels,
    }
}
