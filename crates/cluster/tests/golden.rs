//! The bytes of all frames, what workers and the platform are asked and answer, settings, metrics and the programs' help:
//! none of it may change.
#[path = "../../replication/tests/golden/support.rs"]
mod support;

use async_std::task;
use spanlead_cluster::frame::{Ask, ClientCall, ClientReply, Directory, Frame, FrameKind, decode, encode};
use spanlead_cluster::settings::{Settings, SettingsError, VARIABLE};
use spanlead_cluster::workers::WorkerCalls;
use spanlead_cluster::{metrics, platform};
use spanlead_configuration::{DataPlaneConfiguration, Limits};
use spanlead_dissemination::{Item, Message as GossipMessage};
use spanlead_jobs::{
    Call, FinishedTask, JobSpec, Listed, ListedState, Order, Reply, RunningTask, TaskKey, WorkerReport,
};
use spanlead_replication::{Change, Envelope, MemberId, Message, StreamItem};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::mpsc::{Receiver, channel};
use support::{NamedBytes, compare_bytes, compare_text, path_of, read, read_bytes};

const FRAMES: &str = "frames.txt";

fn job() -> JobSpec {
    let file = path_of("../../../jobs/tests/golden/job.json");
    JobSpec::read(&std::fs::read(file).expect("the golden job")).expect("good")
}

fn envelope(message: Message) -> Envelope {
    Envelope { from: MemberId(0x1111_2222_3333_4441), to: Some(MemberId(0x1111_2222_3333_4442)), message }
}

fn call(ask: Ask) -> Frame {
    let path = "/v1/nightly/0123456789abcdef".to_owned();
    Frame::Call(ClientCall { serial: 0x0102_0304, host: "jobs.example".into(), path, ask })
}

fn limits() -> Limits {
    Limits {
        max_header_bytes: Some(8_192),
        max_body_bytes: Some(65_536),
        header_timeout_ms: Some(2_500),
        idle_timeout_ms: Some(30_000),
    }
}

fn gossip(message: GossipMessage) -> Frame {
    Frame::Gossip { from: "10.0.1.2:7000".into(), message }
}

fn frames() -> Vec<(&'static str, Frame)> {
    let changes = vec![
        Change { key: b"a key longer than eight bytes".to_vec(), value: Some(vec![1, 2, 3]) },
        Change { key: b"k".to_vec(), value: None },
    ];
    let batch = Message::Stream { session: 7, index: 4, item: StreamItem::Batch { sequence: 78, changes } };
    let configuration = DataPlaneConfiguration { version: 42, limits: limits() };
    let item = Item { version: 42, content: configuration.encode() };
    let members = vec!["10.0.0.1:7000".to_owned(), "10.0.0.2:7000".to_owned()];
    vec![
        ("replication_control", Frame::Replication(envelope(Message::Appended { session: 7, sequence: 78 }))),
        ("replication_data", Frame::Replication(envelope(batch))),
        ("hello", Frame::Hello { node: "a-data-plane".into(), peer: "10.0.1.2:7000".into(), version: 41 }),
        (
            "directory",
            Frame::Directory(Directory {
                epoch: 41,
                primary: "10.0.0.1:7000".into(),
                members: members.clone(),
            }),
        ),
        ("configuration", Frame::Configuration(configuration)),
        ("call_submit", call(Ask::Submit(job()))),
        ("call_state", call(Ask::State)),
        ("call_cancel", call(Ask::Cancel)),
        (
            "reply",
            Frame::Reply(ClientReply { serial: 0x0102_0304, status: 429, body: "too many jobs".into() }),
        ),
        ("peers", Frame::Peers(members)),
        ("gossip_have", gossip(GossipMessage::Have { version: 42 })),
        ("gossip_alive", gossip(GossipMessage::Alive)),
        ("gossip_want", gossip(GossipMessage::Want { version: 41 })),
        ("gossip_bring", gossip(GossipMessage::Bring { item })),
        ("ping", Frame::Ping),
    ]
}

