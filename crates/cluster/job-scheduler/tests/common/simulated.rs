//! A deterministic simulation of a cluster from a seed: workers, the platform's worker list,
//! clients, and a scheduler that is killed and recovers. The safety properties are checked at every
//! start and end of a run.
use super::{CONFIG, Records, apply_changes, policy};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_cluster_testbed::{SafetyChecker, SimulatedWorker, finish_gangs};
use spanlead_job_scheduler::{
    Admission, Cancellation, JobId, JobSpec, JobState, ListedWorker, Now, RecordChange, Scheduler,
    WorkerCall, WorkerRequest, WorkerResponse,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The monotonic time at which a simulation starts, milliseconds.
const START_MS: u64 = 1_000_000;
/// The step of the simulated clock, milliseconds.
const STEP_MS: u64 = 5;
/// The interval between two ticks of the scheduler, milliseconds.
const TICK_INTERVAL_MS: u64 = 20;
/// The time until a batch of records is committed, milliseconds.
const COMMIT_LATENCY_MS: u64 = 12;
/// The interval between two worker lists of the platform, milliseconds.
const LIST_INTERVAL_MS: u64 = 1_000;
/// The time after its start from which on a new incarnation of a worker is listed, milliseconds.
const LIST_LAG_MS: u64 = 800;
/// The network latency of a response, milliseconds.
const RESPONSE_LATENCY_MS: u64 = 2;
/// The time until a renewal fails whose worker is partitioned or was replaced while it delayed the
/// response, milliseconds.
const RENEWAL_FAILURE_DELAY_MS: u64 = 400;

/// A message in flight between the scheduler and a worker.
enum Message {
    /// A call. A delayed call is carried out late, and its response is lost.
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

/// A renewal whose response the worker delays until a run ends.
struct WaitingRenewal {
    due_at_ms: u64,
    call: WorkerCall,
}

/// The simulated cluster. Times are in milliseconds of the simulated clock.
pub struct SimulatedCluster {
    pub now_ms: u64,
    pub workers: Vec<SimulatedWorker>,
    /// `None` from a kill to the restart.
    pub scheduler: Option<Scheduler>,
    pub checker: SafetyChecker,
    /// Jobs whose acceptance was committed.
    pub accepted: BTreeSet<JobId>,
    /// Jobs that were cancelled while they were open.
    pub cancelled: BTreeSet<JobId>,
    /// The share of calls that are carried out late and whose responses are lost, 0 to 1.
    pub delayed_share: f64,
    /// The share of workers that each list of the platform leaves out although they live, 0 to 1.
    pub left_out_share: f64,
    rng: ChaCha8Rng,
    fencing_token: u64,
    restart_at_ms: Option<u64>,
    next_job: u64,
    uncommitted_jobs: Vec<UncommittedJob>,
    committed_records: Records,
    pending_batches: VecDeque<PendingBatch>,
    last_batch: u64,
    /// Messages in flight, by time of arrival, then in the order of sending.
    messages: BTreeMap<(u64, u64), Message>,
    message_count: u64,
    waiting_renewals: Vec<WaitingRenewal>,
    /// The time of the last worker list; 0 for none in this term.
    listed_at_ms: u64,
}

impl SimulatedCluster {
    /// Creates a cluster with a running scheduler and without jobs.
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
            left_out_share: 0.0,
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

    /// Kills the scheduler for `downtime_ms`. Of the batches that are being committed, those from a
    /// random one on are lost.
    pub fn kill_scheduler(&mut self, downtime_ms: u64) {
        self.scheduler = None;
        let kept = self.rng.random_range(0..=self.pending_batches.len());
        for batch in std::mem::take(&mut self.pending_batches).into_iter().take(kept) {
            apply_changes(&mut self.committed_records, batch.changes);
        }
        self.uncommitted_jobs.clear();
        self.waiting_renewals.clear();
        self.restart_at_ms = Some(self.now_ms + downtime_ms);
    }

    /// Starts a scheduler with a higher fencing token, which recovers from the committed records.
    fn restart_scheduler(&mut self) {
        self.fencing_token += 1;
        let mut scheduler = Scheduler::new(CONFIG, self.fencing_token, self.rng.random(), self.now());
        let records = self.committed_records.iter().map(|(key, value)| (key.as_slice(), value.as_slice()));
        scheduler.recover(self.now(), records);
        self.scheduler = Some(scheduler);
        self.listed_at_ms = 0;
        self.restart_at_ms = None;
    }

    /// Replaces a worker with a new incarnation. The runs of the old one are lost.
    pub fn crash_worker(&mut self, index: usize) {
        let SimulatedWorker { incarnation, max_reported_ends, .. } = self.workers[index];
        self.checker.record_crash(&self.workers[index].id);
        let mut worker = SimulatedWorker::new(index, incarnation + 1, self.now_ms, &mut self.rng);
        worker.max_reported_ends = max_reported_ends;
        self.workers[index] = worker;
    }

    /// Limits the number of run ends that each worker lists in one report.
    pub fn limit_reported_ends(&mut self, max_reported_ends: usize) {
        for worker in &mut self.workers {
            worker.max_reported_ends = max_reported_ends;
        }
    }

    // Clients.

    /// Submits a job and returns its identifier; `None` while the scheduler is down.
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

    /// Cancels a job if it is open. Does nothing while the scheduler is down.
    pub fn cancel(&mut self, job: JobId) {
        let now = self.now();
        let Some(scheduler) = &mut self.scheduler else { return };
        let is_open = !matches!(scheduler.job_state(job), Some(JobState::Closed(_)) | None);
        if is_open && scheduler.cancel(now, job) == Cancellation::Closed {
            self.cancelled.insert(job);
        }
    }

    /// The state of a job; `None` if it is not known or the scheduler is down.
    pub fn job_state(&self, job: JobId) -> Option<JobState> {
        self.scheduler.as_ref()?.job_state(job)
    }

    // Time.

    /// Advances the simulation by `ms` milliseconds.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    /// Advances the simulation by one step. Panics if a safety property is violated.
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
        assert!(
            self.checker.violations.is_empty(),
            "violations at {} ms: {:?}",
            self.now_ms,
            self.checker.violations
        );
    }

    /// Commits the batches that are due, and notifies the scheduler.
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

    /// Begins the commit of the scheduler's changes, and sends its calls.
    fn flush(&mut self) {
        let now = self.now();
        let Some(scheduler) = &mut self.scheduler else { return };
        let changes = scheduler.take_changes();
        if !changes.is_empty() {
            self.last_batch += 1;
            let (due_at_ms, number) = (self.now_ms + COMMIT_LATENCY_MS, self.last_batch);
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

    /// Sends a call. For a delayed one, the scheduler sees no response at its time-out.
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

    /// Passes a response to the scheduler, unless the call was sent by a scheduler of an earlier
    /// term.
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
            Some(response) => self.respond(call, response, RESPONSE_LATENCY_MS),
            None => {
                let WorkerRequest::RenewLease { wait_ms, .. } = call.request else { return };
                self.waiting_renewals.push(WaitingRenewal { due_at_ms: self.now_ms + wait_ms, call });
            }
        }
    }

    /// Carries out a call at its worker. Returns `None` for a renewal whose response the worker
    /// delays.
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

    /// Responds to the renewals whose delay is over or whose worker has a run end to report, and
    /// fails those whose worker is partitioned or was replaced.
    fn answer_renewals(&mut self) {
        for renewal in std::mem::take(&mut self.waiting_renewals) {
            let WaitingRenewal { due_at_ms, call } = renewal;
            let WorkerRequest::RenewLease { acknowledged_end, .. } = call.request else { continue };
            let worker = &self.workers[worker_index(&call)];
            let has_end = worker.has_end_after(acknowledged_end);
            if worker.partitioned_until_ms > self.now_ms || *worker.id != *call.worker_id {
                self.respond(call, WorkerResponse::NoResponse, RENEWAL_FAILURE_DELAY_MS);
            } else if self.now_ms >= due_at_ms || has_end {
                let report = worker.report(self.now_ms, acknowledged_end);
                self.respond(call, WorkerResponse::Report(report), RESPONSE_LATENCY_MS);
            } else {
                self.waiting_renewals.push(WaitingRenewal { due_at_ms, call });
            }
        }
    }

    /// Updates the scheduler's workers from the platform's list, if a list is due.
    fn list_workers(&mut self) {
        if self.now_ms < self.listed_at_ms + LIST_INTERVAL_MS {
            return;
        }
        self.listed_at_ms = self.now_ms;
        let is_listed = |worker: &&SimulatedWorker| {
            self.now_ms >= worker.started_at_ms + LIST_LAG_MS || worker.incarnation == 0
        };
        let mut list: Vec<ListedWorker> =
            self.workers.iter().filter(is_listed).map(SimulatedWorker::to_listed).collect();
        if self.left_out_share > 0.0 {
            list.retain(|_| !self.rng.random_bool(self.left_out_share));
        }
        let now = self.now();
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.update_workers(now, &list);
        }
    }
}

fn worker_index(call: &WorkerCall) -> usize {
    call.address.parse().expect("the address is the worker's index")
}
