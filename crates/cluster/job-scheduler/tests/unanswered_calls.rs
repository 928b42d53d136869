//! Starts without a response, and workers that do not respond.
mod common;
use common::{
    ManualScheduler, ONE_TASK, SMALL_TASK, is_start, is_stop, renewal_to, single_start, started_run, starts,
};
use spanlead_job_scheduler::{
    JobId, JobOutcome, JobState, TaskId, WorkerCall, WorkerRequest, WorkerResponse,
};

/// The number of workers, each with one run, in the test of renewals.
const BUSY_WORKERS: usize = 20;
const SPECULATIVE_TASK: &str =
    r#"{"spec":"x","stages":[{"count":1,"cpu":600,"memMb":10,"estRuntimeMs":500,"speculative":true}]}"#;

/// Asserts that nothing is started or stopped for 400 ms.
fn assert_no_start_or_stop(manual: &mut ManualScheduler) {
    for _ in 0..20 {
        let calls = manual.advance(20);
        assert!(
            !calls.iter().any(|call| is_start(call) || is_stop(call)),
            "expected no start or stop: {calls:?}"
        );
    }
}

/// Acknowledges a start after its time-out, so that the scheduler does not consider its time-outs
/// reliable.
fn cause_premature_timeout(manual: &mut ManualScheduler) {
    const JOB: u64 = 1_000;
    manual.submit(JOB, SMALL_TASK);
    let start = single_start(&manual.commit());
    manual.advance(320);
    manual.acknowledge(&start);
    cancel_and_acknowledge_stops(manual, JOB);
    let (task, run) = started_run(&start);
    manual.report_stopped(&start.worker_id, task, run);
    assert_eq!(manual.scheduler.metrics().premature_start_timeouts, 1);
}

/// While time-outs are unreliable, a run is not stopped when its start times out. If only the
/// response to the start was lost, the query after the time-out shows the run.
#[test]
fn run_whose_start_timed_out_continues_if_reported_while_timeouts_are_unreliable() {
    let mut manual = ManualScheduler::new(2);
    cause_premature_timeout(&mut manual);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());

    manual.respond(&start, WorkerResponse::NoResponse);
    let query = renewal_to(&manual.commit(), &start.worker_id).expect("a query is sent").clone();
    manual.report(&query, &[started_run(&start)], &[]);

    assert_no_start_or_stop(&mut manual);
}

/// While this process is slow, the response may be late only for that reason: the run is not
/// stopped before a query shows that the worker does not have it.
#[test]
fn run_whose_start_timed_out_continues_if_reported_while_the_scheduler_is_slow() {
    const LATE_MS: u64 = 50;
    let mut manual = ManualScheduler::new(2);
    for _ in 0..10 {
        manual.scheduler.record_tick_lateness(LATE_MS);
    }
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());

    manual.respond(&start, WorkerResponse::NoResponse);
    let calls = manual.commit();
    assert!(!calls.iter().any(is_stop), "expected no stop before the report: {calls:?}");
    let query = renewal_to(&calls, &start.worker_id).expect("a query is sent").clone();
    manual.report(&query, &[started_run(&start)], &[]);

    assert_no_start_or_stop(&mut manual);
}

/// The stop is sent together with the query, not after its report. The task starts again only after
/// the stop was acknowledged and a report that was requested later does not list the run.
#[test]
fn run_whose_start_timed_out_is_stopped_at_once_and_starts_again_when_it_is_surely_gone() {
    let mut manual = ManualScheduler::new(2);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());

    manual.respond(&start, WorkerResponse::NoResponse);
    let calls = manual.commit();
    let query = renewal_to(&calls, &start.worker_id).expect("a query is sent").clone();
    let stop = calls.iter().find(|call| is_stop(call)).expect("a stop is sent").clone();
    manual.report(&query, &[], &[]);
    assert!(
        starts(&manual.advance(20)).is_empty(),
        "the start may still be carried out: the stop is not acknowledged"
    );

    manual.acknowledge(&stop);
    let query = renewal_to(&manual.commit(), &start.worker_id).expect("a query is sent").clone();
    assert!(starts(&manual.advance(20)).is_empty(), "the run may have begun before the stop");

    manual.report(&query, &[], &[]);
    let again = single_start(&manual.advance(20));
    assert_eq!(started_run(&again).1, 2, "expected run 2: {again:?}");
}

