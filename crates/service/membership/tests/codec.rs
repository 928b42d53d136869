//! Datagrams: what is written is read again, fits, and nothing else is taken for one.
use proptest::collection::vec;
use proptest::prelude::*;
use spanlead_membership::{
    Action, Datagram, DropReason, GossipMembership, HeartbeatEntry, LifecyclePhase, MAX_DATAGRAM_BYTES,
    MemberState, MembershipConfig, MessageBody, PROTOCOL_VERSION, fit_into_datagram, truncate_text,
};

fn entry() -> impl Strategy<Value = HeartbeatEntry> {
    let stage = prop_oneof![
        Just(LifecyclePhase::Starting),
        Just(LifecyclePhase::Serving),
        Just(LifecyclePhase::Draining),
        Just(LifecyclePhase::Left)
    ];
    (any::<u16>(), any::<u32>(), any::<u32>(), any::<u32>(), stage).prop_map(
        |(number, incarnation, beat, age, stage)| HeartbeatEntry {
            number,
            incarnation,
            heartbeat: beat,
            age_periods: age,
            phase: stage,
        },
    )
}

fn frame() -> impl Strategy<Value = Datagram> {
    let beats = (any::<bool>(), vec(entry(), 0..80)).prop_map(|(ask, entries)| MessageBody::Heartbeats {
        reply_requested: ask,
        digest: fit_into_datagram(entries.into_iter()),
    });
    let hello = (any::<bool>(), any::<u32>(), ".{0,90}", ".{0,90}").prop_map(|(ask, incarnation, n, v)| {
        MessageBody::Metadata {
            reply_requested: ask,
            incarnation,
            name: truncate_text(&n),
            version: truncate_text(&v),
        }
    });
    (any::<[u8; 4]>(), any::<u16>(), any::<u16>(), prop_oneof![beats, hello]).prop_map(
        |(tier, from, to, body)| Datagram {
            protocol_version: PROTOCOL_VERSION,
            tier_id: tier,
            from,
            to,
            body,
        },
    )
}

fn settings(me: u16) -> MembershipConfig {
    MembershipConfig {
        own_number: me,
        member_count: 4,
        tier_id: *b"tier",
        name: format!("n{me}"),
        version: "1".into(),
        incarnation: 7,
        fanout: 3,
        tolerated_loss: 0.3,
        seed: 1,
    }
}

fn member(me: u16) -> GossipMembership {
    GossipMembership::new(settings(me))
}

proptest! {
    #[test]
    fn what_is_written_is_read_again_and_fits(frame in frame()) {
        let bytes = frame.encode();
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        prop_assert_eq!(Datagram::decode(&bytes), Ok(frame));
    }

    // A flipped bit, a cut and bytes behind the end are all seen.
    #[test]
    fn what_was_spoilt_is_dropped(frame in frame(), at in any::<prop::sample::Index>(), bit in 0..8_u8, cut in any::<prop::sample::Index>()) {
        let good = frame.encode();
        let mut flipped = good.clone();
        flipped[at.index(good.len())] ^= 1_u8 << bit;
        prop_assert_eq!(Datagram::decode(&flipped), Err(DropReason::Malformed));
        prop_assert_eq!(Datagram::decode(&good[..cut.index(good.len())]), Err(DropReason::Malformed));
        let mut longer = good;
        longer.push(0);
        prop_assert_eq!(Datagram::decode(&longer), Err(DropReason::Malformed));
    }

    // Whatever comes, of strangers or with absurd figures: it is counted or taken, and the member goes on.
    #[test]
    fn no_datagram_stops_a_member(frames in vec((0..6_u16, frame(), any::<bool>()), 1..20), noise in vec(any::<u8>(), 0..300)) {
        let (mut members, mut out) = (member(0), Vec::new());
        members.receive(1, &noise, &mut out);
        for (from, mut frame, ours) in frames {
            if ours {
                (frame.tier_id, frame.from, frame.to) = (*b"tier", from, 0);
            }
            members.receive(from, &frame.encode(), &mut out);
            members.tick(&mut out);
        }
        let figures = members.stats();
        prop_assert!(figures.dropped[&DropReason::Malformed] >= 1);
        prop_assert_eq!(members.members().count(), 4);
    }
}

