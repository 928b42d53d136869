//! The size limits and the validation of messages, and the majorities of quorum configurations.
use spanlead_singleton_roles::{
    MAX_MESSAGES, MAX_TERM, MessageBody, QuorumConfig, RoleMessage, decode, encode,
};

/// The maximum payload of a membership datagram, bytes.
const MAX_PAYLOAD_BYTES: usize = 200;

/// A message with the largest values in all fields.
fn longest_message() -> RoleMessage {
    RoleMessage {
        role_hash: u32::MAX,
        quorum: QuorumConfig { schedulers: u16::MAX, joint_schedulers: u16::MAX },
        body: MessageBody::Reject { request: u32::MAX, highest_term: MAX_TERM - 1, remaining: u64::MAX },
    }
}

#[test]
fn the_maximum_number_of_longest_messages_fits_into_a_datagram() {
    let messages = [longest_message(); MAX_MESSAGES];

    let payload = encode(&messages);

    assert!(payload.len() <= MAX_PAYLOAD_BYTES, "{} bytes", payload.len());
    assert_eq!(decode(&payload), Some(messages.to_vec()));
}

#[test]
fn a_payload_with_too_many_messages_an_implausible_term_or_malformed_bytes_is_rejected() {
    let too_many = encode(&[longest_message(); MAX_MESSAGES + 1]);
    let body = MessageBody::Request { request: 1, term: MAX_TERM };
    let implausible_term = encode(&[RoleMessage { body, ..longest_message() }]);

    assert_eq!(decode(&too_many), None);
    assert_eq!(decode(&implausible_term), None);
    assert_eq!(decode(b"rubbish"), None);
}

// Schedulers whose configurations share no set grant each other nothing, since majorities of such
// configurations need not intersect.
#[test]
fn configurations_intersect_exactly_if_they_share_a_set() {
    let three = QuorumConfig::single(3);
    let joint = QuorumConfig { schedulers: 5, joint_schedulers: 3 };
    let five = QuorumConfig::single(5);

    assert!(three.intersects(joint) && joint.intersects(three));
    assert!(joint.intersects(five) && five.intersects(joint));
    assert!(joint.intersects(joint));
    assert!(!three.intersects(five) && !five.intersects(three));
}

#[test]
fn a_joint_majority_is_a_majority_of_both_sets() {
    let three = QuorumConfig::single(3);
    let joint = QuorumConfig { schedulers: 5, joint_schedulers: 3 };
    let five = QuorumConfig::single(5);

    assert!(joint.has_majority(&[0, 1, 4]));
    assert!(!joint.has_majority(&[2, 3, 4]) && !joint.has_majority(&[0, 1]));
    assert!(three.has_majority(&[0, 2]) && !three.has_majority(&[0, 3, 4]));
    assert!(five.has_majority(&[2, 3, 4]));
}
