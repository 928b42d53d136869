//! A witness: keeps promises and the newest accepted view, and grants leases.
use crate::view::{AcceptedView, Ballot, MemberId, View};
use rkyv::{Archive, Deserialize, Serialize};

/// What a witness keeps on disk.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq)]
pub struct WitnessRecord {
    /// The highest ballot that was promised. Lower ballots are rejected.
    pub promised: Ballot,
    /// The newest view that was accepted.
    pub accepted: Option<AcceptedView>,
}

/// A witness's answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Vote {
    /// The request is granted. Where it changed the record, the answer may be sent only once the
    /// record is on disk.
    Granted,
    /// The request is rejected.
    Rejected {
        /// Milliseconds until a retry makes sense; 0 if a higher ballot is needed.
        retry_after_ms: u64,
    },
}

impl Vote {
    /// Rejects a ballot that can never be granted.
    const NEEDS_HIGHER_BALLOT: Vote = Vote::Rejected { retry_after_ms: 0 };
}

/// The witness of one member.
///
/// Invariants: no ballot below `record.promised` is granted anything, and until `lease_until_ms`
/// nobody but the lease holder gets a promise or a lease. Leases are not on disk, so a restarted
/// witness waits for the length of one.
#[derive(Clone, Debug)]
pub(crate) struct Witness {
    pub(crate) record: WitnessRecord,
    /// The highest round that was seen anywhere. Kept in memory only: it promises nothing.
    highest_round_seen: u64,
    lease_ms: u64,
    lease_holder: Option<MemberId>,
    /// The ballot under which the lease was granted last.
    lease_ballot: Ballot,
    /// The highest ballot whose lease was released.
    released_ballot: Option<Ballot>,
    lease_until_ms: u64,
}

impl Witness {
    /// A witness that starts at `now_ms`. What it granted before is forgotten, so it grants nothing
    /// to others for the length of a lease.
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

    /// The answer that a candidate would get to a prepare request now.
    pub(crate) fn pre_vote(&mut self, now_ms: u64, ballot: Ballot) -> Vote {
        self.observe_round(ballot.round);
        if ballot < self.record.promised {
            return Vote::NEEDS_HIGHER_BALLOT;
        }
        self.check_lease(now_ms, ballot.candidate)
    }

    /// A candidate asks for a promise.
    pub(crate) fn prepare(&mut self, now_ms: u64, ballot: Ballot) -> Vote {
        let vote = self.pre_vote(now_ms, ballot);
        if vote == Vote::Granted {
            self.record.promised = ballot;
        }
        vote
    }

    /// A candidate or primary proposes a view.
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

    /// Whether the view of that ballot, or a newer one of the same ballot, was accepted here.
    pub(crate) fn has_accepted(&self, ballot: Ballot, view: &View) -> bool {
        let accepted = self.record.accepted.as_ref();
        accepted.is_some_and(|accepted| accepted.ballot == ballot && accepted.view.epoch >= view.epoch)
    }

    /// A primary asks for its lease.
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

    /// Rejects anybody but the lease holder while a lease runs.
    fn check_lease(&self, now_ms: u64, candidate: MemberId) -> Vote {
        if now_ms < self.lease_until_ms && self.lease_holder != Some(candidate) {
            return Vote::Rejected { retry_after_ms: self.lease_until_ms - now_ms };
        }
        Vote::Granted
    }

    /// The holder releases the lease of that ballot. A lease that it got since under a higher
    /// ballot stays valid, so a late message can't free it.
    pub(crate) fn release_lease(&mut self, ballot: Ballot) {
        self.released_ballot = self.released_ballot.max(Some(ballot));
        if self.lease_holder == Some(ballot.candidate) && self.lease_ballot <= ballot {
            self.lease_until_ms = 0;
        }
    }

    /// Notes that a round of this number is in use somewhere.
    pub(crate) fn observe_round(&mut self, round: u64) {
        self.highest_round_seen = self.highest_round_seen.max(round);
    }

    /// The number of the next round.
    pub(crate) fn next_round(&self) -> u64 {
        self.highest_round_seen.max(self.record.promised.round) + 1
    }

    /// When the lease that was granted ends, milliseconds.
    pub(crate) fn lease_until_ms(&self) -> u64 {
        self.lease_until_ms
    }
}
