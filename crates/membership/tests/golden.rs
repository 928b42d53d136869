//! Datagrams of the membership as bytes: schedulers of the version before and of this one are in one tier at a time.
#[allow(dead_code, reason = "each crate uses a part of it")]
#[path = "golden/data.rs"]
mod golden;

use spanlead_membership::{Body, Entry, Frame, PROTOCOL, Stage};

const FILE: &str = "datagrams.txt";

fn entry(number: u16, stage: Stage) -> Entry {
    Entry { number, incarnation: 3_456_789, beat: 12_345, age: 2, stage }
}

fn frame(body: Body) -> Frame {
    Frame { protocol: PROTOCOL, tier: *b"t\x00\xff7", from: 3, to: 300, body }
}

fn hello(ask: bool, name: &str) -> Body {
    Body::Hello { ask, incarnation: 3_456_789, name: name.into(), version: "0.2.0".into() }
}

fn frames() -> Vec<(&'static str, Frame)> {
    let stages = [Stage::Starting, Stage::Serving, Stage::Draining, Stage::Left];
    let entries: Vec<Entry> = (0..).zip(stages).map(|(number, stage)| entry(number, stage)).collect();
    let longest = Entry {
        number: u16::MAX,
        incarnation: u32::MAX,
        beat: u32::MAX,
        age: u32::MAX,
        stage: Stage::Serving,
    };
    let beats = |ask, entries| frame(Body::Beats { ask, entries });
    vec![
        ("beats-none", beats(false, vec![])),
        ("beats-ask", beats(true, vec![entry(3, Stage::Serving)])),
        ("beats-each-stage", beats(false, entries)),
        ("beats-longest", beats(true, vec![longest])),
        ("carried", frame(Body::Carried { kind: 1, bytes: vec![0, 1, 0x7f, 0x80, 0xff] })),
        ("carried-empty", frame(Body::Carried { kind: 255, bytes: vec![] })),
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
    let committed = golden::bytes(FILE);
    assert_eq!(committed.len(), frames().len());
    for ((name, bytes), (wanted_name, wanted)) in committed.iter().zip(frames()) {
        assert_eq!(name, wanted_name);
        assert_eq!(Frame::decode(bytes), Ok(wanted), "{name}");
    }
}
