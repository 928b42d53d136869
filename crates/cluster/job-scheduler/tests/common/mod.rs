//! Workers, a list of them, clients and a scheduler that dies and comes back, all in memory and moved by a seed. The
//! rules are checked at every start and end.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_cluster_testbed::{GANG_MS, MAX_HOLD_MS, Rules, STOP_MS, Worker};
use spanlead_job_scheduler::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const STEP_MS: u64 = 5;
/// How long a batch of records takes to last.
const COMMIT_MS: u64 = 12;
/// How far the list of workers is behind.
const LIST_LAG_MS: u64 = 800;

pub const BOUNDS: SchedulerConfig = SchedulerConfig {
    max_lease_ms: MAX_HOLD_MS,
    gang_assembly_timeout_ms: GANG_MS,
    stop_timeout_ms: STOP_MS,
    checkpoint_restore_ms: 600,
    closed_job_retention_ms: 120_000,
    remote_data_slowdown: 3.0,
    max_concurrent_calls: 10_000,
};

/// Something on its way.
enum Flight {
    /// A call, and whether its answer gets lost.
    Call(WorkerCall, bool),
    Answer(WorkerCall, WorkerResponse),
}

pub struct World {
    pub now: u64,
    pub rng: ChaCha8Rng,
    pub workers: Vec<Worker>,
    pub scheduler: Option<Scheduler>,
    fencing_token: u64,
    durable: BTreeMap<Vec<u8>, Vec<u8>>,
    writing: VecDeque<(u64, u64, Vec<RecordChange>)>,
    sequence: u64,
    committed: u64,
    flights: BTreeMap<(u64, u64), Flight>,
    holds: Vec<(u64, WorkerCall)>,
    count: u64,
    pub rules: Rules,
    /// Jobs that were acknowledged as accepted, and those of them that were cancelled.
    pub accepted: BTreeSet<JobId>,
    pub cancelled: BTreeSet<JobId>,
    asked: Vec<(u64, JobId)>,
    listed_at: u64,
    /// The share of calls that go unanswered and are carried out late.
    pub late_share: f64,
    next_job: u64,
    restart_at: Option<u64>,
}

impl World {
    pub fn new(seed: u64, workers: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let workers = (0..workers).map(|i| Worker::new(i, 0, 1_000_000, &mut rng)).collect();
        let mut world = World {
            now: 1_000_000,
            rng,
            workers,
            scheduler: None,
            fencing_token: 0,
            durable: BTreeMap::new(),
            writing: VecDeque::new(),
            sequence: 0,
            committed: 0,
            flights: BTreeMap::new(),
            holds: Vec::new(),
            count: 0,
            rules: Rules::default(),
            accepted: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            asked: Vec::new(),
            listed_at: 0,
            late_share: 0.0,
            next_job: 1,
            restart_at: None,
        };
        world.restart();
        world
    }

    fn clock(&self) -> Now {
        Now { monotonic_ms: self.now, unix_ms: self.now }
    }

    /// A scheduler goes on from what lasts, with a higher fencing token.
    pub fn restart(&mut self) {
        self.fencing_token += 1;
        let mut scheduler = Scheduler::new(BOUNDS, self.fencing_token, self.rng.random(), self.clock());
        let entries = self.durable.iter().map(|(k, v)| (k.as_slice(), v.as_slice()));
        scheduler.recover(self.clock(), entries);
        self.scheduler = Some(scheduler);
        self.listed_at = 0;
        self.restart_at = None;
        self.committed = self.sequence;
    }

    /// The scheduler dies. Batches that did not last yet are lost from a random one on.
    pub fn kill_scheduler(&mut self, for_ms: u64) {
        self.scheduler = None;
        let kept = self.rng.random_range(0..=self.writing.len());
        for (_, _, write) in self.writing.drain(..).collect::<Vec<_>>().into_iter().take(kept) {
            keep(&mut self.durable, write);
        }
        self.asked.clear();
        self.holds.clear();
        self.restart_at = Some(self.now + for_ms);
    }

    pub fn submit(&mut self, spec: JobSpec) -> Option<JobId> {
        let id = JobId(self.next_job);
        let now = self.clock();
        let scheduler = self.scheduler.as_mut()?;
        self.next_job += 1;
        self.rules.asked(id.0, &spec);
        let policy =
            QueuePolicy { queue: QueueId::default(), service: "s".into(), priority: 1, max_attempts: 3 };
        assert_eq!(scheduler.submit(now, id, policy, spec), Admission::Accepted);
        self.flush();
        self.asked.push((self.sequence, id));
        Some(id)
    }

    pub fn cancel(&mut self, id: JobId) {
        let now = self.clock();
        let Some(scheduler) = &mut self.scheduler else { return };
        let open = !matches!(scheduler.job_state(id), Some(JobState::Closed(_)) | None);
        if open && scheduler.cancel(now, id) {
            self.cancelled.insert(id);
        }
    }

    pub fn state(&self, id: JobId) -> Option<JobState> {
        self.scheduler.as_ref()?.job_state(id)
    }

