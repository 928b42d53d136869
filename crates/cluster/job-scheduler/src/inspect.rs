//! A look into a job: what was started where, and what it waits for.
use crate::job::{Phase, State};
use crate::record::TaskKey;
use crate::scheduler::Scheduler;
use crate::worker::Standing;

/// A job as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobView {
    /// Its state.
    pub state: State,
    /// Milliseconds since 1970.
    pub accepted_at: u64,
    /// Its service.
    pub service: String,
    /// Tasks that are not done.
    pub open: Vec<TaskView>,
    /// How many tasks are done.
    pub done: usize,
}

/// A task that is not done.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskView {
    /// Its name.
    pub task: String,
    /// The runs that failed.
    pub failed: Vec<u32>,
    /// The runs whose end is not known.
    pub runs: Vec<RunView>,
    /// Whether it, or its gang, waits for room.
    pub waits: bool,
}

/// A run whose end is not known.
#[derive(Clone, Debug, PartialEq)]
pub struct RunView {
    /// Its number.
    pub run: u32,
    /// Where.
    pub worker: String,
    /// How sure that is.
    pub phase: &'static str,
    /// Whether it is being stopped.
    pub stopping: bool,
    /// How far it is, as last told.
    pub percent: f64,
}

/// A worker as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerView {
    /// Its identifier.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Whether it takes tasks, and if not, why.
    pub standing: &'static str,
    /// Thousandths of a core in use, and in all.
    pub cpu: (u64, u64),
    /// Memory in use, and in all, MB.
    pub mem_mb: (u64, u64),
    /// Tasks there.
    pub runs: usize,
}

impl Scheduler {
    /// A look into a job.
    #[must_use]
    pub fn inspect(&self, id: u64) -> Option<JobView> {
        let job = self.jobs.get(&id)?;
        let (mut open, mut done) = (Vec::new(), 0);
        for (occurrence, steps) in &job.occurrences {
            for (stage, step) in steps.stages.iter().enumerate() {
                for (index, task) in step.tasks.iter().enumerate() {
                    if task.done {
                        done += 1;
                        continue;
                    }
                    let (stage, index) = (stage as u16, index as u32);
                    open.push(self.view(TaskKey { job: id, occurrence: *occurrence, stage, index }));
                }
            }
        }
        let (state, service) = (job.state(), job.service.to_string());
        Some(JobView { state, accepted_at: job.record.accepted_at, service, open, done })
    }

    fn view(&self, key: TaskKey) -> TaskView {
        let task = self.task(key).cloned().unwrap_or_default();
        let gang = self.stage(key).is_some_and(|stage| stage.gang);
        let unit = if gang { TaskKey { index: 0, ..key } } else { key };
        let phase = |phase: Phase| match phase {
            Phase::Recorded => "recorded",
            Phase::Ordered => "ordered",
            Phase::Started => "started",
            Phase::Unknown => "unknown",
        };
        let runs = task.active.iter().map(|run| RunView {
            run: run.run,
            worker: self.workers[run.worker as usize].id.to_string(),
            phase: phase(run.phase),
            stopping: run.stopping,
            percent: run.percent,
        });
        TaskView {
            task: key.to_string(),
            failed: task.failed.clone(),
            runs: runs.collect(),
            waits: self.ready.keys().any(|(_, _, waiting)| *waiting == unit),
        }
    }

    /// All workers that are on the platform's list.
    #[must_use]
    pub fn inspect_workers(&self, now: u64) -> Vec<WorkerView> {
        let listed = self.workers.iter().filter(|w| w.standing != Standing::Gone);
        let view = |w: &crate::worker::Worker| WorkerView {
            id: w.id.to_string(),
            service: w.service.to_string(),
            standing: match w.standing {
                Standing::Unlisted => "unlisted",
                Standing::Draining => "draining",
                _ if !w.fenced => "not heard yet",
                _ if !w.reachable => "out of reach",
                _ if now < w.avoided_until => "left alone",
                _ => "ready",
            },
            cpu: (w.used.cpu, w.capacity.cpu),
            mem_mb: (w.used.mem_mb, w.capacity.mem_mb),
            runs: w.runs.len(),
        };
        listed.map(view).collect()
    }
}
