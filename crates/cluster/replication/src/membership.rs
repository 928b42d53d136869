//! Changes of view that a primary makes: machines counted in, exchanged, out of sync and back in sync.
//!
//! A view has 2f + 1 members at most. A machine that follows without being a member takes the place of
//! - its namesake: the same machine with another data folder, so the old folder is lost;
//! - a missing member, while there are fewer than 2f + 1;
//! - a member that says that it leaves for good;
//! - a member that has been silent for [`Patience::absent_ms`]. If that one only stood still, it gets its place back
//!   when it is heard again and has caught up.
use crate::primary::{Primary, StandIn};
use crate::view::{Member, MemberId, View};

/// Bounds by which a primary judges its followers, milliseconds.
pub(crate) struct Patience {
    /// Silence after which a replica leaves the in-sync set.
    pub silent_ms: u64,
    /// How long a batch may go without a replica's acknowledgement before it leaves the in-sync set.
    pub stalled_ms: u64,
    /// Silence after which a member is exchanged for a machine that stands by.
    pub absent_ms: u64,
    /// How long after the exchange a member that is heard again gets its place back.
    pub return_ms: u64,
    /// How long a member's word that it leaves holds.
    pub leaving_ms: u64,
    /// How long commits wait for a follower that keeps up and is to be counted in.
    pub joining_ms: u64,
    /// How long after that begins they may wait for the same follower again.
    pub rejoining_ms: u64,
}

/// A place in the view.
enum Place {
    /// There are fewer members than there should be.
    Missing,
    /// That of this member.
    Of(MemberId),
}

impl Primary {
    /// The change of view that is due, if any.
    pub fn review(&mut self, me: MemberId, losses: usize, patience: &Patience, now: u64) -> Option<View> {
        self.wait_for_joining(me, losses, patience, now);
        self.forget_previous()
            .or_else(|| self.count_in(me, losses, patience, now))
            .or_else(|| self.drop_silent(me, losses, patience, now))
            .or_else(|| self.bring_back(me, patience, now))
    }

    /// After a change of members their predecessors' votes are still asked for. The next view ends that, before anything
    /// else is changed, so that a machine that went for good is not missed.
    fn forget_previous(&self) -> Option<View> {
        (self.view.previous != self.view.members).then(|| self.view.next())
    }

    fn count_in(&self, me: MemberId, losses: usize, patience: &Patience, now: u64) -> Option<View> {
        for learner in self.learners.values() {
            let id = learner.member.id;
            let heard = now <= learner.heard_at + patience.silent_ms;
            let place = self.place_for(&learner.member, me, losses, patience, now);
            let Some(place) = place.filter(|_| heard && self.may_join(me, id, patience, now)) else {
                continue;
            };
            let mut next = self.view.next();
            if let Place::Of(replaced) = place {
                next.members.retain(|m| m.id != replaced);
                next.in_sync.retain(|m| *m != replaced);
            }
            next.members.push(learner.member.clone());
            next.in_sync.push(id);
            if next.in_sync.len() > losses {
                return Some(next);
            }
        }
        None
    }

    /// The place that a machine which is no member may take now.
    fn place_for(
        &self,
        learner: &Member,
        me: MemberId,
        losses: usize,
        patience: &Patience,
        now: u64,
    ) -> Option<Place> {
        if let Some(namesake) = self.view.members.iter().find(|m| m.node == learner.node) {
            return (namesake.id != me).then_some(Place::Of(namesake.id));
        }
        if self.view.members.len() <= 2 * losses {
            return Some(Place::Missing);
        }
        self.replaceable(me, learner.id, patience, now).map(|m| Place::Of(m.id))
    }

    /// The member whose place a machine that stands by may take.
    fn replaceable(&self, me: MemberId, learner: MemberId, patience: &Patience, now: u64) -> Option<&Member> {
        let others = || self.view.members.iter().filter(|m| m.id != me);
        let leaving = |m: &&Member| self.leaving.get(&m.id).is_some_and(|at| now <= at + patience.leaving_ms);
        let absent = |m: &&Member| self.silence(m.id, now) > patience.absent_ms;
        others()
            .find(leaving)
            .or_else(|| others().filter(absent).max_by_key(|m| self.silence(m.id, now)))
            .or_else(|| self.stand_in_for(learner, patience, now))
    }

