//! Compares this crate's gossip protocol with SWIM (the library `foca`) under the same datagram
//! loss, in virtual time: false deaths, detection time of deaths, and traffic. The trials run in
//! parallel on all cores. Results: `docs/measurements/membership.md`.
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

/// The number of members to which a node sends heartbeats in each period.
const FANOUT: u16 = 4;
/// The datagram loss that the thresholds of the gossip protocol tolerate.
const TOLERATED_LOSS: f64 = 0.3;
/// The maximum delay of a datagram, milliseconds.
const MAX_DELAY_MS: u64 = 30;

/// The measurements of a trial.
#[derive(Default)]
struct Measurements {
    false_deaths: u64,
    /// Number of suspicions of the gossip protocol; 0 for SWIM, which does not report them.
    suspicions: u64,
    /// The times from a kill until the first member detected it, milliseconds.
    first_detection_ms: Vec<u64>,
    /// The times from a kill until 99 in 100 live members had detected it or the detection timed
    /// out, milliseconds.
    detection_ms: Vec<u64>,
    datagrams: u64,
    bytes: u64,
    /// The duration of the phase without kills, seconds.
    seconds: f64,
}

/// A datagram that a node sends.
struct OutgoingDatagram {
    to: usize,
    bytes: Vec<u8>,
}

/// A node of either protocol.
trait Node {
    /// Performs the work that is due at `now`, and adds the datagrams to send to `outgoing`.
    fn tick(&mut self, now: u64, outgoing: &mut Vec<OutgoingDatagram>, measurements: &mut Measurements);
    fn receive(
        &mut self,
        now: u64,
        from: usize,
        bytes: &[u8],
        outgoing: &mut Vec<OutgoingDatagram>,
        measurements: &mut Measurements,
    );
    /// The time of the next tick, milliseconds.
    fn next_tick_at(&self) -> u64;
    /// Whether a member is dead in this node's view.
    fn sees_dead(&self, member: usize) -> bool;
}

/// A node of this crate's gossip protocol.
struct GossipNode {
    members: GossipMembership,
    period_ms: u64,
    /// The time of the next tick, milliseconds.
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

    fn apply_actions(
        &mut self,
        actions: Vec<Action>,
        outgoing: &mut Vec<OutgoingDatagram>,
        measurements: &mut Measurements,
    ) {
        for action in actions {
            match action {
                Action::Send { to, datagram: bytes } => {
                    outgoing.push(OutgoingDatagram { to: to.into(), bytes });
                }
                Action::Payload { .. } => {}
                Action::StateChanged(change) => {
                    self.dead[usize::from(change.number)] = change.to == MemberState::Dead;
                    measurements.suspicions += u64::from(change.to == MemberState::Suspect);
                    measurements.false_deaths += u64::from(change.to == MemberState::Dead);
                }
            }
        }
    }
}

impl Node for GossipNode {
    fn tick(&mut self, _: u64, outgoing: &mut Vec<OutgoingDatagram>, measurements: &mut Measurements) {
        let mut actions = Vec::new();
        self.members.tick(&mut actions);
        self.next_tick_at += self.period_ms;
        self.apply_actions(actions, outgoing, measurements);
    }

    fn receive(
        &mut self,
        _: u64,
        from: usize,
        bytes: &[u8],
        outgoing: &mut Vec<OutgoingDatagram>,
        measurements: &mut Measurements,
    ) {
        let mut actions = Vec::new();
        self.members.receive(from as u16, bytes, &mut actions);
        self.apply_actions(actions, outgoing, measurements);
    }

    fn next_tick_at(&self) -> u64 {
        self.next_tick_at
    }

    fn sees_dead(&self, member: usize) -> bool {
        self.dead[member]
    }
}

/// The identity of a SWIM node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SwimId {
    number: u16,
    /// The incarnation, incremented by each renewal of the identity.
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

