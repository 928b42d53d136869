//! The thread that writes to the data folder.
//!
//! It commits all queued records in one transaction (group commit), so that they share the cost of
//! one sync to disk, and then reports the token of the last record.
use crate::store::{Store, StoreError};
use spanlead_replication::Record;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// The delay before a failed write is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// A record to write, with the token that the replica assigned to it.
#[derive(Debug)]
struct WriteRequest {
    token: u64,
    record: Record,
}

/// The handle that queues records for the writing thread.
#[derive(Debug)]
pub struct StoreWriter {
    queue: Sender<WriteRequest>,
}

impl StoreWriter {
    /// Starts the writing thread, which calls `on_written` after each transaction with the token of
    /// the last record on disk.
    ///
    /// A failed write is retried until it succeeds: the file is reopened, since its content is
    /// unknown after a failed sync, and all records of the failed transaction are written again.
    #[must_use]
    pub fn start(store: Store, folder: PathBuf, on_written: impl Fn(u64) + Send + 'static) -> Self {
        let (queue, requests) = channel();
        let mut store = ReopeningStore { open: Some(store), folder };
        std::thread::spawn(move || write_requests(&mut store, &requests, on_written));
        StoreWriter { queue }
    }

    /// Queues a record.
    pub fn write(&self, token: u64, record: Record) {
        let _ = self.queue.send(WriteRequest { token, record });
    }
}

/// Writes the queued records until the queue is closed.
fn write_requests(store: &mut ReopeningStore, requests: &Receiver<WriteRequest>, on_written: impl Fn(u64)) {
    while let Ok(first) = requests.recv() {
        let mut last_token = first.token;
        let mut records = vec![first.record];
        while let Ok(next) = requests.try_recv() {
            last_token = next.token;
            records.push(next.record);
        }
        while let Err(error) = store.write(&records) {
            log::error!("store write failed, retrying folder={} error={error}", store.folder.display());
            std::thread::sleep(RETRY_INTERVAL);
        }
        on_written(last_token);
    }
}

/// A store that is closed after an error and reopened for the next write.
struct ReopeningStore {
    /// `None` after an error.
    open: Option<Store>,
    folder: PathBuf,
}

impl ReopeningStore {
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
