//! Power is lost at every operation of the disk: what was acknowledged is there, and a transaction
//! is there as a whole or not at all.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_control_plane::store::{Store, StoreError};
use spanlead_replication::{Change, MemberId, Position, Record, Term};
use std::io;
use std::sync::{Arc, Mutex};

#[derive(Debug)]
struct UnsyncedWrite {
    offset: u64,
    bytes: Vec<u8>,
}

/// A file: what is on disk, and what was written since the last sync.
#[derive(Debug, Default)]
struct File {
    synced: Vec<u8>,
    current: Vec<u8>,
    /// Writes since the last sync.
    unsynced_writes: Vec<UnsyncedWrite>,
    /// Lengths that were set since the last sync.
    unsynced_lengths: Vec<u64>,
    operations: usize,
    /// The operation after which power is lost.
    power_lost_after: Option<usize>,
}

#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<File>>);

impl Disk {
    /// Counts an operation; an error once power is lost.
    fn operate(&self) -> io::Result<std::sync::MutexGuard<'_, File>> {
        let mut file = self.0.lock().expect("no panic holds it");
        file.operations += 1;
        if file.power_lost_after.is_some_and(|last| file.operations > last) {
            return Err(io::Error::other("no power"));
        }
        Ok(file)
    }

    /// The file as it is found after the loss of power: each later write is there, torn or missing.
    fn after_power_loss(&self, rng: &mut ChaCha8Rng) -> Disk {
        let file = self.0.lock().expect("no panic holds it");
        let mut found = file.synced.clone();
        let none = rng.random_bool(0.2);
        if !none && let Some(length) = file.unsynced_lengths.last() {
            found.resize(*length as usize, 0);
        }
        for UnsyncedWrite { offset, bytes } in &file.unsynced_writes {
            let kept = match rng.random_range(0..3) {
                _ if none => 0,
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
        self.0.lock().expect("no panic holds it").operations
    }
}

impl redb::StorageBackend for Disk {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.0.lock().expect("no panic holds it").current.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let file = self.0.lock().expect("no panic holds it");
        let from = offset as usize;
        let bytes = file.current.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        let mut file = self.operate()?;
        file.current.resize(len as usize, 0);
        file.unsynced_lengths.push(len);
        Ok(())
    }

    fn sync_data(&self) -> Result<(), io::Error> {
        let mut file = self.operate()?;
        let current = file.current.clone();
        file.synced = current;
        file.unsynced_writes.clear();
        file.unsynced_lengths.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        let mut file = self.operate()?;
        let from = offset as usize;
        file.current[from..from + data.len()].copy_from_slice(data);
        file.unsynced_writes.push(UnsyncedWrite { offset, bytes: data.to_vec() });
        Ok(())
    }
}

const BATCHES: u64 = 12;

/// The records of a batch: three keys that change together, and others that come and go.
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

/// Writes batches until the disk fails. Returns the last one that was acknowledged.
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

fn assert_recovers(disk: Disk, acknowledged: u64, operation: usize) {
    let store = match Store::open_with_backend(disk) {
        Ok(store) => store,
        // Power was lost before the file was first complete: it holds nothing that could be lost.
        Err(StoreError::Corrupted(_)) if acknowledged == 0 => return,
        Err(error) => {
            panic!("power lost after {operation}, {acknowledged} acknowledged: not opened: {error}")
        }
    };
    let recovered =
        store.recover().unwrap_or_else(|error| panic!("power lost after {operation}: not read: {error}"));
    let found = recovered.position.sequence;
    assert!(
        found >= acknowledged,
        "power lost after {operation}: {acknowledged} was acknowledged, {found} is there"
    );
    assert!(found <= acknowledged + 1, "power lost after {operation}: {found} was never written");
    if found == 0 {
        return;
    }
    assert_eq!(recovered.identity, Some(MemberId(7)));
    let value = found.to_le_bytes().repeat(40);
    for name in ["a", "b", "c"] {
        assert_eq!(
            recovered.keyspace.get(name.as_bytes()),
            Some(value.as_slice()),
            "power lost after {operation}: {name}"
        );
    }
    let kept = (1..=found)
        .filter(|number| recovered.keyspace.get(format!("n{number}").as_bytes()).is_some())
        .count();
    assert_eq!(kept as u64, found.min(3), "power lost after {operation}");
}

#[test]
fn power_loss_at_any_operation_loses_nothing_acknowledged() {
    let undisturbed = Disk::default();
    assert_eq!(write_all(&undisturbed), BATCHES);
    let operations = undisturbed.operations();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for operation in 0..=operations {
        for _ in 0..4 {
            let disk = Disk::default();
            disk.0.lock().expect("no panic holds it").power_lost_after = Some(operation);
            let acknowledged = write_all(&disk);
            assert_recovers(disk.after_power_loss(&mut rng), acknowledged, operation);
        }
    }
}

#[test]
fn a_corrupted_file_is_renamed_and_replaced_by_an_empty_store() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("control.redb"), vec![7; 9_000]).expect("written");
    let store = Store::open(folder.path()).expect("opened anew");
    assert_eq!(store.recover().expect("read").identity, None);
    let names = std::fs::read_dir(folder.path()).expect("listed").map(|e| e.expect("read").file_name());
    assert!(names.into_iter().any(|name| name.to_string_lossy().ends_with("unreadable")));
}
