//! The binaries of the two programs.
//!
//! Cargo names only a package's own binaries to its tests. The data plane's lies beside the control plane's: a test run of
//! the workspace builds both. Where only this package is tested it may be missing or old, and is then built first.
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::SystemTime;

const DATA_PLANE: &str = "spanlead-data-plane";

/// The control plane's program.
pub fn control_plane() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_spanlead-control-plane"))
}

/// The data plane's program, built from the sources as they are.
pub fn data_plane() -> PathBuf {
    let own = control_plane();
    let folder = own.parent().expect("a folder of the profile");
    let binary = folder.join(format!("{DATA_PLANE}{}", std::env::consts::EXE_SUFFIX));
    if !is_current(&binary) {
        build(folder);
    }
    assert!(is_current(&binary), "{} is missing or older than its sources", binary.display());
    binary
}

/// Whether the binary is there and no older than the sources that cargo noted beside it.
fn is_current(binary: &Path) -> bool {
    let (Some(built), Ok(noted)) = (modified(binary), fs::read_to_string(binary.with_extension("d"))) else {
        return false;
    };
    let Some((_, sources)) = noted.trim_end().split_once(": ") else { return false };
    sources.split(' ').all(|source| modified(Path::new(source)).is_some_and(|changed| changed <= built))
}

fn modified(file: &Path) -> Option<SystemTime> {
    fs::metadata(file).ok()?.modified().ok()
}

/// Builds the data plane in the profile and the target folder of this test.
fn build(folder: &Path) {
    let profile = match folder.file_name().and_then(|name| name.to_str()).expect("a profile") {
        "debug" => "dev",
        other => other,
    };
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let built = Command::new(cargo)
        .args(["build", "--quiet", "--locked", "--package", DATA_PLANE, "--profile", profile])
        .arg("--target-dir")
        .arg(folder.parent().expect("a target folder"))
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .status()
        .expect("cargo runs");
    assert!(built.success(), "{DATA_PLANE} is not built");
}
