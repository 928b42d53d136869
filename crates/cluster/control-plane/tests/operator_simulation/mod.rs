//! Operators who race, retry and read, against the control state on a simulated network.
//!
//! Checked at every step:
//! - of two changes on top of one version at most one is confirmed;
//! - a change that was confirmed is never refused at a retry, at whatever machine;
//! - a read that was sent after a confirmation does not show an older version.
#[path = "../../../replication/tests/common/mod.rs"]
mod common;

use common::SimulatedCluster;
use common::cluster::RecordedEvent;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_control_plane::configuration_state::{ConfigurationState, ReplaceOutcome};
use spanlead_replication::ReplicaEvent;
use std::collections::BTreeMap;

/// How long an operator waits for an answer before it retries, milliseconds.
const RETRY_INTERVAL_MS: u64 = 1_000;

/// A configuration that an operator sends.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub base_version: u64,
    pub version: u64,
    pub text: String,
}

/// The answer to an operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Confirmed,
    Refused,
    Unavailable,
}

/// An answer that waits until a batch is committed.
pub struct PendingAnswer {
    sequence: u64,
    operator: usize,
    answer: Answer,
}

/// The state of a primary, as its node keeps it: answers wait for what they rest on.
pub struct PrimaryState {
    pub configuration: ConfigurationState,
    sequence: u64,
    pending: Vec<PendingAnswer>,
}

/// An operator that replaces the configuration again and again.
#[derive(Default)]
pub struct Operator {
    /// The change that it sends until it is answered.
    pub change: Option<Change>,
    sent_at_ms: u64,
    known_version: u64,
}

impl Operator {
    /// An operator that sends this change first.
    pub fn sending(change: Change) -> Self {
        Operator { change: Some(change), ..Operator::default() }
    }
}

/// Operators and a simulated cluster.
pub struct OperatorSimulation {
    pub cluster: SimulatedCluster,
    pub rng: ChaCha8Rng,
    /// The state of each machine that is primary, or was and does not know better.
    pub primaries: BTreeMap<usize, PrimaryState>,
    pub operators: Vec<Operator>,
    /// All confirmed changes by version.
    pub confirmed: BTreeMap<u64, Change>,
    next_version: u64,
    /// The share of answers that are lost on their way.
    pub answer_loss_rate: f64,
}

