//! Startup shared by both programs: command line arguments, settings and logging.
use crate::logs;
use crate::settings::Settings;
use crate::signals;
use async_std::task;
use clap::{CommandFactory, FromArgMatches, Parser};
use log::LevelFilter;
use std::fmt::Display;
use std::future::Future;
use std::process::ExitCode;
use std::sync::mpsc::channel;

/// Exit status of a process that can't load its settings or can't run with them.
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

/// Runs a program until it ends and returns its exit status: parses the command line, loads the
/// settings, starts logging and calls `program`. With `--check` it only loads the settings. SIGHUP
/// has no effect on it.
///
/// `name` and `about` are the command's name and the first line of its help.
pub fn run<E: Display>(
    name: &'static str,
    about: &'static str,
    program: impl FnOnce(&Settings) -> Result<(), E>,
) -> ExitCode {
    signals::ignore_reload();
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

/// Runs a future to completion on the executor's threads while the calling thread blocks.
///
/// A thread in `block_on` would alternate with the executor's threads in polling the sockets, and
/// each alternation costs two context switches.
pub fn run_to_completion(future: impl Future<Output = ()> + Send + 'static) {
    let (completion_sender, completion) = channel();
    task::spawn(async move {
        future.await;
        let _ = completion_sender.send(());
    });
    let _ = completion.recv();
}
