//! Properties of the shared worker graph: it is regular, connected and an expander, all dispatchers
//! build the same one, and a joining worker changes it only locally.

mod common;

use common::{Harness, MS, SEC, TestRng, default_settings};
use spanlead_balancing_policy::{
    Action, Dispatcher, Endpoint, EndpointUpdate, Event, Idempotency, Outcome, Request, RequestId,
    WorkerState,
};
use std::collections::{BTreeMap, BTreeSet};

/// A dispatcher that knows these workers, all ready.
fn dispatcher(names: &[String], seed: u64) -> Dispatcher {
    let mut dispatcher =
        Dispatcher::new(default_settings(Idempotency::Idempotent), seed).expect("valid settings");
    let entries: Vec<Endpoint<'_>> = names.iter().map(|w| Endpoint::new(w, WorkerState::Ready)).collect();
    dispatcher.handle(
        0,
        Event::EndpointsChanged { update: EndpointUpdate::Snapshot, endpoints: &entries },
        &mut Vec::new(),
    );
    dispatcher
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("node-{i}")).collect()
}

/// The neighbours of each of these workers in the graph of all machine kinds.
fn edges(dispatcher: &Dispatcher, names: &[String]) -> BTreeMap<String, Vec<String>> {
    let neighbours = |w: &String| dispatcher.neighbours(w).into_iter().map(|id| id.0.to_string()).collect();
    names.iter().map(|w| (w.clone(), neighbours(w))).collect()
}

#[test]
fn graph_is_regular_and_connected() {
    for n in [2, 3, 8, 40, 200] {
        let names = names(n);
        let graph = edges(&dispatcher(&names, 1), &names);
        let mut incoming: BTreeMap<&str, usize> = BTreeMap::new();
        for neighbour in graph.values().flatten() {
            *incoming.entry(neighbour).or_default() += 1;
        }
        assert!(
            graph.values().all(|neighbours| neighbours.len() == 6) && incoming.values().all(|d| *d == 6),
            "{n} workers: a worker has other than 6 outgoing or 6 incoming edges"
        );
        let mut reached = BTreeSet::from([names[0].as_str()]);
        let mut pending = vec![names[0].as_str()];
        while let Some(w) = pending.pop() {
            pending.extend(graph[w].iter().map(String::as_str).filter(|neighbour| reached.insert(neighbour)));
        }
        assert_eq!(reached.len(), n, "workers reached from the first one");
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
    let changed = before.iter().filter(|(w, neighbours)| after[*w] != **neighbours).count();
    assert!((1..=6).contains(&changed), "the neighbours of {changed} workers changed, expected 1 to 6");
}

/// Estimates the second eigenvalue, as a fraction of the degree, by power iteration on the space
/// orthogonal to the constant vector.
#[test]
fn graph_is_an_expander_at_several_sizes() {
    for n in [30, 100, 400, 1_000] {
        let names = names(n);
        let graph = edges(&dispatcher(&names, 1), &names);
        let index: BTreeMap<&str, usize> = names.iter().enumerate().map(|(i, w)| (w.as_str(), i)).collect();
        let neighbours: Vec<Vec<usize>> =
            names.iter().map(|w| graph[w].iter().map(|v| index[v.as_str()]).collect()).collect();
        let mut rng = TestRng(7);
        let mut x: Vec<f64> = (0..n).map(|_| rng.below(1_000) as f64).collect();
        let mut lambda = 0.0;
        for _ in 0..300 {
            let mean = x.iter().sum::<f64>() / n as f64;
            let norm = x.iter().map(|v| (v - mean).powi(2)).sum::<f64>().sqrt();
            x.iter_mut().for_each(|v| *v = (*v - mean) / norm);
            x = neighbours.iter().map(|vs| vs.iter().map(|v| x[*v]).sum::<f64>() / 6.0).collect();
            lambda = x.iter().map(|v| v * v).sum::<f64>().sqrt();
        }
        // A random 6-regular graph comes close to 2 * sqrt(5) / 6 = 0.745; that of a torus or a
        // cycle tends to 1 as the graph grows.
        assert!(lambda < 0.85, "{n} workers: second eigenvalue {lambda}, expected below 0.85");
    }
}

/// Without load reports, probes or load, jobs go to the walkers' positions, which are nearly
/// uniform over time.
#[test]
fn walkers_visit_all_workers_nearly_uniformly() {
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
    let mean = jobs as usize / names.len();
    assert_eq!(visits.len(), names.len());
    assert!(
        visits.values().all(|v| (mean / 3..mean * 3).contains(v)),
        "visits of a worker far from the mean of {mean}: {visits:?}"
    );
}

/// Guards the update of the graph in one pass over a list of workers: whatever updates came before,
/// and in whatever order, the graph is that of the workers that are ready now.
#[test]
fn one_update_of_many_workers_gives_the_same_graph_as_one_update_for_each() {
    let all = names(300);
    let mut rng = TestRng(7);
    let mut state: BTreeMap<&String, WorkerState> = BTreeMap::new();
    let (mut in_one_update, mut one_by_one) = (dispatcher(&[], 1), dispatcher(&[], 2));
    for round in 0..40 {
        let states = [WorkerState::Ready, WorkerState::Ready, WorkerState::Draining, WorkerState::Removed];
        let count = if round % 2 == 0 { 300 } else { 1 + rng.below(20) };
        let drawn: Vec<(&String, WorkerState)> =
            (0..count).map(|_| (&all[rng.below(300) as usize], states[rng.below(4) as usize])).collect();
        // A list may contain a worker twice. The last entry counts, as with one update for each.
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
        assert_eq!(edges(&in_one_update, &ready), fresh, "graph after one update in round {round}");
        assert_eq!(
            edges(&one_by_one, &ready),
            fresh,
            "graph after an update for each worker in round {round}"
        );
    }
}

/// Guards attributes that change while the worker stays in the list, such as its machine kind.
#[test]
fn changed_machine_kind_of_a_listed_worker_takes_effect() {
    let mut settings = default_settings(Idempotency::Idempotent);
    settings.machine_kind_count = 2;
    settings.classes[0].machine_kind = Some(1);
    let mut dispatcher = Dispatcher::new(settings, 1).expect("valid settings");
    let mut is_used = |machine_kind: u32, id: u64| {
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
    assert_eq!([is_used(0, 1), is_used(1, 2), is_used(0, 3), is_used(1, 4)], [false, true, false, true]);
}

/// Guards against a removal in quadratic time: the removal of 20 times as many workers takes less
/// than 100 times as long.
#[test]
fn removal_of_all_workers_takes_less_than_quadratic_time() {
    let time = |n| {
        let names = names(n);
        let remove_all = |seed| {
            let mut dispatcher = dispatcher(&names, seed);
            let start = std::time::Instant::now();
            dispatcher.handle(
                1,
                Event::EndpointsChanged { update: EndpointUpdate::Snapshot, endpoints: &[] },
                &mut Vec::new(),
            );
            start.elapsed()
        };
        (0..5).map(remove_all).min().expect("five runs")
    };
    let (small, large) = (time(1_000), time(20_000));
    println!("removal took {small:?} for 1,000 workers and {large:?} for 20,000");
    assert!(large < 100 * small, "removal took {small:?} for 1,000 workers and {large:?} for 20,000");
}
