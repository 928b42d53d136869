//! Helpers that the tests of the log share.
use proptest::test_runner::{Config, RngSeed};
use spanlead_wal::simulated::SimulatedDirectory;
use spanlead_wal::{LogOptions, OpenError, RecoveryReport, WriteAheadLog};

/// Options with segments so small that a few appends fill one.
pub const SMALL_SEGMENTS: LogOptions = LogOptions { max_segment_bytes: 256, sync_on_commit: true };

/// An opened log, with the records and the report of its recovery.
pub struct OpenedLog {
    pub log: WriteAheadLog,
    pub records: Vec<Vec<u8>>,
    pub report: RecoveryReport,
}

/// Opens the log of a directory.
pub fn try_open(directory: &SimulatedDirectory) -> Result<OpenedLog, OpenError> {
    let mut records = Vec::new();
    let (log, report) = WriteAheadLog::open(Box::new(directory.clone()), SMALL_SEGMENTS, |_, bytes| {
        records.push(bytes.to_vec());
        Ok(())
    })?;
    Ok(OpenedLog { log, records, report })
}

/// Opens the log of a directory. Panics if that fails.
pub fn open(directory: &SimulatedDirectory) -> OpenedLog {
    try_open(directory).unwrap_or_else(|error| panic!("opening the log failed: {error}"))
}

/// Returns a record whose content and length depend on its number.
pub fn record(number: u64) -> Vec<u8> {
    format!("record {number} {}", "x".repeat((number % 37) as usize)).into_bytes()
}

/// Appends one frame for each entry of `frames`, the number of its records. Returns all records of
/// the log, including earlier ones.
pub fn append_frames(directory: &SimulatedDirectory, frames: &[u64]) -> Vec<Vec<u8>> {
    let OpenedLog { mut log, mut records, .. } = open(directory);
    for count in frames {
        let group = next_records(&log, *count);
        log.append(&group).expect("the disk has space");
        records.extend(group);
    }
    records
}

/// Returns `count` records, numbered from the next LSN of the log.
pub fn next_records(log: &WriteAheadLog, count: u64) -> Vec<Vec<u8>> {
    (0..count).map(|i| record(log.next_lsn() + i)).collect()
}

/// Configures `cases` random cases. The seed is fixed and printed; the environment variable `SEED`
/// replaces it.
pub fn seeded_config(cases: u32) -> Config {
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    println!("SEED={seed}");
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}
