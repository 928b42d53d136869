//! Complete tiers in virtual time, by seed: loss, cuts of one direction, suspended members and
//! observers, restarts, late datagrams.
mod common;

use common::simulated_tier::{SeenChange, SimulatedTier};
use spanlead_membership::MemberState;

/// Passes periods until the condition holds; returns how many. Fails if it does not hold within
/// `max_periods`.
fn pass_until(
    tier: &mut SimulatedTier,
    max_periods: u64,
    condition: &str,
    holds: impl Fn(&SimulatedTier) -> bool,
) -> u64 {
    for passed in 0..max_periods {
        if holds(tier) {
            return passed;
        }
        tier.pass_period();
    }
    panic!("seed {}: not within {max_periods} periods: {condition}", tier.seed);
}

/// A tier whose members have found each other.
fn settled_tier(member_count: usize, loss: f64, seed: u64) -> SimulatedTier {
    let mut tier = SimulatedTier::new(member_count, loss, seed);
    pass_until(&mut tier, 4000, "all are alive for all", SimulatedTier::all_see_all_alive);
    tier.changes.clear();
    tier
}

/// The changes to this state.
fn changes_to(tier: &SimulatedTier, state: MemberState) -> impl Iterator<Item = &SeenChange> {
    tier.changes.iter().filter(move |seen| seen.change.to == state)
}

/// No member was taken for dead except those that the test has stopped.
fn assert_no_false_death(tier: &SimulatedTier, stopped: &[usize]) {
    let is_false = |seen: &&SeenChange| !stopped.contains(&usize::from(seen.change.number));
    let false_deaths: Vec<_> = changes_to(tier, MemberState::Dead).filter(is_false).collect();
    assert!(false_deaths.is_empty(), "seed {}: {false_deaths:?}", tier.seed);
}

#[test]
fn lost_datagrams_make_no_member_dead() {
    for seed in 1..=2 {
        let mut tier = settled_tier(30, 0.3, seed);

        tier.pass_periods(800);

        assert_no_false_death(&tier, &[]);
    }
}

#[test]
fn a_killed_member_is_dead_for_all_in_time() {
    for seed in 1..=10 {
        let mut tier = settled_tier(30, 0.1, seed);
        let max_periods = 2 * u64::from(tier.thresholds().dead_after_periods);

        tier.kill(7);

        pass_until(&mut tier, max_periods, "all know", |tier| tier.all_see(7, MemberState::Dead));
        assert_no_false_death(&tier, &[7]);
    }
}

#[test]
fn a_hundred_members_find_each_other_and_a_dead_one() {
    let mut tier = settled_tier(100, 0.1, 5);
    let max_periods = 2 * u64::from(tier.thresholds().dead_after_periods);

    tier.kill(77);

    pass_until(&mut tier, max_periods, "all know", |tier| tier.all_see(77, MemberState::Dead));
    assert_no_false_death(&tier, &[77]);
}

// Member 1 does not hear member 0: what the others pass on is enough, and neither flaps.
#[test]
fn a_cut_of_one_direction_changes_nothing() {
    for seed in 1..=10 {
        let mut tier = settled_tier(5, 0.05, seed);

        tier.set_cut(0, 1, true);
        tier.pass_periods(600);

        assert_no_false_death(&tier, &[]);
        assert!(tier.changes.len() <= 2 * 2, "seed {seed}: {:?}", tier.changes);
    }
}

// Eight of thirty hear the member: its heartbeats arrive late at all others, who suspect it and
// ask. The failed probes decide, not the silence.
#[test]
fn a_member_that_few_hear_is_suspected_and_never_dead() {
    for seed in 1..=3 {
        let mut tier = settled_tier(30, 0.1, seed);

        (8..29).for_each(|to| tier.set_cut(29, to, true));
        tier.pass_periods(300);

        let is_suspected = changes_to(&tier, MemberState::Suspect).any(|seen| seen.change.number == 29);
        assert!(is_suspected, "seed {seed}: nobody suspects it, and nothing is shown");
        assert_no_false_death(&tier, &[]);
    }
}

// Nobody hears the member, though it hears all: it is dead once, and alive again when the cut
// heals.
#[test]
fn a_member_that_nobody_hears_is_dead_once_a_cut() {
    for seed in 1..=10 {
        let mut tier = settled_tier(5, 0.05, seed);
        let is_dead =
            |tier: &SimulatedTier| (1..5).all(|observer| tier.state(observer, 0) == MemberState::Dead);

        (1..5).for_each(|to| tier.set_cut(0, to, true));
        pass_until(&mut tier, 400, "it is dead for all", is_dead);
        tier.pass_periods(300);

        let deaths = changes_to(&tier, MemberState::Dead).filter(|seen| seen.change.number == 0).count();
        assert_eq!(deaths, 4, "seed {seed}: once for each of the others");
        assert_no_false_death(&tier, &[0]);
        (1..5).for_each(|to| tier.set_cut(0, to, false));
        pass_until(&mut tier, 400, "it is alive", |tier| tier.all_see(0, MemberState::Alive));
    }
}

