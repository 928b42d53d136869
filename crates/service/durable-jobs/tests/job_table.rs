//! The job table: which records fit its state, what the lookup of a retry's key returns, how long
//! finished jobs are retained, and that replaying the log restores the table.
mod common;

use common::{
    DEADLINE, FINGERPRINT, LEASE_EXPIRES_AT, LIMITS, SECOND, accepted, accepted_job, anchor, finished, key,
    leased, location, seeded, succeeded, table_of,
};
use proptest::prelude::{Just, Strategy, any, prop, prop_assert, prop_assert_eq, prop_oneof, proptest};
use spanlead_durable_jobs::{
    AcceptedJob, FencingToken, IdempotencyKey, Job, JobNumber, JobOutcome, JobTable, JobTableStats,
    KeyLookup, Nanos, PastAttempt, Record, RejectReason, RetrySafety, Session, decode, encode,
};

// Guards the state machine of a job: a record that is not allowed in the current state is rejected
// and changes nothing.
#[test]
fn a_record_that_does_not_fit_is_rejected_and_changes_nothing() {
    let (job, token) = (JobNumber(1), FencingToken(1));
    let non_idempotent = |number, key| accepted(number, key, RetrySafety::NonIdempotent);
    let in_flight = [non_idempotent(1, Some("k")), leased(1, 1, "s-a")];
    let finished_job = [&in_flight[..], &[finished(1, succeeded("r"))]].concat();
    let not_leased = &in_flight[..1];
    // A new job may use the key of a failed one, but not the id of an open one.
    let failed_and_open_jobs = [
        accepted(1, Some("k"), RetrySafety::Idempotent),
        leased(1, 1, "s-a"),
        finished(1, JobOutcome::Failed),
        accepted(2, None, RetrySafety::Idempotent),
    ];
    let reuses_open_id = AcceptedJob {
        id: accepted_job(2, None, RetrySafety::Idempotent).id,
        ..accepted_job(3, Some("k"), RetrySafety::Idempotent)
    };
    let cases: [(&[Record], Record, RejectReason); 13] = [
        (&[], leased(1, 1, "s-a"), RejectReason::UnknownJob),
        (&in_flight, leased(1, 2, "s-b"), RejectReason::AttemptInFlight),
        (&in_flight, leased(1, 1, "s-b"), RejectReason::TokenReused),
        (&in_flight, Record::Started { job, token: FencingToken(9) }, RejectReason::StaleToken),
        (not_leased, Record::Acknowledged { job, token, lease_aware: true }, RejectReason::NotLeased),
        (not_leased, Record::Delivered { job }, RejectReason::NotFinished),
        (&in_flight, non_idempotent(1, None), RejectReason::JobNumberReused),
        (&in_flight, non_idempotent(2, Some("k")), RejectReason::KeyInUse),
        (&finished_job, finished(1, succeeded("r")), RejectReason::AlreadyFinished),
        (&finished_job, leased(1, 2, "s-b"), RejectReason::AlreadyFinished),
        (&finished_job, Record::Renewed { job, token, expires_at: 0 }, RejectReason::AlreadyFinished),
        (&finished_job, non_idempotent(2, Some("k")), RejectReason::KeyHasFinalOutcome),
        (&failed_and_open_jobs, Record::Accepted(reuses_open_id), RejectReason::IdInUse),
    ];
    for (before, record, reason) in cases {
        let mut table = table_of(before);
        let state_before = (format!("{:?}", table.jobs()), table.last_lsn());

        let error = table.apply(&record).expect_err("the record is not allowed");

        assert_eq!(error.reason, reason, "{record:?}");
        assert_eq!((format!("{:?}", table.jobs()), table.last_lsn()), state_before, "{record:?}");
    }
}

#[test]
fn the_error_of_a_rejected_record_states_its_kind_its_job_and_the_reason() {
    let error = table_of(&[]).apply(&leased(1, 1, "s-a")).expect_err("the job is unknown");

    assert_eq!(error.to_string(), "a record `leased` of job 1 does not fit: there is no such job");
}

