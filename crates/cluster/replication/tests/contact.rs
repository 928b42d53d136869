//! Long cuts, in both directions and one: who may send others to a primary. `SimulatedCluster` checks after each step that whoever
//! names one knows that it acted less than a lease ago.
mod common;
use common::{LEASE_MS, SimulatedCluster};

const SEEDS: u64 = 10;
/// A cut that outlasts every lease, milliseconds.
const CUT_MS: u64 = 20_000;

fn started(seed: u64, max_failures: usize) -> SimulatedCluster {
    let mut world = SimulatedCluster::new(seed, max_failures);
    world.run(1_500);
    assert!(world.primary().is_some(), "seed {seed}: no start");
    world
}

fn names_a_primary(world: &SimulatedCluster, i: usize) -> bool {
    let replica = world.machines[i].replica.as_ref().expect("runs");
    replica.verified_primary(world.now_ms).is_some()
}

/// Cuts off the machine for 20 s, and looks what it and the others say meanwhile and in the first second after.
fn cut_for_long(seed: u64, max_failures: usize, i: usize, sends: bool, receives: bool) {
    let mut world = started(seed, max_failures);
    world.isolate(i, sends, receives);
    world.run(2 * LEASE_MS + 600);
    let others: Vec<usize> = (0..world.machines.len()).filter(|other| *other != i).collect();
    let (mut served, before) = (0, world.committed_keys.len());
    for _ in 0..(CUT_MS - world.now_ms % 7) / 10 {
        world.run(10);
        assert!(
            !names_a_primary(&world, i),
            "seed {seed}: {i} is cut off and names a primary at {}",
            world.now_ms
        );
        served += usize::from(world.primary().is_some());
    }
    assert!(
        served as u64 * 10 > CUT_MS * 9 / 10,
        "seed {seed}: service for {served} of {} looks",
        CUT_MS / 10
    );
    assert!(
        world.committed_keys.len() > before + 1_000,
        "seed {seed}: {} commits",
        world.committed_keys.len() - before
    );
    let primary = world.primary();
    world.partitioned_links.clear();
    world.run(1_000);
    assert_eq!(world.primary(), primary, "seed {seed}: the return of one machine changed the primary");
    for other in others.iter().chain([&i]) {
        assert!(names_a_primary(&world, *other), "seed {seed}: {other} knows no primary after the cut");
    }
}

#[test]
fn a_primary_that_is_cut_off_names_nobody_and_the_others_serve() {
    for seed in 0..SEEDS {
        for (sends, receives) in [(true, true), (true, false), (false, true)] {
            for max_failures in [1, 2] {
                let primary = started(seed, max_failures).primary().expect("serves");
                cut_for_long(seed, max_failures, primary, sends, receives);
            }
        }
    }
}

#[test]
fn a_follower_that_is_cut_off_names_nobody_and_disturbs_nobody() {
    for seed in 0..SEEDS {
        for (sends, receives) in [(true, true), (true, false), (false, true)] {
            let primary = started(seed, 1).primary().expect("serves");
            cut_for_long(seed, 1, (primary + 1) % 3, sends, receives);
        }
    }
}

#[test]
fn a_machine_that_wakes_up_does_not_depose_the_primary() {
    for seed in 0..SEEDS {
        let mut world = started(seed, 1);
        let primary = world.primary().expect("serves");
        let terms = world.activations;
        for _ in 0..3 {
            world.pause((primary + 1) % 3, 3_000);
            world.run(4_000);
        }
        assert_eq!((world.primary(), world.activations), (Some(primary), terms), "seed {seed}");
    }
}

/// An old `Resign` that arrives after the same machine has a new lease must not free that lease: two might act.
#[test]
fn a_late_resignation_does_not_end_a_newer_lease() {
    for seed in 0..40 {
        let mut world = started(seed, 1);
        for _ in 0..4 {
            let primary = world.primary().expect("serves");
            // Its messages to one witness are held up for a while, and then all come at once.
            let witness = (primary + 1 + seed as usize % 2) % 3;
            world.delay_link((primary, witness), 150 + seed * 10);
            let (now, i) = (world.now_ms, primary);
            world.with_replica(i, |replica| replica.resign(now));
            world.run(1_500);
        }
    }
}

/// The same, forced: the machine leads again, holds its lease by one witness alone, and then that witness gets the old
/// resignation once more. If it freed the lease, the two others would elect another while this one acts.
#[test]
fn an_old_resignation_does_not_free_the_only_witness_of_a_lease() {
    let mut played = 0;
    for seed in 0..60 {
        let mut world = started(seed, 1);
        let first = world.primary().expect("serves");
        let late = 2_500;
        world.resign_duplicate_delay_ms = Some(late);
        (0..100).for_each(|_| world.step());
        let resigned_at = world.now_ms;
        let now = world.now_ms;
        world.with_replica(first, |replica| replica.resign(now));
        world.resign_duplicate_delay_ms = None;
        // The role goes round until the first one has it again; where it passes that one by, the story is not played.
        while world.primary() != Some(first) && world.now_ms < resigned_at + 1_500 {
            if let Some(other) = world.primary() {
                let now = world.now_ms;
                world.with_replica(other, |replica| replica.resign(now));
            }
            // Without new batches, so that the other has all and is named as the successor.
            (0..100).for_each(|_| world.step());
        }
        if world.primary() != Some(first) {
            continue;
        }
        played += 1;
        let cut = (first + 1 + seed as usize % 2) % 3;
        world.partitioned_links.extend([(first, cut), (cut, first)]);
        // `SimulatedCluster` checks in each millisecond that nobody acts beside another.
        world.run(resigned_at + late + 800 - world.now_ms);
        assert_eq!(world.primary(), Some(first), "seed {seed}: {}", world.describe());
    }
    assert!(played >= 10, "{played} stories played");
}
