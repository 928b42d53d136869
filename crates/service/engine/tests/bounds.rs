//! The bounds of durable jobs: the number of jobs in the job table and the size of the log on disk,
//! also with long-lived jobs.
use spanlead_balancing_policy::{
    EndpointUpdate, Idempotency, Nanos, RequestClass, RequestId, Settings, WorkerState,
};
use spanlead_deployment_settings::Names;
use spanlead_durable_jobs::{ClockAnchor, JobTable, JobTableLimits, decode, encode};
use spanlead_engine::{
    Answer, DurableRequest, DurableSetup, Effect, Engine, Input, JobRequest, JobUpdate, WorkerEndpoint,
    WorkerNotice,
};
use spanlead_wal::simulated::SimulatedDirectory;
use spanlead_wal::{LogOptions, RecordRejected, WriteAheadLog};
use std::net::SocketAddr;
use std::sync::Arc;

const SEC: Nanos = 1_000_000_000;
const MAX_SEGMENT_BYTES: u64 = 16 << 10;
/// The request body of each job.
const BODY_BYTES: usize = 300;
/// A disk limit that no test reaches.
const AMPLE_DISK_BYTES: u64 = 1 << 30;
/// A limit on jobs that no test reaches.
const AMPLE_JOBS: usize = 100_000;

/// An engine with its log and one worker. Every record is durable as soon as it is appended.
struct Scheduler {
    engine: Engine,
    log: WriteAheadLog,
    now: Nanos,
    /// How many requests were submitted; also the number of the last one.
    submissions: u64,
    /// The largest size of the log so far.
    peak_log_bytes: u64,
}

impl Scheduler {
    fn new(directory: &SimulatedDirectory, max_jobs: usize, max_disk_bytes: u64, now: Nanos) -> Self {
        let class = RequestClass { idempotency: Idempotency::AtMostOnce, ..RequestClass::new(SEC, 15 * SEC) };
        let settings = Settings { classes: vec![class], ..Settings::default() };
        let names = Names { classes: vec!["once".into()], zones: vec!["kista".into()], ..Names::default() };
        let addr: SocketAddr = ([127, 0, 0, 1], 9).into();
        let engine =
            Engine::new(settings, Arc::new(names), 1, 1000, addr, true).expect("the settings are valid");
        let mut job_table = JobTable::new(JobTableLimits { retention: 60 * SEC, max_jobs });
        let options = LogOptions { max_segment_bytes: MAX_SEGMENT_BYTES, sync_on_commit: true };
        let (log, _) = WriteAheadLog::open(Box::new(directory.clone()), options, |lsn, bytes| {
            let record = decode(bytes).map_err(RecordRejected::new)?;
            job_table.replay(lsn, &record).map_err(RecordRejected::new)
        })
        .expect("the log can be opened");
        job_table.skip_to(log.next_lsn());
        let mut scheduler = Scheduler { engine, log, now, submissions: 0, peak_log_bytes: 0 };
        let name: Arc<str> = "s-a".into();
        let state = WorkerState::Ready;
        let host = WorkerEndpoint {
            name,
            addr,
            state,
            started: None,
            kind: Some(0),
            zone: Some(0),
            cell: Some(0),
            weight: None,
        };
        scheduler.step(Input::EndpointList {
            scope: EndpointUpdate::Snapshot,
            version: 1,
            hosts: vec![host],
        });
        let anchor = ClockAnchor { boot_id: "b".into(), uptime: now, process_clock: now };
        let setup = DurableSetup {
            job_table,
            clock_anchor: anchor,
            keep_all_jobs: false,
            lease_duration: 10 * SEC,
            clock_bound: SEC,
            max_disk_bytes,
            segment_bytes: MAX_SEGMENT_BYTES,
        };
        scheduler.step(Input::DurableJobsOpened(Box::new(setup)));
        scheduler
    }

    /// Processes an input and performs its effects. Returns the last answer to a client, if any.
    fn step(&mut self, input: Input) -> Option<Answer> {
        let (mut effects, mut records, mut answer) = (Vec::new(), Vec::new(), None);
        self.engine.step(self.now, input, &mut effects);
        let mut oldest_needed = None;
        for effect in effects {
            let effect = match effect {
                Effect::AfterDurable { effect, .. } => *effect,
                other => other,
            };
            match effect {
                Effect::AppendRecord(record) => {
                    records.push(encode(&record).expect("the record can be encoded"));
                }
                Effect::TruncateLog { oldest_needed_lsn: oldest } => oldest_needed = Some(oldest),
                Effect::Answer { answer: given, .. } => answer = Some(given),
                _ => {}
            }
        }
        let has_appended = !records.is_empty();
        self.log.append(&records).expect("the disk has no faults");
        let has_trimmed =
            oldest_needed.is_some_and(|oldest| self.log.trim(oldest).expect("the disk has no faults"));
        self.peak_log_bytes = self.peak_log_bytes.max(self.log.size_bytes());
        if has_appended || has_trimmed {
            self.step(Input::RecordsDurable { bytes: self.log.size_bytes() });
        }
        answer
    }

