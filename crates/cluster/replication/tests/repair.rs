//! Repair of a machine that lacks much, over links that are slow, cut and lossy, while writes go
//! on.
mod common;
use common::{SimulatedCluster, env_number};

const SEEDS: u64 = 10;
/// 1 MB a second.
const SLOW_LINK_BYTES_PER_MS: usize = 1_000;
/// A value that fills more than one repair chunk.
const LARGE_VALUE_BYTES: usize = 100_000;
/// The largest message of the data class: a chunk of one entry.
const MAX_MESSAGE_BYTES: usize = LARGE_VALUE_BYTES + 100;
/// How long service may take to return, milliseconds.
const RECOVERY_TIMEOUT_MS: u64 = 6_000;

/// A cluster that serves and has committed so many values of so many bytes.
fn cluster_with_state(seed: u64, values: usize, value_bytes: usize) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(seed, 1);
    let default_value_bytes = cluster.value_bytes;
    cluster.network.preserves_order = true;
    cluster.value_bytes = value_bytes;
    while cluster.committed_keys.len() < values {
        cluster.run(50);
        assert!(cluster.now_ms < 1_200_000, "seed {seed}: no start");
    }
    cluster.value_bytes = default_value_bytes;
    cluster
}

/// A machine starts with an empty disk after it was away for a while.
fn restart_without_disk(cluster: &mut SimulatedCluster, index: usize, away_ms: u64) {
    cluster.lose_disk(index);
    cluster.run(away_ms);
    cluster.start(index);
}

/// Lets time pass until a machine is in sync.
fn run_until_in_sync(cluster: &mut SimulatedCluster, index: usize, timeout_ms: u64, context: &str) {
    let began_at_ms = cluster.now_ms;
    while !cluster.is_in_sync(index) {
        cluster.run(100);
        let is_in_time = cluster.now_ms < began_at_ms + timeout_ms;
        assert!(is_in_time, "{context}: never in sync: {}", cluster.describe());
    }
}

/// The measured failure: the first answer of a repair takes long to arrive, and the third machine
/// is lost meanwhile.
fn check_slow_repair_and_a_loss(seed: u64, delay_ms: u64, shared_connection: bool) {
    let mut cluster = cluster_with_state(seed, 200, 1_000);
    cluster.network.shared_connection = shared_connection;
    let primary = cluster.primary().expect("serves");
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
    assert!(serves, "seed {seed}, {delay_ms} ms, shared connection {shared_connection}: {state}");
}

#[test]
fn a_slow_repair_does_not_end_service_when_the_third_machine_is_lost() {
    for delay_ms in [300, 600, 1_000, 1_500] {
        (0..SEEDS).for_each(|seed| check_slow_repair_and_a_loss(seed, delay_ms, false));
    }
}

#[test]
fn a_slow_repair_does_not_end_service_where_data_delays_everything_behind_it() {
    for delay_ms in [300, 400] {
        (0..SEEDS).for_each(|seed| check_slow_repair_and_a_loss(seed, delay_ms, true));
    }
}

#[test]
fn a_machine_without_its_disk_gets_in_sync_where_messages_overtake_each_other() {
    for seed in 0..SEEDS {
        let mut cluster = cluster_with_state(seed, 200, 1_000);
        cluster.network.preserves_order = false;
        let primary = cluster.primary().expect("serves");
        let wiped = (primary + 1) % 3;
        cluster.delay_data(primary, wiped, 100);

        restart_without_disk(&mut cluster, wiped, 100);
        cluster.run(3_000);

        assert!(cluster.is_in_sync(wiped), "seed {seed}: {}", cluster.describe());
    }
}

/// The commits while so much time passes.
fn commits_in(cluster: &mut SimulatedCluster, for_ms: u64) -> usize {
    let committed_before = cluster.committed_keys.len();
    cluster.run(for_ms);
    cluster.committed_keys.len() - committed_before
}

#[test]
fn a_large_state_arrives_in_chunks_over_a_slow_link_while_writes_go_on() {
    let megabytes = env_number("STATE_MB", 8);
    let mut cluster = cluster_with_state(1, megabytes as usize * 10, LARGE_VALUE_BYTES);
    cluster.network.max_data_message_bytes = 0;
    let primary = cluster.primary().expect("serves");
    let wiped = (primary + 1) % 3;
    cluster.limit_data_rate(primary, wiped, SLOW_LINK_BYTES_PER_MS);

    restart_without_disk(&mut cluster, wiped, 1_000);
    let began_at_ms = cluster.now_ms;
    while !cluster.is_in_sync(wiped) {
        assert!(commits_in(&mut cluster, 500) > 40, "writes stopped: {}", cluster.describe());
        assert_eq!(cluster.primary(), Some(primary), "the primary lost its lease");
        let timeout_ms = 3 * megabytes * 1_000 + 5_000;
        let is_in_time = cluster.now_ms < began_at_ms + timeout_ms;
        assert!(is_in_time, "not in sync after {timeout_ms} ms: {}", cluster.describe());
    }

    let largest = cluster.network.max_data_message_bytes;
    assert!(largest <= MAX_MESSAGE_BYTES, "a message of {largest} bytes");
    println!("{megabytes} MB at 1 MB/s: in sync after {} ms", cluster.now_ms - began_at_ms);
}

#[test]
fn a_backup_that_crashes_during_repair_resumes_it() {
    let mut cluster = cluster_with_state(2, 40, LARGE_VALUE_BYTES);
    let primary = cluster.primary().expect("serves");
    let wiped = (primary + 1) % 3;
    cluster.limit_data_rate(primary, wiped, SLOW_LINK_BYTES_PER_MS);
    restart_without_disk(&mut cluster, wiped, 1_000);
    cluster.network.data_bytes.clear();

    // Three crashes in the 4 s that the repair takes; a rule of `common` checks that it is not in
    // sync before its end.
    for _ in 0..3 {
        cluster.run(1_000);
        assert!(cluster.machines[wiped].disk.repair_incomplete, "the repair is under way");
        assert!(!cluster.is_in_sync(wiped));
        cluster.crash(wiped);
        cluster.run(100);
        cluster.start(wiped);
    }
    run_until_in_sync(&mut cluster, wiped, 8_000, "after three crashes");

    let sent_bytes = cluster.data_bytes(primary, wiped);
    assert!(sent_bytes < 6_000_000, "{sent_bytes} bytes sent for a state of 4 MB");
}

#[test]
fn a_repair_resumes_after_a_change_of_primary() {
    for seed in 0..SEEDS {
        let mut cluster = cluster_with_state(seed, 40, LARGE_VALUE_BYTES);
        let primary = cluster.primary().expect("serves");
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
        assert!(sent_bytes < 7_000_000, "seed {seed}: {sent_bytes} bytes sent for a state of 4 MB");
    }
}

/// The primary crashes with batches that only one replica has. The other is repaired by it, and at
/// each step either lacks such a batch or has all of it; a rule of `common` checks that nothing in
/// sync is incomplete.
#[test]
fn a_backup_in_sync_applies_a_repair_as_one_batch() {
    for seed in 0..40 {
        let mut cluster = cluster_with_state(seed, 50, 500);
        let primary = cluster.primary().expect("serves");

        cluster.cut_link(primary, (primary + 1) % 3);
        cluster.run(40 + seed % 30);
        cluster.crash(primary);
        cluster.heal_links();

        let serves = cluster.serves_within(RECOVERY_TIMEOUT_MS);
        assert!(serves, "seed {seed}: {}", cluster.describe());
    }
}
