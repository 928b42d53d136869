//! The data folder: a key-value file with the node's identity, its witness's record and its copy of the key space.
//!
//! One thread writes. It takes all records that wait, commits them as one transaction and tells the last one's number.
use quick_error::quick_error;
use redb::{
    Database, DatabaseError, Durability, ReadableDatabase, ReadableTable, StorageError, TableDefinition,
};
use spanlead_replication::{Change, MemberId, Position, Record, RecoveredState, WitnessRecord};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

quick_error! {
    /// Why the folder can't be used.
    #[derive(Debug)]
    pub enum DiskError {
        /// The store's word.
        Store(what: String) {
            display("{}", what)
        }
        /// The file is no store, or damaged: what it held can't be had.
        Unreadable(what: String) {
            display("{}", what)
        }
        /// A record that this version can't read.
        Form(name: &'static str) {
            display("{}: not of this version", name)
        }
        /// The folder was written by a newer version.
        Newer(format: u32) {
            display("the folder is of form {}, newer than this program: start the version that wrote it", format)
        }
    }
}

impl<T: Into<redb::Error>> From<T> for DiskError {
    fn from(error: T) -> Self {
        DiskError::Store(error.into().to_string())
    }
}

const ENTRIES: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("entries");
const NODE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("node");
const IDENTITY: &str = "identity";
const WITNESS: &str = "witness";
const POSITION: &str = "position";
const FOUNDER: &str = "founder";
const INCOMPLETE: &str = "incomplete";
const FORMAT: &str = "format";
/// The form of the folder's records. A folder without a number is of form 1.
const FORMAT_VERSION: u32 = 1;
/// The file in the folder.
const FILE: &str = "control.redb";
/// What it is called if it can't be read.
const ASIDE: &str = "control.redb.unreadable";
/// How long after a refusal the disk is tried again.
const AGAIN: Duration = Duration::from_millis(250);
/// Memory for pages of the file, bytes.
const CACHE: usize = 4 << 20;

/// The open store.
#[derive(Debug)]
pub struct Store {
    database: Database,
}

impl Store {
    /// Opens the folder's file, or makes it. One that can't be read is set aside: power went before it was ever
    /// finished, or it is damaged. To the others this machine has then lost its disk, which they bear.
    ///
    /// # Errors
    /// If it can't be read or written.
    pub fn open(folder: &Path) -> Result<Self, DiskError> {
        std::fs::create_dir_all(folder).map_err(|error| DiskError::Store(error.to_string()))?;
        let file = folder.join(FILE);
        let open = || Store::with(redb::Builder::new().set_cache_size(CACHE).create(&file));
        match open() {
            Err(DiskError::Unreadable(why)) => {
                log::error!("{}: {why}; set aside", file.display());
                let aside = folder.join(ASIDE);
                std::fs::rename(&file, aside).map_err(|error| DiskError::Store(error.to_string()))?;
                open()
            }
            opened => opened,
        }
    }

    /// A store on any backend, for tests.
    ///
    /// # Errors
    /// If it can't be read or written.
    pub fn on(backend: impl redb::StorageBackend) -> Result<Self, DiskError> {
        Store::with(redb::Builder::new().set_cache_size(CACHE).create_with_backend(backend))
    }

    fn with(opened: Result<Database, DatabaseError>) -> Result<Self, DiskError> {
        let database = opened.map_err(|error| match error {
            DatabaseError::Storage(StorageError::Corrupted(what)) => DiskError::Unreadable(what),
            DatabaseError::Storage(StorageError::Io(io)) if io.kind() == ErrorKind::InvalidData => {
                DiskError::Unreadable(io.to_string())
            }
            other => DiskError::from(other),
        })?;
        let transaction = database.begin_write()?;
        transaction.open_table(ENTRIES)?;
        transaction.open_table(NODE)?;
        transaction.commit()?;
        Ok(Store { database })
    }

    /// Marks the folder as one of another form, as a version does that changes its records.
    ///
    /// # Errors
    /// If the disk refuses.
    pub fn mark_format(&self, format: u32) -> Result<(), DiskError> {
        let transaction = self.database.begin_write()?;
        transaction.open_table(NODE)?.insert(FORMAT, format.to_le_bytes().as_slice())?;
        transaction.commit()?;
        Ok(())
    }

