//! The four rules under long random but legal event sequences, checked by an independent checker.
mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use spanlead_balancing_policy::*;

fn random_settings(dice: &mut Dice) -> Settings {
    let effects = [
        Idempotency::Idempotent,
        Idempotency::AtMostOnce,
        Idempotency::Deduplicated { scope: DeduplicationScope::All, window: 3 * SEC },
        Idempotency::Deduplicated { scope: DeduplicationScope::Zone, window: SEC },
        Idempotency::Deduplicated { scope: DeduplicationScope::Cell, window: 500 * MS },
    ];
    let mut set = settings(effects[dice.below(5) as usize]);
    let second = effects[dice.below(5) as usize];
    let machine_kind = dice.chance(30).then_some(1);
    set.classes.push(RequestClass {
        idempotency: second,
        priority: 1,
        machine_kind,
        ..RequestClass::new(50 * MS, SEC)
    });
    set.machine_kind_count = 2;
    set.limits.can_probe = dice.chance(60);
    set.limits.can_hedge = dice.chance(50);
    set.limits.max_attempts = 1 + dice.below(4) as u32;
    set.load_reporting = if dice.chance(50) { LoadReporting::InResponses } else { LoadReporting::Disabled };
    set.must_request_endpoints = dice.chance(50);
    set.reports_attempt_start = dice.chance(50);
    set.prices.probe = 0.002;
    set.prices.cross_zone = if dice.chance(50) { 0.02 } else { 0.0 };
    set
}

fn entry(name: &str, n: u64, state: WorkerState, started: Option<Nanos>) -> Endpoint<'_> {
    let (machine_kind, zone, cell) = ((n % 2) as u32, (n % 3) as u32, (n / 3) as u32);
    Endpoint { machine_kind, zone, cell, started_at: started, ..Endpoint::new(name, state) }
}

fn play(seed: u64, steps: usize) -> Vec<Action> {
    let mut dice = Dice(seed);
    let mut world = World::new(random_settings(&mut dice), dice.next());
    let names: Vec<String> = (0..12).map(|i| format!("w{i}")).collect();
    let all: Vec<_> = (0..12u64).map(|n| entry(&names[n as usize], n, WorkerState::Ready, None)).collect();
    world.list(EndpointUpdate::CachedSnapshot, &all);
    let mut id = 0;
    for _ in 0..steps {
        match dice.below(12) {
            0..=3 => {
                id += 1;
                let left = (50 + dice.below(2_000)) * MS;
                let mut request = Request::new(RequestId(id), dice.below(2) as u32, left);
                request.affinity_key = dice.chance(30).then(|| dice.below(5));
                world.ask(request);
            }
            4 => {
                let n = dice.below(12);
                let state = match dice.below(3) {
                    0 => WorkerState::Draining,
                    1 => WorkerState::Removed,
                    _ => WorkerState::Ready,
                };
                let started = dice.chance(50).then_some(world.now);
                world.list(EndpointUpdate::Delta, &[entry(&names[n as usize], n, state, started)]);
            }
            5 if dice.chance(20) => {
                let part = &all[..dice.below(12) as usize];
                world.list(EndpointUpdate::Snapshot, part);
            }
            5 => drop(
                world.give(Event::EndpointsChanged { update: EndpointUpdate::Unavailable, endpoints: &[] }),
            ),
            6 => {
                if let Some(worker) = world.probes.pop() {
                    let ok = dice.chance(80);
                    let outcome = if ok { Outcome::Ok } else { Outcome::ConnectFailed };
                    let report =
                        Some(LoadReport { free_slots: Some(dice.below(4) as f64), ..LoadReport::default() });
                    world.give(Event::ProbeEnded { worker: &worker, outcome, elapsed: MS, report });
                }
            }
            7 | 8 => end_one(&mut world, &mut dice),
            9 => {
                let open: Vec<u64> = open_ids(&world);
                if let Some(&id) =
                    open.get(dice.below(open.len().max(1) as u64) as usize).filter(|_| dice.chance(20))
                {
                    world.checker.requests.get_mut(&id).expect("open").closed = true;
                    world.give(Event::ClientGone(RequestId(id)));
                }
                world.give(Event::ClientGone(RequestId(u64::MAX)));
            }
            _ => advance(&mut world, dice.below(60) * MS),
        }
    }
    for _ in 0..60 {
        advance(&mut world, 100 * MS);
    }
    assert_eq!(world.checker.overdue(world.now), None, "rule 1: an answer is missing");
    assert!(world.checker.requests.values().all(|r| r.closed));
    world.trace
}

