//! The protocol's state machine: what a scheduler knows of the members, and what it sends them.
//!
//! - `period`: what is done once a period.
//! - `receive`: what a datagram changes.
//! - `send`: how datagrams are made.
mod period;
mod receive;
mod send;

use crate::config::MembershipConfig;
use crate::datagram::DropReason;
use crate::digest::HeartbeatEntry;
use crate::failure_detector::{SuspicionClock, SuspicionThresholds};
use crate::member::{Incarnation, LifecyclePhase, Member, MemberNumber, MemberState, MemberStateChange};
use crate::stats::MembershipStats;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

/// Incarnations from here on are implausible, so that this scheduler's can always exceed one that
/// it learns of.
const MAX_INCARNATION: Incarnation = u32::MAX - (1 << 16);
/// A scheduler that shuts down notifies this many members at the most.
const MAX_LEAVE_RECEIVERS: usize = 64;
/// How often a scheduler that shuts down notifies each of them.
const LEAVE_REPETITIONS: usize = 3;

/// What the caller must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram to a member.
    Send {
        /// The member.
        to: MemberNumber,
        /// The datagram.
        datagram: Vec<u8>,
    },
    /// Report a change of a member's state.
    StateChanged(MemberStateChange),
    /// Pass a message of another protocol on.
    Payload {
        /// The member that sent it.
        from: MemberNumber,
        /// The number of the other protocol.
        protocol: u8,
        /// The message.
        bytes: Vec<u8>,
    },
}

/// The membership in the view of one scheduler.
#[derive(Clone, Debug)]
pub struct GossipMembership {
    config: MembershipConfig,
    thresholds: SuspicionThresholds,
    rng: ChaCha8Rng,
    /// This scheduler's incarnation: the configured one, or a higher one if others knew a later
    /// start.
    incarnation: Incarnation,
    /// This scheduler's newest heartbeat.
    heartbeat: u32,
    phase: LifecyclePhase,
    /// Periods lived through.
    period: u64,
    clock: SuspicionClock,
    /// Replies that may still be sent in this period, so that no member can make this one send
    /// without end.
    replies_left: u32,
    /// What is known of each member, by number; of this scheduler only its state counts.
    peers: Vec<PeerRecord>,
    stats: MembershipStats,
}

/// What is known of a member.
#[derive(Clone, Debug)]
struct PeerRecord {
    newest: Option<HeartbeatEntry>,
    /// When the newest heartbeat was made, by the suspicion clock, milliperiods.
    heartbeat_made_at: u64,
    /// Probes of the member that it may have received since it is suspected, in thousandths.
    milliprobes: u64,
    state: MemberState,
    /// The period in which the state began.
    state_since: u64,
    metadata: Option<PeerMetadata>,
}

/// What a member sent of itself once.
#[derive(Clone, Debug)]
struct PeerMetadata {
    incarnation: Incarnation,
    name: String,
    version: String,
}

impl PeerRecord {
    fn unknown() -> Self {
        PeerRecord {
            newest: None,
            heartbeat_made_at: 0,
            milliprobes: 0,
            state: MemberState::Unknown,
            state_since: 0,
            metadata: None,
        }
    }

    fn incarnation(&self) -> Incarnation {
        self.newest.map_or(0, |entry| entry.incarnation)
    }

    /// The metadata, if it is of the present incarnation.
    fn current_metadata(&self) -> Option<&PeerMetadata> {
        self.metadata.as_ref().filter(|metadata| metadata.incarnation == self.incarnation())
    }

    /// Whether the member has shut down gracefully.
    fn has_left(&self) -> bool {
        self.newest.is_some_and(|entry| entry.phase == LifecyclePhase::Left)
    }
}

impl GossipMembership {
    /// The membership of a scheduler that knows nothing of the others yet.
    pub fn new(config: MembershipConfig) -> Self {
        let mut peers = vec![PeerRecord::unknown(); usize::from(config.member_count)];
        if let Some(own) = peers.get_mut(usize::from(config.own_number)) {
            own.state = MemberState::Starting;
        }
        GossipMembership {
            thresholds: SuspicionThresholds::for_tier(
                config.member_count,
                config.fanout,
                config.tolerated_loss,
            ),
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            incarnation: config.incarnation.min(MAX_INCARNATION),
            heartbeat: 0,
            phase: LifecyclePhase::Starting,
            period: 0,
            clock: SuspicionClock::new(),
            replies_left: 0,
            peers,
            stats: MembershipStats::default(),
            config,
        }
    }

