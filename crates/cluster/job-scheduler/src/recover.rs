//! Going on from the records of an earlier scheduler.
use crate::clock::WorkerClock;
use crate::config::Now;
use crate::ids::{JobId, TaskId};
use crate::job::{Job, Phase, Run};
use crate::record::{ClosedRecord, JobRecord, Key, TaskRecord};
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Whether a record of the key space is one that this version reads.
#[must_use]
pub fn is_readable_record(key: &[u8], value: &[u8]) -> bool {
    match Key::decode(key) {
        Some(Key::Job(_)) => JobRecord::decode(value).is_some(),
        Some(Key::Closed(_)) => ClosedRecord::decode(value).is_some(),
        Some(Key::Task(_)) => TaskRecord::decode(value).is_some(),
        None => false,
    }
}

impl Scheduler {
    /// Takes over all records, and tells the keys of those that it can't read: with one of them it must not be used. What
    /// was running counts as running until the workers are heard.
    pub fn recover<'a>(
        &mut self,
        now: Now,
        entries: impl Iterator<Item = (&'a [u8], &'a [u8])>,
    ) -> Vec<Vec<u8>> {
        let mut closed = Vec::new();
        let mut tasks = Vec::new();
        let mut unreadable = Vec::new();
        for (key, value) in entries {
            match Key::decode(key) {
                Some(Key::Job(id)) => match JobRecord::decode(value) {
                    Some(record) => drop(self.jobs.insert(id, Job::new(record))),
                    None => unreadable.push(key.to_vec()),
                },
                Some(Key::Closed(id)) => match ClosedRecord::decode(value) {
                    Some(record) => closed.push((id, record)),
                    None => unreadable.push(key.to_vec()),
                },
                Some(Key::Task(task)) => match TaskRecord::decode(value) {
                    Some(record) => tasks.push((task, record)),
                    None => unreadable.push(key.to_vec()),
                },
                None => unreadable.push(key.to_vec()),
            }
        }
        for (id, record) in closed {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.closed = Some((record.outcome, record.at));
            }
            self.note_closed(record.at, id);
        }
        for (key, record) in tasks {
            self.restore_task(now, key, record);
        }
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in ids {
            self.resume(now, id);
        }
        unreadable
    }

    fn restore_task(&mut self, now: Now, key: TaskId, record: TaskRecord) {
        let need = self.need(key);
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        job.touched = true;
        job.begun |= record.done || !record.failed.is_empty() || !record.saved.is_empty();
        let Some(step) = job.occurrence(key.occurrence).stages.get_mut(usize::from(key.stage)) else {
            return;
        };
        let Some(task) = step.tasks.get_mut(key.index as usize) else { return };
        task.last_run = record.run;
        task.failed = record.failed;
        task.saved = record.saved.into();
        if record.done {
            task.done = true;
            step.remaining -= 1;
        }
        for (run, worker) in record.active {
            let worker = self.placeholder(now, &worker);
            let Some(task) = self.task_mut(key) else { return };
            task.active.push(Run::new(run, worker, Phase::Unknown, now.monotonic_ms));
            let worker = &mut self.workers[worker as usize];
            worker.used = worker.used.plus(need);
            worker.runs.insert((key, run));
        }
    }

    /// A worker that only the records name, until the list is read.
    fn placeholder(&mut self, now: Now, id: &str) -> u32 {
        if let Some(at) = self.index.get(id) {
            return *at;
        }
        let clock = WorkerClock::unknown(now.monotonic_ms, self.bounds.max_lease_ms);
        self.add_worker(Worker::new(id, clock, now.monotonic_ms))
    }

    fn resume(&mut self, now: Now, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.closed.is_some() {
            self.stop_all(now.monotonic_ms, id);
            return;
        }
        let begun = job.occurrences.keys().next_back().map_or(0, |last| last + 1);
        job.next_occurrence = begun;
        for number in 0..begun {
            job.occurrence(number);
        }
        let finished = job.occurrences.values().filter(|o| o.done()).count() as u32;
        self.count_live(id);
        for number in 0..begun {
            self.open_stages(now, id, number);
        }
        self.begin_due(now, id);
        let times = self.jobs.get(&id).map_or(0, |job| job.record.spec.occurrence_count());
        if finished >= times {
            self.close(now, id, crate::job::JobOutcome::Succeeded);
        }
    }
}
