//! A witness: keeps promises and the newest view, and grants leases.
use crate::view::{Accepted, Ballot, MemberId, View};
use rkyv::{Archive, Deserialize, Serialize};

/// What a witness keeps on disk.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq)]
pub struct WitnessRecord {
    /// No lower ballot is heeded.
    pub promised: Ballot,
    /// The newest view that was accepted here.
    pub accepted: Option<Accepted>,
}

/// The answer to a candidate.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Vote {
    /// To be told when the record is on disk.
    Given,
    /// With the milliseconds until another try makes sense.
    Refused(u64),
}

/// The witness of one member.
#[derive(Clone, Debug)]
pub(crate) struct Witness {
    pub record: WitnessRecord,
    /// The highest round that was heard of. Kept in memory only: nothing is promised by it.
    pub seen_round: u64,
    lease_ms: u64,
    holder: Option<MemberId>,
    /// The ballot under which the lease was granted last.
    granted: Ballot,
    /// The highest ballot whose lease was given back.
    released: Option<Ballot>,
    until: u64,
}

impl Witness {
    /// A witness that starts at `now`. What it granted before is forgotten, so it keeps still for a lease's time.
    pub fn new(record: WitnessRecord, lease_ms: u64, now: u64) -> Self {
        let holder = record.accepted.as_ref().map(|a| a.view.primary);
        let until = if holder.is_some() { now + lease_ms } else { 0 };
        let granted = record.accepted.as_ref().map_or(Ballot::default(), |a| a.ballot);
        let seen_round = record.promised.round;
        Witness { record, seen_round, lease_ms, holder, granted, released: None, until }
    }

    /// Whether a candidate would be given a promise now.
    pub fn would_promise(&mut self, now: u64, ballot: Ballot) -> Vote {
        self.see(ballot.round);
        if ballot < self.record.promised {
            return Vote::Refused(0);
        }
        if now < self.until && self.holder != Some(ballot.candidate) {
            return Vote::Refused(self.until - now);
        }
        Vote::Given
    }

    /// A candidate asks for a promise.
    pub fn prepare(&mut self, now: u64, ballot: Ballot) -> Vote {
        let vote = self.would_promise(now, ballot);
        if vote == Vote::Given {
            self.record.promised = ballot;
        }
        vote
    }

    /// A candidate or primary brings a view.
    pub fn accept(&mut self, ballot: Ballot, view: &View) -> Vote {
        if ballot < self.record.promised {
            return Vote::Refused(0);
        }
        self.record.promised = ballot;
        let accepted = Accepted { ballot, view: view.clone() };
        if self.record.accepted.as_ref().is_none_or(|held| accepted.newer_than(held)) {
            self.record.accepted = Some(accepted);
        }
        Vote::Given
    }

    /// A primary asks for its lease.
    pub fn grant(&mut self, now: u64, ballot: Ballot) -> Vote {
        if ballot < self.record.promised {
            return Vote::Refused(0);
        }
        if now < self.until && self.holder != Some(ballot.candidate) {
            return Vote::Refused(self.until - now);
        }
        if self.released.is_some_and(|released| ballot <= released) {
            return Vote::Refused(0);
        }
        self.holder = Some(ballot.candidate);
        self.granted = ballot;
        self.until = now + self.lease_ms;
        Vote::Given
    }

    /// The holder gives the lease of that ballot back. One that it was granted since under a higher ballot holds on.
    pub fn release(&mut self, ballot: Ballot) {
        self.released = self.released.max(Some(ballot));
        if self.holder == Some(ballot.candidate) && self.granted <= ballot {
            self.until = 0;
        }
    }

    /// A round of this number is under way somewhere.
    pub fn see(&mut self, round: u64) {
        self.seen_round = self.seen_round.max(round);
    }

    /// The number of the next round.
    pub fn next_round(&self) -> u64 {
        self.seen_round.max(self.record.promised.round) + 1
    }

    /// When the lease that was granted ends.
    pub fn lease_until(&self) -> u64 {
        self.until
    }
}
