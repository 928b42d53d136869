//! Workers as the list and files tell of them: what goes before what, what is never believed of a
//! file, and large changes that keep no job waiting.
use spanlead_balancing_policy::{
    DeduplicationScope, EndpointUpdate, Idempotency, Nanos, RequestClass, RequestId, Settings, WorkerState,
};
use spanlead_deployment_settings::Names;
use spanlead_engine::{
    AttemptId, DispatchResult, Effect, Engine, Input, InventoryUpdate, InventoryVersion, Job, WorkerEndpoint,
};
use spanlead_worker_attributes::{
    AttributeValue, DefaultAttributes, HostRecord, InventorySource, MergedInventory, SourceLocation, Version,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

const MS: Nanos = 1_000_000;
const SEC: Nanos = 1_000 * MS;
/// How long repeats are dropped.
const WINDOW: Nanos = 25 * SEC;

fn addr(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn names() -> Names {
    let words = |all: &[&str]| all.iter().map(|w| (*w).to_owned()).collect();
    Names {
        classes: words(&["visit", "settle"]),
        zones: words(&["solna", "kista"]),
        kinds: words(&["std", "slow"]),
        ..Names::default()
    }
}

/// `visit` may be repeated within a pod; `settle` needs a machine of the kind `slow`.
fn settings() -> Settings {
    let keyed = Idempotency::Deduplicated { scope: DeduplicationScope::Cell, window: WINDOW };
    let visit = RequestClass { idempotency: keyed, ..RequestClass::new(SEC, 20 * SEC) };
    let settle = RequestClass { machine_kind: Some(1), ..RequestClass::new(SEC, 20 * SEC) };
    let mut settings =
        Settings { classes: vec![visit, settle], machine_kind_count: 2, ..Settings::default() };
    settings.limits.max_attempts = 4;
    settings.limits.can_cancel = true;
    settings
}

struct World {
    engine: Engine,
    now: Nanos,
    request_id: u64,
}

impl World {
    fn new(hosts: Vec<WorkerEndpoint>) -> Self {
        let engine =
            Engine::new(settings(), Arc::new(names()), 7, 100_000, addr(9), false).expect("good settings");
        let mut world = World { engine, now: 1_000 * SEC, request_id: 0 };
        world.step(Input::EndpointList { scope: EndpointUpdate::Snapshot, version: 1, hosts });
        world
    }

    fn step(&mut self, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.engine.step(self.now, input, &mut effects);
        effects
    }

    /// Lets time pass up to then, with every timer on the way.
    fn pass(&mut self, to: Nanos) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(at) = self.engine.next_timer(self.now).filter(|at| *at <= to) {
            self.now = self.now.max(at);
            effects.extend(self.step(Input::Tick));
        }
        self.now = to;
        effects
    }

    fn request(&mut self, class: u32) -> (RequestId, Vec<Effect>) {
        self.request_id += 1;
        let request_id = RequestId(self.request_id);
        let job = Job {
            id: format!("id-{}", self.request_id).into(),
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

    fn offer(&mut self, rows: &[(&str, HostRecord)]) -> Vec<Effect> {
        let merged_inventory = merged_inventory(rows);
        self.step(Input::InventoryUpdated(InventoryUpdate {
            merged_inventory: merged_inventory.into(),
            cause: Some(InventoryVersion { name: "clubs".into(), number: 1 }),
            forced: false,
        }))
    }

    /// The worker that an attempt went to, by its address.
    fn sent(effects: &[Effect]) -> Option<(AttemptId, u16)> {
        effects.iter().find_map(|e| match e {
            Effect::SendAttempt { attempt, addr, .. } => Some((*attempt, addr.port())),
            _ => None,
        })
    }

    /// An attempt broke after it may have run: where the next one goes, if anywhere.
    fn broke(&mut self, attempt: AttemptId) -> Option<u16> {
        let result = DispatchResult::Ended(spanlead_balancing_policy::Outcome::Reset, None);
        let mut effects = self.step(Input::DispatchFinished { attempt, result });
        effects.extend(self.pass(self.now + 500 * MS));
        Self::sent(&effects).map(|(_, port)| port)
    }
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

fn this<T>(value: T) -> AttributeValue<T> {
    AttributeValue::Known(value, SourceLocation::default())
}

fn pod(name: &str) -> HostRecord {
    HostRecord { pod: this(name.into()), ..HostRecord::default() }
}

/// Where a request whose first attempt broke goes next, with these pods; the same for many
/// requests.
fn followers(world: &mut World, requests: usize) -> BTreeSet<(u16, Option<u16>)> {
    let mut seen = BTreeSet::new();
    for _ in 0..requests {
        let (request_id, mut effects) = world.request(0);
        effects.extend(world.pass(world.now + 500 * MS));
        let (attempt, first) = World::sent(&effects).expect("sent");
        seen.insert((first, world.broke(attempt)));
        world.step(Input::ClientDisconnected { request_id });
        world.pass(world.now + 60 * SEC);
    }
    seen
}

// Guards the rule on repeats where the list says nothing of pods: a worker of unknown pod is in
// none but its own.
#[test]
fn a_repeat_goes_nowhere_while_pods_are_unknown() {
    let mut world = World::new((1..=4).map(|i| host(&format!("w{i}"), i)).collect());
    assert!(followers(&mut world, 12).iter().all(|(_, next)| next.is_none()));
    // A file that says it: within the pod, and nowhere else. One whose word is in dispute is in
    // none.
    let disputed = HostRecord {
        pod: AttributeValue::Conflicting(vec![
            ("a".into(), SourceLocation::default()),
            ("b".into(), SourceLocation::default()),
        ]),
        ..pod("a")
    };
    world.offer(&[("w1", pod("a")), ("w2", pod("a")), ("w3", pod("b")), ("w4", disputed)]);
    let seen = followers(&mut world, 60);
    let follows =
        |first: u16| seen.iter().filter(|(f, _)| *f == first).filter_map(|(_, n)| *n).collect::<Vec<_>>();
    assert_eq!((follows(1), follows(2), follows(3), follows(4)), (vec![2], vec![1], vec![], vec![]));
}

// Guards against a file that moves a worker between pods while the old pod still drops its repeats:
// until the window is over it is in neither.
#[test]
fn a_worker_that_is_put_into_another_pod_is_in_none_for_the_window() {
    let mut world = World::new((1..=3).map(|i| host(&format!("w{i}"), i)).collect());
    world.offer(&[("w1", pod("a")), ("w2", pod("a")), ("w3", pod("b"))]);
    let (request_id, mut effects) = world.request(0);
    effects.extend(world.pass(world.now + 500 * MS));
    let (attempt, first) = World::sent(&effects).expect("sent");
    world.offer(&[("w1", pod("b")), ("w2", pod("b")), ("w3", pod("b"))]);
    assert_eq!(world.engine.stats(world.now, &names().classes).inventory.expect("facts").isolated, 2);
    let next = world.broke(attempt);
    assert!(first == 3 || next.is_none(), "{first} ran it, and {next:?} does not drop its repeat");
    world.step(Input::ClientDisconnected { request_id });
    world.pass(world.now + WINDOW + SEC);
    assert_eq!(world.engine.stats(world.now, &names().classes).inventory.expect("facts").isolated, 0);
    assert!(followers(&mut world, 10).iter().any(|(_, next)| next.is_some()), "they are in one pod now");
}

// Guards the authority of the list: a host that only a file names gets nothing, and what the list
// says holds.
#[test]
fn a_file_makes_no_worker_and_overrides_nothing_that_the_list_says() {
    let mut known = host("w1", 1);
    (known.cell, known.weight) = (Some(7), Some(1.0));
    let mut world = World::new(vec![known]);
    let other =
        HostRecord { zone: this("kista".into()), kind: this("slow".into()), weight: this(9.0), ..pod("8") };
    world.offer(&[("w1", other.clone()), ("ghost", other)]);
    let view = world.engine.worker_view(world.now, "W1.").expect("listed");
    let said = |fact: &str| {
        let known = view.attributes.iter().find(|k| k.attribute.name() == fact).expect("a fact");
        (known.value.clone().unwrap_or_default(), known.from.clone())
    };
    let list = |value: &str| (value.to_owned(), "list".to_owned());
    assert_eq!(
        [said("zone"), said("pod"), said("kind"), said("weight")],
        [list("solna"), list("7"), list("std"), list("1")]
    );
    assert!(world.engine.worker_view(world.now, "ghost").is_none());
    for _ in 0..50 {
        let (request_id, effects) = world.request(0);
        assert!(World::sent(&effects).is_none_or(|(_, port)| port == 1));
        world.step(Input::ClientDisconnected { request_id });
    }
    // Gone from the list is gone, whatever the file goes on to say.
    world.step(Input::EndpointList { scope: EndpointUpdate::Snapshot, version: 2, hosts: Vec::new() });
    let (_, mut effects) = world.request(0);
    effects.extend(world.pass(world.now + SEC));
    assert!(World::sent(&effects).is_none());
}

#[test]
fn a_version_that_leaves_a_class_without_a_worker_is_turned_down_unless_forced() {
    let silent = WorkerEndpoint { kind: None, ..host("w1", 1) };
    let mut world = World::new(vec![silent, host("w2", 2)]);
    let slow = HostRecord { kind: this("slow".into()), ..HostRecord::default() };
    world.offer(&[("w1", slow)]);
    let (request_id, mut effects) = world.request(1);
    effects.extend(world.pass(world.now + 500 * MS));
    assert_eq!(World::sent(&effects).map(|(_, port)| port), Some(1));
    world.step(Input::ClientDisconnected { request_id });

    let std = HostRecord { kind: this("std".into()), ..HostRecord::default() };
    let effects = world.offer(&[("w1", std.clone())]);
    assert!(
        matches!(&effects[..], [Effect::InventoryRejected { reason, version: 1, .. }] if reason.contains("class settle")),
        "{effects:?}"
    );
    let kind = |world: &World| {
        world.engine.worker_view(world.now, "w1").expect("listed").attributes[2].value.clone()
    };
    assert_eq!(kind(&world).as_deref(), Some("slow"), "the one before goes on");
    let forced = InventoryUpdate {
        merged_inventory: merged_inventory(&[("w1", std)]).into(),
        cause: None,
        forced: true,
    };
    world.step(Input::InventoryUpdated(forced));
    assert_eq!(kind(&world).as_deref(), Some("std"));
}

// Guards jobs against large lists: each step takes a bounded part, what drains goes first, and
// nothing is left out.
#[test]
fn a_large_list_is_taken_in_slices_with_what_drains_first() {
    let all = |state: &dyn Fn(u16) -> WorkerState| -> Vec<WorkerEndpoint> {
        (0..5000).map(|i| WorkerEndpoint { state: state(i), ..host(&format!("w{i}"), i) }).collect()
    };
    let mut world = World::new(all(&|_| WorkerState::Ready));
    assert!(world.engine.has_pending_list_changes(), "the first slice alone was taken");
    world.pass(world.now + 20 * MS);
    let members = |world: &World| world.engine.stats(world.now, &[]).members;
    assert_eq!(members(&world), 5000);
    assert!(!world.engine.has_pending_list_changes());

    // The last hundred of the list drain: known to the module with the first slice, so nothing goes
    // there any more.
    let draining = |i: u16| if i >= 4900 { WorkerState::Draining } else { WorkerState::Ready };
    let mut hosts = all(&draining);
    hosts.iter_mut().for_each(|h| h.weight = Some(0.5));
    world.step(Input::EndpointList { scope: EndpointUpdate::Snapshot, version: 2, hosts });
    assert!(world.engine.has_pending_list_changes());
    let mut sent = 0;
    for _ in 0..2000 {
        // They stay open: a worker that has just been left would be taken again, being connected.
        let (_, effects) = world.request(0);
        if let Some((_, port)) = World::sent(&effects) {
            assert!(port < 4900, "w{port} drains");
            sent += 1;
        }
    }
    assert!(sent > 1000, "{sent} of 2000 were sent");
    // A whole list that comes in between replaces what was still to be taken of the one before.
    world.step(Input::EndpointList {
        scope: EndpointUpdate::Snapshot,
        version: 3,
        hosts: all(&|_| WorkerState::Ready)[..1000].to_vec(),
    });
    world.pass(world.now + 20 * MS);
    assert_eq!(members(&world), 1000);
    // So does a change of one host that waits its turn.
    world.step(Input::EndpointList {
        scope: EndpointUpdate::Snapshot,
        version: 4,
        hosts: all(&|_| WorkerState::Ready),
    });
    let gone = WorkerEndpoint { state: WorkerState::Removed, ..host("w4999", 4999) };
    world.step(Input::EndpointList { scope: EndpointUpdate::Delta, version: 5, hosts: vec![gone] });
    let state = world.engine.worker_view(world.now, "w4999").map(|view| view.state);
    assert_eq!(state, Some("gone"), "at once, before what is left of the list");
    world.pass(world.now + 20 * MS);
    assert_eq!(members(&world), 4999);
}

// Guards against slices that are told twice or not at all: at the end the module knows what the
// list and the file say.
#[test]
fn facts_of_many_workers_change_in_slices() {
    let mut world = World::new((0..3000).map(|i| host(&format!("w{i}"), i)).collect());
    world.pass(world.now + 20 * MS);
    let names: Vec<String> = (0..3000).map(|i| format!("w{i}")).collect();
    let rows: Vec<(&str, HostRecord)> =
        names.iter().map(|n| (n.as_str(), HostRecord { weight: this(2.0), ..pod("a") })).collect();
    world.offer(&rows);
    assert!(world.engine.has_pending_list_changes());
    world.pass(world.now + 20 * MS);
    let facts = world.engine.stats(world.now, &[]).inventory.expect("facts");
    assert_eq!((facts.matched, facts.pending, facts.hosts), (3000, 0, 3000));
    let (attempt, first) = loop {
        let (_, mut effects) = world.request(0);
        effects.extend(world.pass(world.now + 500 * MS));
        if let Some(sent) = World::sent(&effects) {
            break sent;
        }
    };
    assert!(world.broke(attempt).is_some_and(|next| next != first), "all are in one pod now");
}
