//! The program `spanlead-data-plane`.
use spanlead_cluster_runtime::program;
use std::process::ExitCode;

fn main() -> ExitCode {
    program::run(
        "spanlead-data-plane",
        "Accepts client requests and forwards them to the primary of the control plane.",
        spanlead_data_plane::run,
    )
}
