//! Bounds on the duration of failovers, of incomplete in-sync sets and of commit gaps, over many
//! runs of each kind of fault. `cargo test --release --test failover_times -- --nocapture` prints
//! the tables of docs/measurements/system.md.
mod common;
use common::{SimulatedCluster, env_number};

/// Injects a fault into a cluster that has a primary; the second argument is the primary.
type Fault = fn(&mut SimulatedCluster, usize);

/// The time after a fault without a primary after which a run fails, milliseconds.
const FAILOVER_TIMEOUT_MS: u64 = 8_000;

/// A kind of failover, with the bounds for the median and the maximum of all runs, milliseconds.
struct FailoverKind {
    name: &'static str,
    fault: Fault,
    max_median_ms: u64,
    max_ms: u64,
}

const fn failover_kind(name: &'static str, fault: Fault, max_median_ms: u64, max_ms: u64) -> FailoverKind {
    FailoverKind { name, fault, max_median_ms, max_ms }
}

const FAILOVER_KINDS: [FailoverKind; 8] = [
    failover_kind("crashed", crash, 620, 1_000),
    failover_kind("paused", pause, 620, 1_000),
    failover_kind("isolated", isolate, 620, 1_000),
    failover_kind("outgoing links cut", isolate_sends, 620, 1_000),
    failover_kind("incoming links cut", isolate_receives, 620, 1_000),
    failover_kind("power loss of all", power_loss_of_all, 120, 700),
    failover_kind("lost disk", lose_disk, 620, 1_000),
    failover_kind("planned departure", leave, 120, 400),
];

fn crash(cluster: &mut SimulatedCluster, primary: usize) {
    cluster.crash(primary);
}

fn pause(cluster: &mut SimulatedCluster, primary: usize) {
    cluster.pause(primary, 5_000);
}

fn isolate(cluster: &mut SimulatedCluster, primary: usize) {
    cluster.isolate(primary, true, true);
}

fn isolate_sends(cluster: &mut SimulatedCluster, primary: usize) {
    cluster.isolate(primary, true, false);
}

fn isolate_receives(cluster: &mut SimulatedCluster, primary: usize) {
    cluster.isolate(primary, false, true);
}

fn power_loss_of_all(cluster: &mut SimulatedCluster, _: usize) {
    (0..3).for_each(|index| cluster.crash(index));
    (0..3).for_each(|index| cluster.start(index));
}

fn lose_disk(cluster: &mut SimulatedCluster, index: usize) {
    cluster.lose_disk(index);
    cluster.start(index);
}

fn leave(cluster: &mut SimulatedCluster, primary: usize) {
    cluster.add_standby(1_000);
    cluster.request_leave(primary);
}

/// The number of runs of each kind of fault.
fn runs() -> u64 {
    env_number("RUNS", 40)
}

/// Creates a cluster with a primary. The heartbeat phase at which it returns depends on the seed.
fn cluster_with_primary(seed: u64) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(seed, 1);
    cluster.run(1_500 + seed * 13 % 200);
    assert!(cluster.primary().is_some(), "seed {seed}: no primary after warm-up");
    cluster
}

/// The time from the fault until there is a primary that can serve, milliseconds.
fn ms_without_primary(seed: u64, fault: Fault) -> u64 {
    let mut cluster = cluster_with_primary(seed);
    let primary = cluster.primary().expect("the cluster has a primary");
    fault(&mut cluster, primary);
    let began_at_ms = cluster.now_ms;
    // The faulty machine may still hold its lease for a while. It does not count as primary unless
    // it is reachable.
    for _ in 0..FAILOVER_TIMEOUT_MS {
        cluster.run(1);
        let can_serve = |index: usize| index != primary || cluster.is_reachable(index);
        if cluster.active_machines().into_iter().any(can_serve) {
            return cluster.now_ms - began_at_ms;
        }
    }
    panic!("seed {seed}: no primary within {FAILOVER_TIMEOUT_MS} ms: {}", cluster.describe());
}

/// Sorted durations, milliseconds.
struct Durations(Vec<u64>);

impl Durations {
    fn new(mut values: Vec<u64>) -> Self {
        values.sort_unstable();
        Durations(values)
    }

    fn percentile(&self, percent: usize) -> u64 {
        self.0[(self.0.len() - 1) * percent / 100]
    }

    fn upper_median(&self) -> u64 {
        self.0[self.0.len() / 2]
    }

    fn max(&self) -> u64 {
        self.0[self.0.len() - 1]
    }
}

#[test]
fn time_without_a_primary_stays_within_bounds() {
    println!("{:20} {:>5} {:>9} {:>8} {:>8}", "fault", "runs", "median ms", "p95 ms", "max ms");
    let mut over_bounds = Vec::new();
    for kind in FAILOVER_KINDS {
        let durations = (0..runs()).map(|seed| ms_without_primary(seed, kind.fault)).collect();
        let durations = Durations::new(durations);
        let (median_ms, max_ms) = (durations.percentile(50), durations.max());
        let (name, percentile_95_ms) = (kind.name, durations.percentile(95));
        println!("{name:20} {:>5} {median_ms:>9} {percentile_95_ms:>8} {max_ms:>8}", runs());
        if median_ms > kind.max_median_ms || max_ms > kind.max_ms {
            over_bounds.push(format!(
                "{name}: median {median_ms} ms of at most {}, maximum {max_ms} ms of at most {}",
                kind.max_median_ms, kind.max_ms
            ));
        }
    }
    assert!(over_bounds.is_empty(), "faults over their bounds: {over_bounds:?}");
}

