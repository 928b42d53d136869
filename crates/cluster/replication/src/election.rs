//! The state machine of one election.
//!
//! A candidate asks whether it would win (pre-vote), collects promises, completes the newest view
//! that the promises report, and then proposes the view in which it is primary. Since any two
//! quorums share a witness, the promises report every view that may be decided, and the newest one
//! is completed before a new view is proposed.
use crate::view::{AcceptedView, Ballot, Epoch, Member, MemberId, Term, View};
use std::collections::BTreeMap;

/// The phase of an election.
#[derive(Clone, Debug)]
enum Phase {
    /// The candidate has asked the voters of this view whether they would promise.
    PreVote { view: View, supporters: Vec<MemberId> },
    /// The candidate is collecting promises.
    Preparing,
    /// The candidate has proposed the newest view that the promises report, under its own ballot.
    /// That view may already be decided, so it must be completed before another one is proposed.
    Completing(Proposal),
    /// The candidate has proposed the view in which it is primary.
    Proposing(Proposal),
}

/// A proposed view and the witnesses that have accepted it.
#[derive(Clone, Debug)]
struct Proposal {
    view: View,
    acceptors: Vec<MemberId>,
}

impl Proposal {
    fn new(view: View) -> Self {
        Proposal { view, acceptors: Vec::new() }
    }

    fn record_vote(&mut self, from: MemberId, epoch: Epoch) {
        if self.view.epoch == epoch && !self.acceptors.contains(&from) {
            self.acceptors.push(from);
        }
    }

    fn is_decided(&self, min_quorum: usize) -> bool {
        self.view.is_decided_by(&self.acceptors, min_quorum)
    }
}

/// The next action of a candidate.
#[derive(Debug, PartialEq)]
pub(crate) enum ElectionStep {
    /// Wait for more responses.
    Wait,
    /// Ask these members whether they would promise.
    RequestPreVotes(Vec<Member>),
    /// Ask these members for promises.
    RequestPromises(Vec<Member>),
    /// Propose this view to its voters.
    Propose(View),
    /// End: so many voters have rejected the ballot that no majority is left.
    Rejected {
        /// The time until a retry may succeed, milliseconds.
        retry_after_ms: u64,
    },
    /// End: this is the newest view, and the candidate is not in its in-sync set.
    Lost(View),
    /// End: this view, in which the candidate is primary, is decided.
    Won(View),
}

/// The state of one election at its candidate.
#[derive(Clone, Debug)]
pub(crate) struct Election {
    ballot: Ballot,
    started_at_ms: u64,
    pre_vote_at_ms: u64,
    local_id: MemberId,
    min_quorum: usize,
    /// The first view to propose, in a bootstrap election.
    first_view: Option<View>,
    /// The witnesses that have promised, with the newest view that each has accepted.
    promises: BTreeMap<MemberId, Option<AcceptedView>>,
    /// All machines that were asked.
    voters: Vec<MemberId>,
    /// The machines that rejected, with the time until a retry may succeed, milliseconds.
    rejections: BTreeMap<MemberId, u64>,
    phase: Phase,
}

impl Election {
    /// Starts an election among the voters of the newest known view.
    pub(crate) fn start(
        local_id: MemberId,
        min_quorum: usize,
        ballot: Ballot,
        known: &View,
        now_ms: u64,
    ) -> (Self, ElectionStep) {
        let targets: Vec<Member> = known.voters().into_iter().cloned().collect();
        let election = Election {
            ballot,
            started_at_ms: now_ms,
            pre_vote_at_ms: now_ms,
            local_id,
            min_quorum,
            first_view: None,
            promises: BTreeMap::new(),
            voters: targets.iter().map(|member| member.id).collect(),
            rejections: BTreeMap::new(),
            phase: Phase::PreVote { view: known.clone(), supporters: Vec::new() },
        };
        (election, ElectionStep::RequestPreVotes(targets))
    }

    /// Starts the bootstrap election, which proposes `first_view` unless a voter has accepted
    /// another view.
    pub(crate) fn start_bootstrap(
        local_id: MemberId,
        min_quorum: usize,
        ballot: Ballot,
        first_view: View,
        now_ms: u64,
    ) -> (Self, ElectionStep) {
        let (election, step) = Election::start(local_id, min_quorum, ballot, &first_view, now_ms);
        (Election { first_view: Some(first_view), ..election }, step)
    }

    /// The candidate's ballot.
    pub(crate) fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// When the election started, milliseconds.
    pub(crate) fn started_at_ms(&self) -> u64 {
        self.started_at_ms
    }

    /// When pre-votes were last requested, milliseconds; `None` after the pre-vote.
    pub(crate) fn pre_vote_at_ms(&self) -> Option<u64> {
        matches!(self.phase, Phase::PreVote { .. }).then_some(self.pre_vote_at_ms)
    }

    /// Whether a machine has promised.
    pub(crate) fn has_promised(&self, id: MemberId) -> bool {
        self.promises.contains_key(&id)
    }

    /// Handles a witness's pre-vote for this candidate.
    pub(crate) fn handle_pre_vote_grant(&mut self, from: MemberId) -> ElectionStep {
        let Phase::PreVote { view, supporters } = &mut self.phase else { return ElectionStep::Wait };
        if !supporters.contains(&from) {
            supporters.push(from);
        }
        if !view.is_decided_by(supporters, self.min_quorum) {
            return ElectionStep::Wait;
        }
        let targets = view.voters().into_iter().cloned().collect();
        self.phase = Phase::Preparing;
        self.rejections.clear();
        ElectionStep::RequestPromises(targets)
    }

