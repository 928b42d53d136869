//! The log on a disk with faults: all durable records are read back, and damage is reported.
mod common;

use bytes::Bytes;
use common::{OpenedLog, SMALL_SEGMENTS, append_frames, next_records, open, record, seeded_config, try_open};
use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, proptest};
use spanlead_wal::simulated::SimulatedDirectory;
use spanlead_wal::{
    AppendError, CommitProgress, Directory, DiskDirectory, LogReader, LogWriter, OpenError, RecordRejected,
    WriteAheadLog,
};
use std::collections::BTreeSet;
use std::sync::mpsc::channel;
use std::time::Duration;

#[test]
fn appended_records_are_read_back_after_reopening_many_segments() {
    let directory = SimulatedDirectory::new();
    for round in 0..4 {
        let written = append_frames(&directory, &[1, 2, 3, 4, 5, 6]);
        assert_eq!(written.len(), 21 * (round + 1));

        let OpenedLog { log, records, report } = open(&directory);

        assert_eq!((records, report.torn_write), (written, None));
        log.close().expect("the disk has no fault");
    }
    assert!(directory.list().expect("the directory is readable").len() > 4, "expected several segments");
}

#[test]
fn trim_removes_unneeded_segments_and_lsns_continue() {
    let directory = SimulatedDirectory::new();
    let written = append_frames(&directory, &[5; 20]);
    let OpenedLog { mut log, .. } = open(&directory);
    let size_before = log.size_bytes();

    log.trim(60).expect("the disk has no fault");
    assert!(log.size_bytes() < size_before);
    log.append(&[record(101)]).expect("the disk has space");
    drop(log);

    let mut lsns = Vec::new();
    let records = open(&directory).records;
    LogReader::new(&directory)
        .read(|lsn, _| {
            lsns.push(lsn);
            Ok(())
        })
        .expect("the log is not corrupt");
    assert!(lsns[0] <= 60 && lsns.last() == Some(&101));
    assert_eq!(records[..records.len() - 1], written[lsns[0] as usize - 1..]);
}

// Guards the removal of a torn write: wherever the file is cut off, all complete frames before that
// point are read back and the log accepts more records.
#[test]
fn a_write_torn_at_any_byte_is_removed_on_open() {
    let directory = SimulatedDirectory::new();
    let written = append_frames(&directory, &[2, 3]);
    let name = &directory.list().expect("the directory is readable")[0];
    let segment = directory.read(name).expect("the segment exists");
    let mut records_read = BTreeSet::new();
    for length in 0..segment.len() {
        let torn = SimulatedDirectory::new();
        torn.create(name).expect("the file is new").append(&segment[..length]).expect("the disk has space");

        let OpenedLog { mut log, records, report } = open(&torn);

        assert_eq!(records, written[..records.len()], "cut off at byte {length}");
        // A file that ends at a frame boundary shows no sign of a lost write.
        assert!(report.torn_write.is_some() || [0, 2].contains(&records.len()), "cut off at byte {length}");
        records_read.insert(records.len());
        log.append(&[record(9)]).expect("the disk has space");
        assert_eq!(open(&torn).records.len(), records.len() + 1, "cut off at byte {length}");
    }
    assert_eq!(records_read.into_iter().collect::<Vec<_>>(), [0, 2]);
}

// Guards against undetected damage: each byte of each file is changed in several ways. Opening the
// log then either fails with the file and an offset that is not behind the byte, or, if the byte is
// in the last frame, loses no other frame.
#[test]
fn a_corrupt_byte_at_any_offset_is_detected() {
    let directory = SimulatedDirectory::new();
    let written = append_frames(&directory, &[3, 1, 4, 1, 5, 2, 6]);
    let names = directory.list().expect("the directory is readable");
    let mut detected = 0;
    for name in &names {
        let is_last_file = Some(name) == names.last();
        for offset in 0..directory.read(name).expect("the segment exists").len() {
            for mask in [1, 0x80, 0xff] {
                let corrupt = directory.deep_copy();
                corrupt.corrupt(name, offset, mask);
                match try_open(&corrupt) {
                    Err(OpenError::Corrupt { file_name, offset: reported, .. }) => {
                        assert_eq!(&file_name, name);
                        assert!(
                            reported <= offset as u64,
                            "reported offset {reported}, corrupt byte at {offset}"
                        );
                        detected += 1;
                    }
                    Err(OpenError::UnsupportedVersion { file_name, .. }) => assert_eq!(&file_name, name),
                    Err(other) => panic!("{other}"),
                    Ok(OpenedLog { records, report, .. }) => {
                        assert!(is_last_file, "opened {name} with byte {offset} corrupt, expected an error");
                        assert_eq!(records, written[..records.len()]);
                        let lost = written.len() - records.len();
                        assert!(
                            report.torn_write.is_some() && lost <= 6,
                            "lost {lost} records, expected a torn write of at most the 6 of the last frame"
                        );
                    }
                }
            }
        }
    }
    assert!(detected > 1000, "{detected} corrupt bytes detected, expected more than 1000");
}

