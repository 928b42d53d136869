//! The work of a period: failure detection, probes and gossip.
use super::{Action, GossipMembership};
use crate::failure_detector::MILLIPERIODS_PER_PERIOD;
use crate::member::{LifecyclePhase, MemberNumber, MemberState};
use rand::Rng;
use rand::seq::IndexedRandom;

/// The mean number of periods between two contacts with members that are not live. The contacts let
/// the sides of a partition rediscover each other when it heals.
const NON_LIVE_CONTACT_PERIODS: u32 = 4;
/// The maximum number of suspects about which a datagram asks. The rest of the datagram is gossip.
const MAX_SUSPECTS_PER_DATAGRAM: usize = 10;
/// The number of replies that may be sent in a period, in addition to those per member.
const BASE_REPLIES_PER_PERIOD: u32 = 8;
/// The number of replies that may be sent in a period, per configured member.
const REPLIES_PER_MEMBER: u32 = 2;

impl GossipMembership {
    /// Runs one period: updates the states of the members, and sends probes and heartbeats.
    pub fn tick(&mut self, actions: &mut Vec<Action>) {
        if self.phase == LifecyclePhase::Left {
            return;
        }
        self.begin_period();
        for number in self.peers_where(|_| true) {
            self.detect_failure(number, actions);
        }
        let suspects = self.peers_where(|peer| peer.state == MemberState::Suspect);
        self.probe(&suspects, actions);
        self.gossip(&suspects, actions);
        self.contact_non_live_member(actions);
        self.request_metadata(actions);
    }

    fn begin_period(&mut self) {
        let config = &self.config;
        self.period += 1;
        self.heartbeat = self.heartbeat.saturating_add(1);
        self.replies_left = BASE_REPLIES_PER_PERIOD + REPLIES_PER_MEMBER * u32::from(config.member_count);
        let senders = config.fanout.min(config.member_count - 1).max(1);
        self.clock.advance((1.0 - config.tolerated_loss) * f64::from(senders));
    }

    /// Suspects a live member whose newest heartbeat is too old, and declares it dead once enough
    /// probes have failed.
    fn detect_failure(&mut self, number: MemberNumber, actions: &mut Vec<Action>) {
        let peer = self.peer(number);
        let silent_periods = self.clock.periods_since(peer.heartbeat_created_at);
        let is_recent = silent_periods <= u64::from(self.thresholds.suspect_after_periods);
        if peer.newest_heartbeat.is_none() || !peer.state.is_live() || is_recent {
            return;
        }
        let probes_until_dead = u64::from(self.thresholds.probes_until_dead) * MILLIPERIODS_PER_PERIOD;
        let is_dead = peer.state == MemberState::Suspect && peer.milliprobes >= probes_until_dead;
        self.set_state(number, if is_dead { MemberState::Dead } else { MemberState::Suspect }, actions);
    }

    /// Probes each suspect: requests its heartbeat from the suspect itself.
    fn probe(&mut self, suspects: &[MemberNumber], actions: &mut Vec<Action>) {
        for to in suspects {
            self.count_probe(*to);
            self.send_heartbeats(*to, true, &[], actions);
        }
    }

    /// Sends heartbeats to random members, and asks them about suspects: if only the direction from
    /// a suspect to this scheduler is blocked, others have newer heartbeats of the suspect.
    fn gossip(&mut self, suspects: &[MemberNumber], actions: &mut Vec<Action>) {
        let is_starting_up = self.period <= u64::from(self.thresholds.dead_after_periods);
        let candidates = self
            .peers_where(|peer| peer.state.is_live() || is_starting_up && peer.state == MemberState::Unknown);
        let fanout = usize::from(self.config.fanout);
        let receivers: Vec<MemberNumber> =
            candidates.choose_multiple(&mut self.rng, fanout).copied().collect();
        for to in receivers.into_iter().filter(|to| !suspects.contains(to)) {
            let queried: Vec<MemberNumber> =
                suspects.choose_multiple(&mut self.rng, MAX_SUSPECTS_PER_DATAGRAM).copied().collect();
            queried.iter().for_each(|number| self.count_probe(*number));
            self.send_heartbeats(to, !queried.is_empty(), &queried, actions);
        }
    }

    /// Requests the heartbeat of a random member that is not live, on average once in
    /// [`NON_LIVE_CONTACT_PERIODS`] periods.
    fn contact_non_live_member(&mut self, actions: &mut Vec<Action>) {
        if self.rng.random_ratio(1, NON_LIVE_CONTACT_PERIODS) {
            let candidates = self.peers_where(|peer| !peer.state.is_live());
            if let Some(to) = candidates.choose(&mut self.rng) {
                self.send_heartbeats(*to, true, &[], actions);
            }
        }
    }

    /// Requests the metadata of a random live member whose metadata for its current incarnation is
    /// missing.
    fn request_metadata(&mut self, actions: &mut Vec<Action>) {
        let without_metadata = self.peers_where(|peer| {
            let metadata_incarnation = peer.metadata.as_ref().map(|metadata| metadata.incarnation);
            peer.state.is_live()
                && metadata_incarnation != peer.newest_heartbeat.map(|entry| entry.incarnation)
        });
        if let Some(to) = without_metadata.choose(&mut self.rng) {
            self.send_metadata(*to, true, actions);
        }
    }

    /// Counts a probe, weighted with the rate of the suspicion clock: while this process receives
    /// few datagrams, its own probes may be the ones that are lost.
    fn count_probe(&mut self, number: MemberNumber) {
        let weight = self.clock.rate();
        self.peer_mut(number).milliprobes += weight;
    }
}
