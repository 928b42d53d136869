//! The ledger's folder: opened by a process that serves, and looked at by operators.
use bytes::Bytes;
use comfy_table::{Table, presets};
use spanlead_balancing_policy::Nanos;
use spanlead_conf_file as conf;
use spanlead_durable_jobs::{IdempotencyKey, Job, JobTable, JobTableLimits, Record, decode, encode};
use spanlead_engine::DurableSetup;
use spanlead_net::{Clock, Message};
use spanlead_wal::{
    Directory, DiskDirectory, LogContents, LogOptions, LogReader, LogWriter, RecordRejected, RecoveryReport,
    TornWrite, WriteAheadLog,
};
use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant, UNIX_EPOCH};
use tokio::sync::mpsc::UnboundedSender;

/// How long a process that takes over from none waits for the folder: one that was killed lets go of it soon.
const FREE_WAIT: Duration = Duration::from_secs(5);
/// How often it looks.
const LOOK_AGAIN: Duration = Duration::from_millis(25);

/// Takes the folder and reads it, in a thread of its own, and tells the driver. With a predecessor it waits until that one
/// lets go.
pub fn open(settings: conf::Ledger, clock: Clock, predecessor: bool, to: UnboundedSender<Message>) {
    std::thread::spawn(move || {
        let until = Instant::now() + FREE_WAIT;
        let disk = loop {
            match DiskDirectory::lock(&settings.folder) {
                Ok(Some(disk)) => break Ok(disk),
                Ok(None) if predecessor || Instant::now() < until => std::thread::sleep(LOOK_AGAIN),
                Ok(None) => break Err("another process holds it".to_owned()),
                Err(error) => break Err(error.to_string()),
            }
            if to.is_closed() {
                return;
            }
        };
        let opened = disk.and_then(|disk| read(disk, &settings, clock, to.clone()));
        let folder = settings.folder.display();
        let opened = opened.map(Box::new).map_err(|why| format!("ledger folder {folder}: {why}"));
        let _ = to.send(Message::DurableJobsOpened(opened));
    });
}

fn limits(settings: &conf::Ledger) -> JobTableLimits {
    JobTableLimits { retention: settings.keep.as_nanos() as Nanos, max_jobs: settings.jobs }
}

/// Takes one record as it is read back.
fn replay(ledger: &mut JobTable, lsn: u64, bytes: &[u8]) -> Result<Record, String> {
    let record = decode(bytes).map_err(|e| format!("record {lsn} can't be read: {e}"))?;
    ledger.replay(lsn, &record).map_err(|e| format!("record {lsn}: {e}"))?;
    Ok(record)
}

fn read(
    disk: DiskDirectory,
    settings: &conf::Ledger,
    clock: Clock,
    to: UnboundedSender<Message>,
) -> Result<(DurableSetup, LogWriter), String> {
    let begun = Instant::now();
    let mut ledger = JobTable::new(limits(settings));
    let options = LogOptions { max_segment_bytes: settings.segment, sync_on_commit: settings.sync };
    let (log, opened) = WriteAheadLog::open(Box::new(disk), options, |lsn, bytes| {
        replay(&mut ledger, lsn, bytes).map(drop).map_err(RecordRejected::new)
    })
    .map_err(|e| e.to_string())?;
    ledger.skip_to(log.next_lsn());
    let RecoveryReport { records, bytes, torn_write } = opened;
    if let Some(TornWrite { file_name: file, offset, bytes }) = torn_write {
        tracing::warn!(
            file,
            offset,
            bytes,
            "the last write of the process before was cut short, and is cut off"
        );
    }
    tracing::info!(records, bytes, took = ?begun.elapsed(), "the ledger was read");
    let writer =
        LogWriter::spawn(log, settings.gather, move |progress| drop(to.send(Message::LogProgress(progress))));
    let durability = DurableSetup {
        ledger,
        anchor: clock.anchor(),
        all: settings.durable == conf::Durable::All,
        lease: settings.lease.as_nanos() as Nanos,
        clock_bound: settings.clock_bound.as_nanos() as Nanos,
        disk: settings.disk,
        segment: settings.segment,
    };
    Ok((durability, writer.map_err(|e| e.to_string())?))
}

// ---------------------------------------------------------------- at rest

type Failure = Box<dyn std::error::Error>;

/// Everything in a folder at rest, which is not changed.
fn look(folder: &Path, mut each: impl FnMut(u64, Record)) -> Result<(JobTable, LogContents), Failure> {
    let disk = DiskDirectory::open_read_only(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    // What has expired is shown as well: how long it was kept is not written in the folder.
    let mut ledger = JobTable::new(JobTableLimits { retention: Nanos::MAX / 4, max_jobs: usize::MAX });
    let contents = LogReader::new(&disk as &dyn Directory).read(|lsn, bytes| {
        each(lsn, replay(&mut ledger, lsn, bytes).map_err(RecordRejected::new)?);
        Ok(())
    })?;
    Ok((ledger, contents))
}

fn table<const N: usize>(head: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(head);
    table
}

fn wall(at: Nanos) -> String {
    humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_nanos(at)).to_string()
}

