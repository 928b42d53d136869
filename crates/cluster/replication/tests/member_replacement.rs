//! Replacement of members that leave permanently, are lost or are paused, and the loss of another
//! machine shortly afterwards.
mod common;
use common::{LEASE_MS, SimulatedCluster};

const SEEDS: u64 = 15;
/// The maximum time from the last loss until service is restored, milliseconds.
const RECOVERY_TIMEOUT_MS: u64 = 6_000;
/// The maximum time from a request to leave until the member may terminate, milliseconds.
const LEAVE_TIMEOUT_MS: u64 = 2_000;
/// How long a standby runs before the next fault, milliseconds.
const STANDBY_WARM_UP_MS: u64 = 1_000;

/// Asserts that service is restored in time.
fn assert_service_is_restored(cluster: &mut SimulatedCluster, context: &str) {
    let serves = cluster.serves_within(RECOVERY_TIMEOUT_MS);
    assert!(serves, "{context}: no service within {RECOVERY_TIMEOUT_MS} ms: {}", cluster.describe());
}

/// Chooses the primary in a third of the runs, and another member in the others.
fn choose_member(cluster: &SimulatedCluster, seed: u64) -> usize {
    let primary = cluster.primary().expect("the cluster has a primary");
    if seed.is_multiple_of(3) { primary } else { (primary + 1) % cluster.machines.len() }
}

/// Crashes `max_failures` of the running machines, the primary first.
fn crash_tolerated_number(cluster: &mut SimulatedCluster, max_failures: usize) {
    for _ in 0..max_failures {
        let runs = |index: &usize| cluster.machines[*index].replica.is_some();
        let any = (0..cluster.machines.len()).find(runs);
        let next = cluster.primary().or(any).expect("a running machine");
        cluster.crash(next);
    }
}

/// Tells a member to leave while there is a standby, erases its disk as soon as it may terminate,
/// and crashes further machines `delay_ms` later. Service must be restored.
fn check_planned_replacement(seed: u64, max_failures: usize, delay_ms: u64) {
    let mut cluster = SimulatedCluster::with_primary(seed, max_failures);
    cluster.add_standby(STANDBY_WARM_UP_MS);
    let leaving = choose_member(&cluster, seed);

    cluster.request_leave(leaving);
    let asked_at_ms = cluster.now_ms;
    while !cluster.machines[leaving].leave_allowed {
        cluster.run(1);
        let is_in_time = cluster.now_ms < asked_at_ms + LEAVE_TIMEOUT_MS;
        assert!(
            is_in_time,
            "seed {seed}: leave not allowed within {LEAVE_TIMEOUT_MS} ms: {}",
            cluster.describe()
        );
    }
    cluster.lose_disk(leaving);
    cluster.run(delay_ms);
    crash_tolerated_number(&mut cluster, max_failures);

    assert_service_is_restored(&mut cluster, &format!("seed {seed}, second loss after {delay_ms} ms"));
}

#[test]
fn a_second_loss_right_after_a_planned_replacement_is_tolerated() {
    for delay_ms in [0, 50, 400] {
        (0..SEEDS).for_each(|seed| check_planned_replacement(seed, 1, delay_ms));
        (0..SEEDS / 3).for_each(|seed| check_planned_replacement(500 + seed, 2, delay_ms));
    }
}

/// Erases the disk of a member without a request to leave while there is a standby, and crashes
/// further machines `delay_ms` later. Returns whether service is restored.
fn serves_after_unplanned_replacement(seed: u64, max_failures: usize, delay_ms: u64) -> bool {
    let mut cluster = SimulatedCluster::with_primary(seed, max_failures);
    cluster.add_standby(STANDBY_WARM_UP_MS);
    let primary = cluster.primary().expect("the cluster has a primary");
    cluster.lose_disk((primary + 1) % cluster.machines.len());
    cluster.run(delay_ms);
    crash_tolerated_number(&mut cluster, max_failures);
    cluster.serves_within(RECOVERY_TIMEOUT_MS)
}

#[test]
fn a_second_loss_is_tolerated_400_ms_after_the_loss_of_a_member_with_a_standby() {
    for delay_ms in [400, 600, 1_000] {
        let fails_with_one = |seed: &u64| !serves_after_unplanned_replacement(*seed, 1, delay_ms);
        let failed: Vec<u64> = (0..SEEDS).filter(fails_with_one).collect();
        assert!(failed.is_empty(), "no service after a second loss {delay_ms} ms later, seeds {failed:?}");
        let fails_with_two = |seed: &u64| !serves_after_unplanned_replacement(700 + *seed, 2, delay_ms);
        let failed: Vec<u64> = (0..SEEDS / 3).filter(fails_with_two).collect();
        assert!(failed.is_empty(), "no service after two more losses {delay_ms} ms later, seeds {failed:?}");
    }
}

