//! Helpers for golden tests, which compare output byte by byte with committed files that earlier
//! versions produced. Other crates include this file by its path; each reads the files in its own
//! `tests/golden`. With `GOLDEN_WRITE=1` a run overwrites the files, which is meant only for a
//! deliberate change of the format.
use std::fs;
use std::path::PathBuf;

/// Returns the path of a golden file of the including crate.
pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Whether this run overwrites the golden files before it compares them.
pub fn should_write() -> bool {
    std::env::var_os("GOLDEN_WRITE").is_some_and(|value| value == "1")
}

/// Reads a golden file as text. Panics if that fails.
pub fn read(name: &str) -> String {
    fs::read_to_string(path(name)).unwrap_or_else(|error| panic!("golden file {name}: {error}"))
}

/// Asserts that `found` equals the text of a golden file.
pub fn assert_text(name: &str, found: &str) {
    if should_write() {
        fs::create_dir_all(path(name).parent().expect("the path has a parent"))
            .expect("a writable directory");
        fs::write(path(name), found).expect("a writable directory");
    }
    let expected = read(name);
    let first_difference = expected.lines().zip(found.lines()).position(|(a, b)| a != b);
    assert!(
        expected == found,
        "{name} differs, first at line index {first_difference:?}; expected:\n{expected}\nfound:\n{found}"
    );
}

/// Asserts that the named byte strings equal a golden file with a line `name<TAB>hex` for each, in
/// the same order.
pub fn assert_bytes(name: &str, found: &[(&str, Vec<u8>)]) {
    let line = |(name, bytes): &(&str, Vec<u8>)| format!("{name}\t{}\n", encode_hex(bytes));
    assert_text(name, &found.iter().map(line).collect::<String>());
}

/// Reads the named byte strings of a golden file, in the order of its lines.
pub fn read_bytes(name: &str) -> Vec<(String, Vec<u8>)> {
    let line = |line: &str| {
        let (name, hex) = line.split_once('\t').expect("name<TAB>hex");
        (name.to_owned(), decode_hex(hex))
    };
    read(name).lines().map(line).collect()
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Vec<u8> {
    assert!(text.len().is_multiple_of(2), "odd number of hex digits: {}", text.len());
    let byte_at = |index: usize| u8::from_str_radix(&text[index..index + 2], 16).expect("hex digits");
    (0..text.len()).step_by(2).map(byte_at).collect()
}
