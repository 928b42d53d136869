//! The section `ledger`: the durable log of jobs.
use crate::section_reader::SectionReader;
use std::path::PathBuf;
use std::time::Duration;

const MAX_GROUP_DELAY: Duration = Duration::from_millis(100);
const DEFAULT_GROUP_DELAY: Duration = Duration::from_millis(2);
const MIN_LEASE_DURATION: Duration = Duration::from_secs(1);
const MAX_LEASE_DURATION: Duration = Duration::from_secs(3600);
const DEFAULT_LEASE_DURATION: Duration = Duration::from_secs(10);
const MIN_CLOCK_DRIFT_BOUND: Duration = Duration::from_millis(1);
const MAX_CLOCK_DRIFT_BOUND: Duration = Duration::from_secs(60);
const DEFAULT_CLOCK_DRIFT_BOUND: Duration = Duration::from_millis(250);
const MIN_RETENTION: Duration = Duration::from_secs(1);
const MAX_RETENTION: Duration = Duration::from_secs(24 * 3600);
const DEFAULT_RETENTION: Duration = Duration::from_secs(120);
const MIN_JOBS: u64 = 100;
const MAX_JOBS: u64 = 50_000_000;
const DEFAULT_JOBS: u64 = 200_000;
const MIN_DISK_BYTES: u64 = 1 << 20;
const MAX_DISK_BYTES: u64 = 1 << 40;
const DEFAULT_DISK_BYTES: u64 = 1 << 30;
const MIN_SEGMENT_BYTES: u64 = 64 << 10;
const MAX_SEGMENT_BYTES: u64 = 1 << 30;
const DEFAULT_SEGMENT_BYTES: u64 = 16 << 20;
/// Segments that must fit on the disk space, so that old ones can be compacted.
const MIN_SEGMENTS: u64 = 4;

/// The settings of the durable log.
#[derive(Clone, Debug, PartialEq)]
pub struct DurableLogSettings {
    /// Its directory (keyword `folder`), which one process at a time locks.
    pub directory: PathBuf,
    /// Whether a commit waits until the disk has the records (keyword `sync`). If not, a crash of
    /// the
    /// process loses nothing, but a crash of the machine may.
    pub sync_on_commit: bool,
    /// How long a commit waits for more records to join it (keyword `gather`).
    pub group_delay: Duration,
    /// Which jobs are recorded (keyword `durable`).
    pub recorded_jobs: RecordedJobs,
    /// How long a worker may run a job without a renewal of its lease (keyword `lease`).
    pub lease_duration: Duration,
    /// The most by which two clocks may drift apart, or a message may be delayed, within a lease
    /// (keyword `clock-bound`).
    pub clock_drift_bound: Duration,
    /// How long an answer is kept at least for a client that retries (keyword `keep`).
    pub retention: Duration,
    /// The most jobs in the log, open and retained ones (keyword `jobs`).
    pub max_jobs: usize,
    /// The most disk space of the log, bytes (keyword `disk`).
    pub max_disk_bytes: u64,
    /// The size at which a segment is closed and the next one opened, bytes (keyword `segment`).
    pub max_segment_bytes: u64,
}

/// Which jobs the durable log records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RecordedJobs {
    /// Those with an `Idempotency-Key`, and those of classes that must never run twice. Clients of
    /// other jobs cannot retry for the same result, and repeating these jobs is harmless.
    #[default]
    Keyed,
    /// All.
    All,
}

impl DurableLogSettings {
    pub(crate) fn read(section: &mut SectionReader<'_>) -> Option<Self> {
        let directory = section.required("folder", |words| words.path());
        let sync = section.optional("sync", |words| words.choice(&[("yes", true), ("no", false)]));
        let recorded = [("keyed", RecordedJobs::Keyed), ("all", RecordedJobs::All)];
        let recorded_jobs = section.optional("durable", |words| words.choice(&recorded));
        let group_delay = section.optional("gather", |words| words.duration(Duration::ZERO, MAX_GROUP_DELAY));
        let lease_duration =
            section.optional("lease", |words| words.duration(MIN_LEASE_DURATION, MAX_LEASE_DURATION));
        let clock_drift_bound = section
            .optional("clock-bound", |words| words.duration(MIN_CLOCK_DRIFT_BOUND, MAX_CLOCK_DRIFT_BOUND));
        let retention = section.optional("keep", |words| words.duration(MIN_RETENTION, MAX_RETENTION));
        let jobs = section.optional("jobs", |words| words.number(MIN_JOBS, MAX_JOBS));
        let disk = section.optional("disk", |words| words.size(MIN_DISK_BYTES, MAX_DISK_BYTES));
        let segment = section.optional("segment", |words| words.size(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES));
        let settings = DurableLogSettings {
            directory: directory.clone().unwrap_or_default(),
            sync_on_commit: sync.unwrap_or(true),
            group_delay: group_delay.unwrap_or(DEFAULT_GROUP_DELAY),
            recorded_jobs: recorded_jobs.unwrap_or_default(),
            lease_duration: lease_duration.unwrap_or(DEFAULT_LEASE_DURATION),
            clock_drift_bound: clock_drift_bound.unwrap_or(DEFAULT_CLOCK_DRIFT_BOUND),
            retention: retention.unwrap_or(DEFAULT_RETENTION),
            max_jobs: jobs.unwrap_or(DEFAULT_JOBS) as usize,
            max_disk_bytes: disk.unwrap_or(DEFAULT_DISK_BYTES),
            max_segment_bytes: segment.unwrap_or(DEFAULT_SEGMENT_BYTES),
        };
        settings.check(section);
        directory.map(|_| settings)
    }

    fn check(&self, section: &mut SectionReader<'_>) {
        if self.clock_drift_bound >= self.lease_duration {
            section.report_keyword("clock-bound", "must be shorter than the lease");
        }
        if self.max_segment_bytes * MIN_SEGMENTS > self.max_disk_bytes {
            section.report_keyword("segment", "must be a quarter of `disk` at the most");
        }
    }
}
