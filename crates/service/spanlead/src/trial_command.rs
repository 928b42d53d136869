//! `spanlead try`: schedulers among simulated workers, clients and discovery on loopback, with as
//! many faults as are asked for.
//!
//! - `one_scheduler`: a trial of one scheduler;
//! - `faults`: what goes wrong in it, and when;
//! - `tier`: a trial of several schedulers, with faults between them by a script or a seed;
//! - `summary`: the table of what came of it;
//! - `error`: why a trial cannot be played.
mod error;
mod faults;
mod one_scheduler;
mod summary;
mod tier;

pub(crate) use error::TrialError;

use clap::Args;
use rand::Rng;
use spanlead_testbed::check::Broken;
use spanlead_testbed::{Deployment, Summary};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tier::Tier;
use tokio::runtime::Builder;

/// Threads for the simulated platform.
const RUNTIME_THREADS: usize = 3;
/// Seeds that are drawn are less than this, so that they are short to type.
const MAX_DRAWN_SEED: u64 = 1_000_000;
/// A lease is longer than the bound on the clocks by this factor.
const LEASE_PER_CLOCK_BOUND: u32 = 10;

/// How it is tried.
#[derive(Args, Clone)]
pub(crate) struct Trial {
    /// Jobs in all.
    #[arg(long, default_value_t = 600)]
    pub(crate) jobs: u64,
    /// Jobs a second.
    #[arg(long, default_value_t = 120.0)]
    pub(crate) rate: f64,
    /// Stand-in workers, of the deployment's kinds.
    #[arg(long, default_value_t = 12)]
    pub(crate) workers: usize,
    /// Clients at a time.
    #[arg(long, default_value_t = 256)]
    pub(crate) clients: usize,
    /// The deployment that is played, a TOML file (`deploy/deployments/` has two); without, a
    /// membership service's.
    #[arg(long, value_name = "FILE")]
    pub(crate) deployment: Option<PathBuf>,
    /// How long jobs run, against the deployment's; without, what its file says.
    #[arg(long)]
    pub(crate) scale: Option<f64>,
    /// For everything drawn at random; drawn itself if not given, and printed.
    #[arg(long)]
    pub(crate) seed: Option<u64>,
    /// Without a ledger: what a scheduler is killed with is lost.
    #[arg(long)]
    pub(crate) no_ledger: bool,
    /// The ledger does not wait for the disk.
    #[arg(long)]
    pub(crate) no_sync: bool,
    /// The length of leases.
    #[arg(long, default_value = "2s", value_parser = humantime::parse_duration)]
    pub(crate) lease: Duration,
    /// The share of workers that go by leases.
    #[arg(long, default_value_t = 1.0)]
    pub(crate) leases: f64,
    /// How often the scheduler is killed outright and started again.
    #[arg(long, default_value_t = 0)]
    pub(crate) kill_scheduler: u32,
    /// How often a worker is killed and started again.
    #[arg(long, default_value_t = 0)]
    pub(crate) kill_worker: u32,
    /// How often a worker freezes, vanishes, slows down, drains, cuts connections, answers late,
    /// repeats notices or goes on after its lease.
    #[arg(long, default_value_t = 0)]
    pub(crate) trouble: u32,
    /// How often a club's inventory file changes, now and then for the worse. The live list says no
    /// more than who runs then: pods, zones, kinds and weights are the file's.
    #[arg(long, default_value_t = 0)]
    pub(crate) inventory: u32,
    /// The share of keyed jobs that two clients bring at once; without, what the deployment says.
    #[arg(long)]
    pub(crate) doubled: Option<f64>,
    /// Only jobs of this class; may be given again.
    #[arg(long)]
    pub(crate) only: Vec<String>,
    /// The scheduler's files are kept here, and all that happened is written to `record.jsonl`.
    #[arg(long)]
    pub(crate) folder: Option<PathBuf>,
    #[command(flatten)]
    tier: Tier,
}

/// What came of a trial.
struct TrialOutcome {
    summary: Summary,
    /// Rules that were broken.
    broken: Vec<Broken>,
    kills: Kills,
    /// Time on a CPU that the scheduler processes took.
    cpu: Duration,
    /// What the last of them says of its durable jobs, as JSON.
    durable_jobs: serde_json::Value,
}

/// How many processes were killed.
struct Kills {
    schedulers: u32,
    workers: u32,
}

impl Trial {
    /// Plays the trial, prints the table, and fails if a rule was broken.
    pub(crate) fn run(&self) -> Result<(), TrialError> {
        let seed = self.seed.unwrap_or_else(|| rand::rng().random_range(0..MAX_DRAWN_SEED));
        println!("seed {seed}");
        let runtime = Builder::new_multi_thread().worker_threads(RUNTIME_THREADS).enable_all().build()?;
        let outcome = runtime.block_on(self.play(seed));
        runtime.shutdown_background();
        let outcome = outcome?;
        self.print_summary(&outcome);
        match outcome.broken.len() {
            0 => Ok(()),
            count => Err(TrialError::RulesBroken(count)),
        }
    }

    async fn play(&self, seed: u64) -> Result<TrialOutcome, TrialError> {
        let deployment = match &self.deployment {
            Some(file) => Deployment::read(file, self.scale)
                .map_err(|faults| TrialError::Deployment(faults.to_string()))?,
            None => Deployment::default_one(self.scale),
        };
        if self.tier.schedulers == 1 {
            return self.play_one_scheduler(deployment, seed).await;
        }
        if self.trouble + self.inventory > 0 {
            return Err(TrialError::OneSchedulerOnly);
        }
        self.tier.play_and_shrink(self, deployment, seed).await
    }

    /// The operators' settings of a scheduler whose files are in this folder.
    fn conf(&self, folder: &Path) -> String {
        let inventory = self.inventory_conf(folder);
        if self.no_ledger {
            return inventory;
        }
        let sync = if self.no_sync { "no" } else { "yes" };
        let lease = humantime::format_duration(self.lease).to_string();
        let clock_bound = humantime::format_duration(self.lease / LEASE_PER_CLOCK_BOUND).to_string();
        let folder = folder.join("ledger");
        format!(
            "ledger\n  folder '{}'\n  lease '{lease}'\n  clock-bound '{clock_bound}'\n  keep 60s\n  sync {sync}\n{inventory}",
            folder.display()
        )
    }

    fn inventory_conf(&self, folder: &Path) -> String {
        if self.inventory == 0 {
            return String::new();
        }
        format!(
            "inventory clubs\n  file '{0}/hosts.csv'\n  keep '{0}/kept'\n  settle 20ms\n  poll 100ms\n  hold-over 60%\n",
            folder.display()
        )
    }
}
