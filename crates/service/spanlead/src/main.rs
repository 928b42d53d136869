//! The scheduler beside a client process: the balancing policy's decisions on sockets.
//!
//! - `cli`: the command line;
//! - `config`: the configuration, read and checked;
//! - `driver`: a scheduler that serves;
//! - `durable_log`: opening the log of durable jobs for it;
//! - `check_command`, `inventory_command`, `ledger_command`, `members_command`, `trial_command`:
//!   the other commands;
//! - `operator_client`: calls at a scheduler that serves.
#![warn(
    missing_docs,
    unreachable_pub,
    clippy::wildcard_imports,
    clippy::match_bool,
    clippy::too_many_lines,
    clippy::too_many_arguments
)]
mod check_command;
mod cli;
mod config;
mod driver;
mod durable_log;
mod inventory_command;
mod ledger_command;
mod members_command;
mod operator_client;
mod trial_command;

use clap::Parser;
use cli::{Cli, Command, ConfArgs, LedgerCommand};
use config::Config;
use spanlead_conf_file::{ConfFile, LogFormat, LogLevel, LogSettings};
use std::error::Error;
use std::process::ExitCode;
use tracing_subscriber::filter::LevelFilter;

type Failure = Box<dyn Error>;

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("spanlead: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), Failure> {
    match command {
        Command::Serve(args) => serve(&args)?,
        Command::Check(args) => {
            let conf = read_conf(&args)?;
            check_command::print_config(&Config::from_environment()?, &conf)?;
        }
        Command::Try(trial) => trial.run()?,
        Command::Ledger(command) => run_ledger_command(command)?,
        Command::Inventory(command) => command.run()?,
        Command::Duties { at, release } => members_command::show_roles(at, release.as_deref())?,
        Command::Members { at, json } => members_command::show_members(at, json)?,
        Command::Version => println!("spanlead {}", env!("CARGO_PKG_VERSION")),
    }
    Ok(())
}

fn run_ledger_command(command: LedgerCommand) -> Result<(), Failure> {
    match command {
        LedgerCommand::Show { folder, open, key } => ledger_command::show(&folder, open, key.as_deref())?,
        LedgerCommand::Verify { folder } => ledger_command::verify(&folder)?,
        LedgerCommand::Export { folder, jobs } => ledger_command::export(&folder, jobs)?,
        LedgerCommand::Compact { folder, keep } => ledger_command::compact(&folder, keep)?,
    }
    Ok(())
}

/// The operators' settings; defaults if there is no file.
fn read_conf(args: &ConfArgs) -> Result<ConfFile, Failure> {
    let conf = args.conf.as_deref().map(spanlead_conf_file::read).transpose();
    let conf = conf.map_err(|errors| format!("the settings can't be used:\n{errors}"))?;
    Ok(conf.unwrap_or_default())
}

/// The log goes to standard error, as the operators want it.
fn start_log(log: &LogSettings) {
    let level = match log.level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
    };
    let lines = tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false);
    match log.format {
        LogFormat::Text => lines.init(),
        LogFormat::Json => lines.json().init(),
    }
}

fn serve(args: &ConfArgs) -> Result<(), Failure> {
    let conf = read_conf(args)?;
    start_log(&conf.log);
    let config = Config::from_environment()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(driver::serve(config, conf))?;
    Ok(())
}
