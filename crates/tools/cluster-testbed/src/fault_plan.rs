//! Faults: which ones a trial injects, in which order, and how each is injected.
use crate::platform::Platform;
use crate::process_control::{Machines, Role, TrialError};
use crate::trial_options::TrialOptions;
use async_std::task;
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use std::ops::Range;
use std::time::Duration;

/// How long a machine is down, or stopped, milliseconds.
const OUTAGE_MS: Range<u64> = 200..2_500;
/// How long the whole control plane is down.
const CONTROL_PLANE_OUTAGE: Duration = Duration::from_millis(300);

/// A kind of fault. Its name is printed in the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A machine of the control plane is killed and started again.
    KillControl,
    /// A machine of the control plane is stopped for a while and goes on.
    FreezeControl,
    /// A machine of the control plane loses its disk.
    WipeControl,
    /// A machine of the control plane is terminated gracefully and started again.
    RestartControl,
    /// All machines of the control plane are killed at once, and started again.
    KillAllControl,
    /// A machine of the data plane is killed and started again.
    KillData,
    /// A worker crashes; a new incarnation takes its address.
    CrashWorker,
}

/// How often a kind of fault was injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultCount {
    /// The kind.
    pub fault: Fault,
    /// How often.
    pub count: usize,
}

/// Counts a fault. The kinds are listed in the order of their first injection.
pub fn count_fault(counts: &mut Vec<FaultCount>, fault: Fault) {
    match counts.iter_mut().find(|entry| entry.fault == fault) {
        Some(entry) => entry.count += 1,
        None => counts.push(FaultCount { fault, count: 1 }),
    }
}

/// The faults that the options ask for, in random order.
#[must_use]
pub fn plan_faults(options: &TrialOptions, rng: &mut ChaCha8Rng) -> Vec<Fault> {
    let wanted = [
        (Fault::KillControl, options.kill_control),
        (Fault::FreezeControl, options.freeze_control),
        (Fault::WipeControl, options.wipe_control),
        (Fault::RestartControl, options.restart_control),
        (Fault::KillAllControl, options.kill_all_control),
        (Fault::KillData, options.kill_data),
        (Fault::CrashWorker, options.crash_worker),
    ];
    let repeated = wanted.iter().flat_map(|(fault, count)| std::iter::repeat_n(*fault, *count));
    let mut plan: Vec<Fault> = repeated.collect();
    plan.shuffle(rng);
    plan
}

/// Injects a fault, and ends it. Returns what happened, as it is printed.
///
/// # Errors
/// If a process can't be started again.
pub async fn inject_fault(
    fault: Fault,
    machines: &mut Machines,
    platform: &Platform,
    rng: &mut ChaCha8Rng,
) -> Result<String, TrialError> {
    let control = machines.with_role(Role::Control);
    let index = control.choose(rng).copied().unwrap_or(0);
    let node = machines.machines[index].node.clone();
    let outage = Duration::from_millis(rng.random_range(OUTAGE_MS));
    match fault {
        Fault::KillControl => {
            kill_and_start(machines, index, outage).await?;
            Ok(format!("{node} was killed"))
        }
        Fault::FreezeControl => {
            machines.signal(index, Signal::STOP);
            task::sleep(outage).await;
            machines.signal(index, Signal::CONT);
            Ok(format!("{node} stood still for {outage:?}"))
        }
        Fault::WipeControl => {
            machines.wipe(index);
            task::sleep(outage).await;
            machines.start(index, false)?;
            Ok(format!("{node} lost its disk"))
        }
        Fault::RestartControl => {
            machines.terminate(index);
            machines.start(index, false)?;
            Ok(format!("{node} was restarted"))
        }
        Fault::KillAllControl => kill_all(machines, &control).await,
        Fault::KillData => {
            let index = machines.with_role(Role::Data).choose(rng).copied().unwrap_or(0);
            kill_and_start(machines, index, outage).await?;
            Ok(format!("{} was killed", machines.machines[index].node))
        }
        Fault::CrashWorker => Ok(crash_worker(platform, rng)),
    }
}

async fn kill_and_start(machines: &mut Machines, index: usize, outage: Duration) -> Result<(), TrialError> {
    machines.kill(index);
    task::sleep(outage).await;
    machines.start(index, false)
}

async fn kill_all(machines: &mut Machines, control: &[usize]) -> Result<String, TrialError> {
    for index in control {
        machines.kill(*index);
    }
    task::sleep(CONTROL_PLANE_OUTAGE).await;
    for index in control {
        machines.start(*index, false)?;
    }
    Ok("all of the control plane were killed".to_owned())
}

fn crash_worker(platform: &Platform, rng: &mut ChaCha8Rng) -> String {
    let count = platform.fleet().workers.len();
    let index = rng.random_range(0..count);
    platform.crash_worker(index);
    format!("worker {index} crashed")
}
