//! Worker classes: which kinds of workers were ever listed, and how many of each at once.
//!
//! Whether a job can run at all is judged by the classes rather than by the workers of the moment.
//! The classes are stored, so that a scheduler of a later term also knows workers that are down
//! when it starts.
use super::Worker;
use super::worker::has_all_labels;
use crate::ids::WorkerClassId;
use crate::record::WorkerClassRecord;
use crate::resources::Resources;
use compact_str::CompactString;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// The number of classes from which on further ones are not stored. It bounds the key space if the
/// platform gives each worker labels of its own.
const MAX_STORED_CLASSES: u32 = 4_096;

/// What workers of one class have in common. Each of them can run the same tasks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct WorkerClass {
    service: CompactString,
    labels: Vec<CompactString>,
    capacity: Resources,
}

impl WorkerClass {
    fn of(worker: &Worker) -> Self {
        WorkerClass {
            service: worker.service().clone(),
            labels: worker.labels().to_vec(),
            capacity: worker.capacity(),
        }
    }

    pub(crate) fn service(&self) -> &CompactString {
        &self.service
    }

    pub(crate) fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Whether workers of this class have all labels in `wanted`.
    pub(crate) fn has_labels(&self, wanted: &[String]) -> bool {
        has_all_labels(&self.labels, wanted)
    }
}

/// A class and how many of its workers were ever listed at once.
#[derive(Clone, Debug)]
pub(crate) struct SeenClass {
    pub(crate) class: WorkerClass,
    pub(crate) max_workers: u32,
}

/// All classes of workers that were ever listed, in this term or an earlier one.
///
/// Invariant: `max_workers` of a class only rises, so a job that fits the classes once always does.
#[derive(Debug, Default)]
pub(crate) struct WorkerClasses {
    seen: BTreeMap<WorkerClassId, SeenClass>,
    ids: FxHashMap<WorkerClass, WorkerClassId>,
}

impl WorkerClasses {
    pub(crate) fn iter(&self) -> impl Iterator<Item = &SeenClass> {
        self.seen.values()
    }

    /// The class of a worker, which is added if it is new.
    pub(crate) fn find_or_add(&mut self, worker: &Worker) -> WorkerClassId {
        let class = WorkerClass::of(worker);
        if let Some(id) = self.ids.get(&class) {
            return *id;
        }
        let id = self.seen.last_key_value().map_or(WorkerClassId(0), |(last, _)| last.next());
        self.add(id, class, 0);
        id
    }

    fn add(&mut self, id: WorkerClassId, class: WorkerClass, max_workers: u32) {
        self.ids.insert(class.clone(), id);
        self.seen.insert(id, SeenClass { class, max_workers });
    }

    /// The largest number of workers of the class that were ever listed at once.
    pub(crate) fn max_workers(&self, id: WorkerClassId) -> u32 {
        self.seen.get(&id).map_or(0, |seen| seen.max_workers)
    }

    /// Raises the largest number of workers of the class to `workers`.
    pub(crate) fn raise_max_workers(&mut self, id: WorkerClassId, workers: u32) {
        if let Some(seen) = self.seen.get_mut(&id) {
            seen.max_workers = seen.max_workers.max(workers);
        }
    }

    // Records.

    /// Whether the class has a record.
    pub(crate) fn is_stored(id: WorkerClassId) -> bool {
        id.0 < MAX_STORED_CLASSES
    }

    /// Restores a class from its record.
    pub(crate) fn restore(&mut self, id: WorkerClassId, record: WorkerClassRecord) {
        let capacity = Resources {
            cpu_millicores: record.cpu_millicores,
            memory_mb: record.memory_mb,
            gpus: record.gpus,
        };
        let labels = record.labels.iter().map(|label| label.as_str().into()).collect();
        let class = WorkerClass { service: record.service.as_str().into(), labels, capacity };
        self.add(id, class, record.max_workers);
    }

    /// The record of a class; `None` if there is no such class.
    pub(crate) fn record(&self, id: WorkerClassId) -> Option<WorkerClassRecord> {
        let SeenClass { class, max_workers } = self.seen.get(&id)?;
        Some(WorkerClassRecord {
            service: class.service.to_string(),
            labels: class.labels.iter().map(ToString::to_string).collect(),
            cpu_millicores: class.capacity.cpu_millicores,
            memory_mb: class.capacity.memory_mb,
            gpus: class.capacity.gpus,
            max_workers: *max_workers,
        })
    }
}
