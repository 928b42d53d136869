//! The keys and records that are kept of jobs, the names of tasks and the form of a client's job:
//! they must not change.
//!
//! Records are private to the scheduler. It is made to write them and to take them over;
//! [`JobForm`] and its like are the same forms, written down here a second time, so that each field
//! of an example is known.
#[path = "../../replication/tests/golden/support.rs"]
mod support;

use rkyv::{Archive, Deserialize, Serialize};
use spanlead_job_scheduler::{
    Admission, FinishedTask, JobId, JobOutcome, JobSpec, JobState, ListedWorker, ListedWorkerState, Now,
    QueueId, QueuePolicy, RecordChange, RunningTask, Scheduler, SchedulerConfig, Stage, TaskId, WorkerReport,
    WorkerRequest, WorkerResponse, is_readable_record,
};
use std::fmt::Write as _;
use support::{NamedBytes, compare_bytes, compare_text, read_bytes, read_example, read_text, to_hex};

const RECORDS: &str = "records.txt";
const SPECS: &str = "specs.txt";
const RETENTION_MS: u64 = 120_000;
/// How much longer than that the records of an end are kept, milliseconds.
const FORGET_SLACK_MS: u64 = 10_000;
const FULL_JOB: JobId = JobId(0x0123_4567_89ab_cdef);
const PLAIN_JOB: JobId = JobId(0x00ff_0000_0000_0002);
const ACCEPTED_AT: u64 = 1_700_000_000_123;

const CONFIG: SchedulerConfig = SchedulerConfig {
    max_lease_ms: 6_000,
    gang_assembly_timeout_ms: 3_000,
    stop_timeout_ms: 400,
    checkpoint_restore_ms: 600,
    closed_job_retention_ms: RETENTION_MS,
    remote_data_slowdown: 3.0,
    max_concurrent_calls: 1_000,
};

/// The form of an accepted job.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
struct JobForm {
    queue: QueueId,
    service: String,
    priority: u8,
    max_attempts: u32,
    accepted_at: u64,
    spec: JobSpec,
}

/// The form of the end of a job.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq)]
struct EndForm {
    outcome: JobOutcome,
    at: u64,
}

/// The form of a task that was ever started.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
struct TaskForm {
    run: u32,
    failed: Vec<u32>,
    done: bool,
    saved: String,
    active: Vec<(u32, String)>,
}

macro_rules! encode {
    ($value:expr) => {
        rkyv::to_bytes::<rkyv::rancor::Error>($value).expect("encoded").to_vec()
    };
}

macro_rules! decode {
    ($form:ty, $bytes:expr) => {
        rkyv::from_bytes::<$form, rkyv::rancor::Error>($bytes).expect("decoded")
    };
}

fn now(monotonic_ms: u64) -> Now {
    Now { monotonic_ms, unix_ms: ACCEPTED_AT + monotonic_ms }
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
        start_at_ms: ACCEPTED_AT + 1_000_000,
        interval_ms: 60_000,
        long_running: true,
    }
}

fn full_job() -> JobForm {
    JobForm {
        queue: QueueId { host: "jobs.example".into(), path_prefix: "/v1/nightly/".into() },
        service: "batch".into(),
        priority: 2,
        max_attempts: 5,
        accepted_at: ACCEPTED_AT,
        spec: full_spec(),
    }
}

fn plain_job() -> JobForm {
    let stage = Stage {
        count: 4,
        cpu_millicores: 100,
        estimated_runtime_ms: 500,
        checkpoints: true,
        ..Stage::default()
    };
    JobForm {
        queue: QueueId { host: "h".into(), path_prefix: "/p/".into() },
        service: "batch".into(),
        priority: 1,
        max_attempts: 2,
        accepted_at: ACCEPTED_AT,
        spec: JobSpec { payload: "x".into(), stages: vec![stage], ..JobSpec::default() },
    }
}

fn policy(job: &JobForm) -> QueuePolicy {
    QueuePolicy {
        queue: job.queue.clone(),
        service: job.service.clone(),
        priority: job.priority,
        max_attempts: job.max_attempts,
    }
}

fn task(index: u32) -> TaskId {
    TaskId { job: PLAIN_JOB, occurrence: 0, stage: 0, index }
}

fn full_task() -> TaskForm {
    TaskForm {
        run: 7,
        failed: vec![1, 3],
        done: true,
        saved: "a checkpoint longer than twenty-four bytes".into(),
        active: vec![(6, "worker-1".into()), (7, "worker-2".into())],
    }
}

fn running_task() -> TaskForm {
    TaskForm { run: 1, failed: Vec::new(), done: false, saved: String::new(), active: vec![(1, "w".into())] }
}

fn submit(scheduler: &mut Scheduler, id: JobId, job: &JobForm) {
    assert_eq!(scheduler.submit(now(0), id, policy(job), job.spec.clone()), Admission::Accepted);
}

fn empty() -> Scheduler {
    Scheduler::new(CONFIG, 9, 1, now(0))
}

