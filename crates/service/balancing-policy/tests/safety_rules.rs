//! Long random sequences of legal events, after each of which the checker verifies the safety rules
//! that `common/checker.rs` lists.

mod common;

use common::{Harness, MS, SEC, TestRng, default_settings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use spanlead_balancing_policy::{
    Action, DeduplicationScope, Endpoint, EndpointUpdate, Event, Idempotency, LoadReport, LoadReporting,
    Nanos, Outcome, Request, RequestClass, RequestId, Settings, WorkerId, WorkerState,
};

/// The number of workers in the endpoint list.
const WORKER_COUNT: u64 = 12;

fn random_settings(rng: &mut TestRng) -> Settings {
    let idempotencies = [
        Idempotency::Idempotent,
        Idempotency::AtMostOnce,
        Idempotency::Deduplicated { scope: DeduplicationScope::All, window: 3 * SEC },
        Idempotency::Deduplicated { scope: DeduplicationScope::Zone, window: SEC },
        Idempotency::Deduplicated { scope: DeduplicationScope::Cell, window: 500 * MS },
    ];
    let mut settings = default_settings(idempotencies[rng.below(5) as usize]);
    let second_idempotency = idempotencies[rng.below(5) as usize];
    let machine_kind = rng.chance(30).then_some(1);
    settings.classes.push(RequestClass {
        idempotency: second_idempotency,
        priority: 1,
        machine_kind,
        ..RequestClass::new(50 * MS, SEC)
    });
    settings.machine_kind_count = 2;
    settings.limits.can_probe = rng.chance(60);
    settings.limits.can_hedge = rng.chance(50);
    settings.limits.max_attempts = 1 + rng.below(4) as u32;
    settings.load_reporting =
        if rng.chance(50) { LoadReporting::InResponses } else { LoadReporting::Disabled };
    settings.must_request_endpoints = rng.chance(50);
    settings.reports_attempt_start = rng.chance(50);
    settings.prices.probe = 0.002;
    settings.prices.cross_zone = if rng.chance(50) { 0.02 } else { 0.0 };
    settings
}

fn endpoint(name: &str, number: u64, state: WorkerState, started_at: Option<Nanos>) -> Endpoint<'_> {
    let (machine_kind, zone, cell) = ((number % 2) as u32, (number % 3) as u32, (number / 3) as u32);
    Endpoint { machine_kind, zone, cell, started_at, ..Endpoint::new(name, state) }
}

/// Runs a dispatcher through `steps` random events, then advances the clock past all deadlines.
/// Returns all actions.
fn run_random_events(seed: u64, steps: usize) -> Vec<Action> {
    let mut rng = TestRng(seed);
    let mut harness = Harness::new(random_settings(&mut rng), rng.next());
    let names: Vec<String> = (0..WORKER_COUNT).map(|number| format!("w{number}")).collect();
    let all: Vec<Endpoint<'_>> = (0..WORKER_COUNT)
        .map(|number| endpoint(&names[number as usize], number, WorkerState::Ready, None))
        .collect();
    harness.update_endpoints(EndpointUpdate::CachedSnapshot, &all);
    let mut last_id = 0;
    for _ in 0..steps {
        match rng.below(12) {
            0..=3 => submit_random(&mut harness, &mut rng, &mut last_id),
            4 => change_random_worker(&mut harness, &mut rng, &names),
            5 if rng.chance(20) => {
                let listed = &all[..rng.below(WORKER_COUNT) as usize];
                harness.update_endpoints(EndpointUpdate::Snapshot, listed);
            }
            5 => {
                let update = EndpointUpdate::Unavailable;
                harness.handle(Event::EndpointsChanged { update, endpoints: &[] });
            }
            6 => end_latest_probe(&mut harness, &mut rng),
            7 | 8 => end_random_attempt(&mut harness, &mut rng),
            9 => disconnect_random_client(&mut harness, &mut rng),
            _ => advance(&mut harness, rng.below(60) * MS),
        }
    }
    for _ in 0..60 {
        advance(&mut harness, 100 * MS);
    }
    assert_eq!(
        harness.checker.overdue_request(harness.now),
        None,
        "rule 1: request past its deadline without a final answer"
    );
    assert!(harness.checker.requests.values().all(|request| request.closed), "rule 1: request never closed");
    harness.trace
}

fn submit_random(harness: &mut Harness, rng: &mut TestRng, last_id: &mut u64) {
    *last_id += 1;
    let time_left = (50 + rng.below(2_000)) * MS;
    let mut request = Request::new(RequestId(*last_id), rng.below(2) as u32, time_left);
    request.affinity_key = rng.chance(30).then(|| rng.below(5));
    harness.submit(request);
}

fn change_random_worker(harness: &mut Harness, rng: &mut TestRng, names: &[String]) {
    let number = rng.below(WORKER_COUNT);
    let state = match rng.below(3) {
        0 => WorkerState::Draining,
        1 => WorkerState::Removed,
        _ => WorkerState::Ready,
    };
    let started_at = rng.chance(50).then_some(harness.now);
    let changed = endpoint(&names[number as usize], number, state, started_at);
    harness.update_endpoints(EndpointUpdate::Delta, &[changed]);
}

fn end_latest_probe(harness: &mut Harness, rng: &mut TestRng) {
    let Some(worker) = harness.probes.pop() else { return };
    let outcome = if rng.chance(80) { Outcome::Ok } else { Outcome::ConnectFailed };
    let free_slots = Some(rng.below(4) as f64);
    let report = Some(LoadReport { free_slots, ..LoadReport::default() });
    harness.handle(Event::ProbeEnded { worker: &worker, outcome, elapsed: MS, report });
}

