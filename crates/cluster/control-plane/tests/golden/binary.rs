//! Paths of the binaries of the control plane and the data plane.
//!
//! Cargo passes a test only the paths of its own package's binaries. The data plane's binary is in
//! the same folder as the control plane's: a test run of the workspace builds both. When only this
//! package is tested, it may be missing or out of date; [`data_plane`] then builds it with Cargo.
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::SystemTime;

const DATA_PLANE: &str = "spanlead-data-plane";

/// Returns the path of the control plane's binary.
pub fn control_plane() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_spanlead-control-plane"))
}

/// Returns the path of the data plane's binary. Builds it if it is missing or older than a source.
pub fn data_plane() -> PathBuf {
    let control_plane = control_plane();
    let folder = control_plane.parent().expect("the folder of the build profile");
    let binary = folder.join(format!("{DATA_PLANE}{}", std::env::consts::EXE_SUFFIX));
    if modified_at(&binary).is_none_or(|built_at| built_at < newest_source_modified_at()) {
        build(folder);
    }
    assert!(binary.is_file(), "{} is missing", binary.display());
    binary
}

/// Returns the latest modification time of a source in the workspace. Cargo's dependency file
/// beside the binary lists exactly its sources, but `cargo test` does not update that file.
fn newest_source_modified_at() -> SystemTime {
    let packages = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let workspace = packages.join("..");
    let mut newest = modified_at(&workspace.join("Cargo.lock")).expect("Cargo.lock exists");
    let mut folders = vec![packages];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).expect("a readable folder").flatten() {
            let path = entry.path();
            if path.is_dir() {
                folders.extend((entry.file_name() != "tests").then_some(path));
            } else if is_source(&path) {
                newest = newest.max(modified_at(&path).expect("the source exists"));
            }
        }
    }
    newest
}

/// Whether a file is Rust source or a manifest.
fn is_source(file: &Path) -> bool {
    file.extension().is_some_and(|extension| extension == "rs" || extension == "toml")
}

/// Returns a file's modification time; `None` if it does not exist.
fn modified_at(file: &Path) -> Option<SystemTime> {
    fs::metadata(file).ok()?.modified().ok()
}

/// Builds the data plane in the build profile and target folder of this test.
fn build(folder: &Path) {
    let profile = match folder.file_name().and_then(|name| name.to_str()).expect("a build profile") {
        "debug" => "dev",
        other => other,
    };
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let status = Command::new(cargo)
        .args(["build", "--quiet", "--locked", "--package", DATA_PLANE, "--profile", profile])
        .arg("--target-dir")
        .arg(folder.parent().expect("the target folder"))
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .status()
        .expect("cargo runs");
    assert!(status.success(), "cargo build of {DATA_PLANE} failed: {status}");
}