    /// Submits a job. Returns its answer if it is given at once.
    fn submit(&mut self, key: &str) -> Option<Answer> {
        self.submissions += 1;
        let encoded_request = vec![b'x'; BODY_BYTES].into();
        let durable_request = DurableRequest { key: Some(key.into()), fingerprint: [1; 16], encoded_request };
        let job = JobRequest {
            id: format!("r{}", self.submissions).into(),
            class: 0,
            tenant: 0,
            slots: 1.0,
            memory: 0.0,
            affinity_key: None,
            deadline: self.now + 15 * SEC,
            durable_request: Some(durable_request),
        };
        self.step(Input::RequestReceived {
            request_id: RequestId(self.submissions),
            job,
            previous_attempts: None,
            durable: false,
        })
    }

    /// Reports the last submitted job as done by the worker. Returns the answer to its client.
    fn complete_last_job(&mut self) -> Option<Answer> {
        self.step(Input::WorkerNotice(WorkerNotice {
            notice_id: self.submissions,
            job_id: format!("r{}", self.submissions),
            worker: "s-a".to_owned(),
            fencing_token: None,
            update: JobUpdate::Done("R".into()),
            report: None,
        }))
    }
}

// Guards the disk: a job that outlives many segments must not keep all of them, and the log drops
// the records of expired jobs.
#[test]
fn the_log_size_stays_bounded_while_a_job_outlives_many_segments() {
    let directory = SimulatedDirectory::new();
    let mut scheduler = Scheduler::new(&directory, AMPLE_JOBS, AMPLE_DISK_BYTES, 1000 * SEC);
    // No worker finishes this job: it fails at its deadline, is retained, and once it has expired
    // the next submission with its key opens it anew.
    scheduler.submit("old");
    let mut peak_after_30_000_jobs = 0;
    for i in 0..50_000u64 {
        // 100 jobs a second, retained for 60 s: 6,000 of them are live at a time.
        scheduler.now += SEC / 100;
        if i % 1000 == 0 {
            scheduler.step(Input::Tick);
            scheduler.submit("old");
        }
        assert_eq!(scheduler.submit(&format!("k{i}")), None);
        assert_eq!(scheduler.complete_last_job(), Some(Answer::Succeeded("R".into())));
        if i == 29_999 {
            peak_after_30_000_jobs = scheduler.peak_log_bytes;
        }
    }
    let peak = scheduler.peak_log_bytes;
    assert!(
        peak <= peak_after_30_000_jobs + 4 * MAX_SEGMENT_BYTES,
        "the log grew from {peak_after_30_000_jobs} bytes after 30,000 jobs to {peak} bytes"
    );
    let live_bytes = 6_000 * (512 + 300);
    assert!(peak < 3 * live_bytes, "the log had {peak} bytes for {live_bytes} live bytes");
    // Another process finds the retained answers in what is left of the log.
    let now = scheduler.now;
    drop(scheduler);
    let mut successor = Scheduler::new(&directory, AMPLE_JOBS, AMPLE_DISK_BYTES, now);
    successor.submissions = 1_000_000;
    assert_eq!(successor.submit("k49999"), Some(Answer::Succeeded("R".into())));
    assert_eq!(successor.submit("k49000"), Some(Answer::Succeeded("R".into())));
    assert_eq!(successor.submit("k100"), None, "the retention of k100 has ended: it is a new job");
}

// Guards retained answers: at the limit on jobs or on disk space, new jobs are rejected at once
// with a retry delay, and no finished job is dropped before its retention ends to make room.
#[test]
fn full_durable_storage_rejects_new_jobs_and_keeps_retained_ones() {
    for (max_jobs, max_disk_bytes) in [(50, AMPLE_DISK_BYTES), (AMPLE_JOBS, 32 << 10)] {
        let directory = SimulatedDirectory::new();
        let mut scheduler = Scheduler::new(&directory, max_jobs, max_disk_bytes, 1000 * SEC);
        let mut accepted = 0;
        let rejection = loop {
            match scheduler.submit(&format!("k{accepted}")) {
                None => assert_eq!(scheduler.complete_last_job(), Some(Answer::Succeeded("R".into()))),
                Some(answer) => break answer,
            }
            accepted += 1;
            assert!(accepted <= 1000, "no limit took effect: {accepted} jobs were accepted");
        };
        assert!(matches!(rejection, Answer::Rejected { retry_after: Some(_) }), "{rejection:?}");
        let peak = scheduler.peak_log_bytes;
        assert!(
            peak <= max_disk_bytes + MAX_SEGMENT_BYTES,
            "the log had {peak} bytes with a limit of {max_disk_bytes}"
        );
        for i in 0..accepted {
            assert_eq!(scheduler.submit(&format!("k{i}")), Some(Answer::Succeeded("R".into())), "key k{i}");
        }
        // After their retention there is room again, though nothing was written meanwhile.
        scheduler.now += 70 * SEC;
        scheduler.step(Input::Tick);
        assert_eq!(scheduler.submit("new"), None, "limits: {max_jobs} jobs, {max_disk_bytes} bytes on disk");
    }
}
