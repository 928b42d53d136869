//! A scheduler whose calls a test answers itself, in whatever order it wants.
use super::{CONFIG, Records, apply_changes, policy};
use spanlead_job_scheduler::{
    Admission, FinishedTask, JobId, JobSpec, ListedWorker, ListedWorkerState, Now, RunningTask, Scheduler,
    SchedulerConfig, TaskId, WorkerCall, WorkerReport, WorkerRequest, WorkerResponse,
};
use std::collections::BTreeMap;

/// The monotonic time at which the scheduler starts, milliseconds.
pub const START_MS: u64 = 1_000_000;
/// How far the workers' clocks are behind, milliseconds.
const WORKER_CLOCK_LAG_MS: u64 = 900_000;
const FENCING_TOKEN: u64 = 4;

/// A scheduler with workers `i-0`, `i-1`, ... of 1,000 millicores each.
pub struct ManualScheduler {
    pub scheduler: Scheduler,
    /// The monotonic time, milliseconds.
    pub now_ms: u64,
    /// The number of the last batch.
    pub batch: u64,
    /// What was written, committed or not.
    pub records: Records,
    /// The last renewal to each worker that waits there for an end.
    waiting_renewals: BTreeMap<String, WorkerCall>,
    /// The number of the last end that [`ManualScheduler::report_stopped`] reported.
    end_number: u64,
}

impl ManualScheduler {
    /// All workers have responded once.
    pub fn new(workers: usize) -> Self {
        let mut manual = ManualScheduler::without_responses(workers, CONFIG);
        for call in manual.advance(20) {
            manual.report(&call, &[], &[]);
        }
        manual
    }

    /// The workers are listed, and none has responded yet.
    pub fn without_responses(workers: usize, config: SchedulerConfig) -> Self {
        let start = Now { monotonic_ms: START_MS, unix_ms: START_MS };
        let mut scheduler = Scheduler::new(config, FENCING_TOKEN, 1, start);
        let list: Vec<ListedWorker> = (0..workers).map(listed_worker).collect();
        scheduler.update_workers(start, &list);
        ManualScheduler {
            scheduler,
            now_ms: START_MS,
            batch: 0,
            records: Records::new(),
            waiting_renewals: BTreeMap::new(),
            end_number: 0,
        }
    }

    /// The platform lists so many workers.
    pub fn list_workers(&mut self, workers: usize) {
        let list: Vec<ListedWorker> = (0..workers).map(listed_worker).collect();
        self.scheduler.update_workers(self.now(), &list);
    }

    pub fn now(&self) -> Now {
        Now { monotonic_ms: self.now_ms, unix_ms: self.now_ms }
    }

    pub fn submit(&mut self, job: u64, body: &str) {
        let spec = JobSpec::from_json(body.as_bytes()).expect("a valid job");
        let admission = self.scheduler.submit(self.now(), JobId(job), policy(), spec);
        assert_eq!(admission, Admission::Accepted);
        self.scheduler.place_ready_tasks(self.now());
    }

    /// Lets time pass and ticks, commits what came of it, and returns the calls.
    pub fn advance(&mut self, ms: u64) -> Vec<WorkerCall> {
        self.tick_after(ms);
        self.commit()
    }

    /// Lets time pass and ticks; nothing is written.
    pub fn tick_after(&mut self, ms: u64) {
        self.now_ms += ms;
        self.scheduler.tick(self.now());
    }

    /// Writes and commits the changes, and returns the calls.
    pub fn commit(&mut self) -> Vec<WorkerCall> {
        self.write();
        self.scheduler.handle_committed(self.now(), self.batch);
        self.drain_calls()
    }

    /// Writes the changes without committing them, and returns the calls.
    pub fn write_uncommitted(&mut self) -> Vec<WorkerCall> {
        self.write();
        self.drain_calls()
    }

    fn write(&mut self) {
        let changes = self.scheduler.take_changes();
        self.batch += u64::from(!changes.is_empty());
        apply_changes(&mut self.records, changes);
        self.scheduler.assign_batch(self.batch);
    }

    pub fn drain_calls(&mut self) -> Vec<WorkerCall> {
        let calls = self.scheduler.take_calls();
        let is_waiting =
            |call: &&WorkerCall| matches!(call.request, WorkerRequest::RenewLease { wait_ms: 1.., .. });
        let waiting = calls.iter().filter(is_waiting);
        self.waiting_renewals.extend(waiting.map(|call| (call.worker_id.to_string(), call.clone())));
        calls
    }

    // Responses.

    pub fn respond(&mut self, call: &WorkerCall, response: WorkerResponse) {
        self.scheduler.handle_response(self.now(), &call.worker_id, &call.request, response);
    }

    pub fn acknowledge(&mut self, call: &WorkerCall) {
        let clock_ms = self.worker_clock_ms();
        self.respond(call, WorkerResponse::Acknowledged { clock_ms });
    }

    /// Answers a renewal: runs that go on, and ends with their number, task, run and outcome.
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
        let finished = finished.iter().map(|(number, task, run, outcome)| FinishedTask {
            number: *number,
            task: *task,
            run: *run,
            outcome: (*outcome).into(),
            checkpoint: "".into(),
        });
        let report = WorkerReport {
            clock_ms: self.worker_clock_ms(),
            running: running.collect(),
            finished: finished.collect(),
            drain_remaining_ms: None,
        };
        self.respond(call, WorkerResponse::Report(report));
    }

    /// The worker reports that a run was stopped, so that its capacity is free.
    pub fn report_stopped(&mut self, worker_id: &str, task: TaskId, run: u32) {
        self.end_number += 1;
        let renewal = self.waiting_renewal(worker_id);
        self.report(&renewal, &[], &[(self.end_number, task, run, "stopped")]);
        self.commit();
    }

    /// The renewal that waits at a worker for an end.
    pub fn waiting_renewal(&mut self, worker_id: &str) -> WorkerCall {
        self.advance(20);
        self.waiting_renewals.remove(worker_id).expect("a renewal waits")
    }

    fn worker_clock_ms(&self) -> u64 {
        self.now_ms - WORKER_CLOCK_LAG_MS
    }

    // The next term.

    /// A scheduler of the next term, with the records as they are.
    pub fn successor(&self) -> Scheduler {
        self.recover().0
    }

    /// Whether a scheduler of the next term can read all records.
    pub fn recovers_all_records(&self) -> bool {
        self.recover().1.is_empty()
    }

    fn recover(&self) -> (Scheduler, Vec<Vec<u8>>) {
        let mut scheduler = Scheduler::new(CONFIG, FENCING_TOKEN + 1, 2, self.now());
        let records = self.records.iter().map(|(key, value)| (key.as_slice(), value.as_slice()));
        let unreadable = scheduler.recover(self.now(), records);
        (scheduler, unreadable)
    }
}

fn listed_worker(index: usize) -> ListedWorker {
    ListedWorker {
        id: format!("i-{index}").as_str().into(),
        service: "s".into(),
        address: format!("w-{index}").as_str().into(),
        zone: "z".into(),
        state: ListedWorkerState::Ready,
        cpu_millicores: 1_000,
        memory_mb: 1_000,
        gpus: 0,
        labels: vec!["a".into(), "r1".into()],
    }
}
