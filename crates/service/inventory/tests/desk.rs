//! Inventories while a scheduler serves: files that are replaced, half written, broken, too
//! different, and processes that start
//! on what is left.
use spanlead_conf_file::{ChangeDetection, InventorySettings};
use spanlead_inventory::archive::Archive;
use spanlead_inventory::service::{InventoryChange, InventoryService, InventoryStatus, VersionId};
use spanlead_worker_attributes::{AttributeValue, MergedInventory, Vocabulary};
use std::fs;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Only ends a test that would hang.
const PATIENCE: Duration = Duration::from_secs(20);

fn settings(folder: &Path, more: &str) -> InventorySettings {
    let settle = if more.contains("settle") { "" } else { "  settle 30ms\n" };
    let text = format!(
        "inventory clubs\n  file '{0}/hosts.csv'\n  keep '{0}/kept'\n{settle}  poll 100ms\n{more}",
        folder.display()
    );
    let conf = spanlead_conf_file::parse("test", text.as_bytes()).expect("good settings");
    conf.inventories.into_iter().next().expect("a section")
}

fn vocabulary(zones: &[&str]) -> Vocabulary {
    Vocabulary { zones: Some(zones.iter().map(|z| (*z).to_owned()).collect()), kinds: None }
}

struct Office {
    folder: TempDir,
    service: InventoryService,
    news: Receiver<InventoryChange>,
}

impl Office {
    fn open(folder: TempDir, more: &str) -> Self {
        let (to, news) = channel();
        let inventory = settings(folder.path(), more);
        let tell = move |n| drop(to.send(n));
        let service = InventoryService::start(vec![inventory], vocabulary(&["solna", "kista"]), tell);
        Office { folder, service, news }
    }

