//! Seeded runs in which disks are slow while the primary changes: a batch is committed only once it
//! is on the disks of the replicas that count for it, the primary's own included.
mod common;
use common::{SimulatedCluster, env_number};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MACHINES: usize = 3;
const MAX_FAILURES: usize = 1;
/// The number of changes of the primary in a run.
const PRIMARY_CHANGES: u64 = 8;
/// The time within which another machine is elected while the primary is paused, milliseconds.
const ELECTION_TIMEOUT_MS: u64 = 1_500;
/// The time until a paused machine is in sync again, with slack, milliseconds.
const SETTLE_MS: u64 = 4_000;
const RECOVERY_TIMEOUT_MS: u64 = 6_000;

/// Lets the primary get ahead of its backups, which its data reaches late, and pauses it until
/// another machine is elected. Returns the paused machine.
fn depose_primary(cluster: &mut SimulatedCluster, rng: &mut ChaCha8Rng) -> Option<usize> {
    let former = cluster.primary()?;
    let delay_ms = rng.random_range(50..150);
    (0..MACHINES).for_each(|to| cluster.delay_data(former, to, delay_ms));
    cluster.run(rng.random_range(20..150));
    cluster.pause(former, rng.random_range(450..620));
    for _ in 0..ELECTION_TIMEOUT_MS {
        if cluster.primary().is_some_and(|primary| primary != former) {
            break;
        }
        cluster.run_without_proposals(1);
    }
    cluster.network.data_delay_ms.clear();
    Some(former)
}

/// Lets the next primary resign soon after the former one, whose disk is slow, follows it. The third
/// machine receives data late, so the former primary may be elected before its disk is done.
fn resign_while_disk_is_slow(cluster: &mut SimulatedCluster, rng: &mut ChaCha8Rng, former: usize) {
    let Some(next) = cluster.primary().filter(|next| *next != former) else { return };
    let third = MACHINES - former - next;
    cluster.delay_data(next, third, rng.random_range(0..150));
    while cluster.is_paused(former) {
        cluster.run_without_proposals(1);
    }
    cluster.machines[former].write_latency_ms = rng.random_range(100..900);
    cluster.run_without_proposals(rng.random_range(0..120));
    cluster.resign(next);
    cluster.run(rng.random_range(100..900));
}

fn check_run(seed: u64) {
    let mut cluster = SimulatedCluster::with_primary(seed, MAX_FAILURES);
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xD15C);
    let write_latency_ms = cluster.machines[0].write_latency_ms;
    for _ in 0..PRIMARY_CHANGES {
        if let Some(former) = depose_primary(&mut cluster, &mut rng) {
            resign_while_disk_is_slow(&mut cluster, &mut rng, former);
        }
        for machine in &mut cluster.machines {
            machine.write_latency_ms = write_latency_ms;
        }
        cluster.network.data_delay_ms.clear();
        cluster.run(SETTLE_MS);
    }
    assert!(cluster.serves_within(RECOVERY_TIMEOUT_MS), "seed {seed}: no service after the last change");
}

#[test]
fn committed_batches_are_on_the_disk_of_the_primary_while_disks_are_slow() {
    (0..env_number("SEEDS", 6)).for_each(check_run);
}