/// A node of SWIM.
struct SwimNode {
    foca: Foca<SwimId, PostcardCodec, rand_10::rngs::StdRng, foca::NoCustomBroadcast>,
    runtime: AccumulatingRuntime<SwimId>,
    /// The timers with their times, milliseconds.
    timers: Vec<(u64, Timer<SwimId>)>,
    dead: Vec<bool>,
}

impl SwimNode {
    /// Creates a node with a configuration fast enough for the target of detecting a death within
    /// two seconds. `period` is in milliseconds.
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

    fn apply_actions(
        &mut self,
        now: u64,
        outgoing: &mut Vec<OutgoingDatagram>,
        measurements: &mut Measurements,
    ) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            outgoing.push(OutgoingDatagram { to: to.number.into(), bytes: bytes.to_vec() });
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timers.push((now + after.as_millis() as u64, timer));
        }
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(id) => self.dead[usize::from(id.number)] = false,
                OwnedNotification::MemberDown(id) => {
                    self.dead[usize::from(id.number)] = true;
                    measurements.false_deaths += 1;
                }
                _ => {}
            }
        }
    }
}

impl Node for SwimNode {
    fn tick(&mut self, now: u64, outgoing: &mut Vec<OutgoingDatagram>, measurements: &mut Measurements) {
        self.apply_actions(now, outgoing, measurements);
        while let Some(at) = self.timers.iter().position(|(at, _)| *at <= now) {
            let (_, timer) = self.timers.swap_remove(at);
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
        }
        self.apply_actions(now, outgoing, measurements);
    }

    fn receive(
        &mut self,
        now: u64,
        _: usize,
        bytes: &[u8],
        outgoing: &mut Vec<OutgoingDatagram>,
        measurements: &mut Measurements,
    ) {
        let _ = self.foca.handle_data(bytes, &mut self.runtime);
        self.apply_actions(now, outgoing, measurements);
    }

    fn next_tick_at(&self) -> u64 {
        self.timers.iter().map(|(at, _)| *at).min().unwrap_or(0)
    }

    fn sees_dead(&self, member: usize) -> bool {
        self.dead[member]
    }
}

/// The length of a minute, milliseconds.
const MINUTE_MS: f64 = 60_000.0;
/// The time between the detection of a death and the next kill, milliseconds.
const PAUSE_BETWEEN_KILLS_MS: u64 = 1000;
/// The minimum time that the members have to discover one another, milliseconds.
const MIN_SETTLE_MS: u64 = 20_000;
/// The timeout for the detection of a death, in settle times.
const MAX_DETECTION_SETTLE_TIMES: u64 = 20;
/// The share of the live members that must see a killed member dead for its death to count as
/// detected.
const DETECTED_SHARE: f64 = 0.99;

/// The parameters of a trial.
#[derive(Clone, Copy)]
struct TrialParams {
    /// The share of lost datagrams, 0 to 1.
    loss: f64,
    /// The duration of the phase without kills, minutes.
    failure_free_minutes: f64,
    kills: usize,
    /// The time that the members have to discover one another, milliseconds.
    settle_ms: u64,
    seed: u64,
}

