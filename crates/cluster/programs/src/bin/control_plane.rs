//! The control plane's program.
use spanlead_cluster_programs::{control, program};
use std::process::ExitCode;

fn main() -> ExitCode {
    program::run(
        "spanlead-control-plane",
        "Keeps jobs and configuration, and orders the workers.",
        control::run,
    )
}