/// Reports, with a probability of 20 %, that the client of a random open request left, and then
/// that the client of an unknown request left.
fn disconnect_random_client(harness: &mut Harness, rng: &mut TestRng) {
    let open = open_requests(harness);
    let drawn = rng.below(open.len().max(1) as u64) as usize;
    if let Some(&id) = open.get(drawn).filter(|_| rng.chance(20)) {
        harness.checker.requests.get_mut(&id).expect("open").closed = true;
        harness.handle(Event::ClientGone(RequestId(id)));
    }
    harness.handle(Event::ClientGone(RequestId(u64::MAX)));
}

fn open_requests(harness: &Harness) -> Vec<u64> {
    harness.checker.requests.iter().filter(|(_, r)| !r.closed).map(|(id, _)| *id).collect()
}

fn end_random_attempt(harness: &mut Harness, rng: &mut TestRng) {
    let in_flight = attempts_in_flight(harness);
    if in_flight.is_empty() {
        return;
    }
    let (id, attempt) = in_flight[rng.below(in_flight.len() as u64) as usize];
    let outcomes = [Outcome::Ok, Outcome::Error, Outcome::Rejected, Outcome::ConnectFailed, Outcome::Reset];
    harness.end_attempt(id, attempt, outcomes[rng.below(5) as usize]);
}

/// Request ids and attempt numbers of all attempts in flight.
fn attempts_in_flight(harness: &Harness) -> Vec<(u64, u32)> {
    let attempts = harness.checker.requests.iter().flat_map(|(id, r)| {
        let in_flight = r.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none());
        in_flight.map(|(i, _)| (*id, i as u32))
    });
    attempts.collect()
}

/// Advances the clock by `duration`. An attempt that is in flight at its request's deadline times
/// out at the deadline.
fn advance(harness: &mut Harness, duration: Nanos) {
    let until = harness.now + duration;
    loop {
        let next_deadline = attempts_in_flight(harness)
            .into_iter()
            .map(|(id, a)| (harness.checker.requests[&id].deadline, id, a))
            .min();
        let next_timer = harness.timers.first_key_value().map_or(Nanos::MAX, |((at, _), _)| *at);
        match next_deadline {
            Some((at, id, attempt)) if at <= until && at <= next_timer => {
                harness.now = harness.now.max(at);
                harness.end_attempt(id, attempt, Outcome::Timeout);
            }
            _ if next_timer <= until => harness.advance(next_timer.saturating_sub(harness.now), false),
            _ => break,
        }
    }
    harness.now = until;
    assert_eq!(
        harness.checker.overdue_request(harness.now),
        None,
        "rule 1: request past its deadline without a final answer"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x006f_6174_646f_636b),
        ..ProptestConfig::default()
    })]

    #[test]
    fn rules_hold_under_random_events(seed in any::<u64>()) {
        run_random_events(seed, 400);
    }

    #[test]
    fn same_events_give_the_same_actions(seed in any::<u64>()) {
        prop_assert_eq!(run_random_events(seed, 120), run_random_events(seed, 120));
    }
}

/// Guards against a checker that accepts a violation of the rules.
#[test]
fn checker_reports_each_violated_rule() {
    let mut harness = Harness::new(default_settings(Idempotency::AtMostOnce), 1);
    harness.list_ready_workers(3);
    harness.submit(Request::new(RequestId(1), 0, SEC));
    assert_eq!(harness.workers_of(1).len(), 1);
    let send = |w: &str| Action::Send { id: RequestId(1), worker: WorkerId(w.into()), timeout: None };
    let now = harness.now;
    let check = |harness: &mut Harness, action| {
        harness.checker.check(now, &action).expect_err("the action violates a rule")
    };
    harness.checker.settings.limits.can_hedge = true;
    assert!(check(&mut harness, send("w0")).contains("rule 2"));
    let reject = Action::Reject { id: RequestId(1), retry_after: None };
    assert!(check(&mut harness, reject).contains("rule 2"));
    assert!(check(&mut harness, Action::Fail { id: RequestId(1) }).contains("rule 1"));
    assert!(check(&mut harness, send("w0")).contains("rule 1"));
    harness.checker.workers.get_mut("w0").expect("listed").state = WorkerState::Draining;
    assert!(check(&mut harness, send("w0")).contains("rule 3"));
}

/// Formats actions in the form that the hash of the recorded runs covers: it was computed when some
/// variants of [`Action`] had other names.
fn recorded_form(actions: &[Action]) -> String {
    let actions: Vec<String> = actions.iter().map(recorded_action).collect();
    format!("[{}]", actions.join(", "))
}

fn recorded_action(action: &Action) -> String {
    match action {
        Action::Reject { id, retry_after } => {
            format!("Refuse {{ id: {id:?}, retry_after: {retry_after:?} }}")
        }
        Action::CloseIdleConnections { worker } => format!("Close {{ worker: {worker:?} }}"),
        Action::SendToPeer { peer, data } => format!("Tell {{ peer: {peer:?}, data: {data:?} }}"),
        Action::FetchEndpoints => "FetchList".to_owned(),
        other => format!("{other:?}"),
    }
}

/// Guards against a refactoring that changes decisions: the hash covers all actions of 100 random
/// runs. An intended change of decisions needs a new hash.
#[test]
fn recorded_runs_give_the_recorded_actions() {
    let text: String =
        (0..100).map(|seed| format!("{}\n", recorded_form(&run_random_events(seed, 400)))).collect();
    assert_eq!(
        xxhash_rust::xxh3::xxh3_64(text.as_bytes()),
        10_063_935_517_208_795_480,
        "hash of the actions of seeds 0 to 99, {} bytes",
        text.len()
    );
}
