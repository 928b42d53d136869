//! What a primary tracks.
use super::batches::BatchTracker;
use super::failure_detector::FailureDetector;
use super::lease::{LeaseGrants, usable_until_ms};
use super::membership::MembershipTracker;
use super::session::PrimarySession;
use crate::timing::PROPOSAL_RETRY_INTERVAL_MS;
use crate::view::{Ballot, Epoch, MemberId, View};
use std::collections::BTreeMap;

/// A view that was proposed to its voters and is not decided yet.
#[derive(Clone, Debug)]
pub(super) struct ViewProposal {
    view: View,
    acceptors: Vec<MemberId>,
    /// When the view was proposed last, milliseconds.
    sent_at_ms: u64,
}

impl ViewProposal {
    pub(super) fn new(view: View, now_ms: u64) -> Self {
        ViewProposal { view, acceptors: Vec::new(), sent_at_ms: now_ms }
    }

    /// The view, if the proposal is to be repeated now; if so, the next repetition is due after an
    /// interval.
    pub(super) fn take_due_repetition(&mut self, now_ms: u64) -> Option<View> {
        if now_ms <= self.sent_at_ms + PROPOSAL_RETRY_INTERVAL_MS {
            return None;
        }
        self.sent_at_ms = now_ms;
        Some(self.view.clone())
    }
}

/// The state of a primary.
///
/// Invariant: `view` was decided under `ballot`, and at most one proposal is under way.
#[derive(Clone, Debug)]
pub(crate) struct PrimaryState {
    ballot: Ballot,
    view: View,
    /// The fewest votes that decide anything.
    min_quorum: usize,
    pub(super) proposal: Option<ViewProposal>,
    pub(crate) grants: LeaseGrants,
    /// The sessions of the backups, by member or standby.
    sessions: BTreeMap<MemberId, PrimarySession>,
    pub(crate) failure_detector: FailureDetector,
    pub(crate) membership: MembershipTracker,
    pub(crate) batches: BatchTracker,
    elected_at_ms: u64,
    pub(crate) heartbeat_at_ms: u64,
    /// Whether the lease was held once, so that this primary acts while it lasts.
    is_active: bool,
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

    /// The ballot under which the primary was elected.
    pub(crate) fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// The view in force.
    pub(crate) fn view(&self) -> &View {
        &self.view
    }

    /// When the primary was elected, milliseconds.
    pub(crate) fn elected_at_ms(&self) -> u64 {
        self.elected_at_ms
    }

    /// Whether the lease was held once, so that this primary acts while it lasts.
    pub(crate) fn is_active(&self) -> bool {
        self.is_active
    }

    /// Lets the primary act: it holds its lease for the first time.
    pub(crate) fn activate(&mut self) {
        self.is_active = true;
    }

    /// Takes the proposed view as the one in force.
    pub(crate) fn adopt_view(&mut self, view: View, now_ms: u64) {
        self.membership.note_replacement(&self.view, &view, now_ms);
        self.membership.forget_members_of(&view);
        self.view = view;
        self.proposal = None;
    }

    /// Starts a backup's session in place of any other.
    pub(crate) fn start_session(&mut self, backup: MemberId, session: PrimarySession) {
        self.sessions.insert(backup, session);
    }

    /// Ends a backup's session.
    pub(crate) fn end_session(&mut self, backup: MemberId) {
        self.sessions.remove(&backup);
    }

    /// A backup's session.
    pub(crate) fn session(&self, backup: MemberId) -> Option<&PrimarySession> {
        self.sessions.get(&backup)
    }

    /// A backup's session, to advance it.
    pub(crate) fn session_mut(&mut self, backup: MemberId) -> Option<&mut PrimarySession> {
        self.sessions.get_mut(&backup)
    }

    /// All that have a session.
    pub(crate) fn backups(&self) -> impl Iterator<Item = MemberId> {
        self.sessions.keys().copied()
    }

