//! When the primary reads the platform's list of workers.
use super::Node;
use crate::input::Input;
use crate::worker_list::{self, WorkerListError};
use async_std::task;
use spanlead_job_scheduler::ListedWorker;

/// How often the list is read, milliseconds.
const POLL_INTERVAL_MS: u64 = 1_000;
/// Wait before a failed read is tried again, milliseconds.
const RETRY_INTERVAL_MS: u64 = 400;

/// The reads of the list. One is in progress at a time.
#[derive(Debug, Default)]
pub(super) struct WorkerListPolling {
    next_read_ms: u64,
    is_reading: bool,
}

impl WorkerListPolling {
    /// Begins a read if one is due. Returns whether it did.
    fn begin(&mut self, now_ms: u64) -> bool {
        if self.is_reading || now_ms < self.next_read_ms {
            return false;
        }
        self.is_reading = true;
        true
    }

    fn end(&mut self, now_ms: u64, succeeded: bool) {
        self.is_reading = false;
        self.next_read_ms = now_ms + if succeeded { POLL_INTERVAL_MS } else { RETRY_INTERVAL_MS };
    }
}

impl Node {
    pub(super) fn poll_worker_list(&mut self, now_ms: u64) {
        let (Some(primary), Some(address)) = (&mut self.primary, &self.worker_list_address) else { return };
        if !primary.worker_list.begin(now_ms) {
            return;
        }
        let (inputs, address) = (self.inputs.clone(), address.clone());
        task::spawn(async move {
            let list = worker_list::fetch(&address).await;
            inputs.send(Input::WorkerList(list));
        });
    }

    pub(super) fn handle_worker_list(&mut self, list: Result<Vec<ListedWorker>, WorkerListError>) {
        let now = self.clock.now();
        let Some(primary) = &mut self.primary else { return };
        primary.worker_list.end(now.monotonic_ms, list.is_ok());
        match list {
            Ok(workers) => primary.scheduler.update_workers(now, &workers),
            Err(error) => log::warn!("worker list can't be read error={error}"),
        }
    }
}
