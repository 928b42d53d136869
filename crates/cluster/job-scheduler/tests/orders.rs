//! Single crossings, forced by the order of events.
mod desk;
use desk::{Desk, ONE, SMALL, hold_of, starts};
use spanlead_job_scheduler::*;

#[test]
fn a_start_goes_out_only_when_its_record_lasts() {
    let mut desk = Desk::new(1);
    desk.submit(1, ONE);
    assert!(starts(&desk.write(false)).is_empty(), "not before");
    let sequence = desk.sequence;
    desk.scheduler.handle_committed(desk.at(), sequence);
    let calls: Vec<WorkerCall> =
        desk.scheduler.drain_effects().into_iter().map(|Effect::CallWorker(call)| call).collect();
    assert_eq!(starts(&calls).len(), 1);
}

#[test]
fn a_start_without_an_answer_is_stopped_before_the_task_starts_again() {
    let mut desk = Desk::new(2);
    desk.submit(1, ONE);
    let calls = desk.write(true);
    let start = starts(&calls)[0].clone();
    desk.answer(&start, WorkerResponse::NoResponse);
    let look = hold_of(&desk.write(true), &start.worker_id).expect("a look").clone();
    assert!(starts(&desk.pass(50)).is_empty(), "it may run there");
    desk.report(&look, &[], &[]);
    let calls = desk.write(true);
    let stop =
        calls.iter().find(|c| matches!(c.request, WorkerRequest::Stop { .. })).expect("a stop").clone();
    assert!(starts(&desk.pass(50)).is_empty(), "it may run there");
    desk.answer(&stop, WorkerResponse::Acknowledged { clock_ms: desk.now - 900_000 });
    let look = hold_of(&desk.write(true), &start.worker_id).expect("a look").clone();
    assert!(starts(&desk.pass(20)).is_empty(), "the look is not answered yet");
    desk.report(&look, &[], &[]);
    let calls = desk.pass(20);
    let again = starts(&calls);
    assert!(matches!(again[0].request, WorkerRequest::Start { run: 2, .. }), "{again:?}");
}

#[test]
fn an_answer_that_was_on_its_way_before_the_start_says_nothing_of_it() {
    let mut desk = Desk::new(1);
    // This hold goes out before the start.
    let before = hold_of(&desk.pass(20), "i-0").cloned();
    desk.submit(1, ONE);
    let calls = desk.write(true);
    let start = starts(&calls)[0].clone();
    desk.answer(&start, WorkerResponse::Acknowledged { clock_ms: desk.now - 900_000 });
    if let Some(before) = before {
        desk.report(&before, &[], &[]);
    }
    assert!(starts(&desk.pass(20)).is_empty(), "it runs");
}

#[test]
fn an_end_may_be_forgotten_only_when_its_record_lasts() {
    let mut desk = Desk::new(1);
    desk.submit(1, ONE);
    let calls = desk.write(true);
    let start = starts(&calls)[0].clone();
    desk.answer(&start, WorkerResponse::Acknowledged { clock_ms: desk.now - 900_000 });
    let task = TaskId { job: JobId(1), occurrence: 0, stage: 0, index: 0 };
    let hold = desk.hold_out("i-0");
    desk.report(&hold, &[], &[(1, task, 1, "done")]);
    desk.now += 20;
    desk.scheduler.tick(desk.at());
    let early = desk.write(false);
    let seen = |call: &WorkerCall| matches!(call.request, WorkerRequest::RenewLease { acknowledged_end, .. } if acknowledged_end > 0);
    assert!(!early.iter().any(seen), "{early:?}");
    assert!(desk.pass(20).iter().any(seen), "once it lasts");
    assert_eq!(desk.scheduler.job_state(JobId(1)), Some(JobState::Closed(JobOutcome::Succeeded)));
}

