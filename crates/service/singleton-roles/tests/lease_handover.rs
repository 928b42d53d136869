//! How a role passes from one scheduler to another.
mod common;

use common::{Delivery, LEASE, ROLE, SETTLE_TIME, Tier, role_hash};
use spanlead_singleton_roles::{Action, LeaseChange, LossReason, MessageBody, QuorumConfig, RoleMessage};

// Guards a graceful shutdown: the next scheduler must not wait for the lease, whichever message
// arrives first.
#[test]
fn a_released_role_is_held_again_at_once() {
    for delivery in [Delivery::OldestFirst, Delivery::NewestFirst] {
        let mut tier = Tier::settled(5, 0);
        let first = tier.lease_holder().expect("a lease holder");

        tier.release(first);
        tier.deliver_all(delivery);

        let next = tier.lease_holder().expect("it is held again before any time has passed");
        assert_ne!(first, next);
        tier.pass(10 * LEASE);
        assert_eq!(tier.lease_holder(), Some(next), "it stays there");
    }
}

// Guards a rolling restart: one scheduler after the other ends gracefully and starts without
// grants, and the next one ends before that one may grant again. Those that are left are just a
// majority, and hand the role over within a second.
#[test]
fn a_rolling_restart_hands_the_role_over() {
    for seed in 0..20_u64 {
        let mut tier = Tier::settled(5, 10 * seed);
        for step in 0..8 {
            let holder = tier.lease_holder().unwrap_or_else(|| panic!("seed {seed}: nobody holds the role"));
            tier.release(holder);
            tier.stop(holder);
            tier.deliver_all(Delivery::OldestFirst);

            tier.pass(1000);

            let is_held = tier.lease_holder().is_some();
            assert!(is_held, "seed {seed}, step {step}: nobody a second after {holder} ended");
            tier.restart(holder);
            // Two of five may be unable to grant at a time.
            tier.pass(if step % 2 == 0 { 500 } else { SETTLE_TIME });
        }
    }
}

// Guards against a split vote: two schedulers that request at once get a part of the grants each,
// and would keep the role from each other, and from all others, for a lease.
#[test]
fn a_split_vote_ends_before_a_lease() {
    let mut tier = Tier::new(4, 0);
    tier.now = SETTLE_TIME;
    let clock = tier.clock();
    let mut requests = Vec::new();
    for candidate in 0..2_u16 {
        let mut actions = Vec::new();
        tier.scheduler(candidate).tick(clock, |_| false, &mut actions);
        requests.push(actions);
    }
    // Each request reaches one of the others first.
    for (candidate, acceptor) in [(0_u16, 2_u16), (1, 3)] {
        let actions = &mut requests[usize::from(candidate)];
        let is_for_acceptor = |action: &Action| matches!(action, Action::Send { to, .. } if *to == acceptor);
        let first = actions.iter().position(is_for_acceptor).expect("a request");
        let first = actions.remove(first);
        tier.perform(candidate, vec![first]);
        tier.deliver_all(Delivery::OldestFirst);
    }
    for (candidate, actions) in (0..).zip(requests) {
        tier.perform(candidate, actions);
    }
    tier.deliver_all(Delivery::OldestFirst);
    assert_eq!(tier.lease_holder(), None, "the vote is not split");

    tier.pass(LEASE / 2);

    assert!(tier.lease_holder().is_some(), "they keep the role from each other");
}

// Guards a lease holder whose acceptors have learned of a higher term that was never granted: they
// would never grant its own again, and one holder after the other would be lost to that term.
#[test]
fn a_lease_holder_takes_a_higher_term_than_one_that_was_requested_in_vain() {
    let mut tier = Tier::settled(3, 0);
    let holder = tier.lease_holder().expect("a lease holder");
    let term = tier.term_of(holder).expect("it holds the role");
    let body = MessageBody::Reject { request: 0, highest_term: term + 50, remaining: 0 };
    let message = RoleMessage { role_hash: role_hash(), quorum: QuorumConfig::of(3), body };
    let clock = tier.clock();

    tier.scheduler(holder).receive(clock, (holder + 1) % 3, &[message], |_| true, &mut Vec::new());
    tier.pass(2 * LEASE);

    assert_eq!(tier.lease_holder(), Some(holder));
    assert!(tier.term_of(holder) > Some(term + 50));
}

#[test]
fn a_fenced_lease_holder_loses_the_role_and_takes_a_higher_term() {
    let mut tier = Tier::settled(3, 0);
    let holder = tier.lease_holder().expect("a lease holder");
    let term = tier.term_of(holder).expect("it holds the role");
    let (now, mut actions) = (tier.now, Vec::new());

    tier.scheduler(holder).fence(now, ROLE, term + 1_000_000, &mut actions);
    tier.perform(holder, actions);

    assert_eq!(tier.changes.last(), Some(&(holder, LeaseChange::Lost(term, LossReason::Fenced))));
    tier.deliver_all(Delivery::OldestFirst);
    tier.pass(2 * LEASE);
    let next = tier.lease_holder().expect("it is held again");
    // Another scheduler does not know of that term; the one that was fenced exceeds it when it is
    // its turn.
    if next == holder {
        assert!(tier.term_of(next) > Some(term + 1_000_000));
    }
}