    /// Repeats the pre-vote request to the voters that have not responded or have rejected.
    pub(crate) fn retry_pre_vote(&mut self, now_ms: u64) -> ElectionStep {
        let Phase::PreVote { view, supporters } = &self.phase else { return ElectionStep::Wait };
        self.pre_vote_at_ms = now_ms;
        self.rejections.clear();
        let others = view.voters().into_iter().filter(|member| !supporters.contains(&member.id));
        ElectionStep::RequestPreVotes(others.cloned().collect())
    }

    /// Handles a rejection. The election ends once too few voters are left for a majority.
    pub(crate) fn handle_rejection(&mut self, from: MemberId, retry_after_ms: u64) -> ElectionStep {
        self.rejections.insert(from, retry_after_ms);
        let remaining = self.voters.iter().filter(|id| !self.rejections.contains_key(id)).count();
        let needed = self.min_quorum.max(self.voters.len() / 2 + 1);
        if remaining >= needed {
            return ElectionStep::Wait;
        }
        ElectionStep::Rejected { retry_after_ms: self.rejections.values().copied().min().unwrap_or(0) }
    }

    /// Handles a promise, which reports the newest view that the witness has accepted.
    pub(crate) fn handle_promise(&mut self, from: MemberId, accepted: Option<AcceptedView>) -> ElectionStep {
        self.promises.insert(from, accepted);
        if !matches!(self.phase, Phase::Preparing) {
            return ElectionStep::Wait;
        }
        let Some(newest) = self.newest_accepted() else { return self.propose_first_view() };
        let new_voters = self.voters_not_asked(&newest.view);
        if !new_voters.is_empty() {
            self.voters.extend(new_voters.iter().map(|member| member.id));
            return ElectionStep::RequestPromises(new_voters);
        }
        let promised_by: Vec<MemberId> = self.promises.keys().copied().collect();
        if !newest.view.is_decided_by(&promised_by, self.min_quorum) {
            return ElectionStep::Wait;
        }
        if !newest.view.is_in_sync(self.local_id) {
            return ElectionStep::Lost(newest.view);
        }
        if self.is_known_decided(&newest) {
            return self.propose_own_view(&newest.view);
        }
        self.phase = Phase::Completing(Proposal::new(newest.view.clone()));
        ElectionStep::Propose(newest.view)
    }

    /// Handles a witness's acceptance of a proposed view.
    pub(crate) fn handle_accepted(&mut self, from: MemberId, epoch: Epoch) -> ElectionStep {
        let min_quorum = self.min_quorum;
        match &mut self.phase {
            Phase::PreVote { .. } | Phase::Preparing => ElectionStep::Wait,
            Phase::Completing(proposal) => {
                proposal.record_vote(from, epoch);
                if !proposal.is_decided(min_quorum) {
                    return ElectionStep::Wait;
                }
                let completed = proposal.view.clone();
                self.propose_own_view(&completed)
            }
            Phase::Proposing(proposal) => {
                proposal.record_vote(from, epoch);
                if !proposal.is_decided(min_quorum) {
                    return ElectionStep::Wait;
                }
                ElectionStep::Won(proposal.view.clone())
            }
        }
    }

    /// The newest accepted view that the promises report.
    fn newest_accepted(&self) -> Option<AcceptedView> {
        let accepted = self.promises.values().flatten();
        accepted.reduce(|newest, other| if other.is_newer_than(newest) { other } else { newest }).cloned()
    }

    fn voters_not_asked(&self, view: &View) -> Vec<Member> {
        view.voters().into_iter().filter(|member| !self.voters.contains(&member.id)).cloned().collect()
    }

    /// Whether the promises alone show that this view is decided.
    fn is_known_decided(&self, accepted: &AcceptedView) -> bool {
        let holders = self.promises.iter().filter(|(_, promise)| promise.as_ref() == Some(accepted));
        let holders: Vec<MemberId> = holders.map(|(id, _)| *id).collect();
        accepted.view.is_decided_by(&holders, self.min_quorum)
    }

    /// Proposes the first view of a bootstrap election once `min_quorum` voters have promised, none
    /// of which has accepted a view.
    fn propose_first_view(&mut self) -> ElectionStep {
        let Some(view) = self.first_view.clone().filter(|_| self.promises.len() >= self.min_quorum) else {
            return ElectionStep::Wait;
        };
        self.phase = Phase::Proposing(Proposal::new(view.clone()));
        ElectionStep::Propose(view)
    }

    /// Proposes the view that makes this candidate primary. Its in-sync set keeps only the replicas
    /// that promised, if these are at least `min_quorum`.
    fn propose_own_view(&mut self, current: &View) -> ElectionStep {
        let mut next = current.successor();
        next.term = Term::from(next.epoch);
        next.primary = self.local_id;
        let is_responsive = |id: &MemberId| *id == self.local_id || self.has_promised(*id);
        let responsive: Vec<MemberId> = current.in_sync.iter().copied().filter(is_responsive).collect();
        if responsive.len() >= self.min_quorum {
            next.in_sync = responsive;
        }
        self.phase = Phase::Proposing(Proposal::new(next.clone()));
        ElectionStep::Propose(next)
    }
}
