//! The worker registry: all workers that the platform has listed in this term or that stored
//! records name.
mod allocation;
mod class;
mod clock;
mod health;
mod lease;
mod worker;

pub(crate) use allocation::Orphan;
pub(crate) use class::WorkerClasses;
pub(crate) use clock::WorkerClock;
pub(crate) use lease::WorkerLease;
pub(crate) use worker::{ListingState, Worker};

use crate::ids::WorkerIndex;
use rustc_hash::FxHashMap;
use std::ops::{Index, IndexMut};
use std::sync::Arc;

/// All workers, by index and identifier. Workers are never removed: one that no longer exists keeps
/// its index.
#[derive(Debug, Default)]
pub(crate) struct WorkerRegistry {
    workers: Vec<Worker>,
    by_id: FxHashMap<Arc<str>, WorkerIndex>,
}

impl WorkerRegistry {
    /// Adds a worker and returns its index.
    pub(crate) fn add(&mut self, worker: Worker) -> WorkerIndex {
        let index = WorkerIndex(self.workers.len() as u32);
        self.by_id.insert(worker.id().clone(), index);
        self.workers.push(worker);
        index
    }

    /// The index of the worker with this identifier.
    pub(crate) fn find(&self, id: &str) -> Option<WorkerIndex> {
        self.by_id.get(id).copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.workers.len()
    }

    /// All workers, ordered by index.
    pub(crate) fn as_slice(&self) -> &[Worker] {
        &self.workers
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Worker> {
        self.workers.iter_mut()
    }

    pub(crate) fn iter_indexed(&self) -> impl Iterator<Item = (WorkerIndex, &Worker)> {
        self.indices().zip(&self.workers)
    }

    pub(crate) fn indices(&self) -> impl Iterator<Item = WorkerIndex> + use<> {
        (0..self.workers.len() as u32).map(WorkerIndex)
    }
}

impl Index<WorkerIndex> for WorkerRegistry {
    type Output = Worker;

    fn index(&self, index: WorkerIndex) -> &Worker {
        &self.workers[index.0 as usize]
    }
}

impl IndexMut<WorkerIndex> for WorkerRegistry {
    fn index_mut(&mut self, index: WorkerIndex) -> &mut Worker {
        &mut self.workers[index.0 as usize]
    }
}
