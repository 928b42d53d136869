//! Repair of a machine that lacks most of the key space, over slow links, reordered messages,
//! crashes and changes of primary, while commits continue.
mod common;
use common::{SimulatedCluster, env_number};

const SEEDS: u64 = 10;
/// The data rate of a slow link, bytes per millisecond: 1 MB/s.
const SLOW_LINK_BYTES_PER_MS: usize = 1_000;
/// The size of a value that exceeds a repair chunk, bytes.
const LARGE_VALUE_BYTES: usize = 100_000;
/// The maximum size of a data message, bytes: a chunk of one entry.
const MAX_MESSAGE_BYTES: usize = LARGE_VALUE_BYTES + 100;
/// The maximum time until service is restored, milliseconds.
const RECOVERY_TIMEOUT_MS: u64 = 6_000;

/// Creates a cluster that has committed at least `values` values of `value_bytes` each.
fn cluster_with_state(seed: u64, values: usize, value_bytes: usize) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(seed, 1);
    let default_value_bytes = cluster.value_bytes;
    cluster.network.preserves_order = true;
    cluster.value_bytes = value_bytes;
    while cluster.committed_keys.len() < values {
        cluster.run(50);
        assert!(cluster.now_ms < 1_200_000, "seed {seed}: {values} values are not committed in time");
    }
    cluster.value_bytes = default_value_bytes;
    cluster
}

/// Erases the disk of a machine and restarts it after `away_ms`.
fn restart_without_disk(cluster: &mut SimulatedCluster, index: usize, away_ms: u64) {
    cluster.lose_disk(index);
    cluster.run(away_ms);
    cluster.start(index);
}

/// Runs the cluster until a machine is in sync. Panics if that takes `timeout_ms` or longer.
fn run_until_in_sync(cluster: &mut SimulatedCluster, index: usize, timeout_ms: u64, context: &str) {
    let began_at_ms = cluster.now_ms;
    while !cluster.is_in_sync(index) {
        cluster.run(100);
        let is_in_time = cluster.now_ms < began_at_ms + timeout_ms;
        assert!(is_in_time, "{context}: not in sync after {timeout_ms} ms: {}", cluster.describe());
    }
}

/// Guards against an observed failure: the first response of a repair is delayed, and the third
/// machine crashes meanwhile. Service must be restored.
fn check_slow_repair_and_a_loss(seed: u64, delay_ms: u64, shared_connection: bool) {
    let mut cluster = cluster_with_state(seed, 200, 1_000);
    cluster.network.shared_connection = shared_connection;
    let primary = cluster.primary().expect("the cluster has a primary");
    let (slow, third) = ((primary + 1) % 3, (primary + 2) % 3);
    for from in [primary, third] {
        cluster.delay_data(from, slow, delay_ms);
    }

    cluster.crash(slow);
    cluster.run(1_000);
    cluster.start(slow);
    cluster.run(200);
    cluster.crash(third);

    let serves = cluster.serves_within(20_000);
    let state = cluster.describe();
    assert!(serves, "seed {seed}, {delay_ms} ms, shared connection {shared_connection}: no service: {state}");
}

#[test]
fn service_is_restored_when_the_third_machine_crashes_during_a_slow_repair() {
    for delay_ms in [300, 600, 1_000, 1_500] {
        (0..SEEDS).for_each(|seed| check_slow_repair_and_a_loss(seed, delay_ms, false));
    }
}

#[test]
fn service_is_restored_when_the_third_machine_crashes_during_a_slow_repair_over_a_shared_connection() {
    for delay_ms in [300, 400] {
        (0..SEEDS).for_each(|seed| check_slow_repair_and_a_loss(seed, delay_ms, true));
    }
}

#[test]
fn a_machine_that_lost_its_disk_gets_in_sync_although_messages_are_reordered() {
    for seed in 0..SEEDS {
        let mut cluster = cluster_with_state(seed, 200, 1_000);
        cluster.network.preserves_order = false;
        let primary = cluster.primary().expect("the cluster has a primary");
        let wiped = (primary + 1) % 3;
        cluster.delay_data(primary, wiped, 100);

        restart_without_disk(&mut cluster, wiped, 100);
        cluster.run(3_000);

        assert!(
            cluster.is_in_sync(wiped),
            "seed {seed}: machine {wiped} is not in sync: {}",
            cluster.describe()
        );
    }
}

/// Runs the cluster for `for_ms` and returns the number of commits.
fn commits_in(cluster: &mut SimulatedCluster, for_ms: u64) -> usize {
    let committed_before = cluster.committed_keys.len();
    cluster.run(for_ms);
    cluster.committed_keys.len() - committed_before
}

