//! The ledger's bounds: jobs that it may hold, and its size on disk, whatever lives long in it.
use spanlead_balancing_policy::{
    EndpointUpdate, Idempotency, Nanos, RequestClass, RequestId, Settings, WorkerState,
};
use spanlead_deployment_settings::Names;
use spanlead_durable_jobs::{ClockAnchor, JobTable, JobTableLimits, decode, encode};
use spanlead_engine::{
    Answer, DurableRequest, DurableSetup, Effect, Engine, Input, Job, JobUpdate, WorkerEndpoint, WorkerNotice,
};
use spanlead_wal::simulated::SimulatedDirectory;
use spanlead_wal::{LogOptions, RecordRejected, WriteAheadLog};
use std::net::SocketAddr;
use std::sync::Arc;

const SEC: Nanos = 1_000_000_000;
const SEGMENT: u64 = 16 << 10;

struct World {
    engine: Engine,
    log: WriteAheadLog,
    now: Nanos,
    asks: u64,
    most: u64,
}

impl World {
    fn new(folder: &SimulatedDirectory, jobs: usize, disk: u64, now: Nanos) -> Self {
        let class = RequestClass { idempotency: Idempotency::AtMostOnce, ..RequestClass::new(SEC, 15 * SEC) };
        let settings = Settings { classes: vec![class], ..Settings::default() };
        let names = Names { classes: vec!["once".into()], zones: vec!["kista".into()], ..Names::default() };
        let addr: SocketAddr = ([127, 0, 0, 1], 9).into();
        let engine = Engine::new(settings, Arc::new(names), 1, 1000, addr, true).expect("good settings");
        let mut ledger = JobTable::new(JobTableLimits { retention: 60 * SEC, max_jobs: jobs });
        let options = LogOptions { max_segment_bytes: SEGMENT, sync_on_commit: true };
        let (log, _) = WriteAheadLog::open(Box::new(folder.clone()), options, |lsn, bytes| {
            let record = decode(bytes).map_err(RecordRejected::new)?;
            ledger.replay(lsn, &record).map_err(RecordRejected::new)
        })
        .expect("good");
        ledger.skip_to(log.next_lsn());
        let mut world = World { engine, log, now, asks: 0, most: 0 };
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
        world.step(Input::EndpointList { scope: EndpointUpdate::Snapshot, version: 1, hosts: vec![host] });
        let anchor = ClockAnchor { boot_id: "b".into(), uptime: now, process_clock: now };
        let (lease, clock_bound, segment) = (10 * SEC, SEC, SEGMENT);
        let durability = DurableSetup {
            job_table: ledger,
            clock_anchor: anchor,
            keep_all_jobs: false,
            lease_duration: lease,
            clock_bound,
            max_disk_bytes: disk,
            segment_bytes: segment,
        };
        world.step(Input::DurableJobsOpened(Box::new(durability)));
        world
    }

    /// Takes an input; the answer that some client is given, if any.
    fn step(&mut self, input: Input) -> Option<Answer> {
        let (mut effects, mut records, mut answer) = (Vec::new(), Vec::new(), None);
        self.engine.step(self.now, input, &mut effects);
        let mut trim = None;
        for effect in effects {
            let effect = match effect {
                Effect::AfterDurable { effect, .. } => *effect,
                other => other,
            };
            match effect {
                Effect::AppendRecord(record) => records.push(encode(&record).expect("it has a form")),
                Effect::TruncateLog { oldest_needed_lsn: oldest } => trim = Some(oldest),
                Effect::Answer { answer: given, .. } => answer = Some(given),
                _ => {}
            }
        }
        let wrote = !records.is_empty();
        self.log.append(&records).expect("a good disk");
        let trimmed = trim.is_some_and(|oldest| self.log.trim(oldest).expect("a good disk"));
        self.most = self.most.max(self.log.size_bytes());
        if wrote || trimmed {
            self.step(Input::RecordsDurable { bytes: self.log.size_bytes() });
        }
        answer
    }

