//! The operators' program: runs a trial of a whole system, and calls a control plane.
//!
//! The comments of commands and options are the texts of `--help`.
#![warn(clippy::wildcard_imports, clippy::match_bool, clippy::too_many_lines)]

use async_std::task;
use clap::{Parser, Subcommand};
use http_types::Method;
use spanlead_cluster_config::{Configuration, ConfigurationError};
use spanlead_cluster_testbed::http_client::{CallError, HttpRequest, HttpResponse, call_control_plane};
use spanlead_cluster_testbed::process_control::TrialError;
use spanlead_cluster_testbed::soak::{self, SoakOptions};
use spanlead_cluster_testbed::trial::run;
use spanlead_cluster_testbed::trial_options::TrialOptions;
use std::fmt::Display;
use std::path::{Path, PathBuf};
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
    /// Runs the whole system on loopback addresses among stand-ins, troubles it, and judges the
    /// rules.
    Try(TrialOptions),
    /// Runs the whole system among clients that keep their connections, with signals, restarts,
    /// crashes and changes in series that overlap, and judges the rules.
    Soak(SoakOptions),
    /// Who belongs to the control plane, who is primary, and how far each is.
    Members(ControlPlaneAddress),
    /// The workers, with their room and what runs there.
    Workers(ControlPlaneAddress),
    /// A job: its tasks, where they run, and what waits.
    Job {
        #[command(flatten)]
        control_plane: ControlPlaneAddress,
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
    Show(ControlPlaneAddress),
    /// Reads a file and tells all that is wrong with it.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Puts a file in force.
    Put {
        #[command(flatten)]
        control_plane: ControlPlaneAddress,
        /// The file.
        file: PathBuf,
        /// The version that it builds on.
        #[arg(long)]
        base: u64,
    },
}

/// Where the control plane is asked.
#[derive(clap::Args)]
struct ControlPlaneAddress {
    /// The control address of any of its machines.
    #[arg(long = "at", value_name = "AT")]
    address: String,
}

/// The exit status if a rule was broken, or a call was rejected.
const EXIT_REJECTED: u8 = 1;
/// The exit status if a command could not be carried out.
const EXIT_ERROR: u8 = 2;

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Try(options) => print_verdict(run(&options)),
        Command::Soak(options) => print_verdict(soak::run(&options)),
        Command::Members(control_plane) => get(&control_plane, "/status/members"),
        Command::Workers(control_plane) => get(&control_plane, "/status/workers"),
        Command::Job { control_plane, id } => get(&control_plane, &format!("/status/jobs/{id}")),
        Command::Config(ConfigCommand::Show(control_plane)) => get(&control_plane, "/config/get"),
        Command::Config(ConfigCommand::Check { file }) => check_configuration(&file),
        Command::Config(ConfigCommand::Put { control_plane, file, base }) => {
            replace_configuration(&control_plane, &file, base)
        }
    }
}

fn print_verdict(verdict: Result<bool, TrialError>) -> ExitCode {
    match verdict {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_REJECTED),
        Err(error) => print_error(&error),
    }
}

fn print_error(error: &dyn Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(EXIT_ERROR)
}

fn get(control_plane: &ControlPlaneAddress, path: &str) -> ExitCode {
    let request = HttpRequest { method: Method::Get, host: None, path, headers: &[], body: None };
    print_response(task::block_on(call_control_plane(&control_plane.address, &request)))
}

fn print_response(response: Result<HttpResponse, CallError>) -> ExitCode {
    match response {
        Ok(response) if response.status == 200 => {
            println!("{}", response.body);
            ExitCode::SUCCESS
        }
        Ok(response) => {
            eprintln!("{}: {}", response.status, response.body);
            ExitCode::from(EXIT_REJECTED)
        }
        Err(error) => print_error(&error),
    }
}

fn check_configuration(file: &Path) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return print_error(&format!("{}: {error}", file.display())),
    };
    match Configuration::parse(&text) {
        Ok(configuration) => {
            println!("version {}: {} routes are good", configuration.version, configuration.routes.len());
            ExitCode::SUCCESS
        }
        Err(ConfigurationError::Invalid(faults)) => {
            for fault in faults {
                eprintln!("{}: {fault}", file.display());
            }
            ExitCode::from(EXIT_ERROR)
        }
        Err(error) => print_error(&format!("{}: {error}", file.display())),
    }
}

fn replace_configuration(control_plane: &ControlPlaneAddress, file: &Path, base: u64) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return print_error(&format!("{}: {error}", file.display())),
    };
    let headers = [("Spanlead-Base-Version", base.to_string())];
    let request = HttpRequest {
        method: Method::Post,
        host: None,
        path: "/config/replace",
        headers: &headers,
        body: Some(text),
    };
    print_response(task::block_on(call_control_plane(&control_plane.address, &request)))
}
