//! What operators see of a node that serves, as JSON.
use crate::node::CommitTimes;
use serde::Serialize;
use serde_json::{Value, json};
use spanlead_cluster_runtime::metrics;
use spanlead_job_scheduler::{JobId, JobOutcome, JobState, Scheduler};
use spanlead_replication::Replica;
use std::fmt::Write;

/// What an operator asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// The members of the control plane.
    Members,
    /// The workers.
    Workers,
    /// How many jobs, tasks and events there are.
    Jobs,
    /// One job.
    Job(JobId),
    /// The figures of this process, whether it serves or not.
    Figures,
}

#[derive(Serialize)]
struct MemberView {
    node: String,
    peer: String,
    control: String,
    primary: bool,
    in_sync: bool,
    /// Whether it holds records that it can't read, and may not lead.
    unfit: bool,
    /// Batches that it has not yet on disk; none if it is not heard.
    lag: Option<u64>,
}

/// The members as the primary sees them.
#[must_use]
pub fn members(replica: &Replica) -> Value {
    let Some(view) = replica.view() else { return json!({ "members": [] }) };
    let last = replica.position().sequence;
    let members: Vec<MemberView> = replica
        .member_statuses()
        .into_iter()
        .map(|status| MemberView {
            primary: status.member.id == view.primary,
            in_sync: view.in_sync.contains(&status.member.id),
            unfit: status.ineligible,
            lag: status.durable_sequence.map(|on_disk| last.saturating_sub(on_disk)),
            node: status.member.node_name,
            peer: status.member.peer_address,
            control: status.member.operator_address,
        })
        .collect();
    json!({ "epoch": view.epoch.0, "term": view.term.0, "sequence": last, "members": members })
}

/// The workers.
#[must_use]
pub fn workers(scheduler: &Scheduler, now: u64) -> Value {
    let workers: Vec<Value> = scheduler
        .inspect_workers(now)
        .into_iter()
        .map(|w| {
            json!({ "id": w.id, "service": w.service, "standing": w.status, "runs": w.runs,
                "cpuUsed": w.cpu_millicores.used, "cpu": w.cpu_millicores.capacity, "memUsedMb": w.memory_mb.used, "memMb": w.memory_mb.capacity })
        })
        .collect();
    json!({ "workers": workers })
}

/// Counts.
#[must_use]
pub fn jobs(scheduler: &Scheduler) -> Value {
    let counts = scheduler.counts();
    json!({ "jobs": counts.jobs, "waiting": counts.pending_units, "runs": counts.active_runs,
        "events": counts.events })
}

/// The figures of a process, and of its scheduler if it serves.
#[must_use]
pub fn figures(serving: Option<(&Scheduler, &CommitTimes)>) -> String {
    let mut text = metrics::traffic();
    let _ = writeln!(text, "spanlead_serves {}", u8::from(serving.is_some()));
    let Some((scheduler, commits)) = serving else { return text };
    let (batches, batch_bytes, commit_ms) = commits.figures();
    let counts = scheduler.counts();
    let figures = scheduler.metrics();
    let call_timeouts = figures.call_timeouts.unwrap_or_default();
    let lines = [
        ("spanlead_batches", batches),
        ("spanlead_batch_bytes", batch_bytes),
        ("spanlead_commit_ms", commit_ms),
        ("spanlead_jobs", counts.jobs as u64),
        ("spanlead_units_waiting", counts.pending_units as u64),
        ("spanlead_runs", counts.active_runs as u64),
        ("spanlead_events", counts.events),
        ("spanlead_starts", figures.starts),
        ("spanlead_starts_given_up", figures.start_timeouts),
        ("spanlead_starts_given_up_too_soon", figures.premature_start_timeouts),
        ("spanlead_stops", figures.stops),
        ("spanlead_copies", figures.hedged_runs),
        ("spanlead_starts_at_a_time", figures.max_starts_per_tick),
        ("spanlead_shortest_deadline_ms", call_timeouts.shortest_ms),
        ("spanlead_longest_deadline_ms", call_timeouts.longest_ms),
    ];
    for (name, value) in lines {
        let _ = writeln!(text, "{name} {value}");
    }
    text
}

/// One job; `None` if there is none.
#[must_use]
pub fn job(scheduler: &Scheduler, id: JobId) -> Option<Value> {
    let job = scheduler.inspect_job(id)?;
    let open: Vec<Value> = job
        .open_tasks
        .into_iter()
        .map(|task| {
            let runs: Vec<Value> = task
                .active_runs
                .into_iter()
                .map(|r| {
                    json!({ "run": r.run, "worker": r.worker_id, "phase": r.phase, "stopping": r.is_stopping,
                        "percent": r.progress_percent })
                })
                .collect();
            json!({ "task": task.task, "failedRuns": task.failed_runs, "runs": runs, "waitsForRoom": task.is_pending })
        })
        .collect();
    let state = word(job.state);
    Some(json!({ "state": state, "service": job.service, "acceptedAtMs": job.accepted_at_ms,
        "tasksDone": job.done_tasks, "openTasks": open }))
}

/// A job's state as clients are told.
#[must_use]
pub fn word(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Closed(JobOutcome::Succeeded) => "succeeded",
        JobState::Closed(JobOutcome::Failed) => "failed",
        JobState::Closed(JobOutcome::Cancelled) => "cancelled",
    }
}
