//! `spanlead try`: the scheduler among stand-ins on loopback, with as much trouble as is asked for.
use crate::operator_client::call;
use crate::tier::Tier;
use clap::Args;
use comfy_table::{CellAlignment, Table, presets};
use indicatif::{ProgressBar, ProgressStyle};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use spanlead_testbed::check::{Broken, RULES, check};
use spanlead_testbed::{
    Deployment, Fleet, FleetPlan, Keeper, Load, Plan, Record, Scheduler, Summary, What, config,
};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// How it is tried.
#[derive(Args, Clone)]
pub struct Trial {
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
    /// The deployment that is played, a TOML file (`deploy/deployments/` has two); without, a membership service's.
    #[arg(long, value_name = "FILE")]
    deployment: Option<PathBuf>,
    /// How long jobs run, against the deployment's; without, what its file says.
    #[arg(long)]
    scale: Option<f64>,
    /// For everything drawn at random; drawn itself if not given, and printed.
    #[arg(long)]
    seed: Option<u64>,
    /// Without a ledger: what a scheduler is killed with is lost.
    #[arg(long)]
    no_ledger: bool,
    /// The ledger does not wait for the disk.
    #[arg(long)]
    no_sync: bool,
    /// The length of leases.
    #[arg(long, default_value = "2s", value_parser = humantime::parse_duration)]
    lease: Duration,
    /// The share of workers that go by leases.
    #[arg(long, default_value_t = 1.0)]
    pub(crate) leases: f64,
    /// How often the scheduler is killed outright and started again.
    #[arg(long, default_value_t = 0)]
    pub(crate) kill_scheduler: u32,
    /// How often a worker is killed and started again.
    #[arg(long, default_value_t = 0)]
    pub(crate) kill_worker: u32,
    /// How often a worker freezes, vanishes, slows down, drains, cuts connections, answers late, repeats notices or goes on
    /// after its lease.
    #[arg(long, default_value_t = 0)]
    trouble: u32,
    /// How often a club's inventory file changes, now and then for the worse. The live list says no more than who runs then:
    /// pods, zones, kinds and weights are the file's.
    #[arg(long, default_value_t = 0)]
    inventory: u32,
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

pub(crate) type Failure = Box<dyn std::error::Error>;

/// What came of a trial.
pub(crate) struct Found {
    pub summary: Summary,
    pub broken: Vec<Broken>,
    pub kills: (u32, u32),
    /// Time on a CPU that the scheduler processes took.
    pub cpu: Duration,
    /// What the last of them says of its ledger.
    pub ledger: serde_json::Value,
}

impl Trial {
    /// Tries it, prints the table, and fails if a rule was broken.
    pub fn run(&self) -> Result<(), Failure> {
        let seed = self.seed.unwrap_or_else(|| rand::rng().random_range(0..1_000_000));
        println!("seed {seed}");
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
        let found = runtime.block_on(self.play(seed));
        runtime.shutdown_background();
        let found = found?;
        self.show(&found);
        match found.broken.len() {
            0 => Ok(()),
            n => Err(format!("{n} times a rule was broken").into()),
        }
    }

    pub(crate) fn conf(&self, folder: &Path) -> String {
        let inventory = match self.inventory {
            0 => String::new(),
            _ => format!(
                "inventory clubs\n  file '{0}/hosts.csv'\n  keep '{0}/kept'\n  settle 20ms\n  poll 100ms\n  hold-over 60%\n",
                folder.display()
            ),
        };
        if self.no_ledger {
            return inventory;
        }
        let sync = if self.no_sync { "no" } else { "yes" };
        let (lease, folder) = (humantime::format_duration(self.lease).to_string(), folder.join("ledger"));
        let bound = humantime::format_duration(self.lease / 10).to_string();
        format!(
            "ledger\n  folder '{}'\n  lease '{lease}'\n  clock-bound '{bound}'\n  keep 60s\n  sync {sync}\n{inventory}",
            folder.display()
        )
    }

