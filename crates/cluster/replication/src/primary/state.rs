//! What a primary tracks.
use super::batches::BatchTracker;
use super::failure_detector::FailureDetector;
use super::lease::{LeaseGrants, usable_until_ms};
use super::membership::MembershipTracker;
use super::session::PrimarySession;
use crate::view::{Ballot, Epoch, MemberId, View};
use std::collections::BTreeMap;

/// A view that was proposed to its voters and is not decided yet.
#[derive(Clone, Debug)]
pub(crate) struct ViewProposal {
    pub(crate) view: View,
    acceptors: Vec<MemberId>,
    /// When the view was proposed last, milliseconds.
    pub(crate) sent_at_ms: u64,
}

impl ViewProposal {
    pub(crate) fn new(view: View, now_ms: u64) -> Self {
        ViewProposal { view, acceptors: Vec::new(), sent_at_ms: now_ms }
    }
}

/// The state of a primary.
///
/// Invariant: `view` was decided under `ballot`, and at most one proposal is under way.
#[derive(Clone, Debug)]
pub(crate) struct PrimaryState {
    pub(crate) ballot: Ballot,
    pub(crate) view: View,
    /// The fewest votes that decide anything.
    min_quorum: usize,
    pub(crate) proposal: Option<ViewProposal>,
    pub(crate) grants: LeaseGrants,
    /// The sessions of the backups, by member or standby.
    pub(crate) sessions: BTreeMap<MemberId, PrimarySession>,
    pub(crate) failure_detector: FailureDetector,
    pub(crate) membership: MembershipTracker,
    pub(crate) batches: BatchTracker,
    pub(crate) elected_at_ms: u64,
    pub(crate) heartbeat_at_ms: u64,
    /// Whether the lease was held once, so that this primary acts while it lasts.
    pub(crate) is_active: bool,
}

impl PrimaryState {
    /// A primary that has just won its election.
    pub(crate) fn new(
        local_id: MemberId,
        ballot: Ballot,
        view: View,
        min_quorum: usize,
        batches: BatchTracker,
        now_ms: u64,
    ) -> Self {
        let others = view.members.iter().map(|member| member.id).filter(|id| *id != local_id);
        PrimaryState {
            failure_detector: FailureDetector::new(others, now_ms),
            ballot,
            view,
            min_quorum,
            proposal: None,
            grants: LeaseGrants::default(),
            sessions: BTreeMap::new(),
            membership: MembershipTracker::default(),
            batches,
            elected_at_ms: now_ms,
            heartbeat_at_ms: 0,
            is_active: false,
        }
    }

    /// When the primary asked for the newest grants that a majority of the witnesses has given,
    /// milliseconds; 0 if there is no majority.
    pub(crate) fn majority_granted_at_ms(&self) -> u64 {
        self.grants.majority_granted_at_ms(&self.view.members, self.view.votes_needed(self.min_quorum))
    }

    /// Until when the primary may act by the grants of a majority, milliseconds.
    pub(crate) fn lease_until_ms(&self, lease_ms: u64) -> u64 {
        usable_until_ms(self.majority_granted_at_ms(), lease_ms)
    }

    /// Whether the primary may act now.
    pub(crate) fn holds_lease(&self, lease_ms: u64, now_ms: u64) -> bool {
        self.is_active && now_ms < self.lease_until_ms(lease_ms)
    }

    /// The last batch that is on a backup's disk; `None` while it does not replicate.
    pub(crate) fn acknowledged(&self, id: MemberId) -> Option<u64> {
        self.sessions.get(&id).and_then(PrimarySession::acknowledged)
    }

    /// The last batch that is on disk at every replica whose acknowledgement a commit needs: the
    /// in-sync sets of the view in force and of the proposed one, and the backups that are about to
    /// join. Either view may be found by the next primary, so a committed batch must be at all
    /// replicas of both.
    pub(crate) fn commit_point(&self, local_id: MemberId) -> u64 {
        let proposed = self.proposal.iter().flat_map(|proposal| &proposal.view.in_sync);
        let needed = self.view.in_sync.iter().chain(proposed).chain(&self.membership.commits_wait_for);
        let on_disk = |id: &MemberId| {
            if *id == local_id { self.batches.durable_locally } else { self.acknowledged(*id).unwrap_or(0) }
        };
        needed.map(on_disk).min().unwrap_or(0)
    }

    /// Whether a backup is in sync, or will be if the proposed view is decided.
    pub(crate) fn may_count_in_sync(&self, id: MemberId) -> bool {
        let is_proposed = self.proposal.as_ref().is_some_and(|proposal| proposal.view.is_in_sync(id));
        self.view.is_in_sync(id) || is_proposed
    }

    /// Whether a machine may be asked for a vote for the view in force or the proposed one.
    pub(crate) fn may_need_vote_of(&self, id: MemberId) -> bool {
        let is_proposed = self.proposal.as_ref().is_some_and(|proposal| proposal.view.has_voter(id));
        self.view.has_voter(id) || is_proposed
    }

    /// Counts a vote for the proposed view, and returns the view once it is decided.
    pub(crate) fn accepted(&mut self, from: MemberId, epoch: Epoch) -> Option<View> {
        let proposal = self.proposal.as_mut().filter(|proposal| proposal.view.epoch == epoch)?;
        if !proposal.acceptors.contains(&from) {
            proposal.acceptors.push(from);
        }
        let is_decided = proposal.view.decided_by(&proposal.acceptors, self.min_quorum);
        is_decided.then(|| proposal.view.clone())
    }

    /// Notes that a message from a machine arrived.
    pub(crate) fn record_contact(&mut self, from: MemberId, now_ms: u64) {
        self.failure_detector.record_contact(from, now_ms);
        self.membership.record_contact(from, now_ms);
    }

    /// Whether a backup lacks only batches that are in transit to it.
    pub(crate) fn keeps_up(&self, id: MemberId, now_ms: u64) -> bool {
        self.acknowledged(id).is_some_and(|acknowledged| self.batches.is_current(acknowledged, now_ms))
    }

    /// Whether a backup has all that is committed.
    ///
    /// That is enough to count it as in sync; how far it is behind only determines how long commits
    /// then wait for it.
    pub(crate) fn holds_committed(&self, id: MemberId) -> bool {
        self.acknowledged(id).is_some_and(|acknowledged| acknowledged >= self.batches.committed)
    }

    /// Whether a machine with another name than all members is in contact, ready or on the way to
    /// be.
    pub(crate) fn has_standby(&self, contact_timeout_ms: u64, now_ms: u64) -> bool {
        let is_member = |name: &str| self.view.members.iter().any(|member| member.node_name == name);
        self.membership.standbys.values().any(|standby| {
            standby.is_in_contact(contact_timeout_ms, now_ms) && !is_member(&standby.member.node_name)
        })
    }

    /// The address of a member or standby.
    pub(crate) fn address_of(&self, id: MemberId) -> Option<String> {
        let standby = self.membership.standbys.get(&id).map(|standby| &standby.member);
        self.view.member(id).or(standby).map(|member| member.peer_address.clone())
    }
}
