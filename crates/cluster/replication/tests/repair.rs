//! Repair of a machine that lacks much, over links that are slow, cut and lost, while writes go on.
mod common;
use common::SimulatedCluster;

const SEEDS: u64 = 10;

fn serves_within(world: &mut SimulatedCluster, ms: u64) -> bool {
    let before = world.committed_keys.len();
    (0..ms / 50).any(|_| {
        world.run(50);
        world.primary().is_some() && world.committed_keys.len() > before + 5
    })
}

/// A system that serves, with a state of so many values of so many bytes.
fn with_state(seed: u64, values: usize, bytes: usize) -> SimulatedCluster {
    let mut world = SimulatedCluster::new(seed, 1);
    world.preserves_order = true;
    world.value_bytes = bytes;
    while world.committed_keys.len() < values {
        world.run(50);
        assert!(world.now_ms < 1_200_000, "seed {seed}: no start");
    }
    world.value_bytes = 20;
    world
}

/// The measured failure: the first answer of a repair takes long to arrive, and the third machine is lost meanwhile.
fn slow_answer_and_a_loss(seed: u64, delay: u64, shared_connection: bool) {
    let mut world = with_state(seed, 200, 1_000);
    world.shared_connection = shared_connection;
    let primary = world.primary().expect("serves");
    let (slow, third) = ((primary + 1) % 3, (primary + 2) % 3);
    for from in [primary, third] {
        world.data_delay.insert((from, slow), delay);
    }
    world.crash(slow);
    world.run(1_000);
    world.start(slow);
    world.run(200);
    world.crash(third);
    assert!(
        serves_within(&mut world, 20_000),
        "seed {seed}, {delay} ms, one lane {shared_connection}: {}",
        world.describe()
    );
}

#[test]
fn a_slow_repair_does_not_end_service_when_the_third_machine_is_lost() {
    for delay in [300, 600, 1_000, 1_500] {
        (0..SEEDS).for_each(|seed| slow_answer_and_a_loss(seed, delay, false));
    }
}

#[test]
fn nor_where_data_delays_everything_behind_it() {
    for delay in [300, 400] {
        (0..SEEDS).for_each(|seed| slow_answer_and_a_loss(seed, delay, true));
    }
}

#[test]
fn a_wiped_machine_gets_in_sync_where_items_overtake_one_another() {
    for seed in 0..SEEDS {
        let mut world = with_state(seed, 200, 1_000);
        world.preserves_order = false;
        let primary = world.primary().expect("serves");
        let wiped = (primary + 1) % 3;
        world.data_delay.insert((primary, wiped), 100);
        world.lose_disk(wiped);
        world.run(100);
        world.start(wiped);
        world.run(3_000);
        assert!(world.is_in_sync(wiped), "seed {seed}: {}", world.describe());
    }
}

/// Commits that went on meanwhile.
fn commits_in(world: &mut SimulatedCluster, ms: u64) -> usize {
    let before = world.committed_keys.len();
    world.run(ms);
    world.committed_keys.len() - before
}

#[test]
fn a_large_state_comes_in_pieces_over_a_slow_link_while_writes_go_on() {
    let megabytes: usize = std::env::var("STATE_MB").ok().and_then(|s| s.parse().ok()).unwrap_or(8);
    let mut world = with_state(1, megabytes * 10, 100_000);
    world.max_item_bytes = 0;
    let primary = world.primary().expect("serves");
    let wiped = (primary + 1) % 3;
    // 1 MB a second.
    world.data_rate.insert((primary, wiped), 1_000);
    world.lose_disk(wiped);
    world.run(1_000);
    world.start(wiped);
    let began = world.now_ms;
    while !world.is_in_sync(wiped) {
        assert!(commits_in(&mut world, 500) > 40, "writes stopped: {}", world.describe());
        assert_eq!(world.primary(), Some(primary), "the primary lost its lease");
        let bound = 3 * megabytes as u64 * 1_000 + 5_000;
        assert!(world.now_ms < began + bound, "not in sync after {bound} ms: {}", world.describe());
    }
    assert!(world.max_item_bytes <= 100_100, "an item of {} bytes", world.max_item_bytes);
    println!("{megabytes} MB at 1 MB/s: in sync after {} ms", world.now_ms - began);
}

#[test]
fn a_follower_that_crashes_half_way_goes_on_from_there() {
    let mut world = with_state(2, 40, 100_000);
    let primary = world.primary().expect("serves");
    let wiped = (primary + 1) % 3;
    world.data_rate.insert((primary, wiped), 1_000);
    world.lose_disk(wiped);
    world.run(1_000);
    world.start(wiped);
    world.data_bytes.clear();
    // Three crashes in the 4 s that the repair takes; that it never counts as in sync before its end is checked each step.
    for _ in 0..3 {
        world.run(1_000);
        assert!(world.machines[wiped].disk.repair_incomplete, "the repair is under way");
        assert!(!world.is_in_sync(wiped));
        world.crash(wiped);
        world.run(100);
        world.start(wiped);
    }
    let began = world.now_ms;
    while !world.is_in_sync(wiped) {
        world.run(100);
        assert!(world.now_ms < began + 8_000, "never in sync: {}", world.describe());
    }
    let sent = world.data_bytes[&(primary, wiped)];
    assert!(sent < 6_000_000, "{sent} bytes sent for a state of 4 MB");
}

#[test]
fn progress_is_kept_over_a_change_of_primary() {
    for seed in 0..SEEDS {
        let mut world = with_state(seed, 40, 100_000);
        let primary = world.primary().expect("serves");
        let (wiped, third) = ((primary + 1) % 3, (primary + 2) % 3);
        for from in [primary, third] {
            world.data_rate.insert((from, wiped), 1_000);
        }
        world.lose_disk(wiped);
        world.run(1_000);
        world.start(wiped);
        world.data_bytes.clear();
        world.run(2_000);
        world.pause(primary, 700);
        let began = world.now_ms;
        while !world.is_in_sync(wiped) {
            world.run(100);
            assert!(world.now_ms < began + 12_000, "seed {seed}: never in sync: {}", world.describe());
        }
        let sent: usize =
            [primary, third].iter().filter_map(|from| world.data_bytes.get(&(*from, wiped))).sum();
        assert!(sent < 7_000_000, "seed {seed}: {sent} bytes sent for a state of 4 MB");
    }
}

#[test]
fn a_follower_in_sync_takes_a_repair_whole() {
    // The primary dies with batches that only one replica has. The other is repaired by it, and at each step either lacks
    // such a batch or has all of it; `SimulatedCluster` checks that nothing in sync is incomplete.
    for seed in 0..40 {
        let mut world = with_state(seed, 50, 500);
        let primary = world.primary().expect("serves");
        world.partitioned_links.insert((primary, (primary + 1) % 3));
        world.run(40 + seed % 30);
        world.crash(primary);
        world.partitioned_links.clear();
        assert!(serves_within(&mut world, 6_000), "seed {seed}: {}", world.describe());
    }
}
