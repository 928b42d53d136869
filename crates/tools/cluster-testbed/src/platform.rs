//! The simulated platform: the workers, their clock, and the list of them over HTTP.
use crate::gang::finish_gangs;
use crate::http_response::json_response;
use crate::process_control::Ports;
use crate::safety_checker::SafetyChecker;
use crate::simulated_worker::{SimulatedWorker, WorkerLimits};
use async_std::task;
use compact_str::CompactString;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::{Value, json};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tide::Request;

/// The address at which the list of workers is served.
pub const WORKER_LIST_IP: &str = "127.71.4.1";
/// The third octet of the addresses of the first workers.
const FIRST_WORKER_NETWORK: usize = 16;
/// The number of workers whose addresses differ only in the last octet.
const WORKERS_PER_NETWORK: usize = 250;
/// How often time passes for the workers.
pub(crate) const STEP_INTERVAL: Duration = Duration::from_millis(10);
/// Where the platform's clock starts, milliseconds.
const CLOCK_START_MS: u64 = 1_000_000;
/// How long a new incarnation is missing from the list, milliseconds.
const LIST_LAG_MS: u64 = 800;
/// The requests that a worker serves at once, as the list shows them.
const LISTED_SLOTS: u32 = 8;
/// The name of a page's token in the query.
const PAGE_TOKEN: &str = "pageToken";

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

/// How the list of workers is served. A page's token is the number of entries before it, so entries
/// shift between two pages when the list changes.
#[derive(Clone, Copy, Debug)]
pub struct ListOptions {
    /// The number of workers on a page.
    pub page_size: usize,
    /// The longest time that a page takes, milliseconds.
    pub max_page_delay_ms: u64,
}

impl Default for ListOptions {
    fn default() -> Self {
        ListOptions { page_size: 50, max_page_delay_ms: 0 }
    }
}

/// How a worker is out of reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerCut {
    /// Calls do not reach it, and its responses are lost.
    BothWays,
    /// Calls reach it, and its responses are lost.
    Responses,
}

/// The fleet, shared by its servers.
#[derive(Clone, Debug)]
pub struct Platform {
    fleet: Arc<Mutex<Fleet>>,
    list_options: ListOptions,
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
        Platform {
            fleet: Arc::new(Mutex::new(fleet)),
            list_options: ListOptions::default(),
            started_at: Instant::now(),
        }
    }

    /// Starts the servers of `workers` simulated workers and of their list.
    #[must_use]
    pub fn start(workers: usize, seed: u64, ports: Ports, list_options: ListOptions) -> Self {
        let address = |index: usize| format!("{}:{}", worker_ip(index), ports.worker());
        let addresses: Vec<String> = (0..workers).map(address).collect();
        let platform = Platform { list_options, ..Platform::new(&addresses, seed) };
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
        successor.limits = worker.limits;
        *worker = successor;
    }

    /// Sets the time limits of all workers.
    pub fn set_worker_limits(&self, limits: WorkerLimits) {
        for worker in &mut self.fleet().workers {
            worker.limits = limits;
        }
    }

    /// Lets a worker stand still for `for_ms`.
    pub fn freeze_worker(&self, worker_index: usize, for_ms: u64) {
        let until_ms = self.now_ms() + for_ms;
        self.fleet().workers[worker_index].frozen_until_ms = until_ms;
    }

    /// Puts a worker out of reach for `for_ms`.
    pub fn cut_worker(&self, worker_index: usize, for_ms: u64, cut: WorkerCut) {
        let until_ms = self.now_ms() + for_ms;
        let worker = &mut self.fleet().workers[worker_index];
        match cut {
            WorkerCut::BothWays => worker.partitioned_until_ms = until_ms,
            WorkerCut::Responses => worker.mute_until_ms = until_ms,
        }
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
            let token = request.url().query_pairs().find(|(name, _)| name == PAGE_TOKEN);
            let first = token.and_then(|(_, token)| token.parse().ok()).unwrap_or(0);
            let platform = request.state();
            task::sleep(platform.page_delay()).await;
            json_response(200, &platform.page(first))
        });
        app.listen(address).await
    }

    /// How long the next page takes.
    fn page_delay(&self) -> Duration {
        let max_ms = self.list_options.max_page_delay_ms;
        Duration::from_millis(self.fleet().rng.random_range(0..=max_ms))
    }

    /// The page of the present list that begins with the entry of this number.
    fn page(&self, first: usize) -> Value {
        let list = self.list();
        let end = first.saturating_add(self.list_options.page_size).min(list.len());
        let instances = list.get(first..end).unwrap_or_default();
        let next_token = (end < list.len()).then(|| end.to_string());
        json!({ "instances": instances, "nextToken": next_token })
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

/// The IP address of the worker with an index.
fn worker_ip(index: usize) -> String {
    let network = FIRST_WORKER_NETWORK + index / WORKERS_PER_NETWORK;
    format!("127.71.{network}.{}", index % WORKERS_PER_NETWORK + 1)
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
