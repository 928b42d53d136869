//! Faults that reach many dispatchers at the same moment. Each of up to 100 dispatchers runs in its
//! own harness.

mod common;

use common::{Harness, MS, SEC, default_settings, request};
use spanlead_balancing_policy::{
    Action, Endpoint, EndpointUpdate, Event, Idempotency, LoadReport, LoadReporting, Nanos, Outcome, Prices,
    Settings, WorkerState,
};
use std::collections::BTreeMap;

/// The number of dispatchers, unless a test says otherwise.
const DISPATCHERS: u64 = 100;

/// Settings of a fleet that is large for its traffic. The endpoint list must be requested, and idle
/// connections stay open for 10 s.
fn large_fleet_settings() -> Settings {
    let mut settings = Settings {
        must_request_endpoints: true,
        instance_count: DISPATCHERS as u32,
        ..default_settings(Idempotency::Idempotent)
    };
    settings.limits.idle_connection_timeout = 10 * SEC;
    settings
}

/// Gives the dispatcher a cached endpoint list of `count` ready workers from before its start.
fn restore_workers(harness: &mut Harness, count: usize) {
    let names: Vec<String> = (0..count).map(|i| format!("w{i}")).collect();
    let entries: Vec<Endpoint<'_>> = names.iter().map(|w| Endpoint::new(w, WorkerState::Ready)).collect();
    harness.update_endpoints(EndpointUpdate::CachedSnapshot, &entries);
}

/// Service discovery is unavailable for the first 20 s of dispatchers that started at the same
/// moment. Guards against calls that are synchronised or too frequent, and against jobs that are
/// not sent meanwhile.
#[test]
fn calls_to_failing_discovery_are_spread_and_bounded_while_jobs_are_served() {
    let mut calls: BTreeMap<Nanos, u32> = BTreeMap::new();
    for seed in 0..DISPATCHERS {
        let mut harness = Harness::new(large_fleet_settings(), seed);
        let (start, mut seen_actions, mut dispatcher_calls) = (harness.now, 0, 0);
        restore_workers(&mut harness, 20);
        for id in 0..200 {
            if id % 20 == 0 {
                harness.submit(request(id, SEC));
                assert_eq!(harness.workers_of(id).len(), 1, "the cached list is used");
                harness.end_attempt(id, 0, Outcome::Ok);
            }
            harness.advance(100 * MS, true);
            let new_calls =
                harness.trace[seen_actions..].iter().filter(|a| matches!(a, Action::Subscribe)).count()
                    as u32;
            seen_actions = harness.trace.len();
            if new_calls > 0 {
                *calls.entry((harness.now - start) / (100 * MS)).or_default() += new_calls;
                dispatcher_calls += new_calls;
                harness.update_endpoints(EndpointUpdate::Unavailable, &[]);
            }
        }
        assert!(
            (2..=16).contains(&dispatcher_calls),
            "{dispatcher_calls} calls in 20 s by dispatcher {seed}, expected 2 to 16"
        );
    }
    // If the dispatchers called at the same time, all 100 calls would fall into one span of 100 ms.
    let most = calls.values().max().copied().unwrap_or(0);
    assert!(most <= 25, "{most} calls of {DISPATCHERS} dispatchers within 100 ms, expected at most 25");
}

