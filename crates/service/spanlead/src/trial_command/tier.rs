//! A trial of several schedulers, with faults between them by a script or a seed.
use super::{Kills, Trial, TrialError, TrialOutcome};
use spanlead_testbed::check::{Broken, Rule, check};
use spanlead_testbed::{
    Deployment, FleetPlan, Load, Mixture, Plan, Rig, RigPlan, Script, Step, Summary, What,
};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::task::JoinSet;

/// How long schedulers may take to see each other again once all faults have ended.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Descriptors that each scheduler may use.
const SCHEDULER_SOCKETS: usize = 1024;

/// What a tier's trial is, beside what all trials are.
#[derive(clap::Args, Clone)]
pub(crate) struct Tier {
    /// Schedulers, each with clients of its own; with more than one they are members of a tier.
    #[arg(long, default_value_t = 1)]
    pub(super) schedulers: usize,
    /// The share of datagrams between schedulers that are lost, such as 20%; a few are doubled, cut
    /// off, spoilt and overtaken.
    #[arg(long, default_value = "0%", value_parser = parse_share)]
    pub(super) peer_loss: f64,
    /// How often a part of the schedulers is cut off from the others, in one direction or both.
    #[arg(long, default_value_t = 0)]
    pub(super) cut: u32,
    /// How often a scheduler stands still for a while.
    #[arg(long, default_value_t = 0)]
    pub(super) pause: u32,
    /// How often a scheduler is told to end, and started again.
    #[arg(long, default_value_t = 0)]
    pub(super) restart: u32,
    /// How often a scheduler is cut off from discovery.
    #[arg(long, default_value_t = 0)]
    pub(super) blind: u32,
    /// Another build of the program, for every second scheduler.
    #[arg(long, value_name = "PROGRAM")]
    pub(super) beside: Option<PathBuf>,
    /// What goes wrong and when, as TOML, in place of what the seed draws.
    #[arg(long, value_name = "FILE")]
    pub(super) script: Option<PathBuf>,
    /// When a rule is broken, so many further plays to find a shorter script that breaks it.
    #[arg(long, default_value_t = 6)]
    pub(super) shrink: u32,
}

/// Why a share on the command line is none.
#[derive(Debug, thiserror::Error)]
enum ShareError {
    #[error("is no share such as 20%")]
    NoPercentSign,
    #[error(transparent)]
    NoNumber(#[from] std::num::ParseFloatError),
    #[error("is not within 0% and 100%")]
    OutOfRange,
}

/// Parses a share such as 20%.
fn parse_share(text: &str) -> Result<f64, ShareError> {
    let number = text.strip_suffix('%').ok_or(ShareError::NoPercentSign)?;
    let share = number.trim().parse::<f64>()? / 100.0;
    if (0.0..=1.0).contains(&share) { Ok(share) } else { Err(ShareError::OutOfRange) }
}

impl Tier {
    /// What goes wrong.
    fn script(&self, trial: &Trial, seed: u64) -> Result<Script, TrialError> {
        if let Some(file) = &self.script {
            let text = std::fs::read_to_string(file)
                .map_err(|source| TrialError::ReadScript { file: file.clone(), source })?;
            return Script::parse(&text, self.schedulers, trial.workers)
                .map_err(|reason| TrialError::Script { file: file.clone(), reason });
        }
        let mixture = Mixture {
            schedulers: self.schedulers,
            workers: trial.workers,
            length: Duration::from_secs_f64(trial.jobs as f64 / trial.rate),
            loss: self.peer_loss,
            cuts: self.cut,
            pauses: self.pause,
            kills: trial.kill_scheduler,
            restarts: self.restart,
            blind: self.blind,
            worker_kills: trial.kill_worker,
        };
        Ok(Script::draw(&mixture, seed))
    }

    /// Plays a trial; when a rule was broken, again and again with less of the script.
    pub(super) async fn play_and_shrink(
        &self,
        trial: &Trial,
        deployment: Deployment,
        seed: u64,
    ) -> Result<TrialOutcome, TrialError> {
        let script = self.script(trial, seed)?;
        let scratch = tempfile::tempdir()?;
        let folder = trial.folder.clone().unwrap_or_else(|| scratch.path().to_owned());
        let tier_trial = TierTrial { tier: self, trial, deployment: &deployment, seed };
        let outcome = tier_trial.play(script.clone(), &folder).await?;
        let Some(broken) = outcome.broken.first() else { return Ok(outcome) };
        let shortest = tier_trial.shrink(script, broken.rule).await?;
        println!("seed {seed}; the shortest script found that breaks a rule:");
        println!("{}", toml::to_string(&shortest)?);
        Ok(outcome)
    }
}

/// A trial of several schedulers that is played, perhaps several times.
struct TierTrial<'a> {
    tier: &'a Tier,
    trial: &'a Trial,
    deployment: &'a Deployment,
    seed: u64,
}

