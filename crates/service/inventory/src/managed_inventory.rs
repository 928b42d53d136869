//! One inventory with its file, its versions and their archive.
use crate::archive::Archive;
use crate::files::{self, FileSnapshot};
use crate::mapping::ReadOptions;
use crate::settings::read_options;
use spanlead_conf_file::{ChangeDetection, InventorySettings};
use spanlead_worker_attributes::{InventorySource, InventoryVersions, UpdateLimits, Version};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often a file with notifications is polled too, at most: a notification may be lost.
const MIN_POLL_INTERVAL_WITH_NOTIFICATIONS: Duration = Duration::from_secs(30);
/// The least pause before a file is read again that changed while it was read.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A changed state of the files that is watched until it has settled.
struct ObservedChange {
    snapshot: FileSnapshot,
    since: Instant,
}

/// An inventory and its file.
pub(crate) struct ManagedInventory {
    pub(crate) settings: InventorySettings,
    pub(crate) versions: InventoryVersions,
    pub(crate) archive: Option<Archive>,
    options: ReadOptions,
    /// The state of the files when they were read last.
    read_snapshot: Option<FileSnapshot>,
    observed_change: Option<ObservedChange>,
    next_poll: Option<Instant>,
    poll_interval: Option<Duration>,
}

impl ManagedInventory {
    pub(crate) fn new(settings: InventorySettings, has_notifications: bool) -> Self {
        let limits = UpdateLimits {
            max_skipped_fraction: settings.max_skipped_fraction,
            max_changed_fraction: settings.max_changed_fraction,
        };
        let archive = settings
            .archive_directory
            .as_ref()
            .map(|directory| Archive::new(directory, &settings.name, settings.max_archived_versions));
        let poll_interval = match settings.change_detection {
            ChangeDetection::Manual => None,
            ChangeDetection::Notify if has_notifications => {
                Some(settings.poll_interval.max(MIN_POLL_INTERVAL_WITH_NOTIFICATIONS))
            }
            ChangeDetection::Notify | ChangeDetection::Poll => Some(settings.poll_interval),
        };
        ManagedInventory {
            options: read_options(&settings),
            versions: InventoryVersions::new(settings.name.as_str(), limits),
            archive,
            read_snapshot: None,
            observed_change: None,
            next_poll: None,
            poll_interval,
            settings,
        }
    }

    /// When the file should be polled next, if it is polled.
    pub(crate) fn next_poll(&self) -> Option<Instant> {
        self.next_poll
    }

    /// Whether the file must be read: it differs from the one that was read last, and has settled.
    /// With `complete` somebody says that the file is complete, and it is read at once.
    pub(crate) fn is_due(&mut self, now: Instant, complete: bool) -> bool {
        let snapshot = self.snapshot();
        self.next_poll = self.poll_interval.map(|interval| now + interval);
        if self.read_snapshot.as_ref() == Some(&snapshot) {
            self.observed_change = None;
            return complete;
        }
        if complete {
            return true;
        }
        let settled_at = self.changed_since(snapshot, now) + self.settings.settle_time;
        if now < settled_at {
            self.next_poll = Some(self.next_poll.map_or(settled_at, |next| next.min(settled_at)));
        }
        now >= settled_at
    }

    /// Since when the files have been in this state.
    fn changed_since(&mut self, snapshot: FileSnapshot, now: Instant) -> Instant {
        if let Some(change) = &self.observed_change
            && change.snapshot == snapshot
        {
            return change.since;
        }
        self.observed_change = Some(ObservedChange { snapshot, since: now });
        now
    }

    /// The present state of the files.
    pub(crate) fn snapshot(&self) -> FileSnapshot {
        files::snapshot(&self.settings.file, &self.options)
    }

    /// The files were read in this state.
    pub(crate) fn record_read(&mut self, snapshot: FileSnapshot) {
        self.read_snapshot = Some(snapshot);
        self.observed_change = None;
    }

    /// The files must be read again although they did not change.
    pub(crate) fn forget_read(&mut self) {
        self.read_snapshot = None;
    }

    /// The files changed while they were read.
    pub(crate) fn schedule_retry(&mut self) {
        self.next_poll = Some(Instant::now() + self.settings.settle_time.max(MIN_RETRY_DELAY));
    }

    /// Uses the newest version of the archive, if there is one.
    pub(crate) fn restore(&mut self) {
        let name = &self.settings.name;
        let skip = |error| {
            tracing::warn!(inventory = name, %error, "archived inventory version skipped");
        };
        let newest = self.archive.as_ref().and_then(|archive| archive.newest(skip));
        let Some(version) = newest else { return };
        tracing::info!(inventory = name, number = version.number, "inventory version restored");
        self.versions.restore(version);
    }

    /// Writes a version to the archive. If that fails, it is in use all the same.
    pub(crate) fn keep(&self, version: &Version) {
        let Some(archive) = &self.archive else { return };
        if let Err(error) = archive.keep(version) {
            let (inventory, number) = (&self.settings.name, version.number);
            tracing::error!(inventory, number, %error, "inventory version used but not archived");
        }
    }

    /// The version in use, to be merged with those of other inventories.
    pub(crate) fn source(&self) -> Option<InventorySource> {
        Some(InventorySource {
            name: Arc::clone(&self.versions.name),
            weight_first: self.settings.weight_first,
            version: self.versions.current()?.clone(),
        })
    }
}
