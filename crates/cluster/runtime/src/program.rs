//! What both programs do first: arguments, settings, logs.
use crate::logs;
use crate::settings::Settings;
use clap::{CommandFactory, FromArgMatches, Parser};
use log::LevelFilter;
use std::fmt::Display;
use std::process::ExitCode;

/// The status of a process that can't run as it is set up.
const UNUSABLE: u8 = 2;

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

/// Runs a program of that name and purpose.
pub fn run<E: Display>(
    name: &'static str,
    about: &'static str,
    program: impl FnOnce(&Settings) -> Result<(), E>,
) -> ExitCode {
    let command = Arguments::command().name(name).about(about);
    let arguments = Arguments::from_arg_matches(&command.get_matches()).unwrap_or_else(|error| error.exit());
    let settings = match Settings::load() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(UNUSABLE);
        }
    };
    if arguments.check {
        println!("{}: settings are good", settings.node);
        return ExitCode::SUCCESS;
    }
    logs::start(&settings.node, arguments.log);
    match program(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::from(UNUSABLE)
        }
    }
}
