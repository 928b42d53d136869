//! A tier of schedulers for the tests, in one process and without a network. It delivers datagrams
//! as soon as they are sent, unless a test delivers them itself.
use spanlead_singleton_roles::{
    Action, ClockReading, LeaseChange, Millis, QuorumConfig, RoleConfig, RoleIndex, RoleManager,
    SchedulerNumber, Term, decode,
};
use std::collections::VecDeque;

/// The duration of a lease, milliseconds.
pub const LEASE: Millis = 3000;
/// The name of the only role.
pub const ROLE_NAME: &str = "duty";
pub const ROLE: RoleIndex = RoleIndex(0);
/// The time after the start by which all schedulers may grant and one has acquired the role,
/// milliseconds.
pub const SETTLE_TIME: Millis = 5000;
/// The time between two ticks, milliseconds.
const TICK: Millis = 100;

/// The hash that identifies the role in messages.
pub fn role_hash() -> u32 {
    xxhash_rust::xxh3::xxh3_64(ROLE_NAME.as_bytes()) as u32
}

/// The order in which datagrams are delivered.
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

/// A change of a lease, with the scheduler that reported it.
pub type ObservedChange = (SchedulerNumber, LeaseChange);

pub struct Tier {
    pub schedulers: Vec<RoleManager>,
    pub now: Millis,
    pub changes: Vec<ObservedChange>,
    in_flight: VecDeque<Datagram>,
    is_up: Vec<bool>,
    seed: u64,
}

impl Tier {
    /// Creates a tier of schedulers that start at time 0. The seed determines the random delays
    /// before failed requests are repeated.
    pub fn new(count: u16, seed: u64) -> Self {
        let mut tier = Tier {
            schedulers: Vec::new(),
            now: 0,
            changes: Vec::new(),
            in_flight: VecDeque::new(),
            is_up: vec![true; count.into()],
            seed,
        };
        tier.schedulers = (0..count).map(|number| tier.new_scheduler(number)).collect();
        tier
    }

    /// Creates a tier and advances its time by [`SETTLE_TIME`], after which a scheduler holds the
    /// role.
    pub fn settled(count: u16, seed: u64) -> Self {
        let mut tier = Tier::new(count, seed);
        tier.advance(SETTLE_TIME);
        tier
    }

    fn new_scheduler(&self, number: SchedulerNumber) -> RoleManager {
        let config = RoleConfig {
            own_number: number,
            quorum: QuorumConfig::single(self.is_up.len() as u16),
            lease_duration: LEASE,
            clock_drift_bound: 300,
            reply_timeout: 200,
            seed: self.seed + u64::from(number),
        };
        RoleManager::new(config, &[ROLE_NAME.to_owned()], self.now)
    }

    /// Restarts a scheduler, which loses its state.
    pub fn restart(&mut self, number: SchedulerNumber) {
        self.schedulers[usize::from(number)] = self.new_scheduler(number);
        self.is_up[usize::from(number)] = true;
    }

    /// Stops a scheduler: it receives nothing and does not tick.
    pub fn stop(&mut self, number: SchedulerNumber) {
        self.is_up[usize::from(number)] = false;
    }

    pub fn scheduler(&mut self, number: SchedulerNumber) -> &mut RoleManager {
        &mut self.schedulers[usize::from(number)]
    }

    pub fn clock(&self) -> ClockReading {
        ClockReading { monotonic: self.now, wall: self.now }
    }

    /// Makes a scheduler release the role.
    pub fn release(&mut self, number: SchedulerNumber) {
        let (now, mut actions) = (self.now, Vec::new());
        self.scheduler(number).release(now, ROLE, &mut actions);
        self.apply_actions(number, actions);
    }

    pub fn apply_actions(&mut self, from: SchedulerNumber, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, payload } => self.in_flight.push_back(Datagram { from, to, payload }),
                Action::LeaseChanged { change, .. } => self.changes.push((from, change)),
            }
        }
    }

    /// Delivers all datagrams in flight and all replies to them.
    pub fn deliver_all(&mut self, delivery: Delivery) {
        while let Some(Datagram { from, to, payload }) = match delivery {
            Delivery::OldestFirst => self.in_flight.pop_front(),
            Delivery::NewestFirst => self.in_flight.pop_back(),
        } {
            if !self.is_up[usize::from(to)] {
                continue;
            }
            let (mut actions, clock, is_up) = (Vec::new(), self.clock(), self.is_up.clone());
            let messages = decode(&payload).expect("decoding a payload that a scheduler encoded");
            let is_alive = |number: SchedulerNumber| is_up[usize::from(number)];
            self.scheduler(to).receive(clock, from, &messages, is_alive, &mut actions);
            self.apply_actions(to, actions);
        }
    }

    /// Advances the time tick by tick, and delivers the datagrams of each tick immediately.
    pub fn advance(&mut self, duration: Millis) {
        for _ in 0..duration / TICK {
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
        self.apply_actions(number, actions);
        self.deliver_all(Delivery::OldestFirst);
    }

    /// The term of a scheduler's unexpired lease.
    pub fn term_of(&self, number: SchedulerNumber) -> Option<Term> {
        self.schedulers[usize::from(number)].held_term(self.now, ROLE)
    }

    /// The lease holder. Panics if several schedulers hold the role.
    pub fn lease_holder(&self) -> Option<SchedulerNumber> {
        let numbers = 0..self.schedulers.len() as u16;
        let holders: Vec<SchedulerNumber> =
            numbers.filter(|number| self.term_of(*number).is_some()).collect();
        assert!(holders.len() <= 1, "at most one scheduler may hold the role, found {holders:?}");
        holders.first().copied()
    }
}
