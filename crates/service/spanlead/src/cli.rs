//! The command line.
use crate::inventory_command::InventoryCommand;
use crate::trial_command::Trial;
use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A job scheduler: takes jobs from clients, picks a worker for each, and gives every client one
/// final answer, in time. What the deployment is like it reads from the settings.
#[derive(Parser)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Serve as one scheduler, as the environment and the configuration file say.
    Serve(ConfArgs),
    /// Read and check the configuration, say what it means, and end.
    Check(ConfArgs),
    /// Try it: starts workers, discovery, clients and one scheduler on this machine, needs no
    /// configuration, and ends with a table of what came of it.
    Try(Trial),
    /// Look at a ledger's folder at rest, or compact it.
    #[command(subcommand)]
    Ledger(LedgerCommand),
    /// Check, show, compare and convert inventories, or look at those of a serving scheduler.
    #[command(subcommand)]
    Inventory(InventoryCommand),
    /// Show the schedulers as one of them sees them.
    Members {
        /// A serving scheduler's operators' door.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// As JSON, as the door gives it.
        #[arg(long)]
        json: bool,
    },
    /// Show who holds which duty, as one scheduler knows it.
    Duties {
        /// A serving scheduler's operators' door.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// Give this one back, if that scheduler holds it.
        #[arg(long, value_name = "NAME")]
        release: Option<String>,
    },
    /// Print the version.
    Version,
}

#[derive(Args)]
pub(crate) struct ConfArgs {
    /// The operators' own settings.
    #[arg(long, value_name = "FILE")]
    pub(crate) conf: Option<PathBuf>,
}

#[derive(Subcommand)]
pub(crate) enum LedgerCommand {
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
        keep: Duration,
    },
}
