//! The guarantees for a job from its submission to its end, also across terms.
mod common;
use common::{
    CONFIG, ManualScheduler, ONE_TASK, first_task, is_stop, renewal_to, single_start, started_run, starts,
};
use spanlead_job_scheduler::{
    Cancellation, JobId, JobOutcome, JobState, QueueId, WorkerCall, WorkerResponse,
};
use std::collections::BTreeMap;

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

    assert_eq!(manual.scheduler.cancel(manual.now(), JobId(1)), Cancellation::Closed);

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
    assert_eq!(manual.scheduler.cancel(manual.now(), JobId(2)), Cancellation::Closed);
    assert_eq!(manual.scheduler.pending_jobs(&queue), 0);

    for job in [JobId(1), JobId(2)] {
        assert_eq!(next.cancel(manual.now(), job), Cancellation::Closed);
    }
    assert_eq!(next.pending_jobs(&queue), 0);
}

/// Guards against a count of pending jobs that is too low: a job that was closed before a failover
/// was never counted, and its run, which is still reported, was taken off the count.
#[test]
fn run_of_a_cancelled_job_does_not_lower_the_count_of_pending_jobs_after_a_failover() {
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());
    manual.acknowledge(&start);
    manual.submit(2, ONE_TASK);
    manual.scheduler.cancel(manual.now(), JobId(1));
    manual.commit();
    manual.fail_over(1);
    assert_eq!(manual.scheduler.pending_jobs(&QueueId::default()), 1, "job 2 waits for room");

    let calls = manual.advance(20);
    let renewal = renewal_to(&calls, &start.worker_id).expect("the worker is asked what it runs");
    manual.report(renewal, &[started_run(&start)], &[]);

    assert_eq!(manual.scheduler.pending_jobs(&QueueId::default()), 1, "job 2 still waits");
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

/// A gang of two tasks, each of which takes a whole worker of [`ManualScheduler`], and a task that
/// depends on it.
const GANG_THEN_TASK: &str = r#"{"spec":"x","stages":[
    {"count":2,"cpu":600,"memMb":10,"estRuntimeMs":500,"gang":true},
    {"count":1,"cpu":600,"memMb":10,"estRuntimeMs":500,"dependsOn":[0]}]}"#;

/// The next renewals to all workers, within 5 s. No member of the gang may start meanwhile.
fn renewals_without_gang_start(manual: &mut ManualScheduler, workers: usize) -> BTreeMap<String, WorkerCall> {
    let mut renewals = BTreeMap::new();
    for _ in 0..250 {
        let calls = manual.advance(20);
        assert_no_gang_start(&calls);
        for index in 0..workers {
            let worker_id = format!("i-{index}");
            if let Some(renewal) = renewal_to(&calls, &worker_id) {
                renewals.insert(worker_id, renewal.clone());
            }
        }
        if renewals.len() == workers {
            return renewals;
        }
    }
    panic!("expected renewals to {workers} workers: {renewals:?}");
}

/// Asserts that only tasks of the second stage start.
fn assert_no_gang_start(calls: &[WorkerCall]) {
    let restarted: Vec<_> =
        starts(calls).into_iter().filter(|start| started_run(start).0.stage == 0).collect();
    assert!(restarted.is_empty(), "expected no start of the gang: {restarted:?}");
}

/// Guards against review/3: a gang with an active member was queued at recovery because its first
/// task had no run, and started again after the member's end `done`.
#[test]
fn gang_that_is_done_after_a_failover_does_not_start_again() {
    let mut manual = ManualScheduler::new(3);
    manual.submit(1, GANG_THEN_TASK);
    let calls = manual.commit();
    let members: Vec<WorkerCall> = starts(&calls).into_iter().cloned().collect();
    assert_eq!(members.len(), 2, "expected the start of both members: {calls:?}");
    for member in &members {
        manual.acknowledge(member);
    }
    manual.respond(&members[0], WorkerResponse::WrongIncarnation);
    manual.commit();
    manual.fail_over(3);

    let mut renewals = renewals_without_gang_start(&mut manual, 3);
    let last = renewals.remove(&*members[1].worker_id).expect("a renewal to the active member's worker");
    for renewal in renewals.values() {
        manual.report(renewal, &[], &[]);
    }
    assert_no_gang_start(&manual.advance(20));
    let (task, run) = started_run(&members[1]);
    manual.report(&last, &[], &[(1, task, run, "done")]);

    let calls = manual.advance(20);
    assert_no_gang_start(&calls);
    assert_eq!(started_run(&single_start(&calls)).0.stage, 1, "the dependent task starts");
}

/// The same without a failover: the gang is queued after its runs were given up, and then one of
/// them is reported as done.
#[test]
fn queued_gang_that_turns_out_to_be_done_does_not_start_again() {
    let mut manual = ManualScheduler::new(2);
    manual.submit(1, GANG_THEN_TASK);
    let calls = manual.commit();
    let members: Vec<WorkerCall> = starts(&calls).into_iter().cloned().collect();
    for member in &members {
        manual.acknowledge(member);
    }
    let lease_is_over = |manual: &ManualScheduler| {
        let job = manual.scheduler.inspect_job(JobId(1)).expect("job 1 is known");
        job.open_tasks.iter().all(|task| task.active_runs.is_empty())
    };
    let mut calls: Vec<WorkerCall> =
        members.iter().map(|member| manual.take_waiting_renewal(&member.worker_id)).collect();
    for _ in 0..1_000 {
        for call in calls {
            manual.respond(&call, WorkerResponse::NoResponse);
        }
        if lease_is_over(&manual) {
            break;
        }
        calls = manual.advance(20);
    }
    assert!(lease_is_over(&manual), "the leases of unreachable workers expire");

    let (task, run) = started_run(&members[0]);
    let renewals = renewals_without_gang_start(&mut manual, 2);
    manual.report(&renewals[&*members[0].worker_id], &[], &[(1, task, run, "done")]);
    manual.report(&renewals[&*members[1].worker_id], &[], &[]);

    for _ in 0..20 {
        assert_no_gang_start(&manual.advance(20));
    }
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
    let records_before = manual.records.clone();
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());
    manual.acknowledge(&start);
    let (task, run) = started_run(&start);
    let renewal = manual.take_waiting_renewal(&start.worker_id);
    manual.report(&renewal, &[], &[(1, task, run, "done")]);
    manual.commit();

    manual.advance(CONFIG.closed_job_retention_ms);
    assert!(manual.scheduler.job_state(JobId(1)).is_some(), "the retention is not over");
    assert_ne!(manual.records, records_before);

    // Closed jobs are retained for an additional margin.
    manual.advance(20_000);
    assert_eq!(manual.scheduler.job_state(JobId(1)), None);
    assert_eq!(manual.records, records_before, "no record of the job remains");
}
