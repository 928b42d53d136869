//! The platform's list of workers, which the primary reads.
use super::Node;
use crate::Input;
use crate::platform::{self, ListError};
use async_std::task;
use spanlead_job_scheduler::ListedWorker;

/// How often the platform's list is read, milliseconds.
const LIST_EVERY_MS: u64 = 1_000;
/// How soon after a failed read it is tried again, milliseconds.
const LIST_AGAIN_MS: u64 = 400;

impl Node {
    pub(super) fn ask_for_list(&mut self, now: u64) {
        let (Some(serving), Some(address)) = (&mut self.serving, &self.cloud) else { return };
        if serving.listing || now < serving.list_at {
            return;
        }
        serving.listing = true;
        let (inputs, address) = (self.inputs.clone(), address.clone());
        task::spawn(async move {
            let list = platform::read(&address).await;
            inputs.put(Input::Listed(list));
        });
    }

    pub(super) fn listed(&mut self, list: Result<Vec<ListedWorker>, ListError>) {
        let now = self.clock.now();
        let Some(serving) = &mut self.serving else { return };
        serving.listing = false;
        match list {
            Ok(list) => {
                serving.list_at = now.monotonic_ms + LIST_EVERY_MS;
                serving.scheduler.update_workers(now, &list);
            }
            Err(error) => {
                log::warn!("the platform's list: {error}");
                serving.list_at = now.monotonic_ms + LIST_AGAIN_MS;
            }
        }
    }
}