    async fn play(&self, seed: u64) -> Result<Found, Failure> {
        let deployment = match &self.deployment {
            Some(file) => Deployment::read(file, self.scale)
                .map_err(|faults| format!("the deployment can't be played:\n{faults}"))?,
            None => Deployment::default_one(self.scale),
        };
        if self.tier.schedulers > 1 {
            if self.trouble + self.inventory > 0 {
                return Err("--trouble and --inventory are for one scheduler".into());
            }
            return self.tier.try_it(self, deployment, seed).await;
        }
        let scratch = tempfile::tempdir()?;
        let folder = self.folder.clone().unwrap_or_else(|| scratch.path().to_owned());
        std::fs::create_dir_all(&folder)?;
        let record = Record::new();
        let (doubled, owners) = (self.doubled.unwrap_or(deployment.doubled), deployment.tenants.clone());
        let mut plan = FleetPlan::of(deployment, self.workers, seed);
        plan.leases = self.leases;
        plan.bare = self.inventory > 0;
        let mut fleet = Fleet::start(plan, record.clone()).await?;
        let binary = std::env::current_exe()?;
        let keeper = match self.inventory {
            0 => None,
            _ => {
                // One of them runs, and discovery has never named it.
                let ghosts = vec!["ghost-1".to_owned(), "ghost-2.example.org".to_owned()];
                fleet.start_unlisted(&ghosts[0]).await?;
                Some(Keeper::new(folder.join("hosts.csv"), fleet.listed(), ghosts, seed)?)
            }
        };
        let conf = self.conf(&folder);
        let mut scheduler =
            Scheduler::new(&binary, &folder, &config(&fleet, seed, 4096), &conf, record.clone())?;
        fleet.call_back_to(0, scheduler.addr);
        scheduler.start().await?;

        let load = Load::new(scheduler.addr, record.clone());
        let plan = Plan {
            jobs: self.jobs,
            first: 0,
            rate: self.rate,
            at_once: self.clients,
            doubled,
            only: self.only.clone(),
            owners,
            seed,
        };
        let bar = ProgressBar::new(self.jobs);
        let style = ProgressStyle::with_template("{bar:40} {pos}/{len} jobs, {elapsed}, {msg}");
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        let classes = fleet.classes().to_vec();
        let mut troubles = Troubles::new(self, seed, keeper);
        let mut cpu = Duration::ZERO;
        let mut playing = std::pin::pin!(load.play(&plan, &classes));
        let mut look = tokio::time::interval(Duration::from_millis(100));
        let summary = loop {
            tokio::select! {
                summary = &mut playing => break summary,
                _ = look.tick() => {
                    bar.set_position(load.settled());
                    bar.set_message(troubles.said.clone());
                }
                () = sleep_until(troubles.next()) => cpu += troubles.act(&mut fleet, &mut scheduler).await?,
            }
        };
        bar.finish_and_clear();
        cpu += scheduler.cpu();
        // What still runs may yet run twice.
        let until = Instant::now() + Duration::from_secs(5);
        while Instant::now() < until && !fleet.workers.values().all(spanlead_testbed::Worker::idle) {
            sleep_until(Instant::now() + Duration::from_millis(50)).await;
        }
        let ledger = figures(&scheduler).unwrap_or_default();
        scheduler.kill().await;
        let events = record.events();
        if self.folder.is_some() {
            record.save(&folder.join("record.jsonl"))?;
        }
        let died = events.iter().filter(|e| matches!(e.what, What::Died { .. })).count() as u32;
        let kills = (troubles.killed, died);
        Ok(Found { summary, broken: check(&events, fleet.deployment()), kills, cpu, ledger })
    }

