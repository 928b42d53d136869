//! Our gossip and SWIM (the library `foca`) under the same losses, in virtual time, one tier after
//! another on all cores: false deaths, how soon a death is known, and what it costs. Figures:
//! `docs/measurements/membership.md`.
//!
//! `cargo run --release -p spanlead-membership --example compare_with_swim -- ours|foca COUNT LOSS%
//! HOURS SEEDS [PERIOD_MS]`
use foca::{
    AccumulatingRuntime, Config, Foca, Identity, OwnedNotification, PeriodicParams, PostcardCodec, Timer,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rayon::prelude::{IntoParallelIterator, ParallelIterator};
use serde::{Deserialize, Serialize};
use spanlead_membership::{
    Action, GossipMembership, LifecyclePhase, MemberState, MembershipConfig, SuspicionThresholds,
};
use std::collections::{BTreeMap, BTreeSet};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

const FANOUT: u16 = 4;
/// The loss that our thresholds tolerate.
const TOLERATED_LOSS: f64 = 0.3;
/// How long a datagram takes at the most, milliseconds.
const MAX_DELAY_MS: u64 = 30;

/// What was measured in a tier.
#[derive(Default)]
struct Report {
    false_deaths: u64,
    suspicions: u64,
    /// Milliseconds from a kill until the first, and until 99 in 100 knew of it.
    first_known_ms: Vec<u64>,
    known_ms: Vec<u64>,
    datagrams: u64,
    bytes: u64,
    seconds: f64,
}

/// A datagram that a node sends.
struct Outgoing {
    to: usize,
    bytes: Vec<u8>,
}

/// A node of either kind.
trait Node {
    /// What it does at its time; datagrams go to `send`.
    fn tick(&mut self, now: u64, send: &mut Vec<Outgoing>, report: &mut Report);
    fn receive(&mut self, now: u64, from: usize, bytes: &[u8], send: &mut Vec<Outgoing>, report: &mut Report);
    /// When it next wants to be called.
    fn next_tick_at(&self) -> u64;
    fn sees_dead(&self, member: usize) -> bool;
}

struct GossipNode {
    members: GossipMembership,
    period_ms: u64,
    /// Milliseconds.
    next_tick_at: u64,
    dead: Vec<bool>,
}

impl GossipNode {
    fn new(number: usize, count: usize, period_ms: u64, loss: f64, seed: u64) -> Self {
        let mut members = GossipMembership::new(MembershipConfig {
            own_number: number as u16,
            member_count: count as u16,
            tier_id: *b"test",
            name: format!("n{number}"),
            version: "1".into(),
            incarnation: 1,
            fanout: FANOUT,
            tolerated_loss: loss,
            seed,
        });
        members.set_phase(LifecyclePhase::Serving, &mut Vec::new());
        GossipNode {
            members,
            period_ms,
            next_tick_at: number as u64 * period_ms / count as u64,
            dead: vec![false; count],
        }
    }

    fn perform(&mut self, actions: Vec<Action>, send: &mut Vec<Outgoing>, report: &mut Report) {
        for action in actions {
            match action {
                Action::Send { to, datagram: bytes } => send.push(Outgoing { to: to.into(), bytes }),
                Action::Payload { .. } => {}
                Action::StateChanged(change) => {
                    self.dead[usize::from(change.number)] = change.to == MemberState::Dead;
                    report.suspicions += u64::from(change.to == MemberState::Suspect);
                    report.false_deaths += u64::from(change.to == MemberState::Dead);
                }
            }
        }
    }
}

impl Node for GossipNode {
    fn tick(&mut self, _: u64, send: &mut Vec<Outgoing>, report: &mut Report) {
        let mut actions = Vec::new();
        self.members.tick(&mut actions);
        self.next_tick_at += self.period_ms;
        self.perform(actions, send, report);
    }

    fn receive(&mut self, _: u64, from: usize, bytes: &[u8], send: &mut Vec<Outgoing>, report: &mut Report) {
        let mut actions = Vec::new();
        self.members.receive(from as u16, bytes, &mut actions);
        self.perform(actions, send, report);
    }

    fn next_tick_at(&self) -> u64 {
        self.next_tick_at
    }

    fn sees_dead(&self, member: usize) -> bool {
        self.dead[member]
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SwimId {
    number: u16,
    start: u32,
}

impl Identity for SwimId {
    type Addr = u16;
    fn renew(&self) -> Option<Self> {
        Some(SwimId { start: self.start + 1, ..*self })
    }
    fn addr(&self) -> u16 {
        self.number
    }
    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.start > other.start
    }
}

struct SwimNode {
    foca: Foca<SwimId, PostcardCodec, rand_10::rngs::StdRng, foca::NoCustomBroadcast>,
    runtime: AccumulatingRuntime<SwimId>,
    timers: Vec<(u64, Timer<SwimId>)>,
    dead: Vec<bool>,
}

impl SwimNode {
    /// As quick as the aim wants: a death is to be known within two seconds.
    fn new(number: usize, count: usize, period: u64, seed: u64) -> Self {
        let one = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let every =
            |ms, n| Some(PeriodicParams { frequency: Duration::from_millis(ms), num_members: one(n) });
        let config = Config {
            probe_period: Duration::from_millis(2 * period),
            probe_rtt: Duration::from_millis(period / 2 + 2 * MAX_DELAY_MS.min(period / 4)),
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
        let id = SwimId { number: number as u16, start: 0 };
        let mut swim = SwimNode {
            foca: Foca::new(id, config, rand_10::SeedableRng::seed_from_u64(seed), PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: Vec::new(),
            dead: vec![false; count],
        };
        let other = SwimId { number: ((number + 1) % count) as u16, start: 0 };
        let _ = swim.foca.announce(other, &mut swim.runtime);
        swim
    }

    fn perform(&mut self, now: u64, send: &mut Vec<Outgoing>, report: &mut Report) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            send.push(Outgoing { to: to.number.into(), bytes: bytes.to_vec() });
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timers.push((now + after.as_millis() as u64, timer));
        }
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(id) => self.dead[usize::from(id.number)] = false,
                OwnedNotification::MemberDown(id) => {
                    self.dead[usize::from(id.number)] = true;
                    report.false_deaths += 1;
                }
                _ => {}
            }
        }
    }
}

