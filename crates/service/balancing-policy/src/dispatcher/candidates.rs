//! The search for the workers that are candidates for a job.
//!
//! For a job with an affinity key, the search examines the first workers of a walk that is
//! determined by the key. For any other job, and if that walk finds no eligible worker, it examines
//! the recently used workers and the positions of the walkers.

use super::Dispatcher;
use super::permit::Permit;
use super::slow_start::SlowStartShare;
use crate::api::{NANOS_PER_SECOND, Nanos, Settings};
use crate::state::{GraphIndex, Job, JobNumber, Rate, Worker, WorkerGraph, WorkerIndex};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use spanlead_expander_walk::{CYCLE_COUNT, Walker, cycle_position, uniform_below};

/// The number of walkers on each graph: the `d` of NBRW-PoD.
const WALKERS: usize = 6;

/// The maximum number of further workers that a walker examines if the one at its position is
/// ineligible or already drawn; after that, the walker is skipped. The walk of a key takes at most
/// this many steps for each candidate wanted.
const MAX_EXTRA_STEPS: usize = 4;

/// The number of candidates drawn from a key's walk in the first round; each later round draws one
/// more.
const KEY_CANDIDATES: usize = 2;

/// The maximum number of recently used workers with an open connection that are candidates in
/// addition to the walkers' positions. This is the memory that the NBRW-PoD paper names among the
/// variants of its scheme.
const RECENTLY_USED_CANDIDATES: usize = 4;

/// The search for a job's candidates.
struct CandidateSearch<'a> {
    settings: &'a Settings,
    workers: &'a mut [Worker],
    graph: &'a mut WorkerGraph,
    recently_used: &'a [WorkerIndex],
    rng: &'a mut Pcg64Mcg,
    /// The rate at which this dispatcher examines workers.
    examined_rate: &'a mut Rate,
    job: &'a Job,
    now: Nanos,
    /// Whether so many workers are ejected that ejection is ignored.
    is_in_panic_mode: bool,
    slow_start: SlowStartShare,
    drawn: Vec<WorkerIndex>,
}

impl Dispatcher {
    /// Draws eligible workers for a job from a graph, and moves the graph's walkers if they are
    /// used.
    pub(super) fn draw_candidates(
        &mut self,
        now: Nanos,
        number: JobNumber,
        graph: GraphIndex,
    ) -> Vec<WorkerIndex> {
        let is_in_panic_mode = self.fleet.is_in_panic_mode();
        self.capacity.update_from_fleet(now, &self.fleet, &self.settings);
        let Some(job) = self.jobs.get(number) else { return Vec::new() };
        let worker_count = self.fleet.graph_len(graph);
        if worker_count == 0 {
            return Vec::new();
        }
        let instances = f64::from(self.settings.instance_count);
        let mean_weight = self.fleet.mean_weight(worker_count);
        let window_seconds = overload_window_seconds(&self.settings);
        let slow_start = SlowStartShare {
            slots_per_window: self.capacity.slots_per_window(window_seconds, mean_weight, instances),
            own_fraction: 1.0 / instances,
            mean_weight,
        };
        let parts = self.fleet.parts(graph);
        let search = CandidateSearch {
            settings: &self.settings,
            workers: parts.workers,
            graph: parts.graph,
            recently_used: parts.recently_used,
            rng: &mut self.rng,
            examined_rate: &mut self.capacity.examined_rate,
            job,
            now,
            is_in_panic_mode,
            slow_start,
            drawn: Vec::with_capacity(WALKERS),
        };
        search.run()
    }
}

/// Returns the time for which excess work must last to overload a worker in slow start, in seconds.
fn overload_window_seconds(settings: &Settings) -> f64 {
    settings.rules.overload_window as f64 / NANOS_PER_SECOND
}

