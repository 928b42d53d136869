//! The messages on the sockets: each is decoded once into a small typed value, and encoded once.
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, HeaderName, HeaderValue, RETRY_AFTER,
    TRANSFER_ENCODING,
};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use serde::{Deserialize, Serialize};
use spanlead_balancing_policy::{LoadReport, Nanos, WorkerState};
use spanlead_deployment_settings::{Names, ReportMapping, ReportedFigures, index_of};
use spanlead_engine::{
    Answer, DurableRequest, EngineStats, Job, JobUpdate, LeaseGrant, NoticeReply, WorkerEndpoint,
};
use spanlead_worker_attributes::{LiveHost, normal};
use std::sync::Arc;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// No body is larger.
pub const MAX_BODY: usize = 64 * 1024;
/// The path of the workers' notices.
pub const CALLBACK: &str = "/callback";
/// The path that tells whether requests can be taken.
pub const HEALTH: &str = "/healthz";

static REQ_ID: HeaderName = HeaderName::from_static("req-id");
static REQ_OWNER: HeaderName = HeaderName::from_static("req-owner");
static REQ_KEY: HeaderName = HeaderName::from_static("req-key");
static REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline-ms");
static REQ_EXTRA: HeaderName = HeaderName::from_static("req-extra");
static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
static DECLINED: HeaderName = HeaderName::from_static("srv-declined");
static LEASE_TOKEN: HeaderName = HeaderName::from_static("lease-token");
static LEASE_MS: HeaderName = HeaderName::from_static("lease-ms");
static LOAD: HeaderName = HeaderName::from_static("srv-load");

/// The longest deadline that is believed, milliseconds: later ones could only be a mistake.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;
/// The most slots or memory units of a job that are believed: more than any machine has.
const MAX_FIGURE: f64 = 4096.0;
/// The longest key that the ledger takes.
const MAX_KEY: usize = 256;
/// The longest id; it becomes part of a path.
const MAX_ID: usize = 128;

pub type Body = Full<Bytes>;

// ---------------------------------------------------------------- clients

