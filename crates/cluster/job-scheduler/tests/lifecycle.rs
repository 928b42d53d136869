//! What is promised of a job from its submission to its end.
mod desk;
use desk::{Desk, ONE, starts};
use spanlead_job_scheduler::*;

const LASTING: &str =
    r#"{"spec":"x","stages":[{"count":1,"cpu":600,"memMb":10,"estRuntimeMs":100,"longRunning":true}]}"#;

fn task_of(start: &WorkerCall) -> (TaskId, u32) {
    let WorkerRequest::Start { task, run, .. } = start.request else { panic!("a start") };
    (task, run)
}

/// A task that lasts starts again after each end, however it ended and however often.
#[test]
fn a_task_that_lasts_starts_again_at_once() {
    let mut desk = Desk::new(2);
    desk.submit(1, LASTING);
    let mut start = starts(&desk.write(true))[0].clone();
    for number in 1..=12 {
        desk.answer(&start, WorkerResponse::Acknowledged { clock_ms: desk.now - 900_000 });
        let (task, run) = task_of(&start);
        let how = ["done", "failed", "lapsed", "stopped"][number % 4];
        let hold = desk.hold_out(&start.worker_id);
        desk.report(&hold, &[], &[(number as u64, task, run, how)]);
        let ended_at = desk.now;
        start = loop {
            let calls = desk.pass(20);
            if let Some(again) = starts(&calls).first() {
                break (*again).clone();
            }
            assert!(desk.now < ended_at + 3_000, "not started again after {how}");
        };
        assert_eq!(task_of(&start).1, run + 1);
        assert_eq!(desk.scheduler.job_state(JobId(1)), Some(JobState::Running));
    }
}

/// The same identifier is the same job, also when it comes again after the job is over.
#[test]
fn a_submission_that_comes_again_changes_nothing() {
    let mut desk = Desk::new(1);
    desk.submit(1, ONE);
    let start = starts(&desk.write(true))[0].clone();
    desk.submit(1, ONE);
    assert!(starts(&desk.pass(20)).is_empty());
    desk.answer(&start, WorkerResponse::Acknowledged { clock_ms: desk.now - 900_000 });
    let (task, run) = task_of(&start);
    let hold = desk.hold_out(&start.worker_id);
    desk.report(&hold, &[], &[(1, task, run, "done")]);
    desk.pass(5_000);
    desk.submit(1, ONE);
    assert!(starts(&desk.pass(20)).is_empty(), "it was done");
    assert_eq!(desk.scheduler.job_state(JobId(1)), Some(JobState::Closed(JobOutcome::Succeeded)));
}

/// What runs of a cancelled job is told to stop at once, and again while the worker says nothing.
#[test]
fn a_cancelled_job_is_stopped_until_the_worker_answers() {
    let mut desk = Desk::new(1);
    desk.submit(1, ONE);
    let start = starts(&desk.write(true))[0].clone();
    desk.answer(&start, WorkerResponse::Acknowledged { clock_ms: desk.now - 900_000 });
    assert!(desk.scheduler.cancel(desk.at(), JobId(1)));
    let is_stop = |call: &WorkerCall| matches!(call.request, WorkerRequest::Stop { .. });
    assert!(desk.write(true).iter().any(is_stop), "not at once");
    let mut again = 0;
    for _ in 0..100 {
        again += desk.pass(20).iter().filter(|call| is_stop(call)).count();
    }
    assert!((2..=8).contains(&again), "{again} times in 2 s");
}

/// A record that can't be read is named, so that the machine does not serve with it.
#[test]
fn recovery_names_what_it_cannot_read() {
    let mut desk = Desk::new(1);
    desk.submit(1, ONE);
    desk.write(true);
    assert!(desk.recovers_all());
    let key = desk.records.keys().next().expect("a record").clone();
    desk.records.insert(key, vec![0xff; 3]);
    assert!(!desk.recovers_all());
}
