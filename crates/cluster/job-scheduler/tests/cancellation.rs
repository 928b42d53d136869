//! Cancellations that overtake the submission of their job: once one is acknowledged, nothing of the
//! job starts.
mod common;
use common::{ManualScheduler, ONE_TASK, policy, single_start, started_run, starts};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use spanlead_job_scheduler::{
    Admission, Cancellation, JobId, JobOutcome, JobSpec, JobState, MAX_SUBMISSION_AGE_MS,
};
use std::collections::BTreeMap;

const JOB: JobId = JobId(1);
/// The first of the identifiers that only a flood of cancellations uses.
const FIRST_FLOOD_ID: u64 = 1_000_000;
/// More cancellations than identifiers are remembered.
const FLOOD: u64 = 60_000;
/// The number of random histories.
const HISTORIES: u64 = 40;
/// The maximum number of steps of one.
const MAX_STEPS: usize = 40;

fn submit(manual: &mut ManualScheduler, job: JobId) -> Admission {
    let spec = JobSpec::from_json(ONE_TASK.as_bytes()).expect("the job body is valid");
    let admission = manual.scheduler.submit(manual.now(), job, policy(), spec);
    manual.scheduler.place_ready_tasks(manual.now());
    admission
}

fn cancel(manual: &mut ManualScheduler, job: JobId) -> Cancellation {
    manual.scheduler.cancel(manual.now(), job)
}

/// Cancels `count` unknown jobs, and returns how many of them were acknowledged.
fn flood(manual: &mut ManualScheduler, first_id: u64, count: u64) -> u64 {
    let acknowledged = (first_id..first_id + count)
        .filter(|id| cancel(manual, JobId(*id)) == Cancellation::UnknownJob)
        .count();
    manual.commit();
    acknowledged as u64
}

fn assert_refused(manual: &mut ManualScheduler, job: JobId) {
    assert_eq!(submit(manual, job), Admission::AlreadyCancelled);
    assert!(starts(&manual.commit()).is_empty(), "a task of a cancelled job starts");
    assert_eq!(manual.scheduler.job_state(job), None);
}

/// Guards against UNASKED: a job was cancelled before its submission, which waited in a stopped
/// process, reached the scheduler. The cancellation left no trace, and the job ran.
#[test]
fn submission_that_arrives_after_its_cancellation_is_refused() {
    let mut manual = ManualScheduler::new(1);
    assert_eq!(cancel(&mut manual, JOB), Cancellation::UnknownJob);
    manual.commit();

    assert_refused(&mut manual, JOB);
    assert_eq!(manual.scheduler.metrics().cancelled_submissions, 1);
    assert_eq!(cancel(&mut manual, JOB), Cancellation::UnknownJob, "a repeated cancellation");
    assert_eq!(submit(&mut manual, JobId(2)), Admission::Accepted, "another job");
}

/// The same as above with a change of the primary, or several, in between.
#[test]
fn submission_that_arrives_after_its_cancellation_is_refused_in_later_terms() {
    let mut manual = ManualScheduler::new(1);
    cancel(&mut manual, JOB);
    manual.commit();
    for _ in 0..3 {
        manual.fail_over(1);
        assert!(manual.recovers_all_records());
        assert_refused(&mut manual, JOB);
        manual.advance(1_000);
    }
}

/// A job that was known when it was cancelled is removed after its retention time, and stays
/// cancelled.
#[test]
fn submission_of_a_cancelled_job_is_refused_after_its_removal() {
    let mut manual = ManualScheduler::new(1);
    manual.submit(JOB.0, ONE_TASK);
    let start = single_start(&manual.commit());
    manual.acknowledge(&start);
    assert_eq!(cancel(&mut manual, JOB), Cancellation::Closed);
    manual.commit();
    let (task, run) = started_run(&start);
    manual.report_stopped(&start.worker_id, task, run);
    manual.advance(200_000);
    manual.advance(300);
    assert_eq!(manual.scheduler.job_state(JOB), None, "its retention is over");

    assert_refused(&mut manual, JOB);
    manual.fail_over(1);
    assert_refused(&mut manual, JOB);
}