/// The example of a frame. Without a last arm for all others: a new variant needs an example here.
fn example(frame: &Frame) -> &'static str {
    match frame {
        Frame::Replication(envelope) => match envelope.message {
            Message::Stream { .. } => "replication_data",
            _ => "replication_control",
        },
        Frame::Hello { .. } => "hello",
        Frame::Directory(_) => "directory",
        Frame::Configuration(_) => "configuration",
        Frame::Call(ClientCall { ask: Ask::Submit(_), .. }) => "call_submit",
        Frame::Call(ClientCall { ask: Ask::State, .. }) => "call_state",
        Frame::Call(ClientCall { ask: Ask::Cancel, .. }) => "call_cancel",
        Frame::Reply(_) => "reply",
        Frame::Peers(_) => "peers",
        Frame::Gossip { message: GossipMessage::Have { .. }, .. } => "gossip_have",
        Frame::Gossip { message: GossipMessage::Alive, .. } => "gossip_alive",
        Frame::Gossip { message: GossipMessage::Want { .. }, .. } => "gossip_want",
        Frame::Gossip { message: GossipMessage::Bring { .. }, .. } => "gossip_bring",
        Frame::Ping => "ping",
    }
}

/// How many examples there are.
const EXAMPLES: usize = 15;

#[test]
fn every_kind_of_frame_has_an_example() {
    let frames = frames();
    assert_eq!(frames.len(), EXAMPLES);
    for (name, frame) in &frames {
        assert_eq!(example(frame), *name);
    }
    for kind in FrameKind::ALL {
        assert!(frames.iter().any(|(_, frame)| frame.kind() == kind), "{kind:?}");
    }
}

#[test]
fn frames_are_encoded_to_the_golden_bytes() {
    let actual: Vec<NamedBytes> = frames().iter().map(|(name, frame)| (*name, encode(frame))).collect();
    compare_bytes(FRAMES, &actual);
}

#[test]
fn golden_bytes_are_decoded_to_the_frames() {
    let golden = read_bytes(FRAMES);
    let expected = frames();
    assert_eq!(golden.len(), expected.len());
    for ((name, bytes), (expected_name, frame)) in golden.iter().zip(&expected) {
        assert_eq!(name, expected_name);
        let (length, body) = bytes.split_at(4);
        assert_eq!(u32::from_le_bytes(length.try_into().expect("four bytes")) as usize, body.len(), "{name}");
        assert_eq!(&decode(body).expect("decoded"), frame, "{name}");
    }
}

#[test]
fn metrics_of_traffic_keep_their_names() {
    let names = metrics::traffic()
        .lines()
        .map(|line| line.split(' ').next().unwrap_or_default().to_owned() + "\n")
        .collect::<String>();
    compare_text("traffic_metrics.txt", &names);
}

// Workers and the platform.

/// A server that gives one answer to each request, and tells the requests.
fn serve(status: &'static str, body: String) -> (String, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    let (requests, received) = channel();
    let own = address.clone();
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let request = read_request(&mut stream).replace(&own, "ADDRESS");
            let _ = requests.send(request);
            let _ = write!(
                stream,
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                body.len()
            );
        }
    });
    (address, received)
}

