//! Measures the cost of recovering durable jobs at a start. The example writes logs of up to
//! 1 million records, with one open job per ten records, reads each log back and passes its jobs to
//! the engine. Run with `cargo run --release -p spanlead-engine --example recovery`.
use spanlead_balancing_policy::{
    DeduplicationScope, EndpointUpdate, Idempotency, Nanos, RequestClass, Settings, WorkerState,
};
use spanlead_deployment_settings::Names;
use spanlead_durable_jobs::{
    AcceptedJob, ClockAnchor, FencingToken, JobNumber, JobOutcome, JobTable, JobTableLimits, Record,
    RetrySafety, Session, WorkerLocation, decode, encode,
};
use spanlead_engine::{DurableSetup, Engine, Input, WorkerEndpoint};
use spanlead_wal::{DiskDirectory, LogOptions, RecordRejected, WriteAheadLog};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

const SEC: Nanos = 1_000_000_000;
const LOCKED: &str = "the log folder is locked by another process";
const OPTIONS: LogOptions = LogOptions { max_segment_bytes: 16 << 20, sync_on_commit: false };

fn location(i: u64) -> WorkerLocation {
    let addr = SocketAddr::from(([127, 0, 0, 1], 9));
    WorkerLocation {
        worker: format!("w{:02}", i % 20).into(),
        addr,
        zone: "kista".into(),
        cell: (i % 5) as u32,
    }
}

/// The records of a job, which ends unless `open` is set.
fn job_records(number: u64, open: bool) -> Vec<Record> {
    let (job, token) = (JobNumber(number), FencingToken(number));
    let accepted = AcceptedJob {
        number: job,
        id: format!("9b1f03aa5c7e2d41-{number}").into(),
        key: Some(format!("5c0f6e1a2b3d4c59a8b7c6d5e4f30211-{number}").into()),
        class: "guest-visit".into(),
        tenant: "kraftverket".into(),
        fingerprint: [3; 16],
        retry_safety: RetrySafety::Deduplicated(25 * SEC),
        accepted_at: 1000 * SEC,
        deadline: 1015 * SEC,
        slots: 1.0,
        memory: 0.0,
        affinity_key: Some(number),
        encoded_request: vec![b'x'; 250].into(),
        inherited_attempts: Vec::new(),
    };
    let leased = Record::Leased {
        job,
        token,
        location: location(number),
        sent_at: 1000 * SEC,
        expires_at: 1011 * SEC,
    };
    let mut records = vec![
        Record::Accepted(accepted),
        leased,
        Record::Acknowledged { job, token, lease_aware: true },
        Record::Started { job, token },
    ];
    if !open {
        let outcome = JobOutcome::Succeeded("y".repeat(100).into());
        let finished = Record::Finished { job, finished_at: 1001 * SEC, outcome };
        records.extend([finished, Record::Delivered { job }]);
    }
    records
}

/// A memory figure of this process from `/proc/self/status`, MB; 0 if it cannot be read.
fn memory_mb(field: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with(field)).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) / 1024
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!(" records  open jobs  disk MB  bytes/job  read ms  engine recovery ms  peak memory MB");
    for n in [10_000u64, 100_000, 1_000_000] {
        let log_folder = tempfile::tempdir()?;
        let open = n / 10;
        let anchor = ClockAnchor { boot_id: "b".into(), uptime: 0, process_clock: 1000 * SEC };
        let (mut written, mut jobs) = (0, 0);
        {
            let disk = DiskDirectory::lock(log_folder.path())?.ok_or(LOCKED)?;
            let (mut log, _) = WriteAheadLog::open(Box::new(disk), OPTIONS, |_, _| Ok(()))?;
            let session = Record::Session(Session {
                anchor: anchor.clone(),
                next_job: JobNumber(1),
                next_token: FencingToken(1),
            });
            let mut group: Vec<Vec<u8>> = vec![encode(&session)?];
            while written < n {
                jobs += 1;
                // The first `open` jobs stay open, the others have ended.
                let records = job_records(jobs, jobs <= open);
                written += records.len() as u64;
                for record in &records {
                    group.push(encode(record)?);
                }
                if group.len() > 512 {
                    log.append(&group)?;
                    group.clear();
                }
            }
            log.append(&group)?;
            log.close()?;
        }
        let started = Instant::now();
        let mut job_table = JobTable::new(JobTableLimits { retention: 120 * SEC, max_jobs: 10_000_000 });
        let disk = DiskDirectory::lock(log_folder.path())?.ok_or(LOCKED)?;
        let (log, opened) = WriteAheadLog::open(Box::new(disk), OPTIONS, |lsn, bytes| {
            let record = decode(bytes).map_err(RecordRejected::new)?;
            job_table.replay(lsn, &record).map_err(RecordRejected::new)
        })?;
        job_table.skip_to(log.next_lsn());
        let read_time = started.elapsed();

        let class = RequestClass {
            idempotency: Idempotency::Deduplicated { scope: DeduplicationScope::Cell, window: 25 * SEC },
            ..RequestClass::new(SEC, 15 * SEC)
        };
        let names = Names {
            classes: vec!["guest-visit".into()],
            tenants: vec!["kraftverket".into()],
            zones: vec!["kista".into()],
            ..Names::default()
        };
        let settings = Settings { classes: vec![class], ..Settings::default() };
        let mut engine =
            Engine::new(settings, Arc::new(names), 1, 1 << 20, ([127, 0, 0, 1], 9).into(), true)?;
        let (now, mut effects) = (1002 * SEC, Vec::new());
        let host = |i| {
            let WorkerLocation { worker: name, addr, cell, .. } = location(i);
            WorkerEndpoint {
                name,
                addr,
                state: WorkerState::Ready,
                started: None,
                kind: Some(0),
                zone: Some(0),
                cell: Some(cell),
                weight: None,
            }
        };
        let hosts = (0..20).map(host).collect();
        let list = Input::EndpointList { scope: EndpointUpdate::Snapshot, version: 1, hosts };
        engine.step(now, list, &mut effects);
        let started = Instant::now();
        let clock_anchor = ClockAnchor { uptime: 2 * SEC, process_clock: now, ..anchor };
        let setup = DurableSetup {
            job_table,
            clock_anchor,
            keep_all_jobs: false,
            lease_duration: 10 * SEC,
            clock_bound: SEC / 4,
            max_disk_bytes: 1 << 40,
            segment_bytes: 16 << 20,
        };
        engine.step(now, Input::DurableJobsOpened(Box::new(setup)), &mut effects);
        let recovery_time = started.elapsed();
        assert_eq!(engine.open_durable_job_count() as u64, open);
        println!(
            "{:>8}  {:>9}  {:>7}  {:>9}  {:>7}  {:>18}  {:>14}",
            opened.records,
            open,
            opened.bytes >> 20,
            opened.bytes / jobs,
            read_time.as_millis(),
            recovery_time.as_millis(),
            memory_mb("VmHWM"),
        );
    }
    Ok(())
}
