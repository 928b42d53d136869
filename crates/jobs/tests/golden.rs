//! The keys and records that are kept of jobs, the names of tasks and the form of a client's job: they must not change.
//!
//! Records are private to the scheduler. It is made to write them and to take them over; [`JobForm`] and its like
//! are the same forms, written down here a second time, so that each field of an example is known.
#[path = "../../replication/tests/golden/support.rs"]
mod support;

use rkyv::{Archive, Deserialize, Serialize};
use spanlead_jobs::{
    Admission, Bounds, Effect, FinishedTask, JobSpec, Listed, ListedState, Now, Order, Outcome, Queue, Reply,
    RunningTask, Scheduler, Stage, State, TaskKey, Terms, WorkerReport, Write, is_readable,
};
use std::fmt::Write as _;
use support::{NamedBytes, bytes_of, compare_bytes, compare_text, read, read_bytes, to_hex};

const RECORDS: &str = "records.txt";
const SPECS: &str = "specs.txt";
const STATUS_MS: u64 = 120_000;
/// How much longer than that the records of an end are kept, milliseconds.
const FORGET_SLACK_MS: u64 = 10_000;
const FULL_JOB: u64 = 0x0123_4567_89ab_cdef;
const PLAIN_JOB: u64 = 0x00ff_0000_0000_0002;
const ACCEPTED_AT: u64 = 1_700_000_000_123;

const BOUNDS: Bounds = Bounds {
    max_hold_ms: 6_000,
    gang_ms: 3_000,
    stop_ms: 400,
    restore_ms: 600,
    status_ms: STATUS_MS,
    far_factor: 3.0,
    max_calls: 1_000,
};

/// The form of an accepted job.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
struct JobForm {
    queue: Queue,
    service: String,
    priority: u8,
    max_attempts: u32,
    accepted_at: u64,
    spec: JobSpec,
}

