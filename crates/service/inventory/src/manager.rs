//! The thread that owns all inventories: it reads and validates changed files, keeps their versions
//! and notifies the program of what is in use.
use crate::change_notifier::ChangeNotifier;
use crate::examine::examine;
use crate::managed_inventory::ManagedInventory;
use crate::settings::default_attributes;
use crate::status::{InventoryStatus, MAX_SHOWN_DIAGNOSTICS, short_digest};
use spanlead_conf_file::InventorySettings;
use spanlead_worker_attributes::{
    ConfirmError, Diagnostic, MergedInventory, Schema, UpdateOutcome, Version, Vocabulary,
};
use std::fmt;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long the thread sleeps at most.
const MAX_SLEEP: Duration = Duration::from_secs(3600);

/// One version of one inventory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionId {
    /// The inventory's name.
    pub inventory: Arc<str>,
    /// The version's number.
    pub number: u64,
}

/// Other versions are in use from now on.
#[derive(Debug)]
pub struct InventoryChange {
    /// What the inventories state together.
    pub merged_inventory: Arc<MergedInventory>,
    /// The version that caused the change; `None` if versions were restored at the start.
    pub version: Option<VersionId>,
    /// Whether an operator has confirmed the version.
    pub forced: bool,
}

/// A version that an operator has confirmed, shown as `NAME: version NUMBER is in use, COUNT
/// hosts`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfirmedVersion {
    /// The version.
    pub version: VersionId,
    /// The hosts in it.
    pub hosts: usize,
}

impl fmt::Display for ConfirmedVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let VersionId { inventory, number } = &self.version;
        write!(f, "{inventory}: version {number} is in use, {} hosts", self.hosts)
    }
}

/// Why a version cannot be confirmed. The texts are shown to operators.
#[derive(Debug, thiserror::Error)]
pub enum ConfirmVersionError {
    /// No inventory has this name.
    #[error("there is no inventory {0:?}")]
    UnknownInventory(String),
    /// The inventory has no such pending version.
    #[error(transparent)]
    Version(#[from] ConfirmError),
    /// The thread that owns the inventories has ended.
    #[error("the inventories' desk has ended")]
    ServiceEnded,
}

/// What the thread is asked to do.
pub(crate) enum Command {
    /// Check the files, since something may have changed; `complete` if somebody says so.
    CheckFiles { complete: bool },
    /// Other zones and kinds are known from now on.
    SetVocabulary(Vocabulary),
    /// Use the pending version with a digest that begins like this.
    Confirm {
        inventory: String,
        digest: String,
        reply: Sender<Result<ConfirmedVersion, ConfirmVersionError>>,
    },
    /// Return to the version before this one.
    RollBack { version: VersionId, reason: String },
    /// Report the state of all inventories.
    ReportStatus(Sender<Vec<InventoryStatus>>),
}

/// The owner of all inventories.
pub(crate) struct InventoryManager {
    pub(crate) inventories: Vec<ManagedInventory>,
    pub(crate) vocabulary: Vocabulary,
    pub(crate) on_change: Box<dyn Fn(InventoryChange) + Send>,
    pub(crate) _notifier: Option<ChangeNotifier>,
}

impl InventoryManager {
    /// Restores the versions that the previous process used, before any file is read: with a broken
    /// file the program goes on with them.
    pub(crate) fn restore(&mut self) {
        self.inventories.iter_mut().for_each(ManagedInventory::restore);
        if self.inventories.iter().any(|inventory| inventory.versions.current().is_some()) {
            self.notify(None, false);
        }
        self.check_files(true);
    }