fn row(job: &Job) -> [String; 9] {
    let taken = &job.accepted;
    let last = job.lease().map(|l| (&l.location, l.token));
    let last = last.or(job.past_attempts.last().map(|p| (&p.location, p.token)));
    let tries = job.past_attempts.len() + usize::from(job.lease().is_some());
    [
        taken.number.0.to_string(),
        job.state_name().to_owned(),
        taken.class.to_string(),
        taken.owner.to_string(),
        taken.key.as_deref().unwrap_or("-").to_owned(),
        taken.id.to_string(),
        last.map_or("-".to_owned(), |(place, token)| format!("{} ({})", place.worker, token.0)),
        tries.to_string(),
        wall(taken.deadline),
    ]
}

/// Shows the jobs in a folder.
pub fn show(folder: &Path, open_only: bool, key: Option<&str>) -> Result<(), Failure> {
    let (ledger, _) = look(folder, |_, _| {})?;
    let mut jobs = table(["job", "state", "class", "owner", "key", "id", "worker (token)", "tries", "due"]);
    let all = ledger.jobs();
    let wanted = |job: &&&Job| {
        (!open_only || job.is_open()) && key.is_none_or(|k| job.accepted.key.as_deref() == Some(k))
    };
    let shown: Vec<&&Job> = all.iter().filter(wanted).collect();
    for job in &shown {
        jobs.add_row(row(job));
    }
    let figures = ledger.stats();
    let mut out = std::io::stdout().lock();
    writeln!(out, "{jobs}")?;
    writeln!(out, "{} shown; {} open and {} ended in all", shown.len(), figures.open, figures.retained)?;
    Ok(())
}

/// Reads a folder and says whether a process could start on it.
pub fn verify(folder: &Path) -> Result<(), Failure> {
    let mut kinds = std::collections::BTreeMap::<&str, (u64, u64)>::new();
    let (ledger, LogContents { segments, report: opened }) = look(folder, |_, record| {
        let kind = kinds.entry(record.kind()).or_default();
        kind.0 += 1;
        kind.1 += encode(&record).map_or(0, |bytes| bytes.len() as u64);
    })?;
    let mut files = table(["file", "first record", "bytes", "ended in order"]);
    for segment in &segments {
        let closed = if segment.closed { "yes" } else { "no" };
        files.add_row([
            &segment.file_name,
            &segment.first_lsn.to_string(),
            &segment.size_bytes.to_string(),
            closed,
        ]);
    }
    let mut records = table(["record", "count", "bytes"]);
    for (kind, (count, bytes)) in &kinds {
        records.add_row([kind, &*count.to_string(), &*bytes.to_string()]);
    }
    let figures = ledger.stats();
    println!("{files}\n\n{records}\n");
    println!("{} records, {} open jobs, {} ended ones", opened.records, figures.open, figures.retained);
    match opened.torn_write {
        Some(TornWrite { file_name: file, offset, bytes }) => {
            println!(
                "good; the last write was cut short: {bytes} bytes at {offset} of {file} will be cut off"
            );
        }
        None => println!("good"),
    }
    Ok(())
}

/// Writes all records as lines of JSON, or the jobs that they add up to.
pub fn export(folder: &Path, jobs: bool) -> Result<(), Failure> {
    let mut out = std::io::BufWriter::new(std::io::stdout().lock());
    let mut wrote: Result<(), Failure> = Ok(());
    let mut line = |value: serde_json::Value| {
        if wrote.is_ok() {
            wrote = writeln!(out, "{value}").map_err(Into::into);
        }
    };
    let (ledger, _) = look(folder, |lsn, record| {
        if !jobs {
            line(serde_json::json!({ "lsn": lsn, "record": record }));
        }
    })?;
    if jobs {
        for job in ledger.jobs() {
            line(
                serde_json::json!({ "state": job.state_name(), "key": job.key().map(|k: IdempotencyKey| k.key), "job": job }),
            );
        }
    }
    wrote?;
    out.flush()?;
    Ok(())
}

/// Writes what is still needed anew, and removes the rest. No process may serve on the folder meanwhile.
pub fn compact(folder: &Path, keep: Duration) -> Result<(), Failure> {
    if !folder.is_dir() {
        return Err(format!("{}: there is no such folder", folder.display()).into());
    }
    let disk =
        DiskDirectory::lock(folder)?.ok_or("a process serves on this folder; it does this by itself")?;
    let mut ledger =
        JobTable::new(JobTableLimits { retention: keep.as_nanos() as Nanos, max_jobs: usize::MAX });
    let options = LogOptions { max_segment_bytes: 16 << 20, sync_on_commit: true };
    let (mut log, opened) = WriteAheadLog::open(Box::new(disk), options, |lsn, bytes| {
        replay(&mut ledger, lsn, bytes).map(drop).map_err(RecordRejected::new)
    })?;
    ledger.skip_to(log.next_lsn());
    let session = ledger.session_record(Clock::new().anchor());
    ledger.apply(&session)?;
    let mut group: Vec<Bytes> = vec![encode(&session)?.into()];
    let now = Clock::new().now();
    let gone = ledger.expire(now);
    let begin = ledger.last_lsn();
    while ledger.oldest_needed_lsn() < begin {
        for record in ledger.snapshot_records(1024) {
            ledger.apply(&record)?;
            group.push(encode(&record)?.into());
        }
        log.append(&group)?;
        group.clear();
    }
    log.append(&group)?;
    log.trim(ledger.oldest_needed_lsn())?;
    let (before, after, figures) = (opened.bytes, log.size_bytes(), ledger.stats());
    log.close()?;
    println!(
        "{before} bytes before, {after} after; {} open and {} ended jobs kept, {gone} expired",
        figures.open, figures.retained
    );
    Ok(())
}