    /// When the primary asked for the newest grants that a majority of the witnesses has given,
    /// milliseconds; 0 if there is no majority.
    pub(crate) fn majority_requested_at_ms(&self) -> u64 {
        self.grants.majority_requested_at_ms(&self.view.members, self.view.quorum_size(self.min_quorum))
    }

    /// Until when the primary may act by the grants of a majority, milliseconds.
    pub(crate) fn lease_until_ms(&self, lease_ms: u64) -> u64 {
        usable_until_ms(self.majority_requested_at_ms(), lease_ms)
    }

    /// Whether the primary may act now.
    pub(crate) fn holds_lease(&self, lease_ms: u64, now_ms: u64) -> bool {
        self.is_active && now_ms < self.lease_until_ms(lease_ms)
    }

    /// The last batch that is on a backup's disk; `None` while it does not replicate.
    pub(crate) fn acknowledged_sequence(&self, id: MemberId) -> Option<u64> {
        self.sessions.get(&id).and_then(PrimarySession::acknowledged_sequence)
    }

    /// The last batch that is on disk at every replica whose acknowledgement a commit needs: the
    /// in-sync sets of the view in force and of the proposed one, and the backups that are about to
    /// join. Either view may be found by the next primary, so a committed batch must be at all
    /// replicas of both.
    pub(crate) fn commit_point(&self, local_id: MemberId) -> u64 {
        let proposed = self.proposal.iter().flat_map(|proposal| &proposal.view.in_sync);
        let needed = self.view.in_sync.iter().chain(proposed).chain(self.membership.commits_wait_for());
        let on_disk = |id: &MemberId| {
            if *id == local_id {
                self.batches.local_durable_sequence()
            } else {
                self.acknowledged_sequence(*id).unwrap_or(0)
            }
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
    pub(crate) fn record_vote(&mut self, from: MemberId, epoch: Epoch) -> Option<View> {
        let proposal = self.proposal.as_mut().filter(|proposal| proposal.view.epoch == epoch)?;
        if !proposal.acceptors.contains(&from) {
            proposal.acceptors.push(from);
        }
        let is_decided = proposal.view.is_decided_by(&proposal.acceptors, self.min_quorum);
        is_decided.then(|| proposal.view.clone())
    }

    /// Notes that a message from a machine arrived.
    pub(crate) fn record_contact(&mut self, from: MemberId, now_ms: u64) {
        self.failure_detector.record_contact(from, now_ms);
        self.membership.record_contact(from, now_ms);
    }

    /// Whether a backup lacks only batches that are in transit to it.
    pub(crate) fn keeps_up(&self, id: MemberId, now_ms: u64) -> bool {
        self.acknowledged_sequence(id)
            .is_some_and(|acknowledged| self.batches.is_current(acknowledged, now_ms))
    }

    /// Whether a backup has all that is committed.
    ///
    /// That is enough to count it as in sync; how far it is behind only determines how long commits
    /// then wait for it.
    pub(crate) fn holds_committed(&self, id: MemberId) -> bool {
        self.acknowledged_sequence(id)
            .is_some_and(|acknowledged| acknowledged >= self.batches.committed_sequence())
    }

    /// Whether a machine with another name than all members is in contact, ready or on the way to
    /// be.
    pub(crate) fn has_standby(&self, contact_timeout_ms: u64, now_ms: u64) -> bool {
        let is_member = |name: &str| self.view.members.iter().any(|member| member.node_name == name);
        self.membership.standbys().any(|standby| {
            standby.is_in_contact(contact_timeout_ms, now_ms) && !is_member(&standby.member.node_name)
        })
    }

    /// The address of a member or standby.
    pub(crate) fn address_of(&self, id: MemberId) -> Option<String> {
        let standby = self.membership.standby(id).map(|standby| &standby.member);
        self.view.member(id).or(standby).map(|member| member.peer_address.clone())
    }
}
