//! Read-only views of jobs and workers for operators.
use crate::ids::{JobId, TaskId};
use crate::job::{JobState, Phase};
use crate::scheduler::Scheduler;
use crate::worker::Standing;

/// A job as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobView {
    /// Its state.
    pub state: JobState,
    /// When it was accepted, milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// Its service.
    pub service: String,
    /// The tasks that are not done.
    pub open_tasks: Vec<TaskView>,
    /// The number of tasks that are done.
    pub done_tasks: usize,
}

/// A task that is not done.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskView {
    /// Its name.
    pub task: String,
    /// The numbers of the runs that failed.
    pub failed_runs: Vec<u32>,
    /// The runs whose end is not known.
    pub active_runs: Vec<RunView>,
    /// Whether it, or its gang, waits to be placed.
    pub is_pending: bool,
}

/// A run whose end is not known.
#[derive(Clone, Debug, PartialEq)]
pub struct RunView {
    /// Its number.
    pub run: u32,
    /// The worker's identifier.
    pub worker_id: String,
    /// What is known of its start: `recorded`, `ordered`, `started` or `unknown`.
    pub phase: &'static str,
    /// Whether it is being stopped.
    pub is_stopping: bool,
    /// Its progress as last reported, 0 to 100.
    pub progress_percent: f64,
}

/// How much of a resource is in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// In use.
    pub used: u64,
    /// In all.
    pub capacity: u64,
}

/// A worker as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerView {
    /// Its identifier.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Whether it accepts tasks, and if not, why.
    pub status: &'static str,
    /// Processor, thousandths of a core.
    pub cpu_millicores: Usage,
    /// Memory, MB.
    pub memory_mb: Usage,
    /// The number of runs there.
    pub runs: usize,
}

impl Scheduler {
    /// A look into a job.
    #[must_use]
    pub fn inspect_job(&self, id: JobId) -> Option<JobView> {
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
                    open.push(self.view(TaskId { job: id, occurrence: *occurrence, stage, index }));
                }
            }
        }
        let (state, service) = (job.state(), job.service.to_string());
        Some(JobView {
            state,
            accepted_at_ms: job.record.accepted_at,
            service,
            open_tasks: open,
            done_tasks: done,
        })
    }

    fn view(&self, key: TaskId) -> TaskView {
        let task = self.task(key).cloned().unwrap_or_default();
        let gang = self.stage(key).is_some_and(|stage| stage.gang);
        let unit = if gang { TaskId { index: 0, ..key } } else { key };
        let phase = |phase: Phase| match phase {
            Phase::Recorded => "recorded",
            Phase::Ordered => "ordered",
            Phase::Started => "started",
            Phase::Unknown => "unknown",
        };
        let runs = task.active.iter().map(|run| RunView {
            run: run.run,
            worker_id: self.workers[run.worker as usize].id.to_string(),
            phase: phase(run.phase),
            is_stopping: run.stopping,
            progress_percent: run.percent,
        });
        TaskView {
            task: key.to_string(),
            failed_runs: task.failed.clone(),
            active_runs: runs.collect(),
            is_pending: self.ready.keys().any(|(_, _, waiting)| *waiting == unit),
        }
    }

    /// All workers that are on the platform's list.
    #[must_use]
    pub fn inspect_workers(&self, now: u64) -> Vec<WorkerView> {
        let listed = self.workers.iter().filter(|w| w.standing != Standing::Gone);
        let view = |w: &crate::worker::Worker| WorkerView {
            id: w.id.to_string(),
            service: w.service.to_string(),
            status: match w.standing {
                Standing::Unlisted => "unlisted",
                Standing::Draining => "draining",
                _ if !w.fenced => "not heard yet",
                _ if !w.reachable => "out of reach",
                _ if now < w.avoided_until => "left alone",
                _ => "ready",
            },
            cpu_millicores: Usage { used: w.used.cpu_millicores, capacity: w.capacity.cpu_millicores },
            memory_mb: Usage { used: w.used.memory_mb, capacity: w.capacity.memory_mb },
            runs: w.runs.len(),
        };
        listed.map(view).collect()
    }
}
