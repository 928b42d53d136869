//! Write first, then act: the embedder replicates the changes, and returns what is committed.
use super::Scheduler;
use crate::commit::DeferredAction;
use crate::config::Now;
use crate::protocol::WorkerCall;
use crate::record::{RecordChange, RecordKey};

impl Scheduler {
    /// The changes of the key space since the last call. What depends on them is done when they are
    /// committed.
    pub fn take_changes(&mut self) -> Vec<RecordChange> {
        let dirty = self.commits.take_dirty();
        let worker_id = |worker| self.workers[worker].id().to_string();
        let change = |key: RecordKey| RecordChange {
            key: key.encode(),
            value: self.jobs.encode_record(key, worker_id),
        };
        dirty.into_iter().map(change).collect()
    }

    /// All changes taken so far are in this batch, or in earlier ones. Batch numbers ascend.
    pub fn assign_batch(&mut self, batch: u64) {
        self.commits.assign_batch(batch);
    }

    /// All batches up to this one are committed.
    pub fn handle_committed(&mut self, now: Now, batch: u64) {
        while let Some(action) = self.commits.pop_committed(batch) {
            match action {
                DeferredAction::SendStart(run) => self.send_start(now, run),
                DeferredAction::AcknowledgeEnds { worker, up_to } => {
                    self.change_renewal(worker, |lease| lease.acknowledge_ends(up_to, now.monotonic_ms));
                }
            }
        }
        self.send_due_renewals(now.monotonic_ms);
    }

    /// The calls that are to be made since this was last called.
    pub fn take_calls(&mut self) -> Vec<WorkerCall> {
        self.calls.take_calls()
    }
}