/// A request: its first line, its other lines in order of the alphabet, its body.
fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a head");
        bytes.push(byte[0]);
    }
    let head = String::from_utf8(bytes).expect("text");
    let mut lines: Vec<&str> = head.trim_end().split("\r\n").collect();
    lines[1..].sort_unstable();
    let length =
        lines.iter().find_map(|line| line.to_lowercase().strip_prefix("content-length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).expect("a body");
    format!("{}\n\n{}\n", lines.join("\n"), String::from_utf8(body).expect("text"))
}

const TASK: TaskKey = TaskKey { job: 0x0123_4567_89ab_cdef, occurrence: 3, stage: 2, index: 11 };

fn orders() -> Vec<Order> {
    let start = |checkpointed: &str| Order::Start {
        task: TASK,
        run: 5,
        spec: "a text for the workers".into(),
        until_ms: 1_234_567,
        checkpointed: checkpointed.into(),
    };
    vec![
        start("checkpoint-4"),
        start(""),
        Order::Stop { task: TASK, run: 5 },
        Order::Hold { serial: 77, until_ms: Some(1_234_567), last_seen: 9, wait_ms: 600 },
        Order::Hold { serial: 78, until_ms: None, last_seen: 0, wait_ms: 0 },
    ]
}

/// What an order comes to at a worker that gives this answer, and the request.
fn order(order: Order, status: &'static str, body: &str) -> (Reply, String) {
    let (address, requests) = serve(status, body.to_owned());
    let (answers, answer) = channel();
    let address = address.as_str().into();
    let call = Call { worker: "worker-1-incarnation-9".into(), address, order, timeout_ms: 5_000, fence: 41 };
    WorkerCalls::new(4).spawn(call, move |_, reply| {
        let _ = answers.send(reply);
    });
    (answer.recv().expect("told"), requests.recv().expect("requested"))
}

#[test]
fn workers_are_sent_the_golden_requests() {
    let requests = orders().into_iter().map(|o| order(o, "200 OK", r#"{"clockMs":1}"#).1);
    compare_text("worker_requests.txt", &requests.collect::<Vec<_>>().join("\n"));
}

#[test]
fn golden_answers_of_workers_are_read() {
    let [start, _, stop, hold, _] = &orders()[..] else { panic!("five orders") };
    for told in [start, stop] {
        let (reply, _) = order(told.clone(), "200 OK", r#"{"clockMs":987654}"#);
        assert_eq!(reply, Reply::Done { clock_ms: 987_654 });
        let (reply, _) = order(told.clone(), "409 Conflict", r#"{"clockMs":1,"reason":"room"}"#);
        assert_eq!(reply, Reply::Refused { status: 409, reason: "room".into() });
        let (reply, _) = order(told.clone(), "421 Misdirected Request", "{}");
        assert_eq!(reply, Reply::Misdirected);
    }
    let (reply, _) = order(hold.clone(), "200 OK", &read("worker_report.json"));
    let running = vec![RunningTask { task: TASK, run: 5, saved: "checkpoint-4".into(), percent: 37.5 }];
    let finished = vec![FinishedTask {
        number: 10,
        task: TaskKey { index: 12, ..TASK },
        run: 1,
        how: "failed".into(),
        saved: "checkpoint-1".into(),
    }];
    let report = WorkerReport { clock_ms: 987_654, running, finished, remaining_ms: Some(4_321) };
    assert_eq!(reply, Reply::Report(report));
}

#[test]
fn the_platform_is_sent_the_golden_request_and_its_golden_list_is_read() {
    let (address, requests) = serve("200 OK", read("platform_list.json"));
    let list = task::block_on(platform::read(&address)).expect("a list");
    compare_text("platform_request.txt", &requests.recv().expect("requested"));
    let full = Listed {
        id: "worker-1-incarnation-9".into(),
        service: "batch".into(),
        address: "10.1.0.1:9000".into(),
        zone: "zone-a".into(),
        state: ListedState::Ready,
        cpu: 16_000,
        mem_mb: 65_536,
        gpus: 4,
        labels: vec!["ssd".into(), "rack-9".into()],
    };
    let bare = Listed {
        id: "worker-2".into(),
        service: "batch".into(),
        address: "10.1.0.2:9000".into(),
        zone: "".into(),
        state: ListedState::Draining,
        cpu: 0,
        mem_mb: 0,
        gpus: 0,
        labels: Vec::new(),
    };
    assert_eq!(list, [full, bare]);
}

// Settings and programs.

#[test]
fn golden_settings_are_read_in_all_their_fields() {
    let settings = Settings::read(&path_of("boot.json").to_string_lossy()).expect("good");
    assert_eq!((settings.node.as_str(), settings.ip.as_str()), ("core-1", "10.0.0.1"));
    assert_eq!(settings.zone.as_deref(), Some("zone-a"));
    assert_eq!(settings.listen.front.as_deref(), Some("10.0.0.1:8080"));
    assert_eq!(settings.listen.readiness.as_deref(), Some("10.0.0.1:8081"));
    assert_eq!(settings.listen.control.as_deref(), Some("10.0.0.1:8082"));
    assert_eq!(settings.ports, [7_000, 7_009]);
    assert_eq!(settings.peer(), "10.0.0.1:7000");
    assert_eq!(settings.seed_peers(), ["10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"]);
    assert_eq!((settings.bootstrap, settings.counts_for_quorum), (Some(true), Some(true)));
    assert_eq!(settings.losses(), 1);
    assert_eq!(settings.limits.as_ref().and_then(|limits| limits.memory_mb), Some(512));
    assert_eq!((settings.max_descriptors(), settings.worker_connections()), (4_096, 2_996));
    assert_eq!(settings.folder().expect("a folder").to_string_lossy(), "data");
    assert_eq!(settings.grace_ms(), 7_500);
    let endpoint = settings.metrics_endpoint().expect("an endpoint");
    assert_eq!((endpoint.address.as_str(), endpoint.path.as_str()), ("10.0.0.1:9100", "/metrics"));
    let cloud = settings.cloud.as_ref().expect("a platform");
    assert_eq!((cloud.address.as_str(), cloud.rate_per_s), ("10.9.0.1:9200", Some(30.0)));
}

#[test]
fn golden_bounds_are_read_and_have_their_defaults() {
    let told = |settings: &Settings| {
        let bounds = settings.job_bounds();
        format!(
            "{} {} {} {} {} {} {} {}\n",
            bounds.max_hold_ms,
            bounds.gang_ms,
            bounds.stop_ms,
            bounds.restore_ms,
            bounds.status_ms,
            bounds.far_factor,
            bounds.max_calls,
            settings.grace_ms()
        )
    };
    let full = Settings::read(&path_of("boot.json").to_string_lossy()).expect("good");
    let least = Settings::read(&path_of("boot_least.json").to_string_lossy()).expect("good");
    assert_eq!(told(&full), "5000 2500 300 700 90000 2.5 2996 7500\n");
    assert_eq!(told(&least), "6000 3000 400 600 120000 1 256 6000\n");
}

#[test]
fn faulty_settings_are_refused_in_the_golden_words() {
    let good = read("boot.json");
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("boot.json");
    let path = file.to_string_lossy().into_owned();
    let mut lines = String::new();
    for text in [
        good.replace("[7000, 7009]", "[7009, 7000]"),
        good.replace("9100/metrics", "metrics"),
        good.replace("10.0.0.3:8082", "nowhere"),
        good.replace("\"node\"", "\"nod\""),
    ] {
        std::fs::write(&file, text).expect("written");
        lines += &format!("{}\n", Settings::read(&path).expect_err("faulty")).replace(&path, "FILE");
    }
    lines += &format!("{}\n", SettingsError::Unnamed);
    compare_text("settings_faults.txt", &lines);
    assert_eq!(VARIABLE, "SPANLEAD_CONFIG");
}

const PROGRAMS: [(&str, &str); 2] = [
    ("spanlead-control-plane", env!("CARGO_BIN_EXE_spanlead-control-plane")),
    ("spanlead-data-plane", env!("CARGO_BIN_EXE_spanlead-data-plane")),
];

#[test]
fn help_of_the_programs_stays() {
    for (name, program) in PROGRAMS {
        let output = Command::new(program).arg("--help").output().expect("it runs");
        assert!(output.status.success());
        compare_text(&format!("help-{name}.txt"), &String::from_utf8(output.stdout).expect("text"));
    }
}

#[test]
fn programs_check_settings_in_the_golden_words() {
    for (_, program) in PROGRAMS {
        let check = |file: &str| {
            let output = Command::new(program).arg("--check").env(VARIABLE, path_of(file)).output();
            let output = output.expect("it runs");
            let text = [output.stdout, output.stderr].concat();
            let folder = path_of("").to_string_lossy().into_owned();
            (output.status.code(), String::from_utf8(text).expect("text").replace(&folder, ""))
        };
        assert_eq!(check("boot.json"), (Some(0), "core-1: settings are good\n".to_owned()));
        let what = "worker_report.json: no settings: a field is missing or of another type\n".to_owned();
        assert_eq!(check("worker_report.json"), (Some(2), what));
    }
}
