//! Hours of a tier in virtual time, in which members stand still, can't be heard by one another, are cut off and are killed, in turn and by
//! chance: who was counted out though it lived and could be heard, how often anybody changed its mind, and how long a death takes to be known.
//!
//!     cargo run --release -p spanlead-membership --example soak -- COUNT LOSS% HOURS SEED
#[path = "../tests/world/mod.rs"]
#[allow(dead_code)]
mod world;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_membership::MemberState;
use world::World;

/// Periods of 100 ms in a second.
const SECOND: u64 = 10;

/// What goes on, and until when.
enum Trouble {
    /// One stands still.
    Pause(usize),
    /// Pairs of which one does not hear the other.
    Deaf(Vec<(usize, usize)>),
    /// Nobody hears one.
    Mute(usize),
    /// One is killed, and comes back when all know it.
    Kill(usize),
}

#[derive(Default)]
struct Found {
    false_deaths: u64,
    suspicions: u64,
    /// Counted out and found again, by those that saw it.
    seen_out: u64,
    mutes: u64,
    pauses: u64,
    /// Periods until all see all alive again, where that took longer than is waited for in any case.
    longest: u64,
    knows: Vec<u64>,
}

fn main() {
    let args: Vec<f64> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let number = |i: usize, default: f64| args.get(i).copied().unwrap_or(default);
    let (count, loss, hours, seed) =
        (number(0, 30.0) as usize, number(1, 30.0) / 100.0, number(2, 1.0), number(3, 1.0) as u64);
    let mut world = World::new(count, loss, seed);
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x50a5);
    let bounds = world.thresholds();
    while !(0..count).all(|m| world.all_see(m, MemberState::Alive)) {
        world.period();
    }
    let mut found = Found::default();
    let periods = (hours * 3600.0) as u64 * SECOND;
    let (mut left, mut starts) = (periods, 1_000_000);
    while left > 0 {
        // Time for all to be well again lies between two troubles.
        let (trouble, span) = match rng.random_range(0..4) {
            0 => (Trouble::Pause(rng.random_range(0..count)), rng.random_range(5..=10 * SECOND)),
            1 => {
                let pair = |rng: &mut ChaCha8Rng| (rng.random_range(0..count), rng.random_range(0..count));
                (
                    Trouble::Deaf((0..count).map(|_| pair(&mut rng)).filter(|(a, b)| a != b).collect()),
                    20 * SECOND,
                )
            }
            2 => (Trouble::Mute(rng.random_range(0..count)), 10 * SECOND),
            _ => (Trouble::Kill(rng.random_range(0..count)), 20 * SECOND),
        };
        // Of whom being counted out is no mistake.
        let but = match &trouble {
            Trouble::Pause(m) => {
                found.pauses += 1;
                world.stop(*m);
                Some(*m)
            }
            Trouble::Deaf(pairs) => {
                pairs.iter().for_each(|(from, to)| world.cut(*from, *to, true));
                None
            }
            Trouble::Mute(m) => {
                found.mutes += 1;
                (0..count).filter(|to| to != m).for_each(|to| world.cut(*m, to, true));
                Some(*m)
            }
            Trouble::Kill(m) => {
                world.kill(*m);
                Some(*m)
            }
        };
        let mut known = None;
        let settle = 4 * u64::from(bounds.dead_after_periods);
        for passed in 0..span + settle {
            if passed == span {
                world.heal();
                match trouble {
                    Trouble::Pause(m) => world.wake(m),
                    Trouble::Kill(m) => {
                        starts += 1;
                        world.start(m, starts);
                    }
                    _ => {}
                }
            }
            world.period();
            if let Trouble::Kill(m) = trouble
                && passed < span
                && known.is_none()
            {
                let knowing = world.running().filter(|at| world.state(*at, m) == MemberState::Dead).count();
                known = (knowing as f64 >= 0.99 * (count - 1) as f64).then_some(passed + 1);
            }
            for (at, change) in world.changes.drain(..) {
                let of = usize::from(change.number);
                match change.to {
                    MemberState::Dead if but != Some(of) && but != Some(at) => found.false_deaths += 1,
                    MemberState::Dead => found.seen_out += 1,
                    MemberState::Suspect if but != Some(of) && but != Some(at) => found.suspicions += 1,
                    _ => {}
                }
            }
        }
        found.knows.extend(known);
        if matches!(trouble, Trouble::Kill(_)) && known.is_none() {
            println!("a death was not known within {span} periods");
        }
        // Whoever is counted out is knocked at by chance.
        let mut longer = 0;
        while !(0..count).all(|m| world.all_see(m, MemberState::Alive)) {
            world.period();
            longer += 1;
            assert!(longer < 60 * SECOND, "not well again after a trouble");
        }
        found.longest = found.longest.max(settle + longer);
        world.changes.clear();
        left = left.saturating_sub(span + settle + longer);
    }
    found.knows.sort_unstable();
    let quantile = |q: f64| {
        found.knows.get(((found.knows.len() as f64 * q) as usize).min(found.knows.len().saturating_sub(1)))
    };
    let ms = |q: f64| quantile(q).map_or(0, |p| p * 1000 / SECOND);
    println!("{count} members, {:.0}% lost, {hours} hours, seed {seed}", loss * 100.0);
    println!(
        "false deaths {}, suspicions of such as could be heard {}; {} pauses and {} mutes, {} times seen out by one",
        found.false_deaths, found.suspicions, found.pauses, found.mutes, found.seen_out
    );
    println!("{} kills, known by 99 in 100 after p50 {} p99 {} ms", found.knows.len(), ms(0.5), ms(0.99));
    println!("all well again after {} ms at the most", found.longest * 1000 / SECOND);
}
