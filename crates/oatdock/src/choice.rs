//! All decisions of a dispatcher. The interface (settings, events, actions) is in `api.rs`.
//!
//! Ordinary path (NBRW-Pod): walkers move over a shared expander of workers; a job goes to the walker-held
//! worker with the fewest of this dispatcher's own slots in flight.
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
/// How often the fleet's present capacity is added up.
const CAPACITY_EVERY: Nanos = 500 * MS;
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
                same && now < t.sent + ttl
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
    /// Slots served a second, and workers looked at.
    serve_rate: Rate,
    looks: Rate,
    weight_sum: f64,
    /// The ready workers' weights, each by its ramp, and when that was last added up.
    capacity: f64,
    capacity_at: Nanos,
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
            limiter: Limiter::new(),
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
            capacity: 0.0,
            capacity_at: 0,
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
        let edges = if graph.len() == 0 { 0 } else { 2 * CYCLES };
        let ids = (0..edges).map(|e| graph.neighbour(&self.workers, at, e));
        ids.map(|w| self.workers[w as usize].id.clone()).collect()
    }

    /// Whether a worker that the list has as ready is left alone for now.
    pub fn avoids(&self, now: Nanos, worker: &str) -> bool {
        let worker = self.index.get(worker).map(|&w| &self.workers[w as usize]);
        !self.panic() && worker.is_some_and(|w| w.avoided(now))
    }

    fn members(&mut self, now: Nanos, scope: ListScope, entries: &[Entry<'_>], out: &mut Vec<Action>) {
        let (mut listed, mut moved) = (vec![false; self.workers.len()], Vec::new());
        for entry in entries {
            let i = self.upsert(now, entry, &mut moved);
            if let Some(seen) = listed.get_mut(i as usize) {
                *seen = true;
            }
        }
        if matches!(scope, ListScope::Full | ListScope::Cached) {
            for i in (0..listed.len()).filter(|&i| !listed[i]) {
                self.set_state(i as u32, WorkerState::Gone, self.workers[i].kind, &mut moved);
            }
        }
        if !moved.is_empty() {
            self.graphs.iter_mut().for_each(|g| g.settle(&self.workers, &moved));
        }
        self.capacity_at = 0;
        self.listed(scope, out);
    }

    fn upsert(&mut self, now: Nanos, entry: &Entry<'_>, moved: &mut Vec<u32>) -> u32 {
        let known = self.index.get(entry.worker).copied();
        let i = known.unwrap_or_else(|| {
            let id: Arc<str> = Arc::from(entry.worker);
            let i = self.workers.len() as u32;
            self.index.insert(id.clone(), i);
            self.workers.push(Worker {
                hash: std::array::from_fn(|c| xxh3_64_with_seed(id.as_bytes(), c as u64)),
                id: WorkerId(id),
                state: WorkerState::Gone,
                started: None,
                kind: entry.kind,
                zone: entry.zone,
                cell: entry.cell,
                weight: 1.0,
                own: 0.0,
                idle_conns: 0,
                used_at: 0,
                report: Report::default(),
                report_at: None,
                changed_at: 0,
                repeats: 0,
                smooth: 0.0,
                smooth_at: 0,
                waiting: 0,
                waiting_top: 0,
                probe_out: None,
                probe_ok_at: None,
                full_until: 0,
                fulls: 0,
                slow: 0.0,
                samples: 0.0,
                strikes: 0,
                ejected_until: 0,
                struck_at: 0,
                window_end: 0,
                window_left: 0.0,
            });
            i
        });
        let worker = &mut self.workers[i as usize];
        if worker.state == WorkerState::Ready {
            self.weight_sum += entry.weight - worker.weight;
        }
        (worker.weight, worker.zone, worker.cell) = (entry.weight, entry.zone, entry.cell);
        if entry.started != worker.started {
            // A restart under the same id: what was learned was of the process before.
            worker.started = entry.started.map(|t| t.min(now));
            worker.ejected_until = 0;
            worker.strikes = 0;
            worker.idle_conns = 0;
            worker.report_at = None;
            (worker.window_end, worker.window_left) = (0, 0.0);
        }
        self.set_state(i, entry.state, entry.kind, moved);
        i
    }

    fn set_state(&mut self, i: u32, state: WorkerState, kind: u32, moved: &mut Vec<u32>) {
        let worker = &mut self.workers[i as usize];
        let counted = |s| f64::from(u8::from(s == WorkerState::Ready)) * worker.weight;
        self.weight_sum += counted(state) - counted(worker.state);
        if (worker.state, worker.kind) != (state, kind) {
            moved.push(i);
        }
        (worker.state, worker.kind) = (state, kind);
    }

    // ------------------------------------------------------------ walkers and choice

    /// Takes a request, perhaps one that another process of this dispatcher has begun.
    fn request(&mut self, now: Nanos, req: Request, tried: &[Tried], out: &mut Vec<Action>) {
        self.serial += 1;
        let serial = self.serial;
        self.ids.insert(req.id, serial);
        let class = req.class as usize;
        let longest = self.classes[class].longest.max(req.left);
        self.classes[class].longest = longest.min(self.set.classes[class].deadline);
        self.limiter.arrived(self.lot(&req));
        self.retry_tokens = (self.retry_tokens + 0.3).min(10.0);
        let mut tries = Vec::new();
        for t in tried {
            let Some(&worker) = self.index.get(&t.worker.0) else { continue };
            let fate =
                t.may_have_run.map_or(Fate::Out, |ran| if ran { Fate::MayHaveRan } else { Fate::NeverRan });
            if fate == Fate::Out {
                self.workers[worker as usize].add_own(now, req.slots, self.report_age);
            }
            let (sent, heard) = (t.sent, Some(now));
            tries.push(Try { worker, sent, fate, started: true, heard, fetches: false, top: false });
        }
        let out_there = tries.iter().any(|t| t.fate == Fate::Out);
        self.jobs.insert(
            serial,
            Job {
                arrived: now,
                due: now + req.left,
                attempts: self.set.limits.attempts as usize,
                phase: if out_there { Phase::Sent } else { Phase::Held },
                streaming: false,
                tries,
                candidates: Vec::new(),
                round_at: now,
                rounds: 0,
                settling: false,
                req,
            },
        );
        if !out_there {
            self.decide(now, serial, out);
        }
    }

    /// A round for a job in hand: draw candidates, then send at once or hold it for their probes.
    fn decide(&mut self, now: Nanos, serial: u64, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&serial) else { return };
        let class = &self.set.classes[job.req.class as usize];
        if now >= job.last(&self.set) || job.tries.len() >= job.attempts {
            return self.give_up(serial, out);
        }
        let graph = self.graphs.iter().position(|g| g.kind == class.kind).unwrap_or(0);
        let drawn = self.draw(now, serial, graph);
        for w in &drawn {
            // Walkers stand anywhere, so what is known of their places is a fair sample of the fleet.
            let worker = &self.workers[*w as usize];
            let known = worker.report.free_slots.filter(|_| self.lately(worker, now));
            if let Some(free) = known.filter(|_| !self.warm.contains(w)) {
                self.limiter.observe(free >= 0.5, ROOM_TARGET);
            }
        }
        let Some(job) = self.jobs.get(&serial) else { return };
        if job.rounds == 0 && job.tries.is_empty() && unit(&mut self.rng) > self.taken(&job.req) {
            return self.give_up(serial, out);
        }
        if drawn.is_empty() {
            return self.hold(now, serial, 50 * MS, out);
        }
        let Some(job) = self.jobs.get_mut(&serial) else { return };
        job.candidates.extend(drawn.iter().filter(|w| !job.candidates.contains(w)).collect::<Vec<_>>());
        let spend = PROBE_SPEND / self.set.prices.probe.max(1e-9);
        let blind = !self.set.limits.probes || self.set.reports == ReportVia::None;
        if blind || spend < 2.0 {
            if !self.bind(now, serial, Heard::Ever, out) {
                self.wait_round(now, serial, out);
            }
            return;
        }
        if self.bind(now, serial, Heard::Lately, out) {
            return;
        }
        // Those not heard of just now, in the order of its choice: probing the ones heard of last would
        // ask busy workers again and again, while a free slot elsewhere stays unknown.
        let rank = |w: &u32| {
            let worker = &self.workers[*w as usize];
            (self.lately(worker, now), worker.own, self.cost(worker, now))
        };
        let mut asked = drawn;
        asked.sort_by(|a, b| rank(a).partial_cmp(&rank(b)).unwrap_or(std::cmp::Ordering::Equal));
        for w in asked.into_iter().take(spend as usize) {
            let worker = &mut self.workers[w as usize];
            if worker.probe_out.is_none() {
                worker.probe_out = Some(now);
                out.push(Action::Probe { worker: worker.id.clone() });
            }
        }
        self.wait_round(now, serial, out);
    }

    /// What the limiter counts a request under: its class, and whether its answer can only be late.
    fn lot(&self, req: &Request) -> usize {
        2 * req.class as usize + usize::from(self.slack(req) == 0)
    }

    /// The part of such new requests that is taken.
    fn taken(&self, req: &Request) -> f64 {
        let typical =
            |c: usize| self.classes[c].log_lag.exp() * f64::from(u8::from(self.classes[c].samples > 0.0));
        let work = |lot: usize| typical(lot / 2);
        let worth = |lot: usize| {
            let class = &self.set.classes[lot / 2];
            let earned = class.worth * if lot % 2 == 1 { class.late_share.max(0.01) } else { 1.0 };
            if self.set.worth_by_work { earned } else { earned / work(lot) }
        };
        self.limiter.part(self.lot(req), worth, work)
    }

    fn wait_round(&mut self, now: Nanos, serial: u64, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&serial) else { return };
        job.round_at = now;
        let wait = (40 * MS) << job.rounds.min(4);
        job.rounds += 1;
        self.hold(now, serial, wait, out);
    }

    /// Positions of the walkers, each stepped on past ineligible workers; then every walker steps on.
    fn draw(&mut self, now: Nanos, serial: u64, graph: usize) -> Vec<u32> {
        let mut drawn = Vec::with_capacity(WALKERS);
        let panic = self.panic();
        if now >= self.capacity_at + CAPACITY_EVERY {
            let ready = self.workers.iter().filter(|w| w.state == WorkerState::Ready);
            self.capacity = ready.map(|w| w.weight * w.ramp(&self.set.rules, now)).sum();
            self.capacity_at = now;
        }
        let Some(job) = self.jobs.get(&serial) else { return drawn };
        let graph = &mut self.graphs[graph];
        let n = graph.len();
        if n == 0 {
            return drawn;
        }
        let window_s = self.set.rules.tip_after as f64 / SEC as f64;
        let mut scene = Scene {
            share: self.serve_rate.at(now) * window_s / self.capacity.max(1e-3),
            looks: &mut self.looks,
            mean_weight: self.weight_sum / n as f64,
            set: &self.set,
            workers: &mut self.workers,
            rng: &mut self.rng,
            now,
            panic,
        };
        if let Some(key) = job.req.key {
            // Workers keep what a key needs. Walkers start again at the key's home and their steps follow
            // from the key, so all dispatchers look for it in the same few places; later rounds walk
            // further.
            let home = xxh3_64_with_seed(&key.to_le_bytes(), CYCLES as u64);
            let p = graph.cycles[0].partition_point(|(h, _)| *h < home) % n;
            let mut walker = Walker { at: graph.cycles[0][p].1, from: u32::MAX };
            let mut steps = Pcg64Mcg::seed_from_u64(home);
            let want = KEY_PLACES + job.rounds as usize;
            for _ in 0..want * HOPS {
                let near = scene.workers[walker.at as usize].zone == scene.set.zone;
                let crosses = near || job.rounds > 0 || scene.set.prices.cross_zone == 0.0;
                if crosses && !drawn.contains(&walker.at) && scene.eligible(job, walker.at) {
                    drawn.push(walker.at);
                }
                if drawn.len() >= want.min(n) {
                    break;
                }
                walker = graph.step(scene.workers, walker, &mut steps);
            }
            if !drawn.is_empty() {
                return drawn;
            }
        }
        // The chance that a worker is looked at in a window, walkers standing anywhere: its share of the
        // windows that nobody looks in would be lost, and with few requests to a scheduler those are nearly
        // all. A key's own places are looked at far oftener, so there the share is not raised.
        let seen = 1.0 - (-scene.looks.at(now).max(1e-3) * window_s / n as f64).exp();
        scene.share /= seen;
        // The workers heard of last stand beside the walkers' places: a slot just came back there and a
        // connection is open. This is the memory that the paper names among the variants of its scheme.
        for &w in self.warm.iter().rev() {
            let worker = &scene.workers[w as usize];
            let open = worker.connected(&scene.set.limits, now);
            if open && drawn.len() < WARM && graph.holds(scene.workers, w) && scene.eligible(job, w) {
                drawn.push(w);
            }
        }
        let mut walkers = std::mem::take(&mut graph.walkers);
        while walkers.len() < WALKERS {
            let at = graph.cycles[0][below(scene.rng, n)].1;
            walkers.push(Walker { at, from: u32::MAX });
        }
        for walker in &mut walkers {
            for _ in 0..=HOPS {
                if !drawn.contains(&walker.at) && scene.eligible(job, walker.at) {
                    drawn.push(walker.at);
                    break;
                }
                *walker = graph.step(scene.workers, *walker, scene.rng);
            }
        }
        for walker in &mut walkers {
            *walker = graph.step(scene.workers, *walker, scene.rng);
        }
        graph.walkers = walkers;
        if drawn.is_empty() {
            // No walker stands well: an eligible worker is drawn at random.
            let from = below(scene.rng, n);
            let ring = &graph.cycles[0];
            drawn.extend((0..n).map(|k| ring[(from + k) % n].1).find(|&w| scene.eligible(job, w)));
        }
        drawn
    }

    fn panic(&self) -> bool {
        self.ejected * 2 > self.graphs[0].len()
    }

    fn hold(&mut self, now: Nanos, serial: u64, wait: Nanos, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&serial) else { return };
        job.phase = Phase::Held;
        if !self.held.contains(&serial) {
            self.held.push(serial);
        }
        let after = wait.min(job.last(&self.set).saturating_sub(now));
        out.push(Action::Timer { after, token: serial << 2 | Alarm::Round as u64 });
    }

    /// Sends a job to the candidate with the fewest own slots in flight. With `heard`, only candidates
    /// whose probe came back in this round with room count.
    fn bind(&mut self, now: Nanos, serial: u64, heard: Heard, out: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.get(&serial) else { return false };
        let mut best: Option<(f64, f64, Permit)> = None;
        for &w in &job.candidates {
            let worker = &self.workers[w as usize];
            let probed = worker.probe_ok_at.is_some_and(|t| t >= job.round_at);
            let lately = self.lately(worker, now);
            if heard == Heard::Lately && !lately || heard == Heard::Probed && !(probed || lately) {
                continue;
            }
            if !self.room(worker, job, now) {
                continue;
            }
            if worker.ejected_until > now && !self.panic() {
                continue;
            }
            let Some(permit) = job.permit(&self.set, &self.workers, w, now) else { continue };
            let home = job.candidates.first() == Some(&w);
            let fetch = !home && job.req.key.is_some_and(|k| !self.keeps(k, w, now));
            let rank = (worker.own + self.fetch_cost() * f64::from(u8::from(fetch)), self.cost(worker, now));
            if best.as_ref().is_none_or(|b| rank < (b.0, b.1)) {
                best = Some((rank.0, rank.1, permit));
            }
        }
        match best {
            Some((_, _, permit)) => self.send(now, serial, permit, out),
            None => return false,
        }
        true
    }

    fn lately(&self, worker: &Worker, now: Nanos) -> bool {
        self.set.reports == ReportVia::Answers && worker.report_at.is_some_and(|t| now < t + FRESH)
    }

    fn room(&self, worker: &Worker, job: &Job, now: Nanos) -> bool {
        if worker.report.free_memory.is_some_and(|free| free < job.req.memory) {
            return false;
        }
        let top = self.set.classes[job.req.class as usize].priority == self.top;
        let ahead = if top { worker.waiting_top } else { worker.waiting };
        room(worker, job.req.slots, ahead, now, self.set.tick, self.report_age)
    }

    /// The tie-break: what a send to this worker costs beside its own slots, in shares of a request's worth.
    fn cost(&self, worker: &Worker, now: Nanos) -> f64 {
        let prices = &self.set.prices;
        let mut cost = 0.0;
        if worker.zone != self.set.zone {
            cost += ZONE_WEIGHT * prices.cross_zone;
        }
        if !worker.connected(&self.set.limits, now) {
            cost += prices.handshake;
        }
        if let (Some(free), Some(_)) = (worker.report.free_slots, worker.report_at) {
            cost += 0.1 * (2.0 - (free - worker.recent(now, self.report_age)).clamp(-1.0, 2.0));
        }
        cost + 0.2 * worker.slow * worker.samples / (worker.samples + 2.0) + 0.1 / worker.weight.max(0.1)
    }

    fn keeps(&self, key: u64, w: u32, now: Nanos) -> bool {
        self.placed.get(&(key, w)).is_some_and(|at| now < at + KEPT)
    }

    /// What fetching a key holds up, in jobs: measured, so keys that cost nothing to move move freely.
    fn fetch_cost(&self) -> f64 {
        if self.lag_kept == 0.0 || self.lag_fetched == 0.0 {
            return FETCH_GUESS;
        }
        (self.lag_fetched / self.lag_kept - 1.0).clamp(0.0, 8.0)
    }

    /// The one place that sends.
    fn send(&mut self, now: Nanos, serial: u64, permit: Permit, out: &mut Vec<Action>) {
        let key = self.jobs.get(&serial).and_then(|j| j.req.key);
        let fetches = key.is_some_and(|k| !self.keeps(k, permit.0, now));
        if let Some(key) = key {
            if self.placed.len() > MAX_PLACED {
                self.placed.retain(|_, at| now < *at + KEPT);
            }
            self.placed.insert((key, permit.0), now);
        }
        let Some(job) = self.jobs.get_mut(&serial) else { return };
        let worker = &mut self.workers[permit.0 as usize];
        let top = self.set.classes[job.req.class as usize].priority == self.top;
        self.held.retain(|s| *s != serial);
        job.phase = Phase::Sent;
        job.settling = false;
        job.tries.push(Try {
            worker: permit.0,
            sent: now,
            fate: Fate::Out,
            started: !self.set.tells_start,
            heard: None,
            fetches,
            top,
        });
        worker.add_own(now, job.req.slots, self.report_age);
        if self.set.tells_start {
            worker.waiting += 1;
            worker.waiting_top += u32::from(top);
        }
        if now > worker.used_at + self.set.limits.conn_idle {
            worker.idle_conns = 0;
        }
        worker.idle_conns = worker.idle_conns.saturating_sub(1);
        worker.used_at = now;
        if worker.ramp(&self.set.rules, now) < 1.0 {
            worker.window_left -= job.req.slots;
        }
        out.push(Action::Send { id: job.req.id, worker: worker.id.clone(), timeout: None });
    }

    // ------------------------------------------------------------ health

    fn probed(
        &mut self,
        now: Nanos,
        name: &str,
        outcome: Outcome,
        report: Option<Report>,
        out: &mut Vec<Action>,
    ) {
        let Some(&w) = self.index.get(name) else { return };
        self.workers[w as usize].probe_out = None;
        self.learn_report(w, now, report);
        if outcome == Outcome::ConnectFailed || outcome == Outcome::Error {
            self.strike(w, now, 2 * SEC);
        }
        if outcome != Outcome::Ok {
            return;
        }
        if let Some(free) = report.and_then(|r| r.free_slots) {
            self.limiter.observe(free >= 0.5, ROOM_TARGET);
        }
        let worker = &mut self.workers[w as usize];
        worker.probe_ok_at = Some(now);
        let mut ready = Vec::new();
        for &serial in &self.held {
            let Some(job) = self.jobs.get_mut(&serial) else { continue };
            if !job.settling
                && job.candidates.contains(&w)
                && room(worker, job.req.slots, 0, now, self.set.tick, self.report_age)
            {
                job.settling = true;
                ready.push(serial);
            }
        }
        for serial in ready {
            // Answers that left together come within a tick of each other: settle on the next one.
            out.push(Action::Timer { after: 0, token: serial << 2 | Alarm::Settle as u64 });
        }
    }

    fn learn_report(&mut self, w: u32, now: Nanos, report: Option<Report>) {
        if let Some(report) = report {
            let worker = &mut self.workers[w as usize];
            if report == worker.report {
                worker.repeats += 1;
            } else {
                // Reports that repeat until they change show how long the workers keep one.
                if worker.repeats > 0 {
                    self.report_age += 0.05 * ((now - worker.changed_at) as f64 - self.report_age);
                }
                (worker.repeats, worker.changed_at) = (0, now);
            }
            worker.report = report;
            worker.report_at = Some(now);
        }
    }

    fn strike(&mut self, w: u32, now: Nanos, base: Nanos) {
        let worker = &mut self.workers[w as usize];
        if now > worker.struck_at + MEMORY {
            worker.strikes = 0;
        }
        worker.strikes = (worker.strikes + 1).min(4);
        worker.struck_at = now;
        let long = base << (worker.strikes - 1);
        self.eject(w, now, long);
    }

    fn eject(&mut self, w: u32, now: Nanos, long: Nanos) {
        let worker = &mut self.workers[w as usize];
        worker.ejected_until = worker.ejected_until.max(now + long);
        self.ejected =
            self.workers.iter().filter(|w| w.ejected_until > now && w.state == WorkerState::Ready).count();
    }

    /// News of an attempt: it runs.
    fn note(&mut self, now: Nanos, id: RequestId, attempt: usize) {
        let Some(&serial) = self.ids.get(&id) else { return };
        self.started(now, serial, attempt, true);
        let Some(job) = self.jobs.get_mut(&serial) else { return };
        let Some(this) = job.tries.get_mut(attempt) else { return };
        this.heard.get_or_insert(now);
    }

    /// An attempt has left its worker's queue, by starting (`ran`) or by ending unstarted.
    fn started(&mut self, now: Nanos, serial: u64, attempt: usize, ran: bool) {
        let Some(job) = self.jobs.get_mut(&serial) else { return };
        let Some(attempt) = job.tries.get_mut(attempt).filter(|t| !t.started) else { return };
        attempt.started = true;
        let worker = &mut self.workers[attempt.worker as usize];
        worker.waiting = worker.waiting.saturating_sub(1);
        let class = &self.set.classes[job.req.class as usize];
        worker.waiting_top = worker.waiting_top.saturating_sub(u32::from(attempt.top));
        if ran {
            let (lag, slack) = (now - attempt.sent, class.aim / 2);
            self.limiter.observe(lag < slack, START_TARGET);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn ended(
        &mut self,
        now: Nanos,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        closed: bool,
        lag: Nanos,
        report: Option<Report>,
        out: &mut Vec<Action>,
    ) {
        let Some(&serial) = self.ids.get(&id) else { return };
        let Some(job) = self.jobs.get_mut(&serial) else { return };
        let number = attempt;
        let Some(attempt) = job.tries.get_mut(number).filter(|t| t.fate == Fate::Out) else { return };
        attempt.fate = if outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRan };
        let (w, class, fetches) = (attempt.worker, job.req.class as usize, attempt.fetches);
        let slots = job.req.slots;
        let (keyed, hint, job_heard) = (job.req.key.is_some(), job.req.hint, attempt.heard);
        let worker = &mut self.workers[w as usize];
        worker.add_own(now, -job.req.slots, self.report_age);
        if outcome != Outcome::ConnectFailed && outcome != Outcome::Moot {
            worker.idle_conns += 1;
            worker.used_at = now;
            self.warm.retain(|x| *x != w);
            self.warm.push(w);
            if self.warm.len() > 4 * WARM {
                self.warm.remove(0);
            }
        }
        self.started(now, serial, number, false);
        self.learn_report(w, now, report);
        match outcome {
            Outcome::Ok => {
                // Served, not sent: in a crowd most sends come back full, whatever workers can do.
                self.bold = (self.bold * 1.1).min(1.0);
                self.workers[w as usize].fulls = 0;
                self.workers[w as usize].strikes = 0;
                self.serve_rate.add(now, slots);
                let mean = if fetches { &mut self.lag_fetched } else { &mut self.lag_kept };
                if keyed {
                    let first = *mean == 0.0;
                    *mean += (lag as f64 - *mean) * if first { 1.0 } else { 0.02 };
                } else {
                    // Jobs with keys do not count: an evicted key's fetch would pass for slowness.
                    let heard = job_heard.filter(|_| self.set.tells_start);
                    self.learn_lag(w, now, class, heard.map_or(lag, |t| now - t), hint);
                }
            }
            Outcome::Full => {
                // One that turns everything away looks idle by reports and own slots and would win for ever.
                let worker = &mut self.workers[w as usize];
                worker.full_until = now + ((300 * MS) << worker.fulls.min(5));
                worker.fulls += 1;
                self.bold = (self.bold * 0.8).max(0.1);
                (0..FULL_SIGNS).for_each(|_| self.limiter.observe(false, ROOM_TARGET));
            }
            Outcome::ConnectFailed | Outcome::Reset => self.strike(w, now, 2 * SEC),
            Outcome::Error | Outcome::Timeout => self.strike(w, now, 4 * SEC),
            Outcome::Cancelled | Outcome::Moot => {}
        }
        let Some(job) = self.jobs.get(&serial) else { return };
        if closed || job.phase == Phase::Closed {
            return self.close(serial);
        }
        if job.out() || job.phase == Phase::Held {
            return;
        }
        let again = match self.set.classes[class].effect {
            Effect::Unsafe => job.exposed().next().is_none(),
            _ => !job.streaming,
        };
        if again && self.retry_tokens >= 1.0 && outcome != Outcome::Moot {
            self.retry_tokens -= 1.0;
            if let Some(job) = self.jobs.get_mut(&serial) {
                job.candidates.clear();
                job.rounds = 0;
            }
            self.decide(now, serial, out);
        } else {
            self.give_up(serial, out);
        }
    }

    /// A job's running time, against its hint or else its class, tells how slow the worker is beside the
    /// others.
    fn learn_lag(&mut self, w: u32, now: Nanos, class: usize, run: Nanos, hint: Option<Nanos>) {
        let worker = &mut self.workers[w as usize];
        let stat = &mut self.classes[class];
        let log = (run.max(1) as f64 / hint.unwrap_or(1).max(1) as f64).ln();
        stat.samples += 1.0;
        let alpha = (1.0 / stat.samples).max(0.02);
        stat.log_lag += alpha * (log - stat.log_lag);
        let off = log - stat.log_lag;
        stat.spread += alpha * (off.abs() - stat.spread);
        worker.samples = (worker.samples + 1.0).min(6.0);
        worker.slow += (off - worker.slow) / worker.samples;
        let sure = worker.slow * worker.samples.sqrt() > 3.0 * stat.spread.max(0.2);
        if sure && worker.slow > SLOW && stat.samples > 30.0 {
            // It answers, but several times slower than the others: a slot there looks free and is not
            // worth it.
            worker.samples = 1.0;
            self.eject(w, now, 5 * SEC);
        }
    }

    // ------------------------------------------------------------ admission and retries

    /// The final answer when no attempt can serve any more: a refusal while that is harmless, else a failure.
    fn give_up(&mut self, serial: u64, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&serial) else { return };
        let id = job.req.id;
        if job.out() {
            job.phase = Phase::Sent;
            return self.held.retain(|s| *s != serial);
        }
        if job.may_refuse(&self.set) {
            let wait = self.set.limits.max_retry_after.min(300 * MS);
            let retry_after = self.set.limits.retry_after.then_some(wait);
            out.push(Action::Refuse { id, retry_after });
        } else {
            out.push(Action::Fail { id });
        }
        self.close(serial);
    }

    /// Ends a job; it is kept only while attempts are still out, for the count of slots.
    fn close(&mut self, serial: u64) {
        let Some(job) = self.jobs.get_mut(&serial) else { return };
        if job.phase == Phase::Held {
            self.held.retain(|s| *s != serial);
        }
        job.phase = Phase::Closed;
        if !job.out() {
            self.ids.remove(&job.req.id);
            self.jobs.remove(&serial);
        }
    }

    /// How long a request may still wait for its start and end in time, at the class's typical running time.
    /// A client's later tries come with what is left of the first one's time, from which the aim counts.
    fn slack(&self, req: &Request) -> Nanos {
        let class = &self.set.classes[req.class as usize];
        let typical = self.classes[req.class as usize].log_lag.exp();
        let work = typical * req.hint.map_or(1.0, |h| h as f64);
        let whole = (class.aim as f64 + (class.stretch - 1.0) * work).max(class.aim as f64 / 4.0) as Nanos;
        whole.saturating_sub(self.classes[req.class as usize].longest.saturating_sub(req.left))
    }

    // ------------------------------------------------------------ deadlines

    fn timer(&mut self, now: Nanos, token: u64, out: &mut Vec<Action>) {
        let serial = token >> 2;
        match token & 3 {
            t if t == Alarm::Discovery as u64 => self.ask(out),
            t if t == Alarm::Settle as u64 => {
                let Some(job) = self.jobs.get_mut(&serial).filter(|j| j.phase == Phase::Held) else { return };
                job.settling = false;
                // Others see the same free slot: turned away often, it takes only some of its chances.
                if unit(&mut self.rng) < self.bold {
                    self.bind(now, serial, Heard::Probed, out);
                }
            }
            _ => {
                let Some(job) = self.jobs.get(&serial).filter(|j| j.phase == Phase::Held) else { return };
                // No walker has found room for as long as the job could wait and still end in time: the
                // fleet is overloaded. Joining a queue now would make this job late and the next ones too.
                let aim = self.set.classes[job.req.class as usize].aim;
                if now >= job.arrived + self.slack(&job.req).max(aim / 4) {
                    return self.give_up(serial, out);
                }
                self.decide(now, serial, out);
            }
        }
    }

    // ------------------------------------------------------------ discovery

    fn listed(&mut self, scope: ListScope, out: &mut Vec<Action>) {
        if !self.set.must_ask {
            return;
        }
        let every = self.set.rules.ask_every.max(SEC);
        match scope {
            ListScope::Cached => {
                // Dispatchers that start together must not call together.
                let spread = (u64::from(self.set.instances) * 40 * MS).min(every / 2);
                let after = (unit(&mut self.rng) * spread as f64) as Nanos;
                out.push(Action::Timer { after, token: Alarm::Discovery as u64 });
            }
            ListScope::Failed => {
                self.subscribed = false;
                self.asking = false;
                self.ask_failures = (self.ask_failures + 1).min(4);
                let wait = ((SEC / 4) << self.ask_failures).min(every) as f64;
                let after = (wait * (0.5 + unit(&mut self.rng))) as Nanos;
                out.push(Action::Timer { after, token: Alarm::Discovery as u64 });
            }
            ListScope::Changes | ListScope::Full => {
                if self.asking {
                    self.subscribed = true;
                }
                self.asking = false;
                self.ask_failures = 0;
            }
        }
    }

    fn ask(&mut self, out: &mut Vec<Action>) {
        if !self.subscribed && !self.asking {
            self.asking = true;
            out.push(Action::Subscribe);
        }
    }
}

