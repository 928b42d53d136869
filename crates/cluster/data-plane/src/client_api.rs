//! The HTTP API for clients, and the endpoint for the platform's readiness checks.
use crate::control_plane_client::{ControlPlaneClient, RequestOutcome};
use spanlead_cluster_config::DataPlaneConfiguration;
use spanlead_cluster_runtime::clock::Clock;
use spanlead_cluster_runtime::frame::ClientOperation;
use spanlead_cluster_runtime::freshness::{EarliestSendTime, MAX_REQUEST_AGE_MS};
use spanlead_cluster_runtime::http::framing::MessageLimits;
use spanlead_cluster_runtime::http::server::{self, ConnectionLimits};
use spanlead_job_scheduler::JobSpec;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tide::http::Method;
use tide::{Request, Response, StatusCode};

/// Request header: the time that the client waits for a response, milliseconds.
const DEADLINE_HEADER: &str = "Spanlead-Request-Deadline";
/// The part of the client's waiting time that is reserved for the response's way back,
/// milliseconds.
const RESPONSE_RESERVE_MS: u64 = 150;
/// The waiting time of a client that sends no [`DEADLINE_HEADER`], milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 3_000;
/// The header `Retry-After` of responses with the status 429 or 503: the time after which the
/// client may retry, seconds.
const RETRY_AFTER_S: &str = "1";
/// The maximum number of open connections for readiness checks.
const MAX_READINESS_CONNECTIONS: usize = 32;

// The limits that apply where the configuration sets none.
const DEFAULT_MAX_BODY_BYTES: usize = 256 * 1024;
const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
const DEFAULT_REQUEST_TIMEOUT_MS: u64 = 3_000;
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;
/// The maximum time-out of an idle connection, milliseconds, whatever the configuration sets. The
/// next request may have been sent at any time since the last response, and must not seem too old.
const MAX_IDLE_TIMEOUT_MS: u64 = MAX_REQUEST_AGE_MS * 2 / 3;

/// The state that the request handlers share.
#[derive(Clone, Debug)]
pub struct ClientApi {
    control_plane: ControlPlaneClient,
    is_shutting_down: Arc<AtomicBool>,
    clock: Clock,
    /// The number of requests that were received and not answered yet.
    open_requests: Arc<AtomicU64>,
    /// When the last request arrived, on the monotonic clock.
    last_request_ms: Arc<AtomicU64>,
    /// By when all requests must be answered, on the monotonic clock; [`u64::MAX`] unless the
    /// process shuts down.
    answer_by_ms: Arc<AtomicU64>,
    /// Whether new requests are refused, since the process is about to end.
    refuses_requests: Arc<AtomicBool>,
}

impl ClientApi {
    /// Creates the state without any requests. The process reports that it is not ready once
    /// `is_shutting_down` is set.
    #[must_use]
    pub fn new(control_plane: ControlPlaneClient, is_shutting_down: Arc<AtomicBool>, clock: Clock) -> Self {
        ClientApi {
            control_plane,
            is_shutting_down,
            clock,
            open_requests: Arc::default(),
            last_request_ms: Arc::default(),
            answer_by_ms: Arc::new(AtomicU64::new(u64::MAX)),
            refuses_requests: Arc::default(),
        }
    }

    /// Answers each request that arrives from now on within `time` from now, whatever its deadline.
    pub fn limit_answer_time(&self, time: Duration) {
        let time_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.answer_by_ms.store(self.clock.monotonic_ms().saturating_add(time_ms), Ordering::Relaxed);
    }

    /// Refuses each request that arrives from now on. It is not forwarded.
    pub fn refuse_requests(&self) {
        self.refuses_requests.store(true, Ordering::Relaxed);
    }

    /// Whether requests were received and not answered yet.
    #[must_use]
    pub fn has_open_requests(&self) -> bool {
        self.open_requests.load(Ordering::Relaxed) > 0
    }

    /// Whether no request is open and none has arrived within the last `idle_ms` milliseconds.
    #[must_use]
    pub fn is_idle(&self, idle_ms: u64) -> bool {
        let last_ms = self.last_request_ms.load(Ordering::Relaxed);
        let elapsed_ms = self.clock.monotonic_ms().saturating_sub(last_ms);
        !self.has_open_requests() && elapsed_ms >= idle_ms
    }

    fn is_ready(&self) -> bool {
        self.control_plane.is_ready() && !self.is_shutting_down.load(Ordering::Relaxed)
    }
}

/// Serves clients at an address, over up to `max_connections` connections at a time. Never returns.
pub async fn serve(address: String, api: ClientApi, max_connections: usize) {
    let control_plane = api.control_plane.clone();
    let limits = move || connection_limits(control_plane.configuration().as_deref());
    server::serve(address, app(api), Arc::new(limits), max_connections).await;
}

/// Returns the application that answers clients' requests.
#[must_use]
pub fn app(api: ClientApi) -> tide::Server<ClientApi> {
    let mut app = tide::with_state(api);
    app.at("/").all(handle_counted);
    app.at("/*").all(handle_counted);
    app
}

/// Serves the platform's readiness checks at an address. Never returns.
pub async fn serve_readiness(address: String, api: ClientApi) {
    let mut app = tide::with_state(api);
    app.at("/readyz").get(|request: Request<ClientApi>| async move {
        let is_ready = request.state().is_ready();
        Ok(Response::new(if is_ready { StatusCode::Ok } else { StatusCode::ServiceUnavailable }))
    });
    let limits = || connection_limits(None);
    server::serve(address, app, Arc::new(limits), MAX_READINESS_CONNECTIONS).await;
}

