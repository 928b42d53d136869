//! A primary's lease, which consists of grants by the witnesses.
use crate::timing::USABLE_LEASE_TENTHS;
use crate::view::{Member, MemberId};
use std::collections::BTreeMap;

/// The newest grant of a witness.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grant {
    /// The primary's clock when it requested the grant, milliseconds.
    pub(crate) requested_at_ms: u64,
    /// The witness's clock when it granted, milliseconds.
    pub(crate) witness_clock_ms: u64,
    /// Whether the witness's replica holds records that it can't read.
    pub(crate) ineligible: bool,
}

/// The newest grant of each witness.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseGrants {
    by_witness: BTreeMap<MemberId, Grant>,
}

impl LeaseGrants {
    /// Records a grant, unless a newer one is known.
    pub(crate) fn record(&mut self, witness: MemberId, grant: Grant) {
        let known = self.by_witness.get(&witness);
        if known.is_none_or(|known| known.requested_at_ms < grant.requested_at_ms) {
            self.by_witness.insert(witness, grant);
        }
    }

    /// The newest grant of a witness, if there is one.
    pub(crate) fn get(&self, witness: MemberId) -> Option<&Grant> {
        self.by_witness.get(&witness)
    }

    /// The latest time such that `quorum_size` of these members have granted a request sent then or
    /// later, milliseconds; 0 if there are fewer grants.
    pub(crate) fn majority_requested_at_ms(&self, members: &[Member], quorum_size: usize) -> u64 {
        let grants = members.iter().filter_map(|member| self.get(member.id));
        let mut requested_at_ms: Vec<u64> = grants.map(|grant| grant.requested_at_ms).collect();
        requested_at_ms.sort_unstable_by(|one, other| other.cmp(one));
        requested_at_ms.get(quorum_size - 1).copied().unwrap_or(0)
    }
}

/// Returns until when the holder may use a lease that it requested at `requested_at_ms`,
/// milliseconds; 0 if there is no lease.
///
/// A witness measures the lease from its grant, which is later than the request. The holder uses
/// only nine tenths of the lease, so that its clock may be slower than the witness's by a tenth.
pub(super) fn usable_until_ms(requested_at_ms: u64, lease_ms: u64) -> u64 {
    if requested_at_ms == 0 {
        return 0;
    }
    requested_at_ms + lease_ms * USABLE_LEASE_TENTHS / 10
}
