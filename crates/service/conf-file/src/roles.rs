//! The sections `leases` and `duty`: singleton roles, and the leases by which they are held.
use crate::arguments::{ArgumentError, Arguments};
use crate::problem::SettingLocation;
use crate::section_reader::SectionReader;
use std::net::SocketAddr;
use std::time::Duration;

const MIN_LEASE_DURATION: Duration = Duration::from_millis(200);
const MAX_LEASE_DURATION: Duration = Duration::from_secs(600);
const DEFAULT_LEASE_DURATION: Duration = Duration::from_secs(3);
const MIN_CLOCK_DRIFT_BOUND: Duration = Duration::from_millis(1);
const MAX_CLOCK_DRIFT_BOUND: Duration = Duration::from_secs(60);
const DEFAULT_CLOCK_DRIFT_BOUND: Duration = Duration::from_millis(300);
const MIN_REPLY_TIMEOUT: Duration = Duration::from_millis(10);
const MAX_REPLY_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// Attempts that must fit into a lease, so that one lost request does not lose the lease.
const MIN_ATTEMPTS_PER_LEASE: u32 = 3;
/// The most schedulers of a quorum set: their numbers are 16 bits wide.
const MAX_SCHEDULERS: u64 = 65_534;
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_CALL_INTERVAL: Duration = Duration::from_secs(24 * 3600);
const DEFAULT_CALL_INTERVAL: Duration = Duration::from_secs(1);

/// How singleton roles are leased.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleLeaseSettings {
    /// The duration of a lease (keyword `lease`).
    pub lease_duration: Duration,
    /// The most by which two clocks may drift apart within a lease (keyword `clock-bound`).
    pub clock_drift_bound: Duration,
    /// The time in which another scheduler must reply (keyword `patience`).
    pub reply_timeout: Duration,
    /// The other quorum set while the set of schedulers is changed (keyword `joint-with`).
    pub joint_quorum: Option<JointQuorum>,
}

/// The smaller of the two quorum sets of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JointQuorum {
    /// The schedulers in it, the first of the configuration.
    pub schedulers: u16,
    /// Where the keyword stands.
    pub location: SettingLocation,
}

impl Default for RoleLeaseSettings {
    fn default() -> Self {
        RoleLeaseSettings {
            lease_duration: DEFAULT_LEASE_DURATION,
            clock_drift_bound: DEFAULT_CLOCK_DRIFT_BOUND,
            reply_timeout: DEFAULT_REPLY_TIMEOUT,
            joint_quorum: None,
        }
    }
}

impl RoleLeaseSettings {
    pub(crate) fn read(section: &mut SectionReader<'_>) -> Self {
        let lease_duration =
            section.optional("lease", |words| words.duration(MIN_LEASE_DURATION, MAX_LEASE_DURATION));
        let clock_drift_bound = section
            .optional("clock-bound", |words| words.duration(MIN_CLOCK_DRIFT_BOUND, MAX_CLOCK_DRIFT_BOUND));
        let reply_timeout =
            section.optional("patience", |words| words.duration(MIN_REPLY_TIMEOUT, MAX_REPLY_TIMEOUT));
        let schedulers = section.optional("joint-with", |words| words.number(1, MAX_SCHEDULERS));
        let joint_quorum = schedulers.map(|schedulers| JointQuorum {
            schedulers: schedulers as u16,
            location: section.location_of("joint-with"),
        });
        let leases = RoleLeaseSettings {
            lease_duration: lease_duration.unwrap_or(DEFAULT_LEASE_DURATION),
            clock_drift_bound: clock_drift_bound.unwrap_or(DEFAULT_CLOCK_DRIFT_BOUND),
            reply_timeout: reply_timeout.unwrap_or(DEFAULT_REPLY_TIMEOUT),
            joint_quorum,
        };
        leases.check(section);
        leases
    }

    fn check(&self, section: &mut SectionReader<'_>) {
        if self.clock_drift_bound >= self.lease_duration {
            section.report_keyword("clock-bound", "must be shorter than the lease");
        }
        if self.reply_timeout * MIN_ATTEMPTS_PER_LEASE > self.lease_duration {
            let reason = "must fit into a lease three times, so that one lost question loses nothing";
            section.report_keyword("patience", reason);
        }
    }
}

/// A singleton role (section `duty`): a call that only its lease holder makes.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleSettings {
    /// Its name, the same at all schedulers.
    pub name: String,
    /// The HTTP endpoint that is called (keyword `call`).
    pub call: RoleCallTarget,
    /// The interval between two calls (keyword `every`).
    pub call_interval: Duration,
    /// Where the section stands.
    pub location: SettingLocation,
}

/// An HTTP endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleCallTarget {
    /// Its address.
    pub address: SocketAddr,
    /// The path, with a leading `/`.
    pub path: String,
}

impl RoleCallTarget {
    fn read(arguments: &mut Arguments<'_>) -> Result<Self, ArgumentError> {
        let url = arguments.text()?;
        let rest = url.strip_prefix("http://").ok_or_else(|| ArgumentError::NoHttpUrl(url.clone()))?;
        let (address, path) = rest.split_once('/').unwrap_or((rest, ""));
        let parsed = address.parse();
        let parsed = parsed.map_err(|_| ArgumentError::NoSocketAddress(address.to_owned()))?;
        Ok(RoleCallTarget { address: parsed, path: format!("/{path}") })
    }
}

impl RoleSettings {
    pub(crate) fn read(section: &mut SectionReader<'_>) -> Option<Self> {
        let name = section.name();
        let call = section.required("call", RoleCallTarget::read);
        let call_interval =
            section.optional("every", |words| words.duration(MIN_CALL_INTERVAL, MAX_CALL_INTERVAL));
        Some(RoleSettings {
            name: name?,
            call: call?,
            call_interval: call_interval.unwrap_or(DEFAULT_CALL_INTERVAL),
            location: section.location(),
        })
    }
}
