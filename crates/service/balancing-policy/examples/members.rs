//! What an update of the endpoint list costs the policy: `cargo run --release -p
//! spanlead-balancing-policy
//! --example members`.
//!
//! For each size: a first snapshot, the same snapshot again, one in which every worker's weight,
//! zone
//! and cell have changed, and an empty one; then one change alone. Microseconds of the event, the
//! median of some rounds, each on a new dispatcher.

use spanlead_balancing_policy::{
    Dispatcher, Endpoint, EndpointUpdate, Event, RequestClass, Settings, WorkerState,
};
use std::time::Instant;

/// Rounds that the median is taken of.
const ROUNDS: usize = 9;

/// The times of one round, in nanoseconds.
struct RoundTimes {
    first_list: u128,
    same_again: u128,
    all_changed: u128,
    all_gone: u128,
    one_change: u128,
}

fn main() {
    println!(
        "workers   first list   same again   all changed   all gone   one change   (microseconds, medians of {ROUNDS})"
    );
    for size in [100, 1_000, 5_000, 20_000] {
        let names: Vec<String> = (0..size).map(|number| format!("w{number:05}.kista.example.org")).collect();
        let rounds: Vec<RoundTimes> = (0..ROUNDS).map(|seed| play_round(&names, seed as u64)).collect();
        let first = median(&rounds, |round| round.first_list);
        let same = median(&rounds, |round| round.same_again);
        let changed = median(&rounds, |round| round.all_changed);
        let gone = median(&rounds, |round| round.all_gone);
        let one = median(&rounds, |round| round.one_change);
        println!("{size:7} {first:12.1} {same:12.1} {changed:13.1} {gone:10.1} {one:12.1}");
    }
}

/// The median in microseconds.
fn median(rounds: &[RoundTimes], time: impl Fn(&RoundTimes) -> u128) -> f64 {
    let mut times: Vec<u128> = rounds.iter().map(time).collect();
    times.sort_unstable();
    times[ROUNDS / 2] as f64 / 1000.0
}

fn play_round(names: &[String], seed: u64) -> RoundTimes {
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
    let same_again = time(EndpointUpdate::Snapshot, &list);
    let all_changed = time(EndpointUpdate::Snapshot, &changed);
    let one_change = time(EndpointUpdate::Delta, &one);
    let all_gone = time(EndpointUpdate::Snapshot, &[]);
    RoundTimes { first_list, same_again, all_changed, all_gone, one_change }
}
