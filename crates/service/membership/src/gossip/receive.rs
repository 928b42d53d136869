//! What a datagram changes.
use super::{Action, GossipMembership, MAX_INCARNATION, PeerMetadata};
use crate::datagram::{Datagram, DropReason, MessageBody, truncate_text};
use crate::digest::HeartbeatEntry;
use crate::limits::MAX_DIGEST_ENTRIES;
use crate::member::{LifecyclePhase, MemberNumber, MemberState};

/// A heartbeat that is further ahead of the last one than this was never made: at ten heartbeats a
/// second it is more than a day.
const MAX_HEARTBEAT_ADVANCE: u32 = 1 << 20;

impl GossipMembership {
    /// A datagram has arrived from the address of member `from`.
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

    /// Whether the datagram is of this tier, and from and to whom it says.
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
        // All or nothing: one impossible entry shows what the others are worth.
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

    fn may_reply(&mut self) -> bool {
        let may_reply = self.replies_left > 0 && self.phase != LifecyclePhase::Left;
        self.replies_left = self.replies_left.saturating_sub(1);
        may_reply
    }

    /// Whether a heartbeat can have been made. A forged one far ahead would make all true ones pass
    /// for old.
    fn is_plausible(&self, entry: &HeartbeatEntry) -> bool {
        let Some(peer) = self.peers.get(usize::from(entry.number)) else { return false };
        let known = peer.newest.filter(|known| known.incarnation == entry.incarnation);
        let last_heartbeat = known.map_or(entry.heartbeat, |known| known.heartbeat);
        let max_heartbeat = last_heartbeat.saturating_add(MAX_HEARTBEAT_ADVANCE);
        entry.incarnation < MAX_INCARNATION && entry.heartbeat <= max_heartbeat
    }

    fn knows_newer(&self, entry: &HeartbeatEntry) -> bool {
        self.peer(entry.number).newest.is_some_and(|known| known.is_newer_than(entry))
    }

    fn learn_metadata(&mut self, from: MemberNumber, metadata: PeerMetadata) {
        let known = &mut self.peer_mut(from).metadata;
        // Metadata of an earlier incarnation that arrives late is outdated.
        if known.as_ref().is_none_or(|known| known.incarnation <= metadata.incarnation) {
            *known = Some(metadata);
        }
    }

    fn learn_heartbeat(&mut self, entry: HeartbeatEntry, actions: &mut Vec<Action>) {
        if entry.number == self.config.own_number {
            return self.renew_incarnation(&entry);
        }
        // A stale heartbeat does not say who is alive now. That a member has left stays true.
        let is_stale = entry.age_periods > self.thresholds.suspect_after_periods;
        if is_stale && entry.phase != LifecyclePhase::Left || !self.supersedes(&entry) {
            return;
        }
        let made_at = self.clock.reading_before(entry.age_periods);
        let peer = self.peer_mut(entry.number);
        peer.newest = Some(entry);
        peer.heartbeat_made_at = peer.heartbeat_made_at.max(made_at);
        peer.milliprobes = 0;
        if matches!(peer.state, MemberState::Suspect | MemberState::Dead) {
            self.stats.refutations += 1;
        }
        self.set_state(entry.number, entry.phase.into(), actions);
    }

    /// Takes a higher incarnation if others know a later start of this scheduler: the clock that
    /// its incarnation came from has gone back, or two processes run as one scheduler. Else its
    /// heartbeats would pass for old ones.
    fn renew_incarnation(&mut self, entry: &HeartbeatEntry) {
        if entry.is_newer_than(&self.own_entry()) && self.phase != LifecyclePhase::Left {
            self.incarnation = entry.incarnation + 1;
            self.stats.incarnation_renewals += 1;
        }
    }

    /// Whether a heartbeat is newer than the one that is known. A member that has left comes back
    /// by a new incarnation only.
    fn supersedes(&self, entry: &HeartbeatEntry) -> bool {
        let Some(known) = &self.peer(entry.number).newest else { return true };
        let has_left = known.incarnation == entry.incarnation
            && known.phase == LifecyclePhase::Left
            && entry.phase != LifecyclePhase::Left;
        entry.is_newer_than(known) && !has_left
    }
}
