//! The latency of short jobs in simulated clusters of 350 to 1,700 workers, after an outage of the
//! scheduler and while calls are lost. A commit takes 12 ms, a call 3 to 6 ms.
mod common;
use common::SimulatedCluster;
use spanlead_job_scheduler::{JobId, JobOutcome, JobSpec, JobState, Stage};

/// The rate of new jobs per worker, jobs per second.
const JOBS_PER_WORKER_PER_S: f64 = 0.3;
const TASKS_PER_JOB: u32 = 4;
const TASK_RUNTIME_MS: u64 = 600;
/// The interval at which jobs are submitted and their states are polled, milliseconds.
const POLL_INTERVAL_MS: u64 = 10;
/// The duration of the load before the first measurement, milliseconds.
const WARM_UP_MS: u64 = 2_000;
/// The duration of a measurement, milliseconds. It covers the jobs first submitted in that time.
const MEASUREMENT_MS: u64 = 2_000;
/// The time that a measurement waits for its jobs to finish, milliseconds. A job that is not done
/// by then counts with this latency.
const MAX_LATENCY_MS: u64 = 5_000;

fn short_job() -> JobSpec {
    let stage = Stage {
        count: TASKS_PER_JOB,
        cpu_millicores: 2_000,
        memory_mb: 100,
        estimated_runtime_ms: TASK_RUNTIME_MS,
        ..Stage::default()
    };
    JobSpec { payload: "text".into(), stages: vec![stage], ..JobSpec::default() }
}

/// A job, from its client's first attempt to submit it.
struct ClientJob {
    first_attempt_at_ms: u64,
    /// `None` until a scheduler has accepted it.
    id: Option<JobId>,
    /// `None` until the client has seen it succeed.
    done_at_ms: Option<u64>,
}

/// A cluster under a steady load of short jobs.
struct LoadedCluster {
    cluster: SimulatedCluster,
    jobs_per_poll: f64,
    /// The jobs that are due and not in `jobs` yet; a fraction below 1 after each poll.
    due_jobs: f64,
    jobs: Vec<ClientJob>,
    /// The index of the first job that is not done.
    first_open: usize,
}

impl LoadedCluster {
    fn new(workers: usize) -> Self {
        let mut cluster = SimulatedCluster::new(1, workers);
        cluster.workers.iter_mut().for_each(|worker| worker.failure_share = 0.0);
        let jobs_per_poll = workers as f64 * JOBS_PER_WORKER_PER_S * POLL_INTERVAL_MS as f64 / 1_000.0;
        let mut loaded =
            LoadedCluster { cluster, jobs_per_poll, due_jobs: 0.0, jobs: Vec::new(), first_open: 0 };
        loaded.run(WARM_UP_MS);
        loaded
    }

    /// Continues the load for `ms` milliseconds.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / POLL_INTERVAL_MS {
            self.due_jobs += self.jobs_per_poll;
            while self.due_jobs >= 1.0 {
                self.due_jobs -= 1.0;
                let first_attempt_at_ms = self.cluster.now_ms;
                self.jobs.push(ClientJob { first_attempt_at_ms, id: None, done_at_ms: None });
            }
            self.poll_jobs();
            self.cluster.run(POLL_INTERVAL_MS);
        }
    }

    /// Submits the jobs that no scheduler has accepted yet, and records which others are done.
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
        let is_done = |job: &&ClientJob| job.done_at_ms.is_some();
        self.first_open += self.jobs[self.first_open..].iter().take_while(is_done).count();
    }

    /// Runs a measurement, and returns a quantile of the latencies of its jobs, milliseconds. A job
    /// that is not done [`MAX_LATENCY_MS`] later counts with that latency.
    fn latency_quantile_ms(&mut self, quantile: f64) -> u64 {
        let from_ms = self.cluster.now_ms;
        self.run(MEASUREMENT_MS);
        let until_ms = self.cluster.now_ms;
        self.run(MAX_LATENCY_MS);
        let is_measured = |job: &&ClientJob| (from_ms..until_ms).contains(&job.first_attempt_at_ms);
        let latency_ms = |job: &ClientJob| {
            job.done_at_ms.map_or(MAX_LATENCY_MS, |done_at_ms| done_at_ms - job.first_attempt_at_ms)
        };
        let mut latencies: Vec<u64> = self.jobs.iter().filter(is_measured).map(latency_ms).collect();
        latencies.sort_unstable();
        latencies[(quantile * (latencies.len() - 1) as f64) as usize]
    }
}

/// No scheduler runs for 500 ms, as after the loss of the primary and its successors. From 2 s
/// after the next scheduler has started (a majority is available again), the 95th percentile of job
/// latency must be at most 1.5 times that before the outage.
fn assert_latency_recovers_within_2_s(workers: usize) {
    const OUTAGE_MS: u64 = 500;
    let mut loaded = LoadedCluster::new(workers);
    let before_ms = loaded.latency_quantile_ms(0.95);

    loaded.cluster.kill_scheduler(OUTAGE_MS);
    loaded.run(OUTAGE_MS + 2_000);

    let after_ms = loaded.latency_quantile_ms(0.95);
    assert!(
        after_ms * 2 <= before_ms * 3,
        "{workers} workers: 95th percentile of {before_ms} ms before, {after_ms} ms after"
    );
}

#[test]
fn latency_of_short_jobs_recovers_within_2_s_after_an_outage_of_the_scheduler_with_350_workers() {
    assert_latency_recovers_within_2_s(350);
}

#[test]
fn latency_of_short_jobs_recovers_within_2_s_after_an_outage_of_the_scheduler_with_1100_workers() {
    assert_latency_recovers_within_2_s(1_100);
}

#[test]
fn latency_of_short_jobs_recovers_within_2_s_after_an_outage_of_the_scheduler_with_1700_workers() {
    assert_latency_recovers_within_2_s(1_700);
}

/// A lost renewal hides the run ends of its worker until it times out. With many workers the
/// response delay of renewals is long, unless losses shorten it.
#[test]
fn latency_of_most_short_jobs_at_most_doubles_while_calls_are_lost() {
    const LOST_SHARE: f64 = 0.066;
    let mut loaded = LoadedCluster::new(1_100);
    let before_ms = loaded.latency_quantile_ms(0.75);

    loaded.cluster.delayed_share = LOST_SHARE;
    // Renewals that were sent before the loss began are open for up to 2.4 s. Those that follow
    // them are subject to the loss as well.
    loaded.run(3_000);

    let lossy_ms = loaded.latency_quantile_ms(0.75);
    assert!(
        lossy_ms <= 2 * before_ms,
        "75th percentile of {before_ms} ms before, {lossy_ms} ms while calls are lost"
    );
}