/// Returns the limits on connections that a configuration sets, and the defaults for those that it
/// does not set.
fn connection_limits(configuration: Option<&DataPlaneConfiguration>) -> ConnectionLimits {
    let configured = configuration.map(|configuration| &configuration.limits);
    let bytes = |value: Option<u64>, default: usize| {
        value.and_then(|value| usize::try_from(value).ok()).unwrap_or(default)
    };
    let milliseconds =
        |value: Option<u64>, default_ms: u64| Duration::from_millis(value.unwrap_or(default_ms));
    ConnectionLimits {
        message: MessageLimits {
            max_head_bytes: bytes(
                configured.and_then(|limits| limits.max_header_bytes),
                DEFAULT_MAX_HEAD_BYTES,
            ),
            max_body_bytes: bytes(
                configured.and_then(|limits| limits.max_body_bytes),
                DEFAULT_MAX_BODY_BYTES,
            ),
        },
        request_timeout: milliseconds(
            configured.and_then(|limits| limits.header_timeout_ms),
            DEFAULT_REQUEST_TIMEOUT_MS,
        ),
        idle_timeout: milliseconds(
            configured
                .and_then(|limits| limits.idle_timeout_ms)
                .map(|timeout_ms| timeout_ms.min(MAX_IDLE_TIMEOUT_MS)),
            DEFAULT_IDLE_TIMEOUT_MS,
        ),
    }
}

/// Handles a request, which counts as open until it is answered. A refused one does not count: it is
/// answered at once, and clients that never pause would keep the process from ending.
async fn handle_counted(request: Request<ClientApi>) -> tide::Result {
    let api = request.state().clone();
    if api.refuses_requests.load(Ordering::Relaxed) {
        let mut response = response(RequestOutcome::NoEffect);
        response.insert_header("Connection", "close");
        return Ok(response);
    }
    api.open_requests.fetch_add(1, Ordering::Relaxed);
    api.last_request_ms.store(api.clock.monotonic_ms(), Ordering::Relaxed);
    let response = handle(request, &api).await;
    api.open_requests.fetch_sub(1, Ordering::Relaxed);
    let mut response = response?;
    if api.is_shutting_down.load(Ordering::Relaxed) {
        response.insert_header("Connection", "close");
    }
    Ok(response)
}

/// Translates an HTTP request into an operation, forwards it to the primary and returns the
/// response.
async fn handle(mut request: Request<ClientApi>, api: &ClientApi) -> tide::Result {
    // Read before the age: a stop of the process in between shortens the deadline.
    let now_ms = api.clock.monotonic_ms();
    let age_limit_ms = remaining_age_ms(&request);
    if age_limit_ms == 0 {
        log::debug!("request refused: it may have waited for too long");
        api.control_plane.outcome_counts().record_stale_request();
        return Ok(retry_later("request waited for too long"));
    }
    let budget_ms = processing_budget_ms(&request).min(age_limit_ms);
    let deadline_ms = (now_ms + budget_ms).min(api.answer_by_ms.load(Ordering::Relaxed));
    let host = request.host().unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default().to_owned();
    let path = request.url().path().to_owned();
    let operation = match request.method() {
        Method::Post => match JobSpec::from_json(&request.body_bytes().await?) {
            Ok(spec) => ClientOperation::Submit(spec),
            Err(error) => return Ok(plain_response(400, &error.to_string())),
        },
        Method::Get => ClientOperation::Query,
        Method::Delete => ClientOperation::Cancel,
        _ => return Ok(plain_response(405, "POST, GET or DELETE")),
    };
    let outcome = api.control_plane.request(&host, &path, &operation, deadline_ms).await;
    Ok(response(outcome))
}

fn response(outcome: RequestOutcome) -> Response {
    match outcome {
        RequestOutcome::Responded { status, body } => {
            let mut response = plain_response(status, &body);
            if status == 200 {
                response.set_content_type(tide::http::mime::JSON);
            }
            if matches!(status, 429 | 503) {
                response.insert_header("Retry-After", RETRY_AFTER_S);
            }
            response
        }
        RequestOutcome::NoEffect => retry_later("no primary"),
        RequestOutcome::Unknown => plain_response(504, "no answer in time"),
    }
}

/// Returns the response to a request that had no effect and may be sent again.
fn retry_later(reason: &str) -> Response {
    let mut response = plain_response(503, reason);
    response.insert_header("Retry-After", RETRY_AFTER_S);
    response
}

/// Returns the time for which a request is certainly not older than [`MAX_REQUEST_AGE_MS`],
/// milliseconds.
fn remaining_age_ms(request: &Request<ClientApi>) -> u64 {
    let sent_after = request.ext::<EarliestSendTime>();
    let max_age = sent_after.map(EarliestSendTime::max_age).unwrap_or_default();
    let max_age_ms = u64::try_from(max_age.as_millis()).unwrap_or(u64::MAX);
    MAX_REQUEST_AGE_MS.saturating_sub(max_age_ms)
}

/// Returns the time that this process may spend on a request, milliseconds.
fn processing_budget_ms(request: &Request<ClientApi>) -> u64 {
    let header = request.header(DEADLINE_HEADER);
    let client_wait_ms = header.and_then(|value| value.as_str().trim().parse::<u64>().ok());
    client_wait_ms.unwrap_or(DEFAULT_DEADLINE_MS).saturating_sub(RESPONSE_RESERVE_MS)
}

fn plain_response(status: u16, body: &str) -> Response {
    let mut response = Response::new(StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError));
    response.set_body(body);
    response
}
