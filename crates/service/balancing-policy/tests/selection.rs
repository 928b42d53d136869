//! Which worker a job is sent to, and which workers are probed for it.

mod common;

use common::{Harness, MS, SEC, default_settings, probing_settings, request};
use spanlead_balancing_policy::{
    Endpoint, EndpointUpdate, Event, Idempotency, LoadReport, Outcome, Request, RequestId, Settings,
    WorkerState,
};
use std::collections::BTreeSet;

#[test]
fn jobs_go_to_the_workers_with_the_fewest_own_slots_in_flight() {
    let mut harness = Harness::new(default_settings(Idempotency::Idempotent), 3);
    harness.list_ready_workers(6);
    for id in 0..6 {
        harness.submit(request(id, SEC));
    }
    let mut used: Vec<String> = (0..6).flat_map(|id| harness.workers_of(id)).collect();
    used.sort();
    used.dedup();
    assert!(used.len() >= 5, "six jobs went to only these of six workers: {used:?}");
}

#[test]
fn ended_attempt_frees_its_slots() {
    let mut harness = Harness::new(default_settings(Idempotency::Idempotent), 3);
    harness.list_ready_workers(2);
    let counts = |harness: &Harness, from: u64, to: u64| {
        let w0 = (from..to).filter(|id| harness.workers_of(*id) == ["w0"]).count();
        (w0, (to - from) as usize - w0)
    };
    for id in 0..10 {
        harness.submit(request(id, SEC));
    }
    assert_eq!(counts(&harness, 0, 10), (5, 5));
    // All attempts at w0 end, so that the next five jobs must go there.
    for id in (0..10).filter(|id| harness.workers_of(*id) == ["w0"]).collect::<Vec<_>>() {
        harness.end_attempt(id, 0, Outcome::Ok);
    }
    for id in 10..15 {
        harness.submit(request(id, SEC));
    }
    assert_eq!(counts(&harness, 10, 15), (5, 0));
}

/// Guards against slots that become free before a report shows it, while jobs stay pending until a
/// free slot is reported. Where workers report their queue depth, a job may be sent to be the first
/// in a queue, by the report and by the own attempts. It is not sent to a queue that has others in
/// it, nor to a worker whose queue depth is unknown.
#[test]
fn job_is_queued_only_where_the_reported_queue_is_empty() {
    let sent = |queue_depth: Option<f64>, jobs: u64| {
        let mut settings = Settings { reports_attempt_start: true, ..probing_settings() };
        settings.classes[0].latency_target = SEC;
        let mut harness = Harness::new(settings, 5);
        harness.list_ready_workers(1);
        // The jobs come 2 s apart, so that a report could show the one before.
        for id in 0..jobs {
            harness.submit(request(id, 60 * SEC));
            for _ in 0..400 {
                harness.answer_probes(|_| LoadReport {
                    free_slots: Some(0.3),
                    queue_depth,
                    ..LoadReport::default()
                });
                harness.advance(5 * MS, false);
            }
        }
        (0..jobs).map(|id| harness.workers_of(id).len()).sum::<usize>()
    };
    assert_eq!(sent(Some(0.0), 1), 1, "the reported queue is empty");
    assert_eq!(sent(Some(0.0), 4), 1, "an own attempt is queued there already");
    assert_eq!(sent(Some(2.0), 1), 0, "two requests are queued there");
    assert_eq!(sent(None, 1), 0, "the queue depth is not reported");
}

/// Guards against spreading a key by the walkers over the whole fleet, so that nearly every job has
/// to fetch the data of its key.
#[test]
fn dispatchers_send_an_affinity_key_to_the_same_two_workers() {
    let mut used = BTreeSet::new();
    for seed in 0..10 {
        let mut harness = Harness::new(default_settings(Idempotency::Idempotent), seed);
        harness.list_ready_workers(40);
        for id in 0..10 {
            harness.submit(Request { affinity_key: Some(77), ..request(id, SEC) });
            used.extend(harness.workers_of(id));
            harness.end_attempt(id, 0, Outcome::Ok);
        }
    }
    assert!(used.len() <= 2, "key 77 went to {used:?}");
}

