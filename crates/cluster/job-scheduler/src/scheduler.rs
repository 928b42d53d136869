//! The scheduler: what clients ask for, what time brings, and what must be written before it is seen.
use crate::deadlines::Deadlines;
use crate::effect::Effect;
use crate::events::{Event, Journal};
use crate::graphs::Graphs;
use crate::job::{Job, Outcome, State};
use crate::pace::Guesses;
use crate::record::{JobRecord, Key, Queue, TaskKey};
use crate::spec::JobSpec;
use crate::terms::{Admission, Bounds, Figures, Now, Terms};
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
pub(crate) type ReadyKey = (u8, u64, TaskKey);

/// Jobs that are not over, at most.
const MAX_LIVE: usize = 30_000;
/// How often progress and hopeless work are looked at, milliseconds.
const WATCH_EVERY_MS: u64 = 250;
/// Jobs, workers, and what goes where.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) bounds: Bounds,
    pub(crate) fence: u64,
    pub(crate) term_began: u64,
    pub(crate) jobs: FxHashMap<u64, Job>,
    /// Jobs that are not over.
    pub(crate) live: usize,
    /// Of those, by queue, the ones of which no task is known to have begun.
    pub(crate) pending: FxHashMap<Queue, u64>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) index: FxHashMap<Arc<str>, u32>,
    pub(crate) graphs: Graphs,
    pub(crate) guesses: FxHashMap<Queue, Guesses>,
    /// What waits to be placed, with the time since when.
    pub(crate) ready: BTreeMap<ReadyKey, u64>,
    /// Where the next pass goes on among what waits behind units that have no room.
    pub(crate) place_from: Option<ReadyKey>,
    pub(crate) timed: BTreeSet<(u64, u64, u32)>,
    pub(crate) room_changed: bool,
    /// Something waits for time to pass: it is looked at again at the next tick.
    pub(crate) place_again: bool,
    /// Services most of whose workers are left alone just now.
    pub(crate) panicking: FxHashSet<CompactString>,
    pub(crate) listed_at: Option<u64>,
    pub(crate) serial: u64,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) journal: Journal,
    pub(crate) stopping: BTreeSet<(TaskKey, u32)>,
    pub(crate) touched: BTreeSet<Key>,
    pub(crate) unix: u64,
    pub(crate) deadlines: Deadlines,
    pub(crate) figures: Figures,
    pub(crate) throttle: Throttle,
    /// Starts whose calls have no answer yet.
    pub(crate) starts_out: usize,
    /// Starts that were ordered, with the time at which they are given up unless an answer has come.
    pub(crate) unanswered: BTreeSet<(u64, TaskKey, u32)>,
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
    pub(crate) closed: VecDeque<(u64, u64)>,
    watched_at: u64,
}

impl Scheduler {
    /// A scheduler that knows nothing, with its fencing token.
    #[must_use]
    pub fn new(bounds: Bounds, fence: u64, seed: u64, now: Now) -> Self {
        Scheduler {
            bounds,
            fence,
            term_began: now.steady,
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
            unix: now.unix,
            deadlines: Deadlines::default(),
            figures: Figures::default(),
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
    pub fn submit(&mut self, now: Now, id: u64, terms: Terms, spec: JobSpec) -> Admission {
        if self.jobs.contains_key(&id) {
            return Admission::Accepted;
        }
        if self.live >= MAX_LIVE {
            return Admission::Full;
        }
        let record = JobRecord {
            queue: terms.queue,
            service: terms.service,
            priority: terms.priority,
            max_attempts: terms.max_attempts.max(1),
            accepted_at: now.unix,
            spec,
        };
        self.record(now.steady, Event::Accepted { job: id, record: Box::new(record) });
        self.begin_due(now, id);
        Admission::Accepted
    }

    /// A job's state; `None` if there is no such job.
    #[must_use]
    pub fn state(&self, id: u64) -> Option<State> {
        self.jobs.get(&id).map(Job::state)
    }

    /// Cancels a job; `false` if there is no such job.
    pub fn cancel(&mut self, now: Now, id: u64) -> bool {
        match self.jobs.get(&id) {
            None => return false,
            Some(job) if job.closed.is_some() => return true,
            Some(_) => {}
        }
        self.close(now, id, Outcome::Cancelled);
        true
    }

    /// How many jobs of a queue are accepted of which no task is known to have begun.
    #[must_use]
    pub fn pending(&self, queue: &Queue) -> u64 {
        self.pending.get(queue).copied().unwrap_or(0)
    }

    /// How many jobs are known, how many units wait to be placed, how many runs are out, how many events there were.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize, u64) {
        let runs = self.workers.iter().map(|w| w.runs.len()).sum();
        (self.jobs.len(), self.ready.len(), runs, self.journal.count())
    }

    /// Counts of this term so far.
    #[must_use]
    pub fn figures(&self) -> Figures {
        let starts_at_a_time = self.throttle.allowed() as u64;
        Figures { deadlines_ms: self.deadlines.range(), starts_at_a_time, ..self.figures }
    }

    // Time.

    /// The next tick comes so much later than it should, milliseconds: a scheduler that is behind begins less at a time.
    pub fn note_lateness(&mut self, late_ms: u64) {
        self.throttle.adjust(late_ms);
    }

    /// Does what the time asks for.
    pub fn tick(&mut self, now: Now) {
        self.unix = now.unix;
        self.throttle.refill();
        self.give_up_starts(now);
        self.begin_times(now);
        self.expire_workers(now);
        self.room_changed |= std::mem::take(&mut self.place_again);
        self.panicking = self.services_mostly_avoided(now.steady);
        self.place_ready(now);
        self.resend_stops(now.steady);
        self.send_holds(now.steady);
        if now.steady >= self.watched_at + WATCH_EVERY_MS {
            self.watched_at = now.steady;
            self.watch_progress(now);
            self.fail_impossible(now);
            self.forget_closed(now);
        }
    }

    /// Places what came in, so that its starts share a batch with what they follow from.
    pub fn place(&mut self, now: Now) {
        self.unix = now.unix;
        self.place_ready(now);
    }
}
