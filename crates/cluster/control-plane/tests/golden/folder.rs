//! The golden data folder: its location, and the records from which it was written.
#![allow(dead_code, reason = "each golden test uses a part of this module")]
use spanlead_control_plane::configuration_state::{ConfigurationState, ReplaceOutcome};
use spanlead_control_plane::store::Store;
use spanlead_job_scheduler::{
    Admission, Cancellation, FinishedTask, JobId, JobSpec, ListedWorker, ListedWorkerState, Now, QueueId,
    QueuePolicy, RecordChange, RunningTask, Scheduler, SchedulerConfig, TaskId, WorkerReport, WorkerRequest,
    WorkerResponse,
};
use spanlead_replication::{
    AcceptedView, Ballot, Change, Epoch, Keyspace, Member, MemberId, Position, Record, Term, View,
    WitnessRecord,
};
use std::path::PathBuf;

/// The name of the database file in a data folder.
pub const FILE_NAME: &str = "control.redb";
/// The member ID of the node that owns the folder.
pub const IDENTITY: MemberId = MemberId(0x1111_2222_3333_4441);
/// The Unix time at which the first job was accepted, milliseconds.
pub const ACCEPTED_AT_MS: u64 = 1_700_000_000_123;

/// A job that succeeded.
pub const SUCCEEDED: JobId = JobId(1);
/// A job that failed.
pub const FAILED: JobId = JobId(2);
/// A job that was cancelled.
pub const CANCELLED: JobId = JobId(3);
/// A job with a running task.
pub const RUNNING: JobId = JobId(4);
/// A job that waits for free capacity on the worker.
pub const QUEUED: JobId = JobId(5);
/// A repeated job that sets every field of its spec, with the first occurrence in the year 2100.
pub const SCHEDULED: JobId = JobId(6);

/// The ID of the worker on which the task of [`RUNNING`] runs.
pub const WORKER: &str = "worker-1";

/// The configuration that [`CONFIGURATION_42`] replaced.
const CONFIGURATION_41: &str = r#"{"version":41,"routes":[],"services":[]}"#;

/// The configuration in force.
pub const CONFIGURATION_42: &str = r#"{"version":42,
 "routes":[{"name":"nightly","host":"jobs.example","pathPrefix":"/v1/nightly/","routeType":"jobs","timeoutMs":3000,
            "targetLatencyMs":1500.5,"priority":2,"service":"batch","maxAttempts":2,"extension":1.25}],
 "services":[{"name":"batch","healthPath":"/healthz","maxConns":17,"guards":true}],
 "limits":{"maxHeaderBytes":8192,"maxBodyBytes":65536,"headerTimeoutMs":2500,"idleTimeoutMs":30000}}"#;

const SHORT_SPEC: &str = r#"{"spec":"once","stages":[{"count":1,"cpu":100,"checkpoints":true}]}"#;
const LONG_RUNNING_SPEC: &str =
    r#"{"spec":"lasting","stages":[{"count":1,"cpu":1000,"memMb":64,"longRunning":true}]}"#;
const ALL_FIELDS_SPEC: &str = r#"{"spec":"timed","stages":[{"count":1},{"count":2,"cpu":1500,"memMb":2048,"gpus":2,
    "estRuntimeMs":90000,"dependsOn":[0],"checkpoints":true,"gang":true,"rackLocal":true,
    "constraints":["ssd","a label longer than eight"],"affinity":"rack-9","antiAffinity":3,"speculative":true}],
    "repeats":4,"startAtMs":4102444800000,"intervalMs":60000}"#;

/// Returns the path of the golden data folder.
pub fn golden_path() -> PathBuf {
    super::support::golden_path("data-folder")
}

/// Copies the golden folder to a temporary folder for one test.
pub fn copy() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a temporary folder");
    std::fs::copy(golden_path().join(FILE_NAME), folder.path().join(FILE_NAME))
        .expect("the golden file is copied");
    folder
}

