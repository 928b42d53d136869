//! Digests: the heartbeats that a datagram passes on.
use crate::limits::{DIGEST_OVERHEAD_BYTES, MAX_DATAGRAM_BYTES};
use crate::member::{Incarnation, LifecyclePhase, MemberNumber};
use serde::{Deserialize, Serialize};

/// Bits of a number that postcard writes in one byte.
const VARINT_BITS_PER_BYTE: usize = 7;
/// Bytes of the phase in an entry.
const PHASE_BYTES: usize = 1;

/// A heartbeat of a member, as it is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct HeartbeatEntry {
    /// The member.
    pub number: MemberNumber,
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// Grows with each period that the member lives through.
    pub heartbeat: u32,
    /// Periods since the member made this heartbeat, by the reckoning of whoever passes it on.
    pub age_periods: u32,
    /// What the member reported of itself.
    pub phase: LifecyclePhase,
}

impl HeartbeatEntry {
    /// Whether this heartbeat supersedes the other one of the same member: it is of a later
    /// incarnation, or later in the same.
    pub fn is_newer_than(&self, other: &HeartbeatEntry) -> bool {
        (self.incarnation, self.heartbeat) > (other.incarnation, other.heartbeat)
    }

    /// The entry's size in a datagram, bytes.
    fn encoded_bytes(&self) -> usize {
        let numbers = [self.number.into(), self.incarnation, self.heartbeat, self.age_periods];
        numbers.into_iter().map(varint_bytes).sum::<usize>() + PHASE_BYTES
    }
}

/// The size of a number in postcard's form, bytes.
fn varint_bytes(number: u32) -> usize {
    (number.max(1).ilog2() as usize) / VARINT_BITS_PER_BYTE + 1
}

/// As many of these entries as fit into a datagram, in their order.
pub fn fit_into_datagram(entries: impl Iterator<Item = HeartbeatEntry>) -> Vec<HeartbeatEntry> {
    let mut free_bytes = MAX_DATAGRAM_BYTES - DIGEST_OVERHEAD_BYTES;
    let fits = |entry: &HeartbeatEntry| {
        let fits = entry.encoded_bytes() <= free_bytes;
        free_bytes = free_bytes.saturating_sub(entry.encoded_bytes());
        fits
    };
    entries.take_while(fits).collect()
}
