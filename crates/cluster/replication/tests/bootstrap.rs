//! Bootstrap: the system starts exactly once, within a second, with any majority of its machines.
mod common;
use common::{SimulatedCluster, env_number};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// The maximum time from the start of the last running machine until the first commit,
/// milliseconds.
const BOOTSTRAP_TIMEOUT_MS: u64 = 1_000;
/// The maximum time from the recovery of all links and machines until the first commit,
/// milliseconds.
const RECOVERY_TIMEOUT_MS: u64 = 6_000;
/// The interval at which a test checks for the first commit, milliseconds.
const POLL_MS: u64 = 10;

/// Runs the cluster until it has a primary and a committed key, and returns whether that took at
/// most `timeout_ms`.
fn bootstraps_within(cluster: &mut SimulatedCluster, timeout_ms: u64) -> bool {
    (0..timeout_ms / POLL_MS).any(|_| {
        cluster.run(POLL_MS);
        cluster.primary().is_some() && !cluster.committed_keys.is_empty()
    })
}

/// Starts all machines except those in `down`, checks that the system bootstraps in time, and then
/// that the machines in `down` join it when they start.
fn check_bootstrap_without(seed: u64, max_failures: usize, down: &BTreeSet<usize>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = SimulatedCluster::not_started(seed, max_failures);
    let count = cluster.machines.len();

    for index in (0..count).filter(|index| !down.contains(index)) {
        cluster.start(index);
        cluster.run(rng.random_range(0..300 / count as u64));
    }
    let bootstraps = bootstraps_within(&mut cluster, BOOTSTRAP_TIMEOUT_MS);
    assert!(bootstraps, "seed {seed}, without {down:?}: no bootstrap: {}", cluster.describe());

    // The machines that start later must join the system and not bootstrap another one: the
    // invariants of `common` detect a second primary and lost keys.
    for index in down {
        cluster.run(rng.random_range(0..2_000));
        cluster.start(*index);
    }
    cluster.run(3_000);
    for index in 0..count {
        assert!(
            cluster.is_in_sync(index),
            "seed {seed}: machine {index} is not in sync: {}",
            cluster.describe()
        );
    }
}

#[test]
fn any_majority_of_three_bootstraps_within_a_second() {
    for seed in 0..20 {
        check_bootstrap_without(seed, 1, &BTreeSet::new());
        (0..3).for_each(|down| check_bootstrap_without(seed, 1, &BTreeSet::from([down])));
    }
}

#[test]
fn any_majority_of_five_bootstraps_within_a_second_even_without_two_seeds() {
    for seed in 0..6 {
        check_bootstrap_without(seed, 2, &BTreeSet::new());
        for one in 0..5 {
            (0..one).for_each(|two| check_bootstrap_without(seed, 2, &BTreeSet::from([one, two])));
        }
    }
}

/// Cuts links in single directions, crashes machines and erases disks during bootstrap. The system
/// must start exactly once: two decided first views would show as two primaries, or as committed
/// keys that a later primary lacks.
fn check_bootstrap_under_faults(seed: u64, max_failures: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xF157);
    let mut cluster = SimulatedCluster::not_started(seed, max_failures);
    let count = cluster.machines.len();
    for _ in 0..rng.random_range(1..2 * count) {
        let (from, to) = (rng.random_range(0..count), rng.random_range(0..count));
        cluster.cut_link(from, to);
    }
    for index in 0..count {
        cluster.start(index);
        cluster.run(rng.random_range(0..300));
    }

    // As many machines as may fail at once, each of them twice. A machine that crashes before its
    // first write is equivalent to one that lost its disk.
    let mut faulty: Vec<usize> = (0..max_failures).map(|_| rng.random_range(0..count)).collect();
    faulty.extend_from_within(..);
    let mut is_beyond_tolerance = false;
    for index in faulty {
        if rng.random_bool(0.3) {
            // While links are cut this may be one failure too many: the view may have only f + 1
            // members yet.
            is_beyond_tolerance |= !cluster.network.cut_links.is_empty();
            cluster.lose_disk(index);
        } else {
            cluster.crash(index);
        }
        cluster.run(rng.random_range(0..400));
        cluster.start(index);
        cluster.run(rng.random_range(0..400));
    }
    cluster.heal_links();

    let bootstraps = bootstraps_within(&mut cluster, RECOVERY_TIMEOUT_MS);
    assert!(bootstraps || is_beyond_tolerance, "seed {seed}: no bootstrap: {}", cluster.describe());
    cluster.run(2_000);
}

#[test]
fn the_system_bootstraps_exactly_once_under_cut_links_crashes_and_lost_disks() {
    let seeds = env_number("SEEDS", 60);
    (0..seeds).for_each(|seed| check_bootstrap_under_faults(seed, 1));
    (0..seeds / 2).for_each(|seed| check_bootstrap_under_faults(10_000 + seed, 2));
}

/// A seed that lost its disk restarts with `bootstrap` still set, while the two others have a view.
/// It must join that view and not start a second system.
#[test]
fn a_seed_that_lost_its_disk_does_not_bootstrap_again() {
    for seed in 0..20 {
        let mut cluster = SimulatedCluster::new(seed, 1);
        assert!(bootstraps_within(&mut cluster, BOOTSTRAP_TIMEOUT_MS), "seed {seed}: no bootstrap");
        cluster.run(300);

        cluster.lose_disk(0);
        cluster.machines[0].config.bootstrap = true;
        cluster.run(200 * (seed % 4));
        cluster.start(0);
        cluster.run(3_000);

        assert!(cluster.is_in_sync(0), "seed {seed}: machine 0 is not in sync: {}", cluster.describe());
    }
}
