//! Notifications of the operating system that files changed.
use notify::{Event, RecommendedWatcher, RecursiveMode, Watcher};
use spanlead_conf_file::{ChangeDetection, InventorySettings};
use std::path::{Path, PathBuf};

/// Sends notifications while it lives.
pub(crate) struct ChangeNotifier {
    _watcher: RecommendedWatcher,
}

impl ChangeNotifier {
    /// Calls `changed` at each change, if an inventory wants that and the system can do it for all
    /// of
    /// them; without a notifier they are polled.
    pub(crate) fn start(
        inventories: &[InventorySettings],
        changed: impl Fn() + Send + 'static,
    ) -> Option<Self> {
        let wants_notifications =
            |inventory: &&InventorySettings| inventory.change_detection == ChangeDetection::Notify;
        let watched: Vec<&InventorySettings> = inventories.iter().filter(wants_notifications).collect();
        if watched.is_empty() {
            return None;
        }
        let on_event = move |event: notify::Result<Event>| {
            if event.is_ok_and(|event| !event.kind.is_access()) {
                changed();
            }
        };
        let mut watcher = notify::recommended_watcher(on_event)
            .inspect_err(|error| tracing::warn!(%error, "inventory notifications unavailable, polling"))
            .ok()?;
        let mut watches_all = true;
        for inventory in watched {
            watches_all &= watch_directories(&mut watcher, inventory);
        }
        watches_all.then_some(ChangeNotifier { _watcher: watcher })
    }
}

/// Watches the directories of an inventory: a rename replaces the file itself. Whether that worked.
fn watch_directories(watcher: &mut RecommendedWatcher, inventory: &InventorySettings) -> bool {
    let mut watches_all = true;
    let directory = directory_of(&inventory.file);
    for path in [directory.clone(), directory.join("group_vars"), directory.join("host_vars")] {
        let is_needed = path == directory || path.is_dir();
        if is_needed && let Err(error) = watcher.watch(&path, RecursiveMode::NonRecursive) {
            let directory = path.display();
            tracing::warn!(%directory, %error, "inventory directory not watched, polling");
            watches_all = false;
        }
    }
    watches_all
}

fn directory_of(file: &Path) -> PathBuf {
    let directory = file.parent().filter(|path| !path.as_os_str().is_empty());
    directory.unwrap_or(Path::new(".")).to_owned()
}
