//! The encodings of all messages and records. Other processes and existing data directories use
//! them, so they must not change.
#[path = "golden/support.rs"]
mod support;

use spanlead_replication::{
    AcceptedView, Ballot, Change, Envelope, Epoch, Heartbeat, Keyspace, LEAF_COUNT, LeafChunk, LeafEntry,
    LeaseGrant, MajorityContact, Member, MemberId, Message, Position, RANGE_COUNT, RangeLeafDigests,
    StreamItem, Term, TrafficClass, View, WitnessRecord,
};
use support::{NamedBytes, compare_bytes, compare_text, read_bytes, read_example};

const MESSAGES: &str = "messages.txt";
const RECORDS: &str = "records.txt";

/// Defines the functions that encode and decode a type.
macro_rules! define_codec {
    ($encode:ident, $decode:ident, $value:ty) => {
        fn $encode(value: &$value) -> Vec<u8> {
            rkyv::to_bytes::<rkyv::rancor::Error>(value).expect("a value that can be encoded").to_vec()
        }

        fn $decode(bytes: &[u8]) -> $value {
            rkyv::from_bytes::<$value, rkyv::rancor::Error>(bytes).expect("bytes that can be decoded")
        }
    };
}

define_codec!(encode_envelope, decode_envelope, Envelope);
define_codec!(encode_witness, decode_witness, WitnessRecord);
define_codec!(encode_position, decode_position, Position);
define_codec!(encode_member_id, decode_member_id, MemberId);
define_codec!(encode_change, decode_change, Change);
define_codec!(encode_leaf_chunk, decode_leaf_chunk, LeafChunk);

fn member(number: u64) -> Member {
    Member {
        id: MemberId(0x1111_2222_3333_4440 + number),
        node_name: format!("core-{number}"),
        peer_address: format!("10.0.0.{number}:7000"),
        operator_address: format!("control-plane-{number}.example:8080"),
    }
}

fn ballot() -> Ballot {
    Ballot { round: 0x0102_0304_0506_0708, candidate: member(2).id }
}

fn view() -> View {
    View {
        epoch: Epoch(41),
        term: Term(39),
        primary: member(1).id,
        in_sync: vec![member(1).id, member(3).id],
        members: vec![member(1), member(2), member(3)],
        previous_members: vec![member(1), member(2)],
    }
}

fn accepted() -> AcceptedView {
    AcceptedView { ballot: ballot(), view: view() }
}

fn changes() -> Vec<Change> {
    vec![
        Change { key: b"a key longer than eight bytes".to_vec(), value: Some(vec![0, 1, 2, 254, 255]) },
        Change { key: b"k".to_vec(), value: None },
        Change { key: Vec::new(), value: Some(Vec::new()) },
    ]
}

fn leaf_chunks() -> Vec<LeafChunk> {
    vec![
        LeafChunk {
            leaf: 1_023,
            after: Some(b"after".to_vec()),
            is_last: false,
            entries: vec![
                LeafEntry { key: b"key-1".to_vec(), value: b"value-1".to_vec() },
                LeafEntry { key: b"key-2".to_vec(), value: vec![9; 20] },
            ],
        },
        LeafChunk { leaf: 7, after: None, is_last: true, entries: Vec::new() },
    ]
}

