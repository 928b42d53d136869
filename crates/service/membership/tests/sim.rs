//! Whole tiers in virtual time, by seed: loss, cuts of one direction, stops of the observed and of observers, restarts, late
//! datagrams. What must never happen is looked at after every period.
mod world;
use spanlead_membership::MemberState;
use world::World;

/// Plays until it holds; a tier that doesn't come to it within `periods` fails.
fn until(world: &mut World, periods: u64, what: &str, holds: impl Fn(&World) -> bool) -> u64 {
    for passed in 0..periods {
        if holds(world) {
            return passed;
        }
        world.period();
    }
    panic!("seed {}: not within {periods} periods: {what}", world.seed);
}

fn settled(count: usize, loss: f64, seed: u64) -> World {
    let mut world = World::new(count, loss, seed);
    let all = move |w: &World| (0..count).all(|m| w.all_see(m, MemberState::Alive));
    until(&mut world, 4000, "all see all", all);
    world.changes.clear();
    world
}

/// Nobody was taken for dead, or left, that this test did not stop.
fn nobody_accused(world: &World, but: &[usize]) {
    let accused: Vec<_> = (world.changes.iter())
        .filter(|(_, c)| c.to == MemberState::Dead && !but.contains(&usize::from(c.number)))
        .collect();
    assert!(accused.is_empty(), "seed {}: {accused:?}", world.seed);
}

#[test]
fn nobody_dies_of_lost_datagrams() {
    for seed in 1..=2 {
        let mut world = settled(30, 0.3, seed);
        for _ in 0..800 {
            world.period();
        }
        nobody_accused(&world, &[]);
    }
}

#[test]
fn a_killed_one_is_known_by_all() {
    for seed in 1..=10 {
        let mut world = settled(30, 0.1, seed);
        world.kill(7);
        let bound = 2 * u64::from(world.thresholds().dead_after_periods);
        until(&mut world, bound, "all know", |w| w.all_see(7, MemberState::Dead));
        nobody_accused(&world, &[7]);
    }
}

#[test]
fn a_hundred_find_each_other_and_a_dead_one() {
    let mut world = settled(100, 0.1, 5);
    world.kill(77);
    let bound = 2 * u64::from(world.thresholds().dead_after_periods);
    until(&mut world, bound, "all know", |w| w.all_see(77, MemberState::Dead));
    nobody_accused(&world, &[77]);
}

// A hears B and B doesn't hear A: what the others pass on bears it, and neither flaps.
#[test]
fn a_cut_of_one_direction_changes_nothing() {
    for seed in 1..=10 {
        let mut world = settled(5, 0.05, seed);
        world.cut(0, 1, true);
        for _ in 0..600 {
            world.period();
        }
        nobody_accused(&world, &[]);
        assert!(world.changes.len() <= 2 * 2, "seed {seed}: {:?}", world.changes);
    }
}

// Eight of thirty hear it: its heartbeats come late to all others, who suspect it and ask. The questions decide, not the silence.
#[test]
fn one_that_few_hear_is_asked_about_and_lives() {
    for seed in 1..=3 {
        let mut world = settled(30, 0.1, seed);
        (8..29).for_each(|to| world.cut(29, to, true));
        for _ in 0..300 {
            world.period();
        }
        let suspected = world.changes.iter().any(|(_, c)| c.number == 29 && c.to == MemberState::Suspect);
        assert!(suspected, "seed {seed}: nobody suspects it, and nothing is shown");
        nobody_accused(&world, &[]);
    }
}

// One that nobody hears, though it hears all: it is counted out once, and found again when the cut heals.
#[test]
fn one_that_is_not_heard_changes_state_once_a_cut() {
    for seed in 1..=10 {
        let mut world = settled(5, 0.05, seed);
        (1..5).for_each(|to| world.cut(0, to, true));
        until(&mut world, 400, "counted out", |w| (1..5).all(|at| w.state(at, 0) == MemberState::Dead));
        for _ in 0..300 {
            world.period();
        }
        let dead = world.changes.iter().filter(|(_, c)| c.number == 0 && c.to == MemberState::Dead).count();
        assert_eq!(dead, 4, "seed {seed}: once for each of the others");
        nobody_accused(&world, &[0]);
        (1..5).for_each(|to| world.cut(0, to, false));
        until(&mut world, 400, "found again", |w| w.all_see(0, MemberState::Alive));
    }
}

