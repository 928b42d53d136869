//! The data plane's program.
use clap::Parser;
use log::LevelFilter;
use spanlead_cluster::{data, logs, settings::Settings};
use std::process::ExitCode;

/// Takes clients' requests and hands them to the control plane.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// How much is logged: off, error, warn, info, debug or trace.
    #[arg(long, default_value = "info")]
    log: LevelFilter,
    /// Reads the settings file, says what is wrong with it, and ends.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let settings = match Settings::load() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    if arguments.check {
        println!("{}: settings are good", settings.node);
        return ExitCode::SUCCESS;
    }
    logs::start(&settings.node, arguments.log);
    match data::run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::from(2)
        }
    }
}
