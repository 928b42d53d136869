//! The safety checker's violations and the report, as a trial prints them.
use spanlead_cluster_testbed::clients::JobTally;
use spanlead_cluster_testbed::fault_plan::{Fault, FaultCount, count_fault};
use spanlead_cluster_testbed::report::table;
use spanlead_cluster_testbed::{RunEnd, RunId, RunOutcome, SafetyChecker};
use spanlead_job_scheduler::{JobId, JobSpec, TaskId};

const JOB: JobId = JobId(7);
const TASK: TaskId = TaskId { job: JOB, occurrence: 0, stage: 0, index: 0 };

fn checker() -> SafetyChecker {
    let body = r#"{"spec":"x","stages":[{"count":1,"cpu":100,"memMb":10,"estRuntimeMs":500}]}"#;
    let mut checker = SafetyChecker::default();
    checker.record_submission(JOB, &JobSpec::from_json(body.as_bytes()).expect("a valid job"));
    checker
}

fn run(number: u32) -> RunId {
    RunId { task: TASK, run: number }
}

#[test]
fn second_run_beside_the_first_is_a_violation() {
    let mut checker = checker();
    checker.record_start(10, "i-0-0", run(1));
    checker.record_start(20, "i-1-0", run(2));
    let expected = format!(r#"TWICE: {TASK} run 2 on i-1-0 beside {{("i-0-0", 1)}} at 20"#);
    assert_eq!(checker.violations, [expected]);
}

#[test]
fn start_after_an_acknowledged_success_is_a_violation() {
    let mut checker = checker();
    checker.record_start(10, "i-0-0", run(1));
    let outcome = RunOutcome::Done;
    checker.record_end(20, RunEnd { worker_id: "i-0-0", number: 1, run: run(1), outcome });
    checker.record_acknowledgement(30, "i-0-0", 1);
    assert!(checker.is_job_done(JOB));
    checker.record_start(40, "i-1-0", run(2));
    assert_eq!(checker.violations, [format!("TWICE: {TASK} run 2 after its end was noted")]);
}

/// A job may be shown as failed once a task has used all its attempts, and not before.
#[test]
fn job_has_failed_once_a_task_has_used_all_its_attempts() {
    let mut checker = checker();
    for number in 1..=3 {
        assert!(!checker.has_job_failed(JOB), "only {} runs have failed", number - 1);
        checker.record_start(10, "i-0-0", run(number));
        let outcome = RunOutcome::Failed;
        let end = RunEnd { worker_id: "i-0-0", number: u64::from(number), run: run(number), outcome };
        checker.record_end(20, end);
    }
    assert!(checker.has_job_failed(JOB));
}

#[test]
fn report_counts_faults_by_their_names() {
    let mut faults = Vec::new();
    for fault in [Fault::KillData, Fault::CrashWorker, Fault::KillData] {
        count_fault(&mut faults, fault);
    }
    assert_eq!(faults[0], FaultCount { fault: Fault::KillData, count: 2 });
    let tally = JobTally { submitted: 3, accept_ms: vec![4, 9], ..JobTally::default() };
    let text = table(&tally, 5, &faults).to_string();
    for row in [
        "| jobs handed in         | 3 ",
        "| tasks started          | 5 ",
        "| accepted after         | half within 9 ms, 99 of 100 within 9 ms |",
        "| KillData               | 2 ",
        "| CrashWorker            | 1 ",
    ] {
        assert!(text.contains(row), "{row} is not in\n{text}");
    }
}

/// A start may have been under way when the cancellation of a known job was acknowledged. Nothing
/// of a job was that the scheduler did not know.
#[test]
fn start_after_an_acknowledged_cancellation_is_a_violation() {
    let mut in_time = checker();
    in_time.record_cancellation(10, JOB, true);
    in_time.record_start(3_010, "i-0-0", run(1));
    assert!(in_time.violations.is_empty(), "{:?}", in_time.violations);
    let mut checker = checker();
    checker.record_cancellation(10, JOB, true);
    checker.record_start(3_011, "i-0-0", run(1));
    let known = format!("UNASKED: {TASK} starts 3001 ms after its cancel was answered: known job");
    assert_eq!(checker.violations, [known]);
}

#[test]
fn start_after_an_acknowledged_cancellation_of_an_unknown_job_is_a_violation_at_once() {
    let mut checker = checker();
    checker.record_cancellation(10, JOB, false);
    checker.record_start(10, "i-0-0", run(1));
    let unknown = format!("UNASKED: {TASK} starts 0 ms after its cancel was answered: unknown job");
    assert_eq!(checker.violations, [unknown]);
}
