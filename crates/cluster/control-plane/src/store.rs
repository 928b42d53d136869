//! The data folder: a database file with the node's identity, its witness record and its replica of
//! the key space.
use quick_error::quick_error;
use redb::{
    Database, DatabaseError, Durability, ReadableDatabase, ReadableTable, StorageBackend, StorageError,
    Table, TableDefinition,
};
use rkyv::rancor;
use spanlead_replication::{Change, MemberId, Position, Record, RecoveredState, WitnessRecord};
use std::io::ErrorKind;
use std::path::Path;

quick_error! {
    /// An error in opening, reading or writing the data folder.
    #[derive(Debug)]
    pub enum StoreError {
        /// The database file can't be read or written.
        Database(error: redb::Error) {
            display("{}", error)
        }
        /// The folder can't be created or a corrupted file can't be renamed.
        Folder(error: std::io::Error) {
            display("the folder can't be created or the corrupted file can't be renamed: {}", error)
        }
        /// The file is not a database file or is damaged: its content is lost.
        Corrupted(reason: String) {
            display("database file is corrupted: {}", reason)
        }
        /// The record under this key can't be decoded or encoded.
        Record(key: &'static str) {
            display("record {} can't be decoded or encoded by this version of the program", key)
        }
        /// The folder has this format, which only a newer version of the program supports.
        NewerFormat(format: u32) {
            display("the folder is of form {}, newer than this program: start the version that wrote it", format)
        }
    }
}

impl<T: Into<redb::Error>> From<T> for StoreError {
    fn from(error: T) -> Self {
        StoreError::Database(error.into())
    }
}

/// The replica of the key space.
const ENTRIES: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("entries");
/// The node's own records, and the state of its replica.
const NODE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("node");

// Keys of the table `NODE`. They are stored and must not change.
const IDENTITY: &str = "identity";
const WITNESS: &str = "witness";
const POSITION: &str = "position";
const BOOTSTRAP_VOTER: &str = "founder";
const REPAIR_INCOMPLETE: &str = "incomplete";
const FORMAT: &str = "format";

/// The format of the records that this version writes. A folder without a format number has format
/// 1.
const FORMAT_VERSION: u32 = 1;
/// The name of the database file in the folder.
const FILE_NAME: &str = "control.redb";
/// The name that a corrupted database file is renamed to.
const CORRUPTED_FILE_NAME: &str = "control.redb.unreadable";
/// The size of the page cache, bytes.
const CACHE_BYTES: usize = 4 * 1024 * 1024;

/// The open database file. Each write is a transaction that is on disk when the write returns.
#[derive(Debug)]
pub struct Store {
    database: Database,
}

impl Store {
    /// Opens the database file in the folder, or creates it.
    ///
    /// A corrupted file, be it damaged or incomplete because power was lost while it was created,
    /// is renamed and replaced by an empty one. To the other members that is the loss of this
    /// machine's disk, which they tolerate.
    ///
    /// # Errors
    /// If the folder or the file can't be read or written.
    pub fn open(folder: &Path) -> Result<Self, StoreError> {
        std::fs::create_dir_all(folder).map_err(StoreError::Folder)?;
        let file = folder.join(FILE_NAME);
        let open = || Store::from_database(redb::Builder::new().set_cache_size(CACHE_BYTES).create(&file));
        match open() {
            Err(StoreError::Corrupted(reason)) => {
                log::error!(
                    "store corrupted, renaming it and creating an empty one file={} renamed_to={CORRUPTED_FILE_NAME} reason={reason}",
                    file.display()
                );
                std::fs::rename(&file, folder.join(CORRUPTED_FILE_NAME)).map_err(StoreError::Folder)?;
                open()
            }
            opened => opened,
        }
    }

    /// Opens a store on a storage backend, such as one that fails at a given operation.
    ///
    /// # Errors
    /// If the backend can't be read or written, or its content is corrupted.
    pub fn open_with_backend(backend: impl StorageBackend) -> Result<Self, StoreError> {
        let mut builder = redb::Builder::new();
        Store::from_database(builder.set_cache_size(CACHE_BYTES).create_with_backend(backend))
    }

    fn from_database(opened: Result<Database, DatabaseError>) -> Result<Self, StoreError> {
        let database = opened.map_err(|error| match error {
            DatabaseError::Storage(StorageError::Corrupted(reason)) => StoreError::Corrupted(reason),
            DatabaseError::Storage(StorageError::Io(io)) if io.kind() == ErrorKind::InvalidData => {
                StoreError::Corrupted(io.to_string())
            }
            other => StoreError::from(other),
        })?;
        let transaction = database.begin_write()?;
        transaction.open_table(ENTRIES)?;
        transaction.open_table(NODE)?;
        transaction.commit()?;
        Ok(Store { database })
    }

