//! Measures the time that the policy takes to apply an update of the endpoint list:
//! `cargo run --release -p spanlead-balancing-policy --example members`.
//!
//! For each number of workers it times a first snapshot, the same snapshot again, a snapshot in
//! which the weight, zone and cell of every worker have changed, an empty snapshot, and a delta
//! with one changed worker. It prints the median over [`ROUNDS`] rounds in microseconds; each round
//! uses a new dispatcher.

use spanlead_balancing_policy::{
    Dispatcher, Endpoint, EndpointUpdate, Event, RequestClass, Settings, WorkerState,
};
use std::time::Instant;

/// The number of rounds of which the median is taken.
const ROUNDS: usize = 9;

/// The times of one round, in nanoseconds.
struct RoundTimes {
    first_list: u128,
    unchanged: u128,
    all_changed: u128,
    all_removed: u128,
    one_change: u128,
}

fn main() {
    println!(
        "workers   first list    unchanged   all changed  all removed   one change   (microseconds, medians of {ROUNDS} rounds)"
    );
    for size in [100, 1_000, 5_000, 20_000] {
        let names: Vec<String> = (0..size).map(|number| format!("w{number:05}.kista.example.org")).collect();
        let rounds: Vec<RoundTimes> = (0..ROUNDS).map(|seed| run_round(&names, seed as u64)).collect();
        let first = median(&rounds, |round| round.first_list);
        let unchanged = median(&rounds, |round| round.unchanged);
        let changed = median(&rounds, |round| round.all_changed);
        let removed = median(&rounds, |round| round.all_removed);
        let one = median(&rounds, |round| round.one_change);
        println!("{size:7} {first:12.1} {unchanged:12.1} {changed:13.1} {removed:12.1} {one:12.1}");
    }
}

/// Returns the median over the rounds of one of their times, in microseconds.
fn median(rounds: &[RoundTimes], time: impl Fn(&RoundTimes) -> u128) -> f64 {
    let mut times: Vec<u128> = rounds.iter().map(time).collect();
    times.sort_unstable();
    times[ROUNDS / 2] as f64 / 1000.0
}

fn run_round(names: &[String], seed: u64) -> RoundTimes {
    let settings = Settings { classes: vec![RequestClass::new(1, 1_000_000_000)], ..Settings::default() };
    let mut dispatcher = Dispatcher::new(settings, seed).expect("valid settings");
    let ready = |name| Endpoint::new(name, WorkerState::Ready);
    let list: Vec<Endpoint<'_>> = names.iter().map(|name| ready(name)).collect();
    let changed: Vec<Endpoint<'_>> =
        names.iter().map(|name| Endpoint { weight: 0.5, zone: 1, cell: 7, ..ready(name) }).collect();
    let one = [Endpoint { state: WorkerState::Draining, ..list[names.len() / 2].clone() }];
    let mut actions = Vec::new();
    let mut time = |update, endpoints: &[Endpoint<'_>]| {
        let started = Instant::now();
        dispatcher.handle(1, Event::EndpointsChanged { update, endpoints }, &mut actions);
        started.elapsed().as_nanos()
    };
    let first_list = time(EndpointUpdate::Snapshot, &list);
    let unchanged = time(EndpointUpdate::Snapshot, &list);
    let all_changed = time(EndpointUpdate::Snapshot, &changed);
    let one_change = time(EndpointUpdate::Delta, &one);
    let all_removed = time(EndpointUpdate::Snapshot, &[]);
    RoundTimes { first_list, unchanged, all_changed, all_removed, one_change }
}