/// A cancellation of a job that had ended is acknowledged too. If the job were removed soon after,
/// a submission sent before the cancellation would start it again.
#[test]
fn cancellation_of_a_closed_job_renews_its_retention() {
    let mut manual = ManualScheduler::new(1);
    manual.submit(JOB.0, ONE_TASK);
    let start = single_start(&manual.commit());
    manual.acknowledge(&start);
    let (task, run) = started_run(&start);
    let renewal = manual.take_waiting_renewal(&start.worker_id);
    manual.report(&renewal, &[], &[(1, task, run, "done")]);
    manual.advance(125_000);
    assert_eq!(cancel(&mut manual, JOB), Cancellation::Closed);
    manual.commit();

    for is_failed_over in [false, true] {
        if is_failed_over {
            manual.fail_over(1);
        }
        manual.advance(MAX_SUBMISSION_AGE_MS / 2);
        assert_eq!(manual.scheduler.job_state(JOB), Some(JobState::Closed(JobOutcome::Succeeded)));
        assert_eq!(submit(&mut manual, JOB), Admission::Accepted, "it is the same job");
        assert!(starts(&manual.commit()).is_empty(), "the job is done");
    }
    manual.advance(MAX_SUBMISSION_AGE_MS);
    manual.advance(300);
    assert_eq!(manual.scheduler.job_state(JOB), None, "its retention is over");
}

/// What can't be remembered is not acknowledged, so a flood displaces no acknowledged cancellation.
#[test]
fn flood_of_cancellations_is_bounded_and_displaces_no_acknowledged_one() {
    let mut manual = ManualScheduler::new(1);
    cancel(&mut manual, JOB);
    let acknowledged = flood(&mut manual, FIRST_FLOOD_ID, FLOOD);

    assert!(acknowledged < FLOOD, "all {FLOOD} cancellations are remembered");
    let count = manual.scheduler.counts().cancelled_jobs as u64;
    assert_eq!(count, acknowledged + 1);
    assert_eq!(manual.records.len() as u64, count + 1, "a record of each, and one of the worker class");
    assert_eq!(manual.scheduler.metrics().refused_cancellations, FLOOD - acknowledged);
    assert_refused(&mut manual, JOB);
    assert_refused(&mut manual, JobId(FIRST_FLOOD_ID + acknowledged - 1));
    manual.fail_over(1);
    assert_eq!(manual.scheduler.counts().cancelled_jobs as u64, count);
    assert_refused(&mut manual, JOB);
    manual.submit(2, ONE_TASK);
    assert_eq!(cancel(&mut manual, JobId(2)), Cancellation::Closed, "a known job needs no room");
}

/// Identifiers are forgotten, a few at a time, once no submission can be under way any more that was
/// sent before their cancellation. Some are kept for longer.
#[test]
fn identifiers_are_forgotten_after_the_maximum_age_of_a_submission() {
    let mut manual = ManualScheduler::new(1);
    let acknowledged = flood(&mut manual, FIRST_FLOOD_ID, FLOOD);
    manual.advance(MAX_SUBMISSION_AGE_MS);
    assert_eq!(cancel(&mut manual, JOB), Cancellation::TooManyCancelled, "all may still be needed");
    assert_eq!(manual.scheduler.counts().cancelled_jobs as u64, acknowledged);

    manual.advance(MAX_SUBMISSION_AGE_MS);
    let after_one_check = manual.scheduler.counts().cancelled_jobs as u64;
    assert!(after_one_check < acknowledged, "none is forgotten");
    assert!(after_one_check + 1_000 > acknowledged, "{after_one_check} of {acknowledged} are left at once");
    assert_eq!(cancel(&mut manual, JOB), Cancellation::UnknownJob, "there is room again");
    for _ in 0..200 {
        manual.advance(250);
    }
    let count = manual.scheduler.counts().cancelled_jobs as u64;
    assert!((1_000..=acknowledged / 2).contains(&count), "{count} are kept");
    assert_eq!(manual.records.len() as u64, count + 1, "a record of each, and one of the worker class");
    assert_refused(&mut manual, JOB);
}