/// The form of the end of a job.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq)]
struct EndForm {
    outcome: Outcome,
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

fn now(steady: u64) -> Now {
    Now { steady, unix: ACCEPTED_AT + steady }
}

fn full_stage() -> Stage {
    Stage {
        count: 7,
        cpu: 1_500,
        mem_mb: 2_048,
        gpus: 2,
        est_runtime_ms: 90_000,
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
        spec: "a text for the workers".into(),
        stages: vec![Stage { count: 1, long_running: true, ..Stage::default() }, full_stage()],
        repeats: 4,
        start_at_ms: ACCEPTED_AT + 1_000_000,
        interval_ms: 60_000,
        long_running: true,
    }
}

fn full_job() -> JobForm {
    JobForm {
        queue: Queue { host: "jobs.example".into(), prefix: "/v1/nightly/".into() },
        service: "batch".into(),
        priority: 2,
        max_attempts: 5,
        accepted_at: ACCEPTED_AT,
        spec: full_spec(),
    }
}

fn plain_job() -> JobForm {
    let stage = Stage { count: 4, cpu: 100, est_runtime_ms: 500, checkpoints: true, ..Stage::default() };
    JobForm {
        queue: Queue { host: "h".into(), prefix: "/p/".into() },
        service: "batch".into(),
        priority: 1,
        max_attempts: 2,
        accepted_at: ACCEPTED_AT,
        spec: JobSpec { spec: "x".into(), stages: vec![stage], ..JobSpec::default() },
    }
}

fn terms(job: &JobForm) -> Terms {
    Terms {
        queue: job.queue.clone(),
        service: job.service.clone(),
        priority: job.priority,
        max_attempts: job.max_attempts,
    }
}

fn task(index: u32) -> TaskKey {
    TaskKey { job: PLAIN_JOB, occurrence: 0, stage: 0, index }
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

fn submit(scheduler: &mut Scheduler, id: u64, job: &JobForm) {
    assert_eq!(scheduler.submit(now(0), id, terms(job), job.spec.clone()), Admission::Accepted);
}

fn empty() -> Scheduler {
    Scheduler::new(BOUNDS, 9, 1, now(0))
}

fn recovered(entries: &[(Vec<u8>, Vec<u8>)]) -> Scheduler {
    let mut scheduler = empty();
    let unreadable = scheduler.recover(now(0), entries.iter().map(|(k, v)| (k.as_slice(), v.as_slice())));
    assert!(unreadable.is_empty(), "{unreadable:?}");
    scheduler
}

fn golden(name: &str) -> Vec<u8> {
    bytes_of(RECORDS, name)
}

/// The value that a write gives to a key.
fn written(write: &Write, key: &[u8]) -> Vec<u8> {
    let (_, value) = write.iter().find(|(k, _)| k == key).expect("written");
    value.clone().expect("a value")
}

/// All examples of keys and records, as the scheduler writes them where it does.
fn records() -> Vec<NamedBytes> {
    let mut scheduler = empty();
    submit(&mut scheduler, FULL_JOB, &full_job());
    let [(full_key, Some(full_record))] = &scheduler.take_write()[..] else { panic!("one record") };
    let mut scheduler = empty();
    submit(&mut scheduler, PLAIN_JOB, &plain_job());
    let [(plain_key, Some(plain_record))] = &scheduler.take_write()[..] else { panic!("one record") };
    let end = |outcome| encode!(&EndForm { outcome, at: ACCEPTED_AT + 5 });
    vec![
        ("job_key", full_key.clone()),
        ("job", full_record.clone()),
        ("plain_job_key", plain_key.clone()),
        ("plain_job", plain_record.clone()),
        ("task_key", task_key(&TaskKey { job: FULL_JOB, occurrence: 0x0a0b_0c0d, stage: 0x0102, index: 9 })),
        ("plain_task_key_0", task_key(&task(0))),
        ("plain_task_key_1", task_key(&task(1))),
        ("task", encode!(&full_task())),
        ("running_task", encode!(&running_task())),
        ("closed_key", closed_key(PLAIN_JOB)),
        ("closed_succeeded", end(Outcome::Succeeded)),
        ("closed_failed", end(Outcome::Failed)),
        ("closed_cancelled", end(Outcome::Cancelled)),
    ]
}

fn task_key(task: &TaskKey) -> Vec<u8> {
    let mut key = vec![b't'];
    key.extend(task.job.to_be_bytes());
    key.extend(task.occurrence.to_be_bytes());
    key.extend(task.stage.to_be_bytes());
    key.extend(task.index.to_be_bytes());
    key
}

fn closed_key(job: u64) -> Vec<u8> {
    [b"s".as_slice(), &job.to_be_bytes()].concat()
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
        ("closed_succeeded", Outcome::Succeeded),
        ("closed_failed", Outcome::Failed),
        ("closed_cancelled", Outcome::Cancelled),
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
        assert!(is_readable(&golden(key), &golden(record)), "{record}");
        assert!(!is_readable(&golden(key), &golden(record)[1..]), "{record} cut short");
        let longer = [golden(key), vec![0]].concat();
        assert!(!is_readable(&longer, &golden(record)), "{record} under a longer key");
    }
}

/// What a scheduler knows after it took records over, as text.
fn dump(scheduler: &Scheduler, id: u64) -> String {
    let Some(job) = scheduler.inspect(id) else { return format!("{id:016x} unknown\n") };
    let state = match job.state {
        State::Queued => "queued",
        State::Running => "running",
        State::Closed(Outcome::Succeeded) => "succeeded",
        State::Closed(Outcome::Failed) => "failed",
        State::Closed(Outcome::Cancelled) => "cancelled",
    };
    let mut text =
        format!("{id:016x} {state} accepted {} service {} done {}\n", job.accepted_at, job.service, job.done);
    for task in job.open {
        let _ = writeln!(text, "  {} failed {:?} waits {}", task.task, task.failed, task.waits);
        for run in task.runs {
            let (percent, stopping) = (run.percent, run.stopping);
            let _ = writeln!(
                text,
                "    run {} on {} {} stopping {stopping} percent {percent}",
                run.run, run.worker, run.phase
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
    scheduler.take_write();
    assert!(scheduler.cancel(now(5), PLAIN_JOB));
    let write = scheduler.take_write();
    assert_eq!(to_hex(&written(&write, &full.0)), to_hex(&full.1));
    assert_eq!(to_hex(&written(&write, &running.0)), to_hex(&running.1));
    let closed = written(&write, &golden("closed_key"));
    assert_eq!(to_hex(&closed), to_hex(&golden("closed_cancelled")));
}

/// The time of a job's end is read: it is forgotten when its state need not be told any more, not before.
#[test]
fn a_scheduler_forgets_a_golden_end_in_time() {
    let entries =
        [(golden("plain_job_key"), golden("plain_job")), (golden("closed_key"), golden("closed_succeeded"))];
    let mut scheduler = recovered(&entries);
    scheduler.take_write();
    let forgotten_at = 5 + STATUS_MS + FORGET_SLACK_MS;
    scheduler.tick(now(forgotten_at - 1));
    assert!(scheduler.take_write().is_empty());
    scheduler.tick(now(forgotten_at + 250));
    let removed: Vec<_> =
        scheduler.take_write().into_iter().map(|(key, value)| (key, value.is_none())).collect();
    assert_eq!(removed, [(golden("plain_job_key"), true), (golden("closed_key"), true)]);
}

/// A scheduler with one listed worker; what it writes is collected as text.
struct Harness {
    scheduler: Scheduler,
    steady: u64,
    sequence: u64,
    text: String,
}

impl Harness {
    fn new() -> Self {
        let mut scheduler = empty();
        let listed = |id: &str, address: &str| Listed {
            id: id.into(),
            service: "batch".into(),
            address: address.into(),
            zone: "z".into(),
            state: ListedState::Ready,
            cpu: 1_000,
            mem_mb: 1_000,
            gpus: 0,
            labels: vec!["rack-1".into()],
        };
        scheduler.listed(now(0), &[listed("worker-1", "10.1.0.1:80")]);
        Harness { scheduler, steady: 0, sequence: 0, text: String::new() }
    }

    /// Lets time pass; what is written lasts at once. Tells the orders, with what is called whom.
    fn pass(&mut self, ms: u64) -> Vec<(String, Order)> {
        self.steady += ms;
        self.scheduler.tick(now(self.steady));
        let write = self.scheduler.take_write();
        self.sequence += 1;
        for (key, value) in &write {
            let value = value.as_ref().map_or("removed".to_owned(), |value| to_hex(value));
            let _ = writeln!(self.text, "{}\t{value}", to_hex(key));
        }
        self.scheduler.written_as(self.sequence);
        self.scheduler.committed(now(self.steady), self.sequence);
        let effects = self.scheduler.drain().into_iter();
        effects.map(|Effect::Call(call)| (call.worker.to_string(), call.order)).collect()
    }

    fn answer(&mut self, worker: &str, order: &Order, reply: Reply) {
        self.scheduler.answered(now(self.steady), worker, order, reply);
    }
}

/// All records of a job that fails once, saves a checkpoint and is done, and of one that fails too often.
#[test]
fn records_of_a_run_stay() {
    let mut harness = Harness::new();
    let mut succeeding = plain_job();
    succeeding.spec.stages[0].count = 1;
    let failing = JobForm { max_attempts: 1, ..succeeding.clone() };
    submit(&mut harness.scheduler, 1, &succeeding);
    submit(&mut harness.scheduler, 2, &failing);
    let mut starts: Vec<(TaskKey, u32)> = Vec::new();
    let mut ended = 0;
    let mut finished: Vec<FinishedTask> = Vec::new();
    for _ in 0..200 {
        for (worker, order) in harness.pass(50) {
            let clock_ms = 500_000 + harness.steady;
            let reply = match &order {
                Order::Start { task, run, .. } => {
                    starts.push((*task, *run));
                    Reply::Done { clock_ms }
                }
                Order::Stop { .. } => Reply::Done { clock_ms },
                Order::Hold { last_seen, .. } => {
                    finished.retain(|end| end.number > *last_seen);
                    for (task, run) in std::mem::take(&mut starts) {
                        ended += 1;
                        let fails = task.job == 2 || run == 1;
                        finished.push(FinishedTask {
                            number: ended,
                            task,
                            run,
                            how: if fails { "failed" } else { "done" }.into(),
                            saved: format!("checkpoint-{run}").into(),
                        });
                    }
                    let running: Vec<RunningTask> = Vec::new();
                    let finished = finished.clone();
                    Reply::Report(WorkerReport { clock_ms, running, finished, remaining_ms: None })
                }
            };
            harness.answer(&worker, &order, reply);
        }
    }
    assert_eq!(harness.scheduler.state(1), Some(State::Closed(Outcome::Succeeded)));
    assert_eq!(harness.scheduler.state(2), Some(State::Closed(Outcome::Failed)));
    compare_text("run.txt", &harness.text);
}

#[test]
fn tasks_keep_their_names() {
    let task = TaskKey { job: 0x00ab_cdef_0000_0001, occurrence: 12, stage: 3, index: 4_567 };
    assert_eq!(task.to_string(), "00abcdef00000001.12.3.4567");
    assert_eq!(TaskKey::read("00abcdef00000001.12.3.4567"), Some(task));
    for bad in ["00abcdef00000001.12.3", "00abcdef00000001.12.3.4.5", "x.1.2.3", ""] {
        assert_eq!(TaskKey::read(bad), None, "{bad:?}");
    }
}

#[test]
fn a_client_s_job_is_read_in_all_its_fields() {
    assert_eq!(JobSpec::read(read("job.json").as_bytes()).expect("good"), full_spec());
    let one_label = br#"{"stages":[{"count":1,"constraints":"ssd","affinity":""}]}"#;
    let read = JobSpec::read(one_label).expect("good");
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
        bodies.iter().map(|body| format!("{}\n", JobSpec::read(body.as_bytes()).expect_err("faulty")));
    compare_text("spec_faults.txt", &lines.collect::<String>());
}
