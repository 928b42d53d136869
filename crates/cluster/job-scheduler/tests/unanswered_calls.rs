//! Starts without response, and workers that do not respond.
mod common;
use common::{
    ManualScheduler, ONE_TASK, SMALL_TASK, is_start, is_stop, renewal_to, single_start, started_run, starts,
};
use spanlead_job_scheduler::{
    JobId, JobOutcome, JobState, TaskId, WorkerCall, WorkerRequest, WorkerResponse,
};

/// Workers on each of which something runs, in the tests of renewals.
const BUSY_WORKERS: usize = 20;
const SPECULATIVE_TASK: &str =
    r#"{"spec":"x","stages":[{"count":1,"cpu":600,"memMb":10,"estRuntimeMs":500,"speculative":true}]}"#;

/// Nothing is started or stopped for a while.
fn assert_run_goes_on(manual: &mut ManualScheduler) {
    for _ in 0..20 {
        let calls = manual.advance(20);
        assert!(!calls.iter().any(|call| is_start(call) || is_stop(call)), "{calls:?}");
    }
}

/// Has a start acknowledged after its time-out, so that the scheduler knows its time-outs to be too
/// short of late.
fn time_out_too_soon(manual: &mut ManualScheduler) {
    const JOB: u64 = 1_000;
    manual.submit(JOB, SMALL_TASK);
    let start = single_start(&manual.commit());
    manual.advance(320);
    manual.acknowledge(&start);
    cancel_and_free(manual, JOB);
    let (task, run) = started_run(&start);
    manual.report_stopped(&start.worker_id, task, run);
    assert_eq!(manual.scheduler.metrics().premature_start_timeouts, 1);
}

/// While time-outs are too short, a start of which only the response was lost is found by the query
/// after it.
#[test]
fn run_whose_start_timed_out_too_soon_goes_on_if_the_worker_reports_it() {
    let mut manual = ManualScheduler::new(2);
    time_out_too_soon(&mut manual);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());

    manual.respond(&start, WorkerResponse::NoResponse);
    let query = renewal_to(&manual.commit(), &start.worker_id).expect("a query").clone();
    manual.report(&query, &[started_run(&start)], &[]);

    assert_run_goes_on(&mut manual);
}

/// While this process is slow, a response may be on its way: the run is not stopped before a query
/// shows that it is not there.
#[test]
fn slow_scheduler_does_not_stop_a_run_whose_start_timed_out_at_once() {
    const LATE_MS: u64 = 50;
    let mut manual = ManualScheduler::new(2);
    for _ in 0..10 {
        manual.scheduler.record_tick_lateness(LATE_MS);
    }
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());

    manual.respond(&start, WorkerResponse::NoResponse);
    let calls = manual.commit();
    assert!(!calls.iter().any(is_stop), "{calls:?}");
    let query = renewal_to(&calls, &start.worker_id).expect("a query").clone();
    manual.report(&query, &[started_run(&start)], &[]);

    assert_run_goes_on(&mut manual);
}

/// Nothing waits for the query: the stop is sent with it. The task starts again only when both the
/// stop was acknowledged and a later report does not list the run.
#[test]
fn run_whose_start_timed_out_is_stopped_at_once_and_starts_again_when_it_is_surely_gone() {
    let mut manual = ManualScheduler::new(2);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());

    manual.respond(&start, WorkerResponse::NoResponse);
    let calls = manual.commit();
    let query = renewal_to(&calls, &start.worker_id).expect("a query").clone();
    let stop = calls.iter().find(|call| is_stop(call)).expect("a stop").clone();
    manual.report(&query, &[], &[]);
    assert!(starts(&manual.advance(20)).is_empty(), "the start may still be carried out");

    manual.acknowledge(&stop);
    let query = renewal_to(&manual.commit(), &start.worker_id).expect("a query").clone();
    assert!(starts(&manual.advance(20)).is_empty(), "it may have begun before the stop");

    manual.report(&query, &[], &[]);
    let again = single_start(&manual.advance(20));
    assert_eq!(started_run(&again).1, 2, "{again:?}");
}

