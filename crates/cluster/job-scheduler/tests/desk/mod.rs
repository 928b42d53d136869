//! One scheduler whose calls are answered by hand, in whatever order a test wants.
#![allow(dead_code, reason = "each test file uses a part of it")]
use spanlead_job_scheduler::*;

pub const BOUNDS: Bounds = Bounds {
    max_hold_ms: 6_000,
    gang_ms: 3_000,
    stop_ms: 400,
    restore_ms: 600,
    status_ms: 120_000,
    far_factor: 3.0,
    max_calls: 10_000,
};

pub struct Desk {
    /// The last hold that went out to each worker.
    pub holds: std::collections::BTreeMap<String, Call>,
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
    pub fn unanswered(workers: usize, bounds: Bounds) -> Self {
        let at = Now { steady: 1_000_000, unix: 1_000_000 };
        let scheduler = Scheduler::new(bounds, 4, 1, at);
        let (holds, records) = Default::default();
        let mut desk = Desk { holds, scheduler, now: at.steady, sequence: 0, records, numbers: 0 };
        let listed = |i: usize| Listed {
            id: format!("i-{i}").as_str().into(),
            service: "s".into(),
            address: format!("w-{i}").as_str().into(),
            zone: "z".into(),
            state: ListedState::Ready,
            cpu: 1_000,
            mem_mb: 1_000,
            gpus: 0,
            labels: vec!["a".into(), "r1".into()],
        };
        let list: Vec<Listed> = (0..workers).map(listed).collect();
        desk.scheduler.listed(at, &list);
        desk
    }

    pub fn at(&self) -> Now {
        Now { steady: self.now, unix: self.now }
    }

    /// Lets time pass, writes what came of it at once, and tells the calls that go out.
    pub fn pass(&mut self, ms: u64) -> Vec<Call> {
        self.now += ms;
        self.scheduler.tick(self.at());
        self.write(true)
    }

    pub fn write(&mut self, lasts: bool) -> Vec<Call> {
        let write = self.scheduler.take_write();
        self.sequence += u64::from(!write.is_empty());
        for (key, value) in write {
            match value {
                Some(value) => self.records.insert(key, value),
                None => self.records.remove(&key),
            };
        }
        self.scheduler.written_as(self.sequence);
        if lasts {
            self.scheduler.committed(self.at(), self.sequence);
        }
        let calls: Vec<Call> = self.scheduler.drain().into_iter().map(|Effect::Call(call)| call).collect();
        let holds = calls.iter().filter(|call| matches!(call.order, Order::Hold { wait_ms: 1.., .. }));
        self.holds.extend(holds.map(|call| (call.worker.to_string(), call.clone())));
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
    pub fn end_all(&mut self, worker: &str, task: TaskKey, run: u32) {
        self.numbers += 1;
        let hold = self.hold_out(worker);
        self.report(&hold, &[], &[(self.numbers, task, run, "stopped")]);
        self.write(true);
    }

    /// The hold that a worker has to answer.
    pub fn hold_out(&mut self, worker: &str) -> Call {
        self.pass(20);
        self.holds.remove(worker).expect("a hold is out")
    }

    pub fn answer(&mut self, call: &Call, reply: Reply) {
        self.scheduler.answered(self.at(), &call.worker, &call.order, reply);
    }

    pub fn report(
        &mut self,
        call: &Call,
        running: &[(TaskKey, u32)],
        finished: &[(u64, TaskKey, u32, &str)],
    ) {
        let running = running.iter().map(|(task, run)| RunningTask {
            task: *task,
            run: *run,
            saved: "".into(),
            percent: 1.0,
        });
        let finished = finished.iter().map(|(number, task, run, how)| FinishedTask {
            number: *number,
            task: *task,
            run: *run,
            how: (*how).into(),
            saved: "".into(),
        });
        let report = WorkerReport {
            clock_ms: self.now - 900_000,
            running: running.collect(),
            finished: finished.collect(),
            remaining_ms: None,
        };
        self.answer(call, Reply::Report(report));
    }

    pub fn submit(&mut self, id: u64, body: &str) {
        let spec = JobSpec::read(body.as_bytes()).expect("good");
        let terms = Terms { queue: Queue::default(), service: "s".into(), priority: 1, max_attempts: 3 };
        assert_eq!(self.scheduler.submit(self.at(), id, terms, spec), Admission::Accepted);
        self.scheduler.place(self.at());
    }
}

pub fn starts(calls: &[Call]) -> Vec<&Call> {
    calls.iter().filter(|call| matches!(call.order, Order::Start { .. })).collect()
}

pub fn hold_of<'a>(calls: &'a [Call], worker: &str) -> Option<&'a Call> {
    calls.iter().find(|call| *call.worker == *worker && matches!(call.order, Order::Hold { .. }))
}

pub const SMALL: &str = r#"{"spec":"x","stages":[{"count":1,"cpu":300,"memMb":10,"estRuntimeMs":500}]}"#;
pub const ONE: &str = r#"{"spec":"x","stages":[{"count":1,"cpu":600,"memMb":10,"estRuntimeMs":500}]}"#;
