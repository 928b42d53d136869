//! What is done once a period: the failure detector judges the members, and heartbeats are sent.
use super::{Action, GossipMembership};
use crate::failure_detector::MILLIPERIODS_PER_PERIOD;
use crate::member::{LifecyclePhase, MemberNumber, MemberState};
use rand::Rng;
use rand::seq::IndexedRandom;

/// In one of this many periods a member that is not live is contacted, so that the sides of a
/// partition find each other again when it heals.
const LOST_MEMBER_CONTACT_PERIODS: u32 = 4;
/// A datagram asks about this many suspects at the most; the rest of it is gossip.
const MAX_SUSPECTS_ASKED: usize = 10;
/// Replies that may be sent in a period, beside those for each member.
const BASE_REPLIES_PER_PERIOD: u32 = 8;
/// Replies that may be sent in a period for each member.
const REPLIES_PER_MEMBER: u32 = 2;

impl GossipMembership {
    /// One period has passed.
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
        self.contact_lost_member(actions);
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

    /// Suspects a live member whose newest heartbeat is too old, and declares it dead when enough
    /// probes have failed.
    fn detect_failure(&mut self, number: MemberNumber, actions: &mut Vec<Action>) {
        let peer = self.peer(number);
        let silent_periods = self.clock.periods_since(peer.heartbeat_made_at);
        let is_recent = silent_periods <= u64::from(self.thresholds.suspect_after_periods);
        if peer.newest.is_none() || !peer.state.is_live() || is_recent {
            return;
        }
        let probes_until_dead = u64::from(self.thresholds.probes_until_dead) * MILLIPERIODS_PER_PERIOD;
        let is_dead = peer.state == MemberState::Suspect && peer.milliprobes >= probes_until_dead;
        self.set_state(number, if is_dead { MemberState::Dead } else { MemberState::Suspect }, actions);
    }

    /// Asks each suspect for its heartbeat.
    fn probe(&mut self, suspects: &[MemberNumber], actions: &mut Vec<Action>) {
        for to in suspects {
            self.count_probe(*to);
            self.send_heartbeats(*to, true, &[], actions);
        }
    }

    /// Sends heartbeats to random members, and asks them about suspects: where one direction to a
    /// suspect is cut, others have newer heartbeats of it.
    fn gossip(&mut self, suspects: &[MemberNumber], actions: &mut Vec<Action>) {
        let is_new = self.period <= u64::from(self.thresholds.dead_after_periods);
        let candidates =
            self.peers_where(|peer| peer.state.is_live() || is_new && peer.state == MemberState::Unknown);
        let fanout = usize::from(self.config.fanout);
        let receivers: Vec<MemberNumber> =
            candidates.choose_multiple(&mut self.rng, fanout).copied().collect();
        for to in receivers.into_iter().filter(|to| !suspects.contains(to)) {
            let asked: Vec<MemberNumber> =
                suspects.choose_multiple(&mut self.rng, MAX_SUSPECTS_ASKED).copied().collect();
            asked.iter().for_each(|number| self.count_probe(*number));
            self.send_heartbeats(to, !asked.is_empty(), &asked, actions);
        }
    }

    /// Now and then asks a member that is not live for its heartbeat.
    fn contact_lost_member(&mut self, actions: &mut Vec<Action>) {
        if self.rng.random_ratio(1, LOST_MEMBER_CONTACT_PERIODS) {
            let lost = self.peers_where(|peer| !peer.state.is_live());
            if let Some(to) = lost.choose(&mut self.rng) {
                self.send_heartbeats(*to, true, &[], actions);
            }
        }
    }

    /// Asks one live member for its name and version, if those of its present incarnation are
    /// missing.
    fn request_metadata(&mut self, actions: &mut Vec<Action>) {
        let nameless = self.peers_where(|peer| {
            let of_incarnation = peer.metadata.as_ref().map(|metadata| metadata.incarnation);
            peer.state.is_live() && of_incarnation != peer.newest.map(|entry| entry.incarnation)
        });
        if let Some(to) = nameless.choose(&mut self.rng) {
            self.send_metadata(*to, true, actions);
        }
    }

    /// A probe counts as much as this process hears at present: while it hears little, its probes
    /// may be what is lost.
    fn count_probe(&mut self, number: MemberNumber) {
        let weight = self.clock.rate();
        self.peer_mut(number).milliprobes += weight;
    }
}
