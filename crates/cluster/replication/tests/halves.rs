//! Members cut into two chunks, and max_failures that overlap beyond what is borne at once: nothing committed is lost, nobody
//! acts beside another (both checked by `SimulatedCluster` after each step), and service comes back.
mod common;
use common::{LEASE_MS, SimulatedCluster};
use spanlead_replication::Term;

const MACHINES: usize = 5;
/// How long a cut lasts, milliseconds.
const CUT_MS: u64 = 6_000;
/// How long it may take until there is a primary again, milliseconds.
const FAILOVER_MS: u64 = 2 * LEASE_MS + 600;

fn started(seed: u64) -> SimulatedCluster {
    let mut world = SimulatedCluster::new(seed, 2);
    world.run(1_500);
    assert!(world.primary().is_some(), "seed {seed}: no start");
    world
}

/// Every way to cut five machines into three and two.
fn halves() -> Vec<Vec<usize>> {
    let pairs = (0..MACHINES).flat_map(|a| (a + 1..MACHINES).map(move |b| vec![a, b]));
    pairs.collect()
}

#[test]
fn the_larger_half_serves_and_the_smaller_does_not() {
    for (seed, small) in (0..).zip(halves()) {
        let mut world = started(seed);
        let mut terms: Vec<Term> = Vec::new();
        for one in 0..MACHINES {
            for other in 0..MACHINES {
                if small.contains(&one) != small.contains(&other) {
                    world.partitioned_links.insert((one, other));
                }
            }
        }
        world.run(FAILOVER_MS);
        let before = world.committed_keys.len();
        for _ in 0..CUT_MS / 10 {
            world.run(10);
            for i in world.active_machines() {
                assert!(!small.contains(&i), "seed {seed}: {i} acts in the smaller half {small:?}");
                let term = world.machines[i].replica.as_ref().and_then(|r| r.active_term(world.now_ms));
                terms.extend(term);
            }
        }
        assert!(world.committed_keys.len() > before + 300, "seed {seed}: no service in the larger half");
        assert!(terms.is_sorted(), "seed {seed}: terms {terms:?}");
        world.partitioned_links.clear();
        world.run(1_000);
        assert!(world.primary().is_some(), "seed {seed}: no primary after the cut");
    }
}

/// A disk is lost while three others have no power and the last stands still: service rests until they are back, and
/// nothing that was committed is missing (`SimulatedCluster` compares what a new primary holds).
#[test]
fn losses_that_overlap_beyond_what_is_borne_lose_nothing() {
    for seed in 0..10 {
        let mut world = started(seed);
        let first = seed as usize % MACHINES;
        let at = |n: usize| (first + n) % MACHINES;
        world.lose_disk(at(0));
        for n in 1..=3 {
            world.run(40);
            world.crash(at(n));
        }
        world.pause(at(4), 2_000);
        world.run(1_500);
        assert!(world.primary().is_none(), "seed {seed}: one machine of five serves");
        for n in 0..=3 {
            world.start(at(n));
            world.run(60);
        }
        let before = world.committed_keys.len();
        world.run(4_000);
        assert!(world.primary().is_some(), "seed {seed}: {}", world.describe());
        assert!(world.committed_keys.len() > before + 200, "seed {seed}: no service");
    }
}
