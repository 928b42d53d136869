//! Workers that a list of the platform does not name: the list is read in parts, between which
//! entries may shift, so it may leave out a worker that lives.
mod common;
use common::{
    CONFIG, ManualScheduler, ONE_TASK, first_task, listed_worker, renewal_to, single_start, started_run,
    starts,
};
use spanlead_job_scheduler::{
    JobId, JobOutcome, JobState, ListedWorker, ListedWorkerState, WorkerCall, WorkerResponse,
};

const WORKERS: usize = 2;
/// The longest time for which a lease that was granted now may last: the longest lease, on a clock
/// that is slow by 2%, with the margin for rounding, milliseconds.
const MAX_LEASE_DURATION_MS: u64 = CONFIG.max_lease_ms * 100 / 98 + 150 + 20;
const STEP_MS: u64 = 20;

/// A scheduler with two workers, one of which runs the task of job 1, and that worker's index.
fn running_job() -> (ManualScheduler, usize) {
    let mut manual = ManualScheduler::new(WORKERS);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());
    manual.acknowledge(&start);
    let index = (0..WORKERS).find(|index| *start.worker_id == *worker_id(*index)).expect("a listed worker");
    (manual, index)
}

fn worker_id(index: usize) -> String {
    format!("i-{index}")
}

/// The list without one of the workers.
fn list_without(left_out: usize) -> Vec<ListedWorker> {
    (0..WORKERS).filter(|index| *index != left_out).map(listed_worker).collect()
}

fn full_list() -> Vec<ListedWorker> {
    (0..WORKERS).map(listed_worker).collect()
}

/// Advances for `ms`. The workers respond to every renewal that they have: the one with the index
/// `busy` that it runs the first task of job 1, the others that nothing runs. Returns all calls.
fn respond_for(manual: &mut ManualScheduler, ms: u64, busy: Option<usize>) -> Vec<WorkerCall> {
    let mut all = Vec::new();
    for _ in 0..ms / STEP_MS {
        let calls = manual.advance(STEP_MS);
        for index in 0..WORKERS {
            let Some(renewal) = renewal_to(&calls, &worker_id(index)).cloned() else { continue };
            let running = if busy == Some(index) { vec![(first_task(1), 1)] } else { Vec::new() };
            manual.report(&renewal, &running, &[]);
        }
        all.extend(calls);
    }
    all
}

/// Advances for `ms` without any response. Returns all calls.
fn ignore_calls_for(manual: &mut ManualScheduler, ms: u64) -> Vec<WorkerCall> {
    let mut all = Vec::new();
    for _ in 0..ms / STEP_MS {
        let calls = manual.advance(STEP_MS);
        for call in &calls {
            manual.respond(call, WorkerResponse::NoResponse);
        }
        all.extend(calls);
    }
    all
}

/// Guards against the incident on pentagrama-norte-large: a live worker that one list left out was
/// taken for gone, and its tasks were started elsewhere beside it.
#[test]
fn task_does_not_start_elsewhere_while_a_list_leaves_out_its_worker() {
    let (mut manual, busy) = running_job();
    let delayed = manual.take_waiting_renewal(&worker_id(busy));
    manual.report(&delayed, &[(first_task(1), 1)], &[]);

    manual.update_list(&list_without(busy));
    let calls = respond_for(&mut manual, 2 * MAX_LEASE_DURATION_MS, Some(busy));

    assert!(starts(&calls).is_empty(), "the task still runs: {calls:?}");
    assert!(renewal_to(&calls, &worker_id(busy)).is_some(), "expected renewals of the worker's lease");
    let renewal = manual.take_waiting_renewal(&worker_id(busy));
    manual.report(&renewal, &[], &[(1, first_task(1), 1, "done")]);
    manual.commit();
    assert_eq!(manual.scheduler.job_state(JobId(1)), Some(JobState::Closed(JobOutcome::Succeeded)));
}

