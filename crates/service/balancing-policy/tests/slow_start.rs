//! How many jobs all dispatchers together send to a worker in slow start.

mod common;

use common::{Harness, MS, SEC, default_settings, request};
use spanlead_balancing_policy::{
    Endpoint, EndpointUpdate, Idempotency, Outcome, Request, SafetyRules, Settings, WorkerState,
};
use std::collections::BTreeMap;

/// Guards against dispatchers that together send a worker in slow start eight times the work that
/// it can serve: when the fleet is overloaded and workers restart, these look idle to every
/// dispatcher.
#[test]
fn dispatchers_together_do_not_overload_a_worker_in_slow_start() {
    // All dispatchers send 400 jobs in 2 s. The share of a warm worker is 20; one in slow start can
    // serve a third of that.
    let (dispatchers, jobs_each, fleet) = (40u64, 10u64, 20u64);
    let warm_share = dispatchers * jobs_each / fleet;
    let jobs = jobs_sent_to_a_worker_in_slow_start(|_| None);
    assert!(jobs > 0, "the worker in slow start got no job");
    assert!(jobs <= warm_share, "{jobs} jobs to a worker in slow start, expected at most {warm_share}");
    // Jobs with affinity keys draw their candidates differently: with a key for each job, or one
    // for all.
    let jobs = jobs_sent_to_a_worker_in_slow_start(|id| Some(id * 7919));
    assert!(
        jobs <= warm_share,
        "{jobs} jobs with different keys to a worker in slow start, expected at most {warm_share}"
    );
    for key in 0..20 {
        let jobs = jobs_sent_to_a_worker_in_slow_start(|_| Some(key));
        assert!(
            jobs <= warm_share,
            "{jobs} jobs with key {key} to a worker in slow start, expected at most {warm_share}"
        );
    }
}

/// Counts how many of the 400 jobs that 40 dispatchers send in 2 s go to the one of 20 workers that
/// has just started. `key` maps a request id to its affinity key.
fn jobs_sent_to_a_worker_in_slow_start(key: impl Fn(u64) -> Option<u64>) -> u64 {
    let request = |id: u64, time_left| Request { affinity_key: key(id), ..request(id, time_left) };
    let mut jobs = 0;
    for seed in 0..40 {
        let mut harness =
            Harness::new(Settings { instance_count: 40, ..default_settings(Idempotency::Idempotent) }, seed);
        harness.list_ready_workers(20);
        for id in 0..20 {
            harness.submit(request(id, SEC));
            if !harness.workers_of(id).is_empty() {
                harness.end_attempt(id, 0, Outcome::Ok);
            }
            harness.now += 200 * MS;
        }
        let started = Some(harness.now);
        harness.update_endpoints(
            EndpointUpdate::Delta,
            &[Endpoint { started_at: started, ..Endpoint::new("w0", WorkerState::Ready) }],
        );
        for id in 100..110 {
            harness.submit(request(id, SEC));
            let sends = harness.workers_of(id);
            jobs += sends.iter().filter(|w| *w == "w0").count() as u64;
            if !sends.is_empty() {
                harness.end_attempt(id, 0, Outcome::Ok);
            }
            harness.now += 200 * MS;
        }
    }
    jobs
}