fn recovered(entries: &[(Vec<u8>, Vec<u8>)]) -> Scheduler {
    let mut scheduler = empty();
    let unreadable = scheduler.recover(now(0), entries.iter().map(|(k, v)| (k.as_slice(), v.as_slice())));
    assert!(unreadable.is_empty(), "{unreadable:?}");
    scheduler
}

fn golden(name: &str) -> Vec<u8> {
    read_example(RECORDS, name)
}

/// The value that a write gives to a key.
fn written(changes: &[RecordChange], key: &[u8]) -> Vec<u8> {
    let change = changes.iter().find(|change| change.key == key).expect("written");
    change.value.clone().expect("a value")
}

/// All examples of keys and records, as the scheduler writes them where it does.
fn records() -> Vec<NamedBytes> {
    let mut scheduler = empty();
    submit(&mut scheduler, FULL_JOB, &full_job());
    let [RecordChange { key: full_key, value: Some(full_record) }] = &scheduler.take_changes()[..] else {
        panic!("one record")
    };
    let mut scheduler = empty();
    submit(&mut scheduler, PLAIN_JOB, &plain_job());
    let [RecordChange { key: plain_key, value: Some(plain_record) }] = &scheduler.take_changes()[..] else {
        panic!("one record")
    };
    let end = |outcome| encode!(&EndForm { outcome, at: ACCEPTED_AT + 5 });
    vec![
        ("job_key", full_key.clone()),
        ("job", full_record.clone()),
        ("plain_job_key", plain_key.clone()),
        ("plain_job", plain_record.clone()),
        ("task_key", task_key(&TaskId { job: FULL_JOB, occurrence: 0x0a0b_0c0d, stage: 0x0102, index: 9 })),
        ("plain_task_key_0", task_key(&task(0))),
        ("plain_task_key_1", task_key(&task(1))),
        ("task", encode!(&full_task())),
        ("running_task", encode!(&running_task())),
        ("closed_key", closed_key(PLAIN_JOB)),
        ("closed_succeeded", end(JobOutcome::Succeeded)),
        ("closed_failed", end(JobOutcome::Failed)),
        ("closed_cancelled", end(JobOutcome::Cancelled)),
    ]
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
    assert_eq!(decode!(JobForm, &golden("job")), full_job());
    assert_eq!(decode!(JobForm, &golden("plain_job")), plain_job());
    assert_eq!(decode!(TaskForm, &golden("task")), full_task());
    assert_eq!(decode!(TaskForm, &golden("running_task")), running_task());
    for (name, outcome) in [
        ("closed_succeeded", JobOutcome::Succeeded),
        ("closed_failed", JobOutcome::Failed),
        ("closed_cancelled", JobOutcome::Cancelled),
    ] {
        assert_eq!(decode!(EndForm, &golden(name)), EndForm { outcome, at: ACCEPTED_AT + 5 });
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
    ];
    for (key, record) in pairs {
        assert!(is_readable_record(&golden(key), &golden(record)), "{record}");
        assert!(!is_readable_record(&golden(key), &golden(record)[1..]), "{record} cut short");
        let longer = [golden(key), vec![0]].concat();
        assert!(!is_readable_record(&longer, &golden(record)), "{record} under a longer key");
    }
}

