//! When workers are ejected, and for how long.

mod common;

use common::{Harness, MS, SEC, default_settings, request};
use spanlead_balancing_policy::{Action, Idempotency, Outcome};

/// Guards against preferring a worker that fails at once: it has the fewest own slots in flight.
#[test]
fn worker_that_fails_fast_is_avoided() {
    let mut harness = Harness::new(default_settings(Idempotency::AtMostOnce), 5);
    harness.list_ready_workers(10);
    let (mut to_bad_worker, mut sent) = (0, 0);
    for id in 0..300 {
        harness.submit(request(id, SEC));
        harness.now += 2 * MS;
        let workers = harness.workers_of(id);
        sent += workers.len();
        if workers == ["w0"] {
            to_bad_worker += 1;
            harness.end_attempt(id, 0, Outcome::Error);
        } else if !workers.is_empty() {
            harness.end_attempt(id, 0, Outcome::Ok);
        }
    }
    assert!(
        sent > 250 && to_bad_worker <= 2,
        "{to_bad_worker} of {sent} jobs went to the failing worker, expected at most 2 of more than 250"
    );
}

#[test]
fn ejected_worker_is_used_again_after_30_s() {
    let mut harness = Harness::new(default_settings(Idempotency::Idempotent), 5);
    harness.list_ready_workers(3);
    harness.submit(request(0, SEC));
    let ejected = harness.workers_of(0)[0].clone();
    harness.end_attempt(0, 0, Outcome::Error);
    harness.advance(30 * SEC, true);
    let mut is_used_again = false;
    for id in 1..30 {
        harness.submit(request(id, SEC));
        is_used_again |= harness.workers_of(id) == [ejected.clone()];
    }
    assert!(is_used_again, "{ejected} got none of 29 jobs 30 s after its ejection");
}

#[test]
fn jobs_are_sent_when_all_workers_are_ejected() {
    let mut harness = Harness::new(default_settings(Idempotency::Idempotent), 5);
    harness.list_ready_workers(6);
    for id in 0..60 {
        harness.submit(request(id, SEC));
        for attempt in 0..harness.workers_of(id).len() {
            if harness.checker.requests[&id].attempts[attempt].outcome.is_none() {
                harness.end_attempt(id, attempt as u32, Outcome::Error);
            }
        }
        harness.now += 20 * MS;
    }
    let before = harness.trace.len();
    harness.submit(request(100, SEC));
    harness.advance(100 * MS, true);
    let sent = harness.trace[before..].iter().any(|a| matches!(a, Action::Send { .. }));
    assert!(sent, "no job was sent, although ejections must be ignored when every worker is ejected");
}

/// Guards against preferring workers that reject everything: they look idle, and six of them can
/// draw two thirds of all sends.
#[test]
fn worker_that_rejects_everything_is_avoided() {
    let mut harness = Harness::new(default_settings(Idempotency::AtMostOnce), 5);
    harness.list_ready_workers(10);
    let (mut to_bad_worker, mut sent) = (0, 0);
    for id in 0..2_000 {
        harness.submit(request(id, SEC));
        for attempt in 0..3 {
            let sends = harness.workers_of(id);
            let Some(worker) = sends.get(attempt) else { break };
            sent += 1;
            let is_full = worker == "w0";
            to_bad_worker += usize::from(is_full);
            harness.end_attempt(id, attempt as u32, if is_full { Outcome::Rejected } else { Outcome::Ok });
        }
        harness.now += 10 * MS;
    }
    // If the worker counted as full for only 300 ms after each rejection, it would get 60 jobs in
    // 20 s.
    assert!(
        sent >= 1_800 && to_bad_worker <= 12,
        "{to_bad_worker} of {sent} sends went to the worker that rejects everything, expected at most 12 of \
         1,800 or more"
    );
}
