//! One scheduler whose calls are answered by hand, in whatever order a test wants.
#![allow(dead_code, reason = "each test file uses a part of it")]
use spanlead_job_scheduler::*;

pub const BOUNDS: SchedulerConfig = SchedulerConfig {
    max_lease_ms: 6_000,
    gang_assembly_timeout_ms: 3_000,
    stop_timeout_ms: 400,
    checkpoint_restore_ms: 600,
    closed_job_retention_ms: 120_000,
    remote_data_slowdown: 3.0,
    max_concurrent_calls: 10_000,
};

pub struct Desk {
    /// The last hold that went out to each worker.
    pub holds: std::collections::BTreeMap<String, WorkerCall>,
    pub scheduler: Scheduler,
    pub now: u64,
    pub sequence: u64,
    pub records: std::collections::BTreeMap<Vec<u8>, Vec<u8>>,
    /// Ends that `end_all` has told.
    numbers: u64,
}

impl Desk {
    pub fn new(workers: usize) -> Self {
        let mut desk = Desk::unanswered(workers, BOUNDS);
        for call in desk.pass(20) {
            desk.report(&call, &[], &[]);
        }
        desk
    }

    /// No worker has answered a hold yet.
    pub fn unanswered(workers: usize, bounds: SchedulerConfig) -> Self {
        let at = Now { monotonic_ms: 1_000_000, unix_ms: 1_000_000 };
        let scheduler = Scheduler::new(bounds, 4, 1, at);
        let (holds, records) = Default::default();
        let mut desk = Desk { holds, scheduler, now: at.monotonic_ms, sequence: 0, records, numbers: 0 };
        let listed = |i: usize| ListedWorker {
            id: format!("i-{i}").as_str().into(),
            service: "s".into(),
            address: format!("w-{i}").as_str().into(),
            zone: "z".into(),
            state: ListedWorkerState::Ready,
            cpu_millicores: 1_000,
            memory_mb: 1_000,
            gpus: 0,
            labels: vec!["a".into(), "r1".into()],
        };
        let list: Vec<ListedWorker> = (0..workers).map(listed).collect();
        desk.scheduler.update_workers(at, &list);
        desk
    }

    pub fn at(&self) -> Now {
        Now { monotonic_ms: self.now, unix_ms: self.now }
    }

    /// Lets time pass, writes what came of it at once, and tells the calls that go out.
    pub fn pass(&mut self, ms: u64) -> Vec<WorkerCall> {
        self.now += ms;
        self.scheduler.tick(self.at());
        self.write(true)
    }

    pub fn write(&mut self, lasts: bool) -> Vec<WorkerCall> {
        let write = self.scheduler.take_changes();
        self.sequence += u64::from(!write.is_empty());
        for RecordChange { key, value } in write {
            match value {
                Some(value) => self.records.insert(key, value),
                None => self.records.remove(&key),
            };
        }
        self.scheduler.assign_batch(self.sequence);
        if lasts {
            self.scheduler.handle_committed(self.at(), self.sequence);
        }
        let calls: Vec<WorkerCall> =
            self.scheduler.drain_effects().into_iter().map(|Effect::CallWorker(call)| call).collect();
        let holds = calls
            .iter()
            .filter(|call| matches!(call.request, WorkerRequest::RenewLease { wait_ms: 1.., .. }));
        self.holds.extend(holds.map(|call| (call.worker_id.to_string(), call.clone())));
        calls
    }

    /// A scheduler of the next term, with the records as they are.
    pub fn successor(&self) -> Scheduler {
        let mut next = Scheduler::new(BOUNDS, 5, 2, self.at());
        next.recover(self.at(), self.entries());
        next
    }

    fn entries(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.records.iter().map(|(key, value)| (key.as_slice(), value.as_slice()))
    }

    /// Whether a scheduler of the next term can read all records.
    pub fn recovers_all(&self) -> bool {
        Scheduler::new(BOUNDS, 5, 2, self.at()).recover(self.at(), self.entries()).is_empty()
    }

    /// The worker tells that a run was stopped, so that its room is free.
    pub fn end_all(&mut self, worker: &str, task: TaskId, run: u32) {
        self.numbers += 1;
        let hold = self.hold_out(worker);
        self.report(&hold, &[], &[(self.numbers, task, run, "stopped")]);
        self.write(true);
    }

    /// The hold that a worker has to answer.
    pub fn hold_out(&mut self, worker: &str) -> WorkerCall {
        self.pass(20);
        self.holds.remove(worker).expect("a hold is out")
    }

    pub fn answer(&mut self, call: &WorkerCall, reply: WorkerResponse) {
        self.scheduler.handle_response(self.at(), &call.worker_id, &call.request, reply);
    }

    pub fn report(
        &mut self,
        call: &WorkerCall,
        running: &[(TaskId, u32)],
        finished: &[(u64, TaskId, u32, &str)],
    ) {
        let running = running.iter().map(|(task, run)| RunningTask {
            task: *task,
            run: *run,
            checkpoint: "".into(),
            progress_percent: 1.0,
        });
        let finished = finished.iter().map(|(number, task, run, how)| FinishedTask {
            number: *number,
            task: *task,
            run: *run,
            outcome: (*how).into(),
            checkpoint: "".into(),
        });
        let report = WorkerReport {
            clock_ms: self.now - 900_000,
            running: running.collect(),
            finished: finished.collect(),
            drain_remaining_ms: None,
        };
        self.answer(call, WorkerResponse::Report(report));
    }

    pub fn submit(&mut self, id: u64, body: &str) {
        let spec = JobSpec::from_json(body.as_bytes()).expect("good");
        let policy =
            QueuePolicy { queue: QueueId::default(), service: "s".into(), priority: 1, max_attempts: 3 };
        assert_eq!(self.scheduler.submit(self.at(), JobId(id), policy, spec), Admission::Accepted);
        self.scheduler.place_ready_tasks(self.at());
    }
}

pub fn starts(calls: &[WorkerCall]) -> Vec<&WorkerCall> {
    calls.iter().filter(|call| matches!(call.request, WorkerRequest::Start { .. })).collect()
}

pub fn hold_of<'a>(calls: &'a [WorkerCall], worker: &str) -> Option<&'a WorkerCall> {
    calls
        .iter()
        .find(|call| *call.worker_id == *worker && matches!(call.request, WorkerRequest::RenewLease { .. }))
}

pub const SMALL: &str = r#"{"spec":"x","stages":[{"count":1,"cpu":300,"memMb":10,"estRuntimeMs":500}]}"#;
pub const ONE: &str = r#"{"spec":"x","stages":[{"count":1,"cpu":600,"memMb":10,"estRuntimeMs":500}]}"#;
