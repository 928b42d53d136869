//! Tasks and gangs that wait to be placed, in their order.
use crate::ids::{JobId, TaskId};
use std::collections::BTreeMap;
use std::ops::Bound;

/// The position of a unit in the queue: by priority, then by the time that its job was due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PendingKey {
    /// 0 is the highest.
    pub(crate) priority: u8,
    /// Milliseconds since 1970.
    pub(crate) due_at_ms: u64,
    /// The task; for a gang its first.
    pub(crate) task: TaskId,
}

/// A unit that waits, and since when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingUnit {
    pub(crate) key: PendingKey,
    pub(crate) since_ms: u64,
}

/// The queue of units that wait to be placed, and whether a pass over it can place any.
#[derive(Debug, Default)]
pub(crate) struct PendingQueue {
    /// With the monotonic time since when each waits.
    units: BTreeMap<PendingKey, u64>,
    /// Where the next pass goes on among the units behind many that do not fit.
    resume_at: Option<PendingKey>,
    /// Something changed since the last pass that may let a unit be placed.
    needs_pass: bool,
    /// The unit at which a bound on starts ended the last pass.
    held_back: Option<PendingUnit>,
    /// A unit waits only for time to pass: the next tick starts a pass.
    needs_pass_at_tick: bool,
}

impl PendingQueue {
    pub(crate) fn len(&self) -> usize {
        self.units.len()
    }

    /// Adds a unit that waits from now on.
    pub(crate) fn push(&mut self, key: PendingKey, now_ms: u64) {
        self.units.insert(key, now_ms);
        self.needs_pass = true;
    }

    /// Adds a unit, which keeps its waiting time if it was there already.
    pub(crate) fn requeue(&mut self, key: PendingKey, now_ms: u64) {
        self.units.entry(key).or_insert(now_ms);
        self.needs_pass = true;
    }

    pub(crate) fn remove(&mut self, key: &PendingKey) {
        self.units.remove(key);
    }

    pub(crate) fn remove_job(&mut self, job: JobId) {
        self.units.retain(|key, _| key.task.job != job);
    }

    /// The tasks that wait, and the first tasks of the gangs that do, in order.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = TaskId> {
        self.units.keys().map(|key| key.task)
    }

    /// Capacity was freed or a worker changed: the next pass may place what did not fit before.
    pub(crate) fn capacity_changed(&mut self) {
        self.needs_pass = true;
    }

    /// A bound on starts ended the pass at this unit: it goes on as soon as the bound allows more.
    pub(crate) fn hold_back(&mut self, unit: PendingUnit) {
        self.needs_pass = true;
        self.held_back = Some(unit);
    }

    /// The unit at which a bound on starts ended the last pass, if it still waits.
    pub(crate) fn held_back(&self) -> Option<PendingUnit> {
        self.held_back.filter(|unit| self.units.contains_key(&unit.key))
    }

    /// Has the next tick start a pass.
    pub(crate) fn retry_at_next_tick(&mut self) {
        self.needs_pass_at_tick = true;
    }

    /// The same, if a unit that did not fit waits only for time to pass.
    pub(crate) fn retry_at_next_tick_if(&mut self, waits_for_time: bool) {
        self.needs_pass_at_tick |= waits_for_time;
    }

    /// A tick: passes that waited for it are due.
    pub(crate) fn tick(&mut self) {
        self.needs_pass |= std::mem::take(&mut self.needs_pass_at_tick);
    }

    /// Whether a pass is due. It counts as begun then.
    pub(crate) fn begin_pass(&mut self) -> bool {
        self.held_back = None;
        std::mem::take(&mut self.needs_pass) && !self.units.is_empty()
    }

    /// The first unit from this key on, in order.
    pub(crate) fn first_from(&self, from: Bound<PendingKey>) -> Option<PendingUnit> {
        let (key, since_ms) = self.units.range((from, Bound::Unbounded)).next()?;
        Some(PendingUnit { key: *key, since_ms: *since_ms })
    }

    /// Where the last pass stopped behind the units that do not fit; forgotten by this call.
    pub(crate) fn take_resume_point(&mut self) -> Option<PendingKey> {
        self.resume_at.take()
    }

    pub(crate) fn set_resume_point(&mut self, key: Option<PendingKey>) {
        self.resume_at = key;
    }
}
