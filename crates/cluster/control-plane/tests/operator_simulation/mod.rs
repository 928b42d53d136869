//! A simulation of operators who concurrently replace and read the configuration of a simulated
//! cluster, and retry their requests.
//!
//! It checks at every step:
//! - At most one of the changes based on the same version is confirmed.
//! - A confirmed change is never rejected at a retry, whichever machine receives it.
//! - A read that is sent after a confirmation does not return an older version.
#[path = "../../../replication/tests/common/mod.rs"]
mod common;

use common::SimulatedCluster;
use common::cluster::RecordedEvent;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_control_plane::configuration_state::{ConfigurationState, ReplaceOutcome};
use spanlead_replication::ReplicaEvent;
use std::collections::BTreeMap;

/// Time that an operator waits for a response before it retries, milliseconds.
const RETRY_INTERVAL_MS: u64 = 1_000;

/// An operator's request to replace the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The version that the change replaces.
    pub base_version: u64,
    pub version: u64,
    pub text: String,
}

/// The response to an operator's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Response {
    /// The configuration is in force.
    Confirmed,
    /// The configuration will not come into force.
    Rejected,
    /// The machine can't respond: the operator retries.
    Unavailable,
}

/// A response that waits until a batch is committed.
pub struct PendingResponse {
    /// The sequence number of the batch.
    sequence: u64,
    operator: usize,
    response: Response,
}

/// The state of a primary, as its node keeps it. A response waits until the configuration on which
/// it is based is committed.
pub struct PrimaryState {
    pub configuration: ConfigurationState,
    /// The sequence number of the batch with the configuration's last change.
    sequence: u64,
    pending: Vec<PendingResponse>,
}

/// An operator that replaces the configuration repeatedly.
#[derive(Default)]
pub struct Operator {
    /// The change that it sends until it receives a response.
    pub change: Option<Change>,
    /// When it last sent the change; 0 for a change that it may send at once.
    sent_at_ms: u64,
    /// The version that it last read or replaced.
    known_version: u64,
}

impl Operator {
    /// An operator that sends this change first.
    pub fn sending(change: Change) -> Self {
        Operator { change: Some(change), ..Operator::default() }
    }
}

