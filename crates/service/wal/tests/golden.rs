//! The format of the log's files. A log that an earlier version wrote must stay readable, and an
//! earlier version must be able to read what this one writes.
//!
//! A segment's salt is random, so the tests encode segments by a second implementation of the
//! format. Its output for fixed salts is compared with the committed bytes, and the files that the
//! log writes are compared with its output for their salts.
#[allow(dead_code, reason = "each crate uses only some of the helpers")]
#[path = "golden/data.rs"]
mod golden;

use spanlead_wal::simulated::SimulatedDirectory;
use spanlead_wal::{
    Directory, DiskDirectory, LogContents, LogOptions, LogReader, OpenError, SegmentInfo, WriteAheadLog,
};
use std::fs;

/// The golden file with the bytes of the segments.
const SEGMENTS_FILE: &str = "segments.txt";
const FIRST_SALT: u64 = 0x0102_0304_0506_0708;
const SECOND_SALT: u64 = 0xfff0_e0d0_c0b0_a090;
/// The size at which a segment is closed, bytes: the first frame stays below it, the second exceeds
/// it.
const MAX_SEGMENT_BYTES: u64 = 90;
/// The size of a segment's header, bytes.
const HEADER_BYTES: usize = 32;
/// The position of the salt in a segment's header.
const SALT_RANGE: std::ops::Range<usize> = 20..28;
/// The records of each frame in the golden segments.
const FRAMES: [&[&str]; 3] = [&["one", ""], &["a third record, which is longer"], &["4"]];

fn options() -> LogOptions {
    LogOptions { max_segment_bytes: MAX_SEGMENT_BYTES, sync_on_commit: true }
}

/// Encodes a segment's header: magic, version, first LSN, salt, checksum.
fn encode_header(first_lsn: u64, salt: u64) -> Vec<u8> {
    let mut header = b"spanledg".to_vec();
    header.extend(1_u32.to_le_bytes());
    header.extend(first_lsn.to_le_bytes());
    header.extend(salt.to_le_bytes());
    header.extend(crc32fast::hash(&header).to_le_bytes());
    header
}

/// Encodes a frame: payload length, record count, first LSN, a checksum of the salt, these and the
/// payload, and then the payload.
fn encode_frame(salt: u64, first_lsn: u64, records: &[&str]) -> Vec<u8> {
    let mut payload = Vec::new();
    for record in records {
        payload.extend((record.len() as u32).to_le_bytes());
        payload.extend(record.as_bytes());
    }
    let mut frame = (payload.len() as u32).to_le_bytes().to_vec();
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(first_lsn.to_le_bytes());
    let checked = [&salt.to_le_bytes()[..], &frame, &payload].concat();
    frame.extend(crc32fast::hash(&checked).to_le_bytes());
    frame.extend(payload);
    frame
}

