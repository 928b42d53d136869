//! The state of inventories as operators are shown it. The JSON names are an interface.
use crate::managed_inventory::ManagedInventory;
use serde::Serialize;
use spanlead_worker_attributes::{PendingVersion, RejectedVersion, Version, count_changed_hosts};

/// Diagnostics that are logged and shown of one version; the others are counted.
pub(crate) const MAX_SHOWN_DIAGNOSTICS: usize = 50;
/// Characters of a digest that are shown.
const SHOWN_DIGEST_CHARS: usize = 12;

/// The state of one inventory.
#[derive(Clone, Debug, Serialize)]
pub struct InventoryStatus {
    /// Its name.
    pub name: String,
    /// Its file.
    pub file: String,
    /// The version in use.
    pub version: Option<VersionStatus>,
    /// The version that waits for confirmation.
    #[serde(rename = "held")]
    pub pending: Option<UnusedVersionStatus>,
    /// The newest version that was rejected.
    #[serde(rename = "refused")]
    pub rejected: Option<UnusedVersionStatus>,
}

/// A version in use.
#[derive(Clone, Debug, Serialize)]
pub struct VersionStatus {
    /// Its number.
    pub number: u64,
    /// The first characters of its digest.
    pub digest: String,
    /// When it was read, Unix milliseconds.
    pub read_ms: u64,
    /// Its age, milliseconds.
    pub age_ms: u64,
    /// The hosts in it.
    pub hosts: usize,
    /// The number of its diagnostics.
    #[serde(rename = "refusals")]
    pub diagnostics: usize,
    /// The texts of the first of them.
    #[serde(rename = "shown")]
    pub shown_diagnostics: Vec<String>,
}

/// A version that is not in use.
#[derive(Clone, Debug, Serialize)]
pub struct UnusedVersionStatus {
    /// The first characters of its digest, by which it can be confirmed.
    pub digest: String,
    /// Since when, Unix milliseconds.
    pub since_ms: u64,
    /// For how long, milliseconds.
    #[serde(rename = "stood_ms")]
    pub duration_ms: u64,
    /// Why it is not used.
    #[serde(rename = "why")]
    pub reason: String,
    /// Hosts that differ from the version in use.
    #[serde(rename = "changes")]
    pub changed_hosts: usize,
}

impl InventoryStatus {
    pub(crate) fn of(inventory: &ManagedInventory, now_ms: u64) -> Self {
        let versions = &inventory.versions;
        let current = versions.current().map(|version| &**version);
        let pending =
            versions.pending().map(|pending| UnusedVersionStatus::of_pending(pending, current, now_ms));
        let rejected = versions.rejected().map(|rejected| UnusedVersionStatus::of_rejected(rejected, now_ms));
        InventoryStatus {
            name: inventory.settings.name.clone(),
            file: inventory.settings.file.display().to_string(),
            version: current.map(|version| VersionStatus::of(version, now_ms)),
            pending,
            rejected,
        }
    }
}

impl VersionStatus {
    fn of(version: &Version, now_ms: u64) -> Self {
        let shown = version.diagnostics.iter().take(MAX_SHOWN_DIAGNOSTICS);
        VersionStatus {
            number: version.number,
            digest: short_digest(&version.digest),
            read_ms: version.read_ms,
            age_ms: now_ms.saturating_sub(version.read_ms),
            hosts: version.hosts.len(),
            diagnostics: version.diagnostics.len(),
            shown_diagnostics: shown.map(|diagnostic| diagnostic.describe(&version.files)).collect(),
        }
    }
}

impl UnusedVersionStatus {
    fn of_pending(pending: &PendingVersion, current: Option<&Version>, now_ms: u64) -> Self {
        let version = &pending.version;
        let all_hosts = version.hosts.len();
        UnusedVersionStatus {
            digest: short_digest(&version.digest),
            since_ms: pending.since_ms,
            duration_ms: now_ms.saturating_sub(pending.since_ms),
            reason: pending.reason.clone(),
            changed_hosts: current.map_or(all_hosts, |current| count_changed_hosts(current, version)),
        }
    }

    fn of_rejected(rejected: &RejectedVersion, now_ms: u64) -> Self {
        UnusedVersionStatus {
            digest: short_digest(&rejected.digest),
            since_ms: rejected.since_ms,
            duration_ms: now_ms.saturating_sub(rejected.since_ms),
            reason: rejected.reason.clone(),
            changed_hosts: 0,
        }
    }
}

/// The beginning of a digest.
pub(crate) fn short_digest(digest: &str) -> String {
    digest[..digest.len().min(SHOWN_DIGEST_CHARS)].to_owned()
}
