//! Stored and external formats that must not change: the keys and records of jobs, the names of
//! tasks, and the JSON body of a submitted job.
//!
//! The record types are private to the scheduler, so the tests have a scheduler write records and
//! recover from them. [`JobRecord`], [`ClosedRecord`], [`TaskRecord`] and [`WorkerClassRecord`]
//! repeat those types, so that the value of each field of an example is known.
#[path = "../../replication/tests/golden/support.rs"]
mod support;

use rkyv::{Archive, Deserialize, Serialize};
use spanlead_job_scheduler::{
    Admission, Cancellation, FinishedTask, JobId, JobOutcome, JobSpec, JobState, ListedWorker,
    ListedWorkerState, Now, QueueId, QueuePolicy, RecordChange, RunningTask, Scheduler, SchedulerConfig,
    Stage, TaskId, WorkerReport, WorkerRequest, WorkerResponse, is_readable_record,
};
use std::fmt::Write as _;
use support::{NamedBytes, compare_bytes, compare_text, read_bytes, read_example, read_text, to_hex};

const RECORDS: &str = "records.txt";
const SPECS: &str = "specs.txt";
const RETENTION_MS: u64 = 120_000;
/// The margin beyond [`RETENTION_MS`] for which the records of a closed job are kept, milliseconds.
const RETENTION_MARGIN_MS: u64 = 10_000;
/// The first worker class that is listed: a prefix and its number.
const FIRST_WORKER_CLASS_KEY: [u8; 5] = [b'w', 0, 0, 0, 0];
const FULL_JOB: JobId = JobId(0x0123_4567_89ab_cdef);
const PLAIN_JOB: JobId = JobId(0x00ff_0000_0000_0002);
/// The wall-clock time at the monotonic time 0, milliseconds since the Unix epoch.
const ACCEPTED_AT_MS: u64 = 1_700_000_000_123;

const CONFIG: SchedulerConfig = SchedulerConfig {
    max_lease_ms: 6_000,
    gang_assembly_timeout_ms: 3_000,
    stop_timeout_ms: 400,
    checkpoint_restore_ms: 600,
    closed_job_retention_ms: RETENTION_MS,
    remote_data_slowdown: 3.0,
    max_concurrent_calls: 1_000,
};

/// The record of an accepted job.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
struct JobRecord {
    queue: QueueId,
    service: String,
    priority: u8,
    max_attempts: u32,
    accepted_at_ms: u64,
    spec: JobSpec,
}

/// The record of a closed job's end.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq)]
struct ClosedRecord {
    outcome: JobOutcome,
    closed_at_ms: u64,
}

/// The record of a task that was started at least once.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
struct TaskRecord {
    last_run: u32,
    failed_runs: Vec<u32>,
    done: bool,
    checkpoint: String,
    active_runs: Vec<(u32, String)>,
}

/// The record of a worker class.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
struct WorkerClassRecord {
    service: String,
    labels: Vec<String>,
    cpu_millicores: u64,
    memory_mb: u64,
    gpus: u64,
    max_workers: u32,
}

/// Encodes a value with rkyv.
macro_rules! encode {
    ($value:expr) => {
        rkyv::to_bytes::<rkyv::rancor::Error>($value).expect("the value can be encoded").to_vec()
    };
}

/// Decodes a value of a type with rkyv.
macro_rules! decode {
    ($type:ty, $bytes:expr) => {
        rkyv::from_bytes::<$type, rkyv::rancor::Error>($bytes).expect("the bytes are valid")
    };
}

fn now(monotonic_ms: u64) -> Now {
    Now { monotonic_ms, unix_ms: ACCEPTED_AT_MS + monotonic_ms }
}

fn full_stage() -> Stage {
    Stage {
        count: 7,
        cpu_millicores: 1_500,
        memory_mb: 2_048,
        gpus: 2,
        estimated_runtime_ms: 90_000,
        depends_on: vec![0],
        checkpoints: true,
        gang: true,
        rack_local: true,
        constraints: vec!["ssd".into(), "a label longer than eight".into()],
        affinity: Some("rack-9".into()),
        anti_affinity: 3,
        speculative: true,
        long_running: true,
    }
}

