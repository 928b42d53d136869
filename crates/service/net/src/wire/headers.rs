//! The names of headers, and how their values are read.
use super::Body;
use http_body_util::Full;
use hyper::header::{HOST, HeaderName};
use hyper::{HeaderMap, Method, Request};

/// The client's id of its request.
pub(super) static REQ_ID: HeaderName = HeaderName::from_static("req-id");
/// The tenant.
pub(super) static REQ_OWNER: HeaderName = HeaderName::from_static("req-owner");
/// The affinity key.
pub(super) static REQ_KEY: HeaderName = HeaderName::from_static("req-key");
/// Milliseconds until the client gives up.
pub(super) static REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline-ms");
/// Slots and memory, as `name=value` pairs.
pub(super) static REQ_EXTRA: HeaderName = HeaderName::from_static("req-extra");
/// The idempotency key.
pub(super) static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// `1` from a worker that has not begun the job.
pub(super) static DECLINED: HeaderName = HeaderName::from_static("srv-declined");
/// The fencing token of a lease.
pub(super) static LEASE_TOKEN: HeaderName = HeaderName::from_static("lease-token");
/// The length of a lease, milliseconds.
pub(super) static LEASE_MS: HeaderName = HeaderName::from_static("lease-ms");
/// A worker's load.
pub(super) static LOAD: HeaderName = HeaderName::from_static("srv-load");

/// The host that requests to workers and discovery name; none of them looks at it.
pub(super) const BACKEND_HOST: &str = "backend.local";

/// A header's value as text, without blanks around it.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// The `name=value` pairs of a list that is separated by commas.
pub(super) fn pairs(text: &str) -> impl Iterator<Item = (&str, &str)> {
    text.split(',').filter_map(|pair| pair.split_once('=')).map(|(name, value)| (name.trim(), value.trim()))
}

/// A request without a body.
pub(super) fn bare_request(method: Method, path: &str) -> Option<Request<Body>> {
    Request::builder().method(method).uri(path).header(HOST, BACKEND_HOST).body(Full::default()).ok()
}
