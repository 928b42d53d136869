//! Opening the folder of the log of durable jobs for a process that serves.
use spanlead_balancing_policy::Nanos;
use spanlead_conf_file as conf;
use spanlead_durable_jobs::{ApplyError, JobTable, JobTableLimits, Record, RecordCodecError, decode};
use spanlead_engine::DurableSetup;
use spanlead_net::{Clock, DurableJobsError, Message, OpenedDurableJobs};
use spanlead_wal::{
    DiskDirectory, LogOptions, LogWriter, OpenError, RecordRejected, RecoveryReport, TornWrite, WriteAheadLog,
};
use std::io;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// How long a process that takes over from none waits for the folder: one that was killed lets go
/// of it soon.
const FOLDER_WAIT_TIMEOUT: Duration = Duration::from_secs(5);
/// How often it is tried.
const FOLDER_RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// Why a record that was read back is not used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReplayError {
    /// It cannot be decoded.
    #[error("record {number} can't be read: {source}")]
    Decode {
        /// The record's number.
        number: u64,
        /// What is wrong with it.
        source: RecordCodecError,
    },
    /// It does not fit the records before it.
    #[error("record {number}: {source}")]
    Illegal {
        /// The record's number.
        number: u64,
        /// What is wrong with it.
        source: ApplyError,
    },
}

/// Why the log cannot be opened.
#[derive(Debug, thiserror::Error)]
enum OpenLogError {
    #[error("another process holds it")]
    HeldByAnother,
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Open(#[from] OpenError),
}

/// Takes the folder and reads it, in a thread of its own, and tells the driver. With a predecessor
/// it waits until that one lets go.
pub(crate) fn open_log(
    settings: conf::DurableLogSettings,
    clock: Clock,
    has_predecessor: bool,
    messages: UnboundedSender<Message>,
) {
    std::thread::spawn(move || {
        let Some(disk) = take_folder(&settings, has_predecessor, &messages) else { return };
        let opened = disk.and_then(|disk| read_log(disk, &settings, clock, messages.clone()));
        let opened = opened.map(Box::new).map_err(|error| DurableJobsError {
            folder: settings.directory.clone(),
            reason: error.to_string(),
        });
        let _ = messages.send(Message::DurableJobsOpened(opened));
    });
}

/// Takes the folder; `None` if this process ends meanwhile.
fn take_folder(
    settings: &conf::DurableLogSettings,
    has_predecessor: bool,
    messages: &UnboundedSender<Message>,
) -> Option<Result<DiskDirectory, OpenLogError>> {
    let until = Instant::now() + FOLDER_WAIT_TIMEOUT;
    loop {
        match DiskDirectory::lock(&settings.directory) {
            Ok(Some(disk)) => return Some(Ok(disk)),
            Ok(None) if has_predecessor || Instant::now() < until => {
                std::thread::sleep(FOLDER_RETRY_INTERVAL);
            }
            Ok(None) => return Some(Err(OpenLogError::HeldByAnother)),
            Err(error) => return Some(Err(error.into())),
        }
        if messages.is_closed() {
            return None;
        }
    }
}

/// Takes one record as it is read back.
pub(crate) fn replay_record(ledger: &mut JobTable, number: u64, bytes: &[u8]) -> Result<Record, ReplayError> {
    let record = decode(bytes).map_err(|source| ReplayError::Decode { number, source })?;
    ledger.replay(number, &record).map_err(|source| ReplayError::Illegal { number, source })?;
    Ok(record)
}

fn read_log(
    disk: DiskDirectory,
    settings: &conf::DurableLogSettings,
    clock: Clock,
    messages: UnboundedSender<Message>,
) -> Result<OpenedDurableJobs, OpenLogError> {
    let begun = Instant::now();
    let limits =
        JobTableLimits { retention: settings.retention.as_nanos() as Nanos, max_jobs: settings.max_jobs };
    let mut ledger = JobTable::new(limits);
    let options =
        LogOptions { max_segment_bytes: settings.max_segment_bytes, sync_on_commit: settings.sync_on_commit };
    let (log, opened) = WriteAheadLog::open(Box::new(disk), options, |number, bytes| {
        replay_record(&mut ledger, number, bytes).map(drop).map_err(RecordRejected::new)
    })?;
    ledger.skip_to(log.next_lsn());
    let RecoveryReport { records, bytes, torn_write } = opened;
    if let Some(TornWrite { file_name: file, offset, bytes }) = torn_write {
        tracing::warn!(file, offset, bytes, "last write of the process before was cut short, and is cut off");
    }
    tracing::info!(records, bytes, took = ?begun.elapsed(), "durable job log read");
    let report_progress = move |progress| drop(messages.send(Message::LogProgress(progress)));
    let setup = DurableSetup {
        job_table: ledger,
        clock_anchor: clock.anchor(),
        keep_all_jobs: settings.recorded_jobs == conf::RecordedJobs::All,
        lease_duration: settings.lease_duration.as_nanos() as Nanos,
        clock_bound: settings.clock_drift_bound.as_nanos() as Nanos,
        max_disk_bytes: settings.max_disk_bytes,
        segment_bytes: settings.max_segment_bytes,
    };
    let writer = LogWriter::spawn(log, settings.group_delay, report_progress)?;
    Ok(OpenedDurableJobs { setup, writer })
}