/// Copies the golden folder and gives its node these addresses, since ports differ between runs.
pub fn copy_with_addresses(peer: &str, operators: &str) -> tempfile::TempDir {
    let folder = copy();
    Store::open(folder.path())
        .expect("the store opens")
        .write(&[witness(peer, operators)])
        .expect("the record is written");
    folder
}

/// The scheduler's settings.
pub const SCHEDULER_CONFIG: SchedulerConfig = SchedulerConfig {
    max_lease_ms: 6_000,
    gang_assembly_timeout_ms: 3_000,
    stop_timeout_ms: 400,
    checkpoint_restore_ms: 600,
    closed_job_retention_ms: 120_000,
    remote_data_slowdown: 1.0,
    max_concurrent_calls: 1_000,
};

/// Returns the time at this reading of a monotonic clock that is 0 when the first job is accepted.
pub fn now(monotonic_ms: u64) -> Now {
    Now { monotonic_ms, unix_ms: ACCEPTED_AT_MS + monotonic_ms }
}

/// Returns all records written to the folder, in order.
pub fn records() -> Vec<Record> {
    let mut records = vec![
        Record::Identity { id: IDENTITY, bootstrap_voter: true },
        witness("127.0.6.1:7000", "127.0.6.1:7002"),
    ];
    let batches = configuration_batches().into_iter().chain(job_batches());
    records.extend((1..).zip(batches).map(|(sequence, changes)| Record::Batch {
        position: Position { term: Term(39), sequence },
        changes,
    }));
    records
}

/// Returns the witness record of a single-member view whose member has these addresses.
pub fn witness(peer: &str, operators: &str) -> Record {
    let accepted = AcceptedView { ballot: ballot(), view: view(peer, operators) };
    Record::Witness(WitnessRecord { promised: ballot(), accepted: Some(accepted) })
}

fn ballot() -> Ballot {
    Ballot { round: 17, candidate: IDENTITY }
}

fn view(peer: &str, operators: &str) -> View {
    let member = Member {
        id: IDENTITY,
        node_name: "core-1".into(),
        peer_address: peer.into(),
        operator_address: operators.into(),
    };
    View {
        epoch: Epoch(41),
        term: Term(39),
        primary: IDENTITY,
        in_sync: vec![IDENTITY],
        members: vec![member.clone()],
        previous_members: vec![member],
    }
}

fn configuration_batches() -> Vec<Vec<Change>> {
    let mut keyspace = Keyspace::default();
    let mut configuration = ConfigurationState::default();
    let mut batches = Vec::new();
    for (base, text) in [(0, CONFIGURATION_41), (41, CONFIGURATION_42)] {
        let ReplaceOutcome::Accepted(changes) = configuration.replace(&keyspace, base, text) else {
            panic!("the configuration must be accepted")
        };
        changes.iter().for_each(|change| keyspace.apply(change));
        batches.push(changes);
    }
    batches
}

/// A scheduler with one simulated worker that responds at once.
struct SchedulerRun {
    scheduler: Scheduler,
    monotonic_ms: u64,
    /// The batches of changes that the scheduler has committed.
    batches: Vec<Vec<Change>>,
    /// The worker's running tasks.
    running: Vec<RunningTask>,
    /// The worker's finished tasks whose end the scheduler has not acknowledged.
    finished: Vec<FinishedTask>,
}

/// Runs a scheduler until each job is in the state that its constant describes, and returns the
/// batches that it commits.
fn job_batches() -> Vec<Vec<Change>> {
    let mut run = SchedulerRun::new();
    run.submit(SUCCEEDED, SHORT_SPEC);
    run.submit(FAILED, SHORT_SPEC);
    run.advance(10_000);
    run.submit(CANCELLED, SHORT_SPEC);
    assert_eq!(run.scheduler.cancel(now(run.monotonic_ms), CANCELLED), Cancellation::Closed);
    run.advance(1_000);
    run.submit(RUNNING, LONG_RUNNING_SPEC);
    run.advance(1_000);
    run.submit(QUEUED, LONG_RUNNING_SPEC);
    run.submit(SCHEDULED, ALL_FIELDS_SPEC);
    run.advance(1_000);
    run.batches
}

