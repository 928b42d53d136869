//! The four rules under long random but legal event sequences, checked by an independent checker.
mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use spanlead_balancing_policy::*;

fn random_settings(dice: &mut Dice) -> Settings {
    let effects = [
        Effect::Safe,
        Effect::Unsafe,
        Effect::Keyed { scope: Scope::All, ttl: 3 * SEC },
        Effect::Keyed { scope: Scope::Zone, ttl: SEC },
        Effect::Keyed { scope: Scope::Cell, ttl: 500 * MS },
    ];
    let mut set = settings(effects[dice.below(5) as usize]);
    let second = effects[dice.below(5) as usize];
    let kind = dice.chance(30).then_some(1);
    set.classes.push(Class { effect: second, priority: 1, kind, ..Class::new(50 * MS, SEC) });
    set.kinds = 2;
    set.limits.probes = dice.chance(60);
    set.limits.second_copies = dice.chance(50);
    set.limits.attempts = 1 + dice.below(4) as u32;
    set.reports = if dice.chance(50) { ReportVia::Answers } else { ReportVia::None };
    set.must_ask = dice.chance(50);
    set.tells_start = dice.chance(50);
    set.prices.probe = 0.002;
    set.prices.cross_zone = if dice.chance(50) { 0.02 } else { 0.0 };
    set
}

fn entry(name: &str, n: u64, state: WorkerState, started: Option<Nanos>) -> Entry<'_> {
    let (kind, zone, cell) = ((n % 2) as u32, (n % 3) as u32, (n / 3) as u32);
    Entry { kind, zone, cell, started, ..Entry::new(name, state) }
}

fn play(seed: u64, steps: usize) -> Vec<Action> {
    let mut dice = Dice(seed);
    let mut world = World::new(random_settings(&mut dice), dice.next());
    let names: Vec<String> = (0..12).map(|i| format!("w{i}")).collect();
    let all: Vec<_> = (0..12u64).map(|n| entry(&names[n as usize], n, WorkerState::Ready, None)).collect();
    world.list(ListScope::Cached, &all);
    let mut id = 0;
    for _ in 0..steps {
        match dice.below(12) {
            0..=3 => {
                id += 1;
                let left = (50 + dice.below(2_000)) * MS;
                let mut request = Request::new(RequestId(id), dice.below(2) as u32, left);
                request.key = dice.chance(30).then(|| dice.below(5));
                world.ask(request);
            }
            4 => {
                let n = dice.below(12);
                let state = match dice.below(3) {
                    0 => WorkerState::Draining,
                    1 => WorkerState::Gone,
                    _ => WorkerState::Ready,
                };
                let started = dice.chance(50).then_some(world.now);
                world.list(ListScope::Changes, &[entry(&names[n as usize], n, state, started)]);
            }
            5 if dice.chance(20) => {
                let part = &all[..dice.below(12) as usize];
                world.list(ListScope::Full, part);
            }
            5 => drop(world.give(Event::Members { scope: ListScope::Failed, entries: &[] })),
            6 => {
                if let Some(worker) = world.probes.pop() {
                    let ok = dice.chance(80);
                    let outcome = if ok { Outcome::Ok } else { Outcome::ConnectFailed };
                    let report = Some(Report { free_slots: Some(dice.below(4) as f64), ..Report::default() });
                    world.give(Event::Probed { worker: &worker, outcome, lag: MS, report });
                }
            }
            7 | 8 => end_one(&mut world, &mut dice),
            9 => {
                let open: Vec<u64> = open_ids(&world);
                if let Some(&id) =
                    open.get(dice.below(open.len().max(1) as u64) as usize).filter(|_| dice.chance(20))
                {
                    world.checker.requests.get_mut(&id).expect("open").closed = true;
                    world.give(Event::Gone(RequestId(id)));
                }
                world.give(Event::Gone(RequestId(u64::MAX)));
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
    let outcomes = [Outcome::Ok, Outcome::Error, Outcome::Full, Outcome::ConnectFailed, Outcome::Reset];
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
    let mut world = World::new(settings(Effect::Unsafe), 1);
    world.ready(3);
    world.ask(Request::new(RequestId(1), 0, SEC));
    assert_eq!(world.sends(1).len(), 1);
    let send = |w: &str| Action::Send { id: RequestId(1), worker: WorkerId(w.into()), timeout: None };
    let now = world.now;
    let check = |world: &mut World, action| world.checker.action(now, &action).expect_err("must be noticed");
    world.checker.set.limits.second_copies = true;
    assert!(check(&mut world, send("w0")).contains("rule 2"));
    let refuse = Action::Refuse { id: RequestId(1), retry_after: None };
    assert!(check(&mut world, refuse).contains("rule 2"));
    assert!(check(&mut world, Action::Fail { id: RequestId(1) }).contains("rule 1"));
    assert!(check(&mut world, send("w0")).contains("rule 1"));
    world.checker.members.get_mut("w0").expect("listed").state = WorkerState::Draining;
    assert!(check(&mut world, send("w0")).contains("rule 3"));
}

/// What a refactoring of the module must not change: the actions of recorded runs. A change of decisions brings a new figure.
#[test]
fn recorded_runs_act_as_they_did() {
    let text: String = (0..100).map(|seed| format!("{:?}\n", play(seed, 400))).collect();
    assert_eq!(
        xxhash_rust::xxh3::xxh3_64(text.as_bytes()),
        10_063_935_517_208_795_480,
        "seeds 0 to 99, {} bytes of actions",
        text.len()
    );
}