fn full_spec() -> JobSpec {
    JobSpec {
        payload: "a text for the workers".into(),
        stages: vec![Stage { count: 1, long_running: true, ..Stage::default() }, full_stage()],
        repeats: 4,
        start_at_ms: ACCEPTED_AT_MS + 1_000_000,
        interval_ms: 60_000,
        long_running: true,
    }
}

fn full_job() -> JobRecord {
    JobRecord {
        queue: QueueId { host: "jobs.example".into(), path_prefix: "/v1/nightly/".into() },
        service: "batch".into(),
        priority: 2,
        max_attempts: 5,
        accepted_at_ms: ACCEPTED_AT_MS,
        spec: full_spec(),
    }
}

fn plain_job() -> JobRecord {
    let stage = Stage {
        count: 4,
        cpu_millicores: 100,
        estimated_runtime_ms: 500,
        checkpoints: true,
        ..Stage::default()
    };
    JobRecord {
        queue: QueueId { host: "h".into(), path_prefix: "/p/".into() },
        service: "batch".into(),
        priority: 1,
        max_attempts: 2,
        accepted_at_ms: ACCEPTED_AT_MS,
        spec: JobSpec { payload: "x".into(), stages: vec![stage], ..JobSpec::default() },
    }
}

fn policy(job: &JobRecord) -> QueuePolicy {
    QueuePolicy {
        queue: job.queue.clone(),
        service: job.service.clone(),
        priority: job.priority,
        max_attempts: job.max_attempts,
    }
}

fn plain_task(index: u32) -> TaskId {
    TaskId { job: PLAIN_JOB, occurrence: 0, stage: 0, index }
}

fn full_task_record() -> TaskRecord {
    TaskRecord {
        last_run: 7,
        failed_runs: vec![1, 3],
        done: true,
        checkpoint: "a checkpoint longer than twenty-four bytes".into(),
        active_runs: vec![(6, "worker-1".into()), (7, "worker-2".into())],
    }
}

fn running_task_record() -> TaskRecord {
    TaskRecord {
        last_run: 1,
        failed_runs: Vec::new(),
        done: false,
        checkpoint: String::new(),
        active_runs: vec![(1, "w".into())],
    }
}

fn submit(scheduler: &mut Scheduler, id: JobId, job: &JobRecord) {
    assert_eq!(scheduler.submit(now(0), id, policy(job), job.spec.clone()), Admission::Accepted);
}

fn empty_scheduler() -> Scheduler {
    Scheduler::new(CONFIG, 9, 1, now(0))
}

fn recovered_scheduler(entries: &[(Vec<u8>, Vec<u8>)]) -> Scheduler {
    let mut scheduler = empty_scheduler();
    let unreadable = scheduler.recover(now(0), entries.iter().map(|(k, v)| (k.as_slice(), v.as_slice())));
    assert!(unreadable.is_empty(), "unreadable keys: {unreadable:?}");
    scheduler
}

/// The golden bytes of a key or record.
fn golden(name: &str) -> Vec<u8> {
    read_example(RECORDS, name)
}

/// The value that `changes` write to a key. Panics if they don't change the key or if they remove
/// it.
fn written_value(changes: &[RecordChange], key: &[u8]) -> Vec<u8> {
    let change = changes.iter().find(|change| change.key == key).expect("the key is changed");
    change.value.clone().expect("the key is not removed")
}

