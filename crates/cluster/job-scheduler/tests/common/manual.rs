//! A scheduler whose calls the test answers itself, in any order.
use super::{CONFIG, Records, apply_changes, policy};
use spanlead_job_scheduler::{
    Admission, FinishedTask, JobId, JobSpec, ListedWorker, ListedWorkerState, Now, RunningTask, Scheduler,
    SchedulerConfig, TaskId, WorkerCall, WorkerReport, WorkerRequest, WorkerResponse,
};
use std::collections::BTreeMap;

/// The monotonic time at which the scheduler starts, milliseconds.
pub const START_MS: u64 = 1_000_000;
/// The time by which the workers' clocks are behind the scheduler's, milliseconds.
const WORKER_CLOCK_LAG_MS: u64 = 900_000;
const FENCING_TOKEN: u64 = 4;

/// A scheduler with workers `i-0`, `i-1`, ... of 1,000 millicores each.
pub struct ManualScheduler {
    pub scheduler: Scheduler,
    /// The monotonic time, milliseconds.
    pub now_ms: u64,
    /// The number of the last batch that was written.
    pub batch: u64,
    /// All records that were written, committed or not.
    pub records: Records,
    /// By worker, the last renewal whose response the worker delays until a run ends.
    waiting_renewals: BTreeMap<String, WorkerCall>,
    /// The number of the last run end that [`ManualScheduler::report_stopped`] reported.
    end_number: u64,
}

impl ManualScheduler {
    /// Creates a scheduler to which each of its workers has responded once.
    pub fn new(workers: usize) -> Self {
        let mut manual = ManualScheduler::without_responses(workers, CONFIG);
        for call in manual.advance(20) {
            manual.report(&call, &[], &[]);
        }
        manual
    }

    /// Creates a scheduler whose workers are listed and have not responded yet.
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

    /// Updates the platform's worker list to the first `workers` workers.
    pub fn list_workers(&mut self, workers: usize) {
        let list: Vec<ListedWorker> = (0..workers).map(listed_worker).collect();
        self.scheduler.update_workers(self.now(), &list);
    }

    /// Updates the platform's worker list to these entries.
    pub fn update_list(&mut self, list: &[ListedWorker]) {
        self.scheduler.update_workers(self.now(), list);
    }

    /// The current time, which is the same on the monotonic and the wall clock.
    pub fn now(&self) -> Now {
        Now { monotonic_ms: self.now_ms, unix_ms: self.now_ms }
    }

    /// Submits a job with this JSON body, and places its tasks as far as there is capacity.
    pub fn submit(&mut self, job: u64, body: &str) {
        let spec = JobSpec::from_json(body.as_bytes()).expect("the job body is valid");
        let admission = self.scheduler.submit(self.now(), JobId(job), policy(), spec);
        assert_eq!(admission, Admission::Accepted);
        self.scheduler.place_ready_tasks(self.now());
    }

    /// Advances the clock and ticks, commits the changes, and returns the calls.
    pub fn advance(&mut self, ms: u64) -> Vec<WorkerCall> {
        self.tick_after(ms);
        self.commit()
    }

    /// Advances the clock and ticks, without writing the changes.
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

    /// Takes the scheduler's calls, and stores the renewals among them whose responses the workers
    /// delay.
    pub fn drain_calls(&mut self) -> Vec<WorkerCall> {
        let calls = self.scheduler.take_calls();
        let is_waiting =
            |call: &&WorkerCall| matches!(call.request, WorkerRequest::RenewLease { wait_ms: 1.., .. });
        let waiting = calls.iter().filter(is_waiting);
        self.waiting_renewals.extend(waiting.map(|call| (call.worker_id.to_string(), call.clone())));
        calls
    }

    // Responses.

    /// Passes the result of a call to the scheduler.
    pub fn respond(&mut self, call: &WorkerCall, response: WorkerResponse) {
        self.scheduler.handle_response(self.now(), &call.worker_id, &call.request, response);
    }

    /// Responds to a start or stop that it was carried out.
    pub fn acknowledge(&mut self, call: &WorkerCall) {
        let clock_ms = self.worker_clock_ms();
        self.respond(call, WorkerResponse::Acknowledged { clock_ms });
    }

    /// Responds to a renewal or query with the active runs (task, run) and all run ends (number,
    /// task, run, outcome).
    pub fn report(
        &mut self,
        call: &WorkerCall,
        running: &[(TaskId, u32)],
        finished: &[(u64, TaskId, u32, &str)],
    ) {
        let report = self.worker_report(running, finished);
        self.respond(call, WorkerResponse::Report(report));
    }

    /// Responds like [`ManualScheduler::report`], but with only the first of the run ends.
    pub fn report_first_ends(
        &mut self,
        call: &WorkerCall,
        running: &[(TaskId, u32)],
        finished: &[(u64, TaskId, u32, &str)],
    ) {
        let report = WorkerReport { lists_all_ends: false, ..self.worker_report(running, finished) };
        self.respond(call, WorkerResponse::Report(report));
    }

    fn worker_report(
        &self,
        running: &[(TaskId, u32)],
        finished: &[(u64, TaskId, u32, &str)],
    ) -> WorkerReport {
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
        WorkerReport {
            clock_ms: self.worker_clock_ms(),
            running: running.collect(),
            finished: finished.collect(),
            lists_all_ends: true,
            drain_remaining_ms: None,
        }
    }

    /// Reports the end of a stopped run, which frees its capacity, and commits the changes.
    pub fn report_stopped(&mut self, worker_id: &str, task: TaskId, run: u32) {
        self.end_number += 1;
        let renewal = self.take_waiting_renewal(worker_id);
        self.report(&renewal, &[], &[(self.end_number, task, run, "stopped")]);
        self.commit();
    }

    /// Advances by 20 ms, and removes and returns the renewal whose response the worker delays
    /// until a run ends.
    pub fn take_waiting_renewal(&mut self, worker_id: &str) -> WorkerCall {
        self.advance(20);
        self.waiting_renewals.remove(worker_id).expect("the worker delays a renewal")
    }

    fn worker_clock_ms(&self) -> u64 {
        self.now_ms - WORKER_CLOCK_LAG_MS
    }

    // Recovery.

    /// A scheduler of the next term, recovered from all records that were written.
    pub fn successor(&self) -> Scheduler {
        self.recover().0
    }

    /// Replaces the scheduler by one of the next term, recovered from all records that were
    /// written. Its workers, the first `workers`, are listed and have not responded yet.
    pub fn fail_over(&mut self, workers: usize) {
        self.scheduler = self.successor();
        self.batch = 0;
        self.waiting_renewals.clear();
        self.list_workers(workers);
    }

    /// Whether a scheduler of the next term can read all records.
    pub fn recovers_all_records(&self) -> bool {
        self.recover().1.is_empty()
    }

    /// A scheduler of the next term, and the keys of the records that it could not read.
    fn recover(&self) -> (Scheduler, Vec<Vec<u8>>) {
        let mut scheduler = Scheduler::new(CONFIG, FENCING_TOKEN + 1, 2, self.now());
        let records = self.records.iter().map(|(key, value)| (key.as_slice(), value.as_slice()));
        let unreadable = scheduler.recover(self.now(), records);
        (scheduler, unreadable)
    }
}

/// The list entry of the worker with this index.
pub fn listed_worker(index: usize) -> ListedWorker {
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
