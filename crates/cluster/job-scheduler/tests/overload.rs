//! Overload: the limits on calls, starts and placement attempts.
mod common;
use common::{CONFIG, ManualScheduler, ONE_TASK, started_run, starts};
use spanlead_job_scheduler::{SchedulerConfig, StartLimit, WorkerCall, WorkerResponse};
use std::collections::BTreeSet;

/// A job of `count` tasks with the demand of [`ONE_TASK`].
fn tasks(count: usize) -> String {
    ONE_TASK.replace("\"count\":1", &format!("\"count\":{count}"))
}

/// While the calls in flight are at their limit, the next check for due renewals begins with the
/// first worker that was skipped.
#[test]
fn workers_are_called_in_turn_while_calls_are_at_their_limit() {
    const WORKERS: usize = 200;
    let config = SchedulerConfig { max_concurrent_calls: 100, ..CONFIG };
    let mut manual = ManualScheduler::without_responses(WORKERS, config);
    let mut called: BTreeSet<String> = BTreeSet::new();

    for _ in 0..4 {
        // A worker that rejects its renewal is due again by the next round.
        for call in manual.advance(400) {
            called.insert(call.worker_id.to_string());
            manual.respond(&call, WorkerResponse::Rejected { status: 503, reason: "".into() });
        }
    }

    assert_eq!(called.len(), WORKERS, "workers that were called");
}

/// Tasks that can't be started yet stay in the pending queue, which is ordered by priority.
#[test]
fn starts_in_flight_are_bounded() {
    const MAX_STARTS: usize = 160;
    let mut manual = ManualScheduler::new(600);
    manual.submit(1, &tasks(500));

    let mut in_flight: Vec<WorkerCall> = Vec::new();
    // Ends just before the first start times out.
    for _ in 0..14 {
        in_flight.extend(starts(&manual.advance(20)).into_iter().cloned());
        assert!(in_flight.len() <= MAX_STARTS, "{} starts in flight", in_flight.len());
    }
    assert_eq!(in_flight.len(), MAX_STARTS);

    for start in in_flight.split_off(MAX_STARTS / 2) {
        manual.acknowledge(&start);
    }
    assert_eq!(starts(&manual.advance(20)).len(), MAX_STARTS / 2);
}

/// Workers that do not respond must not hold back starts on other workers.
#[test]
fn starts_that_timed_out_do_not_count_as_in_flight() {
    const MAX_STARTS: usize = 160;
    let mut manual = ManualScheduler::new(600);
    manual.submit(1, &tasks(500));
    assert_eq!(starts(&manual.commit()).len(), MAX_STARTS);

    let calls = manual.advance(320);

    assert_eq!(
        starts(&calls).len(),
        MAX_STARTS,
        "the first starts timed out, and their calls are still open"
    );
    // Timed-out starts beyond the first `MAX_STARTS` do count.
    for _ in 0..20 {
        assert!(starts(&manual.advance(20)).is_empty(), "no start has a response");
    }
}

/// The acknowledgement of a run end is deferred until a commit as a start is, but occupies no
/// worker.
#[test]
fn run_ends_that_wait_for_their_commit_do_not_count_as_starts() {
    const WORKERS: usize = 200;
    let mut manual = ManualScheduler::new(WORKERS);
    manual.submit(1, &tasks(WORKERS));
    let mut runs = Vec::new();
    while runs.len() < WORKERS {
        let calls = manual.advance(20);
        for start in starts(&calls) {
            manual.acknowledge(start);
            runs.push((start.worker_id.to_string(), started_run(start)));
        }
    }
    for (worker, (task, run)) in &runs {
        let renewal = manual.take_waiting_renewal(worker);
        manual.report(&renewal, &[], &[(1, *task, *run, "done")]);
    }

    manual.submit(2, &tasks(100));

    assert_eq!(starts(&manual.commit()).len(), 100, "200 run ends wait for the same commit");
}

