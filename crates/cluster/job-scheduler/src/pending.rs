//! The queue of placement units (tasks and gangs) that are waiting to be placed.
use crate::ids::{JobId, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// The position of a unit in the queue: by priority, then by due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PendingKey {
    /// The priority; 0 is the highest.
    pub(crate) priority: u8,
    /// When the occurrence was due, or its job accepted if that was later, milliseconds since the
    /// Unix epoch.
    pub(crate) due_at_ms: u64,
    /// The task; for a gang, its first task.
    pub(crate) task: TaskId,
}

/// A waiting unit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingUnit {
    pub(crate) key: PendingKey,
    /// The monotonic time since which it has been waiting, milliseconds.
    pub(crate) since_ms: u64,
}

/// The longest time by which a full pass delays the next one, milliseconds: the tick interval.
const MAX_FULL_PASS_DELAY_MS: u64 = 20;

/// The units that a pass over the queue tries to place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementPass {
    /// Only units that have not been tried yet.
    Untried,
    /// All units.
    Full,
    /// Units that have not been tried yet, then all units from this key on, at which a limit on
    /// starts interrupted a full pass.
    Continued(PendingKey),
}

/// The queue of waiting units, with the state that determines which of them the next pass tries.
///
/// A unit is tried after it is added. A unit that does not fit is tried again in the next full
/// pass, which is due when a change may allow such a unit to be placed. Each full pass delays the
/// next one by 1 ms for each unit that did not fit since the full pass before it, up to
/// [`MAX_FULL_PASS_DELAY_MS`]: a pass over many such units costs as much as many starts.
#[derive(Debug, Default)]
pub(crate) struct PendingQueue {
    /// All waiting units, each with the monotonic time since which it has been waiting,
    /// milliseconds.
    units: BTreeMap<PendingKey, u64>,
    /// Units that have not been tried since they were added; a subset of `units`.
    untried: BTreeSet<PendingKey>,
    /// The key from which on the next full pass tries further units after it has stopped because
    /// too many units did not fit.
    resume_at: Option<PendingKey>,
    /// Whether a change since the last full pass began may allow a unit to be placed.
    needs_full_pass: bool,
    /// The earliest time of the next full pass, monotonic milliseconds.
    full_pass_not_before_ms: u64,
    /// The key at which a full pass that a limit on starts interrupted continues.
    interrupted_at: Option<PendingKey>,
    /// The unit at which a limit on starts ended the last pass.
    held_back: Option<PendingUnit>,
    /// Whether the next tick makes a full pass due, since a unit may be placed merely because time
    /// has passed or the last full pass left units untried.
    needs_pass_at_tick: bool,
}

impl PendingQueue {
    pub(crate) fn len(&self) -> usize {
        self.units.len()
    }

    /// Adds a unit whose waiting time begins now.
    pub(crate) fn push(&mut self, key: PendingKey, now_ms: u64) {
        self.units.insert(key, now_ms);
        self.untried.insert(key);
    }

    /// Adds a unit to be tried; one that is in the queue already keeps its waiting time.
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

    /// The tasks of the waiting units in queue order; a gang is represented by its first task.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = TaskId> {
        self.units.keys().map(|key| key.task)
    }

    /// Makes a full pass due, since capacity was freed or a worker changed and units that did not
    /// fit may fit now.
    pub(crate) fn capacity_changed(&mut self) {
        self.needs_full_pass = true;
    }

    /// Makes a full pass due at the next tick.
    pub(crate) fn retry_at_next_tick(&mut self) {
        self.needs_pass_at_tick = true;
    }

    /// Makes a full pass due at the next tick if a unit that did not fit may be placed merely
    /// because time has passed.
    pub(crate) fn retry_at_next_tick_if(&mut self, waits_for_time: bool) {
        self.needs_pass_at_tick |= waits_for_time;
    }

    /// Makes a full pass due if one was requested for this tick.
    pub(crate) fn tick(&mut self) {
        self.needs_full_pass |= std::mem::take(&mut self.needs_pass_at_tick);
    }

    // Passes.

    /// Begins the pass that is due and returns it, if any. `misses` is the number of units that did
    /// not fit since the last full pass began.
    pub(crate) fn begin_pass(&mut self, now_ms: u64, misses: usize) -> Option<PlacementPass> {
        self.held_back = None;
        if self.units.is_empty() {
            self.interrupted_at = None;
            return None;
        }
        let interrupted_at = self.interrupted_at.take();
        if self.needs_full_pass && now_ms >= self.full_pass_not_before_ms {
            self.needs_full_pass = false;
            self.full_pass_not_before_ms = now_ms + (misses as u64).min(MAX_FULL_PASS_DELAY_MS);
            return Some(PlacementPass::Full);
        }
        match interrupted_at {
            Some(key) => Some(PlacementPass::Continued(key)),
            None => (!self.untried.is_empty()).then_some(PlacementPass::Untried),
        }
    }

    /// The first unit at or after the bound `from`, in queue order.
    pub(crate) fn first_from(&self, from: Bound<PendingKey>) -> Option<PendingUnit> {
        let (key, since_ms) = self.units.range((from, Bound::Unbounded)).next()?;
        Some(PendingUnit { key: *key, since_ms: *since_ms })
    }

    /// The first unit that has not been tried, in queue order.
    pub(crate) fn first_untried(&self) -> Option<PendingUnit> {
        let key = self.untried.first()?;
        Some(PendingUnit { key: *key, since_ms: *self.units.get(key)? })
    }

    /// Marks a unit as tried by a pass.
    pub(crate) fn mark_tried(&mut self, key: &PendingKey) {
        self.untried.remove(key);
    }

    /// Ends the pass at this unit because of a limit on starts. `continue_at` is the key at which
    /// an interrupted full pass continues as soon as the limit allows more starts; `None` if no
    /// full pass was interrupted.
    pub(crate) fn hold_back(&mut self, unit: PendingUnit, continue_at: Option<PendingKey>) {
        self.held_back = Some(unit);
        self.interrupted_at = continue_at;
    }

    /// The unit at which a limit on starts ended the last pass, if it is still waiting.
    pub(crate) fn held_back(&self) -> Option<PendingUnit> {
        self.held_back.filter(|unit| self.units.contains_key(&unit.key))
    }

    /// Removes and returns the key from which on a full pass tries further units after too many did
    /// not fit.
    pub(crate) fn take_resume_point(&mut self) -> Option<PendingKey> {
        self.resume_at.take()
    }

    pub(crate) fn set_resume_point(&mut self, key: Option<PendingKey>) {
        self.resume_at = key;
    }
}
