//! The application of events to the state.
use super::Scheduler;
use crate::events::{Event, RunEnd};
use crate::ids::{JobId, RunId, TaskId, WorkerClassId, WorkerIndex};
use crate::jobs::{Run, RunPhase};
use crate::record::{ClosedRecord, JobOutcome, RecordKey};
use crate::workers::WorkerClasses;
use compact_str::CompactString;

impl Scheduler {
    /// Applies an event, marks the records that it changes as dirty, and appends it to the log.
    pub(super) fn record_event(&mut self, now_ms: u64, event: Event) {
        log::trace!("{event}");
        self.apply(now_ms, &event);
        self.events.append(event);
    }

    /// Applies an event to the state and marks the records that it changes as dirty.
    fn apply(&mut self, now_ms: u64, event: &Event) {
        match event {
            Event::JobAccepted { job, record } => {
                self.jobs.accept(*job, (**record).clone());
                self.commits.mark_dirty(RecordKey::Job(*job));
            }
            Event::JobClosed { job, outcome, closed_at_ms } => {
                self.apply_closed(*job, ClosedRecord { outcome: *outcome, closed_at_ms: *closed_at_ms });
            }
            Event::JobRemoved { job } => {
                self.jobs.remove(*job);
                self.commits.mark_dirty(RecordKey::Job(*job));
                self.commits.mark_dirty(RecordKey::Closed(*job));
            }
            Event::RetentionRenewed { job, closed_at_ms } => {
                if self.jobs.renew_retention(*job, *closed_at_ms) {
                    self.commits.mark_dirty(RecordKey::Closed(*job));
                }
            }
            Event::CancellationRemembered { job, cancelled_at_ms } => {
                let record = ClosedRecord { outcome: JobOutcome::Cancelled, closed_at_ms: *cancelled_at_ms };
                self.cancelled_jobs.add(now_ms, *job, record);
                self.commits.mark_dirty(RecordKey::Closed(*job));
            }
            Event::CancellationForgotten { job } => {
                self.cancelled_jobs.remove(*job);
                self.commits.mark_dirty(RecordKey::Closed(*job));
            }
            Event::RunAssigned { run, worker } => self.apply_assigned(now_ms, *run, *worker),
            Event::RunEnded { run, end, checkpoint } => self.apply_run_ended(*run, *end, checkpoint),
            Event::WorkersListed { class, workers } => self.apply_workers_listed(*class, *workers),
        }
    }

    fn apply_closed(&mut self, id: JobId, closed: ClosedRecord) {
        if !self.jobs.close(id, closed) {
            return;
        }
        self.commits.mark_dirty(RecordKey::Closed(id));
        // Task records of a closed job are removed, unless they name runs that still have to stop.
        let Some(job) = self.jobs.get(id) else { return };
        for (task, _) in job.tasks(id).filter(|(_, task)| task.last_run() > 0) {
            self.commits.mark_dirty(RecordKey::Task(task));
        }
    }

    fn apply_assigned(&mut self, now_ms: u64, run: RunId, worker: WorkerIndex) {
        let demand = self.jobs.demand(run.task);
        if !self.jobs.add_run(run.task, Run::new(run.run, worker, RunPhase::Recorded, now_ms)) {
            return;
        }
        self.workers[worker].allocation.reserve(run, demand);
        self.commits.mark_dirty(RecordKey::Task(run.task));
    }

    fn apply_run_ended(&mut self, run: RunId, end: RunEnd, checkpoint: &CompactString) {
        let Some(stage) = self.jobs.stage(run.task) else { return };
        let (is_gang, is_long_running) = (stage.gang, stage.long_running);
        if !self.remove_run(run, end, checkpoint) {
            return;
        }
        self.commits.mark_dirty(RecordKey::Task(run.task));
        if end != RunEnd::Interrupted {
            self.jobs.mark_begun(run.task.job);
        }
        match end {
            RunEnd::Done if is_long_running => {}
            RunEnd::Done if is_gang => self.apply_gang_done(run.task),
            RunEnd::Done => self.apply_task_done(run.task),
            RunEnd::Failed if !is_long_running => self.apply_failed_attempt(run),
            RunEnd::Failed | RunEnd::Interrupted => {}
        }
    }

    /// Removes an ended run from its task and its worker. Returns `false` if there is no such task.
    fn remove_run(&mut self, run: RunId, end: RunEnd, checkpoint: &CompactString) -> bool {
        let demand = self.jobs.demand(run.task);
        let Some(task) = self.jobs.task_mut(run.task) else { return false };
        if let Some(ended) = task.remove_run(run.run, checkpoint) {
            if end == RunEnd::Failed {
                task.avoid_worker(ended.worker());
            }
            self.workers[ended.worker()].allocation.release(run, demand);
            self.capacity_freed(ended.worker());
        }
        true
    }

    /// Notifies the placer and the pending queue that a worker has freed capacity.
    pub(super) fn capacity_freed(&mut self, worker: WorkerIndex) {
        self.placer.capacity_freed(&self.workers[worker]);
        self.pending.capacity_changed();
    }

    fn apply_gang_done(&mut self, member: TaskId) {
        for task in self.jobs.tasks_of_stage(member) {
            self.apply_task_done(task);
        }
    }

    fn apply_task_done(&mut self, task: TaskId) {
        if self.jobs.mark_task_done(task) {
            self.commits.mark_dirty(RecordKey::Task(task));
        }
    }

    /// Records a failed run. A gang fails as a whole: its first task keeps the failed runs of all
    /// members.
    fn apply_failed_attempt(&mut self, run: RunId) {
        let counted = self.jobs.placement_unit(run.task);
        if let Some(task) = self.jobs.task_mut(counted) {
            task.add_failed_run(run.run);
        }
        self.commits.mark_dirty(RecordKey::Task(counted));
    }

    fn apply_workers_listed(&mut self, class: WorkerClassId, workers: u32) {
        self.worker_classes.raise_max_workers(class, workers);
        if WorkerClasses::is_stored(class) {
            self.commits.mark_dirty(RecordKey::WorkerClass(class));
        }
    }
}