    /// Sets the format number of the folder, as a version that changes the format does.
    ///
    /// # Errors
    /// If the number can't be written.
    pub fn set_format(&self, format: u32) -> Result<(), StoreError> {
        let transaction = self.database.begin_write()?;
        transaction.open_table(NODE)?.insert(FORMAT, format.to_le_bytes().as_slice())?;
        transaction.commit()?;
        Ok(())
    }

    /// Reads the complete stored state.
    ///
    /// # Errors
    /// If the state can't be read or its format is newer than this version supports.
    pub fn recover(&self) -> Result<RecoveredState, StoreError> {
        let transaction = self.database.begin_read()?;
        let node = transaction.open_table(NODE)?;
        check_format(&node)?;
        let mut recovered = RecoveredState {
            identity: read_identity(&node)?,
            bootstrap_voter: node.get(BOOTSTRAP_VOTER)?.is_some(),
            repair_incomplete: node.get(REPAIR_INCOMPLETE)?.is_some(),
            ..RecoveredState::default()
        };
        if let Some(value) = node.get(WITNESS)? {
            recovered.witness = rkyv::from_bytes::<WitnessRecord, rancor::Error>(value.value())
                .map_err(|_| StoreError::Record(WITNESS))?;
        }
        if let Some(value) = node.get(POSITION)? {
            recovered.position = rkyv::from_bytes::<Position, rancor::Error>(value.value())
                .map_err(|_| StoreError::Record(POSITION))?;
        }
        for entry in transaction.open_table(ENTRIES)?.iter()? {
            let (key, value) = entry?;
            let change = Change { key: key.value().to_vec(), value: Some(value.value().to_vec()) };
            recovered.keyspace.apply(&change);
        }
        Ok(recovered)
    }

    /// Writes records to disk in one transaction: all or none.
    ///
    /// # Errors
    /// If the records can't be written. The content of the file is then unknown.
    pub fn write(&self, records: &[Record]) -> Result<(), StoreError> {
        let mut transaction = self.database.begin_write()?;
        transaction
            .set_durability(Durability::Immediate)
            .map_err(|error| StoreError::Database(error.into()))?;
        {
            let mut node = transaction.open_table(NODE)?;
            let mut entries = transaction.open_table(ENTRIES)?;
            for record in records {
                write_record(&mut node, &mut entries, record)?;
            }
        }
        transaction.commit()?;
        Ok(())
    }
}

fn check_format(node: &impl ReadableTable<&'static str, &'static [u8]>) -> Result<(), StoreError> {
    let Some(value) = node.get(FORMAT)? else { return Ok(()) };
    let bytes = value.value().try_into().map_err(|_| StoreError::Record(FORMAT))?;
    match u32::from_le_bytes(bytes) {
        format if format > FORMAT_VERSION => Err(StoreError::NewerFormat(format)),
        _ => Ok(()),
    }
}

fn read_identity(
    node: &impl ReadableTable<&'static str, &'static [u8]>,
) -> Result<Option<MemberId>, StoreError> {
    let Some(value) = node.get(IDENTITY)? else { return Ok(None) };
    let bytes = value.value().try_into().map_err(|_| StoreError::Record(IDENTITY))?;
    Ok(Some(MemberId(u64::from_le_bytes(bytes))))
}

fn write_record(
    node: &mut Table<'_, &str, &[u8]>,
    entries: &mut Table<'_, &[u8], &[u8]>,
    record: &Record,
) -> Result<(), StoreError> {
    match record {
        Record::Identity { id, bootstrap_voter } => {
            node.insert(IDENTITY, id.0.to_le_bytes().as_slice())?;
            node.insert(FORMAT, FORMAT_VERSION.to_le_bytes().as_slice())?;
            if *bootstrap_voter {
                node.insert(BOOTSTRAP_VOTER, [].as_slice())?;
            }
        }
        Record::Witness(witness) => {
            let bytes = rkyv::to_bytes::<rancor::Error>(witness).map_err(|_| StoreError::Record(WITNESS))?;
            node.insert(WITNESS, bytes.as_slice())?;
        }
        Record::Batch { position, changes } => {
            let bytes =
                rkyv::to_bytes::<rancor::Error>(position).map_err(|_| StoreError::Record(POSITION))?;
            node.insert(POSITION, bytes.as_slice())?;
            node.remove(REPAIR_INCOMPLETE)?;
            write_changes(entries, changes)?;
        }
        Record::Repair { changes } => {
            node.insert(REPAIR_INCOMPLETE, [].as_slice())?;
            write_changes(entries, changes)?;
        }
    }
    Ok(())
}

fn write_changes(entries: &mut Table<'_, &[u8], &[u8]>, changes: &[Change]) -> Result<(), StoreError> {
    for change in changes {
        match &change.value {
            Some(value) => entries.insert(change.key.as_slice(), value.as_slice())?,
            None => entries.remove(change.key.as_slice())?,
        };
    }
    Ok(())
}