fn open_ids(world: &World) -> Vec<u64> {
    world.checker.requests.iter().filter(|(_, r)| !r.closed).map(|(id, _)| *id).collect()
}

fn end_one(world: &mut World, dice: &mut Dice) {
    let out = outstanding(world);
    if out.is_empty() {
        return;
    }
    let (id, attempt) = out[dice.below(out.len() as u64) as usize];
    let outcomes = [Outcome::Ok, Outcome::Error, Outcome::Rejected, Outcome::ConnectFailed, Outcome::Reset];
    world.end(id, attempt, outcomes[dice.below(5) as usize]);
}

fn outstanding(world: &World) -> Vec<(u64, u32)> {
    let attempts = world.checker.requests.iter().flat_map(|(id, r)| {
        let out = r.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none());
        out.map(|(i, _)| (*id, i as u32))
    });
    attempts.collect()
}

/// Time passes as on the wire: an attempt still out at its request's deadline times out there.
fn advance(world: &mut World, span: Nanos) {
    let until = world.now + span;
    loop {
        let due =
            outstanding(world).into_iter().map(|(id, a)| (world.checker.requests[&id].due, id, a)).min();
        let ring = world.timers.first_key_value().map_or(Nanos::MAX, |((at, _), _)| *at);
        match due {
            Some((at, id, attempt)) if at <= until && at <= ring => {
                world.now = world.now.max(at);
                world.end(id, attempt, Outcome::Timeout);
            }
            _ if ring <= until => world.pass(ring.saturating_sub(world.now), false),
            _ => break,
        }
    }
    world.now = until;
    assert_eq!(world.checker.overdue(world.now), None, "rule 1: an answer is missing");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x006f_6174_646f_636b),
        ..ProptestConfig::default()
    })]

    #[test]
    fn rules_hold_whatever_happens(seed in any::<u64>()) {
        play(seed, 400);
    }

    #[test]
    fn same_events_same_actions(seed in any::<u64>()) {
        prop_assert_eq!(play(seed, 120), play(seed, 120));
    }
}

/// The checker itself must notice each rule broken.
#[test]
fn the_checker_notices_broken_rules() {
    let mut world = World::new(settings(Idempotency::AtMostOnce), 1);
    world.ready(3);
    world.ask(Request::new(RequestId(1), 0, SEC));
    assert_eq!(world.sends(1).len(), 1);
    let send = |w: &str| Action::Send { id: RequestId(1), worker: WorkerId(w.into()), timeout: None };
    let now = world.now;
    let check = |world: &mut World, action| world.checker.action(now, &action).expect_err("must be noticed");
    world.checker.set.limits.can_hedge = true;
    assert!(check(&mut world, send("w0")).contains("rule 2"));
    let refuse = Action::Reject { id: RequestId(1), retry_after: None };
    assert!(check(&mut world, refuse).contains("rule 2"));
    assert!(check(&mut world, Action::Fail { id: RequestId(1) }).contains("rule 1"));
    assert!(check(&mut world, send("w0")).contains("rule 1"));
    world.checker.members.get_mut("w0").expect("listed").state = WorkerState::Draining;
    assert!(check(&mut world, send("w0")).contains("rule 3"));
}

/// The actions in the form in which the figure of the recorded runs was taken: with the names that their types had then.
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
        unrenamed => format!("{unrenamed:?}"),
    }
}

/// What a refactoring of the module must not change: the actions of recorded runs. A change of decisions brings a new figure.
#[test]
fn recorded_runs_act_as_they_did() {
    let text: String = (0..100).map(|seed| format!("{}\n", recorded_form(&play(seed, 400)))).collect();
    assert_eq!(
        xxhash_rust::xxh3::xxh3_64(text.as_bytes()),
        10_063_935_517_208_795_480,
        "seeds 0 to 99, {} bytes of actions",
        text.len()
    );
}
