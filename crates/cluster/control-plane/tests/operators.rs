//! Operators who race, resend and read, against the control state on a simulated network: machines are cut off for twenty
//! seconds, killed, frozen, lose power and disks between a write and its answer, and answers get lost. What is checked:
//! - of two changes on top of one version at most one is confirmed;
//! - a change that was taken is never refused when it comes again, at whatever machine;
//! - a read that was sent after a confirmation does not show an older version;
//! - at the end the newest confirmed version is in force, or one that came after it without a clear answer.
#[path = "../../replication/tests/common/mod.rs"]
mod common;
use common::SimulatedCluster;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_control_plane::configuration_state::{ConfigurationState, ReplaceOutcome};
use spanlead_replication::ReplicaEvent;
use std::collections::BTreeMap;

/// How long an operator waits for an answer before it sends the same again, milliseconds.
const PATIENCE_MS: u64 = 1_000;
/// How long a cut lasts that outlasts every lease, milliseconds.
const CUT_MS: u64 = 20_000;

/// A change as an operator builds it.
#[derive(Clone, Debug, PartialEq)]
struct Change {
    base: u64,
    version: u64,
    text: String,
}

/// What an operator is told.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    Confirmed,
    Refused,
    Unavailable,
}

/// What a machine has as primary, as the node has it: answers wait for what they rest on.
struct Desk {
    configurations: ConfigurationState,
    sequence: u64,
    waiting: Vec<(u64, usize, Answer)>,
}

#[derive(Default)]
struct Operator {
    /// The change that it tries, and when and where it was sent last.
    change: Option<Change>,
    sent_at: u64,
    tries: u32,
    known: u64,
}

struct Office {
    world: SimulatedCluster,
    rng: ChaCha8Rng,
    desks: BTreeMap<usize, Desk>,
    operators: Vec<Operator>,
    /// All that were confirmed, by version, with the base.
    confirmed: BTreeMap<u64, Change>,
    next_version: u64,
    lost_answers: f64,
}

