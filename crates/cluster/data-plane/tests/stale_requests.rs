//! Requests that waited for long, in a socket or in this process, reach no primary: their jobs may
//! have been cancelled meanwhile, and the cancellation may be forgotten.
mod common;

use async_std::task;
use common::{Endpoints, Primary, ScriptedResponse};
use rustix::process::{Pid, Signal, kill_process};
use spanlead_cluster_runtime::clock::Clock;
use spanlead_cluster_runtime::freshness::{EarliestSendTime, FreshnessToken, MAX_REQUEST_AGE_MS};
use spanlead_data_plane::client_api::{self, ClientApi};
use spanlead_data_plane::control_plane_client::ControlPlaneClient;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tide::http::{Method, Request, Response, Url};

const PROGRAM_PATH: &str = env!("CARGO_BIN_EXE_spanlead-data-plane");
const TOKEN: FreshnessToken = FreshnessToken { issuer: 7, issued_at_ms: 1_000_000 };
const BODY: &str = r#"{"spec":"x","stages":[{"count":1,"cpu":1}]}"#;
const START_TIMEOUT: Duration = Duration::from_secs(10);

fn accept(_: usize) -> ScriptedResponse {
    ScriptedResponse::Status(200)
}

/// A submission that a client can have sent at this time at the earliest.
fn submission(sent_after: Instant) -> Request {
    let url = Url::parse("http://h/p/00000000000000aa").expect("a valid URL");
    let mut request = Request::new(Method::Post, url);
    request.set_body(BODY);
    request.ext_mut().insert(EarliestSendTime(sent_after));
    request
}

fn start_api(endpoints: &Endpoints) -> ClientApi {
    let clock = Clock::start();
    let control_plane = ControlPlaneClient::start(&endpoints.settings(), clock);
    ClientApi::new(control_plane, Arc::default(), clock)
}

/// Sends submissions until one reaches the primary.
async fn submit_until_received(api: &ClientApi, primary: &Primary) -> Response {
    let app = client_api::app(api.clone());
    loop {
        let response: Response = app.respond(submission(Instant::now())).await.expect("a response");
        if primary.request_count() > 0 {
            return response;
        }
        task::sleep(Duration::from_millis(20)).await;
    }
}

#[async_std::test]
async fn request_that_may_have_waited_for_too_long_is_refused_and_not_forwarded() {
    let endpoints = Endpoints::new(20);
    let primary = Primary::with_token(TOKEN);
    primary.serve(endpoints.primary_address(), accept);
    let api = start_api(&endpoints);
    assert_eq!(u16::from(submit_until_received(&api, &primary).await.status()), 200);

    let sent_after = Instant::now()
        .checked_sub(Duration::from_millis(MAX_REQUEST_AGE_MS))
        .expect("the machine has run for longer");
    let app = client_api::app(api.clone());
    let response: Response = app.respond(submission(sent_after)).await.expect("a response");

    assert_eq!(u16::from(response.status()), 503);
    assert!(response.header("Retry-After").is_some(), "the client may send it again");
    assert_eq!(primary.request_count(), 1, "it was forwarded");
    let recent = sent_after + Duration::from_secs(2);
    let response: Response = app.respond(submission(recent)).await.expect("a response");
    assert_eq!(u16::from(response.status()), 200, "a request that is certainly younger");
}

/// A request that waits for a primary is not forwarded once it is too old, whatever its deadline.
#[async_std::test]
async fn deadline_of_a_request_is_limited_by_its_age() {
    let endpoints = Endpoints::new(21);
    let primary = Primary::with_token(TOKEN);
    primary.serve(endpoints.primary_address(), |_| ScriptedResponse::NotTaken);
    let api = start_api(&endpoints);
    submit_until_received(&api, &primary).await;

    let remaining = Duration::from_millis(200);
    let sent_after = Instant::now()
        .checked_sub(Duration::from_millis(MAX_REQUEST_AGE_MS) - remaining)
        .expect("the machine has run for longer");
    let mut request = submission(sent_after);
    request.insert_header("Spanlead-Request-Deadline", "60000");
    let started_at = Instant::now();
    let response: Response = client_api::app(api).respond(request).await.expect("a response");

    assert_eq!(u16::from(response.status()), 503);
    assert!(started_at.elapsed() < Duration::from_secs(3), "tried for {:?}", started_at.elapsed());
}