/// The members of a gang end together, so a member is stopped only if a report does not list it.
#[test]
fn gang_member_whose_start_timed_out_is_not_stopped_before_a_report() {
    let gang = ONE_TASK.replace("\"count\":1", "\"count\":2,\"gang\":true");
    let mut manual = ManualScheduler::new(2);
    manual.submit(1, &gang);
    let calls = manual.commit();
    let members = starts(&calls);
    manual.acknowledge(members[0]);

    manual.respond(members[1], WorkerResponse::NoResponse);

    let calls = manual.commit();
    assert!(!calls.iter().any(is_stop), "expected no stop before the report: {calls:?}");
    let query = renewal_to(&calls, &members[1].worker_id).expect("a query is sent").clone();
    manual.report(&query, &[started_run(members[1])], &[]);
    assert_no_start_or_stop(&mut manual);
}

/// While time-outs are unreliable, a run is stopped only after a report that does not list it, and
/// the task starts again only after a second such report, requested after the acknowledged stop.
#[test]
fn unreported_run_is_stopped_before_its_task_starts_again_while_timeouts_are_unreliable() {
    let mut manual = ManualScheduler::new(2);
    cause_premature_timeout(&mut manual);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());

    manual.respond(&start, WorkerResponse::NoResponse);
    let query = renewal_to(&manual.commit(), &start.worker_id).expect("a query is sent").clone();
    assert!(starts(&manual.advance(50)).is_empty(), "the run may be active on the worker");

    manual.report(&query, &[], &[]);
    let stop = manual.commit().into_iter().find(is_stop).expect("a stop is sent");
    assert!(starts(&manual.advance(50)).is_empty(), "the start may still be carried out");

    manual.acknowledge(&stop);
    let query = renewal_to(&manual.commit(), &start.worker_id).expect("a query is sent").clone();
    assert!(starts(&manual.advance(20)).is_empty(), "the query has no response yet");

    manual.report(&query, &[], &[]);
    let again = single_start(&manual.advance(20));
    assert_eq!(started_run(&again).1, 2, "expected run 2: {again:?}");
}

/// A response that arrives after the time-out proves that the start was carried out.
#[test]
fn run_continues_if_its_start_is_acknowledged_after_the_timeout() {
    let mut manual = ManualScheduler::new(1);
    cause_premature_timeout(&mut manual);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());

    let query = renewal_to(&manual.advance(320), "i-0").expect("a query is sent").clone();
    manual.acknowledge(&start);
    manual.report(&query, &[started_run(&start)], &[]);

    assert_no_start_or_stop(&mut manual);
}

#[test]
fn report_requested_before_a_start_does_not_end_its_run() {
    let mut manual = ManualScheduler::new(1);
    let before = renewal_to(&manual.advance(20), "i-0").cloned();
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());

    manual.acknowledge(&start);
    if let Some(before) = before {
        manual.report(&before, &[], &[]);
    }

    assert!(starts(&manual.advance(20)).is_empty(), "the run is active");
}

