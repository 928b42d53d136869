//! Machines, disks and a network in memory, moved by a seed; the rules are checked after every step.
#![allow(dead_code, reason = "each test file uses a part of it")]
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
    pub options: Options,
    pub durable: Restored,
    writing: VecDeque<(u64, u64, Record)>,
    pub replica: Option<Replica>,
    frozen_until: u64,
    /// The term that it serves, and the batch with which the term began.
    serving: Option<(u64, u64)>,
    /// The last term of its own in which it was seen to hold all that was committed.
    checked: u64,
    /// Proposals under way: batch and keys.
    proposed: Vec<(u64, Vec<u8>)>,
    /// When it last acted as primary.
    last_active: u64,
    /// Whether it has been told that it may end.
    pub may_leave: bool,
}

impl Machine {
    fn new(i: usize, seeds: Vec<String>, losses: usize, random: u64) -> Self {
        let options = Options {
            node: format!("core-{i}"),
            peer: address(i),
            control: format!("control-{i}"),
            seeds,
            bootstrap: true,
            losses,
            lease_ms: LEASE_MS,
            heartbeat_ms: HEARTBEAT_MS,
            random,
        };
        Machine {
            options,
            durable: Restored::default(),
            writing: VecDeque::new(),
            replica: None,
            frozen_until: 0,
            serving: None,
            checked: 0,
            proposed: Vec::new(),
            last_active: 0,
            may_leave: false,
        }
    }
}

/// What is being simulated.
#[derive(Clone)]
pub struct World {
    pub now: u64,
    pub machines: Vec<Machine>,
    network: BTreeMap<(u64, u64), (usize, usize, Envelope)>,
    messages: u64,
    /// What a message of the data lane takes longer than others, by link, milliseconds.
    pub data_delay: BTreeMap<(usize, usize), u64>,
    /// Bytes of the data lane that a link carries in a millisecond; links that are not named carry any number.
    pub data_rate: BTreeMap<(usize, usize), usize>,
    /// Whether messages of one link and lane keep their order.
    pub ordered: bool,
    /// Whether both lanes of a link share one connection, so that data delays everything behind it.
    pub one_lane: bool,
    last_arrival: BTreeMap<(usize, usize, Lane), u64>,
    held: BTreeMap<(usize, usize), u64>,
    /// The largest message of the data lane and the bytes of all, by link.
    pub largest_item: usize,
    pub data_bytes: BTreeMap<(usize, usize), usize>,
    /// A copy of each resignation comes so many milliseconds late.
    pub late_resignations: Option<u64>,
    /// The share of messages that come a second time, up to five seconds late.
    pub repeats: f64,
    /// What machines were told, in order, for tests that serve something of their own.
    pub notices: Vec<(usize, Notice)>,
    pub keeps_notices: bool,
    /// The size of a value that is proposed, bytes.
    pub value_bytes: usize,
    pub cuts: BTreeSet<(usize, usize)>,
    rng: ChaCha8Rng,
    /// Every key that was committed.
    pub committed: BTreeSet<Vec<u8>>,
    keys: u64,
    pub failovers: u64,
}

const SYNC_MS: u64 = 9;

impl World {
    /// A system whose machines all start now.
    pub fn new(seed: u64, losses: usize) -> Self {
        let mut world = World::before_start(seed, losses);
        (0..world.machines.len()).for_each(|i| world.boot(i));
        world
    }

    /// A system of which no machine has been started yet.
    pub fn before_start(seed: u64, losses: usize) -> Self {
        let count = 2 * losses + 1;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let seeds: Vec<String> = (0..count.min(3)).map(address).collect();
        let machines = (0..count).map(|i| Machine::new(i, seeds.clone(), losses, rng.random())).collect();
        World {
            now: 1_000_000,
            machines,
            network: BTreeMap::new(),
            messages: 0,
            data_delay: BTreeMap::new(),
            data_rate: BTreeMap::new(),
            ordered: false,
            one_lane: false,
            last_arrival: BTreeMap::new(),
            held: BTreeMap::new(),
            largest_item: 0,
            data_bytes: BTreeMap::new(),
            late_resignations: None,
            repeats: 0.0,
            notices: Vec::new(),
            keeps_notices: false,
            value_bytes: 20,
            cuts: BTreeSet::new(),
            rng,
            committed: BTreeSet::new(),
            keys: 0,
            failovers: 0,
        }
    }

