//! The guarantees for a job from its submission to its end, also across terms.
mod common;
use common::{CONFIG, ManualScheduler, ONE_TASK, first_task, is_stop, single_start, started_run, starts};
use spanlead_job_scheduler::{JobId, JobOutcome, JobState, QueueId, WorkerCall};

const LONG_RUNNING_TASK: &str =
    r#"{"spec":"x","stages":[{"count":1,"cpu":600,"memMb":10,"estRuntimeMs":100,"longRunning":true}]}"#;

/// A job whose gang runs twice.
const REPEATED_GANG: &str = r#"{"spec":"x","repeats":2,"startAtMs":1000000,"intervalMs":60000,
    "stages":[{"count":2,"cpu":600,"memMb":10,"estRuntimeMs":500,"gang":true}]}"#;

#[test]
fn long_running_task_starts_again_within_3_s_whatever_its_outcome() {
    let mut manual = ManualScheduler::new(2);
    manual.submit(1, LONG_RUNNING_TASK);
    let mut start = single_start(&manual.commit());
    for number in 1..=12 {
        manual.acknowledge(&start);
        let (task, run) = started_run(&start);
        let outcome = ["done", "failed", "lapsed", "stopped"][number % 4];
        let renewal = manual.take_waiting_renewal(&start.worker_id);
        manual.report(&renewal, &[], &[(number as u64, task, run, outcome)]);
        let ended_at_ms = manual.now_ms;
        start = loop {
            if let Some(again) = starts(&manual.advance(20)).first() {
                break (*again).clone();
            }
            assert!(
                manual.now_ms < ended_at_ms + 3_000,
                "not started again within 3 s of the outcome {outcome}"
            );
        };
        assert_eq!(started_run(&start).1, run + 1);
        assert_eq!(manual.scheduler.job_state(JobId(1)), Some(JobState::Running));
    }
}

/// A submission with the identifier of a known job has no effect, also after the job is closed.
#[test]
fn repeated_submission_changes_nothing() {
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());
    manual.submit(1, ONE_TASK);
    assert!(starts(&manual.advance(20)).is_empty());

    manual.acknowledge(&start);
    let (task, run) = started_run(&start);
    let renewal = manual.take_waiting_renewal(&start.worker_id);
    manual.report(&renewal, &[], &[(1, task, run, "done")]);
    manual.advance(5_000);
    manual.submit(1, ONE_TASK);

    assert!(starts(&manual.advance(20)).is_empty(), "the job is done");
    assert_eq!(manual.scheduler.job_state(JobId(1)), Some(JobState::Closed(JobOutcome::Succeeded)));
}

#[test]
fn stops_of_a_cancelled_job_are_sent_at_once_and_retried_without_acknowledgement() {
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());
    manual.acknowledge(&start);

    assert!(manual.scheduler.cancel(manual.now(), JobId(1)));

    assert!(manual.commit().iter().any(is_stop), "no stop is sent at once");
    let retries: usize =
        (0..100).map(|_| manual.advance(20).iter().filter(|call| is_stop(call)).count()).sum();
    assert!((2..=8).contains(&retries), "{retries} retries of the stop in 2 s");
}

/// Neither a start without a response nor, for the next scheduler, the record of a run shows that a
/// task has begun.
#[test]
fn job_is_pending_until_a_task_is_known_to_have_begun() {
    let mut manual = ManualScheduler::new(1);
    let queue = QueueId::default();
    manual.submit(1, ONE_TASK);
    manual.submit(2, ONE_TASK);
    let start = single_start(&manual.commit());
    assert_eq!(manual.scheduler.pending_jobs(&queue), 2, "the start of job 1 has no response yet");
    let mut next = manual.successor();
    assert_eq!(next.pending_jobs(&queue), 2, "the record does not show whether the run began");

    manual.acknowledge(&start);
    assert_eq!(manual.scheduler.pending_jobs(&queue), 1);
    let (task, _) = started_run(&start);
    let renewal = manual.take_waiting_renewal("i-0");
    manual.report(&renewal, &[], &[(1, task, 1, "done")]);
    assert_eq!(manual.scheduler.pending_jobs(&queue), 1, "job 2 is not known to have begun");
    assert!(manual.scheduler.cancel(manual.now(), JobId(2)));
    assert_eq!(manual.scheduler.pending_jobs(&queue), 0);

    assert!(next.cancel(manual.now(), JobId(1)) && next.cancel(manual.now(), JobId(2)));
    assert_eq!(next.pending_jobs(&queue), 0);
}

#[test]
fn run_ends_of_all_gang_members_complete_only_one_occurrence() {
    let mut manual = ManualScheduler::new(2);
    manual.submit(1, REPEATED_GANG);
    let calls = manual.commit();
    let started: Vec<WorkerCall> = starts(&calls).into_iter().cloned().collect();
    assert_eq!(started.len(), 2);
    for start in &started {
        manual.acknowledge(start);
    }

    for start in &started {
        let (task, _) = started_run(start);
        let renewal = manual.take_waiting_renewal(&start.worker_id);
        manual.report(&renewal, &[], &[(1, task, 1, "done")]);
    }

    assert_eq!(
        manual.scheduler.job_state(JobId(1)),
        Some(JobState::Running),
        "the second occurrence is still to come"
    );
}

#[test]
fn next_scheduler_recovers_the_job_and_its_active_run_from_the_records() {
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, ONE_TASK);
    manual.write_uncommitted();

    let next = manual.successor();

    assert_eq!(next.job_state(JobId(1)), Some(JobState::Running));
    let job = next.inspect_job(JobId(1)).expect("job 1 is known");
    assert_eq!(job.open_tasks[0].task, first_task(1).to_string());
    assert_eq!(job.open_tasks[0].active_runs.len(), 1, "the recorded run may be active");
    assert!(!job.open_tasks[0].is_pending);
}

/// A machine must not serve without the content of a record that it can't read.
#[test]
fn recovery_reports_records_that_it_cannot_read() {
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, ONE_TASK);
    manual.commit();
    assert!(manual.recovers_all_records());

    let key = manual.records.keys().next().expect("a record was written").clone();
    manual.records.insert(key, vec![0xff; 3]);

    assert!(!manual.recovers_all_records());
}

#[test]
fn closed_job_is_removed_with_its_records_after_its_retention() {
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());
    manual.acknowledge(&start);
    let (task, run) = started_run(&start);
    let renewal = manual.take_waiting_renewal(&start.worker_id);
    manual.report(&renewal, &[], &[(1, task, run, "done")]);
    manual.commit();

    manual.advance(CONFIG.closed_job_retention_ms);
    assert!(manual.scheduler.job_state(JobId(1)).is_some(), "the retention is not over");
    assert!(!manual.records.is_empty());

    // Closed jobs are retained for an additional margin.
    manual.advance(20_000);
    assert_eq!(manual.scheduler.job_state(JobId(1)), None);
    assert!(manual.records.is_empty(), "records that remain: {:?}", manual.records);
}