/// An unknown job that is cancelled once more is remembered anew: a submission that was sent in
/// between may still be under way when the first cancellation is forgotten.
#[test]
fn repeated_cancellation_of_an_unknown_job_is_remembered_anew() {
    let mut manual = ManualScheduler::new(1);
    cancel(&mut manual, JOB);
    flood(&mut manual, FIRST_FLOOD_ID, FLOOD / 2);
    manual.advance(MAX_SUBMISSION_AGE_MS);
    assert_eq!(cancel(&mut manual, JOB), Cancellation::UnknownJob);
    manual.commit();

    for _ in 0..100 {
        manual.advance(MAX_SUBMISSION_AGE_MS / 100);
    }
    let count = manual.scheduler.counts().cancelled_jobs as u64;
    assert!(count < FLOOD / 2, "older ones are forgotten");
    assert_refused(&mut manual, JOB);
}

/// A step of a random history.
#[derive(Clone, Debug)]
enum Step {
    /// A submission of this job arrives that was sent some time ago, milliseconds.
    Submit {
        job: u64,
        age_ms: u64,
    },
    Cancel {
        job: u64,
    },
    Flood {
        count: u64,
    },
    Advance {
        ms: u64,
    },
    FailOver,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let job = u64::arbitrary(g) % 4;
        match u8::arbitrary(g) % 16 {
            0..=5 => Step::Submit { job, age_ms: u64::arbitrary(g) % MAX_SUBMISSION_AGE_MS },
            6..=9 => Step::Cancel { job },
            10 => Step::Flood { count: u64::arbitrary(g) % (FLOOD / 2) },
            11..=14 => Step::Advance { ms: u64::arbitrary(g) % 150_000 },
            _ => Step::FailOver,
        }
    }
}

/// Plays a history. Returns `false` if a job is open by a submission that was sent before one of
/// its cancellations was acknowledged.
fn keeps_cancelled_jobs_closed(steps: &[Step]) -> bool {
    let mut manual = ManualScheduler::new(0);
    let mut acknowledged_at_ms: BTreeMap<u64, u64> = BTreeMap::new();
    let mut next_flood_id = FIRST_FLOOD_ID;
    for step in steps {
        match *step {
            Step::Submit { job, age_ms } => {
                let was_open = is_open(&manual, job);
                submit(&mut manual, JobId(job));
                let sent_at_ms = manual.now_ms - age_ms;
                let is_stale = acknowledged_at_ms.get(&job).is_some_and(|at_ms| sent_at_ms <= *at_ms);
                if is_stale && !was_open && is_open(&manual, job) {
                    return false;
                }
            }
            Step::Cancel { job } => {
                if cancel(&mut manual, JobId(job)) != Cancellation::TooManyCancelled {
                    acknowledged_at_ms.insert(job, manual.now_ms);
                }
                if is_open(&manual, job) {
                    return false;
                }
            }
            Step::Flood { count } => {
                flood(&mut manual, next_flood_id, count);
                next_flood_id += count;
            }
            Step::Advance { ms } => {
                manual.advance(ms);
            }
            Step::FailOver => manual.fail_over(0),
        }
        manual.commit();
    }
    true
}

fn is_open(manual: &ManualScheduler, job: u64) -> bool {
    matches!(manual.scheduler.job_state(JobId(job)), Some(JobState::Queued | JobState::Running))
}

/// Whatever the order of submissions, cancellations, floods, failovers and long pauses.
#[test]
fn no_submission_sent_before_an_acknowledged_cancellation_is_accepted() {
    let keeps_closed: fn(Vec<Step>) -> bool = |steps| keeps_cancelled_jobs_closed(&steps);
    QuickCheck::new().rng(Gen::new(MAX_STEPS)).tests(HISTORIES).quickcheck(keeps_closed);
}