    /// A further machine with an empty disk, which is not started yet.
    pub fn add_machine(&mut self) -> usize {
        let i = self.machines.len();
        let first = &self.machines[0].options;
        let (seeds, losses) = (first.seeds.clone(), first.losses);
        let mut machine = Machine::new(i, seeds, losses, self.rng.random());
        machine.options.bootstrap = false;
        self.machines.push(machine);
        i
    }

    /// Tells a machine that it is to leave for good.
    pub fn leave(&mut self, i: usize) {
        let now = self.now;
        self.with(i, |replica| replica.leave(now));
    }

    /// Does something with a machine's replica.
    pub fn with(&mut self, i: usize, act: impl FnOnce(&mut Replica)) {
        if let Some(replica) = &mut self.machines[i].replica {
            act(replica);
            self.carry_out(i);
        }
    }

    /// Holds up what is sent on a link for so long; then all of it comes, in order.
    pub fn hold(&mut self, link: (usize, usize), for_ms: u64) {
        self.held.insert(link, self.now + for_ms);
    }

    /// Whether the machine of this number is a member of the view that its primary knows, and in sync there.
    pub fn is_in_sync(&self, i: usize) -> bool {
        let Some(id) = self.machines[i].replica.as_ref().map(|r| r.me().id) else { return false };
        let view = self.primary().and_then(|p| self.machines[p].replica.as_ref()?.view());
        view.is_some_and(|view| view.has(id) && view.in_sync.contains(&id))
    }

    /// Cuts a machine off from all others: what it sends, what it is sent, or both.
    pub fn cut_off(&mut self, i: usize, sends: bool, receives: bool) {
        for other in (0..self.machines.len()).filter(|o| *o != i) {
            if sends {
                self.cuts.insert((i, other));
            }
            if receives {
                self.cuts.insert((other, i));
            }
        }
    }

    pub fn boot(&mut self, i: usize) {
        let machine = &mut self.machines[i];
        machine.options.random = self.rng.random();
        machine.replica = Some(Replica::start(machine.options.clone(), machine.durable.clone(), self.now));
        machine.options.bootstrap = false;
        machine.serving = None;
        machine.may_leave = false;
        self.carry_out(i);
    }

    /// Ends a process. What its disk was told and had not synced is kept up to a random point.
    pub fn kill(&mut self, i: usize) {
        let kept = self.rng.random_range(0..=self.machines[i].writing.len());
        let machine = &mut self.machines[i];
        let pending: Vec<Record> =
            machine.writing.drain(..).take(kept).map(|(_, _, record)| record).collect();
        pending.into_iter().for_each(|record| keep(&mut machine.durable, record));
        machine.replica = None;
        machine.proposed.clear();
        machine.serving = None;
    }

    pub fn wipe(&mut self, i: usize) {
        self.kill(i);
        self.machines[i].durable = Restored::default();
    }

    pub fn freeze(&mut self, i: usize, for_ms: u64) {
        self.machines[i].frozen_until = self.now + for_ms;
    }

    /// Whether a machine stands still.
    pub fn is_frozen(&self, i: usize) -> bool {
        self.frozen(i)
    }

    fn frozen(&self, i: usize) -> bool {
        self.now < self.machines[i].frozen_until
    }

    pub fn active(&self) -> Vec<usize> {
        let runs =
            |i: &usize| self.machines[*i].replica.as_ref().is_some_and(|r| r.active(self.now).is_some());
        (0..self.machines.len()).filter(runs).collect()
    }

    /// Whether a machine that acts can be of use: it runs, and it reaches others and is reached.
    pub fn can_serve(&self, i: usize) -> bool {
        let others = || (0..self.machines.len()).filter(|o| *o != i);
        let sends = others().any(|o| !self.cuts.contains(&(i, o)));
        let hears = others().any(|o| !self.cuts.contains(&(o, i)));
        !self.frozen(i) && sends && hears
    }

    /// The machine that acts as primary, if one does.
    pub fn primary(&self) -> Option<usize> {
        self.active().into_iter().find(|i| !self.frozen(*i))
    }

