//! Read-only views of jobs and workers for operators.
use super::Scheduler;
use crate::ids::{JobId, TaskId};
use crate::jobs::{JobState, Run, RunPhase, Task};
use crate::workers::{ListingState, Worker};

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
    /// A job with its open tasks; `None` if it is not known.
    #[must_use]
    pub fn inspect_job(&self, id: JobId) -> Option<JobView> {
        let job = self.jobs.get(id)?;
        let is_open = |(_, task): &(TaskId, &Task)| !task.is_done();
        let open_tasks = job.tasks(id).filter(is_open).map(|(task_id, task)| self.task_view(task_id, task));
        Some(JobView {
            state: job.state(),
            accepted_at_ms: job.record().accepted_at_ms,
            service: job.service().to_string(),
            open_tasks: open_tasks.collect(),
            done_tasks: job.tasks(id).filter(|(_, task)| task.is_done()).count(),
        })
    }

    fn task_view(&self, id: TaskId, task: &Task) -> TaskView {
        let unit = self.jobs.placement_unit(id);
        TaskView {
            task: id.to_string(),
            failed_runs: task.failed_runs().to_vec(),
            active_runs: task.active_runs().iter().map(|run| self.run_view(run)).collect(),
            is_pending: self.pending.tasks().any(|pending| pending == unit),
        }
    }

    fn run_view(&self, run: &Run) -> RunView {
        RunView {
            run: run.number(),
            worker_id: self.workers[run.worker()].id().to_string(),
            phase: phase_name(run.phase()),
            is_stopping: run.is_stopping(),
            progress_percent: run.progress_percent(),
        }
    }

    /// All workers that are not gone. `now_ms` is the monotonic time.
    #[must_use]
    pub fn inspect_workers(&self, now_ms: u64) -> Vec<WorkerView> {
        let present = self.workers.iter().filter(|worker| !worker.is_gone());
        present.map(|worker| worker_view(worker, now_ms)).collect()
    }
}

fn phase_name(phase: RunPhase) -> &'static str {
    match phase {
        RunPhase::Recorded => "recorded",
        RunPhase::Sent => "ordered",
        RunPhase::Started => "started",
        RunPhase::Unknown => "unknown",
    }
}

fn worker_view(worker: &Worker, now_ms: u64) -> WorkerView {
    let (used, capacity) = (worker.allocation.used(), worker.capacity());
    WorkerView {
        id: worker.id().to_string(),
        service: worker.service().to_string(),
        status: worker_status(worker, now_ms),
        cpu_millicores: Usage { used: used.cpu_millicores, capacity: capacity.cpu_millicores },
        memory_mb: Usage { used: used.memory_mb, capacity: capacity.memory_mb },
        runs: worker.allocation.runs().len(),
    }
}

/// The operators' words, which their pages show: an ejected worker is "left alone".
fn worker_status(worker: &Worker, now_ms: u64) -> &'static str {
    match worker.listing() {
        ListingState::Unlisted => "unlisted",
        ListingState::Draining => "draining",
        _ if !worker.has_seen_term() => "not heard yet",
        _ if !worker.is_reachable() => "out of reach",
        _ if worker.health.is_ejected(now_ms) => "left alone",
        _ => "ready",
    }
}
