//! What a data plane tells its clients when the primary is silent, refuses, or is replaced.
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

/// What the primary does with a call, by how many came before; `None`: nothing.
type Script = fn(usize) -> Option<u16>;

/// A primary at a loopback address of its own, on a port that is free there and at the data plane's address.
fn primary(ip: &str, port: u16, script: Script) -> Arc<AtomicUsize> {
    let address = format!("{ip}:{port}");
    let calls = Arc::new(AtomicUsize::new(0));
    let (seen, name) = (calls.clone(), address.clone());
    let take = move |frame: Frame, answers: &Sender<Frame>| match frame {
        Frame::Hello { .. } => {
            let directory = Directory { epoch: 1, primary: name.clone(), members: vec![name.clone()] };
            let _ = answers.try_send(Frame::Directory(directory));
        }
        Frame::ClientRequest(request) => {
            let before = seen.fetch_add(1, Ordering::SeqCst);
            if let Some(status) = script(before) {
                let reply = ClientResponse { request_id: request.request_id, status, body: String::new() };
                let _ = answers.try_send(Frame::ClientResponse(reply));
            }
        }
        _ => {}
    };
    task::spawn(peer_server::serve(address, Arc::new(take)));
    calls
}

async fn submit(octet: u8, script: Script) -> (RequestOutcome, usize) {
    let (own, other) = (format!("127.0.9.{octet}"), format!("127.0.8.{octet}"));
    let port = TcpListener::bind(format!("{own}:0")).expect("a port").local_addr().expect("bound").port();
    let calls = primary(&other, port, script);
    let text = format!(
        r#"{{"node":"edge-1","ip":"{own}","listenAddrs":{{"front":"{own}:1"}},"portRange":[{port},{port}],"seeds":["{other}:9"]}}"#
    );
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), text).expect("written");
    let settings = Settings::read(&file.path().to_string_lossy()).expect("settings");
    let clock = Clock::start();
    let core = ControlPlaneClient::start(&settings, clock);
    task::sleep(Duration::from_millis(300)).await;
    let spec = JobSpec::from_json(br#"{"spec":"x","stages":[{"count":1,"cpu":1}]}"#).expect("good");
    let outcome = core
        .request("h", "/p/00000000000000aa", &ClientOperation::Submit(spec), clock.monotonic_ms() + 5_000)
        .await;
    (outcome, calls.load(Ordering::SeqCst))
}

#[async_std::test]
async fn a_refusal_is_passed_on() {
    let (outcome, calls) = submit(1, |_| Some(429)).await;
    assert_eq!((outcome, calls), (responded(429), 1));
}

/// The first try may have been taken by a primary that was then replaced: "not taken" would be a lie.
#[async_std::test]
async fn a_refusal_after_a_try_without_an_answer_leaves_open_whether_the_job_was_taken() {
    for (octet, script) in [(2, late_429 as Script), (3, late_404), (4, late_503)] {
        let (outcome, calls) = submit(octet, script).await;
        assert_eq!((outcome, calls), (RequestOutcome::Unknown, 2));
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
async fn a_job_that_the_second_try_finds_is_accepted() {
    let (outcome, calls) = submit(5, |before| (before > 0).then_some(200)).await;
    assert_eq!((outcome, calls), (responded(200), 2));
}

fn responded(status: u16) -> RequestOutcome {
    RequestOutcome::Responded { status, body: String::new() }
}