    /// Hands a new key to the primary.
    pub fn propose(&mut self) {
        let Some(i) = self.primary() else { return };
        self.keys += 1;
        let key = self.keys.to_le_bytes().to_vec();
        let change = Change { key: key.clone(), value: Some(vec![7; self.value_bytes]) };
        let machine = &mut self.machines[i];
        let Some(replica) = &mut machine.replica else { return };
        if let Some(sequence) = replica.propose(self.now, vec![change]) {
            machine.proposed.push((sequence, key));
        }
        self.carry_out(i);
    }

    /// Passes one millisecond.
    pub fn step(&mut self) {
        self.now += 1;
        for i in 0..self.machines.len() {
            self.finish_writes(i);
        }
        while let Some(entry) = self.network.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let ((_, _), (from, to, envelope)) = self.network.pop_first().expect("peeked");
            if self.cuts.contains(&(from, to)) {
                continue;
            }
            if self.frozen(to) {
                let later = self.machines[to].frozen_until + 1;
                self.messages += 1;
                self.network.insert((later, self.messages), (from, to, envelope));
                continue;
            }
            self.feed(to, Input::Message(envelope));
        }
        if self.now.is_multiple_of(10) {
            (0..self.machines.len()).filter(|i| !self.frozen(*i)).collect::<Vec<_>>().into_iter().for_each(
                |i| {
                    self.feed(i, Input::Tick);
                },
            );
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
        while self.machines[i].writing.front().is_some_and(|(due, _, _)| *due <= self.now) {
            let (_, token, record) = self.machines[i].writing.pop_front().expect("peeked");
            keep(&mut self.machines[i].durable, record);
            last = Some(token);
        }
        if let Some(token) = last {
            self.feed(i, Input::Written(token));
        }
    }

    fn feed(&mut self, i: usize, input: Input) {
        let now = self.now;
        if let Some(replica) = &mut self.machines[i].replica {
            replica.handle(now, input);
            self.carry_out(i);
        }
    }

    fn carry_out(&mut self, i: usize) {
        let Some(replica) = &mut self.machines[i].replica else { return };
        for output in replica.drain() {
            match output {
                Output::Send { to, envelope } => self.post(i, &to, envelope),
                Output::Write { token, record } => {
                    let due = self.now + SYNC_MS;
                    self.machines[i].writing.push_back((due, token, record));
                }
                Output::Notice(notice) => self.notice(i, notice),
            }
        }
    }

    fn post(&mut self, from: usize, to: &str, envelope: Envelope) {
        let Some(to) = self.machines.iter().position(|m| m.options.peer == to) else { return };
        let lane = envelope.message.lane();
        let bytes = size_of_item(&envelope.message);
        if lane == Lane::Data {
            self.largest_item = self.largest_item.max(bytes);
            *self.data_bytes.entry((from, to)).or_default() += bytes;
        }
        self.messages += 1;
        let mut at = self.now + self.rng.random_range(1..4);
        if lane == Lane::Data {
            at += self.data_delay.get(&(from, to)).copied().unwrap_or(0);
        }
        at = at.max(self.held.get(&(from, to)).copied().unwrap_or(0));
        if self.ordered {
            let lane = if self.one_lane { Lane::Data } else { lane };
            let last = self.last_arrival.entry((from, to, lane)).or_default();
            at = at.max(*last);
            if let Some(rate) = self.data_rate.get(&(from, to)) {
                at += (bytes / rate) as u64;
            }
            *last = at;
        }
        if let Some(late) =
            self.late_resignations.filter(|_| matches!(envelope.message, Message::Resign { .. }))
        {
            self.messages += 1;
            self.network.insert((at + late, self.messages), (from, to, envelope.clone()));
            self.messages += 1;
        }
        if self.repeats > 0.0 && self.rng.random_bool(self.repeats) {
            let again = at + self.rng.random_range(0..5_000);
            self.messages += 1;
            self.network.insert((again, self.messages), (from, to, envelope.clone()));
            self.messages += 1;
        }
        self.network.insert((at, self.messages), (from, to, envelope));
    }

