//! This machine's own replica of the key space.
use crate::interface::RecoveredState;
use crate::keyspace::Keyspace;
use crate::view::Position;

/// The key space of this machine and its position.
///
/// Invariant: unless `repair_incomplete`, `keyspace` is the state that the primary of
/// `position.term` had after the batch `position.sequence`.
#[derive(Clone, Debug)]
pub(super) struct LocalState {
    pub(super) keyspace: Keyspace,
    pub(super) position: Position,
    /// Whether a repair has begun and not completed, so that the key space equals no state of any
    /// primary.
    pub(super) repair_incomplete: bool,
    /// Whether the key space holds records that the embedder cannot read, so that this machine must
    /// not become primary before its replica is repaired.
    pub(super) ineligible: bool,
}

impl LocalState {
    /// Creates the state from a recovered data folder.
    pub(super) fn recovered(state: RecoveredState) -> Self {
        LocalState {
            keyspace: state.keyspace,
            position: state.position,
            repair_incomplete: state.repair_incomplete,
            ineligible: false,
        }
    }

    /// Whether a machine with this replica may become primary.
    pub(super) fn may_become_primary(&self) -> bool {
        !self.repair_incomplete && !self.ineligible
    }

    /// Records that a batch from a primary was applied: the replica now equals that primary's, so
    /// any repair is complete.
    pub(super) fn record_applied_batch(&mut self, position: Position) {
        self.position = position;
        self.repair_incomplete = false;
        self.ineligible = false;
    }
}
