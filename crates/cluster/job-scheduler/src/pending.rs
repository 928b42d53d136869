//! Tasks and gangs that wait to be placed, in their order.
use crate::ids::{JobId, TaskId};
use std::collections::{BTreeMap, BTreeSet};
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

/// The longest time between two full passes while something may have changed, milliseconds: the tick
/// interval.
const MAX_RETRY_INTERVAL_MS: u64 = 20;

/// What the next pass places.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementPass {
    /// Only units that were not tried yet.
    Untried,
    /// All units.
    Full,
    /// Units that were not tried yet, then all from this key on, at which a bound on starts
    /// interrupted a full pass.
    Continued(PendingKey),
}

/// The queue of units that wait to be placed, and which of them a pass is to try.
///
/// A unit is tried when it is added. One that does not fit is tried again in a full pass, which is
/// due when something changed that may let it be placed, and not before a time that grows with the
/// units that did not fit in the last: a pass over many of them costs as much as many starts.
#[derive(Debug, Default)]
pub(crate) struct PendingQueue {
    /// With the monotonic time since when each waits.
    units: BTreeMap<PendingKey, u64>,
    /// Units that were not tried since they were added; all of them are in `units`.
    untried: BTreeSet<PendingKey>,
    /// Where the next pass goes on among the units behind many that do not fit.
    resume_at: Option<PendingKey>,
    /// Something changed since the last full pass began that may let a unit be placed.
    needs_full_pass: bool,
    /// When the next full pass may begin, monotonic milliseconds.
    full_pass_not_before_ms: u64,
    /// Where a full pass that a bound on starts interrupted goes on.
    interrupted_at: Option<PendingKey>,
    /// The unit at which a bound on starts ended the last pass.
    held_back: Option<PendingUnit>,
    /// A unit waits only for time to pass: the next tick makes a full pass due.
    needs_pass_at_tick: bool,
}

impl PendingQueue {
    pub(crate) fn len(&self) -> usize {
        self.units.len()
    }

    /// Adds a unit that waits from now on.
    pub(crate) fn push(&mut self, key: PendingKey, now_ms: u64) {
        self.units.insert(key, now_ms);
        self.untried.insert(key);
    }

    /// Adds a unit, which keeps its waiting time if it was there already.
    pub(crate) fn requeue(&mut self, key: PendingKey, now_ms: u64) {
        self.units.entry(key).or_insert(now_ms);
        self.untried.insert(key);
    }

    pub(crate) fn remove(&mut self, key: &PendingKey) {
        self.units.remove(key);
        self.untried.remove(key);
    }

    pub(crate) fn remove_job(&mut self, job: JobId) {
        self.units.retain(|key, _| key.task.job != job);
        self.untried.retain(|key| key.task.job != job);
    }

    /// The tasks that wait, and the first tasks of the gangs that do, in order.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = TaskId> {
        self.units.keys().map(|key| key.task)
    }

    /// Capacity was freed or a worker changed: the next full pass may place what did not fit
    /// before.
    pub(crate) fn capacity_changed(&mut self) {
        self.needs_full_pass = true;
    }

    /// Makes a full pass due at the next tick.
    pub(crate) fn retry_at_next_tick(&mut self) {
        self.needs_pass_at_tick = true;
    }

    /// The same, if a unit that did not fit waits only for time to pass.
    pub(crate) fn retry_at_next_tick_if(&mut self, waits_for_time: bool) {
        self.needs_pass_at_tick |= waits_for_time;
    }

    /// A tick: passes that waited for it are due.
    pub(crate) fn tick(&mut self) {
        self.needs_full_pass |= std::mem::take(&mut self.needs_pass_at_tick);
    }

    // Passes.

    /// Begins the pass that is due, if any. `misses` is the number of units that did not fit since
    /// the last full pass began.
    pub(crate) fn begin_pass(&mut self, now_ms: u64, misses: usize) -> Option<PlacementPass> {
        self.held_back = None;
        if self.units.is_empty() {
            self.interrupted_at = None;
            return None;
        }
        let interrupted_at = self.interrupted_at.take();
        if self.needs_full_pass && now_ms >= self.full_pass_not_before_ms {
            self.needs_full_pass = false;
            self.full_pass_not_before_ms = now_ms + (misses as u64).min(MAX_RETRY_INTERVAL_MS);
            return Some(PlacementPass::Full);
        }
        match interrupted_at {
            Some(key) => Some(PlacementPass::Continued(key)),
            None => (!self.untried.is_empty()).then_some(PlacementPass::Untried),
        }
    }

    /// The first unit from this key on, in order.
    pub(crate) fn first_from(&self, from: Bound<PendingKey>) -> Option<PendingUnit> {
        let (key, since_ms) = self.units.range((from, Bound::Unbounded)).next()?;
        Some(PendingUnit { key: *key, since_ms: *since_ms })
    }

    /// The first unit that was not tried, in order.
    pub(crate) fn first_untried(&self) -> Option<PendingUnit> {
        let key = self.untried.first()?;
        Some(PendingUnit { key: *key, since_ms: *self.units.get(key)? })
    }

    /// A pass has tried a unit.
    pub(crate) fn mark_tried(&mut self, key: &PendingKey) {
        self.untried.remove(key);
    }

    /// A bound on starts ended the pass at this unit: it goes on as soon as the bound allows more, a
    /// full pass at the key `continue_at`.
    pub(crate) fn hold_back(&mut self, unit: PendingUnit, continue_at: Option<PendingKey>) {
        self.held_back = Some(unit);
        self.interrupted_at = continue_at;
    }

    /// The unit at which a bound on starts ended the last pass, if it still waits.
    pub(crate) fn held_back(&self) -> Option<PendingUnit> {
        self.held_back.filter(|unit| self.units.contains_key(&unit.key))
    }

    /// Where the last pass stopped behind the units that do not fit; forgotten by this call.
    pub(crate) fn take_resume_point(&mut self) -> Option<PendingKey> {
        self.resume_at.take()
    }

    pub(crate) fn set_resume_point(&mut self, key: Option<PendingKey>) {
        self.resume_at = key;
    }
}
