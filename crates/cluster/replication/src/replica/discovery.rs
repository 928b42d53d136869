//! Discovery of other machines and of the newest view while no primary is in contact.
use super::outbox::Destination;
use super::state::Replica;
use crate::interface::ReplicaEvent;
use crate::message::Message;
use crate::view::{Epoch, Member, View};

impl Replica {
    /// Announces this machine to all known addresses: the seeds and the members of the view.
    pub(super) fn announce(&mut self, now_ms: u64) {
        self.timers.announced_at_ms = now_ms;
        let members = self.view.iter().flat_map(|view| &view.members);
        let mut addresses = self.config.seeds.clone();
        addresses.extend(members.map(|member| member.peer_address.clone()));
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != self.local_member.peer_address);
        let message = Message::Announce {
            member: self.local_member.clone(),
            bootstrap_voter: self.is_waiting_bootstrap_voter(),
            known_epoch: self.view.as_ref().map_or(Epoch::default(), |view| view.epoch),
        };
        for address in addresses {
            self.send(Destination { address, id: None }, message.clone());
        }
    }

    /// Whether this machine may vote in the bootstrap election and knows no view yet.
    fn is_waiting_bootstrap_voter(&self) -> bool {
        self.bootstrap.is_voter()
            && self.view.is_none()
            && self.is_eligible_bootstrap_voter(&self.local_member)
    }

    pub(super) fn handle_announce(
        &mut self,
        now_ms: u64,
        member: Member,
        bootstrap_voter: bool,
        known_epoch: Epoch,
    ) {
        if let Some(primary) = self.as_primary_mut() {
            if !primary.view().has_member(member.id) {
                primary.membership.add_standby(member.clone(), now_ms);
            }
            return self.send_heartbeat(now_ms, &member);
        }
        match &self.view {
            Some(view) if view.epoch > known_epoch => {
                let view = view.clone();
                self.send_to(&member, Message::CurrentView { view });
            }
            Some(_) => {}
            None => {
                let is_waiting = bootstrap_voter && known_epoch == Epoch::default();
                if is_waiting && self.bootstrap.is_voter() && self.is_eligible_bootstrap_voter(&member) {
                    self.bootstrap.add_voter(member, now_ms);
                }
            }
        }
    }

    /// Stores a view, which may be undecided, if it is newer than the known one.
    pub(super) fn learn_view(&mut self, view: View) {
        if self.view.as_ref().is_none_or(|known| view.epoch > known.epoch) {
            self.bootstrap.clear_other_voters();
            self.view = Some(view.clone());
            self.outbox.emit(ReplicaEvent::ViewChanged(view));
        }
    }

    /// Stores a decided view if it is newer than the known one. It also replaces a different view
    /// of the same epoch, which was never decided.
    pub(super) fn learn_decided_view(&mut self, view: View) {
        if self.view.as_ref().is_some_and(|known| view.epoch == known.epoch && view != *known) {
            self.view = None;
        }
        self.learn_view(view);
    }
}
