//! The first start: the system starts once, within a second, with any majority of its machines.
mod common;
use common::{SimulatedCluster, env_number};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// By when the system must have started, milliseconds after the last machine of a majority.
const BOOTSTRAP_TIMEOUT_MS: u64 = 1_000;
/// The same once links and machines that were in trouble are back, milliseconds.
const RECOVERY_TIMEOUT_MS: u64 = 6_000;
const POLL_MS: u64 = 10;

/// Whether there is a primary that has committed something within so long.
fn bootstraps_within(cluster: &mut SimulatedCluster, timeout_ms: u64) -> bool {
    (0..timeout_ms / POLL_MS).any(|_| {
        cluster.run(POLL_MS);
        cluster.primary().is_some() && !cluster.committed_keys.is_empty()
    })
}

fn check_bootstrap_without(seed: u64, max_failures: usize, down: &BTreeSet<usize>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = SimulatedCluster::before_start(seed, max_failures);
    let count = cluster.machines.len();

    for index in (0..count).filter(|index| !down.contains(index)) {
        cluster.start(index);
        cluster.run(rng.random_range(0..300 / count as u64));
    }
    let bootstraps = bootstraps_within(&mut cluster, BOOTSTRAP_TIMEOUT_MS);
    assert!(bootstraps, "seed {seed}, without {down:?}: {}", cluster.describe());

    // Those that start later join and start no system of their own: a rule of `common` checks that
    // nothing is missing.
    for index in down {
        cluster.run(rng.random_range(0..2_000));
        cluster.start(*index);
    }
    cluster.run(3_000);
    for index in 0..count {
        assert!(cluster.is_in_sync(index), "seed {seed}: {index} is not in sync: {}", cluster.describe());
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

/// Links that are cut in any direction, crashes and lost disks during bootstrap. The system starts
/// at most once: two first views in force would show as two primaries, or as committed keys that a
/// later primary lacks.
fn check_bootstrap_under_faults(seed: u64, max_failures: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xF157);
    let mut cluster = SimulatedCluster::before_start(seed, max_failures);
    let count = cluster.machines.len();
    for _ in 0..rng.random_range(1..2 * count) {
        let (from, to) = (rng.random_range(0..count), rng.random_range(0..count));
        cluster.cut_link(from, to);
    }
    for index in 0..count {
        cluster.start(index);
        cluster.run(rng.random_range(0..300));
    }

    // As many machines as may be lost; one that crashes before it has written anything is as good
    // as without its disk.
    let mut struck: Vec<usize> = (0..max_failures).map(|_| rng.random_range(0..count)).collect();
    struck.extend_from_within(..);
    let mut is_beyond_tolerance = false;
    for index in struck {
        if rng.random_bool(0.3) {
            // With a machine cut off this is one loss too many: the view may have no more than f +
            // 1 members yet.
            is_beyond_tolerance |= !cluster.network.partitioned.is_empty();
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
    assert!(bootstraps || is_beyond_tolerance, "seed {seed}: {}", cluster.describe());
    cluster.run(2_000);
}

#[test]
fn the_system_starts_exactly_once_under_cut_links_and_losses() {
    let seeds = env_number("SEEDS", 60);
    (0..seeds).for_each(|seed| check_bootstrap_under_faults(seed, 1));
    (0..seeds / 2).for_each(|seed| check_bootstrap_under_faults(10_000 + seed, 2));
}

/// The first seed has lost its disk, with `bootstrap` still in its settings, and meets the two
/// others, who know a view.
#[test]
fn a_seed_that_lost_its_disk_does_not_bootstrap_again() {
    for seed in 0..20 {
        let mut cluster = SimulatedCluster::new(seed, 1);
        assert!(bootstraps_within(&mut cluster, BOOTSTRAP_TIMEOUT_MS), "seed {seed}");
        cluster.run(300);

        cluster.lose_disk(0);
        cluster.machines[0].config.bootstrap = true;
        cluster.run(200 * (seed % 4));
        cluster.start(0);
        cluster.run(3_000);

        assert!(cluster.is_in_sync(0), "seed {seed}: {}", cluster.describe());
    }
}
