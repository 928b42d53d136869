//! What happens to jobs, and how the views follow from it.
//!
//! Everything that must last is an [`Event`]. Folding one changes the views in memory and marks the records that it
//! touches; [`crate::Scheduler::take_write`] turns those into changes of the key space.
use crate::ids::{JobId, TaskId};
use crate::job::{Job, JobOutcome, Phase, Run};
use crate::record::{ClosedRecord, JobRecord, Key};
use crate::scheduler::Scheduler;
use crate::worker::Resources;
use crate::writing::RecordChange;
use compact_str::CompactString;
use std::collections::VecDeque;
use std::fmt;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Done,
    Failed,
    /// Stopped, lapsed, lost with its worker, refused: it may be started again and counts as no attempt.
    Void,
}

/// One thing that happened.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Accepted { job: JobId, record: Box<JobRecord> },
    Closed { job: JobId, outcome: JobOutcome, at: u64 },
    Ordered { task: TaskId, run: u32, worker: u32 },
    Ended { task: TaskId, run: u32, end: End, saved: CompactString },
    Forgotten { job: JobId },
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::Accepted { job, record } => {
                write!(f, "accepted {job} of {}{}", record.queue.host, record.queue.path_prefix)
            }
            Event::Closed { job, outcome, .. } => write!(f, "closed {job} {outcome:?}"),
            Event::Ordered { task, run, worker } => write!(f, "ordered {task} run {run} on worker {worker}"),
            Event::Ended { task, run, end, .. } => write!(f, "ended {task} run {run} {end:?}"),
            Event::Forgotten { job } => write!(f, "forgotten {job}"),
        }
    }
}

/// The last events, for those who look into a running process.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    last: VecDeque<Event>,
    count: u64,
}

/// How many events are kept.
const KEPT: usize = 1_000;

impl Journal {
    fn append(&mut self, event: Event) {
        if self.last.len() == KEPT {
            self.last.pop_front();
        }
        self.last.push_back(event);
        self.count += 1;
    }

    /// How many events there were.
    pub fn count(&self) -> u64 {
        self.count
    }
}

impl Scheduler {
    /// Appends an event and folds it into the views.
    pub(crate) fn record(&mut self, now: u64, event: Event) {
        log::trace!("{event}");
        self.fold(now, &event);
        self.journal.append(event);
    }

    fn fold(&mut self, now: u64, event: &Event) {
        match event {
            Event::Accepted { job, record } => {
                self.jobs.insert(*job, Job::new((**record).clone()));
                self.count_live(*job);
                self.touched.insert(Key::Job(*job));
            }
            Event::Closed { job, outcome, at } => self.fold_closed(*job, *outcome, *at),
            Event::Ordered { task, run, worker } => self.fold_ordered(now, *task, *run, *worker),
            Event::Ended { task, run, end, saved } => self.fold_ended(*task, *run, *end, saved),
            Event::Forgotten { job } => {
                self.jobs.remove(job);
                self.touched.insert(Key::Job(*job));
                self.touched.insert(Key::Closed(*job));
            }
        }
    }

    fn fold_closed(&mut self, id: JobId, outcome: JobOutcome, at: u64) {
        self.note_begun(id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.closed = Some((outcome, at));
        self.live = self.live.saturating_sub(1);
        self.touched.insert(Key::Closed(id));
        for (occurrence, steps) in &job.occurrences {
            for (stage, step) in steps.stages.iter().enumerate() {
                let begun = step.tasks.iter().enumerate().filter(|(_, task)| task.last_run > 0);
                self.touched.extend(begun.map(|(index, _)| {
                    let (stage, index) = (stage as u16, index as u32);
                    Key::Task(TaskId { job: id, occurrence: *occurrence, stage, index })
                }));
            }
        }
    }

    /// Counts a job that is not over, which has no task that is known to have begun unless it says so.
    pub(crate) fn count_live(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        self.live += 1;
        if !job.begun {
            *self.pending.entry(job.record.queue.clone()).or_default() += 1;
        }
    }

    /// A task of a job has begun, or none ever will.
    pub(crate) fn note_begun(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.begun) else { return };
        job.begun = true;
        if let Some(count) = self.pending.get_mut(&job.record.queue) {
            *count = count.saturating_sub(1);
        }
    }

