//! Golden files of the encoded frames, the names of the traffic metrics, and the settings with
//! their error messages: none of them may change.
#[path = "../../replication/tests/golden/support.rs"]
mod support;

use spanlead_cluster_config::{DataPlaneConfiguration, Limits};
use spanlead_cluster_runtime::frame::{
    ClientOperation, ClientRequest, ClientResponse, Directory, Frame, FrameKind,
};
use spanlead_cluster_runtime::frame_codec::{decode, encode};
use spanlead_cluster_runtime::freshness::FreshnessToken;
use spanlead_cluster_runtime::settings::{SETTINGS_PATH_VARIABLE, Settings, SettingsError};
use spanlead_cluster_runtime::traffic;
use spanlead_dissemination::{Item, Message as GossipMessage};
use spanlead_job_scheduler::JobSpec;
use spanlead_replication::{Change, Envelope, MemberId, Message, StreamItem};
use support::{NamedBytes, compare_bytes, compare_text, golden_path, read_bytes, read_text};

const FRAMES: &str = "frames.txt";

fn job() -> JobSpec {
    let file = golden_path("../../../job-scheduler/tests/golden/job.json");
    JobSpec::from_json(&std::fs::read(file).expect("the golden job")).expect("valid")
}

fn envelope(message: Message) -> Envelope {
    Envelope { from: MemberId(0x1111_2222_3333_4441), to: Some(MemberId(0x1111_2222_3333_4442)), message }
}

const TOKEN: FreshnessToken =
    FreshnessToken { issuer: 0x1111_2222_3333_4443, issued_at_ms: 0x0102_0304_0506_0708 };

fn client_request(operation: ClientOperation) -> ClientRequest {
    let path = "/v1/nightly/0123456789abcdef".to_owned();
    ClientRequest { request_id: 0x0102_0304, host: "jobs.example".into(), path, operation }
}

fn request(operation: ClientOperation) -> Frame {
    Frame::ClientRequest(client_request(operation))
}

fn fresh_request(operation: ClientOperation) -> Frame {
    Frame::FreshClientRequest { token: TOKEN, request: client_request(operation) }
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
        ("replication_control", Frame::Replication(envelope(Message::BatchAck { session: 7, sequence: 78 }))),
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
        ("call_submit", request(ClientOperation::Submit(job()))),
        ("call_state", request(ClientOperation::Query)),
        ("call_cancel", request(ClientOperation::Cancel)),
        (
            "reply",
            Frame::ClientResponse(ClientResponse {
                request_id: 0x0102_0304,
                status: 429,
                body: "too many jobs".into(),
            }),
        ),
        ("peers", Frame::GossipPeers(members)),
        ("gossip_have", gossip(GossipMessage::Advertise { version: 42 })),
        ("gossip_alive", gossip(GossipMessage::Acknowledge)),
        ("gossip_want", gossip(GossipMessage::Request { version: 41 })),
        ("gossip_bring", gossip(GossipMessage::Deliver { item })),
        ("ping", Frame::Ping),
        ("call_fresh", fresh_request(ClientOperation::Submit(job()))),
        ("reply_token", Frame::ClientResponse(ClientResponse::with_token(TOKEN))),
    ]
}

/// Returns the name of a frame's example in the golden file. The match has no wildcard arm, so that
/// a new variant does not compile until it has an example here.
fn example_name(frame: &Frame) -> &'static str {
    match frame {
        Frame::Replication(envelope) => match envelope.message {
            Message::Stream { .. } => "replication_data",
            _ => "replication_control",
        },
        Frame::Hello { .. } => "hello",
        Frame::Directory(_) => "directory",
        Frame::Configuration(_) => "configuration",
        Frame::ClientRequest(ClientRequest { operation: ClientOperation::Submit(_), .. }) => "call_submit",
        Frame::ClientRequest(ClientRequest { operation: ClientOperation::Query, .. }) => "call_state",
        Frame::ClientRequest(ClientRequest { operation: ClientOperation::Cancel, .. }) => "call_cancel",
        Frame::ClientResponse(response) if response.token().is_some() => "reply_token",
        Frame::ClientResponse(_) => "reply",
        Frame::FreshClientRequest { .. } => "call_fresh",
        Frame::GossipPeers(_) => "peers",
        Frame::Gossip { message: GossipMessage::Advertise { .. }, .. } => "gossip_have",
        Frame::Gossip { message: GossipMessage::Acknowledge, .. } => "gossip_alive",
        Frame::Gossip { message: GossipMessage::Request { .. }, .. } => "gossip_want",
        Frame::Gossip { message: GossipMessage::Deliver { .. }, .. } => "gossip_bring",
        Frame::Ping => "ping",
    }
}

