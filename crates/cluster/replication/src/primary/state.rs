//! The state of a primary.
use super::batches::BatchTracker;
use super::failure_detector::FailureDetector;
use super::lease::{LeaseGrants, usable_until_ms};
use super::membership::MembershipTracker;
use super::session::PrimarySession;
use crate::timing::PROPOSAL_RETRY_INTERVAL_MS;
use crate::view::{Ballot, Epoch, MemberId, View};
use std::collections::BTreeMap;

/// A view that was proposed to its voters and is undecided.
#[derive(Clone, Debug)]
pub(super) struct ViewProposal {
    view: View,
    /// The witnesses that have accepted the view.
    acceptors: Vec<MemberId>,
    /// When the proposal was last sent, milliseconds.
    sent_at_ms: u64,
}

impl ViewProposal {
    pub(super) fn new(view: View, now_ms: u64) -> Self {
        ViewProposal { view, acceptors: Vec::new(), sent_at_ms: now_ms }
    }

    /// Returns the view if a retry of the proposal is due. If so, it counts as sent, and the next
    /// retry is due after [`PROPOSAL_RETRY_INTERVAL_MS`].
    pub(super) fn take_due_retry(&mut self, now_ms: u64) -> Option<View> {
        if now_ms <= self.sent_at_ms + PROPOSAL_RETRY_INTERVAL_MS {
            return None;
        }
        self.sent_at_ms = now_ms;
        Some(self.view.clone())
    }
}

/// The state of a primary.
///
/// Invariant: `view` was decided under `ballot`, and at most one proposal is pending.
#[derive(Clone, Debug)]
pub(crate) struct PrimaryState {
    ballot: Ballot,
    view: View,
    /// The lower bound on the size of every quorum.
    min_quorum: usize,
    pub(super) proposal: Option<ViewProposal>,
    pub(crate) grants: LeaseGrants,
    /// The sessions of the backups, which are members or standbys.
    sessions: BTreeMap<MemberId, PrimarySession>,
    pub(crate) failure_detector: FailureDetector,
    pub(crate) membership: MembershipTracker,
    pub(crate) batches: BatchTracker,
    elected_at_ms: u64,
    /// When heartbeats were last sent, milliseconds.
    pub(crate) heartbeat_at_ms: u64,
    /// Whether this primary has obtained its first lease, so that it acts while it holds one.
    is_active: bool,
}

impl PrimaryState {
    /// Creates the state of a primary that has just won its election.
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

    /// The ballot under which the primary was elected.
    pub(crate) fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// The newest decided view.
    pub(crate) fn view(&self) -> &View {
        &self.view
    }

    /// When the primary was elected, milliseconds.
    pub(crate) fn elected_at_ms(&self) -> u64 {
        self.elected_at_ms
    }

    /// Whether this primary has obtained its first lease, so that it acts while it holds one.
    pub(crate) fn is_active(&self) -> bool {
        self.is_active
    }

    /// Records that the primary has obtained its first lease.
    pub(crate) fn activate(&mut self) {
        self.is_active = true;
    }

    /// Replaces the view by the proposed one, which is decided.
    pub(crate) fn adopt_view(&mut self, view: View, now_ms: u64) {
        self.membership.record_replacement(&self.view, &view, now_ms);
        self.membership.remove_members_of(&view);
        self.view = view;
        self.proposal = None;
    }

    /// Starts a backup's session, replacing any other.
    pub(crate) fn start_session(&mut self, backup: MemberId, session: PrimarySession) {
        self.sessions.insert(backup, session);
    }

    /// Ends a backup's session, if there is one.
    pub(crate) fn end_session(&mut self, backup: MemberId) {
        self.sessions.remove(&backup);
    }

    /// A backup's session, if there is one.
    pub(crate) fn session(&self, backup: MemberId) -> Option<&PrimarySession> {
        self.sessions.get(&backup)
    }

    /// A mutable reference to a backup's session, if there is one.
    pub(crate) fn session_mut(&mut self, backup: MemberId) -> Option<&mut PrimarySession> {
        self.sessions.get_mut(&backup)
    }

    /// The backups that have a session.
    pub(crate) fn backups(&self) -> impl Iterator<Item = MemberId> {
        self.sessions.keys().copied()
    }

    /// The latest time such that a majority of the witnesses has granted a lease request sent then
    /// or later, milliseconds; 0 if there is no majority.
    pub(crate) fn majority_requested_at_ms(&self) -> u64 {
        self.grants.majority_requested_at_ms(&self.view.members, self.view.quorum_size(self.min_quorum))
    }

