//! Machines, disks and a network in memory, moved by a seed; the rules are checked after every step.
#![allow(dead_code, reason = "each test file uses a chunk of it")]
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_replication::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long a lease lasts in these runs, milliseconds.
pub const LEASE_MS: u64 = 500;
/// How often it is asked for, milliseconds.
pub const HEARTBEAT_MS: u64 = 100;

/// How often copies are compared, milliseconds.
const COMPARE_MS: u64 = 20;

/// One machine: its durable state, the writes under way, and its process if it runs.
#[derive(Clone)]
pub struct Machine {
    pub config: ReplicaConfig,
    pub disk: RecoveredState,
    writing: VecDeque<(u64, u64, Record)>,
    pub replica: Option<Replica>,
    paused_until_ms: u64,
    /// The term that it serves, and the batch with which the term began.
    serving: Option<(Term, u64)>,
    /// The last term of its own in which it was seen to hold all that was committed.
    checked: Term,
    /// Proposals under way: batch and keys.
    proposed: Vec<(u64, Vec<u8>)>,
    /// When it last acted as primary.
    last_active: u64,
    /// Whether it has been told that it may end.
    pub leave_allowed: bool,
}

impl Machine {
    fn new(i: usize, seeds: Vec<String>, max_failures: usize, random: u64) -> Self {
        let config = ReplicaConfig {
            node_name: format!("core-{i}"),
            peer_address: address(i),
            operator_address: format!("control-{i}"),
            seeds,
            bootstrap: true,
            max_failures,
            lease_ms: LEASE_MS,
            heartbeat_ms: HEARTBEAT_MS,
            random,
        };
        Machine {
            config,
            disk: RecoveredState::default(),
            writing: VecDeque::new(),
            replica: None,
            paused_until_ms: 0,
            serving: None,
            checked: Term::default(),
            proposed: Vec::new(),
            last_active: 0,
            leave_allowed: false,
        }
    }
}

/// What is being simulated.
#[derive(Clone)]
pub struct SimulatedCluster {
    pub now_ms: u64,
    pub machines: Vec<Machine>,
    network: BTreeMap<(u64, u64), (usize, usize, Envelope)>,
    messages: u64,
    /// What a message of the data lane takes longer than others, by link, milliseconds.
    pub data_delay: BTreeMap<(usize, usize), u64>,
    /// Bytes of the data lane that a link carries in a millisecond; links that are not named carry any number.
    pub data_rate: BTreeMap<(usize, usize), usize>,
    /// Whether messages of one link and lane keep their order.
    pub preserves_order: bool,
    /// Whether both lanes of a link share one connection, so that data delays everything behind it.
    pub shared_connection: bool,
    last_arrival: BTreeMap<(usize, usize, TrafficClass), u64>,
    held: BTreeMap<(usize, usize), u64>,
    /// The largest message of the data lane and the bytes of all, by link.
    pub max_item_bytes: usize,
    pub data_bytes: BTreeMap<(usize, usize), usize>,
    /// A copy of each resignation comes so many milliseconds late.
    pub resign_duplicate_delay_ms: Option<u64>,
    /// The share of messages that come a second time, up to five seconds late.
    pub duplicate_rate: f64,
    /// What machines were told, in order, for tests that serve something of their own.
    pub events: Vec<(usize, ReplicaEvent)>,
    pub records_events: bool,
    /// The size of a value that is proposed, bytes.
    pub value_bytes: usize,
    pub partitioned_links: BTreeSet<(usize, usize)>,
    rng: ChaCha8Rng,
    /// Every key that was committed.
    pub committed_keys: BTreeSet<Vec<u8>>,
    keys: u64,
    pub activations: u64,
}

const SYNC_MS: u64 = 9;

impl SimulatedCluster {
    /// A system whose machines all start now.
    pub fn new(seed: u64, max_failures: usize) -> Self {
        let mut world = SimulatedCluster::before_start(seed, max_failures);
        (0..world.machines.len()).for_each(|i| world.start(i));
        world
    }

