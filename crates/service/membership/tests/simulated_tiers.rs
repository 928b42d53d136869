//! Simulated tiers in virtual time, with fixed seeds: datagram loss, links blocked in one
//! direction, suspended members and observers, restarts, and replayed datagrams.
mod common;

use common::simulated_tier::{ObservedChange, SimulatedTier};
use spanlead_membership::MemberState;

/// Runs periods until the condition holds, and returns their number. Panics if it does not hold
/// within `max_periods`.
fn run_until(
    tier: &mut SimulatedTier,
    max_periods: u64,
    condition: &str,
    holds: impl Fn(&SimulatedTier) -> bool,
) -> u64 {
    for passed in 0..max_periods {
        if holds(tier) {
            return passed;
        }
        tier.run_period();
    }
    panic!("seed {}: condition not reached within {max_periods} periods: {condition}", tier.seed);
}

/// Creates a tier and runs it until all members see one another alive.
fn settled_tier(member_count: usize, loss: f64, seed: u64) -> SimulatedTier {
    let mut tier = SimulatedTier::new(member_count, loss, seed);
    run_until(&mut tier, 4000, "all members see one another alive", SimulatedTier::all_see_all_alive);
    tier.changes.clear();
    tier
}

/// The observed changes to a state.
fn changes_to(tier: &SimulatedTier, state: MemberState) -> impl Iterator<Item = &ObservedChange> {
    tier.changes.iter().filter(move |observed| observed.change.to == state)
}

/// Asserts that no member was declared dead except those that the test has stopped.
fn assert_no_false_death(tier: &SimulatedTier, stopped: &[usize]) {
    let is_false = |observed: &&ObservedChange| !stopped.contains(&usize::from(observed.change.number));
    let false_deaths: Vec<_> = changes_to(tier, MemberState::Dead).filter(is_false).collect();
    assert!(false_deaths.is_empty(), "seed {}: live members declared dead: {false_deaths:?}", tier.seed);
}

#[test]
fn datagram_loss_within_the_tolerance_makes_no_member_dead() {
    for seed in 1..=2 {
        let mut tier = settled_tier(30, 0.3, seed);

        tier.run_periods(800);

        assert_no_false_death(&tier, &[]);
    }
}

#[test]
fn a_killed_member_is_dead_in_every_view_within_twice_the_threshold() {
    for seed in 1..=10 {
        let mut tier = settled_tier(30, 0.1, seed);
        let max_periods = 2 * u64::from(tier.thresholds().dead_after_periods);

        tier.kill(7);

        run_until(&mut tier, max_periods, "all see the member dead", |tier| {
            tier.all_see(7, MemberState::Dead)
        });
        assert_no_false_death(&tier, &[7]);
    }
}

#[test]
fn a_hundred_members_discover_one_another_and_detect_a_death() {
    let mut tier = settled_tier(100, 0.1, 5);
    let max_periods = 2 * u64::from(tier.thresholds().dead_after_periods);

    tier.kill(77);

    run_until(&mut tier, max_periods, "all see the member dead", |tier| tier.all_see(77, MemberState::Dead));
    assert_no_false_death(&tier, &[77]);
}

// Member 1 receives nothing from member 0 directly. The heartbeats that the others pass on are
// enough, and no state flaps.
#[test]
fn a_link_blocked_in_one_direction_makes_no_member_dead_or_flap() {
    for seed in 1..=10 {
        let mut tier = settled_tier(5, 0.05, seed);

        tier.set_link_blocked(0, 1, true);
        tier.run_periods(600);

        assert_no_false_death(&tier, &[]);
        assert!(
            tier.changes.len() <= 2 * 2,
            "seed {seed}: expected at most 4 state changes, found {:?}",
            tier.changes
        );
    }
}

// Eight of thirty members receive from this member. All others get its heartbeats late, suspect it
// and probe it. A member must be declared dead by failed probes, not by the age of its heartbeat.
#[test]
fn a_member_that_only_some_receive_from_is_suspected_but_never_dead() {
    for seed in 1..=3 {
        let mut tier = settled_tier(30, 0.1, seed);

        (8..29).for_each(|to| tier.set_link_blocked(29, to, true));
        tier.run_periods(300);

        let is_suspected =
            changes_to(&tier, MemberState::Suspect).any(|observed| observed.change.number == 29);
        assert!(is_suspected, "seed {seed}: the test requires that some member suspects member 29");
        assert_no_false_death(&tier, &[]);
    }
}