/// Whether a worker seems to have room for `slots` more: by its report, own sends since then counted, or by
/// this dispatcher's own jobs, where workers tell starts: none may still wait there that goes before.
fn room(worker: &Worker, slots: f64, ahead: u32, now: Nanos, tick: Nanos, age: f64) -> bool {
    match (worker.report.free_slots, worker.report.backlog) {
        (Some(free), queue) => {
            // Nobody waits there by its report, nor does a job of ours.
            let first = queue.is_some_and(|q| q < 1.0) && worker.waiting == 0;
            free - worker.recent(now, age) >= slots - 0.5 - if first { SHORT } else { 0.0 }
        }
        (None, Some(backlog)) => backlog + worker.recent(now, age) < 1.0,
        (None, None) => ahead == 0 || now < worker.used_at + 3 * tick,
    }
}

/// What the test of a worker's eligibility needs beside the job.
struct Scene<'a> {
    set: &'a Settings,
    workers: &'a mut [Worker],
    rng: &'a mut Pcg64Mcg,
    now: Nanos,
    /// So many are ejected that ejection says nothing any more.
    panic: bool,
    /// Slots that this dispatcher sends to a warm worker of weight 1 in a window of the cold budget; for
    /// places of walkers, over the chance that it looks at the worker in that window.
    share: f64,
    /// How often it looks at workers.
    looks: &'a mut Rate,
    mean_weight: f64,
}

