//! How long batches take to be committed, for the log and the metrics.
use spanlead_job_scheduler::LatencyHistogram;
use std::collections::VecDeque;

/// A commit that takes at least this long is logged, milliseconds.
const SLOW_COMMIT_MS: u64 = 100;
/// The weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;

/// A batch that is not committed yet.
#[derive(Clone, Copy, Debug)]
struct PendingBatch {
    sequence: u64,
    proposed_at_ms: u64,
    bytes: usize,
}

/// The batches of a term, as the metrics report them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchMetrics {
    /// Batches proposed so far.
    pub batches: u64,
    /// Their bytes.
    pub bytes: u64,
    /// The moving average of the time from proposal to commit, milliseconds.
    pub mean_commit_ms: u64,
}

/// Measures the commits of a term.
#[derive(Clone, Debug, Default)]
pub struct CommitLatency {
    /// In the order of their sequence.
    pending: VecDeque<PendingBatch>,
    mean_ms: f64,
    batches: u64,
    bytes: u64,
    histogram: LatencyHistogram,
}

impl CommitLatency {
    /// A batch of that many bytes was proposed.
    pub fn record_proposal(&mut self, sequence: u64, now_ms: u64, bytes: usize) {
        self.batches += 1;
        self.bytes += bytes as u64;
        self.pending.push_back(PendingBatch { sequence, proposed_at_ms: now_ms, bytes });
    }

    /// All batches up to this sequence were committed.
    pub fn record_commit(&mut self, sequence: u64, now_ms: u64) {
        while let Some(batch) = self.pending.pop_front_if(|batch| batch.sequence <= sequence) {
            let elapsed_ms = now_ms.saturating_sub(batch.proposed_at_ms);
            self.histogram.record(elapsed_ms);
            self.mean_ms += SAMPLE_WEIGHT * (elapsed_ms as f64 - self.mean_ms);
            if elapsed_ms >= SLOW_COMMIT_MS {
                let PendingBatch { sequence, bytes, .. } = batch;
                log::debug!("commit slow sequence={sequence} bytes={bytes} elapsed_ms={elapsed_ms}");
            }
        }
    }

    /// How long the batches of the term took.
    #[must_use]
    pub fn histogram(&self) -> &LatencyHistogram {
        &self.histogram
    }

    /// The figures of the term so far.
    #[must_use]
    pub fn metrics(&self) -> BatchMetrics {
        BatchMetrics { batches: self.batches, bytes: self.bytes, mean_commit_ms: self.mean_ms as u64 }
    }
}
