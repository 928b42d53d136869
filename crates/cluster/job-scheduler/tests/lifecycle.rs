//! What is promised of a job from its submission to its end, also across terms.
mod common;
use common::{CONFIG, ManualScheduler, ONE_TASK, first_task, is_stop, single_start, started_run, starts};
use spanlead_job_scheduler::{JobId, JobOutcome, JobState, QueueId, WorkerCall};

const LONG_RUNNING_TASK: &str =
    r#"{"spec":"x","stages":[{"count":1,"cpu":600,"memMb":10,"estRuntimeMs":100,"longRunning":true}]}"#;

const GANG_TWICE: &str = r#"{"spec":"x","repeats":2,"startAtMs":1000000,"intervalMs":60000,
    "stages":[{"count":2,"cpu":600,"memMb":10,"estRuntimeMs":500,"gang":true}]}"#;

#[test]
fn long_running_task_starts_again_at_once_however_it_ended() {
    let mut manual = ManualScheduler::new(2);
    manual.submit(1, LONG_RUNNING_TASK);
    let mut start = single_start(&manual.commit());
    for number in 1..=12 {
        manual.acknowledge(&start);
        let (task, run) = started_run(&start);
        let outcome = ["done", "failed", "lapsed", "stopped"][number % 4];
        let renewal = manual.waiting_renewal(&start.worker_id);
        manual.report(&renewal, &[], &[(number as u64, task, run, outcome)]);
        let ended_at_ms = manual.now_ms;
        start = loop {
            if let Some(again) = starts(&manual.advance(20)).first() {
                break (*again).clone();
            }
            assert!(manual.now_ms < ended_at_ms + 3_000, "not started again after {outcome}");
        };
        assert_eq!(started_run(&start).1, run + 1);
        assert_eq!(manual.scheduler.job_state(JobId(1)), Some(JobState::Running));
    }
}

/// The same identifier is the same job, also when it comes again after the job is closed.
#[test]
fn repeated_submission_changes_nothing() {
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());
    manual.submit(1, ONE_TASK);
    assert!(starts(&manual.advance(20)).is_empty());

    manual.acknowledge(&start);
    let (task, run) = started_run(&start);
    let renewal = manual.waiting_renewal(&start.worker_id);
    manual.report(&renewal, &[], &[(1, task, run, "done")]);
    manual.advance(5_000);
    manual.submit(1, ONE_TASK);

    assert!(starts(&manual.advance(20)).is_empty(), "it was done");
    assert_eq!(manual.scheduler.job_state(JobId(1)), Some(JobState::Closed(JobOutcome::Succeeded)));
}

#[test]
fn runs_of_a_cancelled_job_are_stopped_until_the_worker_acknowledges() {
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());
    manual.acknowledge(&start);

    assert!(manual.scheduler.cancel(manual.now(), JobId(1)));

    assert!(manual.commit().iter().any(is_stop), "not at once");
    let retries: usize =
        (0..100).map(|_| manual.advance(20).iter().filter(|call| is_stop(call)).count()).sum();
    assert!((2..=8).contains(&retries), "{retries} times in 2 s");
}

/// A start without response does not say that a task has begun, and neither does a record to the
/// next scheduler.
#[test]
fn pending_jobs_are_those_of_which_nothing_is_known_to_have_begun() {
    let mut manual = ManualScheduler::new(1);
    let queue = QueueId::default();
    manual.submit(1, ONE_TASK);
    manual.submit(2, ONE_TASK);
    let start = single_start(&manual.commit());
    assert_eq!(manual.scheduler.pending_jobs(&queue), 2, "sent, not begun");
    let mut next = manual.successor();
    assert_eq!(next.pending_jobs(&queue), 2, "nobody knows");

    manual.acknowledge(&start);
    assert_eq!(manual.scheduler.pending_jobs(&queue), 1);
    let (task, _) = started_run(&start);
    let renewal = manual.waiting_renewal("i-0");
    manual.report(&renewal, &[], &[(1, task, 1, "done")]);
    assert_eq!(manual.scheduler.pending_jobs(&queue), 1, "the other has no response yet");
    assert!(manual.scheduler.cancel(manual.now(), JobId(2)));
    assert_eq!(manual.scheduler.pending_jobs(&queue), 0);

    assert!(next.cancel(manual.now(), JobId(1)) && next.cancel(manual.now(), JobId(2)));
    assert_eq!(next.pending_jobs(&queue), 0);
}

#[test]
fn ends_of_a_gang_complete_one_occurrence_once() {
    let mut manual = ManualScheduler::new(2);
    manual.submit(1, GANG_TWICE);
    let calls = manual.commit();
    let started: Vec<WorkerCall> = starts(&calls).into_iter().cloned().collect();
    assert_eq!(started.len(), 2);
    for start in &started {
        manual.acknowledge(start);
    }

    for start in &started {
        let (task, _) = started_run(start);
        let renewal = manual.waiting_renewal(&start.worker_id);
        manual.report(&renewal, &[], &[(1, task, 1, "done")]);
    }

    assert_eq!(manual.scheduler.job_state(JobId(1)), Some(JobState::Running), "the second is still to come");
}

#[test]
fn next_scheduler_goes_on_from_the_records() {
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, ONE_TASK);
    manual.write_uncommitted();

    let next = manual.successor();

    assert_eq!(next.job_state(JobId(1)), Some(JobState::Running));
    let job = next.inspect_job(JobId(1)).expect("known");
    assert_eq!(job.open_tasks[0].task, first_task(1).to_string());
    assert_eq!(job.open_tasks[0].active_runs.len(), 1, "the run that was recorded may be there");
    assert!(!job.open_tasks[0].is_pending);
}

/// So that the machine does not serve without what the record says.
#[test]
fn recovery_names_records_that_it_cannot_read() {
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, ONE_TASK);
    manual.commit();
    assert!(manual.recovers_all_records());

    let key = manual.records.keys().next().expect("a record").clone();
    manual.records.insert(key, vec![0xff; 3]);

    assert!(!manual.recovers_all_records());
}

#[test]
fn closed_job_is_forgotten_with_its_records_after_its_retention() {
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());
    manual.acknowledge(&start);
    let (task, run) = started_run(&start);
    let renewal = manual.waiting_renewal(&start.worker_id);
    manual.report(&renewal, &[], &[(1, task, run, "done")]);
    manual.commit();

    manual.advance(CONFIG.closed_job_retention_ms);
    assert!(manual.scheduler.job_state(JobId(1)).is_some(), "too early");
    assert!(!manual.records.is_empty());

    // Closed jobs are kept for a margin longer.
    manual.advance(20_000);
    assert_eq!(manual.scheduler.job_state(JobId(1)), None);
    assert!(manual.records.is_empty(), "{:?}", manual.records);
}
