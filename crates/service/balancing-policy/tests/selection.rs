//! Which worker gets a job, and which are probed for it.

mod common;

use common::{MS, SEC, World, default_settings, probing_settings, request};
use spanlead_balancing_policy::{
    Endpoint, EndpointUpdate, Event, Idempotency, LoadReport, Outcome, Request, RequestId, Settings,
    WorkerState,
};
use std::collections::BTreeSet;

#[test]
fn jobs_go_to_the_workers_with_the_fewest_own_slots() {
    let mut world = World::new(default_settings(Idempotency::Idempotent), 3);
    world.list_ready_workers(6);
    for id in 0..6 {
        world.submit(request(id, SEC));
    }
    let mut used: Vec<String> = (0..6).flat_map(|id| world.workers_of(id)).collect();
    used.sort();
    used.dedup();
    assert!(used.len() >= 5, "six jobs over six workers pile up: {used:?}");
}

#[test]
fn ended_attempt_frees_its_slots() {
    let mut world = World::new(default_settings(Idempotency::Idempotent), 3);
    world.list_ready_workers(2);
    let counts = |world: &World, from: u64, to: u64| {
        let w0 = (from..to).filter(|id| world.workers_of(*id) == ["w0"]).count();
        (w0, (to - from) as usize - w0)
    };
    for id in 0..10 {
        world.submit(request(id, SEC));
    }
    assert_eq!(counts(&world, 0, 10), (5, 5));
    // All of w0's come back; the next five must go there.
    for id in (0..10).filter(|id| world.workers_of(*id) == ["w0"]).collect::<Vec<_>>() {
        world.end_attempt(id, 0, Outcome::Ok);
    }
    for id in 10..15 {
        world.submit(request(id, SEC));
    }
    assert_eq!(counts(&world, 10, 15), (5, 0));
}

/// Found at the second deployment, whose workers report their queue: slots came back unseen while
/// jobs were pending until one was reported. A job may be the first in a queue, by the report and
/// by own count; no job joins a queue, and none is sent to wait where the queue is not reported.
#[test]
fn job_may_be_the_first_in_a_reported_queue() {
    let sent = |queue_depth: Option<f64>, jobs: u64| {
        let mut settings = Settings { reports_attempt_start: true, ..probing_settings() };
        settings.classes[0].latency_target = SEC;
        let mut world = World::new(settings, 5);
        world.list_ready_workers(1);
        // So long after each other that reports would show the one before.
        for id in 0..jobs {
            world.submit(request(id, 60 * SEC));
            for _ in 0..400 {
                world.answer_probes(|_| LoadReport {
                    free_slots: Some(0.3),
                    queue_depth,
                    ..LoadReport::default()
                });
                world.advance(5 * MS, false);
            }
        }
        (0..jobs).map(|id| world.workers_of(id).len()).sum::<usize>()
    };
    assert_eq!(sent(Some(0.0), 1), 1);
    assert_eq!(sent(Some(0.0), 4), 1, "one of ours waits there already");
    assert_eq!(sent(Some(2.0), 1), 0, "others wait there");
    assert_eq!(sent(None, 1), 0, "nobody knows who waits there");
}

/// Found at a deployment with affinity keys: each job fetched its key anew, since walkers carried
/// it everywhere.
#[test]
fn dispatchers_send_a_key_to_the_same_few_workers() {
    let mut used = BTreeSet::new();
    for seed in 0..10 {
        let mut world = World::new(default_settings(Idempotency::Idempotent), seed);
        world.list_ready_workers(40);
        for id in 0..10 {
            world.submit(Request { affinity_key: Some(77), ..request(id, SEC) });
            used.extend(world.workers_of(id));
            world.end_attempt(id, 0, Outcome::Ok);
        }
    }
    assert!(used.len() <= 2, "key 77 went to {used:?}");
}

