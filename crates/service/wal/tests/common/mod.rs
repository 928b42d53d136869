//! Builders that the tests of the log share.
use proptest::test_runner::{Config, RngSeed};
use spanlead_wal::simulated::SimulatedDirectory;
use spanlead_wal::{LogOptions, OpenError, RecoveryReport, WriteAheadLog};

/// Segments small enough that a few appends fill one.
pub const SMALL_SEGMENTS: LogOptions = LogOptions { max_segment_bytes: 256, sync_on_commit: true };

/// A log that was opened, and what was read from it.
pub struct OpenedLog {
    pub log: WriteAheadLog,
    pub records: Vec<Vec<u8>>,
    pub report: RecoveryReport,
}

pub fn try_open(directory: &SimulatedDirectory) -> Result<OpenedLog, OpenError> {
    let mut records = Vec::new();
    let (log, report) = WriteAheadLog::open(Box::new(directory.clone()), SMALL_SEGMENTS, |_, bytes| {
        records.push(bytes.to_vec());
        Ok(())
    })?;
    Ok(OpenedLog { log, records, report })
}

/// Opens a log that is not corrupt.
pub fn open(directory: &SimulatedDirectory) -> OpenedLog {
    try_open(directory).unwrap_or_else(|error| panic!("the log is not corrupt: {error}"))
}

/// The record of this number, with a length of its own.
pub fn record(number: u64) -> Vec<u8> {
    format!("record {number} {}", "x".repeat((number % 37) as usize)).into_bytes()
}

/// Appends a frame for each of these numbers of records; returns all records that the log has then.
pub fn append_frames(directory: &SimulatedDirectory, frames: &[u64]) -> Vec<Vec<u8>> {
    let OpenedLog { mut log, mut records, .. } = open(directory);
    for count in frames {
        let group = next_records(&log, *count);
        log.append(&group).expect("the disk has space");
        records.extend(group);
    }
    records
}

/// The next records of a log.
pub fn next_records(log: &WriteAheadLog, count: u64) -> Vec<Vec<u8>> {
    (0..count).map(|i| record(log.next_lsn() + i)).collect()
}

/// Random cases from a seed that is printed and the same each time, unless `SEED` gives another.
pub fn seeded(cases: u32) -> Config {
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    println!("SEED={seed}");
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}
