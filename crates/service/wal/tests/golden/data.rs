//! Golden data: what earlier versions wrote and say, byte by byte. Other crates include this file
//! by its path, and each reads the data in its own `tests/golden`. Normal runs only compare;
//! `GOLDEN_WRITE=1` writes the data anew, which only a deliberate change of the form may do.
use std::fs;
use std::path::PathBuf;

/// Where the golden data of this crate lies.
pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Whether this run writes golden data in place of comparing.
pub fn should_write() -> bool {
    std::env::var_os("GOLDEN_WRITE").is_some_and(|value| value == "1")
}

/// A golden file's text; a missing file fails the test.
pub fn read(name: &str) -> String {
    fs::read_to_string(path(name)).unwrap_or_else(|error| panic!("golden file {name}: {error}"))
}

/// Compares a whole text.
pub fn assert_text(name: &str, found: &str) {
    if should_write() {
        fs::create_dir_all(path(name).parent().expect("a folder")).expect("a writable folder");
        fs::write(path(name), found).expect("a writable folder");
    }
    let wanted = read(name);
    let differs = wanted.lines().zip(found.lines()).position(|(a, b)| a != b);
    assert!(wanted == found, "{name} differs, first in line {differs:?}; wanted:\n{wanted}\nfound:\n{found}");
}

/// Compares bytes by name, a line each as `name<TAB>hex`: no line may be missing, added or moved.
pub fn assert_bytes(name: &str, found: &[(&str, Vec<u8>)]) {
    let line = |(name, bytes): &(&str, Vec<u8>)| format!("{name}\t{}\n", hex(bytes));
    assert_text(name, &found.iter().map(line).collect::<String>());
}

/// The committed bytes by name, in their order.
pub fn read_bytes(name: &str) -> Vec<(String, Vec<u8>)> {
    let line = |line: &str| {
        let (name, hex) = line.split_once('\t').expect("name<TAB>hex");
        (name.to_owned(), unhex(hex))
    };
    read(name).lines().map(line).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    assert!(text.len().is_multiple_of(2), "an odd number of digits");
    let pair = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits");
    (0..text.len()).step_by(2).map(pair).collect()
}
