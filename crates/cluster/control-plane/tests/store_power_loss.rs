//! Loss of power after each disk operation: every acknowledged transaction must be recovered, and a
//! transaction must be recovered as a whole or not at all.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_control_plane::store::{Store, StoreError};
use spanlead_replication::{Change, MemberId, Position, Record, Term};
use std::io;
use std::sync::{Arc, Mutex};

/// A write since the last sync.
#[derive(Debug)]
struct UnsyncedWrite {
    offset: u64,
    bytes: Vec<u8>,
}

/// A simulated file: its synced content, and the writes since the last sync.
#[derive(Debug, Default)]
struct File {
    /// The content at the last sync.
    synced: Vec<u8>,
    /// The content as a running process reads it.
    current: Vec<u8>,
    /// Writes since the last sync.
    unsynced_writes: Vec<UnsyncedWrite>,
    /// Lengths that were set since the last sync.
    unsynced_lengths: Vec<u64>,
    /// The number of operations so far that change the file or sync it.
    operations: usize,
    /// The number of operations after which power is lost; `None` for never.
    power_lost_after: Option<usize>,
}

/// A simulated disk with one file. Clones share it.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<File>>);

impl Disk {
    /// Counts an operation and returns the file; an error after the loss of power.
    fn begin_operation(&self) -> io::Result<std::sync::MutexGuard<'_, File>> {
        let mut file = self.0.lock().expect("the lock is not poisoned");
        file.operations += 1;
        if file.power_lost_after.is_some_and(|last| file.operations > last) {
            return Err(io::Error::other("simulated loss of power"));
        }
        Ok(file)
    }

    /// Returns a disk with the file as it may be found after the loss of power: each write since
    /// the last sync is complete, torn or missing.
    fn after_power_loss(&self, rng: &mut ChaCha8Rng) -> Disk {
        let file = self.0.lock().expect("the lock is not poisoned");
        let mut found = file.synced.clone();
        let loses_all_writes = rng.random_bool(0.2);
        if !loses_all_writes && let Some(length) = file.unsynced_lengths.last() {
            found.resize(*length as usize, 0);
        }
        for UnsyncedWrite { offset, bytes } in &file.unsynced_writes {
            let kept = match rng.random_range(0..3) {
                _ if loses_all_writes => 0,
                0 => 0,
                1 => rng.random_range(0..=bytes.len()),
                _ => bytes.len(),
            };
            let end = *offset as usize + kept;
            if kept > 0 && found.len() < end {
                found.resize(end, 0);
            }
            found[*offset as usize..].iter_mut().zip(&bytes[..kept]).for_each(|(to, from)| *to = *from);
        }
        Disk(Arc::new(Mutex::new(File { synced: found.clone(), current: found, ..File::default() })))
    }

    fn operations(&self) -> usize {
        self.0.lock().expect("the lock is not poisoned").operations
    }
}

impl redb::StorageBackend for Disk {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.0.lock().expect("the lock is not poisoned").current.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let file = self.0.lock().expect("the lock is not poisoned");
        let from = offset as usize;
        let bytes = file.current.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        let mut file = self.begin_operation()?;
        file.current.resize(len as usize, 0);
        file.unsynced_lengths.push(len);
        Ok(())
    }

    fn sync_data(&self) -> Result<(), io::Error> {
        let mut file = self.begin_operation()?;
        let current = file.current.clone();
        file.synced = current;
        file.unsynced_writes.clear();
        file.unsynced_lengths.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        let mut file = self.begin_operation()?;
        let from = offset as usize;
        file.current[from..from + data.len()].copy_from_slice(data);
        file.unsynced_writes.push(UnsyncedWrite { offset, bytes: data.to_vec() });
        Ok(())
    }
}

/// The number of batches that are written.
const BATCHES: u64 = 12;

