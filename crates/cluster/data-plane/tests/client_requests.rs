//! What a data plane responds to clients when the primary does not answer, refuses, or is replaced.
use async_std::channel::Sender;
use async_std::task;
use spanlead_cluster_runtime::clock::Clock;
use spanlead_cluster_runtime::frame::{ClientOperation, ClientResponse, Directory, Frame};
use spanlead_cluster_runtime::peer_server;
use spanlead_cluster_runtime::settings::Settings;
use spanlead_data_plane::control_plane_client::{ControlPlaneClient, RequestOutcome};
use spanlead_data_plane::outcome_counts::{OutcomeCounts, UnknownCause};
use spanlead_job_scheduler::JobSpec;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// What the primary responds to a request.
#[derive(Clone, Copy)]
enum Scripted {
    /// With a status of HTTP.
    Status(u16),
    /// That it is not primary and took nothing.
    NotTaken,
    /// That it is not primary any more.
    Abandoned,
    Nothing,
}

impl Scripted {
    fn response(self, request_id: u64) -> Option<ClientResponse> {
        match self {
            Scripted::Status(status) => Some(ClientResponse { request_id, status, body: String::new() }),
            Scripted::NotTaken => Some(ClientResponse::not_executed(request_id)),
            Scripted::Abandoned => Some(ClientResponse::outcome_unknown(request_id)),
            Scripted::Nothing => None,
        }
    }
}

/// The response to a request, by how many were received before.
type Script = fn(usize) -> Scripted;

/// Serves as the primary at a loopback address. Returns the count of the requests received.
fn serve_primary(ip: &str, port: u16, script: Script) -> Arc<AtomicUsize> {
    let address = format!("{ip}:{port}");
    let requests = Arc::new(AtomicUsize::new(0));
    let (received, own) = (requests.clone(), address.clone());
    let handler = move |frame: Frame, replies: &Sender<Frame>| match frame {
        Frame::Hello { .. } => {
            let directory = Directory { epoch: 1, primary: own.clone(), members: vec![own.clone()] };
            let _ = replies.try_send(Frame::Directory(directory));
        }
        Frame::ClientRequest(request) => {
            let before = received.fetch_add(1, Ordering::SeqCst);
            if let Some(response) = script(before).response(request.request_id) {
                let _ = replies.try_send(Frame::ClientResponse(response));
            }
        }
        _ => {}
    };
    task::spawn(peer_server::serve(address, Arc::new(handler)));
    requests
}

/// How long a request may take, milliseconds.
const DEADLINE_MS: u64 = 5_000;

/// What submitting a job came to.
#[derive(Debug, PartialEq)]
struct Submission {
    outcome: RequestOutcome,
    /// Attempts that the primary received.
    attempts: usize,
}

/// The causes that the metrics count for the unknown outcomes of the scripts here.
fn assert_counted(counts: &OutcomeCounts, outcome: &RequestOutcome, attempts: usize) {
    let is_unknown = *outcome == RequestOutcome::Unknown;
    // Scripts answer the second attempt, or none.
    let (refused, unanswered) =
        if attempts == 2 { (u64::from(is_unknown), 0) } else { (0, u64::from(is_unknown)) };
    assert_eq!(counts.count(UnknownCause::RefusedAfterUnanswered), refused);
    assert_eq!(counts.count(UnknownCause::NoResponse), unanswered);
}