#[test]
fn a_key_lookup_finds_an_open_job_only_by_its_own_key_and_request() {
    let table = table_of(&[accepted(1, Some("k"), RetrySafety::NonIdempotent), leased(1, 1, "s-a")]);
    let key_of_another_tenant = IdempotencyKey { tenant: "kraftverket".into(), ..key("k") };

    assert_eq!(JobTable::new(LIMITS).lookup(&key("k"), &FINGERPRINT), KeyLookup::New);
    assert_eq!(table.lookup(&key("k"), &FINGERPRINT), KeyLookup::InProgress(JobNumber(1)));
    assert_eq!(table.lookup(&key("k"), &[8; 16]), KeyLookup::RequestMismatch);
    assert_eq!(table.lookup(&key("other"), &FINGERPRINT), KeyLookup::New);
    assert_eq!(
        table.lookup(&key_of_another_tenant, &[8; 16]),
        KeyLookup::New,
        "an equal key of another tenant is another key"
    );
}

#[test]
fn a_key_lookup_of_a_succeeded_job_returns_its_outcome() {
    let table = finished_in_flight(RetrySafety::NonIdempotent, succeeded("r"));

    assert_eq!(table.lookup(&key("k"), &FINGERPRINT), KeyLookup::Finished(JobNumber(1), succeeded("r")));
    assert_eq!(table.lookup(&key("k"), &[8; 16]), KeyLookup::RequestMismatch);
}

// The attempt was in flight when the job failed, so it may have run: a non-idempotent job must not
// run again, an idempotent one may run anywhere, and a deduplicated one where the duplicate is
// dropped.
#[test]
fn a_failed_job_that_may_have_run_is_retryable_unless_it_is_non_idempotent() {
    let lookup =
        |retry_safety| finished_in_flight(retry_safety, JobOutcome::Failed).lookup(&key("k"), &FINGERPRINT);

    let not_idempotent = lookup(RetrySafety::NonIdempotent);
    let idempotent = lookup(RetrySafety::Idempotent);
    let deduplicated = lookup(RetrySafety::Deduplicated(25 * SECOND));

    assert_eq!(not_idempotent, KeyLookup::Finished(JobNumber(1), JobOutcome::Failed));
    assert_eq!(idempotent, KeyLookup::Retryable(Vec::new()));
    let KeyLookup::Retryable(attempts) = deduplicated else { panic!("{deduplicated:?}") };
    assert_eq!(attempts.len(), 1);
    assert_eq!((&*attempts[0].location.worker, attempts[0].may_have_run), ("s-a", true));
}

#[test]
fn the_key_of_a_job_that_was_rejected_before_it_ran_can_be_used_again_at_once() {
    let records = [accepted(1, Some("k"), RetrySafety::NonIdempotent), finished(1, JobOutcome::Rejected)];

    assert_eq!(table_of(&records).lookup(&key("k"), &FINGERPRINT), KeyLookup::New);
}

// Guards against a retry of a failed job that loses the attempts that may have run: the job could
// then run a second time.
#[test]
fn a_retry_of_a_failed_job_is_accepted_only_with_the_attempts_that_may_have_run() {
    let mut table = finished_in_flight(RetrySafety::Deduplicated(25 * SECOND), JobOutcome::Failed);
    let without_attempts = accepted_job(2, Some("k"), RetrySafety::Deduplicated(25 * SECOND));

    let error = table.apply(&Record::Accepted(without_attempts.clone())).expect_err("an attempt is missing");
    let KeyLookup::Retryable(inherited_attempts) = table.lookup(&key("k"), &FINGERPRINT) else {
        panic!("the failed job is not retryable")
    };
    let with_attempts = AcceptedJob { inherited_attempts, ..without_attempts };
    table.apply(&Record::Accepted(with_attempts)).expect("the attempt is inherited");

    assert_eq!(error.reason, RejectReason::InheritedAttemptsMissing);
    assert_eq!(table.lookup(&key("k"), &FINGERPRINT), KeyLookup::InProgress(JobNumber(2)));
    let job = table.job(JobNumber(2)).expect("the job is open");
    assert_eq!(job.possibly_executed_attempts().count(), 1);
    assert_eq!(table.job(JobNumber(1)), None);
}

