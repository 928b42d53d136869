//! Statistics of the membership.
use crate::datagram::DropReason;
use serde::Serialize;
use std::collections::BTreeMap;

/// The counters of the membership since the start of this process, and its gauges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MembershipStats {
    /// The version of the membership view, incremented by each change of a member's state.
    pub view: u64,
    /// Number of live members, including this one.
    #[serde(rename = "living")]
    pub live_members: u16,
    /// Number of members that are suspected.
    #[serde(rename = "suspects")]
    pub suspected_members: u16,
    /// Number of new heartbeats of members that were suspected or dead.
    pub refutations: u64,
    /// Number of times that this scheduler took a higher incarnation, because other members knew a
    /// newer heartbeat of it than its own.
    #[serde(rename = "renewals")]
    pub incarnation_renewals: u64,
    /// Number of datagrams sent.
    pub datagrams_out: u64,
    /// Total size of the datagrams sent, bytes.
    pub bytes_out: u64,
    /// Number of datagrams received from addresses of members.
    pub datagrams_in: u64,
    /// Total size of the datagrams received from addresses of members, bytes.
    pub bytes_in: u64,
    /// Number of datagrams that came from an address of no member or exceeded the maximum size. The
    /// owner of the socket counts them.
    #[serde(rename = "strangers")]
    pub unknown_senders: u64,
    /// Number of dropped datagrams, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
}
