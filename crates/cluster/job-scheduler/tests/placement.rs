//! Which worker a task goes to, and when it goes to none.
mod common;
use common::{ManualScheduler, ONE_TASK, first_task, is_stop, single_start, started_run, starts};
use spanlead_job_scheduler::{
    JobId, JobOutcome, JobState, TaskId, WorkerCall, WorkerRequest, WorkerResponse,
};
use std::collections::BTreeSet;

/// A gang of so many tasks, of which one fits a worker.
fn gang(count: usize) -> String {
    ONE_TASK.replace("\"count\":1", &format!("\"count\":{count},\"gang\":true"))
}

#[test]
fn gang_that_does_not_fit_as_a_whole_is_not_started() {
    let mut manual = ManualScheduler::new(2);

    manual.submit(1, &gang(3));

    for _ in 0..20 {
        assert!(starts(&manual.advance(20)).is_empty());
    }
}

#[test]
fn members_of_a_gang_start_together_under_one_run_number() {
    let mut manual = ManualScheduler::new(3);

    manual.submit(1, &gang(3));

    let calls = manual.commit();
    let workers: BTreeSet<&str> = starts(&calls).iter().map(|start| &*start.worker_id).collect();
    assert_eq!(workers.len(), 3, "one on each worker");
    assert!(starts(&calls).iter().all(|start| started_run(start).1 == 1), "{calls:?}");
}

#[test]
fn task_that_failed_starts_again_on_another_worker_until_its_attempts_are_spent() {
    const MAX_ATTEMPTS: u32 = 3;
    let mut manual = ManualScheduler::new(2);
    manual.submit(1, ONE_TASK);
    let mut last_worker: Option<String> = None;

    for attempt in 1..=MAX_ATTEMPTS {
        let start = single_start(&manual.commit());
        assert_eq!(started_run(&start), (first_task(1), attempt));
        assert_ne!(last_worker.as_deref(), Some(&*start.worker_id), "it failed there");
        manual.acknowledge(&start);
        let renewal = manual.waiting_renewal(&start.worker_id);
        // The first end of each worker has the number 1 there.
        let number = u64::from(attempt.div_ceil(2));
        manual.report(&renewal, &[], &[(number, first_task(1), attempt, "failed")]);
        manual.scheduler.place_ready_tasks(manual.now());
        last_worker = Some(start.worker_id.to_string());
    }

    assert_eq!(manual.scheduler.job_state(JobId(1)), Some(JobState::Closed(JobOutcome::Failed)));
    assert!(starts(&manual.commit()).is_empty());
}

#[test]
fn start_rejected_for_want_of_capacity_goes_to_another_worker() {
    let mut manual = ManualScheduler::new(2);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());

    manual.respond(&start, WorkerResponse::Rejected { status: 409, reason: "room".into() });

    let again = single_start(&manual.advance(20));
    assert_ne!(again.worker_id, start.worker_id);
    assert_eq!(started_run(&again).1, 2);
}

/// Capacity of the largest worker decides, not what is free.
#[test]
fn job_that_fits_no_worker_fails() {
    let mut manual = ManualScheduler::new(2);
    manual.submit(1, &ONE_TASK.replace("600", "2000"));
    manual.submit(2, &ONE_TASK.replace("\"count\":1", "\"count\":9"));

    for _ in 0..300 {
        manual.advance(20);
    }

    assert_eq!(manual.scheduler.job_state(JobId(1)), Some(JobState::Closed(JobOutcome::Failed)));
    assert_eq!(manual.scheduler.job_state(JobId(2)), Some(JobState::Running));
}

#[test]
fn run_that_no_record_names_is_stopped_and_occupies_capacity() {
    const UNKNOWN_RUN: u32 = 7;
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());
    manual.acknowledge(&start);
    let renewal = manual.waiting_renewal("i-0");
    let (task, run) = started_run(&start);

    // The run that was asked for ends, while another of the same task is there.
    manual.report(&renewal, &[(task, UNKNOWN_RUN)], &[(1, task, run, "stopped")]);

    let calls = manual.advance(20);
    let is_stop_of_unknown = |call: &WorkerCall| {
        matches!(call.request, WorkerRequest::Stop { run: UNKNOWN_RUN, .. }) && is_stop(call)
    };
    assert!(calls.iter().any(is_stop_of_unknown), "{calls:?}");
    assert!(starts(&calls).is_empty(), "its capacity is in use");
}

/// A run that no record names occupies capacity until it is gone; then what waits is placed without
/// any other event.
#[test]
fn capacity_of_an_orphan_that_is_gone_is_used_at_once() {
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());
    manual.acknowledge(&start);
    let (task, run) = started_run(&start);
    let orphan = (task, run + 8);
    let renewal = manual.waiting_renewal("i-0");
    manual.report(&renewal, &[orphan], &[(1, task, run, "done")]);
    manual.submit(2, ONE_TASK);
    assert!(starts(&manual.advance(20)).is_empty(), "the orphan occupies the worker");

    let renewal = manual.waiting_renewal("i-0");
    manual.report(&renewal, &[], &[]);

    assert_eq!(started_run(&single_start(&manual.advance(20))).0, first_task(2));
}

/// Fills all workers, and queues jobs that fit nowhere, each with a smaller demand than the one
/// before, so that none stands for another.
fn full_workers_and_many_that_wait(workers: usize) -> ManualScheduler {
    let mut manual = ManualScheduler::new(workers);
    manual.submit(1, &ONE_TASK.replace("\"count\":1", &format!("\"count\":{workers}")));
    for start in starts(&manual.commit()) {
        manual.acknowledge(start);
    }
    for waiting in 0..40 {
        manual.submit(100 + waiting, &ONE_TASK.replace("600", &(900 - waiting).to_string()));
    }
    for _ in 0..5 {
        assert!(starts(&manual.advance(20)).is_empty(), "all workers are full");
    }
    manual
}

#[test]
fn capacity_that_is_freed_is_seen_among_many_that_do_not_fit() {
    let mut manual = full_workers_and_many_that_wait(4);
    let run = manual.scheduler.inspect_job(JobId(1)).expect("known").open_tasks[2].clone();
    let worker = run.active_runs[0].worker_id.clone();
    let task = TaskId { index: 2, ..first_task(1) };

    let renewal = manual.waiting_renewal(&worker);
    manual.report(&renewal, &[], &[(1, task, 1, "done")]);

    assert_eq!(starts(&manual.advance(40)).len(), 1, "a task of 900 to 861 fits");
}

#[test]
fn worker_that_is_listed_is_used_by_one_of_many_that_do_not_fit() {
    let mut manual = full_workers_and_many_that_wait(4);

    manual.list_workers(5);
    for call in manual.advance(20).iter().filter(|call| *call.worker_id == *"i-4") {
        manual.report(call, &[], &[]);
    }

    assert_eq!(starts(&manual.advance(40)).len(), 1, "on the new worker");
}
