//! What crosses the border of a process, as bytes: the link between two processes of one scheduler,
//! which are of two versions
//! at each upgrade; requests as the ledger keeps them; calls to workers, discovery and back.
#[allow(dead_code, reason = "each crate uses a part of it")]
#[path = "../../wal/tests/golden/data.rs"]
mod golden;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Request, Response};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};
use serde_json::json;
use spanlead_engine::{Answer, JobUpdate, LeaseGrant, NoticeReply, RequestSnapshot};
use spanlead_net::handover;
use spanlead_net::wire::{self, ClientRequest, NoticeBody, OperatorCall, OperatorReply, RequestError};
use spanlead_net::{ForwardedMessage, HandedOverRequest, Message, PeerProcessEvent, ProcessLink};
use std::io::{IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::oneshot;

/// Only ends a test that would hang.
const PATIENCE: Duration = Duration::from_secs(20);
const FRAMES: &str = "relay.txt";
const SEC: u64 = 1_000_000_000;

const NOTICE: &[u8] = br#"{"id":"id-1","from":"s-a","state":"done","result":"R","token":7}"#;
const REQUEST: &[u8] = b"POST /once/x HTTP/1.1\r\nreq-id: id-1\r\ncontent-length: 7\r\n\r\npayload";

/// What became of a request so far: attempts that may have run, have not, and are not over.
fn snapshot() -> RequestSnapshot {
    let text = r#"{"id":"id-1","due":1767225615000000000,"tries":[
        {"worker":"s-a","sent":1767225601000000000,"ran":true},
        {"worker":"s-b","sent":1767225602000000000,"ran":false},
        {"worker":"s-é","sent":1767225603000000000,"ran":null}],"durable":true}"#;
    serde_json::from_str(text).expect("a snapshot")
}

/// A frame of the link: number, kind, length, all in network order, and the body.
fn frame(number: u64, kind: u8, body: &[u8]) -> Vec<u8> {
    [&number.to_be_bytes()[..], &[kind], &(body.len() as u32).to_be_bytes(), body].concat()
}

fn committed(name: &str) -> Vec<u8> {
    let mut all = golden::read_bytes(FRAMES).into_iter();
    all.find(|(n, _)| n == name).unwrap_or_else(|| panic!("no golden line {name}")).1
}

/// A link of ours, and its other end as another process would hold it.
struct Linked {
    link: ProcessLink,
    messages: UnboundedReceiver<Message>,
    other: UnixStream,
    _folder: tempfile::TempDir,
}

impl Linked {
    async fn new() -> Self {
        let folder = tempfile::tempdir().expect("a writable folder");
        let path = folder.path().join("n0.sock");
        let listener = UnixListener::bind(&path).expect("a new name");
        let (to, messages) = unbounded_channel();
        let link = handover::connect_to_predecessor(&path, &to).await.expect("it listens");
        let (other, _) = listener.accept().expect("it has connected");
        other.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        Linked { link, messages, other, _folder: folder }
    }

    /// The next so many bytes that come over the link.
    async fn read(&self, length: usize) -> Vec<u8> {
        let mut other = self.other.try_clone().expect("a second handle");
        let reading = tokio::task::spawn_blocking(move || {
            let mut bytes = vec![0; length];
            other.read_exact(&mut bytes).expect("the link writes");
            bytes
        });
        reading.await.expect("it reads")
    }

    fn write(&self, bytes: &[u8]) {
        (&self.other).write_all(bytes).expect("the link reads");
    }

    async fn next(&mut self) -> Message {
        let next = tokio::time::timeout(PATIENCE, self.messages.recv());
        next.await.expect("in time").expect("the link stands")
    }
}

fn play(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(test);
}

/// The link's frames as they are written: each kind, and each answer to a notice.
#[test]
fn each_kind_of_frame_keeps_its_bytes() {
    play(async {
        let mut linked = Linked::new().await;
        let mut found = Vec::new();
        let (there, _heard) = oneshot::channel();
        let notice = ForwardedMessage::Notice { body: Bytes::from_static(NOTICE), reply: there };
        linked.link.send(notice).expect("it stands");
        found.push(("notice", linked.read(13 + NOTICE.len()).await));
        let (there, _heard) = oneshot::channel();
        let (socket, _client) = UnixStream::pair().expect("a pair");
        let text = Bytes::from_static(REQUEST);
        let request = HandedOverRequest { snapshot: snapshot(), text, socket: socket.into() };
        linked.link.send(ForwardedMessage::Request { request, reply: there }).expect("it stands");
        let mut request = linked.read(13).await;
        let length = u32::from_be_bytes(request[9..].try_into().expect("four bytes"));
        request.extend(linked.read(length as usize).await);
        found.push(("request", request));
        let replies = [
            ("heard", NoticeReply::Acknowledged { lease: None }),
            ("heard-lease", NoticeReply::Acknowledged { lease: Some(10 * SEC + 7) }),
            ("fenced", NoticeReply::Fenced),
        ];
        for ((name, reply), number) in replies.into_iter().zip([1, 300, u64::MAX]) {
            linked.write(&frame(number, 1, NOTICE));
            let Message::Notice { reply: Some(heard), .. } = linked.next().await else { panic!("a notice") };
            heard.send(reply).expect("it is waited for");
            let length = if name == "heard-lease" { 21 } else { 13 };
            found.push((name, linked.read(length).await));
        }
        golden::assert_bytes(FRAMES, &found);
    });
}