/// The members of a gang end together, so a member is stopped only if it is not there.
#[test]
fn member_of_a_gang_whose_start_timed_out_is_not_stopped_at_once() {
    let gang = ONE_TASK.replace("\"count\":1", "\"count\":2,\"gang\":true");
    let mut manual = ManualScheduler::new(2);
    manual.submit(1, &gang);
    let calls = manual.commit();
    let members = starts(&calls);
    manual.acknowledge(members[0]);

    manual.respond(members[1], WorkerResponse::NoResponse);

    let calls = manual.commit();
    assert!(!calls.iter().any(is_stop), "{calls:?}");
    let query = renewal_to(&calls, &members[1].worker_id).expect("a query").clone();
    manual.report(&query, &[started_run(members[1])], &[]);
    assert_run_goes_on(&mut manual);
}

#[test]
fn run_whose_start_timed_out_too_soon_is_stopped_before_the_task_starts_again() {
    let mut manual = ManualScheduler::new(2);
    time_out_too_soon(&mut manual);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());

    manual.respond(&start, WorkerResponse::NoResponse);
    let query = renewal_to(&manual.commit(), &start.worker_id).expect("a query").clone();
    assert!(starts(&manual.advance(50)).is_empty(), "it may run there");

    manual.report(&query, &[], &[]);
    let stop = manual.commit().into_iter().find(is_stop).expect("a stop");
    assert!(starts(&manual.advance(50)).is_empty(), "it may run there");

    manual.acknowledge(&stop);
    let query = renewal_to(&manual.commit(), &start.worker_id).expect("a query").clone();
    assert!(starts(&manual.advance(20)).is_empty(), "the query has no response yet");

    manual.report(&query, &[], &[]);
    let again = single_start(&manual.advance(20));
    assert_eq!(started_run(&again).1, 2, "{again:?}");
}

/// A response that comes after its time-out by chance proves that the start was carried out.
#[test]
fn late_response_to_a_start_still_counts() {
    let mut manual = ManualScheduler::new(1);
    time_out_too_soon(&mut manual);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());

    let query = renewal_to(&manual.advance(320), "i-0").expect("a query").clone();
    manual.acknowledge(&start);
    manual.report(&query, &[started_run(&start)], &[]);

    assert_run_goes_on(&mut manual);
}

#[test]
fn report_requested_before_a_start_says_nothing_of_it() {
    let mut manual = ManualScheduler::new(1);
    let before = renewal_to(&manual.advance(20), "i-0").cloned();
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());

    manual.acknowledge(&start);
    if let Some(before) = before {
        manual.report(&before, &[], &[]);
    }

    assert!(starts(&manual.advance(20)).is_empty(), "it runs");
}

/// What runs on a worker that is cut off is over when its last lease has expired, however often it
/// is called meanwhile: one that hears and is not heard would go on for ever.
#[test]
fn lease_of_a_worker_that_does_not_respond_is_not_extended() {
    const LEASE_MS: u64 = 4_000;
    let mut manual = ManualScheduler::new(2);
    // What an earlier scheduler may have granted has expired.
    let started_at_ms = manual.now_ms;
    while manual.now_ms < started_at_ms + 2 * LEASE_MS {
        for call in manual.advance(400) {
            manual.report(&call, &[], &[]);
        }
    }
    manual.submit(1, ONE_TASK);
    let calls = manual.commit();
    let start = single_start(&calls);
    manual.acknowledge(&start);

    let (cut_off, since_ms) = (start.worker_id.clone(), manual.now_ms);
    let mut unanswered: Vec<(u64, WorkerCall)> = Vec::new();
    let mut calls: Vec<WorkerCall> = calls.into_iter().filter(|call| !is_start(call)).collect();
    let runs_elsewhere = |manual: &ManualScheduler| {
        let job = manual.scheduler.inspect_job(JobId(1));
        job.is_some_and(|job| job.open_tasks[0].active_runs.iter().any(|run| run.worker_id != *cut_off))
    };
    while !runs_elsewhere(&manual) {
        calls.extend(manual.advance(20));
        for call in std::mem::take(&mut calls) {
            if *call.worker_id == *cut_off {
                unanswered.push((manual.now_ms + call.timeout_ms, call));
            } else if is_start(&call) {
                break;
            } else {
                manual.report(&call, &[], &[]);
            }
        }
        let (due, later): (Vec<_>, Vec<_>) =
            unanswered.into_iter().partition(|(due_at_ms, _)| *due_at_ms <= manual.now_ms);
        unanswered = later;
        for (_, call) in due {
            manual.respond(&call, WorkerResponse::NoResponse);
        }
        assert!(manual.now_ms < since_ms + 3 * LEASE_MS, "it still waits");
    }

    let waited_ms = manual.now_ms - since_ms;
    assert!(waited_ms > LEASE_MS, "the lease had not expired");
    assert!(waited_ms < LEASE_MS + 2_000, "{waited_ms} ms");
}

