//! RoleManager change hands, in one process and without a network: datagrams are handed over as they come.
use spanlead_singleton_roles::{
    Action, ClockReading, LeaseChange, LossReason, MAX_MESSAGES, MAX_TERM, MessageBody, QuorumConfig,
    RoleConfig, RoleIndex, RoleManager, RoleMessage, decode, encode,
};
use std::collections::VecDeque;

const LEASE: u64 = 3000;

fn reading(now: u64) -> ClockReading {
    ClockReading { monotonic: now, wall: now }
}

struct Tier {
    nodes: Vec<RoleManager>,
    now: u64,
    changes: Vec<(u16, LeaseChange)>,
    /// What is on its way.
    under_way: VecDeque<(u16, u16, Vec<u8>)>,
    up: Vec<bool>,
}

impl Tier {
    fn new(count: u16) -> Self {
        let set = |me| RoleConfig {
            own_number: me,
            quorum: QuorumConfig::of(count),
            lease_duration: LEASE,
            clock_drift_bound: 300,
            reply_timeout: 200,
            seed: me.into(),
        };
        let nodes = (0..count).map(|me| RoleManager::new(set(me), &["duty".to_owned()], 0)).collect();
        Tier { nodes, now: 0, changes: Vec::new(), under_way: VecDeque::new(), up: vec![true; count.into()] }
    }

    fn take(&mut self, from: u16, out: Vec<Action>) {
        for out in out {
            match out {
                Action::Send { to, payload: bytes } => self.under_way.push_back((from, to, bytes)),
                Action::LeaseChanged { change, .. } => self.changes.push((from, change)),
            }
        }
    }

    /// All that is on its way arrives; what order it comes in, `last` says: the newest first, or the oldest.
    fn deliver(&mut self, last: bool) {
        while let Some((from, to, bytes)) =
            if last { self.under_way.pop_back() } else { self.under_way.pop_front() }
        {
            if !self.lives(to) {
                continue;
            }
            let (mut out, up) = (Vec::new(), self.up.clone());
            let items = decode(&bytes).expect("our own words");
            self.nodes[usize::from(to)].receive(
                reading(self.now),
                from,
                &items,
                |n| up[usize::from(n)],
                &mut out,
            );
            self.take(to, out);
        }
    }

    fn pass(&mut self, span: u64) {
        for _ in 0..span / 100 {
            self.now += 100;
            for n in 0..self.nodes.len() as u16 {
                if !self.lives(n) {
                    continue;
                }
                let (mut out, up) = (Vec::new(), self.up.clone());
                self.nodes[usize::from(n)].tick(reading(self.now), |n| up[usize::from(n)], &mut out);
                self.take(n, out);
                self.deliver(false);
            }
        }
    }

    fn lives(&self, n: u16) -> bool {
        self.up[usize::from(n)]
    }

    fn holder(&self) -> Option<u16> {
        let holders: Vec<u16> = (0..self.nodes.len() as u16)
            .filter(|n| self.nodes[usize::from(*n)].term_to_act_under(self.now, RoleIndex(0)).is_some())
            .collect();
        assert!(holders.len() <= 1, "{holders:?} hold it");
        holders.first().copied()
    }
}

// Guards the way of an orderly end: the next one must not wait for the lease, whichever of the words come first.
#[test]
fn what_is_given_back_is_taken_at_once() {
    for last in [false, true] {
        let mut tier = Tier::new(5);
        tier.pass(5000);
        let first = tier.holder().expect("a holder");
        let mut out = Vec::new();
        tier.nodes[usize::from(first)].release(tier.now, RoleIndex(0), &mut out);
        tier.take(first, out);
        tier.deliver(last);
        let next = tier.holder().expect("it is held again, before any time has passed");
        assert_ne!(first, next);
        tier.pass(10 * LEASE);
        assert_eq!(tier.holder(), Some(next), "it stays there");
    }
}

// Guards a rolling restart: one after the other ends in order and comes back silent, the next before that one may grant again. Those who
// are left are just a majority, and hand it on within a second.
#[test]
fn a_rolling_restart_hands_it_on() {
    for seed in 0..20_u64 {
        let mut tier = Tier::new(5);
        let start = |tier: &Tier, me: u16| {
            let set = RoleConfig {
                own_number: me,
                quorum: QuorumConfig::of(5),
                lease_duration: LEASE,
                clock_drift_bound: 300,
                reply_timeout: 200,
                seed: 10 * seed + u64::from(me),
            };
            RoleManager::new(set, &["duty".to_owned()], tier.now)
        };
        tier.nodes = (0..5).map(|me| start(&tier, me)).collect();
        tier.pass(5000);
        for step in 0..8 {
            let holder = tier.holder().unwrap_or_else(|| panic!("seed {seed}: nobody holds it"));
            let mut out = Vec::new();
            tier.nodes[usize::from(holder)].release(tier.now, RoleIndex(0), &mut out);
            tier.take(holder, out);
            tier.up[usize::from(holder)] = false;
            tier.deliver(false);
            tier.pass(1000);
            assert!(
                tier.holder().is_some(),
                "seed {seed}, step {step}: nobody a second after {holder} ended"
            );
            tier.nodes[usize::from(holder)] = start(&tier, holder);
            tier.up[usize::from(holder)] = true;
            // Two of five may be silent at a time.
            tier.pass(if step % 2 == 0 { 500 } else { 5000 });
        }
    }
}

