//! The scheduler: what clients ask for, what time brings, and what must be written before it is seen.
use crate::deadlines::{self, Deadlines};
use crate::effect::{Call, Effect, Order};
use crate::events::{Event, Journal};
use crate::job::{Job, Outcome, Phase, State};
use crate::pace::Guesses;
use crate::placement::Graphs;
use crate::record::{JobRecord, Key, Queue, TaskKey};
use crate::spec::JobSpec;
use crate::throttle::Throttle;
use crate::worker::{HoldState, Worker};
use compact_str::CompactString;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Bounds of the deployment, milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The longest that a worker holds what runs there.
    pub max_hold_ms: u64,
    /// How long a gang's members wait for one another.
    pub gang_ms: u64,
    /// How long a stop takes at most.
    pub stop_ms: u64,
    /// How long a task needs to go on from a checkpoint.
    pub restore_ms: u64,
    /// How long the state of a job that is over is told.
    pub status_ms: u64,
    /// How many times as long a task takes far from its data.
    pub far_factor: f64,
    /// Calls to workers that may be out at once.
    pub max_calls: usize,
}

/// The time: our steady clock and the time of day, milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// A clock that never jumps.
    pub steady: u64,
    /// Milliseconds since 1970.
    pub unix: u64,
}

/// What a job's queue says of it.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// The queue.
    pub queue: Queue,
    /// Whose workers run it.
    pub service: String,
    /// 0 comes first.
    pub priority: u8,
    /// Failed runs after which a task is given up.
    pub max_attempts: u32,
}

/// Whether a job was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It was, now or before.
    Accepted,
    /// There is no room for its record, and it will never run.
    Full,
}

/// Counts of a term so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Starts that were ordered.
    pub starts: u64,
    /// Starts that were given up without an answer, and those of them that had been carried out in time.
    pub given_up: u64,
    /// See `given_up`.
    pub premature: u64,
    /// Runs that were stopped.
    pub stops: u64,
    /// Starts beside a run that was in doubt.
    pub copies: u64,
    /// Starts that may go out between two ticks now.
    pub starts_at_a_time: u64,
    /// The shortest and the longest deadline of calls now, milliseconds; `None` before the first answer.
    pub deadlines_ms: Option<(u64, u64)>,
}

/// Changes of the key space: keys with their new values.
pub type Write = Vec<(Vec<u8>, Option<Vec<u8>>)>;

/// The place of what waits to be placed: priority, when it came, which task.
pub(crate) type ReadyKey = (u8, u64, TaskKey);

/// What waits for a write to last.
#[derive(Clone, Copy, Debug)]
enum Staged {
    Start(TaskKey, u32),
    /// A worker may forget its ends up to this number.
    Forget {
        worker: u32,
        ends: u64,
    },
}

