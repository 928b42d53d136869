//! Passes over the pending queue, which assign units (tasks and gangs) to workers as far as there
//! is capacity.
use super::Scheduler;
use crate::commit::DeferredAction;
use crate::config::Now;
use crate::events::Event;
use crate::ids::{RunId, TaskId, WorkerIndex};
use crate::metrics::StartLimit;
use crate::pending::{PendingKey, PendingUnit, PlacementPass};
use crate::placement::{Placement, PlacementMisses, PlacementRequest};
use crate::spec::Stage;
use compact_str::CompactString;
use std::ops::Bound;

/// The maximum number of starts that wait for a commit or a response.
const MAX_STARTS_IN_FLIGHT: usize = 160;
/// The number of timed-out starts without a call result that do not count towards
/// [`MAX_STARTS_IN_FLIGHT`]: workers that do not respond must not hold back starts on others.
const MAX_STARTS_IN_DOUBT: usize = 160;
/// The waiting time from which on a unit at which a limit on starts ended a pass counts as held
/// back, milliseconds.
const HELD_BACK_MS: u64 = 500;
/// The number of units without capacity above which a pass skips to the resume point.
const MAX_MISSES: usize = 200;
/// The number of further units without capacity that a pass tries from the resume point on.
const MAX_RESUMED_MISSES: usize = 32;

impl PendingUnit {
    /// The placement request for this unit.
    fn request<'a>(self, stage: &'a Stage, service: &'a CompactString, now: Now) -> PlacementRequest<'a> {
        let now_ms = now.monotonic_ms;
        let waited_ms = now_ms.saturating_sub(self.since_ms);
        PlacementRequest { task: self.key.task, stage, service, waited_ms, now_ms }
    }
}

impl Scheduler {
    /// Places pending tasks and gangs, as far as there is capacity. The embedder calls it after
    /// each input, so that starts share a batch with the events that caused them.
    pub fn place_ready_tasks(&mut self, now: Now) {
        // A due pass stays due while no start is allowed.
        if self.available_starts() == 0 {
            return;
        }
        let Some(pass) = self.pending.begin_pass(now.monotonic_ms, self.misses.count()) else { return };
        let mut misses = std::mem::take(&mut self.misses);
        match pass {
            PlacementPass::Untried => self.place_untried_units(now, &mut misses, None),
            PlacementPass::Full => {
                self.placer.begin_full_pass(&self.workers, misses.count());
                misses = PlacementMisses::default();
                self.place_all_units(now, Bound::Unbounded, &mut misses);
            }
            PlacementPass::Continued(key) => {
                self.place_untried_units(now, &mut misses, Some(key));
                self.place_all_units(now, Bound::Included(key), &mut misses);
            }
        }
        self.misses = misses;
    }

    /// Places units that have not been tried yet, unless a unit of higher priority waits for
    /// capacity, which has precedence. Units from `end` on are left to the interrupted full pass
    /// that continues there.
    fn place_untried_units(&mut self, now: Now, misses: &mut PlacementMisses, end: Option<PendingKey>) {
        while let Some(unit) = self.pending.first_untried() {
            if end.is_some_and(|end| unit.key >= end) {
                return;
            }
            if self.available_starts() == 0 {
                return self.pending.hold_back(unit, end);
            }
            self.pending.mark_tried(&unit.key);
            let is_outranked = misses.highest_priority().is_some_and(|priority| priority < unit.key.priority);
            if is_outranked || misses.count() > MAX_MISSES {
                // Left to the next full pass.
                self.pending.capacity_changed();
            } else {
                self.place_unit(now, unit, misses);
            }
        }
    }

    /// Places all units from a key on, or a part of them if too many have no capacity.
    fn place_all_units(&mut self, now: Now, from: Bound<PendingKey>, misses: &mut PlacementMisses) {
        if let Some(stopped_at) = self.place_units(now, from, misses, MAX_MISSES) {
            // Units after so many without capacity would never be tried. Each pass therefore tries
            // a few of them, beginning where the last pass stopped.
            let resume_at = self.pending.take_resume_point().unwrap_or(stopped_at).max(stopped_at);
            let is_past_end = self.pending.first_from(Bound::Included(resume_at)).is_none();
            let resume_at = if is_past_end { stopped_at } else { resume_at };
            let max_misses = misses.count() + MAX_RESUMED_MISSES;
            let stopped_at = self.place_units(now, Bound::Included(resume_at), misses, max_misses);
            self.pending.set_resume_point(stopped_at);
            self.pending.retry_at_next_tick();
        }
    }

    /// Places units from `from` on in queue order. Returns the key of the unit at which it stopped
    /// because more than `max_misses` units had no capacity; otherwise `None`.
    fn place_units(
        &mut self,
        now: Now,
        mut from: Bound<PendingKey>,
        misses: &mut PlacementMisses,
        max_misses: usize,
    ) -> Option<PendingKey> {
        while let Some(unit) = self.pending.first_from(from) {
            if misses.count() > max_misses {
                return Some(unit.key);
            }
            if self.available_starts() == 0 {
                // Units that can't start now stay in the pending queue, which is ordered by
                // priority.
                self.pending.hold_back(unit, Some(unit.key));
                return None;
            }
            self.pending.mark_tried(&unit.key);
            self.place_unit(now, unit, misses);
            from = Bound::Excluded(unit.key);
        }
        None
    }

    /// The number of further starts that the limits allow at present: on starts waiting for a
    /// commit or a response, on starts between two ticks, and on calls in flight.
    fn available_starts(&self) -> usize {
        self.remaining_in_flight_starts().min(self.throttle.remaining()).min(self.calls.remaining())
    }

