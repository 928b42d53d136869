//! What a primary knows: its lease, its followers, and the change of view that is under way.
use crate::session::Session;
use crate::view::{Ballot, Member, MemberId, View};
use std::collections::{BTreeMap, VecDeque};

/// How long a batch may be on its way to a follower that counts as caught up, milliseconds.
const ON_THE_WAY_MS: u64 = 200;

/// A machine that follows and is no member yet.
#[derive(Clone, Debug)]
pub(crate) struct Learner {
    pub member: Member,
    pub heard_at: u64,
}

/// A view that has been brought to its voters.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub view: View,
    pub voters: Vec<MemberId>,
    pub sent_at: u64,
}

/// A silent member that was exchanged for a machine that stood by.
#[derive(Clone, Debug)]
pub(crate) struct StandIn {
    /// The member that fell silent.
    pub absent: MemberId,
    /// Who took its place.
    pub stand_in: MemberId,
    /// When.
    pub since: u64,
}

/// The newest grant of a witness.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Granted {
    /// The primary's clock when it asked.
    pub sent_at: u64,
    /// The witness's clock when it granted.
    pub clock: u64,
    /// Whether it holds records that it can't read.
    pub unfit: bool,
}

/// The primary's state.
#[derive(Clone, Debug)]
pub(crate) struct Primary {
    pub ballot: Ballot,
    pub view: View,
    /// Votes that any decision needs at least.
    pub quorum: usize,
    pub proposal: Option<Proposal>,
    pub granted: BTreeMap<MemberId, Granted>,
    pub sessions: BTreeMap<MemberId, Session>,
    pub heard: BTreeMap<MemberId, u64>,
    pub learners: BTreeMap<MemberId, Learner>,
    /// Members that are to leave for good, with the time when each last said so.
    pub leaving: BTreeMap<MemberId, u64>,
    pub stand_ins: Vec<StandIn>,
    /// Followers that commits wait for though they don't count as in sync yet. Else a follower on a slower link than the
    /// others' would always lack what was committed last.
    pub awaited: Vec<MemberId>,
    /// Since when each of them was waited for, and others a while ago.
    pub joining: BTreeMap<MemberId, u64>,
    pub won_at: u64,
    pub heartbeat_at: u64,
    pub sequence: u64,
    /// Batches that are not committed or were sent just now, with the times when they were sent.
    pub sent: VecDeque<(u64, u64)>,
    /// The last batch on the own disk.
    pub synced: u64,
    pub committed: u64,
    pub active: bool,
}

impl Primary {
    /// A primary that has just won. `silent_since` tells for members that did not answer its round since when they have
    /// not been heard.
    pub fn new(me: MemberId, ballot: Ballot, view: View, quorum: usize, sequence: u64, now: u64) -> Self {
        let others = view.members.iter().map(|m| m.id).filter(|id| *id != me);
        Primary {
            heard: others.map(|id| (id, now)).collect(),
            ballot,
            view,
            quorum,
            proposal: None,
            granted: BTreeMap::new(),
            sessions: BTreeMap::new(),
            learners: BTreeMap::new(),
            leaving: BTreeMap::new(),
            stand_ins: Vec::new(),
            awaited: Vec::new(),
            joining: BTreeMap::new(),
            won_at: now,
            heartbeat_at: 0,
            sequence,
            sent: VecDeque::new(),
            synced: 0,
            committed: 0,
            active: false,
        }
    }

    /// The time at which the primary asked for the newest grants that a majority of the witnesses has given; 0 for none.
    pub fn majority_at(&self) -> u64 {
        let members = &self.view.members;
        let granted = members.iter().filter_map(|m| self.granted.get(&m.id).map(|g| g.sent_at));
        let mut granted: Vec<u64> = granted.collect();
        granted.sort_unstable_by(|a, b| b.cmp(a));
        granted.get(self.view.votes_needed(self.quorum) - 1).copied().unwrap_or(0)
    }

    /// Until when a majority of the witnesses has granted the lease. Clocks may differ in speed by a tenth.
    pub fn lease_until(&self, lease_ms: u64) -> u64 {
        match self.majority_at() {
            0 => 0,
            asked_at => asked_at + lease_ms * 9 / 10,
        }
    }

    /// The last batch that every replica has on disk whose word is needed.
    pub fn commit_point(&self, me: MemberId) -> u64 {
        let proposed = self.proposal.iter().flat_map(|p| &p.view.in_sync);
        let on_disk = |id: &MemberId| {
            if *id == me { self.synced } else { self.sessions.get(id).and_then(|s| s.acked).unwrap_or(0) }
        };
        self.view.in_sync.iter().chain(proposed).chain(&self.awaited).map(on_disk).min().unwrap_or(0)
    }

    /// Whether a follower counts as in sync now, or will if the view that is under way is decided.
    pub fn may_count_in_sync(&self, id: MemberId) -> bool {
        let proposed = self.proposal.iter().flat_map(|p| &p.view.in_sync);
        self.view.in_sync.iter().chain(proposed).any(|other| *other == id)
    }

    /// A machine was heard.
    pub fn hear(&mut self, from: MemberId, now: u64) {
        self.heard.insert(from, now);
        if let Some(learner) = self.learners.get_mut(&from) {
            learner.heard_at = now;
        }
    }

    /// How long a machine has not been heard, milliseconds.
    pub fn silence(&self, id: MemberId, now: u64) -> u64 {
        now.saturating_sub(self.heard.get(&id).copied().unwrap_or(0))
    }

    /// Whether a follower lacks only batches that are on their way to it.
    pub fn keeps_up(&self, id: MemberId, now: u64) -> bool {
        let Some(acked) = self.sessions.get(&id).and_then(|s| s.acked) else { return false };
        let known = self.sent.front().map_or(self.committed, |(sequence, _)| sequence - 1);
        let missing = self.sent.iter().find(|(sequence, _)| *sequence > acked);
        acked >= known && missing.is_none_or(|(_, sent_at)| now < sent_at + ON_THE_WAY_MS)
    }

    /// Forgets when batches were sent that are committed and old.
    pub fn forget_sent(&mut self, now: u64) {
        let committed = self.committed;
        let old = |(sequence, at): &(u64, u64)| *sequence <= committed && now > at + ON_THE_WAY_MS;
        while self.sent.front().is_some_and(old) {
            self.sent.pop_front();
        }
    }

    /// Whether a follower has all that is committed. That is enough to count it as in sync; how far it is behind only says
    /// how long commits will then wait for it.
    pub fn holds_committed(&self, id: MemberId) -> bool {
        let acked = self.sessions.get(&id).and_then(|s| s.acked);
        acked.is_some_and(|acked| acked >= self.committed)
    }

    /// Whether a machine of another name than all members stands by, caught up or on its way there.
    pub fn has_spare(&self, patience_ms: u64, now: u64) -> bool {
        let member = |node: &str| self.view.members.iter().any(|m| m.node == node);
        self.learners.values().any(|l| now <= l.heard_at + patience_ms && !member(&l.member.node))
    }

    /// Whether the own disk has stood still for so long that another machine should lead.
    pub fn own_disk_stalls(&self, patience_ms: u64, now: u64) -> bool {
        let oldest = self.sent.iter().find(|(sequence, _)| *sequence > self.synced);
        oldest.is_some_and(|(_, at)| now > at + patience_ms)
    }

    /// Where a machine that is a member or follows is reached.
    pub fn address_of(&self, id: MemberId) -> Option<String> {
        let learner = self.learners.get(&id).map(|l| &l.member);
        self.view.member(id).or(learner).map(|m| m.peer.clone())
    }
}
