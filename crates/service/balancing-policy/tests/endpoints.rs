//! Updates of the endpoint list, and when it is requested.

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
    assert!(harness.workers_of(1).is_empty() && !harness.probes.is_empty(), "held for its probes");
    harness.update_endpoints(EndpointUpdate::Delta, &[Endpoint::new("w0", WorkerState::Draining)]);
    harness.advance(200 * MS, true);
    assert_eq!(harness.workers_of(1), ["w1"]);
}

#[test]
fn worker_missing_from_a_snapshot_gets_nothing() {
    let mut harness = Harness::new(default_settings(Idempotency::Idempotent), 5);
    harness.list_ready_workers(4);
    harness.update_endpoints(EndpointUpdate::Snapshot, &[Endpoint::new("w3", WorkerState::Ready)]);
    for id in 0..10 {
        harness.submit(request(id, SEC));
        assert_eq!(harness.workers_of(id), ["w3"]);
    }
}

#[test]
fn endpoint_requests_are_spread_and_back_off() {
    let mut first = Vec::new();
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
        let subscribes = |w: &Harness| w.trace.iter().filter(|a| **a == Action::Subscribe).count();
        while subscribes(&harness) == 0 {
            harness.advance(MS, true);
            assert!(harness.now < start + 10 * SEC, "never asked");
        }
        first.push(harness.now - start);
        // A call that broke off says little about the next: news is missed until it is asked for
        // again.
        let before = subscribes(&harness);
        harness.handle(Event::EndpointsChanged { update: EndpointUpdate::Unavailable, endpoints: &[] });
        harness.advance(SEC, true);
        assert_eq!(subscribes(&harness), before + 1, "asked again within a second, once");
        for _ in 0..5 {
            harness.handle(Event::EndpointsChanged { update: EndpointUpdate::Unavailable, endpoints: &[] });
            harness.advance(200 * MS, true);
        }
        assert!(subscribes(&harness) <= before + 3, "it crowds a failing list");
        harness.advance(30 * SEC, true);
        assert!(subscribes(&harness) >= 2, "it must ask again");
        assert!(!harness.submit(request(1, SEC)).is_empty(), "the old list serves meanwhile");
    }
    let (min, max) = (first.iter().min().expect("50"), first.iter().max().expect("50"));
    assert!(max - min > SEC, "all asked within {} ms", (max - min) / MS);
}

#[test]
fn unexpected_but_legal_events_do_no_harm() {
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
    let late = Event::AttemptEnded {
        id: RequestId(2),
        attempt: 0,
        outcome: Outcome::Ok,
        closed: true,
        elapsed: 0,
        report: None,
    };
    assert!(harness.handle(late).is_empty(), "a duplicate outcome");
}
