//! The thread that writes the log. It commits all records that were queued while it was busy with
//! one sync (group commit).
use crate::format::Lsn;
use crate::log::WriteAheadLog;
use bytes::Bytes;
use hdrhistogram::Histogram;
use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The size, in bytes, at which a group commit takes no more queued commands, so that its first
/// record does not wait for too many later ones.
const MAX_GROUP_BYTES: usize = 4 << 20;
/// The highest commit latency that is recorded; higher ones are recorded as this.
const MAX_RECORDED_LATENCY: Duration = Duration::from_secs(60);
/// Significant decimal digits of the recorded latencies.
const LATENCY_DIGITS: u8 = 3;
/// The name of the thread in the operating system.
const THREAD_NAME: &str = "ledger";

/// The progress that the writer reports, on its own thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitProgress {
    /// All records up to `last_lsn` are durable.
    Durable {
        /// The LSN of the last durable record.
        last_lsn: Lsn,
        /// The size of the log on disk, bytes.
        log_bytes: u64,
    },
    /// A write or sync failed, and the log accepts no more records in this process. Records after
    /// the last one that was reported as durable may be on disk or not.
    Failed,
}

/// Counts and latencies of the commits so far. The latency of a commit is the duration of its write
/// and sync, without the time for which its records were queued.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommitStats {
    /// The number of group commits.
    pub commits: u64,
    /// The number of records in these commits.
    pub records: u64,
    /// The median commit latency.
    pub latency_p50: Duration,
    /// The 99th percentile of the commit latency.
    pub latency_p99: Duration,
    /// The highest commit latency.
    pub latency_max: Duration,
}

enum WriterCommand {
    Append(Vec<Bytes>),
    Trim { oldest_needed: Lsn },
}

/// A handle to the thread that writes a log. Dropping it blocks until the appended records are
/// written and the log is closed.
pub struct LogWriter {
    commands: Option<Sender<WriterCommand>>,
    /// The records that were appended and are not flushed yet.
    buffer: Vec<Bytes>,
    thread: Option<JoinHandle<()>>,
    next_lsn: Lsn,
    stats: Arc<Mutex<StatsRecorder>>,
}

struct StatsRecorder {
    commits: u64,
    records: u64,
    /// The commit latencies in microseconds. `None` if the histogram could not be created.
    latencies: Option<Histogram<u64>>,
}

impl LogWriter {
    /// Starts the thread, which reports its progress to `on_progress`. A commit begins
    /// `group_delay` after the thread receives its first records, so that more records share its
    /// sync.
    ///
    /// # Errors
    /// The I/O error of the system if the thread can't be started.
    pub fn spawn(
        log: WriteAheadLog,
        group_delay: Duration,
        on_progress: impl FnMut(CommitProgress) + Send + 'static,
    ) -> io::Result<Self> {
        let (commands, receiver) = channel();
        let next_lsn = log.next_lsn();
        let stats = Arc::new(Mutex::new(StatsRecorder::new()));
        let thread_stats = stats.clone();
        let thread = std::thread::Builder::new()
            .name(THREAD_NAME.into())
            .spawn(move || run_writer(log, group_delay, &receiver, on_progress, &thread_stats))?;
        Ok(LogWriter { commands: Some(commands), buffer: Vec::new(), thread: Some(thread), next_lsn, stats })
    }

    /// Buffers a record and returns its LSN. The next [`LogWriter::flush`] sends it to the thread;
    /// it is durable once [`CommitProgress::Durable`] reports this LSN or a later one.
    pub fn append(&mut self, record: Bytes) -> Lsn {
        self.buffer.push(record);
        self.next_lsn += 1;
        self.next_lsn - 1
    }

    /// Sends the buffered records to the thread.
    pub fn flush(&mut self) {
        if !self.buffer.is_empty() {
            let records = std::mem::take(&mut self.buffer);
            self.send(WriterCommand::Append(records));
        }
    }