/// Jobs that are not over, at most.
const MAX_LIVE: usize = 30_000;
/// Starts that may be on their way at once, at most.
const MOST_STARTS_OUT: usize = 160;
/// How far ahead of the worker's clock a start may be carried out, milliseconds.
const START_AHEAD_MS: u64 = 1_500;

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
    staged: Vec<Staged>,
    waiting: VecDeque<(u64, Staged)>,
    effects: Vec<Effect>,
    closed: VecDeque<(u64, u64)>,
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

    /// Begins the times of timed jobs that are due.
    fn begin_times(&mut self, now: Now) {
        while let Some((due, id, _)) = self.timed.first().copied() {
            if due > now.unix {
                break;
            }
            self.timed.pop_first();
            self.begin_due(now, id);
        }
    }

    /// Begins all times of a job that are due, and notes when the next is.
    pub(crate) fn begin_due(&mut self, now: Now, id: u64) {
        while let Some(job) = self.jobs.get_mut(&id) {
            let number = job.next_occurrence;
            if job.closed.is_some() || number >= job.record.spec.times() {
                return;
            }
            let due = job.record.spec.due(number);
            if due > now.unix {
                self.timed.insert((due, id, number));
                return;
            }
            job.next_occurrence += 1;
            job.occurrence(number);
            self.open_stages(now, id, number);
        }
    }

    /// Makes the steps ready whose turn has come.
    pub(crate) fn open_stages(&mut self, now: Now, id: u64, occurrence: u32) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let order = job.record.spec.due(occurrence).max(job.record.accepted_at);
        let priority = job.record.priority;
        let Some(steps) = job.occurrences.get_mut(&occurrence) else { return };
        let mut units = Vec::new();
        for (number, stage) in job.record.spec.stages.iter().enumerate() {
            let ready =
                |before: &u16| steps.stages.get(usize::from(*before)).is_some_and(|s| s.remaining == 0);
            if steps.stages[number].open || !stage.depends_on.iter().all(ready) {
                continue;
            }
            steps.stages[number].open = true;
            let count = if stage.gang { 1 } else { stage.count };
            let key = |index| TaskKey { job: id, occurrence, stage: number as u16, index };
            let open = |index: &u32| {
                let task = &steps.stages[number].tasks[*index as usize];
                !task.done && task.active.is_empty()
            };
            units.extend((0..count).filter(open).map(key));
        }
        for key in units {
            self.ready.insert((priority, order, key), now.steady);
            self.room_changed = true;
        }
    }

    /// Puts a task, or its gang, back among what waits.
    pub(crate) fn make_ready(&mut self, now: u64, key: TaskKey) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        if job.closed.is_some() {
            return;
        }
        let order = job.record.spec.due(key.occurrence).max(job.record.accepted_at);
        let gang = self.stage(key).is_some_and(|stage| stage.gang);
        let key = if gang { TaskKey { index: 0, ..key } } else { key };
        self.ready.entry((job.record.priority, order, key)).or_insert(now);
        self.room_changed = true;
    }

    /// Takes a task out of what waits: it is done, or runs after all.
    pub(crate) fn forget_ready(&mut self, key: TaskKey) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let order = job.record.spec.due(key.occurrence).max(job.record.accepted_at);
        self.ready.remove(&(job.record.priority, order, key));
    }

    /// Ends a job: nothing of it starts any more, and what runs is stopped.
    pub(crate) fn close(&mut self, now: Now, id: u64, outcome: Outcome) {
        self.record(now.steady, Event::Closed { job: id, outcome, at: now.unix });
        self.closed.push_back((now.unix, id));
        self.ready.retain(|(_, _, key), _| key.job != id);
        self.timed.retain(|(_, job, _)| *job != id);
        self.stop_all(now.steady, id);
    }

    /// Forgets jobs whose end has been told for long enough.
    fn forget_closed(&mut self, now: Now) {
        while let Some((at, id)) = self.closed.front().copied() {
            if now.unix < at + self.bounds.status_ms + FORGET_SLACK_MS {
                break;
            }
            self.closed.pop_front();
            let idle = |job: &Job| {
                let steps = job.occurrences.values().flat_map(|o| &o.stages).flat_map(|s| &s.tasks);
                steps.into_iter().all(|task| task.active.is_empty())
            };
            if self.jobs.get(&id).is_some_and(idle) {
                self.record(now.steady, Event::Forgotten { job: id });
            } else if self.jobs.contains_key(&id) {
                self.closed.push_back((now.unix, id));
            }
        }
    }

    pub(crate) fn note_closed(&mut self, at: u64, id: u64) {
        self.closed.push_back((at, id));
    }

    // Writing, then acting.

    /// The changes since this was last asked. What depends on them goes out when they last.
    pub fn take_write(&mut self) -> Write {
        self.encode_touched()
    }

    /// The number of the batch that holds everything up to now.
    pub fn written_as(&mut self, sequence: u64) {
        self.waiting.extend(self.staged.drain(..).map(|staged| (sequence, staged)));
    }

    /// Everything up to this batch lasts.
    pub fn committed(&mut self, now: Now, sequence: u64) {
        while self.waiting.front().is_some_and(|(at, _)| *at <= sequence) {
            let Some((_, staged)) = self.waiting.pop_front() else { break };
            match staged {
                Staged::Start(task, run) => self.send_start(now, task, run),
                Staged::Forget { worker, ends } => {
                    let held = &mut self.workers[worker as usize];
                    // Not `taken`: ends that were taken since are in a later batch.
                    held.last_seen = held.last_seen.max(ends);
                    if held.hold == HoldState::Recording {
                        held.hold = HoldState::Idle;
                        held.hold_at = now.steady;
                    }
                }
            }
        }
        self.send_holds(now.steady);
    }

    /// What is to be done since this was last asked.
    pub fn drain(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Starts that may still be decided: those on their way, to the disk or to workers, are bounded, so that what waits does
    /// so in its order here.
    pub(crate) fn starts_left(&self) -> usize {
        let under_way = self.staged.len() + self.waiting.len() + self.starts_out;
        MOST_STARTS_OUT.saturating_sub(under_way).min(self.throttle.left())
    }

    /// Starts a recorded run once its record lasts.
    pub(crate) fn stage_start(&mut self, task: TaskKey, run: u32) {
        self.staged.push(Staged::Start(task, run));
    }

    /// Lets a worker forget the ends that were taken so far once their records last.
    pub(crate) fn stage_forget(&mut self, worker: u32) {
        let ends = self.workers[worker as usize].taken;
        self.staged.push(Staged::Forget { worker, ends });
    }

    fn send_start(&mut self, now: Now, key: TaskKey, run: u32) {
        let lives = self.lives(key);
        let Some(held) = self.run_mut(key, run) else { return };
        let worker = held.worker;
        if !lives || held.stopping {
            return self.end_run(now, key, run, crate::events::End::Void, "");
        }
        held.phase = Phase::Ordered;
        held.ordered_at = now.steady;
        let text = self.jobs[&key.job].text.clone();
        let checkpointed = self.checkpoint(key);
        let target = &mut self.workers[worker as usize];
        let Some(until_ms) = target.clock.allow(now.steady, START_AHEAD_MS) else {
            return self.end_run(now, key, run, crate::events::End::Void, "");
        };
        let order = Order::Start { task: key, run, spec: text, until_ms, checkpointed };
        let due = now.steady + self.deadline(worker);
        self.unanswered.insert((due, key, run));
        self.figures.starts += 1;
        self.call(worker, order, deadlines::MOST_MS);
        self.hold_soon(now.steady, worker);
    }

    /// Where a task goes on from; all of a gang from the same point.
    fn checkpoint(&self, key: TaskKey) -> CompactString {
        let Some(stage) = self.stage(key) else { return Default::default() };
        if !stage.checkpoints {
            return Default::default();
        }
        let source = if stage.gang { TaskKey { index: 0, ..key } } else { key };
        self.task(source).map(|task| task.saved.clone()).unwrap_or_default()
    }

    /// How long a worker may take to answer a call that it need not wait for, milliseconds.
    pub(crate) fn deadline(&self, worker: u32) -> u64 {
        self.deadlines.of(&self.workers[worker as usize].zone)
    }

    /// A call to a worker.
    pub(crate) fn call(&mut self, worker: u32, order: Order, timeout_ms: u64) {
        let target = &self.workers[worker as usize];
        if target.address.is_empty() {
            return;
        }
        let (worker, address) = (target.id.clone(), target.address.clone());
        self.calls_out += 1;
        self.starts_out += usize::from(matches!(order, Order::Start { .. }));
        self.effects.push(Effect::Call(Call { worker, address, order, timeout_ms, fence: self.fence }));
    }
}

/// How often progress and hopeless work are looked at, milliseconds.
const WATCH_EVERY_MS: u64 = 250;
/// How much longer than asked a job's end is told, milliseconds.
const FORGET_SLACK_MS: u64 = 10_000;
