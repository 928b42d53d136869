//! The selection of the candidate that gets a job, and the send.

use super::Dispatcher;
use super::permit::Permit;
use crate::api::{Action, LoadReporting, MILLISECOND, Nanos};
use crate::state::{Attempt, AttemptState, Job, JobNumber, Worker, WorkerIndex};

/// The age below which a load report makes a probe unnecessary, if responses carry load reports.
const FRESH_REPORT_AGE: Nanos = 400 * MILLISECOND;

/// The factor on the price of a send across zones, in the choice among workers with equally few own
/// slots. With the price alone, a second free slot in a stale report outweighed the crossing.
const CROSS_ZONE_FACTOR: f64 = 8.0;

/// The cost of each free slot that a worker has less than [`MAX_COUNTED_FREE_SLOTS`], as a fraction
/// of a request's value.
const FREE_SLOT_COST: f64 = 0.1;

/// Free slots beyond this number do not lower a worker's cost.
const MAX_COUNTED_FREE_SLOTS: f64 = 2.0;

/// The cost of a slowness of 1, as a fraction of a request's value.
const SLOWNESS_COST: f64 = 0.2;

/// The number of samples at which half of a worker's slowness counts.
const SLOWNESS_HALF_SAMPLES: f64 = 2.0;

/// The cost of a worker of weight 1, as a fraction of a request's value. It is divided by the
/// worker's weight.
const WEIGHT_COST: f64 = 0.1;

/// The lower bound of a worker's weight in its cost.
const MIN_WEIGHT: f64 = 0.1;

/// A worker has room if its free slots fall short of a job's slots by at most this number.
const SLOT_TOLERANCE: f64 = 0.5;

/// The additional shortfall that is accepted if the job would be the first in the worker's queue.
/// Slots become free before reports show it, so the job starts earlier than if it waited for a
/// reported free slot. It applies only if reports contain the queue depth: otherwise every
/// dispatcher would add to a queue that none of them can see.
const FIRST_IN_QUEUE_TOLERANCE: f64 = 0.5;

/// Without reports, a worker counts as having room for this many ticks after this dispatcher last
/// used a connection to it.
const ROOM_TICKS_WITHOUT_REPORTS: Nanos = 3;

/// The candidates to which a job may be bound, by the information available about them.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CandidateFilter {
    /// All candidates.
    All,
    /// Candidates with a fresh report.
    FreshlyReported,
    /// Candidates with a fresh report or a successful probe since the job's probes were sent.
    FreshlyReportedOrProbed,
}

/// The order of preference of candidates: by own slots in flight plus the cost of a fetch, then by
/// cost.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    load: f64,
    cost: f64,
}

/// A candidate that can get the job now.
struct RankedCandidate {
    rank: Rank,
    permit: Permit,
}

/// A test of whether a worker has room for a job.
#[derive(Clone, Copy)]
pub(super) struct RoomTest {
    /// The slots that the job occupies.
    pub(super) slots: f64,
    /// The number of own attempts queued at the worker that would run before the job.
    pub(super) queued_before: u32,
    pub(super) now: Nanos,
    pub(super) tick: Nanos,
    /// The mean age that load reports reach, in nanoseconds.
    pub(super) report_age: f64,
}

impl RoomTest {
    /// Returns whether a worker probably has room. That is decided by its load report, corrected
    /// for own sends that the report does not show yet. Without a report it is decided by this
    /// dispatcher's own attempts: none may be queued before the job (known only if workers report
    /// starts), unless a connection was used within the last `ROOM_TICKS_WITHOUT_REPORTS` ticks.
    pub(super) fn passes(&self, worker: &Worker) -> bool {
        let unreported = || worker.own_load.unreported_slots(self.now, self.report_age);
        match (worker.reported.last.free_slots, worker.reported.last.queue_depth) {
            (Some(free), queue_depth) => {
                let is_queue_empty = queue_depth.is_some_and(|depth| depth < 1.0);
                let is_first_in_queue = is_queue_empty && worker.own_load.queued == 0;
                let tolerance = if is_first_in_queue { FIRST_IN_QUEUE_TOLERANCE } else { 0.0 };
                free - unreported() >= self.slots - SLOT_TOLERANCE - tolerance
            }
            (None, Some(queue_depth)) => queue_depth + unreported() < 1.0,
            (None, None) => {
                let grace = ROOM_TICKS_WITHOUT_REPORTS * self.tick;
                self.queued_before == 0 || self.now < worker.connections.last_used_at + grace
            }
        }
    }
}