// A suspended observer has received nothing for as long: when it goes on, it takes nobody for dead.
#[test]
fn a_suspended_member_takes_nobody_for_dead_when_it_resumes() {
    for seed in 1..=20 {
        let mut tier = settled_tier(5, 0.1, seed);
        tier.suspend(2);
        pass_until(&mut tier, 400, "it is dead for all", |tier| tier.all_see(2, MemberState::Dead));
        tier.pass_periods(300);
        tier.changes.clear();

        tier.resume(2);

        pass_until(&mut tier, 400, "it is alive", |tier| tier.all_see(2, MemberState::Alive));
        let by_it: Vec<_> = changes_to(&tier, MemberState::Dead).filter(|seen| seen.observer == 2).collect();
        assert!(by_it.is_empty(), "seed {seed}: {by_it:?}");
        assert!((0..5).all(|member| tier.state(2, member) == MemberState::Alive));
    }
}

// All are suspended together (an overload of the machine that they share) and go on: nothing has
// happened.
#[test]
fn members_that_are_suspended_together_take_nobody_for_dead() {
    let mut tier = settled_tier(5, 0.1, 3);

    (0..5).for_each(|member| tier.suspend(member));
    tier.pass_periods(500);
    (0..5).for_each(|member| tier.resume(member));
    tier.pass_periods(200);

    assert_no_false_death(&tier, &[]);
}

// A restart within the detection time: the same number, a new incarnation. Late datagrams of the
// old one change nothing, also where the new one's clock has gone back.
#[test]
fn late_datagrams_of_an_earlier_incarnation_change_nothing() {
    for (seed, clock_went_back) in (1..=20).zip([false, true].into_iter().cycle()) {
        let mut tier = settled_tier(5, 0.1, seed);
        let old = tier.incarnation(1, 3);
        tier.record_datagrams(3);
        tier.kill(3);
        tier.start(3, if clock_went_back { old - 1 } else { old + 1 });
        pass_until(&mut tier, 600, "the new incarnation is known", |tier| {
            (0..5).filter(|observer| *observer != 3).all(|observer| {
                tier.incarnation(observer, 3) > old && tier.state(observer, 3) == MemberState::Alive
            })
        });
        tier.changes.clear();

        tier.replay_datagrams();

        for _ in 0..200 {
            tier.pass_period();
            let is_new = (0..5).all(|observer| tier.incarnation(observer, 3) > old);
            assert!(is_new, "seed {seed}: the earlier incarnation is back");
        }
        assert_no_false_death(&tier, &[]);
    }
}

// A graceful shutdown is known as such at once, not by silence, and stays so whatever arrives late.
#[test]
fn a_member_that_leaves_is_never_dead() {
    for seed in 1..=20 {
        let mut tier = settled_tier(30, 0.3, seed);
        tier.record_datagrams(4);
        // The spread of an epidemic; by silence it would take the suspicion threshold at least.
        let max_periods = u64::from(tier.thresholds().dead_after_periods);

        tier.leave(4);
        pass_until(&mut tier, max_periods, "all know", |tier| tier.all_see(4, MemberState::Left));
        tier.replay_datagrams();
        tier.pass_periods(100);

        assert!(tier.all_see(4, MemberState::Left), "seed {seed}");
        let deaths = changes_to(&tier, MemberState::Dead).filter(|seen| seen.change.number == 4).count();
        assert_eq!(deaths, 0, "seed {seed}");
    }
}

// The sides of a partition take each other for dead and find each other again, also a member that
// died meanwhile and restarts.
#[test]
fn a_partition_heals() {
    for seed in 1..=10 {
        let mut tier = settled_tier(9, 0.1, seed);
        let is_first_side = |member: usize| member < 4;
        let pairs = (0..9).flat_map(|from| (0..9).map(move |to| (from, to)));
        let is_partitioned = |tier: &SimulatedTier| {
            (0..4).all(|a| {
                (4..9).all(|b| tier.state(a, b) == MemberState::Dead && tier.state(b, a) == MemberState::Dead)
            })
        };

        for (from, to) in pairs.filter(|(from, to)| is_first_side(*from) != is_first_side(*to)) {
            tier.set_cut(from, to, true);
        }
        pass_until(&mut tier, 400, "they are partitioned", is_partitioned);
        tier.kill(8);
        tier.pass_periods(200);
        tier.heal();

        pass_until(&mut tier, 400, "they are together", |tier| {
            (0..8).all(|member| tier.all_see(member, MemberState::Alive))
        });
        tier.start(8, 1_000_000);
        pass_until(&mut tier, 400, "the dead one is back", |tier| tier.all_see(8, MemberState::Alive));
    }
}