    /// A system of which no machine has been started yet.
    pub fn before_start(seed: u64, max_failures: usize) -> Self {
        let count = 2 * max_failures + 1;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let seeds: Vec<String> = (0..count.min(3)).map(address).collect();
        let machines =
            (0..count).map(|i| Machine::new(i, seeds.clone(), max_failures, rng.random())).collect();
        SimulatedCluster {
            now_ms: 1_000_000,
            machines,
            network: BTreeMap::new(),
            messages: 0,
            data_delay: BTreeMap::new(),
            data_rate: BTreeMap::new(),
            preserves_order: false,
            shared_connection: false,
            last_arrival: BTreeMap::new(),
            held: BTreeMap::new(),
            max_item_bytes: 0,
            data_bytes: BTreeMap::new(),
            resign_duplicate_delay_ms: None,
            duplicate_rate: 0.0,
            events: Vec::new(),
            records_events: false,
            value_bytes: 20,
            partitioned_links: BTreeSet::new(),
            rng,
            committed_keys: BTreeSet::new(),
            keys: 0,
            activations: 0,
        }
    }

    /// A further machine with an empty disk, which is not started yet.
    pub fn add_machine(&mut self) -> usize {
        let i = self.machines.len();
        let first = &self.machines[0].config;
        let (seeds, max_failures) = (first.seeds.clone(), first.max_failures);
        let mut machine = Machine::new(i, seeds, max_failures, self.rng.random());
        machine.config.bootstrap = false;
        self.machines.push(machine);
        i
    }

    /// Tells a machine that it is to leave for good.
    pub fn request_leave(&mut self, i: usize) {
        let now = self.now_ms;
        self.with_replica(i, |replica| replica.request_leave(now));
    }

    /// Does something with a machine's replica.
    pub fn with_replica(&mut self, i: usize, act: impl FnOnce(&mut Replica)) {
        if let Some(replica) = &mut self.machines[i].replica {
            act(replica);
            self.carry_out(i);
        }
    }

    /// Holds up what is sent on a link for so long; then all of it comes, in order.
    pub fn delay_link(&mut self, link: (usize, usize), for_ms: u64) {
        self.held.insert(link, self.now_ms + for_ms);
    }

    /// Whether the machine of this number is a member of the view that its primary knows, and in sync there.
    pub fn is_in_sync(&self, i: usize) -> bool {
        let Some(id) = self.machines[i].replica.as_ref().map(|r| r.local_member().id) else { return false };
        let view = self.primary().and_then(|p| self.machines[p].replica.as_ref()?.view());
        view.is_some_and(|view| view.has_member(id) && view.in_sync.contains(&id))
    }

    /// Cuts a machine off from all others: what it sends, what it is sent, or both.
    pub fn isolate(&mut self, i: usize, sends: bool, receives: bool) {
        for other in (0..self.machines.len()).filter(|o| *o != i) {
            if sends {
                self.partitioned_links.insert((i, other));
            }
            if receives {
                self.partitioned_links.insert((other, i));
            }
        }
    }

    pub fn start(&mut self, i: usize) {
        let machine = &mut self.machines[i];
        machine.config.random = self.rng.random();
        machine.replica = Some(Replica::start(machine.config.clone(), machine.disk.clone(), self.now_ms));
        machine.config.bootstrap = false;
        machine.serving = None;
        machine.leave_allowed = false;
        self.carry_out(i);
    }

    /// Ends a process. What its disk was told and had not synced is kept up to a random point.
    pub fn crash(&mut self, i: usize) {
        let kept = self.rng.random_range(0..=self.machines[i].writing.len());
        let machine = &mut self.machines[i];
        let pending: Vec<Record> =
            machine.writing.drain(..).take(kept).map(|(_, _, record)| record).collect();
        pending.into_iter().for_each(|record| write_to_disk(&mut machine.disk, record));
        machine.replica = None;
        machine.proposed.clear();
        machine.serving = None;
    }