impl Dispatcher {
    /// Sends a job to the best of its candidates that pass the filter and can get it now. Returns
    /// whether there was one.
    pub(super) fn bind(
        &mut self,
        now: Nanos,
        number: JobNumber,
        filter: CandidateFilter,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(job) = self.jobs.get(number) else { return false };
        let mut best: Option<RankedCandidate> = None;
        for &candidate in &job.candidates {
            let Some(choice) = self.rank_candidate(now, job, candidate, filter) else { continue };
            if best.as_ref().is_none_or(|best| choice.rank < best.rank) {
                best = Some(choice);
            }
        }
        let Some(best) = best else { return false };
        self.send(now, number, &best.permit, actions);
        true
    }

    /// Ranks a candidate; returns `None` if it cannot get the job now.
    fn rank_candidate(
        &self,
        now: Nanos,
        job: &Job,
        candidate: WorkerIndex,
        filter: CandidateFilter,
    ) -> Option<RankedCandidate> {
        let worker = self.fleet.worker(candidate);
        if !self.passes_filter(now, job, worker, filter) || !self.has_room(worker, job, now) {
            return None;
        }
        if worker.health.is_ejected(now) && !self.fleet.is_in_panic_mode() {
            return None;
        }
        // Checked again here because many jobs may have drawn a worker in slow start before the
        // first of them was sent to it and used up the budget.
        if !worker.is_within_budget(&self.settings.rules, now) {
            return None;
        }
        let permit = Permit::for_attempt(job, &self.settings, self.fleet.workers(), candidate, now)?;
        let load = worker.own_load.slots + self.fetch_cost(now, job, candidate);
        let cost = self.cost(worker, now);
        Some(RankedCandidate { rank: Rank { load, cost }, permit })
    }

    fn passes_filter(&self, now: Nanos, job: &Job, worker: &Worker, filter: CandidateFilter) -> bool {
        match filter {
            CandidateFilter::All => true,
            CandidateFilter::FreshlyReported => self.is_freshly_reported(worker, now),
            CandidateFilter::FreshlyReportedOrProbed => {
                let is_probed = worker.probe.succeeded_at.is_some_and(|time| time >= job.probes_sent_at);
                is_probed || self.is_freshly_reported(worker, now)
            }
        }
    }

    /// Returns the cost of fetching the job's key at a candidate, in the unit of
    /// [`AffinityTable::fetch_cost`](super::affinity::AffinityTable::fetch_cost). It is 0 at the
    /// job's first candidate, normally the first eligible worker of the key's walk, and where the
    /// key is cached.
    fn fetch_cost(&self, now: Nanos, job: &Job, candidate: WorkerIndex) -> f64 {
        let is_first = job.candidates.first() == Some(&candidate);
        let key = job.request.affinity_key;
        let must_fetch = !is_first && key.is_some_and(|key| !self.affinity.is_cached(key, candidate, now));
        self.affinity.fetch_cost() * f64::from(u8::from(must_fetch))
    }

    /// Returns whether a worker has a fresh report: one received within `FRESH_REPORT_AGE`, with a
    /// response or a probe. Without reports in responses, no report counts as fresh.
    pub(super) fn is_freshly_reported(&self, worker: &Worker, now: Nanos) -> bool {
        self.settings.load_reporting == LoadReporting::InResponses
            && worker.reported.received_at.is_some_and(|time| now < time + FRESH_REPORT_AGE)
    }