/// Examples of all kinds of messages, by their names in the golden files.
fn messages() -> Vec<(&'static str, Message)> {
    let session = 0xfeed_0000_0000_0007;
    vec![
        ("register", Message::Announce { member: member(1), bootstrap_voter: true, known_epoch: Epoch(17) }),
        ("directory", Message::CurrentView { view: view() }),
        ("canvass", Message::PreVoteRequest { ballot: ballot(), candidate: member(2) }),
        ("support", Message::PreVoteGrant { ballot: ballot() }),
        ("prepare", Message::Prepare { ballot: ballot(), candidate: member(2) }),
        ("promise", Message::Promise { ballot: ballot(), accepted: Some(accepted()) }),
        ("promise_of_nothing", Message::Promise { ballot: ballot(), accepted: None }),
        (
            "refuse",
            Message::Reject {
                ballot: ballot(),
                promised: Ballot { round: 9, candidate: member(3).id },
                retry_after_ms: 321,
            },
        ),
        ("accept", Message::Accept { ballot: ballot(), view: view() }),
        ("accepted", Message::Accepted { ballot: ballot(), epoch: Epoch(41) }),
        (
            "heartbeat",
            Message::Heartbeat(Heartbeat {
                ballot: ballot(),
                view: view(),
                sent_at_ms: 123_456_789,
                sequence: 77,
                session: Some(session),
                majority_contact: Some(MajorityContact { receiver_clock_ms: 987_654, age_ms: 42 }),
            }),
        ),
        (
            "heartbeat_without_session",
            Message::Heartbeat(Heartbeat {
                ballot: ballot(),
                view: view(),
                sent_at_ms: 123_456_789,
                sequence: 77,
                session: None,
                majority_contact: None,
            }),
        ),
        (
            "grant",
            Message::LeaseGrant(LeaseGrant {
                ballot: ballot(),
                sent_at_ms: 123_456_789,
                witness_clock_ms: 555,
                ineligible: true,
            }),
        ),
        ("follow", Message::SessionRequest { term: Term(39), session, range_digests: vec![1, u64::MAX, 3] }),
        ("compare", Message::LeafDigestRequest { session, in_sync: true, ranges: vec![0, 5, 31] }),
        (
            "leaves",
            Message::LeafDigests {
                session,
                ranges: vec![
                    RangeLeafDigests { range: 5, digests: vec![10, 11] },
                    RangeLeafDigests { range: 31, digests: vec![u64::MAX] },
                ],
            },
        ),
        ("stream_piece", Message::Stream { session, index: 3, item: StreamItem::RepairChunk(leaf_chunks()) }),
        (
            "stream_batch",
            Message::Stream {
                session,
                index: 4,
                item: StreamItem::Batch { sequence: 78, changes: changes() },
            },
        ),
        (
            "stream_whole",
            Message::Stream { session, index: 5, item: StreamItem::RepairComplete { sequence: 79 } },
        ),
        ("repaired", Message::ChunkAck { session, index: 3 }),
        ("appended", Message::BatchAck { session, sequence: 78 }),
        ("resign", Message::Resign { ballot: ballot(), successor: Some(member(3).id) }),
        ("resign_to_nobody", Message::Resign { ballot: ballot(), successor: None }),
        ("leave", Message::LeaveRequest { member: member(3) }),
        ("leave_answer", Message::LeaveResponse { must_wait: true }),
    ]
}

/// The kind of a message. The match has no wildcard arm, so that a new variant must be added here
/// and get an example.
fn kind(message: &Message) -> &'static str {
    match message {
        Message::Announce { .. } => "register",
        Message::CurrentView { .. } => "directory",
        Message::PreVoteRequest { .. } => "canvass",
        Message::PreVoteGrant { .. } => "support",
        Message::Prepare { .. } => "prepare",
        Message::Promise { .. } => "promise",
        Message::Reject { .. } => "refuse",
        Message::Accept { .. } => "accept",
        Message::Accepted { .. } => "accepted",
        Message::Heartbeat(_) => "heartbeat",
        Message::LeaseGrant(_) => "grant",
        Message::SessionRequest { .. } => "follow",
        Message::LeafDigestRequest { .. } => "compare",
        Message::LeafDigests { .. } => "leaves",
        Message::Stream { item: StreamItem::RepairChunk(_), .. } => "stream_piece",
        Message::Stream { item: StreamItem::Batch { .. }, .. } => "stream_batch",
        Message::Stream { item: StreamItem::RepairComplete { .. }, .. } => "stream_whole",
        Message::ChunkAck { .. } => "repaired",
        Message::BatchAck { .. } => "appended",
        Message::Resign { .. } => "resign",
        Message::LeaveRequest { .. } => "leave",
        Message::LeaveResponse { .. } => "leave_answer",
    }
}

/// The number of kinds of messages.
const MESSAGE_KINDS: usize = 22;

/// The examples of messages in envelopes, and one envelope without a receiver.
fn envelopes() -> Vec<(&'static str, Envelope)> {
    let envelope = |message, to| Envelope { from: member(1).id, to, message };
    let mut all: Vec<_> =
        messages().into_iter().map(|(name, message)| (name, envelope(message, Some(member(2).id)))).collect();
    all.push(("to_an_address", envelope(Message::LeaveResponse { must_wait: false }, None)));
    all
}

