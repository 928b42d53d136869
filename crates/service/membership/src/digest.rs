//! Digests: the lists of heartbeats in datagrams.
use crate::limits::{DIGEST_OVERHEAD_BYTES, MAX_DATAGRAM_BYTES};
use crate::member::{Incarnation, LifecyclePhase, MemberNumber};
use serde::{Deserialize, Serialize};

/// The number of bits of an integer that postcard encodes in one byte.
const VARINT_BITS_PER_BYTE: usize = 7;
/// The encoded size of the phase in an entry, bytes.
const PHASE_BYTES: usize = 1;

/// A heartbeat of a member in a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct HeartbeatEntry {
    /// The number of the member.
    pub number: MemberNumber,
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// The heartbeat counter, which the member increments in each of its periods.
    pub heartbeat: u32,
    /// The age of the heartbeat as measured by the sender of the digest, periods.
    pub age_periods: u32,
    /// The lifecycle phase that the member reported.
    pub phase: LifecyclePhase,
}

impl HeartbeatEntry {
    /// Whether this heartbeat supersedes another one of the same member: it is of a higher
    /// incarnation, or of the same one with a higher counter.
    pub fn is_newer_than(&self, other: &HeartbeatEntry) -> bool {
        (self.incarnation, self.heartbeat) > (other.incarnation, other.heartbeat)
    }

    /// The encoded size of the entry, bytes.
    fn encoded_len(&self) -> usize {
        let numbers = [self.number.into(), self.incarnation, self.heartbeat, self.age_periods];
        numbers.into_iter().map(varint_len).sum::<usize>() + PHASE_BYTES
    }
}

/// The size of an integer in postcard's variable-length encoding, bytes.
fn varint_len(number: u32) -> usize {
    (number.max(1).ilog2() as usize) / VARINT_BITS_PER_BYTE + 1
}

/// Returns the longest prefix of the entries that fits into a datagram.
pub fn fit_into_datagram(entries: impl Iterator<Item = HeartbeatEntry>) -> Vec<HeartbeatEntry> {
    let mut free_bytes = MAX_DATAGRAM_BYTES - DIGEST_OVERHEAD_BYTES;
    let fits = |entry: &HeartbeatEntry| {
        let fits = entry.encoded_len() <= free_bytes;
        free_bytes = free_bytes.saturating_sub(entry.encoded_len());
        fits
    };
    entries.take_while(fits).collect()
}
