//! The data plane's program.
use spanlead_cluster_programs::{data, program};
use std::process::ExitCode;

fn main() -> ExitCode {
    program::run(
        "spanlead-data-plane",
        "Takes clients' requests and hands them to the control plane.",
        data::run,
    )
}
