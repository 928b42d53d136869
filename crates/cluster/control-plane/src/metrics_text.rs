//! The metrics of a control plane as text, one `name number` pair per line. Operators' tools depend
//! on the names, which must not change.
use crate::commit_latency::CommitLatency;
use spanlead_cluster_runtime::traffic;
use spanlead_job_scheduler::{LatencyHistogram, Scheduler};
use std::fmt::Write;

/// The sources of a primary's metrics.
#[derive(Clone, Copy, Debug)]
pub struct PrimaryMetrics<'a> {
    /// The scheduler of the primary.
    pub scheduler: &'a Scheduler,
    /// The commit latency of the primary's term.
    pub commit_latency: &'a CommitLatency,
    /// The number of requests that were not carried out because they had waited for too long.
    pub stale_requests: u64,
}

/// Renders the metrics of this process: its traffic, the write latency of its disk and, if it is
/// primary, its batches and its scheduler.
#[must_use]
pub fn render(write_latency: &LatencyHistogram, primary: Option<PrimaryMetrics<'_>>) -> String {
    let mut text = traffic::metrics_text();
    let _ = writeln!(text, "spanlead_serves {}", u8::from(primary.is_some()));
    write_histogram(&mut text, "spanlead_own_disk_ms", write_latency);
    let Some(PrimaryMetrics { scheduler, commit_latency, stale_requests }) = primary else { return text };
    let batches = commit_latency.metrics();
    let counts = scheduler.counts();
    let metrics = scheduler.metrics();
    let call_timeouts = metrics.call_timeouts.unwrap_or_default();
    let lines = [
        ("spanlead_batches", batches.batches),
        ("spanlead_batch_bytes", batches.bytes),
        ("spanlead_commit_ms", batches.mean_commit_ms),
        ("spanlead_jobs", counts.jobs as u64),
        ("spanlead_cancelled_jobs", counts.cancelled_jobs as u64),
        ("spanlead_cancelled_submissions", metrics.cancelled_submissions),
        ("spanlead_refused_cancellations", metrics.refused_cancellations),
        ("spanlead_stale_requests", stale_requests),
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
        ("spanlead_workers_missing_in_list", metrics.workers_missing_in_list),
        ("spanlead_workers_replaced", metrics.replaced_workers),
        ("spanlead_runs_expired", metrics.expired_runs),
    ];
    for (name, value) in lines {
        let _ = writeln!(text, "{name} {value}");
    }
    let stages = metrics.start_latencies;
    let latencies = [
        ("spanlead_start_placement_ms", &stages.placement),
        ("spanlead_start_commit_ms", &stages.commit),
        ("spanlead_start_response_ms", &stages.response),
        ("spanlead_batch_commit_ms", commit_latency.histogram()),
    ];
    for (name, histogram) in latencies {
        write_histogram(&mut text, name, histogram);
    }
    text
}

/// Writes the number of samples, and the upper bounds of the buckets of the median and of the 99th
/// percentile.
fn write_histogram(text: &mut String, name: &str, histogram: &LatencyHistogram) {
    let _ = writeln!(text, "{name}_count {}", histogram.count());
    let _ = writeln!(text, "{name}_p50 {}", histogram.quantile_ms(0.5));
    let _ = writeln!(text, "{name}_p99 {}", histogram.quantile_ms(0.99));
}
