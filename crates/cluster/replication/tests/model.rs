//! Exhaustive search over all combinations of two faults at discrete times, in a cluster of three
//! machines with and without a standby. The first fault occurs at any time step of a heartbeat
//! period, the second at any time step after the first. The invariants of `common` are checked in
//! each millisecond, and service must be restored unless more is lost than the system tolerates.
mod common;
use common::{SimulatedCluster, env_number};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The discrete times at which faults may occur.
#[derive(Clone, Copy)]
struct TimeSteps {
    /// The length of a time step, milliseconds.
    step_ms: u64,
    /// The number of time steps for the first fault, which cover a heartbeat period.
    first: u64,
    /// The number of time steps after the first fault for the second, which cover the rest of a
    /// lease and the failover after it.
    second: u64,
}

/// The time steps of the default search, which is short enough to run for each change of the code.
const COARSE: TimeSteps = TimeSteps { step_ms: 53, first: 2, second: 13 };
/// The time steps of the search if the environment variable `MODEL_FULL` is set.
const FINE: TimeSteps = TimeSteps { step_ms: 12, first: 9, second: 56 };

fn time_steps() -> TimeSteps {
    if std::env::var("MODEL_FULL").is_ok() { FINE } else { COARSE }
}

/// The maximum time until service is restored after all machines that are not lost have returned,
/// milliseconds.
const RECOVERY_TIMEOUT_MS: u64 = 4_000;
/// The interval at which a test checks for service, milliseconds.
const SERVICE_POLL_MS: u64 = 25;
/// The time after the loss of a member without a request to leave from which another loss is
/// tolerated, milliseconds.
const REPLACEMENT_MS: u64 = 400;
/// The same after the loss of a disk whose machine restarts at once, milliseconds.
const REPAIR_MS: u64 = 100;
/// How long a machine that was told to leave waits for permission before it is terminated anyway,
/// milliseconds.
const LEAVE_TIMEOUT_MS: u64 = 2_000;
/// The duration of a pause, which exceeds that of a lease, milliseconds.
const PAUSE_MS: u64 = 800;
/// How long the messages of a delayed machine are held back, milliseconds.
const DELAY_MS: u64 = 400;

/// The property that holds in every state.
const INVARIANTS_HOLD: &str = "invariants hold and service is restored";

/// A machine, by its role when the fault occurs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Target {
    Primary,
    FirstBackup,
    SecondBackup,
}

const TARGETS: [Target; 3] = [Target::Primary, Target::FirstBackup, Target::SecondBackup];

impl Target {
    fn index(self, primary: usize) -> usize {
        match self {
            Target::Primary => primary,
            Target::FirstBackup => (primary + 1) % 3,
            Target::SecondBackup => (primary + 2) % 3,
        }
    }
}

/// A fault that the search injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    /// The process terminates, and restarts at the recovery.
    Crash(Target),
    /// The machine is lost with its disk, and does not return. A standby may replace it.
    LoseMachine(Target),
    /// The disk is erased, and the machine restarts at once.
    LoseDisk(Target),
    /// The process is paused for longer than a lease.
    Pause(Target),
    /// All messages from the machine are lost.
    CutSends(Target),
    /// All messages to the machine are lost.
    CutReceives(Target),
    /// All messages from the machine are held back for a while.
    DelaySends(Target),
    /// The machine is told to leave permanently, and terminates as soon as it may; its disk is lost
    /// if there is a standby.
    Leave(Target),
    /// All running machines lose power, and restart at once.
    PowerLoss,
}

fn all_faults() -> Vec<Fault> {
    let kinds = [
        Fault::Crash,
        Fault::LoseMachine,
        Fault::LoseDisk,
        Fault::Pause,
        Fault::CutSends,
        Fault::CutReceives,
        Fault::DelaySends,
        Fault::Leave,
    ];
    let targeted = kinds.iter().flat_map(|kind| TARGETS.map(kind));
    targeted.chain([Fault::PowerLoss]).collect()
}

