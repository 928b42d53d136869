//! Deterministic simulation of the engine with its job table and the real write-ahead log.
//!
//! Clients, workers, network, disk and clocks are driven by a seeded random generator. Messages are
//! lost, duplicated and delayed; the scheduler's process or its machine crashes between any record,
//! its sync and the effects that follow; the invariants are checked after each event. As in the
//! simulators of `FoundationDB` and `TigerBeetle`, there is one thread and virtual time, and the
//! same seed gives the same run. `SEED=n` runs that seed alone, `STORIES=n` runs the seeds below n.
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use spanlead_balancing_policy::{
    DeduplicationScope, EndpointUpdate, Idempotency, Limits as PolicyLimits, Nanos, Outcome, RequestClass,
    RequestId, Settings, WorkerState,
};
use spanlead_deployment_settings::Names;
use spanlead_durable_jobs::{ClockAnchor, JobTable, JobTableLimits, decode, encode};
use spanlead_engine::{
    Answer, AttemptId, DispatchResult, DurabilityBarrier, DurableRequest, DurableSetup, Effect, Engine,
    Input, JobRequest, JobUpdate, LeaseGrant, NoticeReply, ReleasedEffect, WorkerEndpoint, WorkerNotice,
};
use spanlead_wal::simulated::SimulatedDirectory;
use spanlead_wal::{LogOptions, RecordRejected, WriteAheadLog};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

const MS: Nanos = 1_000_000;
const SEC: Nanos = 1000 * MS;
/// The virtual time at which a run starts.
const START_TIME: Nanos = 1000 * SEC;
/// The period, from the start of a run, in which faults are injected and clients submit again.
const FAULT_PERIOD: Nanos = 20 * SEC;
const LEASE_DURATION: Nanos = 2 * SEC;
const CLOCK_BOUND: Nanos = 200 * MS;
const DEDUPLICATION_WINDOW: Nanos = 25 * SEC;
/// How long a client waits for a final answer, over all its submissions.
const CLIENT_TIMEOUT: Nanos = 15 * SEC;
const MAX_SEGMENT_BYTES: u64 = 700;
const TICK_INTERVAL: Nanos = 20 * MS;
/// The number of the deduplicated class in [`settings`].
const DEDUPLICATED_CLASS: u32 = 1;
/// The number of the at-most-once class in [`settings`].
const AT_MOST_ONCE_CLASS: u32 = 2;
/// How many lines of the trace a failed check prints.
const TRACE_LINES_SHOWN: usize = 80;

fn settings() -> Settings {
    let class = |idempotency| RequestClass { idempotency, ..RequestClass::new(SEC, CLIENT_TIMEOUT) };
    let deduplicated =
        Idempotency::Deduplicated { scope: DeduplicationScope::Cell, window: DEDUPLICATION_WINDOW };
    let limits = PolicyLimits {
        max_attempts: 6,
        can_cancel: true,
        can_send_retry_after: true,
        max_retry_after: SEC,
        ..Settings::default().limits
    };
    let classes = vec![class(Idempotency::Idempotent), class(deduplicated), class(Idempotency::AtMostOnce)];
    Settings { classes, limits, tick: 2 * MS, ..Settings::default() }
}

fn names() -> Names {
    let all = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    let classes = all(&["status-check", "guest-visit", "once"]);
    Names { classes, zones: all(&["kista"]), kinds: all(&["std-2c"]), ..Names::default() }
}

/// A scheduled event. One with an `epoch` is dropped if that scheduler process has ended, and one
/// with an `incarnation` if that worker process has.
#[derive(Clone, Debug)]
enum Event {
    /// A client submits its request.
    Submit(usize),
    /// The client of this submission must have its answer by now.
    ClientTimeout { client: usize, submission: u64 },
    /// A dispatched attempt reaches its worker.
    AttemptArrives {
        worker: usize,
        attempt: AttemptId,
        job_id: Arc<str>,
        client: usize,
        lease: Option<LeaseGrant>,
        epoch: u64,
    },
    /// The scheduler learns how the dispatch of an attempt ended.
    DispatchFinished { attempt: AttemptId, result: DispatchResult, epoch: u64 },
    /// A worker finishes a job.
    JobDone { worker: usize, job_id: Arc<str>, incarnation: u64 },
    /// A job's lease may have expired by its worker's clock.
    LeaseExpires { worker: usize, job_id: Arc<str>, incarnation: u64 },
    /// A worker sends a notice to the scheduler.
    SendNotice(Notice),
    /// A cancellation reaches the worker.
    CancelAttempt { worker: usize, job_id: Arc<str>, attempt: AttemptId, epoch: u64 },
    /// The scheduler learns that the worker has cancelled the attempt.
    AttemptCancelled { attempt: AttemptId, epoch: u64 },
    /// The log's writer appends and syncs the records that wait for it.
    Sync { epoch: u64 },
    /// The scheduler's timers run.
    Tick { epoch: u64 },
    /// The scheduler's process crashes; with `power_loss` its machine does, too.
    Crash { power_loss: bool },
    /// The scheduler's process starts.
    Start,
    /// A worker crashes.
    WorkerCrash(usize),
    /// A crashed worker starts again, without jobs.
    WorkerRestart(usize),
}

