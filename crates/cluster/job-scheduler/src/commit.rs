//! Write first, then act: the records that changed, and the actions that wait until these are
//! durable.
use crate::ids::{RunId, WorkerIndex};
use crate::record::RecordKey;
use std::collections::{BTreeSet, VecDeque};

/// An action that waits for a commit.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DeferredAction {
    /// Send the start of a run.
    SendStart(RunId),
    /// Acknowledge a worker's ends up to this number.
    AcknowledgeEnds { worker: WorkerIndex, up_to: u64 },
}

/// An action with the batch that it waits for.
#[derive(Clone, Copy, Debug)]
struct WaitingAction {
    batch: u64,
    action: DeferredAction,
}

/// Changed records and deferred actions.
///
/// An action is first staged, then assigned to the batch that holds all changes made before it, and
/// released when that batch is committed. Batch numbers ascend, so actions are released in the
/// order in which they were deferred.
#[derive(Debug, Default)]
pub(crate) struct CommitQueue {
    dirty: BTreeSet<RecordKey>,
    staged: Vec<DeferredAction>,
    waiting: VecDeque<WaitingAction>,
    /// How many of these actions are starts.
    deferred_starts: usize,
}

impl CommitQueue {
    /// Has a record written with the next batch.
    pub(crate) fn mark_dirty(&mut self, key: RecordKey) {
        self.dirty.insert(key);
    }

    /// The records that changed since the last call.
    pub(crate) fn take_dirty(&mut self) -> BTreeSet<RecordKey> {
        std::mem::take(&mut self.dirty)
    }

    /// Defers an action until the changes made so far are committed.
    pub(crate) fn defer(&mut self, action: DeferredAction) {
        self.deferred_starts += usize::from(matches!(action, DeferredAction::SendStart(_)));
        self.staged.push(action);
    }

    /// The changes taken so far are in `batch`, or in an earlier one.
    pub(crate) fn assign_batch(&mut self, batch: u64) {
        self.waiting.extend(self.staged.drain(..).map(|action| WaitingAction { batch, action }));
    }

    /// The next action that `committed_batch` releases.
    pub(crate) fn pop_committed(&mut self, committed_batch: u64) -> Option<DeferredAction> {
        let released = self.waiting.pop_front_if(|waiting| waiting.batch <= committed_batch)?;
        self.deferred_starts -= usize::from(matches!(released.action, DeferredAction::SendStart(_)));
        Some(released.action)
    }

    /// The number of starts that wait for their commit.
    pub(crate) fn deferred_starts(&self) -> usize {
        self.deferred_starts
    }
}
