//! A simulated tier of members in virtual time. The members run their periods at different offsets.
//! Datagrams are lost, delayed, duplicated and blocked.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_membership::{
    Action, GossipMembership, LifecyclePhase, Member, MemberState, MemberStateChange, MembershipConfig,
    SuspicionThresholds,
};
use std::collections::BTreeMap;

/// The number of simulation steps in a period.
const STEPS_PER_PERIOD: u64 = 10;
/// The exclusive maximum delay of a datagram, steps.
const MAX_DELAY_STEPS: u64 = 2 * STEPS_PER_PERIOD;
/// The probability that a datagram arrives twice.
const DUPLICATE_PROBABILITY: f64 = 0.02;
/// The duration of a recording of a member's datagrams, periods.
const RECORDING_PERIODS: u64 = 30;
const FANOUT: u16 = 4;
const TOLERATED_LOSS: f64 = 0.3;

/// A datagram in flight.
#[derive(Clone)]
struct SentDatagram {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// A change of a member's state in the view of an observer.
#[derive(Debug)]
pub struct ObservedChange {
    pub observer: usize,
    pub change: MemberStateChange,
}

/// Datagrams of one member, recorded for a later replay.
struct Recording {
    sender: usize,
    datagrams: Vec<SentDatagram>,
}

pub struct SimulatedTier {
    pub seed: u64,
    /// All changes of state, in the order of their occurrence.
    pub changes: Vec<ObservedChange>,
    rng: ChaCha8Rng,
    loss: f64,
    member_count: usize,
    /// The members by number; `None` if the process was killed or has left.
    members: Vec<Option<GossipMembership>>,
    suspended: Vec<bool>,
    /// Whether the link from one member to another is blocked, by sender and receiver.
    blocked_links: Vec<bool>,
    step: u64,
    /// The datagrams by step of arrival and sequence number.
    in_flight: BTreeMap<(u64, u64), SentDatagram>,
    datagrams_sent: u64,
    recording: Option<Recording>,
}

impl SimulatedTier {
    /// Creates a tier whose members have just started.
    pub fn new(member_count: usize, loss: f64, seed: u64) -> Self {
        let mut tier = SimulatedTier {
            seed,
            changes: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss,
            member_count,
            members: (0..member_count).map(|_| None).collect(),
            suspended: vec![false; member_count],
            blocked_links: vec![false; member_count * member_count],
            step: 0,
            in_flight: BTreeMap::new(),
            datagrams_sent: 0,
            recording: None,
        };
        for member in 0..member_count {
            tier.start(member, 1000 + member as u32);
        }
        tier
    }

    /// Starts a member's process.
    pub fn start(&mut self, member: usize, incarnation: u32) {
        let mut membership = GossipMembership::new(MembershipConfig {
            own_number: member as u16,
            member_count: self.member_count as u16,
            tier_id: *b"test",
            name: format!("n{member}"),
            version: "1".into(),
            incarnation,
            fanout: FANOUT,
            tolerated_loss: TOLERATED_LOSS,
            seed: self.rng.random(),
        });
        membership.set_phase(LifecyclePhase::Serving, &mut Vec::new());
        self.members[member] = Some(membership);
    }

    /// Kills a member's process.
    pub fn kill(&mut self, member: usize) {
        self.members[member] = None;
    }

    /// Shuts a member's process down gracefully.
    pub fn leave(&mut self, member: usize) {
        let mut actions = Vec::new();
        if let Some(membership) = &mut self.members[member] {
            membership.set_phase(LifecyclePhase::Left, &mut actions);
        }
        self.apply_actions(member, actions);
        self.kill(member);
    }

    /// Suspends a member's process, which keeps its state.
    pub fn suspend(&mut self, member: usize) {
        self.suspended[member] = true;
    }

    /// Resumes a suspended process. Datagrams that arrived during the suspension are lost.
    pub fn resume(&mut self, member: usize) {
        self.suspended[member] = false;
    }

    /// Blocks or unblocks the link from one member to another.
    pub fn set_link_blocked(&mut self, from: usize, to: usize, is_blocked: bool) {
        self.blocked_links[from * self.member_count + to] = is_blocked;
    }

    /// Unblocks all links.
    pub fn heal(&mut self) {
        self.blocked_links.fill(false);
    }

