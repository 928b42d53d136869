//! The program `spanlead-control-plane`.
use spanlead_cluster_runtime::program;
use std::process::ExitCode;

fn main() -> ExitCode {
    program::run(
        "spanlead-control-plane",
        "Schedules jobs on workers and manages the configuration.",
        spanlead_control_plane::run,
    )
}
