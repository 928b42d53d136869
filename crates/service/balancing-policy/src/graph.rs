//! The walkers' graph over the ready workers of one kind; the graph itself is the crate `spanlead-walkers`.
use crate::api::WorkerState;
use crate::worker::Worker;
use spanlead_expander_walk::{Expander, Places, Vertex};
use std::ops::{Deref, DerefMut};

pub(crate) use spanlead_expander_walk::{CYCLES, Walker, below, unit};

impl Vertex for Worker {
    fn places(&self) -> &Places {
        &self.hash
    }
}

/// The graph that the jobs of one kind walk.
pub(crate) struct Graph {
    pub kind: Option<u32>,
    expander: Expander,
}

impl Graph {
    pub fn new(kind: Option<u32>) -> Self {
        Graph { kind, expander: Expander::default() }
    }

    /// Takes the workers at `moved` in or out in one pass: one by one, a large list would cost its square.
    pub fn settle(&mut self, workers: &[Worker], moved: &[u32]) {
        let kind = self.kind;
        let ready = |w: &Worker| w.state == WorkerState::Ready && kind.is_none_or(|k| k == w.kind);
        self.expander.settle(workers, moved, ready);
    }
}

impl Deref for Graph {
    type Target = Expander;

    fn deref(&self) -> &Expander {
        &self.expander
    }
}

impl DerefMut for Graph {
    fn deref_mut(&mut self) -> &mut Expander {
        &mut self.expander
    }
}