/// All example keys and records. The records of jobs and their keys are written by a scheduler, the
/// rest is encoded here.
fn records() -> Vec<NamedBytes> {
    let mut scheduler = empty_scheduler();
    submit(&mut scheduler, FULL_JOB, &full_job());
    let [RecordChange { key: full_key, value: Some(full_record) }] = &scheduler.take_changes()[..] else {
        panic!("expected the write of one record")
    };
    let mut scheduler = empty_scheduler();
    submit(&mut scheduler, PLAIN_JOB, &plain_job());
    let [RecordChange { key: plain_key, value: Some(plain_record) }] = &scheduler.take_changes()[..] else {
        panic!("expected the write of one record")
    };
    let closed = |outcome| encode!(&ClosedRecord { outcome, closed_at_ms: ACCEPTED_AT_MS + 5 });
    vec![
        ("job_key", full_key.clone()),
        ("job", full_record.clone()),
        ("plain_job_key", plain_key.clone()),
        ("plain_job", plain_record.clone()),
        ("task_key", task_key(&TaskId { job: FULL_JOB, occurrence: 0x0a0b_0c0d, stage: 0x0102, index: 9 })),
        ("plain_task_key_0", task_key(&plain_task(0))),
        ("plain_task_key_1", task_key(&plain_task(1))),
        ("task", encode!(&full_task_record())),
        ("running_task", encode!(&running_task_record())),
        ("closed_key", closed_key(PLAIN_JOB)),
        ("closed_succeeded", closed(JobOutcome::Succeeded)),
        ("closed_failed", closed(JobOutcome::Failed)),
        ("closed_cancelled", closed(JobOutcome::Cancelled)),
        ("worker_class_key", FIRST_WORKER_CLASS_KEY.to_vec()),
        ("worker_class", encode!(&worker_class())),
    ]
}

/// The class of two workers like [`listed_worker`].
fn worker_class() -> WorkerClassRecord {
    WorkerClassRecord {
        service: "batch".into(),
        labels: vec!["rack-1".into(), "a label longer than eight".into()],
        cpu_millicores: 16_000,
        memory_mb: 65_536,
        gpus: 4,
        max_workers: 2,
    }
}

fn listed_worker(id: &str) -> ListedWorker {
    ListedWorker {
        id: id.into(),
        service: "batch".into(),
        address: id.into(),
        zone: "z".into(),
        state: ListedWorkerState::Ready,
        cpu_millicores: 16_000,
        memory_mb: 65_536,
        gpus: 4,
        labels: vec!["rack-1".into(), "a label longer than eight".into()],
    }
}

#[test]
fn record_of_a_listed_worker_class_matches_the_golden_bytes() {
    let mut scheduler = empty_scheduler();
    scheduler.update_workers(now(0), &[listed_worker("worker-1"), listed_worker("worker-2")]);
    let changes = scheduler.take_changes();
    let written = RecordChange { key: golden("worker_class_key"), value: Some(golden("worker_class")) };
    assert_eq!(changes, [written]);
}

fn task_key(task: &TaskId) -> Vec<u8> {
    let mut key = vec![b't'];
    key.extend(task.job.0.to_be_bytes());
    key.extend(task.occurrence.to_be_bytes());
    key.extend(task.stage.to_be_bytes());
    key.extend(task.index.to_be_bytes());
    key
}

fn closed_key(job: JobId) -> Vec<u8> {
    [b"s".as_slice(), &job.0.to_be_bytes()].concat()
}

#[test]
fn keys_and_records_are_encoded_to_the_golden_bytes() {
    compare_bytes(RECORDS, &records());
}

#[test]
fn golden_bytes_are_decoded_to_the_records() {
    assert_eq!(decode!(JobRecord, &golden("job")), full_job());
    assert_eq!(decode!(JobRecord, &golden("plain_job")), plain_job());
    assert_eq!(decode!(TaskRecord, &golden("task")), full_task_record());
    assert_eq!(decode!(TaskRecord, &golden("running_task")), running_task_record());
    assert_eq!(decode!(WorkerClassRecord, &golden("worker_class")), worker_class());
    for (name, outcome) in [
        ("closed_succeeded", JobOutcome::Succeeded),
        ("closed_failed", JobOutcome::Failed),
        ("closed_cancelled", JobOutcome::Cancelled),
    ] {
        assert_eq!(
            decode!(ClosedRecord, &golden(name)),
            ClosedRecord { outcome, closed_at_ms: ACCEPTED_AT_MS + 5 }
        );
    }
}

