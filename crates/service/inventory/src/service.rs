//! The handle of the thread that owns all inventories while the program serves. Nothing of it runs
//! where jobs are scheduled.
use crate::change_notifier::ChangeNotifier;
use crate::managed_inventory::ManagedInventory;
use crate::manager::{Command, InventoryManager};
use spanlead_conf_file::InventorySettings;
use spanlead_worker_attributes::Vocabulary;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::thread;

pub use crate::manager::{ConfirmVersionError, ConfirmedVersion, InventoryChange, VersionId};
pub use crate::status::{InventoryStatus, UnusedVersionStatus, VersionStatus};

/// Sends commands to the thread that owns the inventories, which ends with the last clone.
#[derive(Clone)]
pub struct InventoryService {
    commands: Arc<Sender<Command>>,
}

impl InventoryService {
    /// Starts the thread, which calls `on_change` whenever other versions are in use. It ends when
    /// the last handle is dropped.
    pub fn start(
        inventories: Vec<InventorySettings>,
        vocabulary: Vocabulary,
        on_change: impl Fn(InventoryChange) + Send + 'static,
    ) -> Self {
        let (commands, receiver) = channel();
        let commands = Arc::new(commands);
        // The thread owns the watcher, so a handle of it would keep the thread from ending.
        let notifications = Arc::downgrade(&commands);
        thread::spawn(move || {
            let changed = move || {
                if let Some(commands) = notifications.upgrade() {
                    let _ = commands.send(Command::CheckFiles { complete: false });
                }
            };
            let notifier = ChangeNotifier::start(&inventories, changed);
            let has_notifications = notifier.is_some();
            let manage = |settings| ManagedInventory::new(settings, has_notifications);
            let mut manager = InventoryManager {
                inventories: inventories.into_iter().map(manage).collect(),
                vocabulary,
                on_change: Box::new(on_change),
                _notifier: notifier,
            };
            manager.restore();
            manager.run(&receiver);
        });
        InventoryService { commands }
    }

    /// Reads all files now; whoever calls it says that they are complete.
    pub fn reload(&self) {
        let _ = self.commands.send(Command::CheckFiles { complete: true });
    }

    /// Replaces the known zones and kinds, and reads all files again.
    pub fn set_vocabulary(&self, vocabulary: Vocabulary) {
        let _ = self.commands.send(Command::SetVocabulary(vocabulary));
    }

    /// Returns to the version before this one, which the program cannot use: it stays pending.
    pub fn roll_back(&self, inventory: Arc<str>, number: u64, reason: String) {
        let version = VersionId { inventory, number };
        let _ = self.commands.send(Command::RollBack { version, reason });
    }

    /// Uses the pending version whose digest begins with `digest`.
    ///
    /// # Errors
    /// If there is no such inventory or pending version, or if the thread has ended.
    pub fn confirm(&self, inventory: &str, digest: &str) -> Result<ConfirmedVersion, ConfirmVersionError> {
        let (reply, replies) = channel();
        let (inventory, digest) = (inventory.to_owned(), digest.to_owned());
        let _ = self.commands.send(Command::Confirm { inventory, digest, reply });
        replies.recv().unwrap_or(Err(ConfirmVersionError::ServiceEnded))
    }

    /// The state of all inventories; empty if the thread has ended.
    pub fn status(&self) -> Vec<InventoryStatus> {
        let (reply, replies) = channel();
        let _ = self.commands.send(Command::ReportStatus(reply));
        replies.recv().unwrap_or_default()
    }
}
