//! All decisions of a dispatcher. The interface (settings, events, actions) is in `api.rs`.
//!
//! Ordinary path (NBRW-Pod): walkers move over a shared expander of workers; a job goes to the walker-held
//! worker with the fewest of this dispatcher's own slots in flight.
mod admission;
mod attempts;
mod lists;
mod walk;

use crate::api::*;
use crate::check::check;
use crate::graph::{CYCLES, Graph, Walker, below, unit};
use crate::limiter::Limiter;
use crate::rate::Rate;
use crate::worker::Worker;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use std::sync::Arc;
use walk::room;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const MS: Nanos = 1_000_000;
const SEC: Nanos = 1_000 * MS;
/// Walkers of each graph (d).
const WALKERS: usize = 6;
/// Places on a key's own walk that are looked at in a round.
const KEY_PLACES: usize = 2;
/// A key counts as kept where it was sent within this time, and what a fetch costs in jobs before it is
/// known.
const KEPT: Nanos = 20 * SEC;
const FETCH_GUESS: f64 = 2.0;
const MAX_PLACED: usize = 20_000;
/// How often a walker on an ineligible worker steps on before its place is left out.
const HOPS: usize = 4;
/// The worth, as a share of a request's, that may be spent on its probes.
const PROBE_SPEND: f64 = 0.01;
/// How many times its price a send across zones weighs among workers with equally few own slots: at the
/// price alone, a second free slot in a stale report went before it.
const ZONE_WEIGHT: f64 = 8.0;
/// Log of how much slower than the others a worker must run to be left alone for a while.
const SLOW: f64 = 0.9;
/// The shares of signs of room, probed and started jobs', that admission aims at.
const ROOM_TARGET: f64 = 0.15;
/// A job that is turned away as full counts as this many signs of no room.
const FULL_SIGNS: usize = 4;
const START_TARGET: f64 = 0.5;
/// A report that came with an answer within this time spares a probe.
const FRESH: Nanos = 400 * MS;
/// How often the fleet's workers are counted.
const COUNT_EVERY: Nanos = 500 * MS;
/// How long a send is held against a report that may not show it yet, until the reports' age is known.
const RECENT: Nanos = 500 * MS;
/// Workers that last ended an attempt, connection still open, that are looked at beside the walkers'.
const WARM: usize = 4;
/// How far under a job's slots a worker's free ones may lie where the job would be the first to wait. Slots
/// come back sooner than reports show it, so it starts earlier there than if it were held until a free one
/// is seen. Only where reports tell the queue: else every dispatcher would add to one that none of them
/// sees.
const SHORT: f64 = 0.5;
/// Half-life of what is remembered of a worker's failures.
const MEMORY: Nanos = 10 * SEC;

// ---------------------------------------------------------------- requests and their attempts

#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Out,
    NeverRan,
    MayHaveRan,
}

struct Try {
    worker: u32,
    sent: Nanos,
    fate: Fate,
    started: bool,
    /// When it was first heard of.
    heard: Option<Nanos>,
    /// Its key was not lately at the worker.
    fetches: bool,
    /// Its class had the top priority.
    top: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Held,
    Sent,
    Closed,
}

struct Job {
    req: Request,
    arrived: Nanos,
    due: Nanos,
    /// The most attempts it may have.
    attempts: usize,
    phase: Phase,
    streaming: bool,
    tries: Vec<Try>,
    /// Walker positions drawn while held, and when probes of the present round went out.
    candidates: Vec<u32>,
    round_at: Nanos,
    rounds: u32,
    settling: bool,
}

/// Proof that one more attempt at this worker keeps to the request's class; only [`Job::permit`] makes one,
/// and the only place that sends takes it.
struct Permit(u32);

impl Job {
    fn exposed(&self) -> impl Iterator<Item = &Try> {
        self.tries.iter().filter(|t| t.fate != Fate::NeverRan)
    }

    fn out(&self) -> bool {
        self.tries.iter().any(|t| t.fate == Fate::Out)
    }

