//! `spanlead ledger`: the log of durable jobs at rest, looked at or compacted by operators.
use crate::durable_log::replay_record;
use bytes::Bytes;
use comfy_table::{Table, presets};
use spanlead_balancing_policy::Nanos;
use spanlead_durable_jobs::{
    ApplyError, IdempotencyKey, Job, JobTable, JobTableLimits, Record, RecordCodecError, encode,
};
use spanlead_net::Clock;
use spanlead_wal::{
    AppendError, Directory, DiskDirectory, LogContents, LogOptions, LogReader, OpenError, RecordRejected,
    RecoveryReport, SegmentInfo, TornWrite, WriteAheadLog,
};
use std::collections::BTreeMap;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, UNIX_EPOCH};

/// Records of jobs that are rewritten at a time.
const REWRITE_BATCH: usize = 1024;
/// Size of the segments of a compacted log, bytes.
const COMPACTED_SEGMENT_BYTES: u64 = 16 << 20;

/// Why a command on a log's folder fails.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LedgerCommandError {
    /// The folder cannot be looked at.
    #[error("{}: {source}", .folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// There is no folder.
    #[error("{}: there is no such folder", .0.display())]
    NoFolder(PathBuf),
    /// A process has the folder.
    #[error("a process serves on this folder; it does this by itself")]
    InUse,
    /// The log cannot be read.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// The log cannot be written to.
    #[error(transparent)]
    Append(#[from] AppendError),
    /// A record does not fit.
    #[error(transparent)]
    Illegal(#[from] ApplyError),
    /// A record cannot be encoded.
    #[error(transparent)]
    Encode(#[from] RecordCodecError),
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A folder that was read.
struct ReadLog {
    ledger: JobTable,
    segments: Vec<SegmentInfo>,
    report: RecoveryReport,
}

/// Records of one kind.
#[derive(Default)]
struct KindTotal {
    records: u64,
    bytes: u64,
}

/// Reads everything in a folder at rest, which is not changed.
fn read_folder(folder: &Path, mut each: impl FnMut(u64, Record)) -> Result<ReadLog, LedgerCommandError> {
    let disk = DiskDirectory::open_read_only(folder)
        .map_err(|source| LedgerCommandError::Folder { folder: folder.to_owned(), source })?;
    // What has expired is shown as well: how long it was kept is not written in the folder.
    let mut ledger = JobTable::new(JobTableLimits { retention: Nanos::MAX / 4, max_jobs: usize::MAX });
    let LogContents { segments, report } =
        LogReader::new(&disk as &dyn Directory).read(|number, bytes| {
            let record = replay_record(&mut ledger, number, bytes).map_err(RecordRejected::new)?;
            each(number, record);
            Ok(())
        })?;
    Ok(ReadLog { ledger, segments, report })
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
    let last = job
        .lease()
        .map(|l| (&l.location, l.token))
        .or(job.past_attempts.last().map(|p| (&p.location, p.token)));
    let tries = job.past_attempts.len() + usize::from(job.lease().is_some());
    [
        taken.number.0.to_string(),
        job.state_name().to_owned(),
        taken.class.to_string(),
        taken.tenant.to_string(),
        taken.key.as_deref().unwrap_or("-").to_owned(),
        taken.id.to_string(),
        last.map_or("-".to_owned(), |(place, token)| format!("{} ({})", place.worker, token.0)),
        tries.to_string(),
        wall(taken.deadline),
    ]
}

/// Shows the jobs in a folder.
pub(crate) fn show(folder: &Path, open_only: bool, key: Option<&str>) -> Result<(), LedgerCommandError> {
    let ReadLog { ledger, .. } = read_folder(folder, |_, _| {})?;
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
    let mut out = io::stdout().lock();
    writeln!(out, "{jobs}")?;
    writeln!(out, "{} shown; {} open and {} ended in all", shown.len(), figures.open, figures.retained)?;
    Ok(())
}

/// Reads a folder and says whether a process could start on it.
pub(crate) fn verify(folder: &Path) -> Result<(), LedgerCommandError> {
    let mut kinds = BTreeMap::<&str, KindTotal>::new();
    let ReadLog { ledger, segments, report: opened } = read_folder(folder, |_, record| {
        let kind = kinds.entry(record.kind()).or_default();
        kind.records += 1;
        kind.bytes += encode(&record).map_or(0, |bytes| bytes.len() as u64);
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
    for (kind, total) in &kinds {
        records.add_row([kind, &*total.records.to_string(), &*total.bytes.to_string()]);
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
pub(crate) fn export(folder: &Path, jobs: bool) -> Result<(), LedgerCommandError> {
    let mut out = BufWriter::new(io::stdout().lock());
    let mut wrote: io::Result<()> = Ok(());
    let mut line = |value: serde_json::Value| {
        if wrote.is_ok() {
            wrote = writeln!(out, "{value}");
        }
    };
    let ReadLog { ledger, .. } = read_folder(folder, |lsn, record| {
        if !jobs {
            line(serde_json::json!({ "lsn": lsn, "record": record }));
        }
    })?;
    if jobs {
        for job in ledger.jobs() {
            line(
                serde_json::json!({ "state": job.state_name(), "key": job.key().map(|key: IdempotencyKey| key.key), "job": job }),
            );
        }
    }
    wrote?;
    out.flush()?;
    Ok(())
}

/// Writes what is still needed anew, and removes the rest. No process may serve on the folder
/// meanwhile.
pub(crate) fn compact(folder: &Path, keep: Duration) -> Result<(), LedgerCommandError> {
    if !folder.is_dir() {
        return Err(LedgerCommandError::NoFolder(folder.to_owned()));
    }
    let disk = DiskDirectory::lock(folder)?.ok_or(LedgerCommandError::InUse)?;
    let mut ledger =
        JobTable::new(JobTableLimits { retention: keep.as_nanos() as Nanos, max_jobs: usize::MAX });
    let options = LogOptions { max_segment_bytes: COMPACTED_SEGMENT_BYTES, sync_on_commit: true };
    let (mut log, opened) = WriteAheadLog::open(Box::new(disk), options, |number, bytes| {
        replay_record(&mut ledger, number, bytes).map(drop).map_err(RecordRejected::new)
    })?;
    ledger.skip_to(log.next_lsn());
    let session = ledger.session_record(Clock::new().anchor());
    ledger.apply(&session)?;
    let mut group: Vec<Bytes> = vec![encode(&session)?.into()];
    let now = Clock::new().now();
    let gone = ledger.expire(now);
    let begin = ledger.last_lsn();
    while ledger.oldest_needed_lsn() < begin {
        for record in ledger.snapshot_records(REWRITE_BATCH) {
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
