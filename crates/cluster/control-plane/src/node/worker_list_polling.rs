//! The primary's polling of the platform's list of workers.
use super::Node;
use crate::input::Input;
use crate::worker_list::{self, WorkerListError};
use async_std::task;
use spanlead_job_scheduler::ListedWorker;

/// The delay between a successful read of the list and the next one, milliseconds.
const POLL_INTERVAL_MS: u64 = 1_000;
/// The delay before a failed read is retried, milliseconds.
const RETRY_INTERVAL_MS: u64 = 400;

/// The schedule of reads of the list. At most one read is in progress at a time.
#[derive(Debug, Default)]
pub(super) struct WorkerListPolling {
    next_read_ms: u64,
    is_reading: bool,
}

impl WorkerListPolling {
    /// Marks a read as begun if one is due. Returns whether it was due.
    fn begin_read(&mut self, now_ms: u64) -> bool {
        if self.is_reading || now_ms < self.next_read_ms {
            return false;
        }
        self.is_reading = true;
        true
    }

    /// Marks the read in progress as ended and schedules the next one.
    fn end_read(&mut self, now_ms: u64, succeeded: bool) {
        self.is_reading = false;
        self.next_read_ms = now_ms + if succeeded { POLL_INTERVAL_MS } else { RETRY_INTERVAL_MS };
    }
}

impl Node {
    /// Reads the list in a separate task if a read is due. The result arrives as an
    /// [`Input::WorkerList`].
    pub(super) fn poll_worker_list(&mut self, now_ms: u64) {
        let (Some(primary), Some(address)) = (&mut self.primary, &self.worker_list_address) else { return };
        if !primary.worker_list_polling.begin_read(now_ms) {
            return;
        }
        let (inputs, address) = (self.inputs.clone(), address.clone());
        task::spawn(async move {
            let list = worker_list::fetch(&address).await;
            inputs.send(Input::WorkerList(list));
        });
    }

    /// Passes a list to the scheduler. After a failed read the scheduler keeps the previous list.
    pub(super) fn handle_worker_list(&mut self, list: Result<Vec<ListedWorker>, WorkerListError>) {
        let now = self.clock.now();
        let Some(primary) = &mut self.primary else { return };
        primary.worker_list_polling.end_read(now.monotonic_ms, list.is_ok());
        match list {
            Ok(workers) => primary.scheduler.update_workers(now, &workers),
            Err(error) => log::warn!("worker list can't be read error={error}"),
        }
    }
}
