//! The state of a primary as JSON, for operators. The names of the fields belong to the operators'
//! interface.
use crate::job_text::job_state_name;
use serde::Serialize;
use serde_json::{Value, json};
use spanlead_job_scheduler::{JobId, RunView, Scheduler, TaskView, WorkerView};
use spanlead_replication::Replica;

#[derive(Serialize)]
struct MemberJson {
    #[serde(rename = "node")]
    node_name: String,
    #[serde(rename = "peer")]
    peer_address: String,
    #[serde(rename = "control")]
    operator_address: String,
    #[serde(rename = "primary")]
    is_primary: bool,
    #[serde(rename = "in_sync")]
    is_in_sync: bool,
    /// Whether the member holds records that it can't read, and so must not become primary.
    #[serde(rename = "unfit")]
    is_ineligible: bool,
    /// The number of batches that the member does not yet have on disk; `None` while it has no
    /// session with the primary or is under repair.
    #[serde(rename = "lag")]
    lag_batches: Option<u64>,
}

/// Returns the members of the control plane as the primary knows them.
#[must_use]
pub fn members(replica: &Replica) -> Value {
    let Some(view) = replica.view() else { return json!({ "members": [] }) };
    let last = replica.position().sequence;
    let members: Vec<MemberJson> = replica
        .member_statuses()
        .into_iter()
        .map(|status| MemberJson {
            is_primary: status.member.id == view.primary,
            is_in_sync: view.in_sync.contains(&status.member.id),
            is_ineligible: status.ineligible,
            lag_batches: status.durable_sequence.map(|durable| last.saturating_sub(durable)),
            node_name: status.member.node_name,
            peer_address: status.member.peer_address,
            operator_address: status.member.operator_address,
        })
        .collect();
    json!({ "epoch": view.epoch.0, "term": view.term.0, "sequence": last, "members": members })
}

/// Returns all workers.
#[must_use]
pub fn workers(scheduler: &Scheduler, now_ms: u64) -> Value {
    let workers: Vec<Value> = scheduler.inspect_workers(now_ms).into_iter().map(worker_json).collect();
    json!({ "workers": workers })
}

fn worker_json(worker: WorkerView) -> Value {
    json!({
        "id": worker.id,
        "service": worker.service,
        "standing": worker.status,
        "runs": worker.runs,
        "cpuUsed": worker.cpu_millicores.used,
        "cpu": worker.cpu_millicores.capacity,
        "memUsedMb": worker.memory_mb.used,
        "memMb": worker.memory_mb.capacity,
    })
}

/// Returns the numbers of jobs, pending units (tasks and gangs that wait to be placed), active runs
/// and events.
#[must_use]
pub fn jobs(scheduler: &Scheduler) -> Value {
    let counts = scheduler.counts();
    json!({
        "jobs": counts.jobs,
        "waiting": counts.pending_units,
        "runs": counts.active_runs,
        "events": counts.events,
    })
}

/// Returns a job with its open tasks; `None` if the job is not known.
#[must_use]
pub fn job(scheduler: &Scheduler, id: JobId) -> Option<Value> {
    let job = scheduler.inspect_job(id)?;
    let open_tasks: Vec<Value> = job.open_tasks.into_iter().map(task_json).collect();
    Some(json!({
        "state": job_state_name(job.state),
        "service": job.service,
        "acceptedAtMs": job.accepted_at_ms,
        "tasksDone": job.done_tasks,
        "openTasks": open_tasks,
    }))
}

fn task_json(task: TaskView) -> Value {
    let runs: Vec<Value> = task.active_runs.into_iter().map(run_json).collect();
    json!({
        "task": task.task,
        "failedRuns": task.failed_runs,
        "runs": runs,
        "waitsForRoom": task.is_pending,
    })
}

fn run_json(run: RunView) -> Value {
    json!({
        "run": run.run,
        "worker": run.worker_id,
        "phase": run.phase,
        "stopping": run.is_stopping,
        "percent": run.progress_percent,
    })
}
