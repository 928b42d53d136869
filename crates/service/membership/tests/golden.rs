//! Compares the encoding of datagrams with committed bytes, because schedulers of the previous
//! version and of this one run in one tier during an upgrade.
#[allow(dead_code, reason = "each crate uses only some of the functions")]
#[path = "../../wal/tests/golden/data.rs"]
mod golden;

use spanlead_membership::{Datagram, HeartbeatEntry, LifecyclePhase, MessageBody, PROTOCOL_VERSION};

const FILE: &str = "datagrams.txt";

fn entry(number: u16, phase: LifecyclePhase) -> HeartbeatEntry {
    HeartbeatEntry { number, incarnation: 3_456_789, heartbeat: 12_345, age_periods: 2, phase }
}

fn datagram(body: MessageBody) -> Datagram {
    Datagram { protocol_version: PROTOCOL_VERSION, tier_id: *b"t\x00\xff7", from: 3, to: 300, body }
}

fn metadata(reply_requested: bool, name: &str) -> MessageBody {
    MessageBody::Metadata {
        reply_requested,
        incarnation: 3_456_789,
        name: name.into(),
        version: "0.2.0".into(),
    }
}

fn datagrams() -> Vec<(&'static str, Datagram)> {
    let phases =
        [LifecyclePhase::Starting, LifecyclePhase::Serving, LifecyclePhase::Draining, LifecyclePhase::Left];
    let entries: Vec<HeartbeatEntry> =
        (0..).zip(phases).map(|(number, phase)| entry(number, phase)).collect();
    let longest = HeartbeatEntry {
        number: u16::MAX,
        incarnation: u32::MAX,
        heartbeat: u32::MAX,
        age_periods: u32::MAX,
        phase: LifecyclePhase::Serving,
    };
    let heartbeats =
        |reply_requested, entries| datagram(MessageBody::Heartbeats { reply_requested, digest: entries });
    vec![
        ("beats-none", heartbeats(false, vec![])),
        ("beats-ask", heartbeats(true, vec![entry(3, LifecyclePhase::Serving)])),
        ("beats-each-stage", heartbeats(false, entries)),
        ("beats-longest", heartbeats(true, vec![longest])),
        ("carried", datagram(MessageBody::Payload { protocol: 1, bytes: vec![0, 1, 0x7f, 0x80, 0xff] })),
        ("carried-empty", datagram(MessageBody::Payload { protocol: 255, bytes: vec![] })),
        ("hello", datagram(metadata(false, "backend-3"))),
        ("hello-ask", datagram(metadata(true, "é"))),
    ]
}

#[test]
fn each_datagram_encodes_to_its_committed_bytes() {
    let encoded: Vec<_> = datagrams().iter().map(|(name, datagram)| (*name, datagram.encode())).collect();
    golden::assert_bytes(FILE, &encoded);
}

#[test]
fn committed_bytes_decode_to_the_same_datagrams() {
    let committed = golden::read_bytes(FILE);
    assert_eq!(committed.len(), datagrams().len());
    for ((name, bytes), (expected_name, expected)) in committed.iter().zip(datagrams()) {
        assert_eq!(name, expected_name);
        assert_eq!(Datagram::decode(bytes), Ok(expected), "{name}");
    }
}