/// A client's request: what goes on to a worker unchanged, and all that another process must read.
#[derive(Debug)]
pub struct ClientRequest {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

/// A request that can't be taken: the answer's status and what is wrong.
#[derive(Debug)]
pub struct Rejection(pub StatusCode, pub &'static str);

const fn bad(why: &'static str) -> Rejection {
    Rejection(StatusCode::BAD_REQUEST, why)
}

/// Reads the class of a job.
pub fn class(head: &Parts, names: &Names) -> Result<u32, Rejection> {
    let class = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or("");
    names.class_index(class).ok_or(Rejection(StatusCode::NOT_FOUND, "unknown class"))
}

/// Reads the rest of a job's head; `arrived` is when it came, which turns its span into an instant.
pub fn job(head: &Parts, class: u32, names: &Names, arrived: Nanos) -> Result<Job, Rejection> {
    if head.method != Method::POST {
        return Err(Rejection(StatusCode::METHOD_NOT_ALLOWED, "jobs arrive by POST"));
    }
    // Sent on, a header that came twice could be read one way here and another way by the worker.
    let once = [&REQ_ID, &REQ_OWNER, &REQ_KEY, &REQ_DEADLINE, &REQ_EXTRA, &IDEMPOTENCY_KEY];
    if once.into_iter().any(|name| head.headers.get_all(name).iter().nth(1).is_some()) {
        return Err(bad("a header came twice"));
    }
    let id = text(&head.headers, &REQ_ID).ok_or(bad("Req-Id is missing"))?;
    // The id becomes a path's segment in a call to a worker.
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    if id.is_empty() || id.len() > MAX_ID || id.starts_with('.') || !id.bytes().all(plain) {
        return Err(bad("Req-Id is not a plain word"));
    }
    let tenant = match text(&head.headers, &REQ_OWNER) {
        Some(owner) => index_of(&names.tenants, owner).ok_or(bad("Req-Owner is unknown"))?,
        None if names.tenants.is_empty() => 0,
        None => return Err(bad("Req-Owner is missing")),
    };
    let deadline = text(&head.headers, &REQ_DEADLINE).ok_or(bad("Req-Deadline-Ms is missing"))?;
    let deadline: u64 = deadline.parse().map_err(|_| bad("Req-Deadline-Ms is not a whole number"))?;
    if deadline > MAX_DEADLINE_MS {
        return Err(bad("Req-Deadline-Ms is too far away"));
    }
    let extra = text(&head.headers, &REQ_EXTRA).unwrap_or("");
    let figure = |name: &str, default: f64| match pairs(extra).find(|(n, _)| *n == name) {
        None => Ok(default),
        Some((_, v)) => {
            let believed = v.parse::<f64>().ok().filter(|x| (0.0..=MAX_FIGURE).contains(x));
            believed.ok_or(bad("Req-Extra has a figure that no job can have"))
        }
    };
    Ok(Job {
        id: Arc::from(id),
        class,
        tenant,
        slots: figure("slots", 1.0)?,
        memory: figure("memory", 0.0)?,
        affinity_key: head.headers.get(&REQ_KEY).map(|k| xxh3_64(k.as_bytes())),
        due: arrived + deadline * 1_000_000,
        durable_request: None,
    })
}

/// What the ledger needs of a request: what it is known again by, and the request for another process to send.
///
/// # Errors
/// If its key can't be kept.
pub fn durable_request(parcel: &ClientRequest) -> Result<DurableRequest, Rejection> {
    let key = match parcel.headers.get(&IDEMPOTENCY_KEY) {
        None => None,
        Some(value) => {
            let plain = value.to_str().ok().map(str::trim).filter(|k| !k.is_empty() && k.len() <= MAX_KEY);
            Some(Arc::from(plain.ok_or(bad("Idempotency-Key is not 1 to 256 plain characters"))?))
        }
    };
    let content = parcel.headers.get(&CONTENT_TYPE).map_or(&[][..], HeaderValue::as_bytes);
    let mut digest = Xxh3::new();
    for part in [parcel.method.as_str().as_bytes(), parcel.uri.to_string().as_bytes(), content, &parcel.body]
    {
        digest.update(&(part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    Ok(DurableRequest { key, fingerprint: digest.digest128().to_le_bytes(), text: stored(parcel) })
}

/// A request as the ledger keeps it: what a worker will need of it.
#[derive(Deserialize, Serialize)]
struct Stored<'a> {
    method: &'a str,
    uri: String,
    #[serde(borrow)]
    headers: Vec<(&'a str, &'a [u8])>,
    body: &'a [u8],
}

fn stored(parcel: &ClientRequest) -> Bytes {
    let kept = [&REQ_ID, &IDEMPOTENCY_KEY, &CONTENT_TYPE].into_iter();
    let headers = kept.filter_map(|n| Some((n.as_str(), parcel.headers.get(n)?.as_bytes()))).collect();
    let (method, uri) = (parcel.method.as_str(), parcel.uri.to_string());
    let stored = Stored { method, uri, headers, body: &parcel.body };
    postcard::to_stdvec(&stored).unwrap_or_default().into()
}

/// A request that the ledger kept; `None` if it is none.
pub fn restored(text: &Bytes) -> Option<ClientRequest> {
    let stored: Stored<'_> = postcard::from_bytes(text).ok()?;
    let mut headers = HeaderMap::new();
    for (name, value) in &stored.headers {
        headers.insert(HeaderName::try_from(*name).ok()?, HeaderValue::from_bytes(value).ok()?);
    }
    let method = Method::from_bytes(stored.method.as_bytes()).ok()?;
    let uri = Uri::try_from(stored.uri).ok()?;
    Some(ClientRequest { method, uri, headers, body: text.slice_ref(stored.body) })
}

/// Keeps what a worker will need of a request.
pub fn parcel(head: Parts, body: Bytes) -> ClientRequest {
    ClientRequest { method: head.method, uri: head.uri, headers: head.headers, body }
}

/// The request as text, as if it came from the client again, the length of its body told in one way.
pub fn again(parcel: &ClientRequest) -> Vec<u8> {
    let mut text = format!("{} {} HTTP/1.1\r\n", parcel.method, parcel.uri).into_bytes();
    let framing = [CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT, CONNECTION];
    for (name, value) in parcel.headers.iter().filter(|(name, _)| !framing.contains(name)) {
        text.extend([name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"].concat());
    }
    text.extend(format!("content-length: {}\r\n\r\n", parcel.body.len()).into_bytes());
    text.extend_from_slice(&parcel.body);
    text
}

/// A request's final answer.
pub fn answer(answer: Answer) -> Response<Body> {
    match answer {
        Answer::Served(result) => plain(StatusCode::OK, result),
        Answer::Rejected { retry_after } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "no room\n");
            let advice = retry_after.map(|span| format!("{:.3}", span as f64 / 1e9));
            if let Some(value) = advice.and_then(|text| HeaderValue::try_from(text).ok()) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed\n"),
        Answer::Unprocessable => {
            plain(StatusCode::UNPROCESSABLE_ENTITY, "the worker can't use this request\n")
        }
        Answer::DuplicateId => plain(StatusCode::CONFLICT, "a request with this id is open\n"),
        Answer::KeyMismatch => {
            plain(StatusCode::UNPROCESSABLE_ENTITY, "this Idempotency-Key was used for another request\n")
        }
    }
}

/// A response of that status and text.
pub fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Turns a request down. What is left of it would be read as the next one, so the connection ends.
pub fn rejection(Rejection(status, why): Rejection) -> Response<Body> {
    closing(plain(status, format!("{why}\n")))
}

/// Tells the other side that the connection ends after this.
pub fn closing(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

// ---------------------------------------------------------------- operators

/// What operators ask for.
#[derive(Clone, Debug)]
pub enum OperatorCall {
    Readiness,
    Stats,
    Drain(bool),
    /// What is known of the other schedulers.
    Members,
    /// Who holds which duty.
    Duties,
    /// Another scheduler is to hold this duty.
    ReleaseDuty(String),
    /// How the inventories stand, and where they differ from the live list.
    Inventories,
    /// What is known of a host, and by whose word.
    Host(String),
    /// The version of that inventory, with that digest, is to be used all the same.
    Accept(String, String),
}

/// What they are told.
#[derive(Debug)]
pub enum OperatorReply {
    Yes,
    No(&'static str),
    Figures(Box<EngineStats>),
    /// JSON, already written.
    Json(Vec<u8>),
    /// It can't be done.
    Refused(String),
    /// There is no such thing here.
    Missing(&'static str),
}

/// Reads an operator's call.
pub fn operator_call(method: &Method, path: &str) -> Result<OperatorCall, Rejection> {
    let (wanted, call) = match path {
        "/ops/readiness" => (Method::GET, OperatorCall::Readiness),
        "/ops/stats" => (Method::GET, OperatorCall::Stats),
        "/ops/drain/start" => (Method::POST, OperatorCall::Drain(true)),
        "/ops/drain/stop" => (Method::POST, OperatorCall::Drain(false)),
        "/ops/inventory" => (Method::GET, OperatorCall::Inventories),
        "/ops/members" => (Method::GET, OperatorCall::Members),
        "/ops/duties" => (Method::GET, OperatorCall::Duties),
        _ => {
            let parts: Vec<&str> = path.split('/').skip(1).collect();
            match parts[..] {
                ["ops", "duties", name, "release"] => {
                    (Method::POST, OperatorCall::ReleaseDuty(name.to_owned()))
                }
                ["ops", "inventory", "hosts", host] => (Method::GET, OperatorCall::Host(host.to_owned())),
                ["ops", "inventory", name, "accept", digest] => {
                    (Method::POST, OperatorCall::Accept(name.to_owned(), digest.to_owned()))
                }
                _ => return Err(Rejection(StatusCode::NOT_FOUND, "no such call")),
            }
        }
    };
    let other = Rejection(StatusCode::METHOD_NOT_ALLOWED, "this call has another method");
    (*method == wanted).then_some(call).ok_or(other)
}

/// The answer to an operator's call.
pub fn operator_reply(reply: OperatorReply) -> Response<Body> {
    match reply {
        OperatorReply::Yes => plain(StatusCode::OK, "yes\n"),
        OperatorReply::No(why) => plain(StatusCode::SERVICE_UNAVAILABLE, why),
        OperatorReply::Figures(figures) => match serde_json::to_vec(&figures) {
            Ok(text) => json(text),
            Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, "the figures can't be written\n"),
        },
        OperatorReply::Json(text) => json(text),
        OperatorReply::Missing(why) => plain(StatusCode::NOT_FOUND, format!("{why}\n")),
        OperatorReply::Refused(why) => plain(StatusCode::CONFLICT, format!("{why}\n")),
    }
}

fn json(text: Vec<u8>) -> Response<Body> {
    let mut response = plain(StatusCode::OK, text);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

// ---------------------------------------------------------------- workers

/// A worker's notice of a job.
#[derive(Debug, Deserialize)]
pub struct NoticeBody {
    pub id: String,
    pub from: String,
    state: State,
    #[serde(default)]
    share: f64,
    #[serde(default)]
    result: String,
    /// The lease's, from a worker that goes by it.
    pub token: Option<u64>,
    pub load: Option<ReportedFigures>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Started,
    Running,
    Done,
    Failed,
    Returned,
    Lost,
}

impl NoticeBody {
    /// Reads the body of a notice.
    pub fn read(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }

    /// What it says.
    pub fn news(&mut self) -> JobUpdate {
        match self.state {
            State::Started => JobUpdate::Started,
            State::Running => JobUpdate::Running(self.share),
            State::Done => JobUpdate::Done(std::mem::take(&mut self.result)),
            State::Failed => JobUpdate::Failed,
            State::Returned => JobUpdate::Returned,
            State::Lost => JobUpdate::Lost,
        }
    }
}

/// The answer to a worker's notice.
pub fn heard(reply: NoticeReply) -> Response<Body> {
    match reply {
        NoticeReply::Acknowledged { lease } => {
            let mut response = plain(StatusCode::OK, "");
            if let Some(span) = lease {
                response.headers_mut().insert(&LEASE_MS, HeaderValue::from(span / 1_000_000));
            }
            response
        }
        NoticeReply::Fenced => plain(StatusCode::GONE, "this lease is over\n"),
    }
}

/// What a worker answered: all that matters of it.
#[derive(Debug)]
pub struct WorkerResponse {
    pub status: StatusCode,
    /// The worker says that it goes by the lease.
    pub aware: bool,
    /// The worker says that it has not begun.
    pub declined: bool,
    pub report: Option<LoadReport>,
    pub body: Bytes,
}

/// Reads a worker's answer.
pub fn reply(
    status: StatusCode,
    headers: &HeaderMap,
    body: Bytes,
    report_mapping: ReportMapping,
) -> WorkerResponse {
    let declined = headers.get(&DECLINED).is_some_and(|v| v == "1");
    let load = text(headers, &LOAD).and_then(load);
    let aware = headers.contains_key(&LEASE_TOKEN);
    WorkerResponse { status, aware, declined, report: load.map(|f| report_mapping.to_load_report(f)), body }
}

/// Reads a load report: `TEXT name=value, ...`, or the same as a JSON object.
pub fn load(text: &str) -> Option<ReportedFigures> {
    let text = text.trim();
    if text.starts_with('{') {
        return serde_json::from_str(text).ok();
    }
    let text = text.strip_prefix("TEXT").unwrap_or(text);
    let numbers =
        pairs(text).filter_map(|(name, value)| Some((name.to_owned(), value.parse::<f64>().ok()?.into())));
    ReportedFigures::deserialize(serde_json::Value::Object(numbers.collect())).ok()
}

/// The request that hands a job to a worker; `left_ms` is how long the scheduler will wait. The lease's length counts from
/// when the worker has this.
pub fn handover(parcel: &ClientRequest, left_ms: u64, lease: Option<LeaseGrant>) -> Request<Body> {
    let mut request = Request::new(Full::new(parcel.body.clone()));
    *request.method_mut() = parcel.method.clone();
    *request.uri_mut() = parcel.uri.clone();
    let headers = request.headers_mut();
    headers.insert(HOST, HeaderValue::from_static("backend.local"));
    for name in [&REQ_ID, &REQ_DEADLINE, &IDEMPOTENCY_KEY, &CONTENT_TYPE] {
        if let Some(value) = parcel.headers.get(name) {
            headers.insert(name, value.clone());
        }
    }
    headers.insert(&REQ_DEADLINE, HeaderValue::from(left_ms));
    if let Some(LeaseGrant { token, length }) = lease {
        headers.insert(&LEASE_TOKEN, HeaderValue::from(token));
        headers.insert(&LEASE_MS, HeaderValue::from(length / 1_000_000));
    }
    request
}

/// The call that abandons an attempt.
pub fn abandon(id: &str) -> Option<Request<Body>> {
    bare(Method::DELETE, &format!("/jobs/{id}"))
}

/// A probe.
pub fn probe() -> Option<Request<Body>> {
    bare(Method::GET, "/load")
}

// ---------------------------------------------------------------- discovery

/// The list of workers, or the changes in it.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct List {
    pub seq: u64,
    pub whole: bool,
    hosts: Vec<Row>,
}

#[derive(Debug, Deserialize)]
struct Row {
    host: String,
    dial: String,
    site: Option<String>,
    class: Option<String>,
    block: Option<u32>,
    health: Health,
    share: Option<f64>,
    #[serde(default)]
    born_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Health {
    Active,
    Leaving,
    Left,
}

impl List {
    /// Reads discovery's answer.
    pub fn read(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }

    /// Its entries; one without a usable address can't be reached and is left out.
    pub fn hosts(self, names: &Names) -> Vec<WorkerEndpoint> {
        // What is named but not known to the settings is told apart from what isn't said.
        let number = |names: &[String], name: Option<String>| {
            let name = name.filter(|n| !n.is_empty())?;
            Some(index_of(names, &name).unwrap_or(u32::MAX))
        };
        let host = |row: Row| {
            let Ok(addr) = row.dial.parse() else {
                tracing::warn!(worker = %row.host, dial = row.dial, "worker without a usable address");
                return None;
            };
            Some(WorkerEndpoint {
                addr,
                state: match row.health {
                    Health::Active => WorkerState::Ready,
                    Health::Leaving => WorkerState::Draining,
                    Health::Left => WorkerState::Removed,
                },
                // The scheduler's clock is anchored to the wall clock at its start: see `crate::Clock`.
                started: Some(row.born_ms * 1_000_000).filter(|t| *t > 0),
                kind: number(&names.kinds, row.class),
                zone: number(&names.zones, row.site),
                cell: row.block,
                weight: row.share,
                name: Arc::from(row.host),
            })
        };
        self.hosts.into_iter().filter_map(host).collect()
    }

    /// Its entries that are there, with what it says of them, to compare with what files say.
    pub fn live_hosts(self) -> Vec<LiveHost> {
        let here = self.hosts.into_iter().filter(|row| !matches!(row.health, Health::Left));
        let word = |word: Option<String>| word.filter(|w| !w.is_empty()).map(Arc::from);
        let live = |row: Row| LiveHost {
            normal: normal(&row.host).map_or_else(|_| Arc::from(&*row.host), |n| Arc::from(&*n)),
            name: Arc::from(row.host),
            zone: word(row.site),
            pod: row.block.map(|b| Arc::from(b.to_string())),
            kind: word(row.class),
            weight: row.share,
            since_ms: row.born_ms,
            gone_ms: None,
        };
        here.map(live).collect()
    }
}

/// The call for the whole list.
pub fn whole_list() -> Option<Request<Body>> {
    bare(Method::GET, "/v1/servers")
}

/// The call that waits up to `wait_ms` for changes after version `seq`.
pub fn watch(seq: u64, wait_ms: u64) -> Option<Request<Body>> {
    bare(Method::GET, &format!("/v1/servers?index={seq}&wait={wait_ms}"))
}

// ---------------------------------------------------------------- parts

fn bare(method: Method, path: &str) -> Option<Request<Body>> {
    Request::builder().method(method).uri(path).header(HOST, "backend.local").body(Full::default()).ok()
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

fn pairs(text: &str) -> impl Iterator<Item = (&str, &str)> {
    text.split(',').filter_map(|pair| pair.split_once('=')).map(|(name, value)| (name.trim(), value.trim()))
}
