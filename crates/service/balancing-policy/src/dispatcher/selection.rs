//! Which candidate gets a job, and the send.

use super::Dispatcher;
use super::permit::Permit;
use crate::api::{Action, LoadReporting, MILLISECOND, Nanos};
use crate::state::{Attempt, AttemptState, Job, JobNumber, Worker, WorkerIndex};

/// A report that came with a response within this time spares a probe.
const FRESH_REPORT_AGE: Nanos = 400 * MILLISECOND;

/// How many times its price a send across zones counts among workers with equally few own slots: at
/// the price alone, a second free slot in a stale report went before it.
const CROSS_ZONE_FACTOR: f64 = 8.0;

/// What a missing free slot counts, as a fraction of a request's value.
const FREE_SLOT_COST: f64 = 0.1;

/// Free slots beyond this number make no difference to a job.
const MAX_COUNTED_FREE_SLOTS: f64 = 2.0;

/// What a worker's slowness counts, as a fraction of a request's value.
const SLOWNESS_COST: f64 = 0.2;

/// The samples at which half of a worker's slowness counts.
const SLOWNESS_HALF_SAMPLES: f64 = 2.0;

/// What a worker of weight 1 counts; heavier ones count less.
const WEIGHT_COST: f64 = 0.1;

/// The least weight that is reckoned with.
const MIN_WEIGHT: f64 = 0.1;

/// A worker has room if its free slots fall short of a job's slots by this much at most.
const SLOT_TOLERANCE: f64 = 0.5;

/// The further shortfall that is accepted where the job would be the first to be queued. Slots come
/// back sooner than reports show it, so the job starts earlier there than if it were pending until
/// a free slot is seen. Only where reports tell the queue: otherwise every dispatcher would add to
/// one that none of them sees.
const FIRST_IN_QUEUE_TOLERANCE: f64 = 0.5;

/// Without reports, a worker counts as having room for this many ticks after an own attempt.
const ROOM_TICKS_WITHOUT_REPORTS: Nanos = 3;

/// Which candidates a job may be bound to.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Eligible {
    /// Any.
    All,
    /// Those with a report that just came.
    FreshlyReported,
    /// Those, and the ones whose probe succeeded in this round.
    FreshlyReportedOrProbed,
}

/// The order in which candidates are preferred: by own slots in flight, the cost of a fetch added,
/// then by cost.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    load: f64,
    cost: f64,
}

struct Choice {
    rank: Rank,
    permit: Permit,
}

/// What the test for room needs beside the worker.
#[derive(Clone, Copy)]
pub(super) struct RoomTest {
    /// The slots that the job takes.
    pub(super) slots: f64,
    /// Own attempts that would be queued before it.
    pub(super) queued_before: u32,
    pub(super) now: Nanos,
    pub(super) tick: Nanos,
    /// How old load reports get, in nanoseconds.
    pub(super) report_age: f64,
}

impl RoomTest {
    /// Whether a worker seems to have room: by its report, own sends since then counted, or by this
    /// dispatcher's own attempts, where workers report starts: none may still be queued there
    /// before the job.
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
    /// Sends a job to the best of its candidates that are eligible. Returns whether there was one.
    pub(super) fn bind(
        &mut self,
        now: Nanos,
        number: JobNumber,
        eligible: Eligible,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(job) = self.jobs.get(number) else { return false };
        let mut best: Option<Choice> = None;
        for &candidate in &job.candidates {
            let Some(choice) = self.consider(now, job, candidate, eligible) else { continue };
            if best.as_ref().is_none_or(|best| choice.rank < best.rank) {
                best = Some(choice);
            }
        }
        let Some(best) = best else { return false };
        self.send(now, number, &best.permit, actions);
        true
    }

    /// Ranks a candidate; `None` if it cannot get the job now.
    fn consider(&self, now: Nanos, job: &Job, candidate: WorkerIndex, eligible: Eligible) -> Option<Choice> {
        let worker = self.fleet.worker(candidate);
        if !self.is_heard_enough(now, job, worker, eligible) || !self.has_room(worker, job, now) {
            return None;
        }
        if worker.health.is_ejected(now) && !self.fleet.is_panicking() {
            return None;
        }
        // Guards a worker in slow start: many jobs may have drawn it before the first of them went
        // there.
        if !worker.is_within_budget(&self.settings.rules, now) {
            return None;
        }
        let permit = Permit::for_attempt(job, &self.settings, self.fleet.workers(), candidate, now)?;
        let load = worker.own_load.slots + self.fetch_cost(now, job, candidate);
        let cost = self.cost(worker, now);
        Some(Choice { rank: Rank { load, cost }, permit })
    }

    fn is_heard_enough(&self, now: Nanos, job: &Job, worker: &Worker, eligible: Eligible) -> bool {
        match eligible {
            Eligible::All => true,
            Eligible::FreshlyReported => self.is_freshly_reported(worker, now),
            Eligible::FreshlyReportedOrProbed => {
                let is_probed = worker.probe.succeeded_at.is_some_and(|time| time >= job.round_started_at);
                is_probed || self.is_freshly_reported(worker, now)
            }
        }
    }

    /// What fetching the job's key delays, in jobs; 0 at the key's home and where the key is kept.
    fn fetch_cost(&self, now: Nanos, job: &Job, candidate: WorkerIndex) -> f64 {
        let is_home = job.candidates.first() == Some(&candidate);
        let key = job.request.affinity_key;
        let must_fetch = !is_home && key.is_some_and(|key| !self.affinity.is_kept(key, candidate, now));
        self.affinity.fetch_cost() * f64::from(u8::from(must_fetch))
    }

    /// Whether a load report of a worker just came with a response.
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

    /// The test for room of `slots` behind `queued_before` own attempts.
    pub(super) fn room_test(&self, slots: f64, queued_before: u32, now: Nanos) -> RoomTest {
        let (tick, report_age) = (self.settings.tick, self.fleet.report_age());
        RoomTest { slots, queued_before, now, tick, report_age }
    }

    fn is_top_priority(&self, job: &Job) -> bool {
        self.settings.classes[job.request.class as usize].priority == self.top_priority
    }

    /// What a send to a worker costs beside its own slots, as a fraction of a request's value: the
    /// tie-break.
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

    /// Sends a job: the one place that does.
    fn send(&mut self, now: Nanos, number: JobNumber, permit: &Permit, actions: &mut Vec<Action>) {
        let target = permit.worker();
        let key = self.jobs.get(number).and_then(|job| job.request.affinity_key);
        let fetches_key = key.is_some_and(|key| !self.affinity.is_kept(key, target, now));
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
            fetches_key,
            is_top_priority,
        };
        if let Some(job) = self.jobs.get_mut(number) {
            job.binding_scheduled = false;
            job.attempts.push(attempt);
        }
        self.occupy(now, target, slots, is_top_priority);
        let worker = self.fleet.worker(target).id.clone();
        actions.push(Action::Send { id, worker, timeout: None });
    }

    /// Counts an attempt as in flight at a worker.
    fn occupy(&mut self, now: Nanos, target: WorkerIndex, slots: f64, is_top_priority: bool) {
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