    fn has_room(&self, worker: &Worker, job: &Job, now: Nanos) -> bool {
        if worker.reported.last.free_memory.is_some_and(|free| free < job.request.memory) {
            return false;
        }
        let own_load = &worker.own_load;
        let queued_before =
            if self.is_top_priority(job) { own_load.queued_top_priority } else { own_load.queued };
        self.room_test(job.request.slots, queued_before, now).passes(worker)
    }

    /// Creates the test for room for `slots` slots behind `queued_before` own attempts.
    pub(super) fn room_test(&self, slots: f64, queued_before: u32, now: Nanos) -> RoomTest {
        let (tick, report_age) = (self.settings.tick, self.fleet.report_age());
        RoomTest { slots, queued_before, now, tick, report_age }
    }

    fn is_top_priority(&self, job: &Job) -> bool {
        self.settings.classes[job.request.class as usize].priority == self.top_priority
    }

    /// Returns the cost of a send to a worker apart from the load by own slots, as a fraction of a
    /// request's value. It breaks ties between equally loaded workers.
    pub(super) fn cost(&self, worker: &Worker, now: Nanos) -> f64 {
        let prices = &self.settings.prices;
        let mut cost = 0.0;
        if worker.zone != self.settings.zone {
            cost += CROSS_ZONE_FACTOR * prices.cross_zone;
        }
        if !worker.connections.has_idle(&self.settings.limits, now) {
            cost += prices.new_connection;
        }
        if let (Some(free), Some(_)) = (worker.reported.last.free_slots, worker.reported.received_at) {
            let free = free - worker.own_load.unreported_slots(now, self.fleet.report_age());
            cost += FREE_SLOT_COST * (MAX_COUNTED_FREE_SLOTS - free.clamp(-1.0, MAX_COUNTED_FREE_SLOTS));
        }
        let health = &worker.health;
        let slowness_cost = SLOWNESS_COST * health.slowness * health.slowness_samples
            / (health.slowness_samples + SLOWNESS_HALF_SAMPLES);
        cost + slowness_cost + WEIGHT_COST / worker.weight.max(MIN_WEIGHT)
    }

    /// Sends a job to the worker of the permit. All sends go through this function.
    fn send(&mut self, now: Nanos, number: JobNumber, permit: &Permit, actions: &mut Vec<Action>) {
        let target = permit.worker();
        let key = self.jobs.get(number).and_then(|job| job.request.affinity_key);
        let needs_fetch = key.is_some_and(|key| !self.affinity.is_cached(key, target, now));
        if let Some(key) = key {
            self.affinity.record_send(key, target, now);
        }
        self.jobs.mark_sent(number);
        let Some(job) = self.jobs.get(number) else { return };
        let is_top_priority = self.is_top_priority(job);
        let (id, slots) = (job.request.id, job.request.slots);
        let attempt = Attempt {
            worker: target,
            sent_at: now,
            state: AttemptState::InFlight,
            has_started: !self.settings.reports_attempt_start,
            first_progress_at: None,
            needs_fetch,
            is_top_priority,
        };
        if let Some(job) = self.jobs.get_mut(number) {
            job.binding_scheduled = false;
            job.attempts.push(attempt);
        }
        self.add_load(now, target, slots, is_top_priority);
        let worker = self.fleet.worker(target).id.clone();
        actions.push(Action::Send { id, worker, timeout: None });
    }

    /// Adds an attempt to the load and the connections of its worker and charges its slow-start
    /// budget.
    fn add_load(&mut self, now: Nanos, target: WorkerIndex, slots: f64, is_top_priority: bool) {
        self.fleet.add_own_slots(target, now, slots);
        let worker = self.fleet.worker_mut(target);
        if self.settings.reports_attempt_start {
            worker.own_load.enqueue(is_top_priority);
        }
        worker.connections.take(&self.settings.limits, now);
        if !worker.is_warm(&self.settings.rules, now) {
            worker.budget.slots_left -= slots;
        }
    }
}