impl Office {
    fn open(seed: u64) -> Self {
        let mut world = SimulatedCluster::new(seed, 1);
        world.records_events = true;
        let operators = (0..3).map(|_| Operator::default()).collect();
        Office {
            world,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x0FF1CE),
            desks: BTreeMap::new(),
            operators,
            confirmed: BTreeMap::new(),
            next_version: 1,
            lost_answers: 0.3,
        }
    }

    fn newest_confirmed(&self) -> u64 {
        self.confirmed.keys().next_back().copied().unwrap_or(0)
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.world.step();
            self.take_notices();
            if self.world.now_ms.is_multiple_of(20) {
                (0..self.operators.len()).for_each(|operator| self.act(operator));
            }
        }
    }

    fn take_notices(&mut self) {
        for (i, notice) in std::mem::take(&mut self.world.events) {
            match notice {
                ReplicaEvent::Activated { .. } => {
                    let replica = self.world.machines[i].replica.as_ref().expect("runs");
                    let configurations = ConfigurationState::load(replica.keyspace());
                    let sequence = replica.position().sequence;
                    self.desks.insert(i, Desk { configurations, sequence, waiting: Vec::new() });
                }
                ReplicaEvent::Deactivated => {
                    self.desks.remove(&i);
                }
                ReplicaEvent::Committed { sequence } => self.answer_up_to(i, sequence),
                _ => {}
            }
        }
        let gone: Vec<usize> =
            self.desks.keys().copied().filter(|i| self.world.machines[*i].replica.is_none()).collect();
        gone.iter().for_each(|i| drop(self.desks.remove(i)));
    }

    fn answer_up_to(&mut self, i: usize, sequence: u64) {
        let Some(desk) = self.desks.get_mut(&i) else { return };
        let (due, rest): (Vec<_>, Vec<_>) = desk.waiting.drain(..).partition(|(at, _, _)| *at <= sequence);
        desk.waiting = rest;
        due.into_iter().for_each(|(_, operator, answer)| self.answer(operator, answer));
    }

    /// An answer leaves the machine; it may get lost.
    fn answer(&mut self, operator: usize, answer: Answer) {
        let Some(change) = self.operators[operator].change.clone() else { return };
        if answer == Answer::Confirmed {
            // Sent is confirmed, whether or not it arrives.
            if let Some(before) = self.confirmed.insert(change.version, change.clone()) {
                assert_eq!(before, change, "one version, two changes confirmed");
            }
            let same_base = self.confirmed.values().filter(|other| other.base == change.base).count();
            assert_eq!(same_base, 1, "two changes on version {} confirmed", change.base);
        }
        if answer == Answer::Refused {
            let taken = self.confirmed.get(&change.version) == Some(&change);
            assert!(!taken, "version {} was confirmed and is refused when it comes again", change.version);
        }
        if self.rng.random_bool(self.lost_answers) {
            return;
        }
        match answer {
            Answer::Confirmed => {
                self.operators[operator].known = change.version;
                self.operators[operator].change = None;
            }
            Answer::Refused => self.operators[operator].change = None,
            Answer::Unavailable => self.operators[operator].sent_at = 0,
        }
    }

    fn act(&mut self, operator: usize) {
        let now = self.world.now_ms;
        if self.operators[operator].change.is_none() {
            self.read(operator);
            let known = self.operators[operator].known;
            if self.rng.random_bool(0.2) {
                return;
            }
            // Now and then two operators give different changes one number.
            let version = self.next_version.max(known + 1);
            if self.rng.random_bool(0.7) {
                self.next_version = version + self.rng.random_range(1..4);
            }
            let text = format!(
                "{{\"version\":{version},\"routes\":[],\"services\":[],\"limits\":{{\"maxBodyBytes\":{}}}}}",
                self.rng.random::<u32>()
            );
            self.operators[operator].change = Some(Change { base: known, version, text });
            self.operators[operator].sent_at = 0;
            self.operators[operator].tries = 0;
        }
        if now >= self.operators[operator].sent_at + PATIENCE_MS {
            self.operators[operator].sent_at = now;
            self.operators[operator].tries += 1;
            let machine = self.rng.random_range(0..self.world.machines.len());
            self.send(operator, machine);
        }
    }

    fn serves(&self, machine: usize) -> bool {
        let replica = self.world.machines[machine].replica.as_ref();
        !self.world.is_paused(machine) && replica.is_some_and(|r| r.active_term(self.world.now_ms).is_some())
    }

    /// Follows the machine's directions once, as operators do.
    fn directed(&self, machine: usize) -> Option<usize> {
        if self.serves(machine) {
            return Some(machine);
        }
        if self.world.is_paused(machine) {
            return None;
        }
        let replica = self.world.machines[machine].replica.as_ref()?;
        let primary = replica.verified_primary(self.world.now_ms)?;
        let named = self.world.machines.iter().position(|m| m.config.peer_address == primary.peer_address)?;
        self.serves(named).then_some(named)
    }

    fn send(&mut self, operator: usize, machine: usize) {
        let Some(machine) = self.directed(machine).filter(|m| self.desks.contains_key(m)) else {
            return self.answer(operator, Answer::Unavailable);
        };
        let Some(change) = self.operators[operator].change.clone() else { return };
        let keyspace = self.world.machines[machine].replica.as_ref().expect("serves").keyspace().clone();
        let desk = self.desks.get_mut(&machine).expect("serves");
        let answer = match desk.configurations.replace(&keyspace, change.base, &change.text) {
            ReplaceOutcome::Accepted(changes) => {
                let now = self.world.now_ms;
                let mut sequence = None;
                self.world.with_replica(machine, |replica| sequence = replica.propose(now, changes));
                let desk = self.desks.get_mut(&machine).expect("serves");
                desk.sequence = sequence.expect("primary");
                Answer::Confirmed
            }
            ReplaceOutcome::AlreadyAccepted => Answer::Confirmed,
            ReplaceOutcome::VersionConflict | ReplaceOutcome::Rejected(_) => Answer::Refused,
        };
        let committed = self.world.machines[machine].replica.as_ref().map_or(0, |r| r.committed_sequence());
        let desk = self.desks.get_mut(&machine).expect("serves");
        if committed >= desk.sequence {
            self.answer(operator, answer);
        } else {
            desk.waiting.push((desk.sequence, operator, answer));
        }
    }

    /// Reads the configuration at any machine that answers.
    fn read(&mut self, operator: usize) {
        let machine = self.rng.random_range(0..self.world.machines.len());
        let Some(machine) = self.directed(machine) else { return };
        let Some(desk) = self.desks.get(&machine) else { return };
        let replica = self.world.machines[machine].replica.as_ref().expect("serves");
        if replica.committed_sequence() < desk.sequence {
            return;
        }
        let version = desk.configurations.version();
        let newest = self.newest_confirmed();
        assert!(version >= newest, "a read shows version {version} after {newest} was confirmed");
        self.operators[operator].known = version;
    }
}

