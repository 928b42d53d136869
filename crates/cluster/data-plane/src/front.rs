//! What clients and the platform ask over HTTP.
use crate::core_links::{CoreLinks, Outcome};
use spanlead_cluster_config::DataPlaneConfiguration;
use spanlead_cluster_runtime::frame::Ask;
use spanlead_cluster_runtime::http::framing::Bounds;
use spanlead_cluster_runtime::http::server::{self, Limits};
use spanlead_cluster_runtime::time::Clock;
use spanlead_job_scheduler::JobSpec;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tide::http::Method;
use tide::{Request, Response, StatusCode};

/// How long a client waits for an answer.
const DEADLINE: &str = "Spanlead-Request-Deadline";
/// Of that time, what is kept for the way back, milliseconds.
const WAY_BACK_MS: u64 = 150;
/// The time of a request that tells none, milliseconds.
const USUAL_MS: u64 = 3_000;
/// The largest body while no configuration tells another, bytes.
const MAX_BODY: usize = 256 * 1024;
/// The largest head while no configuration tells another, bytes.
const MAX_HEAD: usize = 16 * 1024;
/// How long a request may take to come while no configuration tells another, milliseconds.
const REQUEST_MS: u64 = 3_000;
/// How long a connection may be idle while no configuration tells another, milliseconds.
const IDLE_MS: u64 = 15_000;
/// Connections of the platform that asks whether this process is ready.
const PROBES: usize = 32;
/// When a client that was refused may come back, seconds.
const RETRY_AFTER_S: &str = "1";

/// What the handlers share.
#[derive(Clone, Debug)]
pub struct State {
    core: CoreLinks,
    ending: Arc<AtomicBool>,
    clock: Clock,
    open: Arc<AtomicU64>,
    last: Arc<AtomicU64>,
}

impl State {
    /// The state of a process that begins.
    #[must_use]
    pub fn new(core: CoreLinks, ending: Arc<AtomicBool>, clock: Clock) -> Self {
        State { core, ending, clock, open: Arc::default(), last: Arc::default() }
    }

    /// Whether no request is open and none has come for that long.
    #[must_use]
    pub fn quiet(&self, ms: u64) -> bool {
        let idle = self.clock.steady().saturating_sub(self.last.load(Ordering::Relaxed));
        self.open.load(Ordering::Relaxed) == 0 && idle >= ms
    }
}

/// Serves clients, at most so many connections at a time.
pub async fn serve(address: String, state: State, connections: usize) {
    let core = state.core.clone();
    let limits = move || limits(core.configuration().as_deref());
    let mut app = tide::with_state(state);
    app.at("/").all(client);
    app.at("/*").all(client);
    server::serve(address, app, Arc::new(limits), connections).await;
}

/// What clients may send by the configuration in force.
fn limits(configuration: Option<&DataPlaneConfiguration>) -> Limits {
    let given = configuration.map(|c| &c.limits);
    let bytes =
        |given: Option<u64>, usual: usize| given.and_then(|g| usize::try_from(g).ok()).unwrap_or(usual);
    let time = |given: Option<u64>, usual: u64| Duration::from_millis(given.unwrap_or(usual));
    Limits {
        bounds: Bounds {
            head: bytes(given.and_then(|g| g.max_header_bytes), MAX_HEAD),
            body: bytes(given.and_then(|g| g.max_body_bytes), MAX_BODY),
        },
        request: time(given.and_then(|g| g.header_timeout_ms), REQUEST_MS),
        idle: time(given.and_then(|g| g.idle_timeout_ms), IDLE_MS),
    }
}

/// Serves the platform's question whether this process is ready.
pub async fn serve_readiness(address: String, state: State) {
    let mut app = tide::with_state(state);
    app.at("/readyz").get(|request: Request<State>| async move {
        let state = request.state();
        let ready = state.core.ready() && !state.ending.load(Ordering::Relaxed);
        Ok(Response::new(if ready { StatusCode::Ok } else { StatusCode::ServiceUnavailable }))
    });
    server::serve(address, app, Arc::new(|| limits(None)), PROBES).await;
}

async fn client(request: Request<State>) -> tide::Result {
    let state = request.state().clone();
    state.open.fetch_add(1, Ordering::Relaxed);
    state.last.store(state.clock.steady(), Ordering::Relaxed);
    let response = handle(request, &state).await;
    state.open.fetch_sub(1, Ordering::Relaxed);
    let mut response = response?;
    if state.ending.load(Ordering::Relaxed) {
        response.insert_header("Connection", "close");
    }
    Ok(response)
}

async fn handle(mut request: Request<State>, state: &State) -> tide::Result {
    let due = state.clock.steady() + time_left(&request);
    let host = request.host().unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default().to_owned();
    let path = request.url().path().to_owned();
    let ask = match request.method() {
        Method::Post => {
            let body = request.body_bytes().await?;
            match JobSpec::from_json(&body) {
                Ok(spec) => Ask::Submit(spec),
                Err(error) => return Ok(plain(400, &error.to_string())),
            }
        }
        Method::Get => Ask::State,
        Method::Delete => Ask::Cancel,
        _ => return Ok(plain(405, "POST, GET or DELETE")),
    };
    Ok(match state.core.ask(&host, &path, &ask, due).await {
        Outcome::Answered(status, body) => {
            let mut response = plain(status, &body);
            if status == 200 {
                response.set_content_type(tide::http::mime::JSON);
            }
            if matches!(status, 429 | 503) {
                response.insert_header("Retry-After", RETRY_AFTER_S);
            }
            response
        }
        Outcome::Refused => {
            let mut response = plain(503, "no primary");
            response.insert_header("Retry-After", RETRY_AFTER_S);
            response
        }
        Outcome::Unknown => plain(504, "no answer in time"),
    })
}

/// How long the request may take, milliseconds.
fn time_left(request: &Request<State>) -> u64 {
    let told = request.header(DEADLINE).and_then(|value| value.as_str().trim().parse::<u64>().ok());
    told.unwrap_or(USUAL_MS).saturating_sub(WAY_BACK_MS)
}

fn plain(status: u16, body: &str) -> Response {
    let mut response = Response::new(StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError));
    response.set_body(body);
    response
}