#[test]
fn golden_records_are_readable_under_their_own_keys_only() {
    let pairs = [
        ("job_key", "job"),
        ("plain_job_key", "plain_job"),
        ("task_key", "task"),
        ("plain_task_key_1", "running_task"),
        ("closed_key", "closed_succeeded"),
        ("closed_key", "closed_failed"),
        ("closed_key", "closed_cancelled"),
        ("worker_class_key", "worker_class"),
    ];
    for (key, record) in pairs {
        assert!(is_readable_record(&golden(key), &golden(record)), "{record} is not readable");
        assert!(!is_readable_record(&golden(key), &golden(record)[1..]), "{record} without its first byte");
        let longer = [golden(key), vec![0]].concat();
        assert!(!is_readable_record(&longer, &golden(record)), "{record} under a longer key");
    }
}

/// The state of a job in a scheduler that recovered from records, as text.
fn job_text(scheduler: &Scheduler, id: JobId) -> String {
    let Some(job) = scheduler.inspect_job(id) else { return format!("{id} unknown\n") };
    let state = match job.state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Closed(JobOutcome::Succeeded) => "succeeded",
        JobState::Closed(JobOutcome::Failed) => "failed",
        JobState::Closed(JobOutcome::Cancelled) => "cancelled",
    };
    let mut text = format!(
        "{id} {state} accepted {} service {} done {}\n",
        job.accepted_at_ms, job.service, job.done_tasks
    );
    for task in job.open_tasks {
        let _ = writeln!(text, "  {} failed {:?} waits {}", task.task, task.failed_runs, task.is_pending);
        for run in task.active_runs {
            let (percent, stopping) = (run.progress_percent, run.is_stopping);
            let _ = writeln!(
                text,
                "    run {} on {} {} stopping {stopping} percent {percent}",
                run.run, run.worker_id, run.phase
            );
        }
    }
    text
}

#[test]
fn jobs_tasks_and_runs_are_recovered_from_the_golden_records() {
    let pair = |key: &str, record: &str| (golden(key), golden(record));
    let full = recovered_scheduler(&[pair("job_key", "job")]);
    let running = recovered_scheduler(&[
        pair("plain_job_key", "plain_job"),
        pair("plain_task_key_0", "task"),
        pair("plain_task_key_1", "running_task"),
    ]);
    let mut text = job_text(&full, FULL_JOB) + &job_text(&running, PLAIN_JOB);
    for end in ["closed_succeeded", "closed_failed", "closed_cancelled"] {
        let closed = recovered_scheduler(&[pair("plain_job_key", "plain_job"), pair("closed_key", end)]);
        text += &job_text(&closed, PLAIN_JOB);
    }
    compare_text("recovered.txt", &text);
}

/// The cancellation of a job writes the records of its tasks again, with all recovered fields.
#[test]
fn recovered_task_records_are_written_again_with_the_golden_bytes() {
    let job = (golden("plain_job_key"), golden("plain_job"));
    let full = (golden("plain_task_key_0"), golden("task"));
    let running = (golden("plain_task_key_1"), golden("running_task"));
    let mut scheduler = recovered_scheduler(&[job, full.clone(), running.clone()]);
    scheduler.take_changes();
    assert_eq!(scheduler.cancel(now(5), PLAIN_JOB), Cancellation::Closed);
    let changes = scheduler.take_changes();
    assert_eq!(to_hex(&written_value(&changes, &full.0)), to_hex(&full.1));
    assert_eq!(to_hex(&written_value(&changes, &running.0)), to_hex(&running.1));
    let closed = written_value(&changes, &golden("closed_key"));
    assert_eq!(to_hex(&closed), to_hex(&golden("closed_cancelled")));
}