/// Returns the records of a batch: it sets three keys to one value, adds a key, and removes the key
/// that was added three batches earlier.
fn batch(number: u64) -> Vec<Record> {
    let value = number.to_le_bytes().repeat(40);
    let key = |name: &str| name.as_bytes().to_vec();
    let mut changes: Vec<Change> =
        ["a", "b", "c"].map(|name| Change { key: key(name), value: Some(value.clone()) }).into();
    changes.push(Change { key: key(&format!("n{number}")), value: Some(value.clone()) });
    if number > 3 {
        changes.push(Change { key: key(&format!("n{}", number - 3)), value: None });
    }
    let position = Position { term: Term(1), sequence: number };
    vec![Record::Identity { id: MemberId(7), bootstrap_voter: true }, Record::Batch { position, changes }]
}

/// Writes batches until the disk fails. Returns the number of the last acknowledged one, 0 for
/// none.
fn write_all(disk: &Disk) -> u64 {
    let Ok(store) = Store::open_with_backend(disk.clone()) else { return 0 };
    let mut acknowledged = 0;
    for number in 1..=BATCHES {
        if store.write(&batch(number)).is_err() {
            break;
        }
        acknowledged = number;
    }
    acknowledged
}

/// Asserts that a store on this disk holds the acknowledged batches, and at most one more, each as
/// a whole.
fn assert_recovers(disk: Disk, acknowledged: u64, operation: usize) {
    let store = match Store::open_with_backend(disk) {
        Ok(store) => store,
        // Power was lost before the file was first complete: no batch was acknowledged.
        Err(StoreError::Corrupted(_)) if acknowledged == 0 => return,
        Err(error) => {
            panic!(
                "power lost after operation {operation}, {acknowledged} batches acknowledged: can't open: {error}"
            )
        }
    };
    let recovered = store
        .recover()
        .unwrap_or_else(|error| panic!("power lost after operation {operation}: can't recover: {error}"));
    let found = recovered.position.sequence;
    assert!(
        found >= acknowledged,
        "power lost after operation {operation}: batch {acknowledged} was acknowledged, {found} recovered"
    );
    assert!(
        found <= acknowledged + 1,
        "power lost after operation {operation}: batch {found} recovered, which was never written"
    );
    if found == 0 {
        return;
    }
    assert_eq!(recovered.identity, Some(MemberId(7)));
    let value = found.to_le_bytes().repeat(40);
    for name in ["a", "b", "c"] {
        assert_eq!(
            recovered.keyspace.get(name.as_bytes()),
            Some(value.as_slice()),
            "power lost after operation {operation}: value of key {name}"
        );
    }
    let added_keys = (1..=found)
        .filter(|number| recovered.keyspace.get(format!("n{number}").as_bytes()).is_some())
        .count();
    assert_eq!(
        added_keys as u64,
        found.min(3),
        "power lost after operation {operation}: number of added keys"
    );
}

#[test]
fn loss_of_power_after_any_operation_loses_no_acknowledged_batch() {
    let reliable_disk = Disk::default();
    assert_eq!(write_all(&reliable_disk), BATCHES);
    let operations = reliable_disk.operations();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for operation in 0..=operations {
        for _ in 0..4 {
            let disk = Disk::default();
            disk.0.lock().expect("the lock is not poisoned").power_lost_after = Some(operation);
            let acknowledged = write_all(&disk);
            assert_recovers(disk.after_power_loss(&mut rng), acknowledged, operation);
        }
    }
}

#[test]
fn corrupted_file_is_renamed_and_replaced_by_an_empty_store() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    std::fs::write(folder.path().join("control.redb"), vec![7; 9_000]).expect("the file is written");
    let store = Store::open(folder.path()).expect("an empty store opens");
    assert_eq!(store.recover().expect("the store is recovered").identity, None);
    let names = std::fs::read_dir(folder.path())
        .expect("the folder is listed")
        .map(|entry| entry.expect("an entry").file_name());
    assert!(names.into_iter().any(|name| name.to_string_lossy().ends_with("unreadable")));
}