impl Scene<'_> {
    fn eligible(&mut self, job: &Job, at: u32) -> bool {
        let now = self.now;
        self.looks.add(now, 1.0);
        let tried = job.tries.iter().any(|t| t.worker == at);
        if tried || job.permit(self.set, self.workers, at, now).is_none() {
            return false;
        }
        let worker = &mut self.workers[at as usize];
        if !self.panic && worker.avoided(now) {
            return false;
        }
        let rules = &self.set.rules;
        if worker.ramp(rules, now) >= 1.0 {
            return true;
        }
        // A fresh worker looks idle to every dispatcher at once, and together they would push it over. Each
        // keeps to its own share of what such a worker can do, and as it warms up of up to half of what the
        // rule lets it bear: of few jobs chance brings twice as many. Where that is under one job a window,
        // by chance. A weight that falls with load would make it look large, so it counts for the mean at
        // most; a job of several slots goes into debt with the windows to come.
        if now >= worker.window_end {
            let ramp = worker.ramp(rules, now);
            let bears = 1.0 + (rules.tip_multiple / 2.0 - 1.0).max(0.0) * ramp;
            let fair = bears * ramp * self.share * worker.weight.min(self.mean_weight);
            let granted = fair.floor() + f64::from(u8::from(unit(self.rng) < fair.fract()));
            worker.window_left = worker.window_left.min(0.0) + granted;
            worker.window_end = now + rules.tip_after;
        }
        worker.window_left > 0.0
    }
}