/// A primary that issues tokens gets one with each request; one of the version before, which could
/// not read it, gets none.
#[async_std::test]
async fn token_is_sent_to_a_primary_that_issues_tokens_and_to_no_other() {
    for (octet, token) in [(22, Some(TOKEN)), (23, None)] {
        let endpoints = Endpoints::new(octet);
        let primary = token.map_or_else(Primary::default, Primary::with_token);
        primary.serve(endpoints.primary_address(), accept);
        let api = start_api(&endpoints);
        submit_until_received(&api, &primary).await;
        for received in primary.received() {
            assert_eq!(received.token, token);
        }
    }
}

/// A data plane as a process of its own, which is killed when this is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    fn start(endpoints: &Endpoints, folder: &tempfile::TempDir) -> Self {
        let settings = folder.path().join("settings.json");
        std::fs::write(&settings, endpoints.settings_text()).expect("the settings are written");
        let child = Command::new(PROGRAM_PATH)
            .env("SPANLEAD_CONFIG", settings)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        Process(child)
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.0), signal).expect("the process lives");
    }
}

/// Sends a submission of this job, and returns the connection.
fn send_submission(address: &str, job: u64) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(START_TIMEOUT))?;
    write_submission(&mut stream, job)?;
    Ok(stream)
}

fn write_submission(stream: &mut TcpStream, job: u64) -> std::io::Result<()> {
    let length = BODY.len();
    let head = format!("POST /p/{job:016x} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all((head + BODY).as_bytes())
}

/// The response's status; `None` if the connection was closed without one.
fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut buffer = [0; 1_024];
    let count = stream.read(&mut buffer).ok()?;
    let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
    text.split(' ').nth(1)?.parse().ok()
}

/// Guards against UNASKED by a process that stands still for longer than cancellations are
/// remembered: what waited in its sockets, over new connections and kept ones, whether the client
/// is still there or not, is not handed in when it goes on.
#[async_std::test]
async fn process_that_was_stopped_for_long_hands_in_nothing_that_waited() {
    let endpoints = Endpoints::new(24);
    let primary = Primary::with_token(TOKEN);
    primary.serve(endpoints.primary_address(), accept);
    let folder = tempfile::tempdir().expect("a temporary folder");
    let process = Process::start(&endpoints, &folder);
    let address = endpoints.client_address();
    let deadline = Instant::now() + START_TIMEOUT;
    let mut kept = loop {
        assert!(Instant::now() < deadline, "the data plane does not serve");
        if let Ok(mut stream) = send_submission(&address, 1)
            && read_status(&mut stream) == Some(200)
        {
            break stream;
        }
        task::sleep(Duration::from_millis(50)).await;
    };

    process.signal(Signal::STOP);
    write_submission(&mut kept, 2).expect("the connection is open");
    let mut waiting = send_submission(&address, 3).expect("the system accepts connections");
    drop(send_submission(&address, 4).expect("the system accepts connections"));
    task::sleep(Duration::from_millis(MAX_REQUEST_AGE_MS + 1_000)).await;
    process.signal(Signal::CONT);

    assert_eq!(read_status(&mut waiting), Some(503), "a new connection");
    assert!(matches!(read_status(&mut kept), None | Some(503)), "a kept connection");
    let mut later = send_submission(&address, 5).expect("the data plane serves");
    assert_eq!(read_status(&mut later), Some(200), "a request that was sent after the stop");
    let jobs: Vec<String> = primary.received().into_iter().map(|received| received.request.path).collect();
    assert!(jobs.iter().all(|path| path.ends_with('1') || path.ends_with('5')), "{jobs:?}");
}
