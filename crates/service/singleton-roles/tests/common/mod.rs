//! What the tests share: a tier whose datagrams are handed over as they are sent, in one process
//! and without a network.
use spanlead_singleton_roles::{
    Action, ClockReading, LeaseChange, Millis, QuorumConfig, RoleConfig, RoleIndex, RoleManager,
    SchedulerNumber, Term, decode,
};
use std::collections::VecDeque;

/// The duration of a lease.
pub const LEASE: Millis = 3000;
/// The only role.
pub const ROLE_NAME: &str = "duty";
pub const ROLE: RoleIndex = RoleIndex(0);
/// When all have been up for long enough to grant.
pub const SETTLE_TIME: Millis = 5000;
/// The time between two ticks.
const TICK: Millis = 100;

/// The hash by which messages name the role.
pub fn role_hash() -> u32 {
    xxhash_rust::xxh3::xxh3_64(ROLE_NAME.as_bytes()) as u32
}

/// The order in which datagrams arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    OldestFirst,
    NewestFirst,
}

struct Datagram {
    from: SchedulerNumber,
    to: SchedulerNumber,
    payload: Vec<u8>,
}

/// A change of a lease, and on which scheduler.
pub type SeenChange = (SchedulerNumber, LeaseChange);

pub struct Tier {
    pub schedulers: Vec<RoleManager>,
    pub now: Millis,
    pub changes: Vec<SeenChange>,
    under_way: VecDeque<Datagram>,
    is_up: Vec<bool>,
    seed: u64,
}

impl Tier {
    /// A tier of schedulers that start now; the seed draws when they request again.
    pub fn new(count: u16, seed: u64) -> Self {
        let mut tier = Tier {
            schedulers: Vec::new(),
            now: 0,
            changes: Vec::new(),
            under_way: VecDeque::new(),
            is_up: vec![true; count.into()],
            seed,
        };
        tier.schedulers = (0..count).map(|number| tier.new_scheduler(number)).collect();
        tier
    }

    /// A tier that has a lease holder.
    pub fn settled(count: u16, seed: u64) -> Self {
        let mut tier = Tier::new(count, seed);
        tier.pass(SETTLE_TIME);
        tier
    }

    fn new_scheduler(&self, number: SchedulerNumber) -> RoleManager {
        let config = RoleConfig {
            own_number: number,
            quorum: QuorumConfig::of(self.is_up.len() as u16),
            lease_duration: LEASE,
            clock_drift_bound: 300,
            reply_timeout: 200,
            seed: self.seed + u64::from(number),
        };
        RoleManager::new(config, &[ROLE_NAME.to_owned()], self.now)
    }

    /// Starts a scheduler again, without what it knew.
    pub fn restart(&mut self, number: SchedulerNumber) {
        self.schedulers[usize::from(number)] = self.new_scheduler(number);
        self.is_up[usize::from(number)] = true;
    }

    /// Ends a scheduler.
    pub fn stop(&mut self, number: SchedulerNumber) {
        self.is_up[usize::from(number)] = false;
    }

    pub fn scheduler(&mut self, number: SchedulerNumber) -> &mut RoleManager {
        &mut self.schedulers[usize::from(number)]
    }

    pub fn clock(&self) -> ClockReading {
        ClockReading { monotonic: self.now, wall: self.now }
    }

    /// A scheduler releases the role.
    pub fn release(&mut self, number: SchedulerNumber) {
        let (now, mut actions) = (self.now, Vec::new());
        self.scheduler(number).release(now, ROLE, &mut actions);
        self.perform(number, actions);
    }

    pub fn perform(&mut self, from: SchedulerNumber, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, payload } => self.under_way.push_back(Datagram { from, to, payload }),
                Action::LeaseChanged { change, .. } => self.changes.push((from, change)),
            }
        }
    }

    /// All datagrams that are under way arrive, and those that answer them.
    pub fn deliver_all(&mut self, delivery: Delivery) {
        while let Some(Datagram { from, to, payload }) = match delivery {
            Delivery::OldestFirst => self.under_way.pop_front(),
            Delivery::NewestFirst => self.under_way.pop_back(),
        } {
            if !self.is_up[usize::from(to)] {
                continue;
            }
            let (mut actions, clock, is_up) = (Vec::new(), self.clock(), self.is_up.clone());
            let messages = decode(&payload).expect("the payload of a scheduler");
            let is_alive = |number: SchedulerNumber| is_up[usize::from(number)];
            self.scheduler(to).receive(clock, from, &messages, is_alive, &mut actions);
            self.perform(to, actions);
        }
    }

    /// Time passes, and datagrams arrive at once.
    pub fn pass(&mut self, span: Millis) {
        for _ in 0..span / TICK {
            self.now += TICK;
            for number in 0..self.schedulers.len() as u16 {
                self.tick(number);
            }
        }
    }

    fn tick(&mut self, number: SchedulerNumber) {
        if !self.is_up[usize::from(number)] {
            return;
        }
        let (mut actions, clock, is_up) = (Vec::new(), self.clock(), self.is_up.clone());
        self.scheduler(number).tick(clock, |other| is_up[usize::from(other)], &mut actions);
        self.perform(number, actions);
        self.deliver_all(Delivery::OldestFirst);
    }

    /// The term under which a scheduler may act now.
    pub fn term_of(&self, number: SchedulerNumber) -> Option<Term> {
        self.schedulers[usize::from(number)].held_term(self.now, ROLE)
    }

    /// The lease holder. There must not be two.
    pub fn lease_holder(&self) -> Option<SchedulerNumber> {
        let numbers = 0..self.schedulers.len() as u16;
        let holders: Vec<SchedulerNumber> =
            numbers.filter(|number| self.term_of(*number).is_some()).collect();
        assert!(holders.len() <= 1, "{holders:?} hold the role");
        holders.first().copied()
    }
}
