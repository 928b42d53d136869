//! The simulated cluster: the faults that tests inject, and the simulation step.
use super::machine::{Machine, Proposal, ServedTerm, peer_address};
use super::network::{InFlightMessage, Link, SimulatedNetwork};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_replication::{
    Change, Envelope, Input, MemberId, Output, RecoveredState, Replica, ReplicaEvent, Term, View,
};
use std::collections::BTreeSet;

/// The interval between two ticks of a machine, milliseconds.
const TICK_INTERVAL_MS: u64 = 10;
/// The interval at which [`SimulatedCluster::run`] proposes a batch, milliseconds.
const PROPOSAL_INTERVAL_MS: u64 = 7;
/// The size of a proposed value unless a test sets another, bytes.
const DEFAULT_VALUE_BYTES: usize = 20;
/// The maximum number of seed addresses in the settings of a machine.
const MAX_SEEDS: usize = 3;
/// The number of new commits that must be exceeded before service counts as restored.
const MIN_NEW_COMMITS: usize = 5;
/// The interval at which [`SimulatedCluster::serves_within`] checks for service, milliseconds.
const SERVICE_POLL_MS: u64 = 50;
/// How long a cluster runs before a test injects faults, milliseconds.
const WARM_UP_MS: u64 = 1_500;

/// An event that a machine reported.
#[derive(Clone, Debug)]
pub struct RecordedEvent {
    pub machine: usize,
    pub event: ReplicaEvent,
}

/// A simulated cluster. Machines are identified by their indexes.
#[derive(Clone)]
pub struct SimulatedCluster {
    pub now_ms: u64,
    pub machines: Vec<Machine>,
    pub network: SimulatedNetwork,
    /// The events of all machines in order, for tests that simulate an application on the replicas.
    pub events: Vec<RecordedEvent>,
    /// Whether events are added to `events`.
    pub records_events: bool,
    /// The size of proposed values, bytes.
    pub value_bytes: usize,
    /// Every key that was committed.
    pub committed_keys: BTreeSet<Vec<u8>>,
    /// The number of times that any machine became an active primary.
    pub activations: u64,
    proposed_keys: u64,
    rng: ChaCha8Rng,
}

impl SimulatedCluster {
    /// Creates a cluster and starts its 2f + 1 machines.
    pub fn new(seed: u64, max_failures: usize) -> Self {
        let mut cluster = SimulatedCluster::not_started(seed, max_failures);
        (0..cluster.machines.len()).for_each(|index| cluster.start(index));
        cluster
    }

    /// Creates a cluster and runs it for [`WARM_UP_MS`]. Panics if it has no primary then.
    pub fn with_primary(seed: u64, max_failures: usize) -> Self {
        let mut cluster = SimulatedCluster::new(seed, max_failures);
        cluster.run(WARM_UP_MS);
        assert!(cluster.primary().is_some(), "seed {seed}: no primary after {WARM_UP_MS} ms");
        cluster
    }

    /// Creates a cluster whose 2f + 1 machines are not started yet.
    pub fn not_started(seed: u64, max_failures: usize) -> Self {
        let count = 2 * max_failures + 1;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let seeds: Vec<String> = (0..count.min(MAX_SEEDS)).map(peer_address).collect();
        let machines =
            (0..count).map(|index| Machine::new(index, seeds.clone(), max_failures, rng.random())).collect();
        SimulatedCluster {
            now_ms: 1_000_000,
            machines,
            network: SimulatedNetwork::default(),
            events: Vec::new(),
            records_events: false,
            value_bytes: DEFAULT_VALUE_BYTES,
            committed_keys: BTreeSet::new(),
            activations: 0,
            proposed_keys: 0,
            rng,
        }
    }