/// Erases the disk of a member, adds a new machine a second later, and crashes another machine
/// `delay_ms` after that. Returns whether service is restored.
fn serves_after_late_replacement(seed: u64, delay_ms: u64) -> bool {
    let mut cluster = SimulatedCluster::with_primary(seed, 1);
    let primary = cluster.primary().expect("the cluster has a primary");
    cluster.lose_disk((primary + 1) % 3);
    cluster.run(1_000);
    cluster.add_standby(delay_ms);
    crash_tolerated_number(&mut cluster, 1);
    cluster.serves_within(RECOVERY_TIMEOUT_MS)
}

#[test]
fn a_second_loss_is_tolerated_150_ms_after_the_start_of_a_machine_that_replaces_a_lost_member() {
    for delay_ms in [150, 500, 1_000] {
        let failed: Vec<u64> =
            (0..SEEDS).filter(|seed| !serves_after_late_replacement(*seed, delay_ms)).collect();
        assert!(
            failed.is_empty(),
            "no service after a second loss {delay_ms} ms after the start, seeds {failed:?}"
        );
    }
}

#[test]
fn a_second_loss_is_tolerated_50_ms_after_the_return_of_a_member_without_its_disk() {
    for seed in 0..SEEDS {
        let mut cluster = SimulatedCluster::with_primary(seed, 1);
        let primary = cluster.primary().expect("the cluster has a primary");
        let wiped = (primary + 1) % 3;
        cluster.lose_disk(wiped);
        cluster.run(500);
        cluster.start(wiped);
        cluster.run(50);

        crash_tolerated_number(&mut cluster, 1);

        assert_service_is_restored(&mut cluster, &format!("seed {seed}"));
    }
}

#[test]
fn a_paused_member_regains_its_place_from_the_standby() {
    for seed in 0..SEEDS {
        let mut cluster = SimulatedCluster::with_primary(seed, 1);
        let standby = cluster.add_standby(STANDBY_WARM_UP_MS);
        let primary = cluster.primary().expect("the cluster has a primary");
        let paused = (primary + 1) % 3;
        let pause_ms = 200 + seed * 150;

        cluster.pause(paused, pause_ms);
        cluster.run(pause_ms + 600);

        assert!(
            cluster.is_in_sync(paused),
            "seed {seed}: paused machine {paused} is not in sync: {}",
            cluster.describe()
        );
        assert!(!cluster.is_in_sync(standby), "seed {seed}: the standby is in sync: {}", cluster.describe());
        // The loss of the reinstated member and of another machine is tolerated.
        cluster.lose_disk(paused);
        cluster.run(400);
        crash_tolerated_number(&mut cluster, 1);
        assert_service_is_restored(&mut cluster, &format!("seed {seed}"));
    }
}

#[test]
fn a_member_that_leaves_without_a_standby_may_terminate_and_rejoins_after_its_restart() {
    for seed in 0..SEEDS {
        let mut cluster = SimulatedCluster::with_primary(seed, 1);
        let restarting = choose_member(&cluster, seed);

        cluster.request_leave(restarting);
        cluster.run(LEASE_MS + 200);
        assert!(
            cluster.machines[restarting].leave_allowed,
            "seed {seed}: leave not allowed without a standby"
        );
        cluster.crash(restarting);
        cluster.run(500);
        cluster.start(restarting);
        cluster.run(1_500);

        assert!(
            cluster.is_in_sync(restarting),
            "seed {seed}: restarted machine {restarting} is not in sync: {}",
            cluster.describe()
        );
    }
}

/// During a replacement the network is partitioned between the primary with the standby and the two
/// other machines. The majority of the new members is on the primary's side and that of the old
/// members on the other. So a change of members must need both majorities: with one of them alone,
/// each side could elect a primary.
#[test]
fn a_partition_during_a_replacement_leaves_at_most_one_primary() {
    for seed in 0..4 {
        for after_ms in 0..40 {
            let mut cluster = SimulatedCluster::with_primary(seed, 1);
            let standby = cluster.add_standby(STANDBY_WARM_UP_MS);
            let primary = cluster.primary().expect("the cluster has a primary");
            let (leaving, other) = ((primary + 1) % 3, (primary + 2) % 3);

            cluster.request_leave(leaving);
            cluster.run(after_ms);
            for near in [primary, standby] {
                for far in [leaving, other] {
                    cluster.cut_links_between(near, far);
                }
            }
            // The invariants of `common` check that there is at most one active primary and that no
            // committed key is lost.
            cluster.run(3_000);
            cluster.heal_links();

            assert_service_is_restored(&mut cluster, &format!("seed {seed}, partition after {after_ms} ms"));
        }
    }
}