// The job's first attempt was sent at 101 s, it finished at 105 s with 60 s of retention, and its
// deadline is at 115 s.
#[test]
fn a_finished_job_is_retained_until_its_retention_and_deduplication_window_have_ended() {
    let expires_at = |retry_safety, outcome| {
        let mut table = finished_in_flight(retry_safety, outcome);
        let expires_at = table.next_expiration().expect("the job is retained");
        assert_eq!(table.expire(expires_at - 1), 0);
        assert_eq!((table.expire(expires_at), table.stats()), (1, JobTableStats::default()));
        assert_eq!(table.lookup(&key("k"), &FINGERPRINT), KeyLookup::New);
        expires_at
    };

    assert_eq!(expires_at(RetrySafety::NonIdempotent, succeeded("r")), 165 * SECOND);
    assert_eq!(expires_at(RetrySafety::Deduplicated(40 * SECOND), JobOutcome::Failed), 165 * SECOND);
    assert_eq!(expires_at(RetrySafety::Deduplicated(400 * SECOND), JobOutcome::Failed), 501 * SECOND);
}

#[test]
fn a_finished_job_without_a_key_is_removed_at_once() {
    let table = table_of(&[
        accepted(1, None, RetrySafety::NonIdempotent),
        leased(1, 1, "s-a"),
        finished(1, JobOutcome::Failed),
    ]);

    assert_eq!(table.stats(), JobTableStats::default(), "no client can retry a job without a key");
}

// Guards deadlines and leases against a step of the wall clock while no process ran: without a
// reboot, the time between two sessions is the difference of the machine's uptime.
#[test]
fn a_step_of_the_wall_clock_without_a_reboot_moves_no_deadline_and_no_lease() {
    for step_seconds in [-3600_i64, 0, 3600] {
        let mut table = table_of(&[
            first_session(),
            accepted(1, Some("k"), RetrySafety::NonIdempotent),
            leased(1, 1, "s-a"),
        ]);
        // 4 s later by the uptime; by the wall clock 4 s, 1 h and 4 s, or 2 h and 4 s later.
        let process_clock = (104 + 3600 + step_seconds) as Nanos * SECOND;

        let session = table.session_record(anchor("b1", 54 * SECOND, process_clock));
        table.apply(&session).expect("the session fits");

        let job = table.job(JobNumber(1)).expect("the job is open");
        assert_eq!(job.accepted.deadline - process_clock, 11 * SECOND, "step {step_seconds} s");
        assert_eq!(job.lease().expect("it is leased").expires_at - process_clock, 8 * SECOND);
    }
}

#[test]
fn after_a_reboot_the_time_between_sessions_is_taken_from_the_wall_clock() {
    let mut table = table_of(&[first_session(), accepted(1, Some("k"), RetrySafety::NonIdempotent)]);

    let session = table.session_record(anchor("b2", SECOND, 109 * SECOND));
    table.apply(&session).expect("the session fits");

    assert_eq!(table.job(JobNumber(1)).expect("the job is open").accepted.deadline, DEADLINE);
}