/// Nine in ten workers of the cached list are gone, which a dispatcher learns only from failed
/// connections.
#[test]
fn every_job_is_answered_once_when_most_workers_of_a_stale_list_are_gone() {
    let (mut served, mut jobs) = (0, 0);
    for seed in 0..DISPATCHERS {
        let mut harness = Harness::new(large_fleet_settings(), seed);
        restore_workers(&mut harness, 30);
        for id in 0..20 {
            harness.submit(request(id, SEC));
            jobs += 1;
            while let Some(worker) = harness.workers_of(id).last().cloned() {
                let alive =
                    worker.strip_prefix('w').and_then(|n| n.parse::<u32>().ok()).is_some_and(|n| n < 3);
                let attempts = harness.workers_of(id).len();
                harness.end_attempt(
                    id,
                    attempts as u32 - 1,
                    if alive { Outcome::Ok } else { Outcome::ConnectFailed },
                );
                served += u32::from(alive);
                if alive || harness.workers_of(id).len() == attempts {
                    break;
                }
            }
            harness.advance(2 * SEC, true);
            assert!(harness.checker.requests[&id].closed, "dispatcher {seed}, job {id} has no final answer");
        }
    }
    // Three attempts at random, with 3 of 30 workers left, reach one of these for a quarter of the
    // jobs; the ejection of workers that failed raises that.
    assert!(served * 2 > jobs, "{served} of {jobs} jobs served, expected more than half");
}

/// All prices are 0, and peer messages are not permitted.
#[test]
fn every_job_is_sent_once_with_zero_prices_and_without_peer_messages() {
    let mut settings = large_fleet_settings();
    settings.limits.can_probe = true;
    settings.load_reporting = LoadReporting::InResponses;
    assert_eq!((settings.prices.clone(), settings.limits.can_message_peers), (Prices::default(), false));
    for seed in 0..DISPATCHERS {
        let mut harness = Harness::new(settings.clone(), seed);
        restore_workers(&mut harness, 20);
        for id in 0..10 {
            harness.submit(request(id, SEC));
            harness.advance(100 * MS, true);
            let attempts = harness.workers_of(id).len();
            assert_eq!(attempts, 1, "attempts of dispatcher {seed}, job {id}");
            harness.end_attempt(id, 0, Outcome::Ok);
        }
        assert!(!harness.trace.iter().any(|a| matches!(a, Action::SendToPeer { .. })));
        assert_eq!(harness.checker.overdue_request(harness.now), None);
    }
}

/// All workers of a zone fail, so that every connection to them fails, and return in slow start
/// under the same names. Every job gets its final answer, and the returned workers are used again
/// at once but get no more from all dispatchers together than they can serve.
#[test]
fn zone_that_returns_in_slow_start_is_used_again_and_not_overloaded() {
    const ZONE_SIZE: usize = 20;
    let names: Vec<String> = (0..60).map(|i| format!("w{i}")).collect();
    let entry = |i: usize, started| Endpoint {
        zone: (i / ZONE_SIZE) as u32,
        started_at: started,
        ..Endpoint::new(&names[i], WorkerState::Ready)
    };
    let in_failed_zone = |worker: &str| names[..ZONE_SIZE].iter().any(|name| name == worker);
    let (mut sent_after_return, mut windows) = (0u32, BTreeMap::new());
    // No idle connection is kept open: otherwise jobs that end at once would all go to the worker
    // of the previous job.
    let mut settings = large_fleet_settings();
    settings.limits.idle_connection_timeout = 0;
    for seed in 0..DISPATCHERS {
        let mut harness = Harness::new(settings.clone(), seed);
        let entries: Vec<Endpoint<'_>> = (0..60).map(|i| entry(i, None)).collect();
        harness.update_endpoints(EndpointUpdate::Snapshot, &entries);
        for id in 0..60u64 {
            // The zone is down for 10 s, from job 20 to job 39.
            if id == 40 {
                let entries: Vec<Endpoint<'_>> =
                    (0..ZONE_SIZE).map(|i| entry(i, Some(harness.now))).collect();
                harness.update_endpoints(EndpointUpdate::Delta, &entries);
            }
            harness.submit(request(id, SEC));
            while let Some(worker) = harness.workers_of(id).last().cloned() {
                let attempts = harness.workers_of(id).len();
                let fails = (20..40).contains(&id) && in_failed_zone(&worker);
                if id >= 40 && in_failed_zone(&worker) {
                    sent_after_return += 1;
                    // A window of the slow-start budget is 2 s: four jobs of each dispatcher.
                    *windows.entry((worker, (id - 40) / 4)).or_insert(0u32) += 1;
                }
                harness.end_attempt(
                    id,
                    attempts as u32 - 1,
                    if fails { Outcome::ConnectFailed } else { Outcome::Ok },
                );
                if !fails || harness.workers_of(id).len() == attempts {
                    break;
                }
            }
            harness.advance(500 * MS, true);
            assert!(harness.checker.requests[&id].closed, "dispatcher {seed}, job {id} has no final answer");
        }
    }
    assert!(
        sent_after_return > 100,
        "{sent_after_return} of 2,000 jobs went to the zone after its return, expected more than 100"
    );
    // Of the 400 jobs in a window a warm worker gets 6.7. The overload multiple, 3, of what a
    // worker can serve at 0.3 of its capacity is 6 jobs, and 10 at the end of the window; the rest
    // is chance.
    let most = windows.values().max().copied().unwrap_or(0);
    assert!(most <= 14, "{most} jobs to one returned worker in a window, expected at most 14");
}

