//! Updates of the endpoint list, and when it is requested.

mod common;

use common::{MS, SEC, World, default_settings, probing_settings, request};
use spanlead_balancing_policy::{
    Action, Endpoint, EndpointUpdate, Event, Idempotency, Outcome, Request, RequestId, Settings, WorkerState,
};

#[test]
fn requests_are_answered_in_time_without_ready_workers() {
    let mut world = World::new(default_settings(Idempotency::AtMostOnce), 5);
    world.submit(request(1, SEC));
    world.advance(SEC, true);
    assert!(world.checker.requests[&1].closed);
    world.list_ready_workers(2);
    let draining = ["w0", "w1"].map(|w| Endpoint::new(w, WorkerState::Draining));
    world.update_endpoints(EndpointUpdate::Delta, &draining);
    world.submit(request(2, SEC));
    world.advance(SEC, true);
    assert!(world.checker.requests[&2].closed && world.workers_of(2).is_empty());
}

#[test]
fn draining_worker_gets_no_pending_job() {
    let settings = probing_settings();
    let mut world = World::new(settings, 5);
    world.list_ready_workers(2);
    world.submit(request(1, SEC));
    assert!(world.workers_of(1).is_empty() && !world.probes.is_empty(), "held for its probes");
    world.update_endpoints(EndpointUpdate::Delta, &[Endpoint::new("w0", WorkerState::Draining)]);
    world.advance(200 * MS, true);
    assert_eq!(world.workers_of(1), ["w1"]);
}

#[test]
fn worker_missing_from_a_snapshot_gets_nothing() {
    let mut world = World::new(default_settings(Idempotency::Idempotent), 5);
    world.list_ready_workers(4);
    world.update_endpoints(EndpointUpdate::Snapshot, &[Endpoint::new("w3", WorkerState::Ready)]);
    for id in 0..10 {
        world.submit(request(id, SEC));
        assert_eq!(world.workers_of(id), ["w3"]);
    }
}

#[test]
fn endpoint_requests_are_spread_and_back_off() {
    let mut first = Vec::new();
    for seed in 0..50 {
        let mut world = World::new(
            Settings {
                must_request_endpoints: true,
                instance_count: 200,
                ..default_settings(Idempotency::Idempotent)
            },
            seed,
        );
        let start = world.now;
        world.update_endpoints(EndpointUpdate::CachedSnapshot, &[Endpoint::new("w0", WorkerState::Ready)]);
        let subscribes = |w: &World| w.trace.iter().filter(|a| **a == Action::Subscribe).count();
        while subscribes(&world) == 0 {
            world.advance(MS, true);
            assert!(world.now < start + 10 * SEC, "never asked");
        }
        first.push(world.now - start);
        // A call that broke off says little about the next: news is missed until it is asked for
        // again.
        let before = subscribes(&world);
        world.handle(Event::EndpointsChanged { update: EndpointUpdate::Unavailable, endpoints: &[] });
        world.advance(SEC, true);
        assert_eq!(subscribes(&world), before + 1, "asked again within a second, once");
        for _ in 0..5 {
            world.handle(Event::EndpointsChanged { update: EndpointUpdate::Unavailable, endpoints: &[] });
            world.advance(200 * MS, true);
        }
        assert!(subscribes(&world) <= before + 3, "it crowds a failing list");
        world.advance(30 * SEC, true);
        assert!(subscribes(&world) >= 2, "it must ask again");
        assert!(!world.submit(request(1, SEC)).is_empty(), "the old list serves meanwhile");
    }
    let (min, max) = (first.iter().min().expect("50"), first.iter().max().expect("50"));
    assert!(max - min > SEC, "all asked within {} ms", (max - min) / MS);
}

#[test]
fn unexpected_but_legal_events_do_no_harm() {
    let mut world = World::new(default_settings(Idempotency::Idempotent), 5);
    world.handle(Event::ClientGone(RequestId(9)));
    world.handle(Event::TimerFired(u64::MAX >> 1));
    world.handle(Event::PeerMessage { from: 99, data: &[1, 2, 3] });
    world.handle(Event::PeerMessage { from: 0, data: &[] });
    world.handle(Event::ProbeEnded { worker: "nobody", outcome: Outcome::Ok, elapsed: 0, report: None });
    world.list_ready_workers(1);
    world.submit(Request { expected_work: Some(0), ..request(1, 0) });
    world.advance(MS, true);
    world.submit(request(2, SEC));
    world.end_attempt(2, 0, Outcome::Ok);
    let late = Event::AttemptEnded {
        id: RequestId(2),
        attempt: 0,
        outcome: Outcome::Ok,
        request_closed: true,
        elapsed: 0,
        report: None,
    };
    assert!(world.handle(late).is_empty(), "a duplicate outcome");
}