/// Found on quiet dispatchers: with nothing in flight, the last answer is the only report of a
/// worker.
#[test]
fn worker_that_answered_last_is_a_candidate() {
    let mut settings = probing_settings();
    settings.limits.idle_connection_timeout = 5 * SEC;
    let mut world = World::new(settings, 5);
    world.list_ready_workers(100);
    world.submit(request(1, SEC));
    world.advance(20 * MS, true);
    let first = world.workers_of(1)[0].clone();
    let report = Some(LoadReport { free_slots: Some(2.0), ..LoadReport::default() });
    let outcome = Outcome::Ok;
    world.checker.requests.get_mut(&1).expect("asked").closed = true;
    world.handle(Event::AttemptEnded {
        id: RequestId(1),
        attempt: 0,
        outcome,
        request_closed: true,
        elapsed: 9 * MS,
        report,
    });
    let actions = world.submit(request(2, SEC));
    assert_eq!(world.workers_of(2), [first], "sent at once, without probes: {actions:?}");
}

/// Guards against probing busy workers again and again: the one that reported last is the first
/// candidate, and with few probes a job the free slots elsewhere stayed unknown.
#[test]
fn probes_go_to_the_workers_with_the_fewest_own_slots() {
    let mut settings = probing_settings();
    settings.prices.probe = 0.005;
    settings.limits.idle_connection_timeout = 10 * SEC;
    let mut world = World::new(settings, 3);
    world.list_ready_workers(6);
    let mut busy = None;
    for id in 0..2 {
        world.submit(request(id, 2 * SEC));
        while world.workers_of(id).is_empty() {
            let only = busy.get_or_insert_with(|| world.probes[0].clone()).clone();
            world.answer_probes(|w| LoadReport {
                free_slots: Some(if w == only { 4.0 } else { 0.0 }),
                ..LoadReport::default()
            });
            world.advance(50 * MS, false);
        }
    }
    let busy = busy.expect("probed");
    assert_eq!((world.workers_of(0), world.workers_of(1)), (vec![busy.clone()], vec![busy.clone()]));
    world.end_attempt(0, 0, Outcome::Ok);
    world.advance(SEC, false);
    world.probes.clear();
    world.submit(request(2, SEC));
    assert!(world.probes.len() == 2 && !world.probes.contains(&busy), "{busy} is busy: {:?}", world.probes);
}

/// A second free slot in a report that may be old must not outweigh the price of crossing zones.
#[test]
fn own_zone_is_preferred_among_equal_workers() {
    let mut settings = probing_settings();
    settings.prices.cross_zone = 0.061;
    let mut world = World::new(settings, 3);
    let far = Endpoint { zone: 1, ..Endpoint::new("far", WorkerState::Ready) };
    world.update_endpoints(EndpointUpdate::Snapshot, &[Endpoint::new("near", WorkerState::Ready), far]);
    world.submit(request(1, SEC));
    world.answer_probes(|w| LoadReport {
        free_slots: Some(if w == "near" { 1.0 } else { 2.0 }),
        ..LoadReport::default()
    });
    world.advance(50 * MS, false);
    assert_eq!(world.workers_of(1), ["near"]);
}

#[test]
fn job_goes_to_a_worker_with_enough_memory() {
    let settings = probing_settings();
    for id in 1..20 {
        let mut world = World::new(settings.clone(), id);
        world.list_ready_workers(2);
        world.submit(Request { memory: 2.0, ..request(id, SEC) });
        world.answer_probes(|worker| LoadReport {
            free_slots: Some(2.0),
            free_memory: Some(if worker == "w0" { 1.0 } else { 3.0 }),
            ..LoadReport::default()
        });
        world.advance(10 * MS, false);
        assert_eq!(world.workers_of(id), ["w1"]);
    }
}

/// Found at dispatchers that carry most of the traffic: a report keeps repeating a slot that this
/// dispatcher has filled.
#[test]
fn own_sends_count_against_a_repeated_report() {
    let settings = probing_settings();
    let mut world = World::new(settings, 5);
    world.list_ready_workers(2);
    for id in 0..20 {
        world.submit(request(id, 2 * SEC));
        world.answer_probes(|_| LoadReport { free_slots: Some(2.0), ..LoadReport::default() });
        world.advance(6 * MS, false);
    }
    let sent: usize = (0..20).map(|id| world.workers_of(id).len()).sum();
    assert!((2..=6).contains(&sent), "{sent} jobs sent on four reported slots");
}

#[test]
fn jobs_are_sent_at_once_among_thousands_of_workers() {
    let mut world = World::new(default_settings(Idempotency::Idempotent), 5);
    world.list_ready_workers(3_000);
    for id in 0..500 {
        world.submit(request(id, SEC));
        assert_eq!(world.workers_of(id).len(), 1);
    }
}
