//! Which requests are admitted, how long they are pending, and when they are given up.

mod common;

use common::{Harness, MS, SEC, default_settings, is_rejected, probing_settings, request};
use spanlead_balancing_policy::{
    Action, Event, Idempotency, LoadReport, LoadReporting, Nanos, Outcome, Request, RequestClass,
};

/// Found in three incidents: queues that never drained, since jobs joined them without a sign of
/// free capacity.
#[test]
fn job_without_room_anywhere_is_rejected_early() {
    let settings = probing_settings();
    let mut harness = Harness::new(settings, 5);
    harness.list_ready_workers(6);
    harness.submit(request(1, 2 * SEC));
    for _ in 0..200 {
        harness.answer_probes(|_| LoadReport { free_slots: Some(0.0), ..LoadReport::default() });
        harness.advance(5 * MS, false);
    }
    assert!(harness.workers_of(1).is_empty() && harness.checker.requests[&1].closed);
    assert!(harness.trace.iter().any(|a| matches!(a, Action::Reject { retry_after: Some(t), .. } if *t > 0)));
}

/// Found at the second deployment: a client's later attempts looked like new requests, were pending
/// as long as these, and took the slots of those that could still be in time. A class whose clients
/// give less than its deadline is no class of later attempts.
#[test]
fn late_attempt_is_not_kept_pending_like_a_first_one() {
    let pending_times = |times_left: [Nanos; 2]| {
        let mut settings = probing_settings();
        (settings.classes[0].deadline, settings.classes[0].latency_target) = (2 * SEC, 400 * MS);
        let mut harness = Harness::new(settings, 5);
        harness.list_ready_workers(2);
        let waits = times_left.iter().zip(1..).map(|(time_left, id)| {
            harness.submit(request(id, *time_left));
            let from = harness.now;
            while !harness.checker.requests[&id].closed && harness.now < from + 10 * SEC {
                harness.answer_probes(|_| LoadReport { free_slots: Some(0.0), ..LoadReport::default() });
                harness.advance(5 * MS, false);
            }
            harness.now - from
        });
        waits.collect::<Vec<_>>()
    };
    let later = pending_times([2 * SEC, SEC]);
    assert!((400 * MS..SEC).contains(&later[0]) && later[1] <= 300 * MS, "{later:?}");
    let short = pending_times([SEC, SEC]);
    assert!(short[1] >= 400 * MS, "all come with as much: {short:?}");
}

/// Found at the second deployment, where value counts by work: the limiter took it for each
/// request's own, and took short jobs for valuable.
#[test]
fn load_shedding_counts_value_as_the_settings_say() {
    let parts = |value_by_work: bool| {
        let mut settings = probing_settings();
        let class = RequestClass { value: 1.0, late_value_fraction: 0.5, ..settings.classes[0].clone() };
        settings.classes = vec![class.clone(), RequestClass { value: 4.0, ..class }];
        settings.value_by_work = value_by_work;
        settings.load_reporting = LoadReporting::InProbes;
        let mut harness = Harness::new(settings, 5);
        harness.list_ready_workers(4);
        let (mut asked, mut taken) = ([0.0; 2], [0.0; 2]);
        for id in 0..3000u64 {
            let class = id as usize % 2;
            // Jobs of the second class run sixteen times as long.
            let full = id >= 200;
            let before = harness.probes.len();
            harness.submit(Request { class: class as u32, ..request(id, 2 * SEC) });
            if full {
                asked[class] += 1.0;
                taken[class] += f64::from(u8::from(harness.probes.len() > before));
            }
            harness.answer_probes(|_| LoadReport {
                free_slots: Some(if full { 0.0 } else { 2.0 }),
                ..LoadReport::default()
            });
            harness.advance(5 * MS, false);
            if full {
                harness.advance(2 * SEC, false);
            } else {
                harness.advance(if class == 0 { 5 * MS } else { 80 * MS }, false);
                harness.end_attempt(id, 0, Outcome::Ok);
            }
        }
        taken[0] / asked[0] / (taken[1] / asked[1])
    };
    let (by_request, by_work) = (parts(false), parts(true));
    assert!(
        by_request > 1.3 && by_work < 0.8,
        "short jobs beside long ones: {by_request:.2} and {by_work:.2}"
    );
}

#[test]
fn request_past_its_deadline_is_rejected_at_once() {
    let mut harness = Harness::new(default_settings(Idempotency::Idempotent), 5);
    harness.list_ready_workers(2);
    assert!(is_rejected(&harness.submit(request(1, 0))));
}

/// Guards jobs that no worker has the memory for: one was pending until its time was up, and where
/// reports come seldom it went to one worker after the other and made each look full. A worker that
/// has not reported yet, or has just started, may have the memory.
#[test]
fn request_larger_than_any_worker_is_rejected_at_once() {
    let mut harness = Harness::new(probing_settings(), 3);
    harness.list_ready_workers(2);
    let large = |harness: &mut Harness, id: u64| harness.submit(Request { memory: 5.0, ..request(id, SEC) });
    let report = |memory: f64| LoadReport {
        free_slots: Some(1.0),
        free_memory: Some(memory),
        ..LoadReport::default()
    };
    let hear = |harness: &mut Harness, worker: &str, memory: f64| {
        let report = Some(report(memory));
        harness.handle(Event::ProbeEnded { worker, outcome: Outcome::Ok, elapsed: MS, report });
    };
    hear(&mut harness, "w0", 2.0);
    assert!(!is_rejected(&large(&mut harness, 1)), "w1 was not heard of");
    hear(&mut harness, "w1", 4.0);
    assert!(is_rejected(&large(&mut harness, 2)), "held in vain");
    hear(&mut harness, "w1", 6.0);
    hear(&mut harness, "w1", 1.0);
    assert!(!is_rejected(&large(&mut harness, 3)), "it has had as much, and may again");
    assert!(
        harness
            .submit(Request { memory: 0.0, ..request(4, SEC) })
            .iter()
            .all(|a| !matches!(a, Action::Reject { .. }))
    );
}
