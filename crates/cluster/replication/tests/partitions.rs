//! Partitions of the network into two sides, and overlapping failures of more machines than are
//! tolerated. No committed key is lost and there is at most one active primary (both are invariants
//! of `common`, checked after each step), and service is restored.
mod common;
use common::{LEASE_MS, SimulatedCluster};
use spanlead_replication::Term;

const MACHINES: usize = 5;
const MAX_FAILURES: usize = 2;
/// The duration of a partition after the failover, milliseconds.
const PARTITION_MS: u64 = 6_000;
/// The maximum time until there is a primary again, milliseconds.
const FAILOVER_TIMEOUT_MS: u64 = 2 * LEASE_MS + 600;
/// The interval at which the active primaries are checked, milliseconds.
const POLL_MS: u64 = 10;
/// The number of commits that the larger side must exceed during the partition.
const MIN_COMMITS_OF_LARGER_SIDE: usize = 300;

/// The smaller side of each partition of five machines into three and two.
fn smaller_sides() -> Vec<[usize; 2]> {
    (0..MACHINES).flat_map(|one| (one + 1..MACHINES).map(move |other| [one, other])).collect()
}

/// Cuts all links between the smaller side and the other machines.
fn partition(cluster: &mut SimulatedCluster, smaller_side: &[usize]) {
    for from in 0..MACHINES {
        for to in 0..MACHINES {
            if smaller_side.contains(&from) != smaller_side.contains(&to) {
                cluster.cut_link(from, to);
            }
        }
    }
}

#[test]
fn only_the_larger_side_of_a_partition_serves() {
    for (seed, smaller_side) in (0..).zip(smaller_sides()) {
        let mut cluster = SimulatedCluster::with_primary(seed, MAX_FAILURES);
        partition(&mut cluster, &smaller_side);
        cluster.run(FAILOVER_TIMEOUT_MS);
        let committed_before = cluster.committed_keys.len();

        let mut terms: Vec<Term> = Vec::new();
        for _ in 0..PARTITION_MS / POLL_MS {
            cluster.run(POLL_MS);
            for index in cluster.active_machines() {
                let is_smaller = smaller_side.contains(&index);
                assert!(
                    !is_smaller,
                    "seed {seed}: machine {index} of the smaller side {smaller_side:?} is active"
                );
                terms.extend(cluster.active_term(index));
            }
        }

        let commits = cluster.committed_keys.len() - committed_before;
        assert!(
            commits > MIN_COMMITS_OF_LARGER_SIDE,
            "seed {seed}: {commits} commits on the larger side, expected more than {MIN_COMMITS_OF_LARGER_SIDE}"
        );
        assert!(terms.is_sorted(), "seed {seed}: terms do not increase: {terms:?}");
        cluster.heal_links();
        cluster.run(1_000);
        assert!(cluster.primary().is_some(), "seed {seed}: no primary after the partition");
    }
}

/// A machine loses its disk, three others crash and the last one is paused. There is no service
/// until they are back, and then no committed key is missing (an invariant of `common` checks what
/// a new primary holds).
#[test]
fn overlapping_failures_beyond_the_tolerated_number_lose_no_committed_key() {
    for seed in 0..10 {
        let mut cluster = SimulatedCluster::with_primary(seed, MAX_FAILURES);
        let first = seed as usize % MACHINES;
        let machine = |offset: usize| (first + offset) % MACHINES;
        cluster.lose_disk(machine(0));
        for offset in 1..=3 {
            cluster.run(40);
            cluster.crash(machine(offset));
        }
        cluster.pause(machine(4), 2_000);
        cluster.run(1_500);
        assert!(
            cluster.primary().is_none(),
            "seed {seed}: there is a primary while one machine of five runs"
        );

        for offset in 0..=3 {
            cluster.start(machine(offset));
            cluster.run(60);
        }
        let committed_before = cluster.committed_keys.len();
        cluster.run(4_000);

        assert!(cluster.primary().is_some(), "seed {seed}: no primary: {}", cluster.describe());
        assert!(
            cluster.committed_keys.len() > committed_before + 200,
            "seed {seed}: no service after the recovery"
        );
    }
}
