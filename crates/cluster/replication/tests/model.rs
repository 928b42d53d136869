//! Every placement of two faults at a set of moments, searched exhaustively: three machines that
//! serve, with and without a standby. The first fault may come at any of the moments of a
//! heartbeat's period, the second at any moment after the first; the rules of `common` are checked
//! in each millisecond, and service must return wherever no more is lost than the system tolerates.
mod common;
use common::{SimulatedCluster, env_number};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Moments at which faults may come.
#[derive(Clone, Copy)]
struct Moments {
    /// Between two of them, milliseconds.
    stride_ms: u64,
    /// How many there are for the first fault: a heartbeat's period.
    first: u64,
    /// How many there are after the first fault for the second: until a lease has ended, and the
    /// failover after it.
    second: u64,
}

/// For each change of the code. `MODEL_FULL=1` searches the finer moments.
const COARSE: Moments = Moments { stride_ms: 53, first: 2, second: 13 };
const FINE: Moments = Moments { stride_ms: 12, first: 9, second: 56 };

fn moments() -> Moments {
    if std::env::var("MODEL_FULL").is_ok() { FINE } else { COARSE }
}

/// By when service must be back after all that is not lost has returned, milliseconds.
const RECOVERY_TIMEOUT_MS: u64 = 4_000;
/// How often service is checked for, milliseconds.
const SERVICE_POLL_MS: u64 = 25;
/// How long after the silent loss of a member another loss is tolerated, milliseconds.
const REPLACEMENT_MS: u64 = 400;
/// The same where there is no standby and the lost machine returns with an empty disk.
const REPAIR_MS: u64 = 100;
/// How long a machine is told to leave before it is taken anyway, milliseconds.
const LEAVE_TIMEOUT_MS: u64 = 2_000;
/// How long a paused machine stands still: longer than a lease, milliseconds.
const PAUSE_MS: u64 = 800;
/// How late the messages of a delayed machine come, milliseconds.
const DELAY_MS: u64 = 400;

/// The property that holds in every state.
const RULES_HOLD: &str = "rules hold and service returns";

/// A machine, by what it is when the fault comes.
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    /// The process ends; it starts again when all is over.
    Crash(Target),
    /// The machine is lost with its disk. A standby takes its place.
    LoseMachine(Target),
    /// The disk is lost, and the machine starts again at once.
    LoseDisk(Target),
    /// The process is paused for longer than a lease.
    Pause(Target),
    /// Nothing that the machine sends arrives.
    CutSends(Target),
    /// Nothing arrives at the machine.
    CutReceives(Target),
    /// What the machine sends arrives late.
    DelaySends(Target),
    /// The machine is told to leave for good, and is lost with its disk as soon as it may
    /// terminate.
    Leave(Target),
    /// All lose power, and start again.
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// Let time pass until the next moment.
    Wait,
    /// Inject a fault.
    Inject(Fault),
    /// All that is not lost returns, and service must too.
    Recover,
}

/// A fault and the number of moments that passed before it, since the beginning or the fault
/// before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct InjectedFault {
    waited: u64,
    fault: Fault,
}

#[derive(Clone)]
struct State {
    cluster: SimulatedCluster,
    /// Moments since the beginning, or since the last fault.
    waited: u64,
    injected: Vec<InjectedFault>,
    recovered: bool,
    /// The rule that was broken.
    broken: Option<String>,
}

impl State {
    /// What tells states apart: the seed and the actions determine the rest.
    fn key(&self) -> (&[InjectedFault], u64, bool, bool) {
        (&self.injected, self.waited, self.recovered, self.broken.is_some())
    }
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let broken = self.broken.as_deref().unwrap_or("");
        write!(f, "{:?} then {} moments{broken}", self.injected, self.waited)
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

struct TwoFaults {
    seed: u64,
    /// Whether there is a fourth machine as a standby.
    has_standby: bool,
    moments: Moments,
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
            Fault::Leave(target) => self.let_leave(cluster, target.index(primary)),
            Fault::PowerLoss => restart_all(cluster),
        }
    }

    fn let_leave(&self, cluster: &mut SimulatedCluster, index: usize) {
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

    /// Whether a fault takes a disk away for good.
    fn loses_disk(&self, fault: Fault) -> bool {
        match fault {
            Fault::LoseMachine(_) | Fault::LoseDisk(_) => true,
            Fault::Leave(_) => self.has_standby,
            _ => false,
        }
    }

    /// Whether service must return: no two disks were lost closer together than the system
    /// tolerates, and no disk was lost while something else kept the others from taking its place.
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
        let between_ms = second.waited * self.moments.stride_ms;
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
        let serves = cluster.serves_within_polled(RECOVERY_TIMEOUT_MS, SERVICE_POLL_MS);
        state.recovered = true;
        if !serves && self.must_serve(&state.injected) {
            state.broken = Some(format!(": no service again: {}", state.cluster.describe()));
        }
    }
}

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
        assert!(cluster.primary().is_some(), "no start");
        vec![State { cluster, waited: 0, injected: Vec::new(), recovered: false, broken: None }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.recovered || state.broken.is_some() {
            return;
        }
        let moments = match state.injected.len() {
            0 => self.moments.first,
            1 => self.moments.second,
            _ => return actions.push(Action::Recover),
        };
        if state.waited + 1 < moments {
            actions.push(Action::Wait);
        }
        actions.extend(all_faults().into_iter().map(Action::Inject));
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        let result = catch_unwind(AssertUnwindSafe(|| match action {
            Action::Wait => {
                next.waited += 1;
                next.cluster.run(self.moments.stride_ms);
            }
            Action::Inject(fault) => {
                next.injected.push(InjectedFault { waited: next.waited, fault });
                next.waited = 0;
                self.inject(&mut next.cluster, fault);
            }
            Action::Recover => self.recover(&mut next),
        }));
        if let Err(panic) = result {
            let message = panic.downcast_ref::<String>().cloned().unwrap_or_default();
            next.broken = Some(format!(": {message}"));
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(RULES_HOLD, |_, state: &State| state.broken.is_none())]
    }
}

fn search(model: TwoFaults) {
    let name = format!("seed {}, standby {}", model.seed, model.has_standby);
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{name}: {} states", checker.unique_state_count());
    if let Some(path) = checker.discovery(RULES_HOLD) {
        panic!("{name}: {:?}", path.last_state());
    }
}

/// How many seeds are searched; more than one for a long search.
fn seeds() -> u64 {
    env_number("MODEL_SEEDS", 1)
}

#[test]
fn two_faults_at_any_moments_are_tolerated_with_a_standby() {
    for seed in 0..seeds() {
        search(TwoFaults { seed, has_standby: true, moments: moments() });
    }
}

#[test]
fn two_faults_at_any_moments_are_tolerated_with_three_machines() {
    for seed in 0..seeds() {
        search(TwoFaults { seed: 100 + seed, has_standby: false, moments: moments() });
    }
}
