//! Write-ahead order: the embedder replicates changes and reports the committed batches, which
//! release the actions that depend on them.
use super::Scheduler;
use crate::commit::DeferredAction;
use crate::config::Now;
use crate::protocol::WorkerCall;
use crate::record::{RecordChange, RecordKey};

impl Scheduler {
    /// Takes the changes of the key space since the last call. Actions that depend on them are
    /// deferred until they are committed.
    pub fn take_changes(&mut self) -> Vec<RecordChange> {
        let dirty = self.commits.take_dirty();
        let change = |key: RecordKey| RecordChange { key: key.encode(), value: self.encode_record(key) };
        dirty.into_iter().map(change).collect()
    }

    /// Encodes the current value of a record; `None` if the record is to be deleted.
    fn encode_record(&self, key: RecordKey) -> Option<Vec<u8>> {
        match key {
            RecordKey::WorkerClass(class) => Some(self.worker_classes.record(class)?.encode()),
            RecordKey::Closed(job) if !self.jobs.contains(job) => {
                Some(self.cancelled_jobs.record(job)?.encode())
            }
            RecordKey::Job(_) | RecordKey::Closed(_) | RecordKey::Task(_) => {
                self.jobs.encode_record(key, |worker| self.workers[worker].id().to_string())
            }
        }
    }

    /// Declares that all changes taken so far are part of `batch` or of an earlier one. Batch
    /// numbers must ascend.
    pub fn assign_batch(&mut self, batch: u64) {
        self.commits.assign_batch(batch);
    }

    /// Handles the commit of all batches up to `batch`: performs the actions that waited for them.
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

    /// Takes the calls to workers that were queued since the last call of this function. The
    /// embedder makes each of them and returns its result with [`Scheduler::handle_response`].
    pub fn take_calls(&mut self) -> Vec<WorkerCall> {
        self.calls.take_calls()
    }
}
