//! The state machine of the membership protocol: the state of the members in the view of one
//! scheduler, and the datagrams that it sends them.
//!
//! - `period`: the periodic failure detection and gossip.
//! - `receive`: the processing of received datagrams.
//! - `send`: the construction of datagrams.
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

/// The exclusive upper bound of plausible incarnations in datagrams, so that this scheduler can
/// always take a higher incarnation than one that it learns of.
const MAX_INCARNATION: Incarnation = u32::MAX - (1 << 16);
/// The maximum number of members that a scheduler notifies when it shuts down.
const MAX_LEAVE_RECEIVERS: usize = 64;
/// The number of notifications that a scheduler sends to each of them, since some may be lost.
const LEAVE_REPETITIONS: usize = 3;

/// An action that the caller must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram to a member.
    Send {
        /// The receiver.
        to: MemberNumber,
        /// The encoded datagram.
        datagram: Vec<u8>,
    },
    /// Report a change of a member's state.
    StateChanged(MemberStateChange),
    /// Pass a received message to the other protocol that it belongs to.
    Payload {
        /// The member that sent it.
        from: MemberNumber,
        /// The number of the other protocol.
        protocol: u8,
        /// The message.
        bytes: Vec<u8>,
    },
}

/// The membership of a tier in the view of one scheduler.
#[derive(Clone, Debug)]
pub struct GossipMembership {
    config: MembershipConfig,
    thresholds: SuspicionThresholds,
    rng: ChaCha8Rng,
    /// This scheduler's incarnation: the configured one, or a higher one if other members knew a
    /// newer heartbeat of this scheduler than its own.
    incarnation: Incarnation,
    /// The counter of this scheduler's newest heartbeat.
    heartbeat: u32,
    phase: LifecyclePhase,
    /// The number of periods through which this process has run.
    period: u64,
    clock: SuspicionClock,
    /// The number of replies that may still be sent in this period. It limits the traffic that
    /// requests of other members can cause.
    replies_left: u32,
    /// The records of the members, by number. In the record of this scheduler only the state is
    /// used.
    peers: Vec<PeerRecord>,
    stats: MembershipStats,
}

/// The knowledge of a member.
#[derive(Clone, Debug)]
struct PeerRecord {
    newest_heartbeat: Option<HeartbeatEntry>,
    /// The creation time of the newest heartbeat by the suspicion clock, milliperiods.
    heartbeat_created_at: u64,
    /// The weighted number of probes of the member since its newest heartbeat, in thousandths.
    milliprobes: u64,
    state: MemberState,
    /// The period in which the member entered its state.
    state_since: u64,
    metadata: Option<PeerMetadata>,
}

/// The metadata that a member has sent of itself.
#[derive(Clone, Debug)]
struct PeerMetadata {
    incarnation: Incarnation,
    name: String,
    version: String,
}

impl PeerRecord {
    fn unknown() -> Self {
        PeerRecord {
            newest_heartbeat: None,
            heartbeat_created_at: 0,
            milliprobes: 0,
            state: MemberState::Unknown,
            state_since: 0,
            metadata: None,
        }
    }

    fn incarnation(&self) -> Incarnation {
        self.newest_heartbeat.map_or(0, |entry| entry.incarnation)
    }

    /// The metadata, if it is of the member's current incarnation.
    fn current_metadata(&self) -> Option<&PeerMetadata> {
        self.metadata.as_ref().filter(|metadata| metadata.incarnation == self.incarnation())
    }

    /// Whether the member has shut down gracefully.
    fn has_left(&self) -> bool {
        self.newest_heartbeat.is_some_and(|entry| entry.phase == LifecyclePhase::Left)
    }
}

impl GossipMembership {
    /// Creates the membership of a scheduler that knows nothing of the other members yet.
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

    /// The thresholds at which members are suspected and declared dead.
    pub fn thresholds(&self) -> SuspicionThresholds {
        self.thresholds
    }

    /// This scheduler's member number.
    pub fn own_number(&self) -> MemberNumber {
        self.config.own_number
    }

    /// Whether a member is alive and serves, in this scheduler's view.
    pub fn is_serving(&self, number: MemberNumber) -> bool {
        self.peers.get(usize::from(number)).is_some_and(|peer| peer.state == MemberState::Alive)
    }

    /// All members, ordered by number.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        (0..self.config.member_count).map(|number| self.member(number))
    }

    /// The counters and the current gauges.
    pub fn stats(&self) -> MembershipStats {
        let count = |matches: fn(MemberState) -> bool| {
            self.peers.iter().filter(|peer| matches(peer.state)).count() as u16
        };
        let mut stats = self.stats.clone();
        stats.live_members = count(MemberState::is_live);
        stats.suspected_members = count(|state| state == MemberState::Suspect);
        for reason in DropReason::ALL {
            stats.dropped.entry(reason).or_default();
        }
        stats
    }

    /// Sets the lifecycle phase that this scheduler reports. It is sent with the next heartbeat,
    /// except [`LifecyclePhase::Left`], which is sent immediately and is final.
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

    /// Counts a dropped datagram. The caller uses it for a datagram that it drops before
    /// [`Self::receive`].
    pub fn count_drop(&mut self, reason: DropReason) {
        *self.stats.dropped.entry(reason).or_default() += 1;
    }

    /// Notifies live members that this scheduler has left.
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

    /// The name of a member, if it was received for the member's current incarnation.
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

    /// The numbers of the other members whose records match.
    fn peers_where(&self, matches: impl Fn(&PeerRecord) -> bool) -> Vec<MemberNumber> {
        let own_number = self.config.own_number;
        let others = (0..self.config.member_count).filter(|number| *number != own_number);
        others.filter(|number| matches(self.peer(*number))).collect()
    }

    /// Sets the state of a member, and reports the change if there is one.
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