    /// Adds a machine with an empty disk, which is not started yet.
    pub fn add_machine(&mut self) -> usize {
        let index = self.machines.len();
        let first = &self.machines[0].config;
        let (seeds, max_failures) = (first.seeds.clone(), first.max_failures);
        let mut machine = Machine::new(index, seeds, max_failures, self.rng.random());
        machine.config.bootstrap = false;
        self.machines.push(machine);
        index
    }

    /// Adds a standby, starts it, and runs the cluster for `for_ms`.
    pub fn add_standby(&mut self, for_ms: u64) -> usize {
        let standby = self.add_machine();
        self.start(standby);
        self.run(for_ms);
        standby
    }

    /// Tells a machine to leave permanently.
    pub fn request_leave(&mut self, index: usize) {
        let now_ms = self.now_ms;
        self.with_replica(index, |replica| replica.request_leave(now_ms));
    }

    /// Tells a machine to step down as primary.
    pub fn resign(&mut self, index: usize) {
        let now_ms = self.now_ms;
        self.with_replica(index, |replica| replica.resign(now_ms));
    }

    /// Applies `action` to a machine's replica and performs the outputs. Does nothing if the
    /// process does not run.
    pub fn with_replica(&mut self, index: usize, action: impl FnOnce(&mut Replica)) {
        if let Some(replica) = &mut self.machines[index].replica {
            action(replica);
            self.perform_outputs(index);
        }
    }

    /// Starts a machine's process.
    pub fn start(&mut self, index: usize) {
        let random = self.rng.random();
        self.machines[index].start(random, self.now_ms);
        self.perform_outputs(index);
    }

    /// Terminates a machine's process. A random number of its pending writes, the oldest first,
    /// still reach the disk.
    pub fn crash(&mut self, index: usize) {
        let kept_writes = self.rng.random_range(0..=self.machines[index].pending_writes.len());
        self.machines[index].crash(kept_writes);
    }

    /// Terminates a machine's process and erases its disk.
    pub fn lose_disk(&mut self, index: usize) {
        self.crash(index);
        self.machines[index].disk = RecoveredState::default();
    }

    /// Pauses a machine's process for `for_ms`.
    pub fn pause(&mut self, index: usize, for_ms: u64) {
        self.machines[index].paused_until_ms = self.now_ms + for_ms;
    }

    /// Holds back the messages sent on a link during the next `for_ms`, and then delivers them in
    /// the order in which they were sent.
    pub fn delay_link(&mut self, from: usize, to: usize, for_ms: u64) {
        self.network.delay_until(Link { from, to }, self.now_ms + for_ms);
    }

    /// Adds `delay_ms` to the latency of data messages on a link.
    pub fn delay_data(&mut self, from: usize, to: usize, delay_ms: u64) {
        self.network.data_delay_ms.insert(Link { from, to }, delay_ms);
    }

    /// Limits the rate at which a link carries data messages. Requires a network that preserves the
    /// order of messages.
    pub fn limit_data_rate(&mut self, from: usize, to: usize, bytes_per_ms: usize) {
        self.network.data_bytes_per_ms.insert(Link { from, to }, bytes_per_ms);
    }

    /// The bytes of data messages sent on a link since `network.data_bytes` was last cleared.
    pub fn data_bytes(&self, from: usize, to: usize) -> usize {
        self.network.data_bytes.get(&Link { from, to }).copied().unwrap_or(0)
    }

    /// Cuts the link from one machine to another.
    pub fn cut_link(&mut self, from: usize, to: usize) {
        self.network.cut_links.insert(Link { from, to });
    }

    /// Cuts the links between two machines in both directions.
    pub fn cut_links_between(&mut self, one: usize, other: usize) {
        self.cut_link(one, other);
        self.cut_link(other, one);
    }

    /// Cuts the links from a machine to all others, from all others to it, or both.
    pub fn isolate(&mut self, index: usize, cut_sends: bool, cut_receives: bool) {
        for other in (0..self.machines.len()).filter(|other| *other != index) {
            if cut_sends {
                self.cut_link(index, other);
            }
            if cut_receives {
                self.cut_link(other, index);
            }
        }
    }

