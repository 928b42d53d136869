//! Datagrams: what is written is read again, fits, and nothing else is taken for one.
use proptest::collection::vec;
use proptest::prelude::*;
use spanlead_membership::{
    Body, Drop, Entry, Frame, MAX_DATAGRAM, Members, Out, PROTOCOL, Settings, Stage, fitting, short,
};

fn entry() -> impl Strategy<Value = Entry> {
    let stage =
        prop_oneof![Just(Stage::Starting), Just(Stage::Serving), Just(Stage::Draining), Just(Stage::Left)];
    (any::<u16>(), any::<u32>(), any::<u32>(), stage).prop_map(|(number, incarnation, beat, stage)| Entry {
        number,
        incarnation,
        beat,
        stage,
    })
}

fn frame() -> impl Strategy<Value = Frame> {
    let beats = (any::<bool>(), vec(entry(), 0..80))
        .prop_map(|(ask, entries)| Body::Beats { ask, entries: fitting(entries.into_iter()) });
    let hello = (any::<bool>(), any::<u32>(), ".{0,90}", ".{0,90}").prop_map(|(ask, incarnation, n, v)| {
        Body::Hello { ask, incarnation, name: short(&n), version: short(&v) }
    });
    (any::<[u8; 4]>(), any::<u16>(), any::<u16>(), prop_oneof![beats, hello])
        .prop_map(|(tier, from, to, body)| Frame { protocol: PROTOCOL, tier, from, to, body })
}

fn member(me: u16) -> Members {
    Members::new(Settings {
        me,
        count: 4,
        tier: *b"tier",
        name: format!("n{me}"),
        version: "1".into(),
        incarnation: 7,
        fanout: 3,
        loss: 0.3,
        seed: 1,
    })
}

proptest! {
    #[test]
    fn what_is_written_is_read_again_and_fits(frame in frame()) {
        let bytes = frame.encode();
        prop_assert!(bytes.len() <= MAX_DATAGRAM, "{} bytes", bytes.len());
        prop_assert_eq!(Frame::decode(&bytes), Ok(frame));
    }

    // A flipped bit, a cut and bytes behind the end are all seen.
    #[test]
    fn what_was_spoilt_is_dropped(frame in frame(), at in any::<prop::sample::Index>(), bit in 0..8_u8, cut in any::<prop::sample::Index>()) {
        let good = frame.encode();
        let mut flipped = good.clone();
        flipped[at.index(good.len())] ^= 1_u8 << bit;
        prop_assert_eq!(Frame::decode(&flipped), Err(Drop::Garbled));
        prop_assert_eq!(Frame::decode(&good[..cut.index(good.len())]), Err(Drop::Garbled));
        let mut longer = good;
        longer.push(0);
        prop_assert_eq!(Frame::decode(&longer), Err(Drop::Garbled));
    }

    // Whatever comes, of strangers or with absurd figures: it is counted or taken, and the member goes on.
    #[test]
    fn no_datagram_stops_a_member(frames in vec((0..6_u16, frame(), any::<bool>()), 1..20), noise in vec(any::<u8>(), 0..300)) {
        let (mut members, mut out) = (member(0), Vec::new());
        members.hear(1, &noise, &mut out);
        for (from, mut frame, ours) in frames {
            if ours {
                (frame.tier, frame.from, frame.to) = (*b"tier", from, 0);
            }
            members.hear(from, &frame.encode(), &mut out);
            members.tick(&mut out);
        }
        let figures = members.figures();
        prop_assert!(figures.dropped[&Drop::Garbled] >= 1);
        prop_assert_eq!(members.members().count(), 4);
    }
}

#[test]
fn each_reason_to_drop_is_counted() {
    let (mut members, mut out) = (member(0), Vec::new());
    let beats = |entries| Body::Beats { ask: true, entries };
    let good = Frame { protocol: PROTOCOL, tier: *b"tier", from: 1, to: 0, body: beats(vec![]) };
    let entry = Entry { number: 2, incarnation: 3, beat: 4, stage: Stage::Serving };
    let other = |change: fn(&mut Frame)| {
        let mut frame = good.clone();
        change(&mut frame);
        frame.encode()
    };
    let absurd = |entry| Frame { body: beats(vec![entry]), ..good.clone() }.encode();
    for bytes in [
        other(|f| f.protocol = 9),
        other(|f| f.tier = *b"else"),
        other(|f| f.from = 2),
        other(|f| f.to = 1),
        absurd(Entry { number: 4, ..entry }),
        absurd(Entry { incarnation: u32::MAX, ..entry }),
        b"rubbish".to_vec(),
    ] {
        members.hear(1, &bytes, &mut out);
    }
    // An answer to each would be an amplifier, and to none of these one is given.
    assert!(out.is_empty(), "{out:?}");
    let counts: Vec<u64> = members.figures().dropped.into_values().collect();
    assert_eq!(counts, [1, 1, 1, 2, 2]);
    members.tick(&mut Vec::new());
    members.hear(1, &good.encode(), &mut out);
    assert!(matches!(out[..], [Out::Send(1, _)]));
}

// A heartbeat far ahead of the last would make all true ones pass for old: a member could be made dead by one datagram.
#[test]
fn no_heartbeat_is_believed_that_is_far_ahead() {
    let (mut members, mut out) = (member(0), Vec::new());
    let say = |beat| {
        let entries = vec![Entry { number: 1, incarnation: 3, beat, stage: Stage::Serving }];
        let body = Body::Beats { ask: false, entries };
        Frame { protocol: PROTOCOL, tier: *b"tier", from: 1, to: 0, body }.encode()
    };
    members.hear(1, &say(10), &mut out);
    members.hear(1, &say(u32::MAX - 1), &mut out);
    assert_eq!(members.figures().dropped[&Drop::Absurd], 1);
    let dead = members.bounds().dead;
    for beat in 0..10 * dead {
        members.tick(&mut out);
        members.hear(1, &say(11 + beat), &mut out);
    }
    assert!(members.members().any(|m| m.number == 1 && m.state == spanlead_membership::State::Alive));
}