#[test]
fn a_large_state_is_repaired_in_chunks_over_a_slow_link_while_commits_continue() {
    let megabytes = env_number("STATE_MB", 8);
    let mut cluster = cluster_with_state(1, megabytes as usize * 10, LARGE_VALUE_BYTES);
    cluster.network.max_data_message_bytes = 0;
    let primary = cluster.primary().expect("the cluster has a primary");
    let wiped = (primary + 1) % 3;
    cluster.limit_data_rate(primary, wiped, SLOW_LINK_BYTES_PER_MS);

    restart_without_disk(&mut cluster, wiped, 1_000);
    let began_at_ms = cluster.now_ms;
    while !cluster.is_in_sync(wiped) {
        assert!(commits_in(&mut cluster, 500) > 40, "at most 40 commits in 500 ms: {}", cluster.describe());
        assert_eq!(cluster.primary(), Some(primary), "the primary lost its lease");
        let timeout_ms = 3 * megabytes * 1_000 + 5_000;
        let is_in_time = cluster.now_ms < began_at_ms + timeout_ms;
        assert!(is_in_time, "not in sync after {timeout_ms} ms: {}", cluster.describe());
    }

    let largest = cluster.network.max_data_message_bytes;
    assert!(
        largest <= MAX_MESSAGE_BYTES,
        "a message of {largest} bytes, expected at most {MAX_MESSAGE_BYTES}"
    );
    println!("{megabytes} MB at 1 MB/s: in sync after {} ms", cluster.now_ms - began_at_ms);
}

#[test]
fn a_backup_that_crashes_during_repair_resumes_it() {
    let mut cluster = cluster_with_state(2, 40, LARGE_VALUE_BYTES);
    let primary = cluster.primary().expect("the cluster has a primary");
    let wiped = (primary + 1) % 3;
    cluster.limit_data_rate(primary, wiped, SLOW_LINK_BYTES_PER_MS);
    restart_without_disk(&mut cluster, wiped, 1_000);
    cluster.network.data_bytes.clear();

    // Three crashes during the 4 s that the repair takes. An invariant of `common` checks that the
    // backup is not in sync before the repair is complete.
    for _ in 0..3 {
        cluster.run(1_000);
        assert!(cluster.machines[wiped].disk.repair_incomplete, "no repair in progress at machine {wiped}");
        assert!(!cluster.is_in_sync(wiped), "machine {wiped} is in sync during its repair");
        cluster.crash(wiped);
        cluster.run(100);
        cluster.start(wiped);
    }
    run_until_in_sync(&mut cluster, wiped, 8_000, "after three crashes");

    let sent_bytes = cluster.data_bytes(primary, wiped);
    assert!(sent_bytes < 6_000_000, "{sent_bytes} bytes sent for a state of 4 MB, expected less than 6 MB");
}

#[test]
fn a_repair_resumes_after_a_change_of_primary() {
    for seed in 0..SEEDS {
        let mut cluster = cluster_with_state(seed, 40, LARGE_VALUE_BYTES);
        let primary = cluster.primary().expect("the cluster has a primary");
        let (wiped, third) = ((primary + 1) % 3, (primary + 2) % 3);
        for from in [primary, third] {
            cluster.limit_data_rate(from, wiped, SLOW_LINK_BYTES_PER_MS);
        }
        restart_without_disk(&mut cluster, wiped, 1_000);
        cluster.network.data_bytes.clear();

        cluster.run(2_000);
        cluster.pause(primary, 700);
        run_until_in_sync(&mut cluster, wiped, 12_000, &format!("seed {seed}"));

        let sent_bytes: usize = [primary, third].iter().map(|from| cluster.data_bytes(*from, wiped)).sum();
        assert!(
            sent_bytes < 7_000_000,
            "seed {seed}: {sent_bytes} bytes sent for a state of 4 MB, expected less than 7 MB"
        );
    }
}

/// The primary crashes with batches that only one other replica has. That replica then repairs the
/// remaining one, which must hold each of these batches completely or not at all; an invariant of
/// `common` checks that no in-sync replica is incomplete.
#[test]
fn an_in_sync_backup_applies_a_repair_as_one_batch() {
    for seed in 0..40 {
        let mut cluster = cluster_with_state(seed, 50, 500);
        let primary = cluster.primary().expect("the cluster has a primary");

        cluster.cut_link(primary, (primary + 1) % 3);
        cluster.run(40 + seed % 30);
        cluster.crash(primary);
        cluster.heal_links();

        let serves = cluster.serves_within(RECOVERY_TIMEOUT_MS);
        assert!(serves, "seed {seed}: no service within {RECOVERY_TIMEOUT_MS} ms: {}", cluster.describe());
    }
}
