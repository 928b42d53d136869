//! Messages and quorums: what fits into a datagram, what is rejected, and whose majorities
//! intersect.
use spanlead_singleton_roles::{
    MAX_MESSAGES, MAX_TERM, MessageBody, QuorumConfig, RoleMessage, decode, encode,
};

/// What a datagram of the membership carries, bytes.
const MAX_PAYLOAD_BYTES: usize = 200;

/// A message with the largest figures.
fn longest_message() -> RoleMessage {
    RoleMessage {
        role_hash: u32::MAX,
        quorum: QuorumConfig { schedulers: u16::MAX, joint_schedulers: u16::MAX },
        body: MessageBody::Reject { request: u32::MAX, highest_term: MAX_TERM - 1, remaining: u64::MAX },
    }
}

#[test]
fn as_many_of_the_longest_messages_as_are_allowed_fit_into_a_datagram() {
    let messages = [longest_message(); MAX_MESSAGES];

    let payload = encode(&messages);

    assert!(payload.len() <= MAX_PAYLOAD_BYTES, "{} bytes", payload.len());
    assert_eq!(decode(&payload), Some(messages.to_vec()));
}

#[test]
fn too_many_messages_an_impossible_term_or_other_bytes_are_rejected() {
    let too_many = encode(&[longest_message(); MAX_MESSAGES + 1]);
    let body = MessageBody::Request { request: 1, term: MAX_TERM };
    let impossible_term = encode(&[RoleMessage { body, ..longest_message() }]);

    assert_eq!(decode(&too_many), None);
    assert_eq!(decode(&impossible_term), None);
    assert_eq!(decode(b"rubbish"), None);
}

// Configurations that share no set need not have majorities that intersect: nothing is granted
// between them.
#[test]
fn majorities_intersect_where_a_set_is_in_both_configurations() {
    let three = QuorumConfig::of(3);
    let joint = QuorumConfig { schedulers: 5, joint_schedulers: 3 };
    let five = QuorumConfig::of(5);

    assert!(three.intersects(joint) && joint.intersects(three));
    assert!(joint.intersects(five) && five.intersects(joint));
    assert!(joint.intersects(joint));
    assert!(!three.intersects(five) && !five.intersects(three));
}

#[test]
fn a_joint_majority_is_a_majority_of_both_sets() {
    let three = QuorumConfig::of(3);
    let joint = QuorumConfig { schedulers: 5, joint_schedulers: 3 };
    let five = QuorumConfig::of(5);

    assert!(joint.has_majority(&[0, 1, 4]));
    assert!(!joint.has_majority(&[2, 3, 4]) && !joint.has_majority(&[0, 1]));
    assert!(three.has_majority(&[0, 2]) && !three.has_majority(&[0, 3, 4]));
    assert!(five.has_majority(&[2, 3, 4]));
}
