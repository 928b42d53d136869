//! How long a job waits while the facts of many workers change: `cargo run --release -p
//! spanlead-engine --example facts`.
//!
//! The reducer takes one input at a time, so the longest step is the longest that a job which has
//! just come can wait for it. For each size: the longest step of all that follow a first whole
//! list, the same list with every weight changed, a file that states pods and weights of all, and
//! one that changes them all; and the whole time until the last slice.
use spanlead_balancing_policy::{
    DeduplicationScope, EndpointUpdate, Idempotency, Nanos, RequestClass, RequestId, Settings, WorkerState,
};
use spanlead_deployment_settings::Names;
use spanlead_engine::{Engine, Input, InventoryUpdate, Job, WorkerEndpoint};
use spanlead_worker_attributes::{
    AttributeValue, DefaultAttributes, HostRecord, InventorySource, MergedInventory, SourceLocation, Version,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const MS: Nanos = 1_000_000;

struct World {
    engine: Engine,
    now: Nanos,
    request_id: u64,
    longest: Duration,
}

impl World {
    fn step(&mut self, input: Input) {
        let mut effects = Vec::with_capacity(64);
        let begun = Instant::now();
        self.engine.step(self.now, input, &mut effects);
        self.longest = self.longest.max(begun.elapsed());
    }

    /// Takes an input, then ticks with a job between each two, until nothing is left to take; the
    /// longest step and all.
    fn measure(&mut self, input: Input) -> (Duration, Duration) {
        self.longest = Duration::ZERO;
        let begun = Instant::now();
        self.step(input);
        while self.engine.has_pending_list_changes() {
            self.now += MS;
            self.step(Input::Tick);
            self.request_id += 1;
            let (request_id, id) = (RequestId(self.request_id), format!("id-{}", self.request_id).into());
            let deadline = self.now + 1_000 * MS;
            let job = Job {
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
        (self.longest, begun.elapsed())
    }
}

fn merged_inventory(names: &[Arc<str>], weight: f64) -> InventoryUpdate {
    let row = |i: usize| HostRecord {
        pod: AttributeValue::Known(Arc::from(format!("{}", i / 2)), SourceLocation::default()),
        weight: AttributeValue::Known(weight, SourceLocation::default()),
        ..HostRecord::default()
    };
    let rows = names.iter().enumerate().map(|(i, n)| (n.clone(), row(i))).collect();
    let files = vec!["hosts.csv".into()];
    let version =
        Version { number: 1, digest: "d".into(), read_ms: 1, files, hosts: rows, diagnostics: Vec::new() };
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
    println!("workers  what              longest step ms    in all ms");
    for size in [1_000_usize, 5_000, 20_000] {
        let keyed = Idempotency::Deduplicated { scope: DeduplicationScope::Cell, window: 25_000 * MS };
        let class = RequestClass { idempotency: keyed, ..RequestClass::new(300 * MS, 15_000 * MS) };
        let settings = Settings { classes: vec![class], ..Settings::default() };
        let names = Names { classes: vec!["visit".into()], zones: vec!["kista".into()], ..Names::default() };
        let addr: SocketAddr = ([127, 0, 0, 1], 9).into();
        let engine = Engine::new(settings, Arc::new(names), 1, 100_000, addr, false).expect("good settings");
        let mut world = World { engine, now: 1_000_000 * MS, request_id: 0, longest: Duration::ZERO };
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
        let whole = |version, hosts| Input::EndpointList { scope: EndpointUpdate::Snapshot, version, hosts };
        for (what, input) in [
            ("first list", whole(1, list(1.0))),
            ("the same again", whole(2, list(1.0))),
            ("all weights change", whole(3, list(0.5))),
            ("a first file", Input::InventoryUpdated(merged_inventory(&names, 2.0))),
            ("all its facts change", Input::InventoryUpdated(merged_inventory(&names, 3.0))),
            ("all gone", whole(4, Vec::new())),
        ] {
            let (longest, all) = world.measure(input);
            println!("{size:7}  {what:22} {:10.2} {:12.1}", ms(longest), ms(all));
        }
    }
}
