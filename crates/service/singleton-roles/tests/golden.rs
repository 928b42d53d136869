//! Compares the encoding of role messages with committed bytes, because schedulers of the previous
//! version and of this one run in one tier during an upgrade.
#[allow(dead_code, reason = "each crate uses only some of the functions")]
#[path = "../../wal/tests/golden/data.rs"]
mod golden;

use spanlead_singleton_roles::{MAX_TERM, MessageBody, QuorumConfig, RoleMessage, decode, encode};

const FILE: &str = "messages.txt";

fn message(body: MessageBody) -> RoleMessage {
    RoleMessage { role_hash: 0xdead_beef, quorum: QuorumConfig { schedulers: 5, joint_schedulers: 3 }, body }
}

fn message_lists() -> Vec<(&'static str, Vec<RoleMessage>)> {
    let (request, term) = (77, 1_234_567);
    let all = vec![
        message(MessageBody::Request { request, term }),
        message(MessageBody::Grant { request, term }),
        message(MessageBody::Reject { request, highest_term: term + 1, remaining: 2_999 }),
        message(MessageBody::Cancel { term }),
        message(MessageBody::Release { term }),
    ];
    let longest = RoleMessage {
        role_hash: u32::MAX,
        quorum: QuorumConfig { schedulers: u16::MAX, joint_schedulers: u16::MAX },
        body: MessageBody::Reject { request: u32::MAX, highest_term: MAX_TERM - 1, remaining: u64::MAX },
    };
    vec![
        ("none", vec![]),
        ("ask", vec![all[0]]),
        ("grant", vec![all[1]]),
        ("refuse", vec![all[2]]),
        ("withdraw", vec![all[3]]),
        ("release", vec![all[4]]),
        ("one-set", vec![RoleMessage { quorum: QuorumConfig::single(3), ..all[0] }]),
        ("all", all),
        ("longest", vec![longest; 5]),
    ]
}

#[test]
fn each_message_encodes_to_its_committed_bytes() {
    let encoded: Vec<_> = message_lists().iter().map(|(name, messages)| (*name, encode(messages))).collect();
    golden::assert_bytes(FILE, &encoded);
}

#[test]
fn committed_bytes_decode_to_the_same_messages() {
    let committed = golden::read_bytes(FILE);
    assert_eq!(committed.len(), message_lists().len());
    for ((name, bytes), (expected_name, expected)) in committed.iter().zip(message_lists()) {
        assert_eq!(name, expected_name);
        assert_eq!(decode(bytes), Some(expected), "{name}");
    }
}