#[test]
fn job_numbers_and_tokens_are_not_reused_after_their_records_are_gone() {
    let mut table = table_of(&[
        accepted(41, None, RetrySafety::NonIdempotent),
        leased(41, 77, "s-a"),
        finished(41, JobOutcome::Failed),
    ]);
    assert_eq!(table.stats(), JobTableStats::default());

    let session = table.session_record(anchor("b", 0, 0));
    table.apply(&session).expect("the session fits");
    let mut replayed = JobTable::new(LIMITS);
    replayed.replay(table.oldest_needed_lsn(), &session).expect("the session fits");

    assert_eq!((replayed.next_job(), replayed.next_token()), (JobNumber(42), FencingToken(78)));
    assert_eq!(replayed.last_lsn(), table.last_lsn());
}

#[test]
fn an_encoded_record_decodes_to_itself_and_other_lengths_are_rejected() {
    let mut job = accepted_job(1, Some("k"), RetrySafety::Deduplicated(5));
    let (location, token) = (location("s-z"), FencingToken(1));
    job.inherited_attempts.push(PastAttempt { location, sent_at: 1, may_have_run: true, token });
    let mut records = vec![Record::Accepted(job), leased(1, 2, "s-a"), finished(1, succeeded("r"))];
    let table = table_of(&records);
    let retained = table.job(JobNumber(1)).expect("the job is retained").clone();
    records.push(Record::Snapshot(Box::new(retained)));
    for record in &records {
        let bytes = encode(record).expect("the record can be encoded");

        assert_eq!(decode(&bytes).as_ref(), Ok(record));
        assert!(decode(&bytes[..bytes.len() - 1]).is_err(), "decoded {record:?} without its last byte");
        assert!(decode(&[&bytes[..], &[0]].concat()).is_err(), "decoded {record:?} with a byte after it");
    }
}

/// A table with job 1 of key `k`, which finished with its attempt in flight.
fn finished_in_flight(retry_safety: RetrySafety, outcome: JobOutcome) -> JobTable {
    table_of(&[accepted(1, Some("k"), retry_safety), leased(1, 1, "s-a"), finished(1, outcome)])
}

fn first_session() -> Record {
    Record::Session(Session {
        anchor: anchor("b1", 50 * SECOND, 100 * SECOND),
        next_job: JobNumber(1),
        next_token: FencingToken(1),
    })
}

/// Any record, allowed in the current state or not. Job numbers, tokens and keys are drawn from
/// small ranges, so that records often concern the same job.
fn any_record() -> impl Strategy<Value = Record> {
    let (job, token) = ((1_u64..6).prop_map(JobNumber), (1_u64..12).prop_map(FencingToken));
    let retry_safety = prop_oneof![
        Just(RetrySafety::NonIdempotent),
        Just(RetrySafety::Idempotent),
        (1_u64..90).prop_map(|seconds| RetrySafety::Deduplicated(seconds * SECOND))
    ];
    let outcome = prop_oneof![
        Just(succeeded("r")),
        Just(JobOutcome::Rejected),
        Just(JobOutcome::Failed),
        Just(JobOutcome::Unprocessable)
    ];
    prop_oneof![
        3 => (job.clone(), prop::option::of("[ab]"), retry_safety)
            .prop_map(|(job, key, retry_safety)| accepted(job.0, key.as_deref(), retry_safety)),
        4 => (job.clone(), token.clone()).prop_map(|(job, token)| leased(job.0, token.0, "s-a")),
        1 => (job.clone(), token.clone()).prop_map(|(job, token)| {
            Record::Acknowledged { job, token, lease_aware: token.0 % 2 == 0 }
        }),
        1 => (job.clone(), token.clone(), 0_u64..200).prop_map(|(job, token, seconds)| {
            Record::Renewed { job, token, expires_at: seconds * SECOND }
        }),
        1 => (job.clone(), token.clone()).prop_map(|(job, token)| Record::Started { job, token }),
        2 => (job.clone(), token, any::<bool>())
            .prop_map(|(job, token, may_have_run)| Record::Released { job, token, may_have_run }),
        2 => (job.clone(), outcome).prop_map(|(job, outcome)| finished(job.0, outcome)),
        1 => job.prop_map(|job| Record::Delivered { job }),
        1 => (0_u64..9, 90_u64..200).prop_map(|(uptime, clock)| Record::Session(Session {
            anchor: anchor("b", uptime * SECOND, clock * SECOND),
            next_job: JobNumber(0),
            next_token: FencingToken(0),
        })),
    ]
}