/// A datagram in flight.
struct InFlightDatagram {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// A kill that is not detected yet.
struct PendingKill {
    member: usize,
    /// Milliseconds.
    killed_at: u64,
    /// The time from the kill until the first member detected it, milliseconds.
    first_detected_after: Option<u64>,
}

/// A simulation of a tier: it first runs for some minutes without kills; then members are killed
/// one by one, each after the detection of the kill before.
struct Trial {
    params: TrialParams,
    nodes: Vec<Box<dyn Node>>,
    is_alive: Vec<bool>,
    rng: ChaCha8Rng,
    /// The current time, milliseconds.
    now: u64,
    /// The datagrams by time of arrival and sequence number.
    in_flight: BTreeMap<(u64, u64), InFlightDatagram>,
    datagrams_sent: u64,
    /// The times of the next ticks, with their nodes.
    ticks: BTreeSet<(u64, usize)>,
    measurements: Measurements,
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
            measurements: Measurements::default(),
            nodes,
        }
    }

    /// The time of the next arrival or tick, milliseconds.
    fn next_event_at(&self) -> Option<u64> {
        let arrival = self.in_flight.first_key_value().map(|((at, _), _)| *at);
        let tick = self.ticks.first().map(|(at, _)| *at);
        arrival.into_iter().chain(tick).min()
    }

    /// Processes the next arrival or tick, which is due at the time `at`.
    fn process_event(&mut self, at: u64) {
        self.now = at;
        let mut outgoing = Vec::new();
        let is_arrival = self.in_flight.first_key_value().is_some_and(|((arrival, _), _)| *arrival == at);
        let sender =
            if is_arrival { self.process_arrival(&mut outgoing) } else { self.process_tick(&mut outgoing) };
        if let Some(sender) = sender {
            self.send(sender, outgoing);
        }
    }

    fn process_arrival(&mut self, outgoing: &mut Vec<OutgoingDatagram>) -> Option<usize> {
        let (_, InFlightDatagram { from, to, bytes }) = self.in_flight.pop_first()?;
        if self.is_alive[to] {
            self.nodes[to].receive(self.now, from, &bytes, outgoing, &mut self.measurements);
        }
        Some(to)
    }

    fn process_tick(&mut self, outgoing: &mut Vec<OutgoingDatagram>) -> Option<usize> {
        let (_, node) = self.ticks.pop_first()?;
        if self.is_alive[node] {
            self.nodes[node].tick(self.now, outgoing, &mut self.measurements);
            self.ticks.insert((self.nodes[node].next_tick_at().max(self.now + 1), node));
        }
        Some(node)
    }

    fn send(&mut self, from: usize, outgoing: Vec<OutgoingDatagram>) {
        for OutgoingDatagram { to, bytes } in outgoing {
            self.measurements.datagrams += 1;
            self.measurements.bytes += bytes.len() as u64;
            if !self.rng.random_bool(self.params.loss) {
                self.datagrams_sent += 1;
                let arrival = self.now + self.rng.random_range(1..=MAX_DELAY_MS);
                self.in_flight.insert((arrival, self.datagrams_sent), InFlightDatagram { from, to, bytes });
            }
        }
    }

    /// Kills a random member. Returns `None` if it had already been killed.
    fn kill(&mut self) -> Option<PendingKill> {
        let member = self.rng.random_range(0..self.nodes.len());
        let was_alive = std::mem::replace(&mut self.is_alive[member], false);
        was_alive.then_some(PendingKill { member, killed_at: self.now, first_detected_after: None })
    }

    /// Whether enough members have detected the death, or the detection timed out. Sets the time of
    /// the first detection.
    fn is_detected(&self, kill: &mut PendingKill) -> bool {
        let is_aware = |n: &usize| self.is_alive[*n] && self.nodes[*n].sees_dead(kill.member);
        let aware = (0..self.nodes.len()).filter(is_aware).count();
        let live = self.is_alive.iter().filter(|is_alive| **is_alive).count();
        if aware > 0 && kill.first_detected_after.is_none() {
            kill.first_detected_after = Some(self.now - kill.killed_at);
        }
        let timeout_at = kill.killed_at + MAX_DETECTION_SETTLE_TIMES * self.params.settle_ms;
        aware as f64 >= DETECTED_SHARE * live as f64 || self.now > timeout_at
    }

    /// Runs the phase without kills, and returns its measurements.
    fn run_failure_free_phase(&mut self) -> Option<Measurements> {
        let settled_at = self.params.settle_ms;
        let failure_free_until = settled_at + (self.params.failure_free_minutes * MINUTE_MS) as u64;
        while self.now < failure_free_until {
            let next = self.next_event_at()?;
            if self.now <= settled_at && next > settled_at {
                // Discards the measurements of the time of mutual discovery.
                self.measurements = Measurements::default();
            }
            self.process_event(next);
        }
        Some(Measurements {
            seconds: self.params.failure_free_minutes * 60.0,
            ..std::mem::take(&mut self.measurements)
        })
    }

    /// Runs the phase without kills and then the kills, and returns the measurements of both.
    fn run(mut self) -> Measurements {
        let Some(mut measured) = self.run_failure_free_phase() else { return Measurements::default() };
        let mut kills_left = self.params.kills;
        let mut next_kill_at = 0;
        let mut pending: Option<PendingKill> = None;
        loop {
            match pending.take() {
                None if kills_left == 0 => break,
                None if self.now >= next_kill_at => {
                    kills_left -= 1;
                    pending = self.kill();
                }
                None => {}
                Some(mut kill) => {
                    if self.is_detected(&mut kill) {
                        measured.first_detection_ms.extend(kill.first_detected_after);
                        measured.detection_ms.push(self.now - kill.killed_at);
                        next_kill_at = self.now + PAUSE_BETWEEN_KILLS_MS;
                    } else {
                        pending = Some(kill);
                    }
                }
            }
            let Some(next) = self.next_event_at() else { break };
            self.process_event(next);
        }
        measured
    }
}

