//! Reports that hold only some of a worker's run ends: a run that such a report does not list may
//! have ended.
mod common;
use common::{ManualScheduler, first_task, is_start, is_stop, renewal_to, single_start, started_run, starts};
use spanlead_job_scheduler::{JobId, JobOutcome, JobState, TaskId, WorkerCall, WorkerResponse};

const WORKER: &str = "i-0";
const TWO_TASKS: &str = r#"{"spec":"x","stages":[{"count":2,"cpu":10,"memMb":10,"estRuntimeMs":500}]}"#;

/// A scheduler with one worker that runs both tasks of job 1, and the two tasks.
fn running_job() -> (ManualScheduler, [TaskId; 2]) {
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, TWO_TASKS);
    let calls = manual.commit();
    let starts = starts(&calls);
    assert_eq!(starts.len(), 2, "expected two starts: {calls:?}");
    for start in starts {
        manual.acknowledge(start);
    }
    let first = first_task(1);
    (manual, [first, TaskId { index: 1, ..first }])
}

/// Waits for the next renewal to the worker.
fn next_renewal(manual: &mut ManualScheduler) -> WorkerCall {
    for _ in 0..50 {
        let calls = manual.advance(20);
        assert!(!calls.iter().any(is_start), "expected no start: {calls:?}");
        if let Some(renewal) = renewal_to(&calls, WORKER) {
            return renewal.clone();
        }
    }
    panic!("no renewal was sent for 1 s");
}

/// Reports that nothing runs any more: first a part of the ends, the end of `first`, and then the
/// end of `second`. Neither may start again.
fn report_ends_in_two_parts(manual: &mut ManualScheduler, renewal: &WorkerCall, tasks: [TaskId; 2]) {
    let [first, second] = tasks;
    manual.report_first_ends(renewal, &[], &[(1, first, 1, "done")]);
    let renewal = next_renewal(manual);
    manual.report(&renewal, &[], &[(2, second, 1, "done")]);
    assert!(starts(&manual.advance(20)).is_empty(), "both tasks are done");
    assert_eq!(manual.scheduler.job_state(JobId(1)), Some(JobState::Closed(JobOutcome::Succeeded)));
}

/// Guards against review/1: after a failover, a task whose end `done` did not fit in the worker's
/// first report was started again.
#[test]
fn task_whose_end_follows_in_a_later_report_does_not_start_again_after_a_failover() {
    let (mut manual, tasks) = running_job();
    manual.fail_over(1);
    let renewal = next_renewal(&mut manual);
    report_ends_in_two_parts(&mut manual, &renewal, tasks);
}

/// A run of an earlier term that is still missing once all ends are reported has never begun: its
/// task starts again.
#[test]
fn task_without_a_run_starts_again_when_all_ends_are_reported_after_a_failover() {
    let (mut manual, [first, second]) = running_job();
    manual.fail_over(1);

    let renewal = next_renewal(&mut manual);
    manual.report_first_ends(&renewal, &[], &[(1, first, 1, "done")]);
    let renewal = next_renewal(&mut manual);
    manual.report(&renewal, &[], &[]);

    assert_eq!(started_run(&single_start(&manual.advance(20))), (second, 2));
}

/// The same within one term, as after a network partition during which many runs end.
#[test]
fn task_whose_end_follows_in_a_later_report_does_not_start_again() {
    let (mut manual, tasks) = running_job();
    let renewal = manual.take_waiting_renewal(WORKER);
    report_ends_in_two_parts(&mut manual, &renewal, tasks);
}

/// A start without a response is carried out or not: a partial report that does not list its run
/// does not show which, and a gang member's run is not stopped for it.
#[test]
fn partial_report_does_not_resolve_a_start_that_timed_out() {
    let gang = TWO_TASKS.replace("\"count\":2", "\"count\":2,\"gang\":true");
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, &gang);
    let calls = manual.commit();
    let members = starts(&calls);
    manual.acknowledge(members[0]);
    manual.respond(members[1], WorkerResponse::NoResponse);
    let query = renewal_to(&manual.commit(), WORKER).expect("a query is sent").clone();

    manual.report_first_ends(&query, &[started_run(members[0])], &[]);
    let calls = manual.commit();
    assert!(!calls.iter().any(is_stop), "expected no stop after a partial report: {calls:?}");

    let requested_before_the_start = manual.take_waiting_renewal(WORKER);
    manual.report(&requested_before_the_start, &[started_run(members[0])], &[]);
    let renewal = next_renewal(&mut manual);
    manual.report(&renewal, &[started_run(members[0])], &[]);
    let calls = manual.commit();
    assert!(calls.iter().any(is_stop), "expected a stop of the run that is not there: {calls:?}");
}
