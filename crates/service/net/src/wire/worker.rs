//! Requests to workers, and their answers.
use super::headers::{
    BACKEND_HOST, DECLINED, IDEMPOTENCY_KEY, LEASE_MS, LEASE_TOKEN, LOAD, REQ_DEADLINE, REQ_ID, bare_request,
    pairs, text,
};
use super::{Body, ClientRequest, NANOS_PER_MS};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode};
use serde::Deserialize;
use spanlead_balancing_policy::LoadReport;
use spanlead_deployment_settings::{ReportMapping, ReportedFigures};
use spanlead_engine::LeaseGrant;

/// What a worker answered: all that matters of it.
#[derive(Debug)]
pub struct WorkerResponse {
    /// The answer's status.
    pub status: StatusCode,
    /// The worker has understood the lease.
    pub lease_aware: bool,
    /// The worker says that it has not begun the job.
    pub declined: bool,
    /// The worker's load.
    pub report: Option<LoadReport>,
    /// The answer's body.
    pub body: Bytes,
}

/// Decodes a worker's answer.
pub fn decode_worker_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: Bytes,
    report_mapping: ReportMapping,
) -> WorkerResponse {
    let declined = headers.get(&DECLINED).is_some_and(|value| value == "1");
    let load = text(headers, &LOAD).and_then(decode_load);
    let lease_aware = headers.contains_key(&LEASE_TOKEN);
    WorkerResponse {
        status,
        lease_aware,
        declined,
        report: load.map(|load| report_mapping.to_load_report(load)),
        body,
    }
}

/// Decodes a load report: `TEXT name=value, ...`, or the same as a JSON object.
pub fn decode_load(report: &str) -> Option<ReportedFigures> {
    let report = report.trim();
    if report.starts_with('{') {
        return serde_json::from_str(report).ok();
    }
    let list = report.strip_prefix("TEXT").unwrap_or(report);
    let numbers =
        pairs(list).filter_map(|(name, value)| Some((name.to_owned(), value.parse::<f64>().ok()?.into())));
    ReportedFigures::deserialize(serde_json::Value::Object(numbers.collect())).ok()
}

/// The request that dispatches a job to a worker; `left_ms` is how long this scheduler will wait.
/// The lease's length counts from when the worker has the request.
pub fn dispatch_request(request: &ClientRequest, left_ms: u64, lease: Option<LeaseGrant>) -> Request<Body> {
    let mut dispatch = Request::new(Full::new(request.body.clone()));
    *dispatch.method_mut() = request.method.clone();
    *dispatch.uri_mut() = request.uri.clone();
    let headers = dispatch.headers_mut();
    headers.insert(HOST, HeaderValue::from_static(BACKEND_HOST));
    for name in [&REQ_ID, &REQ_DEADLINE, &IDEMPOTENCY_KEY, &CONTENT_TYPE] {
        if let Some(value) = request.headers.get(name) {
            headers.insert(name, value.clone());
        }
    }
    headers.insert(&REQ_DEADLINE, HeaderValue::from(left_ms));
    if let Some(LeaseGrant { token, duration }) = lease {
        headers.insert(&LEASE_TOKEN, HeaderValue::from(token));
        headers.insert(&LEASE_MS, HeaderValue::from(duration / NANOS_PER_MS));
    }
    dispatch
}

/// The request that cancels a job at a worker.
pub fn cancel_request(job_id: &str) -> Option<Request<Body>> {
    bare_request(Method::DELETE, &format!("/jobs/{job_id}"))
}

/// A health check.
pub fn health_check_request() -> Option<Request<Body>> {
    bare_request(Method::GET, "/load")
}
