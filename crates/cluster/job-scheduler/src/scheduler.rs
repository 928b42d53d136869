//! The scheduler: what clients ask for, what time brings, and what must be written before it is seen.
use crate::config::{Admission, Now, QueuePolicy, SchedulerConfig};
use crate::deadlines::Deadlines;
use crate::events::{Event, Journal};
use crate::graphs::Graphs;
use crate::ids::{JobId, QueueId, TaskId};
use crate::job::{Job, JobOutcome, JobState};
use crate::metrics::{SchedulerCounts, SchedulerMetrics};
use crate::pace::Guesses;
use crate::protocol::Effect;
use crate::record::{JobRecord, Key};
use crate::spec::JobSpec;
use crate::throttle::Throttle;
use crate::worker::Worker;
use crate::writing::Staged;
use compact_str::CompactString;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// The place of what waits to be placed: priority, when it came, which task.
pub(crate) type ReadyKey = (u8, u64, TaskId);

/// Jobs that are not over, at most.
const MAX_LIVE: usize = 30_000;
/// How often progress and hopeless work are looked at, milliseconds.
const WATCH_EVERY_MS: u64 = 250;
/// Jobs, workers, and what goes where.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) bounds: SchedulerConfig,
    pub(crate) fencing_token: u64,
    pub(crate) term_began: u64,
    pub(crate) jobs: FxHashMap<JobId, Job>,
    /// Jobs that are not over.
    pub(crate) live: usize,
    /// Of those, by queue, the ones of which no task is known to have begun.
    pub(crate) pending: FxHashMap<QueueId, u64>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) index: FxHashMap<Arc<str>, u32>,
    pub(crate) graphs: Graphs,
    pub(crate) guesses: FxHashMap<QueueId, Guesses>,
    /// What waits to be placed, with the time since when.
    pub(crate) ready: BTreeMap<ReadyKey, u64>,
    /// Where the next pass goes on among what waits behind units that have no room.
    pub(crate) place_from: Option<ReadyKey>,
    pub(crate) timed: BTreeSet<(u64, JobId, u32)>,
    pub(crate) room_changed: bool,
    /// Something waits for time to pass: it is looked at again at the next tick.
    pub(crate) place_again: bool,
    /// Services most of whose workers are left alone just now.
    pub(crate) panicking: FxHashSet<CompactString>,
    pub(crate) listed_at: Option<u64>,
    pub(crate) serial: u64,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) journal: Journal,
    pub(crate) stopping: BTreeSet<(TaskId, u32)>,
    pub(crate) touched: BTreeSet<Key>,
    pub(crate) unix_ms: u64,
    pub(crate) deadlines: Deadlines,
    pub(crate) figures: SchedulerMetrics,
    pub(crate) throttle: Throttle,
    /// Starts whose calls have no answer yet.
    pub(crate) starts_out: usize,
    /// Starts that were ordered, with the time at which they are given up unless an answer has come.
    pub(crate) unanswered: BTreeSet<(u64, TaskId, u32)>,
    /// Calls to workers that have no answer yet.
    pub(crate) calls_out: usize,
    /// How long after a hold a worker where nothing runs is asked again.
    pub(crate) idle_pause_ms: u64,
    /// When holds were looked at last, and with which worker the next look begins.
    pub(crate) holds_looked_at: u64,
    pub(crate) holds_from: u32,
    pub(crate) staged: Vec<Staged>,
    pub(crate) waiting: VecDeque<(u64, Staged)>,
    pub(crate) effects: Vec<Effect>,
    pub(crate) closed: VecDeque<(u64, JobId)>,
    watched_at: u64,
}

