//! What the list of workers costs the module: `cargo run --release -p spanlead-balancing-policy
//! --example members`.
//!
//! For each size: a first whole list, the same list again, and one in which every worker's weight,
//! zone and cell have changed; then one change alone. Microseconds of the event, the median of some
//! rounds, each on a new dispatcher.
use spanlead_balancing_policy::{
    Dispatcher, Endpoint, EndpointUpdate, Event, RequestClass, Settings, WorkerState,
};
use std::time::Instant;

const ROUNDS: usize = 9;

fn main() {
    println!(
        "workers   first list   same again   all changed   all gone   one change   (microseconds, medians of {ROUNDS})"
    );
    for size in [100, 1_000, 5_000, 20_000] {
        let names: Vec<String> = (0..size).map(|i| format!("w{i:05}.kista.example.org")).collect();
        let rounds: Vec<[u128; 5]> = (0..ROUNDS).map(|seed| round(&names, seed as u64)).collect();
        let median = |at: usize| {
            let mut times: Vec<u128> = rounds.iter().map(|r| r[at]).collect();
            times.sort_unstable();
            times[ROUNDS / 2] as f64 / 1000.0
        };
        let [first, same, changed, gone, one] = std::array::from_fn(median);
        println!("{size:7} {first:12.1} {same:12.1} {changed:13.1} {gone:10.1} {one:12.1}");
    }
}

fn round(names: &[String], seed: u64) -> [u128; 5] {
    let settings = Settings { classes: vec![RequestClass::new(1, 1_000_000_000)], ..Settings::default() };
    let mut dispatcher = Dispatcher::new(settings, seed).expect("good settings");
    let ready = |name| Endpoint::new(name, WorkerState::Ready);
    let list: Vec<Endpoint<'_>> = names.iter().map(|name| ready(name)).collect();
    let changed: Vec<Endpoint<'_>> =
        names.iter().map(|name| Endpoint { weight: 0.5, zone: 1, cell: 7, ..ready(name) }).collect();
    let one = [Endpoint { state: WorkerState::Draining, ..list[names.len() / 2].clone() }];
    let mut out = Vec::new();
    let mut time = |scope, entries: &[Endpoint<'_>]| {
        let begun = Instant::now();
        dispatcher.handle(1, Event::EndpointsChanged { update: scope, endpoints: entries }, &mut out);
        begun.elapsed().as_nanos()
    };
    let first = time(EndpointUpdate::Snapshot, &list);
    let same = time(EndpointUpdate::Snapshot, &list);
    let all = time(EndpointUpdate::Snapshot, &changed);
    let single = time(EndpointUpdate::Delta, &one);
    let gone = time(EndpointUpdate::Snapshot, &[]);
    [first, same, all, gone, single]
}
