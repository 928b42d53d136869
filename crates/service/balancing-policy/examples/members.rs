//! What the list of workers costs the module: `cargo run --release -p spanlead-balancing-policy --example members`.
//!
//! For each size: a first whole list, the same list again, and one in which every worker's weight, zone and cell have
//! changed; then one change alone. Microseconds of the event, the median of some rounds, each on a new dispatcher.
use spanlead_balancing_policy::{Class, Dispatcher, Entry, Event, ListScope, Settings, WorkerState};
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
    let settings = Settings { classes: vec![Class::new(1, 1_000_000_000)], ..Settings::default() };
    let mut dispatcher = Dispatcher::new(settings, seed).expect("good settings");
    let ready = |name| Entry::new(name, WorkerState::Ready);
    let list: Vec<Entry<'_>> = names.iter().map(|name| ready(name)).collect();
    let changed: Vec<Entry<'_>> =
        names.iter().map(|name| Entry { weight: 0.5, zone: 1, cell: 7, ..ready(name) }).collect();
    let one = [Entry { state: WorkerState::Draining, ..list[names.len() / 2].clone() }];
    let mut out = Vec::new();
    let mut time = |scope, entries: &[Entry<'_>]| {
        let begun = Instant::now();
        dispatcher.handle(1, Event::Members { scope, entries }, &mut out);
        begun.elapsed().as_nanos()
    };
    let first = time(ListScope::Full, &list);
    let same = time(ListScope::Full, &list);
    let all = time(ListScope::Full, &changed);
    let single = time(ListScope::Changes, &one);
    let gone = time(ListScope::Full, &[]);
    [first, same, all, gone, single]
}
