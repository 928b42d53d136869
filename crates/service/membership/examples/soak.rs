//! Hours of a tier in virtual time, in which members are suspended, can't hear one another, are
//! partitioned and are killed, in turn and at random: who was taken for dead though it lived and
//! could be heard, how often a member was suspected, and how long a death takes to be known.
//!
//!     cargo run --release -p spanlead-membership --example soak -- COUNT LOSS% HOURS SEED
#[path = "../tests/common/simulated_tier.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod simulated_tier;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simulated_tier::SimulatedTier;
use spanlead_membership::MemberState;

/// Periods of 100 ms in a second.
const PERIODS_PER_SECOND: u64 = 10;
const MILLISECONDS_PER_PERIOD: u64 = 1000 / PERIODS_PER_SECOND;
/// The incarnation of the first member that is restarted; later ones have later incarnations.
const FIRST_RESTART_INCARNATION: u32 = 1_000_000;
/// Distinguishes the choice of faults from the tier's own randomness.
const FAULT_SEED_MASK: u64 = 0x50a5;
/// The share of the others that must know of a death.
const KNOWING_SHARE: f64 = 0.99;
/// The longest time until all are alive for all again.
const MAX_RECOVERY_PERIODS: u64 = 60 * PERIODS_PER_SECOND;

/// A fault that lasts for some periods.
enum Fault {
    /// A member is suspended.
    Suspended(usize),
    /// Pairs of which the second does not hear the first.
    Deaf(Vec<(usize, usize)>),
    /// Nobody hears a member.
    Mute(usize),
    /// A member is killed, and restarts at the end.
    Killed(usize),
}

impl Fault {
    /// A random fault, and for how many periods it lasts.
    fn random(rng: &mut ChaCha8Rng, member_count: usize) -> (Self, u64) {
        match rng.random_range(0..4) {
            0 => {
                let fault = Fault::Suspended(rng.random_range(0..member_count));
                (fault, rng.random_range(5..=10 * PERIODS_PER_SECOND))
            }
            1 => {
                let pairs = (0..member_count)
                    .map(|_| (rng.random_range(0..member_count), rng.random_range(0..member_count)));
                (Fault::Deaf(pairs.filter(|(from, to)| from != to).collect()), 20 * PERIODS_PER_SECOND)
            }
            2 => (Fault::Mute(rng.random_range(0..member_count)), 10 * PERIODS_PER_SECOND),
            _ => (Fault::Killed(rng.random_range(0..member_count)), 20 * PERIODS_PER_SECOND),
        }
    }

    /// The member that may be taken for dead without a mistake.
    fn excused_member(&self) -> Option<usize> {
        match self {
            Fault::Suspended(member) | Fault::Mute(member) | Fault::Killed(member) => Some(*member),
            Fault::Deaf(_) => None,
        }
    }

    fn begin(&self, tier: &mut SimulatedTier, member_count: usize) {
        match self {
            Fault::Suspended(member) => tier.suspend(*member),
            Fault::Deaf(pairs) => pairs.iter().for_each(|(from, to)| tier.set_cut(*from, *to, true)),
            Fault::Mute(member) => {
                let others = (0..member_count).filter(|to| to != member);
                others.for_each(|to| tier.set_cut(*member, to, true));
            }
            Fault::Killed(member) => tier.kill(*member),
        }
    }

    fn end(&self, tier: &mut SimulatedTier, restart_incarnation: u32) {
        tier.heal();
        match self {
            Fault::Suspended(member) => tier.resume(*member),
            Fault::Killed(member) => tier.start(*member, restart_incarnation),
            Fault::Deaf(_) | Fault::Mute(_) => {}
        }
    }
}

#[derive(Default)]
struct Report {
    false_deaths: u64,
    /// Suspicions of members that could be heard.
    suspicions: u64,
    /// Members taken for dead that could not be heard, once for each observer.
    excused_deaths: u64,
    mutes: u64,
    suspensions: u64,
    /// The longest time until all were alive for all again, periods.
    longest_recovery: u64,
    /// How long it took until 99 in 100 knew of a death, periods.
    detection_periods: Vec<u64>,
}

