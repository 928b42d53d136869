//! The reducer, its ledger and the real log, simulated whole: clients, workers, network, disk and
//! clock are drawn from a seed, messages are lost, doubled and late, processes and the machine are
//! stopped between any record, its sync and what follows, and the rules are checked at each step.
//! In the manner of `FoundationDB`'s and `TigerBeetle`'s simulators: one thread, virtual time, the
//! same
//! seed the same story. `SEED=n` plays one story, `STORIES=n` so many.
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use spanlead_balancing_policy::{
    DeduplicationScope, EndpointUpdate, Idempotency, Limits as May, Nanos, Outcome, RequestClass, RequestId,
    Settings, WorkerState,
};
use spanlead_deployment_settings::Names;
use spanlead_durable_jobs::{ClockAnchor, JobTable, JobTableLimits, decode, encode};
use spanlead_engine::{
    Answer, AttemptId, DispatchResult, DurabilityBarrier, DurableRequest, DurableSetup, Effect, Engine,
    Input, Job, JobUpdate, LeaseGrant, NoticeReply, ReleasedEffect, WorkerEndpoint, WorkerNotice,
};
use spanlead_wal::simulated::SimulatedDirectory;
use spanlead_wal::{LogOptions, RecordRejected, WriteAheadLog};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

const MS: Nanos = 1_000_000;
const SEC: Nanos = 1000 * MS;
const BEGIN: Nanos = 1000 * SEC;
/// How long the trouble lasts.
const TROUBLE: Nanos = 20 * SEC;
const LEASE: Nanos = 2 * SEC;
const BOUND: Nanos = 200 * MS;
const WINDOW: Nanos = 25 * SEC;
const PATIENCE: Nanos = 15 * SEC;

fn settings() -> Settings {
    let class = |idempotency| RequestClass { idempotency, ..RequestClass::new(SEC, PATIENCE) };
    let keyed = Idempotency::Deduplicated { scope: DeduplicationScope::Cell, window: WINDOW };
    let limits = May {
        max_attempts: 6,
        can_cancel: true,
        can_send_retry_after: true,
        max_retry_after: SEC,
        ..Settings::default().limits
    };
    let classes = vec![class(Idempotency::Idempotent), class(keyed), class(Idempotency::AtMostOnce)];
    Settings { classes, limits, tick: 2 * MS, ..Settings::default() }
}

fn names() -> Names {
    let all = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    let classes = all(&["status-check", "guest-visit", "once"]);
    Names { classes, zones: all(&["kista"]), kinds: all(&["std-2c"]), ..Names::default() }
}

#[derive(Clone, Debug)]
enum Happening {
    Ask(usize),
    GiveUp {
        client: usize,
        ask: u64,
    },
    Arrive {
        worker: usize,
        attempt: AttemptId,
        id: Arc<str>,
        key: usize,
        lease: Option<LeaseGrant>,
        epoch: u64,
    },
    Handed {
        attempt: AttemptId,
        result: DispatchResult,
        epoch: u64,
    },
    Finish {
        worker: usize,
        id: Arc<str>,
        life: u64,
    },
    LeaseOver {
        worker: usize,
        id: Arc<str>,
        life: u64,
    },
    Notice(Notice),
    CallOff {
        worker: usize,
        id: Arc<str>,
        attempt: AttemptId,
        epoch: u64,
    },
    Abandoned {
        attempt: AttemptId,
        epoch: u64,
    },
    Sync {
        epoch: u64,
    },
    Tick {
        epoch: u64,
    },
    Kill {
        machine: bool,
    },
    Start,
    Die(usize),
    Live(usize),
}

#[derive(Clone, Debug)]
struct Notice {
    worker: usize,
    id: Arc<str>,
    token: Option<u64>,
    what: &'static str,
    life: u64,
    sent: Nanos,
    /// How often it is told again.
    left: u32,
}

/// A job at a worker.
struct Held {
    token: Option<u64>,
    /// When it must stop, by its own clock.
    until: Nanos,
    /// The scheduler has been told that it was taken.
    answered: bool,
}