/// Encodes the golden segments, by file name: the first is closed, the second is not.
fn encode_segments(first_salt: u64, second_salt: u64) -> [(&'static str, Vec<u8>); 2] {
    let closed = [
        encode_header(1, first_salt),
        encode_frame(first_salt, 1, FRAMES[0]),
        encode_frame(first_salt, 3, FRAMES[1]),
        encode_frame(first_salt, 4, &[]),
    ];
    let open = [encode_header(4, second_salt), encode_frame(second_salt, 4, FRAMES[2])];
    [("00000000000000000001.log", closed.concat()), ("00000000000000000004.log", open.concat())]
}

/// Writes the frames of the golden segments with the log.
fn written_directory() -> SimulatedDirectory {
    let directory = SimulatedDirectory::new();
    let (mut log, _) = WriteAheadLog::open(Box::new(directory.clone()), options(), |_, _| Ok(()))
        .expect("the directory is empty");
    FRAMES.iter().for_each(|records| log.append(records).expect("the disk has space"));
    directory
}

/// Creates a directory on disk with the committed segments.
fn committed_directory() -> tempfile::TempDir {
    let directory = tempfile::tempdir().expect("a writable directory");
    for (name, bytes) in golden::read_bytes(SEGMENTS_FILE) {
        fs::write(directory.path().join(name), bytes).expect("a writable directory");
    }
    directory
}

/// Returns the salt in the header of a segment.
fn segment_salt(segment: &[u8]) -> u64 {
    u64::from_le_bytes(segment[SALT_RANGE].try_into().expect("eight bytes"))
}

// Guards the second implementation of the format, which the other tests rely on.
#[test]
fn encoded_segments_equal_the_committed_bytes() {
    golden::assert_bytes(SEGMENTS_FILE, &encode_segments(FIRST_SALT, SECOND_SALT));
}

// Guards the writer: the names and bytes of all files, with the salts that were drawn.
#[test]
fn log_writes_segments_in_the_committed_format() {
    let directory = written_directory();
    let mut names = directory.list().expect("the directory is readable");
    names.sort();
    let files: Vec<Vec<u8>> =
        names.iter().map(|name| directory.read(name).expect("the file exists")).collect();
    let expected = encode_segments(segment_salt(&files[0]), segment_salt(&files[1]));
    let found: Vec<(&str, Vec<u8>)> = names.iter().map(String::as_str).zip(files).collect();
    assert_eq!(found, expected);
}

// Guards the reader: all records of the committed files are read, with their LSNs.
#[test]
fn committed_segments_are_read_completely() {
    let directory = committed_directory();
    let disk = DiskDirectory::open_read_only(directory.path()).expect("the directory exists");
    let mut records = Vec::new();
    let LogContents { segments, report } = LogReader::new(&disk)
        .read(|lsn, bytes| {
            records.push((lsn, String::from_utf8(bytes.to_vec()).expect("UTF-8")));
            Ok(())
        })
        .expect("the log is not corrupt");
    let texts = FRAMES.concat().into_iter().map(str::to_owned);
    assert_eq!(records, (1..).zip(texts).collect::<Vec<_>>());
    let segment = |file_name: &str, first_lsn, size_bytes, closed| SegmentInfo {
        file_name: file_name.into(),
        first_lsn,
        size_bytes,
        closed,
    };
    let expected = [
        segment("00000000000000000001.log", 1, 138, true),
        segment("00000000000000000004.log", 4, 57, false),
    ];
    assert_eq!(segments, expected);
    assert_eq!((report.records, report.bytes, report.torn_write), (4, 138 + 57, None));
}

// Guards appending to a log of an earlier version: the log takes the lock and continues with the
// next LSN in a new segment.
#[test]
fn log_continues_after_committed_segments_in_a_new_segment() {
    let directory = committed_directory();
    let disk =
        DiskDirectory::lock(directory.path()).expect("a writable directory").expect("the lock is free");
    assert!(
        DiskDirectory::lock(directory.path()).expect("a writable directory").is_none(),
        "the lock is held, expected a second one to be refused"
    );
    let (mut log, report) =
        WriteAheadLog::open(Box::new(disk), options(), |_, _| Ok(())).expect("the log is not corrupt");
    assert_eq!((report.records, log.next_lsn()), (4, 5));
    log.append(&["five"]).expect("the disk has space");
    log.close().expect("the disk has space");
    let mut names: Vec<String> = fs::read_dir(directory.path())
        .expect("the directory is readable")
        .map(|entry| entry.expect("a directory entry").file_name().into_string().expect("UTF-8"))
        .collect();
    names.sort();
    let expected =
        ["00000000000000000001.log", "00000000000000000004.log", "00000000000000000005.log", "lock"];
    assert_eq!(names, expected);
    let last = fs::read(directory.path().join(expected[2])).expect("the file exists");
    let salt = segment_salt(&last);
    let frames = [encode_frame(salt, 5, &["five"]), encode_frame(salt, 6, &[])].concat();
    assert_eq!(last, [encode_header(5, salt), frames].concat());
}

// Guards the error texts that operators see for damaged segments.
#[test]
fn damaged_segments_are_reported_with_the_committed_texts() {
    let read_error = |damage: fn(&mut Vec<u8>)| {
        let directory = committed_directory();
        let path = directory.path().join("00000000000000000001.log");
        let mut bytes = fs::read(&path).expect("the file exists");
        damage(&mut bytes);
        fs::write(&path, bytes).expect("a writable directory");
        let disk = DiskDirectory::open_read_only(directory.path()).expect("the directory exists");
        let result = LogReader::new(&disk).read(|_, _| Ok(()));
        result.map(drop).map_err(|error: OpenError| error.to_string()).expect_err("the segment is damaged")
    };
    let texts = [
        read_error(|bytes| bytes[0] = b'S'),
        read_error(|bytes| bytes[9] = 1),
        read_error(|bytes| {
            bytes[8..12].copy_from_slice(&2_u32.to_le_bytes());
            let checksum = crc32fast::hash(&bytes[..HEADER_BYTES - 4]);
            bytes[HEADER_BYTES - 4..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
        }),
        read_error(|bytes| {
            *bytes = [encode_header(2, FIRST_SALT), bytes[HEADER_BYTES..].to_vec()].concat();
        }),
        read_error(|bytes| bytes[HEADER_BYTES + 22] ^= 1),
        read_error(|bytes| bytes.truncate(HEADER_BYTES - 1)),
        read_error(|bytes| bytes.truncate(HEADER_BYTES + 10)),
        read_error(|bytes| bytes.truncate(HEADER_BYTES + 25)),
    ];
    golden::assert_text("errors.txt", &format!("{}\n", texts.join("\n")));
}