struct Soak {
    tier: SimulatedTier,
    member_count: usize,
    report: Report,
}

impl Soak {
    /// Plays a fault and the time after it; returns the periods that passed.
    fn play(&mut self, fault: &Fault, duration: u64, restart_incarnation: u32) -> u64 {
        self.report.suspensions += u64::from(matches!(fault, Fault::Suspended(_)));
        self.report.mutes += u64::from(matches!(fault, Fault::Mute(_)));
        let settle_periods = 4 * u64::from(self.tier.thresholds().dead_after_periods);
        fault.begin(&mut self.tier, self.member_count);
        let mut detected_after = None;
        for passed in 0..duration + settle_periods {
            if passed == duration {
                fault.end(&mut self.tier, restart_incarnation);
            }
            self.tier.pass_period();
            if passed < duration && detected_after.is_none() && self.is_death_known(fault) {
                detected_after = Some(passed + 1);
            }
            self.count_changes(fault.excused_member());
        }
        self.report.detection_periods.extend(detected_after);
        if matches!(fault, Fault::Killed(_)) && detected_after.is_none() {
            println!("a death was not known within {duration} periods");
        }
        let recovery_periods = self.recover();
        self.report.longest_recovery = self.report.longest_recovery.max(settle_periods + recovery_periods);
        duration + settle_periods + recovery_periods
    }

    fn is_death_known(&self, fault: &Fault) -> bool {
        let Fault::Killed(member) = fault else { return false };
        let knows = |observer: &usize| self.tier.state(*observer, *member) == MemberState::Dead;
        let knowing = self.tier.running().filter(knows).count();
        knowing as f64 >= KNOWING_SHARE * (self.member_count - 1) as f64
    }

    fn count_changes(&mut self, excused_member: Option<usize>) {
        for seen in self.tier.changes.drain(..) {
            let member = usize::from(seen.change.number);
            let is_excused = excused_member == Some(member) || excused_member == Some(seen.observer);
            match seen.change.to {
                MemberState::Dead if is_excused => self.report.excused_deaths += 1,
                MemberState::Dead => self.report.false_deaths += 1,
                MemberState::Suspect if !is_excused => self.report.suspicions += 1,
                _ => {}
            }
        }
    }

    /// Passes periods until all are alive for all: whoever is taken for dead is contacted at
    /// random.
    fn recover(&mut self) -> u64 {
        let mut periods = 0;
        while !self.tier.all_see_all_alive() {
            self.tier.pass_period();
            periods += 1;
            assert!(periods < MAX_RECOVERY_PERIODS, "not recovered after a fault");
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
            "false deaths {}, suspicions of members that could be heard {}; {} suspensions and {} mutes, \
             taken for dead {} times by one observer",
            self.false_deaths, self.suspicions, self.suspensions, self.mutes, self.excused_deaths
        );
        let (kills, p50, p99) =
            (self.detection_periods.len(), self.detection_ms(0.5), self.detection_ms(0.99));
        println!("{kills} kills, known by 99 in 100 after p50 {p50} p99 {p99} ms");
        println!("all alive again after {} ms at the most", self.longest_recovery * MILLISECONDS_PER_PERIOD);
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
        soak.tier.pass_period();
    }
    let mut periods_left = (hours * 3600.0) as u64 * PERIODS_PER_SECOND;
    let mut restart_incarnation = FIRST_RESTART_INCARNATION;
    while periods_left > 0 {
        let (fault, duration) = Fault::random(&mut rng, member_count);
        restart_incarnation += u32::from(matches!(fault, Fault::Killed(_)));
        let passed = soak.play(&fault, duration, restart_incarnation);
        periods_left = periods_left.saturating_sub(passed);
    }
    println!("{member_count} members, {:.0}% lost, {hours} hours, seed {seed}", loss * 100.0);
    soak.report.print();
}