/// Workers that started long ago.
const WARM_WORKERS: [&str; 3] = ["w0", "w1", "w2"];

/// Ends a probe of a worker with a report of this many free slots.
fn report_free_slots(harness: &mut Harness, worker: &str, free_slots: f64) {
    let report = Some(LoadReport { free_slots: Some(free_slots), ..LoadReport::default() });
    harness.handle(Event::ProbeEnded { worker, outcome: Outcome::Ok, elapsed: MS, report });
}

/// A harness whose dispatcher knows the three warm workers, of four slots each, and has had six
/// jobs served there one after the other in 1 s each. `after_each` is called after each job.
fn dispatcher_with_history(settings: &Settings, seed: u64, after_each: impl Fn(&mut Harness)) -> Harness {
    let mut harness = Harness::new(settings.clone(), seed);
    restore_workers(&mut harness, WARM_WORKERS.len());
    for id in 0..6 {
        harness.submit(request(id, 4 * SEC));
        harness.advance(SEC, true);
        harness.end_attempt(id, 0, Outcome::Ok);
        after_each(&mut harness);
    }
    harness
}

/// Guards the replacement of nearly the whole fleet at once, when the few old workers are full.
/// What all dispatchers together send to a new worker is bounded by its capacity, however much
/// traffic there is, and the worker is used, however little traffic each dispatcher sees. With
/// shares in proportion to a dispatcher's own traffic neither holds: with one worker left, each
/// dispatcher counts all of its traffic as its share of that worker, and the work that waits at the
/// other workers is in no dispatcher's share.
#[test]
fn shares_of_a_new_worker_add_up_to_its_capacity() {
    let settings = Settings { instance_count: DISPATCHERS as u32, ..large_fleet_settings() };
    let sent_to_new_worker = |jobs: u64| {
        let mut sent = 0;
        for seed in 0..DISPATCHERS {
            let mut harness = dispatcher_with_history(&settings, seed, |harness| {
                WARM_WORKERS.into_iter().for_each(|w| report_free_slots(harness, w, 4.0));
            });
            let started = Some(harness.now);
            harness.update_endpoints(
                EndpointUpdate::Snapshot,
                &[Endpoint { started_at: started, ..Endpoint::new("w9", WorkerState::Ready) }],
            );
            // The jobs arrive over 2 s, a window of the slow-start budget.
            for id in 100..100 + jobs {
                harness.submit(request(id, 4 * SEC));
                harness.advance(2 * SEC / jobs, true);
                sent += harness.workers_of(id).len();
            }
        }
        sent
    };
    // A warm worker serves 8 jobs in a window, this one 0.3 of them at first. The overload
    // multiple, 3, of that is the bound, which grows as the worker warms up.
    let sent = sent_to_new_worker(8);
    assert!((1..=10).contains(&sent), "{sent} of 800 jobs to the new worker in a window, expected 1 to 10");
}

