//! Operators replace the configuration while machines crash, also all at once and with writes in
//! progress, lose their disks, pause, are isolated for 20 s, and while messages are delayed and
//! responses are lost.
//!
//! In addition to the checks of [`operator_simulation`], the configuration of the primary at the
//! end must be the newest confirmed version, or a later one that was accepted but not confirmed.
mod operator_simulation;

use operator_simulation::{Change, Operator, OperatorSimulation, configuration_text};
use rand::Rng;

/// Duration of an isolation, milliseconds: longer than every lease.
const ISOLATION_MS: u64 = 20_000;
/// The number of faults in one run.
const FAULTS_PER_RUN: usize = 8;
/// The number of runs, each with its own seed, unless the variable `SEEDS` sets another.
const DEFAULT_RUNS: u64 = 12;

/// Runs a cluster with faults while operators replace the configuration.
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
    simulation.response_loss_rate = 0.0;
    simulation.run(4_000);
    let newest = simulation.newest_confirmed();
    let confirmed = simulation.confirmed.len();
    assert!(confirmed > 20, "seed {seed}: expected more than 20 confirmed changes, found {confirmed}");
    let primary = simulation.cluster.primary().expect("a primary");
    let version = simulation.primaries[&primary].configuration.version();
    assert!(version >= newest, "seed {seed}: version {version} in force, but version {newest} was confirmed");
}

/// Injects a random fault and ends it. Except for a crash of all machines, the fault concerns
/// `machine`.
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
fn operators_get_consistent_responses_under_faults() {
    let runs = std::env::var("SEEDS").ok().and_then(|runs| runs.parse().ok()).unwrap_or(DEFAULT_RUNS);
    (0..runs).for_each(run_with_faults);
}

/// A primary accepts a change and crashes before any other machine has it. The next primary must
/// not treat it as accepted, so it may confirm another change of the same version, and the lost
/// change must not come into force when its machine returns.
#[test]
fn uncommitted_change_of_a_crashed_primary_does_not_come_into_force() {
    for seed in 0..20 {
        let mut simulation = OperatorSimulation::new(seed);
        simulation.response_loss_rate = 0.0;
        simulation.operators.clear();
        simulation.run(1_500);
        let primary = simulation.cluster.primary().expect("a primary");
        // The primary's messages reach no other machine, and it crashes soon after its write.
        simulation.cluster.isolate(primary, true, false);
        let lost_change = Change { base_version: 0, version: 5, text: configuration_text(5, 1) };
        let other_change = Change { text: configuration_text(5, 2), ..lost_change.clone() };
        simulation.operators.push(Operator::sending(lost_change.clone()));
        simulation.send_change(0, primary);
        simulation.run(30);
        assert!(simulation.confirmed.is_empty(), "seed {seed}: a change was confirmed before its commit");
        simulation.cluster.crash(primary);
        simulation.cluster.heal_links();
        simulation.operators[0].change = Some(other_change.clone());
        simulation.run(3_000);
        assert_eq!(simulation.confirmed.get(&5), Some(&other_change), "seed {seed}");
        // The machine that wrote the lost change returns; its replica must not replace the
        // committed one.
        simulation.cluster.start(primary);
        simulation.run(2_000);
        let (machine, state) = simulation.primaries.iter().next().expect("a primary");
        let text = state.configuration.text();
        assert!(text != Some(&lost_change.text), "seed {seed}: machine {machine} serves the lost change");
        let version = state.configuration.version();
        assert!(version >= 5, "seed {seed}: machine {machine} serves version {version}");
    }
}