/// Runs the cluster until all members are in sync, and returns how long that took, milliseconds.
fn ms_until_all_in_sync(cluster: &mut SimulatedCluster) -> u64 {
    let began_at_ms = cluster.now_ms;
    while !(0..3).all(|index| cluster.is_in_sync(index)) {
        cluster.run(1);
        assert!(
            cluster.now_ms < began_at_ms + 8_000,
            "not all members are in sync after 8 s: {}",
            cluster.describe()
        );
    }
    cluster.now_ms - began_at_ms
}

/// A fault that removes a member from the in-sync set, with the bound for all runs, milliseconds.
struct InSyncWindow {
    name: &'static str,
    fault: Fault,
    max_ms: u64,
}

const IN_SYNC_WINDOWS: [InSyncWindow; 4] = [
    InSyncWindow { name: "after a planned change of primary", fault: request_leave, max_ms: 400 },
    InSyncWindow { name: "after a restart of 200 ms", fault: restart_backup, max_ms: 150 },
    InSyncWindow { name: "after a pause of 800 ms", fault: pause_backup, max_ms: 150 },
    InSyncWindow { name: "after a lost disk", fault: lose_disk_of_backup, max_ms: 150 },
];

fn request_leave(cluster: &mut SimulatedCluster, primary: usize) {
    cluster.request_leave(primary);
}

fn restart_backup(cluster: &mut SimulatedCluster, primary: usize) {
    let backup = (primary + 1) % 3;
    cluster.crash(backup);
    cluster.run(200);
    cluster.start(backup);
}

fn pause_backup(cluster: &mut SimulatedCluster, primary: usize) {
    cluster.pause((primary + 1) % 3, 800);
    cluster.run(800);
}

fn lose_disk_of_backup(cluster: &mut SimulatedCluster, primary: usize) {
    lose_disk(cluster, (primary + 1) % 3);
}

/// While the in-sync set has only f + 1 members, the loss of a disk together with that of another
/// machine could lose committed batches.
#[test]
fn the_in_sync_set_is_restored_within_bounds_after_a_fault() {
    /// The time from the fault to the first check of the in-sync set, milliseconds.
    const FIRST_CHECK_MS: u64 = 20;
    println!("{:36} {:>5} {:>9} {:>8}", "in-sync set restored", "runs", "median ms", "max ms");
    for InSyncWindow { name, fault, max_ms } in IN_SYNC_WINDOWS {
        let window_ms = |seed| {
            let mut cluster = cluster_with_primary(seed);
            let primary = cluster.primary().expect("the cluster has a primary");
            fault(&mut cluster, primary);
            cluster.run(FIRST_CHECK_MS);
            ms_until_all_in_sync(&mut cluster) + FIRST_CHECK_MS
        };
        let windows = Durations::new((0..runs()).map(window_ms).collect());
        let (median_ms, longest_ms) = (windows.upper_median(), windows.max());
        println!("{name:36} {:>5} {median_ms:>9} {longest_ms:>8}", runs());
        assert!(longest_ms <= max_ms, "{name}: {longest_ms} ms, expected at most {max_ms} ms");
    }
}

/// The longest time between two commits when two of five replicas crash at once, milliseconds.
fn longest_commit_gap_ms(seed: u64) -> u64 {
    let mut cluster = SimulatedCluster::new(900 + seed, 2);
    cluster.run(1_800);
    let primary = cluster.primary().expect("the cluster has a primary");
    cluster.crash((primary + 1) % 5);
    cluster.crash((primary + 2) % 5);
    let (mut longest_ms, mut last_at_ms) = (0, cluster.now_ms);
    let mut committed = cluster.committed_keys.len();
    for _ in 0..3_000 {
        cluster.run(1);
        if cluster.committed_keys.len() > committed {
            longest_ms = longest_ms.max(cluster.now_ms - last_at_ms);
            (last_at_ms, committed) = (cluster.now_ms, cluster.committed_keys.len());
        }
    }
    assert!(cluster.now_ms - last_at_ms < 500, "seed {seed}: no commit in the last 500 ms");
    longest_ms
}

/// Commits wait for the crashed replicas until these leave the in-sync set, which then has f + 1
/// members.
#[test]
fn a_crash_of_two_replicas_of_five_delays_commits_for_less_than_a_second() {
    let gaps = Durations::new((0..runs() / 4).map(longest_commit_gap_ms).collect());
    let (median_ms, max_ms) = (gaps.upper_median(), gaps.max());
    println!("two of five crashed: longest commit gap {median_ms} ms (median), {max_ms} ms (max)");
    assert!(max_ms < 1_000, "commit gap of {max_ms} ms, expected less than 1000 ms");
}
