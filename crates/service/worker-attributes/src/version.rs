//! Versions of an inventory: which is in use, which is held back until somebody confirms it, and
//! which was refused.
//!
//! A new version is taken whole or not at all. It is **refused** when the file as a whole can't be
//! used, or when more than a
//! set share of its lines can't. It is **held back** when it changes more than a set share of the
//! hosts, or when whoever
//! uses it objects (a class of jobs would be left without a worker). In both cases the version in
//! use goes on.
use crate::diagnostic::Diagnostic;
use crate::host_record::{Attribute, HostRecord};
use crate::validate::ValidatedInventory;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The least characters of a digest by which a version is confirmed.
const MIN_DIGEST_CHARS: usize = 6;
/// Characters of a digest that are shown.
const SHOWN_DIGEST_CHARS: usize = 12;

/// When a version is turned away or held back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpdateLimits {
    /// The share of lines left out above which the whole file is refused.
    pub max_skipped_fraction: f64,
    /// The share of hosts changed, added or removed above which it is held back.
    pub max_changed_fraction: f64,
}

/// A version of an inventory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Counts up from 1 for each that was taken, through restarts where versions are kept.
    pub number: u64,
    /// Of the files' bytes, in hex.
    pub digest: String,
    /// When it was read, Unix milliseconds.
    pub read_ms: u64,
    /// The files it was read from; places count into them.
    pub files: Vec<Arc<str>>,
    /// The hosts that it names, by their normal names.
    pub hosts: FxHashMap<Arc<str>, HostRecord>,
    /// What was wrong with it, lines left out and warnings.
    pub diagnostics: Vec<Diagnostic>,
}

/// A version that waits for confirmation.
#[derive(Clone, Debug)]
pub struct PendingVersion {
    /// The version; it has no number yet.
    pub version: Arc<Version>,
    /// Since when, Unix milliseconds.
    pub since_ms: u64,
    /// What holds it back.
    pub reason: String,
}

/// The newest version that could not be taken at all.
#[derive(Clone, Debug)]
pub struct RejectedVersion {
    /// Of the files' bytes, in hex.
    pub digest: String,
    /// When it was read, Unix milliseconds.
    pub since_ms: u64,
    /// Why.
    pub reason: String,
    /// All that was wrong with it.
    pub diagnostics: Vec<Diagnostic>,
    /// The files it was read from.
    pub files: Vec<Arc<str>>,
}

/// What became of a version that was offered.
#[derive(Clone, Debug)]
pub enum UpdateOutcome {
    /// It is the one in use, or the one that is known not to be.
    Unchanged,
    /// It is in use from now on.
    Accepted(Arc<Version>),
    /// It waits for confirmation.
    Pending(String),
    /// Nothing of it is used.
    Rejected(String),
}

/// A host of which two versions say differently.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The host.
    pub host: Arc<str>,
    /// The fact; `None` where the host itself came or went.
    pub attribute: Option<Attribute>,
    /// What the old version says.
    pub from: Option<String>,
    /// What the new one says.
    pub to: Option<String>,
}

/// What differs between two versions, by host and fact.
pub fn changes_between(old: &Version, new: &Version) -> Vec<Change> {
    let mut changes = Vec::new();
    let here = || Some("listed".to_owned());
    for (host, record) in &new.hosts {
        match old.hosts.get(host) {
            None => changes.push(Change { host: host.clone(), attribute: None, from: None, to: here() }),
            Some(before) => {
                for attribute in Attribute::ALL.into_iter().filter(|f| !record.same(before, *f)) {
                    let (from, to) = (before.describe(attribute), record.describe(attribute));
                    changes.push(Change { host: host.clone(), attribute: Some(attribute), from, to });
                }
            }
        }
    }
    let left = old.hosts.keys().filter(|host| !new.hosts.contains_key(*host));
    changes.extend(left.map(|host| Change { host: host.clone(), attribute: None, from: here(), to: None }));
    changes.sort_unstable_by(|a, b| (&a.host, a.attribute).cmp(&(&b.host, b.attribute)));
    changes
}

/// How many hosts two versions differ in.
pub fn count_changed_hosts(old: &Version, new: &Version) -> usize {
    let changed =
        new.hosts.iter().filter(|(host, record)| !old.hosts.get(*host).is_some_and(|o| o.same_all(record)));
    changed.count() + old.hosts.keys().filter(|host| !new.hosts.contains_key(*host)).count()
}

/// Why a version cannot be confirmed. The texts are shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfirmError {
    /// No version waits for confirmation.
    #[error("{inventory}: no version is held back")]
    NoPendingVersion {
        /// The inventory's name.
        inventory: String,
    },
    /// The digest is too short, or not the pending version's.
    #[error(
        "{inventory}: the version that is held back is {pending}, not {given:?}; \
         give {MIN_DIGEST_CHARS} characters of it at least"
    )]
    OtherDigest {
        /// The inventory's name.
        inventory: String,
        /// The first characters of the pending version's digest.
        pending: String,
        /// The digest that was given.
        given: String,
    },
}

/// The versions of one inventory.
#[derive(Debug)]
pub struct InventoryVersions {
    /// The inventory's name.
    pub name: Arc<str>,
    limits: UpdateLimits,
    current: Option<Arc<Version>>,
    before: Option<Arc<Version>>,
    pending: Option<PendingVersion>,
    rejected: Option<RejectedVersion>,
    next: u64,
}

impl InventoryVersions {
    /// One that holds nothing yet.
    pub fn new(name: impl Into<Arc<str>>, limits: UpdateLimits) -> Self {
        InventoryVersions {
            name: name.into(),
            limits,
            current: None,
            before: None,
            pending: None,
            rejected: None,
            next: 1,
        }
    }