    /// Makes the thread remove the segments whose records all precede `oldest_needed`.
    pub fn trim(&self, oldest_needed: Lsn) {
        self.send(WriterCommand::Trim { oldest_needed });
    }

    fn send(&self, command: WriterCommand) {
        // Sending fails only if the thread ended after a failure, which it has reported.
        let _ = self.commands.as_ref().map(|commands| commands.send(command));
    }

    /// Returns counts and latencies of the commits so far.
    #[must_use]
    pub fn stats(&self) -> CommitStats {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner).summary()
    }
}

impl Drop for LogWriter {
    fn drop(&mut self) {
        self.flush();
        self.commands = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl StatsRecorder {
    fn new() -> Self {
        let max_us = MAX_RECORDED_LATENCY.as_micros() as u64;
        StatsRecorder {
            commits: 0,
            records: 0,
            latencies: Histogram::new_with_max(max_us, LATENCY_DIGITS).ok(),
        }
    }

    fn record_commit(&mut self, records: usize, latency: Duration) {
        self.commits += 1;
        self.records += records as u64;
        if let Some(latencies) = &mut self.latencies {
            latencies.saturating_record(latency.as_micros() as u64);
        }
    }

    fn summary(&self) -> CommitStats {
        CommitStats {
            commits: self.commits,
            records: self.records,
            latency_p50: self.latency_quantile(0.5),
            latency_p99: self.latency_quantile(0.99),
            latency_max: self.latency_quantile(1.0),
        }
    }

    fn latency_quantile(&self, quantile: f64) -> Duration {
        let latencies = self.latencies.as_ref();
        Duration::from_micros(latencies.map_or(0, |latencies| latencies.value_at_quantile(quantile)))
    }
}

/// The records of one commit, and the argument of the last trim that was queued among them.
#[derive(Default)]
struct CommitGroup {
    records: Vec<Bytes>,
    oldest_needed: Option<Lsn>,
}

impl CommitGroup {
    /// Collects `first` and the queued commands, until the records reach [`MAX_GROUP_BYTES`].
    fn collect(first: WriterCommand, receiver: &Receiver<WriterCommand>) -> Self {
        let mut group = CommitGroup::default();
        let mut collected_bytes = 0;
        let mut next = Some(first);
        while let Some(command) = next {
            match command {
                WriterCommand::Append(records) => {
                    collected_bytes += records.iter().map(Bytes::len).sum::<usize>();
                    group.records.extend(records);
                }
                WriterCommand::Trim { oldest_needed } => group.oldest_needed = Some(oldest_needed),
            }
            next = if collected_bytes < MAX_GROUP_BYTES { receiver.try_recv().ok() } else { None };
        }
        group
    }
}

/// Runs the thread: performs group commits until the handle is dropped or the log fails.
fn run_writer(
    mut log: WriteAheadLog,
    group_delay: Duration,
    receiver: &Receiver<WriterCommand>,
    mut on_progress: impl FnMut(CommitProgress),
    stats: &Mutex<StatsRecorder>,
) {
    while let Ok(first) = receiver.recv() {
        if !group_delay.is_zero() && matches!(first, WriterCommand::Append(_)) {
            std::thread::sleep(group_delay);
        }
        let group = CommitGroup::collect(first, receiver);
        if !group.records.is_empty() {
            let started = Instant::now();
            if log.append(&group.records).is_err() {
                return on_progress(CommitProgress::Failed);
            }
            let mut stats = stats.lock().unwrap_or_else(PoisonError::into_inner);
            stats.record_commit(group.records.len(), started.elapsed());
        }
        // The next trim retries a segment that can't be removed now. If the disk is full, the next
        // append reports it.
        let trimmed =
            group.oldest_needed.is_some_and(|oldest_needed| log.trim(oldest_needed).unwrap_or(false));
        if !group.records.is_empty() || trimmed {
            let last_lsn = log.next_lsn() - 1;
            on_progress(CommitProgress::Durable { last_lsn, log_bytes: log.size_bytes() });
        }
    }
    let _ = log.close();
}
