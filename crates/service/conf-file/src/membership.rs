//! The section `membership`: how this scheduler takes part in the membership of schedulers.
use crate::problem::SettingLocation;
use crate::section_reader::SectionReader;
use std::time::Duration;

const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(20);
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(60);
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
const MAX_FANOUT: u64 = 64;
const DEFAULT_FANOUT: u64 = 4;
const DEFAULT_TOLERATED_LOSS: f64 = 0.3;
/// With more no number of heartbeats would tell a dead member from a live one.
const MAX_TOLERATED_LOSS: f64 = 0.9;
const DEFAULT_TIER: &str = "default";

/// How this scheduler takes part in the membership.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// The interval between two heartbeats (keyword `every`).
    pub heartbeat_interval: Duration,
    /// The members that each heartbeat is sent to.
    pub fanout: u16,
    /// The fraction of datagrams whose loss must not make a live member dead (keyword `loss`).
    pub tolerated_loss: f64,
    /// The tier; schedulers of other tiers are ignored.
    pub tier: String,
    /// Where the section stands, for problems that only the configuration shows.
    pub location: SettingLocation,
}

impl MembershipSettings {
    pub(crate) fn read(section: &mut SectionReader<'_>) -> Self {
        let heartbeat_interval =
            section.optional("every", |words| words.duration(MIN_HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL));
        let fanout = section.optional("fanout", |words| words.number(1, MAX_FANOUT));
        let tolerated_loss = section.optional("loss", |words| words.percentage());
        let tier = section.optional("tier", |words| words.text());
        MembershipSettings {
            heartbeat_interval: heartbeat_interval.unwrap_or(DEFAULT_HEARTBEAT_INTERVAL),
            fanout: fanout.unwrap_or(DEFAULT_FANOUT) as u16,
            tolerated_loss: tolerated_loss.unwrap_or(DEFAULT_TOLERATED_LOSS).min(MAX_TOLERATED_LOSS),
            tier: tier.unwrap_or_else(|| DEFAULT_TIER.to_owned()),
            location: section.location(),
        }
    }
}
