//! The beginning of occurrences and stages, and the closing of jobs.
use super::Scheduler;
use crate::config::Now;
use crate::events::Event;
use crate::ids::{JobId, TaskId};
use crate::record::JobOutcome;

impl Scheduler {
    /// Begins the due occurrences of all jobs.
    pub(super) fn begin_due_occurrences(&mut self, now: Now) {
        while let Some(job) = self.occurrence_timer.pop_due(now.unix_ms) {
            self.begin_due_occurrences_of(now, job);
        }
    }

    /// Begins the due occurrences of a job and schedules its next one.
    pub(super) fn begin_due_occurrences_of(&mut self, now: Now, id: JobId) {
        while let Some(job) = self.jobs.get_mut(id) {
            let Some(next) = job.next_occurrence() else { return };
            if next.due_at_ms > now.unix_ms {
                self.occurrence_timer.schedule(next.due_at_ms, id, next.number);
                return;
            }
            job.begin_next_occurrence();
            self.open_ready_stages(now, id, next.number);
        }
    }

    /// Opens the stages of an occurrence whose dependencies are done, and queues their tasks.
    pub(super) fn open_ready_stages(&mut self, now: Now, id: JobId, occurrence: u32) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        for unit in job.open_ready_stages(id, occurrence) {
            self.pending.push(job.pending_key(unit), now.monotonic_ms);
        }
    }

    /// Queues a task or its gang again, if the job is open.
    pub(super) fn requeue(&mut self, now_ms: u64, task: TaskId) {
        let Some(job) = self.jobs.get(task.job).filter(|job| job.is_open()) else { return };
        let unit = self.jobs.placement_unit(task);
        self.pending.requeue(job.pending_key(unit), now_ms);
    }

    /// Removes a task that is done, or its gang, from the pending queue.
    pub(super) fn remove_pending(&mut self, task: TaskId) {
        let unit = self.jobs.placement_unit(task);
        if let Some(job) = self.jobs.get(task.job) {
            self.pending.remove(&job.pending_key(unit));
        }
    }

    /// Closes a job: removes its pending tasks and occurrences, and stops its runs.
    pub(super) fn close_job(&mut self, now: Now, job: JobId, outcome: JobOutcome) {
        self.record_event(now.monotonic_ms, Event::JobClosed { job, outcome, closed_at_ms: now.unix_ms });
        self.jobs.schedule_removal(now.unix_ms, job);
        self.pending.remove_job(job);
        self.occurrence_timer.remove_job(job);
        self.stop_job(now.monotonic_ms, job);
    }
}
