//! The bytes of all messages and records, as other processes and data folders have them: they must not change.
#[path = "golden/support.rs"]
mod support;

use spanlead_replication::{
    Accepted, Ballot, Change, Contact, Envelope, Keyspace, LEAVES, Lane, Member, MemberId, Message, Part,
    Position, RANGES, StreamItem, View, WitnessRecord,
};
use support::{NamedBytes, bytes_of, compare_bytes, compare_text, read_bytes};

const MESSAGES: &str = "messages.txt";
const RECORDS: &str = "records.txt";

/// The bytes of a value and the value that bytes give.
macro_rules! coded {
    ($encode:ident, $decode:ident, $value:ty) => {
        fn $encode(value: &$value) -> Vec<u8> {
            rkyv::to_bytes::<rkyv::rancor::Error>(value).expect("encoded").to_vec()
        }

        fn $decode(bytes: &[u8]) -> $value {
            rkyv::from_bytes::<$value, rkyv::rancor::Error>(bytes).expect("decoded")
        }
    };
}

coded!(encode_envelope, decode_envelope, Envelope);
coded!(encode_witness, decode_witness, WitnessRecord);
coded!(encode_position, decode_position, Position);
coded!(encode_member_id, decode_member_id, MemberId);
coded!(encode_change, decode_change, Change);
coded!(encode_part, decode_part, Part);

fn member(number: u64) -> Member {
    Member {
        id: MemberId(0x1111_2222_3333_4440 + number),
        node: format!("core-{number}"),
        peer: format!("10.0.0.{number}:7000"),
        control: format!("control-plane-{number}.example:8080"),
    }
}

fn ballot() -> Ballot {
    Ballot { round: 0x0102_0304_0506_0708, candidate: member(2).id }
}

fn view() -> View {
    View {
        epoch: 41,
        term: 39,
        primary: member(1).id,
        in_sync: vec![member(1).id, member(3).id],
        members: vec![member(1), member(2), member(3)],
        previous: vec![member(1), member(2)],
    }
}

fn accepted() -> Accepted {
    Accepted { ballot: ballot(), view: view() }
}

fn changes() -> Vec<Change> {
    vec![
        Change { key: b"a key longer than eight bytes".to_vec(), value: Some(vec![0, 1, 2, 254, 255]) },
        Change { key: b"k".to_vec(), value: None },
        Change { key: Vec::new(), value: Some(Vec::new()) },
    ]
}

fn parts() -> Vec<Part> {
    vec![
        Part {
            leaf: 1_023,
            after: Some(b"after".to_vec()),
            last: false,
            entries: vec![(b"key-1".to_vec(), b"value-1".to_vec()), (b"key-2".to_vec(), vec![9; 20])],
        },
        Part { leaf: 7, after: None, last: true, entries: Vec::new() },
    ]
}

fn messages() -> Vec<(&'static str, Message)> {
    let session = 0xfeed_0000_0000_0007;
    vec![
        ("register", Message::Register { member: member(1), founder: true, epoch: 17 }),
        ("directory", Message::Directory { view: view() }),
        ("canvass", Message::Canvass { ballot: ballot(), candidate: member(2) }),
        ("support", Message::Support { ballot: ballot() }),
        ("prepare", Message::Prepare { ballot: ballot(), candidate: member(2) }),
        ("promise", Message::Promise { ballot: ballot(), accepted: Some(accepted()) }),
        ("promise_of_nothing", Message::Promise { ballot: ballot(), accepted: None }),
        (
            "refuse",
            Message::Refuse {
                ballot: ballot(),
                promised: Ballot { round: 9, candidate: member(3).id },
                retry_ms: 321,
            },
        ),
        ("accept", Message::Accept { ballot: ballot(), view: view() }),
        ("accepted", Message::Accepted { ballot: ballot(), epoch: 41 }),
        (
            "heartbeat",
            Message::Heartbeat {
                ballot: ballot(),
                view: view(),
                sent_at: 123_456_789,
                sequence: 77,
                session: Some(session),
                contact: Some(Contact { clock: 987_654, age_ms: 42 }),
            },
        ),
        (
            "heartbeat_without_session",
            Message::Heartbeat {
                ballot: ballot(),
                view: view(),
                sent_at: 123_456_789,
                sequence: 77,
                session: None,
                contact: None,
            },
        ),
        ("grant", Message::Grant { ballot: ballot(), sent_at: 123_456_789, clock: 555, unfit: true }),
        ("follow", Message::Follow { term: 39, session, roots: vec![1, u64::MAX, 3] }),
        ("compare", Message::Compare { session, in_sync: true, ranges: vec![0, 5, 31] }),
        ("leaves", Message::Leaves { session, leaves: vec![(5, vec![10, 11]), (31, vec![u64::MAX])] }),
        ("stream_piece", Message::Stream { session, index: 3, item: StreamItem::Piece(parts()) }),
        (
            "stream_batch",
            Message::Stream {
                session,
                index: 4,
                item: StreamItem::Batch { sequence: 78, changes: changes() },
            },
        ),
        ("stream_whole", Message::Stream { session, index: 5, item: StreamItem::Whole { sequence: 79 } }),
        ("repaired", Message::Repaired { session, index: 3 }),
        ("appended", Message::Appended { session, sequence: 78 }),
        ("resign", Message::Resign { ballot: ballot(), successor: Some(member(3).id) }),
        ("resign_to_nobody", Message::Resign { ballot: ballot(), successor: None }),
        ("leave", Message::Leave { member: member(3) }),
        ("leave_answer", Message::LeaveAnswer { wait: true }),
    ]
}