    fn with(text: &str, more: &str) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        fs::write(folder.path().join("hosts.csv"), text).expect("writable");
        Self::open(folder, more)
    }

    /// The next news.
    fn next(&self) -> InventoryChange {
        self.news.recv_timeout(PATIENCE).expect("news")
    }

    /// Puts a file in the place of the old one, as tools do.
    fn replace(&self, text: &str) {
        let new = self.folder.path().join(".hosts.csv.new");
        fs::write(&new, text).expect("writable");
        fs::rename(new, self.folder.path().join("hosts.csv")).expect("renamed");
    }

    fn status(&self) -> InventoryStatus {
        self.service.status().remove(0)
    }

    /// Waits until the desk's state is as wanted.
    fn until(&self, wanted: impl Fn(&InventoryStatus) -> bool) -> InventoryStatus {
        let until = Instant::now() + PATIENCE;
        loop {
            let status = self.status();
            if wanted(&status) {
                return status;
            }
            assert!(Instant::now() < until, "{status:?}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Ends the desk as a crash would, and leaves its folder.
    fn close(self) -> TempDir {
        self.folder
    }
}

fn hosts(from: usize, to: usize, zone: &str) -> String {
    let lines: String = (from..to).map(|i| format!("w{i},{zone},1\n")).collect();
    format!("host,zone,weight\n{lines}")
}

fn zone(merged_inventory: &Arc<MergedInventory>, host: &str) -> Option<String> {
    merged_inventory.zone(host)?.value.map(|z| z.to_string())
}

/// The thread owns the watcher of the files, which must not keep it from ending.
#[test]
fn the_thread_ends_with_the_last_handle_where_files_are_watched() {
    let office = Office::with(&hosts(0, 10, "kista"), "");
    let inventory = settings(office.folder.path(), "");
    assert_eq!(inventory.change_detection, ChangeDetection::Notify);
    office.next();
    let Office { folder: _folder, service, news } = office;

    drop(service);

    // The thread owns the sending end.
    assert_eq!(news.recv_timeout(PATIENCE).err(), Some(RecvTimeoutError::Disconnected));
}

#[test]
fn a_file_that_is_replaced_is_taken_whole() {
    let office = Office::with(&hosts(0, 10, "kista"), "");
    let first = office.next();
    assert_eq!(
        first.version.as_ref().map(|version| (&*version.inventory, version.number)),
        Some(("clubs", 1))
    );
    assert_eq!(zone(&first.merged_inventory, "w3").as_deref(), Some("kista"));
    office.replace(&hosts(0, 11, "kista"));
    let second = office.next();
    assert_eq!(second.version.map(|version| version.number), Some(2));
    assert!(
        second.merged_inventory.names("w10") && !first.merged_inventory.names("w10"),
        "what was handed on does not change"
    );
    assert_eq!(office.status().version.map(|v| (v.number, v.hosts)), Some((2, 11)));
}

// Guards against half a file: one that goes on growing is left alone, however long that takes.
#[test]
fn a_file_that_is_being_written_is_not_taken() {
    let office = Office::with(&hosts(0, 10, "kista"), "  settle 400ms\n");
    office.next();
    let path = office.folder.path().join("hosts.csv");
    let whole = hosts(0, 12, "kista");
    let mut file = fs::File::create(&path).expect("writable");
    // Each piece comes well before the last one has settled; the file is never good for long
    // enough.
    for piece in whole.as_bytes().chunks(8) {
        file.write_all(piece).expect("writable");
        file.sync_all().expect("synced");
        std::thread::sleep(Duration::from_millis(2));
    }
    drop(file);
    let next = office.next();
    assert_eq!(next.version.map(|version| version.number), Some(2));
    assert_eq!(next.merged_inventory.sources[0].version.hosts.len(), 12, "whole or not at all");
}

#[test]
fn a_bad_version_is_refused_and_the_last_good_one_goes_on() {
    let office = Office::with(&hosts(0, 10, "kista"), "");
    office.next();
    office.replace("host,zone\nw1,\"kista\n");
    let status = office.until(|s| s.rejected.is_some());
    assert_eq!(status.version.expect("still in use").number, 1);
    assert!(status.rejected.expect("refused").reason.contains("hosts.csv:2:4"), "it names the place");
    // Too many bad lines are no version either.
    office.replace(&hosts(0, 10, "kista").replace("w1,kista", "w1,malmo").replace("w2,kista", "w2,malmo"));
    let status = office.until(|s| s.rejected.as_ref().is_some_and(|r| r.reason.contains("2 of 10 lines")));
    assert_eq!(status.version.expect("still in use").number, 1);
    fs::remove_file(office.folder.path().join("hosts.csv")).expect("removed");
    office.until(|s| s.rejected.as_ref().is_some_and(|r| r.reason.contains("can't be read")));
    fs::create_dir(office.folder.path().join("hosts.csv")).expect("a folder");
    office.until(|s| s.rejected.as_ref().is_some_and(|r| r.reason.contains("is a folder, not a file")));
    fs::remove_dir(office.folder.path().join("hosts.csv")).expect("removed");
    office.replace(&hosts(0, 11, "kista"));
    assert_eq!(office.next().version.map(|version| version.number), Some(2));
    assert!(office.status().rejected.is_none());
}

#[test]
fn a_version_that_changes_much_waits_for_a_word() {
    let office = Office::with(&hosts(0, 10, "kista"), "");
    office.next();
    office.replace(&hosts(0, 10, "solna"));
    let held = office.until(|s| s.pending.is_some()).pending.expect("held back");
    assert!(held.reason.contains("changes 10 of 10 hosts, more than 25%"), "{}", held.reason);
    assert_eq!(held.changed_hosts, 10);
    assert!(office.service.confirm("clubs", "000000").is_err(), "another digest");
    assert!(office.service.confirm("clubs", &held.digest[..3]).is_err(), "too short to mean it");
    assert!(office.service.confirm("other", &held.digest).is_err(), "no such inventory");
    assert!(office.news.try_recv().is_err(), "nothing of it was handed on");
    office.service.confirm("clubs", &held.digest).expect("confirmed");
    let news = office.next();
    assert!(news.forced);
    assert_eq!(zone(&news.merged_inventory, "w3").as_deref(), Some("solna"));
    assert!(office.service.confirm("clubs", &held.digest).is_err(), "once");
    // What is held back is over when the file is again what is in use.
    office.replace(&hosts(0, 3, "solna"));
    office.until(|s| s.pending.is_some());
    office.replace(&hosts(0, 10, "solna"));
    office.until(|s| s.pending.is_none());
}

#[test]
fn whoever_serves_may_object() {
    let office = Office::with(&hosts(0, 10, "kista"), "");
    office.next();
    office.replace(&hosts(0, 11, "kista"));
    let VersionId { inventory, number } = office.next().version.expect("a version");
    office.service.roll_back(inventory, number, "class x would be left without a worker".into());
    let status = office.until(|s| s.pending.is_some());
    assert_eq!(status.version.map(|v| v.number), Some(1));
    let held = status.pending.expect("held back");
    assert!(held.reason.contains("class x"), "{}", held.reason);
    office.service.confirm("clubs", &held.digest).expect("confirmed all the same");
    assert!(office.next().forced);
}

// Guards a start on a bad day: the file is broken, the newest kept version too, and the one before
// is good.
#[test]
fn a_start_with_a_broken_file_goes_on_with_the_last_good_version() {
    let office = Office::with(&hosts(0, 10, "kista"), "");
    office.next();
    office.replace(&hosts(0, 11, "kista"));
    office.next();
    office.replace(&hosts(0, 12, "kista"));
    office.next();
    let folder = office.close();
    let kept = folder.path().join("kept");
    let archive = Archive::new(&kept, "clubs", 10);
    assert_eq!(archive.numbers(), [1, 2, 3]);
    let newest = kept.join("clubs-00000003.facts");
    let mut bytes = fs::read(&newest).expect("there");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x40;
    fs::write(&newest, bytes).expect("writable");
    fs::write(folder.path().join("hosts.csv"), "no header that names a host\n").expect("writable");

    let office = Office::open(folder, "");
    let news = office.next();
    assert_eq!(news.version, None, "it was put back, not read");
    assert_eq!(news.merged_inventory.sources[0].version.hosts.len(), 11);
    office.until(|s| s.rejected.is_some());
    // The next good version counts on from there, and takes the damaged one's place.
    office.replace(&hosts(0, 13, "kista"));
    assert_eq!(office.next().version.map(|version| version.number), Some(3));
    assert_eq!(archive.read(3).expect("whole").hosts.len(), 13);
}

#[test]
fn old_versions_are_forgotten_beyond_the_history() {
    let office = Office::with(&hosts(0, 10, "kista"), "  history 2\n");
    office.next();
    for n in 11..14 {
        office.replace(&hosts(0, n, "kista"));
        office.next();
    }
    assert_eq!(Archive::new(&office.folder.path().join("kept"), "clubs", 2).numbers(), [3, 4]);
    let full = office.folder.path().join("kept");
    fs::remove_dir_all(&full).expect("removed");
    fs::write(&full, "a file in its place").expect("writable");
    office.replace(&hosts(0, 15, "kista"));
    // It can't be kept, and is in use all the same.
    assert_eq!(office.next().version.map(|version| version.number), Some(5));
}

#[test]
fn without_a_watch_a_file_is_read_when_somebody_says_so() {
    let office = Office::with(&hosts(0, 10, "kista"), "  watch no\n");
    office.next();
    office.replace(&hosts(0, 11, "kista"));
    office.service.reload();
    assert_eq!(office.next().version.map(|version| version.number), Some(2));
    assert_eq!(settings(Path::new("/x"), "  watch poll\n").change_detection, ChangeDetection::Poll);
}

// Guards retuned settings: a zone that was unknown is known from then on, without a change of the
// file.
#[test]
fn other_zones_are_heard_of() {
    let office = Office::with(&format!("{}w10,haninge,1\n", hosts(0, 10, "kista")), "");
    let first = office.next();
    assert!(!first.merged_inventory.names("w10"), "its zone is not known: the line is left out");
    office.service.set_vocabulary(vocabulary(&["solna", "kista", "haninge"]));
    let second = office.next();
    assert_eq!(zone(&second.merged_inventory, "w10").as_deref(), Some("haninge"));
    assert_eq!(second.merged_inventory.sources[0].version.diagnostics, []);
}

// Guards what is shown of a host's age: a fact that stays through versions keeps its time.
#[test]
fn what_does_not_change_keeps_its_time() {
    let office = Office::with(&hosts(0, 10, "kista"), "");
    let first = office.next();
    std::thread::sleep(Duration::from_millis(5));
    office.replace(&hosts(0, 10, "kista").replace("w1,kista,1", "w1,kista,2"));
    let second = office.next();
    let row =
        |news: &InventoryChange, host: &str| news.merged_inventory.sources[0].version.hosts[host].clone();
    let (a, b) = (row(&first, "w1"), row(&second, "w1"));
    assert_eq!((a.since_ms, a.attribute_since_ms[0]), (b.since_ms, b.attribute_since_ms[0]));
    assert!(b.attribute_since_ms[3] > a.attribute_since_ms[3], "its weight is new");
    assert!(matches!(b.weight, AttributeValue::Known(w, _) if w == 2.0));
}