    pub fn lose_disk(&mut self, i: usize) {
        self.crash(i);
        self.machines[i].disk = RecoveredState::default();
    }

    pub fn pause(&mut self, i: usize, for_ms: u64) {
        self.machines[i].paused_until_ms = self.now_ms + for_ms;
    }

    /// Whether a machine's process is paused.
    pub fn is_paused(&self, i: usize) -> bool {
        self.now_ms < self.machines[i].paused_until_ms
    }

    pub fn active_machines(&self) -> Vec<usize> {
        let runs = |i: &usize| {
            self.machines[*i].replica.as_ref().is_some_and(|r| r.active_term(self.now_ms).is_some())
        };
        (0..self.machines.len()).filter(runs).collect()
    }

    /// Whether a machine that acts can be of use: it runs, and it reaches others and is reached.
    pub fn is_reachable(&self, i: usize) -> bool {
        let others = || (0..self.machines.len()).filter(|o| *o != i);
        let sends = others().any(|o| !self.partitioned_links.contains(&(i, o)));
        let hears = others().any(|o| !self.partitioned_links.contains(&(o, i)));
        !self.is_paused(i) && sends && hears
    }

    /// The machine that acts as primary, if one does.
    pub fn primary(&self) -> Option<usize> {
        self.active_machines().into_iter().find(|i| !self.is_paused(*i))
    }

    /// Hands a new key to the primary.
    pub fn propose(&mut self) {
        let Some(i) = self.primary() else { return };
        self.keys += 1;
        let key = self.keys.to_le_bytes().to_vec();
        let change = Change { key: key.clone(), value: Some(vec![7; self.value_bytes]) };
        let machine = &mut self.machines[i];
        let Some(replica) = &mut machine.replica else { return };
        if let Some(sequence) = replica.propose(self.now_ms, vec![change]) {
            machine.proposed.push((sequence, key));
        }
        self.carry_out(i);
    }