/// The measurements of all trials.
struct Summary {
    member_count: usize,
    trials: Vec<Measurements>,
}

impl Summary {
    fn sum(&self, counter: fn(&Measurements) -> u64) -> u64 {
        self.trials.iter().map(counter).sum()
    }

    /// The total duration of the phases without kills, seconds.
    fn seconds(&self) -> f64 {
        self.trials.iter().map(|measurements| measurements.seconds).sum()
    }

    /// The times of all trials, sorted.
    fn times(&self, times: fn(&Measurements) -> &Vec<u64>) -> Vec<u64> {
        let mut all: Vec<u64> = self.trials.iter().flat_map(times).copied().collect();
        all.sort_unstable();
        all
    }

    fn print(&self) {
        let members = self.member_count as f64;
        let seconds = self.seconds();
        let false_deaths = self.sum(|measurements| measurements.false_deaths);
        println!(
            "false deaths {false_deaths} ({:.4} per member-hour), suspicions {}",
            false_deaths as f64 / (members * seconds / 3600.0),
            self.sum(|measurements| measurements.suspicions)
        );
        println!(
            "per member: {:.1} datagrams and {:.0} bytes a second",
            self.sum(|measurements| measurements.datagrams) as f64 / seconds / members,
            self.sum(|measurements| measurements.bytes) as f64 / seconds / members
        );
        let first_detection = self.times(|measurements| &measurements.first_detection_ms);
        let detection = self.times(|measurements| &measurements.detection_ms);
        println!(
            "{} deaths: detected by the first member after p50 {} p99 {} ms, by 99 in 100 after p50 {} p99 {} ms",
            detection.len(),
            quantile(&first_detection, 0.5),
            quantile(&first_detection, 0.99),
            quantile(&detection, 0.5),
            quantile(&detection, 0.99)
        );
    }
}

/// A quantile of sorted times; 0 if there are none.
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
        "{kind}, {member_count} members, {:.0}% loss, {hours} hours over {seeds} seeds, period {period_ms} ms",
        100.0 * loss
    );
    println!("ours suspects a member after {suspect} periods and declares it dead after {dead}");
    let run_trial = |seed: u64| {
        let new_node = |number: usize| -> Box<dyn Node> {
            let node_seed = seed * 1000 + number as u64;
            match kind.as_str() {
                "foca" => Box::new(SwimNode::new(number, member_count, period_ms, node_seed)),
                _ => Box::new(GossipNode::new(number, member_count, period_ms, TOLERATED_LOSS, node_seed)),
            }
        };
        let params = TrialParams {
            loss,
            failure_free_minutes: hours * 60.0 / seeds as f64,
            kills: (member_count / 3).clamp(1, 20),
            settle_ms: MIN_SETTLE_MS.max(period_ms * u64::from(dead) * 2),
            seed,
        };
        Trial::new((0..member_count).map(new_node).collect(), params).run()
    };
    let trials = (1..=seeds).into_par_iter().map(run_trial).collect();
    Summary { member_count, trials }.print();
}
