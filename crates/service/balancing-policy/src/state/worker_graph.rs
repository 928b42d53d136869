//! The graph of the ready workers of one machine kind, an expander graph of the crate
//! `spanlead-expander-walk`.

use super::worker::Worker;
use crate::api::WorkerState;
use spanlead_expander_walk::{CyclePositions, Expander, Vertex};
use std::ops::{Deref, DerefMut};

/// A worker's index in the fleet. The workers are the vertices of the graphs.
pub(crate) use spanlead_expander_walk::VertexIndex as WorkerIndex;

impl Vertex for Worker {
    fn cycle_positions(&self) -> &CyclePositions {
        &self.cycle_positions
    }
}

/// The graph on which the jobs of one machine kind are placed.
pub(crate) struct WorkerGraph {
    /// The machine kind; `None` for the graph of all machine kinds.
    pub(crate) machine_kind: Option<u32>,
    expander: Expander,
}

impl WorkerGraph {
    /// Creates a graph without workers.
    pub(crate) fn new(machine_kind: Option<u32>) -> Self {
        WorkerGraph { machine_kind, expander: Expander::default() }
    }

    /// Adds those of the changed workers that are ready and of the graph's machine kind; removes
    /// the other changed workers.
    pub(crate) fn update_members(&mut self, workers: &[Worker], changed: &[WorkerIndex]) {
        let machine_kind = self.machine_kind;
        let belongs = |worker: &Worker| {
            worker.state == WorkerState::Ready && machine_kind.is_none_or(|kind| kind == worker.machine_kind)
        };
        self.expander.update(workers, changed, belongs);
    }
}

impl Deref for WorkerGraph {
    type Target = Expander;

    fn deref(&self) -> &Expander {
        &self.expander
    }
}

impl DerefMut for WorkerGraph {
    fn deref_mut(&mut self) -> &mut Expander {
        &mut self.expander
    }
}
