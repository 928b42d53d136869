//! A witness, which keeps a promise and the newest accepted view, and grants leases.
use crate::view::{AcceptedView, Ballot, MemberId, View};
use rkyv::{Archive, Deserialize, Serialize};

/// The state of a witness that is on disk.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq)]
pub struct WitnessRecord {
    /// The highest promised ballot. Lower ballots are rejected.
    pub promised: Ballot,
    /// The newest accepted view.
    pub accepted: Option<AcceptedView>,
}

/// A witness's response to a request.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Vote {
    /// The request is granted. If it changed the record, the response may be sent only once the
    /// record is on disk.
    Granted,
    /// The request is rejected.
    Rejected {
        /// The time until a retry may succeed, milliseconds; 0 if a higher ballot is needed.
        retry_after_ms: u64,
    },
}

impl Vote {
    /// The rejection of a ballot that will never be granted.
    const NEEDS_HIGHER_BALLOT: Vote = Vote::Rejected { retry_after_ms: 0 };
}

/// The witness of one machine.
///
/// Invariants: no request with a ballot below `record.promised` is granted, and until
/// `lease_until_ms` only the lease holder gets a promise or a lease. Leases are not on disk, so a
/// restarted witness waits for the duration of one.
#[derive(Clone, Debug)]
pub(crate) struct Witness {
    pub(crate) record: WitnessRecord,
    /// The highest round in any request or rejection. In memory only, since it makes no promise.
    highest_round_seen: u64,
    lease_ms: u64,
    lease_holder: Option<MemberId>,
    /// The ballot of the last granted lease.
    lease_ballot: Ballot,
    /// The highest ballot whose lease was released.
    released_ballot: Option<Ballot>,
    lease_until_ms: u64,
}

impl Witness {
    /// Creates a witness that starts at `now_ms`. It does not know which leases it granted before
    /// the start. So if it has accepted a view, it assumes that the view's primary holds a lease
    /// that was granted just now.
    pub(crate) fn new(record: WitnessRecord, lease_ms: u64, now_ms: u64) -> Self {
        let lease_holder = record.accepted.as_ref().map(|accepted| accepted.view.primary);
        let lease_until_ms = if lease_holder.is_some() { now_ms + lease_ms } else { 0 };
        let lease_ballot = record.accepted.as_ref().map_or(Ballot::default(), |accepted| accepted.ballot);
        Witness {
            highest_round_seen: record.promised.round,
            record,
            lease_ms,
            lease_holder,
            lease_ballot,
            released_ballot: None,
            lease_until_ms,
        }
    }

    /// Returns the vote that a prepare request would get now, without making a promise.
    pub(crate) fn pre_vote(&mut self, now_ms: u64, ballot: Ballot) -> Vote {
        self.observe_round(ballot.round);
        if ballot < self.record.promised {
            return Vote::NEEDS_HIGHER_BALLOT;
        }
        self.check_lease(now_ms, ballot.candidate)
    }

    /// Handles a candidate's request for a promise.
    pub(crate) fn prepare(&mut self, now_ms: u64, ballot: Ballot) -> Vote {
        let vote = self.pre_vote(now_ms, ballot);
        if vote == Vote::Granted {
            self.record.promised = ballot;
        }
        vote
    }

    /// Handles a candidate's or a primary's proposal of a view.
    pub(crate) fn accept(&mut self, ballot: Ballot, view: &View) -> Vote {
        if ballot < self.record.promised {
            return Vote::NEEDS_HIGHER_BALLOT;
        }
        self.record.promised = ballot;
        let proposed = AcceptedView { ballot, view: view.clone() };
        if self.record.accepted.as_ref().is_none_or(|accepted| proposed.is_newer_than(accepted)) {
            self.record.accepted = Some(proposed);
        }
        Vote::Granted
    }

    /// Whether this witness has accepted `view`, or a newer one, under this ballot.
    pub(crate) fn has_accepted(&self, ballot: Ballot, view: &View) -> bool {
        let accepted = self.record.accepted.as_ref();
        accepted.is_some_and(|accepted| accepted.ballot == ballot && accepted.view.epoch >= view.epoch)
    }

    /// Handles a primary's request for a lease.
    pub(crate) fn grant_lease(&mut self, now_ms: u64, ballot: Ballot) -> Vote {
        if ballot < self.record.promised {
            return Vote::NEEDS_HIGHER_BALLOT;
        }
        let vote = self.check_lease(now_ms, ballot.candidate);
        if vote != Vote::Granted {
            return vote;
        }
        if self.released_ballot.is_some_and(|released| ballot <= released) {
            return Vote::NEEDS_HIGHER_BALLOT;
        }
        self.lease_holder = Some(ballot.candidate);
        self.lease_ballot = ballot;
        self.lease_until_ms = now_ms + self.lease_ms;
        Vote::Granted
    }

    /// Rejects every candidate but the lease holder until the lease expires.
    fn check_lease(&self, now_ms: u64, candidate: MemberId) -> Vote {
        if now_ms < self.lease_until_ms && self.lease_holder != Some(candidate) {
            return Vote::Rejected { retry_after_ms: self.lease_until_ms - now_ms };
        }
        Vote::Granted
    }

    /// Releases the lease of this ballot. A lease that the holder has obtained since under a higher
    /// ballot stays valid, so a delayed message can't release it.
    pub(crate) fn release_lease(&mut self, ballot: Ballot) {
        self.released_ballot = self.released_ballot.max(Some(ballot));
        if self.lease_holder == Some(ballot.candidate) && self.lease_ballot <= ballot {
            self.lease_until_ms = 0;
        }
    }

    /// Records that a round of this number is in use.
    pub(crate) fn observe_round(&mut self, round: u64) {
        self.highest_round_seen = self.highest_round_seen.max(round);
    }

    /// The number of the next unused round, as far as this witness knows.
    pub(crate) fn next_round(&self) -> u64 {
        self.highest_round_seen.max(self.record.promised.round) + 1
    }

    /// When the granted or assumed lease expires, milliseconds; 0 if there is none.
    pub(crate) fn lease_until_ms(&self) -> u64 {
        self.lease_until_ms
    }
}
