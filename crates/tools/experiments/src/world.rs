//! The fleet in virtual time: clients, schedulers, network, discovery and workers, one event after
//! the other. The schedulers
//! under [`PolicyName::Walkers`] are the program's own reducer with the module in it, not copies.
//!
//! Modelled: what the deployment's pages describe (cores, slots, queues, cold starts, late reports,
//! pods that drop repeats, late
//! lists, deadlines, retries). Not modelled: the schedulers' own CPU, progress notices, the front's
//! delay in noticing a dead
//! scheduler beyond a refused connection.
use crate::Nanos;
use crate::outcome::{Outcome, Series};
use crate::rival::{ANYWHERE, Rival};
use crate::spec::{ClassSpec, Experiment, Law, PolicyName, Repeats, TroubleKind, TroubleSpec};
use crate::streams::{Concern, Stream};
use crate::worker::{Health, Make, Memory, Worker};
use rustc_hash::{FxHashMap, FxHashSet};
use spanlead_balancing_policy::{
    DeduplicationScope, EndpointUpdate, Idempotency, Limits, LoadReport, LoadReporting, Outcome as Ended,
    Prices, RequestClass, RequestId, SafetyRules, Settings, Tenant, WorkerState,
};
use spanlead_deployment_settings::Names;
use spanlead_engine::{
    Answer, AttemptId, DispatchResult, Effect, Engine, Input, JobRequest, JobUpdate, WorkerEndpoint,
    WorkerNotice,
};
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

const MS: Nanos = 1_000_000;
const SEC: Nanos = 1_000 * MS;
/// Virtual time begins there: what started "long ago" did so before.
const BEGIN: Nanos = 1_000 * SEC;
/// How long a killed scheduler is down.
const DOWN: Nanos = SEC / 2;
/// Steps of a rolling deploy.
const STEPS: u64 = 10;

fn ns(ms: f64) -> Nanos {
    (ms * MS as f64) as Nanos
}

enum Brain {
    Real(Box<Engine>),
    Rival(Box<Rival>),
    Dead,
}

struct Node {
    brain: Brain,
    /// Counts its processes: what belongs to an earlier one is not heard.
    epoch: u32,
    /// The job of each open request.
    tickets: FxHashMap<RequestId, u32>,
    next_ticket: u64,
    /// When it is ticked next.
    tick_at: Nanos,
    watching: bool,
    version: u64,
    known: Arc<Vec<WorkerEndpoint>>,
}

/// What a client wants done.
struct Wanted {
    class: u16,
    tries: u8,
    over: bool,
    /// Its work, nanoseconds of a core of speed 1.
    work: f64,
    asked: Nanos,
    /// The try that is out: node, `request_id`, until when.
    out: Option<(u32, RequestId, u32)>,
    /// Attempts at workers that have neither ended nor been called off.
    flying: u8,
    /// Where it has begun: the pod or zone, plus one.
    began: u32,
}

struct Flying {
    job: u32,
    node: u32,
    epoch: u32,
    attempt: AttemptId,
    worker: u32,
    id: Arc<str>,
    keyed: bool,
    /// The client's try that it belongs to.
    of: u8,
}

enum Event {
    Arrive,
    Again(u32),
    Patience { job: u32, request_id: RequestId, node: u32, epoch: u32 },
    Tick { node: u32, epoch: u32 },
    Node { node: u32, epoch: u32, input: Box<Input> },
    AtWorker(u64),
    Finish { worker: u32, stamp: u64 },
    CallOff { flying: u64, until: Nanos },
    Probe { node: u32, epoch: u32, worker: u32, sent: Nanos, until: Nanos },
    Watch { node: u32, epoch: u32, version: u64 },
    Listed(Vec<u32>),
    Trouble(usize, bool),
    Deploy(Arc<Vec<usize>>, u64, Nanos),
    Scheduler(u32, bool),
    Sample,
}

struct Entry {
    at: Nanos,
    serial: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.serial).cmp(&(self.at, self.serial))
    }
}

/// A fleet that is played.
pub struct World {
    spec: Arc<Experiment>,
    policy: PolicyName,
    now: Nanos,
    serial: u64,
    queue: BinaryHeap<Entry>,
    arrivals: Stream,
    work: Stream,
    network: Stream,
    clients: Stream,
    troubles: Stream,
    seeds: Stream,
    nodes: Vec<Node>,
    workers: Vec<Worker>,
    names: Arc<Names>,
    settings: Settings,
    worker_names: Vec<Arc<str>>,
    /// What discovery says of each worker, and its version's log.
    listed: Vec<WorkerEndpoint>,
    log: Vec<(u64, u32)>,
    discovery_busy: Nanos,
    blind: bool,
    jobs: Vec<Wanted>,
    flying: FxHashMap<u64, Flying>,
    by_attempt: FxHashMap<(u32, u32, AttemptId), u64>,
    next_flying: u64,
    memories: Vec<Memory>,
    /// Cumulated shares of traffic.
    shares: Vec<f64>,
    overload: f64,
    rate: f64,
    ends: Nanos,
    /// For the retry budget: first tries and retries of late, decayed.
    budget: (f64, f64, Nanos),
    out: Outcome,
    effects: Vec<Effect>,
    last_busy: Vec<f64>,
    double: FxHashSet<u32>,
}

