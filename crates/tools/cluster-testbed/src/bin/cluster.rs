//! The operators' program: tries a whole system out, and asks one that runs.
use async_std::task;
use clap::{Parser, Subcommand};
use http_types::Method;
use spanlead_cluster_config::{Configuration, ConfigurationError};
use spanlead_cluster_testbed::operate::control;
use spanlead_cluster_testbed::run::{TrialOptions, run};
use std::path::PathBuf;
use std::process::ExitCode;

/// Tries a whole system out, and asks one that runs.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the whole system on loopback addresses among stand-ins, troubles it, and judges the rules.
    Try(TrialOptions),
    /// Who belongs to the control plane, who is primary, and how far each is.
    Members(At),
    /// The workers, with their room and what runs there.
    Workers(At),
    /// A job: its tasks, where they run, and what waits.
    Job {
        #[command(flatten)]
        at: At,
        /// Its identifier, 16 hex digits.
        id: String,
    },
    /// The configuration.
    #[command(subcommand)]
    Config(ConfigCommand),
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Prints the one in force.
    Show(At),
    /// Reads a file and tells all that is wrong with it.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Puts a file in force.
    Put {
        #[command(flatten)]
        at: At,
        /// The file.
        file: PathBuf,
        /// The version that it builds on.
        #[arg(long)]
        base: u64,
    },
}

/// Where the control plane is asked.
#[derive(clap::Args)]
struct At {
    /// The control address of any of its machines.
    #[arg(long)]
    at: String,
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Try(options) => match run(&options) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::from(1),
            Err(error) => fault(&error),
        },
        Command::Members(at) => ask(&at, "/status/members"),
        Command::Workers(at) => ask(&at, "/status/workers"),
        Command::Job { at, id } => ask(&at, &format!("/status/jobs/{id}")),
        Command::Config(ConfigCommand::Show(at)) => ask(&at, "/config/get"),
        Command::Config(ConfigCommand::Check { file }) => check(&file),
        Command::Config(ConfigCommand::Put { at, file, base }) => put(&at, &file, base),
    }
}

fn fault(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(2)
}

fn ask(at: &At, path: &str) -> ExitCode {
    show(task::block_on(control(Method::Get, &at.at, path, &[], None)))
}

fn show(
    answer: Result<spanlead_cluster_testbed::operate::Answer, spanlead_cluster_testbed::operate::CallError>,
) -> ExitCode {
    match answer {
        Ok(answer) if answer.status == 200 => {
            println!("{}", answer.body);
            ExitCode::SUCCESS
        }
        Ok(answer) => {
            eprintln!("{}: {}", answer.status, answer.body);
            ExitCode::from(1)
        }
        Err(error) => fault(&error),
    }
}

fn check(file: &PathBuf) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return fault(&format!("{}: {error}", file.display())),
    };
    match Configuration::parse(&text) {
        Ok(configuration) => {
            println!("version {}: {} routes are good", configuration.version, configuration.routes.len());
            ExitCode::SUCCESS
        }
        Err(ConfigurationError::Invalid(faults)) => {
            faults.iter().for_each(|fault| eprintln!("{}: {fault}", file.display()));
            ExitCode::from(2)
        }
        Err(error) => fault(&format!("{}: {error}", file.display())),
    }
}

fn put(at: &At, file: &PathBuf, base: u64) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return fault(&format!("{}: {error}", file.display())),
    };
    let headers = [("Spanlead-Base-Version", base.to_string())];
    show(task::block_on(control(Method::Post, &at.at, "/config/replace", &headers, Some(text))))
}