impl Node for SwimNode {
    fn tick(&mut self, now: u64, send: &mut Vec<Outgoing>, report: &mut Report) {
        self.perform(now, send, report);
        while let Some(at) = self.timers.iter().position(|(at, _)| *at <= now) {
            let (_, timer) = self.timers.swap_remove(at);
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
        }
        self.perform(now, send, report);
    }

    fn receive(&mut self, now: u64, _: usize, bytes: &[u8], send: &mut Vec<Outgoing>, report: &mut Report) {
        let _ = self.foca.handle_data(bytes, &mut self.runtime);
        self.perform(now, send, report);
    }

    fn next_tick_at(&self) -> u64 {
        self.timers.iter().map(|(at, _)| *at).min().unwrap_or(0)
    }

    fn sees_dead(&self, member: usize) -> bool {
        self.dead[member]
    }
}

/// Milliseconds.
const MINUTE_MS: f64 = 60_000.0;
/// The time between the end of one death's detection and the next kill.
const PAUSE_BETWEEN_KILLS_MS: u64 = 1000;
/// The least time in which the members must have found each other.
const MIN_SETTLE_MS: u64 = 20_000;
/// A death that is not known after this many settle times is given up.
const MAX_DETECTION_SETTLE_TIMES: u64 = 20;
/// The share of the live members that must know of a death.
const KNOWING_SHARE: f64 = 0.99;

/// What a trial is played with.
#[derive(Clone, Copy)]
struct TrialParams {
    loss: f64,
    /// How long the tier is observed without a death.
    quiet_minutes: f64,
    kills: usize,
    settle_ms: u64,
    seed: u64,
}

/// A datagram under way.
struct InFlight {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// A kill whose detection is awaited.
struct PendingKill {
    member: usize,
    killed_at: u64,
    first_known_after: Option<u64>,
}

/// A tier that is played for some minutes without a death; then members are killed one by one, each
/// with time for the others to know.
struct Trial {
    params: TrialParams,
    nodes: Vec<Box<dyn Node>>,
    is_alive: Vec<bool>,
    rng: ChaCha8Rng,
    /// Milliseconds.
    now: u64,
    /// Datagrams by the time of their arrival and their number.
    in_flight: BTreeMap<(u64, u64), InFlight>,
    datagrams_sent: u64,
    /// The nodes by the time of their next tick.
    ticks: BTreeSet<(u64, usize)>,
    report: Report,
}

impl Trial {
    fn new(nodes: Vec<Box<dyn Node>>, params: TrialParams) -> Self {
        Trial {
            params,
            is_alive: vec![true; nodes.len()],
            rng: ChaCha8Rng::seed_from_u64(params.seed),
            now: 0,
            in_flight: BTreeMap::new(),
            datagrams_sent: 0,
            ticks: nodes.iter().enumerate().map(|(n, node)| (node.next_tick_at(), n)).collect(),
            report: Report::default(),
            nodes,
        }
    }

