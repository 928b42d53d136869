//! What a primary knows: its lease, its followers, and the change of view that is under way.
use crate::keyspace::{Keyspace, Part, RANGES, root_of};
use crate::view::{Ballot, Member, MemberId, View};
use std::collections::{BTreeMap, VecDeque};

/// A follower's session as the primary sees it.
#[derive(Debug)]
pub(crate) struct Session {
    pub session: u64,
    /// Its digests until it is sent the repair.
    roots: Option<Vec<u64>>,
    /// The last batch that is on its disk.
    pub acked: Option<u64>,
}

impl Session {
    /// All up to this batch is on the follower's disk.
    pub fn acknowledge(&mut self, sequence: u64) {
        self.acked = Some(self.acked.map_or(sequence, |acked| acked.max(sequence)));
    }
}

/// A machine that follows and is no member yet.
#[derive(Debug)]
pub(crate) struct Learner {
    pub member: Member,
    pub heard_at: u64,
}

/// A view that has been brought to its voters.
#[derive(Debug)]
pub(crate) struct Proposal {
    pub view: View,
    pub voters: Vec<MemberId>,
    pub sent_at: u64,
}

/// Bounds by which a primary judges its followers, milliseconds.
pub(crate) struct Patience {
    /// Silence after which a replica leaves the in-sync set.
    pub silent_ms: u64,
    /// How long a batch may go without a replica's acknowledgement before it leaves the in-sync set.
    pub stalled_ms: u64,
    /// Silence after which a member may be replaced by another machine.
    pub gone_ms: u64,
}

/// The primary's state.
#[derive(Debug)]
pub(crate) struct Primary {
    pub ballot: Ballot,
    pub view: View,
    pub proposal: Option<Proposal>,
    /// The primary's clock at the request that each witness granted last.
    pub granted: BTreeMap<MemberId, u64>,
    pub sessions: BTreeMap<MemberId, Session>,
    pub heard: BTreeMap<MemberId, u64>,
    pub learners: BTreeMap<MemberId, Learner>,
    pub won_at: u64,
    pub heartbeat_at: u64,
    pub sequence: u64,
    /// Batches that are not committed, with the times when they were sent.
    pub sent: VecDeque<(u64, u64)>,
    /// The last batch on the own disk.
    pub synced: u64,
    pub committed: u64,
    pub active: bool,
}

/// The answer to a follower that brought digests.
#[derive(Debug, PartialEq)]
pub(crate) enum Comparison {
    /// These ranges differ: their leaves' digests are wanted.
    Ranges(Vec<u16>),
    /// These leaves differ.
    Parts(Vec<Part>),
}

impl Primary {
    pub fn new(me: MemberId, ballot: Ballot, view: View, sequence: u64, synced: u64, now: u64) -> Self {
        let others = view.members.iter().map(|m| m.id).filter(|id| *id != me);
        Primary {
            heard: others.map(|id| (id, now)).collect(),
            ballot,
            view,
            proposal: None,
            granted: BTreeMap::new(),
            sessions: BTreeMap::new(),
            learners: BTreeMap::new(),
            won_at: now,
            heartbeat_at: 0,
            sequence,
            sent: VecDeque::new(),
            synced,
            committed: 0,
            active: false,
        }
    }

    /// Until when a majority of the witnesses has granted the lease. Clocks may differ in speed by a tenth.
    pub fn lease_until(&self, lease_ms: u64) -> u64 {
        let members = &self.view.members;
        let mut granted: Vec<u64> = members.iter().filter_map(|m| self.granted.get(&m.id).copied()).collect();
        granted.sort_unstable_by(|a, b| b.cmp(a));
        granted.get(members.len() / 2).map_or(0, |sent_at| sent_at + lease_ms * 9 / 10)
    }

    /// The last batch that every replica has on disk whose word is needed.
    pub fn commit_point(&self, me: MemberId) -> u64 {
        let proposed = self.proposal.iter().flat_map(|p| &p.view.in_sync);
        let on_disk = |id: &MemberId| {
            if *id == me { self.synced } else { self.sessions.get(id).and_then(|s| s.acked).unwrap_or(0) }
        };
        self.view.in_sync.iter().chain(proposed).map(on_disk).min().unwrap_or(0)
    }

    /// A follower begins a session.
    pub fn follow(
        &mut self,
        from: MemberId,
        session: u64,
        roots: Vec<u64>,
        keyspace: &Keyspace,
    ) -> Comparison {
        let mine = keyspace.roots();
        let differ: Vec<u16> =
            (0..RANGES as u16).filter(|r| roots.get(*r as usize) != mine.get(*r as usize)).collect();
        let pending = !differ.is_empty();
        self.sessions.insert(from, Session { session, roots: pending.then_some(roots), acked: None });
        if pending { Comparison::Ranges(differ) } else { Comparison::Parts(Vec::new()) }
    }

