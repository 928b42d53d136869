//! Datagrams: what is written is read again, fits, and nothing else is taken for one.
use proptest::collection::vec;
use proptest::prelude::*;
use spanlead_membership::{
    Body, Drop, Entry, Frame, MAX_DATAGRAM, Members, Out, PROTOCOL, Settings, Stage, State, fitting, short,
};

fn entry() -> impl Strategy<Value = Entry> {
    let stage =
        prop_oneof![Just(Stage::Starting), Just(Stage::Serving), Just(Stage::Draining), Just(Stage::Left)];
    (any::<u16>(), any::<u32>(), any::<u32>(), any::<u32>(), stage)
        .prop_map(|(number, incarnation, beat, age, stage)| Entry { number, incarnation, beat, age, stage })
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

fn settings(me: u16) -> Settings {
    Settings {
        me,
        count: 4,
        tier: *b"tier",
        name: format!("n{me}"),
        version: "1".into(),
        incarnation: 7,
        fanout: 3,
        loss: 0.3,
        seed: 1,
    }
}

fn member(me: u16) -> Members {
    Members::new(settings(me))
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
    let entry = Entry { number: 2, incarnation: 3, beat: 4, age: 0, stage: Stage::Serving };
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
        let entries = vec![Entry { number: 1, incarnation: 3, beat, age: 0, stage: Stage::Serving }];
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
    assert!(members.members().any(|m| m.number == 1 && m.state == State::Alive));
}

/// A member of a tier of two hundred that has heard of all others but the last.
fn one_of_many() -> Members {
    let set = Settings { count: 200, ..settings(0) };
    let (mut members, mut out) = (Members::new(set), Vec::new());
    for number in 1..199 {
        members.hear(
            1,
            &told_of(Entry { number, incarnation: 3, beat: 50, age: 0, stage: Stage::Serving }, false),
            &mut out,
        );
    }
    // Answers are counted anew in each period.
    members.tick(&mut out);
    members
}

/// A datagram from member 1 to member 0 that tells of this one.
fn told_of(entry: Entry, ask: bool) -> Vec<u8> {
    let body = Body::Beats { ask, entries: vec![entry] };
    Frame { protocol: PROTOCOL, tier: *b"tier", from: 1, to: 0, body }.encode()
}

/// What is told of a member in the only datagram that is sent.
fn answered(out: &[Out], whom: u16) -> Option<Entry> {
    let [Out::Send(1, bytes)] = out else { panic!("{out:?}") };
    let Ok(Frame { body: Body::Beats { entries, .. }, .. }) = Frame::decode(bytes) else {
        panic!("no heartbeats")
    };
    entries.into_iter().find(|e| e.number == whom)
}

// Guards a member whose datagrams reach a few only: whoever is asked about it says what it knows, though it can't tell of all.
#[test]
fn who_is_asked_about_a_member_tells_of_that_one() {
    let old = Entry { number: 77, incarnation: 3, beat: 20, age: 40, stage: Stage::Serving };
    for _ in 0..5 {
        let (mut members, mut out) = (one_of_many(), Vec::new());
        members.hear(1, &told_of(old, true), &mut out);
        assert_eq!(answered(&out, 77).map(|e| e.beat), Some(50));
    }
}

// Guards the time until a death is known: a heartbeat that took long to come here is as old as it is, not new.
#[test]
fn a_heartbeat_grows_old_on_its_way() {
    let (mut members, mut out) = (one_of_many(), Vec::new());
    let entry = Entry { number: 199, incarnation: 3, beat: 60, age: 11, stage: Stage::Serving };
    members.hear(1, &told_of(entry, false), &mut out);
    for _ in 0..3 {
        members.hear(1, &told_of(Entry { number: 1, beat: 60, age: 0, ..entry }, false), &mut out);
        members.tick(&mut out);
    }
    out.clear();
    members.hear(1, &told_of(Entry { beat: 1, ..entry }, true), &mut out);
    // Periods in which little is heard count for a quarter at least.
    let age = answered(&out, 199).map(|e| e.age);
    assert!(age.is_some_and(|age| (11..=14).contains(&age)), "{age:?}");
}

// Guards whoever has just started: what is asked about is mostly dead.
#[test]
fn stale_words_bring_nobody_to_life() {
    let (mut members, mut out) = (one_of_many(), Vec::new());
    let stale = members.bounds().suspect + 1;
    let entry = Entry { number: 199, incarnation: 3, beat: 60, age: stale, stage: Stage::Serving };
    let state = |members: &Members| members.members().nth(199).map(|m| m.state);
    members.hear(1, &told_of(entry, false), &mut out);
    assert_eq!(state(&members), Some(State::Unheard));
    members.hear(1, &told_of(Entry { stage: Stage::Left, ..entry }, false), &mut out);
    assert_eq!(state(&members), Some(State::Left), "that one has left stays true");
}

// Guards a member that can't be heard here, by a cut of one direction: the others are asked about it.
#[test]
fn others_are_asked_about_whoever_is_suspected() {
    let (mut members, mut out) = (member(0), Vec::new());
    let say = |number, beat| Entry { number, incarnation: 3, beat, age: 0, stage: Stage::Serving };
    members.hear(1, &told_of(say(3, 1), false), &mut out);
    for beat in 0..4 * members.bounds().suspect {
        out.clear();
        members.hear(1, &told_of(say(1, beat + 1), false), &mut out);
        members.tick(&mut out);
        if members.members().any(|m| m.number == 3 && m.state == State::Suspect) {
            break;
        }
    }
    let asked = out.iter().any(|o| {
        let Out::Send(1, bytes) = o else { return false };
        let Ok(Frame { body: Body::Beats { ask: true, entries }, .. }) = Frame::decode(bytes) else {
            return false;
        };
        entries.iter().any(|e| e.number == 3)
    });
    assert!(asked, "{out:?}");
}