/// The runs of a partitioned worker are over once its last lease has expired, however often the
/// worker is called meanwhile. If such calls extended the lease, the runs of a worker that receives
/// calls, but whose responses are lost, would never end.
#[test]
fn lease_of_an_unresponsive_worker_is_not_extended() {
    const LEASE_MS: u64 = 4_000;
    let mut manual = ManualScheduler::new(2);
    // Waits until any lease that an earlier scheduler may have granted has expired.
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

    let (partitioned, partitioned_at_ms) = (start.worker_id.clone(), manual.now_ms);
    let mut unanswered: Vec<(u64, WorkerCall)> = Vec::new();
    let mut calls: Vec<WorkerCall> = calls.into_iter().filter(|call| !is_start(call)).collect();
    let runs_elsewhere = |manual: &ManualScheduler| {
        let job = manual.scheduler.inspect_job(JobId(1));
        job.is_some_and(|job| job.open_tasks[0].active_runs.iter().any(|run| run.worker_id != *partitioned))
    };
    while !runs_elsewhere(&manual) {
        calls.extend(manual.advance(20));
        for call in std::mem::take(&mut calls) {
            if *call.worker_id == *partitioned {
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
        assert!(
            manual.now_ms < partitioned_at_ms + 3 * LEASE_MS,
            "the task did not start elsewhere within {} ms",
            3 * LEASE_MS
        );
    }

    let waited_ms = manual.now_ms - partitioned_at_ms;
    assert!(waited_ms > LEASE_MS, "started elsewhere after {waited_ms} ms, before the lease expired");
    assert!(waited_ms < LEASE_MS + 2_000, "started elsewhere only after {waited_ms} ms");
}

/// A hedged run starts on another worker without waiting for the query. The first success of a run
/// completes the task, and the other run is stopped.
#[test]
fn speculative_task_whose_start_timed_out_is_hedged_at_once() {
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
    let query = renewal_to(&calls, &first.worker_id).expect("a query is sent").clone();
    manual.report(&query, &[(task, 1)], &[]);
    assert!(starts(&manual.advance(20)).is_empty(), "at most one hedged run is started");

    let renewal = manual.take_waiting_renewal(&hedged.worker_id);
    manual.report(&renewal, &[], &[(1, task, 2, "done")]);
    let calls = manual.advance(20);
    let is_stop_of_first = |call: &WorkerCall| {
        *call.worker_id == *first.worker_id && matches!(call.request, WorkerRequest::Stop { run: 1, .. })
    };
    assert!(calls.iter().any(is_stop_of_first), "expected a stop of the first run: {calls:?}");
    assert_eq!(manual.scheduler.job_state(JobId(1)), Some(JobState::Closed(JobOutcome::Succeeded)));
}

/// The result of a start.
#[derive(Clone, Copy)]
enum StartResult {
    /// The worker acknowledges it after this many milliseconds.
    AcknowledgedAfter(u64),
    /// It has no response, and a query shows that the worker carried it out.
    NoResponse,
}

/// Performs starts one after the other, `count` starts for each `(count, result)`. Returns the
/// shortest time-out of calls after them, milliseconds.
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
            let query = renewal_to(&manual.commit(), &start.worker_id).expect("a query is sent").clone();
            manual.report(&query, &[(task, run)], &[]);
        }
        cancel_and_acknowledge_stops(&mut manual, job);
        manual.report_stopped(&start.worker_id, task, run);
    }
    manual.scheduler.metrics().call_timeouts.map_or(300, |range| range.shortest_ms)
}

