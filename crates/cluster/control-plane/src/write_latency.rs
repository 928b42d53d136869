//! How long records wait for this machine's disk, for the metrics.
use spanlead_job_scheduler::LatencyHistogram;
use std::collections::VecDeque;

/// A record that is not on disk yet.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    token: u64,
    requested_at_ms: u64,
}

/// Measures the writes of a process, from the request until the record is on disk.
#[derive(Clone, Debug, Default)]
pub struct WriteLatency {
    /// In the order of their tokens.
    pending: VecDeque<PendingWrite>,
    histogram: LatencyHistogram,
}

impl WriteLatency {
    /// A record is to be written. Tokens rise.
    pub fn record_request(&mut self, token: u64, now_ms: u64) {
        self.pending.push_back(PendingWrite { token, requested_at_ms: now_ms });
    }

    /// All records up to this token are on disk.
    pub fn record_written(&mut self, token: u64, now_ms: u64) {
        while let Some(write) = self.pending.pop_front_if(|write| write.token <= token) {
            self.histogram.record(now_ms.saturating_sub(write.requested_at_ms));
        }
    }

    /// How long the writes took so far.
    #[must_use]
    pub fn histogram(&self) -> &LatencyHistogram {
        &self.histogram
    }
}
