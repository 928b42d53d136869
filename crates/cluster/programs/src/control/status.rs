//! What operators see of a node that serves, as JSON.
use crate::control::node::CommitTimes;
use crate::metrics;
use serde::Serialize;
use serde_json::{Value, json};
use spanlead_job_scheduler::{Outcome, Scheduler, State};
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
    Job(u64),
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
        .members()
        .into_iter()
        .map(|status| MemberView {
            primary: status.member.id == view.primary,
            in_sync: view.in_sync.contains(&status.member.id),
            unfit: status.unfit,
            lag: status.on_disk.map(|on_disk| last.saturating_sub(on_disk)),
            node: status.member.node,
            peer: status.member.peer,
            control: status.member.control,
        })
        .collect();
    json!({ "epoch": view.epoch, "term": view.term, "sequence": last, "members": members })
}

/// The workers.
#[must_use]
pub fn workers(scheduler: &Scheduler, now: u64) -> Value {
    let workers: Vec<Value> = scheduler
        .inspect_workers(now)
        .into_iter()
        .map(|w| {
            json!({ "id": w.id, "service": w.service, "standing": w.standing, "runs": w.runs,
                "cpuUsed": w.cpu.0, "cpu": w.cpu.1, "memUsedMb": w.mem_mb.0, "memMb": w.mem_mb.1 })
        })
        .collect();
    json!({ "workers": workers })
}

/// Counts.
#[must_use]
pub fn jobs(scheduler: &Scheduler) -> Value {
    let (jobs, waiting, runs, events) = scheduler.counts();
    json!({ "jobs": jobs, "waiting": waiting, "runs": runs, "events": events })
}

/// The figures of a process, and of its scheduler if it serves.
#[must_use]
pub fn figures(serving: Option<(&Scheduler, &CommitTimes)>) -> String {
    let mut text = metrics::traffic();
    let _ = writeln!(text, "spanlead_serves {}", u8::from(serving.is_some()));
    let Some((scheduler, commits)) = serving else { return text };
    let (batches, batch_bytes, commit_ms) = commits.figures();
    let (jobs, waiting, runs, events) = scheduler.counts();
    let figures = scheduler.figures();
    let (shortest, longest) = figures.deadlines_ms.unwrap_or_default();
    let lines = [
        ("spanlead_batches", batches),
        ("spanlead_batch_bytes", batch_bytes),
        ("spanlead_commit_ms", commit_ms),
        ("spanlead_jobs", jobs as u64),
        ("spanlead_units_waiting", waiting as u64),
        ("spanlead_runs", runs as u64),
        ("spanlead_events", events),
        ("spanlead_starts", figures.starts),
        ("spanlead_starts_given_up", figures.given_up),
        ("spanlead_starts_given_up_too_soon", figures.premature),
        ("spanlead_stops", figures.stops),
        ("spanlead_copies", figures.copies),
        ("spanlead_starts_at_a_time", figures.starts_at_a_time),
        ("spanlead_shortest_deadline_ms", shortest),
        ("spanlead_longest_deadline_ms", longest),
    ];
    for (name, value) in lines {
        let _ = writeln!(text, "{name} {value}");
    }
    text
}

/// One job; `None` if there is none.
#[must_use]
pub fn job(scheduler: &Scheduler, id: u64) -> Option<Value> {
    let job = scheduler.inspect(id)?;
    let open: Vec<Value> = job
        .open
        .into_iter()
        .map(|task| {
            let runs: Vec<Value> = task
                .runs
                .into_iter()
                .map(|r| {
                    json!({ "run": r.run, "worker": r.worker, "phase": r.phase, "stopping": r.stopping,
                        "percent": r.percent })
                })
                .collect();
            json!({ "task": task.task, "failedRuns": task.failed, "runs": runs, "waitsForRoom": task.waits })
        })
        .collect();
    let state = word(job.state);
    Some(json!({ "state": state, "service": job.service, "acceptedAtMs": job.accepted_at,
        "tasksDone": job.done, "openTasks": open }))
}

/// A job's state as clients are told.
#[must_use]
pub fn word(state: State) -> &'static str {
    match state {
        State::Queued => "queued",
        State::Running => "running",
        State::Closed(Outcome::Succeeded) => "succeeded",
        State::Closed(Outcome::Failed) => "failed",
        State::Closed(Outcome::Cancelled) => "cancelled",
    }
}