    fn show(&self, found: &Found) {
        let mut table = Table::new();
        table.load_preset(presets::NOTHING);
        table.set_header([
            "class",
            "jobs",
            "served",
            "refused",
            "failed",
            "no answer",
            "tried again",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
        ]);
        let mut all = 0;
        for (class, counts) in &found.summary.classes {
            let ms = |q| format!("{:.0}", counts.latency.value_at_quantile(q) as f64 / 1000.0);
            all += counts.jobs;
            let figures =
                [counts.jobs, counts.served, counts.refused, counts.failed, counts.unanswered, counts.again];
            let figures = figures.map(|n| n.to_string());
            table.add_row([class.clone()].into_iter().chain(figures).chain([ms(0.5), ms(0.99), ms(0.999)]));
        }
        for column in table.column_iter_mut().skip(1) {
            column.set_cell_alignment(CellAlignment::Right);
        }
        println!("{table}");
        let took = found.summary.took.as_secs_f64();
        let (schedulers, workers) = found.kills;
        println!(
            "{all} jobs in {took:.1} s; the scheduler was killed {schedulers} times, workers {workers} times"
        );
        let cpu = found.cpu.as_secs_f64();
        println!("{:.0} microseconds of the scheduler's CPU a job", cpu * 1e6 / all.max(1) as f64);
        let figure = |name: &str| found.ledger[name].as_u64().unwrap_or(0);
        if self.kill_scheduler == 0 && figure("commits") > 0 {
            let (a_job, disk) =
                (figure("commits") as f64 / all.max(1) as f64, figure("disk_bytes") / all.max(1));
            let (p50, p99) = (figure("commit_p50_us"), figure("commit_p99_us"));
            println!(
                "{a_job:.2} commits and {disk} bytes on disk a job; a commit took {p50} us, 99 in 100 {p99} us at most"
            );
        }
        for rule in RULES {
            let broken: Vec<&Broken> = found.broken.iter().filter(|b| b.rule == rule).collect();
            match broken.len() {
                0 => println!("kept     {rule}"),
                n => println!("BROKEN   {rule}: {n} times"),
            }
            broken.iter().take(5).for_each(|b| println!("         {}", b.what));
        }
    }
}

/// What the operators' door tells of the ledger.
fn figures(scheduler: &Scheduler) -> Option<serde_json::Value> {
    let all: serde_json::Value =
        serde_json::from_str(&call(scheduler.operator, "GET", "/ops/stats").ok()?).ok()?;
    Some(all["ledger"].clone())
}

/// What goes wrong, and when.
struct Troubles {
    plan: Vec<(Instant, Trouble)>,
    rng: SmallRng,
    killed: u32,
    said: String,
    keeper: Option<Keeper>,
}

#[derive(Clone, Debug)]
enum Trouble {
    KillScheduler,
    StartScheduler,
    KillWorker,
    Restart(String),
    Misbehave,
    Behave(String),
    Undrain(String),
    Inventory,
}

impl Troubles {
    fn new(trial: &Trial, seed: u64, keeper: Option<Keeper>) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x74_726f_7562_6c65);
        let begun = Instant::now();
        let length = trial.jobs as f64 / trial.rate;
        let mut plan = Vec::new();
        for (count, trouble) in [
            (trial.kill_scheduler, Trouble::KillScheduler),
            (trial.kill_worker, Trouble::KillWorker),
            (trial.trouble, Trouble::Misbehave),
            (trial.inventory, Trouble::Inventory),
        ] {
            for _ in 0..count {
                let at = begun + Duration::from_secs_f64(rng.random_range(0.05..1.0) * length);
                plan.push((at, trouble.clone()));
            }
        }
        let mut troubles = Troubles { plan, rng, killed: 0, said: String::new(), keeper };
        troubles.sort();
        troubles
    }

    fn sort(&mut self) {
        self.plan.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
    }

    fn next(&self) -> Instant {
        self.plan.last().map_or(Instant::now() + Duration::from_secs(3600), |(at, _)| *at)
    }

    fn later(&mut self, after: std::ops::Range<u64>, trouble: Trouble) {
        let at = Instant::now() + Duration::from_millis(self.rng.random_range(after));
        self.plan.push((at, trouble));
        self.sort();
    }

    /// Does what is due; the CPU time of a scheduler that it killed.
    async fn act(&mut self, fleet: &mut Fleet, scheduler: &mut Scheduler) -> Result<Duration, Failure> {
        let Some((_, trouble)) = self.plan.pop() else { return Ok(Duration::ZERO) };
        let running: Vec<String> = fleet.workers.keys().cloned().collect();
        let worker = running.choose(&mut self.rng).cloned();
        self.said = format!("{trouble:?}");
        match (trouble, worker) {
            (Trouble::KillScheduler, _) if scheduler.id().is_some() => {
                let cpu = scheduler.cpu();
                scheduler.kill().await;
                self.killed += 1;
                self.later(1..200, Trouble::StartScheduler);
                return Ok(cpu);
            }
            (Trouble::StartScheduler, _) => scheduler.start().await?,
            (Trouble::KillWorker, Some(worker)) if running.len() * 2 > fleet.names().len() => {
                fleet.kill(&worker);
                self.later(50..1500, Trouble::Restart(worker));
            }
            (Trouble::Restart(worker), _) => fleet.restart(&worker).await?,
            (Trouble::Misbehave, Some(worker)) => {
                let (how, byte) = (self.rng.random_range(0..9), self.rng.random_range(1..400));
                if how == 0 {
                    fleet.drain(&worker, true);
                    self.later(1000..3000, Trouble::Undrain(worker));
                    return Ok(Duration::ZERO);
                }
                fleet.change(&worker, |b| match how {
                    1 => b.frozen = true,
                    2 => b.vanished = true,
                    3 => b.slow = 6.0,
                    4 => b.cut_every = 3,
                    5 => b.late = Duration::from_millis(700),
                    6 => b.repeat = 3,
                    7 => b.cut_at = Some(byte),
                    _ => (b.heedless, b.vanished) = (true, true),
                });
                self.later(500..4000, Trouble::Behave(worker));
            }
            (Trouble::Behave(worker), _) => fleet.change(&worker, |b| *b = Default::default()),
            (Trouble::Undrain(worker), _) => fleet.drain(&worker, false),
            (Trouble::Inventory, _) => {
                if let Some(keeper) = &mut self.keeper {
                    self.said = format!("inventory: {}", keeper.change()?);
                }
            }
            _ => {}
        }
        Ok(Duration::ZERO)
    }
}
