//! Members that leave for good, are replaced, or are only paused, and a second loss that comes
//! right after.
mod common;
use common::{LEASE_MS, SimulatedCluster};

const SEEDS: u64 = 15;
/// By when service must be back after the second loss, milliseconds.
const RECOVERY_TIMEOUT_MS: u64 = 6_000;
/// By when a member that asks to leave must be let go, milliseconds.
const LEAVE_TIMEOUT_MS: u64 = 2_000;
/// How long a standby runs before a test goes on, milliseconds.
const STANDBY_WARM_UP_MS: u64 = 1_000;

fn assert_serves_again(cluster: &mut SimulatedCluster, context: &str) {
    let serves = cluster.serves_within(RECOVERY_TIMEOUT_MS);
    assert!(serves, "{context}: {}", cluster.describe());
}

/// In a third of the runs the primary, else another member.
fn choose_member(cluster: &SimulatedCluster, seed: u64) -> usize {
    let primary = cluster.primary().expect("serves");
    if seed.is_multiple_of(3) { primary } else { (primary + 1) % cluster.machines.len() }
}

/// Crashes as many of the machines that are left as may be lost, the primary first.
fn crash_tolerated_number(cluster: &mut SimulatedCluster, max_failures: usize) {
    for _ in 0..max_failures {
        let runs = |index: &usize| cluster.machines[*index].replica.is_some();
        let any = (0..cluster.machines.len()).find(runs);
        let next = cluster.primary().or(any).expect("a machine runs");
        cluster.crash(next);
    }
}

/// A standby is there, and a member is told to leave. Once it may terminate it is lost, and
/// `pause_ms` later the second loss comes.
fn check_planned_replacement(seed: u64, max_failures: usize, pause_ms: u64) {
    let mut cluster = SimulatedCluster::started(seed, max_failures);
    cluster.add_standby(STANDBY_WARM_UP_MS);
    let leaving = choose_member(&cluster, seed);

    cluster.request_leave(leaving);
    let asked_at_ms = cluster.now_ms;
    while !cluster.machines[leaving].leave_allowed {
        cluster.run(1);
        let is_in_time = cluster.now_ms < asked_at_ms + LEAVE_TIMEOUT_MS;
        assert!(is_in_time, "seed {seed}: not let go: {}", cluster.describe());
    }
    cluster.lose_disk(leaving);
    cluster.run(pause_ms);
    crash_tolerated_number(&mut cluster, max_failures);

    assert_serves_again(&mut cluster, &format!("seed {seed}, {pause_ms} ms after"));
}

#[test]
fn a_second_loss_is_tolerated_at_once_after_a_planned_replacement() {
    for pause_ms in [0, 50, 400] {
        (0..SEEDS).for_each(|seed| check_planned_replacement(seed, 1, pause_ms));
        (0..SEEDS / 3).for_each(|seed| check_planned_replacement(500 + seed, 2, pause_ms));
    }
}

/// A standby is there, and a member is lost for good without a request to leave.
fn serves_after_unplanned_replacement(seed: u64, max_failures: usize, pause_ms: u64) -> bool {
    let mut cluster = SimulatedCluster::started(seed, max_failures);
    cluster.add_standby(STANDBY_WARM_UP_MS);
    let primary = cluster.primary().expect("serves");
    cluster.lose_disk((primary + 1) % cluster.machines.len());
    cluster.run(pause_ms);
    crash_tolerated_number(&mut cluster, max_failures);
    cluster.serves_within(RECOVERY_TIMEOUT_MS)
}

#[test]
fn a_standby_has_replaced_a_lost_member_within_400_ms() {
    for pause_ms in [400, 600, 1_000] {
        let fails_with_one = |seed: &u64| !serves_after_unplanned_replacement(*seed, 1, pause_ms);
        let failed: Vec<u64> = (0..SEEDS).filter(fails_with_one).collect();
        assert!(failed.is_empty(), "{pause_ms} ms after, seeds {failed:?}");
        let fails_with_two = |seed: &u64| !serves_after_unplanned_replacement(700 + *seed, 2, pause_ms);
        let failed: Vec<u64> = (0..SEEDS / 3).filter(fails_with_two).collect();
        assert!(failed.is_empty(), "two losses, {pause_ms} ms after, seeds {failed:?}");
    }
}

