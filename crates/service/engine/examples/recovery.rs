//! What a start costs: a log of so many records, a tenth as many open jobs among them, read back
//! and taken into the reducer. `cargo run --release -p spanlead-engine --example recovery`
use spanlead_balancing_policy::{
    DeduplicationScope, Idempotency, Nanos, RequestClass, Settings, WorkerState,
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

/// The records of one job, and whether it stays open.
fn job(no: u64, open: bool) -> Vec<Record> {
    let (job, token) = (JobNumber(no), FencingToken(no));
    let accepted = AcceptedJob {
        number: job,
        id: format!("9b1f03aa5c7e2d41-{no}").into(),
        key: Some(format!("5c0f6e1a2b3d4c59a8b7c6d5e4f30211-{no}").into()),
        class: "guest-visit".into(),
        owner: "kraftverket".into(),
        fingerprint: [3; 16],
        retry_safety: RetrySafety::Deduplicated(25 * SEC),
        accepted_at: 1000 * SEC,
        deadline: 1015 * SEC,
        slots: 1.0,
        memory: 0.0,
        subject: Some(no),
        request_body: vec![b'x'; 250].into(),
        inherited_attempts: Vec::new(),
    };
    let leased =
        Record::Leased { job, token, location: location(no), sent_at: 1000 * SEC, expires_at: 1011 * SEC };
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

fn memory_mb(field: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with(field)).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) / 1024
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("records   open jobs  disk MB  bytes/job  read ms  into the reducer ms  memory MB (most)");
    for n in [10_000u64, 100_000, 1_000_000] {
        let folder = tempfile::tempdir()?;
        let open = n / 10;
        let anchor = ClockAnchor { boot_id: "b".into(), uptime: 0, process_clock: 1000 * SEC };
        let (mut written, mut jobs) = (0, 0);
        {
            let disk = DiskDirectory::lock(folder.path())?.ok_or("held")?;
            let (mut log, _) = WriteAheadLog::open(Box::new(disk), OPTIONS, |_, _| Ok(()))?;
            let session = Record::Session(Session {
                anchor: anchor.clone(),
                next_job: JobNumber(1),
                next_token: FencingToken(1),
            });
            let mut group: Vec<Vec<u8>> = vec![encode(&session)?];
            while written < n {
                jobs += 1;
                // Open and ended ones in turn, until there are enough open ones.
                let records = job(jobs, jobs <= open);
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
        let begun = Instant::now();
        let mut ledger = JobTable::new(JobTableLimits { retention: 120 * SEC, max_jobs: 10_000_000 });
        let disk = DiskDirectory::lock(folder.path())?.ok_or("held")?;
        let (log, opened) = WriteAheadLog::open(Box::new(disk), OPTIONS, |lsn, bytes| {
            let record = decode(bytes).map_err(RecordRejected::new)?;
            ledger.replay(lsn, &record).map_err(RecordRejected::new)
        })?;
        ledger.skip_to(log.next_lsn());
        let read = begun.elapsed();

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
        engine.step(
            now,
            Input::EndpointList {
                scope: spanlead_balancing_policy::EndpointUpdate::Snapshot,
                version: 1,
                hosts,
            },
            &mut effects,
        );
        let begun = Instant::now();
        let anchor = ClockAnchor { uptime: 2 * SEC, process_clock: now, ..anchor };
        let (lease, clock_bound, disk, segment) = (10 * SEC, SEC / 4, 1 << 40, 16 << 20);
        let durability = DurableSetup {
            job_table: ledger,
            clock_anchor: anchor,
            keep_all_jobs: false,
            lease_duration: lease,
            clock_bound,
            max_disk_bytes: disk,
            segment_bytes: segment,
        };
        engine.step(now, Input::DurableJobsOpened(Box::new(durability)), &mut effects);
        let taken = begun.elapsed();
        assert_eq!(engine.open_durable_job_count() as u64, open);
        println!(
            "{:>8}  {:>9}  {:>7}  {:>9}  {:>7}  {:>19}  {:>9}",
            opened.records,
            open,
            opened.bytes >> 20,
            opened.bytes / jobs,
            read.as_millis(),
            taken.as_millis(),
            memory_mb("VmHWM"),
        );
    }
    Ok(())
}
