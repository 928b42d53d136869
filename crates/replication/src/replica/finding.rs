//! Finding the other machines: at the first start, and when the primary is not heard of.
use super::{GATHER_MS, Notice, Output, Replica, Role};
use crate::election::Election;
use crate::message::Message;
use crate::primary::Learner;
use crate::view::{Ballot, Member, View};

impl Replica {
    pub(super) fn register(&mut self, now: u64, member: Member, bootstrap: bool, epoch: u64) {
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
            None if bootstrap && self.coordinates() => {
                self.registered.insert(member.id, member);
            }
            None => {}
        }
    }

    /// Whether the first start is this machine's to lead: it is the first seed.
    pub(super) fn coordinates(&self) -> bool {
        self.options.bootstrap && self.options.seeds.first() == Some(&self.me.peer)
    }

    /// Begins the first term once the members are known.
    pub(super) fn found(&mut self, now: u64) {
        let wanted = 2 * self.options.losses + 1;
        let late = now >= self.started_at + GATHER_MS && self.registered.len() >= self.options.losses;
        if self.registered.len() + 1 < wanted && !late {
            return;
        }
        let mut members = vec![self.me.clone()];
        members.extend(std::mem::take(&mut self.registered).into_values().take(wanted - 1));
        let in_sync = members.iter().map(|m| m.id).collect();
        let view =
            View { epoch: 1, term: 1, primary: self.me.id, in_sync, previous: members.clone(), members };
        let ballot = Ballot { round: 1, candidate: self.me.id };
        let (election, _) = Election::start(self.me.id, self.options.losses, ballot, &view, now);
        self.role = Role::Candidate(Box::new(election.founding(view.clone())));
        self.bring(ballot, &view);
    }

    pub(super) fn learn(&mut self, view: View) {
        if self.view.as_ref().is_none_or(|known| view.epoch > known.epoch) {
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
        addresses.retain(|to| *to != self.me.peer);
        for to in addresses {
            let message =
                Message::Register { member: self.me.clone(), bootstrap: self.options.bootstrap, epoch };
            self.send(to, None, message);
        }
    }
}
