//! Clients that keep their connection, and go on using it until its process is gone.
use super::SoakContext;
use crate::clients::{HOST, PATH_PREFIX, lock};
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use http_types::{Body, Method, Request, Url, mime};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_cluster_runtime::http::client;
use spanlead_job_scheduler::{JobId, JobSpec};
use std::time::{Duration, Instant};

/// How long a client waits for a response, milliseconds.
const DEADLINE_MS: u64 = 3_000;
/// How long a client waits for a response, with slack for the answer at the deadline.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest pause between two requests, milliseconds.
const MAX_PAUSE_MS: u64 = 60;
/// A connection that closes later than this after a request was sent has cut it (`lossSlackMs`).
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// A request that has used this share of its time may be cut.
const USED_TIME_SHARE: f64 = 0.7;
/// The number of jobs of a client that are open at a time.
const MAX_OPEN_JOBS: usize = 3;
/// How often the state of the open jobs is asked for after the end of the load.
const DRAIN_PAUSE: Duration = Duration::from_millis(100);

const OK: u16 = 200;
const GONE: u16 = 410;

/// A request that was cut: its connection closed without a complete response.
#[derive(Clone, Debug)]
pub(super) struct CutRequest {
    /// When it was sent.
    pub(super) sent_at: Instant,
    /// When the connection closed.
    pub(super) closed_at: Instant,
    /// The address that it was sent to, and its method and path.
    pub(super) description: String,
}

/// A connection to a machine of the data plane.
struct Connection {
    address: String,
    stream: TcpStream,
}

/// A job whose end the client waits for.
struct OpenJob {
    id: JobId,
    body: String,
    is_accepted: bool,
}

/// A client with one connection.
pub(super) struct KeptClient {
    context: SoakContext,
    rng: ChaCha8Rng,
    connection: Option<Connection>,
    jobs: Vec<OpenJob>,
}

/// A response without its headers.
struct Response {
    status: u16,
    body: String,
}

impl KeptClient {
    pub(super) fn new(context: SoakContext, seed: u64) -> Self {
        KeptClient { context, rng: ChaCha8Rng::seed_from_u64(seed), connection: None, jobs: Vec::new() }
    }

    /// Sends requests until the load ends, and then waits for the ends of its jobs.
    pub(super) async fn run(mut self) {
        while Instant::now() < self.context.load_ends_at {
            self.send_any_request().await;
            let pause_ms = self.rng.random_range(0..MAX_PAUSE_MS);
            task::sleep(Duration::from_millis(pause_ms)).await;
        }
        self.jobs.retain(|job| job.is_accepted);
        while !self.jobs.is_empty() && Instant::now() < self.context.jobs_end_by {
            self.poll_job(0).await;
            let is_shared = self.jobs.len() > 1;
            self.jobs.rotate_left(usize::from(is_shared));
            task::sleep(DRAIN_PAUSE).await;
        }
        for job in &self.jobs {
            add_violation(&self.context, job.id, "was not over in time");
        }
    }

    /// Submits a job, polls one, or asks for the number of pending jobs.
    async fn send_any_request(&mut self) {
        if self.rng.random_bool(0.1) {
            self.send(Method::Get, PATH_PREFIX, None).await;
            return;
        }
        if self.jobs.len() < MAX_OPEN_JOBS {
            self.draw_job();
        }
        let index = self.rng.random_range(0..self.jobs.len());
        if self.jobs[index].is_accepted {
            self.poll_job(index).await;
        } else {
            self.submit_job(index).await;
        }
    }

    fn draw_job(&mut self) {
        let id = JobId(self.rng.random());
        let body = self.context.form.random_job(&mut self.rng).to_string();
        if let Ok(spec) = JobSpec::from_json(body.as_bytes()) {
            self.context.platform.fleet().checker.record_submission(id, &spec);
        }
        lock(&self.context.tally).submitted += 1;
        self.jobs.push(OpenJob { id, body, is_accepted: false });
    }