struct Worker {
    up: bool,
    life: u64,
    aware: bool,
    cell: u32,
    jobs: BTreeMap<Arc<str>, Held>,
}

struct Client {
    class: u32,
    /// Its present request.
    asking: Option<(u64, RequestId)>,
    /// Until when it waits in all.
    until: Nanos,
    answer: Option<Answer>,
}

struct Story {
    seed: u64,
    rng: SmallRng,
    now: Nanos,
    serial: u64,
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    happenings: HashMap<u64, Happening>,
    folder: SimulatedDirectory,
    /// The running process; `epoch` counts them.
    process: Option<(Engine, DurabilityBarrier, WriteAheadLog)>,
    epoch: u64,
    /// Attempts whose worker's answer the process waits for, on a connection each.
    offers: HashSet<AttemptId>,
    /// Records that wait for the writer.
    unwritten: Vec<Bytes>,
    notes: HashMap<u64, Notice>,
    workers: Vec<Worker>,
    clients: Vec<Client>,
    /// The client behind each id.
    keys: HashMap<Arc<str>, usize>,
    /// Where and when each client's job began to run.
    began: HashMap<usize, Vec<(usize, Nanos)>>,
    /// Clients whose result was acknowledged to a worker that goes by its lease.
    acknowledged: HashSet<usize>,
    disk_fails: bool,
    asks: u64,
    /// From when to when no process ran.
    downs: Vec<(Nanos, Nanos)>,
    told: Vec<String>,
}