impl OperatorSimulation {
    pub fn new(seed: u64) -> Self {
        let mut cluster = SimulatedCluster::new(seed, 1);
        cluster.records_events = true;
        let operators = (0..3).map(|_| Operator::default()).collect();
        OperatorSimulation {
            cluster,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x000F_F1CE),
            primaries: BTreeMap::new(),
            operators,
            confirmed: BTreeMap::new(),
            next_version: 1,
            answer_loss_rate: 0.3,
        }
    }

    pub fn newest_confirmed(&self) -> u64 {
        self.confirmed.keys().next_back().copied().unwrap_or(0)
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.cluster.step();
            self.handle_events();
            if self.cluster.now_ms.is_multiple_of(20) {
                (0..self.operators.len()).for_each(|operator| self.act(operator));
            }
        }
    }

    fn handle_events(&mut self) {
        for RecordedEvent { machine, event } in std::mem::take(&mut self.cluster.events) {
            match event {
                ReplicaEvent::Activated { .. } => {
                    let replica = self.cluster.machines[machine].replica.as_ref().expect("a running replica");
                    let configuration = ConfigurationState::load(replica.keyspace());
                    let sequence = replica.position().sequence;
                    self.primaries
                        .insert(machine, PrimaryState { configuration, sequence, pending: Vec::new() });
                }
                ReplicaEvent::Deactivated => {
                    self.primaries.remove(&machine);
                }
                ReplicaEvent::Committed { sequence } => self.send_answers(machine, sequence),
                _ => {}
            }
        }
        let gone: Vec<usize> = self
            .primaries
            .keys()
            .copied()
            .filter(|machine| self.cluster.machines[*machine].replica.is_none())
            .collect();
        gone.iter().for_each(|machine| drop(self.primaries.remove(machine)));
    }

    fn send_answers(&mut self, machine: usize, sequence: u64) {
        let Some(primary_state) = self.primaries.get_mut(&machine) else { return };
        let (due, rest): (Vec<_>, Vec<_>) =
            primary_state.pending.drain(..).partition(|pending| pending.sequence <= sequence);
        primary_state.pending = rest;
        for PendingAnswer { operator, answer, .. } in due {
            self.answer(operator, answer);
        }
    }

    /// An answer leaves the machine; it may get lost.
    fn answer(&mut self, operator: usize, answer: Answer) {
        let Some(change) = self.operators[operator].change.clone() else { return };
        if answer == Answer::Confirmed {
            // Sent is confirmed, whether or not it arrives.
            if let Some(before) = self.confirmed.insert(change.version, change.clone()) {
                assert_eq!(before, change, "one version, two changes confirmed");
            }
            let same_base =
                self.confirmed.values().filter(|other| other.base_version == change.base_version).count();
            assert_eq!(same_base, 1, "two changes on version {} confirmed", change.base_version);
        }
        if answer == Answer::Refused {
            let was_confirmed = self.confirmed.get(&change.version) == Some(&change);
            assert!(!was_confirmed, "version {} was confirmed and is refused at a retry", change.version);
        }
        if self.rng.random_bool(self.answer_loss_rate) {
            return;
        }
        match answer {
            Answer::Confirmed => {
                self.operators[operator].known_version = change.version;
                self.operators[operator].change = None;
            }
            Answer::Refused => self.operators[operator].change = None,
            Answer::Unavailable => self.operators[operator].sent_at_ms = 0,
        }
    }

    fn act(&mut self, operator: usize) {
        if self.operators[operator].change.is_none() {
            self.read(operator);
            if self.rng.random_bool(0.2) {
                return;
            }
            self.operators[operator].change = Some(self.new_change(operator));
            self.operators[operator].sent_at_ms = 0;
        }
        let now_ms = self.cluster.now_ms;
        if now_ms >= self.operators[operator].sent_at_ms + RETRY_INTERVAL_MS {
            self.operators[operator].sent_at_ms = now_ms;
            let machine = self.rng.random_range(0..self.cluster.machines.len());
            self.send(operator, machine);
        }
    }

    /// A change on top of the version that the operator knows. Now and then two operators use one
    /// version for different changes.
    fn new_change(&mut self, operator: usize) -> Change {
        let base_version = self.operators[operator].known_version;
        let version = self.next_version.max(base_version + 1);
        if self.rng.random_bool(0.7) {
            self.next_version = version + self.rng.random_range(1..4);
        }
        Change { base_version, version, text: configuration_text(version, self.rng.random::<u32>()) }
    }

    fn is_active(&self, machine: usize) -> bool {
        let replica = self.cluster.machines[machine].replica.as_ref();
        !self.cluster.is_paused(machine)
            && replica.is_some_and(|r| r.active_term(self.cluster.now_ms).is_some())
    }

    /// The machine that serves an operator who calls this one: itself, or the primary to which it
    /// redirects, once.
    fn redirected(&self, machine: usize) -> Option<usize> {
        if self.is_active(machine) {
            return Some(machine);
        }
        if self.cluster.is_paused(machine) {
            return None;
        }
        let replica = self.cluster.machines[machine].replica.as_ref()?;
        let primary = replica.verified_primary(self.cluster.now_ms)?;
        let named =
            self.cluster.machines.iter().position(|m| m.config.peer_address == primary.peer_address)?;
        self.is_active(named).then_some(named)
    }

    pub fn send(&mut self, operator: usize, machine: usize) {
        let Some(machine) = self.redirected(machine).filter(|m| self.primaries.contains_key(m)) else {
            return self.answer(operator, Answer::Unavailable);
        };
        let Some(change) = self.operators[operator].change.clone() else { return };
        let keyspace = self.cluster.machines[machine].replica.as_ref().expect("a primary").keyspace().clone();
        let primary_state = self.primaries.get_mut(&machine).expect("a primary");
        let answer = match primary_state.configuration.replace(&keyspace, change.base_version, &change.text) {
            ReplaceOutcome::Accepted(changes) => {
                let now = self.cluster.now_ms;
                let mut sequence = None;
                self.cluster.with_replica(machine, |replica| sequence = replica.propose(now, changes));
                let primary_state = self.primaries.get_mut(&machine).expect("a primary");
                primary_state.sequence = sequence.expect("primary");
                Answer::Confirmed
            }
            ReplaceOutcome::AlreadyAccepted => Answer::Confirmed,
            ReplaceOutcome::VersionConflict | ReplaceOutcome::Rejected(_) => Answer::Refused,
        };
        let committed = self.cluster.machines[machine]
            .replica
            .as_ref()
            .map_or(0, spanlead_replication::Replica::committed_sequence);
        let primary_state = self.primaries.get_mut(&machine).expect("a primary");
        if committed >= primary_state.sequence {
            self.answer(operator, answer);
        } else {
            let sequence = primary_state.sequence;
            primary_state.pending.push(PendingAnswer { sequence, operator, answer });
        }
    }

    /// An operator reads the configuration at any machine that answers.
    fn read(&mut self, operator: usize) {
        let machine = self.rng.random_range(0..self.cluster.machines.len());
        let Some(machine) = self.redirected(machine) else { return };
        let Some(primary_state) = self.primaries.get(&machine) else { return };
        let replica = self.cluster.machines[machine].replica.as_ref().expect("a primary");
        if replica.committed_sequence() < primary_state.sequence {
            return;
        }
        let version = primary_state.configuration.version();
        let newest = self.newest_confirmed();
        assert!(version >= newest, "a read shows version {version} after {newest} was confirmed");
        self.operators[operator].known_version = version;
    }
}

/// The text of a configuration. Two with different limits are different changes.
pub fn configuration_text(version: u64, max_body_bytes: u32) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[],\"services\":[],\"limits\":{{\"maxBodyBytes\":{max_body_bytes}}}}}"
    )
}