    /// Submits a job. Without acceptance the client submits it again later: it remains one job.
    async fn submit_job(&mut self, index: usize) {
        let OpenJob { id, body, .. } = &self.jobs[index];
        let (id, path, body) = (*id, job_path(*id), body.clone());
        let response = self.send(Method::Post, &path, Some(body)).await;
        if response.is_some_and(|response| response.status == OK) {
            self.jobs[index].is_accepted = true;
            lock(&self.context.tally).accepted.push(id);
        }
    }

    async fn poll_job(&mut self, index: usize) {
        let id = self.jobs[index].id;
        let Some(response) = self.send(Method::Get, &job_path(id), None).await else { return };
        if response.status == GONE {
            add_violation(&self.context, id, "is not known any more");
        } else if response.body.contains("succeeded") {
            if !self.context.platform.fleet().checker.is_job_done(id) {
                add_violation(&self.context, id, "is shown as succeeded and is not");
            }
            lock(&self.context.tally).succeeded += 1;
        } else if response.body.contains("failed") {
            if !self.context.platform.fleet().checker.has_job_failed(id) {
                add_violation(&self.context, id, "is shown as failed without cause");
            }
            lock(&self.context.tally).failed += 1;
        } else if response.body.contains("cancelled") {
            add_violation(&self.context, id, "was never cancelled");
        } else {
            return;
        }
        self.jobs.remove(index);
    }

    /// Sends a request over the kept connection, or over a new one if there is none. Returns the
    /// response, if there is one.
    async fn send(&mut self, method: Method, path: &str, body: Option<String>) -> Option<Response> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let bytes = client::encode(request(&connection.address, method, path, body)?).await.ok()?;
        let sent_at = Instant::now();
        let result = timeout(RESPONSE_TIMEOUT, client::call(&mut connection.stream, &bytes)).await;
        match result {
            Ok(Ok(response)) => {
                if response.reusable {
                    self.connection = Some(connection);
                }
                lock(&self.context.tally).accept_ms.push(sent_at.elapsed().as_millis() as u64);
                let body = String::from_utf8_lossy(&response.body).into_owned();
                Some(Response { status: response.status, body })
            }
            Ok(Err(error)) => {
                let description = format!("{} {method} {path}: {error}", connection.address);
                self.record_cut(sent_at, description);
                None
            }
            Err(_) => None,
        }
    }

    /// Records a request without a complete response, unless it may not have been read or its time
    /// is nearly over.
    fn record_cut(&self, sent_at: Instant, description: String) {
        let closed_at = Instant::now();
        let age = closed_at - sent_at;
        let max_age = Duration::from_millis(DEADLINE_MS).mul_f64(USED_TIME_SHARE);
        if age > LOSS_SLACK && age < max_age {
            self.context.record_cut(CutRequest { sent_at, closed_at, description });
        }
    }

    async fn connect(&mut self) -> Option<Connection> {
        let address = self.context.fronts.choose(&mut self.rng)?.clone();
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(&address)).await.ok()?.ok()?;
        Some(Connection { address, stream })
    }
}

/// The path of a job in the soak's queue.
pub(super) fn job_path(id: JobId) -> String {
    format!("{PATH_PREFIX}{id}")
}

fn add_violation(context: &SoakContext, id: JobId, what: &str) {
    lock(&context.tally).violations.push(format!("LOST: {id} {what}"));
}

/// A request of a client, with its deadline.
pub(super) fn request(address: &str, method: Method, path: &str, body: Option<String>) -> Option<Request> {
    let url = Url::parse(&format!("http://{address}{path}")).ok()?;
    let mut request = Request::new(method, url);
    request.insert_header("Host", HOST);
    request.insert_header("Spanlead-Request-Deadline", DEADLINE_MS.to_string());
    if let Some(body) = body {
        request.set_body(Body::from_string(body));
        request.set_content_type(mime::JSON);
    }
    Some(request)
}
