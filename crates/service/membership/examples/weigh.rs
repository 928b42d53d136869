//! Ours and SWIM (the library `foca`) under the same losses, in virtual time, one tier after another on all cores: false deaths,
//! how soon a death is known, and what it costs. Figures: `docs/measurements/membership.md`.
//!
//! `cargo run --release -p spanlead-membership --example weigh -- ours|foca COUNT LOSS% HOURS SEEDS [PERIOD_MS]`
use foca::{
    AccumulatingRuntime, Config, Foca, Identity, OwnedNotification, PeriodicParams, PostcardCodec, Timer,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use spanlead_membership::{
    Action, GossipMembership, LifecyclePhase, MemberState, MembershipConfig, SuspicionThresholds,
};
use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

const FANOUT: u16 = 4;
/// How long a datagram takes at the most, milliseconds.
const DELAY: u64 = 30;

/// What came of a tier.
#[derive(Default)]
struct Found {
    false_deaths: u64,
    suspicions: u64,
    /// Milliseconds from a kill until the first, and until 99 in 100 knew of it.
    first: Vec<u64>,
    most: Vec<u64>,
    datagrams: u64,
    bytes: u64,
    seconds: f64,
}

/// A node of either kind.
trait Node {
    /// What it does at its time; datagrams go to `send`.
    fn tick(&mut self, now: u64, send: &mut Vec<(usize, Vec<u8>)>, found: &mut Found);
    fn hear(
        &mut self,
        now: u64,
        from: usize,
        bytes: &[u8],
        send: &mut Vec<(usize, Vec<u8>)>,
        found: &mut Found,
    );
    /// When it next wants to be called.
    fn next(&self) -> u64;
    fn dead(&self, whom: usize) -> bool;
}

struct Ours {
    members: GossipMembership,
    every: u64,
    at: u64,
    dead: Vec<bool>,
}

impl Ours {
    fn new(me: usize, count: usize, every: u64, loss: f64, seed: u64) -> Self {
        let mut members = GossipMembership::new(MembershipConfig {
            own_number: me as u16,
            member_count: count as u16,
            tier_id: *b"test",
            name: format!("n{me}"),
            version: "1".into(),
            incarnation: 1,
            fanout: FANOUT,
            tolerated_loss: loss,
            seed,
        });
        members.set_phase(LifecyclePhase::Serving, &mut Vec::new());
        Ours { members, every, at: me as u64 * every / count as u64, dead: vec![false; count] }
    }

    fn carry(&mut self, out: Vec<Action>, send: &mut Vec<(usize, Vec<u8>)>, found: &mut Found) {
        for out in out {
            match out {
                Action::Send { to, datagram: bytes } => send.push((to.into(), bytes)),
                Action::Payload { .. } => {}
                Action::StateChanged(c) => {
                    self.dead[usize::from(c.number)] = c.to == MemberState::Dead;
                    found.suspicions += u64::from(c.to == MemberState::Suspect);
                    found.false_deaths += u64::from(c.to == MemberState::Dead);
                }
            }
        }
    }
}

impl Node for Ours {
    fn tick(&mut self, _: u64, send: &mut Vec<(usize, Vec<u8>)>, found: &mut Found) {
        let mut out = Vec::new();
        self.members.tick(&mut out);
        self.at += self.every;
        self.carry(out, send, found);
    }

    fn hear(
        &mut self,
        _: u64,
        from: usize,
        bytes: &[u8],
        send: &mut Vec<(usize, Vec<u8>)>,
        found: &mut Found,
    ) {
        let mut out = Vec::new();
        self.members.receive(from as u16, bytes, &mut out);
        self.carry(out, send, found);
    }

    fn next(&self) -> u64 {
        self.at
    }

    fn dead(&self, whom: usize) -> bool {
        self.dead[whom]
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Id {
    number: u16,
    start: u32,
}

impl Identity for Id {
    type Addr = u16;
    fn renew(&self) -> Option<Self> {
        Some(Id { start: self.start + 1, ..*self })
    }
    fn addr(&self) -> u16 {
        self.number
    }
    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.start > other.start
    }
}

struct Swim {
    foca: Foca<Id, PostcardCodec, rand_10::rngs::StdRng, foca::NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Id>,
    timers: Vec<(u64, Timer<Id>)>,
    dead: Vec<bool>,
}

impl Swim {
    /// As quick as the aim wants: a death is to be known within two seconds.
    fn new(me: usize, count: usize, period: u64, seed: u64) -> Self {
        let one = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let every =
            |ms, n| Some(PeriodicParams { frequency: Duration::from_millis(ms), num_members: one(n) });
        let config = Config {
            probe_period: Duration::from_millis(2 * period),
            probe_rtt: Duration::from_millis(period / 2 + 2 * DELAY.min(period / 4)),
            num_indirect_probes: one(3),
            max_transmissions: NonZeroU8::new(15).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: Duration::from_millis(10 * period),
            max_packet_size: one(256),
            notify_down_members: true,
            periodic_announce: every(30 * period, 1),
            periodic_announce_to_down_members: every(10 * period, 1),
            periodic_gossip: every(period, usize::from(FANOUT)),
            ..Config::simple()
        };
        let id = Id { number: me as u16, start: 0 };
        let mut swim = Swim {
            foca: Foca::new(id, config, rand_10::SeedableRng::seed_from_u64(seed), PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: Vec::new(),
            dead: vec![false; count],
        };
        let other = Id { number: ((me + 1) % count) as u16, start: 0 };
        let _ = swim.foca.announce(other, &mut swim.runtime);
        swim
    }

    fn carry(&mut self, now: u64, send: &mut Vec<(usize, Vec<u8>)>, found: &mut Found) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            send.push((to.number.into(), bytes.to_vec()));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timers.push((now + after.as_millis() as u64, timer));
        }
        while let Some(note) = self.runtime.to_notify() {
            match note {
                OwnedNotification::MemberUp(id) => self.dead[usize::from(id.number)] = false,
                OwnedNotification::MemberDown(id) => {
                    self.dead[usize::from(id.number)] = true;
                    found.false_deaths += 1;
                }
                _ => {}
            }
        }
    }
}

impl Node for Swim {
    fn tick(&mut self, now: u64, send: &mut Vec<(usize, Vec<u8>)>, found: &mut Found) {
        self.carry(now, send, found);
        while let Some(at) = self.timers.iter().position(|(at, _)| *at <= now) {
            let (_, timer) = self.timers.swap_remove(at);
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
        }
        self.carry(now, send, found);
    }

    fn hear(
        &mut self,
        now: u64,
        _: usize,
        bytes: &[u8],
        send: &mut Vec<(usize, Vec<u8>)>,
        found: &mut Found,
    ) {
        let _ = self.foca.handle_data(bytes, &mut self.runtime);
        self.carry(now, send, found);
    }

    fn next(&self) -> u64 {
        self.timers.iter().map(|(at, _)| *at).min().unwrap_or(0)
    }

    fn dead(&self, whom: usize) -> bool {
        self.dead[whom]
    }
}

/// Plays a tier for some minutes without a death; then kills members one by one, each with time for the others to know.
fn tier(
    mut nodes: Vec<Box<dyn Node>>,
    loss: f64,
    minutes: f64,
    kills: usize,
    patience: u64,
    seed: u64,
) -> Found {
    let count = nodes.len();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut under_way: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)> = BTreeMap::new();
    let mut due: BTreeMap<(u64, usize), ()> = (0..count).map(|n| ((nodes[n].next(), n), ())).collect();
    let (mut found, mut serial, mut now) = (Found::default(), 0_u64, 0);
    let mut alive = vec![true; count];
    let settled = patience;
    let end = settled + (minutes * 60_000.0) as u64;
    let (mut killed, mut killed_at, mut first, mut quiet) = (None::<usize>, 0, None, 0_u64);
    let mut counted = Found::default();
    let mut left = kills;
    loop {
        let arrival = under_way.first_key_value().map(|((at, _), _)| *at);
        let tick = due.first_key_value().map(|((at, _), ())| *at);
        let Some(next) = arrival.into_iter().chain(tick).min() else { break };
        if now <= settled && next > settled {
            // What happened while they found each other doesn't count.
            found = Found::default();
        }
        now = next;
        let mut send = Vec::new();
        let from = if arrival == Some(next) {
            let Some((_, (from, to, bytes))) = under_way.pop_first() else { break };
            if alive[to] {
                nodes[to].hear(now, from, &bytes, &mut send, &mut found);
            }
            to
        } else {
            let Some(((_, n), ())) = due.pop_first() else { break };
            if alive[n] {
                nodes[n].tick(now, &mut send, &mut found);
                due.insert((nodes[n].next().max(now + 1), n), ());
            }
            n
        };
        for (to, bytes) in send {
            found.datagrams += 1;
            found.bytes += bytes.len() as u64;
            if !rng.random_bool(loss) {
                serial += 1;
                under_way.insert((now + rng.random_range(1..=DELAY), serial), (from, to, bytes));
            }
        }
        if now < end {
            continue;
        }
        if counted.seconds == 0.0 {
            // The quiet time is over.
            counted = std::mem::take(&mut found);
            counted.seconds = minutes * 60.0;
        }
        match killed {
            None if left == 0 => break,
            None if now >= quiet => {
                left -= 1;
                let whom = rng.random_range(0..count);
                if alive[whom] {
                    (alive[whom], killed, killed_at, first) = (false, Some(whom), now, None);
                }
            }
            None => {}
            Some(whom) => {
                let know = (0..count).filter(|n| alive[*n] && nodes[*n].dead(whom)).count();
                let living = alive.iter().filter(|a| **a).count();
                if know > 0 && first.is_none() {
                    first = Some(now - killed_at);
                }
                if know as f64 >= 0.99 * living as f64 || now > killed_at + 20 * patience {
                    counted.first.extend(first);
                    counted.most.push(now - killed_at);
                    (killed, quiet) = (None, now + 1000);
                }
            }
        }
    }
    counted
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |i: usize, default: f64| args.get(i).and_then(|a| a.parse().ok()).unwrap_or(default);
    let kind = args.first().map_or("ours", String::as_str).to_owned();
    let (count, loss, hours) = (number(1, 30.0) as usize, number(2, 30.0) / 100.0, number(3, 1.0));
    let (seeds, period) = (number(4, 4.0) as u64, number(5, 100.0) as u64);
    let bounds = SuspicionThresholds::for_tier(count as u16, FANOUT, 0.3);
    println!(
        "{kind}, {count} members, {:.0}% lost, {hours} hours in {seeds} seeds, period {period} ms",
        100.0 * loss
    );
    println!(
        "ours suspects after {} and counts out after {} periods",
        bounds.suspect_after_periods, bounds.dead_after_periods
    );
    let kills = (count / 3).clamp(1, 20);
    let patience = 20_000_u64.max(period * u64::from(bounds.dead_after_periods) * 2);
    let all: Vec<Found> = (1..=seeds)
        .into_par_iter()
        .map(|seed| {
            let node = |me: usize| -> Box<dyn Node> {
                let own = seed * 1000 + me as u64;
                match kind.as_str() {
                    "foca" => Box::new(Swim::new(me, count, period, own)),
                    _ => Box::new(Ours::new(me, count, period, 0.3, own)),
                }
            };
            tier((0..count).map(node).collect(), loss, hours * 60.0 / seeds as f64, kills, patience, seed)
        })
        .collect();
    let sum = |f: fn(&Found) -> u64| all.iter().map(f).sum::<u64>();
    let quantile = |mut v: Vec<u64>, q: f64| {
        v.sort_unstable();
        v.get(((v.len() as f64 * q) as usize).min(v.len().saturating_sub(1))).copied().unwrap_or(0)
    };
    let seconds: f64 = all.iter().map(|f| f.seconds).sum();
    let first: Vec<u64> = all.iter().flat_map(|f| f.first.clone()).collect();
    let most: Vec<u64> = all.iter().flat_map(|f| f.most.clone()).collect();
    println!(
        "false deaths {} ({:.4} a member-hour), suspicions {}",
        sum(|f| f.false_deaths),
        sum(|f| f.false_deaths) as f64 / (count as f64 * seconds / 3600.0),
        sum(|f| f.suspicions)
    );
    println!(
        "a member: {:.1} datagrams and {:.0} bytes a second",
        sum(|f| f.datagrams) as f64 / seconds / count as f64,
        sum(|f| f.bytes) as f64 / seconds / count as f64
    );
    println!(
        "{} deaths: first knows after p50 {} p99 {} ms, 99 in 100 after p50 {} p99 {} ms",
        most.len(),
        quantile(first.clone(), 0.5),
        quantile(first, 0.99),
        quantile(most.clone(), 0.5),
        quantile(most, 0.99)
    );
}