/// The recovered closing time counts: the job is removed when its retention and the margin are
/// over, and not before.
#[test]
fn recovered_closed_job_is_removed_when_its_retention_is_over() {
    let entries =
        [(golden("plain_job_key"), golden("plain_job")), (golden("closed_key"), golden("closed_succeeded"))];
    let mut scheduler = recovered_scheduler(&entries);
    scheduler.take_changes();
    let removed_at_ms = 5 + RETENTION_MS + RETENTION_MARGIN_MS;
    scheduler.tick(now(removed_at_ms - 1));
    assert!(scheduler.take_changes().is_empty());
    scheduler.tick(now(removed_at_ms + 250));
    let removed: Vec<_> =
        scheduler.take_changes().into_iter().map(|change| (change.key, change.value.is_none())).collect();
    assert_eq!(removed, [(golden("plain_job_key"), true), (golden("closed_key"), true)]);
}

/// A scheduler with one listed worker, whose record changes are collected as text.
struct Harness {
    scheduler: Scheduler,
    monotonic_ms: u64,
    /// The number of the last batch.
    batch: u64,
    /// One line per record change: the key and the value in hexadecimal digits, or `removed`.
    text: String,
}

impl Harness {
    fn new() -> Self {
        let mut scheduler = empty_scheduler();
        let listed = |id: &str, address: &str| ListedWorker {
            id: id.into(),
            service: "batch".into(),
            address: address.into(),
            zone: "z".into(),
            state: ListedWorkerState::Ready,
            cpu_millicores: 1_000,
            memory_mb: 1_000,
            gpus: 0,
            labels: vec!["rack-1".into()],
        };
        scheduler.update_workers(now(0), &[listed("worker-1", "10.1.0.1:80")]);
        // The golden text holds the records of jobs; that of the worker's class has an example of
        // its own.
        let changes = scheduler.take_changes();
        assert_eq!(changes.len(), 1, "expected one record, of the worker's class: {changes:?}");
        assert_eq!(changes[0].key, FIRST_WORKER_CLASS_KEY);
        Harness { scheduler, monotonic_ms: 0, batch: 0, text: String::new() }
    }

    /// Advances the clock and ticks, and commits the changes at once. Returns the requests, each
    /// with the identifier of the called worker.
    fn advance(&mut self, ms: u64) -> Vec<(String, WorkerRequest)> {
        self.monotonic_ms += ms;
        self.scheduler.tick(now(self.monotonic_ms));
        let changes = self.scheduler.take_changes();
        self.batch += 1;
        for RecordChange { key, value } in &changes {
            let value = value.as_ref().map_or("removed".to_owned(), |value| to_hex(value));
            let _ = writeln!(self.text, "{}\t{value}", to_hex(key));
        }
        self.scheduler.assign_batch(self.batch);
        self.scheduler.handle_committed(now(self.monotonic_ms), self.batch);
        let calls = self.scheduler.take_calls().into_iter();
        calls.map(|call| (call.worker_id.to_string(), call.request)).collect()
    }

    fn respond(&mut self, worker: &str, request: &WorkerRequest, response: WorkerResponse) {
        self.scheduler.handle_response(now(self.monotonic_ms), worker, request, response);
    }
}

