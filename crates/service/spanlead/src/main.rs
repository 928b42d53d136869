//! The scheduler beside a client process: the balancing policy's decisions on sockets.
mod config;
mod driver;
mod durable_log;
mod inventory;
mod ledger_command;
mod members_command;
mod operator_client;
mod tier;
mod trial;

use clap::{Args, Parser, Subcommand};
use config::Config;
use spanlead_conf_file::{Conf, Format, Level};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::filter::LevelFilter;

/// A job scheduler: takes jobs from clients, picks a worker for each, and gives every client one final answer, in time. What the
/// deployment is like it reads from the settings.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve as one scheduler, as the environment and the configuration file say.
    Serve(Settings),
    /// Read and check the configuration, say what it means, and end.
    Check(Settings),
    /// Try it: starts workers, discovery, clients and one scheduler on this machine, needs no configuration, and ends with a
    /// table of what came of it.
    Try(trial::Trial),
    /// Look at a ledger's folder at rest, or compact it.
    #[command(subcommand)]
    Ledger(LedgerCommand),
    /// Check, show, compare and convert inventories, or look at those of a serving scheduler.
    #[command(subcommand)]
    Inventory(inventory::InventoryCommand),
    /// Show the schedulers as one of them sees them.
    Members {
        /// A serving scheduler's operators' door.
        #[arg(long, value_name = "ADDRESS")]
        at: std::net::SocketAddr,
        /// As JSON, as the door gives it.
        #[arg(long)]
        json: bool,
    },
    /// Show who holds which duty, as one scheduler knows it.
    Duties {
        /// A serving scheduler's operators' door.
        #[arg(long, value_name = "ADDRESS")]
        at: std::net::SocketAddr,
        /// Give this one back, if that scheduler holds it.
        #[arg(long, value_name = "NAME")]
        release: Option<String>,
    },
    /// Print the version.
    Version,
}

#[derive(Args)]
struct Settings {
    /// The operators' own settings.
    #[arg(long, value_name = "FILE")]
    conf: Option<PathBuf>,
}

#[derive(Subcommand)]
enum LedgerCommand {
    /// Show the jobs in a folder as a table.
    Show {
        folder: PathBuf,
        /// Only those without an end.
        #[arg(long)]
        open: bool,
        /// Only those of this Idempotency-Key.
        #[arg(long)]
        key: Option<String>,
    },
    /// Read a folder whole and say whether a process could start on it.
    Verify { folder: PathBuf },
    /// Write all records as lines of JSON.
    Export {
        folder: PathBuf,
        /// The jobs that the records add up to, instead.
        #[arg(long)]
        jobs: bool,
    },
    /// Write what is still needed anew and remove the rest.
    Compact {
        folder: PathBuf,
        /// How long ended jobs are kept, as `keep` in the settings.
        #[arg(long, default_value = "120s", value_parser = humantime::parse_duration)]
        keep: std::time::Duration,
    },
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Serve(settings) => serve(&settings),
        Command::Check(settings) => check(&settings),
        Command::Try(trial) => trial.run(),
        Command::Ledger(LedgerCommand::Show { folder, open, key }) => {
            ledger_command::show(&folder, open, key.as_deref()).map_err(Into::into)
        }
        Command::Ledger(LedgerCommand::Verify { folder }) => {
            ledger_command::verify(&folder).map_err(Into::into)
        }
        Command::Ledger(LedgerCommand::Export { folder, jobs }) => {
            ledger_command::export(&folder, jobs).map_err(Into::into)
        }
        Command::Ledger(LedgerCommand::Compact { folder, keep }) => {
            ledger_command::compact(&folder, keep).map_err(Into::into)
        }
        Command::Inventory(command) => command.run(),
        Command::Duties { at, release } => {
            members_command::show_roles(at, release.as_deref()).map_err(Into::into)
        }
        Command::Members { at, json } => members_command::show_members(at, json).map_err(Into::into),
        Command::Version => {
            println!("spanlead {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("spanlead: {error}");
            ExitCode::FAILURE
        }
    }
}

type Failure = Box<dyn std::error::Error>;

impl Settings {
    fn read(&self) -> Result<Conf, Failure> {
        let conf = self.conf.as_deref().map(spanlead_conf_file::read).transpose();
        Ok(conf.map_err(|errors| format!("the settings can't be used:\n{errors}"))?.unwrap_or_default())
    }
}

/// The log goes to standard error, as the operators want it.
fn log(log: &spanlead_conf_file::Log) {
    let level = match log.level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
    };
    let lines = tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false);
    match log.format {
        Format::Text => lines.init(),
        Format::Json => lines.json().init(),
    }
}

fn serve(settings: &Settings) -> Result<(), Failure> {
    let conf = settings.read()?;
    log(&conf.log);
    let config = Config::from_environment()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(driver::serve(config, conf))?)
}

fn check(settings: &Settings) -> Result<(), Failure> {
    let conf = settings.read()?;
    let config = Config::from_environment()?;
    let names = &config.deployment.names;
    println!("name       {}", config.name);
    println!("listen     {}", config.listen);
    println!("discovery  {}", config.discovery);
    println!("workers    {} known", config.known.len());
    println!("classes    {}", names.classes.join(", "));
    println!("tenants    {}", names.tenants.join(", "));
    println!("zones      {}", names.zones.join(", "));
    println!("kinds      {}", names.kinds.join(", "));
    let capacity = config.capacity;
    println!(
        "clients    {} connections, {} requests at a time",
        capacity.client_connections, capacity.open_requests
    );
    println!("to workers {} connections", capacity.worker_connections);
    for inventory in &conf.inventories {
        println!("inventory  {} from {}", inventory.name, inventory.file.display());
    }
    if let Some(membership) = &conf.membership {
        let members = config.membership(membership)?.settings;
        let bounds = spanlead_membership::SuspicionThresholds::for_tier(
            members.member_count,
            members.fanout,
            members.tolerated_loss,
        );
        let dead = humantime::format_duration(membership.every * bounds.dead_after_periods);
        println!(
            "members    {} schedulers, this is {}; one is dead after {dead}",
            members.member_count, members.own_number
        );
        let sets = Config::quorum_sets(&conf.leases, members.member_count)?;
        if sets.joint_schedulers > 0 {
            println!(
                "duties     by majorities of {} and of the first {}: the set is being changed",
                sets.schedulers, sets.joint_schedulers
            );
        }
    }
    if let Some(ledger) = conf.ledger {
        let show = humantime::format_duration;
        println!("ledger     {}, leases of {}", ledger.folder.display(), show(ledger.lease));
    }
    Ok(())
}
