//! `spanlead try --schedulers N`: several schedulers among stand-ins, with faults between them by a script or a seed.
use crate::trial::{Failure, Found, Trial};
use spanlead_testbed::check::{Broken, Rule, check};
use spanlead_testbed::{
    Deployment, FleetPlan, Load, Mixture, Plan, Rig, RigPlan, Script, Step, Summary, What,
};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long schedulers may take to see each other again once all faults have ended.
const PATIENCE: Duration = Duration::from_secs(30);

/// What a tier's trial is, beside what all trials are.
#[derive(clap::Args, Clone)]
pub struct Tier {
    /// Schedulers, each with clients of its own; with more than one they are members of a tier.
    #[arg(long, default_value_t = 1)]
    pub schedulers: usize,
    /// The share of datagrams between schedulers that are lost, such as 20%; a few are doubled, cut off, spoilt and overtaken.
    #[arg(long, default_value = "0%", value_parser = percent)]
    peer_loss: f64,
    /// How often a part of the schedulers is cut off from the others, in one direction or both.
    #[arg(long, default_value_t = 0)]
    cut: u32,
    /// How often a scheduler stands still for a while.
    #[arg(long, default_value_t = 0)]
    pause: u32,
    /// How often a scheduler is told to end, and started again.
    #[arg(long, default_value_t = 0)]
    restart: u32,
    /// How often a scheduler is cut off from discovery.
    #[arg(long, default_value_t = 0)]
    blind: u32,
    /// Another build of the program, for every second scheduler.
    #[arg(long, value_name = "PROGRAM")]
    beside: Option<PathBuf>,
    /// What goes wrong and when, as TOML, in place of what the seed draws.
    #[arg(long, value_name = "FILE")]
    script: Option<PathBuf>,
    /// When a rule is broken, so many further plays to find a shorter script that breaks it.
    #[arg(long, default_value_t = 6)]
    shrink: u32,
}

fn percent(text: &str) -> Result<f64, String> {
    let number = text.strip_suffix('%').ok_or("is no share such as 20%")?;
    let share = number.trim().parse::<f64>().map_err(|e| e.to_string())? / 100.0;
    (0.0..=1.0).contains(&share).then_some(share).ok_or_else(|| "is not within 0% and 100%".to_owned())
}

impl Tier {
    /// What goes wrong.
    fn script(&self, trial: &Trial, seed: u64) -> Result<Script, Failure> {
        if let Some(file) = &self.script {
            let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
            return Script::parse(&text, self.schedulers, trial.workers)
                .map_err(|e| format!("{}:{e}", file.display()).into());
        }
        let mix = Mixture {
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
        Ok(Script::draw(&mix, seed))
    }

    /// Plays it; when a rule was broken, again and again with less of the script.
    pub async fn try_it(&self, trial: &Trial, deployment: Deployment, seed: u64) -> Result<Found, Failure> {
        let mut script = self.script(trial, seed)?;
        let scratch = tempfile::tempdir()?;
        let folder = trial.folder.clone().unwrap_or_else(|| scratch.path().to_owned());
        let found = self.play(trial, &deployment, seed, script.clone(), &folder).await?;
        if found.broken.is_empty() {
            return Ok(found);
        }
        let mut part = script.steps.len().div_ceil(2);
        let mut left = self.shrink;
        while part > 0 && left > 0 {
            let mut at = 0;
            while at < script.steps.len() && left > 0 {
                left -= 1;
                let mut shorter: Vec<Step> = script.steps.clone();
                shorter.drain(at..(at + part).min(shorter.len()));
                let shorter = Script { steps: shorter };
                eprintln!("a rule was broken; {} of {} steps again", shorter.steps.len(), script.steps.len());
                let scratch = tempfile::tempdir()?;
                let again = self.play(trial, &deployment, seed, shorter.clone(), scratch.path()).await;
                match again {
                    Ok(again) if again.broken.iter().any(|b| b.rule == found.broken[0].rule) => {
                        script = shorter
                    }
                    _ => at += part,
                }
            }
            part = if part == 1 { 0 } else { part.div_ceil(2) };
        }
        println!("seed {seed}; the shortest script found that breaks a rule:");
        println!("{}", toml::to_string(&script)?);
        Ok(found)
    }

    async fn play(
        &self,
        trial: &Trial,
        deployment: &Deployment,
        seed: u64,
        script: Script,
        folder: &Path,
    ) -> Result<Found, Failure> {
        let mut fleet = FleetPlan::of(deployment.clone(), trial.workers, seed);
        (fleet.schedulers, fleet.leases) = (self.schedulers, trial.leases);
        let conf = format!("membership\n{}", trial.conf(Path::new("{folder}")));
        let plan = RigPlan {
            fleet,
            sockets: 1024,
            conf,
            binary: std::env::current_exe()?,
            other: self.beside.clone(),
            folder: folder.to_owned(),
        };
        let mut rig = Rig::start(plan, seed).await?;
        let mut broken = Vec::new();
        let mut together = |whole: bool, when: &str| {
            if !whole {
                let what = format!("{when}, not after {} s", PATIENCE.as_secs());
                broken.push(Broken { rule: Rule::Together, what });
            }
        };
        together(rig.whole(PATIENCE).await, "at the start");
        let classes = rig.fleet.classes().to_vec();
        let mut clients = tokio::task::JoinSet::new();
        let each = trial.jobs / self.schedulers as u64;
        for (n, scheduler) in rig.schedulers.iter().enumerate() {
            let load = Load::of(n as u32, scheduler.addr, rig.record.clone());
            let plan = Plan {
                jobs: each,
                first: n as u64 * each,
                rate: trial.rate / self.schedulers as f64,
                at_once: trial.clients,
                doubled: trial.doubled.unwrap_or(deployment.doubled),
                only: trial.only.clone(),
                owners: deployment.tenants.clone(),
                seed: seed.wrapping_add(n as u64),
            };
            let classes = classes.clone();
            clients.spawn(async move { load.play(&plan, &classes).await });
        }
        rig.play(script).await?;
        rig.mend().await?;
        together(rig.whole(PATIENCE).await, "after all faults had ended");
        let mut summary = Summary { classes: Default::default(), took: Duration::ZERO };
        while let Some(done) = clients.join_next().await {
            summary.add(done?);
        }
        let took = rig.record.now().as_secs_f64();
        let passed = rig.wires.passed();
        println!(
            "between {} schedulers: {:.0} datagrams and {:.0} bytes a second of each were sent, {:.0}% arrived",
            self.schedulers,
            passed.sent as f64 / took / self.schedulers as f64,
            passed.bytes as f64 / took / self.schedulers as f64,
            100.0 * passed.delivered as f64 / passed.sent.max(1) as f64
        );
        let cpu = rig.schedulers.iter().map(spanlead_testbed::Scheduler::cpu).sum();
        for scheduler in &mut rig.schedulers {
            scheduler.kill().await;
        }
        let events = rig.record.events();
        if trial.folder.is_some() {
            rig.record.save(&folder.join("record.jsonl"))?;
        }
        broken.extend(check(&events, deployment));
        let count = |wanted: fn(&What) -> bool| events.iter().filter(|e| wanted(&e.what)).count() as u32;
        // Each was killed once more, at the end.
        let kills = count(|w| matches!(w, What::Killed { .. })).saturating_sub(self.schedulers as u32);
        let kills = (kills, count(|w| matches!(w, What::Died { .. })));
        Ok(Found { summary, broken, kills, cpu, ledger: serde_json::Value::Null })
    }
}