/// A dispatcher counts as notified of a change 6 s after service discovery had the change and could
/// be reached, whatever failed before. So the pause before a call must leave time for a call that
/// is in flight when service discovery comes back (2 s) and for the one that follows (1 s). This
/// covers the first call of 300 dispatchers that start together, and the next one after many failed
/// calls.
#[test]
fn no_pause_between_calls_to_discovery_outlasts_the_notification_time() {
    let timer_delays = |actions: &[Action]| {
        actions
            .iter()
            .filter_map(|a| match a {
                Action::Timer { after, .. } => Some(*after),
                _ => None,
            })
            .collect::<Vec<_>>()
    };
    for seed in 0..DISPATCHERS {
        let mut harness = Harness::new(Settings { instance_count: 300, ..large_fleet_settings() }, seed);
        let entries = [Endpoint::new("w0", WorkerState::Ready)];
        let first = timer_delays(&harness.update_endpoints(EndpointUpdate::CachedSnapshot, &entries));
        assert!(
            first.len() == 1 && first[0] <= 15 * SEC / 4,
            "first call after {first:?} ns, expected one timer of at most 3.75 s"
        );
        for failed in 1..10 {
            let next = timer_delays(&harness.update_endpoints(EndpointUpdate::Unavailable, &[]));
            assert!(
                next.len() == 1 && next[0] <= 11 * SEC / 4,
                "after {failed} failed calls the next one after {next:?} ns, expected one timer of at most 2.75 s"
            );
        }
    }
}

/// Counts the jobs that 30 dispatchers send to a new worker in one window of its slow-start budget.
/// They have served jobs before and are idle for `idle_before` before the update that lists the new
/// worker, and for `idle_after` after it. Then eight jobs arrive at each dispatcher; the other
/// workers are full, and the new worker reports four free slots to all.
fn jobs_sent_to_new_worker_after_idle_time(idle_before: Nanos, idle_after: Nanos) -> usize {
    const DISPATCHER_COUNT: u64 = 30;
    let mut settings = Settings { instance_count: DISPATCHER_COUNT as u32, ..large_fleet_settings() };
    settings.limits.can_probe = true;
    settings.load_reporting = LoadReporting::InResponses;
    let mut sent = 0;
    for seed in 0..DISPATCHER_COUNT {
        let mut harness = dispatcher_with_history(&settings, seed, |_| ());
        harness.advance(idle_before, false);
        WARM_WORKERS.into_iter().for_each(|w| report_free_slots(&mut harness, w, 0.0));
        let started = Some(harness.now);
        let entries: Vec<Endpoint<'_>> = WARM_WORKERS.map(|w| Endpoint::new(w, WorkerState::Ready)).into();
        let new_worker = [Endpoint { started_at: started, ..Endpoint::new("w9", WorkerState::Ready) }];
        let list = [&entries[..], &new_worker].concat();
        harness.update_endpoints(EndpointUpdate::Snapshot, &list);
        harness.advance(idle_after, false);
        for id in 100..108 {
            harness.submit(request(id, 4 * SEC));
        }
        for _ in 0..20 {
            // The same snapshot arrives again and again, with the start time unchanged.
            harness.update_endpoints(EndpointUpdate::Snapshot, &list);
            WARM_WORKERS.into_iter().for_each(|w| report_free_slots(&mut harness, w, 0.0));
            report_free_slots(&mut harness, "w9", 4.0);
            harness.advance(100 * MS, false);
        }
        sent += (100..108).flat_map(|id| harness.workers_of(id)).filter(|worker| worker == "w9").count();
    }
    sent
}

/// The most jobs that a new worker may get in a window that begins `idle_after` after its start.
///
/// A warm worker serves 8 jobs in the window of 2 s, a new one 0.3 of them at first and all of them
/// after 8 s. Its budget is the overload multiple, 3, of what it serves at the end of the window.
/// Twice the square root of the budget, and two jobs more, allow for chance.
fn max_jobs_in_window(idle_after: Nanos) -> f64 {
    let ramp = 0.3 + 0.7 * (idle_after + 2 * SEC) as f64 / (8 * SEC) as f64;
    let budget = 3.0 * 8.0 * ramp;
    budget + 2.0 * budget.sqrt() + 2.0
}