/// Guards a dispatcher with little traffic: with no attempt in flight, the report in the last
/// response is all that it knows of free slots, and it must use it.
#[test]
fn worker_that_answered_last_gets_the_next_job_without_a_probe() {
    let mut settings = probing_settings();
    settings.limits.idle_connection_timeout = 5 * SEC;
    let mut harness = Harness::new(settings, 5);
    harness.list_ready_workers(100);
    harness.submit(request(1, SEC));
    harness.advance(20 * MS, true);
    let first = harness.workers_of(1)[0].clone();
    let report = Some(LoadReport { free_slots: Some(2.0), ..LoadReport::default() });
    let outcome = Outcome::Ok;
    harness.checker.requests.get_mut(&1).expect("submitted").closed = true;
    harness.handle(Event::AttemptEnded {
        id: RequestId(1),
        attempt: 0,
        outcome,
        request_closed: true,
        elapsed: 9 * MS,
        report,
    });
    let actions = harness.submit(request(2, SEC));
    assert_eq!(
        harness.workers_of(2),
        [first],
        "not sent at once to the worker that just reported free slots: {actions:?}"
    );
}

/// Guards against probing busy workers again and again: the worker that reported last is the first
/// candidate, and with few probes for each job the free slots of other workers stay unknown.
#[test]
fn probes_go_to_the_workers_with_the_fewest_own_slots_in_flight() {
    let mut settings = probing_settings();
    settings.prices.probe = 0.005;
    settings.limits.idle_connection_timeout = 10 * SEC;
    let mut harness = Harness::new(settings, 3);
    harness.list_ready_workers(6);
    let mut busy = None;
    for id in 0..2 {
        harness.submit(request(id, 2 * SEC));
        while harness.workers_of(id).is_empty() {
            let only_free = busy.get_or_insert_with(|| harness.probes[0].clone()).clone();
            harness.answer_probes(|w| LoadReport {
                free_slots: Some(if w == only_free { 4.0 } else { 0.0 }),
                ..LoadReport::default()
            });
            harness.advance(50 * MS, false);
        }
    }
    let busy = busy.expect("probed");
    assert_eq!((harness.workers_of(0), harness.workers_of(1)), (vec![busy.clone()], vec![busy.clone()]));
    harness.end_attempt(0, 0, Outcome::Ok);
    harness.advance(SEC, false);
    harness.probes.clear();
    harness.submit(request(2, SEC));
    assert!(
        harness.probes.len() == 2 && !harness.probes.contains(&busy),
        "probed {:?}, expected two workers other than {busy}, which is busy",
        harness.probes
    );
}

/// Guards against crossing zones for a second free slot: the report may be stale, so the slot must
/// not outweigh the price of crossing.
#[test]
fn own_zone_is_preferred_to_a_second_free_slot_in_another_zone() {
    let mut settings = probing_settings();
    settings.prices.cross_zone = 0.061;
    let mut harness = Harness::new(settings, 3);
    let far = Endpoint { zone: 1, ..Endpoint::new("far", WorkerState::Ready) };
    harness.update_endpoints(EndpointUpdate::Snapshot, &[Endpoint::new("near", WorkerState::Ready), far]);
    harness.submit(request(1, SEC));
    harness.answer_probes(|w| LoadReport {
        free_slots: Some(if w == "near" { 1.0 } else { 2.0 }),
        ..LoadReport::default()
    });
    harness.advance(50 * MS, false);
    assert_eq!(harness.workers_of(1), ["near"]);
}

#[test]
fn job_goes_to_a_worker_with_enough_memory() {
    let settings = probing_settings();
    for id in 1..20 {
        let mut harness = Harness::new(settings.clone(), id);
        harness.list_ready_workers(2);
        harness.submit(Request { memory: 2.0, ..request(id, SEC) });
        harness.answer_probes(|worker| LoadReport {
            free_slots: Some(2.0),
            free_memory: Some(if worker == "w0" { 1.0 } else { 3.0 }),
            ..LoadReport::default()
        });
        harness.advance(10 * MS, false);
        assert_eq!(harness.workers_of(id), ["w1"]);
    }
}

/// Guards dispatchers that carry most of the traffic: a report repeats a free slot that this
/// dispatcher has already filled.
#[test]
fn own_sends_are_deducted_from_repeated_reports_of_free_slots() {
    let settings = probing_settings();
    let mut harness = Harness::new(settings, 5);
    harness.list_ready_workers(2);
    for id in 0..20 {
        harness.submit(request(id, 2 * SEC));
        harness.answer_probes(|_| LoadReport { free_slots: Some(2.0), ..LoadReport::default() });
        harness.advance(6 * MS, false);
    }
    let sent: usize = (0..20).map(|id| harness.workers_of(id).len()).sum();
    assert!((2..=6).contains(&sent), "{sent} of 20 jobs sent, expected 2 to 6 with four reported slots");
}

#[test]
fn jobs_are_sent_at_once_among_thousands_of_workers() {
    let mut harness = Harness::new(default_settings(Idempotency::Idempotent), 5);
    harness.list_ready_workers(3_000);
    for id in 0..500 {
        harness.submit(request(id, SEC));
        assert_eq!(harness.workers_of(id).len(), 1);
    }
}
