//! The first start: the system begins once, within a second, with any majority of its machines.
mod common;
use common::SimulatedCluster;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// By when it must have begun, milliseconds after the last of a majority has started.
const BEGIN_MS: u64 = 1_000;

fn begun_within(world: &mut SimulatedCluster, ms: u64) -> bool {
    (0..ms / 10).any(|_| {
        world.run(10);
        world.primary().is_some() && !world.committed_keys.is_empty()
    })
}

fn start_without(seed: u64, max_failures: usize, down: &BTreeSet<usize>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = SimulatedCluster::before_start(seed, max_failures);
    let count = world.machines.len();
    for i in (0..count).filter(|i| !down.contains(i)) {
        world.start(i);
        world.run(rng.random_range(0..300 / count as u64));
    }
    assert!(begun_within(&mut world, BEGIN_MS), "seed {seed}, without {down:?}: {}", world.describe());
    // Those that come later join and begin nothing of their own: `SimulatedCluster` checks that nothing committed is missing.
    for i in down {
        world.run(rng.random_range(0..2_000));
        world.start(*i);
    }
    world.run(3_000);
    for i in 0..count {
        assert!(world.is_in_sync(i), "seed {seed}: {i} is not in sync: {}", world.describe());
    }
}

#[test]
fn any_majority_of_three_begins_within_a_second() {
    for seed in 0..20 {
        start_without(seed, 1, &BTreeSet::new());
        (0..3).for_each(|down| start_without(seed, 1, &BTreeSet::from([down])));
    }
}

#[test]
fn any_majority_of_five_begins_within_a_second_though_two_seeds_are_down() {
    for seed in 0..6 {
        start_without(seed, 2, &BTreeSet::new());
        for one in 0..5 {
            (0..one).for_each(|two| start_without(seed, 2, &BTreeSet::from([one, two])));
        }
    }
}

/// Cuts in any direction, crashes and lost disks while the system begins. It begins at most once: two first views in force
/// would show as two primaries, or as committed keys that a later primary lacks.
fn troubled_start(seed: u64, max_failures: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xF157);
    let mut world = SimulatedCluster::before_start(seed, max_failures);
    let count = world.machines.len();
    for _ in 0..rng.random_range(1..2 * count) {
        let (from, to) = (rng.random_range(0..count), rng.random_range(0..count));
        world.partitioned_links.insert((from, to));
    }
    for i in 0..count {
        world.start(i);
        world.run(rng.random_range(0..300));
    }
    // As many machines as may be lost; one that is killed before it has written anything is as good as wiped.
    let mut struck: Vec<usize> = (0..max_failures).map(|_| rng.random_range(0..count)).collect();
    struck.extend_from_within(..);
    let mut more_than_borne = false;
    for i in struck {
        if rng.random_bool(0.3) {
            // With a machine cut off this is one loss too many: the view may have no more than f + 1 members yet.
            more_than_borne |= !world.partitioned_links.is_empty();
            world.lose_disk(i);
        } else {
            world.crash(i);
        }
        world.run(rng.random_range(0..400));
        world.start(i);
        world.run(rng.random_range(0..400));
    }
    world.partitioned_links.clear();
    let begun = begun_within(&mut world, 6_000);
    assert!(begun || more_than_borne, "seed {seed}: {}", world.describe());
    world.run(2_000);
}

#[test]
fn it_begins_exactly_once_whatever_is_cut_and_lost_meanwhile() {
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(60);
    (0..seeds).for_each(|seed| troubled_start(seed, 1));
    (0..seeds / 2).for_each(|seed| troubled_start(10_000 + seed, 2));
}

/// A first seed that has lost its disk, with `bootstrap` still in its settings, meets the two others, who know a view.
#[test]
fn a_seed_that_lost_its_disk_does_not_begin_again() {
    for seed in 0..20 {
        let mut world = SimulatedCluster::new(seed, 1);
        assert!(begun_within(&mut world, BEGIN_MS), "seed {seed}");
        world.run(300);
        world.lose_disk(0);
        world.machines[0].config.bootstrap = true;
        world.run(200 * (seed % 4));
        world.start(0);
        world.run(3_000);
        assert!(world.is_in_sync(0), "seed {seed}: {}", world.describe());
    }
}
