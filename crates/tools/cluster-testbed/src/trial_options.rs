//! The options of a trial. Their comments are the texts of `spanlead-cluster try --help`.
use clap::Args;
use std::path::PathBuf;

/// What a trial is like.
#[derive(Args, Clone, Debug)]
pub struct TrialOptions {
    /// Jobs to hand in.
    #[arg(long, default_value_t = 300)]
    pub jobs: usize,
    /// Jobs a second.
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// Machines of the control plane: 2f + 1 bear the loss of f.
    #[arg(long, default_value_t = 3)]
    pub control: usize,
    /// Machines of the data plane.
    #[arg(long, default_value_t = 3)]
    pub data: usize,
    /// Workers.
    #[arg(long, default_value_t = 12)]
    pub workers: usize,
    /// Times that a machine of the control plane is killed and started again.
    #[arg(long, default_value_t = 0)]
    pub kill_control: usize,
    /// Times that one is stopped for a while and goes on.
    #[arg(long, default_value_t = 0)]
    pub freeze_control: usize,
    /// Times that one loses its disk.
    #[arg(long, default_value_t = 0)]
    pub wipe_control: usize,
    /// Times that one is ended in order and started again.
    #[arg(long, default_value_t = 0)]
    pub restart_control: usize,
    /// Times that all of them are killed at once.
    #[arg(long, default_value_t = 0)]
    pub kill_all_control: usize,
    /// Times that a machine of the data plane is killed.
    #[arg(long, default_value_t = 0)]
    pub kill_data: usize,
    /// Times that a worker crashes.
    #[arg(long, default_value_t = 0)]
    pub crash_worker: usize,
    /// The share of orders that go unanswered and are carried out late.
    #[arg(long, default_value_t = 0.0)]
    pub late: f64,
    /// Seconds between two troubles: a machine that comes back needs some to catch up.
    #[arg(long, default_value_t = 5.0)]
    pub pause: f64,
    /// What is drawn is drawn by this.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Where settings, logs and disks go; a temporary folder if it is left out.
    #[arg(long)]
    pub folder: Option<PathBuf>,
    /// How much the processes log.
    #[arg(long, default_value = "info")]
    pub log: String,
    /// The first of seven ports that must be free.
    #[arg(long, default_value_t = 27_600)]
    pub port: u16,
}
