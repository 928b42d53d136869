//! Builders of members, heartbeats and datagrams, and proptest strategies for datagrams.
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use spanlead_membership::{
    Action, Datagram, GossipMembership, HeartbeatEntry, LifecyclePhase, MemberNumber, MembershipConfig,
    MessageBody, PROTOCOL_VERSION, fit_into_datagram, truncate_text,
};

pub const TIER_ID: [u8; 4] = *b"tier";
/// The incarnation of all members in the tests' heartbeats.
pub const INCARNATION: u32 = 3;

pub fn config(own_number: MemberNumber) -> MembershipConfig {
    MembershipConfig {
        own_number,
        member_count: 4,
        tier_id: TIER_ID,
        name: format!("n{own_number}"),
        version: "1".into(),
        incarnation: 7,
        fanout: 3,
        tolerated_loss: 0.3,
        seed: 1,
    }
}

/// The first member of a tier of four.
pub fn first_member() -> GossipMembership {
    GossipMembership::new(config(0))
}

/// The heartbeat of a serving member.
pub fn heartbeat(number: MemberNumber, heartbeat: u32, age_periods: u32) -> HeartbeatEntry {
    let phase = LifecyclePhase::Serving;
    HeartbeatEntry { number, incarnation: INCARNATION, heartbeat, age_periods, phase }
}

/// A datagram from member 1 to member 0.
pub fn datagram(body: MessageBody) -> Datagram {
    Datagram { protocol_version: PROTOCOL_VERSION, tier_id: TIER_ID, from: 1, to: 0, body }
}

/// The bytes of a datagram from member 1 to member 0 with this heartbeat.
pub fn heartbeat_datagram(entry: HeartbeatEntry, reply_requested: bool) -> Vec<u8> {
    datagram(MessageBody::Heartbeats { reply_requested, digest: vec![entry] }).encode()
}

/// The first member of a tier of two hundred, which knows the heartbeats of all others but the
/// last.
pub fn first_of_two_hundred() -> GossipMembership {
    let mut membership = GossipMembership::new(MembershipConfig { member_count: 200, ..config(0) });
    let mut actions = Vec::new();
    for number in 1..199 {
        membership.receive(1, &heartbeat_datagram(heartbeat(number, 50, 0), false), &mut actions);
    }
    // A new period resets the number of allowed replies.
    membership.tick(&mut actions);
    membership
}

/// The heartbeat of a member in the sent datagram. Panics unless `actions` is a single datagram
/// with heartbeats to member 1.
pub fn sent_heartbeat(actions: &[Action], number: MemberNumber) -> Option<HeartbeatEntry> {
    let [Action::Send { to: 1, datagram }] = actions else {
        panic!("expected one datagram to member 1, found {actions:?}")
    };
    let Ok(Datagram { body: MessageBody::Heartbeats { digest, .. }, .. }) = Datagram::decode(datagram) else {
        panic!("expected a datagram with heartbeats, found {datagram:?}")
    };
    digest.into_iter().find(|entry| entry.number == number)
}

fn any_entry() -> impl Strategy<Value = HeartbeatEntry> {
    let phase = prop_oneof![
        Just(LifecyclePhase::Starting),
        Just(LifecyclePhase::Serving),
        Just(LifecyclePhase::Draining),
        Just(LifecyclePhase::Left)
    ];
    (any::<u16>(), any::<u32>(), any::<u32>(), any::<u32>(), phase).prop_map(
        |(number, incarnation, heartbeat, age_periods, phase)| HeartbeatEntry {
            number,
            incarnation,
            heartbeat,
            age_periods,
            phase,
        },
    )
}

pub fn any_datagram() -> impl Strategy<Value = Datagram> {
    let heartbeats = (any::<bool>(), vec(any_entry(), 0..80)).prop_map(|(reply_requested, entries)| {
        MessageBody::Heartbeats { reply_requested, digest: fit_into_datagram(entries.into_iter()) }
    });
    let metadata = (any::<bool>(), any::<u32>(), ".{0,90}", ".{0,90}").prop_map(
        |(reply_requested, incarnation, name, version)| MessageBody::Metadata {
            reply_requested,
            incarnation,
            name: truncate_text(&name),
            version: truncate_text(&version),
        },
    );
    (any::<[u8; 4]>(), any::<u16>(), any::<u16>(), prop_oneof![heartbeats, metadata]).prop_map(
        |(tier_id, from, to, body)| Datagram { protocol_version: PROTOCOL_VERSION, tier_id, from, to, body },
    )
}