// Guards against taking damage in the last records of a closed log for a torn write: the closing
// frame behind them shows that they were complete.
#[test]
fn corrupt_last_records_of_a_closed_log_are_an_error() {
    let directory = SimulatedDirectory::new();
    let mut log = open(&directory).log;
    log.append(&[record(1), record(2)]).expect("the disk has space");
    log.close().expect("the disk has no fault");
    let name = &directory.list().expect("the directory is readable")[0];
    let length = directory.read(name).expect("the segment exists").len();

    directory.corrupt(name, length - 40, 1);

    assert!(matches!(try_open(&directory), Err(OpenError::Corrupt { .. })));
}

#[test]
fn opening_a_log_with_a_missing_segment_fails() {
    let directory = SimulatedDirectory::new();
    append_frames(&directory, &[5; 30]);
    let names = directory.list().expect("the directory is readable");

    directory.remove(&names[1]).expect("the segment exists");
    let error = try_open(&directory).err().expect("records are missing").to_string();

    let first_lsn = |name: &str| name.trim_end_matches(".log").parse::<u64>().expect("an LSN");
    let (found, expected) = (first_lsn(&names[2]), first_lsn(&names[1]));
    let reason = format!("the segment begins with record {found}; expected record {expected}");
    assert!(error.contains(&names[2]) && error.ends_with(&reason), "{error}");
}

#[test]
fn opening_fails_with_the_reason_of_a_rejected_record() {
    let directory = SimulatedDirectory::new();
    append_frames(&directory, &[1]);

    let opened = WriteAheadLog::open(Box::new(directory), SMALL_SEGMENTS, |lsn, _| {
        Err(RecordRejected::new(format!("record {lsn} is not known")))
    });

    let error = opened.err().expect("the record was rejected").to_string();
    assert!(error.ends_with("record 1 is not known"), "{error}");
}

// Guards against retrying a failed sync, which may report success although the data was lost: the
// log accepts no more records, and the next process rewrites the last segment that it reads.
#[test]
fn a_failed_sync_is_final_and_reopening_makes_the_tail_durable() {
    let directory = SimulatedDirectory::new();
    let mut log = open(&directory).log;
    log.append(&[record(1)]).expect("the disk has no fault");
    directory.fail_sync_after(0);
    log.append(&[record(2)]).expect_err("the sync fails");
    directory.fail_sync_after(99);
    let error = log.append(&[record(3)]).expect_err("the log has failed");
    assert!(matches!(error, AppendError::FailedBefore), "{error}");
    drop(log);

    // Only the process restarted, not the machine: record 2 is read from the page cache.
    let records = open(&directory).records;

    for seed in 0..50 {
        let later = directory.deep_copy();
        later.crash(seed);
        assert_eq!(open(&later).records, records, "seed {seed}");
    }
}

#[test]
fn a_full_disk_fails_the_log_and_reopening_reads_the_complete_frames() {
    for free_bytes in 0..200 {
        let directory = SimulatedDirectory::new();
        let mut log = open(&directory).log;
        directory.set_free_bytes(free_bytes);
        let mut appended = 0;
        while log.append(&[record(appended + 1)]).is_ok() {
            appended += 1;
        }

        directory.set_free_bytes(1 << 20);
        log.append(&[record(77)]).expect_err("the log has failed");

        assert_eq!(open(&directory).records.len() as u64, appended, "with {free_bytes} free bytes");
    }
}

