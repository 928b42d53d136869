//! A tier of members in virtual time: each lives through a period at its own phase; datagrams are
//! lost, late, doubled and cut off.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_membership::{
    Action, GossipMembership, LifecyclePhase, Member, MemberState, MemberStateChange, MembershipConfig,
    SuspicionThresholds,
};
use std::collections::BTreeMap;

/// Steps in a period.
const STEPS_PER_PERIOD: u64 = 10;
/// The longest delay of a datagram, steps.
const MAX_DELAY_STEPS: u64 = 2 * STEPS_PER_PERIOD;
/// The probability that a datagram arrives twice.
const DUPLICATE_PROBABILITY: f64 = 0.02;
/// Periods for which a member's datagrams are recorded.
const RECORDING_PERIODS: u64 = 30;
const FANOUT: u16 = 4;
const TOLERATED_LOSS: f64 = 0.3;

/// A datagram under way.
#[derive(Clone)]
struct SentDatagram {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// A change of a member's state, as one member saw it.
#[derive(Debug)]
pub struct SeenChange {
    pub observer: usize,
    pub change: MemberStateChange,
}

/// Datagrams of one member that are kept to arrive again later.
struct Recording {
    sender: usize,
    datagrams: Vec<SentDatagram>,
}

pub struct SimulatedTier {
    pub seed: u64,
    /// All changes of state, in their order.
    pub changes: Vec<SeenChange>,
    rng: ChaCha8Rng,
    loss: f64,
    member_count: usize,
    /// The members that run; `None` where the process was killed.
    members: Vec<Option<GossipMembership>>,
    suspended: Vec<bool>,
    /// Whether datagrams from a member to another are cut off, by sender and receiver.
    cuts: Vec<bool>,
    step: u64,
    /// Datagrams by the step of their arrival and their number.
    under_way: BTreeMap<(u64, u64), SentDatagram>,
    datagrams_sent: u64,
    recording: Option<Recording>,
}

impl SimulatedTier {
    /// A tier whose members have just started.
    pub fn new(member_count: usize, loss: f64, seed: u64) -> Self {
        let mut tier = SimulatedTier {
            seed,
            changes: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss,
            member_count,
            members: (0..member_count).map(|_| None).collect(),
            suspended: vec![false; member_count],
            cuts: vec![false; member_count * member_count],
            step: 0,
            under_way: BTreeMap::new(),
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

    /// Ends a member's process at once.
    pub fn kill(&mut self, member: usize) {
        self.members[member] = None;
    }

    /// Ends a member's process gracefully.
    pub fn leave(&mut self, member: usize) {
        let mut actions = Vec::new();
        if let Some(membership) = &mut self.members[member] {
            membership.set_phase(LifecyclePhase::Left, &mut actions);
        }
        self.perform(member, actions);
        self.kill(member);
    }

    /// Stops a member's process, which keeps its state.
    pub fn suspend(&mut self, member: usize) {
        self.suspended[member] = true;
    }

    /// Lets a suspended process go on. What arrived meanwhile is lost.
    pub fn resume(&mut self, member: usize) {
        self.suspended[member] = false;
    }

    /// Cuts one direction between two members off, or restores it.
    pub fn set_cut(&mut self, from: usize, to: usize, is_cut: bool) {
        self.cuts[from * self.member_count + to] = is_cut;
    }

    /// Restores all directions.
    pub fn heal(&mut self) {
        self.cuts.fill(false);
    }

    /// Records a member's datagrams for some periods.
    pub fn record_datagrams(&mut self, sender: usize) {
        self.recording = Some(Recording { sender, datagrams: Vec::new() });
        self.pass_periods(RECORDING_PERIODS);
    }

    /// The recorded datagrams arrive now, again.
    pub fn replay_datagrams(&mut self) {
        let Some(Recording { datagrams, .. }) = self.recording.take() else { return };
        for datagram in datagrams {
            self.arrive(&datagram);
        }
    }

    /// The members whose processes run.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.member_count).filter(|member| self.members[*member].is_some() && !self.suspended[*member])
    }

    /// The state of a member in an observer's view.
    pub fn state(&self, observer: usize, member: usize) -> MemberState {
        self.member(observer, member).map_or(MemberState::Unknown, |seen| seen.state)
    }

    /// Whether a member has this state in the view of all others that run.
    pub fn all_see(&self, member: usize, state: MemberState) -> bool {
        self.running().all(|observer| observer == member || self.state(observer, member) == state)
    }

    /// Whether all members are alive in the view of all others.
    pub fn all_see_all_alive(&self) -> bool {
        (0..self.member_count).all(|member| self.all_see(member, MemberState::Alive))
    }

    /// The incarnation of a member in an observer's view.
    pub fn incarnation(&self, observer: usize, member: usize) -> u32 {
        self.member(observer, member).map_or(0, |seen| seen.incarnation)
    }

    fn member(&self, observer: usize, member: usize) -> Option<Member> {
        self.members[observer].as_ref()?.members().nth(member)
    }

    pub fn thresholds(&self) -> SuspicionThresholds {
        SuspicionThresholds::for_tier(self.member_count as u16, FANOUT, TOLERATED_LOSS)
    }

    /// Many periods pass.
    pub fn pass_periods(&mut self, periods: u64) {
        (0..periods).for_each(|_| self.pass_period());
    }

    /// One period passes; each member lives through it at a phase of its own.
    pub fn pass_period(&mut self) {
        for phase in 0..STEPS_PER_PERIOD {
            self.step += 1;
            self.deliver_due();
            for member in (0..self.member_count).filter(|member| *member as u64 % STEPS_PER_PERIOD == phase) {
                self.tick(member);
            }
        }
    }

    fn deliver_due(&mut self) {
        while let Some(due) = self.under_way.first_entry().filter(|entry| entry.key().0 <= self.step) {
            let datagram = due.remove();
            self.arrive(&datagram);
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
        self.perform(member, actions);
    }

    fn arrive(&mut self, datagram: &SentDatagram) {
        // A socket keeps what arrives for a suspended process; by far the most is lost.
        if self.suspended[datagram.to] {
            return;
        }
        let mut actions = Vec::new();
        if let Some(membership) = &mut self.members[datagram.to] {
            membership.receive(datagram.from as u16, &datagram.bytes, &mut actions);
        }
        self.perform(datagram.to, actions);
    }

    fn perform(&mut self, member: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::StateChanged(change) => self.changes.push(SeenChange { observer: member, change }),
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
        let is_cut = self.cuts[datagram.from * self.member_count + datagram.to];
        if is_cut || self.rng.random_bool(self.loss) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(DUPLICATE_PROBABILITY));
        for _ in 0..copies {
            self.datagrams_sent += 1;
            let arrival = self.step + self.rng.random_range(0..MAX_DELAY_STEPS);
            self.under_way.insert((arrival, self.datagrams_sent), datagram.clone());
        }
    }
}
