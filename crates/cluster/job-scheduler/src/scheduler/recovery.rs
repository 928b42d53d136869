//! Recovery from the records of an earlier term.
use super::Scheduler;
use crate::config::Now;
use crate::ids::{JobId, RunId, TaskId, WorkerIndex};
use crate::jobs::{Run, RunPhase};
use crate::record::{ClosedRecord, JobOutcome, StoredRecord, TaskRecord};
use crate::workers::{Worker, WorkerClock};

impl Scheduler {
    /// Restores the state from all stored records, given as keys with values. Recorded runs count
    /// as running until their worker reports otherwise or their lease has expired.
    ///
    /// Returns the keys of the records that this version can't read. The scheduler must not be used
    /// unless there are none.
    pub fn recover<'a>(
        &mut self,
        now: Now,
        records: impl Iterator<Item = (&'a [u8], &'a [u8])>,
    ) -> Vec<Vec<u8>> {
        let mut unreadable = Vec::new();
        let mut closed_jobs = Vec::new();
        let mut tasks = Vec::new();
        for (key, value) in records {
            match StoredRecord::decode(key, value) {
                Some(StoredRecord::Job(job, record)) => self.jobs.restore(job, record),
                Some(StoredRecord::Closed(job, record)) => closed_jobs.push((job, record)),
                Some(StoredRecord::Task(task, record)) => tasks.push((task, record)),
                Some(StoredRecord::WorkerClass(class, record)) => self.worker_classes.restore(class, record),
                None => unreadable.push(key.to_vec()),
            }
        }
        self.restore_closed_jobs(now, closed_jobs);
        for (task, record) in tasks {
            self.restore_task(now, task, &record);
        }
        for job in self.jobs.ids() {
            self.resume_job(now, job);
        }
        unreadable
    }

    /// Restores the ends of jobs. One without a job is the identifier of a cancelled job; its time
    /// to be remembered begins again, since the clocks of two machines can't be compared.
    fn restore_closed_jobs(&mut self, now: Now, mut records: Vec<(JobId, ClosedRecord)>) {
        records.sort_unstable_by_key(|(_, record)| record.closed_at_ms);
        for (job, record) in records {
            if !self.jobs.restore_closed(job, record) {
                self.cancelled_jobs.add(now.monotonic_ms, job, record);
            }
        }
    }

    /// Restores a task and its active runs.
    fn restore_task(&mut self, now: Now, task: TaskId, record: &TaskRecord) {
        let demand = self.jobs.demand(task);
        if !self.jobs.restore_task(task, record) {
            return;
        }
        for (run, worker_id) in &record.active_runs {
            let worker = self.find_or_add_placeholder(now, worker_id);
            self.jobs.add_run(task, Run::new(*run, worker, RunPhase::Unknown, now.monotonic_ms));
            self.workers[worker].allocation.reserve(RunId { task, run: *run }, demand);
        }
    }

    /// The index of a worker that a record names. Adds a placeholder if the platform's list has not
    /// named the worker yet.
    fn find_or_add_placeholder(&mut self, now: Now, id: &str) -> WorkerIndex {
        if let Some(index) = self.workers.find(id) {
            return index;
        }
        let clock = WorkerClock::unknown(now.monotonic_ms, self.config.max_lease_ms);
        self.add_worker(Worker::new(id, clock, now.monotonic_ms))
    }

    /// Continues an open job: queues its tasks without a run, begins its due occurrences, and
    /// closes the job if all its tasks are done. Stops the remaining runs of a closed job.
    fn resume_job(&mut self, now: Now, id: JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if !job.is_open() {
            return self.stop_job(now.monotonic_ms, id);
        }
        let begun = job.restore_occurrences();
        let is_done = job.is_done();
        self.jobs.count_open(id);
        for occurrence in 0..begun {
            self.open_ready_stages(now, id, occurrence);
        }
        self.begin_due_occurrences_of(now, id);
        if is_done {
            self.close_job(now, id, JobOutcome::Succeeded);
        }
    }
}