impl Scheduler {
    /// A scheduler that knows nothing, with its fencing token.
    #[must_use]
    pub fn new(bounds: SchedulerConfig, fencing_token: u64, seed: u64, now: Now) -> Self {
        Scheduler {
            bounds,
            fencing_token,
            term_began: now.monotonic_ms,
            jobs: FxHashMap::default(),
            live: 0,
            pending: FxHashMap::default(),
            workers: Vec::new(),
            index: FxHashMap::default(),
            graphs: Graphs::default(),
            guesses: FxHashMap::default(),
            ready: BTreeMap::new(),
            place_from: None,
            timed: BTreeSet::new(),
            room_changed: false,
            place_again: false,
            panicking: FxHashSet::default(),
            listed_at: None,
            serial: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            journal: Journal::default(),
            stopping: BTreeSet::new(),
            touched: BTreeSet::new(),
            unix_ms: now.unix_ms,
            deadlines: Deadlines::default(),
            figures: SchedulerMetrics::default(),
            throttle: Throttle::default(),
            starts_out: 0,
            unanswered: BTreeSet::new(),
            calls_out: 0,
            idle_pause_ms: 0,
            holds_looked_at: 0,
            holds_from: 0,
            staged: Vec::new(),
            waiting: VecDeque::new(),
            effects: Vec::new(),
            closed: VecDeque::new(),
            watched_at: 0,
        }
    }

    // Clients.

    /// Takes a job, once however often it comes.
    pub fn submit(&mut self, now: Now, id: JobId, policy: QueuePolicy, spec: JobSpec) -> Admission {
        if self.jobs.contains_key(&id) {
            return Admission::Accepted;
        }
        if self.live >= MAX_LIVE {
            return Admission::TooManyJobs;
        }
        let record = JobRecord {
            queue: policy.queue,
            service: policy.service,
            priority: policy.priority,
            max_attempts: policy.max_attempts.max(1),
            accepted_at: now.unix_ms,
            spec,
        };
        self.record(now.monotonic_ms, Event::Accepted { job: id, record: Box::new(record) });
        self.begin_due(now, id);
        Admission::Accepted
    }

    /// A job's state; `None` if there is no such job.
    #[must_use]
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        self.jobs.get(&id).map(Job::state)
    }

    /// Cancels a job; `false` if there is no such job.
    pub fn cancel(&mut self, now: Now, id: JobId) -> bool {
        match self.jobs.get(&id) {
            None => return false,
            Some(job) if job.closed.is_some() => return true,
            Some(_) => {}
        }
        self.close(now, id, JobOutcome::Cancelled);
        true
    }

    /// How many jobs of a queue are accepted of which no task is known to have begun.
    #[must_use]
    pub fn pending_jobs(&self, queue: &QueueId) -> u64 {
        self.pending.get(queue).copied().unwrap_or(0)
    }

    /// What the scheduler holds at present.
    #[must_use]
    pub fn counts(&self) -> SchedulerCounts {
        SchedulerCounts {
            jobs: self.jobs.len(),
            pending_units: self.ready.len(),
            active_runs: self.workers.iter().map(|worker| worker.runs.len()).sum(),
            events: self.journal.count(),
        }
    }

    /// Counts of this term so far.
    #[must_use]
    pub fn metrics(&self) -> SchedulerMetrics {
        let max_starts_per_tick = self.throttle.allowed() as u64;
        SchedulerMetrics { call_timeouts: self.deadlines.range(), max_starts_per_tick, ..self.figures }
    }

    // Time.

    /// The next tick comes so much later than it should, milliseconds: a scheduler that is behind begins less at a time.
    pub fn record_tick_lateness(&mut self, late_ms: u64) {
        self.throttle.adjust(late_ms);
    }

    /// Does what the time asks for.
    pub fn tick(&mut self, now: Now) {
        self.unix_ms = now.unix_ms;
        self.throttle.refill();
        self.give_up_starts(now);
        self.begin_times(now);
        self.expire_workers(now);
        self.room_changed |= std::mem::take(&mut self.place_again);
        self.panicking = self.services_mostly_avoided(now.monotonic_ms);
        self.place_ready(now);
        self.resend_stops(now.monotonic_ms);
        self.send_holds(now.monotonic_ms);
        if now.monotonic_ms >= self.watched_at + WATCH_EVERY_MS {
            self.watched_at = now.monotonic_ms;
            self.watch_progress(now);
            self.fail_impossible(now);
            self.forget_closed(now);
        }
    }

    /// Places what came in, so that its starts share a batch with what they follow from.
    pub fn place_ready_tasks(&mut self, now: Now) {
        self.unix_ms = now.unix_ms;
        self.place_ready(now);
    }
}