/// A transition between two states of the search.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// Run the cluster until the next time step.
    Wait,
    /// Inject a fault.
    Inject(Fault),
    /// Restore all links and all machines that are not lost, and check that service is restored.
    Recover,
}

/// A fault, with the number of time steps between it and the previous fault or the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct InjectedFault {
    steps_before: u64,
    fault: Fault,
}

/// A state of the search.
#[derive(Clone)]
struct State {
    cluster: SimulatedCluster,
    /// The number of time steps since the last fault or the start.
    steps: u64,
    injected: Vec<InjectedFault>,
    recovered: bool,
    /// The message of the invariant that was violated.
    violation: Option<String>,
}

impl State {
    /// The parts that identify a state: the seed and the actions determine all others.
    fn key(&self) -> (&[InjectedFault], u64, bool, bool) {
        (&self.injected, self.steps, self.recovered, self.violation.is_some())
    }
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let violation = self.violation.as_deref().unwrap_or("");
        write!(f, "{:?} then {} time steps{violation}", self.injected, self.steps)
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.key().hash(hasher);
    }
}

/// The search over all combinations of two faults.
struct TwoFaults {
    seed: u64,
    /// Whether a fourth machine runs as a standby.
    has_standby: bool,
    time_steps: TimeSteps,
}

impl TwoFaults {
    fn inject(&self, cluster: &mut SimulatedCluster, fault: Fault) {
        let primary = cluster.primary().unwrap_or(0);
        match fault {
            Fault::Crash(target) => cluster.crash(target.index(primary)),
            Fault::LoseMachine(target) => cluster.lose_disk(target.index(primary)),
            Fault::LoseDisk(target) => {
                cluster.lose_disk(target.index(primary));
                cluster.start(target.index(primary));
            }
            Fault::Pause(target) => cluster.pause(target.index(primary), PAUSE_MS),
            Fault::CutSends(target) => cluster.isolate(target.index(primary), true, false),
            Fault::CutReceives(target) => cluster.isolate(target.index(primary), false, true),
            Fault::DelaySends(target) => {
                let from = target.index(primary);
                (0..cluster.machines.len()).for_each(|to| cluster.delay_link(from, to, DELAY_MS));
            }
            Fault::Leave(target) => self.leave(cluster, target.index(primary)),
            Fault::PowerLoss => restart_all(cluster),
        }
    }

    /// Tells a machine to leave, and terminates it once it may terminate or after
    /// [`LEAVE_TIMEOUT_MS`].
    fn leave(&self, cluster: &mut SimulatedCluster, index: usize) {
        cluster.request_leave(index);
        for _ in 0..LEAVE_TIMEOUT_MS {
            let machine = &cluster.machines[index];
            if machine.leave_allowed || machine.replica.is_none() {
                break;
            }
            cluster.run(1);
        }
        if self.has_standby { cluster.lose_disk(index) } else { cluster.crash(index) }
    }

    /// Whether a fault erases a disk.
    fn loses_disk(&self, fault: Fault) -> bool {
        match fault {
            Fault::LoseMachine(_) | Fault::LoseDisk(_) => true,
            Fault::Leave(_) => self.has_standby,
            _ => false,
        }
    }

    /// Whether service must be restored. It need not be if two disks were lost in a shorter time
    /// than the system needs to replace the first one, or if the replacement was not possible.
    fn must_serve(&self, injected: &[InjectedFault]) -> bool {
        let [first, second] = injected else { return true };
        if !self.loses_disk(first.fault) || !self.loses_disk(second.fault) {
            return true;
        }
        let tolerated_after_ms = match first.fault {
            Fault::Leave(_) => 0,
            Fault::LoseDisk(Target::Primary) => return false,
            Fault::LoseDisk(_) => REPAIR_MS,
            _ => REPLACEMENT_MS,
        };
        let is_primary_lost = matches!(first.fault, Fault::LoseMachine(Target::Primary));
        let between_ms = second.steps_before * self.time_steps.step_ms;
        self.has_standby && !is_primary_lost && between_ms >= tolerated_after_ms
    }

