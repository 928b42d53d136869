//! Golden files: stored outputs of earlier versions, which are compared with the current output.
//!
//! A golden file of bytes has one `name<TAB>hex` per line. With `GOLDEN_WRITE=1` in the environment
//! the files are written instead of compared (run with `--test-threads=1`, since tests share
//! files). That is for new examples only: the expected data of existing examples never changes.
#![allow(dead_code, reason = "each golden test uses only a part of this module")]
use std::path::PathBuf;

/// The environment variable that makes a test run write the golden files.
const WRITE_VARIABLE: &str = "GOLDEN_WRITE";

/// The name of an example and its encoded bytes.
pub type NamedBytes = (&'static str, Vec<u8>);

/// The path of a golden file of the crate under test.
pub fn golden_path(file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file)
}

/// Whether this test run writes the golden files instead of comparing them.
pub fn is_updating_golden_files() -> bool {
    std::env::var(WRITE_VARIABLE).is_ok_and(|value| value == "1")
}

/// Compares all examples with those of a golden file: names, order and bytes must be equal.
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
    assert_eq!(
        names(&actual),
        names(&expected),
        "{file}: the names of the examples differ from the golden file"
    );
    for ((name, actual), (_, expected)) in actual.iter().zip(&expected) {
        assert!(!expected.is_empty(), "{file}: golden example {name} has no bytes");
        assert_eq!(to_hex(actual), to_hex(expected), "{file}: the bytes of {name} have changed");
    }
}

/// The names and bytes of all examples of a golden file.
pub fn read_bytes(file: &str) -> Vec<(String, Vec<u8>)> {
    let line = |line: &str| {
        let (name, hex) = line
            .split_once('\t')
            .unwrap_or_else(|| panic!("{file}: expected `name<TAB>hex`, found {line:?}"));
        (name.to_owned(), from_hex(hex))
    };
    read_text(file).lines().map(line).collect()
}

/// The bytes of one example of a golden file.
pub fn read_example(file: &str, name: &str) -> Vec<u8> {
    let found = read_bytes(file).into_iter().find(|(other, _)| other == name);
    found.unwrap_or_else(|| panic!("{file}: example {name} is missing")).1
}

/// Compares a text with a golden file; they must be equal.
pub fn compare_text(file: &str, actual: &str) {
    if is_updating_golden_files() {
        return write(file, actual);
    }
    assert_eq!(actual, read_text(file), "{file}: the text differs from the golden file");
}

/// The contents of a golden file of text.
pub fn read_text(file: &str) -> String {
    std::fs::read_to_string(golden_path(file)).unwrap_or_else(|error| panic!("{file}: {error}"))
}

fn write(file: &str, text: &str) {
    let path = golden_path(file);
    std::fs::create_dir_all(path.parent().expect("a parent directory")).expect("directory created");
    std::fs::write(path, text).expect("golden file written");
}

/// Encodes bytes as lower-case hex digits.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hex digits.
pub fn from_hex(hex: &str) -> Vec<u8> {
    assert!(hex.len().is_multiple_of(2), "expected an even number of hex digits, found {}", hex.len());
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hex digits"))
        .collect()
}