#[test]
fn worker_that_a_list_leaves_out_is_given_no_task_until_it_is_listed_again() {
    let mut manual = ManualScheduler::new(1);
    manual.update_list(&[]);
    manual.submit(1, ONE_TASK);
    let calls = respond_for(&mut manual, 1_000, None);
    assert!(starts(&calls).is_empty(), "expected no start on a worker that is not listed: {calls:?}");

    manual.update_list(&[listed_worker(0)]);
    let calls = respond_for(&mut manual, 1_000, None);
    assert_eq!(started_run(&single_start(&calls)), (first_task(1), 1));
}

#[test]
fn task_of_a_missing_worker_starts_elsewhere_once_its_lease_has_expired() {
    let (mut manual, busy) = running_job();
    let delayed = manual.take_waiting_renewal(&worker_id(busy));
    manual.respond(&delayed, WorkerResponse::NoResponse);
    manual.update_list(&list_without(busy));
    let mut waited_ms = 0;
    let started = loop {
        assert!(waited_ms <= MAX_LEASE_DURATION_MS, "expected a start after {MAX_LEASE_DURATION_MS} ms");
        let calls = manual.advance(STEP_MS);
        waited_ms += STEP_MS;
        for call in calls.iter().filter(|call| *call.worker_id == *worker_id(busy)) {
            manual.respond(call, WorkerResponse::NoResponse);
        }
        if let Some(start) = starts(&calls).first() {
            break (*start).clone();
        }
        let other = renewal_to(&calls, &worker_id(1 - busy)).cloned();
        other.into_iter().for_each(|renewal| manual.report(&renewal, &[], &[]));
    };
    assert_eq!(started_run(&started), (first_task(1), 2));
    assert!(waited_ms > 1_500, "the lease of the start lasts 1,500 ms, started after {waited_ms} ms");
}

#[test]
fn task_starts_elsewhere_at_once_when_another_incarnation_responds() {
    let (mut manual, busy) = running_job();
    let delayed = manual.take_waiting_renewal(&worker_id(busy));
    manual.update_list(&list_without(busy));

    manual.respond(&delayed, WorkerResponse::WrongIncarnation);

    assert_eq!(started_run(&single_start(&manual.advance(STEP_MS))), (first_task(1), 2));
}

/// A worker that was missing for so long that its leases expired is called again when it is listed.
#[test]
fn departed_worker_is_called_and_given_tasks_again_when_it_is_listed() {
    let mut manual = ManualScheduler::new(1);
    manual.update_list(&[]);
    ignore_calls_for(&mut manual, 2 * MAX_LEASE_DURATION_MS);
    let calls = ignore_calls_for(&mut manual, 2_000);
    assert!(calls.is_empty(), "expected no call to a worker that has departed: {calls:?}");

    manual.update_list(&[listed_worker(0)]);
    let calls = respond_for(&mut manual, 1_000, None);
    assert!(renewal_to(&calls, &worker_id(0)).is_some(), "expected a renewal: {calls:?}");
    manual.submit(1, ONE_TASK);
    assert_eq!(started_run(&single_start(&manual.commit())), (first_task(1), 1));
}

/// A worker that reports that it is draining stays so, also if a list left it out meanwhile and the
/// next one still shows it as ready.
#[test]
fn draining_worker_that_a_list_left_out_is_given_no_task() {
    let mut manual = ManualScheduler::new(WORKERS);
    let draining = ListedWorker { state: ListedWorkerState::Draining, ..listed_worker(0) };
    manual.update_list(&[draining, listed_worker(1)]);
    manual.update_list(&list_without(0));
    manual.update_list(&full_list());
    for job in 1..=2 {
        manual.submit(job, ONE_TASK);
    }
    let calls = respond_for(&mut manual, 200, None);
    let ready = worker_id(1);
    assert!(
        starts(&calls).iter().all(|start| *start.worker_id == *ready),
        "expected no start on i-0: {calls:?}"
    );
}