    /// Puts back the version that was in use when the process before ended.
    pub fn restore(&mut self, version: Version) {
        self.next = version.number + 1;
        self.current = Some(Arc::new(version));
    }

    /// The version in use.
    pub fn current(&self) -> Option<&Arc<Version>> {
        self.current.as_ref()
    }

    /// The one that waits for confirmation.
    pub fn pending(&self) -> Option<&PendingVersion> {
        self.pending.as_ref()
    }

    /// The newest one that was turned away, if nothing better came since.
    pub fn rejected(&self) -> Option<&RejectedVersion> {
        self.rejected.as_ref()
    }

    /// Whether these bytes were judged already.
    pub fn has_seen(&self, digest: &str) -> bool {
        let pending = self.pending.as_ref().map(|h| &h.version.digest);
        let rejected = self.rejected.as_ref().map(|t| &t.digest);
        // The newest that was read is held back, turned away or in use.
        match pending.or(rejected) {
            Some(newest) => newest == digest,
            None => self.in_use(digest),
        }
    }

    fn in_use(&self, digest: &str) -> bool {
        self.current.as_ref().is_some_and(|v| v.digest == digest)
    }

    /// Decides about a file that was read at `now_ms`.
    pub fn update(&mut self, validated: ValidatedInventory, digest: &str, now_ms: u64) -> UpdateOutcome {
        if self.in_use(digest) {
            // The file is again what is in use: whatever came between is over.
            (self.pending, self.rejected) = (None, None);
            return UpdateOutcome::Unchanged;
        }
        if self.has_seen(digest) {
            return UpdateOutcome::Unchanged;
        }
        let share = validated.skipped_lines() as f64 / validated.entries.max(1) as f64;
        let reason = match validated.file_rejection() {
            Some(diagnostic) => Some(diagnostic.describe(&validated.files)),
            None if share > self.limits.max_skipped_fraction => Some(format!(
                "{} of {} lines can't be used, more than {}",
                validated.skipped_lines(),
                validated.entries,
                percent(self.limits.max_skipped_fraction)
            )),
            None => None,
        };
        if let Some(reason) = reason {
            let ValidatedInventory { diagnostics, files, .. } = validated;
            let rejected = RejectedVersion {
                digest: digest.into(),
                since_ms: now_ms,
                reason: reason.clone(),
                diagnostics,
                files,
            };
            (self.pending, self.rejected) = (None, Some(rejected));
            return UpdateOutcome::Rejected(reason);
        }
        let ValidatedInventory { files, mut hosts, diagnostics, .. } = validated;
        for (host, record) in &mut hosts {
            let before = self.current.as_ref().and_then(|v| v.hosts.get(host));
            record.since_ms = before.map_or(now_ms, |b| b.since_ms);
            for (i, attribute) in Attribute::ALL.into_iter().enumerate() {
                record.attribute_since_ms[i] =
                    before.filter(|b| b.same(record, attribute)).map_or(now_ms, |b| b.attribute_since_ms[i]);
            }
        }
        let (digest, read_ms) = (digest.to_owned(), now_ms);
        let version = Version { number: 0, digest, read_ms, files, hosts, diagnostics };
        let changed = self.current.as_ref().map_or(0, |old| count_changed_hosts(old, &version));
        let hosts = self.current.as_ref().map_or(1, |old| old.hosts.len().max(1));
        if changed as f64 / hosts as f64 > self.limits.max_changed_fraction {
            let reason = format!(
                "it changes {changed} of {hosts} hosts, more than {}",
                percent(self.limits.max_changed_fraction)
            );
            self.postpone(Arc::new(version), now_ms, reason.clone());
            return UpdateOutcome::Pending(reason);
        }
        UpdateOutcome::Accepted(self.accept(version))
    }

    fn accept(&mut self, version: Version) -> Arc<Version> {
        let version = Arc::new(Version { number: self.next, ..version });
        self.next += 1;
        (self.pending, self.rejected) = (None, None);
        self.before = self.current.replace(version.clone());
        version
    }

    fn postpone(&mut self, version: Arc<Version>, since_ms: u64, reason: String) {
        (self.pending, self.rejected) = (Some(PendingVersion { version, since_ms, reason }), None);
    }

    /// Whoever uses the version that was taken last objects: the one before goes on, and it is held
    /// back.
    pub fn roll_back(&mut self, number: u64, now_ms: u64, reason: String) {
        if let Some(version) = self.current.clone().filter(|v| v.number == number) {
            self.current = self.before.take();
            self.postpone(version, now_ms, reason);
        }
    }

    /// Takes the version that is held back, if it is the one that is meant: `digest` is how its
    /// digest begins.
    ///
    /// # Errors
    /// If none is held back, or another one.
    pub fn confirm(&mut self, digest: &str) -> Result<Arc<Version>, ConfirmError> {
        let inventory = || self.name.to_string();
        let Some(pending) = &self.pending else {
            return Err(ConfirmError::NoPendingVersion { inventory: inventory() });
        };
        let pending_digest = &pending.version.digest;
        if digest.len() < MIN_DIGEST_CHARS || !pending_digest.starts_with(digest) {
            let shown = pending_digest.len().min(SHOWN_DIGEST_CHARS);
            return Err(ConfirmError::OtherDigest {
                inventory: inventory(),
                pending: pending_digest[..shown].to_owned(),
                given: digest.to_owned(),
            });
        }
        let version = Version::clone(&pending.version);
        Ok(self.accept(version))
    }
}

fn percent(share: f64) -> String {
    format!("{}%", (share * 1000.0).round() / 10.0)
}
