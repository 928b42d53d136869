//! A soak test of a simulated tier: hours of virtual time with one random fault after another.
//! Members are suspended, links are blocked, members cannot send, and members are killed. Reports
//! the deaths declared of members that were alive and reachable, the suspicions, and the detection
//! time of deaths.
//!
//!     cargo run --release -p spanlead-membership --example soak -- COUNT LOSS% HOURS SEED
#[path = "../tests/common/simulated_tier.rs"]
#[allow(dead_code, reason = "the tests use the other items")]
mod simulated_tier;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simulated_tier::SimulatedTier;
use spanlead_membership::MemberState;

/// The number of periods in a second: a period is 100 ms.
const PERIODS_PER_SECOND: u64 = 10;
/// The length of a period.
const MILLISECONDS_PER_PERIOD: u64 = 1000 / PERIODS_PER_SECOND;
/// The lower bound of the incarnations of restarted members, which increase with each restart.
const FIRST_RESTART_INCARNATION: u32 = 1_000_000;
/// Derives the seed for the choice of faults from the seed of the tier, so that the two differ.
const FAULT_SEED_MASK: u64 = 0x50a5;
/// The share of the other members that must see a killed member dead for its death to count as
/// detected.
const DETECTED_SHARE: f64 = 0.99;
/// The maximum time after a fault until all members see one another alive again.
const MAX_RECOVERY_PERIODS: u64 = 60 * PERIODS_PER_SECOND;

/// A fault that lasts for some periods.
enum Fault {
    /// A member's process is suspended.
    Suspended(usize),
    /// Links are blocked, each given by sender and receiver.
    BlockedLinks(Vec<(usize, usize)>),
    /// All links from a member are blocked.
    OutboundBlocked(usize),
    /// A member is killed, and restarts at the end of the fault.
    Killed(usize),
}

impl Fault {
    /// Draws a random fault and its duration, periods.
    fn random(rng: &mut ChaCha8Rng, member_count: usize) -> (Self, u64) {
        match rng.random_range(0..4) {
            0 => {
                let fault = Fault::Suspended(rng.random_range(0..member_count));
                (fault, rng.random_range(5..=10 * PERIODS_PER_SECOND))
            }
            1 => {
                let pairs = (0..member_count)
                    .map(|_| (rng.random_range(0..member_count), rng.random_range(0..member_count)));
                (
                    Fault::BlockedLinks(pairs.filter(|(from, to)| from != to).collect()),
                    20 * PERIODS_PER_SECOND,
                )
            }
            2 => (Fault::OutboundBlocked(rng.random_range(0..member_count)), 10 * PERIODS_PER_SECOND),
            _ => (Fault::Killed(rng.random_range(0..member_count)), 20 * PERIODS_PER_SECOND),
        }
    }

    /// The member that may rightly be declared dead during the fault.
    fn expected_dead_member(&self) -> Option<usize> {
        match self {
            Fault::Suspended(member) | Fault::OutboundBlocked(member) | Fault::Killed(member) => {
                Some(*member)
            }
            Fault::BlockedLinks(_) => None,
        }
    }

    /// Begins the fault.
    fn inject(&self, tier: &mut SimulatedTier, member_count: usize) {
        match self {
            Fault::Suspended(member) => tier.suspend(*member),
            Fault::BlockedLinks(pairs) => {
                pairs.iter().for_each(|(from, to)| tier.set_link_blocked(*from, *to, true));
            }
            Fault::OutboundBlocked(member) => {
                let others = (0..member_count).filter(|to| to != member);
                others.for_each(|to| tier.set_link_blocked(*member, to, true));
            }
            Fault::Killed(member) => tier.kill(*member),
        }
    }

    /// Ends the fault.
    fn repair(&self, tier: &mut SimulatedTier, restart_incarnation: u32) {
        tier.heal();
        match self {
            Fault::Suspended(member) => tier.resume(*member),
            Fault::Killed(member) => tier.start(*member, restart_incarnation),
            Fault::BlockedLinks(_) | Fault::OutboundBlocked(_) => {}
        }
    }
}

/// The measurements of a soak test.
#[derive(Default)]
struct Report {
    /// Number of declared deaths of members that were alive and reachable, once per observer.
    false_deaths: u64,
    /// Number of suspicions of members that were alive and reachable, once per observer.
    suspicions: u64,
    /// Number of declared deaths that involve the member with the fault, as member or as observer.
    expected_deaths: u64,
    outbound_blocks: u64,
    suspensions: u64,
    /// The maximum time after a fault until all members saw one another alive again, periods. It
    /// includes the fixed settle time after each fault, even if they did so earlier.
    longest_recovery: u64,
    /// The times until 99 in 100 other members had detected a death, periods.
    detection_periods: Vec<u64>,
}

struct Soak {
    tier: SimulatedTier,
    member_count: usize,
    report: Report,
}

