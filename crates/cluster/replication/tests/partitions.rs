//! Networks that are partitioned into two sides, and overlapping losses beyond what is tolerated:
//! nothing committed is lost, nobody acts beside another (both are rules of `common`, checked after
//! each step), and service returns.
mod common;
use common::{LEASE_MS, SimulatedCluster};
use spanlead_replication::Term;

const MACHINES: usize = 5;
const MAX_FAILURES: usize = 2;
/// How long a partition lasts, milliseconds.
const PARTITION_MS: u64 = 6_000;
/// How long it may take until there is a primary again, milliseconds.
const FAILOVER_TIMEOUT_MS: u64 = 2 * LEASE_MS + 600;
/// How often the machines that act are looked at, milliseconds.
const POLL_MS: u64 = 10;
/// Commits that the larger side must make meanwhile.
const MIN_COMMITS_OF_LARGER_SIDE: usize = 300;

/// Every way to partition five machines into three and two, by the two.
fn smaller_sides() -> Vec<[usize; 2]> {
    (0..MACHINES).flat_map(|one| (one + 1..MACHINES).map(move |other| [one, other])).collect()
}

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
        let mut cluster = SimulatedCluster::started(seed, MAX_FAILURES);
        partition(&mut cluster, &smaller_side);
        cluster.run(FAILOVER_TIMEOUT_MS);
        let committed_before = cluster.committed_keys.len();

        let mut terms: Vec<Term> = Vec::new();
        for _ in 0..PARTITION_MS / POLL_MS {
            cluster.run(POLL_MS);
            for index in cluster.active_machines() {
                let is_smaller = smaller_side.contains(&index);
                assert!(!is_smaller, "seed {seed}: {index} acts on the smaller side {smaller_side:?}");
                terms.extend(cluster.active_term(index));
            }
        }

        let commits = cluster.committed_keys.len() - committed_before;
        assert!(commits > MIN_COMMITS_OF_LARGER_SIDE, "seed {seed}: no service on the larger side");
        assert!(terms.is_sorted(), "seed {seed}: terms {terms:?}");
        cluster.heal_links();
        cluster.run(1_000);
        assert!(cluster.primary().is_some(), "seed {seed}: no primary after the partition");
    }
}

/// A disk is lost while three others have no power and the last one is paused: there is no service
/// until they are back, and nothing that was committed is missing (a rule of `common` compares what
/// a new primary holds).
#[test]
fn overlapping_losses_beyond_the_tolerated_number_lose_nothing_committed() {
    for seed in 0..10 {
        let mut cluster = SimulatedCluster::started(seed, MAX_FAILURES);
        let first = seed as usize % MACHINES;
        let machine = |offset: usize| (first + offset) % MACHINES;
        cluster.lose_disk(machine(0));
        for offset in 1..=3 {
            cluster.run(40);
            cluster.crash(machine(offset));
        }
        cluster.pause(machine(4), 2_000);
        cluster.run(1_500);
        assert!(cluster.primary().is_none(), "seed {seed}: one machine of five serves");

        for offset in 0..=3 {
            cluster.start(machine(offset));
            cluster.run(60);
        }
        let committed_before = cluster.committed_keys.len();
        cluster.run(4_000);

        assert!(cluster.primary().is_some(), "seed {seed}: {}", cluster.describe());
        assert!(cluster.committed_keys.len() > committed_before + 200, "seed {seed}: no service");
    }
}
