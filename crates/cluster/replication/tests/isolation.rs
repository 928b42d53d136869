//! Long isolation of a machine, in one direction or both: which machines report a verified primary
//! meanwhile, and whether the machine's return disrupts the primary. An invariant of `common`
//! checks after each step that a reported primary was active at most one lease ago.
mod common;
use common::{LEASE_MS, SimulatedCluster};

const SEEDS: u64 = 10;
/// The duration of an isolation, many times that of a lease, milliseconds.
const ISOLATION_MS: u64 = 20_000;
/// The interval at which the machines are checked during the isolation, milliseconds.
const POLL_MS: u64 = 10;
/// The maximum time until there is a primary again, milliseconds.
const FAILOVER_TIMEOUT_MS: u64 = 2 * LEASE_MS + 600;
/// The number of commits that the other machines must exceed during the isolation.
const MIN_COMMITS: usize = 1_000;

/// The links of an isolated machine that are cut.
#[derive(Clone, Copy, Debug)]
struct CutLinks {
    sends: bool,
    receives: bool,
}

const CUT_LINKS: [CutLinks; 3] = [
    CutLinks { sends: true, receives: true },
    CutLinks { sends: true, receives: false },
    CutLinks { sends: false, receives: true },
];

/// Whether a machine reports a primary to which clients may be redirected.
fn has_verified_primary(cluster: &SimulatedCluster, index: usize) -> bool {
    let replica = cluster.machines[index].replica.as_ref().expect("the machine runs");
    replica.verified_primary(cluster.now_ms).is_some()
}

/// Isolates a machine for [`ISOLATION_MS`]. It must report no primary while the others serve, and
/// its return must not change the primary.
fn check_long_isolation(seed: u64, max_failures: usize, isolated: usize, cut: CutLinks) {
    let mut cluster = SimulatedCluster::with_primary(seed, max_failures);
    cluster.isolate(isolated, cut.sends, cut.receives);
    cluster.run(FAILOVER_TIMEOUT_MS);
    let committed_before = cluster.committed_keys.len();

    let mut polls_with_primary = 0;
    for _ in 0..(ISOLATION_MS - cluster.now_ms % 7) / POLL_MS {
        cluster.run(POLL_MS);
        let reports = has_verified_primary(&cluster, isolated);
        assert!(
            !reports,
            "seed {seed}: isolated machine {isolated} reports a primary at {} ms",
            cluster.now_ms
        );
        polls_with_primary += u64::from(cluster.primary().is_some());
    }

    let polls = ISOLATION_MS / POLL_MS;
    let serves_mostly = polls_with_primary * POLL_MS > ISOLATION_MS * 9 / 10;
    assert!(serves_mostly, "seed {seed}: a primary at only {polls_with_primary} of {polls} polls");
    let commits = cluster.committed_keys.len() - committed_before;
    assert!(commits > MIN_COMMITS, "seed {seed}: {commits} commits, expected more than {MIN_COMMITS}");
    let primary = cluster.primary();
    cluster.heal_links();
    cluster.run(1_000);
    assert_eq!(cluster.primary(), primary, "seed {seed}: the return of one machine changed the primary");
    for index in 0..cluster.machines.len() {
        assert!(
            has_verified_primary(&cluster, index),
            "seed {seed}: machine {index} reports no primary after the links are restored"
        );
    }
}

#[test]
fn an_isolated_primary_reports_no_primary_and_the_others_serve() {
    for seed in 0..SEEDS {
        for cut in CUT_LINKS {
            for max_failures in [1, 2] {
                let primary = SimulatedCluster::with_primary(seed, max_failures)
                    .primary()
                    .expect("the cluster has a primary");
                check_long_isolation(seed, max_failures, primary, cut);
            }
        }
    }
}

#[test]
fn an_isolated_backup_reports_no_primary_and_does_not_disrupt_the_others() {
    for seed in 0..SEEDS {
        for cut in CUT_LINKS {
            let primary =
                SimulatedCluster::with_primary(seed, 1).primary().expect("the cluster has a primary");
            check_long_isolation(seed, 1, (primary + 1) % 3, cut);
        }
    }
}

#[test]
fn a_machine_that_resumes_after_a_pause_does_not_depose_the_primary() {
    for seed in 0..SEEDS {
        let mut cluster = SimulatedCluster::with_primary(seed, 1);
        let primary = cluster.primary().expect("the cluster has a primary");
        let activations = cluster.activations;

        for _ in 0..3 {
            cluster.pause((primary + 1) % 3, 3_000);
            cluster.run(4_000);
        }

        assert_eq!((cluster.primary(), cluster.activations), (Some(primary), activations), "seed {seed}");
    }
}

/// A `Resign` that arrives after its sender has obtained a new lease must not release that lease,
/// or there could be two active primaries, which an invariant of `common` excludes.
#[test]
fn a_late_resign_does_not_end_a_newer_lease() {
    for seed in 0..40 {
        let mut cluster = SimulatedCluster::with_primary(seed, 1);
        for _ in 0..4 {
            let primary = cluster.primary().expect("the cluster has a primary");
            // Messages to one witness are held back and then arrive together.
            let witness = (primary + 1 + seed as usize % 2) % 3;
            cluster.delay_link(primary, witness, 150 + seed * 10);
            cluster.resign(primary);
            cluster.run(1_500);
        }
    }
}

/// A machine is primary again with a lease that only one other witness grants, and then that
/// witness receives a duplicate of the machine's old `Resign`. If the witness released the lease,
/// the two other machines would elect a second primary while the first is active.
#[test]
fn a_duplicate_resign_does_not_release_a_newer_lease_granted_by_one_other_witness() {
    const DUPLICATE_DELAY_MS: u64 = 2_500;
    let mut completed_runs = 0;
    for seed in 0..60 {
        let mut cluster = SimulatedCluster::with_primary(seed, 1);
        let first = cluster.primary().expect("the cluster has a primary");
        cluster.network.resign_duplicate_delay_ms = Some(DUPLICATE_DELAY_MS);
        cluster.run_without_proposals(100);
        let resigned_at_ms = cluster.now_ms;
        cluster.resign(first);
        cluster.network.resign_duplicate_delay_ms = None;
        // Primaries resign until the first machine is primary again. A run in which that does not
        // happen in time is skipped.
        while cluster.primary() != Some(first) && cluster.now_ms < resigned_at_ms + 1_500 {
            if let Some(other) = cluster.primary() {
                cluster.resign(other);
            }
            // Without new batches the other replicas have acknowledged all of them, so that one is
            // named as successor.
            cluster.run_without_proposals(100);
        }
        if cluster.primary() != Some(first) {
            continue;
        }
        completed_runs += 1;

        let cut = (first + 1 + seed as usize % 2) % 3;
        cluster.cut_links_between(first, cut);
        // An invariant of `common` checks that there is at most one active primary.
        cluster.run(resigned_at_ms + DUPLICATE_DELAY_MS + 800 - cluster.now_ms);

        assert_eq!(cluster.primary(), Some(first), "seed {seed}: {}", cluster.describe());
    }
    assert!(completed_runs >= 10, "{completed_runs} completed runs, expected at least 10");
}
