//! Clients: each submits one job, and polls it until it is closed.
use crate::deployment_form::random_small_job;
use crate::http_client::{HttpRequest, HttpResponse, call};
use crate::platform::Platform;
use async_std::task;
use http_types::Method;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_job_scheduler::{JobId, JobSpec};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The host of the trial's queue.
pub const HOST: &str = "jobs.example";
/// The prefix of its paths.
pub const PATH_PREFIX: &str = "/q/";
/// How often a client attempts to submit its job.
const MAX_ATTEMPTS: usize = 8;
/// The deadline that a client sends with a request, milliseconds.
const DEADLINE_MS: u64 = 3_000;
/// Between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Between two requests for a job's state.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

const OK: u16 = 200;
const GONE: u16 = 410;
const BAD_GATEWAY: u16 = 502;
const GATEWAY_TIMEOUT: u16 = 504;

/// What became of the jobs.
#[derive(Debug, Default)]
pub struct JobTally {
    /// Jobs that clients began to submit.
    pub submitted: usize,
    /// The accepted ones.
    pub accepted: Vec<JobId>,
    /// Jobs that every attempt's response rejected.
    pub rejected: usize,
    /// Jobs without acceptance of which an attempt may have been carried out.
    pub unknown: usize,
    /// Milliseconds from the first attempt to the first response 200, of each accepted job.
    pub accept_ms: Vec<u64>,
    /// Milliseconds from the first attempt until a job was shown as succeeded.
    pub close_ms: Vec<u64>,
    /// Jobs that were shown as succeeded.
    pub succeeded: usize,
    /// Jobs that were shown as failed.
    pub failed: usize,
    /// Jobs whose cancellation was acknowledged.
    pub cancelled: usize,
    /// Those of them that the scheduler did not know.
    pub cancelled_unknown: usize,
    /// What clients saw that must not happen.
    pub violations: Vec<String>,
}

/// The tally, shared by the clients.
pub type SharedTally = Arc<Mutex<JobTally>>;

/// Locks the tally.
pub fn lock(tally: &SharedTally) -> MutexGuard<'_, JobTally> {
    tally.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What all clients of a trial share.
#[derive(Clone, Debug)]
pub struct ClientContext {
    /// The platform, whose checker is notified of submissions.
    pub platform: Platform,
    /// The addresses of the data plane for clients, `IP:port`.
    pub fronts: Arc<Vec<String>>,
    /// The tally.
    pub tally: SharedTally,
    /// When a job must be closed.
    pub until: Instant,
}

/// One job, from its client's view.
struct Client {
    context: ClientContext,
    job: JobId,
    started_at: Instant,
    rng: ChaCha8Rng,
}

/// Submits one job, and follows it until it is closed or the trial is over.
pub async fn run_client(context: ClientContext, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let job = JobId(rng.random());
    let body = random_small_job(&mut rng).to_string();
    if let Ok(spec) = JobSpec::from_json(body.as_bytes()) {
        context.platform.fleet().checker.record_submission(job, &spec);
    }
    lock(&context.tally).submitted += 1;
    let mut client = Client { context, job, started_at: Instant::now(), rng };
    if client.submit(&body).await {
        client.follow().await;
    }
}

impl Client {
    /// Attempts to submit the job; `true` once it is accepted.
    async fn submit(&mut self, body: &str) -> bool {
        let mut is_unknown = false;
        for _ in 0..MAX_ATTEMPTS {
            match self.send(Method::Post, Some(body.to_owned())).await.map(|response| response.status) {
                Some(OK) => {
                    self.count_accepted();
                    return true;
                }
                None | Some(BAD_GATEWAY | GATEWAY_TIMEOUT) => is_unknown = true,
                Some(_) => {}
            }
            task::sleep(RETRY_INTERVAL).await;
        }
        let mut tally = lock(&self.context.tally);
        if is_unknown {
            tally.unknown += 1;
        } else {
            tally.rejected += 1;
        }
        false
    }

    /// Polls the job until it is closed.
    async fn follow(&mut self) {
        while Instant::now() < self.context.until {
            task::sleep(POLL_INTERVAL).await;
            let Some(response) = self.send(Method::Get, None).await else { continue };
            if response.status == GONE {
                return self.add_violation("LOST", "is not known any more");
            }
            if response.body.contains("succeeded") {
                return self.count_succeeded();
            }
            if response.body.contains("failed") {
                return self.count_failed();
            }
            if response.body.contains("cancelled") {
                return self.add_violation("LOST", "was never cancelled");
            }
        }
        self.add_violation("LOST", "was not over in time");
    }

    fn count_accepted(&self) {
        let mut tally = lock(&self.context.tally);
        tally.accepted.push(self.job);
        tally.accept_ms.push(self.elapsed_ms());
    }

    fn count_succeeded(&self) {
        if !self.context.platform.fleet().checker.is_job_done(self.job) {
            self.add_violation("MIXED", "is shown as succeeded and is not");
        }
        let mut tally = lock(&self.context.tally);
        tally.succeeded += 1;
        tally.close_ms.push(self.elapsed_ms());
    }

    fn count_failed(&self) {
        if !self.context.platform.fleet().checker.has_job_failed(self.job) {
            self.add_violation("LOST", "is shown as failed without cause");
        }
        lock(&self.context.tally).failed += 1;
    }

    fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn add_violation(&self, kind: &str, what: &str) {
        let JobId(job) = self.job;
        lock(&self.context.tally).violations.push(format!("{kind}: {job:016x} {what}"));
    }

    /// Sends a request for the job to a random machine of the data plane; `None` without response.
    async fn send(&mut self, method: Method, body: Option<String>) -> Option<HttpResponse> {
        let front = self.context.fronts.choose(&mut self.rng)?;
        let path = format!("{PATH_PREFIX}{:016x}", self.job.0);
        let headers = [("Spanlead-Request-Deadline", DEADLINE_MS.to_string())];
        let request = HttpRequest { method, host: Some(HOST), path: &path, headers: &headers, body };
        call(front, &request).await.ok()
    }
}
