//! What operators see of a primary's state, as JSON.
use crate::client_api::job_state_name;
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
    /// Whether it holds records that it can't read, and may not be primary.
    #[serde(rename = "unfit")]
    is_ineligible: bool,
    /// Batches that it does not yet have on disk; none if it is not connected.
    #[serde(rename = "lag")]
    lag_batches: Option<u64>,
}

/// The members as the primary sees them.
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

/// The workers.
#[must_use]
pub fn workers(scheduler: &Scheduler, now_ms: u64) -> Value {
    let workers: Vec<Value> = scheduler.inspect_workers(now_ms).into_iter().map(worker).collect();
    json!({ "workers": workers })
}

fn worker(worker: WorkerView) -> Value {
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

/// How many jobs, tasks and events there are.
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

/// One job; `None` if there is none.
#[must_use]
pub fn job(scheduler: &Scheduler, id: JobId) -> Option<Value> {
    let job = scheduler.inspect_job(id)?;
    let open_tasks: Vec<Value> = job.open_tasks.into_iter().map(open_task).collect();
    Some(json!({
        "state": job_state_name(job.state),
        "service": job.service,
        "acceptedAtMs": job.accepted_at_ms,
        "tasksDone": job.done_tasks,
        "openTasks": open_tasks,
    }))
}

fn open_task(task: TaskView) -> Value {
    let runs: Vec<Value> = task.active_runs.into_iter().map(run).collect();
    json!({
        "task": task.task,
        "failedRuns": task.failed_runs,
        "runs": runs,
        "waitsForRoom": task.is_pending,
    })
}

fn run(run: RunView) -> Value {
    json!({
        "run": run.run,
        "worker": run.worker_id,
        "phase": run.phase,
        "stopping": run.is_stopping,
        "percent": run.progress_percent,
    })
}
