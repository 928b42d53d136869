//! A cluster in memory, moved by a seed: workers, the platform's list of them, clients, and a
//! scheduler that is killed and recovers. The rules that must hold are checked at every start and
//! end.
use super::{CONFIG, Records, apply_changes, policy};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_cluster_testbed::{SafetyChecker, SimulatedWorker, finish_gangs};
use spanlead_job_scheduler::{
    Admission, JobId, JobSpec, JobState, ListedWorker, Now, RecordChange, Scheduler, WorkerCall,
    WorkerRequest, WorkerResponse,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The monotonic time at which a simulation starts, milliseconds.
const START_MS: u64 = 1_000_000;
const STEP_MS: u64 = 5;
const TICK_INTERVAL_MS: u64 = 20;
/// How long a batch of records takes to be committed, milliseconds.
const COMMIT_MS: u64 = 12;
/// How often the platform lists the workers, milliseconds.
const LIST_INTERVAL_MS: u64 = 1_000;
/// How long a new worker is missing from the list, milliseconds.
const LIST_LAG_MS: u64 = 800;
/// How long a response takes, milliseconds.
const RESPONSE_MS: u64 = 2;
/// How long a renewal that waited at a worker that is cut off takes to fail, milliseconds.
const BROKEN_RENEWAL_MS: u64 = 400;

/// Something on its way between the scheduler and a worker.
enum Message {
    /// A call; one that is delayed is carried out late, and its response is lost.
    Call {
        call: WorkerCall,
        is_delayed: bool,
    },
    Response {
        call: WorkerCall,
        response: WorkerResponse,
    },
}

/// A batch that is being committed.
struct PendingBatch {
    due_at_ms: u64,
    number: u64,
    changes: Vec<RecordChange>,
}

/// A job whose acceptance is not committed yet.
struct UncommittedJob {
    batch: u64,
    job: JobId,
}

/// A renewal that waits at its worker.
struct WaitingRenewal {
    due_at_ms: u64,
    call: WorkerCall,
}

pub struct SimulatedCluster {
    pub now_ms: u64,
    pub workers: Vec<SimulatedWorker>,
    /// `None` while it is killed.
    pub scheduler: Option<Scheduler>,
    pub checker: SafetyChecker,
    /// Jobs that were acknowledged as accepted.
    pub accepted: BTreeSet<JobId>,
    /// Jobs that were cancelled.
    pub cancelled: BTreeSet<JobId>,
    /// The share of calls that are delayed.
    pub delayed_share: f64,
    rng: ChaCha8Rng,
    fencing_token: u64,
    restart_at_ms: Option<u64>,
    next_job: u64,
    uncommitted_jobs: Vec<UncommittedJob>,
    committed_records: Records,
    pending_batches: VecDeque<PendingBatch>,
    last_batch: u64,
    /// By the time of arrival, then by number.
    messages: BTreeMap<(u64, u64), Message>,
    message_count: u64,
    waiting_renewals: Vec<WaitingRenewal>,
    listed_at_ms: u64,
}

impl SimulatedCluster {
    pub fn new(seed: u64, workers: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let workers = (0..workers).map(|index| SimulatedWorker::new(index, 0, START_MS, &mut rng)).collect();
        let mut cluster = SimulatedCluster {
            now_ms: START_MS,
            workers,
            scheduler: None,
            checker: SafetyChecker::default(),
            accepted: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            delayed_share: 0.0,
            rng,
            fencing_token: 0,
            restart_at_ms: None,
            next_job: 1,
            uncommitted_jobs: Vec::new(),
            committed_records: Records::new(),
            pending_batches: VecDeque::new(),
            last_batch: 0,
            messages: BTreeMap::new(),
            message_count: 0,
            waiting_renewals: Vec::new(),
            listed_at_ms: 0,
        };
        cluster.restart_scheduler();
        cluster
    }

    fn now(&self) -> Now {
        Now { monotonic_ms: self.now_ms, unix_ms: self.now_ms }
    }

    // Faults.

    /// The scheduler dies. Batches that were not committed are lost from a random one on.
    pub fn kill_scheduler(&mut self, for_ms: u64) {
        self.scheduler = None;
        let kept = self.rng.random_range(0..=self.pending_batches.len());
        for batch in std::mem::take(&mut self.pending_batches).into_iter().take(kept) {
            apply_changes(&mut self.committed_records, batch.changes);
        }
        self.uncommitted_jobs.clear();
        self.waiting_renewals.clear();
        self.restart_at_ms = Some(self.now_ms + for_ms);
    }

    /// A scheduler goes on from the committed records, with a higher fencing token.
    fn restart_scheduler(&mut self) {
        self.fencing_token += 1;
        let mut scheduler = Scheduler::new(CONFIG, self.fencing_token, self.rng.random(), self.now());
        let records = self.committed_records.iter().map(|(key, value)| (key.as_slice(), value.as_slice()));
        scheduler.recover(self.now(), records);
        self.scheduler = Some(scheduler);
        self.listed_at_ms = 0;
        self.restart_at_ms = None;
    }

    /// Replaces a worker by a new incarnation; what ran on the old one is gone.
    pub fn crash_worker(&mut self, index: usize) {
        let incarnation = self.workers[index].incarnation + 1;
        self.checker.record_crash(&self.workers[index].id);
        self.workers[index] = SimulatedWorker::new(index, incarnation, self.now_ms, &mut self.rng);
    }

    // Clients.

    /// Submits a job; `None` while there is no scheduler.
    pub fn submit(&mut self, spec: JobSpec) -> Option<JobId> {
        let job = JobId(self.next_job);
        let now = self.now();
        let scheduler = self.scheduler.as_mut()?;
        self.next_job += 1;
        self.checker.record_submission(job, &spec);
        assert_eq!(scheduler.submit(now, job, policy(), spec), Admission::Accepted);
        self.flush();
        self.uncommitted_jobs.push(UncommittedJob { batch: self.last_batch, job });
        Some(job)
    }

    pub fn cancel(&mut self, job: JobId) {
        let now = self.now();
        let Some(scheduler) = &mut self.scheduler else { return };
        let is_open = !matches!(scheduler.job_state(job), Some(JobState::Closed(_)) | None);
        if is_open && scheduler.cancel(now, job) {
            self.cancelled.insert(job);
        }
    }

    pub fn job_state(&self, job: JobId) -> Option<JobState> {
        self.scheduler.as_ref()?.job_state(job)
    }

    // Time.

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        if self.restart_at_ms.is_some_and(|restart_at_ms| self.now_ms >= restart_at_ms) {
            self.restart_scheduler();
        }
        self.commit();
        for worker in &mut self.workers {
            worker.advance(self.now_ms, &mut self.rng, &mut self.checker);
        }
        finish_gangs(&mut self.workers, self.now_ms, &mut self.checker);
        self.deliver();
        self.answer_renewals();
        self.list_workers();
        let now = self.now();
        if self.now_ms.is_multiple_of(TICK_INTERVAL_MS)
            && let Some(scheduler) = &mut self.scheduler
        {
            scheduler.tick(now);
        }
        self.flush();
        assert!(self.checker.violations.is_empty(), "at {}: {:?}", self.now_ms, self.checker.violations);
    }

    fn commit(&mut self) {
        let now_ms = self.now_ms;
        let mut committed = None;
        while let Some(batch) = self.pending_batches.pop_front_if(|batch| batch.due_at_ms <= now_ms) {
            apply_changes(&mut self.committed_records, batch.changes);
            committed = Some(batch.number);
        }
        let now = self.now();
        if let (Some(committed), Some(scheduler)) = (committed, &mut self.scheduler) {
            scheduler.handle_committed(now, committed);
            let jobs = self.uncommitted_jobs.extract_if(.., |uncommitted| uncommitted.batch <= committed);
            self.accepted.extend(jobs.map(|uncommitted| uncommitted.job));
        }
    }

    /// Takes the scheduler's changes and calls.
    fn flush(&mut self) {
        let now = self.now();
        let Some(scheduler) = &mut self.scheduler else { return };
        let changes = scheduler.take_changes();
        if !changes.is_empty() {
            self.last_batch += 1;
            let (due_at_ms, number) = (self.now_ms + COMMIT_MS, self.last_batch);
            self.pending_batches.push_back(PendingBatch { due_at_ms, number, changes });
        }
        scheduler.assign_batch(self.last_batch);
        if self.pending_batches.is_empty() {
            scheduler.handle_committed(now, self.last_batch);
        }
        for call in scheduler.take_calls() {
            self.send_call(call);
        }
    }

    // Messages.

    fn send_call(&mut self, call: WorkerCall) {
        let is_delayed = self.rng.random_bool(self.delayed_share);
        let delay_ms =
            if is_delayed { self.rng.random_range(2_000..12_000) } else { self.rng.random_range(1..4) };
        self.send(delay_ms, Message::Call { call: call.clone(), is_delayed });
        if is_delayed {
            let timeout_ms = call.timeout_ms;
            self.send(timeout_ms, Message::Response { call, response: WorkerResponse::NoResponse });
        }
    }

    fn send(&mut self, after_ms: u64, message: Message) {
        self.message_count += 1;
        self.messages.insert((self.now_ms + after_ms, self.message_count), message);
    }

    fn respond(&mut self, call: WorkerCall, response: WorkerResponse, after_ms: u64) {
        self.send(after_ms, Message::Response { call, response });
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            let (arrives_at_ms, _) = *entry.key();
            if arrives_at_ms > self.now_ms {
                return;
            }
            match entry.remove() {
                Message::Call { call, is_delayed } => self.deliver_call(call, is_delayed),
                Message::Response { call, response } => self.deliver_response(&call, response),
            }
        }
    }

    /// A response to a scheduler of an earlier term reaches nobody.
    fn deliver_response(&mut self, call: &WorkerCall, response: WorkerResponse) {
        let now = self.now();
        if let Some(scheduler) = &mut self.scheduler
            && call.fencing_token == self.fencing_token
        {
            scheduler.handle_response(now, &call.worker_id, &call.request, response);
        }
    }

    fn deliver_call(&mut self, call: WorkerCall, is_delayed: bool) {
        let response = self.carry_out(&call);
        if is_delayed {
            return;
        }
        match response {
            Some(WorkerResponse::NoResponse) => {
                let timeout_ms = call.timeout_ms;
                self.respond(call, WorkerResponse::NoResponse, timeout_ms);
            }
            Some(response) => self.respond(call, response, RESPONSE_MS),
            None => {
                let WorkerRequest::RenewLease { wait_ms, .. } = call.request else { return };
                self.waiting_renewals.push(WaitingRenewal { due_at_ms: self.now_ms + wait_ms, call });
            }
        }
    }

    /// `None` for a renewal that waits at the worker.
    fn carry_out(&mut self, call: &WorkerCall) -> Option<WorkerResponse> {
        let worker = &mut self.workers[worker_index(call)];
        if worker.partitioned_until_ms > self.now_ms {
            return Some(WorkerResponse::NoResponse);
        }
        if *worker.id != *call.worker_id {
            return Some(WorkerResponse::WrongIncarnation);
        }
        match &call.request {
            WorkerRequest::RenewLease { .. } => worker.renew_lease(self.now_ms, call, &mut self.checker),
            _ => Some(worker.handle_order(self.now_ms, call, &mut self.checker)),
        }
    }

    /// Answers renewals that have waited long enough, or whose worker has an end to report.
    fn answer_renewals(&mut self) {
        for renewal in std::mem::take(&mut self.waiting_renewals) {
            let WaitingRenewal { due_at_ms, call } = renewal;
            let WorkerRequest::RenewLease { acknowledged_end, .. } = call.request else { continue };
            let worker = &self.workers[worker_index(&call)];
            let has_end = worker.has_end_after(acknowledged_end);
            if worker.partitioned_until_ms > self.now_ms || *worker.id != *call.worker_id {
                self.respond(call, WorkerResponse::NoResponse, BROKEN_RENEWAL_MS);
            } else if self.now_ms >= due_at_ms || has_end {
                let report = worker.report(self.now_ms, acknowledged_end);
                self.respond(call, WorkerResponse::Report(report), RESPONSE_MS);
            } else {
                self.waiting_renewals.push(WaitingRenewal { due_at_ms, call });
            }
        }
    }

    fn list_workers(&mut self) {
        if self.now_ms < self.listed_at_ms + LIST_INTERVAL_MS {
            return;
        }
        self.listed_at_ms = self.now_ms;
        let is_listed = |worker: &&SimulatedWorker| {
            self.now_ms >= worker.started_at_ms + LIST_LAG_MS || worker.incarnation == 0
        };
        let list: Vec<ListedWorker> =
            self.workers.iter().filter(is_listed).map(SimulatedWorker::to_listed).collect();
        let now = self.now();
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.update_workers(now, &list);
        }
    }
}

fn worker_index(call: &WorkerCall) -> usize {
    call.address.parse().expect("an index")
}
