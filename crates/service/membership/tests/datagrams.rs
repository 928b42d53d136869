//! The encoding, size and validation of datagrams, and the effects of single datagrams on a member.
mod common;

use common::datagrams::{
    TIER_ID, any_datagram, datagram, first_member, first_of_two_hundred, heartbeat, heartbeat_datagram,
    sent_heartbeat,
};
use proptest::collection::vec;
use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, proptest};
use spanlead_membership::{
    Action, Datagram, DropReason, GossipMembership, HeartbeatEntry, LifecyclePhase, MAX_DATAGRAM_BYTES,
    MemberState, MessageBody,
};

proptest! {
    #[test]
    fn an_encoded_datagram_decodes_to_itself_and_fits_the_size_limit(datagram in any_datagram()) {
        let bytes = datagram.encode();

        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        prop_assert_eq!(Datagram::decode(&bytes), Ok(datagram));
    }

    #[test]
    fn a_datagram_with_a_flipped_bit_or_a_changed_length_is_malformed(
        datagram in any_datagram(),
        flipped_byte in any::<prop::sample::Index>(),
        flipped_bit in 0..8_u8,
        length in any::<prop::sample::Index>(),
    ) {
        let bytes = datagram.encode();
        let mut flipped = bytes.clone();
        flipped[flipped_byte.index(bytes.len())] ^= 1_u8 << flipped_bit;
        let shorter = &bytes[..length.index(bytes.len())];
        let longer = [&bytes[..], &[0]].concat();

        prop_assert_eq!(Datagram::decode(&flipped), Err(DropReason::Malformed));
        prop_assert_eq!(Datagram::decode(shorter), Err(DropReason::Malformed));
        prop_assert_eq!(Datagram::decode(&longer), Err(DropReason::Malformed));
    }

    // Any input, including datagrams of other tiers and with implausible values, is accepted or
    // counted as dropped, and the member continues.
    #[test]
    fn no_input_stops_a_member(
        datagrams in vec((0..6_u16, any_datagram(), any::<bool>()), 1..20),
        noise in vec(any::<u8>(), 0..300),
    ) {
        let (mut membership, mut actions) = (first_member(), Vec::new());
        membership.receive(1, &noise, &mut actions);
        for (from, mut datagram, is_of_this_tier) in datagrams {
            if is_of_this_tier {
                (datagram.tier_id, datagram.from, datagram.to) = (TIER_ID, from, 0);
            }
            membership.receive(from, &datagram.encode(), &mut actions);
            membership.tick(&mut actions);
        }

        prop_assert!(membership.stats().dropped[&DropReason::Malformed] >= 1);
        prop_assert_eq!(membership.members().count(), 4);
    }
}

#[test]
fn each_dropped_datagram_is_counted_by_its_reason_and_gets_no_reply() {
    let (mut membership, mut actions) = (first_member(), Vec::new());
    let request = |digest| datagram(MessageBody::Heartbeats { reply_requested: true, digest });
    let good = request(vec![]);
    let changed = |change: fn(&mut Datagram)| {
        let mut datagram = good.clone();
        change(&mut datagram);
        datagram.encode()
    };
    let other_version = changed(|datagram| datagram.protocol_version = 9);
    let other_tier = changed(|datagram| datagram.tier_id = *b"else");
    let other_sender = changed(|datagram| datagram.from = 2);
    let other_receiver = changed(|datagram| datagram.to = 1);
    let unknown_member = request(vec![heartbeat(4, 4, 0)]).encode();
    let implausible_incarnation =
        request(vec![HeartbeatEntry { incarnation: u32::MAX, ..heartbeat(2, 4, 0) }]).encode();

    for bytes in [
        other_version,
        other_tier,
        other_sender,
        other_receiver,
        unknown_member,
        implausible_incarnation,
        b"rubbish".to_vec(),
    ] {
        membership.receive(1, &bytes, &mut actions);
    }

    // Replies to invalid datagrams would make this member an amplifier.
    assert!(actions.is_empty(), "{actions:?}");
    let counts: Vec<u64> = membership.stats().dropped.into_values().collect();
    assert_eq!(counts, [1, 1, 1, 2, 2]);
    membership.tick(&mut Vec::new());
    membership.receive(1, &good.encode(), &mut actions);
    assert!(matches!(actions[..], [Action::Send { to: 1, .. }]), "a valid request gets a reply");
}