    fn permit(&self, set: &Settings, workers: &[Worker], to: u32, now: Nanos) -> Option<Permit> {
        let worker = &workers[to as usize];
        let closed = self.phase == Phase::Closed || self.streaming;
        if closed || now >= self.due || self.tries.len() >= self.attempts {
            return None;
        }
        if worker.state != WorkerState::Ready || (self.out() && !set.limits.second_copies) {
            return None;
        }
        let fits = match set.classes[self.req.class as usize].effect {
            Effect::Safe => true,
            Effect::Unsafe => self.exposed().next().is_none(),
            Effect::Keyed { scope, ttl } => self.exposed().all(|t| {
                let first = &workers[t.worker as usize];
                let same = match scope {
                    Scope::All => true,
                    Scope::Zone => first.zone == worker.zone,
                    Scope::Cell => first.cell == worker.cell,
                };
                // Guards the window's end: the connection may take its whole time to come up before the send.
                same && now + set.limits.connect_timeout < t.sent + ttl
            }),
        };
        fits.then_some(Permit(to))
    }

    /// When it must be answered at the latest, a send no longer being of use.
    fn last(&self, set: &Settings) -> Nanos {
        self.due.saturating_sub(2 * set.tick)
    }

    fn may_refuse(&self, set: &Settings) -> bool {
        match set.classes[self.req.class as usize].effect {
            Effect::Safe | Effect::Keyed { scope: Scope::All, .. } => true,
            _ => self.exposed().next().is_none(),
        }
    }
}

/// Which candidates a job may be bound to: any, those with a report just in, those and the probed ones.
#[derive(Clone, Copy, PartialEq)]
enum Heard {
    Ever,
    Lately,
    Probed,
}

/// What a timer is for; it shares the token with the request's serial number.
#[derive(Clone, Copy, PartialEq)]
enum Alarm {
    Settle = 0,
    Round = 1,
    Discovery = 2,
}

#[derive(Clone, Copy, Default)]
struct ClassStat {
    /// Mean log of the running time (over the hint, where there is one) and its mean deviation.
    log_lag: f64,
    spread: f64,
    samples: f64,
    /// The most time that a request of the class came with: that of first tries, which clients may give less
    /// than the class's deadline.
    longest: Nanos,
}

/// The decisions of one dispatcher.
pub struct Dispatcher {
    set: Settings,
    rng: Pcg64Mcg,
    workers: Vec<Worker>,
    index: FxHashMap<Arc<str>, u32>,
    /// Workers whose attempts ended last, latest at the end.
    warm: Vec<u32>,
    graphs: Vec<Graph>,
    ids: FxHashMap<RequestId, u64>,
    jobs: FxHashMap<u64, Job>,
    held: Vec<u64>,
    serial: u64,
    classes: Vec<ClassStat>,
    ejected: usize,
    retry_tokens: f64,
    /// The top priority of all classes.
    top: i32,
    /// When a key was last sent to a worker, and mean lags of jobs sent where their key lately was and was
    /// not.
    placed: FxHashMap<(u64, u32), Nanos>,
    lag_kept: f64,
    lag_fetched: f64,
    limiter: Limiter,
    /// The share of chances at a probed free slot that is taken.
    bold: f64,
    subscribed: bool,
    asking: bool,
    ask_failures: u32,
    /// How old reports get, nanoseconds.
    report_age: f64,
    /// Slots served a second by warm workers, and workers looked at.
    serve_rate: Rate,
    looks: Rate,
    weight_sum: f64,
    /// How long served jobs ran in the mean, nanoseconds, and the slots of a worker, by those heard of.
    mean_run: f64,
    slots: f64,
    /// Slots that own traffic last brought a warm worker a second, by weight; when workers were counted.
    own_share: f64,
    counted_at: Nanos,
}

