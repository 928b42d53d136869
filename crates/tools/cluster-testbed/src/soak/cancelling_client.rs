//! Clients that give up on a submission and cancel its job at another machine: once that is
//! acknowledged, nothing of the job may start, whenever the submission arrives.
use super::SoakContext;
use super::kept_client::{job_path, request};
use crate::clients::lock;
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use http_types::Method;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_cluster_runtime::http::client;
use spanlead_job_scheduler::{JobId, JobSpec};
use std::collections::VecDeque;
use std::ops::Range;
use std::time::{Duration, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a client waits for the response to a submission, milliseconds.
const PATIENCE_MS: Range<u64> = 0..1_200;
/// How long a client waits for the response to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Between two attempts to cancel a job.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The longest pause between two jobs, milliseconds.
const MAX_PAUSE_MS: u64 = 200;
/// The share of submissions whose connection is kept when the client gives up.
const KEPT_SHARE: f64 = 0.5;
/// The number of connections that are kept so.
const MAX_KEPT: usize = 8;
/// The share of jobs that are submitted once more after their cancellation.
const REPEATED_SHARE: f64 = 0.3;

const OK: u16 = 200;
const GONE: u16 = 410;

/// A client that cancels each of its jobs.
pub(super) struct CancellingClient {
    context: SoakContext,
    rng: ChaCha8Rng,
    /// Connections on which a submission has had no response.
    kept: VecDeque<TcpStream>,
}

impl CancellingClient {
    pub(super) fn new(context: SoakContext, seed: u64) -> Self {
        CancellingClient { context, rng: ChaCha8Rng::seed_from_u64(seed), kept: VecDeque::new() }
    }

    /// Submits and cancels one job after the other until the load ends.
    pub(super) async fn run(mut self) {
        while Instant::now() < self.context.load_ends_at {
            let job = JobId(self.rng.random());
            let body = self.draw_job(job);
            self.submit(job, &body).await;
            let is_acknowledged = self.cancel(job).await;
            if is_acknowledged && self.rng.random_bool(REPEATED_SHARE) {
                self.submit(job, &body).await;
            }
            let pause_ms = self.rng.random_range(0..MAX_PAUSE_MS);
            task::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    fn draw_job(&mut self, job: JobId) -> String {
        let body = self.context.form.random_job(&mut self.rng).to_string();
        if let Ok(spec) = JobSpec::from_json(body.as_bytes()) {
            self.context.platform.fleet().checker.record_submission(job, &spec);
        }
        body
    }

    /// Submits a job over a new connection, and gives up soon. The connection is kept or closed.
    async fn submit(&mut self, job: JobId, body: &str) {
        let patience = Duration::from_millis(self.rng.random_range(PATIENCE_MS));
        let Some((address, mut stream)) = self.connect().await else { return };
        let Some(request) = request(&address, Method::Post, &job_path(job), Some(body.to_owned())) else {
            return;
        };
        let Ok(bytes) = client::encode(request).await else { return };
        let is_unanswered = timeout(patience, client::call(&mut stream, &bytes)).await.is_err();
        if is_unanswered && self.rng.random_bool(KEPT_SHARE) {
            self.kept.push_back(stream);
            if self.kept.len() > MAX_KEPT {
                self.kept.pop_front();
            }
        }
    }

    /// Cancels a job, at any machine, until that is acknowledged. Returns `false` if it is not
    /// before the load ends.
    async fn cancel(&mut self, job: JobId) -> bool {
        while Instant::now() < self.context.load_ends_at {
            if let Some(status) = self.send_cancellation(job).await
                && matches!(status, OK | GONE)
            {
                self.record_cancellation(job, status);
                return true;
            }
            task::sleep(RETRY_INTERVAL).await;
        }
        false
    }

    fn record_cancellation(&self, job: JobId, status: u16) {
        let now_ms = self.context.platform.now_ms();
        let was_known = status == OK;
        self.context.platform.fleet().checker.record_cancellation(now_ms, job, was_known);
        let mut tally = lock(&self.context.tally);
        tally.cancelled += 1;
        tally.cancelled_unknown += usize::from(!was_known);
    }

    /// Sends a cancellation to a random machine. Returns the status of the response, if there is
    /// one.
    async fn send_cancellation(&mut self, job: JobId) -> Option<u16> {
        let (address, mut stream) = self.connect().await?;
        let bytes = client::encode(request(&address, Method::Delete, &job_path(job), None)?).await.ok()?;
        let response = timeout(CANCEL_TIMEOUT, client::call(&mut stream, &bytes)).await.ok()?.ok()?;
        Some(response.status)
    }

    async fn connect(&mut self) -> Option<(String, TcpStream)> {
        let address = self.context.fronts.choose(&mut self.rng)?.clone();
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(&address)).await.ok()?.ok()?;
        Some((address, stream))
    }
}