// A forged heartbeat that is far ahead of the last one would make all genuine ones appear outdated,
// so that one datagram could make a live member dead.
#[test]
fn a_heartbeat_far_ahead_of_the_last_one_is_implausible() {
    let (mut membership, mut actions) = (first_member(), Vec::new());
    let heartbeat_of = |count| heartbeat_datagram(heartbeat(1, count, 0), false);

    membership.receive(1, &heartbeat_of(10), &mut actions);
    membership.receive(1, &heartbeat_of(u32::MAX - 1), &mut actions);

    assert_eq!(membership.stats().dropped[&DropReason::Implausible], 1);
    for count in 0..10 * membership.thresholds().dead_after_periods {
        membership.tick(&mut actions);
        membership.receive(1, &heartbeat_of(11 + count), &mut actions);
    }
    assert_eq!(state_of(&membership, 1), Some(MemberState::Alive));
}

// The datagrams of a member may reach only a few others. One that is asked about the member must
// send the member's heartbeat, although not all heartbeats fit into its reply.
#[test]
fn a_reply_contains_the_requested_heartbeat() {
    let outdated = heartbeat(77, 20, 40);
    for _ in 0..5 {
        let (mut membership, mut actions) = (first_of_two_hundred(), Vec::new());

        membership.receive(1, &heartbeat_datagram(outdated, true), &mut actions);

        assert_eq!(sent_heartbeat(&actions, 77).map(|entry| entry.heartbeat), Some(50));
    }
}

// A heartbeat that was relayed must not count as new on arrival, which would delay the detection of
// a death.
#[test]
fn a_relayed_heartbeat_carries_its_age() {
    let (mut membership, mut actions) = (first_of_two_hundred(), Vec::new());
    membership.receive(1, &heartbeat_datagram(heartbeat(199, 60, 11), false), &mut actions);
    for _ in 0..3 {
        membership.receive(1, &heartbeat_datagram(heartbeat(1, 60, 0), false), &mut actions);
        membership.tick(&mut actions);
    }
    actions.clear();

    membership.receive(1, &heartbeat_datagram(heartbeat(199, 1, 11), true), &mut actions);

    // Few datagrams arrive in the three periods, so the suspicion clock advances in each of them by
    // less than a period, but by at least a quarter.
    let age = sent_heartbeat(&actions, 199).map(|entry| entry.age_periods);
    assert!(age.is_some_and(|age| (11..=14).contains(&age)), "{age:?}");
}

// Other members ask mostly about dead members. Their stale heartbeats must not make a member that
// has just started take those members for live ones.
#[test]
fn a_stale_heartbeat_makes_no_member_alive() {
    let (mut membership, mut actions) = (first_of_two_hundred(), Vec::new());
    let stale = heartbeat(199, 60, membership.thresholds().suspect_after_periods + 1);
    let has_left = HeartbeatEntry { phase: LifecyclePhase::Left, ..stale };

    membership.receive(1, &heartbeat_datagram(stale, false), &mut actions);
    assert_eq!(state_of(&membership, 199), Some(MemberState::Unknown));
    membership.receive(1, &heartbeat_datagram(has_left, false), &mut actions);
    assert_eq!(
        state_of(&membership, 199),
        Some(MemberState::Left),
        "a stale report that a member has left is accepted"
    );
}

// If only the direction from a member to this one is blocked, the other members have newer
// heartbeats of it.
#[test]
fn other_members_are_asked_for_newer_heartbeats_of_a_suspect() {
    let (mut membership, mut actions) = (first_member(), Vec::new());
    membership.receive(1, &heartbeat_datagram(heartbeat(3, 1, 0), false), &mut actions);
    for count in 0..4 * membership.thresholds().suspect_after_periods {
        actions.clear();
        membership.receive(1, &heartbeat_datagram(heartbeat(1, count + 1, 0), false), &mut actions);
        membership.tick(&mut actions);
        if state_of(&membership, 3) == Some(MemberState::Suspect) {
            break;
        }
    }

    let asks_about_suspect = |action: &Action| {
        let Action::Send { to: 1, datagram } = action else { return false };
        let Ok(Datagram { body: MessageBody::Heartbeats { reply_requested: true, digest }, .. }) =
            Datagram::decode(datagram)
        else {
            return false;
        };
        digest.iter().any(|entry| entry.number == 3)
    };
    assert!(actions.iter().any(asks_about_suspect), "{actions:?}");
}

fn state_of(membership: &GossipMembership, number: u16) -> Option<MemberState> {
    membership.members().find(|member| member.number == number).map(|member| member.state)
}
