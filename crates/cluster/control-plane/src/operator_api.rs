//! The operators' HTTP interface, see `docs/cluster.md`.
use crate::input::{Input, OperatorReply, ReplaceRequest, StatusQuery};
use crate::input_queue::InputSender;
use crate::job_text::parse_job_id;
use async_std::channel::{Sender, bounded};
use spanlead_cluster_runtime::http::framing::MessageLimits;
use spanlead_cluster_runtime::http::server::{self, ConnectionLimits};
use spanlead_cluster_runtime::timeout::timeout;
use std::sync::Arc;
use std::time::Duration;
use tide::{Request, Response, StatusCode};

/// The header with the version that the new configuration replaces.
const BASE_VERSION_HEADER: &str = "Spanlead-Base-Version";
/// The time-out for the node's reply. A later reply is useless: the operator's client has timed out
/// by then.
const REPLY_TIMEOUT: Duration = Duration::from_millis(5_000);
/// The maximum size of a request body, and so of a configuration, bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The maximum size of a request head, bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The time within which the head of a request must be received, and each part of its body after
/// the previous one.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// The time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum number of open connections from operators.
const MAX_CONNECTIONS: usize = 128;

/// Serves the operators' interface at an address. Never returns.
pub async fn serve(address: String, inputs: InputSender) {
    let mut app = tide::with_state(inputs);
    app.at("/config/replace").post(replace_configuration);
    app.at("/config/get").get(read_configuration);
    app.at("/status/members").get(|request| query_status(request, StatusQuery::Members));
    app.at("/status/workers").get(|request| query_status(request, StatusQuery::Workers));
    app.at("/status/jobs").get(|request| query_status(request, StatusQuery::Jobs));
    app.at("/status/jobs/:id").get(query_job);
    let message = MessageLimits { max_head_bytes: MAX_HEAD_BYTES, max_body_bytes: MAX_BODY_BYTES };
    let limits =
        move || ConnectionLimits { message, request_timeout: REQUEST_TIMEOUT, idle_timeout: IDLE_TIMEOUT };
    server::serve(address, app, Arc::new(limits), MAX_CONNECTIONS).await;
}

/// Returns the metrics of the control plane; empty if the node does not reply in time.
pub async fn metrics(inputs: InputSender) -> String {
    let (replies, reply) = bounded(1);
    inputs.send(Input::QueryStatus(StatusQuery::Metrics, replies));
    match timeout(REPLY_TIMEOUT, reply.recv()).await {
        Ok(Ok(reply)) => reply.body,
        _ => String::new(),
    }
}

async fn replace_configuration(mut request: Request<InputSender>) -> tide::Result {
    let header = request.header(BASE_VERSION_HEADER);
    let base_version = match header.map(|value| value.as_str().trim().parse::<u64>()) {
        None => 0,
        Some(Ok(version)) => version,
        Some(Err(_)) => return Ok(plain_response(400, "Spanlead-Base-Version: no number")),
    };
    let Ok(text) = String::from_utf8(request.body_bytes().await?) else {
        return Ok(plain_response(400, "no text"));
    };
    let replace = ReplaceRequest { base_version, text };
    request_reply(request.state(), |replies| Input::ReplaceConfiguration(replace, replies)).await
}

async fn read_configuration(request: Request<InputSender>) -> tide::Result {
    request_reply(request.state(), Input::ReadConfiguration).await
}

async fn query_status(request: Request<InputSender>, query: StatusQuery) -> tide::Result {
    request_reply(request.state(), |replies| Input::QueryStatus(query, replies)).await
}

async fn query_job(request: Request<InputSender>) -> tide::Result {
    match request.param("id").ok().and_then(parse_job_id) {
        Some(id) => query_status(request, StatusQuery::Job(id)).await,
        None => Ok(plain_response(400, "not 16 hex digits")),
    }
}

/// Sends the node an input with a channel for the reply, and waits for the reply.
async fn request_reply(
    inputs: &InputSender,
    make_input: impl FnOnce(Sender<OperatorReply>) -> Input,
) -> tide::Result {
    let (replies, reply) = bounded(1);
    inputs.send(make_input(replies));
    match timeout(REPLY_TIMEOUT, reply.recv()).await {
        Ok(Ok(reply)) => Ok(response(reply)),
        // It is not known whether the node carried the request out.
        _ => Ok(plain_response(504, "no answer in time")),
    }
}

fn response(reply: OperatorReply) -> Response {
    let mut response = plain_response(reply.status, &reply.body);
    if reply.status == 200 {
        response.set_content_type(tide::http::mime::JSON);
    }
    if let Some(location) = reply.location {
        response.insert_header("Location", location);
    }
    response
}

fn plain_response(status: u16, body: &str) -> Response {
    let mut response = Response::new(StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError));
    response.set_body(body);
    response
}
