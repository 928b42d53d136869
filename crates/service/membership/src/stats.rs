//! Counters and gauges of the membership.
use crate::datagram::DropReason;
use serde::Serialize;
use std::collections::BTreeMap;

/// Counters since the start, and gauges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MembershipStats {
    /// The version of the view: one more with each change of a member's state.
    pub view: u64,
    /// Members that are live, this one included.
    #[serde(rename = "living")]
    pub live_members: u16,
    /// Members that are suspected now.
    #[serde(rename = "suspects")]
    pub suspected_members: u16,
    /// How often a heartbeat arrived of a member that was suspected or dead.
    pub refutations: u64,
    /// How often this scheduler took a higher incarnation, since others knew a later start of it
    /// than its own.
    #[serde(rename = "renewals")]
    pub incarnation_renewals: u64,
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Bytes of the datagrams sent.
    pub bytes_out: u64,
    /// Datagrams received from members' addresses.
    pub datagrams_in: u64,
    /// Bytes of the datagrams received from members' addresses.
    pub bytes_in: u64,
    /// Datagrams from addresses that are no member's, or too long for any; counted by whoever holds
    /// the socket.
    #[serde(rename = "strangers")]
    pub unknown_senders: u64,
    /// Datagrams that were dropped, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
}
