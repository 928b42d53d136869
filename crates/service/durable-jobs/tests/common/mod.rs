//! Builders of records and job tables for the tests of this crate.
use proptest::test_runner::{Config, RngSeed};
use spanlead_durable_jobs::{
    AcceptedJob, ClockAnchor, FencingToken, IdempotencyKey, JobNumber, JobOutcome, JobTable, JobTableLimits,
    Nanos, Record, RetrySafety, WorkerLocation,
};
use std::sync::Arc;

/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;
pub const LIMITS: JobTableLimits = JobTableLimits { retention: 60 * SECOND, max_jobs: 1000 };
/// The request fingerprint of all jobs.
pub const FINGERPRINT: [u8; 16] = [7; 16];
/// When jobs are accepted.
pub const ACCEPTED_AT: Nanos = 100 * SECOND;
/// When attempts are sent under their lease.
pub const LEASED_AT: Nanos = 101 * SECOND;
/// When jobs finish.
pub const FINISHED_AT: Nanos = 105 * SECOND;
/// When leases expire.
pub const LEASE_EXPIRES_AT: Nanos = 112 * SECOND;
/// When clients give up.
pub const DEADLINE: Nanos = 115 * SECOND;

pub fn anchor(boot_id: &str, uptime: Nanos, process_clock: Nanos) -> ClockAnchor {
    ClockAnchor { boot_id: Arc::from(boot_id), uptime, process_clock }
}

pub fn location(worker: &str) -> WorkerLocation {
    WorkerLocation { worker: worker.into(), addr: ([127, 0, 0, 1], 1).into(), zone: "kista".into(), cell: 3 }
}

pub fn accepted_job(number: u64, key: Option<&str>, retry_safety: RetrySafety) -> AcceptedJob {
    AcceptedJob {
        number: JobNumber(number),
        id: format!("id-{number}").into(),
        key: key.map(Arc::from),
        class: "guest-visit".into(),
        tenant: "norrtrim".into(),
        fingerprint: FINGERPRINT,
        retry_safety,
        accepted_at: ACCEPTED_AT,
        deadline: DEADLINE,
        slots: 1.0,
        memory: 0.0,
        affinity_key: Some(5),
        encoded_request: "text".into(),
        inherited_attempts: Vec::new(),
    }
}

pub fn accepted(number: u64, key: Option<&str>, retry_safety: RetrySafety) -> Record {
    Record::Accepted(accepted_job(number, key, retry_safety))
}

pub fn leased(job: u64, token: u64, worker: &str) -> Record {
    Record::Leased {
        job: JobNumber(job),
        token: FencingToken(token),
        location: location(worker),
        sent_at: LEASED_AT,
        expires_at: LEASE_EXPIRES_AT,
    }
}

pub fn finished(job: u64, outcome: JobOutcome) -> Record {
    Record::Finished { job: JobNumber(job), finished_at: FINISHED_AT, outcome }
}

pub fn succeeded(result: &str) -> JobOutcome {
    JobOutcome::Succeeded(result.into())
}

pub fn key(text: &str) -> IdempotencyKey {
    IdempotencyKey { tenant: "norrtrim".into(), class: "guest-visit".into(), key: text.into() }
}

/// A table after these records, each of which must fit.
pub fn table_of(records: &[Record]) -> JobTable {
    let mut table = JobTable::new(LIMITS);
    records.iter().for_each(|record| table.apply(record).expect("the record fits"));
    table
}

/// A configuration for that many random cases. The seed is 1, unless the environment variable
/// `SEED` gives another, and is printed.
pub fn seeded(cases: u32) -> Config {
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    println!("SEED={seed}");
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}
