//! The messages on the sockets: each is decoded once into a typed value, and encoded once. Nothing
//! is read or written here.
//!
//! - `request_error`: requests that cannot be taken, with status and reason;
//! - `client_request`: a client's request and its answer;
//! - `stored_request`: a client's request as the log of durable jobs keeps it;
//! - `notice`: a worker's notice and its acknowledgement;
//! - `worker`: dispatch, cancellation, health checks, and the answers to them;
//! - `endpoint_list`: the endpoint list of discovery;
//! - `operator_call`: the operators' calls and their answers.
mod client_request;
mod endpoint_list;
mod headers;
mod notice;
mod operator_call;
mod request_error;
mod response;
mod stored_request;
mod worker;

pub use client_request::{ClientRequest, answer_response, decode_class, decode_job};
pub use endpoint_list::{EndpointList, full_list_request, watch_request};
pub use notice::{NoticeBody, notice_response};
pub use operator_call::{AcceptedVersion, OperatorCall, OperatorReply, operator_response};
pub use request_error::RequestError;
pub use response::{closing, error_response, plain};
pub use stored_request::{durable_request, restore_request};
pub use worker::{
    WorkerResponse, cancel_request, decode_load, decode_worker_response, dispatch_request,
    health_check_request,
};

use bytes::Bytes;
use http_body_util::Full;

/// The longest body, bytes.
pub const MAX_BODY: usize = 64 * 1024;
/// The path of workers' notices.
pub const NOTICE_PATH: &str = "/callback";
/// The path that tells whether requests are accepted.
pub const HEALTH_PATH: &str = "/healthz";

/// The body of every message that is sent.
pub type Body = Full<Bytes>;

/// Nanoseconds of a millisecond, the unit of times on the wire.
const NANOS_PER_MS: u64 = 1_000_000;
