//! An inventory's versions on disk as bytes: a start goes on with what a process of an earlier
//! version kept.
#[allow(dead_code, reason = "each crate uses a part of it")]
#[path = "../../wal/tests/golden/data.rs"]
mod golden;

use spanlead_inventory::archive::Archive;
use spanlead_worker_attributes::{
    AttributeValue, Diagnostic, DiagnosticEffect, HostRecord, SourceLocation, Version,
};
use std::fs;
use std::path::Path;
use std::sync::Arc;

const FILE: &str = "versions.txt";
const NAME: &str = "clubs";
/// The committed folder, as one process of the version before kept it.
const FOLDER: &str = "archive";

fn place(file: u16, line: u32, column: u32) -> SourceLocation {
    SourceLocation { file, line, column }
}

fn version(number: u64, rows: Vec<(&str, HostRecord)>) -> Version {
    Version {
        number,
        digest: "00112233445566778899aabbccddeeff".into(),
        read_ms: 1_767_225_600_123,
        files: vec!["hosts.csv".into(), "group_vars/é.yml".into()],
        hosts: rows.into_iter().map(|(host, row)| (Arc::from(host), row)).collect(),
        diagnostics: Vec::new(),
    }
}

fn stated_row() -> HostRecord {
    let labels = [("rack", "r7"), ("room", "")].map(|(k, v)| (k.to_owned(), v.to_owned()));
    HostRecord {
        location: place(0, 2, 1),
        since_ms: 1_767_225_600_000,
        attribute_since_ms: [1, 200, 30_000, 4_000_000, 500_000_000, u64::MAX],
        zone: AttributeValue::Known("kista".into(), place(0, 2, 5)),
        pod: AttributeValue::Known("3".into(), place(0, 2, 11)),
        kind: AttributeValue::Known("std-2c".into(), place(1, 70_000, 300)),
        weight: AttributeValue::Known(0.5, place(0, 2, 13)),
        slots: AttributeValue::Known(300, place(0, 2, 17)),
        labels: AttributeValue::Known(Arc::new(labels.into()), place(u16::MAX, u32::MAX, u32::MAX)),
    }
}

fn disputed_row() -> HostRecord {
    let places = [place(0, 2, 1), place(0, 3, 1)];
    let word = |a: &str, b: &str| {
        AttributeValue::Conflicting(vec![(Arc::from(a), places[0]), (Arc::from(b), places[1])])
    };
    HostRecord {
        location: places[0],
        zone: word("kista", "solna"),
        pod: word("3", "4"),
        kind: word("a", "b"),
        weight: AttributeValue::Conflicting(vec![(1.0, places[0]), (2.0, places[1])]),
        slots: AttributeValue::Conflicting(vec![(1, places[0]), (2, places[1])]),
        labels: AttributeValue::Conflicting(vec![(Arc::default(), places[0])]),
        ..HostRecord::default()
    }
}

fn diagnostics() -> Vec<Diagnostic> {
    [
        DiagnosticEffect::Warning,
        DiagnosticEffect::AttributeUnknown,
        DiagnosticEffect::LineSkipped,
        DiagnosticEffect::FileRejected,
    ]
    .into_iter()
    .zip(4..)
    .map(|(effect, line)| Diagnostic {
        location: place(1, line, 0),
        key: "weight".into(),
        reason: format!("reason {line}"),
        effect,
    })
    .collect()
}

/// A host each: the order of several in a file is the map's.
fn versions() -> Vec<(&'static str, Version)> {
    vec![
        ("empty", Version { digest: String::new(), read_ms: 0, files: vec![], ..version(1, vec![]) }),
        ("silent", version(2, vec![("w01.kista.example.org", HostRecord::default())])),
        ("stated", version(3, vec![("w02.kista.example.org", stated_row())])),
        ("disputed", version(4, vec![("w03.kista.example.org", disputed_row())])),
        ("refusals", Version { diagnostics: diagnostics(), ..version(99_999_999_999, vec![]) }),
    ]
}

/// All in one, as a version in service is.
fn whole() -> Version {
    let rows = vec![
        ("w01.kista.example.org", HostRecord::default()),
        ("w02.kista.example.org", stated_row()),
        ("w03.kista.example.org", disputed_row()),
    ];
    Version { diagnostics: diagnostics(), ..version(12, rows) }
}

