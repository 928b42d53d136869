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
#[derive(Debug)]
pub(crate) struct Witness {
    pub record: WitnessRecord,
    lease_ms: u64,
    holder: Option<MemberId>,
    until: u64,
}

impl Witness {
    /// A witness that starts at `now`. What it granted before is forgotten, so it keeps still for a lease's time.
    pub fn new(record: WitnessRecord, lease_ms: u64, now: u64) -> Self {
        let holder = record.accepted.as_ref().map(|a| a.view.primary);
        let until = if holder.is_some() { now + lease_ms } else { 0 };
        Witness { record, lease_ms, holder, until }
    }

    /// A candidate asks for a promise.
    pub fn prepare(&mut self, now: u64, ballot: Ballot) -> Vote {
        if ballot < self.record.promised {
            return Vote::Refused(0);
        }
        if now < self.until && self.holder != Some(ballot.candidate) {
            return Vote::Refused(self.until - now);
        }
        self.record.promised = ballot;
        Vote::Given
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
        self.holder = Some(ballot.candidate);
        self.until = now + self.lease_ms;
        Vote::Given
    }

    /// The holder gives its lease back.
    pub fn release(&mut self, holder: MemberId) {
        if self.holder == Some(holder) {
            self.until = 0;
        }
    }

    /// When the lease that was granted ends.
    pub fn lease_until(&self) -> u64 {
        self.until
    }
}