// Guards an upgrade: what the version before writes is read as the same.
#[test]
fn committed_frames_are_read_as_the_same() {
    play(async {
        let mut linked = Linked::new().await;
        linked.write(&committed("notice"));
        let Message::Notice { mut notice, body, from: Some(_), reply: Some(_) } = linked.next().await else {
            panic!("a notice")
        };
        assert_eq!(body, NOTICE);
        assert_eq!((&*notice.id, &*notice.from, notice.token), ("id-1", "s-a", Some(7)));
        assert!(matches!(notice.take_update(), JobUpdate::Done(result) if result == "R"));

        let (socket, client) = UnixStream::pair().expect("a pair");
        send_with_socket(&linked.other, &committed("request"), socket);
        let Message::RequestHandedOver(HandedOverRequest { snapshot: read, text, socket }) =
            linked.next().await
        else {
            panic!("a request")
        };
        assert_eq!(
            serde_json::to_value(read).expect("JSON"),
            serde_json::to_value(snapshot()).expect("JSON")
        );
        assert_eq!(text, REQUEST);
        UnixStream::from(socket).write_all(b"x").expect("it is the client's");
        let mut byte = [0];
        (&client).read_exact(&mut byte).expect("the socket came along");
        assert_eq!(byte, *b"x");
        // Both are numbered by their sender, and the second is answered with its number.
        assert_eq!(linked.read(13).await, frame(2, 0, b""));
    });
}

// Guards the answers to what was passed on: each is matched by its number.
#[test]
fn committed_answers_are_read_as_the_same() {
    let cases = [
        ("heard", NoticeReply::Acknowledged { lease: None }),
        ("heard-lease", NoticeReply::Acknowledged { lease: Some(10 * SEC + 7) }),
        ("fenced", NoticeReply::Fenced),
    ];
    play(async {
        let linked = Linked::new().await;
        for ((name, wanted), number) in cases.into_iter().zip(1_u64..) {
            let (there, heard) = oneshot::channel();
            linked
                .link
                .send(ForwardedMessage::Notice { body: Bytes::from_static(NOTICE), reply: there })
                .expect("it stands");
            linked.read(13 + NOTICE.len()).await;
            let answer = [&number.to_be_bytes()[..], &committed(name)[8..]].concat();
            linked.write(&answer);
            let heard = tokio::time::timeout(PATIENCE, heard).await.expect("in time").expect("answered");
            assert_eq!(heard, wanted, "{name}");
        }
    });
}