    /// After how many periods members are suspected, and dead.
    pub fn thresholds(&self) -> SuspicionThresholds {
        self.thresholds
    }

    /// This scheduler's number.
    pub fn own_number(&self) -> MemberNumber {
        self.config.own_number
    }

    /// Whether this member serves, as far as is known.
    pub fn is_serving(&self, number: MemberNumber) -> bool {
        self.peers.get(usize::from(number)).is_some_and(|peer| peer.state == MemberState::Alive)
    }

    /// All members, by number.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        (0..self.config.member_count).map(|number| self.member(number))
    }

    /// The counters, and the gauges of now.
    pub fn stats(&self) -> MembershipStats {
        let count = |is_wanted: fn(MemberState) -> bool| {
            self.peers.iter().filter(|peer| is_wanted(peer.state)).count() as u16
        };
        let mut stats = self.stats.clone();
        stats.live_members = count(MemberState::is_live);
        stats.suspected_members = count(|state| state == MemberState::Suspect);
        for reason in DropReason::ALL {
            stats.dropped.entry(reason).or_default();
        }
        stats
    }

    /// What this scheduler reports of itself from now on. It is sent with the next heartbeat,
    /// except the last phase, which is sent at once.
    pub fn set_phase(&mut self, phase: LifecyclePhase, actions: &mut Vec<Action>) {
        if self.phase == phase || self.phase == LifecyclePhase::Left {
            return;
        }
        self.phase = phase;
        self.heartbeat = self.heartbeat.saturating_add(1);
        self.set_state(self.config.own_number, phase.into(), actions);
        if phase == LifecyclePhase::Left {
            self.notify_leave(actions);
        }
    }

    /// Counts a datagram that was dropped before it came here: of an unknown sender, or too long.
    pub fn count_drop(&mut self, reason: DropReason) {
        *self.stats.dropped.entry(reason).or_default() += 1;
    }

    fn notify_leave(&mut self, actions: &mut Vec<Action>) {
        let mut receivers = self.peers_where(|peer| peer.state.is_live());
        receivers.shuffle(&mut self.rng);
        receivers.truncate(MAX_LEAVE_RECEIVERS);
        for _ in 0..LEAVE_REPETITIONS {
            for to in &receivers {
                self.send_heartbeats(*to, false, &[], actions);
            }
        }
    }

    fn member(&self, number: MemberNumber) -> Member {
        let peer = self.peer(number);
        let is_own = number == self.config.own_number;
        let metadata = peer.current_metadata();
        let received_version = metadata.map(|metadata| metadata.version.clone());
        Member {
            number,
            name: self.member_name(number),
            version: if is_own { Some(self.config.version.clone()) } else { received_version },
            incarnation: if is_own { self.incarnation } else { peer.incarnation() },
            state: peer.state,
            periods_in_state: self.period - peer.state_since.min(self.period),
        }
    }

    /// A member's name, if it was received of its present incarnation.
    fn member_name(&self, number: MemberNumber) -> Option<String> {
        if number == self.config.own_number {
            return Some(self.config.name.clone());
        }
        self.peer(number).current_metadata().map(|metadata| metadata.name.clone())
    }

    fn peer(&self, number: MemberNumber) -> &PeerRecord {
        &self.peers[usize::from(number)]
    }

    fn peer_mut(&mut self, number: MemberNumber) -> &mut PeerRecord {
        &mut self.peers[usize::from(number)]
    }

    /// The numbers of the other members of which this is true.
    fn peers_where(&self, is_wanted: impl Fn(&PeerRecord) -> bool) -> Vec<MemberNumber> {
        let own_number = self.config.own_number;
        let others = (0..self.config.member_count).filter(|number| *number != own_number);
        others.filter(|number| is_wanted(self.peer(*number))).collect()
    }

    /// Gives a member a state, and reports it if the member had another.
    fn set_state(&mut self, number: MemberNumber, to: MemberState, actions: &mut Vec<Action>) {
        let from = self.peer(number).state;
        if from == to {
            return;
        }
        let period = self.period;
        let peer = self.peer_mut(number);
        peer.state = to;
        peer.state_since = period;
        self.stats.view += 1;
        let is_own = number == self.config.own_number;
        actions.push(Action::StateChanged(MemberStateChange {
            view: self.stats.view,
            number,
            name: self.member_name(number),
            incarnation: if is_own { self.incarnation } else { self.peer(number).incarnation() },
            from,
            to,
        }));
    }
}
