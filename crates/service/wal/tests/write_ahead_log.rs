//! The log on a disk that fails: what was reported durable is read back, and what can't be trusted
//! is reported.
mod common;

use bytes::Bytes;
use common::{OpenedLog, SMALL_SEGMENTS, append_frames, next_records, open, record, seeded, try_open};
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
fn appended_records_are_read_back_over_many_segments_and_processes() {
    let directory = SimulatedDirectory::new();
    for round in 0..4 {
        let written = append_frames(&directory, &[1, 2, 3, 4, 5, 6]);
        assert_eq!(written.len(), 21 * (round + 1));

        let OpenedLog { log, records, report } = open(&directory);

        assert_eq!((records, report.torn_write), (written, None));
        log.close().expect("the disk is good");
    }
    assert!(directory.list().expect("names").len() > 4, "there are several segments");
}

#[test]
fn trim_removes_unneeded_segments_and_lsns_go_on() {
    let directory = SimulatedDirectory::new();
    let written = append_frames(&directory, &[5; 20]);
    let OpenedLog { mut log, .. } = open(&directory);
    let size_before = log.size_bytes();

    log.trim(60).expect("the disk is good");
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

// Guards the one thing that may be cut off: whatever length the last write has, the frames before
// it are read back and the log goes on.
#[test]
fn a_torn_tail_is_cut_off_at_any_byte() {
    let directory = SimulatedDirectory::new();
    let written = append_frames(&directory, &[2, 3]);
    let name = &directory.list().expect("names")[0];
    let segment = directory.read(name).expect("the segment");
    let mut records_read = BTreeSet::new();
    for length in 0..segment.len() {
        let torn = SimulatedDirectory::new();
        torn.create(name).expect("a new file").append(&segment[..length]).expect("the disk has space");

        let OpenedLog { mut log, records, report } = open(&torn);

        assert_eq!(records, written[..records.len()], "at {length}");
        // A file that ends with a frame has lost nothing that it can know of.
        assert!(report.torn_write.is_some() || [0, 2].contains(&records.len()), "at {length}");
        records_read.insert(records.len());
        log.append(&[record(9)]).expect("the disk has space");
        assert_eq!(open(&torn).records.len(), records.len() + 1, "at {length}");
    }
    assert_eq!(records_read.into_iter().collect::<Vec<_>>(), [0, 2]);
}

// Guards against silent damage: each byte of each file, changed in several ways, either stops the
// start with the file and an offset no later than the byte, or lies in the last frame and costs no
// more than that frame.
#[test]
fn a_corrupt_byte_anywhere_is_found() {
    let directory = SimulatedDirectory::new();
    let written = append_frames(&directory, &[3, 1, 4, 1, 5, 2, 6]);
    let names = directory.list().expect("names");
    let mut found = 0;
    for name in &names {
        let is_last_file = Some(name) == names.last();
        for offset in 0..directory.read(name).expect("the segment").len() {
            for mask in [1, 0x80, 0xff] {
                let corrupt = directory.deep_copy();
                corrupt.corrupt(name, offset, mask);
                match try_open(&corrupt) {
                    Err(OpenError::Corrupt { file_name, offset: reported, .. }) => {
                        assert_eq!(&file_name, name);
                        assert!(reported <= offset as u64, "{reported} for {offset}");
                        found += 1;
                    }
                    Err(OpenError::UnsupportedVersion { file_name, .. }) => assert_eq!(&file_name, name),
                    Err(other) => panic!("{other}"),
                    Ok(OpenedLog { records, report, .. }) => {
                        assert!(is_last_file, "only in the last file");
                        assert_eq!(records, written[..records.len()]);
                        let lost = written.len() - records.len();
                        assert!(report.torn_write.is_some() && lost <= 6, "only the last frame");
                    }
                }
            }
        }
    }
    assert!(found > 1000, "{found}");
}

// Guards what is said of a log that was closed: there damage in the last frame can't pass for a
// torn write.
#[test]
fn in_a_closed_log_a_corrupt_last_frame_is_found_too() {
    let directory = SimulatedDirectory::new();
    let mut log = open(&directory).log;
    log.append(&[record(1), record(2)]).expect("the disk has space");
    log.close().expect("the disk is good");
    let name = &directory.list().expect("names")[0];
    let length = directory.read(name).expect("the segment").len();

    directory.corrupt(name, length - 40, 1);

    assert!(matches!(try_open(&directory), Err(OpenError::Corrupt { .. })));
}

#[test]
fn a_missing_segment_stops_the_start() {
    let directory = SimulatedDirectory::new();
    append_frames(&directory, &[5; 30]);
    let names = directory.list().expect("names");

    directory.remove(&names[1]).expect("the segment");
    let error = try_open(&directory).err().expect("records are missing").to_string();

    assert!(error.contains(&names[2]) && error.contains("should come"), "{error}");
}

#[test]
fn a_record_that_the_caller_rejects_stops_the_start_with_its_reason() {
    let directory = SimulatedDirectory::new();
    append_frames(&directory, &[1]);

    let opened = WriteAheadLog::open(Box::new(directory), SMALL_SEGMENTS, |lsn, _| {
        Err(RecordRejected::new(format!("record {lsn} is not known")))
    });

    let error = opened.err().expect("the record was rejected").to_string();
    assert!(error.ends_with("record 1 is not known"), "{error}");
}

// Guards against a sync that is retried after it failed and then "succeeds": nothing is appended
// any more, and what the next process may read back of it is written again before it is relied on.
#[test]
fn a_failed_sync_is_final_and_the_next_process_makes_its_tail_durable() {
    let directory = SimulatedDirectory::new();
    let mut log = open(&directory).log;
    log.append(&[record(1)]).expect("the disk is good");
    directory.fail_sync_after(0);
    log.append(&[record(2)]).expect_err("the sync fails");
    directory.fail_sync_after(99);
    let error = log.append(&[record(3)]).expect_err("the log has failed");
    assert!(matches!(error, AppendError::FailedBefore), "{error}");
    drop(log);

    // The process ends, the machine goes on: record 2 is read from the system's memory.
    let records = open(&directory).records;

    for seed in 0..50 {
        let later = directory.deep_copy();
        later.crash(seed);
        assert_eq!(open(&later).records, records, "seed {seed}");
    }
}

#[test]
fn a_full_disk_ends_the_log_and_the_next_process_reads_the_complete_frames() {
    for free_bytes in 0..200 {
        let directory = SimulatedDirectory::new();
        let mut log = open(&directory).log;
        directory.set_free_bytes(free_bytes);
        let mut appended = 0;
        while log.append(&[record(appended + 1)]).is_ok() {
            appended += 1;
        }

        directory.set_free_bytes(1 << 20);
        log.append(&[record(77)]).expect_err("it is not retried");

        assert_eq!(open(&directory).records.len() as u64, appended, "{free_bytes} bytes");
    }
}

proptest! {
    #![proptest_config(seeded(2000))]
    // Guards durability: whatever frames are written and wherever the machine stops, again and
    // again, all records that an append returned for are read back, in order, and nothing that was
    // never written.
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
            // What was not reported durable may be there, as it was written.
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

    // Guards the reader against files that no log ever wrote.
    #[test]
    fn any_bytes_are_read_or_rejected(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        name in "[0-9]{1,20}\\.log",
    ) {
        let directory = SimulatedDirectory::new();
        directory.create(&name).expect("a new file").append(&bytes).expect("the disk has space");
        let _ = try_open(&directory);
    }
}

// Guards group commit: records that gather while a sync runs go with the next one, in order, and
// all are reported.
#[test]
fn one_sync_serves_many_records() {
    let directory = SimulatedDirectory::new();
    let log = open(&directory).log;
    let (to, progress) = channel();
    let mut writer =
        LogWriter::spawn(log, Duration::ZERO, move |report| to.send(report).expect("a receiver"))
            .expect("a thread");

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
fn a_failure_is_reported_once_and_ends_the_writer() {
    let directory = SimulatedDirectory::new();
    let log = open(&directory).log;
    directory.fail_sync_after(0);
    let (to, progress) = channel();
    let mut writer =
        LogWriter::spawn(log, Duration::ZERO, move |report| to.send(report).expect("a receiver"))
            .expect("a thread");

    for number in 0..100 {
        writer.append(Bytes::from(record(number)));
        writer.flush();
    }

    assert_eq!(progress.iter().collect::<Vec<_>>(), [CommitProgress::Failed]);
}

#[test]
fn a_directory_is_locked_by_one_process_at_a_time() {
    let directory = tempfile::tempdir().expect("a directory");
    let first = DiskDirectory::lock(directory.path()).expect("writable").expect("free");
    assert!(DiskDirectory::lock(directory.path()).expect("writable").is_none());
    let (mut log, _) = WriteAheadLog::open(Box::new(first), SMALL_SEGMENTS, |_, _| Ok(())).expect("empty");
    log.append(&[record(1)]).expect("the disk has space");
    drop(log);

    let second = DiskDirectory::lock(directory.path()).expect("writable").expect("free again");
    let mut records = Vec::new();
    WriteAheadLog::open(Box::new(second), SMALL_SEGMENTS, |_, bytes| {
        records.push(bytes.to_vec());
        Ok(())
    })
    .expect("the log is not corrupt");

    assert_eq!(records, [record(1)]);
}
