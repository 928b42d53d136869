//! Every placement of two troubles at a set of moments, searched whole: three machines that serve, and one that joins. Each trouble may come at
//! any of the moments of a heartbeat's period, the second at any moment after the first; the rules of [`common::SimulatedCluster`] are
//! checked in each millisecond, and service must return wherever no more is lost than the system bears.
mod common;
use common::SimulatedCluster;
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Moments at which troubles may come.
#[derive(Clone, Copy)]
struct Moments {
    /// Between two of them, milliseconds.
    stride_ms: u64,
    /// How many there are for the first: a heartbeat's period.
    first: u64,
    /// How many after the first for the second: until a lease has ended, and the failover after it.
    second: u64,
}

/// For each change. `MODEL_FULL=1` searches the finer ones.
const COARSE: Moments = Moments { stride_ms: 53, first: 2, second: 13 };
const FINE: Moments = Moments { stride_ms: 12, first: 9, second: 56 };

fn moments() -> Moments {
    if std::env::var("MODEL_FULL").is_ok() { FINE } else { COARSE }
}

/// By when service must be back after all that is not lost has returned, milliseconds.
const RETURN_MS: u64 = 4_000;
/// After a member was lost without a word, another loss is borne from here on, milliseconds.
const EXCHANGED_MS: u64 = 400;
/// The same where no machine stands by and the lost one returns with an empty disk.
const REPAIRED_MS: u64 = 100;

/// A machine, by what it is when the trouble comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Who {
    Primary,
    First,
    Second,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Trouble {
    /// The process ends; it returns when all is over.
    Crash(Who),
    /// The machine is lost with its disk. One that stands by takes its place.
    Lose(Who),
    /// The disk is lost, and the machine starts again at once.
    Wipe(Who),
    /// It stands still for longer than a lease.
    Freeze(Who),
    /// Nothing that it sends arrives.
    Mute(Who),
    /// It hears nothing.
    Deafen(Who),
    /// What it sends comes 400 ms late.
    Delay(Who),
    /// It is told to leave for good, and is lost with its disk as soon as it says that it may end.
    Leave(Who),
    /// All lose power, and start again.
    Power,
}

const EVERYBODY: [Who; 3] = [Who::Primary, Who::First, Who::Second];

fn troubles() -> Vec<Trouble> {
    let kinds = [
        Trouble::Crash,
        Trouble::Lose,
        Trouble::Wipe,
        Trouble::Freeze,
        Trouble::Mute,
        Trouble::Deafen,
        Trouble::Delay,
        Trouble::Leave,
    ];
    let all = kinds.iter().flat_map(|kind| EVERYBODY.map(kind));
    all.chain([Trouble::Power]).collect()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    Wait,
    Strike(Trouble),
    /// All that is not lost returns, and service must too.
    End,
}

#[derive(Clone)]
struct State {
    world: SimulatedCluster,
    /// Moments since the beginning, or since the last trouble, and all that was done.
    waited: u64,
    done: Vec<(u64, Trouble)>,
    ended: bool,
    broken: Option<String>,
}

impl State {
    fn key(&self) -> (&[(u64, Trouble)], u64, bool, bool) {
        (&self.done, self.waited, self.ended, self.broken.is_some())
    }
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?} then {} moments{}", self.done, self.waited, self.broken.as_deref().unwrap_or(""))
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for State {}

impl Hash for State {
    /// The seed and what was done determine the rest.
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.key().hash(hasher);
    }
}

struct Troubles {
    seed: u64,
    /// Whether a fourth machine stands by.
    spare: bool,
    moments: Moments,
}

impl Troubles {
    fn strike(&self, world: &mut SimulatedCluster, trouble: Trouble) {
        let primary = world.primary().unwrap_or(0);
        let find = |who: Who| match who {
            Who::Primary => primary,
            Who::First => (primary + 1) % 3,
            Who::Second => (primary + 2) % 3,
        };
        match trouble {
            Trouble::Crash(who) => world.crash(find(who)),
            Trouble::Lose(who) => world.lose_disk(find(who)),
            Trouble::Wipe(who) => {
                world.lose_disk(find(who));
                world.start(find(who));
            }
            Trouble::Freeze(who) => world.pause(find(who), 800),
            Trouble::Mute(who) => world.isolate(find(who), true, false),
            Trouble::Deafen(who) => world.isolate(find(who), false, true),
            Trouble::Delay(who) => {
                let from = find(who);
                (0..world.machines.len()).for_each(|to| world.delay_link((from, to), 400));
            }
            Trouble::Leave(who) => self.let_go(world, find(who)),
            Trouble::Power => {
                let running: Vec<usize> =
                    (0..world.machines.len()).filter(|i| world.machines[*i].replica.is_some()).collect();
                running.iter().for_each(|i| world.crash(*i));
                running.iter().for_each(|i| world.start(*i));
            }
        }
    }