    /// Runs [`RECORDING_PERIODS`] and records a member's datagrams in them.
    pub fn record_datagrams(&mut self, sender: usize) {
        self.recording = Some(Recording { sender, datagrams: Vec::new() });
        self.run_periods(RECORDING_PERIODS);
    }

    /// Delivers the recorded datagrams again.
    pub fn replay_datagrams(&mut self) {
        let Some(Recording { datagrams, .. }) = self.recording.take() else { return };
        for datagram in datagrams {
            self.deliver(&datagram);
        }
    }

    /// The members whose processes are running, neither killed nor suspended.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.member_count).filter(|member| self.members[*member].is_some() && !self.suspended[*member])
    }

    /// The state of a member in an observer's view.
    pub fn state(&self, observer: usize, member: usize) -> MemberState {
        self.member(observer, member).map_or(MemberState::Unknown, |observed| observed.state)
    }

    /// Whether a member has this state in the view of all other running members.
    pub fn all_see(&self, member: usize, state: MemberState) -> bool {
        self.running().all(|observer| observer == member || self.state(observer, member) == state)
    }

    /// Whether all members are alive in the view of all other running members.
    pub fn all_see_all_alive(&self) -> bool {
        (0..self.member_count).all(|member| self.all_see(member, MemberState::Alive))
    }

    /// The incarnation of a member in an observer's view.
    pub fn incarnation(&self, observer: usize, member: usize) -> u32 {
        self.member(observer, member).map_or(0, |observed| observed.incarnation)
    }

    fn member(&self, observer: usize, member: usize) -> Option<Member> {
        self.members[observer].as_ref()?.members().nth(member)
    }

    pub fn thresholds(&self) -> SuspicionThresholds {
        SuspicionThresholds::for_tier(self.member_count as u16, FANOUT, TOLERATED_LOSS)
    }

    /// Runs a number of periods.
    pub fn run_periods(&mut self, periods: u64) {
        (0..periods).for_each(|_| self.run_period());
    }

    /// Runs one period, in which each member ticks at its own offset.
    pub fn run_period(&mut self) {
        for tick_offset in 0..STEPS_PER_PERIOD {
            self.step += 1;
            self.deliver_due();
            for member in
                (0..self.member_count).filter(|member| *member as u64 % STEPS_PER_PERIOD == tick_offset)
            {
                self.tick(member);
            }
        }
    }

    fn deliver_due(&mut self) {
        while let Some(due) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.step) {
            let datagram = due.remove();
            self.deliver(&datagram);
        }
    }

    fn tick(&mut self, member: usize) {
        if self.suspended[member] {
            return;
        }
        let mut actions = Vec::new();
        if let Some(membership) = &mut self.members[member] {
            membership.tick(&mut actions);
        }
        self.apply_actions(member, actions);
    }

    fn deliver(&mut self, datagram: &SentDatagram) {
        // The socket of a suspended process buffers only a few of the datagrams that arrive, so all
        // are treated as lost.
        if self.suspended[datagram.to] {
            return;
        }
        let mut actions = Vec::new();
        if let Some(membership) = &mut self.members[datagram.to] {
            membership.receive(datagram.from as u16, &datagram.bytes, &mut actions);
        }
        self.apply_actions(datagram.to, actions);
    }

    fn apply_actions(&mut self, member: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::StateChanged(change) => {
                    self.changes.push(ObservedChange { observer: member, change });
                }
                Action::Payload { .. } => {}
                Action::Send { to, datagram } => {
                    self.send(&SentDatagram { from: member, to: usize::from(to), bytes: datagram });
                }
            }
        }
    }

    fn send(&mut self, datagram: &SentDatagram) {
        if let Some(recording) = self.recording.as_mut().filter(|recording| recording.sender == datagram.from)
        {
            recording.datagrams.push(datagram.clone());
        }
        let is_blocked = self.blocked_links[datagram.from * self.member_count + datagram.to];
        if is_blocked || self.rng.random_bool(self.loss) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(DUPLICATE_PROBABILITY));
        for _ in 0..copies {
            self.datagrams_sent += 1;
            let arrival = self.step + self.rng.random_range(0..MAX_DELAY_STEPS);
            self.in_flight.insert((arrival, self.datagrams_sent), datagram.clone());
        }
    }
}
