//! The data plane's program.
use spanlead_cluster_runtime::program;
use std::process::ExitCode;

fn main() -> ExitCode {
    program::run(
        "spanlead-data-plane",
        "Takes clients' requests and hands them to the control plane.",
        spanlead_data_plane::run,
    )
}
