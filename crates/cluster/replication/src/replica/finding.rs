//! Finding the other machines when the primary is not heard of.
use super::{Notice, Output, Replica, Role};
use crate::message::Message;
use crate::primary::Learner;
use crate::view::{Member, View};

impl Replica {
    pub(super) fn register(&mut self, now: u64, member: Member, founder: bool, epoch: u64) {
        if let Role::Primary(primary) = &mut self.role {
            if !primary.view.has(member.id) {
                let learner = Learner { member: member.clone(), heard_at: now };
                primary.learners.insert(member.id, learner);
            }
            return self.send_heartbeat(now, &member);
        }
        match &self.view {
            Some(view) if view.epoch > epoch => {
                let view = view.clone();
                self.send(member.peer, Some(member.id), Message::Directory { view });
            }
            Some(_) => {}
            None if founder && epoch == 0 && self.founder && self.may_found(&member) => {
                self.founders.insert(member.id, (member, now));
            }
            None => {}
        }
    }

    pub(super) fn learn(&mut self, view: View) {
        if self.view.as_ref().is_none_or(|known| view.epoch > known.epoch) {
            self.founders.clear();
            self.view = Some(view.clone());
            self.outputs.push(Output::Notice(Notice::View(view)));
        }
    }

    /// Takes a view that is in force: it goes before another of the same number that never was.
    pub(super) fn learn_chosen(&mut self, view: View) {
        if self.view.as_ref().is_some_and(|known| view.epoch == known.epoch && view != *known) {
            self.view = None;
        }
        self.learn(view);
    }

    /// Asks around for a primary.
    pub(super) fn ask(&mut self, now: u64) {
        self.asked_at = now;
        let mut addresses = self.options.seeds.clone();
        addresses.extend(self.view.iter().flat_map(|v| &v.members).map(|m| m.peer.clone()));
        addresses.sort_unstable();
        addresses.dedup();
        let epoch = self.view.as_ref().map_or(0, |v| v.epoch);
        let founder = self.founder && self.view.is_none() && self.may_found(&self.me);
        addresses.retain(|to| *to != self.me.peer);
        for to in addresses {
            let message = Message::Register { member: self.me.clone(), founder, epoch };
            self.send(to, None, message);
        }
    }
}