impl TierTrial<'_> {
    /// Leaves parts of the script out, ever smaller ones, as long as the rule is still broken
    /// (delta debugging).
    async fn shrink(&self, mut script: Script, rule: Rule) -> Result<Script, TrialError> {
        let mut part = script.steps.len().div_ceil(2);
        let mut plays_left = self.tier.shrink;
        while part > 0 && plays_left > 0 {
            let mut start = 0;
            while start < script.steps.len() && plays_left > 0 {
                plays_left -= 1;
                let shorter = without(&script, start, part);
                let (steps, all) = (shorter.steps.len(), script.steps.len());
                eprintln!("a rule was broken; {steps} of {all} steps again");
                if self.breaks(shorter.clone(), rule).await? {
                    script = shorter;
                } else {
                    start += part;
                }
            }
            part = if part == 1 { 0 } else { part.div_ceil(2) };
        }
        Ok(script)
    }

    /// Whether this script breaks the rule.
    async fn breaks(&self, script: Script, rule: Rule) -> Result<bool, TrialError> {
        let scratch = tempfile::tempdir()?;
        let outcome = self.play(script, scratch.path()).await;
        Ok(outcome.is_ok_and(|outcome| outcome.broken.iter().any(|broken| broken.rule == rule)))
    }

    /// Plays the trial once.
    async fn play(&self, script: Script, folder: &Path) -> Result<TrialOutcome, TrialError> {
        let mut rig = Rig::start(self.rig_plan(folder)?, self.seed).await?;
        let mut broken = Vec::new();
        broken.extend(not_together(&rig, "at the start").await);
        let clients = self.start_clients(&rig);
        rig.play(script).await?;
        rig.mend().await?;
        broken.extend(not_together(&rig, "after all faults had ended").await);
        let summary = collect(clients).await?;
        self.print_datagrams(&rig);
        let cpu = rig.schedulers.iter().map(spanlead_testbed::Scheduler::cpu).sum();
        for scheduler in &mut rig.schedulers {
            scheduler.kill().await;
        }
        let events = rig.record.events();
        if self.trial.folder.is_some() {
            rig.record.save(&folder.join("record.jsonl"))?;
        }
        broken.extend(check(&events, self.deployment));
        let count =
            |wanted: fn(&What) -> bool| events.iter().filter(|event| wanted(&event.what)).count() as u32;
        let killed = count(|what| matches!(what, What::Killed { .. }));
        let kills = Kills {
            // Each was killed once more, at the end.
            schedulers: killed.saturating_sub(self.tier.schedulers as u32),
            workers: count(|what| matches!(what, What::Died { .. })),
        };
        Ok(TrialOutcome { summary, broken, kills, cpu, durable_jobs: serde_json::Value::Null })
    }

    fn rig_plan(&self, folder: &Path) -> Result<RigPlan, TrialError> {
        let mut fleet = FleetPlan::of(self.deployment.clone(), self.trial.workers, self.seed);
        fleet.schedulers = self.tier.schedulers;
        fleet.leases = self.trial.leases;
        let conf = format!("membership\n{}", self.trial.conf(Path::new("{folder}")));
        Ok(RigPlan {
            fleet,
            sockets: SCHEDULER_SOCKETS,
            conf,
            binary: std::env::current_exe()?,
            other: self.tier.beside.clone(),
            folder: folder.to_owned(),
        })
    }

    /// Starts the clients of each scheduler.
    fn start_clients(&self, rig: &Rig) -> JoinSet<Summary> {
        let classes = rig.fleet.classes().to_vec();
        let schedulers = self.tier.schedulers;
        let jobs_each = self.trial.jobs / schedulers as u64;
        let mut clients = JoinSet::new();
        for (number, scheduler) in rig.schedulers.iter().enumerate() {
            let load = Load::of(number as u32, scheduler.addr, rig.record.clone());
            let plan = Plan {
                jobs: jobs_each,
                first: number as u64 * jobs_each,
                rate: self.trial.rate / schedulers as f64,
                at_once: self.trial.clients,
                doubled: self.trial.doubled.unwrap_or(self.deployment.doubled),
                only: self.trial.only.clone(),
                owners: self.deployment.tenants.clone(),
                seed: self.seed.wrapping_add(number as u64),
            };
            let classes = classes.clone();
            clients.spawn(async move { load.play(&plan, &classes).await });
        }
        clients
    }

    fn print_datagrams(&self, rig: &Rig) {
        let seconds = rig.record.now().as_secs_f64();
        let passed = rig.wires.passed();
        let schedulers = self.tier.schedulers as f64;
        println!(
            "between {} schedulers: {:.0} datagrams and {:.0} bytes a second of each were sent, {:.0}% arrived",
            self.tier.schedulers,
            passed.sent as f64 / seconds / schedulers,
            passed.bytes as f64 / seconds / schedulers,
            100.0 * passed.delivered as f64 / passed.sent.max(1) as f64
        );
    }
}

/// A script without some of its steps.
fn without(script: &Script, start: usize, part: usize) -> Script {
    let mut steps: Vec<Step> = script.steps.clone();
    let end = (start + part).min(steps.len());
    steps.drain(start..end);
    Script { steps }
}

/// The broken rule, if the schedulers do not come to see each other.
async fn not_together(rig: &Rig, when: &str) -> Option<Broken> {
    if rig.whole(CONVERGENCE_TIMEOUT).await {
        return None;
    }
    let what = format!("{when}, not after {} s", CONVERGENCE_TIMEOUT.as_secs());
    Some(Broken { rule: Rule::Together, what })
}

/// Waits for all clients.
async fn collect(mut clients: JoinSet<Summary>) -> Result<Summary, TrialError> {
    let mut summary = Summary { classes: Default::default(), took: Duration::ZERO };
    while let Some(done) = clients.join_next().await {
        summary.add(done?);
    }
    Ok(summary)
}
