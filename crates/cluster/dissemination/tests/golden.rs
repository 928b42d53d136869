//! Golden files of the encoded messages and of the peer selection: neither may change.
#[path = "../../replication/tests/golden/support.rs"]
mod support;

use spanlead_dissemination::{Item, Message, PEERS_PER_PROCESS, select_peers};
use support::{NamedBytes, compare_bytes, compare_text, read_bytes};

const MESSAGES: &str = "messages.txt";

fn messages() -> Vec<(&'static str, Message)> {
    let item = Item { version: 0x0102_0304_0506_0708, content: (0..40).collect() };
    vec![
        ("have", Message::Advertise { version: 17 }),
        ("alive", Message::Acknowledge),
        ("want", Message::Request { version: 16 }),
        ("bring", Message::Deliver { item }),
        ("bring_of_nothing", Message::Deliver { item: Item { version: 3, content: Vec::new() } }),
    ]
}

/// Returns the name of a message's kind in the golden file. The match has no wildcard arm, so that
/// a new variant does not compile until it has an example here.
fn kind(message: &Message) -> &'static str {
    match message {
        Message::Advertise { .. } => "have",
        Message::Acknowledge => "alive",
        Message::Request { .. } => "want",
        Message::Deliver { .. } => "bring",
    }
}

fn encode(message: &Message) -> Vec<u8> {
    rkyv::to_bytes::<rkyv::rancor::Error>(message).expect("encoded").to_vec()
}

#[test]
fn every_kind_of_message_has_an_example() {
    let mut kinds: Vec<&str> = messages().iter().map(|(_, message)| kind(message)).collect();
    kinds.dedup();
    assert_eq!(kinds, ["have", "alive", "want", "bring"]);
}

#[test]
fn messages_are_encoded_to_the_golden_bytes() {
    let actual: Vec<NamedBytes> = messages().iter().map(|(name, m)| (*name, encode(m))).collect();
    compare_bytes(MESSAGES, &actual);
}

#[test]
fn golden_bytes_are_decoded_to_the_messages() {
    let golden = read_bytes(MESSAGES);
    let expected = messages();
    assert_eq!(golden.len(), expected.len());
    for ((name, bytes), (expected_name, message)) in golden.iter().zip(&expected) {
        assert_eq!(name, expected_name);
        let decoded = rkyv::from_bytes::<Message, rkyv::rancor::Error>(bytes).expect("decoded");
        assert_eq!(&decoded, message, "{name}");
    }
}

/// Processes of different versions must agree on the selection.
#[test]
fn peer_selection_matches_the_golden_file() {
    let names: Vec<String> = (0..12).map(|number| format!("10.0.1.{number}:7000")).collect();
    let mut lines = String::new();
    for name in &names {
        let peers = select_peers(name, names.iter().map(String::as_str), PEERS_PER_PROCESS);
        lines += &format!("{name}\t{}\n", peers.join(" "));
    }
    compare_text("peers.txt", &lines);
}