#[test]
fn limit_that_holds_back_the_first_pending_task_is_reported() {
    let mut manual = ManualScheduler::new(600);
    manual.submit(1, &tasks(600));
    manual.advance(300);
    assert_eq!(manual.scheduler.metrics().held_back_by, None);

    for _ in 0..10 {
        manual.advance(100);
    }

    let metrics = manual.scheduler.metrics();
    assert_eq!(metrics.held_back_by, Some(StartLimit::InFlight));
    assert!(metrics.held_back_checks > 0);
}

/// A lack of capacity is not reported as a limit on starts.
#[test]
fn no_limit_is_reported_while_workers_are_full() {
    let mut manual = ManualScheduler::new(2);
    manual.submit(1, &tasks(4));
    for start in starts(&manual.commit()) {
        manual.acknowledge(start);
    }

    for _ in 0..20 {
        manual.advance(100);
    }

    assert_eq!(manual.scheduler.metrics().held_back_by, None);
}

/// Each run end frees capacity, but never enough for the pending tasks. Their placement is
/// attempted again from time to time, not after each run end.
#[test]
fn tasks_that_do_not_fit_are_not_retried_after_each_run_end() {
    const WORKERS: usize = 100;
    const PENDING_JOBS: u64 = 12;
    let mut manual = ManualScheduler::new(WORKERS);
    manual.submit(1, &tasks(WORKERS));
    let mut runs = Vec::new();
    while runs.len() < WORKERS {
        for start in starts(&manual.advance(20)) {
            manual.acknowledge(start);
            runs.push((start.worker_id.to_string(), started_run(start)));
        }
    }
    let renewals: Vec<WorkerCall> =
        runs.iter().map(|(worker, _)| manual.take_waiting_renewal(worker)).collect();
    for job in 0..PENDING_JOBS {
        manual.submit(100 + job, &ONE_TASK.replace("600", &(1_100 - job).to_string()));
    }
    let before = manual.scheduler.metrics().placement_attempts;

    for ((_, (task, run)), renewal) in runs.iter().zip(&renewals) {
        manual.report(renewal, &[], &[(1, *task, *run, "done")]);
        manual.scheduler.place_ready_tasks(manual.now());
    }

    let attempts = manual.scheduler.metrics().placement_attempts - before;
    assert!(
        attempts <= 2 * PENDING_JOBS,
        "{attempts} placement attempts after {WORKERS} simultaneous run ends"
    );
}

#[test]
fn task_that_fits_is_placed_behind_many_gangs_that_do_not_fit() {
    let mut manual = ManualScheduler::new(3);
    manual.submit(1, &tasks(2).replace("600", "900"));
    for start in starts(&manual.commit()) {
        manual.acknowledge(start);
    }
    let gang = ONE_TASK.replace("\"count\":1", "\"count\":2,\"gang\":true");
    for job in 2..602 {
        manual.submit(job, &gang);
    }

    manual.submit(1_000, ONE_TASK);

    let submitted_at_ms = manual.now_ms;
    while starts(&manual.advance(20)).is_empty() {
        assert!(manual.now_ms < submitted_at_ms + 1_000, "the task is not placed within 1 s");
    }
}

#[test]
fn scheduler_whose_ticks_are_late_sends_fewer_starts() {
    const LATE_MS: u64 = 200;
    let mut manual = ManualScheduler::new(600);
    for _ in 0..10 {
        manual.scheduler.record_tick_lateness(LATE_MS);
    }
    manual.submit(1, &tasks(500));
    let calls = manual.commit();
    let late = starts(&calls).len();
    assert!((1..=8).contains(&late), "{late} starts while ticks are late");
    for start in starts(&calls) {
        manual.acknowledge(start);
    }

    for _ in 0..10 {
        manual.scheduler.record_tick_lateness(0);
    }

    let calls = manual.advance(20);
    assert!(starts(&calls).len() > 100, "{} starts once ticks are in time", starts(&calls).len());
}