fn file_name(number: u64) -> String {
    format!("{NAME}-{number:08}.facts")
}

#[test]
fn each_kept_version_keeps_its_bytes() {
    let folder = tempfile::tempdir().expect("a writable folder");
    let archive = Archive::new(folder.path(), NAME, 10);
    let kept = |(name, version): (&'static str, Version)| {
        archive.keep(&version).expect("a writable folder");
        (name, fs::read(folder.path().join(file_name(version.number))).expect("a file of that name"))
    };
    golden::assert_bytes(FILE, &versions().into_iter().map(kept).collect::<Vec<_>>());
}

#[test]
fn committed_versions_are_read_as_the_same() {
    let folder = tempfile::tempdir().expect("a writable folder");
    let archive = Archive::new(folder.path(), NAME, 10);
    let committed = golden::read_bytes(FILE);
    assert_eq!(committed.len(), versions().len());
    for ((name, bytes), (wanted_name, wanted)) in committed.iter().zip(versions()) {
        assert_eq!(name, wanted_name);
        fs::write(folder.path().join(file_name(wanted.number)), bytes).expect("a writable folder");
        assert_eq!(archive.read(wanted.number).expect(name), wanted, "{name}");
    }
}

fn copied(from: &Path) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a writable folder");
    for entry in fs::read_dir(from).expect("the committed folder") {
        let entry = entry.expect("an entry");
        fs::copy(entry.path(), folder.path().join(entry.file_name())).expect("a writable folder");
    }
    folder
}

// Guards a start on a folder in service: versions of this and of another inventory, and one that is
// damaged, which is passed
// over and said.
#[test]
fn a_committed_folder_is_read_whole() {
    if golden::should_write() {
        let folder = golden::path(FOLDER);
        let _ = fs::remove_dir_all(&folder);
        let archive = Archive::new(&folder, NAME, 3);
        for number in [9, 10, 11, 12] {
            archive.keep(&Version { number, ..whole() }).expect("a writable folder");
        }
        Archive::new(&folder, "clubs-north", 3).keep(&version(7, vec![])).expect("a writable folder");
        let whole = fs::read(folder.join(file_name(12))).expect("a file");
        fs::write(folder.join(file_name(13)), &whole[..whole.len() - 1]).expect("a writable folder");
    }
    let folder = copied(&golden::path(FOLDER));
    let archive = Archive::new(folder.path(), NAME, 3);
    assert_eq!(archive.numbers(), [10, 11, 12, 13]);
    let mut broken = Vec::new();
    assert_eq!(archive.newest(|error| broken.push(error.to_string())), Some(whole()));
    let damaged = folder.path().join(file_name(13));
    assert_eq!(broken, [format!("{}: is damaged: its sum doesn't fit", damaged.display())]);
    for number in [10, 11, 12] {
        assert_eq!(archive.read(number).expect("whole"), Version { number, ..whole() });
    }
    let other = Archive::new(folder.path(), "clubs-north", 3);
    assert_eq!(other.read(7).expect("whole"), version(7, vec![]));
}

// Guards the operators' words on a file that can't be used.
#[test]
fn what_can_not_be_read_is_said_in_these_words() {
    let folder = tempfile::tempdir().expect("a writable folder");
    let archive = Archive::new(folder.path(), NAME, 10);
    let said = |bytes: &[u8]| {
        fs::write(folder.path().join(file_name(1)), bytes).expect("a writable folder");
        let error = archive.read(1).expect_err("it is broken");
        let path = folder.path().join(file_name(1));
        error.to_string().replace(&path.display().to_string(), "FILE")
    };
    let with_sum = |body: &[u8]| {
        let sum = xxhash_rust::xxh3::xxh3_64(body).to_le_bytes();
        [&b"spanlead-facts1\n"[..], &sum, body].concat()
    };
    let lines = [
        said(b""),
        said(b"spanlead-facts2\n"),
        said(b"spanlead-facts1\n1234567"),
        said(b"spanlead-facts1\n12345678rest"),
        said(&with_sum(b"")),
    ];
    let wanted = [
        "FILE: is no version of an inventory",
        "FILE: is no version of an inventory",
        "FILE: is cut off",
        "FILE: is damaged: its sum doesn't fit",
        "FILE: Hit the end of buffer, expected more data",
    ];
    assert_eq!(lines, wanted);
}