/// The state of a table as far as its methods expose it.
fn describe(table: &JobTable) -> String {
    let (jobs, stats) = (table.jobs(), table.stats());
    format!("{jobs:?} {stats:?} {:?} {:?}", table.next_expiration(), table.next_token())
}

fn jobs_of(table: &JobTable) -> Vec<Job> {
    table.jobs().into_iter().cloned().collect()
}

proptest! {
    #![proptest_config(seeded(1000))]
    // Guards recovery: from the oldest needed record on, the log with its snapshots gives the same
    // state as the whole log.
    #[test]
    fn replay_from_the_oldest_needed_record_restores_the_table(
        records in prop::collection::vec(any_record(), 0..60),
        snapshot_after in 0_usize..60,
        max_snapshots in 1_usize..6,
    ) {
        let mut table = JobTable::new(LIMITS);
        let mut log: Vec<Record> = Vec::new();
        for (i, record) in records.iter().enumerate() {
            if table.apply(record).is_ok() {
                log.push(record.clone());
            }
            if i == snapshot_after {
                for snapshot in table.snapshot_records(max_snapshots) {
                    table.apply(&snapshot).expect("the snapshot fits");
                    log.push(snapshot);
                }
            }
        }
        prop_assert_eq!(table.last_lsn(), log.len() as u64);
        let oldest = table.oldest_needed_lsn();
        prop_assert!(oldest >= 1 && oldest <= table.last_lsn() + 1);
        let needed = &log[oldest as usize - 1..];

        let mut replayed = JobTable::new(LIMITS);
        for (lsn, record) in (oldest..).zip(needed) {
            replayed.replay(lsn, record).expect("the record was applied before");
        }

        if !needed.is_empty() {
            prop_assert_eq!(replayed.last_lsn(), table.last_lsn());
        }
        prop_assert_eq!(jobs_of(&replayed), jobs_of(&table));
        prop_assert_eq!(describe(&table_of(&log)), describe(&table));
    }

    // Guards the indexes: after any records, counts and key lookups agree with the jobs, and an
    // open job never expires.
    #[test]
    fn counts_and_key_lookups_agree_with_the_jobs_after_any_records(
        records in prop::collection::vec(any_record(), 0..80),
        now_seconds in 0_u64..300,
    ) {
        let mut table = JobTable::new(LIMITS);
        for record in &records {
            let _ = table.apply(record);
            let open = table.jobs().iter().filter(|job| job.is_open()).count();
            prop_assert_eq!(table.stats().open, open);
            prop_assert_eq!(table.open_jobs().len(), open);
            for job in table.jobs() {
                let Some(key) = job.key() else { continue };
                let found = table.lookup(&key, &job.accepted.fingerprint);
                prop_assert!(found != KeyLookup::New && found != KeyLookup::RequestMismatch);
                prop_assert!(!job.is_open() || found == KeyLookup::InProgress(job.accepted.number));
            }
        }
        let open = table.open_jobs();

        table.expire(now_seconds * SECOND);
        prop_assert_eq!(table.open_jobs(), open);
        table.expire(Nanos::MAX);
        prop_assert_eq!(table.stats().retained, 0);
    }
}

#[test]
fn a_leased_job_has_a_lease_with_its_worker_and_expiry() {
    let table = table_of(&[accepted(1, None, RetrySafety::Idempotent), leased(1, 1, "s-a")]);

    let job = table.job(JobNumber(1)).expect("the job is open");

    let lease = job.lease().expect("it is leased");
    assert_eq!((&*lease.location.worker, lease.expires_at), ("s-a", LEASE_EXPIRES_AT));
}