/// A simulated cluster with operators.
pub struct OperatorSimulation {
    pub cluster: SimulatedCluster,
    pub rng: ChaCha8Rng,
    /// The state of each machine that is primary, or was and has not noticed that it no longer is.
    pub primaries: BTreeMap<usize, PrimaryState>,
    pub operators: Vec<Operator>,
    /// All confirmed changes by version.
    pub confirmed: BTreeMap<u64, Change>,
    next_version: u64,
    /// The fraction of responses that are lost on the network.
    pub response_loss_rate: f64,
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
            response_loss_rate: 0.3,
        }
    }

    /// The newest confirmed version; 0 for none.
    pub fn newest_confirmed(&self) -> u64 {
        self.confirmed.keys().next_back().copied().unwrap_or(0)
    }

    /// Runs the cluster and the operators for `ms` milliseconds.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.cluster.step();
            self.handle_events();
            if self.cluster.now_ms.is_multiple_of(20) {
                (0..self.operators.len()).for_each(|operator| self.step_operator(operator));
            }
        }
    }

    /// Handles the cluster's events: creates and removes the states of primaries, and sends the
    /// responses whose batches are committed.
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
                ReplicaEvent::Committed { sequence } => self.send_committed_responses(machine, sequence),
                _ => {}
            }
        }
        let stopped: Vec<usize> = self
            .primaries
            .keys()
            .copied()
            .filter(|machine| self.cluster.machines[*machine].replica.is_none())
            .collect();
        stopped.iter().for_each(|machine| drop(self.primaries.remove(machine)));
    }

    /// Sends the pending responses of a machine whose batches are committed up to this sequence
    /// number.
    fn send_committed_responses(&mut self, machine: usize, sequence: u64) {
        let Some(primary_state) = self.primaries.get_mut(&machine) else { return };
        let (due, rest): (Vec<_>, Vec<_>) =
            primary_state.pending.drain(..).partition(|pending| pending.sequence <= sequence);
        primary_state.pending = rest;
        for PendingResponse { operator, response, .. } in due {
            self.send_response(operator, response);
        }
    }

    /// Checks a response that a machine sends, and delivers it to the operator unless it is lost.
    fn send_response(&mut self, operator: usize, response: Response) {
        let Some(change) = self.operators[operator].change.clone() else { return };
        if response == Response::Confirmed {
            // A change counts as confirmed once the confirmation is sent, whether or not it
            // arrives.
            if let Some(earlier) = self.confirmed.insert(change.version, change.clone()) {
                assert_eq!(earlier, change, "two changes of one version were confirmed");
            }
            let same_base =
                self.confirmed.values().filter(|other| other.base_version == change.base_version).count();
            assert_eq!(
                same_base, 1,
                "more than one change based on version {} was confirmed",
                change.base_version
            );
        }
        if response == Response::Rejected {
            let was_confirmed = self.confirmed.get(&change.version) == Some(&change);
            assert!(!was_confirmed, "version {} was confirmed and then rejected at a retry", change.version);
        }
        if self.rng.random_bool(self.response_loss_rate) {
            return;
        }
        match response {
            Response::Confirmed => {
                self.operators[operator].known_version = change.version;
                self.operators[operator].change = None;
            }
            Response::Rejected => self.operators[operator].change = None,
            Response::Unavailable => self.operators[operator].sent_at_ms = 0,
        }
    }

    /// Lets an operator read the configuration and begin a change, or send its change when it is
    /// due.
    fn step_operator(&mut self, operator: usize) {
        if self.operators[operator].change.is_none() {
            self.read_configuration(operator);
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
            self.send_change(operator, machine);
        }
    }

    /// Creates a change based on the version that the operator knows. In 30 % of cases the next
    /// change may get the same version, so that operators use one version for different changes.
    fn new_change(&mut self, operator: usize) -> Change {
        let base_version = self.operators[operator].known_version;
        let version = self.next_version.max(base_version + 1);
        if self.rng.random_bool(0.7) {
            self.next_version = version + self.rng.random_range(1..4);
        }
        Change { base_version, version, text: configuration_text(version, self.rng.random::<u32>()) }
    }

    /// Whether a machine is running and considers itself primary.
    fn is_active(&self, machine: usize) -> bool {
        let replica = self.cluster.machines[machine].replica.as_ref();
        !self.cluster.is_paused(machine)
            && replica.is_some_and(|r| r.active_term(self.cluster.now_ms).is_some())
    }

    /// Returns the machine that serves a request sent to this one: itself, or the primary to which
    /// it redirects. An operator follows one redirect only.
    fn serving_machine(&self, machine: usize) -> Option<usize> {
        if self.is_active(machine) {
            return Some(machine);
        }
        if self.cluster.is_paused(machine) {
            return None;
        }
        let replica = self.cluster.machines[machine].replica.as_ref()?;
        let primary = replica.verified_primary(self.cluster.now_ms)?;
        let redirect_target =
            self.cluster.machines.iter().position(|m| m.config.peer_address == primary.peer_address)?;
        self.is_active(redirect_target).then_some(redirect_target)
    }

    /// Sends an operator's change to a machine, and the response once the state on which it is
    /// based is committed.
    pub fn send_change(&mut self, operator: usize, machine: usize) {
        let Some(machine) = self.serving_machine(machine).filter(|m| self.primaries.contains_key(m)) else {
            return self.send_response(operator, Response::Unavailable);
        };
        let Some(change) = self.operators[operator].change.clone() else { return };
        let keyspace = self.cluster.machines[machine].replica.as_ref().expect("a primary").keyspace().clone();
        let primary_state = self.primaries.get_mut(&machine).expect("a primary");
        let response = match primary_state.configuration.replace(&keyspace, change.base_version, &change.text)
        {
            ReplaceOutcome::Accepted(changes) => {
                let now = self.cluster.now_ms;
                let mut sequence = None;
                self.cluster.with_replica(machine, |replica| sequence = replica.propose(now, changes));
                let primary_state = self.primaries.get_mut(&machine).expect("a primary");
                primary_state.sequence = sequence.expect("a primary accepts the proposal");
                Response::Confirmed
            }
            ReplaceOutcome::AlreadyAccepted => Response::Confirmed,
            ReplaceOutcome::VersionConflict | ReplaceOutcome::Rejected(_) => Response::Rejected,
        };
        let committed = self.cluster.machines[machine]
            .replica
            .as_ref()
            .map_or(0, spanlead_replication::Replica::committed_sequence);
        let primary_state = self.primaries.get_mut(&machine).expect("a primary");
        if committed >= primary_state.sequence {
            self.send_response(operator, response);
        } else {
            let sequence = primary_state.sequence;
            primary_state.pending.push(PendingResponse { sequence, operator, response });
        }
    }

    /// Reads the configuration for an operator at a random machine, if that can serve it.
    fn read_configuration(&mut self, operator: usize) {
        let machine = self.rng.random_range(0..self.cluster.machines.len());
        let Some(machine) = self.serving_machine(machine) else { return };
        let Some(primary_state) = self.primaries.get(&machine) else { return };
        let replica = self.cluster.machines[machine].replica.as_ref().expect("a primary");
        if replica.committed_sequence() < primary_state.sequence {
            return;
        }
        let version = primary_state.configuration.version();
        let newest = self.newest_confirmed();
        assert!(version >= newest, "a read returned version {version} after version {newest} was confirmed");
        self.operators[operator].known_version = version;
    }
}

/// Returns the text of a configuration. Texts with different limits are different changes.
pub fn configuration_text(version: u64, max_body_bytes: u32) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[],\"services\":[],\"limits\":{{\"maxBodyBytes\":{max_body_bytes}}}}}"
    )
}