/// What a scheduler knows after it took records over, as text.
fn dump(scheduler: &Scheduler, id: JobId) -> String {
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
fn a_scheduler_goes_on_from_golden_records() {
    let pair = |key: &str, record: &str| (golden(key), golden(record));
    let full = recovered(&[pair("job_key", "job")]);
    let running = recovered(&[
        pair("plain_job_key", "plain_job"),
        pair("plain_task_key_0", "task"),
        pair("plain_task_key_1", "running_task"),
    ]);
    let mut text = dump(&full, FULL_JOB) + &dump(&running, PLAIN_JOB);
    for end in ["closed_succeeded", "closed_failed", "closed_cancelled"] {
        let closed = recovered(&[pair("plain_job_key", "plain_job"), pair("closed_key", end)]);
        text += &dump(&closed, PLAIN_JOB);
    }
    compare_text("recovered.txt", &text);
}

/// A cancelled job's tasks are written again with all that was taken over.
#[test]
fn a_scheduler_writes_golden_records_again() {
    let job = (golden("plain_job_key"), golden("plain_job"));
    let full = (golden("plain_task_key_0"), golden("task"));
    let running = (golden("plain_task_key_1"), golden("running_task"));
    let mut scheduler = recovered(&[job, full.clone(), running.clone()]);
    scheduler.take_changes();
    assert!(scheduler.cancel(now(5), PLAIN_JOB));
    let changes = scheduler.take_changes();
    assert_eq!(to_hex(&written(&changes, &full.0)), to_hex(&full.1));
    assert_eq!(to_hex(&written(&changes, &running.0)), to_hex(&running.1));
    let closed = written(&changes, &golden("closed_key"));
    assert_eq!(to_hex(&closed), to_hex(&golden("closed_cancelled")));
}

/// The time of a job's end is read: it is forgotten when its state need not be told any more, not
/// before.
#[test]
fn a_scheduler_forgets_a_golden_end_in_time() {
    let entries =
        [(golden("plain_job_key"), golden("plain_job")), (golden("closed_key"), golden("closed_succeeded"))];
    let mut scheduler = recovered(&entries);
    scheduler.take_changes();
    let forgotten_at = 5 + RETENTION_MS + FORGET_SLACK_MS;
    scheduler.tick(now(forgotten_at - 1));
    assert!(scheduler.take_changes().is_empty());
    scheduler.tick(now(forgotten_at + 250));
    let removed: Vec<_> =
        scheduler.take_changes().into_iter().map(|change| (change.key, change.value.is_none())).collect();
    assert_eq!(removed, [(golden("plain_job_key"), true), (golden("closed_key"), true)]);
}

/// A scheduler with one listed worker; what it writes is collected as text.
struct Harness {
    scheduler: Scheduler,
    monotonic_ms: u64,
    sequence: u64,
    text: String,
}

impl Harness {
    fn new() -> Self {
        let mut scheduler = empty();
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
        Harness { scheduler, monotonic_ms: 0, sequence: 0, text: String::new() }
    }

    /// Lets time pass; what is written lasts at once. Tells the orders, with what is called whom.
    fn pass(&mut self, ms: u64) -> Vec<(String, WorkerRequest)> {
        self.monotonic_ms += ms;
        self.scheduler.tick(now(self.monotonic_ms));
        let changes = self.scheduler.take_changes();
        self.sequence += 1;
        for RecordChange { key, value } in &changes {
            let value = value.as_ref().map_or("removed".to_owned(), |value| to_hex(value));
            let _ = writeln!(self.text, "{}\t{value}", to_hex(key));
        }
        self.scheduler.assign_batch(self.sequence);
        self.scheduler.handle_committed(now(self.monotonic_ms), self.sequence);
        let calls = self.scheduler.take_calls().into_iter();
        calls.map(|call| (call.worker_id.to_string(), call.request)).collect()
    }

    fn answer(&mut self, worker: &str, request: &WorkerRequest, response: WorkerResponse) {
        self.scheduler.handle_response(now(self.monotonic_ms), worker, request, response);
    }
}

/// All records of a job that fails once, saves a checkpoint and is done, and of one that fails too
/// often.
#[test]
fn records_of_a_run_stay() {
    let mut harness = Harness::new();
    let mut succeeding = plain_job();
    succeeding.spec.stages[0].count = 1;
    let failing = JobForm { max_attempts: 1, ..succeeding.clone() };
    submit(&mut harness.scheduler, JobId(1), &succeeding);
    submit(&mut harness.scheduler, JobId(2), &failing);
    let mut starts: Vec<(TaskId, u32)> = Vec::new();
    let mut ended = 0;
    let mut finished: Vec<FinishedTask> = Vec::new();
    for _ in 0..200 {
        for (worker, request) in harness.pass(50) {
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
                        drain_remaining_ms: None,
                    })
                }
            };
            harness.answer(&worker, &request, response);
        }
    }
    assert_eq!(harness.scheduler.job_state(JobId(1)), Some(JobState::Closed(JobOutcome::Succeeded)));
    assert_eq!(harness.scheduler.job_state(JobId(2)), Some(JobState::Closed(JobOutcome::Failed)));
    compare_text("run.txt", &harness.text);
}

#[test]
fn tasks_keep_their_names() {
    let task = TaskId { job: JobId(0x00ab_cdef_0000_0001), occurrence: 12, stage: 3, index: 4_567 };
    assert_eq!(task.to_string(), "00abcdef00000001.12.3.4567");
    assert_eq!(TaskId::parse("00abcdef00000001.12.3.4567"), Some(task));
    for bad in ["00abcdef00000001.12.3", "00abcdef00000001.12.3.4.5", "x.1.2.3", ""] {
        assert_eq!(TaskId::parse(bad), None, "{bad:?}");
    }
}

#[test]
fn a_client_s_job_is_read_in_all_its_fields() {
    assert_eq!(JobSpec::from_json(read_text("job.json").as_bytes()).expect("good"), full_spec());
    let one_label = br#"{"stages":[{"count":1,"constraints":"ssd","affinity":""}]}"#;
    let read = JobSpec::from_json(one_label).expect("good");
    assert_eq!(
        (read.stages[0].constraints.as_slice(), &read.stages[0].affinity),
        (&["ssd".to_owned()][..], &None)
    );
}

#[test]
fn a_client_s_job_is_encoded_to_the_golden_bytes() {
    let default = JobSpec { stages: vec![Stage::default()], ..JobSpec::default() };
    compare_bytes(SPECS, &[("full", encode!(&full_spec())), ("default", encode!(&default))]);
    let golden = read_bytes(SPECS);
    assert_eq!(decode!(JobSpec, &golden[0].1), full_spec());
    assert_eq!(decode!(JobSpec, &golden[1].1), default);
}

#[test]
fn clients_are_told_of_faults_in_the_golden_words() {
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
    let lines =
        bodies.iter().map(|body| format!("{}\n", JobSpec::from_json(body.as_bytes()).expect_err("faulty")));
    compare_text("spec_faults.txt", &lines.collect::<String>());
}