/// The first end counts, and the other run is stopped.
#[test]
fn speculative_task_whose_start_timed_out_starts_elsewhere_at_once() {
    let mut manual = ManualScheduler::new(2);
    manual.submit(1, SPECULATIVE_TASK);
    let first = single_start(&manual.commit());
    let (task, _) = started_run(&first);

    manual.respond(&first, WorkerResponse::NoResponse);
    let calls = manual.advance(20);
    let hedged = single_start(&calls);
    assert_ne!(hedged.worker_id, first.worker_id);
    assert_eq!(started_run(&hedged), (task, 2));

    manual.acknowledge(&hedged);
    let query = renewal_to(&calls, &first.worker_id).expect("a query").clone();
    manual.report(&query, &[(task, 1)], &[]);
    assert!(starts(&manual.advance(20)).is_empty(), "two are enough");

    let renewal = manual.waiting_renewal(&hedged.worker_id);
    manual.report(&renewal, &[], &[(1, task, 2, "done")]);
    let calls = manual.advance(20);
    let is_stop_of_first = |call: &WorkerCall| {
        *call.worker_id == *first.worker_id && matches!(call.request, WorkerRequest::Stop { run: 1, .. })
    };
    assert!(calls.iter().any(is_stop_of_first), "{calls:?}");
    assert_eq!(manual.scheduler.job_state(JobId(1)), Some(JobState::Closed(JobOutcome::Succeeded)));
}

/// What comes of a start.
#[derive(Clone, Copy)]
enum StartResult {
    /// It is acknowledged after so many milliseconds.
    AcknowledgedAfter(u64),
    /// It has no response, and a query shows that it was carried out.
    NoResponse,
}

/// The shortest time-out of calls after starts with these results, each so often, one after the
/// other.
fn timeout_after(results: &[(usize, StartResult)]) -> u64 {
    let mut manual = ManualScheduler::new(2);
    let all = results.iter().flat_map(|(count, result)| std::iter::repeat_n(*result, *count));
    for (job, result) in (1..).zip(all) {
        manual.submit(job, SMALL_TASK);
        let start = single_start(&manual.commit());
        let (task, run) = started_run(&start);
        if let StartResult::AcknowledgedAfter(ms) = result {
            manual.advance(ms);
            manual.acknowledge(&start);
        } else {
            manual.respond(&start, WorkerResponse::NoResponse);
            let query = renewal_to(&manual.commit(), &start.worker_id).expect("a query").clone();
            manual.report(&query, &[(task, run)], &[]);
        }
        cancel_and_free(&mut manual, job);
        manual.report_stopped(&start.worker_id, task, run);
    }
    manual.scheduler.metrics().call_timeouts.map_or(300, |range| range.shortest_ms)
}

/// Cancels a job, and answers the stops and the queries after them.
fn cancel_and_free(manual: &mut ManualScheduler, job: u64) {
    manual.scheduler.cancel(manual.now(), JobId(job));
    for stop in manual.advance(20).iter().filter(|call| is_stop(call)) {
        manual.acknowledge(stop);
    }
    let is_query = |call: &&WorkerCall| matches!(call.request, WorkerRequest::RenewLease { wait_ms: 0, .. });
    for query in manual.commit().iter().filter(is_query) {
        manual.report(query, &[], &[]);
    }
}

