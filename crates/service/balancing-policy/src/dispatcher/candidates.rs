//! Which workers are looked at for a job.
//!
//! A job with an affinity key looks at the first workers of a walk that follows from the key. Any
//! other job looks at the workers that last ended an attempt, and at the positions of the walkers.

use super::Dispatcher;
use super::permit::Permit;
use super::slow_start::SlowStartShare;
use crate::api::{NANOS_PER_SECOND, Nanos, Settings};
use crate::state::{GraphIndex, Job, JobNumber, Rate, Worker, WorkerGraph, WorkerIndex};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use spanlead_expander_walk::{CYCLE_COUNT, Walker, cycle_position, uniform_below};

/// Walkers of each graph: the `d` of NBRW-PoD.
const WALKERS: usize = 6;

/// How often a walker on an ineligible worker steps on before its position is left out.
const MAX_EXTRA_STEPS: usize = 4;

/// Workers on a key's own walk that are looked at in the first round; each later round looks at one
/// more.
const KEY_CANDIDATES: usize = 2;

/// Workers that last ended an attempt, connection still open, that are looked at beside the
/// walkers'. This is the memory that the paper names among the variants of its scheme.
const RECENTLY_USED_CANDIDATES: usize = 4;

/// The search for a job's candidates.
struct CandidateSearch<'a> {
    settings: &'a Settings,
    workers: &'a mut [Worker],
    graph: &'a mut WorkerGraph,
    recently_used: &'a [WorkerIndex],
    rng: &'a mut Pcg64Mcg,
    /// How often this dispatcher looks at workers.
    looks: &'a mut Rate,
    job: &'a Job,
    now: Nanos,
    /// So many workers are ejected that ejection says nothing any more.
    is_panicking: bool,
    slow_start: SlowStartShare,
    drawn: Vec<WorkerIndex>,
}

impl Dispatcher {
    /// Draws eligible workers for a job from a graph, and moves the walkers.
    pub(super) fn draw_candidates(
        &mut self,
        now: Nanos,
        number: JobNumber,
        graph: GraphIndex,
    ) -> Vec<WorkerIndex> {
        let is_panicking = self.fleet.is_panicking();
        self.capacity.count_workers(now, &self.fleet, &self.settings);
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
            looks: &mut self.capacity.looks,
            job,
            now,
            is_panicking,
            slow_start,
            drawn: Vec::with_capacity(WALKERS),
        };
        search.run()
    }
}

/// The time for which too much work overloads a worker in slow start, in seconds.
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
            self.draw_any();
        }
        self.drawn
    }

    /// Draws workers that keep what a key needs. The walk starts at the key's home and its steps
    /// follow from the key, so all dispatchers look for it at the same few workers; later rounds
    /// walk further.
    fn draw_by_key(&mut self, key: u64) {
        // Seeded past the cycles, so that the home is independent of the workers' positions.
        let home = cycle_position(&key.to_le_bytes(), CYCLE_COUNT);
        let Some(start) = self.graph.first_at_or_after(home) else { return };
        let mut walker = Walker::new(start);
        let mut step_rng = Pcg64Mcg::seed_from_u64(home);
        let wanted = KEY_CANDIDATES + self.job.rounds as usize;
        let enough = wanted.min(self.graph.len());
        for _ in 0..wanted * MAX_EXTRA_STEPS {
            let worker = walker.current;
            if self.may_cross_to(worker) && !self.drawn.contains(&worker) && self.is_eligible(worker) {
                self.drawn.push(worker);
            }
            if self.drawn.len() >= enough {
                break;
            }
            walker = self.graph.step(self.workers, walker, &mut step_rng);
        }
    }

    /// Whether a key's walk may stop at a worker: in the first round it keeps to its own zone if
    /// crossing zones has a price.
    fn may_cross_to(&self, worker: WorkerIndex) -> bool {
        let is_own_zone = self.workers[worker.as_usize()].zone == self.settings.zone;
        is_own_zone || self.job.rounds > 0 || self.settings.prices.cross_zone == 0.0
    }

    /// Divides the own share of workers in slow start by the chance that a worker is looked at in a
    /// window.
    ///
    /// Walkers may be anywhere, so the share of the windows in which nobody looks would be lost,
    /// and with few requests to a dispatcher those are nearly all. A key's own workers are looked
    /// at far more often, so there the share is not raised.
    ///
    /// Guards the sum after a rest: what is looked at for this job counts as looked at. Otherwise
    /// the share of a dispatcher that has rested is raised without bound, and many jobs at once
    /// take all these shares.
    fn raise_slow_start_share(&mut self) {
        let own_looks = (WALKERS + RECENTLY_USED_CANDIDATES) as f64 / Rate::SPAN_SECONDS;
        let looks_per_second = self.looks.per_second(self.now).max(own_looks);
        let window_seconds = overload_window_seconds(self.settings);
        let worker_count = self.graph.len() as f64;
        self.slow_start.own_fraction /= 1.0 - (-looks_per_second * window_seconds / worker_count).exp();
    }

    /// Draws workers that last ended an attempt: a slot is just free there and a connection is
    /// open.
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

    /// Draws the positions of the walkers, each stepped on past ineligible workers; then every
    /// walker steps.
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

    /// Draws an eligible worker at random, no walker being on one.
    fn draw_any(&mut self) {
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

    /// Whether a worker may get the job: by the job's class, the worker's health and its slow
    /// start.
    fn is_eligible(&mut self, index: WorkerIndex) -> bool {
        self.looks.add(self.now, 1.0);
        if self.job.was_sent_to(index) {
            return false;
        }
        if Permit::for_attempt(self.job, self.settings, self.workers, index, self.now).is_none() {
            return false;
        }
        let worker = &mut self.workers[index.as_usize()];
        if !self.is_panicking && worker.health.is_avoided(self.now) {
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