    fn let_go(&self, world: &mut SimulatedCluster, i: usize) {
        world.request_leave(i);
        for _ in 0..2_000 {
            if world.machines[i].leave_allowed || world.machines[i].replica.is_none() {
                break;
            }
            world.run(1);
        }
        if self.spare { world.lose_disk(i) } else { world.crash(i) }
    }

    /// Whether service must return: no two disks were lost closer together than the system bears, and no disk was lost
    /// while something else kept the others from taking its place.
    fn must_serve(&self, done: &[(u64, Trouble)]) -> bool {
        let loses = |trouble: &Trouble| match trouble {
            Trouble::Lose(_) | Trouble::Wipe(_) => true,
            Trouble::Leave(_) => self.spare,
            _ => false,
        };
        let [(_, first), (after, second)] = done else { return true };
        if !loses(first) || !loses(second) {
            return true;
        }
        let borne_after = match first {
            Trouble::Leave(_) => 0,
            Trouble::Wipe(Who::Primary) => return false,
            Trouble::Wipe(_) => REPAIRED_MS,
            _ => EXCHANGED_MS,
        };
        let primary_lost = matches!(first, Trouble::Lose(Who::Primary));
        self.spare && !primary_lost && after * self.moments.stride_ms >= borne_after
    }

    fn end(&self, state: &mut State) {
        let world = &mut state.world;
        world.partitioned_links.clear();
        let lost = |i: usize| world.machines[i].disk.identity.is_none();
        let down: Vec<usize> =
            (0..world.machines.len()).filter(|i| world.machines[*i].replica.is_none() && !lost(*i)).collect();
        down.into_iter().for_each(|i| world.start(i));
        let before = world.committed_keys.len();
        let serves = (0..RETURN_MS / 25).any(|_| {
            world.run(25);
            world.primary().is_some() && world.committed_keys.len() > before + 5
        });
        state.ended = true;
        if !serves && self.must_serve(&state.done) {
            state.broken = Some(format!(": no service again: {}", state.world.describe()));
        }
    }
}

impl Model for Troubles {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut world = SimulatedCluster::new(self.seed, 1);
        if self.spare {
            let spare = world.add_machine();
            world.run(800);
            world.start(spare);
        }
        world.run(1_200);
        assert!(world.primary().is_some(), "no start");
        vec![State { world, waited: 0, done: Vec::new(), ended: false, broken: None }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.ended || state.broken.is_some() {
            return;
        }
        let moments = match state.done.len() {
            0 => self.moments.first,
            1 => self.moments.second,
            _ => return actions.push(Action::End),
        };
        if state.waited + 1 < moments {
            actions.push(Action::Wait);
        }
        actions.extend(troubles().into_iter().map(Action::Strike));
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        let told = catch_unwind(AssertUnwindSafe(|| match action {
            Action::Wait => {
                next.waited += 1;
                next.world.run(self.moments.stride_ms);
            }
            Action::Strike(trouble) => {
                next.done.push((next.waited, trouble));
                next.waited = 0;
                self.strike(&mut next.world, trouble);
            }
            Action::End => self.end(&mut next),
        }));
        if let Err(why) = told {
            let why = why.downcast_ref::<String>().cloned().unwrap_or_default();
            next.broken = Some(format!(": {why}"));
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("rules hold and service returns", |_, state: &State| state.broken.is_none())]
    }
}

fn search(model: Troubles) {
    let name = format!("seed {}, spare {}", model.seed, model.spare);
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{name}: {} states", checker.unique_state_count());
    if let Some(path) = checker.discovery("rules hold and service returns") {
        panic!("{name}: {:?}", path.last_state());
    }
}

/// How many of the seeds are searched; more than one for a long search.
fn seeds() -> u64 {
    std::env::var("MODEL_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(1)
}

#[test]
fn two_troubles_at_any_moments_with_a_machine_that_stands_by() {
    for seed in 0..seeds() {
        search(Troubles { seed, spare: true, moments: moments() });
    }
}

#[test]
fn two_troubles_at_any_moments_with_three_machines() {
    for seed in 0..seeds() {
        search(Troubles { seed: 100 + seed, spare: false, moments: moments() });
    }
}