    /// All that is kept.
    ///
    /// # Errors
    /// If it can't be read.
    pub fn restore(&self) -> Result<RecoveredState, DiskError> {
        let transaction = self.database.begin_read()?;
        let node = transaction.open_table(NODE)?;
        let mut restored = RecoveredState::default();
        let format = node.get(FORMAT)?.map(|value| value.value().try_into().map(u32::from_le_bytes));
        match format {
            Some(Ok(format)) if format > FORMAT_VERSION => return Err(DiskError::Newer(format)),
            Some(Err(_)) => return Err(DiskError::Form("format")),
            _ => {}
        }
        restored.bootstrap_voter = node.get(FOUNDER)?.is_some();
        restored.repair_incomplete = node.get(INCOMPLETE)?.is_some();
        if let Some(value) = node.get(IDENTITY)? {
            let bytes = value.value().try_into().map_err(|_| DiskError::Form("identity"))?;
            restored.identity = Some(MemberId(u64::from_le_bytes(bytes)));
        }
        if let Some(value) = node.get(WITNESS)? {
            restored.witness = rkyv::from_bytes::<WitnessRecord, rkyv::rancor::Error>(value.value())
                .map_err(|_| DiskError::Form("witness"))?;
        }
        if let Some(value) = node.get(POSITION)? {
            restored.position = rkyv::from_bytes::<Position, rkyv::rancor::Error>(value.value())
                .map_err(|_| DiskError::Form("position"))?;
        }
        for entry in transaction.open_table(ENTRIES)?.iter()? {
            let (key, value) = entry?;
            let change = Change { key: key.value().to_vec(), value: Some(value.value().to_vec()) };
            restored.keyspace.apply(&change);
        }
        Ok(restored)
    }

    /// Brings records to disk, all or none.
    ///
    /// # Errors
    /// If the disk refuses.
    pub fn write(&self, records: &[Record]) -> Result<(), DiskError> {
        let mut transaction = self.database.begin_write()?;
        transaction.set_durability(Durability::Immediate).map_err(|e| DiskError::Store(e.to_string()))?;
        {
            let mut node = transaction.open_table(NODE)?;
            let mut entries = transaction.open_table(ENTRIES)?;
            for record in records {
                match record {
                    Record::Identity { id, bootstrap_voter } => {
                        node.insert(IDENTITY, id.0.to_le_bytes().as_slice())?;
                        node.insert(FORMAT, FORMAT_VERSION.to_le_bytes().as_slice())?;
                        if *bootstrap_voter {
                            node.insert(FOUNDER, [].as_slice())?;
                        }
                    }
                    Record::Witness(witness) => {
                        let bytes = rkyv::to_bytes::<rkyv::rancor::Error>(witness)
                            .map_err(|_| DiskError::Form("witness"))?;
                        node.insert(WITNESS, bytes.as_slice())?;
                    }
                    Record::Batch { position, changes } => {
                        let bytes = rkyv::to_bytes::<rkyv::rancor::Error>(position)
                            .map_err(|_| DiskError::Form("position"))?;
                        node.insert(POSITION, bytes.as_slice())?;
                        node.remove(INCOMPLETE)?;
                        write_changes(&mut entries, changes)?;
                    }
                    Record::Repair { changes } => {
                        node.insert(INCOMPLETE, [].as_slice())?;
                        write_changes(&mut entries, changes)?;
                    }
                }
            }
        }
        transaction.commit()?;
        Ok(())
    }
}

fn write_changes(
    entries: &mut redb::Table<'_, &[u8], &[u8]>,
    changes: &[Change],
) -> Result<(), redb::StorageError> {
    for change in changes {
        match &change.value {
            Some(value) => entries.insert(change.key.as_slice(), value.as_slice())?,
            None => entries.remove(change.key.as_slice())?,
        };
    }
    Ok(())
}

/// The writing thread.
#[derive(Debug)]
pub struct Writer {
    queue: Sender<(u64, Record)>,
}

impl Writer {
    /// Starts the thread; `written` is told the number of the last record on disk. A disk that refuses is tried again:
    /// the file is opened anew, since after a failed sync nobody knows what it holds, and all records of the failed
    /// transaction are written once more.
    #[must_use]
    pub fn start(store: Store, folder: PathBuf, written: impl Fn(u64) + Send + 'static) -> Self {
        let (queue, waiting) = channel();
        std::thread::spawn(move || write_all(store, &folder, &waiting, written));
        Writer { queue }
    }

    /// Hands a record over.
    pub fn write(&self, token: u64, record: Record) {
        let _ = self.queue.send((token, record));
    }
}

fn write_all(store: Store, folder: &Path, waiting: &Receiver<(u64, Record)>, written: impl Fn(u64)) {
    let mut store = Some(store);
    while let Ok((mut token, record)) = waiting.recv() {
        let mut records = vec![record];
        while let Ok((next, record)) = waiting.try_recv() {
            token = next;
            records.push(record);
        }
        while let Err(error) = write_once(&mut store, folder, &records) {
            log::error!("the disk refuses: {error}");
            std::thread::sleep(AGAIN);
        }
        written(token);
    }
}

/// Writes to the open file, or opens it first. After an error it is closed.
fn write_once(store: &mut Option<Store>, folder: &Path, records: &[Record]) -> Result<(), DiskError> {
    let open = match store.take() {
        Some(open) => open,
        None => Store::open(folder)?,
    };
    open.write(records)?;
    *store = Some(open);
    Ok(())
}