// No member receives from this member, although it receives from all: it is declared dead once, and
// is alive again after the links are unblocked.
#[test]
fn a_member_that_nobody_receives_from_is_dead_once_until_the_links_are_unblocked() {
    for seed in 1..=10 {
        let mut tier = settled_tier(5, 0.05, seed);
        let is_dead =
            |tier: &SimulatedTier| (1..5).all(|observer| tier.state(observer, 0) == MemberState::Dead);

        (1..5).for_each(|to| tier.set_link_blocked(0, to, true));
        run_until(&mut tier, 400, "all others see the member dead", is_dead);
        tier.run_periods(300);

        let deaths =
            changes_to(&tier, MemberState::Dead).filter(|observed| observed.change.number == 0).count();
        assert_eq!(deaths, 4, "seed {seed}: each of the four others must declare it dead once");
        assert_no_false_death(&tier, &[0]);
        (1..5).for_each(|to| tier.set_link_blocked(0, to, false));
        run_until(&mut tier, 400, "all others see the member alive", |tier| {
            tier.all_see(0, MemberState::Alive)
        });
    }
}

// A suspended observer receives nothing during the suspension, and must not take this for the death
// of the others when it resumes.
#[test]
fn a_resumed_member_declares_nobody_dead() {
    for seed in 1..=20 {
        let mut tier = settled_tier(5, 0.1, seed);
        tier.suspend(2);
        run_until(&mut tier, 400, "all others see the member dead", |tier| {
            tier.all_see(2, MemberState::Dead)
        });
        tier.run_periods(300);
        tier.changes.clear();

        tier.resume(2);

        run_until(&mut tier, 400, "all others see the member alive", |tier| {
            tier.all_see(2, MemberState::Alive)
        });
        let declared_by_it: Vec<_> =
            changes_to(&tier, MemberState::Dead).filter(|observed| observed.observer == 2).collect();
        assert!(declared_by_it.is_empty(), "seed {seed}: {declared_by_it:?}");
        assert!((0..5).all(|member| tier.state(2, member) == MemberState::Alive));
    }
}

// All members are suspended together, as by an overload of a machine that they share.
#[test]
fn members_suspended_together_declare_nobody_dead_when_they_resume() {
    let mut tier = settled_tier(5, 0.1, 3);

    (0..5).for_each(|member| tier.suspend(member));
    tier.run_periods(500);
    (0..5).for_each(|member| tier.resume(member));
    tier.run_periods(200);

    assert_no_false_death(&tier, &[]);
}

// A member restarts within the detection time, with the same number and a new incarnation. Late
// datagrams of the old process must not supersede those of the new one, even if the new one's clock
// has gone back.
#[test]
fn replayed_datagrams_of_an_earlier_incarnation_change_nothing() {
    for (seed, clock_went_back) in (1..=20).zip([false, true].into_iter().cycle()) {
        let mut tier = settled_tier(5, 0.1, seed);
        let old = tier.incarnation(1, 3);
        tier.record_datagrams(3);
        tier.kill(3);
        tier.start(3, if clock_went_back { old - 1 } else { old + 1 });
        run_until(&mut tier, 600, "the others know the new incarnation and see it alive", |tier| {
            (0..5).filter(|observer| *observer != 3).all(|observer| {
                tier.incarnation(observer, 3) > old && tier.state(observer, 3) == MemberState::Alive
            })
        });
        tier.changes.clear();

        tier.replay_datagrams();

        for _ in 0..200 {
            tier.run_period();
            let is_new = (0..5).all(|observer| tier.incarnation(observer, 3) > old);
            assert!(is_new, "seed {seed}: a member returned to the earlier incarnation of member 3");
        }
        assert_no_false_death(&tier, &[]);
    }
}

// A graceful shutdown is announced, not inferred from missing heartbeats, and late datagrams do not
// revert it.
#[test]
fn a_member_that_leaves_is_reported_as_left_and_never_as_dead() {
    for seed in 1..=20 {
        let mut tier = settled_tier(30, 0.3, seed);
        tier.record_datagrams(4);
        // The announcement spreads as an epidemic. Detection by missing heartbeats would take at
        // least the suspicion threshold.
        let max_periods = u64::from(tier.thresholds().dead_after_periods);

        tier.leave(4);
        run_until(&mut tier, max_periods, "all see the member as left", |tier| {
            tier.all_see(4, MemberState::Left)
        });
        tier.replay_datagrams();
        tier.run_periods(100);

        assert!(tier.all_see(4, MemberState::Left), "seed {seed}");
        let deaths =
            changes_to(&tier, MemberState::Dead).filter(|observed| observed.change.number == 4).count();
        assert_eq!(deaths, 0, "seed {seed}");
    }
}

// The sides of a partition declare each other dead. After it heals they rediscover each other, and
// also a member that was killed during the partition and restarts.
#[test]
fn the_sides_of_a_partition_rediscover_each_other_when_it_heals() {
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
            tier.set_link_blocked(from, to, true);
        }
        run_until(&mut tier, 400, "each side sees the other one dead", is_partitioned);
        tier.kill(8);
        tier.run_periods(200);
        tier.heal();

        run_until(&mut tier, 400, "the running members see one another alive", |tier| {
            (0..8).all(|member| tier.all_see(member, MemberState::Alive))
        });
        tier.start(8, 1_000_000);
        run_until(&mut tier, 400, "all see the restarted member alive", |tier| {
            tier.all_see(8, MemberState::Alive)
        });
    }
}
