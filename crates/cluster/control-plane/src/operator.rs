//! The operators' interface over HTTP.
use crate::node::clients::job_id;
use crate::{Input, Inputs, Question, Reply};
use async_std::channel::{Sender, bounded};
use async_std::future::timeout;
use spanlead_cluster_runtime::http::framing::Bounds;
use spanlead_cluster_runtime::http::server::{self, Limits};
use std::sync::Arc;
use std::time::Duration;
use tide::{Request, Response, StatusCode};

/// The version that a configuration builds on.
const BASE_VERSION: &str = "Spanlead-Base-Version";
/// How long an answer may take; after that the operator's own bound has passed.
const ANSWER: Duration = Duration::from_millis(5_000);
/// The largest configuration, bytes.
const MAX_BODY: usize = 4 << 20;
/// The largest head, bytes.
const MAX_HEAD: usize = 16 * 1024;
/// How long a request may take to come.
const REQUEST: Duration = Duration::from_secs(10);
/// How long a connection may be idle.
const IDLE: Duration = Duration::from_secs(30);
/// Connections of operators at a time.
const CONNECTIONS: usize = 128;

/// Serves operators at that address.
pub async fn serve(address: String, inputs: Inputs) {
    let mut app = tide::with_state(inputs);
    app.at("/config/replace").post(replace);
    app.at("/config/get").get(get);
    app.at("/status/members").get(|request| status(request, Question::Members));
    app.at("/status/workers").get(|request| status(request, Question::Workers));
    app.at("/status/jobs").get(|request| status(request, Question::Jobs));
    app.at("/status/jobs/:id").get(job);
    let bounds = Bounds { head: MAX_HEAD, body: MAX_BODY };
    let limits = move || Limits { bounds, request: REQUEST, idle: IDLE };
    server::serve(address, app, Arc::new(limits), CONNECTIONS).await;
}

async fn replace(mut request: Request<Inputs>) -> tide::Result {
    let base = match request.header(BASE_VERSION).map(|value| value.as_str().trim().parse::<u64>()) {
        None => 0,
        Some(Ok(base)) => base,
        Some(Err(_)) => return Ok(plain(400, "Spanlead-Base-Version: no number")),
    };
    let Ok(text) = String::from_utf8(request.body_bytes().await?) else { return Ok(plain(400, "no text")) };
    ask(request.state(), |answers| Input::Replace(base, text, answers)).await
}

async fn get(request: Request<Inputs>) -> tide::Result {
    ask(request.state(), Input::Read).await
}

async fn status(request: Request<Inputs>, question: Question) -> tide::Result {
    ask(request.state(), |answers| Input::Status(question, answers)).await
}

async fn job(request: Request<Inputs>) -> tide::Result {
    match request.param("id").ok().and_then(job_id) {
        Some(id) => status(request, Question::Job(id)).await,
        None => Ok(plain(400, "not 16 hex digits")),
    }
}

async fn ask(inputs: &Inputs, input: impl FnOnce(Sender<Reply>) -> Input) -> tide::Result {
    let (answers, answer) = bounded(1);
    inputs.put(input(answers));
    match timeout(ANSWER, answer.recv()).await {
        Ok(Ok(reply)) => Ok(response(reply)),
        // Whether it was taken is not known.
        _ => Ok(plain(504, "no answer in time")),
    }
}

/// The figures of a control plane, as text.
pub async fn figures(inputs: Inputs) -> String {
    let (answers, answer) = bounded(1);
    inputs.put(Input::Status(Question::Figures, answers));
    match timeout(ANSWER, answer.recv()).await {
        Ok(Ok(reply)) => reply.body,
        _ => String::new(),
    }
}

fn response(reply: Reply) -> Response {
    let mut response = plain(reply.status, &reply.body);
    if reply.status == 200 {
        response.set_content_type(tide::http::mime::JSON);
    }
    if let Some(location) = reply.location {
        response.insert_header("Location", location);
    }
    response
}

fn plain(status: u16, body: &str) -> Response {
    let mut response = Response::new(StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError));
    response.set_body(body);
    response
}
