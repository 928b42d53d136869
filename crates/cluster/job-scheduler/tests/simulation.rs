//! Seeded simulations in which workers crash, are partitioned, fail tasks and carry out calls late,
//! and the scheduler is killed: no safety property is violated, and every accepted job is closed.
mod common;
use common::SimulatedCluster;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_cluster_testbed::MAX_REPORTED_ENDS;
use spanlead_job_scheduler::{JobId, JobOutcome, JobSpec, JobState, Stage};

const WORKERS: usize = 9;
const ROUNDS: u32 = 200;
const ROUND_MS: u64 = 100;
/// The time after the last fault within which all jobs must be closed, milliseconds.
const SETTLE_MS: u64 = 45_000;
/// The number of seeds unless the environment variable `SEEDS` sets another.
const DEFAULT_SEEDS: u64 = 12;

fn random_stage(rng: &mut ChaCha8Rng, number: u16) -> Stage {
    Stage {
        count: rng.random_range(1..6),
        cpu_millicores: rng.random_range(200..4_000),
        memory_mb: rng.random_range(100..6_000),
        estimated_runtime_ms: rng.random_range(100..2_500),
        depends_on: if number > 0 && rng.random_bool(0.8) { vec![number - 1] } else { Vec::new() },
        gang: rng.random_bool(0.15),
        speculative: rng.random_bool(0.3),
        anti_affinity: u32::from(rng.random_bool(0.2)),
        affinity: rng.random_bool(0.2).then(|| format!("r{}", rng.random_range(0..3))),
        ..Stage::default()
    }
}

fn random_job(rng: &mut ChaCha8Rng, now_ms: u64) -> JobSpec {
    let stages = (0..rng.random_range(1..4)).map(|number| random_stage(rng, number)).collect();
    let is_repeated = rng.random_bool(0.1);
    JobSpec {
        payload: "text".into(),
        stages,
        repeats: if is_repeated { 2 } else { 0 },
        start_at_ms: if is_repeated { now_ms + 1_000 } else { 0 },
        interval_ms: 1_500,
        ..JobSpec::default()
    }
}

fn inject_fault(cluster: &mut SimulatedCluster, rng: &mut ChaCha8Rng) {
    let index = rng.random_range(0..cluster.workers.len());
    match rng.random_range(0..7) {
        0 => cluster.kill_scheduler(rng.random_range(5..3_000)),
        1 => cluster.kill_scheduler(rng.random_range(5_000..9_000)),
        2 => cluster.crash_worker(index),
        3 => cluster.workers[index].partitioned_until_ms = cluster.now_ms + rng.random_range(200..7_000),
        4 => cluster.delayed_share = 0.06,
        5 => {
            let worker = &mut cluster.workers[index];
            worker.failure_share = if worker.failure_share > 0.5 { 0.02 } else { 0.9 };
        }
        _ => cluster.delayed_share = 0.0,
    }
}

/// What is different in a simulation from one in which all that is read is complete.
#[derive(Clone, Copy)]
struct Incompleteness {
    /// The number of run ends that a worker lists in one report at most.
    max_reported_ends: usize,
    /// The share of live workers that each list of the platform leaves out, 0 to 1.
    left_out_share: f64,
}

/// Simulates random jobs and faults, checks the end states of the accepted jobs, and returns the
/// number of starts.
fn simulate(seed: u64, incompleteness: Incompleteness) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xB0B);
    let mut cluster = SimulatedCluster::new(seed, WORKERS);
    cluster.limit_reported_ends(incompleteness.max_reported_ends);
    cluster.left_out_share = incompleteness.left_out_share;
    cluster.run(1_500);
    let mut jobs: Vec<JobId> = Vec::new();
    for round in 0..ROUNDS {
        if rng.random_bool(0.6) {
            let spec = random_job(&mut rng, cluster.now_ms);
            jobs.extend(cluster.submit(spec));
        }
        if rng.random_bool(0.05)
            && let Some(job) = jobs.last()
        {
            cluster.cancel(*job);
        }
        if round > 10 && rng.random_bool(0.08) {
            inject_fault(&mut cluster, &mut rng);
        }
        cluster.run(ROUND_MS);
    }
    cluster.delayed_share = 0.0;
    for worker in &mut cluster.workers {
        worker.failure_share = 0.0;
    }
    cluster.run(SETTLE_MS);
    for job in &cluster.accepted {
        assert_closed_correctly(&cluster, seed, *job);
    }
    cluster.checker.starts
}

fn assert_closed_correctly(cluster: &SimulatedCluster, seed: u64, job: JobId) {
    let state = cluster.job_state(job);
    let view = cluster.scheduler.as_ref().and_then(|scheduler| scheduler.inspect_job(job));
    assert!(
        matches!(state, Some(JobState::Closed(_))),
        "seed {seed}: job {job} is not closed at the end: {view:#?}"
    );
    if state == Some(JobState::Closed(JobOutcome::Succeeded)) {
        assert!(
            cluster.checker.is_job_done(job),
            "seed {seed}: job {job} is shown as succeeded, but not all its tasks are done"
        );
    }
    if state == Some(JobState::Closed(JobOutcome::Cancelled)) {
        assert!(
            cluster.cancelled.contains(&job),
            "seed {seed}: job {job} is shown as cancelled, but was never cancelled"
        );
    }
}

/// Simulates all seeds, and asserts that the workers were not mostly idle.
fn simulate_all_seeds(max_reported_ends: usize, left_out_share: f64) {
    let incompleteness = Incompleteness { max_reported_ends, left_out_share };
    let seeds = std::env::var("SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(DEFAULT_SEEDS);
    let starts: u64 = (0..seeds).map(|seed| simulate(seed, incompleteness)).sum();
    assert!(starts > seeds * 200, "expected more than 200 starts per seed, got {starts} with {seeds} seeds");
}

#[test]
fn no_safety_property_is_violated_and_every_accepted_job_is_closed_under_random_faults() {
    simulate_all_seeds(MAX_REPORTED_ENDS, 0.0);
}

/// Guards against taking a part of a worker's run ends for all of them: with one or two ends in a
/// report, most reports after a failure are partial.
#[test]
fn no_safety_property_is_violated_if_reports_hold_only_some_of_the_run_ends() {
    simulate_all_seeds(1, 0.0);
    simulate_all_seeds(2, 0.0);
}

/// Guards against taking a worker for gone that a list of the platform leaves out.
#[test]
fn no_safety_property_is_violated_if_lists_leave_out_live_workers() {
    simulate_all_seeds(MAX_REPORTED_ENDS, 0.05);
    simulate_all_seeds(MAX_REPORTED_ENDS, 0.3);
}
