//! A client's request: decoded into a [`Job`], kept for the workers, and answered.
use super::headers::{IDEMPOTENCY_KEY, REQ_DEADLINE, REQ_EXTRA, REQ_ID, REQ_KEY, REQ_OWNER, pairs, text};
use super::response::plain;
use super::{Body, NANOS_PER_MS, RequestError};
use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Response, StatusCode, Uri};
use spanlead_balancing_policy::Nanos;
use spanlead_deployment_settings::{Names, index_of};
use spanlead_engine::{Answer, JobRequest};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// The longest deadline that is accepted, milliseconds: a longer one could only be a mistake.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;
/// The most slots or memory units of a job that are accepted: more than any machine has.
const MAX_RESOURCE_UNITS: f64 = 4096.0;
/// The longest id, bytes; it becomes part of a path.
const MAX_ID_BYTES: usize = 128;
/// Slots of a job that does not state them.
const DEFAULT_SLOTS: f64 = 1.0;

/// A client's request: what is forwarded to a worker unchanged, and all that another process must
/// read.
#[derive(Debug)]
pub struct ClientRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl ClientRequest {
    /// Keeps what a worker will need of a request.
    pub fn new(head: Parts, body: Bytes) -> Self {
        ClientRequest { method: head.method, uri: head.uri, headers: head.headers, body }
    }

    /// The request as HTTP, as if it came from the client again. The length of its body is given in
    /// one way.
    pub fn to_http(&self) -> Vec<u8> {
        let mut http = format!("{} {} HTTP/1.1\r\n", self.method, self.uri).into_bytes();
        let framing = [CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT, CONNECTION];
        for (name, value) in self.headers.iter().filter(|(name, _)| !framing.contains(name)) {
            http.extend([name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"].concat());
        }
        http.extend(format!("content-length: {}\r\n\r\n", self.body.len()).into_bytes());
        http.extend_from_slice(&self.body);
        http
    }
}

/// Decodes the class of a job.
///
/// # Errors
/// [`RequestError::UnknownClass`].
pub fn decode_class(head: &Parts, names: &Names) -> Result<u32, RequestError> {
    let class = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or("");
    names.class_index(class).ok_or(RequestError::UnknownClass)
}

/// Decodes the rest of a job's head; `arrived` is when it came, from which its deadline counts.
///
/// # Errors
/// The first thing that is wrong with it.
pub fn decode_job(
    head: &Parts,
    class: u32,
    names: &Names,
    arrived: Nanos,
) -> Result<JobRequest, RequestError> {
    if head.method != Method::POST {
        return Err(RequestError::JobMethod);
    }
    // Forwarded, a header that came twice could be read one way here and another way by the worker.
    let once = [&REQ_ID, &REQ_OWNER, &REQ_KEY, &REQ_DEADLINE, &REQ_EXTRA, &IDEMPOTENCY_KEY];
    if once.into_iter().any(|name| head.headers.get_all(name).iter().nth(1).is_some()) {
        return Err(RequestError::RepeatedHeader);
    }
    let id = decode_id(&head.headers)?;
    let tenant = decode_tenant(&head.headers, names)?;
    let deadline_ms = decode_deadline_ms(&head.headers)?;
    let extra = text(&head.headers, &REQ_EXTRA).unwrap_or("");
    Ok(JobRequest {
        id: Arc::from(id),
        class,
        tenant,
        slots: decode_resource(extra, "slots", DEFAULT_SLOTS)?,
        memory: decode_resource(extra, "memory", 0.0)?,
        affinity_key: head.headers.get(&REQ_KEY).map(|key| xxh3_64(key.as_bytes())),
        deadline: arrived + deadline_ms * NANOS_PER_MS,
        durable_request: None,
    })
}

fn decode_id(headers: &HeaderMap) -> Result<&str, RequestError> {
    let id = text(headers, &REQ_ID).ok_or(RequestError::MissingId)?;
    // The id becomes a path's segment in a call to a worker.
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if id.is_empty() || id.len() > MAX_ID_BYTES || id.starts_with('.') || !id.bytes().all(is_plain) {
        return Err(RequestError::InvalidId);
    }
    Ok(id)
}

fn decode_tenant(headers: &HeaderMap, names: &Names) -> Result<u32, RequestError> {
    match text(headers, &REQ_OWNER) {
        Some(tenant) => index_of(&names.tenants, tenant).ok_or(RequestError::UnknownTenant),
        None if names.tenants.is_empty() => Ok(0),
        None => Err(RequestError::MissingTenant),
    }
}

fn decode_deadline_ms(headers: &HeaderMap) -> Result<u64, RequestError> {
    let deadline = text(headers, &REQ_DEADLINE).ok_or(RequestError::MissingDeadline)?;
    let deadline_ms: u64 = deadline.parse().map_err(|_| RequestError::InvalidDeadline)?;
    if deadline_ms > MAX_DEADLINE_MS {
        return Err(RequestError::DeadlineTooFar);
    }
    Ok(deadline_ms)
}

fn decode_resource(extra: &str, name: &str, default: f64) -> Result<f64, RequestError> {
    let Some((_, value)) = pairs(extra).find(|(found, _)| *found == name) else { return Ok(default) };
    let accepted = value.parse::<f64>().ok().filter(|units| (0.0..=MAX_RESOURCE_UNITS).contains(units));
    accepted.ok_or(RequestError::InvalidResources)
}

/// A request's final answer.
pub fn answer_response(answer: Answer) -> Response<Body> {
    match answer {
        Answer::Succeeded(result) => plain(StatusCode::OK, result),
        Answer::Rejected { retry_after } => rejected_response(retry_after),
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

fn rejected_response(retry_after: Option<Nanos>) -> Response<Body> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "no room\n");
    let advice = retry_after.map(|span| format!("{:.3}", span as f64 / 1e9));
    if let Some(value) = advice.and_then(|text| HeaderValue::try_from(text).ok()) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
