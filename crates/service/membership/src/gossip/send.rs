//! Construction of datagrams.
use super::{Action, GossipMembership};
use crate::datagram::{Datagram, MessageBody, PROTOCOL_VERSION, truncate_text};
use crate::digest::{HeartbeatEntry, fit_into_datagram};
use crate::failure_detector::MILLIPERIODS_PER_PERIOD;
use crate::limits::MAX_DIGEST_ENTRIES;
use crate::member::MemberNumber;
use rand::seq::IndexedRandom;

impl GossipMembership {
    /// Sends a message of another protocol, at most [`MAX_PAYLOAD_BYTES`](crate::MAX_PAYLOAD_BYTES)
    /// long.
    pub fn send_payload(
        &mut self,
        to: MemberNumber,
        protocol: u8,
        bytes: Vec<u8>,
        actions: &mut Vec<Action>,
    ) {
        self.send(to, MessageBody::Payload { protocol, bytes }, actions);
    }

    /// Sends heartbeats: this scheduler's own, the receiver's if it is known, those of `requested`,
    /// and random ones that may be new to the receiver.
    ///
    /// The random ones do not include stale heartbeats: a receiver that has just started would take
    /// dead members for live ones. Stale heartbeats are sent only of the receiver itself and of
    /// `requested`, in requests and replies.
    pub(super) fn send_heartbeats(
        &mut self,
        to: MemberNumber,
        reply_requested: bool,
        requested: &[MemberNumber],
        actions: &mut Vec<Action>,
    ) {
        let fresh = self.fresh_peers();
        let chosen: Vec<MemberNumber> =
            fresh.choose_multiple(&mut self.rng, MAX_DIGEST_ENTRIES).copied().collect();
        let random = chosen.iter().filter(|number| **number != to && !requested.contains(number));
        let of_others = requested.iter().chain(random).filter_map(|number| self.newest_entry(*number));
        // The receiver's own heartbeat, at any age: it tells a member that has restarted under a
        // clock that went back that its heartbeats appear outdated.
        let of_receiver = self.newest_entry(to);
        let digest = fit_into_datagram(std::iter::once(self.own_entry()).chain(of_receiver).chain(of_others));
        self.send(to, MessageBody::Heartbeats { reply_requested, digest }, actions);
    }

    /// Sends this scheduler's name and version.
    pub(super) fn send_metadata(
        &mut self,
        to: MemberNumber,
        reply_requested: bool,
        actions: &mut Vec<Action>,
    ) {
        let body = MessageBody::Metadata {
            reply_requested,
            incarnation: self.incarnation,
            name: truncate_text(&self.config.name),
            version: truncate_text(&self.config.version),
        };
        self.send(to, body, actions);
    }

    /// This scheduler's newest heartbeat.
    pub(super) fn own_entry(&self) -> HeartbeatEntry {
        HeartbeatEntry {
            number: self.config.own_number,
            incarnation: self.incarnation,
            heartbeat: self.heartbeat,
            age_periods: 0,
            phase: self.phase,
        }
    }

    /// The members whose newest heartbeat is passed on: those that are live and whose heartbeat is
    /// younger than the suspicion threshold, and those that have left.
    fn fresh_peers(&self) -> Vec<MemberNumber> {
        let stale_after = u64::from(self.thresholds.suspect_after_periods) * MILLIPERIODS_PER_PERIOD;
        let now = self.clock.reading();
        self.peers_where(|peer| {
            peer.has_left() || now - peer.heartbeat_created_at < stale_after && peer.state.is_live()
        })
    }

    /// The newest heartbeat of a member, with its current age.
    fn newest_entry(&self, number: MemberNumber) -> Option<HeartbeatEntry> {
        let peer = self.peer(number);
        let age = self.clock.periods_since(peer.heartbeat_created_at);
        let age_periods = u32::try_from(age).unwrap_or(u32::MAX);
        peer.newest_heartbeat.map(|entry| HeartbeatEntry { age_periods, ..entry })
    }

    fn send(&mut self, to: MemberNumber, body: MessageBody, actions: &mut Vec<Action>) {
        let datagram = Datagram {
            protocol_version: PROTOCOL_VERSION,
            tier_id: self.config.tier_id,
            from: self.config.own_number,
            to,
            body,
        };
        let datagram = datagram.encode();
        self.stats.datagrams_out += 1;
        self.stats.bytes_out += datagram.len() as u64;
        actions.push(Action::Send { to, datagram });
    }
}
