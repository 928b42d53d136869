//! This machine's own replica of the key space.
use crate::interface::RecoveredState;
use crate::keyspace::Keyspace;
use crate::view::Position;

/// The key space of this machine and how far it is.
///
/// Invariant: unless `repair_incomplete`, `keyspace` is the state that the primary of
/// `position.term` had after the batch `position.sequence`.
#[derive(Clone, Debug)]
pub(super) struct LocalState {
    pub(super) keyspace: Keyspace,
    pub(super) position: Position,
    /// Whether an unfinished repair has left the key space between two states.
    pub(super) repair_incomplete: bool,
    /// Whether the key space holds records that the embedder can't read, so that this machine must
    /// not become primary before it is repaired.
    pub(super) ineligible: bool,
    /// The last batch on this machine's disk.
    pub(super) durable_sequence: u64,
}

impl LocalState {
    /// What the data folder holds.
    pub(super) fn recovered(state: RecoveredState) -> Self {
        LocalState {
            keyspace: state.keyspace,
            position: state.position,
            repair_incomplete: state.repair_incomplete,
            ineligible: false,
            durable_sequence: state.position.sequence,
        }
    }

    /// Whether a machine with this replica may become primary.
    pub(super) fn may_lead(&self) -> bool {
        !self.repair_incomplete && !self.ineligible
    }

    /// A batch from a primary was applied: the replica equals that primary's, and so any repair is
    /// complete.
    pub(super) fn batch_applied(&mut self, position: Position) {
        self.position = position;
        self.repair_incomplete = false;
        self.ineligible = false;
    }
}