/// Guards against workers in slow start that stay idle: 36 of 60 workers are replaced, and 100
/// dispatchers receive one request in 3 s each. A dispatcher's share of a new worker is granted for
/// each window, but the dispatcher examines the worker in only one window of ten. Unless the share
/// is raised for that, the 36 workers are idle while jobs wait 5 s at the other 24. The dispatchers
/// of this test receive two requests in 3 s each.
#[test]
fn workers_in_slow_start_get_their_share_from_dispatchers_with_little_traffic() {
    let (dispatchers, fleet, new_workers) = (100u64, 60usize, 36usize);
    let rules = SafetyRules {
        slow_start_duration: 24 * SEC,
        slow_start_initial_fraction: 0.12,
        overload_multiple: 3.0,
        overload_window: 3 * SEC,
        ..default_settings(Idempotency::Idempotent).rules
    };
    let names: Vec<String> = (0..fleet).map(|i| format!("w{i}")).collect();
    let (mut to_new_workers, mut jobs, mut windows) = (0u32, 0u32, BTreeMap::new());
    for seed in 0..dispatchers {
        let mut harness = Harness::new(
            Settings {
                instance_count: 100,
                rules: rules.clone(),
                ..default_settings(Idempotency::Idempotent)
            },
            seed,
        );
        harness.list_ready_workers(fleet);
        for id in 0..20 {
            // Models a fleet that is full except for its new workers, which every dispatcher
            // prefers.
            if id == 8 {
                let started = Some(harness.now);
                let entries: Vec<Endpoint<'_>> = (0..new_workers)
                    .map(|i| Endpoint { started_at: started, ..Endpoint::new(&names[i], WorkerState::Ready) })
                    .collect();
                harness.update_endpoints(EndpointUpdate::Delta, &entries);
            }
            harness.submit(request(id, SEC));
            let Some(worker) = harness.workers_of(id).first().cloned() else { continue };
            harness.end_attempt(id, 0, Outcome::Ok);
            if id >= 8 {
                let is_new = names[..new_workers].contains(&worker);
                jobs += 1;
                to_new_workers += u32::from(is_new);
                if is_new {
                    *windows.entry((worker, (id - 8) / 2)).or_insert(0u32) += 1;
                }
            }
            harness.now += 1500 * MS;
        }
    }
    // The new workers hold a fifth to a half of the capacity while they warm up. Warm workers with
    // an open connection are preferred, so the fraction of the jobs is lower: 0.13. It is 0.08 with
    // the share of an equally busy warm worker, and 0.02 with a share for each window that is not
    // raised by how rarely a dispatcher examines the worker.
    let fraction = f64::from(to_new_workers) / f64::from(jobs);
    assert!((0.1..0.6).contains(&fraction), "{fraction:.2} of the jobs to new workers, expected 0.1 to 0.6");
    // 100 dispatchers send 200 jobs in 3 s, three to a warm worker. A new worker may get the
    // overload multiple, 3, of 0.12 of that in the first window: one job on average. The jobs of
    // all dispatchers must not gather at one worker.
    let most = windows.values().max().copied().unwrap_or(0);
    assert!(most <= 9, "{most} jobs to one new worker within 3 s, expected at most 9");
}

/// Guards against dispatchers that together send a worker in slow start five times the work that it
/// can serve: weights that fall with load make a new worker look large, and a job of four slots may
/// be counted as one.
#[test]
fn slow_start_budget_counts_slots_and_at_most_the_mean_weight() {
    let mut slots = 0.0;
    for seed in 0..40 {
        let mut harness =
            Harness::new(Settings { instance_count: 40, ..default_settings(Idempotency::Idempotent) }, seed);
        let names: Vec<String> = (0..10).map(|i| format!("w{i}")).collect();
        let entry = |i: usize, weight| Endpoint { weight, ..Endpoint::new(&names[i], WorkerState::Ready) };
        let mut entries: Vec<Endpoint<'_>> = (0..10).map(|i| entry(i, 1.0)).collect();
        harness.update_endpoints(EndpointUpdate::Snapshot, &entries);
        let job_goes_to_w0 = |harness: &mut Harness, id: u64| {
            harness.submit(Request { slots: 4.0, ..request(id, SEC) });
            let sends = harness.workers_of(id);
            if !sends.is_empty() {
                harness.end_attempt(id, 0, Outcome::Ok);
            }
            harness.now += 100 * MS;
            sends == ["w0"]
        };
        for id in 0..40 {
            job_goes_to_w0(&mut harness, id);
        }
        entries[0] = Endpoint { started_at: Some(harness.now), ..entry(0, 10.0) };
        harness.update_endpoints(EndpointUpdate::Delta, &entries[..1]);
        slots +=
            (100..120).map(|id| 4.0 * f64::from(u8::from(job_goes_to_w0(&mut harness, id)))).sum::<f64>();
    }
    // 40 dispatchers send 3,200 slots in 2 s, 320 to a warm worker. The worker in slow start may
    // get the overload multiple, 3, of 0.3 to 0.475 of that.
    assert!(
        slots > 0.0 && slots < 320.0,
        "{slots} slots to a worker in slow start, expected above 0 and below 320"
    );
}