    fn notice(&mut self, i: usize, notice: Notice) {
        if self.keeps_notices {
            self.notices.push((i, notice.clone()));
        }
        let machine = &mut self.machines[i];
        match notice {
            Notice::Activated { term } => {
                let began = machine.replica.as_ref().map_or(0, |r| r.position().sequence);
                machine.serving = Some((term, began));
                self.failovers += 1;
            }
            Notice::Deactivated => {
                machine.serving = None;
                machine.proposed.clear();
            }
            Notice::Committed { sequence } => {
                let done = machine.proposed.iter().filter(|(s, _)| *s <= sequence);
                self.committed.extend(done.map(|(_, key)| key.clone()));
                machine.proposed.retain(|(s, _)| *s > sequence);
                let Some((term, began)) = machine.serving else { return };
                let replica = machine.replica.as_ref().expect("runs");
                // One that was replaced while it stood still may learn late that its batches last.
                if sequence >= began && machine.checked < term && replica.active(self.now).is_some() {
                    machine.checked = term;
                    let lost = self.committed.iter().find(|key| replica.keyspace().get(key).is_none());
                    assert!(lost.is_none(), "term {term} lost {lost:?}");
                }
            }
            Notice::View(_) => {}
            Notice::MayLeave => machine.may_leave = true,
        }
    }

    /// How every machine sees things, for messages of failed tests.
    pub fn describe(&self) -> String {
        let state = |m: &Machine| {
            let view = m.replica.as_ref().and_then(|r| r.view().cloned());
            let view = view.map(|v| (v.epoch, v.primary, v.in_sync, v.members.len()));
            let at = m.replica.as_ref().map(|r| (r.me().id, r.position(), r.committed()));
            let unfinished = m.replica.as_ref().is_some_and(Replica::incomplete);
            let promised = m.durable.witness.promised;
            format!("\n  {} {at:?} {view:?} promised {promised:?} unfinished {unfinished}", m.options.node)
        };
        self.machines.iter().map(state).collect()
    }

    fn check(&mut self) {
        let active = self.active();
        assert!(active.len() <= 1, "two primaries: {active:?} at {}", self.now);
        for i in active {
            self.machines[i].last_active = self.now;
            self.check_in_sync(i);
        }
        (0..self.machines.len()).for_each(|i| self.check_directions(i));
        if self.now.is_multiple_of(COMPARE_MS) {
            self.check_copies();
        }
    }

    /// Copies at one position are equal.
    fn check_copies(&self) {
        let mut seen: BTreeMap<(u64, u64), (usize, Vec<u64>)> = BTreeMap::new();
        for (i, machine) in self.machines.iter().enumerate() {
            let Some(replica) = machine.replica.as_ref().filter(|r| !r.incomplete()) else { continue };
            let at = (replica.position().term, replica.position().sequence);
            let roots = replica.keyspace().roots();
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
            let Some(replica) = machine.replica.as_ref().filter(|r| r.incomplete()) else { continue };
            let counts = view.is_some_and(|view| view.in_sync.contains(&replica.me().id));
            assert!(
                !counts,
                "{} is in sync with an unfinished repair: {}",
                machine.options.node,
                self.describe()
            );
        }
    }

    /// Whoever sends others to a primary knows that it acted less than a lease ago.
    fn check_directions(&self, i: usize) {
        if self.frozen(i) {
            return;
        }
        let Some(replica) = &self.machines[i].replica else { return };
        let Some(primary) = replica.proven_primary(self.now) else { return };
        let named = self.machines.iter().find(|m| m.options.peer == primary.peer).expect("known");
        let since = self.now - named.last_active;
        assert!(since <= LEASE_MS, "machine {i} sends to {} which acted {since} ms ago", primary.node);
    }
}

pub fn address(i: usize) -> String {
    format!("peer-{i}")
}

fn size_of_item(message: &Message) -> usize {
    match message {
        Message::Stream { item: StreamItem::Piece(parts), .. } => parts.iter().map(Part::bytes).sum(),
        Message::Stream { item: StreamItem::Batch { changes, .. }, .. } => {
            changes.iter().map(Change::bytes).sum()
        }
        _ => 0,
    }
}

fn keep(durable: &mut Restored, record: Record) {
    match record {
        Record::Identity { id, founder } => {
            durable.identity = Some(id);
            durable.founder = founder;
        }
        Record::Witness(witness) => durable.witness = witness,
        Record::Batch { position, changes } => {
            changes.iter().for_each(|change| durable.keyspace.apply(change));
            durable.position = position;
            durable.incomplete = false;
        }
        Record::Repair { changes } => {
            changes.iter().for_each(|change| durable.keyspace.apply(change));
            durable.incomplete = true;
        }
    }
}