proptest! {
    #![proptest_config(seeded_config(2000))]
    // Guards durability: over repeated crashes at any point, with any frames, all records of
    // successful appends are read back in order, and no record that was never appended.
    #[test]
    fn durable_records_survive_every_crash(
        rounds in prop::collection::vec(
            (prop::collection::vec(0_u64..7, 0..12), any::<u64>(), 0_u64..12),
            1..6,
        ),
    ) {
        let directory = SimulatedDirectory::new();
        let mut durable: Vec<Vec<u8>> = Vec::new();
        for (frames, crash_seed, good_syncs) in rounds {
            let OpenedLog { mut log, records, .. } = open(&directory);
            prop_assert!(records.len() >= durable.len());
            prop_assert_eq!(&records[..durable.len()], &durable[..]);
            // Records that were not reported as durable may be present, but only unchanged.
            for (i, extra) in records.iter().enumerate().skip(durable.len()) {
                prop_assert_eq!(extra, &record(i as u64 + 1));
            }
            durable = records;
            directory.fail_sync_after(good_syncs);
            for count in frames {
                let group = next_records(&log, count);
                if log.append(&group).is_err() {
                    break;
                }
                durable.extend(group);
            }
            drop(log);
            directory.crash(crash_seed);
        }
    }

    // Guards against panics of the reader on files that no log wrote.
    #[test]
    fn opening_a_segment_of_arbitrary_bytes_does_not_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        name in "[0-9]{1,20}\\.log",
    ) {
        let directory = SimulatedDirectory::new();
        directory.create(&name).expect("the file is new").append(&bytes).expect("the disk has space");
        let _ = try_open(&directory);
    }
}

// Guards group commit: the records that are queued during a sync share the next one, in order, and
// all are reported as durable.
#[test]
fn records_queued_during_a_sync_share_the_next_one() {
    let directory = SimulatedDirectory::new();
    let log = open(&directory).log;
    let (sender, progress) = channel();
    let mut writer = LogWriter::spawn(log, Duration::ZERO, move |report| {
        sender.send(report).expect("the receiver exists");
    })
    .expect("the thread starts");

    for number in 1..=10_000 {
        assert_eq!(writer.append(Bytes::from(record(number))), number);
        writer.flush();
    }

    let is_all_durable =
        |report: CommitProgress| matches!(report, CommitProgress::Durable { last_lsn: 10_000, .. });
    assert!(progress.iter().any(is_all_durable));
    let stats = writer.stats();
    assert_eq!(stats.records, 10_000);
    assert!(stats.commits < 10_000, "{stats:?}");
    drop(writer);
    assert_eq!(open(&directory).records.len(), 10_000);
}

#[test]
fn a_failed_sync_is_reported_once_and_stops_the_writer() {
    let directory = SimulatedDirectory::new();
    let log = open(&directory).log;
    directory.fail_sync_after(0);
    let (sender, progress) = channel();
    let mut writer = LogWriter::spawn(log, Duration::ZERO, move |report| {
        sender.send(report).expect("the receiver exists");
    })
    .expect("the thread starts");

    for number in 0..100 {
        writer.append(Bytes::from(record(number)));
        writer.flush();
    }

    assert_eq!(progress.iter().collect::<Vec<_>>(), [CommitProgress::Failed]);
}

#[test]
fn a_directory_is_locked_once_until_the_lock_is_dropped() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let first =
        DiskDirectory::lock(directory.path()).expect("a writable directory").expect("the lock is free");
    assert!(DiskDirectory::lock(directory.path()).expect("a writable directory").is_none());
    let (mut log, _) =
        WriteAheadLog::open(Box::new(first), SMALL_SEGMENTS, |_, _| Ok(())).expect("the directory is empty");
    log.append(&[record(1)]).expect("the disk has space");
    drop(log);

    let second =
        DiskDirectory::lock(directory.path()).expect("a writable directory").expect("the lock is free again");
    let mut records = Vec::new();
    WriteAheadLog::open(Box::new(second), SMALL_SEGMENTS, |_, bytes| {
        records.push(bytes.to_vec());
        Ok(())
    })
    .expect("the log is not corrupt");

    assert_eq!(records, [record(1)]);
}
