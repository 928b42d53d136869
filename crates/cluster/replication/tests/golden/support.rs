//! Golden files: what was written by the code before a change, compared with what the code writes
//! now.
//!
//! A golden file of bytes has one `name<TAB>hex` a line. With `GOLDEN_WRITE=1` in the environment
//! the files are written
//! instead of compared (run with `--test-threads=1`, since tests share files); that is for new
//! examples only, the expected
//! data of existing ones never changes.
#![allow(dead_code, reason = "each crate's golden test uses a part of it")]
use std::path::PathBuf;

/// The variable that makes a run write the golden files.
const WRITE_VARIABLE: &str = "GOLDEN_WRITE";

/// An example with its bytes.
pub type NamedBytes = (&'static str, Vec<u8>);

/// Where a golden file of the crate under test lies.
pub fn golden_path(file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file)
}

/// Whether this run writes golden files.
pub fn is_updating_golden_files() -> bool {
    std::env::var(WRITE_VARIABLE).is_ok_and(|value| value == "1")
}

/// Compares the bytes of all examples of a file: names, order, number and each byte must be the
/// same.
pub fn compare_bytes(file: &str, actual: &[NamedBytes]) {
    let lines = actual.iter().map(|(name, bytes)| format!("{name}\t{}\n", to_hex(bytes)));
    if is_updating_golden_files() {
        return write(file, &lines.collect::<String>());
    }
    let expected = read_bytes(file);
    let names =
        |entries: &[(String, Vec<u8>)]| entries.iter().map(|(name, _)| name.clone()).collect::<Vec<_>>();
    let actual: Vec<(String, Vec<u8>)> =
        actual.iter().map(|(name, bytes)| ((*name).to_owned(), bytes.clone())).collect();
    assert_eq!(names(&actual), names(&expected), "{file}: other examples than the golden ones");
    for ((name, actual), (_, expected)) in actual.iter().zip(&expected) {
        assert!(!expected.is_empty(), "{file}: {name} is empty");
        assert_eq!(to_hex(actual), to_hex(expected), "{file}: the bytes of {name} have changed");
    }
}

/// The bytes of all examples of a file.
pub fn read_bytes(file: &str) -> Vec<(String, Vec<u8>)> {
    let line = |line: &str| {
        let (name, hex) = line.split_once('\t').unwrap_or_else(|| panic!("{file}: no tab in {line:?}"));
        (name.to_owned(), from_hex(hex))
    };
    read_text(file).lines().map(line).collect()
}

/// The bytes of one example of a file.
pub fn read_example(file: &str, name: &str) -> Vec<u8> {
    let found = read_bytes(file).into_iter().find(|(other, _)| other == name);
    found.unwrap_or_else(|| panic!("{file}: {name} is missing")).1
}

/// Compares a text with a golden file, exactly.
pub fn compare_text(file: &str, actual: &str) {
    if is_updating_golden_files() {
        return write(file, actual);
    }
    assert_eq!(actual, read_text(file), "{file}: the text has changed");
}

/// A golden file's text.
pub fn read_text(file: &str) -> String {
    std::fs::read_to_string(golden_path(file)).unwrap_or_else(|error| panic!("{file}: {error}"))
}

fn write(file: &str, text: &str) {
    let path = golden_path(file);
    std::fs::create_dir_all(path.parent().expect("a folder")).expect("made");
    std::fs::write(path, text).expect("written");
}

/// Bytes as hex digits.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Hex digits as bytes.
pub fn from_hex(hex: &str) -> Vec<u8> {
    assert!(hex.len().is_multiple_of(2), "an odd number of hex digits");
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex digits"))
        .collect()
}
