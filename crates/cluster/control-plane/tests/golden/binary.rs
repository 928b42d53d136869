//! The binaries of the two programs.
//!
//! Cargo names only a package's own binaries to its tests. The data plane's lies beside the control
//! plane's: a test run of
//! the workspace builds both. Where only this package is tested it may be missing or old; cargo is
//! then asked to build it.
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::SystemTime;

const DATA_PLANE: &str = "spanlead-data-plane";

/// The control plane's program.
pub fn control_plane() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_spanlead-control-plane"))
}

/// The data plane's program, of the sources as they are.
pub fn data_plane() -> PathBuf {
    let own = control_plane();
    let folder = own.parent().expect("a folder of the profile");
    let binary = folder.join(format!("{DATA_PLANE}{}", std::env::consts::EXE_SUFFIX));
    if modified(&binary).is_none_or(|built| built < newest_source()) {
        build(folder);
    }
    assert!(binary.is_file(), "{} is missing", binary.display());
    binary
}

/// When a source of the workspace's programs was changed last. Cargo's own note beside the binary
/// names exactly its
/// sources, but `cargo test` does not renew it.
fn newest_source() -> SystemTime {
    let packages = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let workspace = packages.join("..");
    let mut newest = modified(&workspace.join("Cargo.lock")).expect("a lock file");
    let mut folders = vec![packages];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).expect("a folder").flatten() {
            let path = entry.path();
            if path.is_dir() {
                folders.extend((entry.file_name() != "tests").then_some(path));
            } else if is_source(&path) {
                newest = newest.max(modified(&path).expect("a source"));
            }
        }
    }
    newest
}

fn is_source(file: &Path) -> bool {
    file.extension().is_some_and(|extension| extension == "rs" || extension == "toml")
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