/// Guards against pending jobs that exceed the budget because each of them drew the new worker as a
/// candidate before the first one was sent there.
#[test]
fn jobs_pending_for_the_same_new_worker_keep_to_its_budget_together() {
    let (sent, max) = (jobs_sent_to_new_worker_after_idle_time(0, 0), max_jobs_in_window(0));
    assert!(sent > 0 && (sent as f64) <= max, "{sent} jobs to the new worker, expected 1 to {max:.1}");
}

/// Guards against raised shares that are all used at once: a dispatcher that has been idle expects
/// to examine a worker very rarely, and its share of the budget is raised for that. When jobs
/// arrive at all dispatchers at the same moment, each would use its raised share.
#[test]
fn rested_dispatchers_keep_to_the_budget_of_a_new_worker_together() {
    for (idle_before, idle_after) in [(5, 0), (30, 0), (120, 0), (0, 3), (30, 3), (30, 5)] {
        let (sent, max) = (
            jobs_sent_to_new_worker_after_idle_time(idle_before * SEC, idle_after * SEC),
            max_jobs_in_window(idle_after * SEC),
        );
        let idle = format!("idle {idle_before} s before and {idle_after} s after the update");
        assert!(
            sent > 0 && (sent as f64) <= max,
            "{idle}: {sent} jobs to the new worker, expected 1 to {max:.1}"
        );
    }
}

/// Runs 30 dispatchers and 10 workers that have all just started, so that no dispatcher knows
/// running times or slots. Eight jobs arrive at each dispatcher in one window of the slow-start
/// budget. Returns the number of jobs sent to all workers, and the largest number sent to one
/// worker.
fn jobs_sent_to_a_fleet_that_has_just_started(reports_load: bool) -> (usize, usize) {
    const DISPATCHER_COUNT: u64 = 30;
    let mut settings = Settings { instance_count: DISPATCHER_COUNT as u32, ..large_fleet_settings() };
    if reports_load {
        settings.limits.can_probe = true;
        settings.load_reporting = LoadReporting::InResponses;
    }
    let names: Vec<String> = (0..10).map(|i| format!("w{i}")).collect();
    let mut sent: BTreeMap<String, usize> = BTreeMap::new();
    for seed in 0..DISPATCHER_COUNT {
        let mut harness = Harness::new(settings.clone(), seed);
        let started = Some(harness.now);
        let entry = |w| Endpoint { started_at: started, ..Endpoint::new(w, WorkerState::Ready) };
        let entries: Vec<Endpoint<'_>> = names.iter().map(|w| entry(w)).collect();
        harness.update_endpoints(EndpointUpdate::Snapshot, &entries);
        for id in 0..8 {
            harness.submit(request(id, 4 * SEC));
            harness.advance(250 * MS, true);
        }
        (0..8).flat_map(|id| harness.workers_of(id)).for_each(|worker| *sent.entry(worker).or_default() += 1);
    }
    (sent.values().sum(), sent.values().max().copied().unwrap_or(0))
}

/// Guards a fleet whose running times and slots are unknown: if no new worker is granted a share,
/// no dispatcher learns anything until all workers are warm.
#[test]
fn fleet_that_has_just_started_is_used_within_its_budget() {
    for reports_load in [true, false] {
        let (sent, most) = jobs_sent_to_a_fleet_that_has_just_started(reports_load);
        // Each worker is granted one job in a window, ten in all. By chance, the total may be
        // lower by the square root of ten, and one worker may get up to five jobs.
        assert!(sent >= 7, "reports load: {reports_load}; {sent} of 240 jobs sent, expected at least 7");
        assert!(
            most <= 1 + 2 + 2,
            "reports load: {reports_load}; {most} jobs to one worker, expected at most 5"
        );
    }
}