    /// The time of the next arrival or tick.
    fn next_event_at(&self) -> Option<u64> {
        let arrival = self.in_flight.first_key_value().map(|((at, _), _)| *at);
        let tick = self.ticks.first().map(|(at, _)| *at);
        arrival.into_iter().chain(tick).min()
    }

    /// Plays the arrival or tick of this time.
    fn play_event(&mut self, at: u64) {
        self.now = at;
        let mut outgoing = Vec::new();
        let is_arrival = self.in_flight.first_key_value().is_some_and(|((arrival, _), _)| *arrival == at);
        let sender =
            if is_arrival { self.play_arrival(&mut outgoing) } else { self.play_tick(&mut outgoing) };
        if let Some(sender) = sender {
            self.send(sender, outgoing);
        }
    }

    fn play_arrival(&mut self, outgoing: &mut Vec<Outgoing>) -> Option<usize> {
        let (_, InFlight { from, to, bytes }) = self.in_flight.pop_first()?;
        if self.is_alive[to] {
            self.nodes[to].receive(self.now, from, &bytes, outgoing, &mut self.report);
        }
        Some(to)
    }

    fn play_tick(&mut self, outgoing: &mut Vec<Outgoing>) -> Option<usize> {
        let (_, node) = self.ticks.pop_first()?;
        if self.is_alive[node] {
            self.nodes[node].tick(self.now, outgoing, &mut self.report);
            self.ticks.insert((self.nodes[node].next_tick_at().max(self.now + 1), node));
        }
        Some(node)
    }

    fn send(&mut self, from: usize, outgoing: Vec<Outgoing>) {
        for Outgoing { to, bytes } in outgoing {
            self.report.datagrams += 1;
            self.report.bytes += bytes.len() as u64;
            if !self.rng.random_bool(self.params.loss) {
                self.datagrams_sent += 1;
                let arrival = self.now + self.rng.random_range(1..=MAX_DELAY_MS);
                self.in_flight.insert((arrival, self.datagrams_sent), InFlight { from, to, bytes });
            }
        }
    }

    /// Kills a random member; `None` if it was dead before.
    fn kill(&mut self) -> Option<PendingKill> {
        let member = self.rng.random_range(0..self.nodes.len());
        let was_alive = std::mem::replace(&mut self.is_alive[member], false);
        was_alive.then_some(PendingKill { member, killed_at: self.now, first_known_after: None })
    }

    /// Whether enough members know of the death, or it is given up.
    fn is_detected(&self, kill: &mut PendingKill) -> bool {
        let knows = |n: &usize| self.is_alive[*n] && self.nodes[*n].sees_dead(kill.member);
        let knowing = (0..self.nodes.len()).filter(knows).count();
        let live = self.is_alive.iter().filter(|is_alive| **is_alive).count();
        if knowing > 0 && kill.first_known_after.is_none() {
            kill.first_known_after = Some(self.now - kill.killed_at);
        }
        let given_up_at = kill.killed_at + MAX_DETECTION_SETTLE_TIMES * self.params.settle_ms;
        knowing as f64 >= KNOWING_SHARE * live as f64 || self.now > given_up_at
    }

    /// Plays the quiet time; returns what was measured in it.
    fn play_quiet_time(&mut self) -> Option<Report> {
        let settled_at = self.params.settle_ms;
        let quiet_until = settled_at + (self.params.quiet_minutes * MINUTE_MS) as u64;
        while self.now < quiet_until {
            let next = self.next_event_at()?;
            if self.now <= settled_at && next > settled_at {
                // What happened while they found each other does not count.
                self.report = Report::default();
            }
            self.play_event(next);
        }
        Some(Report { seconds: self.params.quiet_minutes * 60.0, ..std::mem::take(&mut self.report) })
    }

