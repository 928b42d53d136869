//! Datagrams of the membership as bytes: schedulers of the version before and of this one are in
//! one tier at a time.
#[allow(dead_code, reason = "each crate uses a part of it")]
#[path = "../../wal/tests/golden/data.rs"]
mod golden;

use spanlead_membership::{Datagram, HeartbeatEntry, LifecyclePhase, MessageBody, PROTOCOL_VERSION};

const FILE: &str = "datagrams.txt";

fn entry(number: u16, phase: LifecyclePhase) -> HeartbeatEntry {
    HeartbeatEntry { number, incarnation: 3_456_789, heartbeat: 12_345, age_periods: 2, phase }
}

fn frame(body: MessageBody) -> Datagram {
    Datagram { protocol_version: PROTOCOL_VERSION, tier_id: *b"t\x00\xff7", from: 3, to: 300, body }
}

fn hello(ask: bool, name: &str) -> MessageBody {
    MessageBody::Metadata {
        reply_requested: ask,
        incarnation: 3_456_789,
        name: name.into(),
        version: "0.2.0".into(),
    }
}

fn frames() -> Vec<(&'static str, Datagram)> {
    let stages =
        [LifecyclePhase::Starting, LifecyclePhase::Serving, LifecyclePhase::Draining, LifecyclePhase::Left];
    let entries: Vec<HeartbeatEntry> =
        (0..).zip(stages).map(|(number, stage)| entry(number, stage)).collect();
    let longest = HeartbeatEntry {
        number: u16::MAX,
        incarnation: u32::MAX,
        heartbeat: u32::MAX,
        age_periods: u32::MAX,
        phase: LifecyclePhase::Serving,
    };
    let beats = |ask, entries| frame(MessageBody::Heartbeats { reply_requested: ask, digest: entries });
    vec![
        ("beats-none", beats(false, vec![])),
        ("beats-ask", beats(true, vec![entry(3, LifecyclePhase::Serving)])),
        ("beats-each-stage", beats(false, entries)),
        ("beats-longest", beats(true, vec![longest])),
        ("carried", frame(MessageBody::Payload { protocol: 1, bytes: vec![0, 1, 0x7f, 0x80, 0xff] })),
        ("carried-empty", frame(MessageBody::Payload { protocol: 255, bytes: vec![] })),
        ("hello", frame(hello(false, "backend-3"))),
        ("hello-ask", frame(hello(true, "é"))),
    ]
}

#[test]
fn each_kind_of_datagram_keeps_its_bytes() {
    let found: Vec<_> = frames().iter().map(|(name, frame)| (*name, frame.encode())).collect();
    golden::assert_bytes(FILE, &found);
}

#[test]
fn committed_datagrams_are_read_as_the_same_frames() {
    let committed = golden::read_bytes(FILE);
    assert_eq!(committed.len(), frames().len());
    for ((name, bytes), (wanted_name, wanted)) in committed.iter().zip(frames()) {
        assert_eq!(name, wanted_name);
        assert_eq!(Datagram::decode(bytes), Ok(wanted), "{name}");
    }
}
