//! The metrics of a control plane, one `name number` a line. Their names belong to the operators.
use crate::commit_latency::CommitLatency;
use spanlead_cluster_runtime::traffic;
use spanlead_job_scheduler::Scheduler;
use std::fmt::Write;

/// What the metrics of a primary are rendered from.
#[derive(Clone, Copy, Debug)]
pub struct PrimaryMetrics<'a> {
    /// Its scheduler.
    pub scheduler: &'a Scheduler,
    /// The commits of its term.
    pub commits: &'a CommitLatency,
}

/// The metrics of a process, and of its scheduler if it is primary.
#[must_use]
pub fn render(primary: Option<PrimaryMetrics<'_>>) -> String {
    let mut text = traffic::metrics_text();
    let _ = writeln!(text, "spanlead_serves {}", u8::from(primary.is_some()));
    let Some(PrimaryMetrics { scheduler, commits }) = primary else { return text };
    let batches = commits.metrics();
    let counts = scheduler.counts();
    let metrics = scheduler.metrics();
    let call_timeouts = metrics.call_timeouts.unwrap_or_default();
    let lines = [
        ("spanlead_batches", batches.batches),
        ("spanlead_batch_bytes", batches.bytes),
        ("spanlead_commit_ms", batches.mean_commit_ms),
        ("spanlead_jobs", counts.jobs as u64),
        ("spanlead_units_waiting", counts.pending_units as u64),
        ("spanlead_runs", counts.active_runs as u64),
        ("spanlead_events", counts.events),
        ("spanlead_starts", metrics.starts),
        ("spanlead_starts_given_up", metrics.start_timeouts),
        ("spanlead_starts_given_up_too_soon", metrics.premature_start_timeouts),
        ("spanlead_stops", metrics.stops),
        ("spanlead_copies", metrics.hedged_runs),
        ("spanlead_starts_at_a_time", metrics.max_starts_per_tick),
        ("spanlead_shortest_deadline_ms", call_timeouts.shortest_ms),
        ("spanlead_longest_deadline_ms", call_timeouts.longest_ms),
    ];
    for (name, value) in lines {
        let _ = writeln!(text, "{name} {value}");
    }
    text
}
