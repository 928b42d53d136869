//! Machines that are cut off for long, in both directions and in one: who may redirect others to a
//! primary, and what their return changes. A rule of `common` checks after each step that whoever
//! names a primary knows that it acted less than a lease ago.
mod common;
use common::{LEASE_MS, SimulatedCluster};

const SEEDS: u64 = 10;
/// An isolation that outlasts every lease, milliseconds.
const ISOLATION_MS: u64 = 20_000;
/// How often the machines are looked at meanwhile, milliseconds.
const POLL_MS: u64 = 10;
/// How long it may take until there is a primary again, milliseconds.
const FAILOVER_TIMEOUT_MS: u64 = 2 * LEASE_MS + 600;
/// Commits that the others must make meanwhile.
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

fn names_a_primary(cluster: &SimulatedCluster, index: usize) -> bool {
    let replica = cluster.machines[index].replica.as_ref().expect("runs");
    replica.verified_primary(cluster.now_ms).is_some()
}

/// Isolates a machine for 20 s, and checks what it and the others do meanwhile and in the first
/// second after.
fn check_long_isolation(seed: u64, max_failures: usize, isolated: usize, cut: CutLinks) {
    let mut cluster = SimulatedCluster::started(seed, max_failures);
    cluster.isolate(isolated, cut.sends, cut.receives);
    cluster.run(FAILOVER_TIMEOUT_MS);
    let committed_before = cluster.committed_keys.len();

    let mut polls_with_primary = 0;
    for _ in 0..(ISOLATION_MS - cluster.now_ms % 7) / POLL_MS {
        cluster.run(POLL_MS);
        let names = names_a_primary(&cluster, isolated);
        assert!(!names, "seed {seed}: {isolated} is isolated and names a primary at {}", cluster.now_ms);
        polls_with_primary += u64::from(cluster.primary().is_some());
    }

    let polls = ISOLATION_MS / POLL_MS;
    let serves_mostly = polls_with_primary * POLL_MS > ISOLATION_MS * 9 / 10;
    assert!(serves_mostly, "seed {seed}: service at {polls_with_primary} of {polls} polls");
    let commits = cluster.committed_keys.len() - committed_before;
    assert!(commits > MIN_COMMITS, "seed {seed}: {commits} commits");
    let primary = cluster.primary();
    cluster.heal_links();
    cluster.run(1_000);
    assert_eq!(cluster.primary(), primary, "seed {seed}: the return of one machine changed the primary");
    for index in 0..cluster.machines.len() {
        assert!(names_a_primary(&cluster, index), "seed {seed}: {index} names no primary afterwards");
    }
}

#[test]
fn an_isolated_primary_names_nobody_and_the_others_serve() {
    for seed in 0..SEEDS {
        for cut in CUT_LINKS {
            for max_failures in [1, 2] {
                let primary = SimulatedCluster::started(seed, max_failures).primary().expect("serves");
                check_long_isolation(seed, max_failures, primary, cut);
            }
        }
    }
}

#[test]
fn an_isolated_backup_names_nobody_and_disturbs_nobody() {
    for seed in 0..SEEDS {
        for cut in CUT_LINKS {
            let primary = SimulatedCluster::started(seed, 1).primary().expect("serves");
            check_long_isolation(seed, 1, (primary + 1) % 3, cut);
        }
    }
}

#[test]
fn a_machine_that_resumes_after_a_pause_does_not_depose_the_primary() {
    for seed in 0..SEEDS {
        let mut cluster = SimulatedCluster::started(seed, 1);
        let primary = cluster.primary().expect("serves");
        let activations = cluster.activations;

        for _ in 0..3 {
            cluster.pause((primary + 1) % 3, 3_000);
            cluster.run(4_000);
        }

        assert_eq!((cluster.primary(), cluster.activations), (Some(primary), activations), "seed {seed}");
    }
}

/// An old `Resign` that arrives after the same machine has a new lease must not free that lease:
/// two might act.
#[test]
fn a_late_resign_does_not_end_a_newer_lease() {
    for seed in 0..40 {
        let mut cluster = SimulatedCluster::started(seed, 1);
        for _ in 0..4 {
            let primary = cluster.primary().expect("serves");
            // Its messages to one witness are delayed for a while, and then all arrive at once.
            let witness = (primary + 1 + seed as usize % 2) % 3;
            cluster.delay_link(primary, witness, 150 + seed * 10);
            cluster.resign(primary);
            cluster.run(1_500);
        }
    }
}

/// The same, forced: the machine leads again, holds its lease by one witness alone, and then that
/// witness gets the old `Resign` once more. If it freed the lease, the two others would elect
/// another primary while this one acts.
#[test]
fn a_repeated_resign_does_not_free_the_only_witness_of_a_lease() {
    const REPEAT_DELAY_MS: u64 = 2_500;
    let mut played = 0;
    for seed in 0..60 {
        let mut cluster = SimulatedCluster::started(seed, 1);
        let first = cluster.primary().expect("serves");
        cluster.network.resign_repeat_delay_ms = Some(REPEAT_DELAY_MS);
        cluster.run_idle(100);
        let resigned_at_ms = cluster.now_ms;
        cluster.resign(first);
        cluster.network.resign_repeat_delay_ms = None;
        // The role goes round until the first machine has it again; a run in which it does not is
        // not played.
        while cluster.primary() != Some(first) && cluster.now_ms < resigned_at_ms + 1_500 {
            if let Some(other) = cluster.primary() {
                cluster.resign(other);
            }
            // Without new batches, so that the other lacks nothing and is named as the successor.
            cluster.run_idle(100);
        }
        if cluster.primary() != Some(first) {
            continue;
        }
        played += 1;

        let cut = (first + 1 + seed as usize % 2) % 3;
        cluster.cut_links_between(first, cut);
        // A rule of `common`: nobody acts beside another.
        cluster.run(resigned_at_ms + REPEAT_DELAY_MS + 800 - cluster.now_ms);

        assert_eq!(cluster.primary(), Some(first), "seed {seed}: {}", cluster.describe());
    }
    assert!(played >= 10, "{played} runs played");
}
