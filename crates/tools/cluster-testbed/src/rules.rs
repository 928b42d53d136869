//! The rules that must hold, judged by what workers and clients see.
use crate::worker::Worker;
use spanlead_job_scheduler::{JobId, JobSpec, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// One end that a worker may still have to tell.
#[derive(Clone, Debug)]
struct DoneEnd {
    worker: String,
    number: u64,
    task: TaskId,
    at: u64,
}

/// How long after a task's end was taken note of a copy of it may still begin, milliseconds.
const COPY_SLACK_MS: u64 = 1_000;

/// The checker: it is told what happens, and keeps what broke.
#[derive(Debug, Default)]
pub struct Rules {
    /// What broke, with the task or job.
    pub broken: Vec<String>,
    specs: BTreeMap<u64, JobSpec>,
    running: BTreeMap<TaskId, BTreeSet<(String, u32)>>,
    /// Tasks with an end `done` anywhere.
    done: BTreeSet<TaskId>,
    /// Tasks whose end `done` was taken note of, and when.
    noted_done: BTreeMap<TaskId, u64>,
    ends: Vec<DoneEnd>,
    failed: Vec<(String, u64, TaskId)>,
    noted_failed: BTreeMap<TaskId, u32>,
    last_start: BTreeMap<TaskId, u64>,
    /// Tasks that were started.
    pub starts: u64,
    /// Failed runs after which a task may not start again.
    pub attempts: u32,
}

impl Rules {
    /// A client hands a job in.
    pub fn asked(&mut self, id: u64, spec: &JobSpec) {
        self.specs.insert(id, spec.clone());
        self.attempts = 3;
    }

    /// The step of a task.
    pub fn stage(&self, task: TaskId) -> Option<&spanlead_job_scheduler::Stage> {
        self.specs.get(&task.job.0)?.stages.get(usize::from(task.stage))
    }

    /// A worker starts a task.
    pub fn started(&mut self, now: u64, worker: &str, task: TaskId, run: u32) {
        self.starts += 1;
        let Some(spec) = self.specs.get(&task.job.0) else {
            return self.broken.push(format!("UNASKED: {task} on {worker}"));
        };
        let stage = &spec.stages[usize::from(task.stage)];
        let elsewhere = self.running.entry(task).or_default();
        if !elsewhere.is_empty() && !stage.speculative {
            self.broken.push(format!("TWICE: {task} run {run} on {worker} beside {elsewhere:?} at {now}"));
        }
        elsewhere.insert((worker.to_owned(), run));
        let late =
            self.noted_done.get(&task).is_some_and(|at| !stage.speculative || now > at + COPY_SLACK_MS);
        if late {
            self.broken.push(format!("TWICE: {task} run {run} after its end was noted"));
        }
        for before in &stage.depends_on {
            for index in 0..spec.stages[usize::from(*before)].count {
                let needed = TaskId { stage: *before, index, ..task };
                if !self.done.contains(&needed) {
                    self.broken.push(format!("ORDER: {task} before {needed}"));
                }
            }
        }
        let counted = if stage.gang { TaskId { index: 0, ..task } } else { task };
        let failed = self.noted_failed.get(&counted).copied().unwrap_or(0);
        if !stage.gang && failed >= self.attempts {
            self.broken.push(format!("BUDGET: {task} after {failed} failed runs"));
        }
        self.last_start.insert(task, now);
    }

    /// A run ends on a worker.
    pub fn ended(&mut self, now: u64, worker: &str, number: u64, task: TaskId, run: u32, how: &str) {
        if let Some(running) = self.running.get_mut(&task) {
            running.remove(&(worker.to_owned(), run));
        }
        match how {
            "done" => {
                self.done.insert(task);
                self.ends.push(DoneEnd { worker: worker.to_owned(), number, task, at: now });
            }
            "failed" => self.failed.push((worker.to_owned(), number, task)),
            _ => {}
        }
    }

    /// A worker's hold lapsed: ends that it had not told before don't bind any more.
    pub fn lapsed(&mut self, worker: &str) {
        self.ends.retain(|end| end.worker != worker);
    }

    /// A worker is gone, with all that it had to tell.
    pub fn crashed(&mut self, worker: &str) {
        self.ends.retain(|end| end.worker != worker);
        self.failed.retain(|(w, _, _)| w != worker);
        self.running.values_mut().for_each(|running| running.retain(|(w, _)| w != worker));
    }

    /// A worker was told that its ends up to a number are known.
    pub fn noted(&mut self, now: u64, worker: &str, last_seen: u64) {
        let seen = |end: &DoneEnd| end.worker == worker && end.number <= last_seen;
        for end in self.ends.iter().filter(|end| seen(end)) {
            let after = self.last_start.get(&end.task).copied().unwrap_or(0);
            let copies = self.stage(end.task).is_some_and(|stage| stage.speculative);
            if after > end.at && !copies {
                self.broken
                    .push(format!("TWICE: {} was started at {after}, after its end at {}", end.task, end.at));
            }
            self.noted_done.entry(end.task).or_insert(now);
        }
        self.ends.retain(|end| !seen(end));
        let seen = |(w, number, _): &(String, u64, TaskId)| w == worker && *number <= last_seen;
        for (_, _, task) in self.failed.iter().filter(|end| seen(end)) {
            *self.noted_failed.entry(*task).or_default() += 1;
        }
        self.failed.retain(|end| !seen(end));
    }

    /// Whether all tasks of a job have ended `done`.
    pub fn all_done(&self, job: u64) -> bool {
        let Some(spec) = self.specs.get(&job) else { return false };
        (0..spec.occurrence_count()).all(|occurrence| {
            spec.stages.iter().enumerate().all(|(stage, s)| {
                let key = |index| TaskId { job: JobId(job), occurrence, stage: stage as u16, index };
                let done = |index: u32| self.done.contains(&key(index));
                if s.gang { (0..s.count).any(done) } else { (0..s.count).all(done) }
            })
        })
    }

    /// Gangs work while all their members are there, and end together.
    pub fn finish_gangs(&mut self, workers: &mut [Worker], now: u64) {
        let mut gangs: BTreeMap<(TaskId, u32), Vec<(usize, TaskId)>> = BTreeMap::new();
        for (at, worker) in workers.iter().enumerate() {
            for run in worker.running.iter().filter(|r| r.gang) {
                let key = TaskId { index: 0, ..run.task };
                gangs.entry((key, run.run)).or_default().push((at, run.task));
            }
        }
        for ((key, run), members) in gangs {
            let all = self.stage(key).map_or(0, |stage| stage.count) as usize;
            let complete = members.len() == all;
            let each: Vec<bool> =
                members.iter().map(|(at, task)| workers[*at].gang_due(now, *task, run, complete)).collect();
            let due = each.into_iter().all(|due| due);
            if members.len() == all && due {
                for (at, task) in members {
                    workers[at].end(now, task, run, "done", self);
                }
            }
        }
    }
}