#[test]
fn each_reason_to_drop_is_counted() {
    let (mut members, mut out) = (member(0), Vec::new());
    let beats = |entries| MessageBody::Heartbeats { reply_requested: true, digest: entries };
    let good = Datagram {
        protocol_version: PROTOCOL_VERSION,
        tier_id: *b"tier",
        from: 1,
        to: 0,
        body: beats(vec![]),
    };
    let entry = HeartbeatEntry {
        number: 2,
        incarnation: 3,
        heartbeat: 4,
        age_periods: 0,
        phase: LifecyclePhase::Serving,
    };
    let other = |change: fn(&mut Datagram)| {
        let mut frame = good.clone();
        change(&mut frame);
        frame.encode()
    };
    let absurd = |entry| Datagram { body: beats(vec![entry]), ..good.clone() }.encode();
    for bytes in [
        other(|f| f.protocol_version = 9),
        other(|f| f.tier_id = *b"else"),
        other(|f| f.from = 2),
        other(|f| f.to = 1),
        absurd(HeartbeatEntry { number: 4, ..entry }),
        absurd(HeartbeatEntry { incarnation: u32::MAX, ..entry }),
        b"rubbish".to_vec(),
    ] {
        members.receive(1, &bytes, &mut out);
    }
    // An answer to each would be an amplifier, and to none of these one is given.
    assert!(out.is_empty(), "{out:?}");
    let counts: Vec<u64> = members.stats().dropped.into_values().collect();
    assert_eq!(counts, [1, 1, 1, 2, 2]);
    members.tick(&mut Vec::new());
    members.receive(1, &good.encode(), &mut out);
    assert!(matches!(out[..], [Action::Send { to: 1, .. }]));
}

// A heartbeat far ahead of the last would make all true ones pass for old: a member could be made dead by one datagram.
#[test]
fn no_heartbeat_is_believed_that_is_far_ahead() {
    let (mut members, mut out) = (member(0), Vec::new());
    let say = |beat| {
        let entries = vec![HeartbeatEntry {
            number: 1,
            incarnation: 3,
            heartbeat: beat,
            age_periods: 0,
            phase: LifecyclePhase::Serving,
        }];
        let body = MessageBody::Heartbeats { reply_requested: false, digest: entries };
        Datagram { protocol_version: PROTOCOL_VERSION, tier_id: *b"tier", from: 1, to: 0, body }.encode()
    };
    members.receive(1, &say(10), &mut out);
    members.receive(1, &say(u32::MAX - 1), &mut out);
    assert_eq!(members.stats().dropped[&DropReason::Implausible], 1);
    let dead = members.thresholds().dead_after_periods;
    for beat in 0..10 * dead {
        members.tick(&mut out);
        members.receive(1, &say(11 + beat), &mut out);
    }
    assert!(members.members().any(|m| m.number == 1 && m.state == MemberState::Alive));
}

/// A member of a tier of two hundred that has heard of all others but the last.
fn one_of_many() -> GossipMembership {
    let set = MembershipConfig { member_count: 200, ..settings(0) };
    let (mut members, mut out) = (GossipMembership::new(set), Vec::new());
    for number in 1..199 {
        members.receive(
            1,
            &told_of(
                HeartbeatEntry {
                    number,
                    incarnation: 3,
                    heartbeat: 50,
                    age_periods: 0,
                    phase: LifecyclePhase::Serving,
                },
                false,
            ),
            &mut out,
        );
    }
    // Answers are counted anew in each period.
    members.tick(&mut out);
    members
}

/// A datagram from member 1 to member 0 that tells of this one.
fn told_of(entry: HeartbeatEntry, ask: bool) -> Vec<u8> {
    let body = MessageBody::Heartbeats { reply_requested: ask, digest: vec![entry] };
    Datagram { protocol_version: PROTOCOL_VERSION, tier_id: *b"tier", from: 1, to: 0, body }.encode()
}

