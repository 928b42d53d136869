//! The start that both programs share: arguments, settings, logs.
use crate::logs;
use crate::settings::Settings;
use async_std::task;
use clap::{CommandFactory, FromArgMatches, Parser};
use log::LevelFilter;
use std::fmt::Display;
use std::future::Future;
use std::process::ExitCode;
use std::sync::mpsc::channel;

/// The exit status of a process that can't run with its settings.
const UNUSABLE_SETTINGS_STATUS: u8 = 2;

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

/// Runs a program of this name until it ends.
///
/// `about` is the first line of its help.
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
            return ExitCode::from(UNUSABLE_SETTINGS_STATUS);
        }
    };
    if arguments.check {
        println!("{}: settings are good", settings.node);
        return ExitCode::SUCCESS;
    }
    logs::start(&settings.node, arguments.log);
    logs::exit_on_panic();
    match program(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::from(UNUSABLE_SETTINGS_STATUS)
        }
    }
}

/// Runs a future to its end on the executor's threads, while this thread only waits.
///
/// A thread in `block_on` would take turns with the executor's in waiting for sockets, and each
/// turn costs two switches between threads.
pub fn run_to_completion(future: impl Future<Output = ()> + Send + 'static) {
    let (ended, end) = channel();
    task::spawn(async move {
        future.await;
        let _ = ended.send(());
    });
    let _ = end.recv();
}
