//! What schedulers say to each other of duties, as bytes: those of the version before and of this
//! one are in one tier at a
//! time.
#[allow(dead_code, reason = "each crate uses a part of it")]
#[path = "../../wal/tests/golden/data.rs"]
mod golden;

use spanlead_singleton_roles::{MAX_TERM, MessageBody, QuorumConfig, RoleMessage, decode, encode};

const FILE: &str = "messages.txt";

fn item(body: MessageBody) -> RoleMessage {
    RoleMessage { role_hash: 0xdead_beef, quorum: QuorumConfig { schedulers: 5, joint_schedulers: 3 }, body }
}

fn messages() -> Vec<(&'static str, Vec<RoleMessage>)> {
    let (ask, term) = (77, 1_234_567);
    let all = vec![
        item(MessageBody::Request { request: ask, term }),
        item(MessageBody::Grant { request: ask, term }),
        item(MessageBody::Reject { request: ask, highest_term: term + 1, remaining: 2_999 }),
        item(MessageBody::Cancel { term }),
        item(MessageBody::Release { term }),
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
        ("one-set", vec![RoleMessage { quorum: QuorumConfig::of(3), ..all[0] }]),
        ("all", all),
        ("longest", vec![longest; 5]),
    ]
}

#[test]
fn each_kind_of_message_keeps_its_bytes() {
    let found: Vec<_> = messages().iter().map(|(name, items)| (*name, encode(items))).collect();
    golden::assert_bytes(FILE, &found);
}

#[test]
fn committed_messages_are_read_as_the_same_items() {
    let committed = golden::read_bytes(FILE);
    assert_eq!(committed.len(), messages().len());
    for ((name, bytes), (wanted_name, wanted)) in committed.iter().zip(messages()) {
        assert_eq!(name, wanted_name);
        assert_eq!(decode(bytes), Some(wanted), "{name}");
    }
}
