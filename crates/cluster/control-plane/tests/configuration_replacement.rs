//! Operators replace the configuration while machines are isolated for twenty seconds, crash,
//! pause, and lose power and disks between a write and its answer, and while answers get lost.
//!
//! Beside what [`operator_simulation`] checks, at the end the newest confirmed version is in force,
//! or one that came after it without an answer.
mod operator_simulation;

use operator_simulation::{Change, Operator, OperatorSimulation, configuration_text};
use rand::Rng;

/// How long a machine is isolated: longer than every lease, milliseconds.
const ISOLATION_MS: u64 = 20_000;
/// Faults of one run.
const FAULTS_PER_RUN: usize = 8;
const DEFAULT_RUNS: u64 = 12;

/// A run with operators at work all the time.
fn run_with_faults(seed: u64) {
    let mut simulation = OperatorSimulation::new(seed);
    simulation.run(2_000);
    for _ in 0..FAULTS_PER_RUN {
        let count = simulation.cluster.machines.len();
        let machine = match simulation.cluster.primary() {
            Some(primary) if simulation.rng.random_bool(0.7) => primary,
            _ => simulation.rng.random_range(0..count),
        };
        let wait_ms = simulation.rng.random_range(0..60);
        simulation.run(wait_ms);
        inject_fault(&mut simulation, machine);
        simulation.run(3_000);
    }
    simulation.answer_loss_rate = 0.0;
    simulation.run(4_000);
    let newest = simulation.newest_confirmed();
    let confirmed = simulation.confirmed.len();
    assert!(confirmed > 20, "seed {seed}: {confirmed} changes confirmed");
    let primary = simulation.cluster.primary().expect("a primary");
    let version = simulation.primaries[&primary].configuration.version();
    assert!(version >= newest, "seed {seed}: version {version} in force, {newest} confirmed");
}

fn inject_fault(simulation: &mut OperatorSimulation, machine: usize) {
    let count = simulation.cluster.machines.len();
    match simulation.rng.random_range(0..8) {
        0 => {
            simulation.cluster.crash(machine);
            let down_ms = simulation.rng.random_range(100..2_000);
            simulation.run(down_ms);
            simulation.cluster.start(machine);
        }
        1 => {
            (0..count).for_each(|other| simulation.cluster.crash(other));
            simulation.run(100);
            (0..count).for_each(|other| simulation.cluster.start(other));
        }
        2 => {
            simulation.cluster.lose_disk(machine);
            simulation.run(500);
            simulation.cluster.start(machine);
        }
        3 => {
            simulation.cluster.pause(machine, 3_000);
            simulation.run(3_500);
        }
        4 | 5 => {
            let direction = simulation.rng.random_range(0..3);
            simulation.cluster.isolate(machine, direction != 1, direction != 2);
            simulation.run(ISOLATION_MS);
            simulation.cluster.heal_links();
            simulation.run(1_000);
        }
        6 => {
            simulation.cluster.lose_disk(machine);
            (0..count).filter(|other| *other != machine).for_each(|other| simulation.cluster.crash(other));
            simulation.run(50);
            (0..count).for_each(|other| simulation.cluster.start(other));
        }
        _ => {
            let receiver = (machine + 1) % count;
            simulation.cluster.delay_link(machine, receiver, 1_500);
            simulation.run(2_000);
        }
    }
}

#[test]
fn operators_get_consistent_answers_under_faults() {
    let runs = std::env::var("SEEDS").ok().and_then(|runs| runs.parse().ok()).unwrap_or(DEFAULT_RUNS);
    (0..runs).for_each(run_with_faults);
}

/// It is not confirmed at a retry, and another change may take its version.
#[test]
fn a_change_that_was_never_committed_is_decided_anew_by_the_next_primary() {
    for seed in 0..20 {
        let mut simulation = OperatorSimulation::new(seed);
        simulation.answer_loss_rate = 0.0;
        simulation.operators.clear();
        simulation.run(1_500);
        let primary = simulation.cluster.primary().expect("a primary");
        // What the primary writes reaches no other machine, and it crashes right after.
        simulation.cluster.isolate(primary, true, false);
        let lost = Change { base_version: 0, version: 5, text: configuration_text(5, 1) };
        let other = Change { text: configuration_text(5, 2), ..lost.clone() };
        simulation.operators.push(Operator::sending(lost.clone()));
        simulation.send(0, primary);
        simulation.run(30);
        assert!(simulation.confirmed.is_empty(), "seed {seed}: confirmed without a commit");
        simulation.cluster.crash(primary);
        simulation.cluster.heal_links();
        simulation.operators[0].change = Some(other.clone());
        simulation.run(3_000);
        assert_eq!(simulation.confirmed.get(&5), Some(&other), "seed {seed}");
        // The machine that wrote the lost change returns; its replica does not come into force.
        simulation.cluster.start(primary);
        simulation.run(2_000);
        let (machine, state) = simulation.primaries.iter().next().expect("a primary");
        let text = state.configuration.text();
        assert!(text != Some(&lost.text), "seed {seed}: machine {machine} serves the lost change");
        let version = state.configuration.version();
        assert!(version >= 5, "seed {seed}: machine {machine} serves version {version}");
    }
}