impl Story {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let worker = |i| (i, rng.random_bool(0.7));
        let workers: Vec<(u32, bool)> = (0..3).map(worker).collect();
        let worker = |(i, aware)| Worker { up: true, life: 0, aware, cell: i / 2, jobs: BTreeMap::new() };
        let classes: Vec<u32> = (0..rng.random_range(1..12)).map(|_| rng.random_range(0..3)).collect();
        let client = |class| Client { class, asking: None, until: 0, answer: None };
        let disk_fails = rng.random_bool(0.15);
        let mut story = Story {
            seed,
            rng,
            now: BEGIN,
            serial: 0,
            queue: BinaryHeap::new(),
            happenings: HashMap::new(),
            folder: SimulatedDirectory::new(),
            process: None,
            epoch: 0,
            offers: HashSet::new(),
            unwritten: Vec::new(),
            notes: HashMap::new(),
            workers: workers.into_iter().map(worker).collect(),
            clients: classes.into_iter().map(client).collect(),
            keys: HashMap::new(),
            began: HashMap::new(),
            acknowledged: HashSet::new(),
            disk_fails,
            asks: 0,
            downs: Vec::new(),
            told: Vec::new(),
        };
        story.after(0, Happening::Start);
        for client in 0..story.clients.len() {
            let at = story.rng.random_range(MS..TROUBLE / 2);
            story.after(at, Happening::Ask(client));
        }
        for _ in 0..story.rng.random_range(0..6) {
            let (at, machine) = (story.rng.random_range(MS..TROUBLE), story.rng.random_bool(0.4));
            story.after(at, Happening::Kill { machine });
        }
        for _ in 0..story.rng.random_range(0..3) {
            let (at, worker) = (story.rng.random_range(MS..TROUBLE), story.rng.random_range(0..3));
            story.after(at, Happening::Die(worker));
        }
        story
    }

    fn after(&mut self, span: Nanos, what: Happening) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + span, self.serial)));
        self.happenings.insert(self.serial, what);
    }

    /// How long a message takes: most are quick, a few are not.
    fn delay(&mut self) -> Nanos {
        let slow = self.rng.random_bool(0.05);
        self.rng.random_range(if slow { MS..600 * MS } else { MS / 10..5 * MS })
    }

    fn play(mut self) {
        let end = BEGIN + TROUBLE + 3 * PATIENCE;
        while let Some(Reverse((at, serial))) = self.queue.pop().filter(|next| next.0.0 <= end) {
            self.now = at;
            let Some(what) = self.happenings.remove(&serial) else { continue };
            if !matches!(what, Happening::Tick { .. }) {
                self.told.push(format!("{:>10.3} ms {what:?}", (at - BEGIN) as f64 / 1e6));
            }
            self.happen(what);
            self.check();
        }
        for (i, client) in self.clients.iter().enumerate() {
            // Nothing runs that could answer while a process is down, and its client must find the
            // next one in time.
            let down = |(from, to): &(Nanos, Nanos)| *from <= client.until && client.until <= to + SEC;
            let excused = self.downs.iter().any(down);
            self.must(client.answer.is_some() || excused, &format!("client {i} had no final answer"));
        }
    }

    fn must(&self, good: bool, what: &str) {
        if !good {
            let from = self.told.len().saturating_sub(80);
            panic!("SEED={}: {what}\n{}", self.seed, self.told[from..].join("\n"));
        }
    }

    fn check(&self) {
        for (client, runs) in &self.began {
            match self.clients[*client].class {
                1 => {
                    let cells: HashSet<u32> = runs.iter().map(|(w, _)| self.workers[*w].cell).collect();
                    self.must(
                        cells.len() == 1,
                        &format!("the job of client {client} ran in two cells: {runs:?}"),
                    );
                    let first = runs[0].1;
                    let inside = runs.iter().all(|(_, at)| *at <= first + WINDOW + SEC);
                    self.must(inside, &format!("the job of client {client} ran after its window: {runs:?}"));
                }
                2 => self.must(runs.len() == 1, &format!("the job of client {client} ran twice: {runs:?}")),
                _ => {}
            }
        }
    }

    // ------------------------------------------------------------ the process

    fn start(&mut self) {
        if self.process.is_some() {
            return;
        }
        self.folder.clear_faults();
        let mut ledger = JobTable::new(JobTableLimits { retention: 60 * SEC, max_jobs: 1000 });
        let options = LogOptions { max_segment_bytes: 700, sync_on_commit: true };
        let opened = WriteAheadLog::open(Box::new(self.folder.clone()), options, |lsn, bytes| {
            let record = decode(bytes).map_err(RecordRejected::new)?;
            ledger.replay(lsn, &record).map_err(RecordRejected::new)
        });
        let (log, _) = match opened {
            Ok(opened) => opened,
            Err(error) => return self.must(false, &format!("the log can't be read: {error}")),
        };
        ledger.skip_to(log.next_lsn());
        if self.disk_fails && self.rng.random_bool(0.3) {
            self.folder.fail_sync_after(self.rng.random_range(0..40));
        }
        self.epoch += 1;
        let engine = Engine::new(settings(), Arc::new(names()), self.seed ^ self.epoch, 100, addr(9), true);
        let mut barrier = DurabilityBarrier::default();
        barrier.open(ledger.last_lsn());
        self.process = Some((engine.expect("good settings"), barrier, log));
        let host = |(i, w): (usize, &Worker)| WorkerEndpoint {
            name: name(i),
            addr: addr(i as u16),
            state: WorkerState::Ready,
            started: None,
            kind: Some(0),
            zone: Some(0),
            cell: Some(w.cell),
            weight: None,
        };
        let hosts = self.workers.iter().enumerate().map(host).collect();
        self.step(Input::EndpointList { scope: EndpointUpdate::CachedSnapshot, version: 1, hosts });
        let anchor = ClockAnchor { boot_id: "b".into(), uptime: self.now, process_clock: self.now };
        let (lease, clock_bound, disk, segment) = (LEASE, BOUND, 1 << 30, 700);
        let durability = DurableSetup { ledger, anchor, all: false, lease, clock_bound, disk, segment };
        self.step(Input::DurableJobsOpened(Box::new(durability)));
        self.after(20 * MS, Happening::Tick { epoch: self.epoch });
    }

    fn kill(&mut self, machine: bool) {
        let Some((_, _, mut log)) = self.process.take() else { return };
        // What was given to the writer is written or not; nobody hears of it any more.
        let unwritten = std::mem::take(&mut self.unwritten);
        if self.rng.random_bool(0.5) {
            let some = self.rng.random_range(0..=unwritten.len());
            let _ = log.append(&unwritten[..some]);
        }
        drop(log);
        if machine {
            self.folder.crash(self.rng.random());
        }
        self.notes.clear();
        self.offers.clear();
        // Connections break: jobs that a worker hasn't answered for are called off, or go on, as it
        // happens.
        for i in 0..self.workers.len() {
            let rng = &mut self.rng;
            self.workers[i].jobs.retain(|_, job| job.answered || rng.random_bool(0.5));
        }
        for client in 0..self.clients.len() {
            if self.clients[client].asking.take().is_some() {
                let back = self.rng.random_range(MS..400 * MS);
                self.after(back, Happening::Ask(client));
            }
        }
        let down = self.rng.random_range(MS..1500 * MS);
        self.downs.push((self.now, self.now + down));
        self.after(down, Happening::Start);
    }

    fn step(&mut self, input: Input) {
        let Some((engine, ..)) = &mut self.process else { return };
        let mut effects = Vec::new();
        engine.step(self.now, input, &mut effects);
        effects.into_iter().for_each(|effect| self.perform(effect));
    }

    fn through(&mut self, passed: impl IntoIterator<Item = ReleasedEffect>) {
        for passage in passed {
            match passage {
                ReleasedEffect::Perform(effect) => self.perform(effect),
                ReleasedEffect::NeverSent(attempt) => {
                    let result = DispatchResult::Ended(Outcome::NotSent, None);
                    self.after(0, Happening::Handed { attempt, result, epoch: self.epoch });
                }
                ReleasedEffect::Unacknowledged(note) => drop(self.notes.remove(&note)),
            }
        }
    }

    fn perform(&mut self, effect: Effect) {
        let epoch = self.epoch;
        let Some((_, barrier, log)) = &mut self.process else { return };
        match effect {
            Effect::AppendRecord(record) => {
                self.unwritten.push(encode(&record).expect("it has a form").into());
                barrier.record_appended(log.next_lsn() + self.unwritten.len() as u64 - 1);
                if self.unwritten.len() == 1 {
                    // Now and then the disk stalls.
                    let stalls = self.rng.random_bool(0.01);
                    let span = self.rng.random_range(if stalls { SEC..4 * SEC } else { MS / 10..20 * MS });
                    self.after(span, Happening::Sync { epoch });
                }
            }
            Effect::AfterDurable { effect, until } => {
                let passed = barrier.submit(*effect, until);
                self.through(passed);
            }
            Effect::Answer { request_id, answer, job } => {
                let at = self.clients.iter().position(|c| c.asking.is_some_and(|(_, t)| t == request_id));
                if let Some(at) = at {
                    self.answered(at, answer);
                    if let Some(job) = job {
                        self.step(Input::AnswerDelivered { job });
                    }
                }
            }
            Effect::SendAttempt { attempt, addr, lease, text, .. } => {
                let key = match text {
                    Some(text) => String::from_utf8_lossy(&text).parse().ok(),
                    None => {
                        self.clients.iter().position(|c| c.asking.is_some_and(|(_, t)| t == attempt.request))
                    }
                };
                let Some(key) = key else { return self.must(false, "a send without a request") };
                let Some(id) = self.id_of(attempt.request) else {
                    return self.must(false, "a send of no open request");
                };
                self.keys.insert(id.clone(), key);
                self.offers.insert(attempt);
                let (worker, delay) = (addr.port() as usize - 1, self.delay());
                if self.rng.random_bool(0.97) {
                    self.after(delay, Happening::Arrive { worker, attempt, id, key, lease, epoch });
                } else {
                    let result = DispatchResult::Ended(Outcome::ConnectFailed, None);
                    self.after(delay, Happening::Handed { attempt, result, epoch });
                }
            }
            Effect::CancelAttempt { attempt, addr, job_id: id, .. } => match barrier.cancel(attempt) {
                true => self.through([ReleasedEffect::NeverSent(attempt)]),
                // The connection closes before the worker has answered on it.
                false if self.offers.remove(&attempt) => {
                    self.workers[addr.port() as usize - 1].jobs.remove(&id);
                    self.after(0, Happening::Abandoned { attempt, epoch });
                }
                false => {
                    let (delay, worker) = (self.delay(), addr.port() as usize - 1);
                    self.after(delay, Happening::CallOff { worker, id, attempt, epoch });
                }
            },
            Effect::Acknowledge { notice: note, reply } => {
                if let Some(notice) = self.notes.remove(&note) {
                    self.acknowledge(&notice, reply);
                }
            }
            _ => {}
        }
    }

    fn acknowledge(&mut self, notice: &Notice, reply: NoticeReply) {
        let failed = self.process.as_ref().is_some_and(|(engine, ..)| engine.has_storage_failed());
        let worker = &mut self.workers[notice.worker];
        if worker.life != notice.life {
            return;
        }
        match reply {
            NoticeReply::Acknowledged { lease: Some(span) } => {
                if let Some(job) = worker.jobs.get_mut(&notice.id) {
                    job.until = job.until.max(notice.sent + span);
                    let until = (job.until - BEGIN) as f64 / 1e6;
                    self.told.push(format!("{} may go on until {until:.3} ms", notice.id));
                }
            }
            NoticeReply::Acknowledged { lease: None } => {
                if notice.what == "done" && notice.token.is_some() && !failed {
                    self.acknowledged.extend(self.keys.get(&notice.id));
                }
            }
            NoticeReply::Fenced => drop(worker.jobs.remove(&notice.id)),
        }
    }

    fn id_of(&self, request_id: RequestId) -> Option<Arc<str>> {
        self.process.as_ref()?.0.job_id(request_id)
    }

    fn answered(&mut self, at: usize, answer: Answer) {
        self.clients[at].asking = None;
        let said = format!("client {at} was answered {answer:?}");
        self.told.push(said.clone());
        let own = match &answer {
            Answer::Served(result) => *result == format!("result of {at}"),
            other => *other != Answer::KeyMismatch && *other != Answer::DuplicateId,
        };
        self.must(own, &said);
        if self.clients[at].class == 2 && self.acknowledged.contains(&at) && !self.disk_fails {
            let kept = matches!(answer, Answer::Served(_) | Answer::Rejected { .. });
            self.must(kept, &format!("{said} after its result was acknowledged"));
        }
        let again = matches!(answer, Answer::Rejected { .. }) && self.now + SEC < self.clients[at].until;
        self.clients[at].answer = Some(answer);
        if again {
            self.after(300 * MS, Happening::Ask(at));
        } else if self.now < BEGIN + TROUBLE && self.rng.random_bool(0.3) {
            // It asks once more, as if it had not seen the answer.
            let back = self.rng.random_range(MS..3 * SEC);
            self.after(back, Happening::Ask(at));
        }
    }

    // ------------------------------------------------------------ what happens

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Start => self.start(),
            Happening::Kill { machine } => self.kill(machine),
            Happening::Tick { epoch } if epoch == self.epoch => {
                let Some((_, barrier, _)) = &mut self.process else { return };
                let late = barrier.expire(self.now);
                self.through(late);
                self.step(Input::Tick);
                self.after(20 * MS, Happening::Tick { epoch });
            }
            Happening::Sync { epoch } if epoch == self.epoch => {
                let Some((_, barrier, log)) = &mut self.process else { return };
                let group = std::mem::take(&mut self.unwritten);
                if log.append(&group).is_ok() {
                    let bytes = log.size_bytes();
                    let passed = barrier.records_durable(log.next_lsn() - 1);
                    self.through(passed);
                    self.step(Input::RecordsDurable { bytes });
                } else {
                    let passed = barrier.fail();
                    self.step(Input::StorageFailed);
                    self.through(passed);
                }
            }
            Happening::Ask(client) => self.ask(client),
            Happening::GiveUp { client, ask } => {
                let open = self.clients[client].asking.is_some_and(|(a, _)| a == ask);
                self.must(!open, &format!("client {client} had no answer in time"));
            }
            // Otherwise the connection broke with its process.
            Happening::Arrive { worker, attempt, id, key, lease, epoch }
                if epoch == self.epoch && self.offers.contains(&attempt) =>
            {
                self.arrive(worker, attempt, id, key, lease);
            }
            Happening::Handed { attempt, result, epoch } if epoch == self.epoch => {
                self.offers.remove(&attempt);
                self.step(Input::DispatchFinished { attempt, result });
            }
            Happening::Finish { worker, id, life } => {
                let w = &mut self.workers[worker];
                if let Some(job) = w.jobs.remove(&id).filter(|_| w.life == life) {
                    let delay = self.delay();
                    self.tell(delay, worker, id, job.token, "done", 10);
                }
            }
            Happening::LeaseOver { worker, id, life } => {
                let w = &mut self.workers[worker];
                let until = w.jobs.get(&id).filter(|_| w.life == life).map(|job| job.until);
                match until {
                    Some(until) if until <= self.now => drop(w.jobs.remove(&id)),
                    Some(until) => self.after(until - self.now, Happening::LeaseOver { worker, id, life }),
                    None => {}
                }
            }
            Happening::Notice(notice) => self.notice(notice),
            Happening::CallOff { worker, id, attempt, epoch } => {
                let up = self.workers[worker].up;
                if up {
                    self.workers[worker].jobs.remove(&id);
                }
                if up && self.rng.random_bool(0.9) {
                    let delay = self.delay();
                    self.after(delay, Happening::Abandoned { attempt, epoch });
                } else if epoch == self.epoch {
                    self.after(200 * MS, Happening::CallOff { worker, id, attempt, epoch });
                }
            }
            Happening::Abandoned { attempt, epoch } if epoch == self.epoch => {
                self.step(Input::AttemptCancelled { attempt });
            }
            Happening::Die(worker) => {
                let w = &mut self.workers[worker];
                (w.up, w.life) = (false, w.life + 1);
                w.jobs.clear();
                let down = self.rng.random_range(100 * MS..3 * SEC);
                self.after(down, Happening::Live(worker));
            }
            Happening::Live(worker) => self.workers[worker].up = true,
            _ => {}
        }
    }

    fn ask(&mut self, client: usize) {
        let this = &mut self.clients[client];
        if this.until == 0 {
            this.until = self.now + PATIENCE;
        }
        let due = this.until;
        if this.asking.is_some() || self.now + 50 * MS > due {
            return;
        }
        if self.process.is_none() {
            let back = self.rng.random_range(MS..100 * MS);
            return self.after(back, Happening::Ask(client));
        }
        self.asks += 1;
        let (ask, request_id) = (self.asks, RequestId(self.asks));
        self.clients[client].asking = Some((ask, request_id));
        let key: Option<Arc<str>> = Some(format!("key-{client}").into());
        let durable_request =
            DurableRequest { key, fingerprint: [client as u8; 16], text: client.to_string().into() };
        let job = Job {
            id: format!("r{ask}").into(),
            class: self.clients[client].class,
            tenant: 0,
            slots: 1.0,
            memory: 0.0,
            affinity_key: None,
            due,
            durable_request: Some(durable_request),
        };
        self.after(due - self.now + 50 * MS, Happening::GiveUp { client, ask });
        self.step(Input::RequestReceived { request_id, job, previous_attempts: None, durable: false });
    }

    fn arrive(
        &mut self,
        worker: usize,
        attempt: AttemptId,
        id: Arc<str>,
        client: usize,
        lease: Option<LeaseGrant>,
    ) {
        let (delay, epoch) = (self.delay(), self.epoch);
        if !self.workers[worker].up {
            let result = DispatchResult::Ended(Outcome::ConnectFailed, None);
            return self.after(delay, Happening::Handed { attempt, result, epoch });
        }
        let elsewhere = self.workers.iter().position(|w| w.jobs.contains_key(&id));
        self.must(elsewhere.is_none(), &format!("{id} went to worker {worker} while {elsewhere:?} had it"));
        let aware = self.workers[worker].aware;
        let lease = lease.filter(|_| aware);
        self.must(!aware || lease.is_some(), "a durable job has a lease");
        // Its clock may run slow, by less than the bound over a lease.
        let drift = self.rng.random_range(0..BOUND / 2);
        let until = lease.map_or(Nanos::MAX, |l| self.now + l.length + drift);
        let (life, token) = (self.workers[worker].life, lease.map(|l| l.token));
        // Now and then its answer is lost with the connection, and it goes on.
        let answered = self.rng.random_bool(0.95);
        self.workers[worker].jobs.insert(id.clone(), Held { token, until, answered });
        let long = self.rng.random_bool(0.1);
        let run = self.rng.random_range(if long { SEC..6 * SEC } else { 5 * MS..500 * MS });
        // Its cell drops what it has begun before: a repeat there is no second run.
        let cell = self.workers[worker].cell;
        let begun = self.began.entry(client).or_default();
        let dropped = |(w, at): &(usize, Nanos)| self.workers[*w].cell == cell && self.now <= at + WINDOW;
        if self.clients[client].class != 1 || !begun.iter().any(dropped) {
            begun.push((worker, self.now));
        }
        self.after(run, Happening::Finish { worker, id: id.clone(), life });
        if lease.is_some() {
            self.after(LEASE, Happening::LeaseOver { worker, id: id.clone(), life });
        }
        if answered {
            self.after(
                delay,
                Happening::Handed { attempt, result: DispatchResult::Accepted { lease_aware: aware }, epoch },
            );
        }
        let told = self.delay();
        self.tell(told, worker, id.clone(), token, "started", 10);
        for i in 1..run / (500 * MS) {
            self.tell(i * 500 * MS, worker, id.clone(), token, "running", 0);
        }
    }

    fn tell(
        &mut self,
        delay: Nanos,
        worker: usize,
        id: Arc<str>,
        token: Option<u64>,
        what: &'static str,
        left: u32,
    ) {
        let (life, sent) = (self.workers[worker].life, 0);
        self.after(delay, Happening::Notice(Notice { worker, id, token, what, life, sent, left }));
    }

    fn notice(&mut self, notice: Notice) {
        let notice = Notice { sent: self.now, ..notice };
        let worker = &self.workers[notice.worker];
        if worker.life != notice.life || !worker.up {
            return;
        }
        // Lost on the way, or nobody is there: it is told again. Now and then it is told again all
        // the same.
        let lost = self.process.is_none() || self.rng.random_bool(0.1);
        if notice.left > 0 && (lost || self.rng.random_bool(0.2)) {
            self.after(150 * MS, Happening::Notice(Notice { left: notice.left - 1, ..notice.clone() }));
        }
        if lost {
            return;
        }
        self.serial += 1;
        let (note, id, from, token) =
            (self.serial, notice.id.to_string(), name(notice.worker).to_string(), notice.token);
        let news = match notice.what {
            "started" => JobUpdate::Started,
            "running" => JobUpdate::Running(0.5),
            _ => JobUpdate::Done(format!("result of {}", self.keys[&notice.id])),
        };
        self.notes.insert(note, notice);
        self.step(Input::WorkerNotice(WorkerNotice {
            notice: note,
            job_id: id,
            worker: from,
            fencing_token: token,
            update: news,
            report: None,
        }));
    }
}

fn name(worker: usize) -> Arc<str> {
    format!("w{worker}").into()
}

fn addr(worker: u16) -> SocketAddr {
    ([127, 0, 0, 1], worker + 1).into()
}

// Guards the whole of it: whatever is stopped, lost or late, no job that must not runs twice, no
// two attempts are out, what was acknowledged is kept, and each client has its answer.
#[test]
fn no_story_breaks_a_rule() {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    if let Some(seed) = number("SEED") {
        return Story::new(seed).play();
    }
    let stories = number("STORIES").unwrap_or(150);
    println!("seeds 0 to {stories}");
    (0..stories).for_each(|seed| Story::new(seed).play());
}