#[derive(Clone, Debug)]
struct Notice {
    worker: usize,
    job_id: Arc<str>,
    token: Option<u64>,
    update: &'static str,
    incarnation: u64,
    sent_at: Nanos,
    retries_left: u32,
}

/// A job at a worker.
struct WorkerJob {
    token: Option<u64>,
    /// When the worker must stop the job, with the drift of its clock included.
    stop_at: Nanos,
    /// The worker's reply to the dispatch was not lost.
    replied: bool,
}

struct Worker {
    is_up: bool,
    /// Counts the processes of the worker.
    incarnation: u64,
    is_lease_aware: bool,
    cell: u32,
    jobs: BTreeMap<Arc<str>, WorkerJob>,
}

struct Client {
    class: u32,
    /// The open submission and its request.
    open_submission: Option<(u64, RequestId)>,
    /// The end of [`CLIENT_TIMEOUT`]; 0 before the first submission.
    deadline: Nanos,
    answer: Option<Answer>,
}

struct Simulation {
    seed: u64,
    rng: SmallRng,
    now: Nanos,
    /// The last number that was given to an event or a notice.
    last_serial: u64,
    /// The serial numbers of scheduled events by time.
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: HashMap<u64, Event>,
    directory: SimulatedDirectory,
    /// The running scheduler process.
    process: Option<(Engine, DurabilityBarrier, WriteAheadLog)>,
    /// Counts the scheduler processes.
    epoch: u64,
    /// Attempts that were dispatched and wait for the worker's reply on their connection.
    pending_dispatches: HashSet<AttemptId>,
    /// Records that wait for the next [`Event::Sync`].
    unwritten_records: Vec<Bytes>,
    /// Notices that wait for the scheduler's reply.
    pending_notices: HashMap<u64, Notice>,
    workers: Vec<Worker>,
    clients: Vec<Client>,
    /// The client of each job that was dispatched.
    client_of_job: HashMap<Arc<str>, usize>,
    /// By client, the runs of its job: worker and start of each. A duplicate that the worker's cell
    /// drops is no run.
    runs: HashMap<usize, Vec<(usize, Nanos)>>,
    /// Clients whose job's result was acknowledged to a lease-aware worker.
    acknowledged: HashSet<usize>,
    disk_may_fail: bool,
    /// How many requests were submitted.
    submissions: u64,
    /// From when to when no scheduler process ran.
    outages: Vec<(Nanos, Nanos)>,
    trace: Vec<String>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let worker = |i| (i, rng.random_bool(0.7));
        let workers: Vec<(u32, bool)> = (0..3).map(worker).collect();
        let worker = |(i, is_lease_aware)| Worker {
            is_up: true,
            incarnation: 0,
            is_lease_aware,
            cell: i / 2,
            jobs: BTreeMap::new(),
        };
        let classes: Vec<u32> = (0..rng.random_range(1..12)).map(|_| rng.random_range(0..3)).collect();
        let client = |class| Client { class, open_submission: None, deadline: 0, answer: None };
        let disk_may_fail = rng.random_bool(0.15);
        let mut simulation = Simulation {
            seed,
            rng,
            now: START_TIME,
            last_serial: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            directory: SimulatedDirectory::new(),
            process: None,
            epoch: 0,
            pending_dispatches: HashSet::new(),
            unwritten_records: Vec::new(),
            pending_notices: HashMap::new(),
            workers: workers.into_iter().map(worker).collect(),
            clients: classes.into_iter().map(client).collect(),
            client_of_job: HashMap::new(),
            runs: HashMap::new(),
            acknowledged: HashSet::new(),
            disk_may_fail,
            submissions: 0,
            outages: Vec::new(),
            trace: Vec::new(),
        };
        simulation.schedule(0, Event::Start);
        for client in 0..simulation.clients.len() {
            let delay = simulation.rng.random_range(MS..FAULT_PERIOD / 2);
            simulation.schedule(delay, Event::Submit(client));
        }
        for _ in 0..simulation.rng.random_range(0..6) {
            let delay = simulation.rng.random_range(MS..FAULT_PERIOD);
            let power_loss = simulation.rng.random_bool(0.4);
            simulation.schedule(delay, Event::Crash { power_loss });
        }
        for _ in 0..simulation.rng.random_range(0..3) {
            let delay = simulation.rng.random_range(MS..FAULT_PERIOD);
            let worker = simulation.rng.random_range(0..3);
            simulation.schedule(delay, Event::WorkerCrash(worker));
        }
        simulation
    }

    fn schedule(&mut self, delay: Nanos, event: Event) {
        self.last_serial += 1;
        self.queue.push(Reverse((self.now + delay, self.last_serial)));
        self.events.insert(self.last_serial, event);
    }

    /// Draws the delay of a message: 5 % are slow.
    fn message_delay(&mut self) -> Nanos {
        let is_slow = self.rng.random_bool(0.05);
        self.rng.random_range(if is_slow { MS..600 * MS } else { MS / 10..5 * MS })
    }

    fn run(mut self) {
        let end = START_TIME + FAULT_PERIOD + 3 * CLIENT_TIMEOUT;
        while let Some(Reverse((at, serial))) = self.queue.pop().filter(|next| next.0.0 <= end) {
            self.now = at;
            let Some(event) = self.events.remove(&serial) else { continue };
            if !matches!(event, Event::Tick { .. }) {
                self.trace.push(format!("{:>10.3} ms {event:?}", (at - START_TIME) as f64 / 1e6));
            }
            self.handle(event);
            self.check_invariants();
        }
        for (i, client) in self.clients.iter().enumerate() {
            // While no process runs nothing can answer, and after a restart the client needs up to
            // a second to submit again.
            let covers_deadline =
                |(from, to): &(Nanos, Nanos)| *from <= client.deadline && client.deadline <= to + SEC;
            let is_excused = self.outages.iter().any(covers_deadline);
            self.ensure(
                client.answer.is_some() || is_excused,
                &format!("client {i} got no final answer by the end of the run"),
            );
        }
    }

    /// Panics with the seed and the end of the trace if a condition does not hold.
    fn ensure(&self, holds: bool, violation: &str) {
        if !holds {
            let from = self.trace.len().saturating_sub(TRACE_LINES_SHOWN);
            panic!("SEED={}: {violation}\n{}", self.seed, self.trace[from..].join("\n"));
        }
    }

    /// Checks that no job ran more often, or elsewhere, than its class permits.
    fn check_invariants(&self) {
        for (client, runs) in &self.runs {
            match self.clients[*client].class {
                DEDUPLICATED_CLASS => {
                    let cells: HashSet<u32> = runs.iter().map(|(w, _)| self.workers[*w].cell).collect();
                    self.ensure(
                        cells.len() == 1,
                        &format!("the deduplicated job of client {client} ran in several cells: {runs:?}"),
                    );
                    let window_end = runs[0].1 + DEDUPLICATION_WINDOW;
                    let is_within_window = runs.iter().all(|(_, at)| *at <= window_end + SEC);
                    self.ensure(
                        is_within_window,
                        &format!(
                            "the job of client {client} ran after its deduplication window had ended at \
                             {window_end} ns: {runs:?}"
                        ),
                    );
                }
                AT_MOST_ONCE_CLASS => self.ensure(
                    runs.len() == 1,
                    &format!("the at-most-once job of client {client} ran {} times: {runs:?}", runs.len()),
                ),
                _ => {}
            }
        }
    }

    // ------------------------------------------------------------ the scheduler process

    fn start_process(&mut self) {
        if self.process.is_some() {
            return;
        }
        self.directory.clear_faults();
        let mut job_table = JobTable::new(JobTableLimits { retention: 60 * SEC, max_jobs: 1000 });
        let options = LogOptions { max_segment_bytes: MAX_SEGMENT_BYTES, sync_on_commit: true };
        let opened = WriteAheadLog::open(Box::new(self.directory.clone()), options, |lsn, bytes| {
            let record = decode(bytes).map_err(RecordRejected::new)?;
            job_table.replay(lsn, &record).map_err(RecordRejected::new)
        });
        let (log, _) = match opened {
            Ok(opened) => opened,
            Err(error) => return self.ensure(false, &format!("the log could not be opened: {error}")),
        };
        job_table.skip_to(log.next_lsn());
        if self.disk_may_fail && self.rng.random_bool(0.3) {
            self.directory.fail_sync_after(self.rng.random_range(0..40));
        }
        self.epoch += 1;
        let seed = self.seed ^ self.epoch;
        let engine = Engine::new(settings(), Arc::new(names()), seed, 100, worker_addr(9), true);
        let mut barrier = DurabilityBarrier::default();
        barrier.open(job_table.last_lsn());
        self.process = Some((engine.expect("the settings are valid"), barrier, log));
        let host = |(i, worker): (usize, &Worker)| WorkerEndpoint {
            name: worker_name(i),
            addr: worker_addr(i as u16),
            state: WorkerState::Ready,
            started: None,
            kind: Some(0),
            zone: Some(0),
            cell: Some(worker.cell),
            weight: None,
        };
        let hosts = self.workers.iter().enumerate().map(host).collect();
        self.step(Input::EndpointList { scope: EndpointUpdate::CachedSnapshot, version: 1, hosts });
        let anchor = ClockAnchor { boot_id: "b".into(), uptime: self.now, process_clock: self.now };
        let setup = DurableSetup {
            job_table,
            clock_anchor: anchor,
            keep_all_jobs: false,
            lease_duration: LEASE_DURATION,
            clock_bound: CLOCK_BOUND,
            max_disk_bytes: 1 << 30,
            segment_bytes: MAX_SEGMENT_BYTES,
        };
        self.step(Input::DurableJobsOpened(Box::new(setup)));
        self.schedule(TICK_INTERVAL, Event::Tick { epoch: self.epoch });
    }

    fn crash_process(&mut self, power_loss: bool) {
        let Some((_, _, mut log)) = self.process.take() else { return };
        // Of the records that wait for the writer, none or some reach the log; no effect that waits
        // for them is performed.
        let unwritten = std::mem::take(&mut self.unwritten_records);
        if self.rng.random_bool(0.5) {
            let written = self.rng.random_range(0..=unwritten.len());
            let _ = log.append(&unwritten[..written]);
        }
        drop(log);
        if power_loss {
            self.directory.crash(self.rng.random());
        }
        self.pending_notices.clear();
        self.pending_dispatches.clear();
        // Connections break: a job whose worker has not replied to the dispatch is dropped or goes
        // on, at random.
        for i in 0..self.workers.len() {
            let rng = &mut self.rng;
            self.workers[i].jobs.retain(|_, job| job.replied || rng.random_bool(0.5));
        }
        for client in 0..self.clients.len() {
            if self.clients[client].open_submission.take().is_some() {
                let delay = self.rng.random_range(MS..400 * MS);
                self.schedule(delay, Event::Submit(client));
            }
        }
        let downtime = self.rng.random_range(MS..1500 * MS);
        self.outages.push((self.now, self.now + downtime));
        self.schedule(downtime, Event::Start);
    }

    fn step(&mut self, input: Input) {
        let Some((engine, ..)) = &mut self.process else { return };
        let mut effects = Vec::new();
        engine.step(self.now, input, &mut effects);
        effects.into_iter().for_each(|effect| self.perform(effect));
    }

    /// Handles what the durability barrier has released.
    fn handle_released(&mut self, released: impl IntoIterator<Item = ReleasedEffect>) {
        for effect in released {
            match effect {
                ReleasedEffect::Perform(effect) => self.perform(effect),
                ReleasedEffect::NeverSent(attempt) => {
                    let result = DispatchResult::Ended(Outcome::NotSent, None);
                    self.schedule(0, Event::DispatchFinished { attempt, result, epoch: self.epoch });
                }
                ReleasedEffect::Unacknowledged(notice) => drop(self.pending_notices.remove(&notice)),
            }
        }
    }

    fn perform(&mut self, effect: Effect) {
        let epoch = self.epoch;
        let Some((_, barrier, log)) = &mut self.process else { return };
        match effect {
            Effect::AppendRecord(record) => {
                let bytes = encode(&record).expect("the record can be encoded");
                self.unwritten_records.push(bytes.into());
                barrier.record_appended(log.next_lsn() + self.unwritten_records.len() as u64 - 1);
                if self.unwritten_records.len() == 1 {
                    // 1 % of the syncs stall.
                    let stalls = self.rng.random_bool(0.01);
                    let delay = self.rng.random_range(if stalls { SEC..4 * SEC } else { MS / 10..20 * MS });
                    self.schedule(delay, Event::Sync { epoch });
                }
            }
            Effect::AfterDurable { effect, until } => {
                let released = barrier.submit(*effect, until);
                self.handle_released(released);
            }
            Effect::Answer { request_id, answer, job } => {
                if let Some(client) = self.client_of_request(request_id) {
                    self.receive_answer(client, answer);
                    if let Some(job) = job {
                        self.step(Input::AnswerDelivered { job });
                    }
                }
            }
            Effect::SendAttempt { attempt, addr, lease, encoded_request, .. } => {
                let client = match encoded_request {
                    Some(request) => String::from_utf8_lossy(&request).parse().ok(),
                    None => self.client_of_request(attempt.request),
                };
                let Some(client) = client else {
                    return self.ensure(
                        false,
                        &format!("{attempt:?} was sent without an encoded request or a waiting client"),
                    );
                };
                let Some(job_id) = self.job_id(attempt.request) else {
                    return self
                        .ensure(false, &format!("{attempt:?} was sent for a request that is not open"));
                };
                self.dispatch(attempt, addr, job_id, client, lease);
            }
            Effect::CancelAttempt { attempt, addr, job_id, .. } => match barrier.cancel(attempt) {
                true => self.handle_released([ReleasedEffect::NeverSent(attempt)]),
                // Cancels the dispatch by closing its connection, before the worker has replied.
                false if self.pending_dispatches.remove(&attempt) => {
                    self.workers[worker_index(addr)].jobs.remove(&job_id);
                    self.schedule(0, Event::AttemptCancelled { attempt, epoch });
                }
                false => {
                    let (delay, worker) = (self.message_delay(), worker_index(addr));
                    self.schedule(delay, Event::CancelAttempt { worker, job_id, attempt, epoch });
                }
            },
            Effect::Acknowledge { notice_id, reply } => {
                if let Some(notice) = self.pending_notices.remove(&notice_id) {
                    self.receive_notice_reply(&notice, reply);
                }
            }
            _ => {}
        }
    }

    /// Sends an attempt to its worker; 3 % of the connections fail.
    fn dispatch(
        &mut self,
        attempt: AttemptId,
        addr: SocketAddr,
        job_id: Arc<str>,
        client: usize,
        lease: Option<LeaseGrant>,
    ) {
        let epoch = self.epoch;
        self.client_of_job.insert(job_id.clone(), client);
        self.pending_dispatches.insert(attempt);
        let (worker, delay) = (worker_index(addr), self.message_delay());
        if self.rng.random_bool(0.97) {
            self.schedule(delay, Event::AttemptArrives { worker, attempt, job_id, client, lease, epoch });
        } else {
            let result = DispatchResult::Ended(Outcome::ConnectFailed, None);
            self.schedule(delay, Event::DispatchFinished { attempt, result, epoch });
        }
    }

    fn receive_notice_reply(&mut self, notice: &Notice, reply: NoticeReply) {
        let has_storage_failed =
            self.process.as_ref().is_some_and(|(engine, ..)| engine.has_storage_failed());
        let worker = &mut self.workers[notice.worker];
        if worker.incarnation != notice.incarnation {
            return;
        }
        match reply {
            NoticeReply::Acknowledged { lease: Some(duration) } => {
                if let Some(job) = worker.jobs.get_mut(&notice.job_id) {
                    job.stop_at = job.stop_at.max(notice.sent_at + duration);
                    let stop_at_ms = (job.stop_at - START_TIME) as f64 / 1e6;
                    self.trace.push(format!("lease on {} renewed until {stop_at_ms:.3} ms", notice.job_id));
                }
            }
            NoticeReply::Acknowledged { lease: None } => {
                if notice.update == "done" && notice.token.is_some() && !has_storage_failed {
                    self.acknowledged.extend(self.client_of_job.get(&notice.job_id));
                }
            }
            NoticeReply::Fenced => drop(worker.jobs.remove(&notice.job_id)),
        }
    }

    fn job_id(&self, request_id: RequestId) -> Option<Arc<str>> {
        self.process.as_ref()?.0.job_id(request_id)
    }

    fn client_of_request(&self, request_id: RequestId) -> Option<usize> {
        let is_open = |client: &Client| client.open_submission.is_some_and(|(_, id)| id == request_id);
        self.clients.iter().position(is_open)
    }

    fn receive_answer(&mut self, client: usize, answer: Answer) {
        self.clients[client].open_submission = None;
        let received = format!("client {client} received {answer:?}");
        self.trace.push(received.clone());
        let is_expected = match &answer {
            Answer::Succeeded(result) => *result == result_for(client),
            other => *other != Answer::KeyMismatch && *other != Answer::DuplicateId,
        };
        self.ensure(
            is_expected,
            &format!("{received}; expected {:?}, a rejection or a failure", result_for(client)),
        );
        let is_at_most_once = self.clients[client].class == AT_MOST_ONCE_CLASS;
        if is_at_most_once && self.acknowledged.contains(&client) && !self.disk_may_fail {
            let is_result_retained = matches!(answer, Answer::Succeeded(_) | Answer::Rejected { .. });
            self.ensure(
                is_result_retained,
                &format!("{received} though the worker's result had been acknowledged"),
            );
        }
        let is_rejected = matches!(answer, Answer::Rejected { .. });
        let retries = is_rejected && self.now + SEC < self.clients[client].deadline;
        self.clients[client].answer = Some(answer);
        if retries {
            self.schedule(300 * MS, Event::Submit(client));
        } else if self.now < START_TIME + FAULT_PERIOD && self.rng.random_bool(0.3) {
            // The client submits again, as if the answer had been lost.
            let delay = self.rng.random_range(MS..3 * SEC);
            self.schedule(delay, Event::Submit(client));
        }
    }

    // ------------------------------------------------------------ events

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start => self.start_process(),
            Event::Crash { power_loss } => self.crash_process(power_loss),
            Event::Tick { epoch } if epoch == self.epoch => {
                let Some((_, barrier, _)) = &mut self.process else { return };
                let expired = barrier.expire(self.now);
                self.handle_released(expired);
                self.step(Input::Tick);
                self.schedule(TICK_INTERVAL, Event::Tick { epoch });
            }
            Event::Sync { epoch } if epoch == self.epoch => {
                let Some((_, barrier, log)) = &mut self.process else { return };
                let records = std::mem::take(&mut self.unwritten_records);
                if log.append(&records).is_ok() {
                    let bytes = log.size_bytes();
                    let released = barrier.records_durable(log.next_lsn() - 1);
                    self.handle_released(released);
                    self.step(Input::RecordsDurable { bytes });
                } else {
                    let released = barrier.fail();
                    self.step(Input::StorageFailed);
                    self.handle_released(released);
                }
            }
            Event::Submit(client) => self.submit(client),
            Event::ClientTimeout { client, submission } => {
                let is_open =
                    self.clients[client].open_submission.is_some_and(|(open, _)| open == submission);
                self.ensure(
                    !is_open,
                    &format!("client {client} got no answer to submission {submission} by its deadline"),
                );
            }
            // An attempt of an ended process, or one that was cancelled, is lost: its connection is
            // closed.
            Event::AttemptArrives { worker, attempt, job_id, client, lease, epoch }
                if epoch == self.epoch && self.pending_dispatches.contains(&attempt) =>
            {
                self.receive_attempt(worker, attempt, job_id, client, lease);
            }
            Event::DispatchFinished { attempt, result, epoch } if epoch == self.epoch => {
                self.pending_dispatches.remove(&attempt);
                self.step(Input::DispatchFinished { attempt, result });
            }
            Event::JobDone { worker, job_id, incarnation } => {
                let state = &mut self.workers[worker];
                if let Some(job) = state.jobs.remove(&job_id).filter(|_| state.incarnation == incarnation) {
                    let delay = self.message_delay();
                    self.schedule_notice(delay, worker, job_id, job.token, "done", 10);
                }
            }
            Event::LeaseExpires { worker, job_id, incarnation } => {
                let state = &mut self.workers[worker];
                let job = state.jobs.get(&job_id).filter(|_| state.incarnation == incarnation);
                match job.map(|job| job.stop_at) {
                    Some(stop_at) if stop_at <= self.now => drop(state.jobs.remove(&job_id)),
                    Some(stop_at) => {
                        let delay = stop_at - self.now;
                        self.schedule(delay, Event::LeaseExpires { worker, job_id, incarnation });
                    }
                    None => {}
                }
            }
            Event::SendNotice(notice) => self.send_notice(notice),
            Event::CancelAttempt { worker, job_id, attempt, epoch } => {
                let is_up = self.workers[worker].is_up;
                if is_up {
                    self.workers[worker].jobs.remove(&job_id);
                }
                if is_up && self.rng.random_bool(0.9) {
                    let delay = self.message_delay();
                    self.schedule(delay, Event::AttemptCancelled { attempt, epoch });
                } else if epoch == self.epoch {
                    self.schedule(200 * MS, Event::CancelAttempt { worker, job_id, attempt, epoch });
                }
            }
            Event::AttemptCancelled { attempt, epoch } if epoch == self.epoch => {
                self.step(Input::AttemptCancelled { attempt });
            }
            Event::WorkerCrash(worker) => {
                let state = &mut self.workers[worker];
                (state.is_up, state.incarnation) = (false, state.incarnation + 1);
                state.jobs.clear();
                let downtime = self.rng.random_range(100 * MS..3 * SEC);
                self.schedule(downtime, Event::WorkerRestart(worker));
            }
            Event::WorkerRestart(worker) => self.workers[worker].is_up = true,
            _ => {}
        }
    }

    fn submit(&mut self, client: usize) {
        let state = &mut self.clients[client];
        if state.deadline == 0 {
            state.deadline = self.now + CLIENT_TIMEOUT;
        }
        let deadline = state.deadline;
        if state.open_submission.is_some() || self.now + 50 * MS > deadline {
            return;
        }
        if self.process.is_none() {
            let delay = self.rng.random_range(MS..100 * MS);
            return self.schedule(delay, Event::Submit(client));
        }
        self.submissions += 1;
        let (submission, request_id) = (self.submissions, RequestId(self.submissions));
        self.clients[client].open_submission = Some((submission, request_id));
        let key: Option<Arc<str>> = Some(format!("key-{client}").into());
        let encoded_request = client.to_string().into();
        let durable_request = DurableRequest { key, fingerprint: [client as u8; 16], encoded_request };
        let job = JobRequest {
            id: format!("r{submission}").into(),
            class: self.clients[client].class,
            tenant: 0,
            slots: 1.0,
            memory: 0.0,
            affinity_key: None,
            deadline,
            durable_request: Some(durable_request),
        };
        self.schedule(deadline - self.now + 50 * MS, Event::ClientTimeout { client, submission });
        self.step(Input::RequestReceived { request_id, job, previous_attempts: None, durable: false });
    }

    fn receive_attempt(
        &mut self,
        worker: usize,
        attempt: AttemptId,
        job_id: Arc<str>,
        client: usize,
        lease: Option<LeaseGrant>,
    ) {
        let (delay, epoch) = (self.message_delay(), self.epoch);
        if !self.workers[worker].is_up {
            let result = DispatchResult::Ended(Outcome::ConnectFailed, None);
            return self.schedule(delay, Event::DispatchFinished { attempt, result, epoch });
        }
        if let Some(holder) = self.workers.iter().position(|w| w.jobs.contains_key(&job_id)) {
            self.ensure(
                false,
                &format!("{job_id} was sent to worker {worker} while worker {holder} still had it"),
            );
        }
        let lease_aware = self.workers[worker].is_lease_aware;
        let lease = lease.filter(|_| lease_aware);
        self.ensure(
            !lease_aware || lease.is_some(),
            &format!("{job_id} was sent to lease-aware worker {worker} without a lease"),
        );
        // The worker's clock runs slow, by less than the bound over a lease.
        let drift = self.rng.random_range(0..CLOCK_BOUND / 2);
        let stop_at = lease.map_or(Nanos::MAX, |lease| self.now + lease.duration + drift);
        let (incarnation, token) = (self.workers[worker].incarnation, lease.map(|lease| lease.token));
        // 5 % of the replies are lost with their connection, and the job goes on.
        let replied = self.rng.random_bool(0.95);
        self.workers[worker].jobs.insert(job_id.clone(), WorkerJob { token, stop_at, replied });
        let is_long = self.rng.random_bool(0.1);
        let run_time = self.rng.random_range(if is_long { SEC..6 * SEC } else { 5 * MS..500 * MS });
        // A cell drops the duplicate of a job that began there within the window.
        let cell = self.workers[worker].cell;
        let runs = self.runs.entry(client).or_default();
        let deduplicates = |(w, started_at): &(usize, Nanos)| {
            self.workers[*w].cell == cell && self.now <= started_at + DEDUPLICATION_WINDOW
        };
        if self.clients[client].class != DEDUPLICATED_CLASS || !runs.iter().any(deduplicates) {
            runs.push((worker, self.now));
        }
        self.schedule(run_time, Event::JobDone { worker, job_id: job_id.clone(), incarnation });
        if lease.is_some() {
            let expiry = Event::LeaseExpires { worker, job_id: job_id.clone(), incarnation };
            self.schedule(LEASE_DURATION, expiry);
        }
        if replied {
            let result = DispatchResult::Accepted { lease_aware };
            self.schedule(delay, Event::DispatchFinished { attempt, result, epoch });
        }
        let delay = self.message_delay();
        self.schedule_notice(delay, worker, job_id.clone(), token, "started", 10);
        for i in 1..run_time / (500 * MS) {
            self.schedule_notice(i * 500 * MS, worker, job_id.clone(), token, "running", 0);
        }
    }

    fn schedule_notice(
        &mut self,
        delay: Nanos,
        worker: usize,
        job_id: Arc<str>,
        token: Option<u64>,
        update: &'static str,
        retries_left: u32,
    ) {
        let (incarnation, sent_at) = (self.workers[worker].incarnation, 0);
        let notice = Notice { worker, job_id, token, update, incarnation, sent_at, retries_left };
        self.schedule(delay, Event::SendNotice(notice));
    }

    fn send_notice(&mut self, notice: Notice) {
        let notice = Notice { sent_at: self.now, ..notice };
        let worker = &self.workers[notice.worker];
        if worker.incarnation != notice.incarnation || !worker.is_up {
            return;
        }
        // A notice is lost in 10 % of the cases and while no process runs; then it is sent again.
        // 20 % of the others are sent again, too, as duplicates.
        let is_lost = self.process.is_none() || self.rng.random_bool(0.1);
        if notice.retries_left > 0 && (is_lost || self.rng.random_bool(0.2)) {
            let retry = Notice { retries_left: notice.retries_left - 1, ..notice.clone() };
            self.schedule(150 * MS, Event::SendNotice(retry));
        }
        if is_lost {
            return;
        }
        self.last_serial += 1;
        let notice_id = self.last_serial;
        let update = match notice.update {
            "started" => JobUpdate::Started,
            "running" => JobUpdate::Running(0.5),
            _ => JobUpdate::Done(result_for(self.client_of_job[&notice.job_id])),
        };
        let input = Input::WorkerNotice(WorkerNotice {
            notice_id,
            job_id: notice.job_id.to_string(),
            worker: worker_name(notice.worker).to_string(),
            fencing_token: notice.token,
            update,
            report: None,
        });
        self.pending_notices.insert(notice_id, notice);
        self.step(input);
    }
}

/// The result of a client's job.
fn result_for(client: usize) -> String {
    format!("result of {client}")
}

fn worker_name(worker: usize) -> Arc<str> {
    format!("w{worker}").into()
}

/// A worker's address, with its index plus 1 as the port.
fn worker_addr(worker: u16) -> SocketAddr {
    ([127, 0, 0, 1], worker + 1).into()
}

fn worker_index(addr: SocketAddr) -> usize {
    addr.port() as usize - 1
}

// Guards durable jobs against crashes, lost and late messages, and disk faults: no at-most-once job
// runs twice, no job is at two workers at once, acknowledged results are kept, and each client gets
// its answer.
#[test]
fn no_fault_schedule_breaks_an_invariant() {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    if let Some(seed) = number("SEED") {
        return Simulation::new(seed).run();
    }
    let seeds = number("STORIES").unwrap_or(150);
    println!("running the seeds 0 to {}", seeds.saturating_sub(1));
    (0..seeds).for_each(|seed| Simulation::new(seed).run());
}