    /// The number of further starts that may wait for a commit or a response.
    fn remaining_in_flight_starts(&self) -> usize {
        let in_doubt = self.calls.starts_in_doubt().saturating_sub(MAX_STARTS_IN_DOUBT);
        let in_flight = self.commits.deferred_starts() + self.calls.starts_in_flight() + in_doubt;
        MAX_STARTS_IN_FLIGHT.saturating_sub(in_flight)
    }

    /// The limit that allows no further start at present, if any.
    fn reached_start_limit(&self) -> Option<StartLimit> {
        match (self.remaining_in_flight_starts(), self.throttle.remaining(), self.calls.remaining()) {
            (0, _, _) => Some(StartLimit::InFlight),
            (_, 0, _) => Some(StartLimit::Throttle),
            (_, _, 0) => Some(StartLimit::Calls),
            _ => None,
        }
    }

    /// Reports in the log and the metrics if a unit that has waited for at least [`HELD_BACK_MS`]
    /// is held back by a limit on starts rather than a lack of capacity.
    pub(super) fn report_held_back_starts(&mut self, now_ms: u64) {
        let Some(first) = self.pending.held_back() else { return };
        let waited_ms = now_ms.saturating_sub(first.since_ms);
        let Some(limit) = self.reached_start_limit().filter(|_| waited_ms >= HELD_BACK_MS) else { return };
        self.metrics.held_back_checks += 1;
        self.metrics.held_back_by = Some(limit);
        log::info!(
            "starts held back bound={limit:?} waited_ms={waited_ms} pending={} in_flight={} in_doubt={}",
            self.pending.len(),
            self.commits.deferred_starts() + self.calls.starts_in_flight(),
            self.calls.starts_in_doubt(),
        );
    }

    /// Places a task or gang, if there is capacity.
    fn place_unit(&mut self, now: Now, unit: PendingUnit, misses: &mut PlacementMisses) {
        self.metrics.placement_attempts += 1;
        if self.jobs.is_gang(unit.key.task) {
            self.place_gang(now, unit, misses);
        } else {
            self.place_task(now, unit, misses);
        }
    }

    fn place_task(&mut self, now: Now, unit: PendingUnit, misses: &mut PlacementMisses) {
        let id = unit.key.task;
        let Some(job) = self.jobs.get(id.job) else { return };
        let Some(stage) = job.stage(id.stage) else { return };
        let service = job.service();
        if misses.covers(service, stage) {
            return;
        }
        let Some(task) = self.jobs.task(id) else { return };
        let (is_hedged, run) = (task.has_active_runs(), task.last_run() + 1);
        if is_hedged && !self.allows_hedged_run(id) {
            // The unit was queued for a hedged run, and the active run is no longer in doubt.
            return self.pending.remove(&unit.key);
        }
        let request = unit.request(stage, service, now);
        match self.placer.place_task(&self.jobs, &self.workers, &request) {
            Placement::On(worker) => {
                self.metrics.hedged_runs += u64::from(is_hedged);
                self.assign(now, RunId { task: id, run }, worker);
                self.complete_unit(now, unit, 1);
            }
            miss => {
                misses.add(unit.key.priority, service, stage);
                self.pending.retry_at_next_tick_if(miss == Placement::WaitForRack);
            }
        }
    }

    /// Places all members of a gang with the same run number, or none of them.
    fn place_gang(&mut self, now: Now, unit: PendingUnit, misses: &mut PlacementMisses) {
        let first = unit.key.task;
        let Some(job) = self.jobs.get(first.job) else { return };
        let Some(stage) = job.stage(first.stage) else { return };
        let service = job.service();
        let Some(run) = self.next_gang_run(first) else {
            return misses.add(unit.key.priority, service, stage);
        };
        let request = unit.request(stage, service, now);
        match self.placer.place_gang(&self.jobs, &mut self.workers, &request) {
            Placement::On(workers) => {
                let starts = workers.len();
                for (task, worker) in self.jobs.tasks_of_stage(first).zip(workers) {
                    self.assign(now, RunId { task, run }, worker);
                }
                self.complete_unit(now, unit, starts);
            }
            miss => {
                misses.add(unit.key.priority, service, stage);
                self.pending.retry_at_next_tick_if(miss == Placement::WaitForRack);
            }
        }
    }

    /// The number of a gang's next run, which all members share; `None` while any member has an
    /// active run.
    fn next_gang_run(&self, first: TaskId) -> Option<u32> {
        let mut last_run = 0;
        for member in self.jobs.tasks_of_stage(first).filter_map(|member| self.jobs.task(member)) {
            if member.has_active_runs() {
                return None;
            }
            last_run = last_run.max(member.last_run());
        }
        Some(last_run + 1)
    }

    /// Assigns a run to a worker, and defers its start until the record is committed.
    fn assign(&mut self, now: Now, run: RunId, worker: WorkerIndex) {
        self.record_event(now.monotonic_ms, Event::RunAssigned { run, worker });
        self.commits.defer(DeferredAction::SendStart(run));
    }

    /// Removes a placed unit from the queue, and counts its starts and its waiting time.
    fn complete_unit(&mut self, now: Now, unit: PendingUnit, starts: usize) {
        let waited_ms = now.monotonic_ms.saturating_sub(unit.since_ms);
        self.metrics.start_latencies.placement.record(waited_ms);
        self.throttle.consume(starts);
        self.pending.remove(&unit.key);
    }
}