#[test]
fn timeouts_follow_round_trips_within_bounds() {
    use StartResult::{AcknowledgedAfter, NoResponse};
    assert_eq!(timeout_after(&[]), 300, "nothing is known");
    assert_eq!(timeout_after(&[(5, AcknowledgedAfter(2))]), 300, "too little is known");
    assert_eq!(timeout_after(&[(40, AcknowledgedAfter(2))]), 60, "never shorter than a pause");
    let slow = timeout_after(&[(40, AcknowledgedAfter(100))]);
    assert!((100..300).contains(&slow), "{slow}");
    assert_eq!(timeout_after(&[(40, AcknowledgedAfter(290))]), 300, "never longer");
    for lost in [2, 60] {
        let results = [(40, AcknowledgedAfter(2)), (lost, NoResponse)];
        assert_eq!(timeout_after(&results), 60, "{lost} lost responses say nothing of the others");
    }
    let premature = timeout_after(&[(40, AcknowledgedAfter(2)), (2, AcknowledgedAfter(80))]);
    assert!((130..300).contains(&premature), "timed out too soon: {premature}");
    assert_eq!(timeout_after(&[(40, AcknowledgedAfter(2)), (100, NoResponse)]), 300, "most timed out");
}

/// The wait of the last renewal after rounds in which every worker's renewal is answered, or one of
/// four has no response, milliseconds.
fn renewal_wait_after(manual: &mut ManualScheduler, rounds: usize, loses_every_fourth: bool) -> u64 {
    let mut last_wait_ms = 0;
    for number in 0..rounds * BUSY_WORKERS {
        let worker_id = format!("i-{}", number % BUSY_WORKERS);
        let call = manual.waiting_renewal(&worker_id);
        let WorkerRequest::RenewLease { wait_ms, .. } = call.request else { panic!("not a renewal") };
        last_wait_ms = wait_ms;
        if loses_every_fourth && number.is_multiple_of(4) {
            manual.respond(&call, WorkerResponse::NoResponse);
            answer_queries(manual, &worker_id);
        } else {
            manual.report(&call, &runs_on(manual, &worker_id), &[]);
        }
    }
    last_wait_ms
}

/// Answers what a worker is asked without a wait, after a call had no response.
fn answer_queries(manual: &mut ManualScheduler, worker_id: &str) {
    let is_query = |call: &&WorkerCall| {
        *call.worker_id == *worker_id && matches!(call.request, WorkerRequest::RenewLease { wait_ms: 0, .. })
    };
    for query in manual.advance(20).iter().filter(is_query) {
        manual.report(query, &runs_on(manual, worker_id), &[]);
    }
}

fn runs_on(manual: &ManualScheduler, worker_id: &str) -> Vec<(TaskId, u32)> {
    let job = manual.scheduler.inspect_job(JobId(1)).expect("known");
    let runs = job.open_tasks.iter().flat_map(|task| {
        let here = task.active_runs.iter().filter(|run| run.worker_id == worker_id);
        here.map(|run| (TaskId::parse(&task.task).expect("a name"), run.run))
    });
    runs.collect()
}

/// An end is learned with the next response: while responses are lost, renewals are short.
#[test]
fn renewals_are_short_while_many_have_no_response() {
    let mut manual = ManualScheduler::new(BUSY_WORKERS);
    let lasting = format!("\"count\":{BUSY_WORKERS},\"longRunning\":true");
    manual.submit(1, &ONE_TASK.replace("\"count\":1", &lasting));
    for start in starts(&manual.commit()) {
        manual.acknowledge(start);
    }

    assert_eq!(renewal_wait_after(&mut manual, 3, false), 600, "all are answered");
    assert_eq!(renewal_wait_after(&mut manual, 20, true), 100, "a quarter is lost");
    for _ in 0..10 {
        manual.scheduler.record_tick_lateness(50);
    }
    assert_eq!(renewal_wait_after(&mut manual, 2, true), 600, "it is this process that is slow");
    for _ in 0..20 {
        manual.scheduler.record_tick_lateness(0);
    }
    assert_eq!(renewal_wait_after(&mut manual, 60, false), 600, "all are answered again");
}