/// Ends taken while the records of earlier ones are on their way are in a later batch, which may still be lost.
#[test]
fn an_end_taken_after_a_batch_is_not_forgotten_with_it() {
    let mut desk = Desk::new(1);
    desk.submit(1, SMALL);
    desk.submit(2, SMALL);
    let calls = desk.write(true);
    let ordered: Vec<WorkerCall> = starts(&calls).into_iter().cloned().collect();
    assert_eq!(ordered.len(), 2);
    for start in &ordered {
        desk.answer(start, WorkerResponse::Acknowledged { clock_ms: desk.now - 900_000 });
    }
    let [first, second] = [1, 2].map(|job| TaskId { job: JobId(job), occurrence: 0, stage: 0, index: 0 });
    let hold = desk.hold_out("i-0");
    desk.report(&hold, &[(second, 1)], &[(1, first, 1, "done")]);
    desk.write(false);
    let earlier = desk.sequence;
    // Another answer, as after a stop, brings the second end before the first one's record lasts.
    desk.report(&hold, &[], &[(1, first, 1, "done"), (2, second, 1, "done")]);
    desk.write(false);
    assert!(desk.sequence > earlier, "the second end is in a batch of its own");
    desk.scheduler.handle_committed(desk.at(), earlier);
    desk.now += 20;
    desk.scheduler.tick(desk.at());
    let calls: Vec<WorkerCall> =
        desk.scheduler.drain_effects().into_iter().map(|Effect::CallWorker(call)| call).collect();
    let hold = hold_of(&calls, "i-0").expect("a hold goes out");
    assert!(matches!(hold.request, WorkerRequest::RenewLease { acknowledged_end: 1, .. }), "{hold:?}");
}

/// `pending` counts jobs of which no task is known to have begun: an order without an answer says nothing, and neither
/// does a record to the next scheduler.
#[test]
fn pending_counts_jobs_of_which_nothing_has_begun() {
    let mut desk = Desk::new(1);
    let queue = QueueId::default();
    desk.submit(1, ONE);
    desk.submit(2, ONE);
    let calls = desk.write(true);
    let start = starts(&calls)[0].clone();
    assert_eq!(desk.scheduler.pending_jobs(&queue), 2, "ordered, not begun");
    let mut next = desk.successor();
    assert_eq!(next.pending_jobs(&queue), 2, "nobody knows");
    desk.answer(&start, WorkerResponse::Acknowledged { clock_ms: desk.now - 900_000 });
    assert_eq!(desk.scheduler.pending_jobs(&queue), 1);
    let WorkerRequest::Start { task, .. } = start.request else { panic!("a start") };
    let hold = desk.hold_out("i-0");
    desk.report(&hold, &[], &[(1, task, 1, "done")]);
    assert_eq!(desk.scheduler.pending_jobs(&queue), 1, "the other has no answer yet");
    assert!(desk.scheduler.cancel(desk.at(), JobId(2)));
    assert_eq!(desk.scheduler.pending_jobs(&queue), 0);
    assert!(next.cancel(desk.at(), JobId(1)) && next.cancel(desk.at(), JobId(2)));
    assert_eq!(next.pending_jobs(&queue), 0);
}

#[test]
fn the_ends_of_a_gang_count_one_time_once() {
    let mut desk = Desk::new(2);
    let body = r#"{"spec":"x","repeats":2,"startAtMs":1000000,"intervalMs":60000,
        "stages":[{"count":2,"cpu":600,"memMb":10,"estRuntimeMs":500,"gang":true}]}"#;
    desk.submit(1, body);
    let calls = desk.write(true);
    let ordered: Vec<WorkerCall> = starts(&calls).into_iter().cloned().collect();
    assert_eq!(ordered.len(), 2);
    for start in &ordered {
        desk.answer(start, WorkerResponse::Acknowledged { clock_ms: desk.now - 900_000 });
    }
    for start in &ordered {
        let WorkerRequest::Start { task, .. } = start.request else { continue };
        let hold = desk.hold_out(&start.worker_id);
        desk.report(&hold, &[], &[(1, task, 1, "done")]);
    }
    assert_eq!(
        desk.scheduler.job_state(JobId(1)),
        Some(JobState::Running),
        "the second time is still to come"
    );
}

#[test]
fn another_scheduler_goes_on_from_the_records() {
    let mut desk = Desk::new(1);
    desk.submit(1, ONE);
    desk.write(false);
    let next = desk.successor();
    assert_eq!(next.job_state(JobId(1)), Some(JobState::Running));
    let view = next.inspect_job(JobId(1)).expect("there");
    assert_eq!(view.open_tasks[0].active_runs.len(), 1, "the run that was recorded may be there");
    assert!(!view.open_tasks[0].is_pending);
}
