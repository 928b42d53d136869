//! What clients and the platform ask over HTTP.
use crate::data::core_links::{CoreLinks, Outcome};
use crate::frame::Ask;
use crate::time::Clock;
use async_std::task;
use spanlead_jobs::JobSpec;
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
const MAX_BODY: u64 = 256 * 1024;
/// When a client that was refused may come back, seconds.
const RETRY_AFTER_S: &str = "1";
/// Between two tries to listen.
const RETRY: Duration = Duration::from_millis(100);

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

/// Serves clients.
pub async fn serve(address: String, state: State) {
    loop {
        let mut app = tide::with_state(state.clone());
        app.at("/").all(client);
        app.at("/*").all(client);
        if let Err(error) = app.listen(&address).await {
            log::error!("{address}: {error}");
        }
        task::sleep(RETRY).await;
    }
}

/// Serves the platform's question whether this process is ready.
pub async fn serve_readiness(address: String, state: State) {
    loop {
        let mut app = tide::with_state(state.clone());
        app.at("/readyz").get(|request: Request<State>| async move {
            let state = request.state();
            let ready = state.core.ready() && !state.ending.load(Ordering::Relaxed);
            Ok(Response::new(if ready { StatusCode::Ok } else { StatusCode::ServiceUnavailable }))
        });
        if let Err(error) = app.listen(&address).await {
            log::error!("{address}: {error}");
        }
        task::sleep(RETRY).await;
    }
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
    let limit = state.core.configuration().and_then(|c| c.limits.max_body_bytes).unwrap_or(MAX_BODY);
    if request.len().is_some_and(|length| length as u64 > limit) {
        return Ok(plain(413, "too large"));
    }
    let ask = match request.method() {
        Method::Post => {
            let body = request.body_bytes().await?;
            match JobSpec::read(&body) {
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