/// What is told of a member in the only datagram that is sent.
fn answered(out: &[Action], whom: u16) -> Option<HeartbeatEntry> {
    let [Action::Send { to: 1, datagram: bytes }] = out else { panic!("{out:?}") };
    let Ok(Datagram { body: MessageBody::Heartbeats { digest: entries, .. }, .. }) = Datagram::decode(bytes)
    else {
        panic!("no heartbeats")
    };
    entries.into_iter().find(|e| e.number == whom)
}

// Guards a member whose datagrams reach a few only: whoever is asked about it says what it knows, though it can't tell of all.
#[test]
fn who_is_asked_about_a_member_tells_of_that_one() {
    let old = HeartbeatEntry {
        number: 77,
        incarnation: 3,
        heartbeat: 20,
        age_periods: 40,
        phase: LifecyclePhase::Serving,
    };
    for _ in 0..5 {
        let (mut members, mut out) = (one_of_many(), Vec::new());
        members.receive(1, &told_of(old, true), &mut out);
        assert_eq!(answered(&out, 77).map(|e| e.heartbeat), Some(50));
    }
}

// Guards the time until a death is known: a heartbeat that took long to come here is as old as it is, not new.
#[test]
fn a_heartbeat_grows_old_on_its_way() {
    let (mut members, mut out) = (one_of_many(), Vec::new());
    let entry = HeartbeatEntry {
        number: 199,
        incarnation: 3,
        heartbeat: 60,
        age_periods: 11,
        phase: LifecyclePhase::Serving,
    };
    members.receive(1, &told_of(entry, false), &mut out);
    for _ in 0..3 {
        members.receive(
            1,
            &told_of(HeartbeatEntry { number: 1, heartbeat: 60, age_periods: 0, ..entry }, false),
            &mut out,
        );
        members.tick(&mut out);
    }
    out.clear();
    members.receive(1, &told_of(HeartbeatEntry { heartbeat: 1, ..entry }, true), &mut out);
    // Periods in which little is heard count for a quarter at least.
    let age = answered(&out, 199).map(|e| e.age_periods);
    assert!(age.is_some_and(|age| (11..=14).contains(&age)), "{age:?}");
}

// Guards whoever has just started: what is asked about is mostly dead.
#[test]
fn stale_words_bring_nobody_to_life() {
    let (mut members, mut out) = (one_of_many(), Vec::new());
    let stale = members.thresholds().suspect_after_periods + 1;
    let entry = HeartbeatEntry {
        number: 199,
        incarnation: 3,
        heartbeat: 60,
        age_periods: stale,
        phase: LifecyclePhase::Serving,
    };
    let state = |members: &GossipMembership| members.members().nth(199).map(|m| m.state);
    members.receive(1, &told_of(entry, false), &mut out);
    assert_eq!(state(&members), Some(MemberState::Unknown));
    members.receive(1, &told_of(HeartbeatEntry { phase: LifecyclePhase::Left, ..entry }, false), &mut out);
    assert_eq!(state(&members), Some(MemberState::Left), "that one has left stays true");
}

// Guards a member that can't be heard here, by a cut of one direction: the others are asked about it.
#[test]
fn others_are_asked_about_whoever_is_suspected() {
    let (mut members, mut out) = (member(0), Vec::new());
    let say = |number, beat| HeartbeatEntry {
        number,
        incarnation: 3,
        heartbeat: beat,
        age_periods: 0,
        phase: LifecyclePhase::Serving,
    };
    members.receive(1, &told_of(say(3, 1), false), &mut out);
    for beat in 0..4 * members.thresholds().suspect_after_periods {
        out.clear();
        members.receive(1, &told_of(say(1, beat + 1), false), &mut out);
        members.tick(&mut out);
        if members.members().any(|m| m.number == 3 && m.state == MemberState::Suspect) {
            break;
        }
    }
    let asked = out.iter().any(|o| {
        let Action::Send { to: 1, datagram: bytes } = o else { return false };
        let Ok(Datagram { body: MessageBody::Heartbeats { reply_requested: true, digest: entries }, .. }) =
            Datagram::decode(bytes)
        else {
            return false;
        };
        entries.iter().any(|e| e.number == 3)
    });
    assert!(asked, "{out:?}");
}
