//! What goes wrong in a trial of one scheduler, and when.
use super::{Trial, TrialError};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use spanlead_testbed::{Fleet, Keeper, Scheduler};
use std::cmp::Reverse;
use std::ops::Range;
use std::time::Duration;
use tokio::time::Instant;

/// Makes the seed of faults another than that of jobs.
const SEED_SALT: u64 = 0x74_726f_7562_6c65;
/// Faults begin within this part of a trial's length.
const FAULT_WINDOW: Range<f64> = 0.05..1.0;
/// When nothing is left to go wrong, this is looked again.
const NO_FAULT_WAIT: Duration = Duration::from_secs(3600);
/// After how many milliseconds a killed scheduler is started again.
const SCHEDULER_DOWN_MS: Range<u64> = 1..200;
/// The same of a killed worker.
const WORKER_DOWN_MS: Range<u64> = 50..1500;
/// For how many milliseconds a worker drains.
const DRAIN_MS: Range<u64> = 1000..3000;
/// For how many milliseconds a worker misbehaves.
const MISBEHAVIOUR_MS: Range<u64> = 500..4000;
/// Ways to misbehave, the first of which is to drain.
const MISBEHAVIOURS: Range<u32> = 0..9;
/// At which byte a connection is cut.
const CUT_BYTE: Range<usize> = 1..400;
/// How much slower a slow worker is.
const SLOW_FACTOR: f64 = 6.0;
/// Of so many connections a worker cuts one.
const CUT_EVERY: u64 = 3;
/// How late a worker answers.
const LATE: Duration = Duration::from_millis(700);
/// How often a worker repeats its notices.
const REPEATED_NOTICES: u32 = 3;

/// One thing that goes wrong, or is put right.
#[derive(Clone, Debug)]
enum Fault {
    KillScheduler,
    StartScheduler,
    KillWorker,
    Restart(String),
    Misbehave,
    Behave(String),
    Undrain(String),
    Inventory,
}

/// A fault and when it happens.
struct PlannedFault {
    time: Instant,
    fault: Fault,
}

/// The faults that are still to come.
pub(super) struct Faults {
    /// The next one is the last.
    plan: Vec<PlannedFault>,
    rng: SmallRng,
    /// How often the scheduler was killed.
    pub(super) scheduler_kills: u32,
    /// What happened last, for the progress bar.
    pub(super) last: String,
    inventory: Option<Keeper>,
}

impl Faults {
    /// Draws the faults of a trial that begins now.
    pub(super) fn new(trial: &Trial, seed: u64, inventory: Option<Keeper>) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed ^ SEED_SALT);
        let begun = Instant::now();
        let length = trial.jobs as f64 / trial.rate;
        let mut plan = Vec::new();
        for (count, fault) in [
            (trial.kill_scheduler, Fault::KillScheduler),
            (trial.kill_worker, Fault::KillWorker),
            (trial.trouble, Fault::Misbehave),
            (trial.inventory, Fault::Inventory),
        ] {
            for _ in 0..count {
                let after = Duration::from_secs_f64(rng.random_range(FAULT_WINDOW) * length);
                plan.push(PlannedFault { time: begun + after, fault: fault.clone() });
            }
        }
        let mut faults = Faults { plan, rng, scheduler_kills: 0, last: String::new(), inventory };
        faults.sort();
        faults
    }

    fn sort(&mut self) {
        self.plan.sort_by_key(|planned| Reverse(planned.time));
    }

    /// When the next one happens.
    pub(super) fn next_time(&self) -> Instant {
        self.plan.last().map_or(Instant::now() + NO_FAULT_WAIT, |planned| planned.time)
    }

    fn schedule(&mut self, after_ms: Range<u64>, fault: Fault) {
        let time = Instant::now() + Duration::from_millis(self.rng.random_range(after_ms));
        self.plan.push(PlannedFault { time, fault });
        self.sort();
    }

    /// Lets the next one happen. Returns the CPU time of a scheduler that it killed.
    pub(super) async fn apply_next(
        &mut self,
        fleet: &mut Fleet,
        scheduler: &mut Scheduler,
    ) -> Result<Duration, TrialError> {
        let Some(PlannedFault { fault, .. }) = self.plan.pop() else { return Ok(Duration::ZERO) };
        let running: Vec<String> = fleet.workers.keys().cloned().collect();
        let worker = running.choose(&mut self.rng).cloned();
        self.last = format!("{fault:?}");
        match (fault, worker) {
            (Fault::KillScheduler, _) if scheduler.id().is_some() => {
                return Ok(self.kill_scheduler(scheduler).await);
            }
            (Fault::StartScheduler, _) => scheduler.start().await?,
            (Fault::KillWorker, Some(worker)) if running.len() * 2 > fleet.names().len() => {
                fleet.kill(&worker);
                self.schedule(WORKER_DOWN_MS, Fault::Restart(worker));
            }
            (Fault::Restart(worker), _) => fleet.restart(&worker).await?,
            (Fault::Misbehave, Some(worker)) => self.misbehave(fleet, worker),
            (Fault::Behave(worker), _) => fleet.change(&worker, |behaviour| *behaviour = Default::default()),
            (Fault::Undrain(worker), _) => fleet.drain(&worker, false),
            (Fault::Inventory, _) => self.change_inventory()?,
            _ => {}
        }
        Ok(Duration::ZERO)
    }

    async fn kill_scheduler(&mut self, scheduler: &mut Scheduler) -> Duration {
        let cpu = scheduler.cpu();
        scheduler.kill().await;
        self.scheduler_kills += 1;
        self.schedule(SCHEDULER_DOWN_MS, Fault::StartScheduler);
        cpu
    }

    fn misbehave(&mut self, fleet: &mut Fleet, worker: String) {
        let way = self.rng.random_range(MISBEHAVIOURS);
        let byte = self.rng.random_range(CUT_BYTE);
        if way == 0 {
            fleet.drain(&worker, true);
            return self.schedule(DRAIN_MS, Fault::Undrain(worker));
        }
        fleet.change(&worker, |behaviour| match way {
            1 => behaviour.frozen = true,
            2 => behaviour.vanished = true,
            3 => behaviour.slow = SLOW_FACTOR,
            4 => behaviour.cut_every = CUT_EVERY,
            5 => behaviour.late = LATE,
            6 => behaviour.repeat = REPEATED_NOTICES,
            7 => behaviour.cut_at = Some(byte),
            _ => (behaviour.heedless, behaviour.vanished) = (true, true),
        });
        self.schedule(MISBEHAVIOUR_MS, Fault::Behave(worker));
    }

    fn change_inventory(&mut self) -> Result<(), TrialError> {
        if let Some(inventory) = &mut self.inventory {
            self.last = format!("inventory: {}", inventory.change()?);
        }
        Ok(())
    }
}
