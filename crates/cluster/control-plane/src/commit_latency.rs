//! The commit latency of batches, for the log and the metrics.
use spanlead_job_scheduler::LatencyHistogram;
use std::collections::VecDeque;

/// The commit latency from which a batch is logged as slow, milliseconds.
const SLOW_COMMIT_MS: u64 = 100;
/// The weight of a new sample in the exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.05;

/// A proposed batch that is not committed yet.
#[derive(Clone, Copy, Debug)]
struct PendingBatch {
    sequence: u64,
    proposed_at_ms: u64,
    bytes: usize,
}

/// Metrics of the batches of a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchMetrics {
    /// The number of batches proposed so far.
    pub batches: u64,
    /// The total size of these batches, bytes.
    pub bytes: u64,
    /// The exponential moving average of the time from proposal to commit, milliseconds.
    pub mean_commit_ms: u64,
}

/// Measures the time from proposal to commit of the batches of a term.
#[derive(Clone, Debug, Default)]
pub struct CommitLatency {
    /// The uncommitted batches in ascending order of their sequence numbers.
    pending: VecDeque<PendingBatch>,
    mean_commit_ms: f64,
    batches: u64,
    bytes: u64,
    histogram: LatencyHistogram,
}

impl CommitLatency {
    /// Records the proposal of a batch of this size.
    pub fn record_proposal(&mut self, sequence: u64, now_ms: u64, bytes: usize) {
        self.batches += 1;
        self.bytes += bytes as u64;
        self.pending.push_back(PendingBatch { sequence, proposed_at_ms: now_ms, bytes });
    }

    /// Records the commit of all batches up to this sequence number.
    pub fn record_commit(&mut self, sequence: u64, now_ms: u64) {
        while let Some(batch) = self.pending.pop_front_if(|batch| batch.sequence <= sequence) {
            let elapsed_ms = now_ms.saturating_sub(batch.proposed_at_ms);
            self.histogram.record(elapsed_ms);
            self.mean_commit_ms += SAMPLE_WEIGHT * (elapsed_ms as f64 - self.mean_commit_ms);
            if elapsed_ms >= SLOW_COMMIT_MS {
                let PendingBatch { sequence, bytes, .. } = batch;
                log::debug!("commit slow sequence={sequence} bytes={bytes} elapsed_ms={elapsed_ms}");
            }
        }
    }

    /// Returns the distribution of the term's commit latencies.
    #[must_use]
    pub fn histogram(&self) -> &LatencyHistogram {
        &self.histogram
    }

    /// Returns the metrics of the term so far.
    #[must_use]
    pub fn metrics(&self) -> BatchMetrics {
        BatchMetrics { batches: self.batches, bytes: self.bytes, mean_commit_ms: self.mean_commit_ms as u64 }
    }
}