impl World {
    /// A fleet under a policy and a seed.
    pub fn new(spec: Arc<Experiment>, policy: PolicyName, seed: u64) -> Self {
        let settings = settings(&spec);
        let names = Arc::new(names(&spec));
        let f = &spec.fleet;
        let make = |i: u32| Make {
            cores: f.cores,
            slots: f.slots,
            queue: f.queue,
            speed: f.speeds[i as usize % f.speeds.len()],
            cold: ns(f.cold_s * 1000.0),
            cold_from: f.cold_from,
            tip_multiple: f.tip_multiple,
            tip_after: ns(f.tip_s * 1000.0),
            report: f.reports.then_some(ns(f.report_ms)),
        };
        let workers: Vec<Worker> = (0..f.workers).map(|i| Worker::new(make(i))).collect();
        let mean_speed = workers.iter().map(|w| w.make.speed).sum::<f64>() / workers.len() as f64;
        let worker_names: Vec<Arc<str>> = (0..f.workers)
            .map(|i| Arc::from(format!("w{i:05}-{:04x}", (i.wrapping_mul(40_503)) & 0xffff)))
            .collect();
        let host = |i: u32| WorkerEndpoint {
            name: worker_names[i as usize].clone(),
            addr: address(i),
            state: WorkerState::Ready,
            started: None,
            kind: Some(0),
            zone: Some(i % f.zones),
            // Pods lie within a zone.
            cell: Some((i / f.zones / f.pod) * f.zones + i % f.zones),
            weight: Some(workers[i as usize].make.speed / mean_speed),
        };
        let listed: Vec<WorkerEndpoint> = (0..f.workers).map(host).collect();
        let capacity: f64 =
            workers.iter().map(|w| f64::from(w.make.cores.min(w.make.slots)) * w.make.speed).sum();
        let all: f64 = spec.classes.iter().map(|c| c.share).sum();
        let mean = spec.classes.iter().map(|c| c.run_ms * c.share / all).sum::<f64>() / 1000.0;
        let rate = spec.load.utilisation * capacity / mean;
        let weights = (1..=spec.schedulers.count).map(|n| f64::from(n).powf(-spec.schedulers.skew));
        let sum: f64 = weights.clone().sum();
        let shares = weights
            .scan(0.0, |at, w| {
                *at += w / sum;
                Some(*at)
            })
            .collect();
        let groups = listed.iter().filter_map(|h| h.cell).max().unwrap_or(0) as usize + 1 + f.zones as usize;
        let stream = |concern| Stream::new(seed, concern);
        let ends = BEGIN + ns(spec.load.duration_s * 1000.0);
        let windows = spec.load.duration_s.ceil() as usize;
        let mut world = World {
            policy,
            now: BEGIN,
            serial: 0,
            queue: BinaryHeap::new(),
            arrivals: stream(Concern::Arrivals),
            work: stream(Concern::Work),
            network: stream(Concern::Network),
            clients: stream(Concern::Clients),
            troubles: stream(Concern::Troubles),
            seeds: stream(Concern::Seeds),
            nodes: Vec::new(),
            last_busy: vec![0.0; workers.len()],
            workers,
            names,
            settings,
            worker_names,
            log: Vec::new(),
            discovery_busy: 0,
            blind: false,
            jobs: Vec::new(),
            flying: FxHashMap::default(),
            by_attempt: FxHashMap::default(),
            next_flying: 0,
            memories: (0..groups).map(|_| Memory::default()).collect(),
            shares,
            overload: 1.0,
            rate,
            ends,
            budget: (0.0, 0.0, BEGIN),
            out: Outcome::new(windows, spec.fleet.workers as usize),
            effects: Vec::new(),
            listed,
            double: FxHashSet::default(),
            spec,
        };
        let known = Arc::new(world.listed.clone());
        for number in 0..world.spec.schedulers.count {
            let brain = world.brain(number as usize, seed);
            world.nodes.push(Node {
                brain,
                epoch: 0,
                tickets: FxHashMap::default(),
                next_ticket: 0,
                tick_at: Nanos::MAX,
                watching: false,
                version: 0,
                known: known.clone(),
            });
        }
        world
    }

    fn brain(&mut self, number: usize, seed: u64) -> Brain {
        let own = self.seeds.number();
        match self.policy {
            PolicyName::Walkers => {
                let mut settings = self.settings.clone();
                settings.instance = number as u32;
                settings.zone = number as u32 % self.spec.fleet.zones;
                let engine = Engine::new(
                    settings,
                    self.names.clone(),
                    own,
                    100_000,
                    ([127, 0, 0, 1], 9).into(),
                    false,
                );
                engine.map_or(Brain::Dead, |engine| Brain::Real(Box::new(engine)))
            }
            rule => {
                let effects = self.settings.classes.iter().map(|c| c.idempotency).collect();
                let rng = Stream::new(seed ^ own, Concern::Rivals);
                Brain::Rival(Box::new(Rival::new(rule, number, effects, rng)))
            }
        }
    }

    /// Plays it to its end.
    pub fn play(mut self) -> Outcome {
        for node in 0..self.nodes.len() as u32 {
            self.introduce(node);
        }
        self.after(0, Event::Arrive);
        self.after(SEC, Event::Sample);
        for number in 0..self.spec.troubles.len() {
            let t = &self.spec.troubles[number];
            let (at, end) = (ns(t.at_s * 1000.0), ns((t.at_s + t.for_s) * 1000.0));
            self.after(at, Event::Trouble(number, true));
            self.after(end, Event::Trouble(number, false));
        }
        // Long enough for the last to be given up, with all its tries.
        let longest = self.spec.classes.iter().map(|c| c.deadline_s).fold(0.0, f64::max);
        let last = self.ends + ns(longest * 1000.0 * f64::from(self.spec.clients.retries + 1)) + 60 * SEC;
        while let Some(Entry { at, event, .. }) = self.queue.pop() {
            if at > last || at > self.ends && self.out.open == 0 {
                break;
            }
            self.now = at;
            self.out.events += 1;
            self.happen(event);
        }
        self.out.simulated_s = (self.now - BEGIN) as f64 / SEC as f64;
        let warm_up = self.spec.load.warm_up_s;
        let troubles = self.spec.troubles.clone();
        self.out.finish(warm_up, &troubles);
        self.out
    }

