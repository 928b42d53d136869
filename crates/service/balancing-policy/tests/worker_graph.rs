//! The shared graph: regular, connected, the same at all dispatchers, changed only locally, an
//! expander.

mod common;

use common::{Harness, MS, SEC, TestRng, default_settings};
use spanlead_balancing_policy::{
    Action, Dispatcher, Endpoint, EndpointUpdate, Event, Idempotency, Outcome, Request, RequestId,
    WorkerState,
};
use std::collections::{BTreeMap, BTreeSet};

fn dispatcher(names: &[String], seed: u64) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(default_settings(Idempotency::Idempotent), seed).expect("legal");
    let entries: Vec<Endpoint<'_>> = names.iter().map(|w| Endpoint::new(w, WorkerState::Ready)).collect();
    dispatcher.handle(
        0,
        Event::EndpointsChanged { update: EndpointUpdate::Snapshot, endpoints: &entries },
        &mut Vec::new(),
    );
    dispatcher
}

fn names(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("node-{i}")).collect()
}

fn edges(dispatcher: &Dispatcher, names: &[String]) -> BTreeMap<String, Vec<String>> {
    let of = |w: &String| dispatcher.neighbours(w).into_iter().map(|id| id.0.to_string()).collect();
    names.iter().map(|w| (w.clone(), of(w))).collect()
}

#[test]
fn graph_is_regular_and_connected() {
    for n in [2, 3, 8, 40, 200] {
        let names = names(n);
        let graph = edges(&dispatcher(&names, 1), &names);
        let mut incoming: BTreeMap<&str, usize> = BTreeMap::new();
        for to in graph.values().flatten() {
            *incoming.entry(to).or_default() += 1;
        }
        assert!(graph.values().all(|to| to.len() == 6) && incoming.values().all(|d| *d == 6), "{n}");
        let mut seen = BTreeSet::from([names[0].as_str()]);
        let mut todo = vec![names[0].as_str()];
        while let Some(w) = todo.pop() {
            todo.extend(graph[w].iter().map(String::as_str).filter(|to| seen.insert(to)));
        }
        assert_eq!(seen.len(), n);
    }
}

#[test]
fn graph_is_the_same_at_all_dispatchers() {
    let forward = names(50);
    let mut backward = forward.clone();
    backward.reverse();
    assert_eq!(edges(&dispatcher(&forward, 1), &forward), edges(&dispatcher(&backward, 2), &forward));
}

#[test]
fn joining_worker_changes_only_its_neighbours() {
    let all = names(101);
    let before = edges(&dispatcher(&all[..100], 1), &all[..100]);
    let after = edges(&dispatcher(&all, 1), &all[..100]);
    let changed = before.iter().filter(|(w, to)| after[*w] != **to).count();
    assert!((1..=6).contains(&changed), "{changed} workers have other neighbours");
}

/// The second eigenvalue, by power iteration on the space without the constant vector, as a
/// fraction of the degree.
#[test]
fn graph_is_an_expander_at_several_sizes() {
    for n in [30, 100, 400, 1_000] {
        let names = names(n);
        let graph = edges(&dispatcher(&names, 1), &names);
        let place: BTreeMap<&str, usize> = names.iter().enumerate().map(|(i, w)| (w.as_str(), i)).collect();
        let to: Vec<Vec<usize>> =
            names.iter().map(|w| graph[w].iter().map(|v| place[v.as_str()]).collect()).collect();
        let mut rng = TestRng(7);
        let mut x: Vec<f64> = (0..n).map(|_| rng.below(1_000) as f64).collect();
        let mut lambda = 0.0;
        for _ in 0..300 {
            let mean = x.iter().sum::<f64>() / n as f64;
            let norm = x.iter().map(|v| (v - mean).powi(2)).sum::<f64>().sqrt();
            x.iter_mut().for_each(|v| *v = (*v - mean) / norm);
            x = to.iter().map(|vs| vs.iter().map(|v| x[*v]).sum::<f64>() / 6.0).collect();
            lambda = x.iter().map(|v| v * v).sum::<f64>().sqrt();
        }
        // A random 6-regular graph comes near 2 * sqrt(5) / 6 = 0.745; a torus or cycle goes to 1.
        assert!(lambda < 0.85, "{n} workers: second eigenvalue {lambda}");
    }
}