impl Dispatcher {
    /// A dispatcher that knows no workers yet.
    ///
    /// # Errors
    /// If a setting makes no sense; the error names it.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        check(&settings)?;
        let mut kinds: Vec<u32> = settings.classes.iter().filter_map(|c| c.kind).collect();
        kinds.sort_unstable();
        kinds.dedup();
        let graphs = std::iter::once(None).chain(kinds.into_iter().map(Some)).map(Graph::new).collect();
        let classes = settings.classes.iter().map(|_| ClassStat::default());
        Ok(Dispatcher {
            classes: classes.collect(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            workers: Vec::new(),
            index: FxHashMap::default(),
            warm: Vec::new(),
            graphs,
            ids: FxHashMap::default(),
            jobs: FxHashMap::default(),
            held: Vec::new(),
            serial: 0,
            ejected: 0,
            retry_tokens: 10.0,
            top: settings.classes.iter().map(|c| c.priority).max().unwrap_or(0),
            limiter: Limiter::default(),
            bold: 1.0,
            placed: FxHashMap::default(),
            lag_kept: 0.0,
            lag_fetched: 0.0,
            subscribed: false,
            asking: false,
            ask_failures: 0,
            report_age: RECENT as f64,
            serve_rate: Rate::default(),
            looks: Rate::default(),
            weight_sum: 0.0,
            mean_run: f64::INFINITY,
            slots: 0.0,
            own_share: 0.0,
            counted_at: 0,
            set: settings,
        })
    }

    /// Takes one event at time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Nanos, event: Event<'_>, out: &mut Vec<Action>) {
        match event {
            Event::Members { scope, entries } => self.members(now, scope, entries, out),
            Event::Request(req) => self.request(now, req, &[], out),
            Event::Adopted { request, tries } => self.request(now, request, tries, out),
            Event::FirstByte { id, .. } => {
                if let Some(job) = self.ids.get(&id).and_then(|s| self.jobs.get_mut(s)) {
                    job.streaming = true;
                }
            }
            Event::Note { id, attempt, .. } => self.note(now, id, attempt as usize),
            Event::Ended { id, attempt, outcome, closed, lag, report } => {
                self.ended(now, id, attempt as usize, outcome, closed, lag, report, out);
            }
            Event::Gone(id) => {
                if let Some(&serial) = self.ids.get(&id) {
                    self.close(serial);
                }
            }
            Event::Timer(token) => self.timer(now, token, out),
            Event::Probed { worker, outcome, report, .. } => {
                self.probed(now, worker, outcome, report, out);
            }
            Event::Retuned { settings, like } => self.retune(*settings, &like),
            Event::Peer { .. } => {}
        }
    }

    /// Takes new settings and keeps what was learned. Open jobs keep the class that they came under: numbers
    /// never shift, the new classes follow all old ones.
    fn retune(&mut self, mut settings: Settings, like: &[Option<u32>]) {
        let new = std::mem::replace(&mut settings.classes, std::mem::take(&mut self.set.classes));
        for kind in new.iter().filter_map(|c| c.kind) {
            if !self.graphs.iter().any(|g| g.kind == Some(kind)) {
                let mut graph = Graph::new(Some(kind));
                graph.settle(&self.workers, &(0..self.workers.len() as u32).collect::<Vec<_>>());
                self.graphs.push(graph);
            }
        }
        self.top = new.iter().map(|c| c.priority).max().unwrap_or(0);
        for i in 0..new.len() {
            let learned = like.get(i).copied().flatten().and_then(|l| self.classes.get(l as usize));
            self.classes.push(learned.copied().unwrap_or_default());
        }
        settings.classes.extend(new);
        self.set = settings;
    }

    /// The workers that a walker may step to from `worker`, one for each edge of the graph of all kinds:
    /// what operators and tests need to see that all dispatchers hold the same graph.
    pub fn neighbours(&self, worker: &str) -> Vec<WorkerId> {
        let Some(&at) = self.index.get(worker) else { return Vec::new() };
        let graph = &self.graphs[0];
        let edges = if graph.is_empty() { 0 } else { 2 * CYCLES };
        let ids = (0..edges).map(|e| graph.neighbour(&self.workers, at, e));
        ids.map(|w| self.workers[w as usize].id.clone()).collect()
    }

    /// Whether a worker that the list has as ready is left alone for now.
    pub fn avoids(&self, now: Nanos, worker: &str) -> bool {
        let worker = self.index.get(worker).map(|&w| &self.workers[w as usize]);
        !self.panic() && worker.is_some_and(|w| w.avoided(now))
    }
}