    fn introduce(&mut self, node: u32) {
        let hosts = self.nodes[node as usize].known.to_vec();
        let version = self.nodes[node as usize].version;
        self.tell(node, Input::EndpointList { scope: EndpointUpdate::CachedSnapshot, version, hosts });
        self.tell(node, Input::Tick);
    }

    fn after(&mut self, span: Nanos, event: Event) {
        self.serial += 1;
        self.queue.push(Entry { at: self.now + span, serial: self.serial, event });
    }

    fn delay(&mut self) -> Nanos {
        let [least, most] = self.spec.network.delay_ms;
        ns(least + (most - least) * self.network.unit())
    }

    fn hand_to(&mut self, span: Nanos, node: u32, epoch: u32, input: Input) {
        self.after(span, Event::Node { node, epoch, input: Box::new(input) });
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Again(job) => self.bring(job),
            Event::Patience { job, request_id, node, epoch } => self.patience(job, request_id, node, epoch),
            Event::Tick { node, epoch } => {
                let n = &mut self.nodes[node as usize];
                if n.epoch == epoch && n.tick_at <= self.now {
                    n.tick_at = Nanos::MAX;
                    self.tell(node, Input::Tick);
                }
            }
            Event::Node { node, epoch, input } => {
                if self.nodes[node as usize].epoch == epoch {
                    if let Input::EndpointList { scope, version, .. } = &*input {
                        let n = &mut self.nodes[node as usize];
                        n.watching = *scope != EndpointUpdate::Unavailable;
                        n.version = n.version.max(*version);
                    }
                    self.tell(node, *input);
                }
            }
            Event::AtWorker(flying) => self.at_worker(flying),
            Event::Finish { worker, stamp } => {
                if self.workers[worker as usize].stamp == stamp {
                    self.finish(worker);
                }
            }
            Event::CallOff { flying, until } => self.call_off(flying, until),
            Event::Probe { node, epoch, worker, sent, until } => self.probe(node, epoch, worker, sent, until),
            Event::Watch { node, epoch, version } => self.watch(node, epoch, version),
            Event::Listed(workers) => self.publish(&workers),
            Event::Trouble(number, begins) => self.trouble(number, begins),
            Event::Deploy(workers, step, long) => self.deploy(&workers, step, long),
            Event::Scheduler(node, up) => self.scheduler(node, up),
            Event::Sample => self.sample(),
        }
    }

    // ------------------------------------------------------------ clients

    fn arrive(&mut self) {
        let load = &self.spec.load;
        let turn = (self.now - BEGIN) as f64 / SEC as f64 / load.period_s * std::f64::consts::TAU;
        let rate = self.rate * self.overload * (1.0 + load.swing * turn.sin());
        let gap = self.arrivals.exponential() / rate.max(1e-9) * SEC as f64;
        if self.now + gap as Nanos <= self.ends {
            self.after(gap as Nanos, Event::Arrive);
        }
        let all: f64 = self.spec.classes.iter().map(|c| c.share).sum();
        let mut at = self.work.unit() * all;
        let last = self.spec.classes.len() - 1;
        let class = self
            .spec
            .classes
            .iter()
            .position(|c| {
                at -= c.share;
                at < 0.0
            })
            .unwrap_or(last);
        let c = &self.spec.classes[class];
        let work = c.run_ms * MS as f64 * draw(c.law, c.cv, &mut self.work);
        self.jobs.push(Wanted {
            class: class as u16,
            tries: 0,
            over: false,
            work,
            asked: self.now,
            out: None,
            flying: 0,
            began: 0,
        });
        self.out.asked(self.window(self.now), c.worth);
        self.out.open += 1;
        self.bring(self.jobs.len() as u32 - 1);
    }

    fn window(&self, at: Nanos) -> usize {
        ((at - BEGIN) / SEC) as usize
    }

    /// A client brings a job to the scheduler that the front gives it.
    fn bring(&mut self, job: u32) {
        // Who comes again draws from another stream: how often that is hangs on the policy.
        let at = if self.jobs[job as usize].tries == 0 { self.arrivals.unit() } else { self.clients.unit() };
        let node = self.shares.partition_point(|s| *s < at).min(self.nodes.len() - 1) as u32;
        let now = self.now;
        let wanted = &mut self.jobs[job as usize];
        wanted.tries += 1;
        wanted.flying = 0;
        let (class, tries) = (wanted.class, wanted.tries);
        let retry = tries > 1;
        let decay = (-((now - self.budget.2) as f64 / SEC as f64) / 10.0).exp();
        self.budget = (
            self.budget.0 * decay + f64::from(u8::from(!retry)),
            self.budget.1 * decay + f64::from(u8::from(retry)),
            now,
        );
        if retry {
            let window = self.window(now);
            self.out.series(window, |s| s.retries += 1);
        }
        if matches!(self.nodes[node as usize].brain, Brain::Dead) {
            return self.came_back(job, End::Failed, None);
        }
        let n = &mut self.nodes[node as usize];
        n.next_ticket += 1;
        let request_id = RequestId(n.next_ticket);
        let epoch = n.epoch;
        n.tickets.insert(request_id, job);
        self.jobs[job as usize].out = Some((node, request_id, epoch));
        let due = now + ns(self.spec.classes[class as usize].deadline_s * 1000.0);
        let job_input = JobRequest {
            id: Arc::from(format!("{job}-{tries}-{node}")),
            class: class.into(),
            tenant: 0,
            slots: 1.0,
            memory: 0.0,
            affinity_key: None,
            deadline: due,
            durable_request: None,
        };
        self.after(due - now, Event::Patience { job, request_id, node, epoch });
        self.tell(
            node,
            Input::RequestReceived { request_id, job: job_input, previous_attempts: None, durable: false },
        );
    }

    fn patience(&mut self, job: u32, request_id: RequestId, node: u32, epoch: u32) {
        if self.jobs[job as usize].out != Some((node, request_id, epoch)) {
            return;
        }
        self.jobs[job as usize].out = None;
        if self.nodes[node as usize].epoch == epoch {
            self.nodes[node as usize].tickets.remove(&request_id);
            self.tell(node, Input::ClientDisconnected { request_id });
        }
        self.came_back(job, End::Left, None);
    }

    /// A try has ended without a result: the client comes again or gives up.
    fn came_back(&mut self, job: u32, how: End, retry_after: Option<Nanos>) {
        let clients = &self.spec.clients;
        let wanted = &self.jobs[job as usize];
        let allowed = clients.budget == 0.0 || self.budget.1 < clients.budget * self.budget.0;
        if u32::from(wanted.tries) > clients.retries || !allowed {
            return self.over(job, how);
        }
        let doubled = clients.back_off_ms * f64::from(1_u32 << u32::from(wanted.tries - 1).min(8));
        let mut wait = ns(doubled * (0.5 + 0.5 * self.clients.unit()));
        if let Some(told) = retry_after.filter(|_| clients.heeds_retry_after) {
            wait = wait.max(told);
        }
        self.after(wait, Event::Again(job));
    }

    /// The one end of a job.
    fn over(&mut self, job: u32, how: End) {
        let now = self.now;
        let wanted = &mut self.jobs[job as usize];
        if std::mem::replace(&mut wanted.over, true) {
            return;
        }
        wanted.out = None;
        let c = &self.spec.classes[wanted.class as usize];
        let lag = now - wanted.asked;
        let aim = c.aim_ms * MS as f64 + c.stretch * wanted.work;
        let in_time = lag as f64 <= aim;
        let (worth, late, window) = (c.worth, c.late, ((wanted.asked - BEGIN) / SEC) as usize);
        self.out.open -= 1;
        self.out.series(window, |s| match how {
            End::Served if in_time => {
                s.in_time += 1;
                s.served += worth;
                s.lags.push(lag as f64 / MS as f64);
            }
            End::Served => {
                s.late += 1;
                s.served += worth * late;
                s.lags.push(lag as f64 / MS as f64);
            }
            End::Refused => s.refused += 1,
            End::Failed => s.failed += 1,
            End::Left => s.left += 1,
        });
    }

    // ------------------------------------------------------------ schedulers

    /// A scheduler takes an input, and what it wants done is done.
    fn tell(&mut self, node: u32, input: Input) {
        let now = self.now;
        let mut effects = std::mem::take(&mut self.effects);
        let n = &mut self.nodes[node as usize];
        let next = match &mut n.brain {
            Brain::Real(engine) => {
                engine.step(now, input, &mut effects);
                engine.next_timer(now)
            }
            Brain::Rival(rival) => {
                rival.step(now, input, &mut effects);
                rival.next_timer()
            }
            Brain::Dead => None,
        };
        let epoch = n.epoch;
        if let Some(at) = next.filter(|at| *at < n.tick_at) {
            n.tick_at = at.max(now);
            let span = n.tick_at - now;
            self.after(span, Event::Tick { node, epoch });
        }
        for effect in effects.drain(..) {
            self.perform(node, epoch, effect);
        }
        // What was done may have told it more: the buffer is another's then.
        if self.effects.capacity() < effects.capacity() {
            self.effects = effects;
        }
    }

    fn perform(&mut self, node: u32, epoch: u32, effect: Effect) {
        match effect {
            Effect::Answer { request_id, answer, .. } => {
                let Some(job) = self.nodes[node as usize].tickets.remove(&request_id) else { return };
                if self.jobs[job as usize].out != Some((node, request_id, epoch)) {
                    return;
                }
                self.jobs[job as usize].out = None;
                match answer {
                    Answer::Succeeded(_) => self.over(job, End::Served),
                    Answer::Rejected { retry_after } => self.came_back(job, End::Refused, retry_after),
                    _ => self.came_back(job, End::Failed, None),
                }
            }
            Effect::SendAttempt { attempt, addr, .. } => self.send(node, epoch, attempt, addr),
            Effect::CancelAttempt { attempt, until, .. } => {
                if let Some(flying) = self.by_attempt.get(&(node, epoch, attempt)).copied() {
                    let span = 2 * self.delay();
                    self.after(span, Event::CallOff { flying, until });
                } else {
                    let span = self.delay();
                    self.hand_to(span, node, epoch, Input::AttemptCancelled { attempt });
                }
            }
            Effect::HealthCheck { addr, until, .. } => {
                let Some(worker) = number(addr) else { return };
                let span = self.delay();
                let sent = self.now;
                let window = self.window(self.now);
                self.out.series(window, |s| s.probes += 1);
                self.after(span, Event::Probe { node, epoch, worker, sent, until });
            }
            Effect::WatchEndpoints { version, .. } => {
                let span = self.delay();
                self.after(span, Event::Watch { node, epoch, version });
            }
            Effect::FetchEndpoints { .. } => {
                let span = self.delay();
                self.after(span, Event::Watch { node, epoch, version: 0 });
            }
            Effect::SendPeerMessage { peer, data } => self.datagram(node, peer, &data),
            Effect::AfterDurable { effect, .. } => self.perform(node, epoch, *effect),
            _ => {}
        }
    }

    fn datagram(&mut self, from: u32, peer: Option<u32>, data: &[u8]) {
        let all = 0..self.nodes.len() as u32;
        let to: Vec<u32> = all.filter(|n| *n != from && peer.is_none_or(|p| p == *n)).collect();
        for node in to {
            self.out.datagrams += 1;
            if self.network.unit() >= self.spec.network.loss {
                let (span, epoch) = (self.delay(), self.nodes[node as usize].epoch);
                self.hand_to(span, node, epoch, Input::PeerMessage { from, data: data.to_vec() });
            }
        }
    }

    fn scheduler(&mut self, node: u32, up: bool) {
        if up {
            let brain = self.brain(node as usize, 0);
            let n = &mut self.nodes[node as usize];
            (n.brain, n.version) = (brain, 0);
            return self.introduce(node);
        }
        let n = &mut self.nodes[node as usize];
        n.brain = Brain::Dead;
        n.epoch += 1;
        (n.tick_at, n.watching) = (Nanos::MAX, false);
        let mut broken: Vec<(RequestId, u32)> = std::mem::take(&mut n.tickets).into_iter().collect();
        broken.sort_unstable();
        for (request_id, job) in broken {
            if self.jobs[job as usize].out.is_some_and(|(at, t, _)| at == node && t == request_id) {
                self.jobs[job as usize].out = None;
                self.came_back(job, End::Failed, None);
            }
        }
        self.after(DOWN, Event::Scheduler(node, true));
    }

    // ------------------------------------------------------------ workers

    fn send(&mut self, node: u32, epoch: u32, attempt: AttemptId, addr: SocketAddr) {
        let now = self.now;
        let Some(&job) = self.nodes[node as usize].tickets.get(&attempt.request) else { return };
        let worker = if addr == ANYWHERE {
            let worker = self.least_loaded();
            if let Brain::Rival(rival) = &mut self.nodes[node as usize].brain {
                rival.sent_to(attempt, &self.worker_names[worker as usize]);
            }
            worker
        } else {
            number(addr).unwrap_or(0)
        };
        let wanted = &self.jobs[job as usize];
        let id: Arc<str> = Arc::from(format!("{job}-{}-{node}", wanted.tries));
        let of = wanted.tries;
        let class = &self.spec.classes[wanted.class as usize];
        let keyed = matches!(class.repeats, Repeats::Pod | Repeats::Zone);
        let window = self.window(now);
        self.out.series(window, |s| s.attempts += 1);
        let flying = self.next_flying;
        self.next_flying += 1;
        self.by_attempt.insert((node, epoch, attempt), flying);
        self.flying.insert(flying, Flying { job, node, epoch, attempt, worker, id, keyed, of });
        let work = wanted.work;
        let w = &mut self.workers[worker as usize];
        if w.health == Health::Up && w.sent(now, work) {
            self.out.pushed_over += 1;
            self.lose(worker, Health::Fallen);
        }
        let round = self.delay() + self.delay();
        match self.workers[worker as usize].health {
            Health::Up => {
                let span = round + self.delay();
                self.after(span, Event::AtWorker(flying));
            }
            Health::Dead | Health::Fallen => self.end_flying(flying, round, Ended::ConnectFailed, None),
            Health::Silent => {
                let span = ns(self.spec.network.connect_ms);
                self.end_flying(flying, span, Ended::ConnectFailed, None);
            }
        }
    }

    /// An attempt is no longer under way.
    fn land(&mut self, flying: u64) -> Option<Flying> {
        let landed = self.flying.remove(&flying)?;
        self.by_attempt.remove(&(landed.node, landed.epoch, landed.attempt));
        Some(landed)
    }

    /// An attempt is out no longer.
    fn down(&mut self, flying: u64) {
        if let Some(f) = self.flying.get(&flying) {
            let wanted = &mut self.jobs[f.job as usize];
            if wanted.tries == f.of {
                wanted.flying = wanted.flying.saturating_sub(1);
            }
        }
    }

    fn least_loaded(&self) -> u32 {
        let load = |w: &Worker| (w.held() as f64 + 1.0) / w.capacity(self.now).max(1e-9);
        let up = self.workers.iter().enumerate().filter(|(_, w)| w.health == Health::Up && !w.draining);
        up.min_by(|(_, a), (_, b)| load(a).total_cmp(&load(b))).map_or(0, |(i, _)| i as u32)
    }

    /// An attempt is over before any worker had it.
    fn end_flying(&mut self, flying: u64, span: Nanos, outcome: Ended, report: Option<LoadReport>) {
        if let Some(Flying { node, epoch, attempt, .. }) = self.land(flying) {
            self.hand_to(
                span,
                node,
                epoch,
                Input::DispatchFinished { attempt, result: DispatchResult::Ended(outcome, report) },
            );
        }
    }

    fn at_worker(&mut self, flying: u64) {
        let now = self.now;
        let Some(f) = self.flying.get(&flying) else { return };
        let (worker, job, keyed) = (f.worker, f.job, f.keyed);
        let health = self.workers[worker as usize].health;
        if health != Health::Up {
            let span = if health == Health::Silent { ns(self.spec.network.connect_ms) } else { self.delay() };
            return self.end_flying(flying, span, Ended::ConnectFailed, None);
        }
        let (handshake, work) = (ns(self.spec.fleet.handshake_ms) as f64, self.jobs[job as usize].work);
        let class = self.spec.classes[self.jobs[job as usize].class as usize].clone();
        let w = &mut self.workers[worker as usize];
        w.burden(now, handshake);
        let group = self.group(&class, worker);
        if keyed {
            let window = ns(class.window_s * 1000.0);
            if self.memories[group].begin(now, job.into(), window) {
                // Dropped: its first one's result is the answer.
                return self.tell_of(flying, JobUpdate::Done(String::new()), true);
            }
        }
        let w = &mut self.workers[worker as usize];
        match w.take(now, flying, work) {
            Err(()) => {
                let report = w.report(now);
                if keyed {
                    self.memories[group].forget(job.into());
                }
                let span = self.delay();
                self.end_flying(flying, span, Ended::Rejected, report);
            }
            Ok(begun) => {
                let Some(f) = self.flying.get(&flying) else { return };
                let (node, epoch, attempt, of) = (f.node, f.epoch, f.attempt, f.of);
                let wanted = &mut self.jobs[job as usize];
                if wanted.tries == of {
                    wanted.flying += 1;
                    self.out.overlaps += u64::from(wanted.flying > 1);
                }
                let span = self.delay();
                self.hand_to(
                    span,
                    node,
                    epoch,
                    Input::DispatchFinished {
                        attempt,
                        result: DispatchResult::Accepted { lease_aware: false },
                    },
                );
                if begun {
                    self.began(flying);
                }
                self.schedule(worker);
            }
        }
    }

    /// The group within which a class's repeats are dropped.
    fn group(&self, class: &ClassSpec, worker: u32) -> usize {
        let zones = self.spec.fleet.zones as usize;
        match class.repeats {
            Repeats::Zone => worker as usize % zones,
            _ => zones + self.listed[worker as usize].cell.unwrap_or(0) as usize,
        }
    }

    fn began(&mut self, flying: u64) {
        let Some(f) = self.flying.get(&flying) else { return };
        let (job, worker) = (f.job, f.worker);
        let class = self.spec.classes[self.jobs[job as usize].class as usize].clone();
        let group = match class.repeats {
            Repeats::Harmless => 0,
            Repeats::Never => flying as u32 + 1,
            _ => self.group(&class, worker) as u32 + 1,
        };
        let wanted = &mut self.jobs[job as usize];
        if group != 0 && wanted.began != 0 && wanted.began != group && self.double.insert(job) {
            self.out.double_runs += 1;
        }
        wanted.began = group;
        self.tell_of(flying, JobUpdate::Started, false);
    }

    /// A worker tells of a job; the attempt is over with the last word.
    fn tell_of(&mut self, flying: u64, news: JobUpdate, last: bool) {
        let Some(f) = self.flying.get(&flying) else { return };
        let (node, epoch, worker, id) = (f.node, f.epoch, f.worker, f.id.to_string());
        if last {
            self.land(flying);
        }
        let now = self.now;
        let report = last.then(|| self.workers[worker as usize].report(now)).flatten();
        let from = self.worker_names[worker as usize].to_string();
        let span = self.delay() + self.delay();
        self.hand_to(
            span,
            node,
            epoch,
            Input::WorkerNotice(WorkerNotice {
                notice_id: 0,
                job_id: id,
                worker: from,
                fencing_token: None,
                update: news,
                report,
            }),
        );
    }

    fn schedule(&mut self, worker: u32) {
        let w = &self.workers[worker as usize];
        let stamp = w.stamp;
        if let Some(at) = w.next_end(self.now) {
            let span = at - self.now;
            self.after(span, Event::Finish { worker, stamp });
        }
    }

    fn finish(&mut self, worker: u32) {
        let (ended, begun) = self.workers[worker as usize].ended(self.now);
        for held in ended {
            self.down(held.attempt);
            self.tell_of(held.attempt, JobUpdate::Done(String::new()), true);
        }
        begun.iter().for_each(|held| self.began(held.attempt));
        self.schedule(worker);
    }

    fn call_off(&mut self, flying: u64, until: Nanos) {
        let now = self.now;
        let Some(f) = self.flying.get(&flying) else { return };
        let (node, epoch, attempt, worker, job) = (f.node, f.epoch, f.attempt, f.worker, f.job);
        if self.workers[worker as usize].health == Health::Silent {
            // Nobody hears it, and nobody says so.
            let span = until.saturating_sub(now);
            self.land(flying);
            return self.hand_to(span, node, epoch, Input::AttemptCancelled { attempt });
        }
        let (there, begun) = self.workers[worker as usize].call_off(now, flying, self.spec.fleet.stops);
        if there || !self.spec.fleet.stops {
            self.down(flying);
            let class = self.spec.classes[self.jobs[job as usize].class as usize].clone();
            if there && matches!(class.repeats, Repeats::Pod | Repeats::Zone) {
                let group = self.group(&class, worker);
                self.memories[group].forget(job.into());
            }
        }
        self.land(flying);
        begun.iter().for_each(|held| self.began(held.attempt));
        self.schedule(worker);
        let span = self.delay();
        self.hand_to(span, node, epoch, Input::AttemptCancelled { attempt });
    }

    fn probe(&mut self, node: u32, epoch: u32, worker: u32, sent: Nanos, until: Nanos) {
        let now = self.now;
        let name = self.worker_names[worker as usize].clone();
        let w = &mut self.workers[worker as usize];
        let (span, outcome, report) = match w.health {
            Health::Up => {
                w.burden(now, ns(self.spec.fleet.probe_ms) as f64);
                let report = w.report(now);
                self.schedule(worker);
                (self.delay(), Ended::Ok, report)
            }
            Health::Silent => (until.saturating_sub(now), Ended::Timeout, None),
            Health::Dead | Health::Fallen => (self.delay(), Ended::ConnectFailed, None),
        };
        self.hand_to(span, node, epoch, Input::HealthChecked { worker: name, sent, outcome, report });
    }

    /// A worker's process ends, and what it held is lost.
    fn lose(&mut self, worker: u32, health: Health) {
        let lost = self.workers[worker as usize].die(self.now, health);
        for held in lost {
            if let Some(f) = self.flying.get(&held.attempt) {
                let (job, keyed) = (f.job, f.keyed);
                self.down(held.attempt);
                if keyed {
                    // The pod goes on knowing the key only of what has run.
                    let class = self.spec.classes[self.jobs[job as usize].class as usize].clone();
                    let group = self.group(&class, worker);
                    self.memories[group].forget(job.into());
                }
            }
            match health {
                Health::Silent => drop(self.land(held.attempt)),
                _ => self.tell_of(held.attempt, JobUpdate::Lost, true),
            }
        }
    }

    // ------------------------------------------------------------ discovery

    fn watch(&mut self, node: u32, epoch: u32, version: u64) {
        let now = self.now;
        if self.blind {
            let span = 250 * MS;
            let failed =
                Input::EndpointList { scope: EndpointUpdate::Unavailable, version, hosts: Vec::new() };
            return self.hand_to(span, node, epoch, failed);
        }
        self.discovery_busy = self.discovery_busy.max(now) + ns(self.spec.discovery.call_ms);
        let span = self.discovery_busy - now + self.delay();
        let latest = self.log.last().map_or(1, |(v, _)| *v);
        let (scope, hosts) = if version == 0 {
            (EndpointUpdate::Snapshot, self.listed.clone())
        } else {
            let from = self.log.partition_point(|(v, _)| *v <= version);
            let mut changed: Vec<u32> = self.log[from..].iter().map(|(_, w)| *w).collect();
            changed.sort_unstable();
            changed.dedup();
            (EndpointUpdate::Delta, changed.iter().map(|w| self.listed[*w as usize].clone()).collect())
        };
        self.out.list_lines += hosts.len() as u64;
        self.nodes[node as usize].watching = true;
        self.nodes[node as usize].version = latest;
        self.hand_to(span, node, epoch, Input::EndpointList { scope, version: latest, hosts });
    }

    /// What has happened to workers is known to discovery from now on.
    fn publish(&mut self, workers: &[u32]) {
        let version = self.log.last().map_or(1, |(v, _)| *v) + 1;
        for &w in workers {
            let worker = &self.workers[w as usize];
            let host = &mut self.listed[w as usize];
            host.state = match worker.health {
                Health::Dead => WorkerState::Removed,
                _ if worker.draining => WorkerState::Draining,
                _ => WorkerState::Ready,
            };
            host.started = (worker.born > 0).then_some(worker.born);
            self.log.push((version, w));
        }
        if self.blind {
            return;
        }
        let hosts: Vec<WorkerEndpoint> = workers.iter().map(|w| self.listed[*w as usize].clone()).collect();
        for node in 0..self.nodes.len() as u32 {
            let n = &mut self.nodes[node as usize];
            if !n.watching {
                continue;
            }
            n.version = version;
            let epoch = n.epoch;
            self.discovery_busy = self.discovery_busy.max(self.now) + ns(self.spec.discovery.call_ms);
            let span = self.discovery_busy - self.now + self.delay();
            self.out.list_lines += hosts.len() as u64;
            self.hand_to(
                span,
                node,
                epoch,
                Input::EndpointList { scope: EndpointUpdate::Delta, version, hosts: hosts.clone() },
            );
        }
    }

    fn publish_later(&mut self, workers: Vec<u32>) {
        let span = ns(self.spec.discovery.late_ms);
        self.after(span, Event::Listed(workers));
    }

    // ------------------------------------------------------------ troubles

    fn trouble(&mut self, number: usize, begins: bool) {
        let t: TroubleSpec = self.spec.troubles[number].clone();
        let workers = self.workers.len();
        // Drawn when it begins, and the same when it ends.
        let hit: Vec<usize> = match t.kind {
            TroubleKind::Zone => (0..workers)
                .filter(|i| *i as u32 % self.spec.fleet.zones == t.zone % self.spec.fleet.zones)
                .collect(),
            TroubleKind::Overload | TroubleKind::Blind | TroubleKind::Restart => Vec::new(),
            _ => {
                let count = (workers as f64 * t.share).round() as usize;
                let mut own = Stream::new(number as u64 ^ 0x7472_6f75_626c, Concern::Troubles);
                own.some(workers, count)
            }
        };
        match (t.kind, begins) {
            (TroubleKind::Overload, true) => self.overload *= t.factor,
            (TroubleKind::Overload, false) => self.overload /= t.factor,
            (TroubleKind::Kill | TroubleKind::Zone, true) => {
                hit.iter().for_each(|w| self.lose(*w as u32, Health::Dead));
                self.publish_later(hit.iter().map(|w| *w as u32).collect());
            }
            (TroubleKind::Vanish, true) => hit.iter().for_each(|w| self.lose(*w as u32, Health::Silent)),
            (TroubleKind::Kill | TroubleKind::Zone | TroubleKind::Vanish, false) => {
                let now = self.now;
                let up: Vec<usize> =
                    hit.into_iter().filter(|w| self.workers[*w].health != Health::Fallen).collect();
                up.iter().for_each(|w| self.workers[*w].start(now));
                self.publish_later(up.iter().map(|w| *w as u32).collect());
            }
            (TroubleKind::Slow, _) => {
                let now = self.now;
                for w in hit {
                    self.workers[w].slow_down(now, if begins { t.factor } else { 1.0 });
                    self.schedule(w as u32);
                }
            }
            (TroubleKind::Deploy, true) => {
                let step = ns(t.for_s * 1000.0) / STEPS;
                self.after(0, Event::Deploy(Arc::new(hit), 0, step));
            }
            (TroubleKind::Restart, true) => {
                let count = (self.nodes.len() as f64 * t.share).round() as usize;
                let known = Arc::new(self.listed.clone());
                for node in self.troubles.some(self.nodes.len(), count) {
                    self.nodes[node].known = known.clone();
                    let span = (self.troubles.unit() * t.for_s * SEC as f64) as Nanos;
                    self.after(span, Event::Scheduler(node as u32, false));
                }
            }
            (TroubleKind::Blind, true) => {
                self.blind = true;
                for node in 0..self.nodes.len() as u32 {
                    let n = &mut self.nodes[node as usize];
                    if std::mem::take(&mut n.watching) {
                        let (epoch, version) = (n.epoch, n.version);
                        let span = self.delay();
                        let failed = Input::EndpointList {
                            scope: EndpointUpdate::Unavailable,
                            version,
                            hosts: Vec::new(),
                        };
                        self.hand_to(span, node, epoch, failed);
                    }
                }
            }
            (TroubleKind::Blind, false) => self.blind = false,
            (TroubleKind::Deploy | TroubleKind::Restart, false) => {}
        }
    }

    /// A step of a rolling deploy: the next tenth drains, the one before it is replaced.
    fn deploy(&mut self, workers: &Arc<Vec<usize>>, step: u64, long: Nanos) {
        let part = |k: u64| -> Vec<usize> {
            let n = workers.len() as u64;
            workers[(n * k / STEPS) as usize..(n * (k + 1) / STEPS) as usize].to_vec()
        };
        let now = self.now;
        let mut changed = Vec::new();
        if step > 0 {
            for w in part(step - 1) {
                self.lose(w as u32, Health::Dead);
                self.workers[w].start(now);
                changed.push(w as u32);
            }
        }
        if step < STEPS {
            for w in part(step) {
                self.workers[w].draining = true;
                changed.push(w as u32);
            }
            self.after(long, Event::Deploy(workers.clone(), step + 1, long));
        }
        self.publish_later(changed);
    }

    /// Once a second: how evenly the load lies.
    fn sample(&mut self) {
        let now = self.now;
        let window = self.window(now).saturating_sub(1);
        let mut loads = Vec::with_capacity(self.workers.len());
        let mut busy = Vec::with_capacity(self.workers.len());
        for (i, w) in self.workers.iter().enumerate() {
            let used = (w.busy - self.last_busy[i]) / SEC as f64 / f64::from(w.make.cores);
            self.last_busy[i] = w.busy;
            busy.push(used as f32);
            if w.health == Health::Up && !w.draining {
                loads.push(w.held() as f64 / w.capacity(now).max(1e-9));
            }
        }
        let strain = self.workers.iter().map(|w| w.strain).fold(0.0, f64::max);
        self.out.strain = self.out.strain.max(strain);
        self.out.sampled(window, &loads, &busy);
        if now < self.ends {
            self.after(SEC, Event::Sample);
        }
    }
}