    /// Restores all links.
    pub fn heal_links(&mut self) {
        self.network.cut_links.clear();
    }

    /// Whether a machine's process is paused.
    pub fn is_paused(&self, index: usize) -> bool {
        self.now_ms < self.machines[index].paused_until_ms
    }

    /// The term of a machine that acts as primary; `None` if it does not.
    pub fn active_term(&self, index: usize) -> Option<Term> {
        self.machines[index].replica.as_ref()?.active_term(self.now_ms)
    }

    /// All machines that act as primary.
    pub fn active_machines(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|index| self.active_term(*index).is_some()).collect()
    }

    /// The machine that acts as primary and is not paused.
    pub fn primary(&self) -> Option<usize> {
        self.active_machines().into_iter().find(|index| !self.is_paused(*index))
    }

    /// Whether a machine can serve as primary: it is not paused, and at least one link from it and
    /// one to it are intact.
    pub fn is_reachable(&self, index: usize) -> bool {
        let others = || (0..self.machines.len()).filter(|other| *other != index);
        let is_intact = |from: usize, to: usize| !self.network.cut_links.contains(&Link { from, to });
        let sends = others().any(|other| is_intact(index, other));
        let receives = others().any(|other| is_intact(other, index));
        !self.is_paused(index) && sends && receives
    }

    /// The view that the primary knows.
    fn primary_view(&self) -> Option<&View> {
        self.machines[self.primary()?].replica.as_ref()?.view()
    }

    /// The identity of a machine; `None` if its process does not run.
    fn member_id(&self, index: usize) -> Option<MemberId> {
        self.machines[index].replica.as_ref().map(|replica| replica.local_member().id)
    }

    /// Whether a machine is a member of the view that the primary knows, and in sync there.
    pub fn is_in_sync(&self, index: usize) -> bool {
        let Some(id) = self.member_id(index) else { return false };
        self.primary_view().is_some_and(|view| view.has_member(id) && view.is_in_sync(id))
    }

    /// Runs the cluster until service is restored, and returns whether that took at most
    /// `timeout_ms`. Service is restored once there is a primary and more than [`MIN_NEW_COMMITS`]
    /// new keys are committed.
    pub fn serves_within(&mut self, timeout_ms: u64) -> bool {
        self.serves_within_polling(timeout_ms, SERVICE_POLL_MS)
    }

    /// Like [`SimulatedCluster::serves_within`], with a check every `poll_ms`.
    pub fn serves_within_polling(&mut self, timeout_ms: u64, poll_ms: u64) -> bool {
        let committed_before = self.committed_keys.len();
        (0..timeout_ms / poll_ms).any(|_| {
            self.run(poll_ms);
            self.committed_keys.len() > committed_before + MIN_NEW_COMMITS && self.primary().is_some()
        })
    }

    /// Proposes a batch with a new key at the primary, if there is one.
    pub fn propose(&mut self) {
        let Some(primary) = self.primary() else { return };
        self.proposed_keys += 1;
        let key = self.proposed_keys.to_le_bytes().to_vec();
        let change = Change { key: key.clone(), value: Some(vec![7; self.value_bytes]) };
        let machine = &mut self.machines[primary];
        let Some(replica) = &mut machine.replica else { return };
        if let Some(sequence) = replica.propose(self.now_ms, vec![change]) {
            machine.proposals.push(Proposal { sequence, key });
        }
        self.perform_outputs(primary);
    }

    /// Runs the cluster for `for_ms`, with proposals at regular intervals.
    pub fn run(&mut self, for_ms: u64) {
        for elapsed_ms in 0..for_ms {
            if elapsed_ms.is_multiple_of(PROPOSAL_INTERVAL_MS) {
                self.propose();
            }
            self.step();
        }
    }

    /// Runs the cluster for `for_ms` without proposals.
    pub fn run_without_proposals(&mut self, for_ms: u64) {
        (0..for_ms).for_each(|_| self.step());
    }

    /// Advances the simulation by one millisecond and checks the invariants.
    pub fn step(&mut self) {
        self.now_ms += 1;
        (0..self.machines.len()).for_each(|index| self.finish_writes(index));
        self.deliver_messages();
        if self.now_ms.is_multiple_of(TICK_INTERVAL_MS) {
            for index in 0..self.machines.len() {
                if !self.is_paused(index) {
                    self.handle_input(index, Input::Tick);
                }
            }
        }
        self.check_invariants();
    }

    fn finish_writes(&mut self, index: usize) {
        let mut last_token = None;
        while let Some(write) = self.machines[index].take_finished_write(self.now_ms) {
            self.machines[index].write_to_disk(write.record);
            last_token = Some(write.token);
        }
        if let Some(token) = last_token {
            self.handle_input(index, Input::Written(token));
        }
    }

    fn deliver_messages(&mut self) {
        while let Some(message) = self.network.take_arrived(self.now_ms) {
            let receiver = message.link.to;
            if self.is_paused(receiver) {
                let resumes_at_ms = self.machines[receiver].paused_until_ms + 1;
                self.network.schedule_delivery(resumes_at_ms, message);
            } else {
                self.handle_input(receiver, Input::Message(message.envelope));
            }
        }
    }

    fn handle_input(&mut self, index: usize, input: Input) {
        if let Some(replica) = &mut self.machines[index].replica {
            replica.handle(self.now_ms, input);
            self.perform_outputs(index);
        }
    }

    fn perform_outputs(&mut self, index: usize) {
        let Some(replica) = &mut self.machines[index].replica else { return };
        for output in replica.take_outputs() {
            match output {
                Output::Send { to, envelope } => self.send(index, &to, envelope),
                Output::Write { token, record } => {
                    self.machines[index].begin_write(self.now_ms, token, record);
                }
                Output::Event(event) => self.handle_event(index, event),
            }
        }
    }

    fn send(&mut self, from: usize, address: &str, envelope: Envelope) {
        let is_receiver = |machine: &Machine| machine.config.peer_address == address;
        let Some(to) = self.machines.iter().position(is_receiver) else { return };
        let message = InFlightMessage { link: Link { from, to }, envelope };
        self.network.send(&mut self.rng, self.now_ms, message);
    }

    fn handle_event(&mut self, index: usize, event: ReplicaEvent) {
        if self.records_events {
            self.events.push(RecordedEvent { machine: index, event: event.clone() });
        }
        let machine = &mut self.machines[index];
        match event {
            ReplicaEvent::Activated { term } => {
                let activation_sequence =
                    machine.replica.as_ref().map_or(0, |replica| replica.position().sequence);
                machine.served_term = Some(ServedTerm { term, activation_sequence });
                self.activations += 1;
            }
            ReplicaEvent::Deactivated => {
                machine.served_term = None;
                machine.proposals.clear();
            }
            ReplicaEvent::Committed { sequence } => self.handle_commit(index, sequence),
            ReplicaEvent::ViewChanged(_) => {}
            ReplicaEvent::LeaveAllowed => machine.leave_allowed = true,
        }
    }

    fn handle_commit(&mut self, index: usize, sequence: u64) {
        let machine = &mut self.machines[index];
        let is_committed = |proposal: &mut Proposal| proposal.sequence <= sequence;
        let committed: Vec<Proposal> = machine.proposals.extract_if(.., is_committed).collect();
        let keys: Vec<Vec<u8>> = committed.into_iter().map(|proposal| proposal.key).collect();
        self.check_keys_are_on_own_disk(index, &keys);
        self.committed_keys.extend(keys);
        self.check_committed_keys_are_present(index, sequence);
    }
}
