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
    desk.scheduler.committed(desk.at(), sequence);
    let calls: Vec<Call> = desk.scheduler.drain().into_iter().map(|Effect::Call(call)| call).collect();
    assert_eq!(starts(&calls).len(), 1);
}

#[test]
fn a_start_without_an_answer_is_stopped_before_the_task_starts_again() {
    let mut desk = Desk::new(2);
    desk.submit(1, ONE);
    let calls = desk.write(true);
    let start = starts(&calls)[0].clone();
    desk.answer(&start, Reply::Silence);
    let look = hold_of(&desk.write(true), &start.worker).expect("a look").clone();
    assert!(starts(&desk.pass(50)).is_empty(), "it may run there");
    desk.report(&look, &[], &[]);
    let calls = desk.write(true);
    let stop = calls.iter().find(|c| matches!(c.order, Order::Stop { .. })).expect("a stop").clone();
    assert!(starts(&desk.pass(50)).is_empty(), "it may run there");
    desk.answer(&stop, Reply::Done { clock_ms: desk.now - 900_000 });
    let look = hold_of(&desk.write(true), &start.worker).expect("a look").clone();
    assert!(starts(&desk.pass(20)).is_empty(), "the look is not answered yet");
    desk.report(&look, &[], &[]);
    let calls = desk.pass(20);
    let again = starts(&calls);
    assert!(matches!(again[0].order, Order::Start { run: 2, .. }), "{again:?}");
}

#[test]
fn an_answer_that_was_on_its_way_before_the_start_says_nothing_of_it() {
    let mut desk = Desk::new(1);
    // This hold goes out before the start.
    let before = hold_of(&desk.pass(20), "i-0").cloned();
    desk.submit(1, ONE);
    let calls = desk.write(true);
    let start = starts(&calls)[0].clone();
    desk.answer(&start, Reply::Done { clock_ms: desk.now - 900_000 });
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
    desk.answer(&start, Reply::Done { clock_ms: desk.now - 900_000 });
    let task = TaskKey { job: 1, occurrence: 0, stage: 0, index: 0 };
    let hold = desk.hold_out("i-0");
    desk.report(&hold, &[], &[(1, task, 1, "done")]);
    desk.now += 20;
    desk.scheduler.tick(desk.at());
    let early = desk.write(false);
    let seen = |call: &Call| matches!(call.order, Order::Hold { last_seen, .. } if last_seen > 0);
    assert!(!early.iter().any(seen), "{early:?}");
    assert!(desk.pass(20).iter().any(seen), "once it lasts");
    assert_eq!(desk.scheduler.state(1), Some(State::Closed(Outcome::Succeeded)));
}

/// Ends taken while the records of earlier ones are on their way are in a later batch, which may still be lost.
#[test]
fn an_end_taken_after_a_batch_is_not_forgotten_with_it() {
    let mut desk = Desk::new(1);
    desk.submit(1, SMALL);
    desk.submit(2, SMALL);
    let calls = desk.write(true);
    let ordered: Vec<Call> = starts(&calls).into_iter().cloned().collect();
    assert_eq!(ordered.len(), 2);
    for start in &ordered {
        desk.answer(start, Reply::Done { clock_ms: desk.now - 900_000 });
    }
    let [first, second] = [1, 2].map(|job| TaskKey { job, occurrence: 0, stage: 0, index: 0 });
    let hold = desk.hold_out("i-0");
    desk.report(&hold, &[(second, 1)], &[(1, first, 1, "done")]);
    desk.write(false);
    let earlier = desk.sequence;
    // Another answer, as after a stop, brings the second end before the first one's record lasts.
    desk.report(&hold, &[], &[(1, first, 1, "done"), (2, second, 1, "done")]);
    desk.write(false);
    assert!(desk.sequence > earlier, "the second end is in a batch of its own");
    desk.scheduler.committed(desk.at(), earlier);
    desk.now += 20;
    desk.scheduler.tick(desk.at());
    let calls: Vec<Call> = desk.scheduler.drain().into_iter().map(|Effect::Call(call)| call).collect();
    let hold = hold_of(&calls, "i-0").expect("a hold goes out");
    assert!(matches!(hold.order, Order::Hold { last_seen: 1, .. }), "{hold:?}");
}

/// `pending` counts jobs of which no task is known to have begun: an order without an answer says nothing, and neither
/// does a record to the next scheduler.
#[test]
fn pending_counts_jobs_of_which_nothing_has_begun() {
    let mut desk = Desk::new(1);
    let queue = Queue::default();
    desk.submit(1, ONE);
    desk.submit(2, ONE);
    let calls = desk.write(true);
    let start = starts(&calls)[0].clone();
    assert_eq!(desk.scheduler.pending(&queue), 2, "ordered, not begun");
    let mut next = desk.successor();
    assert_eq!(next.pending(&queue), 2, "nobody knows");
    desk.answer(&start, Reply::Done { clock_ms: desk.now - 900_000 });
    assert_eq!(desk.scheduler.pending(&queue), 1);
    let Order::Start { task, .. } = start.order else { panic!("a start") };
    let hold = desk.hold_out("i-0");
    desk.report(&hold, &[], &[(1, task, 1, "done")]);
    assert_eq!(desk.scheduler.pending(&queue), 1, "the other has no answer yet");
    assert!(desk.scheduler.cancel(desk.at(), 2));
    assert_eq!(desk.scheduler.pending(&queue), 0);
    assert!(next.cancel(desk.at(), 1) && next.cancel(desk.at(), 2));
    assert_eq!(next.pending(&queue), 0);
}

#[test]
fn the_ends_of_a_gang_count_one_time_once() {
    let mut desk = Desk::new(2);
    let body = r#"{"spec":"x","repeats":2,"startAtMs":1000000,"intervalMs":60000,
        "stages":[{"count":2,"cpu":600,"memMb":10,"estRuntimeMs":500,"gang":true}]}"#;
    desk.submit(1, body);
    let calls = desk.write(true);
    let ordered: Vec<Call> = starts(&calls).into_iter().cloned().collect();
    assert_eq!(ordered.len(), 2);
    for start in &ordered {
        desk.answer(start, Reply::Done { clock_ms: desk.now - 900_000 });
    }
    for start in &ordered {
        let Order::Start { task, .. } = start.order else { continue };
        let hold = desk.hold_out(&start.worker);
        desk.report(&hold, &[], &[(1, task, 1, "done")]);
    }
    assert_eq!(desk.scheduler.state(1), Some(State::Running), "the second time is still to come");
}

#[test]
fn another_scheduler_goes_on_from_the_records() {
    let mut desk = Desk::new(1);
    desk.submit(1, ONE);
    desk.write(false);
    let next = desk.successor();
    assert_eq!(next.state(1), Some(State::Running));
    let view = next.inspect(1).expect("there");
    assert_eq!(view.open[0].runs.len(), 1, "the run that was recorded may be there");
    assert!(!view.open[0].waits);
}
