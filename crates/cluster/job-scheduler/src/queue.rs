//! What waits to be placed: times that come due, steps whose turn has come, tasks that start again; and jobs that end.
use crate::config::Now;
use crate::events::Event;
use crate::ids::{JobId, TaskId};
use crate::job::{Job, JobOutcome};
use crate::scheduler::Scheduler;

/// How much longer than asked a job's end is told, milliseconds.
const FORGET_SLACK_MS: u64 = 10_000;

impl Scheduler {
    /// Begins the times of timed jobs that are due.
    pub(crate) fn begin_times(&mut self, now: Now) {
        while let Some((due, id, _)) = self.timed.first().copied() {
            if due > now.unix_ms {
                break;
            }
            self.timed.pop_first();
            self.begin_due(now, id);
        }
    }

    /// Begins all times of a job that are due, and notes when the next is.
    pub(crate) fn begin_due(&mut self, now: Now, id: JobId) {
        while let Some(job) = self.jobs.get_mut(&id) {
            let number = job.next_occurrence;
            if job.closed.is_some() || number >= job.record.spec.occurrence_count() {
                return;
            }
            let due = job.record.spec.due_at_ms(number);
            if due > now.unix_ms {
                self.timed.insert((due, id, number));
                return;
            }
            job.next_occurrence += 1;
            job.occurrence(number);
            self.open_stages(now, id, number);
        }
    }

    /// Makes the steps ready whose turn has come.
    pub(crate) fn open_stages(&mut self, now: Now, id: JobId, occurrence: u32) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let order = job.record.spec.due_at_ms(occurrence).max(job.record.accepted_at);
        let priority = job.record.priority;
        let Some(steps) = job.occurrences.get_mut(&occurrence) else { return };
        let mut units = Vec::new();
        for (number, stage) in job.record.spec.stages.iter().enumerate() {
            let ready =
                |before: &u16| steps.stages.get(usize::from(*before)).is_some_and(|s| s.remaining == 0);
            if steps.stages[number].open || !stage.depends_on.iter().all(ready) {
                continue;
            }
            steps.stages[number].open = true;
            let count = if stage.gang { 1 } else { stage.count };
            let key = |index| TaskId { job: id, occurrence, stage: number as u16, index };
            let open = |index: &u32| {
                let task = &steps.stages[number].tasks[*index as usize];
                !task.done && task.active.is_empty()
            };
            units.extend((0..count).filter(open).map(key));
        }
        for key in units {
            self.ready.insert((priority, order, key), now.monotonic_ms);
            self.room_changed = true;
        }
    }

    /// Puts a task, or its gang, back among what waits.
    pub(crate) fn make_ready(&mut self, now: u64, key: TaskId) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        if job.closed.is_some() {
            return;
        }
        let order = job.record.spec.due_at_ms(key.occurrence).max(job.record.accepted_at);
        let gang = self.stage(key).is_some_and(|stage| stage.gang);
        let key = if gang { TaskId { index: 0, ..key } } else { key };
        self.ready.entry((job.record.priority, order, key)).or_insert(now);
        self.room_changed = true;
    }

    /// Takes a task out of what waits: it is done, or runs after all.
    pub(crate) fn forget_ready(&mut self, key: TaskId) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let order = job.record.spec.due_at_ms(key.occurrence).max(job.record.accepted_at);
        self.ready.remove(&(job.record.priority, order, key));
    }

    /// Ends a job: nothing of it starts any more, and what runs is stopped.
    pub(crate) fn close(&mut self, now: Now, id: JobId, outcome: JobOutcome) {
        self.record(now.monotonic_ms, Event::Closed { job: id, outcome, at: now.unix_ms });
        self.closed.push_back((now.unix_ms, id));
        self.ready.retain(|(_, _, key), _| key.job != id);
        self.timed.retain(|(_, job, _)| *job != id);
        self.stop_all(now.monotonic_ms, id);
    }

    /// Forgets jobs whose end has been told for long enough.
    pub(crate) fn forget_closed(&mut self, now: Now) {
        while let Some((at, id)) = self.closed.front().copied() {
            if now.unix_ms < at + self.bounds.closed_job_retention_ms + FORGET_SLACK_MS {
                break;
            }
            self.closed.pop_front();
            let idle = |job: &Job| {
                let steps = job.occurrences.values().flat_map(|o| &o.stages).flat_map(|s| &s.tasks);
                steps.into_iter().all(|task| task.active.is_empty())
            };
            if self.jobs.get(&id).is_some_and(idle) {
                self.record(now.monotonic_ms, Event::Forgotten { job: id });
            } else if self.jobs.contains_key(&id) {
                self.closed.push_back((now.unix_ms, id));
            }
        }
    }

    pub(crate) fn note_closed(&mut self, at: u64, id: JobId) {
        self.closed.push_back((at, id));
    }
}
