//! Signals to the real program while it starts.
mod process;

use process::{Process, start_control_plane};
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(10);
/// The bit of SIGHUP, signal 1, in the masks of `/proc/PID/status`.
const SIGHUP_BIT: u64 = 1;

/// Whether the process handles SIGHUP rather than being ended by it.
fn handles_sighup(process: &Process) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.0.id())).expect("Linux");
    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:")).expect("a mask");
    let mask = u64::from_str_radix(caught.trim(), 16).expect("a hexadecimal mask");
    mask & SIGHUP_BIT != 0
}

/// Guards against a fault that a soak found: a process that was starting, and waited for its disk,
/// was ended by SIGHUP.
#[test]
fn sighup_is_handled_before_the_data_folder_is_opened() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let process = start_control_plane(folder.path(), "127.0.10.1", 0);
    let data_file = folder.path().join("data").join("control.redb");
    let deadline = Instant::now() + START_TIMEOUT;
    while !data_file.exists() {
        assert!(Instant::now() < deadline, "the program does not open its data folder");
    }
    assert!(handles_sighup(&process), "SIGHUP ends a process that opens its data folder");
}
