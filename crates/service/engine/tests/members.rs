//! Workers and their attributes, from the endpoint list and from inventories: which source takes
//! precedence, what inventories cannot change, and large changes that are processed in slices.
use spanlead_balancing_policy::{
    DeduplicationScope, EndpointUpdate, Idempotency, Nanos, Outcome, RequestClass, RequestId, Settings,
    WorkerState,
};
use spanlead_deployment_settings::Names;
use spanlead_engine::{
    AttemptId, DispatchResult, Effect, Engine, Input, InventoryStats, InventoryUpdate, InventoryVersion,
    JobRequest, WorkerEndpoint,
};
use spanlead_worker_attributes::{
    AttributeValue, DefaultAttributes, HostRecord, InventorySource, MergedInventory, SourceLocation, Version,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

const MS: Nanos = 1_000_000;
const SEC: Nanos = 1_000 * MS;
/// How long a pod drops retries of class `visit`.
const DEDUPLICATION_WINDOW: Nanos = 25 * SEC;
const VISIT_CLASS: u32 = 0;
const SETTLE_CLASS: u32 = 1;
/// By this time after its arrival, or after the end of its last attempt, a request that can be sent
/// has been sent.
const DISPATCH_TIME: Nanos = 500 * MS;
/// Enough for all slices of a change of 5,000 workers.
const ALL_SLICES_TIME: Nanos = 20 * MS;

fn addr(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn names() -> Names {
    let owned = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    Names {
        classes: owned(&["visit", "settle"]),
        zones: owned(&["solna", "kista"]),
        kinds: owned(&["std", "slow"]),
        ..Names::default()
    }
}

/// Settings in which `visit` may be retried within a pod, and `settle` needs a machine of kind
/// `slow`.
fn settings() -> Settings {
    let idempotency =
        Idempotency::Deduplicated { scope: DeduplicationScope::Cell, window: DEDUPLICATION_WINDOW };
    let visit = RequestClass { idempotency, ..RequestClass::new(SEC, 20 * SEC) };
    let settle = RequestClass { machine_kind: Some(1), ..RequestClass::new(SEC, 20 * SEC) };
    let mut settings =
        Settings { classes: vec![visit, settle], machine_kind_count: 2, ..Settings::default() };
    settings.limits.max_attempts = 4;
    settings.limits.can_cancel = true;
    settings
}

struct Scheduler {
    engine: Engine,
    now: Nanos,
    last_request_id: u64,
}

impl Scheduler {
    fn new(hosts: Vec<WorkerEndpoint>) -> Self {
        let engine = Engine::new(settings(), Arc::new(names()), 7, 100_000, addr(9), false);
        let engine = engine.expect("the settings are valid");
        let mut scheduler = Scheduler { engine, now: 1_000 * SEC, last_request_id: 0 };
        scheduler.full_list(1, hosts);
        scheduler
    }

    fn step(&mut self, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.engine.step(self.now, input, &mut effects);
        effects
    }

    /// Advances the time by `duration` and runs every timer that is due meanwhile.
    fn advance(&mut self, duration: Nanos) -> Vec<Effect> {
        let end = self.now + duration;
        let mut effects = Vec::new();
        while let Some(at) = self.engine.next_timer(self.now).filter(|at| *at <= end) {
            self.now = self.now.max(at);
            effects.extend(self.step(Input::Tick));
        }
        self.now = end;
        effects
    }

    fn full_list(&mut self, version: u64, hosts: Vec<WorkerEndpoint>) {
        self.step(Input::EndpointList { scope: EndpointUpdate::Snapshot, version, hosts });
    }

    /// Submits a request. Returns the effects of its arrival.
    fn submit(&mut self, class: u32) -> (RequestId, Vec<Effect>) {
        self.last_request_id += 1;
        let request_id = RequestId(self.last_request_id);
        let job = JobRequest {
            id: format!("id-{}", self.last_request_id).into(),
            class,
            tenant: 0,
            slots: 1.0,
            memory: 0.0,
            affinity_key: None,
            deadline: self.now + 15 * SEC,
            durable_request: None,
        };
        let effects =
            self.step(Input::RequestReceived { request_id, job, previous_attempts: None, durable: false });
        (request_id, effects)
    }

    /// Submits a request and gives it time to be sent.
    fn submit_and_wait(&mut self, class: u32) -> (RequestId, Vec<Effect>) {
        let (request_id, mut effects) = self.submit(class);
        effects.extend(self.advance(DISPATCH_TIME));
        (request_id, effects)
    }

    /// Replaces the inventory by one with these rows, unless the engine rejects it.
    fn update_inventory(&mut self, rows: &[(&str, HostRecord)]) -> Vec<Effect> {
        let merged_inventory = merged_inventory(rows);
        self.step(Input::InventoryUpdated(InventoryUpdate {
            merged_inventory: merged_inventory.into(),
            cause: Some(InventoryVersion { name: "clubs".into(), number: 1 }),
            forced: false,
        }))
    }

    /// Resets an attempt that may have run. Returns the port of the worker that the retry is sent
    /// to, if there is one.
    fn reset_attempt(&mut self, attempt: AttemptId) -> Option<u16> {
        let result = DispatchResult::Ended(Outcome::Reset, None);
        let mut effects = self.step(Input::DispatchFinished { attempt, result });
        effects.extend(self.advance(DISPATCH_TIME));
        first_sent(&effects).map(|(_, port)| port)
    }

    fn listed_workers(&self) -> usize {
        self.engine.stats(self.now, &[]).members
    }

    fn inventory_stats(&self) -> InventoryStats {
        self.engine.stats(self.now, &[]).inventory.expect("there is an inventory")
    }
}

/// The first attempt that is sent by these effects, and the port of its worker.
fn first_sent(effects: &[Effect]) -> Option<(AttemptId, u16)> {
    effects.iter().find_map(|effect| match effect {
        Effect::SendAttempt { attempt, addr, .. } => Some((*attempt, addr.port())),
        _ => None,
    })
}

fn host(name: &str, port: u16) -> WorkerEndpoint {
    let (name, addr, state) = (Arc::from(name), addr(port), WorkerState::Ready);
    WorkerEndpoint {
        name,
        addr,
        state,
        started: None,
        kind: Some(0),
        zone: Some(0),
        cell: None,
        weight: None,
    }
}

fn merged_inventory(rows: &[(&str, HostRecord)]) -> MergedInventory {
    let rows = rows.iter().map(|(name, row)| (Arc::from(*name), row.clone())).collect();
    let version = Version {
        number: 1,
        digest: "d".into(),
        read_ms: 1,
        files: vec!["hosts.csv".into()],
        hosts: rows,
        diagnostics: Vec::new(),
    };
    let source = InventorySource { name: "clubs".into(), weight_first: false, version: version.into() };
    MergedInventory { sources: vec![source], defaults: DefaultAttributes::default() }
}

fn known<T>(value: T) -> AttributeValue<T> {
    AttributeValue::Known(value, SourceLocation::default())
}

fn in_pod(name: &str) -> HostRecord {
    HostRecord { pod: known(name.into()), ..HostRecord::default() }
}

fn of_kind(name: &str) -> HostRecord {
    HostRecord { kind: known(name.into()), ..HostRecord::default() }
}

/// The ports of the workers that requests were sent to first and, after their attempt was reset,
/// next. The requests are 60 s apart.
fn retry_targets(scheduler: &mut Scheduler, requests: usize) -> BTreeSet<(u16, Option<u16>)> {
    let mut targets = BTreeSet::new();
    for _ in 0..requests {
        let (request_id, effects) = scheduler.submit_and_wait(VISIT_CLASS);
        let (attempt, first) = first_sent(&effects).expect("the request is sent");
        targets.insert((first, scheduler.reset_attempt(attempt)));
        scheduler.step(Input::ClientDisconnected { request_id });
        scheduler.advance(60 * SEC);
    }
    targets
}

// Guards deduplication where the pods of some workers are unknown: such a worker counts as a pod of
// its own, so a retry must not go from it or to it.
#[test]
fn a_retry_stays_within_a_known_pod_and_is_not_sent_if_the_pod_is_unknown() {
    let mut scheduler = Scheduler::new((1..=4).map(|i| host(&format!("w{i}"), i)).collect());
    assert!(retry_targets(&mut scheduler, 12).iter().all(|(_, next)| next.is_none()));
    // An inventory that states the pods: retries stay within the pod. A worker with conflicting
    // statements is in no pod.
    let conflicting = HostRecord {
        pod: AttributeValue::Conflicting(vec![
            ("a".into(), SourceLocation::default()),
            ("b".into(), SourceLocation::default()),
        ]),
        ..in_pod("a")
    };
    scheduler.update_inventory(&[
        ("w1", in_pod("a")),
        ("w2", in_pod("a")),
        ("w3", in_pod("b")),
        ("w4", conflicting),
    ]);
    let targets = retry_targets(&mut scheduler, 60);
    let retried_at = |first: u16| -> Vec<u16> {
        targets.iter().filter(|(port, _)| *port == first).filter_map(|(_, next)| *next).collect()
    };
    assert_eq!(
        (retried_at(1), retried_at(2), retried_at(3), retried_at(4)),
        (vec![2], vec![1], vec![], vec![])
    );
}

// Guards against an inventory that moves a worker between pods while its previous pod still drops
// the retries of its jobs: until the deduplication window has passed the worker is in neither.
#[test]
fn a_worker_that_changes_its_pod_is_in_no_pod_for_the_deduplication_window() {
    let mut scheduler = Scheduler::new((1..=3).map(|i| host(&format!("w{i}"), i)).collect());
    scheduler.update_inventory(&[("w1", in_pod("a")), ("w2", in_pod("a")), ("w3", in_pod("b"))]);
    let (request_id, effects) = scheduler.submit_and_wait(VISIT_CLASS);
    let (attempt, first) = first_sent(&effects).expect("the request is sent");
    scheduler.update_inventory(&[("w1", in_pod("b")), ("w2", in_pod("b")), ("w3", in_pod("b"))]);
    assert_eq!(scheduler.inventory_stats().isolated, 2);
    let next = scheduler.reset_attempt(attempt);
    assert!(
        first == 3 || next.is_none(),
        "worker {first} may have run the request, and the pod of worker {next:?} does not drop the retry"
    );
    scheduler.step(Input::ClientDisconnected { request_id });
    scheduler.advance(DEDUPLICATION_WINDOW + SEC);
    assert_eq!(scheduler.inventory_stats().isolated, 0);
    assert!(
        retry_targets(&mut scheduler, 10).iter().any(|(_, next)| next.is_some()),
        "no retry was sent though all workers are in one pod"
    );
}

// Guards the authority of the endpoint list: a host that only an inventory names gets no jobs, and
// what the list states holds against the inventory.
#[test]
fn an_inventory_adds_no_worker_and_overrides_no_attribute_of_the_list() {
    let mut listed = host("w1", 1);
    (listed.cell, listed.weight) = (Some(7), Some(1.0));
    let mut scheduler = Scheduler::new(vec![listed]);
    let other = HostRecord {
        zone: known("kista".into()),
        kind: known("slow".into()),
        weight: known(9.0),
        ..in_pod("8")
    };
    scheduler.update_inventory(&[("w1", other.clone()), ("unlisted", other)]);
    let view = scheduler.engine.worker_view(scheduler.now, "W1.").expect("w1 is listed");
    let value_and_source = |name: &str| {
        let attribute = view.attributes.iter().find(|attribute| attribute.attribute.name() == name);
        let attribute = attribute.expect("the view has the attribute");
        (attribute.value.clone().unwrap_or_default(), attribute.from.clone())
    };
    let from_list = |value: &str| (value.to_owned(), "list".to_owned());
    assert_eq!(
        ["zone", "pod", "kind", "weight"].map(value_and_source),
        ["solna", "7", "std", "1"].map(from_list)
    );
    assert!(scheduler.engine.worker_view(scheduler.now, "unlisted").is_none());
    for _ in 0..50 {
        let (request_id, effects) = scheduler.submit(VISIT_CLASS);
        assert!(first_sent(&effects).is_none_or(|(_, port)| port == 1));
        scheduler.step(Input::ClientDisconnected { request_id });
    }
    // A worker that has left the list gets no jobs, though the inventory still names it.
    scheduler.full_list(2, Vec::new());
    let (_, mut effects) = scheduler.submit(VISIT_CLASS);
    effects.extend(scheduler.advance(SEC));
    assert!(first_sent(&effects).is_none());
}

#[test]
fn an_inventory_that_leaves_a_class_without_workers_is_rejected_unless_forced() {
    let of_unknown_kind = WorkerEndpoint { kind: None, ..host("w1", 1) };
    let mut scheduler = Scheduler::new(vec![of_unknown_kind, host("w2", 2)]);
    scheduler.update_inventory(&[("w1", of_kind("slow"))]);
    let (request_id, effects) = scheduler.submit_and_wait(SETTLE_CLASS);
    assert_eq!(first_sent(&effects).map(|(_, port)| port), Some(1));
    scheduler.step(Input::ClientDisconnected { request_id });

    let effects = scheduler.update_inventory(&[("w1", of_kind("std"))]);
    assert!(
        matches!(&effects[..], [Effect::InventoryRejected { reason, version: 1, .. }] if reason.contains("class settle")),
        "{effects:?}"
    );
    let kind = |scheduler: &Scheduler| {
        let view = scheduler.engine.worker_view(scheduler.now, "w1").expect("w1 is listed");
        view.attributes[2].value.clone()
    };
    assert_eq!(kind(&scheduler).as_deref(), Some("slow"), "the previous inventory stays in use");
    let merged_inventory = merged_inventory(&[("w1", of_kind("std"))]).into();
    let forced = InventoryUpdate { merged_inventory, cause: None, forced: true };
    scheduler.step(Input::InventoryUpdated(forced));
    assert_eq!(kind(&scheduler).as_deref(), Some("std"));
}

// Guards jobs against large lists: each step processes a bounded part of a list, draining workers
// first, and no change is left out.
#[test]
fn a_large_list_is_processed_in_slices_with_draining_workers_first() {
    let list = |state: &dyn Fn(u16) -> WorkerState| -> Vec<WorkerEndpoint> {
        (0..5000).map(|i| WorkerEndpoint { state: state(i), ..host(&format!("w{i}"), i) }).collect()
    };
    let mut scheduler = Scheduler::new(list(&|_| WorkerState::Ready));
    assert!(scheduler.engine.has_pending_list_changes(), "one step processes only the first slice");
    scheduler.advance(ALL_SLICES_TIME);
    assert_eq!(scheduler.listed_workers(), 5000);
    assert!(!scheduler.engine.has_pending_list_changes());

    // The last hundred of the list are draining: the balancing policy learns of them with the first
    // slice, so they get no more jobs.
    let draining = |i: u16| if i >= 4900 { WorkerState::Draining } else { WorkerState::Ready };
    let mut hosts = list(&draining);
    hosts.iter_mut().for_each(|host| host.weight = Some(0.5));
    scheduler.full_list(2, hosts);
    assert!(scheduler.engine.has_pending_list_changes());
    let mut sent = 0;
    for _ in 0..2000 {
        // The requests stay open: else the policy would prefer the worker of the last one, to which
        // there is a connection.
        let (_, effects) = scheduler.submit(VISIT_CLASS);
        if let Some((_, port)) = first_sent(&effects) {
            assert!(port < 4900, "a request was sent to w{port}, which is draining");
            sent += 1;
        }
    }
    assert!(sent > 1000, "{sent} of 2000 requests were sent; expected more than 1000");
    // A full list replaces what is still to be processed of the previous one.
    scheduler.full_list(3, list(&|_| WorkerState::Ready)[..1000].to_vec());
    scheduler.advance(ALL_SLICES_TIME);
    assert_eq!(scheduler.listed_workers(), 1000);
    // A change of one host replaces what is still to be processed of this host.
    scheduler.full_list(4, list(&|_| WorkerState::Ready));
    let removed = WorkerEndpoint { state: WorkerState::Removed, ..host("w4999", 4999) };
    scheduler.step(Input::EndpointList { scope: EndpointUpdate::Delta, version: 5, hosts: vec![removed] });
    let state = scheduler.engine.worker_view(scheduler.now, "w4999").map(|view| view.state);
    assert_eq!(state, Some("gone"), "the change is processed before the rest of the list");
    scheduler.advance(ALL_SLICES_TIME);
    assert_eq!(scheduler.listed_workers(), 4999);
}

// Guards against slices that are processed twice or not at all: after the last slice the policy
// knows the attributes that the list and the inventory state.
#[test]
fn an_inventory_of_many_workers_reaches_the_policy_in_slices() {
    let mut scheduler = Scheduler::new((0..3000).map(|i| host(&format!("w{i}"), i)).collect());
    scheduler.advance(ALL_SLICES_TIME);
    let names: Vec<String> = (0..3000).map(|i| format!("w{i}")).collect();
    let rows: Vec<(&str, HostRecord)> =
        names.iter().map(|name| (name.as_str(), HostRecord { weight: known(2.0), ..in_pod("a") })).collect();
    scheduler.update_inventory(&rows);
    assert!(scheduler.engine.has_pending_list_changes());
    scheduler.advance(ALL_SLICES_TIME);
    let stats = scheduler.inventory_stats();
    assert_eq!((stats.matched, stats.pending, stats.hosts), (3000, 0, 3000));
    let (attempt, first) = loop {
        let (_, effects) = scheduler.submit_and_wait(VISIT_CLASS);
        if let Some(sent) = first_sent(&effects) {
            break sent;
        }
    };
    let next = scheduler.reset_attempt(attempt);
    assert!(
        next.is_some_and(|next| next != first),
        "the retry was sent to {next:?} after worker {first}; expected another worker of the pod"
    );
}