impl CandidateSearch<'_> {
    fn run(mut self) -> Vec<WorkerIndex> {
        if let Some(key) = self.job.request.affinity_key {
            self.draw_by_key(key);
            if !self.drawn.is_empty() {
                return self.drawn;
            }
        }
        self.raise_slow_start_share();
        self.draw_recently_used();
        self.draw_from_walkers();
        if self.drawn.is_empty() {
            self.draw_random();
        }
        self.drawn
    }

    /// Draws workers by affinity key. The start of the walk and its steps are determined by the
    /// key, so all dispatchers send the key's requests to the same few workers. Later rounds walk
    /// further.
    fn draw_by_key(&mut self, key: u64) {
        // The cycles are numbered from 0, so `CYCLE_COUNT` is the hash seed of none of them and the
        // key's position is independent of the workers' positions.
        let key_position = cycle_position(&key.to_le_bytes(), CYCLE_COUNT);
        let Some(start) = self.graph.first_at_or_after(key_position) else { return };
        let mut walker = Walker::new(start);
        let mut step_rng = Pcg64Mcg::seed_from_u64(key_position);
        let wanted = KEY_CANDIDATES + self.job.rounds as usize;
        let enough = wanted.min(self.graph.len());
        for _ in 0..wanted * MAX_EXTRA_STEPS {
            let worker = walker.current;
            if self.is_zone_allowed(worker) && !self.drawn.contains(&worker) && self.is_eligible(worker) {
                self.drawn.push(worker);
            }
            if self.drawn.len() >= enough {
                break;
            }
            walker = self.graph.step(self.workers, walker, &mut step_rng);
        }
    }

    /// Returns whether a key's walk may draw a worker: in the first round only workers in this
    /// dispatcher's zone if crossing zones has a price.
    fn is_zone_allowed(&self, worker: WorkerIndex) -> bool {
        let is_own_zone = self.workers[worker.as_usize()].zone == self.settings.zone;
        is_own_zone || self.job.rounds > 0 || self.settings.prices.cross_zone == 0.0
    }

    /// Divides this dispatcher's share of workers in slow start by the probability that a worker is
    /// examined within a budget window.
    ///
    /// The walkers' positions are random, so the share would be lost in the windows in which a
    /// worker is not examined, and a dispatcher with few requests examines a worker in almost no
    /// window. The workers of a key's walk are examined far more often, so the share is not raised
    /// for them.
    ///
    /// The examinations for this job are counted in advance, which bounds the sum of the
    /// dispatchers' shares after an idle time. Otherwise the share of an idle dispatcher would be
    /// raised without bound, and many simultaneous jobs would use all these shares.
    fn raise_slow_start_share(&mut self) {
        let examined_for_job = (WALKERS + RECENTLY_USED_CANDIDATES) as f64 / Rate::TIME_CONSTANT_SECONDS;
        let examined_per_second = self.examined_rate.per_second(self.now).max(examined_for_job);
        let window_seconds = overload_window_seconds(self.settings);
        let worker_count = self.graph.len() as f64;
        self.slow_start.own_fraction /= 1.0 - (-examined_per_second * window_seconds / worker_count).exp();
    }

    /// Draws recently used workers, where a slot has just become free and a connection is open.
    fn draw_recently_used(&mut self) {
        for &worker in self.recently_used.iter().rev() {
            let connections = &self.workers[worker.as_usize()].connections;
            let is_connected = connections.has_idle(&self.settings.limits, self.now);
            if is_connected
                && self.drawn.len() < RECENTLY_USED_CANDIDATES
                && self.graph.contains(self.workers, worker)
                && self.is_eligible(worker)
            {
                self.drawn.push(worker);
            }
        }
    }

    /// Draws the positions of the walkers after moving each past ineligible workers; then moves
    /// every walker one step.
    fn draw_from_walkers(&mut self) {
        self.graph.start_walkers(WALKERS, self.rng);
        let mut walkers = std::mem::take(&mut self.graph.walkers);
        for walker in &mut walkers {
            self.draw_from_walker(walker);
        }
        for walker in &mut walkers {
            *walker = self.graph.step(self.workers, *walker, self.rng);
        }
        self.graph.walkers = walkers;
    }

    fn draw_from_walker(&mut self, walker: &mut Walker) {
        for _ in 0..=MAX_EXTRA_STEPS {
            if !self.drawn.contains(&walker.current) && self.is_eligible(walker.current) {
                self.drawn.push(walker.current);
                return;
            }
            *walker = self.graph.step(self.workers, *walker, self.rng);
        }
    }

    /// Draws one eligible worker, the first at or after a random one. Used if no walker found any.
    fn draw_random(&mut self) {
        let worker_count = self.graph.len();
        let start = uniform_below(self.rng, worker_count);
        for offset in 0..worker_count {
            let worker = self.graph.nth_wrapping(start + offset);
            if self.is_eligible(worker) {
                self.drawn.push(worker);
                return;
            }
        }
    }

    /// Returns whether a worker may get the job, by the job's permit, the worker's health and its
    /// slow-start budget. Counts the worker as examined.
    fn is_eligible(&mut self, index: WorkerIndex) -> bool {
        self.examined_rate.add(self.now, 1.0);
        if self.job.was_sent_to(index) {
            return false;
        }
        if Permit::for_attempt(self.job, self.settings, self.workers, index, self.now).is_none() {
            return false;
        }
        let worker = &mut self.workers[index.as_usize()];
        if !self.is_in_panic_mode && worker.health.is_avoided(self.now) {
            return false;
        }
        let rules = &self.settings.rules;
        if worker.is_warm(rules, self.now) {
            return true;
        }
        self.slow_start.renew_budget(worker, rules, self.rng, self.now);
        worker.is_within_budget(rules, self.now)
    }
}
