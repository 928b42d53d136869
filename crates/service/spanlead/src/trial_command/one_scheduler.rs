//! A trial of one scheduler.
use super::faults::Faults;
use super::{Kills, Trial, TrialError, TrialOutcome};
use crate::operator_client::call;
use indicatif::{ProgressBar, ProgressStyle};
use spanlead_testbed::check::check;
use spanlead_testbed::{
    Deployment, Fleet, FleetPlan, Keeper, Load, Plan, Record, Scheduler, Summary, What, config,
};
use std::path::Path;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, interval, sleep_until};

/// Descriptors that the scheduler may use.
const SCHEDULER_SOCKETS: usize = 4096;
/// How often the progress bar is updated.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);
/// How long jobs may still run after the last answer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// How often it is checked whether some do.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A host that runs, and that discovery has never named.
const UNLISTED_HOST: &str = "ghost-1";
/// A host that does not run.
const MISSING_HOST: &str = "ghost-2.example.org";

/// What came of the clients' load.
struct LoadOutcome {
    summary: Summary,
    /// CPU time of schedulers that were killed meanwhile.
    cpu: Duration,
    scheduler_kills: u32,
}

impl Trial {
    /// Plays a trial of one scheduler.
    pub(super) async fn play_one_scheduler(
        &self,
        deployment: Deployment,
        seed: u64,
    ) -> Result<TrialOutcome, TrialError> {
        let scratch = tempfile::tempdir()?;
        let folder = self.folder.clone().unwrap_or_else(|| scratch.path().to_owned());
        std::fs::create_dir_all(&folder)?;
        let record = Record::new();
        let load_plan = self.load_plan(&deployment, seed);
        let mut fleet = self.start_fleet(deployment, seed, &record).await?;
        let inventory = self.start_inventory(&mut fleet, &folder, seed).await?;
        let binary = std::env::current_exe()?;
        let settings = config(&fleet, seed, SCHEDULER_SOCKETS);
        let mut scheduler = Scheduler::new(&binary, &folder, &settings, &self.conf(&folder), record.clone())?;
        fleet.call_back_to(0, scheduler.addr);
        scheduler.start().await?;

        let faults = Faults::new(self, seed, inventory);
        let load = Load::new(scheduler.addr, record.clone());
        let played = self.play_load(&load, &load_plan, faults, &mut fleet, &mut scheduler).await?;
        let cpu = played.cpu + scheduler.cpu();
        wait_until_idle(&fleet).await;
        let durable_jobs = durable_job_stats(&scheduler).unwrap_or_default();
        scheduler.kill().await;
        let events = record.events();
        if self.folder.is_some() {
            record.save(&folder.join("record.jsonl"))?;
        }
        let worker_kills = events.iter().filter(|event| matches!(event.what, What::Died { .. })).count();
        let kills = Kills { schedulers: played.scheduler_kills, workers: worker_kills as u32 };
        let broken = check(&events, fleet.deployment());
        Ok(TrialOutcome { summary: played.summary, broken, kills, cpu, durable_jobs })
    }

    fn load_plan(&self, deployment: &Deployment, seed: u64) -> Plan {
        Plan {
            jobs: self.jobs,
            first: 0,
            rate: self.rate,
            at_once: self.clients,
            doubled: self.doubled.unwrap_or(deployment.doubled),
            only: self.only.clone(),
            owners: deployment.tenants.clone(),
            seed,
        }
    }

    async fn start_fleet(
        &self,
        deployment: Deployment,
        seed: u64,
        record: &Record,
    ) -> Result<Fleet, TrialError> {
        let mut plan = FleetPlan::of(deployment, self.workers, seed);
        plan.leases = self.leases;
        plan.bare = self.inventory > 0;
        Ok(Fleet::start(plan, record.clone()).await?)
    }

    /// Writes the inventory, if one is asked for.
    async fn start_inventory(
        &self,
        fleet: &mut Fleet,
        folder: &Path,
        seed: u64,
    ) -> Result<Option<Keeper>, TrialError> {
        if self.inventory == 0 {
            return Ok(None);
        }
        fleet.start_unlisted(UNLISTED_HOST).await?;
        let unlisted = vec![UNLISTED_HOST.to_owned(), MISSING_HOST.to_owned()];
        let inventory = Keeper::new(folder.join("hosts.csv"), fleet.listed(), unlisted, seed)?;
        Ok(Some(inventory))
    }

    /// Plays the clients' load, and the faults meanwhile.
    async fn play_load(
        &self,
        load: &Load,
        plan: &Plan,
        mut faults: Faults,
        fleet: &mut Fleet,
        scheduler: &mut Scheduler,
    ) -> Result<LoadOutcome, TrialError> {
        let bar = progress_bar(self.jobs);
        let classes = fleet.classes().to_vec();
        let mut cpu = Duration::ZERO;
        let mut playing = pin!(load.play(plan, &classes));
        let mut progress = interval(PROGRESS_INTERVAL);
        let summary = loop {
            tokio::select! {
                summary = &mut playing => break summary,
                _ = progress.tick() => {
                    bar.set_position(load.settled());
                    bar.set_message(faults.last.clone());
                }
                () = sleep_until(faults.next_time()) => cpu += faults.apply_next(fleet, scheduler).await?,
            }
        };
        bar.finish_and_clear();
        Ok(LoadOutcome { summary, cpu, scheduler_kills: faults.scheduler_kills })
    }
}

fn progress_bar(jobs: u64) -> ProgressBar {
    let bar = ProgressBar::new(jobs);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} jobs, {elapsed}, {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar
}

/// Waits for the jobs that still run: they may yet run twice.
async fn wait_until_idle(fleet: &Fleet) {
    let until = Instant::now() + IDLE_TIMEOUT;
    while Instant::now() < until && !fleet.workers.values().all(spanlead_testbed::Worker::idle) {
        sleep_until(Instant::now() + IDLE_CHECK_INTERVAL).await;
    }
}

/// What the scheduler's operators' address says of its durable jobs.
fn durable_job_stats(scheduler: &Scheduler) -> Option<serde_json::Value> {
    let stats = call(scheduler.operator, "GET", "/ops/stats").ok()?;
    let stats: serde_json::Value = serde_json::from_str(&stats).ok()?;
    Some(stats["ledger"].clone())
}
