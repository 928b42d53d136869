//! Jobs that no workers can run fail; jobs whose workers are merely down wait for them.
mod common;
use common::{ManualScheduler, first_task, renewal_to, single_start, started_run, starts};
use spanlead_job_scheduler::{JobId, JobOutcome, JobState, ListedWorker, ListedWorkerState, WorkerCall};

const RACK: &str = "rack-2";
const TASK_OF_RACK: &str =
    r#"{"spec":"x","stages":[{"count":1,"cpu":600,"memMb":10,"estRuntimeMs":500,"constraints":"rack-2"}]}"#;
const GANG_OF_RACK: &str = r#"{"spec":"x","stages":[
    {"count":2,"cpu":600,"memMb":10,"estRuntimeMs":500,"gang":true,"constraints":"rack-2"}]}"#;
/// Longer than a job without suitable workers waits until it fails, also at the start of a term.
const LONG_MS: u64 = 8_000;
const TICK_MS: u64 = 20;

fn worker(id: &str, rack: &str) -> ListedWorker {
    ListedWorker {
        id: id.into(),
        service: "s".into(),
        address: id.into(),
        zone: "z".into(),
        state: ListedWorkerState::Ready,
        cpu_millicores: 1_000,
        memory_mb: 1_000,
        gpus: 0,
        labels: vec!["a".into(), rack.into()],
    }
}

/// Lists these workers, and returns the calls that follow.
fn list(manual: &mut ManualScheduler, workers: &[ListedWorker]) -> Vec<WorkerCall> {
    manual.scheduler.update_workers(manual.now(), workers);
    manual.commit()
}

/// A scheduler of the second term. In the first one two workers of the rack were listed; now only a
/// worker of another rack is.
fn scheduler_that_knows_the_rack_from_an_earlier_term() -> ManualScheduler {
    let mut manual = ManualScheduler::new(1);
    list(&mut manual, &[worker("i-0", "r1"), worker("i-10", RACK), worker("i-11", RACK)]);
    manual.fail_over(1);
    manual
}

fn state_after(manual: &mut ManualScheduler, ms: u64) -> Option<JobState> {
    for _ in 0..ms / TICK_MS {
        manual.advance(TICK_MS);
    }
    manual.scheduler.job_state(JobId(1))
}

/// Guards against review/2: a job was shown as failed since a new primary knew only the workers
/// that were up when it started.
#[test]
fn job_whose_workers_are_down_since_before_the_failover_is_not_failed() {
    let mut manual = ManualScheduler::new(1);
    list(&mut manual, &[worker("i-0", "r1"), worker("i-10", RACK)]);
    manual.submit(1, TASK_OF_RACK);
    manual.commit();
    manual.fail_over(1);

    assert_eq!(state_after(&mut manual, LONG_MS), Some(JobState::Queued));

    let calls = list(&mut manual, &[worker("i-0", "r1"), worker("i-12", RACK)]);
    let renewal = renewal_to(&calls, "i-12").expect("the new worker is asked what it runs");
    manual.report(renewal, &[], &[]);
    let start = single_start(&manual.advance(TICK_MS));
    assert_eq!(started_run(&start), (first_task(1), 1));
}

#[test]
fn job_that_is_submitted_while_its_workers_are_down_is_not_failed() {
    let mut manual = scheduler_that_knows_the_rack_from_an_earlier_term();
    manual.submit(1, GANG_OF_RACK);
    assert_eq!(state_after(&mut manual, LONG_MS), Some(JobState::Queued));
}

/// A gang counts as feasible only with as many workers as were ever listed at once.
#[test]
fn gang_larger_than_all_workers_ever_listed_at_once_fails() {
    let mut manual = scheduler_that_knows_the_rack_from_an_earlier_term();
    list(&mut manual, &[worker("i-0", "r1"), worker("i-12", RACK), worker("i-13", RACK)]);
    manual.submit(1, &GANG_OF_RACK.replace("\"count\":2", "\"count\":3"));
    assert_eq!(state_after(&mut manual, LONG_MS), Some(JobState::Closed(JobOutcome::Failed)));
}

#[test]
fn job_with_a_label_of_no_worker_ever_listed_fails() {
    let mut manual = scheduler_that_knows_the_rack_from_an_earlier_term();
    manual.submit(1, &TASK_OF_RACK.replace(RACK, "rack-3"));
    assert_eq!(state_after(&mut manual, LONG_MS), Some(JobState::Closed(JobOutcome::Failed)));
    assert!(starts(&manual.advance(TICK_MS)).is_empty());
}
