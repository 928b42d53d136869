//! Starts without an answer, and workers that are not heard.
mod desk;
use desk::{Desk, ONE, SMALL, hold_of, starts};
use spanlead_job_scheduler::*;

/// A start whose answer alone was lost is found by the look after it, and left alone.
#[test]
fn a_start_that_was_carried_out_without_an_answer_goes_on() {
    let mut desk = Desk::new(2);
    desk.submit(1, ONE);
    let calls = desk.write(true);
    let start = starts(&calls)[0].clone();
    let WorkerRequest::Start { task, .. } = start.request else { panic!("a start") };
    desk.answer(&start, WorkerResponse::NoResponse);
    let look = hold_of(&desk.write(true), &start.worker_id).expect("a look").clone();
    desk.report(&look, &[(task, 1)], &[]);
    for _ in 0..20 {
        let calls = desk.pass(20);
        let moved =
            |c: &WorkerCall| matches!(c.request, WorkerRequest::Start { .. } | WorkerRequest::Stop { .. });
        assert!(!calls.iter().any(moved), "{calls:?}");
    }
}

/// What runs on a worker that is cut off is over when what it was allowed last has run out, however often it is asked
/// meanwhile: one that hears and is not heard would go on for ever.
#[test]
fn a_worker_that_is_not_heard_is_allowed_nothing_more() {
    const ALLOWED_MS: u64 = 4_000;
    let mut desk = Desk::new(2);
    // What an earlier scheduler may have allowed has run out.
    while desk.now < 1_000_000 + 2 * ALLOWED_MS {
        for call in desk.pass(400) {
            desk.report(&call, &[], &[]);
        }
    }
    desk.submit(1, ONE);
    let calls = desk.write(true);
    let start = starts(&calls)[0].clone();
    desk.answer(&start, WorkerResponse::Acknowledged { clock_ms: desk.now - 900_000 });
    let (cut, since) = (start.worker_id.clone(), desk.now);
    let mut silent: Vec<(u64, WorkerCall)> = Vec::new();
    let mut calls: Vec<WorkerCall> =
        calls.into_iter().filter(|c| !matches!(c.request, WorkerRequest::Start { .. })).collect();
    let again = loop {
        calls.extend(desk.pass(20));
        for call in std::mem::take(&mut calls) {
            if *call.worker_id == *cut {
                silent.push((desk.now + call.timeout_ms, call));
            } else if let WorkerRequest::Start { .. } = call.request {
                break;
            } else {
                desk.report(&call, &[], &[]);
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = silent.into_iter().partition(|(at, _)| *at <= desk.now);
        silent = later;
        for (_, call) in due {
            desk.answer(&call, WorkerResponse::NoResponse);
        }
        if desk
            .scheduler
            .inspect_job(JobId(1))
            .is_some_and(|job| job.open_tasks[0].active_runs.iter().any(|r| r.worker_id != *cut))
        {
            break desk.now;
        }
        assert!(desk.now < since + 3 * ALLOWED_MS, "it still waits");
    };
    assert!(again > since + ALLOWED_MS, "what was allowed had not run out");
    assert!(again < since + ALLOWED_MS + 2_000, "{} ms", again - since);
}

const COPIED: &str =
    r#"{"spec":"x","stages":[{"count":1,"cpu":600,"memMb":10,"estRuntimeMs":500,"speculative":true}]}"#;

/// Where copies may run, a task whose start has no answer begins elsewhere at once; the first end counts, and the other
/// run is stopped.
#[test]
fn a_copy_begins_at_once_where_the_step_allows_it() {
    let mut desk = Desk::new(2);
    desk.submit(1, COPIED);
    let calls = desk.write(true);
    let first = starts(&calls)[0].clone();
    let WorkerRequest::Start { task, .. } = first.request else { panic!("a start") };
    desk.answer(&first, WorkerResponse::NoResponse);
    let calls = desk.pass(20);
    let copy = starts(&calls)[0].clone();
    assert_ne!(copy.worker_id, first.worker_id);
    assert!(matches!(copy.request, WorkerRequest::Start { run: 2, .. }), "{copy:?}");
    desk.answer(&copy, WorkerResponse::Acknowledged { clock_ms: desk.now - 900_000 });
    let look = hold_of(&calls, &first.worker_id).expect("a look").clone();
    desk.report(&look, &[(task, 1)], &[]);
    assert!(starts(&desk.pass(20)).is_empty(), "two are enough");
    let hold = desk.hold_out(&copy.worker_id);
    desk.report(&hold, &[], &[(1, task, 2, "done")]);
    let calls = desk.pass(20);
    let stopped = |c: &WorkerCall| {
        *c.worker_id == *first.worker_id && matches!(c.request, WorkerRequest::Stop { run: 1, .. })
    };
    assert!(calls.iter().any(stopped), "{calls:?}");
    assert_eq!(desk.scheduler.job_state(JobId(1)), Some(JobState::Closed(JobOutcome::Succeeded)));
}

/// What comes of a start.
#[derive(Clone, Copy)]
enum Answered {
    /// It is answered after so many milliseconds.
    After(u64),
    /// It is not answered, and a look shows that it was carried out.
    Never,
}

/// The deadline of starts after those that were answered so, one after the other.
fn deadline_after(answers: &[(usize, Answered)]) -> u64 {
    let mut desk = Desk::new(2);
    let all = answers.iter().flat_map(|(times, answered)| std::iter::repeat_n(*answered, *times));
    for (id, answered) in (1..).zip(all) {
        desk.submit(id, SMALL);
        let calls = desk.write(true);
        let start = starts(&calls)[0].clone();
        let WorkerRequest::Start { task, run, .. } = start.request else { panic!("a start") };
        if let Answered::After(ms) = answered {
            desk.pass(ms);
            desk.answer(&start, WorkerResponse::Acknowledged { clock_ms: desk.now - 900_000 });
        } else {
            desk.answer(&start, WorkerResponse::NoResponse);
            let look = hold_of(&desk.write(true), &start.worker_id).expect("a look").clone();
            desk.report(&look, &[(task, run)], &[]);
        }
        desk.scheduler.cancel(desk.at(), JobId(id));
        let calls = desk.pass(20);
        for stop in calls.iter().filter(|c| matches!(c.request, WorkerRequest::Stop { .. })) {
            desk.answer(stop, WorkerResponse::Acknowledged { clock_ms: desk.now - 900_000 });
        }
        for call in desk
            .write(true)
            .iter()
            .filter(|c| matches!(c.request, WorkerRequest::RenewLease { wait_ms: 0, .. }))
        {
            desk.report(call, &[], &[]);
        }
        desk.end_all(&start.worker_id, task, run);
    }
    desk.scheduler.metrics().call_timeouts.map_or(300, |range| range.shortest_ms)
}

#[test]
fn deadlines_follow_what_answers_take_within_bounds() {
    use Answered::{After, Never};
    assert_eq!(deadline_after(&[]), 300, "nothing is known");
    assert_eq!(deadline_after(&[(5, After(2))]), 300, "too little is known");
    assert_eq!(deadline_after(&[(40, After(2))]), 60, "never shorter than a pause");
    let slow = deadline_after(&[(40, After(100))]);
    assert!((100..300).contains(&slow), "{slow}");
    assert_eq!(deadline_after(&[(40, After(290))]), 300, "never longer");
    assert_eq!(
        deadline_after(&[(40, After(2)), (2, Never)]),
        60,
        "two lost answers say nothing of the others"
    );
    let premature = deadline_after(&[(40, After(2)), (2, After(80))]);
    assert!((130..300).contains(&premature), "given up too soon: {premature}");
    assert_eq!(deadline_after(&[(40, After(2)), (60, Never)]), 300, "most were given up");
}

/// An answer that comes after its deadline by chance proves that the start was carried out: nothing is stopped.
#[test]
fn an_answer_after_its_deadline_still_counts() {
    let mut desk = Desk::new(1);
    desk.submit(1, ONE);
    let calls = desk.write(true);
    let start = starts(&calls)[0].clone();
    let WorkerRequest::Start { task, .. } = start.request else { panic!("a start") };
    let look = hold_of(&desk.pass(320), "i-0").expect("a look").clone();
    desk.answer(&start, WorkerResponse::Acknowledged { clock_ms: desk.now - 900_000 });
    desk.report(&look, &[(task, 1)], &[]);
    for _ in 0..20 {
        let calls = desk.pass(20);
        let moved =
            |c: &WorkerCall| matches!(c.request, WorkerRequest::Start { .. } | WorkerRequest::Stop { .. });
        assert!(!calls.iter().any(moved), "{calls:?}");
    }
}