/// Without reports, probes or load, jobs go to the walkers' positions: near uniform over time.
#[test]
fn walkers_visit_all_workers_alike() {
    let names = names(24);
    let mut harness = Harness::new(default_settings(Idempotency::Idempotent), 11);
    let entries: Vec<Endpoint<'_>> = names.iter().map(|w| Endpoint::new(w, WorkerState::Ready)).collect();
    harness.update_endpoints(EndpointUpdate::Snapshot, &entries);
    let mut visits: BTreeMap<String, usize> = BTreeMap::new();
    let jobs = 4_800;
    for id in 0..jobs {
        harness.submit(Request::new(RequestId(id), 0, SEC));
        *visits.entry(harness.workers_of(id)[0].clone()).or_default() += 1;
        harness.end_attempt(id, 0, Outcome::Ok);
        harness.now += 100 * MS;
        harness.checker.requests.clear();
    }
    let fair = jobs as usize / names.len();
    assert_eq!(visits.len(), names.len());
    assert!(visits.values().all(|v| (fair / 3..fair * 3).contains(v)), "{visits:?}");
}

/// Guards the one pass over a list: whatever came before, and in whatever order, the graph is that
/// of the ready workers.
#[test]
fn list_in_one_update_gives_the_graph_of_its_workers_one_by_one() {
    let all = names(300);
    let mut rng = TestRng(7);
    let mut state: BTreeMap<&String, WorkerState> = BTreeMap::new();
    let (mut in_one_update, mut one_by_one) = (dispatcher(&[], 1), dispatcher(&[], 2));
    for round in 0..40 {
        let states = [WorkerState::Ready, WorkerState::Ready, WorkerState::Draining, WorkerState::Removed];
        let count = if round % 2 == 0 { 300 } else { 1 + rng.below(20) };
        let drawn: Vec<(&String, WorkerState)> =
            (0..count).map(|_| (&all[rng.below(300) as usize], states[rng.below(4) as usize])).collect();
        // A list may name a worker twice: the last entry counts, as it does one by one.
        state.extend(drawn.iter().copied());
        let entries: Vec<Endpoint<'_>> = drawn.iter().map(|(w, s)| Endpoint::new(w, *s)).collect();
        let update = |d: &mut Dispatcher, entries: &[Endpoint<'_>]| {
            d.handle(
                1,
                Event::EndpointsChanged { update: EndpointUpdate::Delta, endpoints: entries },
                &mut Vec::new(),
            );
        };
        update(&mut in_one_update, &entries);
        entries.iter().for_each(|e| update(&mut one_by_one, std::slice::from_ref(e)));
        let ready: Vec<String> =
            state.iter().filter(|(_, s)| **s == WorkerState::Ready).map(|(w, _)| (*w).clone()).collect();
        let fresh = edges(&dispatcher(&ready, 3), &ready);
        assert_eq!(edges(&in_one_update, &ready), fresh, "round {round}");
        assert_eq!(edges(&one_by_one, &ready), fresh, "round {round}");
    }
}

/// Guards attributes that change under a worker that runs on, such as its machine kind.
#[test]
fn listed_worker_may_change_its_machine_kind() {
    let mut settings = default_settings(Idempotency::Idempotent);
    settings.machine_kind_count = 2;
    settings.classes[0].machine_kind = Some(1);
    let mut dispatcher = Dispatcher::new(settings, 1).expect("legal");
    let mut send = |machine_kind: u32, id: u64| {
        let entries = [Endpoint { machine_kind, ..Endpoint::new("a", WorkerState::Ready) }];
        let mut out = Vec::new();
        dispatcher.handle(
            id,
            Event::EndpointsChanged { update: EndpointUpdate::Delta, endpoints: &entries },
            &mut out,
        );
        dispatcher.handle(id, Event::RequestArrived(Request::new(RequestId(id), 0, SEC)), &mut out);
        out.iter().any(|a| matches!(a, Action::Send { .. } | Action::Probe { .. }))
    };
    assert_eq!([send(0, 1), send(1, 2), send(0, 3), send(1, 4)], [false, true, false, true]);
}

/// Guards against a cost that grows with the square: the removal of a list twenty times as long may
/// take a hundred times as long at the most.
#[test]
fn cost_of_a_list_grows_little_more_than_its_length() {
    let time = |n| {
        let names = names(n);
        let round = |seed| {
            let mut dispatcher = dispatcher(&names, seed);
            let begun = std::time::Instant::now();
            dispatcher.handle(
                1,
                Event::EndpointsChanged { update: EndpointUpdate::Snapshot, endpoints: &[] },
                &mut Vec::new(),
            );
            begun.elapsed()
        };
        (0..5).map(round).min().expect("rounds")
    };
    let (small, large) = (time(1_000), time(20_000));
    println!("{small:?} for 1,000 and {large:?} for 20,000");
    assert!(large < 100 * small, "{small:?} for 1,000 and {large:?} for 20,000");
}
