//! When the idempotency of a request and the attempts so far allow a retry.

mod common;

use common::{Harness, MS, SEC, default_settings, is_failed, is_rejected, request};
use spanlead_balancing_policy::{
    DeduplicationScope, Endpoint, EndpointUpdate, Idempotency, Outcome, WorkerState,
};

#[test]
fn at_most_once_request_is_retried_if_it_never_ran() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let mut harness = Harness::new(default_settings(Idempotency::AtMostOnce), 5);
        harness.list_ready_workers(4);
        harness.submit(request(1, SEC));
        harness.end_attempt(1, 0, outcome);
        harness.advance(100 * MS, true);
        let sends = harness.workers_of(1);
        assert_eq!(sends.len(), 2, "attempts after {outcome:?}");
        assert_ne!(sends[0], sends[1]);
    }
}

#[test]
fn at_most_once_request_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut harness = Harness::new(default_settings(Idempotency::AtMostOnce), 5);
        harness.list_ready_workers(4);
        harness.submit(request(1, SEC));
        let actions = harness.end_attempt(1, 0, outcome);
        assert!(is_failed(&actions) && !is_rejected(&actions), "after {outcome:?}: {actions:?}");
    }
}

#[test]
fn deduplicated_request_is_retried_only_in_its_cell_and_window() {
    let mut harness = Harness::new(
        default_settings(Idempotency::Deduplicated { scope: DeduplicationScope::Cell, window: 300 * MS }),
        5,
    );
    let names: Vec<String> = (0..8).map(|i| format!("w{i}")).collect();
    let entries: Vec<Endpoint<'_>> = (0..8u32)
        .map(|i| Endpoint { cell: i / 2, ..Endpoint::new(&names[i as usize], WorkerState::Ready) })
        .collect();
    harness.update_endpoints(EndpointUpdate::Snapshot, &entries);
    harness.submit(request(1, 2 * SEC));
    harness.now += 10 * MS;
    harness.end_attempt(1, 0, Outcome::Reset);
    harness.advance(250 * MS, true);
    let cell = |w: &str| w[1..].parse::<u32>().expect("number") / 2;
    let sends = harness.workers_of(1);
    assert_eq!(sends.len(), 2, "attempts, the second one at the other worker of the cell");
    assert_eq!(cell(&sends[0]), cell(&sends[1]));
    harness.submit(request(2, 2 * SEC));
    harness.now += 400 * MS;
    assert!(is_failed(&harness.end_attempt(2, 0, Outcome::Reset)) || harness.workers_of(2).len() == 1);
    harness.advance(2 * SEC, true);
    assert_eq!(harness.workers_of(2).len(), 1, "attempts after the end of the deduplication window");
}

/// Guards the end of the deduplication window: the request must be sent within the window, and
/// opening the connection may take up to the connect timeout before that.
#[test]
fn deduplicated_request_is_retried_only_if_it_is_sent_within_the_window() {
    for (reset_after, attempts) in [(40 * MS, 2), (60 * MS, 1)] {
        let mut harness = Harness::new(
            default_settings(Idempotency::Deduplicated { scope: DeduplicationScope::All, window: 300 * MS }),
            5,
        );
        harness.list_ready_workers(4);
        harness.submit(request(1, 2 * SEC));
        harness.now += reset_after;
        harness.end_attempt(1, 0, Outcome::Reset);
        harness.advance(SEC, true);
        assert_eq!(
            harness.workers_of(1).len(),
            attempts,
            "attempts after a reset at {} ms",
            reset_after / MS
        );
    }
}

#[test]
fn request_is_closed_when_its_attempts_are_used_up() {
    let mut harness = Harness::new(default_settings(Idempotency::Idempotent), 5);
    harness.list_ready_workers(8);
    harness.submit(request(1, 5 * SEC));
    for attempt in 0..3 {
        assert_eq!(harness.workers_of(1).len(), attempt + 1);
        harness.end_attempt(1, attempt as u32, Outcome::Rejected);
        harness.advance(MS, true);
    }
    assert!(harness.checker.requests[&1].closed, "open after three attempts, the maximum");
}