/// Submits a job, at loopback addresses that end with this octet.
async fn submit(octet: u8, script: Script) -> Submission {
    let spec = JobSpec::from_json(br#"{"spec":"x","stages":[{"count":1,"cpu":1}]}"#).expect("good");
    send(octet, script, ClientOperation::Submit(spec)).await
}

/// Sends a request that must be answered within 5 s, in the same way.
async fn send(octet: u8, script: Script, operation: ClientOperation) -> Submission {
    let (own, other) = (format!("127.0.9.{octet}"), format!("127.0.8.{octet}"));
    let port = TcpListener::bind(format!("{own}:0")).expect("a port").local_addr().expect("bound").port();
    let requests = serve_primary(&other, port, script);
    let text = format!(
        r#"{{"node":"edge-1","ip":"{own}","listenAddrs":{{"front":"{own}:1"}},"portRange":[{port},{port}],"seeds":["{other}:9"]}}"#
    );
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), text).expect("written");
    let settings = Settings::read(&file.path().to_string_lossy()).expect("settings");
    let clock = Clock::start();
    let control_plane = ControlPlaneClient::start(&settings, clock);
    let mut outcome = RequestOutcome::NoEffect;
    // Before the primary is known a request has no effect and reaches nobody.
    while requests.load(Ordering::SeqCst) == 0 {
        task::sleep(Duration::from_millis(20)).await;
        let deadline_ms = clock.monotonic_ms() + DEADLINE_MS;
        outcome = control_plane.request("h", "/p/00000000000000aa", &operation, deadline_ms).await;
    }
    let attempts = requests.load(Ordering::SeqCst);
    assert_counted(&control_plane.outcome_counts(), &outcome, attempts);
    Submission { outcome, attempts }
}

#[async_std::test]
async fn a_refusal_is_forwarded() {
    let submission = submit(1, |_| Scripted::Status(429)).await;
    assert_eq!(submission, Submission { outcome: responded(429), attempts: 1 });
}

/// The first attempt may have been accepted by a primary that was then replaced, so a refusal of
/// the second does not prove that the job never runs.
#[async_std::test]
async fn a_refusal_after_an_unanswered_attempt_leaves_the_outcome_unknown() {
    for (octet, script) in [(2, late_429 as Script), (3, late_404), (4, late_503)] {
        let submission = submit(octet, script).await;
        assert_eq!(submission, Submission { outcome: RequestOutcome::Unknown, attempts: 2 });
    }
}

fn late_429(before: usize) -> Scripted {
    if before > 0 { Scripted::Status(429) } else { Scripted::Nothing }
}

fn late_404(before: usize) -> Scripted {
    if before > 0 { Scripted::Status(404) } else { Scripted::Nothing }
}

fn late_503(before: usize) -> Scripted {
    if before > 0 { Scripted::Status(503) } else { Scripted::Nothing }
}

#[async_std::test]
async fn a_job_that_is_accepted_at_the_second_attempt_is_accepted() {
    let late_200 = |before| if before > 0 { Scripted::Status(200) } else { Scripted::Nothing };
    let submission = submit(5, late_200).await;
    assert_eq!(submission, Submission { outcome: responded(200), attempts: 2 });
}

/// A node that is not primary took nothing, so a refusal by the next one is sure.
#[async_std::test]
async fn a_refusal_after_an_attempt_that_was_not_taken_is_forwarded() {
    let not_taken = |before| if before > 0 { Scripted::Status(429) } else { Scripted::NotTaken };
    let submission = submit(6, not_taken).await;
    assert_eq!(submission, Submission { outcome: responded(429), attempts: 2 });
}

/// A node that stopped being primary may have committed what it took.
#[async_std::test]
async fn a_refusal_after_an_abandoned_attempt_leaves_the_outcome_unknown() {
    let abandoned = |before| if before > 0 { Scripted::Status(429) } else { Scripted::Abandoned };
    let submission = submit(7, abandoned).await;
    assert_eq!(submission, Submission { outcome: RequestOutcome::Unknown, attempts: 2 });
}

#[async_std::test]
async fn a_submission_that_nobody_takes_has_no_effect() {
    let submission = submit(8, |_| Scripted::NotTaken).await;
    assert_eq!(submission.outcome, RequestOutcome::NoEffect);
    assert!(submission.attempts > 1, "it is sent again until its deadline");
}

/// A query changes nothing, answered or not: its client may repeat it.
#[async_std::test]
async fn an_unanswered_query_has_no_effect_and_an_unanswered_cancel_may_have() {
    let query = send(9, |_| Scripted::Nothing, ClientOperation::Query).await;
    assert_eq!(query.outcome, RequestOutcome::NoEffect);
    let cancel = send(10, |_| Scripted::Nothing, ClientOperation::Cancel).await;
    assert_eq!(cancel.outcome, RequestOutcome::Unknown);
}

fn responded(status: u16) -> RequestOutcome {
    RequestOutcome::Responded { status, body: String::new() }
}
