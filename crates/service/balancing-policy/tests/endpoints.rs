//! Updates of the endpoint list, and calls to service discovery for it.

mod common;

use common::{Harness, MS, SEC, default_settings, probing_settings, request};
use spanlead_balancing_policy::{
    Action, Endpoint, EndpointUpdate, Event, Idempotency, Outcome, Request, RequestId, Settings, WorkerState,
};

#[test]
fn requests_are_answered_in_time_without_ready_workers() {
    let mut harness = Harness::new(default_settings(Idempotency::AtMostOnce), 5);
    harness.submit(request(1, SEC));
    harness.advance(SEC, true);
    assert!(harness.checker.requests[&1].closed);
    harness.list_ready_workers(2);
    let draining = ["w0", "w1"].map(|w| Endpoint::new(w, WorkerState::Draining));
    harness.update_endpoints(EndpointUpdate::Delta, &draining);
    harness.submit(request(2, SEC));
    harness.advance(SEC, true);
    assert!(harness.checker.requests[&2].closed && harness.workers_of(2).is_empty());
}

#[test]
fn draining_worker_gets_no_pending_job() {
    let settings = probing_settings();
    let mut harness = Harness::new(settings, 5);
    harness.list_ready_workers(2);
    harness.submit(request(1, SEC));
    assert!(
        harness.workers_of(1).is_empty() && !harness.probes.is_empty(),
        "the job must be pending until its probes end"
    );
    harness.update_endpoints(EndpointUpdate::Delta, &[Endpoint::new("w0", WorkerState::Draining)]);
    harness.advance(200 * MS, true);
    assert_eq!(harness.workers_of(1), ["w1"]);
}

#[test]
fn worker_missing_from_a_snapshot_gets_no_jobs() {
    let mut harness = Harness::new(default_settings(Idempotency::Idempotent), 5);
    harness.list_ready_workers(4);
    harness.update_endpoints(EndpointUpdate::Snapshot, &[Endpoint::new("w3", WorkerState::Ready)]);
    for id in 0..10 {
        harness.submit(request(id, SEC));
        assert_eq!(harness.workers_of(id), ["w3"]);
    }
}

#[test]
fn calls_to_discovery_are_spread_and_back_off_after_failures() {
    let mut first_calls = Vec::new();
    for seed in 0..50 {
        let mut harness = Harness::new(
            Settings {
                must_request_endpoints: true,
                instance_count: 200,
                ..default_settings(Idempotency::Idempotent)
            },
            seed,
        );
        let start = harness.now;
        harness.update_endpoints(EndpointUpdate::CachedSnapshot, &[Endpoint::new("w0", WorkerState::Ready)]);
        let calls = |harness: &Harness| harness.trace.iter().filter(|a| **a == Action::Subscribe).count();
        while calls(&harness) == 0 {
            harness.advance(MS, true);
            assert!(harness.now < start + 10 * SEC, "no call to service discovery within 10 s");
        }
        first_calls.push(harness.now - start);
        // One failed call says little about the next one, and changes are missed until the
        // dispatcher calls again.
        let before = calls(&harness);
        harness.handle(Event::EndpointsChanged { update: EndpointUpdate::Unavailable, endpoints: &[] });
        harness.advance(SEC, true);
        assert_eq!(calls(&harness), before + 1, "calls to service discovery within 1 s of a failed one");
        for _ in 0..5 {
            harness.handle(Event::EndpointsChanged { update: EndpointUpdate::Unavailable, endpoints: &[] });
            harness.advance(200 * MS, true);
        }
        assert!(calls(&harness) <= before + 3, "more than 3 calls within 2 s while service discovery fails");
        harness.advance(30 * SEC, true);
        assert!(calls(&harness) >= 2, "fewer than 2 calls to service discovery in all");
        assert!(
            !harness.submit(request(1, SEC)).is_empty(),
            "the old list must be used while service discovery fails"
        );
    }
    let (min, max) =
        (first_calls.iter().min().expect("50 calls"), first_calls.iter().max().expect("50 calls"));
    assert!(
        max - min > SEC,
        "all first calls within {} ms, expected them over more than 1,000 ms",
        (max - min) / MS
    );
}

#[test]
fn unknown_and_duplicate_events_violate_no_rule() {
    let mut harness = Harness::new(default_settings(Idempotency::Idempotent), 5);
    harness.handle(Event::ClientGone(RequestId(9)));
    harness.handle(Event::TimerFired(u64::MAX >> 1));
    harness.handle(Event::PeerMessage { from: 99, data: &[1, 2, 3] });
    harness.handle(Event::PeerMessage { from: 0, data: &[] });
    harness.handle(Event::ProbeEnded { worker: "nobody", outcome: Outcome::Ok, elapsed: 0, report: None });
    harness.list_ready_workers(1);
    harness.submit(Request { expected_work: Some(0), ..request(1, 0) });
    harness.advance(MS, true);
    harness.submit(request(2, SEC));
    harness.end_attempt(2, 0, Outcome::Ok);
    let duplicate = Event::AttemptEnded {
        id: RequestId(2),
        attempt: 0,
        outcome: Outcome::Ok,
        request_closed: true,
        elapsed: 0,
        report: None,
    };
    assert!(harness.handle(duplicate).is_empty(), "a duplicate outcome must cause no action");
}
