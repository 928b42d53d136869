//! The control plane's program.
use spanlead_cluster_runtime::program;
use std::process::ExitCode;

fn main() -> ExitCode {
    program::run(
        "spanlead-control-plane",
        "Keeps jobs and configuration, and orders the workers.",
        spanlead_control_plane::run,
    )
}
