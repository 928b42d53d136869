//! Hundreds of workers on the simulated network, where a commit takes 12 ms and a call 3 to 6: how soon
//! work of a few hundred milliseconds is done, after the primary was lost and while calls are lost.
mod common;
use common::SimulatedCluster;
use spanlead_job_scheduler::{JobId, JobOutcome, JobSpec, JobState, Stage};

/// Jobs a second for each worker.
const JOBS_PER_WORKER_S: f64 = 0.3;
const TASKS_PER_JOB: u32 = 4;
const RUNTIME_MS: u64 = 600;
/// How often jobs are submitted and asked for, milliseconds.
const POLL_INTERVAL_MS: u64 = 10;
/// How long the load goes on before anything is measured, milliseconds.
const WARM_UP_MS: u64 = 2_000;
/// How long jobs are measured, milliseconds.
const WINDOW_MS: u64 = 2_000;

fn short_job() -> JobSpec {
    let stage = Stage {
        count: TASKS_PER_JOB,
        cpu_millicores: 2_000,
        memory_mb: 100,
        estimated_runtime_ms: RUNTIME_MS,
        ..Stage::default()
    };
    JobSpec { payload: "text".into(), stages: vec![stage], ..JobSpec::default() }
}

/// A job from its client's first try on.
struct TriedJob {
    first_tried_at_ms: u64,
    /// `None` until a scheduler took it.
    id: Option<JobId>,
    done_at_ms: Option<u64>,
}

/// A cluster under a steady load of short jobs.
struct LoadedCluster {
    cluster: SimulatedCluster,
    jobs_per_poll: f64,
    owed_jobs: f64,
    jobs: Vec<TriedJob>,
    /// The jobs before this one are done.
    first_open: usize,
}

impl LoadedCluster {
    fn new(workers: usize) -> Self {
        let mut cluster = SimulatedCluster::new(1, workers);
        cluster.workers.iter_mut().for_each(|worker| worker.failure_share = 0.0);
        let jobs_per_poll = workers as f64 * JOBS_PER_WORKER_S * POLL_INTERVAL_MS as f64 / 1_000.0;
        let mut loaded =
            LoadedCluster { cluster, jobs_per_poll, owed_jobs: 0.0, jobs: Vec::new(), first_open: 0 };
        loaded.run(WARM_UP_MS);
        loaded
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / POLL_INTERVAL_MS {
            self.owed_jobs += self.jobs_per_poll;
            while self.owed_jobs >= 1.0 {
                self.owed_jobs -= 1.0;
                let first_tried_at_ms = self.cluster.now_ms;
                self.jobs.push(TriedJob { first_tried_at_ms, id: None, done_at_ms: None });
            }
            self.poll_jobs();
            self.cluster.run(POLL_INTERVAL_MS);
        }
    }

    /// Hands in what no scheduler has taken, and notes what is done.
    fn poll_jobs(&mut self) {
        let now_ms = self.cluster.now_ms;
        for job in &mut self.jobs[self.first_open..] {
            match job.id {
                None => job.id = self.cluster.submit(short_job()),
                Some(id) if job.done_at_ms.is_none() => {
                    let state = self.cluster.job_state(id);
                    let is_done = state == Some(JobState::Closed(JobOutcome::Succeeded));
                    job.done_at_ms = is_done.then_some(now_ms);
                }
                Some(_) => {}
            }
        }
        let is_done = |job: &&TriedJob| job.done_at_ms.is_some();
        self.first_open += self.jobs[self.first_open..].iter().take_while(is_done).count();
    }

    /// How long the jobs took that are first tried within the next window, by this share of them.
    fn latency_ms(&mut self, share: f64) -> u64 {
        const MAX_LATENCY_MS: u64 = 5_000;
        let from_ms = self.cluster.now_ms;
        self.run(WINDOW_MS);
        let until_ms = self.cluster.now_ms;
        self.run(MAX_LATENCY_MS);
        let in_window = |job: &&TriedJob| (from_ms..until_ms).contains(&job.first_tried_at_ms);
        let latency_ms = |job: &TriedJob| {
            job.done_at_ms.map_or(MAX_LATENCY_MS, |done_at_ms| done_at_ms - job.first_tried_at_ms)
        };
        let mut latencies: Vec<u64> = self.jobs.iter().filter(in_window).map(latency_ms).collect();
        latencies.sort_unstable();
        latencies[(share * (latencies.len() - 1) as f64) as usize]
    }
}

/// The primary and its successors are gone for half a second; 2 s after a majority is back, 95 of 100
/// jobs take at most half as long again as before.
fn assert_back_within_2_s(workers: usize) {
    const OUTAGE_MS: u64 = 500;
    let mut loaded = LoadedCluster::new(workers);
    let calm_ms = loaded.latency_ms(0.95);

    loaded.cluster.kill_scheduler(OUTAGE_MS);
    loaded.run(OUTAGE_MS + 2_000);

    let after_ms = loaded.latency_ms(0.95);
    assert!(after_ms * 2 <= calm_ms * 3, "{workers} workers: {calm_ms} ms before, {after_ms} ms after");
}

#[test]
fn short_jobs_are_back_2_s_after_a_loss_of_the_primary_with_350_workers() {
    assert_back_within_2_s(350);
}

#[test]
fn short_jobs_are_back_2_s_after_a_loss_of_the_primary_with_1100_workers() {
    assert_back_within_2_s(1_100);
}

#[test]
fn short_jobs_are_back_2_s_after_a_loss_of_the_primary_with_1700_workers() {
    assert_back_within_2_s(1_700);
}

/// A lost renewal hides the ends on its worker until it times out: with many workers renewals wait
/// for long, unless losses have them shortened.
#[test]
fn most_short_jobs_are_done_in_time_while_calls_are_lost() {
    const LOST_SHARE: f64 = 0.066;
    let mut loaded = LoadedCluster::new(1_100);
    let calm_ms = loaded.latency_ms(0.75);

    loaded.cluster.delayed_share = LOST_SHARE;
    // Renewals that were sent before, and wait for up to 2.4 s, are lost as well.
    loaded.run(3_000);

    let lossy_ms = loaded.latency_ms(0.75);
    assert!(lossy_ms <= 2 * calm_ms, "{calm_ms} ms before, {lossy_ms} ms while calls are lost");
}