    fn fold_ordered(&mut self, now: u64, key: TaskId, run: u32, worker: u32) {
        let need = self.need(key);
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        job.touched = true;
        let Some(task) = self.task_mut(key) else { return };
        task.last_run = task.last_run.max(run);
        task.active.push(Run::new(run, worker, Phase::Recorded, now));
        let worker = &mut self.workers[worker as usize];
        worker.used = worker.used.plus(need);
        worker.runs.insert((key, run));
        self.touched.insert(Key::Task(key));
    }

    fn fold_ended(&mut self, key: TaskId, run: u32, end: End, saved: &CompactString) {
        let need = self.need(key);
        let Some(stage) = self.stage(key) else { return };
        let (gang, lasts) = (stage.gang, stage.long_running);
        let Some(task) = self.task_mut(key) else { return };
        if let Some(at) = task.active.iter().position(|r| r.run == run) {
            let ended = task.active.remove(at);
            if !saved.is_empty() {
                task.saved = saved.clone();
            }
            if end == End::Failed {
                task.avoid.retain(|w| *w != ended.worker);
                task.avoid.push(ended.worker);
            }
            self.free(ended.worker, key, run, need);
        }
        self.touched.insert(Key::Task(key));
        if end != End::Void {
            self.note_begun(key.job);
        }
        match end {
            End::Done if lasts => {}
            End::Done if gang => self.fold_gang_done(key),
            End::Done => self.fold_done(key),
            End::Failed if !lasts => {
                // A gang fails as one: its first task counts for it.
                let counted = if gang { TaskId { index: 0, ..key } } else { key };
                if let Some(task) = self.task_mut(counted)
                    && !task.failed.contains(&run)
                {
                    task.failed.push(run);
                }
                self.touched.insert(Key::Task(counted));
            }
            End::Failed | End::Void => {}
        }
    }

    fn fold_gang_done(&mut self, key: TaskId) {
        let count = self.stage(key).map_or(0, |stage| stage.count);
        for index in 0..count {
            self.fold_done(TaskId { index, ..key });
        }
    }

    fn fold_done(&mut self, key: TaskId) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(steps) = job.occurrences.get_mut(&key.occurrence) else { return };
        let Some(step) = steps.stages.get_mut(usize::from(key.stage)) else { return };
        let Some(task) = step.tasks.get_mut(key.index as usize).filter(|task| !task.done) else { return };
        task.done = true;
        step.remaining -= 1;
        self.touched.insert(Key::Task(key));
    }

    fn free(&mut self, worker: u32, key: TaskId, run: u32, need: Resources) {
        let worker = &mut self.workers[worker as usize];
        if worker.runs.remove(&(key, run)) {
            worker.used = worker.used.minus(need);
        }
        self.room_changed = true;
    }

    /// The records that were touched, as changes of the key space.
    pub(crate) fn encode_touched(&mut self) -> Vec<RecordChange> {
        let touched = std::mem::take(&mut self.touched);
        touched.into_iter().map(|key| RecordChange { key: key.encode(), value: self.encode(key) }).collect()
    }

    fn encode(&self, key: Key) -> Option<Vec<u8>> {
        match key {
            Key::Job(id) => Some(self.jobs.get(&id)?.record.encode()),
            Key::Closed(id) => {
                let (outcome, at) = self.jobs.get(&id)?.closed?;
                Some(ClosedRecord { outcome, at }.encode())
            }
            Key::Task(key) => {
                let job = self.jobs.get(&key.job)?;
                let task = self.task(key)?;
                // Of a job that is over only what still has to be stopped is worth keeping.
                let kept = task.last_run > 0 || task.done || !task.failed.is_empty();
                let wanted = if job.closed.is_some() { !task.active.is_empty() } else { kept };
                let name = |worker: u32| self.workers[worker as usize].id.to_string();
                wanted.then(|| task.record(name).encode())
            }
        }
    }
}