    /// Executes commands until nobody can send any.
    pub(crate) fn run(&mut self, commands: &Receiver<Command>) {
        loop {
            let next_poll = self.inventories.iter().filter_map(ManagedInventory::next_poll).min();
            let now = Instant::now();
            let sleep = next_poll.map_or(MAX_SLEEP, |next| next.saturating_duration_since(now));
            match commands.recv_timeout(sleep) {
                Ok(command) => self.execute(command),
                Err(RecvTimeoutError::Timeout) => self.check_files(false),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::CheckFiles { complete } => self.check_files(complete),
            Command::SetVocabulary(vocabulary) => self.set_vocabulary(vocabulary),
            Command::Confirm { inventory, digest, reply } => {
                let _ = reply.send(self.confirm(&inventory, &digest));
            }
            Command::RollBack { version, reason } => self.roll_back(&version, reason),
            Command::ReportStatus(reply) => drop(reply.send(self.status())),
        }
    }

    fn set_vocabulary(&mut self, vocabulary: Vocabulary) {
        if vocabulary != self.vocabulary {
            self.vocabulary = vocabulary;
            // Names that were unknown may be known now, and the other way round.
            self.inventories.iter_mut().for_each(ManagedInventory::forget_read);
        }
        self.check_files(true);
    }

    /// Reads the files that have changed.
    fn check_files(&mut self, complete: bool) {
        let schema = match Schema::new(&self.vocabulary) {
            Ok(schema) => schema,
            Err(error) => return tracing::error!(%error, "inventories cannot be validated"),
        };
        for index in 0..self.inventories.len() {
            if self.inventories[index].is_due(Instant::now(), complete) {
                self.read(index, &schema);
            }
        }
    }

    fn read(&mut self, index: usize, schema: &Schema) {
        let inventory = &mut self.inventories[index];
        let name = inventory.versions.name.clone();
        let snapshot = inventory.snapshot();
        let started = Instant::now();
        let Ok(examined) = examine(&inventory.settings, schema) else {
            tracing::info!(inventory = %name, "inventory file changed while read, retrying");
            inventory.schedule_retry();
            return;
        };
        inventory.record_read(snapshot);
        let is_known = inventory.versions.has_seen(&examined.digest);
        let outcome = inventory.versions.update(examined.inventory, &examined.digest, unix_ms());
        let duration_ms = started.elapsed().as_millis() as u64;
        match outcome {
            UpdateOutcome::Unchanged => {}
            UpdateOutcome::Accepted(version) => {
                log_accepted(&name, &version, duration_ms);
                self.use_version(index, &version, false);
            }
            UpdateOutcome::Pending(reason) => {
                let digest = short_digest(&examined.digest);
                tracing::warn!(inventory = %name, digest, reason, "inventory version pending");
            }
            UpdateOutcome::Rejected(_) if is_known => {}
            UpdateOutcome::Rejected(reason) => {
                tracing::error!(inventory = %name, reason, "inventory version rejected");
                if let Some(rejected) = self.inventories[index].versions.rejected() {
                    log_diagnostics(&name, &rejected.diagnostics, &rejected.files);
                }
            }
        }
    }

    /// Archives a version that is in use now, and notifies the program.
    fn use_version(&mut self, index: usize, version: &Version, forced: bool) {
        let managed = &self.inventories[index];
        managed.keep(version);
        let inventory = managed.versions.name.clone();
        self.notify(Some(VersionId { inventory, number: version.number }), forced);
    }

    fn notify(&self, version: Option<VersionId>, forced: bool) {
        let settings: Vec<InventorySettings> =
            self.inventories.iter().map(|inventory| inventory.settings.clone()).collect();
        let sources = self.inventories.iter().filter_map(ManagedInventory::source).collect();
        let merged = MergedInventory { sources, defaults: default_attributes(&settings) };
        (self.on_change)(InventoryChange { merged_inventory: Arc::new(merged), version, forced });
    }

    fn confirm(&mut self, name: &str, digest: &str) -> Result<ConfirmedVersion, ConfirmVersionError> {
        let index = self.inventories.iter().position(|inventory| inventory.settings.name == name);
        let index = index.ok_or_else(|| ConfirmVersionError::UnknownInventory(name.to_owned()))?;
        let version = self.inventories[index].versions.confirm(digest)?;
        let number = version.number;
        tracing::info!(inventory = name, number, "inventory version confirmed");
        self.use_version(index, &version, true);
        let version_id = VersionId { inventory: Arc::from(name), number };
        Ok(ConfirmedVersion { version: version_id, hosts: version.hosts.len() })
    }

    fn roll_back(&mut self, version: &VersionId, reason: String) {
        let VersionId { inventory: name, number } = version;
        let is_named = |inventory: &&mut ManagedInventory| inventory.settings.name == **name;
        let Some(inventory) = self.inventories.iter_mut().find(is_named) else { return };
        tracing::warn!(inventory = %name, number, reason, "inventory version rolled back, pending");
        inventory.versions.roll_back(*number, unix_ms(), reason);
        if let Some(archive) = &inventory.archive {
            archive.remove(*number);
        }
    }

    fn status(&self) -> Vec<InventoryStatus> {
        let now_ms = unix_ms();
        self.inventories.iter().map(|inventory| InventoryStatus::of(inventory, now_ms)).collect()
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn log_accepted(name: &str, version: &Version, duration_ms: u64) {
    tracing::info!(
        inventory = name,
        number = version.number,
        hosts = version.hosts.len(),
        diagnostics = version.diagnostics.len(),
        duration_ms,
        "inventory version accepted"
    );
    log_diagnostics(name, &version.diagnostics, &version.files);
}

fn log_diagnostics(name: &str, diagnostics: &[Diagnostic], files: &[Arc<str>]) {
    for diagnostic in diagnostics.iter().take(MAX_SHOWN_DIAGNOSTICS) {
        tracing::warn!(inventory = name, "{}", diagnostic.describe(files));
    }
    let more = diagnostics.len().saturating_sub(MAX_SHOWN_DIAGNOSTICS);
    if more > 0 {
        tracing::warn!(inventory = name, more, "inventory diagnostics not logged");
    }
}