/// The lost machine is gone for a second when the new one starts.
fn serves_after_late_replacement(seed: u64, pause_ms: u64) -> bool {
    let mut cluster = SimulatedCluster::started(seed, 1);
    let primary = cluster.primary().expect("serves");
    cluster.lose_disk((primary + 1) % 3);
    cluster.run(1_000);
    cluster.add_standby(pause_ms);
    crash_tolerated_number(&mut cluster, 1);
    cluster.serves_within(RECOVERY_TIMEOUT_MS)
}

#[test]
fn a_machine_that_starts_a_second_after_the_loss_has_joined_within_150_ms() {
    for pause_ms in [150, 500, 1_000] {
        let failed: Vec<u64> =
            (0..SEEDS).filter(|seed| !serves_after_late_replacement(*seed, pause_ms)).collect();
        assert!(failed.is_empty(), "{pause_ms} ms after, seeds {failed:?}");
    }
}

#[test]
fn a_machine_that_lost_its_disk_has_rejoined_within_50_ms_of_its_return() {
    for seed in 0..SEEDS {
        let mut cluster = SimulatedCluster::started(seed, 1);
        let primary = cluster.primary().expect("serves");
        let wiped = (primary + 1) % 3;
        cluster.lose_disk(wiped);
        cluster.run(500);
        cluster.start(wiped);
        cluster.run(50);

        crash_tolerated_number(&mut cluster, 1);

        assert_serves_again(&mut cluster, &format!("seed {seed}"));
    }
}

#[test]
fn a_member_that_was_only_paused_gets_its_place_back() {
    for seed in 0..SEEDS {
        let mut cluster = SimulatedCluster::started(seed, 1);
        let standby = cluster.add_standby(STANDBY_WARM_UP_MS);
        let primary = cluster.primary().expect("serves");
        let paused = (primary + 1) % 3;
        let pause_ms = 200 + seed * 150;

        cluster.pause(paused, pause_ms);
        cluster.run(pause_ms + 600);

        assert!(cluster.is_in_sync(paused), "seed {seed}: {}", cluster.describe());
        assert!(!cluster.is_in_sync(standby), "seed {seed}: {}", cluster.describe());
        // Whichever of them is lost next, service goes on.
        cluster.lose_disk(paused);
        cluster.run(400);
        crash_tolerated_number(&mut cluster, 1);
        assert_serves_again(&mut cluster, &format!("seed {seed}"));
    }
}

#[test]
fn a_restart_without_a_standby_is_no_replacement() {
    for seed in 0..SEEDS {
        let mut cluster = SimulatedCluster::started(seed, 1);
        let restarting = choose_member(&cluster, seed);

        cluster.request_leave(restarting);
        cluster.run(LEASE_MS + 200);
        assert!(cluster.machines[restarting].leave_allowed, "seed {seed}: waits for nobody");
        cluster.crash(restarting);
        cluster.run(500);
        cluster.start(restarting);
        cluster.run(1_500);

        assert!(cluster.is_in_sync(restarting), "seed {seed}: {}", cluster.describe());
    }
}

/// While a member is replaced, the network is partitioned between the primary with the standby and
/// the two others. The new members alone have a majority on the primary's side, the old ones on the
/// other: the replacement needs both, or two primaries would act.
#[test]
fn a_partition_during_a_replacement_leaves_one_primary() {
    for seed in 0..4 {
        for after_ms in 0..40 {
            let mut cluster = SimulatedCluster::started(seed, 1);
            let standby = cluster.add_standby(STANDBY_WARM_UP_MS);
            let primary = cluster.primary().expect("serves");
            let (leaving, other) = ((primary + 1) % 3, (primary + 2) % 3);

            cluster.request_leave(leaving);
            cluster.run(after_ms);
            for near in [primary, standby] {
                for far in [leaving, other] {
                    cluster.cut_links_between(near, far);
                }
            }
            // Rules of `common`: nobody acts beside another, and nothing committed is lost.
            cluster.run(3_000);
            cluster.heal_links();

            assert_serves_again(&mut cluster, &format!("seed {seed}, {after_ms} ms"));
        }
    }
}