    /// A follower brings the digests of its leaves: what differs now, by these or by the ranges' digests.
    pub fn compare(
        &mut self,
        from: MemberId,
        session: u64,
        leaves: &[(u16, Vec<u64>)],
        keyspace: &Keyspace,
    ) -> Option<Vec<Part>> {
        let held = self.sessions.get_mut(&from).filter(|s| s.session == session)?;
        let roots = held.roots.take()?;
        let mut differ: Vec<u16> = Vec::new();
        for range in 0..RANGES as u16 {
            let mine = keyspace.leaf_digests(range);
            let first = range * RANGES as u16;
            match leaves.iter().find(|(r, _)| *r == range) {
                Some((_, theirs)) => {
                    let other = (0..RANGES).filter(|i| theirs.get(*i) != mine.get(*i));
                    differ.extend(other.map(|i| first + i as u16));
                }
                None if roots.get(range as usize) != Some(&root_of(mine)) => {
                    differ.extend(first..first + RANGES as u16);
                }
                None => {}
            }
        }
        Some(differ.into_iter().map(|leaf| keyspace.part(leaf)).collect())
    }

    /// Whether a session streams batches.
    pub fn streams_to(&self, id: MemberId) -> Option<u64> {
        self.sessions.get(&id).filter(|s| s.roots.is_none()).map(|s| s.session)
    }

    /// Whether a follower has all that is committed and nearly all that was sent.
    fn caught_up(&self, id: MemberId) -> bool {
        let acked = self.sessions.get(&id).and_then(|s| s.acked);
        acked.is_some_and(|acked| acked >= self.committed && acked + 8 >= self.sequence)
    }

    fn silence(&self, id: MemberId, now: u64) -> u64 {
        now.saturating_sub(self.heard.get(&id).copied().unwrap_or(0))
    }

    /// The change of view that is due, if any: a machine counted in, a silent one out of sync, one back in sync.
    pub fn review(&self, me: MemberId, losses: usize, patience: &Patience, now: u64) -> Option<View> {
        self.count_in(me, losses, patience, now)
            .or_else(|| self.drop_silent(me, losses, patience, now))
            .or_else(|| self.bring_back())
            .or_else(|| self.forget_previous())
    }

    /// After a change of members their predecessors' votes are still asked for; the next view ends that, so that
    /// a machine that went for good is not missed.
    fn forget_previous(&self) -> Option<View> {
        (self.view.previous != self.view.members).then(|| self.view.next())
    }

    fn count_in(&self, me: MemberId, losses: usize, patience: &Patience, now: u64) -> Option<View> {
        for learner in self.learners.values() {
            let id = learner.member.id;
            if !self.caught_up(id) || now > learner.heard_at + patience.silent_ms {
                continue;
            }
            let namesake = self.view.members.iter().find(|m| m.node == learner.member.node);
            let gone = || {
                self.view.members.iter().find(|m| m.id != me && self.silence(m.id, now) > patience.gone_ms)
            };
            let room = self.view.members.len() <= 2 * losses;
            let replaced = if namesake.is_some() || room { namesake } else { gone() };
            if replaced.is_none() && !room || replaced.is_some_and(|m| m.id == me) {
                continue;
            }
            let mut next = self.view.next();
            if let Some(replaced) = replaced {
                next.members.retain(|m| m.id != replaced.id);
                next.in_sync.retain(|m| *m != replaced.id);
            }
            next.members.push(learner.member.clone());
            next.in_sync.push(id);
            if next.in_sync.len() > losses {
                return Some(next);
            }
        }
        None
    }

    fn drop_silent(&self, me: MemberId, losses: usize, patience: &Patience, now: u64) -> Option<View> {
        let silent = |id: &MemberId| {
            *id != me && (self.silence(*id, now) > patience.silent_ms || self.stalls(*id, patience, now))
        };
        if !self.view.in_sync.iter().any(silent) {
            return None;
        }
        let mut next = self.view.next();
        next.in_sync.retain(|id| !silent(id));
        (next.in_sync.len() > losses).then_some(next)
    }

    /// Whether a replica lacks a batch that was sent long ago.
    fn stalls(&self, id: MemberId, patience: &Patience, now: u64) -> bool {
        let acked = self.sessions.get(&id).and_then(|s| s.acked).unwrap_or(0);
        let oldest = self.sent.iter().find(|(sequence, _)| *sequence > acked);
        oldest.is_some_and(|(_, at)| now > at + patience.stalled_ms)
    }

    /// Whether the own disk has stood still for so long that another machine should lead.
    pub fn own_disk_stalls(&self, patience_ms: u64, now: u64) -> bool {
        let oldest = self.sent.iter().find(|(sequence, _)| *sequence > self.synced);
        oldest.is_some_and(|(_, at)| now > at + patience_ms)
    }

    fn bring_back(&self) -> Option<View> {
        let back = |m: &&Member| !self.view.in_sync.contains(&m.id) && self.caught_up(m.id);
        let member = self.view.members.iter().find(back)?;
        let mut next = self.view.next();
        next.in_sync.push(member.id);
        Some(next)
    }
}