    /// Replaces a worker by a new incarnation; the old one's work is gone.
    pub fn crash_worker(&mut self, i: usize) {
        let generation = self.workers[i].generation + 1;
        self.rules.crashed(&self.workers[i].id);
        self.workers[i] = Worker::new(i, generation, self.now, &mut self.rng);
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP_MS;
        if self.restart_at.is_some_and(|at| self.now >= at) {
            self.restart();
        }
        self.commit();
        for i in 0..self.workers.len() {
            let ends = self.workers[i].pass(self.now, &mut self.rng, &mut self.rules);
            debug_assert!(ends < 10_000);
        }
        self.rules.finish_gangs(&mut self.workers, self.now);
        self.deliver();
        self.answer_holds();
        self.list();
        let now = self.clock();
        if self.now.is_multiple_of(20)
            && let Some(scheduler) = &mut self.scheduler
        {
            scheduler.tick(now);
        }
        self.flush();
        assert!(self.rules.broken.is_empty(), "at {}: {:?}", self.now, self.rules.broken);
    }

    fn commit(&mut self) {
        let mut done = None;
        while self.writing.front().is_some_and(|(due, _, _)| *due <= self.now) {
            let (_, sequence, write) = self.writing.pop_front().expect("peeked");
            keep(&mut self.durable, write);
            done = Some(sequence);
        }
        let now = self.clock();
        if let (Some(sequence), Some(scheduler)) = (done, &mut self.scheduler) {
            self.committed = sequence;
            scheduler.handle_committed(now, sequence);
            let lasting = self.asked.iter().filter(|(at, _)| *at <= sequence).map(|(_, id)| *id);
            self.accepted.extend(lasting);
            self.asked.retain(|(at, _)| *at > sequence);
        }
    }

    fn flush(&mut self) {
        let now = self.clock();
        let Some(scheduler) = &mut self.scheduler else { return };
        let write = scheduler.take_changes();
        if !write.is_empty() {
            self.sequence += 1;
            self.writing.push_back((self.now + COMMIT_MS, self.sequence, write));
        }
        scheduler.assign_batch(self.sequence);
        if self.writing.is_empty() {
            scheduler.handle_committed(now, self.sequence);
        }
        for Effect::CallWorker(call) in scheduler.drain_effects() {
            self.count += 1;
            let late = self.rng.random_bool(self.late_share);
            let delay = if late { self.rng.random_range(2_000..12_000) } else { self.rng.random_range(1..4) };
            self.flights.insert((self.now + delay, self.count), Flight::Call(call.clone(), late));
            if late {
                let due = self.now + call.timeout_ms;
                self.count += 1;
                self.flights.insert((due, self.count), Flight::Answer(call, WorkerResponse::NoResponse));
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.flights.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match self.flights.pop_first().expect("peeked").1 {
                Flight::Call(call, late) => self.reach(call, late),
                Flight::Answer(call, reply) => {
                    let now = self.clock();
                    if let Some(scheduler) =
                        self.scheduler.as_mut().filter(|_| call.fencing_token == self.fencing_token)
                    {
                        scheduler.handle_response(now, &call.worker_id, &call.request, reply);
                    }
                }
            }
        }
    }

    fn reach(&mut self, call: WorkerCall, late: bool) {
        let at: usize = call.address.parse().expect("an index");
        let now = self.now;
        let worker = &mut self.workers[at];
        if worker.cut_until > now {
            return self.answer(call.clone(), WorkerResponse::NoResponse, call.timeout_ms, late);
        }
        if *worker.id != *call.worker_id {
            return self.answer(call, WorkerResponse::WrongIncarnation, 2, late);
        }
        match &call.request {
            WorkerRequest::RenewLease { .. } => match worker.hold(now, &call, &mut self.rules) {
                Some(refused) => self.answer(call, refused, 2, late),
                None if late => {}
                None => {
                    let WorkerRequest::RenewLease { wait_ms, .. } = call.request else { return };
                    self.holds.push((now + wait_ms, call));
                }
            },
            _ => {
                let reply = worker.obey(now, &call, &mut self.rules);
                self.answer(call, reply, 2, late);
            }
        }
    }

    /// Answers holds whose time is over, or whose worker has an end to tell.
    fn answer_holds(&mut self) {
        let now = self.now;
        for (due, call) in std::mem::take(&mut self.holds) {
            let at: usize = call.address.parse().expect("an index");
            let worker = &self.workers[at];
            let WorkerRequest::RenewLease { acknowledged_end: last_seen, .. } = call.request else {
                continue;
            };
            if worker.cut_until > now || *worker.id != *call.worker_id {
                self.answer(call, WorkerResponse::NoResponse, 400, false);
            } else if now >= due || worker.finished.iter().any(|end| end.number > last_seen) {
                let report = worker.report(now, last_seen);
                self.answer(call, WorkerResponse::Report(report), 2, false);
            } else {
                self.holds.push((due, call));
            }
        }
    }

    fn answer(&mut self, call: WorkerCall, reply: WorkerResponse, after: u64, lost: bool) {
        if lost {
            return;
        }
        self.count += 1;
        self.flights.insert((self.now + after, self.count), Flight::Answer(call, reply));
    }

    fn list(&mut self) {
        if self.now < self.listed_at + 1_000 {
            return;
        }
        self.listed_at = self.now;
        let known = |w: &&Worker| self.now >= w.born + LIST_LAG_MS || w.generation == 0;
        let list: Vec<ListedWorker> = self.workers.iter().filter(known).map(Worker::listed).collect();
        let now = self.clock();
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.update_workers(now, &list);
        }
    }
}

fn keep(durable: &mut BTreeMap<Vec<u8>, Vec<u8>>, write: Vec<RecordChange>) {
    for RecordChange { key, value } in write {
        match value {
            Some(value) => durable.insert(key, value),
            None => durable.remove(&key),
        };
    }
}