/// The kind of a message. Without a last arm for all others: a new variant needs an example here.
fn kind(message: &Message) -> &'static str {
    match message {
        Message::Register { .. } => "register",
        Message::Directory { .. } => "directory",
        Message::Canvass { .. } => "canvass",
        Message::Support { .. } => "support",
        Message::Prepare { .. } => "prepare",
        Message::Promise { .. } => "promise",
        Message::Refuse { .. } => "refuse",
        Message::Accept { .. } => "accept",
        Message::Accepted { .. } => "accepted",
        Message::Heartbeat { .. } => "heartbeat",
        Message::Grant { .. } => "grant",
        Message::Follow { .. } => "follow",
        Message::Compare { .. } => "compare",
        Message::Leaves { .. } => "leaves",
        Message::Stream { item: StreamItem::Piece(_), .. } => "stream_piece",
        Message::Stream { item: StreamItem::Batch { .. }, .. } => "stream_batch",
        Message::Stream { item: StreamItem::Whole { .. }, .. } => "stream_whole",
        Message::Repaired { .. } => "repaired",
        Message::Appended { .. } => "appended",
        Message::Resign { .. } => "resign",
        Message::Leave { .. } => "leave",
        Message::LeaveAnswer { .. } => "leave_answer",
    }
}

/// How many kinds of messages there are.
const KINDS: usize = 22;

fn envelopes() -> Vec<(&'static str, Envelope)> {
    let envelope = |message, to| Envelope { from: member(1).id, to, message };
    let mut all: Vec<_> =
        messages().into_iter().map(|(name, message)| (name, envelope(message, Some(member(2).id)))).collect();
    all.push(("to_an_address", envelope(Message::LeaveAnswer { wait: false }, None)));
    all
}

fn records() -> Vec<NamedBytes> {
    let witness = WitnessRecord { promised: ballot(), accepted: Some(accepted()) };
    let position = Position { term: 39, sequence: 0x1122_3344_5566_7788 };
    vec![
        ("witness", encode_witness(&witness)),
        ("witness_that_accepted_nothing", encode_witness(&WitnessRecord { accepted: None, ..witness })),
        ("position", encode_position(&position)),
        ("member_id", encode_member_id(&member(1).id)),
        ("change", encode_change(&changes()[0])),
        ("change_that_removes", encode_change(&changes()[1])),
        ("part", encode_part(&parts()[0])),
    ]
}

#[test]
fn every_kind_of_message_has_an_example() {
    let mut kinds: Vec<&str> = messages().iter().map(|(_, message)| kind(message)).collect();
    kinds.dedup();
    assert_eq!(kinds.len(), KINDS);
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
    assert_eq!(golden.len(), expected.len());
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
    let of = |name| bytes_of(RECORDS, name);
    let witness = WitnessRecord { promised: ballot(), accepted: Some(accepted()) };
    assert_eq!(decode_witness(&of("witness")), witness);
    let accepted_nothing = WitnessRecord { promised: ballot(), accepted: None };
    assert_eq!(decode_witness(&of("witness_that_accepted_nothing")), accepted_nothing);
    let position = Position { term: 39, sequence: 0x1122_3344_5566_7788 };
    assert_eq!(decode_position(&of("position")), position);
    assert_eq!(decode_member_id(&of("member_id")), member(1).id);
    assert_eq!(decode_change(&of("change")), changes()[0]);
    assert_eq!(decode_change(&of("change_that_removes")), changes()[1]);
    assert_eq!(decode_part(&of("part")), parts()[0]);
}

#[test]
fn messages_keep_their_lanes() {
    let lane = |message: &Message| match message.lane() {
        Lane::Control => "control",
        Lane::Data => "data",
    };
    let lines = messages().iter().map(|(name, m)| format!("{name}\t{}\n", lane(m))).collect::<String>();
    compare_text("lanes.txt", &lines);
}

/// Replicas of two versions compare digests: they must agree on them.
#[test]
fn digests_of_a_key_space_stay() {
    let mut keyspace = Keyspace::default();
    for number in 0..200u64 {
        let key = [b"j".as_slice(), &number.to_be_bytes()].concat();
        keyspace.apply(&Change { key, value: Some(format!("value {number}").into_bytes()) });
    }
    keyspace.apply(&Change { key: [b"j".as_slice(), &7u64.to_be_bytes()].concat(), value: None });
    let mut lines = format!("ranges {RANGES}\nleaves {LEAVES}\n");
    for (range, root) in keyspace.roots().iter().enumerate() {
        lines += &format!("root {range} {root:016x}\n");
    }
    for (leaf, digest) in keyspace.leaf_digests(3).iter().enumerate() {
        lines += &format!("range 3 leaf {leaf} {digest:016x}\n");
    }
    compare_text("digests.txt", &lines);
}
