//! The handover of a role from one scheduler to another.
mod common;

use common::{Delivery, LEASE, ROLE, SETTLE_TIME, Tier, role_hash};
use spanlead_singleton_roles::{Action, LeaseChange, LossReason, MessageBody, QuorumConfig, RoleMessage};

// At a graceful shutdown the next scheduler must not wait for the lease to expire, in whichever
// order the release and the requests arrive.
#[test]
fn a_released_role_is_acquired_by_another_scheduler_at_once() {
    for delivery in [Delivery::OldestFirst, Delivery::NewestFirst] {
        let mut tier = Tier::settled(5, 0);
        let first = tier.lease_holder().expect("a settled tier has a lease holder");

        tier.release(first);
        tier.deliver_all(delivery);

        let next =
            tier.lease_holder().expect("another scheduler acquires the role without any passing of time");
        assert_ne!(first, next);
        tier.advance(10 * LEASE);
        assert_eq!(tier.lease_holder(), Some(next), "the new holder keeps the role");
    }
}

// In a rolling restart each scheduler stops gracefully and restarts without its grants, and the
// next one stops before the restarted one may grant again. The remaining schedulers are only just a
// majority, and must still hand the role over within a second.
#[test]
fn each_step_of_a_rolling_restart_hands_the_role_over_within_a_second() {
    for seed in 0..20_u64 {
        let mut tier = Tier::settled(5, 10 * seed);
        for step in 0..8 {
            let holder = tier
                .lease_holder()
                .unwrap_or_else(|| panic!("seed {seed}, step {step}: no scheduler holds the role"));
            tier.release(holder);
            tier.stop(holder);
            tier.deliver_all(Delivery::OldestFirst);

            tier.advance(1000);

            let is_held = tier.lease_holder().is_some();
            assert!(
                is_held,
                "seed {seed}, step {step}: no holder one second after scheduler {holder} stopped"
            );
            tier.restart(holder);
            // In every other step the next scheduler stops while this one may not grant yet, so
            // that two of five schedulers grant nothing.
            tier.advance(if step % 2 == 0 { 500 } else { SETTLE_TIME });
        }
    }
}

// Two schedulers that request the role at the same time may each get some of the grants. They must
// not block each other, and all others, from the role for the duration of a lease.
#[test]
fn a_split_vote_is_resolved_within_half_a_lease() {
    let mut tier = Tier::new(4, 0);
    tier.now = SETTLE_TIME;
    let clock = tier.clock();
    let mut requests = Vec::new();
    for candidate in 0..2_u16 {
        let mut actions = Vec::new();
        tier.scheduler(candidate).tick(clock, |_| false, &mut actions);
        requests.push(actions);
    }
    // Each candidate's request reaches a different acceptor first.
    for (candidate, acceptor) in [(0_u16, 2_u16), (1, 3)] {
        let actions = &mut requests[usize::from(candidate)];
        let is_for_acceptor = |action: &Action| matches!(action, Action::Send { to, .. } if *to == acceptor);
        let first =
            actions.iter().position(is_for_acceptor).expect("the candidate sends a request to the acceptor");
        let first = actions.remove(first);
        tier.apply_actions(candidate, vec![first]);
        tier.deliver_all(Delivery::OldestFirst);
    }
    for (candidate, actions) in (0..).zip(requests) {
        tier.apply_actions(candidate, actions);
    }
    tier.deliver_all(Delivery::OldestFirst);
    assert_eq!(tier.lease_holder(), None, "the setup requires a split vote");

    tier.advance(LEASE / 2);

    assert!(
        tier.lease_holder().is_some(),
        "the candidates must not block each other after half a lease duration"
    );
}

// Acceptors that have learned of a higher term that was never granted do not grant the holder's
// present term again. A holder that kept this term would lose the role, and so would each holder
// after it.
#[test]
fn a_lease_holder_that_learns_of_a_higher_ungranted_term_renews_under_a_higher_one() {
    let mut tier = Tier::settled(3, 0);
    let holder = tier.lease_holder().expect("a settled tier has a lease holder");
    let term = tier.term_of(holder).expect("the lease holder has a term");
    let body = MessageBody::Reject { request: 0, highest_term: term + 50, remaining: 0 };
    let message = RoleMessage { role_hash: role_hash(), quorum: QuorumConfig::single(3), body };
    let clock = tier.clock();

    tier.scheduler(holder).receive(clock, (holder + 1) % 3, &[message], |_| true, &mut Vec::new());
    tier.advance(2 * LEASE);

    assert_eq!(tier.lease_holder(), Some(holder));
    assert!(tier.term_of(holder) > Some(term + 50));
}

#[test]
fn a_fenced_lease_holder_loses_the_role_and_later_requests_a_higher_term() {
    let mut tier = Tier::settled(3, 0);
    let holder = tier.lease_holder().expect("a settled tier has a lease holder");
    let term = tier.term_of(holder).expect("the lease holder has a term");
    let (now, mut actions) = (tier.now, Vec::new());

    tier.scheduler(holder).fence(now, ROLE, term + 1_000_000, &mut actions);
    tier.apply_actions(holder, actions);

    assert_eq!(tier.changes.last(), Some(&(holder, LeaseChange::Lost(term, LossReason::Fenced))));
    tier.deliver_all(Delivery::OldestFirst);
    tier.advance(2 * LEASE);
    let next = tier.lease_holder().expect("a scheduler acquires the role after the fencing");
    // Another scheduler does not know of the fencing term. The fenced scheduler exceeds it when it
    // acquires the role again.
    if next == holder {
        assert!(tier.term_of(next) > Some(term + 1_000_000));
    }
}