    /// Who took the place of a member that has come back.
    fn stand_in_for(&self, learner: MemberId, patience: &Patience, now: u64) -> Option<&Member> {
        let holds = |s: &&StandIn| s.absent == learner && now <= s.since + patience.return_ms;
        let stand_in = self.stand_ins.iter().find(holds)?;
        self.view.member(stand_in.stand_in)
    }

    /// Notes who took whose place when a view comes into force in which a silent member was exchanged.
    pub fn note_exchange(&mut self, next: &View, patience: &Patience, now: u64) {
        let gone = self.view.members.iter().find(|m| !next.has(m.id));
        let come = next.members.iter().find(|m| !self.view.has(m.id));
        let (Some(gone), Some(come)) = (gone, come) else { return };
        let returned = self.stand_ins.iter().any(|s| s.absent == come.id);
        self.stand_ins.retain(|s| s.absent != come.id && now <= s.since + patience.return_ms);
        let leaving = self.leaving.contains_key(&gone.id);
        if gone.node != come.node && !leaving && !returned {
            self.stand_ins.push(StandIn { absent: gone.id, stand_in: come.id, since: now });
        }
    }

    /// Lets commits wait for followers that keep up and are to be counted in, so that they come to hold all that is
    /// committed. One that does not get there is not waited for again for a while.
    fn wait_for_joining(&mut self, me: MemberId, losses: usize, patience: &Patience, now: u64) {
        let outside = self.view.members.iter().filter(|m| !self.view.in_sync.contains(&m.id)).map(|m| m.id);
        let learners = self.learners.values().map(|learner| &learner.member);
        let to_join =
            learners.filter(|m| self.place_for(m, me, losses, patience, now).is_some()).map(|m| m.id);
        let joining: Vec<MemberId> = outside.chain(to_join).filter(|id| self.keeps_up(*id, now)).collect();
        self.joining.retain(|_, since| now <= *since + patience.rejoining_ms);
        for id in &joining {
            self.joining.entry(*id).or_insert(now);
        }
        let in_time = |id: &MemberId| self.joining.get(id).is_some_and(|at| now <= at + patience.joining_ms);
        self.awaited = joining.into_iter().filter(in_time).collect();
    }

    /// Whether a follower may count as in sync from now on: it holds all that is committed, and it keeps up, or the set
    /// lacks somebody. A slow replica is better than one that is not there.
    fn may_join(&self, me: MemberId, id: MemberId, patience: &Patience, now: u64) -> bool {
        let lacks = || self.view.in_sync.iter().any(|other| self.is_missing(me, *other, patience, now));
        self.holds_committed(id) && (self.keeps_up(id, now) || lacks())
    }

    /// Whether a replica is silent, or does not acknowledge.
    fn is_missing(&self, me: MemberId, id: MemberId, patience: &Patience, now: u64) -> bool {
        id != me && (self.silence(id, now) > patience.silent_ms || self.stalls(id, patience, now))
    }

    fn drop_silent(&self, me: MemberId, losses: usize, patience: &Patience, now: u64) -> Option<View> {
        let mut missing: Vec<MemberId> = self.view.in_sync.clone();
        missing.retain(|id| self.is_missing(me, *id, patience, now));
        // The one that has been silent the longest goes first; the set keeps its size however many are missing.
        missing.sort_by_key(|id| std::cmp::Reverse(self.silence(*id, now)));
        missing.truncate(self.view.in_sync.len().saturating_sub(losses + 1));
        let mut next = self.view.next();
        next.in_sync.retain(|id| !missing.contains(id));
        (next.in_sync != self.view.in_sync).then_some(next)
    }

    /// Whether a replica lacks a batch that was sent long ago.
    fn stalls(&self, id: MemberId, patience: &Patience, now: u64) -> bool {
        let acked = self.sessions.get(&id).and_then(|s| s.acked).unwrap_or(0);
        let oldest = self.sent.iter().find(|(sequence, _)| *sequence > acked);
        oldest.is_some_and(|(_, at)| now > at + patience.stalled_ms)
    }

    fn bring_back(&self, me: MemberId, patience: &Patience, now: u64) -> Option<View> {
        let back = |m: &&Member| !self.view.in_sync.contains(&m.id) && self.may_join(me, m.id, patience, now);
        let member = self.view.members.iter().find(back)?;
        let mut next = self.view.next();
        next.in_sync.push(member.id);
        Some(next)
    }
}