/// One story of troubles, with operators at work all the time.
fn story(seed: u64) {
    let mut office = Office::open(seed);
    office.run(2_000);
    for _ in 0..8 {
        let count = office.world.machines.len();
        let i = match office.world.primary() {
            Some(primary) if office.rng.random_bool(0.7) => primary,
            _ => office.rng.random_range(0..count),
        };
        let wait = office.rng.random_range(0..60);
        office.run(wait);
        match office.rng.random_range(0..8) {
            0 => {
                office.world.crash(i);
                let down = office.rng.random_range(100..2_000);
                office.run(down);
                office.world.start(i);
            }
            1 => {
                (0..count).for_each(|i| office.world.crash(i));
                office.run(100);
                (0..count).for_each(|i| office.world.start(i));
            }
            2 => {
                office.world.lose_disk(i);
                office.run(500);
                office.world.start(i);
            }
            3 => {
                office.world.pause(i, 3_000);
                office.run(3_500);
            }
            4 | 5 => {
                let way = office.rng.random_range(0..3);
                office.world.isolate(i, way != 1, way != 2);
                office.run(CUT_MS);
                office.world.partitioned_links.clear();
                office.run(1_000);
            }
            6 => {
                office.world.lose_disk(i);
                (0..count).filter(|o| *o != i).for_each(|o| office.world.crash(o));
                office.run(50);
                (0..count).for_each(|i| office.world.start(i));
            }
            _ => {
                let to = (i + 1) % count;
                office.world.delay_link((i, to), 1_500);
                office.run(2_000);
            }
        }
        office.run(3_000);
    }
    office.lost_answers = 0.0;
    office.run(4_000);
    let newest = office.newest_confirmed();
    assert!(office.confirmed.len() > 20, "seed {seed}: {} changes confirmed", office.confirmed.len());
    let primary = office.world.primary().expect("serves");
    let version = office.desks[&primary].configurations.version();
    assert!(version >= newest, "seed {seed}: version {version} in force, {newest} confirmed");
}

#[test]
fn operators_are_told_the_truth_whatever_happens() {
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(12);
    (0..seeds).for_each(story);
}

/// A change that never lasted is not confirmed when it comes again at the next primary, and another may take its number.
#[test]
fn a_change_whose_batch_never_lasted_is_judged_anew() {
    for seed in 0..20 {
        let mut office = Office::open(seed);
        office.lost_answers = 0.0;
        office.operators.clear();
        office.run(1_500);
        let primary = office.world.primary().expect("serves");
        // What the primary writes reaches nobody, and its machine is lost right after.
        office.world.isolate(primary, true, false);
        let text = |body: u32| {
            format!("{{\"version\":5,\"routes\":[],\"services\":[],\"limits\":{{\"maxBodyBytes\":{body}}}}}")
        };
        office.operators.push(Operator {
            change: Some(Change { base: 0, version: 5, text: text(1) }),
            ..Operator::default()
        });
        office.send(0, primary);
        office.run(30);
        assert!(office.confirmed.is_empty(), "seed {seed}: confirmed without lasting");
        office.world.crash(primary);
        office.world.partitioned_links.clear();
        let other = Change { base: 0, version: 5, text: text(2) };
        office.operators[0].change = Some(other.clone());
        office.run(3_000);
        assert_eq!(office.confirmed.get(&5), Some(&other), "seed {seed}");
        // The machine that wrote the first one returns; its copy does not come into force.
        office.world.start(primary);
        office.run(2_000);
        let (serving, desk) = office.desks.iter().next().expect("serves");
        assert!(
            desk.configurations.text() != Some(&text(1)),
            "seed {seed}: {serving} serves what never lasted"
        );
        assert!(desk.configurations.version() >= 5, "seed {seed}: {serving} serves an older version");
    }
}