    /// Passes one millisecond.
    pub fn step(&mut self) {
        self.now_ms += 1;
        for i in 0..self.machines.len() {
            self.finish_writes(i);
        }
        while let Some(entry) = self.network.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let ((_, _), (from, to, envelope)) = self.network.pop_first().expect("peeked");
            if self.partitioned_links.contains(&(from, to)) {
                continue;
            }
            if self.is_paused(to) {
                let later = self.machines[to].paused_until_ms + 1;
                self.messages += 1;
                self.network.insert((later, self.messages), (from, to, envelope));
                continue;
            }
            self.feed(to, Input::Message(envelope));
        }
        if self.now_ms.is_multiple_of(10) {
            (0..self.machines.len())
                .filter(|i| !self.is_paused(*i))
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|i| {
                    self.feed(i, Input::Tick);
                });
        }
        self.check();
    }

    pub fn run(&mut self, ms: u64) {
        for n in 0..ms {
            if n.is_multiple_of(7) {
                self.propose();
            }
            self.step();
        }
    }

    fn finish_writes(&mut self, i: usize) {
        let mut last = None;
        while self.machines[i].writing.front().is_some_and(|(due, _, _)| *due <= self.now_ms) {
            let (_, token, record) = self.machines[i].writing.pop_front().expect("peeked");
            write_to_disk(&mut self.machines[i].disk, record);
            last = Some(token);
        }
        if let Some(token) = last {
            self.feed(i, Input::Written(token));
        }
    }

    fn feed(&mut self, i: usize, input: Input) {
        let now = self.now_ms;
        if let Some(replica) = &mut self.machines[i].replica {
            replica.handle(now, input);
            self.carry_out(i);
        }
    }

    fn carry_out(&mut self, i: usize) {
        let Some(replica) = &mut self.machines[i].replica else { return };
        for output in replica.take_outputs() {
            match output {
                Output::Send { to, envelope } => self.post(i, &to, envelope),
                Output::Write { token, record } => {
                    let due = self.now_ms + SYNC_MS;
                    self.machines[i].writing.push_back((due, token, record));
                }
                Output::Event(notice) => self.notice(i, notice),
            }
        }
    }

    fn post(&mut self, from: usize, to: &str, envelope: Envelope) {
        let Some(to) = self.machines.iter().position(|m| m.config.peer_address == to) else { return };
        let class = envelope.message.traffic_class();
        let bytes = size_of_item(&envelope.message);
        if class == TrafficClass::Data {
            self.max_item_bytes = self.max_item_bytes.max(bytes);
            *self.data_bytes.entry((from, to)).or_default() += bytes;
        }
        self.messages += 1;
        let mut at = self.now_ms + self.rng.random_range(1..4);
        if class == TrafficClass::Data {
            at += self.data_delay.get(&(from, to)).copied().unwrap_or(0);
        }
        at = at.max(self.held.get(&(from, to)).copied().unwrap_or(0));
        if self.preserves_order {
            let class = if self.shared_connection { TrafficClass::Data } else { class };
            let last = self.last_arrival.entry((from, to, class)).or_default();
            at = at.max(*last);
            if let Some(rate) = self.data_rate.get(&(from, to)) {
                at += (bytes / rate) as u64;
            }
            *last = at;
        }
        if let Some(late) =
            self.resign_duplicate_delay_ms.filter(|_| matches!(envelope.message, Message::Resign { .. }))
        {
            self.messages += 1;
            self.network.insert((at + late, self.messages), (from, to, envelope.clone()));
            self.messages += 1;
        }
        if self.duplicate_rate > 0.0 && self.rng.random_bool(self.duplicate_rate) {
            let again = at + self.rng.random_range(0..5_000);
            self.messages += 1;
            self.network.insert((again, self.messages), (from, to, envelope.clone()));
            self.messages += 1;
        }
        self.network.insert((at, self.messages), (from, to, envelope));
    }

    fn notice(&mut self, i: usize, notice: ReplicaEvent) {
        if self.records_events {
            self.events.push((i, notice.clone()));
        }
        let machine = &mut self.machines[i];
        match notice {
            ReplicaEvent::Activated { term } => {
                let began = machine.replica.as_ref().map_or(0, |r| r.position().sequence);
                machine.serving = Some((term, began));
                self.activations += 1;
            }
            ReplicaEvent::Deactivated => {
                machine.serving = None;
                machine.proposed.clear();
            }
            ReplicaEvent::Committed { sequence } => {
                let done = machine.proposed.iter().filter(|(s, _)| *s <= sequence);
                self.committed_keys.extend(done.map(|(_, key)| key.clone()));
                machine.proposed.retain(|(s, _)| *s > sequence);
                let Some((term, began)) = machine.serving else { return };
                let replica = machine.replica.as_ref().expect("runs");
                // One that was replaced while it stood still may learn late that its batches last.
                if sequence >= began && machine.checked < term && replica.active_term(self.now_ms).is_some() {
                    machine.checked = term;
                    let lost = self.committed_keys.iter().find(|key| replica.keyspace().get(key).is_none());
                    assert!(lost.is_none(), "term {term} lost {lost:?}");
                }
            }
            ReplicaEvent::ViewChanged(_) => {}
            ReplicaEvent::LeaveAllowed => machine.leave_allowed = true,
        }
    }

    /// How every machine sees things, for messages of failed tests.
    pub fn describe(&self) -> String {
        let state = |m: &Machine| {
            let view = m.replica.as_ref().and_then(|r| r.view().cloned());
            let view = view.map(|v| (v.epoch, v.primary, v.in_sync, v.members.len()));
            let at = m.replica.as_ref().map(|r| (r.local_member().id, r.position(), r.committed_sequence()));
            let unfinished = m.replica.as_ref().is_some_and(Replica::has_incomplete_repair);
            let promised = m.disk.witness.promised;
            format!(
                "\n  {} {at:?} {view:?} promised {promised:?} unfinished {unfinished}",
                m.config.node_name
            )
        };
        self.machines.iter().map(state).collect()
    }

    fn check(&mut self) {
        let active = self.active_machines();
        assert!(active.len() <= 1, "two primaries: {active:?} at {}", self.now_ms);
        for i in active {
            self.machines[i].last_active = self.now_ms;
            self.check_in_sync(i);
        }
        (0..self.machines.len()).for_each(|i| self.check_directions(i));
        if self.now_ms.is_multiple_of(COMPARE_MS) {
            self.check_copies();
        }
    }

    /// Copies at one position are equal.
    fn check_copies(&self) {
        let mut seen: BTreeMap<(Term, u64), (usize, Vec<u64>)> = BTreeMap::new();
        for (i, machine) in self.machines.iter().enumerate() {
            let Some(replica) = machine.replica.as_ref().filter(|r| !r.has_incomplete_repair()) else {
                continue;
            };
            let at = (replica.position().term, replica.position().sequence);
            let roots = replica.keyspace().range_digests();
            if let Some((other, theirs)) = seen.get(&at) {
                assert!(*theirs == roots, "{i} and {other} differ at {at:?}: {}", self.describe());
            }
            seen.insert(at, (i, roots));
        }
    }

    /// Nobody counts as in sync with a copy that is between two states.
    fn check_in_sync(&self, primary: usize) {
        let view = self.machines[primary].replica.as_ref().and_then(|r| r.view());
        for machine in &self.machines {
            let Some(replica) = machine.replica.as_ref().filter(|r| r.has_incomplete_repair()) else {
                continue;
            };
            let counts = view.is_some_and(|view| view.in_sync.contains(&replica.local_member().id));
            assert!(
                !counts,
                "{} is in sync with an unfinished repair: {}",
                machine.config.node_name,
                self.describe()
            );
        }
    }

    /// Whoever sends others to a primary knows that it acted less than a lease ago.
    fn check_directions(&self, i: usize) {
        if self.is_paused(i) {
            return;
        }
        let Some(replica) = &self.machines[i].replica else { return };
        let Some(primary) = replica.verified_primary(self.now_ms) else { return };
        let named =
            self.machines.iter().find(|m| m.config.peer_address == primary.peer_address).expect("known");
        let since = self.now_ms - named.last_active;
        assert!(since <= LEASE_MS, "machine {i} sends to {} which acted {since} ms ago", primary.node_name);
    }
}

pub fn address(i: usize) -> String {
    format!("peer-{i}")
}

fn size_of_item(message: &Message) -> usize {
    match message {
        Message::Stream { item: StreamItem::RepairChunk(chunks), .. } => {
            chunks.iter().map(LeafChunk::size_bytes).sum()
        }
        Message::Stream { item: StreamItem::Batch { changes, .. }, .. } => {
            changes.iter().map(Change::size_bytes).sum()
        }
        _ => 0,
    }
}

fn write_to_disk(disk: &mut RecoveredState, record: Record) {
    match record {
        Record::Identity { id, bootstrap_voter } => {
            disk.identity = Some(id);
            disk.bootstrap_voter = bootstrap_voter;
        }
        Record::Witness(witness) => disk.witness = witness,
        Record::Batch { position, changes } => {
            changes.iter().for_each(|change| disk.keyspace.apply(change));
            disk.position = position;
            disk.repair_incomplete = false;
        }
        Record::Repair { changes } => {
            changes.iter().for_each(|change| disk.keyspace.apply(change));
            disk.repair_incomplete = true;
        }
    }
}
