//! Output commit: a message that depends on a record is sent only once that record is durable.
mod common;
use common::{ManualScheduler, ONE_TASK, SMALL_TASK, first_task, renewal_to, single_start, starts};
use spanlead_job_scheduler::{JobId, JobOutcome, JobState, WorkerCall, WorkerRequest};

#[test]
fn start_is_sent_only_when_its_record_is_durable() {
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, ONE_TASK);
    assert!(starts(&manual.write_uncommitted()).is_empty(), "the record is not durable yet");

    manual.scheduler.handle_committed(manual.now(), manual.batch);

    assert_eq!(starts(&manual.drain_calls()).len(), 1);
}

#[test]
fn end_is_acknowledged_only_when_its_record_is_durable() {
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, ONE_TASK);
    let start = single_start(&manual.commit());
    manual.acknowledge(&start);
    let renewal = manual.take_waiting_renewal("i-0");

    manual.report(&renewal, &[], &[(1, first_task(1), 1, "done")]);
    manual.tick_after(20);
    let early = manual.write_uncommitted();

    let acknowledges =
        |call: &WorkerCall| matches!(call.request, WorkerRequest::RenewLease { acknowledged_end: 1.., .. });
    assert!(!early.iter().any(acknowledges), "expected no acknowledgement before the commit: {early:?}");
    assert!(manual.advance(20).iter().any(acknowledges), "the record of the end is durable");
    assert_eq!(manual.scheduler.job_state(JobId(1)), Some(JobState::Closed(JobOutcome::Succeeded)));
}

/// Run ends that are received while the records of earlier ends are being committed are part of a
/// later batch, which may still be lost.
#[test]
fn end_received_after_a_batch_was_written_is_not_acknowledged_by_its_commit() {
    let mut manual = ManualScheduler::new(1);
    manual.submit(1, SMALL_TASK);
    manual.submit(2, SMALL_TASK);
    let calls = manual.commit();
    let started: Vec<WorkerCall> = starts(&calls).into_iter().cloned().collect();
    assert_eq!(started.len(), 2);
    for start in &started {
        manual.acknowledge(start);
    }
    let (first, second) = (first_task(1), first_task(2));
    let renewal = manual.take_waiting_renewal("i-0");
    manual.report(&renewal, &[(second, 1)], &[(1, first, 1, "done")]);
    manual.write_uncommitted();
    let earlier_batch = manual.batch;

    // Another report, such as the one after a stop, contains the second end before the record of
    // the first is durable.
    manual.report(&renewal, &[], &[(1, first, 1, "done"), (2, second, 1, "done")]);
    manual.write_uncommitted();
    assert!(manual.batch > earlier_batch, "the second end is in a batch of its own");
    manual.scheduler.handle_committed(manual.now(), earlier_batch);
    manual.tick_after(20);

    let calls = manual.drain_calls();
    let renewal = renewal_to(&calls, "i-0").expect("a renewal is sent after the commit");
    assert!(
        matches!(renewal.request, WorkerRequest::RenewLease { acknowledged_end: 1, .. }),
        "expected an acknowledgement of the first end only: {renewal:?}"
    );
}