/// Cancels a job, acknowledges its stops, and responds to the queries after them that no run is
/// active.
fn cancel_and_acknowledge_stops(manual: &mut ManualScheduler, job: u64) {
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
fn call_timeouts_follow_round_trip_times_within_bounds() {
    use StartResult::{AcknowledgedAfter, NoResponse};
    assert_eq!(timeout_after(&[]), 300, "no round trip is known");
    assert_eq!(timeout_after(&[(5, AcknowledgedAfter(2))]), 300, "too few round trips are known");
    assert_eq!(timeout_after(&[(40, AcknowledgedAfter(2))]), 60, "the lower bound, longer than usual pauses");
    let slow = timeout_after(&[(40, AcknowledgedAfter(100))]);
    assert!((100..300).contains(&slow), "{slow} ms at round trips of 100 ms");
    assert_eq!(timeout_after(&[(40, AcknowledgedAfter(290))]), 300, "the upper bound");
    for lost in [2, 60] {
        let results = [(40, AcknowledgedAfter(2)), (lost, NoResponse)];
        assert_eq!(timeout_after(&results), 60, "{lost} lost responses do not lengthen it");
    }
    let premature = timeout_after(&[(40, AcknowledgedAfter(2)), (2, AcknowledgedAfter(80))]);
    assert!((130..300).contains(&premature), "{premature} ms after premature time-outs");
    assert_eq!(timeout_after(&[(40, AcknowledgedAfter(2)), (100, NoResponse)]), 300, "most starts timed out");
}

/// Responds to one renewal of each worker per round; if `loses_every_fourth`, every fourth renewal
/// has no response instead. Returns the response delay that the last renewal allows, milliseconds.
fn last_response_delay_ms(manual: &mut ManualScheduler, rounds: usize, loses_every_fourth: bool) -> u64 {
    let mut last_wait_ms = 0;
    for number in 0..rounds * BUSY_WORKERS {
        let worker_id = format!("i-{}", number % BUSY_WORKERS);
        let call = manual.take_waiting_renewal(&worker_id);
        let WorkerRequest::RenewLease { wait_ms, .. } = call.request else {
            panic!("expected a renewal: {call:?}")
        };
        last_wait_ms = wait_ms;
        if loses_every_fourth && number.is_multiple_of(4) {
            manual.respond(&call, WorkerResponse::NoResponse);
            respond_to_queries(manual, &worker_id);
        } else {
            manual.report(&call, &runs_on(manual, &worker_id), &[]);
        }
    }
    last_wait_ms
}

/// Responds to the queries to a worker that follow a call without a response. Queries allow no
/// response delay.
fn respond_to_queries(manual: &mut ManualScheduler, worker_id: &str) {
    let is_query = |call: &&WorkerCall| {
        *call.worker_id == *worker_id && matches!(call.request, WorkerRequest::RenewLease { wait_ms: 0, .. })
    };
    for query in manual.advance(20).iter().filter(is_query) {
        manual.report(query, &runs_on(manual, worker_id), &[]);
    }
}

/// The active runs of job 1 on a worker.
fn runs_on(manual: &ManualScheduler, worker_id: &str) -> Vec<(TaskId, u32)> {
    let job = manual.scheduler.inspect_job(JobId(1)).expect("job 1 is known");
    let runs = job.open_tasks.iter().flat_map(|task| {
        let here = task.active_runs.iter().filter(|run| run.worker_id == worker_id);
        here.map(|run| (TaskId::parse(&task.task).expect("a valid task name"), run.run))
    });
    runs.collect()
}

/// A lost response delays the notice of a run end until the next renewal, so workers may delay
/// their responses only briefly while many responses are lost.
#[test]
fn response_delay_of_renewals_is_short_while_many_have_no_response() {
    let mut manual = ManualScheduler::new(BUSY_WORKERS);
    let lasting = format!("\"count\":{BUSY_WORKERS},\"longRunning\":true");
    manual.submit(1, &ONE_TASK.replace("\"count\":1", &lasting));
    for start in starts(&manual.commit()) {
        manual.acknowledge(start);
    }

    assert_eq!(last_response_delay_ms(&mut manual, 3, false), 600, "all renewals get a response");
    assert_eq!(
        last_response_delay_ms(&mut manual, 20, true),
        100,
        "a quarter of the renewals gets no response"
    );
    for _ in 0..10 {
        manual.scheduler.record_tick_lateness(50);
    }
    assert_eq!(last_response_delay_ms(&mut manual, 2, true), 600, "the scheduler itself is slow");
    for _ in 0..20 {
        manual.scheduler.record_tick_lateness(0);
    }
    assert_eq!(last_response_delay_ms(&mut manual, 60, false), 600, "all renewals get a response again");
}
