//! The thread that writes to the data folder.
//!
//! It takes all records that wait and commits them as one transaction, so that the cost of a sync
//! is shared, and reports the last one's token.
use crate::store::{Store, StoreError};
use spanlead_replication::Record;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// Wait before a failed write is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// A record that is to be written, with the token that the replica gave it.
#[derive(Debug)]
struct WriteRequest {
    token: u64,
    record: Record,
}

/// Queues records for the writing thread.
#[derive(Debug)]
pub struct StoreWriter {
    queue: Sender<WriteRequest>,
}

impl StoreWriter {
    /// Starts the thread. It calls `on_written` with the token of the last record on disk.
    ///
    /// A failed write is tried again until it succeeds: the file is opened anew, since after a
    /// failed sync its content is not known, and all records of the failed transaction are written
    /// once more.
    #[must_use]
    pub fn start(store: Store, folder: PathBuf, on_written: impl Fn(u64) + Send + 'static) -> Self {
        let (queue, requests) = channel();
        let mut file = StoreFile { open: Some(store), folder };
        std::thread::spawn(move || write_all(&mut file, &requests, on_written));
        StoreWriter { queue }
    }

    /// Queues a record.
    pub fn write(&self, token: u64, record: Record) {
        let _ = self.queue.send(WriteRequest { token, record });
    }
}

fn write_all(file: &mut StoreFile, requests: &Receiver<WriteRequest>, on_written: impl Fn(u64)) {
    while let Ok(first) = requests.recv() {
        let mut token = first.token;
        let mut records = vec![first.record];
        while let Ok(next) = requests.try_recv() {
            token = next.token;
            records.push(next.record);
        }
        while let Err(error) = file.write(&records) {
            log::error!("store write failed folder={} error={error}", file.folder.display());
            std::thread::sleep(RETRY_INTERVAL);
        }
        on_written(token);
    }
}

/// The store's file, closed after an error and opened again for the next write.
struct StoreFile {
    open: Option<Store>,
    folder: PathBuf,
}

impl StoreFile {
    fn write(&mut self, records: &[Record]) -> Result<(), StoreError> {
        let store = match self.open.take() {
            Some(store) => store,
            None => Store::open(self.folder.as_path())?,
        };
        store.write(records)?;
        self.open = Some(store);
        Ok(())
    }
}