    /// Plays the quiet time and the kills.
    fn play(mut self) -> Report {
        let Some(mut measured) = self.play_quiet_time() else { return Report::default() };
        let mut kills_left = self.params.kills;
        let mut pause_until = 0;
        let mut pending: Option<PendingKill> = None;
        loop {
            match pending.take() {
                None if kills_left == 0 => break,
                None if self.now >= pause_until => {
                    kills_left -= 1;
                    pending = self.kill();
                }
                None => {}
                Some(mut kill) => {
                    if self.is_detected(&mut kill) {
                        measured.first_known_ms.extend(kill.first_known_after);
                        measured.known_ms.push(self.now - kill.killed_at);
                        pause_until = self.now + PAUSE_BETWEEN_KILLS_MS;
                    } else {
                        pending = Some(kill);
                    }
                }
            }
            let Some(next) = self.next_event_at() else { break };
            self.play_event(next);
        }
        measured
    }
}

/// The measurements of all trials of one kind.
struct Summary {
    member_count: usize,
    reports: Vec<Report>,
}

impl Summary {
    fn sum(&self, figure: fn(&Report) -> u64) -> u64 {
        self.reports.iter().map(figure).sum()
    }

    fn seconds(&self) -> f64 {
        self.reports.iter().map(|report| report.seconds).sum()
    }

    /// All times of a kind, sorted.
    fn times(&self, times: fn(&Report) -> &Vec<u64>) -> Vec<u64> {
        let mut all: Vec<u64> = self.reports.iter().flat_map(times).copied().collect();
        all.sort_unstable();
        all
    }

    fn print(&self) {
        let members = self.member_count as f64;
        let seconds = self.seconds();
        let false_deaths = self.sum(|report| report.false_deaths);
        println!(
            "false deaths {false_deaths} ({:.4} a member-hour), suspicions {}",
            false_deaths as f64 / (members * seconds / 3600.0),
            self.sum(|report| report.suspicions)
        );
        println!(
            "a member: {:.1} datagrams and {:.0} bytes a second",
            self.sum(|report| report.datagrams) as f64 / seconds / members,
            self.sum(|report| report.bytes) as f64 / seconds / members
        );
        let first_known = self.times(|report| &report.first_known_ms);
        let known = self.times(|report| &report.known_ms);
        println!(
            "{} deaths: first knows after p50 {} p99 {} ms, 99 in 100 after p50 {} p99 {} ms",
            known.len(),
            quantile(&first_known, 0.5),
            quantile(&first_known, 0.99),
            quantile(&known, 0.5),
            quantile(&known, 0.99)
        );
    }
}

/// A quantile of sorted times.
fn quantile(sorted: &[u64], quantile: f64) -> u64 {
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument =
        |i: usize, default: f64| arguments.get(i).and_then(|text| text.parse().ok()).unwrap_or(default);
    let kind = arguments.first().map_or("ours", String::as_str).to_owned();
    let member_count = argument(1, 30.0) as usize;
    let loss = argument(2, 30.0) / 100.0;
    let hours = argument(3, 1.0);
    let seeds = argument(4, 4.0) as u64;
    let period_ms = argument(5, 100.0) as u64;
    let thresholds = SuspicionThresholds::for_tier(member_count as u16, FANOUT, TOLERATED_LOSS);
    let (suspect, dead) = (thresholds.suspect_after_periods, thresholds.dead_after_periods);
    println!(
        "{kind}, {member_count} members, {:.0}% lost, {hours} hours in {seeds} seeds, period {period_ms} ms",
        100.0 * loss
    );
    println!("ours suspects after {suspect} and declares dead after {dead} periods");
    let play_trial = |seed: u64| {
        let new_node = |number: usize| -> Box<dyn Node> {
            let node_seed = seed * 1000 + number as u64;
            match kind.as_str() {
                "foca" => Box::new(SwimNode::new(number, member_count, period_ms, node_seed)),
                _ => Box::new(GossipNode::new(number, member_count, period_ms, TOLERATED_LOSS, node_seed)),
            }
        };
        let params = TrialParams {
            loss,
            quiet_minutes: hours * 60.0 / seeds as f64,
            kills: (member_count / 3).clamp(1, 20),
            settle_ms: MIN_SETTLE_MS.max(period_ms * u64::from(dead) * 2),
            seed,
        };
        Trial::new((0..member_count).map(new_node).collect(), params).play()
    };
    let reports = (1..=seeds).into_par_iter().map(play_trial).collect();
    Summary { member_count, reports }.print();
}
