//! Measures how long a job waits while the attributes of many workers change. Run with
//! `cargo run --release -p spanlead-engine --example facts`.
//!
//! The engine processes one input at a time, so the duration of the longest step bounds how long a
//! new job waits for the engine. For each number of workers, the example applies a first full
//! endpoint list, the same list again, the list with all weights changed, an inventory that states
//! the pods and weights of all workers, an inventory that changes all weights, and an empty list.
//! For each of them it prints the duration of the longest step and the time until the last slice is
//! processed.
use spanlead_balancing_policy::{
    DeduplicationScope, EndpointUpdate, Idempotency, Nanos, RequestClass, RequestId, Settings, WorkerState,
};
use spanlead_deployment_settings::Names;
use spanlead_engine::{Engine, Input, InventoryUpdate, JobRequest, WorkerEndpoint};
use spanlead_worker_attributes::{
    AttributeValue, DefaultAttributes, HostRecord, InventorySource, MergedInventory, SourceLocation, Version,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const MS: Nanos = 1_000_000;

struct Measurement {
    engine: Engine,
    now: Nanos,
    request_id: u64,
    longest_step: Duration,
}

impl Measurement {
    fn step(&mut self, input: Input) {
        let mut effects = Vec::with_capacity(64);
        let started = Instant::now();
        self.engine.step(self.now, input, &mut effects);
        self.longest_step = self.longest_step.max(started.elapsed());
    }

    /// Processes an input, then ticks until all of its slices are processed, with a new job after
    /// each tick. Returns the duration of the longest step and the total time.
    fn measure(&mut self, input: Input) -> (Duration, Duration) {
        self.longest_step = Duration::ZERO;
        let started = Instant::now();
        self.step(input);
        while self.engine.has_pending_list_changes() {
            self.now += MS;
            self.step(Input::Tick);
            self.request_id += 1;
            let (request_id, id) = (RequestId(self.request_id), format!("id-{}", self.request_id).into());
            let deadline = self.now + 1_000 * MS;
            let job = JobRequest {
                id,
                class: 0,
                tenant: 0,
                slots: 1.0,
                memory: 0.0,
                affinity_key: None,
                deadline,
                durable_request: None,
            };
            self.step(Input::RequestReceived { request_id, job, previous_attempts: None, durable: false });
            self.step(Input::ClientDisconnected { request_id });
        }
        (self.longest_step, started.elapsed())
    }
}

fn inventory_update(names: &[Arc<str>], weight: f64) -> InventoryUpdate {
    let record = |i: usize| HostRecord {
        pod: AttributeValue::Known(Arc::from(format!("{}", i / 2)), SourceLocation::default()),
        weight: AttributeValue::Known(weight, SourceLocation::default()),
        ..HostRecord::default()
    };
    let hosts = names.iter().enumerate().map(|(i, name)| (name.clone(), record(i))).collect();
    let files = vec!["hosts.csv".into()];
    let version =
        Version { number: 1, digest: "d".into(), read_ms: 1, files, hosts, diagnostics: Vec::new() };
    let source = InventorySource { name: "clubs".into(), weight_first: true, version: version.into() };
    InventoryUpdate {
        merged_inventory: MergedInventory { sources: vec![source], defaults: DefaultAttributes::default() }
            .into(),
        cause: None,
        forced: false,
    }
}

fn main() {
    let ms = |d: Duration| d.as_secs_f64() * 1000.0;
    println!("workers  change                 longest ms     total ms");
    for size in [1_000_usize, 5_000, 20_000] {
        let idempotency = Idempotency::Deduplicated { scope: DeduplicationScope::Cell, window: 25_000 * MS };
        let class = RequestClass { idempotency, ..RequestClass::new(300 * MS, 15_000 * MS) };
        let settings = Settings { classes: vec![class], ..Settings::default() };
        let names = Names { classes: vec!["visit".into()], zones: vec!["kista".into()], ..Names::default() };
        let addr: SocketAddr = ([127, 0, 0, 1], 9).into();
        let engine =
            Engine::new(settings, Arc::new(names), 1, 100_000, addr, false).expect("the settings are valid");
        let mut measurement =
            Measurement { engine, now: 1_000_000 * MS, request_id: 0, longest_step: Duration::ZERO };
        let names: Vec<Arc<str>> =
            (0..size).map(|i| Arc::from(format!("w{i:05}.kista.example.org"))).collect();
        let list = |weight: f64| -> Vec<WorkerEndpoint> {
            let host = |name: &Arc<str>| WorkerEndpoint {
                name: name.clone(),
                addr,
                state: WorkerState::Ready,
                started: None,
                kind: Some(0),
                zone: Some(0),
                cell: None,
                weight: Some(weight),
            };
            names.iter().map(host).collect()
        };
        let full_list =
            |version, hosts| Input::EndpointList { scope: EndpointUpdate::Snapshot, version, hosts };
        for (change, input) in [
            ("first full list", full_list(1, list(1.0))),
            ("same list again", full_list(2, list(1.0))),
            ("all list weights", full_list(3, list(0.5))),
            ("first inventory", Input::InventoryUpdated(inventory_update(&names, 2.0))),
            ("all inventory weights", Input::InventoryUpdated(inventory_update(&names, 3.0))),
            ("empty list", full_list(4, Vec::new())),
        ] {
            let (longest_step, total) = measurement.measure(input);
            println!("{size:7}  {change:22} {:10.2} {:12.1}", ms(longest_step), ms(total));
        }
    }
}