    fn recover(&self, state: &mut State) {
        let cluster = &mut state.cluster;
        cluster.heal_links();
        let is_down = |index: &usize| {
            let machine = &cluster.machines[*index];
            machine.replica.is_none() && machine.disk.identity.is_some()
        };
        let down: Vec<usize> = (0..cluster.machines.len()).filter(is_down).collect();
        down.into_iter().for_each(|index| cluster.start(index));
        let serves = cluster.serves_within_polling(RECOVERY_TIMEOUT_MS, SERVICE_POLL_MS);
        state.recovered = true;
        if !serves && self.must_serve(&state.injected) {
            state.violation = Some(format!(": service is not restored: {}", state.cluster.describe()));
        }
    }
}

/// Crashes and restarts all running machines.
fn restart_all(cluster: &mut SimulatedCluster) {
    let runs = |index: &usize| cluster.machines[*index].replica.is_some();
    let running: Vec<usize> = (0..cluster.machines.len()).filter(runs).collect();
    running.iter().for_each(|index| cluster.crash(*index));
    running.iter().for_each(|index| cluster.start(*index));
}

impl Model for TwoFaults {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut cluster = SimulatedCluster::new(self.seed, 1);
        if self.has_standby {
            let standby = cluster.add_machine();
            cluster.run(800);
            cluster.start(standby);
        }
        cluster.run(1_200);
        assert!(cluster.primary().is_some(), "seed {}: no primary after warm-up", self.seed);
        vec![State { cluster, steps: 0, injected: Vec::new(), recovered: false, violation: None }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.recovered || state.violation.is_some() {
            return;
        }
        let step_count = match state.injected.len() {
            0 => self.time_steps.first,
            1 => self.time_steps.second,
            _ => return actions.push(Action::Recover),
        };
        if state.steps + 1 < step_count {
            actions.push(Action::Wait);
        }
        actions.extend(all_faults().into_iter().map(Action::Inject));
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        let result = catch_unwind(AssertUnwindSafe(|| match action {
            Action::Wait => {
                next.steps += 1;
                next.cluster.run(self.time_steps.step_ms);
            }
            Action::Inject(fault) => {
                next.injected.push(InjectedFault { steps_before: next.steps, fault });
                next.steps = 0;
                self.inject(&mut next.cluster, fault);
            }
            Action::Recover => self.recover(&mut next),
        }));
        if let Err(panic) = result {
            let message = panic.downcast_ref::<String>().cloned().unwrap_or_default();
            next.violation = Some(format!(": {message}"));
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(INVARIANTS_HOLD, |_, state: &State| state.violation.is_none())]
    }
}

/// Searches all states, and panics with the first state found that violates the property.
fn search(model: TwoFaults) {
    let name = format!("seed {}, standby {}", model.seed, model.has_standby);
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{name}: {} states", checker.unique_state_count());
    if let Some(path) = checker.discovery(INVARIANTS_HOLD) {
        panic!("{name}: {:?}", path.last_state());
    }
}

/// The number of seeds to search, from the environment variable `MODEL_SEEDS`.
fn seeds() -> u64 {
    env_number("MODEL_SEEDS", 1)
}

#[test]
fn any_two_faults_are_tolerated_with_a_standby() {
    for seed in 0..seeds() {
        search(TwoFaults { seed, has_standby: true, time_steps: time_steps() });
    }
}

#[test]
fn any_two_faults_are_tolerated_without_a_standby() {
    for seed in 0..seeds() {
        search(TwoFaults { seed: 100 + seed, has_standby: false, time_steps: time_steps() });
    }
}