/// Number of examples in the golden file.
const EXAMPLE_COUNT: usize = 17;

#[test]
fn every_kind_of_frame_has_an_example() {
    let frames = frames();
    assert_eq!(frames.len(), EXAMPLE_COUNT);
    for (name, frame) in &frames {
        assert_eq!(example_name(frame), *name);
    }
    for kind in FrameKind::ALL {
        assert!(frames.iter().any(|(_, frame)| frame.kind() == kind), "no example of {kind:?}");
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
fn names_of_the_traffic_metrics_match_the_golden_file() {
    let names = traffic::metrics_text()
        .lines()
        .map(|line| line.split(' ').next().unwrap_or_default().to_owned() + "\n")
        .collect::<String>();
    compare_text("traffic_metrics.txt", &names);
}

#[test]
fn all_fields_of_the_golden_settings_are_read() {
    let settings = Settings::read(&golden_path("boot.json").to_string_lossy()).expect("valid");
    assert_eq!((settings.node.as_str(), settings.ip.as_str()), ("core-1", "10.0.0.1"));
    assert_eq!(settings.zone.as_deref(), Some("zone-a"));
    assert_eq!(settings.listen.clients.as_deref(), Some("10.0.0.1:8080"));
    assert_eq!(settings.listen.readiness.as_deref(), Some("10.0.0.1:8081"));
    assert_eq!(settings.listen.operators.as_deref(), Some("10.0.0.1:8082"));
    assert_eq!(settings.ports, [7_000, 7_009]);
    assert_eq!(settings.peer_address(), "10.0.0.1:7000");
    assert_eq!(settings.seed_peer_addresses(), ["10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"]);
    assert_eq!((settings.bootstrap, settings.counts_for_quorum), (Some(true), Some(true)));
    assert_eq!(settings.tolerated_failures(), 1);
    assert_eq!(settings.limits.as_ref().and_then(|limits| limits.memory_mb), Some(512));
    assert_eq!((settings.max_descriptors(), settings.max_worker_connections()), (4_096, 2_996));
    assert_eq!(settings.data_folder().expect("a folder").to_string_lossy(), "data");
    assert_eq!(settings.shutdown_grace_ms(), 7_500);
    let endpoint = settings.metrics_endpoint().expect("an endpoint");
    assert_eq!((endpoint.address.as_str(), endpoint.path.as_str()), ("10.0.0.1:9100", "/metrics"));
    let cloud = settings.cloud_api.as_ref().expect("an API address");
    assert_eq!((cloud.address.as_str(), cloud.rate_per_s), ("10.9.0.1:9200", Some(30.0)));
}

#[test]
fn golden_bounds_are_read_and_absent_bounds_have_their_defaults() {
    let bounds = |settings: &Settings| {
        let config = settings.scheduler_config();
        format!(
            "{} {} {} {} {} {} {} {}\n",
            config.max_lease_ms,
            config.gang_assembly_timeout_ms,
            config.stop_timeout_ms,
            config.checkpoint_restore_ms,
            config.closed_job_retention_ms,
            config.remote_data_slowdown,
            config.max_concurrent_calls,
            settings.shutdown_grace_ms()
        )
    };
    let full = Settings::read(&golden_path("boot.json").to_string_lossy()).expect("valid");
    let minimal = Settings::read(&golden_path("boot_least.json").to_string_lossy()).expect("valid");
    assert_eq!(bounds(&full), "5000 2500 300 700 90000 2.5 2996 7500\n");
    assert_eq!(bounds(&minimal), "6000 3000 400 600 120000 1 256 6000\n");
}

#[test]
fn invalid_settings_are_refused_with_the_golden_messages() {
    let valid = read_text("boot.json");
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("boot.json");
    let path = file.to_string_lossy().into_owned();
    let mut lines = String::new();
    for text in [
        valid.replace("[7000, 7009]", "[7009, 7000]"),
        valid.replace("9100/metrics", "metrics"),
        valid.replace("10.0.0.3:8082", "nowhere"),
        valid.replace("\"node\"", "\"nod\""),
    ] {
        std::fs::write(&file, text).expect("written");
        lines += &format!("{}\n", Settings::read(&path).expect_err("invalid")).replace(&path, "FILE");
    }
    lines += &format!("{}\n", SettingsError::VariableNotSet);
    compare_text("settings_faults.txt", &lines);
    assert_eq!(SETTINGS_PATH_VARIABLE, "SPANLEAD_CONFIG");
}