// Guards against the loss of an upgrade's first half: a process of a version that knew no ledger
// says nothing of it.
#[test]
fn a_snapshot_without_the_ledgers_word_is_read() {
    let snapshot: RequestSnapshot =
        serde_json::from_str(r#"{"id":"id-1","due":5,"tries":[]}"#).expect("a snapshot");
    let wanted = json!({ "id": "id-1", "due": 5, "tries": [], "durable": false });
    assert_eq!(serde_json::to_value(snapshot).expect("JSON"), wanted);
}

// Guards the place where the processes find each other, and that the older one is told of the newer
// and of its end.
#[test]
fn processes_meet_at_the_same_place() {
    let folder = std::env::temp_dir();
    assert_eq!(handover::socket_path("backend-3.kista/é"), folder.join("backend-3-kista--.sock"));
    play(async {
        let folder = tempfile::tempdir().expect("a writable folder");
        let path = folder.path().join("n0.sock");
        let (to, mut messages) = unbounded_channel();
        let listening = tokio::spawn(handover::listen_for_successors(path.clone(), to));
        let connecting = async {
            loop {
                match UnixStream::connect(&path) {
                    Ok(stream) => break stream,
                    Err(_) => tokio::task::yield_now().await,
                }
            }
        };
        let successor = tokio::time::timeout(PATIENCE, connecting).await.expect("it listens");
        let come = tokio::time::timeout(PATIENCE, messages.recv()).await;
        assert!(matches!(come, Ok(Some(Message::PeerProcess(PeerProcessEvent::SuccessorConnected(_))))));
        drop(successor);
        let gone = tokio::time::timeout(PATIENCE, messages.recv()).await;
        assert!(matches!(gone, Ok(Some(Message::PeerProcess(PeerProcessEvent::Disconnected(_))))));
        listening.abort();
    });
}

fn send_with_socket(to: &UnixStream, bytes: &[u8], socket: UnixStream) {
    let socket = OwnedFd::from(socket);
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut beside = SendAncillaryBuffer::new(&mut space);
    let sockets = [socket.as_fd()];
    assert!(beside.push(SendAncillaryMessage::ScmRights(&sockets)));
    let sent = sendmsg(to, &[IoSlice::new(bytes)], &mut beside, SendFlags::NOSIGNAL).expect("the link reads");
    assert_eq!(sent, bytes.len());
}

// ---------------------------------------------------------------- requests in the ledger

fn post(path: &str, headers: &[(&str, &str)], body: &'static str) -> ClientRequest {
    let mut builder = Request::builder().method(Method::POST).uri(path);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let (head, ()) = builder.body(()).expect("a request").into_parts();
    ClientRequest::new(head, Bytes::from_static(body.as_bytes()))
}

fn requests() -> Vec<(&'static str, ClientRequest)> {
    let all = [
        ("host", "backend.local"),
        ("content-type", "text/plain"),
        ("idempotency-key", " k-1 "),
        ("req-owner", "norrtrim"),
        ("req-deadline-ms", "15000"),
        ("req-extra", "slots=2"),
        ("req-id", "id-1"),
    ];
    vec![
        ("bare", post("/once/x?y=1", &[("req-id", "id-1")], "")),
        ("full", post("/once/x?y=1", &all, "payload")),
        // The digest of this one stands in the committed ledger of `spanlead` as well.
        ("repeat", post("/once/x", &[("req-id", "id-2"), ("idempotency-key", "k-43")], "payload")),
    ]
}

// Guards repeats over an upgrade: a client's request has the digest that it had, and is kept in the
// same bytes.
#[test]
fn requests_keep_their_digest_and_bytes() {
    let mut found = Vec::new();
    for (name, request) in requests() {
        let durable = wire::durable_request(&request).expect("it can be kept");
        let (key, [digest, kept, again]) = match name {
            "bare" => (None, ["bare-fingerprint", "bare-kept", "bare-again"]),
            "full" => (Some("k-1"), ["full-fingerprint", "full-kept", "full-again"]),
            _ => (Some("k-43"), ["repeat-fingerprint", "repeat-kept", "repeat-again"]),
        };
        assert_eq!(durable.key.as_deref(), key);
        found.push((digest, durable.fingerprint.to_vec()));
        found.push((kept, durable.encoded_request.to_vec()));
        found.push((again, request.to_http()));
    }
    golden::assert_bytes("requests.txt", &found);
}

#[test]
fn committed_requests_are_restored() {
    let committed = golden::read_bytes("requests.txt");
    for (name, request) in requests() {
        let (_, kept) = committed.iter().find(|(n, _)| *n == format!("{name}-kept")).expect("a line");
        let restored = wire::restore_request(&Bytes::from(kept.clone())).expect("it is a request");
        let [restored, original] =
            [restored, request].map(|p| shown_request(wire::dispatch_request(&p, 900, None)));
        assert_eq!(restored, original, "{name}");
        let again = wire::durable_request(
            &wire::restore_request(&Bytes::from(kept.clone())).expect("it is a request"),
        );
        assert_eq!(again.expect("it can be kept").encoded_request, *kept, "{name}");
    }
}

// ---------------------------------------------------------------- workers, discovery, clients,
// operators

fn body_of(body: wire::Body) -> String {
    let waker = std::task::Waker::noop();
    let mut collecting = std::pin::pin!(body.collect());
    let std::task::Poll::Ready(Ok(all)) =
        collecting.as_mut().poll(&mut std::task::Context::from_waker(waker))
    else {
        panic!("it is there")
    };
    String::from_utf8(all.to_bytes().to_vec()).expect("text")
}

fn shown_headers(headers: &hyper::HeaderMap) -> String {
    let mut lines: Vec<String> =
        headers.iter().map(|(n, v)| format!("{n}: {}\n", v.to_str().expect("text"))).collect();
    lines.sort();
    lines.concat()
}

fn shown_request(request: Request<wire::Body>) -> String {
    let (head, body) = request.into_parts();
    format!("{} {}\n{}\n{}\n", head.method, head.uri, shown_headers(&head.headers), body_of(body))
}

fn shown_response(response: Response<wire::Body>) -> String {
    let (head, body) = response.into_parts();
    format!("{}\n{}\n{}\n", head.status, shown_headers(&head.headers), body_of(body))
}

// Guards the calls to workers and discovery.
#[test]
fn calls_keep_their_text() {
    let (_, full) = requests().remove(1);
    let calls = [
        wire::dispatch_request(&full, 1234, None),
        wire::dispatch_request(&full, 1234, Some(LeaseGrant { token: 77, duration: 10 * SEC })),
        wire::cancel_request("id-1").expect("a call"),
        wire::health_check_request().expect("a call"),
        wire::full_list_request().expect("a call"),
        wire::watch_request(41, 4000).expect("a call"),
    ];
    golden::assert_text("calls.txt", &calls.map(shown_request).join("----\n"));
}

// Guards the answers to clients, workers and operators.
#[test]
fn answers_keep_their_text() {
    let answers = [
        Answer::Succeeded("R".into()),
        Answer::Rejected { retry_after: None },
        Answer::Rejected { retry_after: Some(1_234_567_890) },
        Answer::Failed,
        Answer::Unprocessable,
        Answer::DuplicateId,
        Answer::KeyMismatch,
    ];
    let replies = [
        NoticeReply::Acknowledged { lease: None },
        NoticeReply::Acknowledged { lease: Some(9_999_999_999) },
        NoticeReply::Fenced,
    ];
    let operators = [
        OperatorReply::Yes,
        OperatorReply::No("ending\n"),
        OperatorReply::Json(b"{}".to_vec()),
        OperatorReply::Refused("why".into()),
        OperatorReply::Missing("what"),
    ];
    let mut all: Vec<String> = answers.into_iter().map(wire::answer_response).map(shown_response).collect();
    all.extend(replies.into_iter().map(wire::notice_response).map(shown_response));
    all.extend(operators.into_iter().map(wire::operator_response).map(shown_response));
    all.push(shown_response(wire::error_response(RequestError::MissingId)));
    golden::assert_text("answers.txt", &all.join("----\n"));
}

// Guards the operators' paths: each is known by one method, and by no other.
#[test]
fn operators_calls_keep_their_paths() {
    let paths = [
        "/ops/readiness",
        "/ops/stats",
        "/ops/drain/start",
        "/ops/drain/stop",
        "/ops/inventory",
        "/ops/inventory/hosts/s-a",
        "/ops/inventory/clubs/accept/0011",
        "/ops/members",
        "/ops/duties",
        "/ops/duties/nightly-export/release",
        "/ops",
        "/ops/other",
        "/ops/duties/nightly-export",
    ];
    let read = |method: &Method, path| match OperatorCall::decode(method, path) {
        Ok(_) => "known".to_owned(),
        Err(error) => format!("{} {error}", error.status().as_u16()),
    };
    let line = |path| {
        let [get, post] = [Method::GET, Method::POST].map(|method| read(&method, path));
        format!("{path}\tGET {get}\tPOST {post}\n")
    };
    golden::assert_text("paths.txt", &paths.map(line).concat());
}

// Guards the workers' notices: each state's word.
#[test]
fn notices_are_read_by_their_words() {
    let read = |rest: &str| {
        let text = format!(r#"{{"id":"id-1","from":"s-a",{rest}}}"#);
        NoticeBody::decode(text.as_bytes())
            .map(|mut notice| (notice.token, notice.load.is_some(), notice.take_update()))
    };
    let plain = |rest: &str| read(rest).expect("a notice").2;
    assert!(matches!(plain(r#""state":"started""#), JobUpdate::Started));
    assert!(matches!(plain(r#""state":"running","share":0.5"#), JobUpdate::Running(share) if share == 0.5));
    assert!(matches!(plain(r#""state":"done","result":"R""#), JobUpdate::Done(result) if result == "R"));
    assert!(matches!(plain(r#""state":"failed""#), JobUpdate::Failed));
    assert!(matches!(plain(r#""state":"returned""#), JobUpdate::Returned));
    assert!(matches!(plain(r#""state":"lost""#), JobUpdate::Lost));
    assert!(matches!(read(r#""state":"lost","token":9,"load":{}"#), Some((Some(9), true, JobUpdate::Lost))));
    assert!(read(r#""state":"Lost""#).is_none());
    assert!(read(r#""share":1.0"#).is_none());
}
