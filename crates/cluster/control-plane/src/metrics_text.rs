//! The metrics of a control plane, one `name number` a line. Their names belong to the operators.
use crate::commit_latency::CommitLatency;
use spanlead_cluster_runtime::traffic;
use spanlead_job_scheduler::{LatencyHistogram, Scheduler};
use std::fmt::Write;

/// What the metrics of a primary are rendered from.
#[derive(Clone, Copy, Debug)]
pub struct PrimaryMetrics<'a> {
    /// Its scheduler.
    pub scheduler: &'a Scheduler,
    /// The commits of its term.
    pub commits: &'a CommitLatency,
}

/// The metrics of a process, with how long its disk takes for a record, and of its scheduler if it
/// is primary.
#[must_use]
pub fn render(own_disk: &LatencyHistogram, primary: Option<PrimaryMetrics<'_>>) -> String {
    let mut text = traffic::metrics_text();
    let _ = writeln!(text, "spanlead_serves {}", u8::from(primary.is_some()));
    write_latency(&mut text, "spanlead_own_disk_ms", own_disk);
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
        ("spanlead_start_held_back_checks", metrics.held_back_checks),
        ("spanlead_placement_attempts", metrics.placement_attempts),
    ];
    for (name, value) in lines {
        let _ = writeln!(text, "{name} {value}");
    }
    let stages = metrics.start_latencies;
    let latencies = [
        ("spanlead_start_placement_ms", &stages.placement),
        ("spanlead_start_commit_ms", &stages.commit),
        ("spanlead_start_response_ms", &stages.response),
        ("spanlead_batch_commit_ms", commits.histogram()),
    ];
    for (name, histogram) in latencies {
        write_latency(&mut text, name, histogram);
    }
    text
}

/// How many times were measured, and the bounds of the bucket of their middle and of 99 of 100.
fn write_latency(text: &mut String, name: &str, histogram: &LatencyHistogram) {
    let _ = writeln!(text, "{name}_count {}", histogram.count());
    let _ = writeln!(text, "{name}_p50 {}", histogram.quantile_ms(0.5));
    let _ = writeln!(text, "{name}_p99 {}", histogram.quantile_ms(0.99));
}