/// The records of two jobs: the task of one fails once, saves a checkpoint and succeeds; that of
/// the other uses up its attempts.
#[test]
fn record_changes_of_jobs_from_submission_to_end_match_the_golden_text() {
    let mut harness = Harness::new();
    let mut succeeding = plain_job();
    succeeding.spec.stages[0].count = 1;
    let failing = JobRecord { max_attempts: 1, ..succeeding.clone() };
    submit(&mut harness.scheduler, JobId(1), &succeeding);
    submit(&mut harness.scheduler, JobId(2), &failing);
    let mut starts: Vec<(TaskId, u32)> = Vec::new();
    let mut ended = 0;
    let mut finished: Vec<FinishedTask> = Vec::new();
    for _ in 0..200 {
        for (worker, request) in harness.advance(50) {
            let clock_ms = 500_000 + harness.monotonic_ms;
            let response = match &request {
                WorkerRequest::Start { task, run, .. } => {
                    starts.push((*task, *run));
                    WorkerResponse::Acknowledged { clock_ms }
                }
                WorkerRequest::Stop { .. } => WorkerResponse::Acknowledged { clock_ms },
                WorkerRequest::RenewLease { acknowledged_end, .. } => {
                    finished.retain(|end| end.number > *acknowledged_end);
                    for (task, run) in std::mem::take(&mut starts) {
                        ended += 1;
                        let fails = task.job == JobId(2) || run == 1;
                        finished.push(FinishedTask {
                            number: ended,
                            task,
                            run,
                            outcome: if fails { "failed" } else { "done" }.into(),
                            checkpoint: format!("checkpoint-{run}").into(),
                        });
                    }
                    let running: Vec<RunningTask> = Vec::new();
                    let finished = finished.clone();
                    WorkerResponse::Report(WorkerReport {
                        clock_ms,
                        running,
                        finished,
                        lists_all_ends: true,
                        drain_remaining_ms: None,
                    })
                }
            };
            harness.respond(&worker, &request, response);
        }
    }
    assert_eq!(harness.scheduler.job_state(JobId(1)), Some(JobState::Closed(JobOutcome::Succeeded)));
    assert_eq!(harness.scheduler.job_state(JobId(2)), Some(JobState::Closed(JobOutcome::Failed)));
    compare_text("run.txt", &harness.text);
}

#[test]
fn task_names_keep_their_format() {
    let task = TaskId { job: JobId(0x00ab_cdef_0000_0001), occurrence: 12, stage: 3, index: 4_567 };
    assert_eq!(task.to_string(), "00abcdef00000001.12.3.4567");
    assert_eq!(TaskId::parse("00abcdef00000001.12.3.4567"), Some(task));
    for bad in ["00abcdef00000001.12.3", "00abcdef00000001.12.3.4.5", "x.1.2.3", ""] {
        assert_eq!(TaskId::parse(bad), None, "task name {bad:?}");
    }
}

#[test]
fn all_fields_of_a_job_body_are_parsed() {
    assert_eq!(JobSpec::from_json(read_text("job.json").as_bytes()).expect("the body is valid"), full_spec());
    let one_label = br#"{"stages":[{"count":1,"constraints":"ssd","affinity":""}]}"#;
    let read = JobSpec::from_json(one_label).expect("the body is valid");
    assert_eq!(
        (read.stages[0].constraints.as_slice(), &read.stages[0].affinity),
        (&["ssd".to_owned()][..], &None)
    );
}

#[test]
fn job_specifications_are_encoded_to_the_golden_bytes() {
    let default = JobSpec { stages: vec![Stage::default()], ..JobSpec::default() };
    compare_bytes(SPECS, &[("full", encode!(&full_spec())), ("default", encode!(&default))]);
    let golden = read_bytes(SPECS);
    assert_eq!(decode!(JobSpec, &golden[0].1), full_spec());
    assert_eq!(decode!(JobSpec, &golden[1].1), default);
}

#[test]
fn invalid_job_bodies_are_rejected_with_the_golden_messages() {
    let large = format!(r#"{{"spec":"{}","stages":[{{"count":1}}]}}"#, "x".repeat(4_001));
    let bodies = [
        r#"{"stages":[]}"#,
        r#"{"stages":[{"count":0}]}"#,
        r#"{"stages":[{"count":1},{"count":1,"dependsOn":[1]}]}"#,
        r#"{"stages":[{"count":20001}]}"#,
        r#"{"stages":[{"count":"one"}]}"#,
        "[",
        &large,
    ];
    let lines = bodies
        .iter()
        .map(|body| format!("{}\n", JobSpec::from_json(body.as_bytes()).expect_err("the body is invalid")));
    compare_text("spec_faults.txt", &lines.collect::<String>());
}
