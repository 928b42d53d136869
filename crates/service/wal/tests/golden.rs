//! The log's files as bytes. A folder that a process of an earlier version wrote must be read, and
//! must be readable by
//! such a process.
//!
//! A segment's salt is drawn at random, so files are built here by the form's definition: the
//! committed bytes show that it
//! is built as ever, and what the log writes is compared with what is built around its salt.
#[allow(dead_code, reason = "each crate uses a part of it")]
#[path = "golden/data.rs"]
mod golden;

use spanlead_wal::simulated::SimulatedDirectory;
use spanlead_wal::{
    Directory, DiskDirectory, LogContents, LogOptions, LogReader, OpenError, SegmentInfo, WriteAheadLog,
};
use std::fs;

const FILE: &str = "segments.txt";
const FIRST_SALT: u64 = 0x0102_0304_0506_0708;
const SECOND_SALT: u64 = 0xfff0_e0d0_c0b0_a090;
/// Closed when it has grown to as many bytes; the first frame stays below it, the second goes
/// beyond.
const SEGMENT: u64 = 90;
const HEAD: usize = 32;
const SALT: std::ops::Range<usize> = 20..28;
const FRAMES: [&[&str]; 3] = [&["one", ""], &["a third record, which is longer"], &["4"]];

fn options() -> LogOptions {
    LogOptions { max_segment_bytes: SEGMENT, sync_on_commit: true }
}

/// Magic, version, the first record's number, salt, checksum.
fn head(first: u64, salt: u64) -> Vec<u8> {
    let mut head = b"spanledg".to_vec();
    head.extend(1_u32.to_le_bytes());
    head.extend(first.to_le_bytes());
    head.extend(salt.to_le_bytes());
    head.extend(crc32fast::hash(&head).to_le_bytes());
    head
}

/// Length, count, the first record's number, a checksum over the salt, these and the records; the
/// records.
fn frame(salt: u64, first: u64, records: &[&str]) -> Vec<u8> {
    let mut payload = Vec::new();
    for record in records {
        payload.extend((record.len() as u32).to_le_bytes());
        payload.extend(record.as_bytes());
    }
    let mut frame = (payload.len() as u32).to_le_bytes().to_vec();
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(first.to_le_bytes());
    let summed = [&salt.to_le_bytes()[..], &frame, &payload].concat();
    frame.extend(crc32fast::hash(&summed).to_le_bytes());
    frame.extend(payload);
    frame
}

/// Two segments: the first closed in order, the second still open.
fn segments(first_salt: u64, second_salt: u64) -> [(&'static str, Vec<u8>); 2] {
    let closed = [
        head(1, first_salt),
        frame(first_salt, 1, FRAMES[0]),
        frame(first_salt, 3, FRAMES[1]),
        frame(first_salt, 4, &[]),
    ];
    let open = [head(4, second_salt), frame(second_salt, 4, FRAMES[2])];
    [("00000000000000000001.log", closed.concat()), ("00000000000000000004.log", open.concat())]
}

fn written() -> SimulatedDirectory {
    let folder = SimulatedDirectory::new();
    let (mut log, _) =
        WriteAheadLog::open(Box::new(folder.clone()), options(), |_, _| Ok(())).expect("an empty folder");
    FRAMES.iter().for_each(|records| log.append(records).expect("room"));
    folder
}

fn committed_folder() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a writable folder");
    for (name, bytes) in golden::read_bytes(FILE) {
        fs::write(folder.path().join(name), bytes).expect("a writable folder");
    }
    folder
}

fn salt(bytes: &[u8]) -> u64 {
    u64::from_le_bytes(bytes[SALT].try_into().expect("eight bytes"))
}

#[test]
fn the_form_of_segments_is_as_committed() {
    golden::assert_bytes(FILE, &segments(FIRST_SALT, SECOND_SALT));
}

// Guards the writing side: names and bytes of all files, around the salts that were drawn.
#[test]
fn the_log_writes_segments_of_that_form() {
    let folder = written();
    let mut names = folder.list().expect("names");
    names.sort();
    let files: Vec<Vec<u8>> = names.iter().map(|name| folder.read(name).expect("a file")).collect();
    let wanted = segments(salt(&files[0]), salt(&files[1]));
    let found: Vec<(&str, Vec<u8>)> = names.iter().map(String::as_str).zip(files).collect();
    assert_eq!(found, wanted);
}