// An observer that was stopped has heard nothing for as long: when it wakes, it accuses nobody.
#[test]
fn one_that_was_stopped_accuses_nobody_when_it_wakes() {
    for seed in 1..=20 {
        let mut world = settled(5, 0.1, seed);
        world.stop(2);
        until(&mut world, 400, "it is taken for dead", |w| w.all_see(2, MemberState::Dead));
        for _ in 0..300 {
            world.period();
        }
        world.changes.clear();
        world.wake(2);
        until(&mut world, 400, "it is back", |w| w.all_see(2, MemberState::Alive));
        let by_it: Vec<_> =
            world.changes.iter().filter(|(at, c)| *at == 2 && c.to == MemberState::Dead).collect();
        assert!(by_it.is_empty(), "seed {seed}: {by_it:?}");
        assert!((0..5).all(|m| world.state(2, m) == MemberState::Alive));
    }
}

// All of them stop together (a storm on the machine that they share) and go on: nothing has happened.
#[test]
fn all_stopped_together_accuse_nobody() {
    let mut world = settled(5, 0.1, 3);
    (0..5).for_each(|m| world.stop(m));
    for _ in 0..500 {
        world.period();
    }
    (0..5).for_each(|m| world.wake(m));
    for _ in 0..200 {
        world.period();
    }
    nobody_accused(&world, &[]);
}

// A restart within the detection time: the same number, a new start; datagrams of the old one that come late change nothing, also
// where the new one's clock has gone back.
#[test]
fn a_restart_leaves_no_ghost() {
    for (seed, back) in (1..=20).zip([false, true].into_iter().cycle()) {
        let mut world = settled(5, 0.1, seed);
        let old = world.incarnation(1, 3);
        world.record_late(3);
        world.kill(3);
        world.start(3, if back { old - 1 } else { old + 1 });
        until(&mut world, 600, "the new start is known", |w| {
            (0..5)
                .filter(|at| *at != 3)
                .all(|at| w.incarnation(at, 3) > old && w.state(at, 3) == MemberState::Alive)
        });
        world.changes.clear();
        world.play_late();
        for _ in 0..200 {
            world.period();
            assert!((0..5).all(|at| world.incarnation(at, 3) > old), "seed {seed}: a ghost");
        }
        nobody_accused(&world, &[]);
    }
}

// An orderly end is known as such at once, not by silence, and stays so whatever comes late.
#[test]
fn one_that_leaves_is_never_suspected() {
    for seed in 1..=20 {
        let mut world = settled(30, 0.3, seed);
        world.record_late(4);
        world.leave(4);
        // The spread of an epidemic; silence would take the bound of suspicion at least.
        let bound = u64::from(world.thresholds().dead_after_periods);
        until(&mut world, bound, "all know", |w| w.all_see(4, MemberState::Left));
        world.play_late();
        for _ in 0..100 {
            world.period();
        }
        assert!(world.all_see(4, MemberState::Left), "seed {seed}");
        let wrong = world.changes.iter().filter(|(_, c)| c.number == 4 && c.to == MemberState::Dead).count();
        assert_eq!(wrong, 0, "seed {seed}");
    }
}

// The sides of a partition count each other out and find each other again, the ones that died meanwhile too when they restart.
#[test]
fn a_partition_heals() {
    for seed in 1..=10 {
        let mut world = settled(9, 0.1, seed);
        let sides = |m: usize| m < 4;
        for (a, b) in (0..9).flat_map(|a| (0..9).map(move |b| (a, b))).filter(|(a, b)| sides(*a) != sides(*b))
        {
            world.cut(a, b, true);
        }
        let apart = |w: &World| {
            (0..4).all(|a| {
                (4..9).all(|b| w.state(a, b) == MemberState::Dead && w.state(b, a) == MemberState::Dead)
            })
        };
        until(&mut world, 400, "they are apart", apart);
        world.kill(8);
        for _ in 0..200 {
            world.period();
        }
        world.heal();
        until(&mut world, 400, "they are together", |w| (0..8).all(|m| w.all_see(m, MemberState::Alive)));
        world.start(8, 1_000_000);
        until(&mut world, 400, "the dead one is back", |w| w.all_see(8, MemberState::Alive));
    }
}