    /// Until when the grants of a majority allow the primary to act, milliseconds; 0 if there is no
    /// majority.
    pub(crate) fn lease_until_ms(&self, lease_ms: u64) -> u64 {
        usable_until_ms(self.majority_requested_at_ms(), lease_ms)
    }

    /// Whether the primary may act now.
    pub(crate) fn holds_lease(&self, lease_ms: u64, now_ms: u64) -> bool {
        self.is_active && now_ms < self.lease_until_ms(lease_ms)
    }

    /// The sequence number of the last batch on a backup's disk; `None` while it has no session, or
    /// one that is still under repair.
    pub(crate) fn acknowledged_sequence(&self, id: MemberId) -> Option<u64> {
        self.sessions.get(&id).and_then(PrimarySession::acknowledged_sequence)
    }

    /// The sequence number of the last batch that is on disk at every replica whose acknowledgement
    /// a commit needs: the in-sync sets of the decided and the proposed view, and the joining
    /// backups.
    ///
    /// The next primary may find either view, so a committed batch must be at the in-sync replicas
    /// of both.
    pub(crate) fn commit_point(&self, local_id: MemberId) -> u64 {
        let proposed = self.proposal.iter().flat_map(|proposal| &proposal.view.in_sync);
        let required = self.view.in_sync.iter().chain(proposed).chain(self.membership.joining_backups());
        let durable_sequence = |id: &MemberId| {
            if *id == local_id {
                self.batches.local_durable_sequence()
            } else {
                self.acknowledged_sequence(*id).unwrap_or(0)
            }
        };
        required.map(durable_sequence).min().unwrap_or(0)
    }

    /// Whether a backup is in the in-sync set of the decided or the proposed view.
    pub(crate) fn may_count_in_sync(&self, id: MemberId) -> bool {
        let is_proposed = self.proposal.as_ref().is_some_and(|proposal| proposal.view.is_in_sync(id));
        self.view.is_in_sync(id) || is_proposed
    }

    /// Whether a machine is a voter of the decided or the proposed view.
    pub(crate) fn may_need_vote_of(&self, id: MemberId) -> bool {
        let is_proposed = self.proposal.as_ref().is_some_and(|proposal| proposal.view.has_voter(id));
        self.view.has_voter(id) || is_proposed
    }

    /// Records a vote for the proposed view, and returns the view once it is decided.
    pub(crate) fn record_vote(&mut self, from: MemberId, epoch: Epoch) -> Option<View> {
        let proposal = self.proposal.as_mut().filter(|proposal| proposal.view.epoch == epoch)?;
        if !proposal.acceptors.contains(&from) {
            proposal.acceptors.push(from);
        }
        let is_decided = proposal.view.is_decided_by(&proposal.acceptors, self.min_quorum);
        is_decided.then(|| proposal.view.clone())
    }

    /// Records the arrival of a message from a machine.
    pub(crate) fn record_contact(&mut self, from: MemberId, now_ms: u64) {
        self.failure_detector.record_contact(from, now_ms);
        self.membership.record_contact(from, now_ms);
    }

    /// Whether a backup lacks only batches that may still be in transit.
    pub(crate) fn is_caught_up(&self, id: MemberId, now_ms: u64) -> bool {
        self.acknowledged_sequence(id)
            .is_some_and(|acknowledged| self.batches.is_caught_up(acknowledged, now_ms))
    }

    /// Whether a backup has all committed batches.
    ///
    /// This suffices for it to be in sync; its remaining lag only determines how long commits then
    /// wait for it.
    pub(crate) fn holds_committed(&self, id: MemberId) -> bool {
        self.acknowledged_sequence(id)
            .is_some_and(|acknowledged| acknowledged >= self.batches.committed_sequence())
    }

    /// Whether a standby on a machine with another name than all members is in contact, whether it
    /// has caught up or not.
    pub(crate) fn has_standby(&self, contact_timeout_ms: u64, now_ms: u64) -> bool {
        let is_member = |name: &str| self.view.members.iter().any(|member| member.node_name == name);
        self.membership.standbys().any(|standby| {
            standby.is_in_contact(contact_timeout_ms, now_ms) && !is_member(&standby.member.node_name)
        })
    }

    /// The peer address of a member or standby; `None` for other machines.
    pub(crate) fn address_of(&self, id: MemberId) -> Option<String> {
        let standby = self.membership.standby(id).map(|standby| &standby.member);
        self.view.member(id).or(standby).map(|member| member.peer_address.clone())
    }
}