    /// Brings a job; its answer if it has one at once.
    fn ask(&mut self, key: &str, body: usize) -> Option<Answer> {
        self.asks += 1;
        let text = vec![b'x'; body].into();
        let durable_request =
            DurableRequest { key: Some(key.into()), fingerprint: [1; 16], encoded_request: text };
        let job = Job {
            id: format!("r{}", self.asks).into(),
            class: 0,
            tenant: 0,
            slots: 1.0,
            memory: 0.0,
            affinity_key: None,
            deadline: self.now + 15 * SEC,
            durable_request: Some(durable_request),
        };
        self.step(Input::RequestReceived {
            request_id: RequestId(self.asks),
            job,
            previous_attempts: None,
            durable: false,
        })
    }

    /// The worker has done the last job.
    fn done(&mut self) -> Option<Answer> {
        let (job_id, worker, update) =
            (format!("r{}", self.asks), "s-a".to_owned(), JobUpdate::Done("R".into()));
        self.step(Input::WorkerNotice(WorkerNotice {
            notice_id: self.asks,
            job_id,
            worker,
            fencing_token: None,
            update,
            report: None,
        }))
    }
}

// Guards the disk: one job that stays open must not keep every segment behind it, and the log
// forgets what has expired.
#[test]
fn the_log_stays_bounded_while_an_old_job_lives() {
    let folder = SimulatedDirectory::new();
    let mut world = World::new(&folder, 100_000, 1 << 30, 1000 * SEC);
    // It is renewed for ever by whoever asks again; it just never ends.
    world.ask("old", 300);
    let mut early = 0;
    for i in 0..50_000u64 {
        // 100 jobs a second, kept for 60 s: 6,000 of them live at a time.
        world.now += SEC / 100;
        if i % 1000 == 0 {
            world.step(Input::Tick);
            world.ask("old", 300);
        }
        assert_eq!(world.ask(&format!("k{i}"), 300), None);
        assert_eq!(world.done(), Some(Answer::Served("R".into())));
        if i == 29_999 {
            early = world.most;
        }
    }
    assert!(world.most <= early + 4 * SEGMENT, "{} bytes, {early} half way", world.most);
    let live = 6_000 * (512 + 300);
    assert!(world.most < 3 * live, "{} bytes for {live} that live", world.most);
    // And all that must be known is: a kept answer, by another process.
    let now = world.now;
    drop(world);
    let mut next = World::new(&folder, 100_000, 1 << 30, now);
    next.asks = 1_000_000;
    assert_eq!(next.ask("k49999", 300), Some(Answer::Served("R".into())));
    assert_eq!(next.ask("k49000", 300), Some(Answer::Served("R".into())));
    assert_eq!(next.ask("k100", 300), None, "it has expired");
}

// Guards what is known: when the ledger is full, new jobs are refused at once with advice, and
// nothing is forgotten before its time to make room.
#[test]
fn a_full_ledger_refuses_and_forgets_nothing() {
    for (jobs, disk) in [(50, 1 << 30), (100_000, 32 << 10)] {
        let folder = SimulatedDirectory::new();
        let mut world = World::new(&folder, jobs, disk, 1000 * SEC);
        let mut taken = 0;
        let refused = loop {
            match world.ask(&format!("k{taken}"), 300) {
                None => assert_eq!(world.done(), Some(Answer::Served("R".into()))),
                Some(answer) => break answer,
            }
            taken += 1;
            assert!(taken <= 1000, "it has no bound");
        };
        assert!(matches!(refused, Answer::Rejected { retry_after: Some(_) }), "{refused:?}");
        assert!(world.most <= disk + SEGMENT, "{}", world.most);
        for i in 0..taken {
            assert_eq!(world.ask(&format!("k{i}"), 300), Some(Answer::Served("R".into())), "key {i}");
        }
        // When they have expired there is room again, though nothing was written since.
        world.now += 70 * SEC;
        world.step(Input::Tick);
        assert_eq!(world.ask("new", 300), None, "{jobs} {disk}");
    }
}