impl Soak {
    /// Runs a fault and the recovery from it. Returns the number of periods that passed.
    fn run_fault(&mut self, fault: &Fault, duration: u64, restart_incarnation: u32) -> u64 {
        self.report.suspensions += u64::from(matches!(fault, Fault::Suspended(_)));
        self.report.outbound_blocks += u64::from(matches!(fault, Fault::OutboundBlocked(_)));
        let settle_periods = 4 * u64::from(self.tier.thresholds().dead_after_periods);
        fault.inject(&mut self.tier, self.member_count);
        let mut detected_after = None;
        for passed in 0..duration + settle_periods {
            if passed == duration {
                fault.repair(&mut self.tier, restart_incarnation);
            }
            self.tier.run_period();
            if passed < duration && detected_after.is_none() && self.is_death_detected(fault) {
                detected_after = Some(passed + 1);
            }
            self.count_changes(fault.expected_dead_member());
        }
        self.report.detection_periods.extend(detected_after);
        if matches!(fault, Fault::Killed(_)) && detected_after.is_none() {
            println!("a death was not detected within {duration} periods");
        }
        let recovery_periods = self.recover();
        self.report.longest_recovery = self.report.longest_recovery.max(settle_periods + recovery_periods);
        duration + settle_periods + recovery_periods
    }

    /// Whether the fault is a kill that enough other members have detected.
    fn is_death_detected(&self, fault: &Fault) -> bool {
        let Fault::Killed(member) = fault else { return false };
        let is_aware = |observer: &usize| self.tier.state(*observer, *member) == MemberState::Dead;
        let aware = self.tier.running().filter(is_aware).count();
        aware as f64 >= DETECTED_SHARE * (self.member_count - 1) as f64
    }

    /// Adds the observed changes to the report, and discards them.
    fn count_changes(&mut self, expected_dead_member: Option<usize>) {
        for observed in self.tier.changes.drain(..) {
            let member = usize::from(observed.change.number);
            let is_expected =
                expected_dead_member == Some(member) || expected_dead_member == Some(observed.observer);
            match observed.change.to {
                MemberState::Dead if is_expected => self.report.expected_deaths += 1,
                MemberState::Dead => self.report.false_deaths += 1,
                MemberState::Suspect if !is_expected => self.report.suspicions += 1,
                _ => {}
            }
        }
    }

    /// Runs periods until all members see one another alive, which takes random contacts with
    /// members that are seen dead. Returns the number of periods.
    fn recover(&mut self) -> u64 {
        let mut periods = 0;
        while !self.tier.all_see_all_alive() {
            self.tier.run_period();
            periods += 1;
            assert!(
                periods < MAX_RECOVERY_PERIODS,
                "all members must see one another alive within {MAX_RECOVERY_PERIODS} periods after a fault"
            );
        }
        self.tier.changes.clear();
        periods
    }
}

impl Report {
    /// A quantile of the detection time, milliseconds.
    fn detection_ms(&self, quantile: f64) -> u64 {
        let last = self.detection_periods.len().saturating_sub(1);
        let index = (self.detection_periods.len() as f64 * quantile) as usize;
        self.detection_periods.get(index.min(last)).map_or(0, |periods| periods * MILLISECONDS_PER_PERIOD)
    }

    fn print(&mut self) {
        self.detection_periods.sort_unstable();
        println!(
            "false deaths {}, suspicions of reachable members {}; {} suspensions and {} blocked senders; \
             {} declared deaths by or of a member with a fault, once per observer",
            self.false_deaths, self.suspicions, self.suspensions, self.outbound_blocks, self.expected_deaths
        );
        let (detected, p50, p99) =
            (self.detection_periods.len(), self.detection_ms(0.5), self.detection_ms(0.99));
        println!("{detected} detected kills, by 99 in 100 after p50 {p50} p99 {p99} ms");
        println!("recovered from each fault within {} ms", self.longest_recovery * MILLISECONDS_PER_PERIOD);
    }
}

fn main() {
    let arguments: Vec<f64> = std::env::args().skip(1).filter_map(|argument| argument.parse().ok()).collect();
    let argument = |i: usize, default: f64| arguments.get(i).copied().unwrap_or(default);
    let member_count = argument(0, 30.0) as usize;
    let loss = argument(1, 30.0) / 100.0;
    let hours = argument(2, 1.0);
    let seed = argument(3, 1.0) as u64;
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ FAULT_SEED_MASK);
    let tier = SimulatedTier::new(member_count, loss, seed);
    let mut soak = Soak { tier, member_count, report: Report::default() };
    while !soak.tier.all_see_all_alive() {
        soak.tier.run_period();
    }
    let mut periods_left = (hours * 3600.0) as u64 * PERIODS_PER_SECOND;
    let mut restart_incarnation = FIRST_RESTART_INCARNATION;
    while periods_left > 0 {
        let (fault, duration) = Fault::random(&mut rng, member_count);
        restart_incarnation += u32::from(matches!(fault, Fault::Killed(_)));
        let passed = soak.run_fault(&fault, duration, restart_incarnation);
        periods_left = periods_left.saturating_sub(passed);
    }
    println!("{member_count} members, {:.0}% loss, {hours} hours, seed {seed}", loss * 100.0);
    soak.report.print();
}
