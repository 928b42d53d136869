//! The options of `spanlead inventory`.
use clap::{Args, Subcommand, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;

/// What is done with inventories.
#[derive(Subcommand)]
pub(crate) enum InventoryCommand {
    /// Read files and say what is wrong with them, line by line. Fails if a line, a fact or a file
    /// is refused.
    Check {
        #[command(flatten)]
        selection: SelectionArgs,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Show what is known of hosts, and by whose word.
    Show {
        /// Only this host.
        host: Option<String>,
        #[command(flatten)]
        selection: SelectionArgs,
        #[command(flatten)]
        live: LiveArgs,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Compare files with the live list: hosts that only one of them names, and facts on which they
    /// differ.
    Report {
        #[command(flatten)]
        selection: SelectionArgs,
        #[command(flatten)]
        live: LiveArgs,
        /// As JSON.
        #[arg(long)]
        json: bool,
        /// The most findings that are shown.
        #[arg(long, default_value_t = 1000)]
        most: usize,
    },
    /// Show what differs between two files, or between two kept versions (`--kept 3 4`).
    Diff {
        /// The old file.
        old: Option<PathBuf>,
        /// The new one.
        new: Option<PathBuf>,
        /// Two kept versions instead, by their numbers; the inventory is named by `--conf` and
        /// `--name`.
        #[arg(long, num_args = 2, value_names = ["OLD", "NEW"])]
        kept: Option<Vec<u64>>,
        #[command(flatten)]
        reading: ReadingArgs,
        #[command(flatten)]
        settings: SettingsArgs,
    },
    /// Write a file anew in another form. Facts in dispute and lines that are refused are left out.
    Convert {
        file: PathBuf,
        /// The form.
        #[arg(long, value_enum)]
        to: OutputForm,
        #[command(flatten)]
        reading: ReadingArgs,
    },
    /// Print the JSON Schema of a host's facts.
    Schema {
        #[command(flatten)]
        reading: ReadingArgs,
    },
    /// List the versions that are kept.
    History {
        #[command(flatten)]
        settings: SettingsArgs,
    },
    /// Let a serving scheduler use the version that it holds back.
    Accept {
        /// The inventory.
        name: String,
        /// How the version's digest begins, as the scheduler shows it.
        digest: String,
        /// The scheduler's door for operators.
        #[arg(long)]
        at: SocketAddr,
    },
}

/// The form to write.
#[derive(Clone, Copy, ValueEnum)]
pub(crate) enum OutputForm {
    /// A table.
    Csv,
    /// A list of hosts in YAML.
    Yaml,
    /// A JSON array.
    Json,
}

/// How a file is read that no settings name.
#[derive(Args, Clone)]
pub(crate) struct ReadingArgs {
    /// Its form; by its name's ending and its shape if not given.
    #[arg(long, value_parser = ["csv", "hosts", "ansible"])]
    pub(super) format: Option<String>,
    /// A column or key with another name: FACT=NAME, for `host`, a fact, or `label.NAME`.
    #[arg(long = "field", value_name = "FACT=NAME")]
    pub(super) fields: Vec<String>,
    /// The zones that there are; any, if not given.
    #[arg(long, value_delimiter = ',')]
    pub(super) zones: Vec<String>,
    /// The kinds of machine that there are; any, if not given.
    #[arg(long, value_delimiter = ',')]
    pub(super) kinds: Vec<String>,
}

/// Inventories that settings name.
#[derive(Args, Clone)]
pub(crate) struct SettingsArgs {
    /// The operators' settings.
    #[arg(long, value_name = "FILE")]
    pub(super) conf: Option<PathBuf>,
    /// Only this inventory of them.
    #[arg(long)]
    pub(super) name: Option<String>,
}

/// A file, or those that settings name.
#[derive(Args, Clone)]
pub(crate) struct SelectionArgs {
    /// A file that no settings name.
    #[arg(long)]
    pub(super) file: Option<PathBuf>,
    #[command(flatten)]
    pub(super) reading: ReadingArgs,
    #[command(flatten)]
    pub(super) settings: SettingsArgs,
}

/// Where the live list comes from.
#[derive(Args, Clone)]
pub(crate) struct LiveArgs {
    /// A scheduler's door for operators: its list, files and differences as they are there now.
    #[arg(long, conflicts_with = "list")]
    pub(super) at: Option<SocketAddr>,
    /// The list in a file, as discovery writes it. Without, the one in `$ROUTER_CONFIG`, if that is
    /// set.
    #[arg(long, value_name = "FILE")]
    pub(super) list: Option<PathBuf>,
}
