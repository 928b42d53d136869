//! Which requests are admitted, how long they stay pending, and when they are rejected.

mod common;

use common::{Harness, MS, SEC, default_settings, is_rejected, probing_settings, request};
use spanlead_balancing_policy::{
    Action, Event, Idempotency, LoadReport, LoadReporting, Nanos, Outcome, Request, RequestClass,
};

/// Guards against queues that never drain because jobs join them without any sign of free capacity.
#[test]
fn job_is_rejected_before_its_deadline_if_no_worker_has_a_free_slot() {
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

/// Guards against retries by a client that are treated like original requests: pending for as long,
/// they take the slots of requests that could still be in time. A retry arrives with less time left
/// than the original requests of its class. A class whose clients all give less time than its
/// deadline does not consist of retries.
#[test]
fn retry_by_a_client_is_pending_for_less_time_than_the_original_request() {
    let pending_times = |times_left: [Nanos; 2]| {
        let mut settings = probing_settings();
        (settings.classes[0].deadline, settings.classes[0].latency_target) = (2 * SEC, 400 * MS);
        let mut harness = Harness::new(settings, 5);
        harness.list_ready_workers(2);
        let pending = times_left.iter().zip(1..).map(|(time_left, id)| {
            harness.submit(request(id, *time_left));
            let start = harness.now;
            while !harness.checker.requests[&id].closed && harness.now < start + 10 * SEC {
                harness.answer_probes(|_| LoadReport { free_slots: Some(0.0), ..LoadReport::default() });
                harness.advance(5 * MS, false);
            }
            harness.now - start
        });
        pending.collect::<Vec<_>>()
    };
    let with_retry = pending_times([2 * SEC, SEC]);
    assert!(
        (400 * MS..SEC).contains(&with_retry[0]) && with_retry[1] <= 300 * MS,
        "pending for {with_retry:?} ns, expected 400 ms to 1 s, then at most 300 ms"
    );
    let with_equal_times = pending_times([SEC, SEC]);
    assert!(
        with_equal_times[1] >= 400 * MS,
        "pending for {with_equal_times:?} ns with equal time left, expected at least 400 ms for the second"
    );
}

/// Guards against a limiter that counts value by request where the settings count it by work, and
/// so takes short jobs for the more valuable ones.
#[test]
fn load_shedding_counts_value_by_request_or_by_work_as_configured() {
    let admitted_short_to_long = |value_by_work: bool| {
        let mut settings = probing_settings();
        let class = RequestClass { value: 1.0, late_value_fraction: 0.5, ..settings.classes[0].clone() };
        settings.classes = vec![class.clone(), RequestClass { value: 4.0, ..class }];
        settings.value_by_work = value_by_work;
        settings.load_reporting = LoadReporting::InProbes;
        let mut harness = Harness::new(settings, 5);
        harness.list_ready_workers(4);
        let (mut submitted, mut admitted) = ([0.0; 2], [0.0; 2]);
        for id in 0..3000u64 {
            let class = id as usize % 2;
            let fleet_is_full = id >= 200;
            let probes_before = harness.probes.len();
            harness.submit(Request { class: class as u32, ..request(id, 2 * SEC) });
            if fleet_is_full {
                // An admitted job sends probes at once.
                submitted[class] += 1.0;
                admitted[class] += f64::from(u8::from(harness.probes.len() > probes_before));
            }
            harness.answer_probes(|_| LoadReport {
                free_slots: Some(if fleet_is_full { 0.0 } else { 2.0 }),
                ..LoadReport::default()
            });
            harness.advance(5 * MS, false);
            if fleet_is_full {
                harness.advance(2 * SEC, false);
            } else {
                // Jobs of the second class run sixteen times as long.
                harness.advance(if class == 0 { 5 * MS } else { 80 * MS }, false);
                harness.end_attempt(id, 0, Outcome::Ok);
            }
        }
        admitted[0] / submitted[0] / (admitted[1] / submitted[1])
    };
    let (by_request, by_work) = (admitted_short_to_long(false), admitted_short_to_long(true));
    assert!(
        by_request > 1.3 && by_work < 0.8,
        "admitted fraction of short jobs to that of long ones: {by_request:.2} with value by request, expected \
         above 1.3; {by_work:.2} with value by work, expected below 0.8"
    );
}

#[test]
fn request_past_its_deadline_is_rejected_at_once() {
    let mut harness = Harness::new(default_settings(Idempotency::Idempotent), 5);
    harness.list_ready_workers(2);
    assert!(is_rejected(&harness.submit(request(1, 0))));
}

/// Guards against a job that needs more memory than any worker has: it would be pending until its
/// deadline, or, where reports are rare, be sent to one worker after the other and make each look
/// full. A worker that has not reported yet, or has just started, may have the memory.
#[test]
fn request_for_more_memory_than_any_worker_has_reported_is_rejected_at_once() {
    let mut harness = Harness::new(probing_settings(), 3);
    harness.list_ready_workers(2);
    let submit_large =
        |harness: &mut Harness, id: u64| harness.submit(Request { memory: 5.0, ..request(id, SEC) });
    let report = |memory: f64| LoadReport {
        free_slots: Some(1.0),
        free_memory: Some(memory),
        ..LoadReport::default()
    };
    let end_probe = |harness: &mut Harness, worker: &str, memory: f64| {
        let report = Some(report(memory));
        harness.handle(Event::ProbeEnded { worker, outcome: Outcome::Ok, elapsed: MS, report });
    };
    end_probe(&mut harness, "w0", 2.0);
    assert!(!is_rejected(&submit_large(&mut harness, 1)), "w1 has not reported yet");
    end_probe(&mut harness, "w1", 4.0);
    assert!(is_rejected(&submit_large(&mut harness, 2)), "no worker has ever reported 5 free memory units");
    end_probe(&mut harness, "w1", 6.0);
    end_probe(&mut harness, "w1", 1.0);
    assert!(!is_rejected(&submit_large(&mut harness, 3)), "w1 has reported 6 free memory units before");
    assert!(
        harness
            .submit(Request { memory: 0.0, ..request(4, SEC) })
            .iter()
            .all(|a| !matches!(a, Action::Reject { .. }))
    );
}
