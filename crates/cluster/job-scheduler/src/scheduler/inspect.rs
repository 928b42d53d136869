//! Read-only views of jobs and workers for operators.
use super::Scheduler;
use crate::ids::{JobId, TaskId};
use crate::jobs::{JobState, Run, RunPhase, Task};
use crate::workers::{ListingState, Worker};

/// A job as shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct JobView {
    /// The job's state.
    pub state: JobState,
    /// When it was accepted, milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
    /// The service whose workers run the job.
    pub service: String,
    /// The tasks that are not done.
    pub open_tasks: Vec<TaskView>,
    /// The number of tasks that are done.
    pub done_tasks: usize,
}

/// A task that is not done.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskView {
    /// The task's name: job, occurrence, stage and index.
    pub task: String,
    /// The numbers of the runs that failed.
    pub failed_runs: Vec<u32>,
    /// The runs whose end is not known.
    pub active_runs: Vec<RunView>,
    /// Whether the task or its gang waits for placement.
    pub is_pending: bool,
}

/// A run whose end is not known.
#[derive(Clone, Debug, PartialEq)]
pub struct RunView {
    /// The run's number.
    pub run: u32,
    /// The worker's identifier.
    pub worker_id: String,
    /// The state of its start: `recorded`, `ordered` (sent), `started` or `unknown`.
    pub phase: &'static str,
    /// Whether the run is being stopped.
    pub is_stopping: bool,
    /// The last reported progress, 0 to 100.
    pub progress_percent: f64,
}

/// The used and total amount of a resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The amount in use.
    pub used: u64,
    /// The total amount.
    pub capacity: u64,
}

/// A worker as shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerView {
    /// The worker's identifier.
    pub id: String,
    /// The worker's service.
    pub service: String,
    /// `ready`, or the reason why the worker is given no tasks. A ready worker is given none either
    /// after a call without a response, until it responds again.
    pub status: &'static str,
    /// Processor, thousandths of a core.
    pub cpu_millicores: Usage,
    /// Memory, MB.
    pub memory_mb: Usage,
    /// The number of runs on the worker.
    pub runs: usize,
}

impl Scheduler {
    /// A job with its open tasks; `None` if the job is not known.
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

    /// All workers that still exist. `now_ms` is the monotonic time, milliseconds.
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

/// The status of a worker in the wording of the operators' interface: "not heard yet" for one that
/// has not responded in this term, "out of reach" for an unreachable one, "left alone" for an
/// ejected one.
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
