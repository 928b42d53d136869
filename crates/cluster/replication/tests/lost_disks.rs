//! Disks that are lost while all other machines lose power, as many as the cluster tolerates and at
//! any moment after an acknowledgement: nothing that was committed is lost, and service returns.
mod common;
use common::{SimulatedCluster, env_number};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The maximum time until service is restored, milliseconds.
const RECOVERY_TIMEOUT_MS: u64 = 6_000;
/// The time until a machine that lost its disk has caught up, with slack, milliseconds.
const SETTLE_MS: u64 = 4_000;
/// The number of losses in a run.
const LOSSES: usize = 4;
/// The longest time from an acknowledgement to the loss, milliseconds.
const MAX_DELAY_MS: u64 = 12;
/// The longest time for which all machines are down, milliseconds.
const MAX_OUTAGE_MS: u64 = 2_000;
/// The machines start in any order within this time, milliseconds.
const START_SPREAD_MS: u64 = 300;

/// Runs until the next batch is committed, and a little longer.
fn run_until_just_after_a_commit(cluster: &mut SimulatedCluster, rng: &mut ChaCha8Rng) {
    let committed = cluster.committed_keys.len();
    for _ in 0..RECOVERY_TIMEOUT_MS {
        cluster.run(1);
        if cluster.committed_keys.len() > committed {
            break;
        }
    }
    cluster.run_without_proposals(rng.random_range(0..=MAX_DELAY_MS));
}

/// Starts all machines in random order.
fn start_all(cluster: &mut SimulatedCluster, rng: &mut ChaCha8Rng) {
    let mut machines: Vec<usize> = (0..cluster.machines.len()).collect();
    machines.shuffle(rng);
    let step_ms = START_SPREAD_MS / machines.len() as u64;
    for machine in machines {
        cluster.start(machine);
        cluster.run(rng.random_range(0..=step_ms));
    }
}

fn check_run(seed: u64, max_failures: usize) {
    let mut cluster = SimulatedCluster::with_primary(seed, max_failures);
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xD15C5);
    for loss in 0..LOSSES {
        run_until_just_after_a_commit(&mut cluster, &mut rng);
        let mut machines: Vec<usize> = (0..cluster.machines.len()).collect();
        machines.shuffle(&mut rng);
        let (lost, others) = machines.split_at(max_failures);
        lost.iter().for_each(|machine| cluster.lose_disk(*machine));
        others.iter().for_each(|machine| cluster.crash(*machine));
        cluster.run(rng.random_range(1..MAX_OUTAGE_MS));
        start_all(&mut cluster, &mut rng);
        let serves = cluster.serves_within(RECOVERY_TIMEOUT_MS);
        assert!(serves, "seed {seed}: no service after loss {loss} of {lost:?}: {}", cluster.describe());
        cluster.run(SETTLE_MS);
    }
}

#[test]
fn one_of_three_disks_may_be_lost_while_the_others_lose_power() {
    (0..env_number("SEEDS", 20)).for_each(|seed| check_run(seed, 1));
}

#[test]
fn two_of_five_disks_may_be_lost_while_the_others_lose_power() {
    (0..env_number("SEEDS", 20)).for_each(|seed| check_run(1_000 + seed, 2));
}