/// Examples of all kinds of records, by their names in the golden file.
fn records() -> Vec<NamedBytes> {
    let witness = WitnessRecord { promised: ballot(), accepted: Some(accepted()) };
    let position = Position { term: Term(39), sequence: 0x1122_3344_5566_7788 };
    vec![
        ("witness", encode_witness(&witness)),
        ("witness_that_accepted_nothing", encode_witness(&WitnessRecord { accepted: None, ..witness })),
        ("position", encode_position(&position)),
        ("member_id", encode_member_id(&member(1).id)),
        ("change", encode_change(&changes()[0])),
        ("change_that_removes", encode_change(&changes()[1])),
        ("part", encode_leaf_chunk(&leaf_chunks()[0])),
    ]
}

#[test]
fn every_kind_of_message_has_an_example() {
    let mut kinds: Vec<&str> = messages().iter().map(|(_, message)| kind(message)).collect();
    kinds.dedup();
    assert_eq!(kinds.len(), MESSAGE_KINDS);
}

#[test]
fn messages_are_encoded_to_the_golden_bytes() {
    let actual: Vec<NamedBytes> =
        envelopes().iter().map(|(name, envelope)| (*name, encode_envelope(envelope))).collect();
    compare_bytes(MESSAGES, &actual);
}

#[test]
fn golden_bytes_are_decoded_to_the_messages() {
    let golden = read_bytes(MESSAGES);
    let expected = envelopes();
    assert_eq!(golden.len(), expected.len(), "number of examples in {MESSAGES}");
    for ((name, bytes), (expected_name, envelope)) in golden.iter().zip(&expected) {
        assert_eq!(name, expected_name);
        assert_eq!(&decode_envelope(bytes), envelope, "{name}");
    }
}

#[test]
fn records_are_encoded_to_the_golden_bytes() {
    compare_bytes(RECORDS, &records());
}

#[test]
fn golden_bytes_are_decoded_to_the_records() {
    let bytes_of = |name| read_example(RECORDS, name);
    let witness = WitnessRecord { promised: ballot(), accepted: Some(accepted()) };
    assert_eq!(decode_witness(&bytes_of("witness")), witness);
    let accepted_nothing = WitnessRecord { promised: ballot(), accepted: None };
    assert_eq!(decode_witness(&bytes_of("witness_that_accepted_nothing")), accepted_nothing);
    let position = Position { term: Term(39), sequence: 0x1122_3344_5566_7788 };
    assert_eq!(decode_position(&bytes_of("position")), position);
    assert_eq!(decode_member_id(&bytes_of("member_id")), member(1).id);
    assert_eq!(decode_change(&bytes_of("change")), changes()[0]);
    assert_eq!(decode_change(&bytes_of("change_that_removes")), changes()[1]);
    assert_eq!(decode_leaf_chunk(&bytes_of("part")), leaf_chunks()[0]);
}

#[test]
fn messages_keep_their_traffic_classes() {
    let traffic_class = |message: &Message| match message.traffic_class() {
        TrafficClass::Control => "control",
        TrafficClass::Data => "data",
    };
    let lines =
        messages().iter().map(|(name, m)| format!("{name}\t{}\n", traffic_class(m))).collect::<String>();
    compare_text("lanes.txt", &lines);
}

/// Replicas of different versions compare their digests, so all versions must compute the same
/// ones.
#[test]
fn digests_of_a_key_space_equal_the_golden_ones() {
    let mut keyspace = Keyspace::default();
    for number in 0..200u64 {
        let key = [b"j".as_slice(), &number.to_be_bytes()].concat();
        keyspace.apply(&Change { key, value: Some(format!("value {number}").into_bytes()) });
    }
    keyspace.apply(&Change { key: [b"j".as_slice(), &7u64.to_be_bytes()].concat(), value: None });
    let mut lines = format!("ranges {RANGE_COUNT}\nleaves {LEAF_COUNT}\n");
    for (range, root) in keyspace.range_digests().iter().enumerate() {
        lines += &format!("root {range} {root:016x}\n");
    }
    for (leaf, digest) in keyspace.leaf_digests(3).iter().enumerate() {
        lines += &format!("range 3 leaf {leaf} {digest:016x}\n");
    }
    compare_text("digests.txt", &lines);
}