// Guards the reading side: the committed files give back all records with their numbers.
#[test]
fn committed_segments_are_read_whole() {
    let folder = committed_folder();
    let disk = DiskDirectory::open_read_only(folder.path()).expect("it is there");
    let mut records = Vec::new();
    let LogContents { segments, report } = LogReader::new(&disk)
        .read(|number, bytes| {
            records.push((number, String::from_utf8(bytes.to_vec()).expect("text")));
            Ok(())
        })
        .expect("good");
    let texts = FRAMES.concat().into_iter().map(str::to_owned);
    assert_eq!(records, (1..).zip(texts).collect::<Vec<_>>());
    let segment = |name: &str, first, bytes, closed| SegmentInfo {
        file_name: name.into(),
        first_lsn: first,
        size_bytes: bytes,
        closed,
    };
    let wanted = [
        segment("00000000000000000001.log", 1, 138, true),
        segment("00000000000000000004.log", 4, 57, false),
    ];
    assert_eq!(segments, wanted);
    assert_eq!((report.records, report.bytes, report.torn_write), (4, 138 + 57, None));
}

// Guards the way on: a process goes on behind committed files with the next number, in a new
// segment, and takes the lock.
#[test]
fn a_log_goes_on_behind_committed_segments() {
    let folder = committed_folder();
    let disk = DiskDirectory::lock(folder.path()).expect("writable").expect("free");
    assert!(DiskDirectory::lock(folder.path()).expect("writable").is_none(), "it is held");
    let (mut log, report) = WriteAheadLog::open(Box::new(disk), options(), |_, _| Ok(())).expect("good");
    assert_eq!((report.records, log.next_lsn()), (4, 5));
    log.append(&["five"]).expect("room");
    log.close().expect("a good disk");
    let mut names: Vec<String> = fs::read_dir(folder.path())
        .expect("a folder")
        .map(|entry| entry.expect("an entry").file_name().into_string().expect("text"))
        .collect();
    names.sort();
    let wanted = ["00000000000000000001.log", "00000000000000000004.log", "00000000000000000005.log", "lock"];
    assert_eq!(names, wanted);
    let last = fs::read(folder.path().join(wanted[2])).expect("a file");
    let salt = salt(&last);
    assert_eq!(last, [head(5, salt), frame(salt, 5, &["five"]), frame(salt, 6, &[])].concat());
}

// Guards the operators' words on what can't be used.
#[test]
fn what_can_not_be_read_is_said_in_these_words() {
    let read = |change: fn(&mut Vec<u8>)| {
        let folder = committed_folder();
        let path = folder.path().join("00000000000000000001.log");
        let mut bytes = fs::read(&path).expect("a file");
        change(&mut bytes);
        fs::write(&path, bytes).expect("a writable folder");
        let disk = DiskDirectory::open_read_only(folder.path()).expect("it is there");
        let result = LogReader::new(&disk).read(|_, _| Ok(()));
        result.map(drop).map_err(|error: OpenError| error.to_string()).expect_err("it is damaged")
    };
    let said = [
        read(|bytes| bytes[0] = b'S'),
        read(|bytes| bytes[9] = 1),
        read(|bytes| {
            bytes[8..12].copy_from_slice(&2_u32.to_le_bytes());
            let sum = crc32fast::hash(&bytes[..HEAD - 4]);
            bytes[HEAD - 4..HEAD].copy_from_slice(&sum.to_le_bytes());
        }),
        read(|bytes| {
            *bytes = [head(2, FIRST_SALT), bytes[HEAD..].to_vec()].concat();
        }),
        read(|bytes| bytes[HEAD + 22] ^= 1),
        read(|bytes| bytes.truncate(HEAD - 1)),
        read(|bytes| bytes.truncate(HEAD + 10)),
        read(|bytes| bytes.truncate(HEAD + 25)),
    ];
    golden::assert_text("errors.txt", &format!("{}\n", said.join("\n")));
}
