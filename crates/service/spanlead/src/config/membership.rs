//! How this scheduler takes part in the membership and in the quorums of singleton roles.
use super::{Config, MembershipError};
use spanlead_balancing_policy::Nanos;
use spanlead_conf_file as conf;
use std::time::{SystemTime, UNIX_EPOCH};
use xxhash_rust::xxh3::xxh3_64;

/// The start of 2026 in tenths of a second since 1970: incarnations are counted from there, so that
/// they fit for 13 years.
const INCARNATION_EPOCH_TENTHS: u128 = 17_672_256_000;
/// Milliseconds of a tenth of a second.
const MS_PER_TENTH: u128 = 100;

/// How this scheduler takes part in the membership.
pub(crate) struct MembershipParams {
    /// The protocol's settings.
    pub(crate) settings: spanlead_membership::MembershipConfig,
    /// The span between heartbeats.
    pub(crate) heartbeat_interval: Nanos,
}

impl Config {
    /// How this scheduler takes part in the membership that the operators' settings ask for.
    ///
    /// # Errors
    /// If the configuration has no peers for it; with the place of the section that wants them.
    pub(crate) fn membership(
        &self,
        wanted: &conf::MembershipSettings,
    ) -> Result<MembershipParams, MembershipError> {
        let settings = &self.deployment.settings;
        let place = || wanted.location.to_string();
        if !settings.limits.can_message_peers {
            return Err(MembershipError::MessagesBarred(place()));
        }
        let Some(peers) = &self.peers else {
            return Err(MembershipError::NoPeerAddress(place()));
        };
        if peers.each.is_empty() {
            return Err(MembershipError::NoPeers(place()));
        }
        let is_among_peers = (settings.instance as usize) < peers.each.len();
        if !is_among_peers || peers.each.len() != settings.instance_count as usize {
            return Err(MembershipError::WrongPeers(place()));
        }
        let Ok(count) = u16::try_from(peers.each.len()) else {
            return Err(MembershipError::TooManyPeers(place()));
        };
        let incarnation = incarnation();
        let settings = spanlead_membership::MembershipConfig {
            own_number: settings.instance as u16,
            member_count: count,
            tier_id: xxh3_64(wanted.tier.as_bytes()).to_le_bytes()[..4].try_into().unwrap_or_default(),
            name: self.name.clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            incarnation,
            fanout: wanted.fanout,
            tolerated_loss: wanted.tolerated_loss,
            seed: self.seed ^ u64::from(incarnation),
        };
        Ok(MembershipParams { settings, heartbeat_interval: wanted.heartbeat_interval.as_nanos() as Nanos })
    }

    /// The sets whose majorities grant singleton roles, of so many configured schedulers.
    ///
    /// # Errors
    /// If the other set of a change is not the smaller one; with the place of the keyword.
    pub(crate) fn quorum_sets(
        leases: &conf::RoleLeaseSettings,
        count: u16,
    ) -> Result<spanlead_singleton_roles::QuorumConfig, MembershipError> {
        match &leases.joint_quorum {
            Some(joint) if joint.schedulers >= count => {
                Err(MembershipError::JointSetNotSmaller { place: joint.location.to_string(), count })
            }
            Some(joint) => Ok(spanlead_singleton_roles::QuorumConfig {
                schedulers: count,
                joint_schedulers: joint.schedulers,
            }),
            None => Ok(spanlead_singleton_roles::QuorumConfig { schedulers: count, joint_schedulers: 0 }),
        }
    }
}

/// Tenths of a second since 2026: later starts have higher ones as long as clocks go on, and where
/// one goes back the others say so (`GossipMembership::renew_incarnation`).
fn incarnation() -> u32 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let tenths = since_epoch.map_or(0, |span| span.as_millis() / MS_PER_TENTH);
    tenths.saturating_sub(INCARNATION_EPOCH_TENTHS).try_into().unwrap_or(u32::MAX)
}