#[derive(Clone, Copy)]
enum End {
    Served,
    Refused,
    Failed,
    Left,
}

fn draw(law: Law, cv: f64, rng: &mut Stream) -> f64 {
    match law {
        Law::Lognormal => rng.lognormal(cv),
        Law::Exponential => rng.exponential(),
        Law::Constant => 1.0,
    }
}

fn address(worker: u32) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + worker)), 5000)
}

fn number(addr: SocketAddr) -> Option<u32> {
    match addr.ip() {
        IpAddr::V4(ip) => u32::from(ip).checked_sub(0x0a00_0000),
        IpAddr::V6(_) => None,
    }
}

fn names(spec: &Experiment) -> Names {
    Names {
        classes: spec.classes.iter().map(|c| c.name.clone()).collect(),
        zones: (0..spec.fleet.zones).map(|z| format!("zone-{z}")).collect(),
        kinds: vec!["std".into()],
        tenants: vec!["all".into()],
        ..Names::default()
    }
}

/// What the module is told of the deployment.
fn settings(spec: &Experiment) -> Settings {
    let class = |c: &ClassSpec| RequestClass {
        latency_target: ns(c.aim_ms),
        latency_target_stretch: c.stretch,
        deadline: ns(c.deadline_s * 1000.0),
        value: c.worth,
        late_value_fraction: c.late,
        idempotency: match c.repeats {
            Repeats::Harmless => Idempotency::Idempotent,
            Repeats::Pod => {
                Idempotency::Deduplicated { scope: DeduplicationScope::Cell, window: ns(c.window_s * 1000.0) }
            }
            Repeats::Zone => {
                Idempotency::Deduplicated { scope: DeduplicationScope::Zone, window: ns(c.window_s * 1000.0) }
            }
            Repeats::Never => Idempotency::AtMostOnce,
        },
        ..RequestClass::new(0, 0)
    };
    let f = &spec.fleet;
    Settings {
        instance_count: spec.schedulers.count,
        machine_kind_count: 1,
        tick: ns(spec.schedulers.tick_ms),
        classes: spec.classes.iter().map(class).collect(),
        tenants: vec![Tenant { quota_per_second: 1e9 }],
        must_request_endpoints: true,
        limits: Limits {
            max_attempts: 6,
            can_cancel: true,
            can_probe: true,
            can_message_peers: true,
            can_hedge: false,
            can_send_retry_after: true,
            max_retry_after: 2 * SEC,
            connect_timeout: ns(spec.network.connect_ms),
            idle_connection_timeout: 10 * SEC,
            streams_per_connection: 1,
        },
        // As the deployment prices them, of all worth for one a request.
        prices: Prices {
            cross_zone: 0.061,
            wasted_work: 0.018,
            probe: 0.003,
            peer_message: 0.01,
            late_failure: 0.08,
            ..Prices::default()
        },
        load_reporting: if f.reports { LoadReporting::InResponses } else { LoadReporting::Disabled },
        rules: SafetyRules {
            endpoint_poll_interval: 10 * SEC,
            slow_start_duration: ns(f.cold_s * 1000.0),
            slow_start_initial_fraction: f.cold_from,
            drain_grace: 750 * MS,
            overload_multiple: f.tip_multiple,
            overload_window: ns(f.tip_s * 1000.0),
        },
        progress_interval: 2 * SEC,
        reports_attempt_start: true,
        ..Settings::default()
    }
}

impl Outcome {
    fn series(&mut self, window: usize, change: impl FnOnce(&mut Series)) {
        let last = self.windows.len().saturating_sub(1);
        if let Some(series) = self.windows.get_mut(window.min(last)) {
            change(series);
        }
    }
}