impl SchedulerRun {
    fn new() -> Self {
        let mut scheduler = Scheduler::new(SCHEDULER_CONFIG, 39, 1, now(0));
        let worker = ListedWorker {
            id: WORKER.into(),
            service: "batch".into(),
            address: "127.0.6.9:9000".into(),
            zone: "zone-a".into(),
            state: ListedWorkerState::Ready,
            cpu_millicores: 1_000,
            memory_mb: 1_024,
            gpus: 0,
            labels: vec!["rack-1".into()],
        };
        scheduler.update_workers(now(0), &[worker]);
        // The golden folder is older than the records of worker classes, which have an example of
        // their own in the scheduler's golden test.
        let changes = scheduler.take_changes();
        assert_eq!(changes.len(), 1, "expected one record, of the worker's class: {changes:?}");
        SchedulerRun {
            scheduler,
            monotonic_ms: 0,
            batches: Vec::new(),
            running: Vec::new(),
            finished: Vec::new(),
        }
    }

    fn submit(&mut self, id: JobId, spec: &str) {
        let queue = QueueId { host: "jobs.example".into(), path_prefix: "/v1/nightly/".into() };
        let policy = QueuePolicy { queue, service: "batch".into(), priority: 2, max_attempts: 2 };
        let spec = JobSpec::from_json(spec.as_bytes()).expect("a valid job spec");
        assert_eq!(self.scheduler.submit(now(self.monotonic_ms), id, policy, spec), Admission::Accepted);
    }

    /// Advances the time by `ms` milliseconds in steps of 50 ms.
    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.monotonic_ms += 50;
            self.scheduler.tick(now(self.monotonic_ms));
            self.commit();
            for call in self.scheduler.take_calls() {
                let response = self.respond(&call.request);
                self.scheduler.handle_response(
                    now(self.monotonic_ms),
                    &call.worker_id,
                    &call.request,
                    response,
                );
            }
        }
    }

    /// Records the scheduler's changes as a batch, which is committed at once.
    fn commit(&mut self) {
        let changes: Vec<Change> = self
            .scheduler
            .take_changes()
            .into_iter()
            .map(|RecordChange { key, value }| Change { key, value })
            .collect();
        if !changes.is_empty() {
            self.batches.push(changes);
        }
        let sequence = self.batches.len() as u64;
        self.scheduler.assign_batch(sequence);
        self.scheduler.handle_committed(now(self.monotonic_ms), sequence);
    }

    /// Returns the worker's response to a request.
    fn respond(&mut self, request: &WorkerRequest) -> WorkerResponse {
        let clock_ms = 500_000 + self.monotonic_ms;
        match request {
            WorkerRequest::Start { task, run, .. } => self.start_task(*task, *run),
            WorkerRequest::Stop { task, .. } => self.running.retain(|running| running.task != *task),
            WorkerRequest::RenewLease { acknowledged_end, .. } => {
                self.finished.retain(|finished| finished.number > *acknowledged_end);
                let (running, finished) = (self.running.clone(), self.finished.clone());
                return WorkerResponse::Report(WorkerReport {
                    clock_ms,
                    running,
                    finished,
                    lists_all_ends: true,
                    drain_remaining_ms: None,
                });
            }
        }
        WorkerResponse::Acknowledged { clock_ms }
    }

    /// Starts a task on the worker. Tasks of [`SUCCEEDED`] and [`FAILED`] end at once; others keep
    /// running.
    fn start_task(&mut self, task: TaskId, run: u32) {
        let outcome = match task.job {
            SUCCEEDED => "done",
            FAILED => "failed",
            _ => {
                self.running.push(RunningTask {
                    task,
                    run,
                    checkpoint: Default::default(),
                    progress_percent: 12.5,
                });
                return;
            }
        };
        let number = self.monotonic_ms;
        let checkpoint = format!("checkpoint-{run}").into();
        self.finished.push(FinishedTask { number, task, run, outcome: outcome.into(), checkpoint });
    }
}
