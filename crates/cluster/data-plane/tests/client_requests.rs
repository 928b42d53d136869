//! What a data plane responds to clients when the primary does not answer, refuses, or is replaced.
use async_std::channel::Sender;
use async_std::task;
use spanlead_cluster_runtime::clock::Clock;
use spanlead_cluster_runtime::frame::{ClientOperation, ClientResponse, Directory, Frame};
use spanlead_cluster_runtime::peer_server;
use spanlead_cluster_runtime::settings::Settings;
use spanlead_data_plane::control_plane_client::{ControlPlaneClient, RequestOutcome};
use spanlead_job_scheduler::JobSpec;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// The status of the response to a request, by how many were received before; `None`: no response.
type Script = fn(usize) -> Option<u16>;

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
            if let Some(status) = script(before) {
                let response = ClientResponse { request_id: request.request_id, status, body: String::new() };
                let _ = replies.try_send(Frame::ClientResponse(response));
            }
        }
        _ => {}
    };
    task::spawn(peer_server::serve(address, Arc::new(handler)));
    requests
}

/// What submitting a job came to.
#[derive(Debug, PartialEq)]
struct Submission {
    outcome: RequestOutcome,
    /// Attempts that the primary received.
    attempts: usize,
}

/// Submits a job, at loopback addresses that end with this octet.
async fn submit(octet: u8, script: Script) -> Submission {
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
    task::sleep(Duration::from_millis(300)).await;
    let spec = JobSpec::from_json(br#"{"spec":"x","stages":[{"count":1,"cpu":1}]}"#).expect("good");
    let outcome = control_plane
        .request("h", "/p/00000000000000aa", &ClientOperation::Submit(spec), clock.monotonic_ms() + 5_000)
        .await;
    Submission { outcome, attempts: requests.load(Ordering::SeqCst) }
}

#[async_std::test]
async fn a_refusal_is_forwarded() {
    let submission = submit(1, |_| Some(429)).await;
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

fn late_429(before: usize) -> Option<u16> {
    (before > 0).then_some(429)
}

fn late_404(before: usize) -> Option<u16> {
    (before > 0).then_some(404)
}

fn late_503(before: usize) -> Option<u16> {
    (before > 0).then_some(503)
}

#[async_std::test]
async fn a_job_that_is_accepted_at_the_second_attempt_is_accepted() {
    let submission = submit(5, |before| (before > 0).then_some(200)).await;
    assert_eq!(submission, Submission { outcome: responded(200), attempts: 2 });
}

fn responded(status: u16) -> RequestOutcome {
    RequestOutcome::Responded { status, body: String::new() }
}
