//! Processing of received datagrams.
use super::{Action, GossipMembership, MAX_INCARNATION, PeerMetadata};
use crate::datagram::{Datagram, DropReason, MessageBody, truncate_text};
use crate::digest::HeartbeatEntry;
use crate::limits::MAX_DIGEST_ENTRIES;
use crate::member::{LifecyclePhase, MemberNumber, MemberState};

/// The maximum plausible advance of a heartbeat counter over the last known one: more than a day at
/// ten heartbeats a second.
const MAX_HEARTBEAT_ADVANCE: u32 = 1 << 20;

impl GossipMembership {
    /// Processes a datagram that arrived from the address of member `from`. Drops and counts it if
    /// it is invalid.
    pub fn receive(&mut self, from: MemberNumber, bytes: &[u8], actions: &mut Vec<Action>) {
        self.stats.datagrams_in += 1;
        self.stats.bytes_in += bytes.len() as u64;
        if let Err(reason) = self.try_receive(from, bytes, actions) {
            self.count_drop(reason);
        }
    }

    fn try_receive(
        &mut self,
        from: MemberNumber,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) -> Result<(), DropReason> {
        let datagram = Datagram::decode(bytes)?;
        self.check_addresses(from, &datagram)?;
        self.clock.count_datagram();
        match datagram.body {
            MessageBody::Heartbeats { reply_requested, digest } => {
                self.receive_heartbeats(from, reply_requested, &digest, actions)?;
            }
            MessageBody::Payload { protocol, bytes } => {
                actions.push(Action::Payload { from, protocol, bytes });
            }
            MessageBody::Metadata { reply_requested, incarnation, name, version } => {
                let (name, version) = (truncate_text(&name), truncate_text(&version));
                self.learn_metadata(from, PeerMetadata { incarnation, name, version });
                if reply_requested && self.may_reply() {
                    self.send_metadata(from, false, actions);
                }
            }
        }
        Ok(())
    }

    /// Checks that the datagram is of this tier and that its sender and receiver match the
    /// addresses that it came from and to.
    fn check_addresses(&self, from: MemberNumber, datagram: &Datagram) -> Result<(), DropReason> {
        let own_number = self.config.own_number;
        if datagram.tier_id != self.config.tier_id {
            return Err(DropReason::Tier);
        }
        if datagram.from != from || datagram.to != own_number || from == own_number {
            return Err(DropReason::Misaddressed);
        }
        if from >= self.config.member_count {
            return Err(DropReason::Implausible);
        }
        Ok(())
    }

    fn receive_heartbeats(
        &mut self,
        from: MemberNumber,
        reply_requested: bool,
        digest: &[HeartbeatEntry],
        actions: &mut Vec<Action>,
    ) -> Result<(), DropReason> {
        // One implausible entry makes the whole digest untrustworthy.
        if digest.len() > MAX_DIGEST_ENTRIES || !digest.iter().all(|entry| self.is_plausible(entry)) {
            return Err(DropReason::Implausible);
        }
        let outdated = digest.iter().filter(|entry| entry.number != from && self.knows_newer(entry));
        let outdated: Vec<MemberNumber> = outdated.map(|entry| entry.number).collect();
        digest.iter().for_each(|entry| self.learn_heartbeat(*entry, actions));
        if reply_requested && self.may_reply() {
            self.send_heartbeats(from, false, &outdated, actions);
        }
        Ok(())
    }

    /// Whether a reply may be sent. Takes one from the replies that are left in this period.
    fn may_reply(&mut self) -> bool {
        let may_reply = self.replies_left > 0 && self.phase != LifecyclePhase::Left;
        self.replies_left = self.replies_left.saturating_sub(1);
        may_reply
    }

    /// Whether a heartbeat can be genuine. A forged one that is far ahead would make all genuine
    /// ones appear outdated.
    fn is_plausible(&self, entry: &HeartbeatEntry) -> bool {
        let Some(peer) = self.peers.get(usize::from(entry.number)) else { return false };
        let known = peer.newest_heartbeat.filter(|known| known.incarnation == entry.incarnation);
        let last_heartbeat = known.map_or(entry.heartbeat, |known| known.heartbeat);
        let max_heartbeat = last_heartbeat.saturating_add(MAX_HEARTBEAT_ADVANCE);
        entry.incarnation < MAX_INCARNATION && entry.heartbeat <= max_heartbeat
    }

    fn knows_newer(&self, entry: &HeartbeatEntry) -> bool {
        self.peer(entry.number).newest_heartbeat.is_some_and(|known| known.is_newer_than(entry))
    }

    fn learn_metadata(&mut self, from: MemberNumber, metadata: PeerMetadata) {
        let known = &mut self.peer_mut(from).metadata;
        // Metadata of an earlier incarnation may arrive late and is outdated.
        if known.as_ref().is_none_or(|known| known.incarnation <= metadata.incarnation) {
            *known = Some(metadata);
        }
    }

    fn learn_heartbeat(&mut self, entry: HeartbeatEntry, actions: &mut Vec<Action>) {
        if entry.number == self.config.own_number {
            return self.renew_incarnation(&entry);
        }
        // A stale heartbeat is no evidence that a member is alive now, but a departure stays valid.
        let is_stale = entry.age_periods > self.thresholds.suspect_after_periods;
        if is_stale && entry.phase != LifecyclePhase::Left || !self.supersedes(&entry) {
            return;
        }
        let created_at = self.clock.reading_before(entry.age_periods);
        let peer = self.peer_mut(entry.number);
        peer.newest_heartbeat = Some(entry);
        peer.heartbeat_created_at = peer.heartbeat_created_at.max(created_at);
        peer.milliprobes = 0;
        if matches!(peer.state, MemberState::Suspect | MemberState::Dead) {
            self.stats.refutations += 1;
        }
        self.set_state(entry.number, entry.phase.into(), actions);
    }

    /// Takes a higher incarnation if another member knows a newer heartbeat of this scheduler than
    /// its own: the clock from which the incarnation was derived has gone back, or two processes
    /// run as the same scheduler. Otherwise its heartbeats would appear outdated.
    fn renew_incarnation(&mut self, entry: &HeartbeatEntry) {
        if entry.is_newer_than(&self.own_entry()) && self.phase != LifecyclePhase::Left {
            self.incarnation = entry.incarnation + 1;
            self.stats.incarnation_renewals += 1;
        }
    }

    /// Whether a heartbeat supersedes the newest known one of its member. A member that has left
    /// returns only with a new incarnation.
    fn supersedes(&self, entry: &HeartbeatEntry) -> bool {
        let Some(known) = &self.peer(entry.number).newest_heartbeat else { return true };
        let has_left = known.incarnation == entry.incarnation
            && known.phase == LifecyclePhase::Left
            && entry.phase != LifecyclePhase::Left;
        entry.is_newer_than(known) && !has_left
    }
}