// Guards against a duel: two that ask at once get some of the grants each, and would keep them from each other, and from everyone, for
// a lease.
#[test]
fn two_that_each_got_some_give_them_back() {
    let mut tier = Tier::new(4);
    tier.now = 5000;
    let mut asked = Vec::new();
    for asking in 0..2_u16 {
        let mut out = Vec::new();
        tier.nodes[usize::from(asking)].tick(reading(tier.now), |_| false, &mut out);
        asked.push(out);
    }
    // Each question reaches one of the others first.
    for (asking, granting) in [(0_u16, 2_u16), (1, 3)] {
        let out = &mut asked[usize::from(asking)];
        let first =
            out.iter().position(|o| matches!(o, Action::Send { to, .. } if *to == granting)).expect("asked");
        let first = out.remove(first);
        tier.take(asking, vec![first]);
        tier.deliver(false);
    }
    for (asking, out) in asked.into_iter().enumerate() {
        tier.take(asking as u16, out);
    }
    tier.deliver(false);
    assert_eq!(tier.holder(), None, "no duel");
    // Far less than a lease.
    tier.pass(LEASE / 2);
    assert!(tier.holder().is_some(), "they keep it from each other");
}

// Guards a holder whose electors have heard of a higher term in vain: they would never grant its own again, and one after the other
// would be lost to it.
#[test]
fn a_holder_goes_beyond_terms_that_were_asked_for_in_vain() {
    let mut tier = Tier::new(3);
    tier.pass(5000);
    let holder = tier.holder().expect("a holder");
    let before = tier.nodes[usize::from(holder)].term_to_act_under(tier.now, RoleIndex(0));
    let vain = RoleMessage {
        role_hash: 0,
        quorum: QuorumConfig::of(3),
        body: MessageBody::Reject { request: 0, highest_term: before.unwrap_or(0) + 50, remaining: 0 },
    };
    let duty = xxhash_rust::xxh3::xxh3_64(b"duty") as u32;
    let mut out = Vec::new();
    let other = (holder + 1) % 3;
    tier.nodes[usize::from(holder)].receive(
        reading(tier.now),
        other,
        &[RoleMessage { role_hash: duty, ..vain }],
        |_| true,
        &mut out,
    );
    tier.pass(2 * LEASE);
    assert_eq!(tier.holder(), Some(holder));
    assert!(
        tier.nodes[usize::from(holder)].term_to_act_under(tier.now, RoleIndex(0)) > before.map(|b| b + 50)
    );
}

#[test]
fn one_that_is_fenced_gives_up_and_goes_beyond_it() {
    let mut tier = Tier::new(3);
    tier.pass(5000);
    let holder = tier.holder().expect("a holder");
    let term = tier.nodes[usize::from(holder)].term_to_act_under(tier.now, RoleIndex(0)).expect("held");
    let mut out = Vec::new();
    tier.nodes[usize::from(holder)].fence(tier.now, RoleIndex(0), term + 1_000_000, &mut out);
    tier.take(holder, out);
    assert_eq!(tier.changes.last(), Some(&(holder, LeaseChange::Lost(term, LossReason::Fenced))));
    tier.deliver(false);
    tier.pass(2 * LEASE);
    let next = tier.holder().expect("held again");
    // Another does not know of that term; whoever was told of it goes beyond it when it is its turn.
    if next == holder {
        assert!(
            tier.nodes[usize::from(next)].term_to_act_under(tier.now, RoleIndex(0)) > Some(term + 1_000_000)
        );
    }
}

#[test]
fn words_fit_and_absurd_ones_are_none() {
    let longest = RoleMessage {
        role_hash: u32::MAX,
        quorum: QuorumConfig { schedulers: u16::MAX, joint_schedulers: u16::MAX },
        body: MessageBody::Reject { request: u32::MAX, highest_term: MAX_TERM - 1, remaining: u64::MAX },
    };
    let bytes = encode(&[longest; MAX_MESSAGES]);
    assert!(bytes.len() <= 200, "{} bytes", bytes.len());
    assert_eq!(decode(&bytes), Some(vec![longest; MAX_MESSAGES]));
    assert_eq!(decode(&encode(&[longest; MAX_MESSAGES + 1])), None);
    let absurd = RoleMessage { body: MessageBody::Request { request: 1, term: MAX_TERM }, ..longest };
    assert_eq!(decode(&encode(&[absurd])), None);
    assert_eq!(decode(b"rubbish"), None);
}

// QuorumConfig that share no set needn't have majorities that meet: nothing is granted between them, and all that share one grant.
#[test]
fn only_those_whose_majorities_meet_grant_to_each_other() {
    let (three, joint, five) =
        (QuorumConfig::of(3), QuorumConfig { schedulers: 5, joint_schedulers: 3 }, QuorumConfig::of(5));
    assert!(
        three.intersects(joint)
            && joint.intersects(three)
            && joint.intersects(five)
            && five.intersects(joint)
            && joint.intersects(joint)
    );
    assert!(!three.intersects(five) && !five.intersects(three));
    assert!(
        joint.has_majority(&[0, 1, 4]) && !joint.has_majority(&[2, 3, 4]) && !joint.has_majority(&[0, 1])
    );
    assert!(three.has_majority(&[0, 2]) && !three.has_majority(&[0, 3, 4]) && five.has_majority(&[2, 3, 4]));
}
