//! The options of a soak. Their comments are the texts of `spanlead-cluster soak --help`.
use crate::deployment_form::DeploymentForm;
use clap::Args;
use std::path::PathBuf;

/// What a soak is like.
#[derive(Args, Clone, Debug)]
pub struct SoakOptions {
    /// Seconds for which clients send requests.
    #[arg(long, default_value_t = 40)]
    pub seconds: u64,
    /// Clients, each with one connection that it keeps.
    #[arg(long, default_value_t = 24)]
    pub clients: usize,
    /// Machines of the control plane: 2f + 1 bear the loss of f.
    #[arg(long, default_value_t = 3)]
    pub control: usize,
    /// Machines of the data plane.
    #[arg(long, default_value_t = 4)]
    pub data: usize,
    /// Workers.
    #[arg(long, default_value_t = 12)]
    pub workers: usize,
    /// The bounds of the platform and the jobs of the clients.
    #[arg(long, value_enum, default_value_t)]
    pub form: DeploymentForm,
    /// Workers on a page of their list.
    #[arg(long, default_value_t = 50)]
    pub page_size: usize,
    /// Milliseconds that a page of the list takes at most.
    #[arg(long, default_value_t = 20)]
    pub page_delay: u64,
    /// Leaves out the forwarders, and with them the faults of links: for programs that can't listen
    /// behind one.
    #[arg(long)]
    pub without_links: bool,
    /// The folder with the programs, if it is not that of this one.
    #[arg(long)]
    pub programs: Option<PathBuf>,
    /// Determines what is drawn.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Where settings, logs and disks go; a temporary folder if it is left out.
    #[arg(long)]
    pub folder: Option<PathBuf>,
    /// How much the processes log.
    #[arg(long, default_value = "info")]
    pub log: String,
    /// The first of seven ports that must be free.
    #[arg(long, default_value_t = 27_700)]
    pub port: u16,
}
