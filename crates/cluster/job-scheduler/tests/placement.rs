//! Placement: which worker a task is assigned to, and when it is assigned to none.
mod common;
use common::{ManualScheduler, ONE_TASK, first_task, is_stop, single_start, started_run, starts};
use spanlead_job_scheduler::{
    JobId, JobOutcome, JobState, TaskId, WorkerCall, WorkerRequest, WorkerResponse,
};
use std::collections::BTreeSet;

/// A job of one gang of `count` tasks. A worker has capacity for one of them.
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
    assert!(
        starts(&calls).iter().all(|start| started_run(start).1 == 1),
        "expected run 1 of each member: {calls:?}"
    );
}

#[test]
fn failed_task_is_retried_on_another_worker_until_its_attempts_are_exhausted() {
    const MAX_ATTEMPTS: u32 = 3;
    let mut manual = ManualScheduler::new(2);
    manual.submit(1, ONE_TASK);
    let mut last_worker: Option<String> = None;

    for attempt in 1..=MAX_ATTEMPTS {
        let start = single_start(&manual.commit());
        assert_eq!(started_run(&start), (first_task(1), attempt));
        assert_ne!(
            last_worker.as_deref(),
            Some(&*start.worker_id),
            "the task has just failed on this worker"
        );
        manual.acknowledge(&start);
        let renewal = manual.take_waiting_renewal(&start.worker_id);
        // Run ends are numbered from 1 on each worker, and the attempts alternate between two
        // workers.
        let number = u64::from(attempt.div_ceil(2));
        manual.report(&renewal, &[], &[(number, first_task(1), attempt, "failed")]);
        manual.scheduler.place_ready_tasks(manual.now());
        last_worker = Some(start.worker_id.to_string());
    }

    assert_eq!(manual.scheduler.job_state(JobId(1)), Some(JobState::Closed(JobOutcome::Failed)));
    assert!(starts(&manual.commit()).is_empty());
}

#[test]
fn start_rejected_for_lack_of_capacity_is_retried_on_another_worker() {
    let mut manual = ManualScheduler::new(2);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());

    manual.respond(&start, WorkerResponse::Rejected { status: 409, reason: "room".into() });

    let again = single_start(&manual.advance(20));
    assert_ne!(again.worker_id, start.worker_id);
    assert_eq!(started_run(&again).1, 2);
}

/// A job fails if a task exceeds the capacity of the largest worker, not if it exceeds the free
/// capacity.
#[test]
fn job_with_a_task_larger_than_any_worker_fails() {
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
fn run_without_a_record_is_stopped_and_occupies_capacity() {
    const UNKNOWN_RUN: u32 = 7;
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());
    manual.acknowledge(&start);
    let renewal = manual.take_waiting_renewal("i-0");
    let (task, run) = started_run(&start);

    // The recorded run ends, while an unknown run of the same task is active.
    manual.report(&renewal, &[(task, UNKNOWN_RUN)], &[(1, task, run, "stopped")]);

    let calls = manual.advance(20);
    let is_stop_of_unknown = |call: &WorkerCall| {
        matches!(call.request, WorkerRequest::Stop { run: UNKNOWN_RUN, .. }) && is_stop(call)
    };
    assert!(calls.iter().any(is_stop_of_unknown), "expected a stop of the unknown run: {calls:?}");
    assert!(starts(&calls).is_empty(), "the unknown run occupies the capacity");
}

/// An orphan, a run without a record, occupies capacity until a report does not list it any more.
/// That report alone causes pending tasks to be placed.
#[test]
fn capacity_of_an_orphan_that_is_gone_is_used_at_once() {
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());
    manual.acknowledge(&start);
    let (task, run) = started_run(&start);
    let orphan = (task, run + 8);
    let renewal = manual.take_waiting_renewal("i-0");
    manual.report(&renewal, &[orphan], &[(1, task, run, "done")]);
    manual.submit(2, ONE_TASK);
    assert!(starts(&manual.advance(20)).is_empty(), "the orphan occupies the worker");

    let renewal = manual.take_waiting_renewal("i-0");
    manual.report(&renewal, &[], &[]);

    assert_eq!(started_run(&single_start(&manual.advance(20))).0, first_task(2));
}

/// Fills all workers, and queues 40 jobs that do not fit. Each has a smaller demand than the one
/// before, so that a failed placement of one does not rule out the next.
fn full_workers_with_pending_jobs(workers: usize) -> ManualScheduler {
    let mut manual = ManualScheduler::new(workers);
    manual.submit(1, &ONE_TASK.replace("\"count\":1", &format!("\"count\":{workers}")));
    for start in starts(&manual.commit()) {
        manual.acknowledge(start);
    }
    for index in 0..40 {
        manual.submit(100 + index, &ONE_TASK.replace("600", &(900 - index).to_string()));
    }
    for _ in 0..5 {
        assert!(starts(&manual.advance(20)).is_empty(), "all workers are full");
    }
    manual
}

#[test]
fn freed_capacity_is_used_while_many_pending_jobs_do_not_fit() {
    let mut manual = full_workers_with_pending_jobs(4);
    let view = manual.scheduler.inspect_job(JobId(1)).expect("job 1 is known").open_tasks[2].clone();
    let worker = view.active_runs[0].worker_id.clone();
    let task = TaskId { index: 2, ..first_task(1) };

    let renewal = manual.take_waiting_renewal(&worker);
    manual.report(&renewal, &[], &[(1, task, 1, "done")]);

    assert_eq!(starts(&manual.advance(40)).len(), 1, "one task of 861 to 900 millicores fits");
}

#[test]
fn newly_listed_worker_is_used_while_many_pending_jobs_do_not_fit() {
    let mut manual = full_workers_with_pending_jobs(4);

    manual.list_workers(5);
    for call in manual.advance(20).iter().filter(|call| *call.worker_id == *"i-4") {
        manual.report(call, &[], &[]);
    }

    assert_eq!(starts(&manual.advance(40)).len(), 1, "one task starts on the new worker");
}
