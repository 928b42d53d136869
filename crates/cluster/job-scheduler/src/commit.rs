//! Output commit: the records that changed, and the actions deferred until those records are
//! durable.
use crate::ids::{RunId, WorkerIndex};
use crate::record::RecordKey;
use std::collections::{BTreeSet, VecDeque};

/// An action that is deferred until the changes made before it are committed.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DeferredAction {
    /// Send a run's start request.
    SendStart(RunId),
    /// Acknowledge a worker's run ends up to this number.
    AcknowledgeEnds { worker: WorkerIndex, up_to: u64 },
}

/// A deferred action and the batch whose commit releases it.
#[derive(Clone, Copy, Debug)]
struct WaitingAction {
    batch: u64,
    action: DeferredAction,
}

/// The set of changed records and the queue of deferred actions.
///
/// An action is first staged, then assigned to the batch by which all changes made before it are
/// written, and released when that batch is committed. Batch numbers ascend, so actions are
/// released in the order in which they were deferred.
#[derive(Debug, Default)]
pub(crate) struct CommitQueue {
    dirty: BTreeSet<RecordKey>,
    staged: Vec<DeferredAction>,
    waiting: VecDeque<WaitingAction>,
    /// The number of starts among the staged and waiting actions.
    deferred_starts: usize,
}

impl CommitQueue {
    /// Marks a record to be written with the next batch.
    pub(crate) fn mark_dirty(&mut self, key: RecordKey) {
        self.dirty.insert(key);
    }

    /// Returns the keys of the records that changed since the last call.
    pub(crate) fn take_dirty(&mut self) -> BTreeSet<RecordKey> {
        std::mem::take(&mut self.dirty)
    }

    /// Defers an action until the changes made so far are committed.
    pub(crate) fn defer(&mut self, action: DeferredAction) {
        self.deferred_starts += usize::from(matches!(action, DeferredAction::SendStart(_)));
        self.staged.push(action);
    }

    /// Assigns the staged actions to `batch`: the changes taken so far are in it or in earlier
    /// ones.
    pub(crate) fn assign_batch(&mut self, batch: u64) {
        self.waiting.extend(self.staged.drain(..).map(|action| WaitingAction { batch, action }));
    }

    /// Removes and returns the next action whose batch is at most `committed_batch`.
    pub(crate) fn pop_committed(&mut self, committed_batch: u64) -> Option<DeferredAction> {
        let released = self.waiting.pop_front_if(|waiting| waiting.batch <= committed_batch)?;
        self.deferred_starts -= usize::from(matches!(released.action, DeferredAction::SendStart(_)));
        Some(released.action)
    }

    /// The number of starts that are deferred until their commit.
    pub(crate) fn deferred_starts(&self) -> usize {
        self.deferred_starts
    }
}
